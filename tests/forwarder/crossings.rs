//! What is still owed at the instant at which something ends: each crossing is forced.

use crate::world::*;
use crate::{one_target, MS};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Instant;

/// Lines of the list for so many destinations at one server, with a limit of so many calls a second each.
fn destinations(server: &Server, count: u32, limit: f64) -> Vec<serde_json::Value> {
    let line = |n: u32| {
        let mut line = line(&format!("s-{n}"), server.address, n, "active");
        line["weight"] = limit.into();
        line
    };
    (1..=count).map(line).collect()
}

/// A fleet of 300 under a listed limit: each process that came back made its first call to a destination within 50 s,
/// and gave up what it had found.
fn what_is_left_untried_is_tried(signal: &str) {
    let target = Server::start(|_| OK);
    let platform = Platform::start(Vec::new());
    let mut forwarder = Forwarder::start_with(&platform, |c| {
        c["settings"]["balancers"] = 300.into();
        c["settings"]["weight_source"] = "nominal".into();
    });
    let ids: Vec<String> = (1..=10).map(|n| format!("m{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(forwarder.hand_in(&fee(id).to(n as u32 + 1).within(16_000)), 202);
    }
    forwarder.signal(signal);
    let _ = forwarder.wait();
    assert!(target.seen().is_empty() && platform.notices().is_empty());
    platform.change(destinations(&target, 10, 6.0));
    forwarder.start_again();
    eventually("each has a call", || ids.iter().all(|id| target.ids().contains(id)));
    assert_eq!(target.seen().len(), 10);
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

#[test]
fn what_sigkill_leaves_untried_is_tried() {
    what_is_left_untried_is_tried("KILL");
}

#[test]
fn what_sigterm_leaves_untried_is_tried() {
    what_is_left_untried_is_tried("TERM");
}

/// What a silent watch misses binds 6 s after it fell silent, and 4 s after SIGHUP, in fleets of any size.
#[test]
fn a_watch_that_falls_silent_is_opened_anew_in_time() {
    let target = Server::start(|_| OK);
    let platforms: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|how| [1, 4, 5, 300].map(|size| (how, size)))
        .map(|(how, size)| {
            let platform = Platform::start(vec![line("s-1", target.address, 1, "active")]);
            platform.server.behave(|_| Reply::Silence);
            let forwarder = Forwarder::start_with(&platform, |c| {
                (c["settings"]["balancers"], c["settings"]["discovery"]) = (size.into(), how.into());
            });
            (how, size, platform, forwarder)
        })
        .collect();
    for (how, size, platform, _forwarder) in &platforms {
        eventually("it is asked again", || platform.server.seen().len() > 1);
        let seen = platform.server.seen();
        let gap = seen[1].at - seen[0].at;
        assert!(gap < MS(5_500), "{how}, {size} forwarders: opened anew after {gap:?}");
    }
}

/// What discovery has binds 6 s later, whatever became of the calls before; a fleet of any size may be told on request.
#[test]
fn a_change_is_asked_for_in_time_after_calls_that_were_turned_away_or_met_silence() {
    const BUSY: Reply = Reply::Status(503, "Connection: close\r\n");
    let fates = [vec![BUSY], vec![BUSY, BUSY], vec![BUSY, Reply::Silence], vec![Reply::Silence, BUSY]];
    let target = Server::start(|_| OK);
    let watches: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|how| [4, 350].map(|size| (how, size)))
        .flat_map(|(how, size)| fates.clone().map(|fates| (how, size, fates)))
        .map(|(how, size, fates)| {
            let platform = Platform::start(vec![line("s-1", target.address, 1, "active")]);
            let (met, calls) = (fates.len(), AtomicUsize::new(0));
            platform.server.behave(move |_| {
                fates.get(calls.fetch_add(1, Ordering::Relaxed)).cloned().unwrap_or(Reply::Close)
            });
            let start = Instant::now();
            let forwarder = Forwarder::start_with(&platform, |c| {
                (c["settings"]["balancers"], c["settings"]["discovery"]) = (size.into(), how.into());
            });
            (how, size, met, start, platform, forwarder)
        })
        .collect();
    for (how, size, met, start, platform, _forwarder) in &watches {
        eventually("a call after these", || platform.server.seen().len() > *met);
        let seen = platform.server.seen();
        let (gap, begun) = (seen[*met].at - seen[0].at, seen[1].at - *start);
        assert!(gap < MS(6_000), "{how}, {size} forwarders: a call {gap:?} after one that failed");
        // The start of the process counts in.
        assert!(begun < MS(7_500), "{how}, {size} forwarders: a second call {begun:?} after the start");
    }
}

