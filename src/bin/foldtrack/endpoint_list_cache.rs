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
pub(crate) fn load_newest(directory: &Path, configured: ServerList) -> io::Result<ServerList> {
    let cached = match fs::read(path(directory)) {
        Ok(bytes) => serde_json::from_slice::<ServerList>(&bytes)
            .inspect_err(|e| log::warn!("discovery: cannot read the cached endpoint list: {e}"))
            .ok(),
        Err(error) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => return Err(error),
    };
    Ok(cached.filter(|cached| cached.version >= configured.version).unwrap_or(configured))
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
    /// A cache that continues from this list.
    pub fn new(directory: &Path, list: &ServerList) -> EndpointListCache {
        let entries = list.servers.iter().map(|entry| (entry.id.clone(), entry.clone()));
        EndpointListCache {
            path: path(directory),
            entries: entries.collect(),
            reserved: reserved_bytes(list),
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
#[path = "endpoint_list_cache_tests.rs"]
mod tests;
