//! The list of endpoints on the wire, and the changes to it.

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// A whole list of endpoints, or the entries of it that changed.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerList {
    /// The version that this list brings its reader to.
    pub version: u64,
    /// Whether `servers` is the whole list, as opposed to the entries that changed.
    #[serde(default)]
    pub full: bool,
    /// The entries. One that cannot be read is logged and left out.
    #[serde(default, deserialize_with = "readable_entries")]
    pub servers: Vec<ServerEntry>,
}

impl ServerList {
    /// The version from which changes to this list may be asked for; none for a list without endpoints.
    pub fn known_version(&self) -> Option<u64> {
        Some(self.version).filter(|_| !self.servers.is_empty())
    }
}

/// Guards the rest of a list, drains among it, against an entry that cannot be read.
fn readable_entries<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerEntry>, D::Error> {
    let entries = Vec::<Value>::deserialize(deserializer)?;
    let read = |entry: Value| {
        ServerEntry::deserialize(&entry)
            .inspect_err(|e| eprintln!("discovery: {entry} is passed over: {e}"))
            .ok()
    };
    Ok(entries.into_iter().filter_map(read).collect())
}

/// One endpoint of the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServerEntry {
    /// Its name, the same at each forwarder.
    pub id: String,
    /// Where this forwarder reaches it.
    pub addr: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Name of its kind.
    #[serde(default)]
    pub kind: String,
    /// Number of the destination that it belongs to.
    pub cell: u32,
    /// Whether it takes new calls.
    pub state: ServerState,
    /// The listed rate in calls per second, where the deployment lists rates.
    #[serde(default)]
    pub weight: f64,
}

/// Whether an endpoint takes new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    /// It takes calls.
    Active,
    /// It finishes the calls that it has and takes no new ones.
    Leaving,
    /// It has left the list; only among changes.
    Left,
}