#[test]
fn after_sighup_a_silent_discovery_is_asked_again_in_time() {
    let target = Server::start(|_| OK);
    for how in ["pushed", "on_request"] {
        let platform = Platform::start(vec![line("s-1", target.address, 1, "active")]);
        let forwarder = Forwarder::start_with(&platform, |c| c["settings"]["discovery"] = how.into());
        eventually("a watch", || !platform.server.seen().is_empty());
        let moved = Platform::start(vec![line("s-1", target.address, 1, "active")]);
        moved.server.behave(|_| Reply::Silence);
        forwarder.reload(&moved);
        eventually("it is asked again", || moved.server.seen().len() > 1);
        let seen = moved.server.seen();
        let gap = seen[1].at - seen[0].at;
        assert!(gap < MS(3_700), "{how}: asked again after {gap:?}");
    }
}

/// Another discovery counts its versions anew. What it drains is drained; what had been drained stays so.
#[test]
fn a_discovery_that_counts_lower_is_heard_and_revives_nothing() {
    let (old, new, gone) = (Server::start(|_| OK), Server::start(|_| OK), Server::start(|_| OK));
    let platform =
        Platform::start(vec![line("s-1", old.address, 1, "active"), line("s-9", gone.address, 9, "active")]);
    let forwarder = Forwarder::start(&platform);
    for _ in 0..3 {
        platform.change(vec![line("s-1", old.address, 1, "active"), line("s-9", gone.address, 9, "leaving")]);
        eventually("the list is told", || platform.has_told());
    }
    let moved = Platform::start(vec![
        line("s-1", old.address, 1, "leaving"),
        line("s-2", new.address, 1, "active"),
        line("s-9", gone.address, 9, "active"),
    ]);
    forwarder.reload(&moved);
    eventually("the list is told", || moved.has_told());
    assert_eq!(forwarder.hand_in(&fee("drained").to(9).within(1_000)), 202);
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || !old.seen().is_empty() || !new.seen().is_empty());
    assert!(old.seen().is_empty(), "a drained target got a call");
    eventually("its end", || platform.notices().len() + moved.notices().len() == 1);
    assert!(gone.seen().is_empty(), "a drained target got a call");
}

/// Zones that the settings do not name are zones all the same: a repeat that is bound to one stays there.
#[test]
fn a_repeat_stays_in_its_zone_also_where_the_settings_do_not_name_it() {
    let (first, other) = (Server::start(|_| Reply::Close), Server::start(|_| OK));
    let zoned = |id: &str, server: &Server, zone: &str| {
        let mut line = line(id, server.address, 1, "active");
        line["zone"] = zone.into();
        line
    };
    // Only the first is there when the first attempt is made.
    let platform = Platform::start(vec![zoned("s-1", &first, "north")]);
    let forwarder =
        Forwarder::start_with(&platform, |c| c["settings"]["categories"][0]["group"] = "zone".into());
    assert_eq!(forwarder.hand_in(&update("m1", "k").within(4_000)), 202);
    eventually("the first attempt", || !first.seen().is_empty());
    platform.change(vec![zoned("s-1", &first, "north"), zoned("s-2", &other, "south")]);
    eventually("its end", || platform.notices().len() == 1);
    assert!(other.seen().is_empty(), "a repeat went to another zone");
}

/// A client may wait long before it sends its next request; what has begun to come is then owed its answer. Cut in its
/// head: the rest comes when the connection has been open for longer than idle ones may be.
#[test]
fn a_request_that_begins_as_its_idle_connection_is_to_close_is_answered() {
    let (_target, _platform, forwarder) = one_target(|_| OK);
    let ask = |idle: u64| {
        let mut kept = forwarder.connect();
        kept.ask("/healthz").expect("an answer");
        sleep(MS(idle));
        kept.ask_in_two("/healthz", MS(2_300 - idle))
    };
    let answered: Vec<_> = std::thread::scope(|scope| {
        let asked: Vec<_> =
            [1_400, 1_500, 1_600, 1_700, 1_800, 1_900].map(|idle| scope.spawn(move || ask(idle))).into();
        asked.into_iter().map(|a| a.join().expect("no panic")).collect()
    });
    // Some may be late on a slow machine. Cut off with the idle ones, none was answered.
    assert!(answered.contains(&true), "{answered:?}");
}

