//! What is still owed at the instant at which something ends: each crossing is forced.

use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Instant;

/// Lines of the list for so many destinations at one server, with a limit of so many calls a second each.
fn destinations(server: &HttpServer, count: u32, limit: f64) -> Vec<serde_json::Value> {
    let line = |n: u32| {
        let mut line = list_entry(&format!("s-{n}"), server.address, n, "active");
        line["weight"] = limit.into();
        line
    };
    (1..=count).map(line).collect()
}

/// A fleet of 300 under a listed limit: each process that came back made its first call to a destination within 50 s,
/// and gave up what it had found.
fn what_is_left_untried_is_tried(signal: &str) {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(Vec::new());
    let mut forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["balancers"] = 300.into();
        config["settings"]["weight_source"] = "nominal".into();
    });
    let ids: Vec<String> = (1..=10).map(|n| format!("m{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(forwarder.submit(&fee_message(id).to(n as u32 + 1).with_deadline_ms(16_000)), 202);
    }
    forwarder.signal(signal);
    let _ = forwarder.wait_for_exit();
    assert!(target.requests().is_empty() && discovery.notices().is_empty());
    discovery.change_list(destinations(&target, 10, 6.0));
    forwarder.restart();
    wait_until("each has a call", || ids.iter().all(|id| target.message_ids().contains(id)));
    assert_eq!(target.requests().len(), 10);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
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
    let target = HttpServer::start(|_| OK);
    let discoveries: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|how| [1, 4, 5, 300].map(|size| (how, size)))
        .map(|(how, size)| {
            let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
            discovery.server.set_handler(|_| Response::NoResponse);
            let forwarder = Forwarder::start_with(&discovery, |config| {
                (config["settings"]["balancers"], config["settings"]["discovery"]) =
                    (size.into(), how.into());
            });
            (how, size, discovery, forwarder)
        })
        .collect();
    for (how, size, discovery, _forwarder) in &discoveries {
        wait_until("it is asked again", || discovery.server.requests().len() > 1);
        let seen = discovery.server.requests();
        let gap = seen[1].received_at - seen[0].received_at;
        assert!(gap < MILLIS(5_500), "{how}, {size} forwarders: opened anew after {gap:?}");
    }
}

/// What discovery has binds 6 s later, whatever became of the calls before; a fleet of any size may be told on request.
#[test]
fn a_change_is_asked_for_in_time_after_calls_that_were_turned_away_or_met_silence() {
    const BUSY: Response = Response::Status(503, "Connection: close\r\n");
    let fates =
        [vec![BUSY], vec![BUSY, BUSY], vec![BUSY, Response::NoResponse], vec![Response::NoResponse, BUSY]];
    let target = HttpServer::start(|_| OK);
    let watches: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|how| [4, 350].map(|size| (how, size)))
        .flat_map(|(how, size)| fates.clone().map(|fates| (how, size, fates)))
        .map(|(how, size, fates)| {
            let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
            let (met, calls) = (fates.len(), AtomicUsize::new(0));
            discovery.server.set_handler(move |_| {
                fates.get(calls.fetch_add(1, Ordering::Relaxed)).cloned().unwrap_or(Response::Close)
            });
            let start = Instant::now();
            let forwarder = Forwarder::start_with(&discovery, |config| {
                (config["settings"]["balancers"], config["settings"]["discovery"]) =
                    (size.into(), how.into());
            });
            (how, size, met, start, discovery, forwarder)
        })
        .collect();
    for (how, size, met, start, discovery, _forwarder) in &watches {
        wait_until("a call after these", || discovery.server.requests().len() > *met);
        let seen = discovery.server.requests();
        let (gap, begun) = (seen[*met].received_at - seen[0].received_at, seen[1].received_at - *start);
        assert!(gap < MILLIS(6_000), "{how}, {size} forwarders: a call {gap:?} after one that failed");
        // The start of the process counts in.
        assert!(begun < MILLIS(7_500), "{how}, {size} forwarders: a second call {begun:?} after the start");
    }
}

