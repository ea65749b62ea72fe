//! The endpoint list of the simulated discovery service, its versions and its JSON form.

use bytes::Bytes;
use hatchline::discovery::list::{ServerEntry, ServerState};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

const ENDPOINT_PORT: u16 = 8080;
/// Address of the first listed endpoint; the others follow it.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([10, 1, 0, 1]);
/// Odd multiplier that scatters endpoint ids, so that their order does not follow the list.
const ID_MULTIPLIER: u32 = 2_654_435_761;
/// Version of the initial list.
pub(super) const FIRST_VERSION: u64 = 1;

/// A list entry as discovery serializes it.
#[derive(Clone, Debug, Serialize)]
struct ListEntry {
    #[serde(flatten)]
    server: ServerEntry,
    started_ms: u64,
}

/// A list as discovery serializes it.
#[derive(Debug, Serialize)]
struct ListDocument<'a> {
    version: u64,
    full: bool,
    servers: Vec<&'a ListEntry>,
}

/// A serialized list and its number of entries.
#[derive(Clone, Debug)]
pub(super) struct ListBody {
    pub bytes: Bytes,
    pub entry_count: usize,
}

/// The endpoint list with its change history.
#[derive(Debug)]
pub(super) struct EndpointList {
    entries: Vec<ListEntry>,
    /// Version of the last change of each entry.
    last_changed: Vec<u64>,
    version: u64,
    /// Number of versions before the current one whose later changes are still known.
    history: u64,
    zones: usize,
    /// Serialized responses of the current version, by the version that they start from; `None` is the full list.
    cached_bodies: BTreeMap<Option<u64>, ListBody>,
}

impl EndpointList {
    /// A list of `count` endpoints, spread evenly over `zones` zones.
    pub fn new(count: usize, zones: usize, history: u64) -> EndpointList {
        let entries: Vec<ListEntry> = (0..count).map(|number| entry(number as u32, zones as u32)).collect();
        EndpointList {
            last_changed: vec![FIRST_VERSION; entries.len()],
            entries,
            version: FIRST_VERSION,
            history,
            zones,
            cached_bodies: BTreeMap::new(),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of entries, including those that have left.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Changes the listed rate of an endpoint.
    pub fn set_weight(&mut self, endpoint: usize, weight: f64) {
        self.next_version();
        self.entries[endpoint].server.weight = weight;
        self.last_changed[endpoint] = self.version;
    }

    /// Changes the state of all endpoints of a zone.
    pub fn set_zone_state(&mut self, zone: usize, state: ServerState) {
        self.next_version();
        for endpoint in (0..self.entries.len()).filter(|endpoint| endpoint % self.zones == zone) {
            self.entries[endpoint].server.state = state;
            self.last_changed[endpoint] = self.version;
        }
    }

    fn next_version(&mut self) {
        self.version += 1;
        self.cached_bodies.clear();
    }

    /// The changes since a version if they are known, otherwise the full list.
    pub fn body(&mut self, since: Option<u64>) -> ListBody {
        let known_versions = self.version.saturating_sub(self.history)..=self.version;
        let since = since.filter(|since| known_versions.contains(since));
        if let Some(body) = self.cached_bodies.get(&since) {
            return body.clone();
        }
        let body = self.serialize(since);
        self.cached_bodies.insert(since, body.clone());
        body
    }

    fn serialize(&self, since: Option<u64>) -> ListBody {
        let is_included = |(entry, last_changed): (&ListEntry, &u64)| match since {
            Some(since) => *last_changed > since,
            None => entry.server.state != ServerState::Left,
        };
        let entries = self.entries.iter().zip(&self.last_changed).filter(|pair| is_included(*pair));
        let servers: Vec<&ListEntry> = entries.map(|(entry, _)| entry).collect();
        let entry_count = servers.len();
        let body = ListDocument { version: self.version, full: since.is_none(), servers };
        let bytes = serde_json::to_vec(&body).expect("a list can be serialized");
        ListBody { bytes: bytes.into(), entry_count }
    }
}

fn entry(number: u32, zones: u32) -> ListEntry {
    let address = Ipv4Addr::from(FIRST_ADDRESS + number);
    let server = ServerEntry {
        id: format!("s-{:08x}", number.wrapping_mul(ID_MULTIPLIER)),
        addr: SocketAddr::from((address, ENDPOINT_PORT)),
        zone: format!("zone-{}", number % zones),
        kind: "m2".to_owned(),
        cell: number,
        state: ServerState::Active,
        weight: 1.0,
    };
    ListEntry { server, started_ms: 0 }
}