/// A process that ends while a connection comes up has sent nothing: an unsafe message is still to be tried.
#[test]
fn a_call_whose_connection_had_not_come_up_at_a_kill_has_not_run() {
    let late = TcpListener::bind("127.0.0.1:0").unwrap();
    // With no room in its queue but for the first, the system drops what comes.
    rustix::net::listen(&late, 0).unwrap();
    let address = late.local_addr().unwrap();
    let first = TcpStream::connect(address).unwrap();
    let platform = Platform::start(vec![line("s-1", address, 1, "active")]);
    let mut forwarder =
        Forwarder::start_with(&platform, |c| c["settings"]["limits"]["dial_timeout"] = 20_000_000.into());
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    // The call is decided within milliseconds.
    sleep(MS(300));
    forwarder.kill();
    drop(first);
    let target = Server::start_on(late, |_| OK);
    forwarder.start_again();
    eventually("its call or its end", || {
        target.seen().iter().any(|r| r.path == "/v1/messages") || !platform.notices().is_empty()
    });
    assert_eq!(platform.notices(), []);
}

/// Discovery is down when the process comes back: what its predecessor was told binds it from its first moment.
#[test]
fn a_drain_outlasts_the_process_though_discovery_is_silent() {
    let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
    let platform = Platform::start(vec![line("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&platform);
    platform.change(vec![line("s-1", old.address, 1, "leaving"), line("s-2", new.address, 1, "active")]);
    eventually("the list is told", || platform.has_told());
    platform.server.behave(|_| Reply::Silence);
    forwarder.kill();
    forwarder.start_again();
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || !old.seen().is_empty() || !new.seen().is_empty());
    assert!(old.seen().is_empty(), "a drained target got a call");
}

/// Lists and fleets of over a thousand: start, change, restart while discovery is silent, hand-over, figures.
#[test]
fn a_thousand_endpoints_and_forwarders_are_no_limit() {
    const MANY: u32 = 1024;
    let (old, new) = (Server::start(|_| OK), Server::start(|_| OK));
    let lines = |of_1: &[(&str, &Server, &str)]| {
        let fixed = of_1.iter().map(|(id, server, state)| line(id, server.address, 1, state));
        let rest = of_1.len() as u32..MANY;
        fixed.chain(rest.map(|n| line(&format!("t-{n}"), new.address, n + 1, "active"))).collect::<Vec<_>>()
    };
    let platform = Platform::start(lines(&[("s-1", &old, "active")]));
    let mut forwarder = Forwarder::start_with(&platform, |c| c["settings"]["balancers"] = MANY.into());
    let listed = |forwarder: &Forwarder| crate::door::figure_at(forwarder, "pool_size");
    eventually("all endpoints", || listed(&forwarder) == u64::from(MANY));
    platform.change(lines(&[("s-1", &old, "leaving"), ("s-2", &new, "active")]));
    eventually("the list is told", || platform.has_told());
    platform.server.behave(|_| Reply::Silence);
    forwarder.kill();
    forwarder.start_again();
    assert_eq!(listed(&forwarder), u64::from(MANY));
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || !old.seen().is_empty() || !new.seen().is_empty());
    let mut previous = forwarder.upgrade();
    previous.wait();
    assert_eq!(listed(&forwarder), u64::from(MANY));
    assert_eq!(forwarder.hand_in(&fee("m2")), 202);
    eventually("the call", || new.ids() == ["m1", "m2"]);
    assert!(old.seen().is_empty(), "a drained target got a call");
}

/// Clients that send much and go, and answers that never end, leave no descriptor behind.
#[test]
fn what_bad_peers_held_is_free_again() {
    let (target, platform, mut forwarder) = one_target(|_| OK);
    let descriptors = |forwarder: &Forwarder| forwarder.descriptors();
    assert_eq!(forwarder.hand_in(&fee("m0")), 202);
    eventually("the call", || !target.seen().is_empty());
    sleep(MS(300));
    let before = descriptors(&forwarder);
    target.behave(|_| Reply::Endless);
    for n in 0..40 {
        let mut much = TcpStream::connect(forwarder.listen).unwrap();
        let head = format!(
            "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: b{n}\r\nContent-Length: 90000000\r\n\r\n"
        );
        let _ = much.write_all(head.as_bytes()).and_then(|()| much.write_all(&vec![b'x'; 1 << 20]));
        drop(much);
        let mut half = TcpStream::connect(forwarder.listen).unwrap();
        half.write_all(&head.as_bytes()[..40]).unwrap();
        drop(half);
    }
    for n in 0..8 {
        assert_eq!(forwarder.hand_in(&fee(&format!("e{n}")).within(1_500)), 202);
    }
    eventually("all calls", || target.seen().len() > 8);
    eventually("what was held is free", || descriptors(&forwarder) <= before + 1);
    assert!(forwarder.is_running() && platform.notices().is_empty());
}