#[test]
fn after_sighup_a_silent_discovery_is_asked_again_in_time() {
    let target = HttpServer::start(|_| OK);
    for how in ["pushed", "on_request"] {
        let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let forwarder =
            Forwarder::start_with(&discovery, |config| config["settings"]["discovery"] = how.into());
        wait_until("a watch", || !discovery.server.requests().is_empty());
        let moved = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
        moved.server.set_handler(|_| Response::NoResponse);
        forwarder.reload(&moved);
        wait_until("it is asked again", || moved.server.requests().len() > 1);
        let seen = moved.server.requests();
        let gap = seen[1].received_at - seen[0].received_at;
        assert!(gap < MILLIS(3_700), "{how}: asked again after {gap:?}");
    }
}

/// Another discovery counts its versions anew. What it drains is drained; what had been drained stays so.
#[test]
fn a_discovery_that_counts_lower_is_heard_and_revives_nothing() {
    let (old, new, gone) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![
        list_entry("s-1", old.address, 1, "active"),
        list_entry("s-9", gone.address, 9, "active"),
    ]);
    let forwarder = Forwarder::start(&discovery);
    for _ in 0..3 {
        discovery.change_list(vec![
            list_entry("s-1", old.address, 1, "active"),
            list_entry("s-9", gone.address, 9, "leaving"),
        ]);
        wait_until("the list is told", || discovery.has_sent_list());
    }
    let moved = DiscoveryServer::start(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
        list_entry("s-9", gone.address, 9, "active"),
    ]);
    forwarder.reload(&moved);
    wait_until("the list is told", || moved.has_sent_list());
    assert_eq!(forwarder.submit(&fee_message("drained").to(9).with_deadline_ms(1_000)), 202);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the call", || !old.requests().is_empty() || !new.requests().is_empty());
    assert!(old.requests().is_empty(), "a drained target got a call");
    wait_until("its end", || discovery.notices().len() + moved.notices().len() == 1);
    assert!(gone.requests().is_empty(), "a drained target got a call");
}

/// Zones that the settings do not name are zones all the same: a repeat that is bound to one stays there.
#[test]
fn a_repeat_stays_in_its_zone_also_where_the_settings_do_not_name_it() {
    let (first, other) = (HttpServer::start(|_| Response::Close), HttpServer::start(|_| OK));
    let zoned = |id: &str, server: &HttpServer, zone: &str| {
        let mut line = list_entry(id, server.address, 1, "active");
        line["zone"] = zone.into();
        line
    };
    // Only the first is there when the first attempt is made.
    let discovery = DiscoveryServer::start(vec![zoned("s-1", &first, "north")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["categories"][0]["group"] = "zone".into()
    });
    assert_eq!(forwarder.submit(&update_message("m1", "k").with_deadline_ms(4_000)), 202);
    wait_until("the first attempt", || !first.requests().is_empty());
    discovery.change_list(vec![zoned("s-1", &first, "north"), zoned("s-2", &other, "south")]);
    wait_until("its end", || discovery.notices().len() == 1);
    assert!(other.requests().is_empty(), "a repeat went to another zone");
}

/// A client may wait long before it sends its next request; what has begun to come is then owed its answer. Cut in its
/// head: the rest comes when the connection has been open for longer than idle ones may be.
#[test]
fn a_request_that_begins_as_its_idle_connection_is_to_close_is_answered() {
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let ask = |idle: u64| {
        let mut kept = forwarder.connect();
        kept.get("/healthz").expect("an answer");
        sleep(MILLIS(idle));
        kept.get_in_two_parts("/healthz", MILLIS(2_300 - idle))
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
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", address, 1, "active")]);
    let mut forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["limits"]["dial_timeout"] = 20_000_000.into()
    });
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    // The call is decided within milliseconds.
    sleep(MILLIS(300));
    forwarder.kill();
    drop(first);
    let target = HttpServer::start_on(late, |_| OK);
    forwarder.restart();
    wait_until("its call or its end", || {
        target.requests().iter().any(|request| request.path == "/v1/messages")
            || !discovery.notices().is_empty()
    });
    assert_eq!(discovery.notices(), []);
}

