//! Restarts, discovery failures and closed connections, each at an unfavourable moment.

use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Instant;

/// List entries of `count` destinations at one server, each with a limit of `rate_limit` calls per second.
fn destination_entries(server: &HttpServer, count: u32, rate_limit: f64) -> Vec<serde_json::Value> {
    let entry = |n: u32| {
        let mut entry = list_entry(&format!("s-{n}"), server.address, n, "active");
        entry["weight"] = rate_limit.into();
        entry
    };
    (1..=count).map(entry).collect()
}

/// In a fleet of 300 with a listed rate limit, a restarted process took up to 50 s to make its first call to a
/// destination, and gave up the messages that it had restored from the write-ahead log.
fn assert_untried_messages_are_sent_after(signal: &str) {
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
    discovery.change_list(destination_entries(&target, 10, 6.0));
    forwarder.restart();
    wait_until("the target receives each message", || ids.iter().all(|id| target.message_ids().contains(id)));
    assert_eq!(target.requests().len(), 10);
    assert!(discovery.notices().is_empty(), "{:?}", discovery.notices());
}

#[test]
fn untried_messages_are_sent_after_sigkill() {
    assert_untried_messages_are_sent_after("KILL");
}

#[test]
fn untried_messages_are_sent_after_sigterm() {
    assert_untried_messages_are_sent_after("TERM");
}

/// A change that a silent watch misses is binding 6 s after the watch fell silent, or 4 s after SIGHUP, in fleets of
/// any size.
#[test]
fn a_silent_watch_is_reopened_in_time() {
    let target = HttpServer::start(|_| OK);
    let servers: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|mode| [1, 4, 5, 300].map(|replicas| (mode, replicas)))
        .map(|(mode, replicas)| {
            let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
            discovery.server.set_handler(|_| Response::Silent);
            let forwarder = Forwarder::start_with(&discovery, |config| {
                (config["settings"]["balancers"], config["settings"]["discovery"]) =
                    (replicas.into(), mode.into());
            });
            (mode, replicas, discovery, forwarder)
        })
        .collect();
    for (mode, replicas, discovery, _forwarder) in &servers {
        wait_until("the forwarder asks discovery again", || discovery.server.requests().len() > 1);
        let requests = discovery.server.requests();
        let gap = requests[1].received_at - requests[0].received_at;
        assert!(gap < MILLIS(5_500), "{mode}, {replicas} forwarders: reopened after {gap:?}");
    }
}

/// A change is binding 6 s after discovery has it, regardless of how earlier calls ended. Lists may be served on
/// request to fleets of any size.
#[test]
fn discovery_is_asked_again_in_time_after_failed_calls() {
    const OVERLOADED: Response = Response::Status(503, "Connection: close\r\n");
    let failures = [
        vec![OVERLOADED],
        vec![OVERLOADED, OVERLOADED],
        vec![OVERLOADED, Response::Silent],
        vec![Response::Silent, OVERLOADED],
    ];
    let target = HttpServer::start(|_| OK);
    let watches: Vec<_> = ["pushed", "on_request"]
        .into_iter()
        .flat_map(|mode| [4, 350].map(|replicas| (mode, replicas)))
        .flat_map(|(mode, replicas)| failures.clone().map(|failures| (mode, replicas, failures)))
        .map(|(mode, replicas, failures)| {
            let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
            let (failure_count, calls) = (failures.len(), AtomicUsize::new(0));
            discovery.server.set_handler(move |_| {
                failures.get(calls.fetch_add(1, Ordering::Relaxed)).cloned().unwrap_or(Response::Close)
            });
            let start = Instant::now();
            let forwarder = Forwarder::start_with(&discovery, |config| {
                (config["settings"]["balancers"], config["settings"]["discovery"]) =
                    (replicas.into(), mode.into());
            });
            (mode, replicas, failure_count, start, discovery, forwarder)
        })
        .collect();
    for (mode, replicas, failure_count, start, discovery, _forwarder) in &watches {
        wait_until("the forwarder asks discovery after the failures", || {
            discovery.server.requests().len() > *failure_count
        });
        let requests = discovery.server.requests();
        let (gap, second_call_delay) = (
            requests[*failure_count].received_at - requests[0].received_at,
            requests[1].received_at - *start,
        );
        assert!(gap < MILLIS(6_000), "{mode}, {replicas} forwarders: a call {gap:?} after a failed one");
        // This includes the start of the process.
        assert!(
            second_call_delay < MILLIS(7_500),
            "{mode}, {replicas} forwarders: a second call {second_call_delay:?} after the start"
        );
    }
}

