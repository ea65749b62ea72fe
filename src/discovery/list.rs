//! The endpoint list and its changes, as discovery serves them in JSON.

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// A full list of endpoints, or the entries that changed since a version.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerList {
    /// Version of the list once these entries have been applied.
    pub version: u64,
    /// Whether `servers` is the full list, as opposed to the entries that changed.
    #[serde(default)]
    pub full: bool,
    /// The entries. An invalid entry is logged and skipped.
    #[serde(default, deserialize_with = "valid_entries")]
    pub servers: Vec<ServerEntry>,
}

impl ServerList {
    /// Version from which changes to this list may be requested; none for a list without endpoints.
    pub fn known_version(&self) -> Option<u64> {
        Some(self.version).filter(|_| !self.servers.is_empty())
    }
}

/// Skips invalid entries, so that one of them does not hold up the rest of the list, drains included. Entries are
/// converted one by one: as JSON values, those of a long list would take several times the memory of the list.
fn valid_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerEntry>, D::Error> {
    deserializer.deserialize_seq(ValidEntries)
}

struct ValidEntries;

impl<'de> Visitor<'de> for ValidEntries {
    type Value = Vec<ServerEntry>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list of endpoints")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = sequence.next_element::<Value>()? {
            match ServerEntry::deserialize(&entry) {
                Ok(valid) => entries.push(valid),
                Err(error) => log::warn!("discovery: invalid list entry {entry} skipped: {error}"),
            }
        }
        Ok(entries)
    }
}

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServerEntry {
    /// Name of the endpoint, the same at each forwarder.
    pub id: String,
    /// Address at which this forwarder reaches it.
    pub addr: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its kind.
    #[serde(default)]
    pub kind: String,
    /// Number of the destination that it belongs to.
    pub cell: u32,
    /// Whether it accepts new calls.
    pub state: ServerState,
    /// Listed rate in calls per second, where the deployment lists rates.
    #[serde(default)]
    pub weight: f64,
}

/// Whether an endpoint accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It accepts new calls.
    Active,
    /// Draining: it finishes its current calls and accepts no new ones.
    Leaving,
    /// Removed from the list. Occurs only among changes.
    Left,
}