/// Discovery is down when the process comes back: what its predecessor was told binds it from its first moment.
#[test]
fn a_drain_outlasts_the_process_though_discovery_is_silent() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&discovery);
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    wait_until("the list is told", || discovery.has_sent_list());
    discovery.server.set_handler(|_| Response::NoResponse);
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the call", || !old.requests().is_empty() || !new.requests().is_empty());
    assert!(old.requests().is_empty(), "a drained target got a call");
}

/// Lists and fleets of over a thousand: start, change, restart while discovery is silent, hand-over, figures.
#[test]
fn a_thousand_endpoints_and_forwarders_are_no_limit() {
    const MANY: u32 = 1024;
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let lines = |of_1: &[(&str, &HttpServer, &str)]| {
        let fixed = of_1.iter().map(|(id, server, state)| list_entry(id, server.address, 1, state));
        let rest = of_1.len() as u32..MANY;
        fixed
            .chain(rest.map(|n| list_entry(&format!("t-{n}"), new.address, n + 1, "active")))
            .collect::<Vec<_>>()
    };
    let discovery = DiscoveryServer::start(lines(&[("s-1", &old, "active")]));
    let mut forwarder =
        Forwarder::start_with(&discovery, |config| config["settings"]["balancers"] = MANY.into());
    let listed = |forwarder: &Forwarder| crate::admin::metric(forwarder, "pool_size");
    wait_until("all endpoints", || listed(&forwarder) == u64::from(MANY));
    discovery.change_list(lines(&[("s-1", &old, "leaving"), ("s-2", &new, "active")]));
    wait_until("the list is told", || discovery.has_sent_list());
    discovery.server.set_handler(|_| Response::NoResponse);
    forwarder.kill();
    forwarder.restart();
    assert_eq!(listed(&forwarder), u64::from(MANY));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the call", || !old.requests().is_empty() || !new.requests().is_empty());
    let mut previous = forwarder.upgrade();
    previous.wait_for_exit();
    assert_eq!(listed(&forwarder), u64::from(MANY));
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the call", || new.message_ids() == ["m1", "m2"]);
    assert!(old.requests().is_empty(), "a drained target got a call");
}

/// Clients that send much and go, and answers that never end, leave no descriptor behind.
#[test]
fn what_bad_peers_held_is_free_again() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| OK);
    let descriptors = |forwarder: &Forwarder| forwarder.open_descriptors();
    assert_eq!(forwarder.submit(&fee_message("m0")), 202);
    wait_until("the call", || !target.requests().is_empty());
    sleep(MILLIS(300));
    let before = descriptors(&forwarder);
    target.set_handler(|_| Response::EndlessBody);
    for n in 0..40 {
        let mut much = TcpStream::connect(forwarder.listen_address).unwrap();
        let head = format!(
            "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: b{n}\r\nContent-Length: 90000000\r\n\r\n"
        );
        let _ = much.write_all(head.as_bytes()).and_then(|()| much.write_all(&vec![b'x'; 1 << 20]));
        drop(much);
        let mut half = TcpStream::connect(forwarder.listen_address).unwrap();
        half.write_all(&head.as_bytes()[..40]).unwrap();
        drop(half);
    }
    for n in 0..8 {
        assert_eq!(forwarder.submit(&fee_message(&format!("e{n}")).with_deadline_ms(1_500)), 202);
    }
    wait_until("all calls", || target.requests().len() > 8);
    wait_until("what was held is free", || descriptors(&forwarder) <= before + 1);
    assert!(forwarder.is_running() && discovery.notices().is_empty());
}
