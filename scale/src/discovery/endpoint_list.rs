//! The list that the stand-in for discovery holds, its versions, and their JSON form.

use bytes::Bytes;
use hatchline::discovery::list::{ServerEntry, ServerState};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Port of all listed endpoints.
const ENDPOINT_PORT: u16 = 8080;
/// First address of the listed endpoints.
const FIRST_ADDRESS: u32 = u32::from_be_bytes([10, 1, 0, 1]);
/// Spreads numbers over the names of endpoints, so that names do not tell their order.
const NAME_FACTOR: u32 = 2_654_435_761;
/// The version of the first list.
pub(super) const FIRST_VERSION: u64 = 1;

/// An entry as discovery writes it.
#[derive(Clone, Debug, Serialize)]
struct Entry {
    #[serde(flatten)]
    line: ServerEntry,
    started_ms: u64,
}

/// A list as discovery writes it.
#[derive(Debug, Serialize)]
struct Body<'a> {
    version: u64,
    full: bool,
    servers: Vec<&'a Entry>,
}

/// The JSON form of a list, and how many entries it has.
#[derive(Clone, Debug)]
pub(super) struct ListBody {
    pub bytes: Bytes,
    pub entries: usize,
}

/// The list with its versions.
#[derive(Debug)]
pub(super) struct EndpointList {
    entries: Vec<Entry>,
    /// The version in which each entry changed last.
    changed_in: Vec<u64>,
    version: u64,
    /// Versions before the present one from which changes are told.
    history: u64,
    zones: usize,
    /// Bodies of the present version, by the version from which on they tell changes; none for the whole list.
    bodies: BTreeMap<Option<u64>, ListBody>,
}

impl EndpointList {
    /// A list of so many endpoints, spread over so many zones.
    pub fn new(count: usize, zones: usize, history: u64) -> EndpointList {
        let entries: Vec<Entry> = (0..count).map(|number| entry(number as u32, zones as u32)).collect();
        EndpointList {
            changed_in: vec![FIRST_VERSION; entries.len()],
            entries,
            version: FIRST_VERSION,
            history,
            zones,
            bodies: BTreeMap::new(),
        }
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of entries, those that have left included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Changes the listed rate of an endpoint.
    pub fn change_weight(&mut self, endpoint: usize, weight: f64) {
        self.next_version();
        self.entries[endpoint].line.weight = weight;
        self.changed_in[endpoint] = self.version;
    }

    /// Changes the state of all endpoints of a zone.
    pub fn change_zone(&mut self, zone: usize, state: ServerState) {
        self.next_version();
        for endpoint in (0..self.entries.len()).filter(|endpoint| endpoint % self.zones == zone) {
            self.entries[endpoint].line.state = state;
            self.changed_in[endpoint] = self.version;
        }
    }

    fn next_version(&mut self) {
        self.version += 1;
        self.bodies.clear();
    }

    /// The whole list, or the changes since a version where they are known.
    pub fn body(&mut self, since: Option<u64>) -> ListBody {
        let known = self.version.saturating_sub(self.history)..=self.version;
        let since = since.filter(|since| known.contains(since));
        if let Some(body) = self.bodies.get(&since) {
            return body.clone();
        }
        let body = self.write(since);
        self.bodies.insert(since, body.clone());
        body
    }

    fn write(&self, since: Option<u64>) -> ListBody {
        let told = |(entry, changed_in): (&Entry, &u64)| match since {
            Some(since) => *changed_in > since,
            None => entry.line.state != ServerState::Left,
        };
        let entries = self.entries.iter().zip(&self.changed_in).filter(|pair| told(*pair));
        let servers: Vec<&Entry> = entries.map(|(entry, _)| entry).collect();
        let entries = servers.len();
        let body = Body { version: self.version, full: since.is_none(), servers };
        let bytes = serde_json::to_vec(&body).expect("a list has a JSON form");
        ListBody { bytes: bytes.into(), entries }
    }
}

fn entry(number: u32, zones: u32) -> Entry {
    let address = Ipv4Addr::from(FIRST_ADDRESS + number);
    let line = ServerEntry {
        id: format!("s-{:08x}", number.wrapping_mul(NAME_FACTOR)),
        addr: SocketAddr::from((address, ENDPOINT_PORT)),
        zone: format!("zone-{}", number % zones),
        kind: "m2".to_owned(),
        cell: number,
        state: ServerState::Active,
        weight: 1.0,
    };
    Entry { line, started_ms: 0 }
}
