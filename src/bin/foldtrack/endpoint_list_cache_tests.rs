//! Tests of the cached endpoint list.

use super::*;

/// Opens the cache as a start does.
fn open(directory: &Path, configured: &ServerList) -> EndpointListCache {
    EndpointListCache::new(directory, &load_newest(directory, configured.clone()).unwrap())
}

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
    let configured = list(3, true, vec![entry("a", ServerState::Active), entry("b", ServerState::Active)]);
    let drained = list(4, false, vec![entry("a", ServerState::Leaving)]);
    open(directory.path(), &configured).update(&drained, |_| false);
    let change = list(5, false, vec![entry("b", ServerState::Left), entry("c", ServerState::Active)]);
    open(directory.path(), &configured).update(&change, |_| false);
    let cached = load_newest(directory.path(), configured.clone()).unwrap();
    assert_eq!((cached.version, cached.full), (5, true));
    assert_eq!(ids(&cached), [("a".into(), ServerState::Leaving), ("c".into(), ServerState::Active)]);
    assert_eq!(load_newest(directory.path(), list(6, true, vec![])).unwrap().version, 6);
    fs::write(path(directory.path()), "{").unwrap();
    assert_eq!(load_newest(directory.path(), configured).unwrap().version, 3);
}

#[test]
fn a_list_without_space_is_not_cached() {
    let directory = tempfile::tempdir().unwrap();
    let mut cache = open(directory.path(), &ServerList::default());
    cache.update(&list(1, true, vec![entry("a", ServerState::Active)]), |_| false);
    cache.update(&list_of_1024(2), |_| false);
    assert_eq!(load_newest(directory.path(), ServerList::default()).unwrap().version, 0);
}

fn list_of_1024(version: u64) -> ServerList {
    list(version, true, (0..1024).map(|n| entry(&format!("s-{n:08x}"), ServerState::Leaving)).collect())
}

#[test]
fn a_list_of_a_thousand_endpoints_fits_the_space_it_reserves() {
    let directory = tempfile::tempdir().unwrap();
    let mut cache = open(directory.path(), &ServerList::default());
    let mut reserved = cache.reserved;
    cache.update(&list_of_1024(1), |bytes| {
        reserved += bytes;
        true
    });
    let cached = load_newest(directory.path(), ServerList::default()).unwrap();
    assert_eq!((cached.version, cached.servers.len()), (1, 1024));
    let on_disk = fs::metadata(path(directory.path())).unwrap().len().next_multiple_of(512);
    assert!(2 * on_disk <= reserved, "two files of {on_disk} bytes in {reserved}");
    // The next process reserves that space from its start.
    assert_eq!(super::reserved_bytes(&cached), reserved);
    open(directory.path(), &cached).update(&list_of_1024(2), |_| false);
    assert_eq!(load_newest(directory.path(), ServerList::default()).unwrap().version, 2);
}
