//! Caches the last endpoint list from discovery in a file that survives the process. The next process thus knows from
//! its start which endpoints are draining, even if discovery does not respond; the list in the configuration may be
//! older.

use hatchline::discovery::list::{ServerEntry, ServerList, ServerState};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Smallest file size to reserve space for, even if the list is shorter: enough for some 200 endpoints.
const MIN_FILE_BYTES: usize = 32 * 1024;

/// Disk space to reserve for a list of this size that may grow by a quarter: a new file is written beside the one
/// that it replaces, each in whole blocks of 512 bytes.
fn reserved_bytes_for(bytes: usize) -> u64 {
    2 * (bytes + bytes / 4).max(MIN_FILE_BYTES).next_multiple_of(512) as u64
}

/// Disk space to reserve for the initial list.
pub(crate) fn reserved_bytes(configured: &ServerList) -> u64 {
    reserved_bytes_for(serde_json::to_vec(configured).map_or(0, |bytes| bytes.len()))
}

fn path(directory: &Path) -> PathBuf {
    directory.join("list")
}

/// Loads the list to start with: the last one from discovery, unless the one in the configuration is newer.
pub(crate) fn load_newest(directory: &Path, configured: ServerList) -> ServerList {
    let cached = match fs::read(path(directory)) {
        Ok(bytes) => serde_json::from_slice::<ServerList>(&bytes)
            .inspect_err(|e| log::warn!("discovery: cannot read the cached endpoint list: {e}"))
            .ok(),
        Err(_) => None,
    };
    cached.filter(|cached| cached.version >= configured.version).unwrap_or(configured)
}

/// The current endpoint list, and the file that it is cached in.
#[derive(Debug)]
pub(crate) struct EndpointListCache {
    path: PathBuf,
    entries: BTreeMap<String, ServerEntry>,
    /// Disk space reserved for the file.
    reserved: u64,
}

impl EndpointListCache {
    pub fn open(directory: &Path, configured: &ServerList) -> EndpointListCache {
        let entries = load_newest(directory, configured.clone())
            .servers
            .into_iter()
            .map(|entry| (entry.id.clone(), entry));
        EndpointListCache {
            path: path(directory),
            entries: entries.collect(),
            reserved: reserved_bytes(configured),
        }
    }

    /// Applies a full list or changes to it, and writes the resulting list. If that needs more space than is reserved,
    /// `reserve_more` is called with the number of missing bytes and returns whether it has reserved them.
    pub fn update(&mut self, list: &ServerList, reserve_more: impl FnOnce(u64) -> bool) {
        if list.full {
            self.entries.clear();
        }
        self.entries.extend(list.servers.iter().map(|entry| (entry.id.clone(), entry.clone())));
        self.entries.retain(|_, entry| entry.state != ServerState::Left);
        if let Err(error) = self.write(list.version, reserve_more) {
            // Removes the old file: an outdated list is worse than the one in the configuration.
            let _ = fs::remove_file(&self.path);
            log::warn!("discovery: cannot cache the endpoint list: {error}");
        }
    }

    fn write(&mut self, version: u64, reserve_more: impl FnOnce(u64) -> bool) -> io::Result<()> {
        let list = ServerList { version, full: true, servers: self.entries.values().cloned().collect() };
        let bytes = serde_json::to_vec(&list).map_err(io::Error::other)?;
        let needed = reserved_bytes_for(bytes.len());
        if 2 * bytes.len().next_multiple_of(512) as u64 > self.reserved {
            if !reserve_more(needed - self.reserved) {
                return Err(io::Error::other(format!("no room for {needed} bytes")));
            }
            self.reserved = needed;
        }
        let new = self.path.with_extension("new");
        fs::write(&new, bytes).and_then(|()| fs::rename(&new, &self.path))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(id: &str, state: ServerState) -> ServerEntry {
        let (addr, zone, kind) = ("127.0.0.1:80".parse().unwrap(), "z".into(), "k".into());
        ServerEntry { id: id.into(), addr, zone, kind, cell: 1, state, weight: 1.5 }
    }

    fn list(version: u64, full: bool, servers: Vec<ServerEntry>) -> ServerList {
        ServerList { version, full, servers }
    }

    #[test]
    fn changes_accumulate_over_restarts_and_the_newer_list_wins() {
        let directory = tempfile::tempdir().unwrap();
        let ids = |list: &ServerList| {
            list.servers.iter().map(|entry| (entry.id.clone(), entry.state)).collect::<Vec<_>>()
        };
        let configured =
            list(3, true, vec![entry("a", ServerState::Active), entry("b", ServerState::Active)]);
        let drained = list(4, false, vec![entry("a", ServerState::Leaving)]);
        EndpointListCache::open(directory.path(), &configured).update(&drained, |_| false);
        let change = list(5, false, vec![entry("b", ServerState::Left), entry("c", ServerState::Active)]);
        EndpointListCache::open(directory.path(), &configured).update(&change, |_| false);
        let cached = load_newest(directory.path(), configured.clone());
        assert_eq!((cached.version, cached.full), (5, true));
        assert_eq!(ids(&cached), [("a".into(), ServerState::Leaving), ("c".into(), ServerState::Active)]);
        assert_eq!(load_newest(directory.path(), list(6, true, vec![])).version, 6);
        fs::write(path(directory.path()), "{").unwrap();
        assert_eq!(load_newest(directory.path(), configured).version, 3);
    }

    #[test]
    fn a_list_without_space_is_not_cached() {
        let directory = tempfile::tempdir().unwrap();
        let mut cache = EndpointListCache::open(directory.path(), &ServerList::default());
        cache.update(&list(1, true, vec![entry("a", ServerState::Active)]), |_| false);
        cache.update(&list_of_1024(2), |_| false);
        assert_eq!(load_newest(directory.path(), ServerList::default()).version, 0);
    }

    fn list_of_1024(version: u64) -> ServerList {
        list(version, true, (0..1024).map(|n| entry(&format!("s-{n:08x}"), ServerState::Leaving)).collect())
    }

    #[test]
    fn a_list_of_a_thousand_endpoints_fits_the_space_it_reserves() {
        let directory = tempfile::tempdir().unwrap();
        let mut cache = EndpointListCache::open(directory.path(), &ServerList::default());
        let mut reserved = cache.reserved;
        cache.update(&list_of_1024(1), |bytes| {
            reserved += bytes;
            true
        });
        let cached = load_newest(directory.path(), ServerList::default());
        assert_eq!((cached.version, cached.servers.len()), (1, 1024));
        let on_disk = fs::metadata(path(directory.path())).unwrap().len().next_multiple_of(512);
        assert!(2 * on_disk <= reserved, "two files of {on_disk} bytes in {reserved}");
        // The next process reserves that space from its start.
        assert_eq!(super::reserved_bytes(&cached), reserved);
        EndpointListCache::open(directory.path(), &cached).update(&list_of_1024(2), |_| false);
        assert_eq!(load_newest(directory.path(), ServerList::default()).version, 2);
    }
}