#[test]
fn a_silent_discovery_is_asked_again_in_time_after_sighup() {
    let target = HttpServer::start(|_| OK);
    for mode in ["pushed", "on_request"] {
        let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let forwarder =
            Forwarder::start_with(&discovery, |config| config["settings"]["discovery"] = mode.into());
        wait_until("the forwarder opens a watch", || !discovery.server.requests().is_empty());
        let new_discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
        new_discovery.server.set_handler(|_| Response::Silent);
        forwarder.reload(&new_discovery);
        wait_until("the forwarder asks discovery again", || new_discovery.server.requests().len() > 1);
        let requests = new_discovery.server.requests();
        let gap = requests[1].received_at - requests[0].received_at;
        assert!(gap < MILLIS(3_700), "{mode}: asked again after {gap:?}");
    }
}

/// Another discovery server numbers its versions independently. Targets that it lists as leaving are drained; those
/// that were drained before stay drained.
#[test]
fn a_discovery_with_lower_versions_is_obeyed_and_drained_targets_stay_drained() {
    let (old, new, drained) =
        (HttpServer::start(|_| OK), HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![
        list_entry("s-1", old.address, 1, "active"),
        list_entry("s-9", drained.address, 9, "active"),
    ]);
    let forwarder = Forwarder::start(&discovery);
    for _ in 0..3 {
        discovery.change_list(vec![
            list_entry("s-1", old.address, 1, "active"),
            list_entry("s-9", drained.address, 9, "leaving"),
        ]);
        wait_until("the forwarder receives the list", || discovery.has_sent_list());
    }
    let new_discovery = DiscoveryServer::start(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
        list_entry("s-9", drained.address, 9, "active"),
    ]);
    forwarder.reload(&new_discovery);
    wait_until("the forwarder receives the list", || new_discovery.has_sent_list());
    assert_eq!(forwarder.submit(&fee_message("drained").to(9).with_deadline_ms(1_000)), 202);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("a target receives the call", || !old.requests().is_empty() || !new.requests().is_empty());
    assert!(old.requests().is_empty(), "a drained target got a call");
    wait_until("the message is reported", || discovery.notices().len() + new_discovery.notices().len() == 1);
    assert!(drained.requests().is_empty(), "a drained target got a call");
}

/// A zone counts as such even if the settings do not name it: a retry that is limited to its zone stays in it.
#[test]
fn a_retry_stays_in_its_zone_even_if_the_settings_do_not_name_it() {
    let (first, other) = (HttpServer::start(|_| Response::Close), HttpServer::start(|_| OK));
    let zoned = |id: &str, server: &HttpServer, zone: &str| {
        let mut entry = list_entry(id, server.address, 1, "active");
        entry["zone"] = zone.into();
        entry
    };
    // At the time of the first attempt only the first target is listed.
    let discovery = DiscoveryServer::start(vec![zoned("s-1", &first, "north")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["categories"][0]["group"] = "zone".into()
    });
    assert_eq!(forwarder.submit(&update_message("m1", "k").with_deadline_ms(4_000)), 202);
    wait_until("the first target receives the call", || !first.requests().is_empty());
    discovery.change_list(vec![zoned("s-1", &first, "north"), zoned("s-2", &other, "south")]);
    wait_until("the message is reported", || discovery.notices().len() == 1);
    assert!(other.requests().is_empty(), "a retry went to another zone");
}

/// A client may send its next request shortly before the idle timeout: once a part of it has arrived, it gets a
/// response. The request is split within its head, and the rest arrives after the connection has been open for longer
/// than the idle timeout.
#[test]
fn a_request_that_begins_just_before_the_idle_timeout_gets_a_response() {
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let gets_response = |idle_ms: u64| {
        let mut connection = forwarder.connect();
        connection.get("/healthz").expect("a response");
        sleep(MILLIS(idle_ms));
        connection.get_in_two_parts("/healthz", MILLIS(2_300 - idle_ms))
    };
    let responded: Vec<_> = std::thread::scope(|scope| {
        let clients: Vec<_> = [1_400, 1_500, 1_600, 1_700, 1_800, 1_900]
            .map(|idle_ms| scope.spawn(move || gets_response(idle_ms)))
            .into();
        clients.into_iter().map(|client| client.join().expect("no panic")).collect()
    });
    // Some requests may be late on a slow machine. When such connections were closed as idle, none got a response.
    assert!(responded.contains(&true), "{responded:?}");
}

