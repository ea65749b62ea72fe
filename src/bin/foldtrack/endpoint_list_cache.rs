//! The list that discovery told last, in a file that outlasts the process. What it drained binds the next process from
//! its first moment, also while discovery is silent; the configuration's list may be older.

use hatchline::discovery::list::{ServerEntry, ServerList, ServerState};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// Bytes that are kept free for the file, whatever the list: some 200 endpoints.
const LEAST: usize = 32 * 1024;

/// What the folder that lasts has to leave free for a list of so many bytes that may grow by a quarter: the file stands
/// beside the one that takes its place, each in whole 512 bytes.
fn room_for(bytes: usize) -> u64 {
    2 * (bytes + bytes / 4).max(LEAST).next_multiple_of(512) as u64
}

/// The same for a list to begin with.
pub(crate) fn reserved_bytes(known: &ServerList) -> u64 {
    room_for(serde_json::to_vec(known).map_or(0, |bytes| bytes.len()))
}

fn path(folder: &Path) -> PathBuf {
    folder.join("list")
}

/// The list to begin with: the one that was told last, unless the configuration knows a newer one.
pub(crate) fn load_newest(folder: &Path, known: ServerList) -> ServerList {
    let kept = match fs::read(path(folder)) {
        Ok(bytes) => serde_json::from_slice::<ServerList>(&bytes)
            .inspect_err(|e| eprintln!("discovery: the list that was told last cannot be read: {e}"))
            .ok(),
        Err(_) => None,
    };
    kept.filter(|kept| kept.version >= known.version).unwrap_or(known)
}

/// What has been told, and where it is kept.
#[derive(Debug)]
pub(crate) struct EndpointListCache {
    path: PathBuf,
    lines: BTreeMap<String, ServerEntry>,
    /// What the folder leaves free.
    room: u64,
}

impl EndpointListCache {
    pub fn open(folder: &Path, known: &ServerList) -> EndpointListCache {
        let lines = load_newest(folder, known.clone()).servers.into_iter().map(|s| (s.id.clone(), s));
        EndpointListCache { path: path(folder), lines: lines.collect(), room: reserved_bytes(known) }
    }

    /// Takes in a list or the changes since the last, and writes what is listed now. If it needs more room, it asks
    /// for that: `more` says whether so many bytes more are left free from now on.
    pub fn update(&mut self, list: &ServerList, more: impl FnOnce(u64) -> bool) {
        if list.full {
            self.lines.clear();
        }
        self.lines.extend(list.servers.iter().map(|s| (s.id.clone(), s.clone())));
        self.lines.retain(|_, s| s.state != ServerState::Left);
        if let Err(error) = self.write(list.version, more) {
            // An older one would tell less than the configuration does.
            let _ = fs::remove_file(&self.path);
            eprintln!("discovery: the list is not kept over a restart: {error}");
        }
    }

    fn write(&mut self, version: u64, more: impl FnOnce(u64) -> bool) -> io::Result<()> {
        let list = ServerList { version, full: true, servers: self.lines.values().cloned().collect() };
        let bytes = serde_json::to_vec(&list).map_err(io::Error::other)?;
        let needed = room_for(bytes.len());
        if 2 * bytes.len().next_multiple_of(512) as u64 > self.room {
            if !more(needed - self.room) {
                return Err(io::Error::other(format!("no room for {needed} bytes")));
            }
            self.room = needed;
        }
        let new = self.path.with_extension("new");
        fs::write(&new, bytes).and_then(|()| fs::rename(&new, &self.path))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(id: &str, state: ServerState) -> ServerEntry {
        let (addr, zone, kind) = ("127.0.0.1:80".parse().unwrap(), "z".into(), "k".into());
        ServerEntry { id: id.into(), addr, zone, kind, cell: 1, state, weight: 1.5 }
    }

    fn list(version: u64, full: bool, servers: Vec<ServerEntry>) -> ServerList {
        ServerList { version, full, servers }
    }

    #[test]
    fn changes_add_up_over_processes_and_the_newer_list_counts() {
        let folder = tempfile::tempdir().unwrap();
        let ids =
            |list: &ServerList| list.servers.iter().map(|s| (s.id.clone(), s.state)).collect::<Vec<_>>();
        let known = list(3, true, vec![line("a", ServerState::Active), line("b", ServerState::Active)]);
        let drained = list(4, false, vec![line("a", ServerState::Leaving)]);
        EndpointListCache::open(folder.path(), &known).update(&drained, |_| false);
        let change = list(5, false, vec![line("b", ServerState::Left), line("c", ServerState::Active)]);
        EndpointListCache::open(folder.path(), &known).update(&change, |_| false);
        let kept = load_newest(folder.path(), known.clone());
        assert_eq!((kept.version, kept.full), (5, true));
        assert_eq!(ids(&kept), [("a".into(), ServerState::Leaving), ("c".into(), ServerState::Active)]);
        assert_eq!(load_newest(folder.path(), list(6, true, vec![])).version, 6);
        fs::write(path(folder.path()), "{").unwrap();
        assert_eq!(load_newest(folder.path(), known).version, 3);
    }

    #[test]
    fn a_list_that_has_no_room_is_not_kept_at_all() {
        let folder = tempfile::tempdir().unwrap();
        let mut last = EndpointListCache::open(folder.path(), &ServerList::default());
        last.update(&list(1, true, vec![line("a", ServerState::Active)]), |_| false);
        last.update(&many(2), |_| false);
        assert_eq!(load_newest(folder.path(), ServerList::default()).version, 0);
    }

    fn many(version: u64) -> ServerList {
        list(version, true, (0..1024).map(|n| line(&format!("s-{n:08x}"), ServerState::Leaving)).collect())
    }

    #[test]
    fn a_list_of_a_thousand_endpoints_is_kept_in_the_room_it_asks_for() {
        let folder = tempfile::tempdir().unwrap();
        let mut last = EndpointListCache::open(folder.path(), &ServerList::default());
        let mut room = last.room;
        last.update(&many(1), |more| {
            room += more;
            true
        });
        let kept = load_newest(folder.path(), ServerList::default());
        assert_eq!((kept.version, kept.servers.len()), (1, 1024));
        let on_disk = fs::metadata(path(folder.path())).unwrap().len().next_multiple_of(512);
        assert!(2 * on_disk <= room, "{on_disk} bytes beside those that take their place, in {room}");
        // From the next start on the room is there from the first moment.
        assert_eq!(super::reserved_bytes(&kept), room);
        EndpointListCache::open(folder.path(), &kept).update(&many(2), |_| false);
        assert_eq!(load_newest(folder.path(), ServerList::default()).version, 2);
    }
}