/// A process that is killed while a connection is being established has sent nothing: even an unsafe message is
/// retried.
#[test]
fn a_call_killed_before_it_was_connected_has_not_run() {
    let late_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // The accept queue holds one connection: the system drops further SYN packets.
    rustix::net::listen(&late_listener, 0).unwrap();
    let address = late_listener.local_addr().unwrap();
    let queued = TcpStream::connect(address).unwrap();
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", address, 1, "active")]);
    let mut forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["limits"]["dial_timeout"] = 20_000_000.into()
    });
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    // The forwarder decides on the call within milliseconds.
    sleep(MILLIS(300));
    forwarder.kill();
    drop(queued);
    let target = HttpServer::start_on(late_listener, |_| OK);
    forwarder.restart();
    wait_until("the message is sent or reported", || {
        target.requests().iter().any(|request| request.path == "/v1/messages")
            || !discovery.notices().is_empty()
    });
    assert_eq!(discovery.notices(), []);
}

/// Discovery is down when the process restarts: the last list that it received before holds from the start.
#[test]
fn a_drain_outlasts_a_restart_while_discovery_is_silent() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&discovery);
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    discovery.server.set_handler(|_| Response::Silent);
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("a target receives the call", || !old.requests().is_empty() || !new.requests().is_empty());
    assert!(old.requests().is_empty(), "a drained target got a call");
}

/// A list of 1024 endpoints in a fleet of 1024: start, list change, restart while discovery is silent, hot restart
/// and metrics.
#[test]
fn a_thousand_endpoints_and_replicas_are_supported() {
    const COUNT: u32 = 1024;
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let entries = |of_destination_1: &[(&str, &HttpServer, &str)]| {
        let fixed =
            of_destination_1.iter().map(|(id, server, state)| list_entry(id, server.address, 1, state));
        let rest = of_destination_1.len() as u32..COUNT;
        fixed
            .chain(rest.map(|n| list_entry(&format!("t-{n}"), new.address, n + 1, "active")))
            .collect::<Vec<_>>()
    };
    let discovery = DiscoveryServer::start(entries(&[("s-1", &old, "active")]));
    let mut forwarder =
        Forwarder::start_with(&discovery, |config| config["settings"]["balancers"] = COUNT.into());
    let listed_endpoints = |forwarder: &Forwarder| crate::admin::metric(forwarder, "pool_size");
    wait_until("all endpoints are listed", || listed_endpoints(&forwarder) == u64::from(COUNT));
    discovery.change_list(entries(&[("s-1", &old, "leaving"), ("s-2", &new, "active")]));
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    discovery.server.set_handler(|_| Response::Silent);
    forwarder.kill();
    forwarder.restart();
    assert_eq!(listed_endpoints(&forwarder), u64::from(COUNT));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("a target receives the call", || !old.requests().is_empty() || !new.requests().is_empty());
    let mut old_process = forwarder.start_successor();
    old_process.wait_for_exit();
    assert_eq!(listed_endpoints(&forwarder), u64::from(COUNT));
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("a target receives the call", || new.message_ids() == ["m1", "m2"]);
    assert!(old.requests().is_empty(), "a drained target got a call");
}

/// Clients that disconnect in the middle of a large request, and responses that never end, leave no file descriptor
/// open.
#[test]
fn descriptors_of_misbehaving_peers_are_released() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| OK);
    let descriptors = |forwarder: &Forwarder| forwarder.open_descriptors();
    assert_eq!(forwarder.submit(&fee_message("m0")), 202);
    wait_until("a target receives the call", || !target.requests().is_empty());
    sleep(MILLIS(300));
    let before = descriptors(&forwarder);
    target.set_handler(|_| Response::EndlessBody);
    for n in 0..40 {
        let mut large_request = TcpStream::connect(forwarder.listen_address).unwrap();
        let head = format!(
            "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: b{n}\r\nContent-Length: 90000000\r\n\r\n"
        );
        let _ = large_request
            .write_all(head.as_bytes())
            .and_then(|()| large_request.write_all(&vec![b'x'; 1 << 20]));
        drop(large_request);
        let mut partial_head = TcpStream::connect(forwarder.listen_address).unwrap();
        partial_head.write_all(&head.as_bytes()[..40]).unwrap();
        drop(partial_head);
    }
    for n in 0..8 {
        assert_eq!(forwarder.submit(&fee_message(&format!("e{n}")).with_deadline_ms(1_500)), 202);
    }
    wait_until("the target receives all calls", || target.requests().len() > 8);
    wait_until("the descriptors are released", || descriptors(&forwarder) <= before + 1);
    assert!(forwarder.is_running() && discovery.notices().is_empty());
}
