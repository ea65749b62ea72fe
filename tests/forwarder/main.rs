//! End-to-end tests of the forwarder process with test servers on loopback: forwarding rules, restarts and past
//! failures.

mod admin;
mod broken_responses;
mod edge_cases;
mod excess_responses;
#[path = "../harness/mod.rs"]
mod harness;
mod hot_restart;
mod log_output;
mod pipelined_requests;
mod refused_reports;
mod repeated_requests;
mod startup;
mod unread_responses;
mod write_ahead_log;

use harness::*;
use hatchline::discovery::ListRequest;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;

/// Starts one target of destination 1, a discovery server that lists it, and a forwarder.
fn start_with_one_target(
    handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
) -> (Arc<HttpServer>, DiscoveryServer, Forwarder) {
    let target = HttpServer::start(handler);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    (target, discovery, forwarder)
}

#[test]
fn a_message_is_forwarded_unchanged_and_its_delivery_causes_no_notice() {
    let (target, discovery, forwarder) = start_with_one_target(|_| OK);
    let body: Vec<u8> = (0..=255).cycle().take(64 * 1024).collect();
    assert_eq!(forwarder.submit(&update_message("m1", "k").with_body(body.clone())), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
    let call = &target.requests()[0];
    assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "/v1/messages"));
    assert_eq!(call.headers["idempotency-key"], "key-of-m1");
    assert!(call.headers["x-deadline"].ends_with('u'));
    assert!(call.body == body);
    assert_eq!(forwarder.submit(&update_message("m2", "k")), 202);
    wait_until("the next message of the order key is sent", || target.message_ids() == ["m1", "m2"]);
    assert!(discovery.notices().is_empty());
}

#[test]
fn malformed_requests_get_an_error_and_have_no_effect() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let text = String::from_utf8(update_message("m1", "k").bytes()).unwrap();
    let status =
        |text: String| forwarder.exchange(text.as_bytes()).split(' ').nth(1).unwrap_or("").to_string();
    assert_eq!(status(text.replace("X-Deadline: 24000m", "X-Deadline: soon")), "400");
    assert_eq!(status(text.replace("X-Deadline: 24000m", "X-Deadline: é")), "400");
    assert_eq!(status(text.replace("dest=1", "dest=one")), "400");
    assert_eq!(status(text.replace("X-Request-Id", "X-Other")), "400");
    assert_eq!(status(text.replace("Idempotency-Key", "X-Other")), "400");
    assert_eq!(status(text.replace("/update/", "/unknown/")), "404");
    assert_eq!(status(text.replace("HTTP/1.1", "SPDY")), "400");
    assert_eq!(forwarder.submit(&update_message("m2", "k").with_body(vec![0; 64 * 1024 + 1])), 413);
    assert_eq!(forwarder.submit(&update_message("m3", "k")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m3"]);
    assert!(forwarder.is_running());
}

/// Such requests used to be accepted as messages, and the error responses to them opened the circuit breakers of the
/// destinations that they named.
#[test]
fn requests_that_no_client_sends_reach_no_endpoint() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let text = String::from_utf8(fee_message("m1").bytes()).unwrap();
    let status =
        |text: String| forwarder.exchange(text.as_bytes()).split(' ').nth(1).unwrap_or("").to_string();
    assert_eq!(status(text.replace("/fee", "/fee/7f3a")), "404");
    assert_eq!(status(text.replace("/fee", "/fee?v=7f3a")), "404");
    assert_eq!(status(text.replace("dest=1", "dest=70000")), "400");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";
    assert_eq!(status(text.replace("Content-Length: 1\r\n\r\nx", chunked)), "411");
    let smuggled = format!("Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n{text}");
    let responses = forwarder.exchange(text.replace("Content-Length: 1\r\n\r\nx", &smuggled).as_bytes());
    assert_eq!(responses.matches("HTTP/1.1").count(), 1, "{responses}");
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m2"]);
    assert!(forwarder.is_running());
}

#[test]
fn a_half_closed_client_gets_its_response() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let submit = |id: &str| {
        let mut stream = TcpStream::connect(forwarder.listen_address).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.write_all(&fee_message(id).bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    };
    for n in 1..=20 {
        // A machine that is short of CPU time may refuse it (503) at first.
        wait_until("the message is accepted", || {
            let response = submit(&format!("m{n}"));
            assert!(
                response.starts_with("HTTP/1.1 202") || response.starts_with("HTTP/1.1 503"),
                "{n}: {response:?}"
            );
            response.starts_with("HTTP/1.1 202")
        });
        wait_until("the target receives the call", || target.requests().len() == n);
    }
}

/// The client knows that the message is accepted. It may close the connection, or reset it by closing it with unread
/// bytes.
#[test]
fn a_message_is_sent_though_its_client_disconnects_after_the_202() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
    for (n, (half_closed, bytes_to_read)) in
        [(true, 12), (true, 200), (false, 12), (false, 200)].into_iter().enumerate()
    {
        let id = format!("m{n}");
        wait_until("the message is accepted", || {
            let mut stream = TcpStream::connect(forwarder.listen_address).unwrap();
            stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
            stream.write_all(&fee_message(&id).bytes()).unwrap();
            if half_closed {
                stream.shutdown(Shutdown::Write).unwrap();
            }
            let mut response = [0; 200];
            let n = stream.read(&mut response[..bytes_to_read]).unwrap();
            response[..n].starts_with(b"HTTP/1.1 202")
        });
        wait_until("the target receives the call", || target.message_ids().contains(&id));
    }
}

#[test]
fn messages_of_an_order_key_are_sent_in_order_one_at_a_time() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(150), 200));
    for n in 0..5 {
        assert_eq!(forwarder.submit(&update_message(&format!("m{n}"), "k")), 202);
    }
    wait_until("the target receives all calls", || target.requests().len() == 5);
    assert_eq!(target.message_ids(), ["m0", "m1", "m2", "m3", "m4"]);
    for pair in target.requests().windows(2) {
        assert!(
            pair[1].received_at - pair[0].received_at >= MILLIS(150),
            "two messages of an order key were in flight at once"
        );
    }
}

#[test]
fn a_destination_gets_no_call_during_its_retry_after() {
    let (target, _discovery, forwarder) =
        start_with_one_target(|_| Response::Status(429, "X-Come-Back-Ms: 4000\r\n"));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.requests().len() == 1);
    target.set_handler(|_| OK);
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the target receives both messages", || target.requests().len() == 3);
    assert!(target.requests()[1].received_at - target.requests()[0].received_at >= MILLIS(4_000));
}

#[test]
fn a_draining_target_gets_no_new_call() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || old.requests().len() == 1);
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    for n in 2..8 {
        assert_eq!(forwarder.submit(&fee_message(&format!("m{n}"))), 202);
    }
    wait_until("the target receives the calls", || new.requests().len() == 6);
    assert_eq!(old.requests().len(), 1);
}

/// A connection whose first packet is lost is established a second later. In fleets of 300 its call was then sent
/// although the destination had meanwhile asked for a pause.
#[test]
fn a_call_obeys_a_list_received_while_it_connects() {
    let (late_listener, new) = (TcpListener::bind("127.0.0.1:0").unwrap(), HttpServer::start(|_| OK));
    // The accept queue holds one connection: the system drops further SYN packets, which are sent again after a
    // second.
    rustix::net::listen(&late_listener, 0).unwrap();
    let address = late_listener.local_addr().unwrap();
    let _queued = TcpStream::connect(address).unwrap();
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["limits"]["dial_timeout"] = 20_000_000.into()
    });
    wait_until("the forwarder receives the first list", || discovery.has_sent_list());
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    // The call starts within milliseconds. If the new list arrives first, the message only ever goes to the other
    // target.
    sleep(MILLIS(100));
    discovery.change_list(vec![
        list_entry("s-1", address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    let old = HttpServer::start_on(late_listener, |_| OK);
    wait_until("the target receives the call", || !new.requests().is_empty() || !old.requests().is_empty());
    assert!(old.requests().is_empty(), "a drained target got a call");
}

/// The first watch fails; until one succeeds, the list in the configuration is used.
#[test]
fn the_configured_list_is_used_while_discovery_fails() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    discovery.server.set_handler(|_| Response::Close);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
    wait_until("the forwarder asks discovery again", || discovery.server.requests().len() > 3);
}

#[test]
fn a_list_is_used_though_its_connection_closes() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let list =
        format!(r#"{{"version":2,"full":true,"servers":[{}]}}"#, list_entry("s-2", new.address, 1, "active"));
    let response =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    let response: &'static str = response.leak();
    discovery.server.set_handler(|_| Response::Raw(response.as_bytes()));
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || new.message_ids() == ["m1"]);
    assert!(old.requests().is_empty());
}

/// Simulations of the traffic to discovery count the bytes of this format.
#[test]
fn discovery_requests_are_sent_as_the_library_formats_them() {
    let discovery = DiscoveryServer::start(Vec::new());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let _forwarder = Forwarder::start_with(&discovery, |config| {
        config["discovery"] = address.to_string().into();
        config["known"]["servers"] = serde_json::json!([list_entry("s-1", address, 1, "active")]);
    });
    let mut stream = listener.accept().unwrap().0;
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    for request in [ListRequest::Watch { since: 1, wait: MILLIS(1_000) }, ListRequest::FullList] {
        let mut bytes = vec![0; request.wire_format(address).len()];
        stream.read_exact(&mut bytes).unwrap();
        assert_eq!(String::from_utf8_lossy(&bytes), request.wire_format(address));
        stream.write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n").unwrap();
    }
}

/// In a fleet of 48, calls that were retried at once kept discovery too busy to respond to any of them.
#[test]
fn the_forwarder_backs_off_from_an_overloaded_discovery() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    discovery.server.set_handler(|_| Response::Status(503, "Connection: close\r\n"));
    let forwarder = Forwarder::start_with(&discovery, |config| config["settings"]["balancers"] = 20.into());
    wait_until("discovery receives three requests", || discovery.server.requests().len() >= 3);
    let requests = discovery.server.requests();
    for pair in requests.windows(2) {
        let pause = pair[1].received_at - pair[0].received_at;
        assert!(pause >= MILLIS(900), "retried after {pause:?}");
    }
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
}

/// In a fleet of 100, full lists and new watches requested by all at once kept discovery too busy to respond.
#[test]
fn a_fleet_spreads_its_first_watches_and_asks_for_changes_only() {
    let target = HttpServer::start(|_| OK);
    let start_forwarder = |_| {
        let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
        let start = Instant::now();
        let forwarder = Forwarder::start_with(&discovery, |config| {
            (config["settings"]["balancers"], config["settings"]["discovery"]) =
                (100.into(), "on_request".into());
        });
        (discovery, start, forwarder)
    };
    let fleet: Vec<_> = (0..8).map(start_forwarder).collect();
    wait_until("each forwarder opens a watch", || {
        fleet.iter().all(|(discovery, ..)| !discovery.server.requests().is_empty())
    });
    let first_watch_delay = |(discovery, start, _): &(DiscoveryServer, Instant, Forwarder)| {
        let watch = discovery.server.requests().swap_remove(0);
        assert!(watch.path.contains("since=1&"), "{}", watch.path);
        watch.received_at - *start
    };
    // Eight random delays of up to 2.5 s: all are below 0.5 s with a probability of 0.2^8, or 1 in 390 000.
    assert!(fleet.iter().map(first_watch_delay).max() > Some(MILLIS(500)));
}

/// In fleets of 300 the first watches were spread over 15 s even where lists are pushed, although a pushed list is
/// binding as soon as the local agent has it.
#[test]
fn a_large_fleet_obeys_pushed_lists_from_the_start() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut fleet: Vec<_> = (0..4)
        .map(|_| {
            let change = |config: &mut serde_json::Value| config["settings"]["balancers"] = 300.into();
            let mut forwarder = Forwarder::start_with(&discovery, change);
            forwarder.kill();
            forwarder
        })
        .collect();
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    for forwarder in &mut fleet {
        forwarder.restart();
        assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    }
    wait_until("the target receives the calls", || old.requests().len() + new.requests().len() == 4);
    assert!(old.requests().is_empty());
}

#[test]
fn an_unsafe_message_without_response_is_tried_once_and_reported_at_its_deadline() {
    let (target, discovery, forwarder) = start_with_one_target(|_| Response::Silent);
    let start = Instant::now();
    assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(800)), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
    let notice = discovery.server.requests().into_iter().find(|request| request.method == "POST").unwrap();
    assert!(notice.received_at - start >= MILLIS(700), "reported before its deadline");
    assert_eq!(target.message_ids(), ["m1"]);
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", closed_port, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(600)), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "handed_back"));
}

#[test]
fn unexpected_responses_mean_that_the_message_may_have_run() {
    for bytes in [&b"HTTP/1.1 abc\r\n\r\n"[..], b"\0\0\0\0", b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"]
    {
        let (target, discovery, mut forwarder) = start_with_one_target(move |_| Response::Raw(bytes));
        assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(20_000)), 202);
        wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
        assert_eq!(target.message_ids(), ["m1"]);
        assert!(forwarder.is_running());
    }
}

#[test]
fn each_response_status_has_its_outcome() {
    // Not executed: even an unsafe message is retried.
    for (status, headers) in [(503, ""), (503, "X-Line-Busy: 1\r\n"), (429, "X-Come-Back-Ms: 1\r\n")] {
        let (target, discovery, forwarder) =
            start_with_one_target(move |_| Response::Status(status, headers));
        assert_eq!(forwarder.submit(&fee_message("m1")), 202);
        wait_until("the target receives the first call", || !target.requests().is_empty());
        target.set_handler(|_| OK);
        wait_until("the target receives another call", || target.requests().len() > 1);
        assert!(discovery.notices().is_empty(), "{status} {headers}");
    }
    // Possibly executed: an unsafe message ends and is not retried.
    let (target, discovery, forwarder) = start_with_one_target(|_| Response::Status(500, ""));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
    assert_eq!(target.message_ids(), ["m1"]);
    // Finished without a notice: the next message of the order key may be sent.
    let (target, discovery, forwarder) = start_with_one_target(|request| {
        Response::Status(if request.message_id() == "m1" { 410 } else { 200 }, "")
    });
    assert_eq!(forwarder.submit(&update_message("m1", "k")), 202);
    assert_eq!(forwarder.submit(&update_message("m2", "k")), 202);
    wait_until("the target receives the calls", || target.message_ids() == ["m1", "m2"]);
    assert!(discovery.notices().is_empty());
    // Not executed within all attempts: a notice is still due.
    let (_target, discovery, forwarder) = start_with_one_target(|_| Response::Status(504, ""));
    assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(2_000)), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "handed_back"));
}

/// A target that closes an idle connection without notice must not use up the only attempt of an unsafe message.
#[test]
fn a_stale_connection_is_not_reused() {
    let (target, discovery, forwarder) = start_with_one_target(|_| Response::OkAndClose);
    for n in 0..20 {
        assert_eq!(forwarder.submit(&fee_message(&format!("m{n}"))), 202);
        wait_until("the target responds and closes the connection", || {
            target.closed_connections.load(Ordering::SeqCst) == n + 1
        });
    }
    assert!(discovery.notices().is_empty());
}

#[test]
fn an_idle_connection_is_reused_until_its_timeout() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["limits"]["conn_idle"] = 2_000_000.into()
    });
    let connection_of = |id: &str| {
        assert_eq!(forwarder.submit(&fee_message(id)), 202);
        wait_until("the target receives the call", || target.message_ids().contains(&id.to_string()));
        sleep(MILLIS(50));
        target.requests().last().unwrap().connection
    };
    let burst: Vec<usize> = (0..12).map(|n| connection_of(&format!("m{n}"))).collect();
    assert!(burst.windows(2).any(|pair| pair[0] == pair[1]), "never reused: {burst:?}");
    sleep(MILLIS(2_000));
    assert!(!burst.contains(&connection_of("late")), "reused after its timeout");
}

#[test]
fn a_killed_forwarder_resumes_its_messages() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Silent);
    assert_eq!(forwarder.submit(&fee_message("unsafe")), 202);
    wait_until("the target receives the unsafe message", || target.message_ids() == ["unsafe"]);
    for id in ["first", "second", "third"] {
        assert_eq!(forwarder.submit(&update_message(id, "k")), 202);
    }
    assert_eq!(forwarder.submit(&fee_message("short").with_deadline_ms(600)), 202);
    forwarder.kill();
    target.set_handler(|_| OK);
    sleep(MILLIS(700));
    forwarder.restart();
    wait_until("the target receives the calls", || target.message_ids().contains(&"third".to_string()));
    let resumed: Vec<_> = target.message_ids().into_iter().filter(|id| !id.contains("unsafe")).collect();
    assert_eq!(resumed, ["first", "second", "third"], "in order, without the expired message");
    wait_until("the message that may have run is given up", || discovery.has_notice("unsafe", "given_up"));
    wait_until("the expired message is reported", || {
        discovery.notices().iter().any(|notice| notice.0 == "short")
    });
    assert_eq!(target.message_ids().iter().filter(|id| *id == "unsafe").count(), 1);
    // All earlier messages of the order key are finished: a restart sends none of them again.
    assert_eq!(forwarder.submit(&update_message("last", "k")), 202);
    wait_until("the target receives the last message", || target.message_ids().contains(&"last".to_string()));
    let others = || target.message_ids().into_iter().filter(|id| id != "last").collect::<Vec<_>>();
    let before = others();
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&update_message("new", "k")), 202);
    wait_until("the target receives the new message", || target.message_ids().contains(&"new".to_string()));
    assert_eq!(others(), [before, vec!["new".to_string()]].concat());
}

#[test]
fn a_forwarder_killed_at_any_time_loses_and_duplicates_nothing() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(15), 200));
    let mut accepted = Vec::new();
    for round in 0..8 {
        let start = Instant::now();
        for n in 0.. {
            let id = format!("m{round}-{n}");
            if forwarder.submit(&fee_message(&id)) == 202 {
                accepted.push(id);
            }
            if start.elapsed() > MILLIS(40 + 7 * round) {
                break;
            }
        }
        forwarder.kill();
        forwarder.restart();
    }
    wait_until("each accepted message is delivered or reported", || {
        let (ids, notices) = (target.message_ids(), discovery.notices());
        accepted.iter().all(|id| ids.contains(id) || notices.iter().any(|notice| notice.0 == *id))
    });
    let mut ids = target.message_ids();
    ids.sort();
    assert!(ids.windows(2).all(|pair| pair[0] != pair[1]), "an unsafe message was sent twice");
}

#[test]
fn sigterm_lets_calls_finish_and_keeps_the_other_messages() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(1_000), 200));
    assert_eq!(forwarder.submit(&fee_message("out")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["out"]);
    // No endpoint of destination 2 is listed yet.
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    let start = Instant::now();
    let mut connection = forwarder.connect();
    forwarder.signal("TERM");
    wait_until("responses close their connections", || match connection.get("/healthz") {
        Some(head) => head.contains("connection: close"),
        None => true,
    });
    // Accepted or, on a slow machine, not accepted any more.
    let late = forwarder.submit(&fee_message("late").to(2));
    assert!(late == 202 || late == 0, "{late}");
    assert!(forwarder.wait_for_exit().success());
    // It does not wait for held messages; the limit allows for slow machines.
    assert!(start.elapsed() < MILLIS(10_000), "took {:?}", start.elapsed());
    assert!(discovery.notices().is_empty());
    let second_target = HttpServer::start(|_| OK);
    let first_entry = list_entry("s-1", target.address, 1, "active");
    discovery.change_list(vec![first_entry, list_entry("s-2", second_target.address, 2, "active")]);
    forwarder.restart();
    wait_until("the remaining messages are sent", || {
        second_target.message_ids().len() == 1 + usize::from(late == 202)
    });
    assert!(second_target.message_ids().contains(&"held".to_string()));
    assert_eq!(target.message_ids(), ["out"]);
    assert!(discovery.notices().is_empty());
}

/// A request may arrive in parts split at any byte: once the first part has arrived, a process that is shutting down
/// still responds to it.
#[test]
fn shutdown_waits_for_a_request_that_has_begun_to_arrive() {
    let (_target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut client = TcpStream::connect(forwarder.listen_address).unwrap();
    client.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let request = fee_message("cut").bytes();
    let (first_part, rest) = request.split_at(20);
    client.write_all(first_part).unwrap();
    sleep(MILLIS(100));
    forwarder.signal("TERM");
    // Without that request it would exit after 1 s; the head of a request may take 2.2 s.
    sleep(MILLIS(1_400));
    client.write_all(rest).unwrap();
    let mut response = String::new();
    client.read_to_string(&mut response).expect("a complete response");
    assert!(response.starts_with("HTTP/1.1 202"), "{response}");
    assert!(forwarder.wait_for_exit().success());
}

/// The delivery policy never sees such a message, but its client gets the same Retry-After.
#[test]
fn a_client_refused_for_lack_of_disk_space_gets_retry_after() {
    let target = HttpServer::start(|_| Response::Status(429, "X-Come-Back-Ms: 9000\r\n"));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["limits"]["disk_mb"] = 0.4.into();
        config["settings"]["limits"]["retry_after"] = true.into();
        config["settings"]["limits"]["max_retry_after"] = 2_000_000.into();
    });
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target rejects the call", || target.requests().len() == 1);
    sleep(MILLIS(50));
    let message = |n: usize| fee_message(&format!("n{n}")).with_body(vec![7; 30_000]);
    let responses = (0..20).map(|n| forwarder.exchange(&message(n).bytes()).to_lowercase());
    let refused =
        responses.into_iter().find(|response| !response.starts_with("http/1.1 202")).expect("a refusal");
    assert!(refused.starts_with("http/1.1 503") && refused.contains("retry-after: 2.000"), "{refused}");
}

/// The process is suspended while a client submits a message and disconnects; that client submits it elsewhere.
#[test]
fn a_message_whose_client_left_before_the_response_is_not_sent() {
    let (target, discovery, forwarder) = start_with_one_target(|_| OK);
    forwarder.signal("STOP");
    let mut stream = TcpStream::connect(forwarder.listen_address).unwrap();
    stream.write_all(&fee_message("gone").bytes()).unwrap();
    drop(stream);
    // Longer than a client waits: the forwarder notices that the request is late and that its client has disconnected.
    sleep(MILLIS(400));
    forwarder.signal("CONT");
    assert_eq!(forwarder.submit(&fee_message("here")), 202);
    wait_until("the target receives the call", || target.message_ids().contains(&"here".to_string()));
    sleep(MILLIS(100));
    assert_eq!(target.message_ids(), ["here"]);
    assert!(discovery.notices().is_empty());
}

/// Where CPU time is short, opening a connection takes turns of the event loop and so delays the notice.
#[test]
fn notices_reuse_their_connection_and_reconnect_when_it_is_closed() {
    let (_target, discovery, forwarder) = start_with_one_target(|_| OK);
    let notice_connection = |id: &str| {
        // No endpoint of destination 9 is listed: the message is handed back at its deadline.
        assert_eq!(forwarder.submit(&fee_message(id).to(9).with_deadline_ms(100)), 202);
        wait_until("the notice arrives", || discovery.has_notice(id, "handed_back"));
        admin::wait_until_connection_is_idle();
        discovery.server.requests().into_iter().rfind(|request| request.method == "POST").unwrap().connection
    };
    let connections: Vec<_> = (0..8).map(|n| notice_connection(&format!("m{n}"))).collect();
    assert!(connections.windows(2).any(|pair| pair[0] == pair[1]), "never reused: {connections:?}");
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::OkAndClose
        } else {
            Response::Silent
        }
    });
    notice_connection("closes");
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::Status(204, "")
        } else {
            Response::Silent
        }
    });
    notice_connection("after");
}

#[test]
fn notices_are_retried_until_acknowledged_even_after_a_restart() {
    let (_target, discovery, mut forwarder) = start_with_one_target(|_| Response::Status(500, ""));
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::Status(503, "")
        } else {
            Response::Silent
        }
    });
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the notice is sent twice", || discovery.notices().len() >= 2);
    forwarder.kill();
    let before = discovery.notices().len();
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::Status(204, "")
        } else {
            Response::Silent
        }
    });
    forwarder.restart();
    wait_until("the notice is sent again", || discovery.notices().len() > before);
    sleep(MILLIS(300));
    assert_eq!(discovery.notices().len(), before + 1, "sent again after it was acknowledged");
    assert!(discovery.notices().iter().all(|notice| notice == &("m1".to_string(), "given_up".to_string())));
}

/// A message that ends with a notice is finished once the notice is acknowledged. The next message of its order key
/// used to be sent before that.
#[test]
fn an_order_key_waits_for_an_earlier_notice_even_after_a_restart() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Status(504, ""));
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::Status(503, "")
        } else {
            Response::Silent
        }
    });
    assert_eq!(forwarder.submit(&update_message("m1", "k").with_deadline_ms(700)), 202);
    assert_eq!(forwarder.submit(&update_message("m2", "k").with_deadline_ms(1_400)), 202);
    assert_eq!(forwarder.submit(&update_message("m3", "k")), 202);
    assert_eq!(forwarder.submit(&update_message("other", "l")), 202);
    wait_until("the message that expired while waiting is reported", || {
        discovery.notices().iter().any(|notice| notice.0 == "m2")
    });
    wait_until("the notice is retried", || {
        discovery.notices().iter().filter(|notice| notice.0 == "m1").count() >= 3
    });
    target.set_handler(|_| OK);
    forwarder.kill();
    forwarder.restart();
    wait_until("a message of another order key is sent", || {
        target.message_ids().contains(&"other".to_string())
    });
    wait_until("the notice is retried", || {
        discovery.notices().iter().filter(|notice| notice.0 == "m1").count() >= 8
    });
    assert!(!target.message_ids().contains(&"m3".to_string()), "sent before m1 was finished");
    discovery.server.set_handler(|request| {
        if request.method == "POST" {
            Response::Status(204, "")
        } else {
            Response::Silent
        }
    });
    wait_until("the next message of the order key is sent", || {
        target.message_ids().contains(&"m3".to_string())
    });
}

/// A send that has waited for a notice is decided again afterwards, by the list received in the meantime.
#[test]
fn a_send_obeys_a_list_received_while_it_waits_for_a_notice() {
    let (old, new) = (HttpServer::start(|_| Response::Status(504, "")), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&update_message("m1", "k").with_deadline_ms(700)), 202);
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    discovery.reject_notices(true);
    assert_eq!(forwarder.submit(&update_message("m2", "k")), 202);
    wait_until("the notice is retried", || discovery.notices().len() >= 3);
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    discovery.reject_notices(false);
    wait_until("the target receives the call", || new.message_ids() == ["m2"]);
    assert!(!old.message_ids().contains(&"m2".to_string()));
}

/// A target that discovery lists as leaving gets no call after a restart, though the configuration still lists it as
/// active.
#[test]
fn a_restarted_forwarder_asks_for_the_list_before_it_sends() {
    let (old, new) = (HttpServer::start(|_| Response::Silent), HttpServer::start(|_| OK));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&discovery);
    for id in ["m1", "m2"] {
        assert_eq!(forwarder.submit(&update_message(id, "k")), 202);
    }
    wait_until("the target receives the call", || old.message_ids() == ["m1"]);
    forwarder.kill();
    discovery.change_list(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    forwarder.restart();
    wait_until("the target receives the calls", || new.message_ids() == ["m1", "m2"]);
    assert_eq!(old.message_ids(), ["m1"]);
}

/// A single failure used to end all calls to a destination that only gets unsafe messages: these were not sent there
/// until another message had been delivered.
#[test]
fn unsafe_messages_alone_retry_a_destination_after_a_failure() {
    let (target, discovery, forwarder) = start_with_one_target(|_| Response::Status(500, ""));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
    target.set_handler(|_| OK);
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1", "m2"]);
}

/// The response to an attempt that was given up arrives on a connection that is not reused.
#[test]
fn a_late_response_is_not_taken_for_that_of_a_later_attempt() {
    let (target, discovery, forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(900), 500));
    assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(400)), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
    target.set_handler(|_| OK);
    assert_eq!(forwarder.submit(&update_message("m2", "k")), 202);
    wait_until("the target receives the call", || target.message_ids().contains(&"m2".to_string()));
    sleep(MILLIS(1_000));
    assert_eq!(discovery.notices().len(), 1);
    let requests = target.requests();
    assert_ne!(requests[0].connection, requests[1].connection);
}

/// After the switch, lists are fetched from the new address only and notices are sent there only, also after a
/// restart.
#[test]
fn sighup_switches_discovery_to_the_configured_address() {
    let (old, new) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let before = DiscoveryServer::start(vec![list_entry("s-1", old.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&before);
    wait_until("the forwarder receives the first list", || before.has_sent_list());
    let after = DiscoveryServer::start(vec![
        list_entry("s-1", old.address, 1, "leaving"),
        list_entry("s-2", new.address, 1, "active"),
    ]);
    before.server.set_handler(|_| Response::Close);
    forwarder.reload(&after);
    wait_until("the forwarder receives the list from the new address", || after.has_sent_list());
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || new.message_ids() == ["m1"]);
    assert!(old.requests().is_empty());
    new.set_handler(|_| Response::Status(500, ""));
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the notice arrives", || after.has_notice("m2", "given_up"));
    assert!(forwarder.is_running());
    new.set_handler(|_| OK);
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&fee_message("m3")), 202);
    wait_until("the target receives a call after the restart", || {
        new.message_ids().contains(&"m3".to_string())
    });
    assert!(before.notices().is_empty());
}

#[test]
fn an_invalid_list_entry_hides_no_other_entry() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![]);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    let mut invalid_entry = list_entry("s-0", target.address, 1, "active");
    invalid_entry["state"] = "asleep".into();
    discovery.change_list(vec![invalid_entry, list_entry("s-1", target.address, 1, "active")]);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
}

#[test]
fn the_forwarder_survives_running_out_of_file_descriptors() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| OK);
    forwarder.restart_with_descriptor_limit(32);
    let connections: Vec<_> = (0..60).map(|_| forwarder.connect()).collect();
    sleep(MILLIS(100));
    assert!(forwarder.is_running());
    drop(connections);
    wait_until("the forwarder accepts messages again", || {
        forwarder.submit(&update_message("m1", "k")) == 202
    });
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
    assert!(discovery.notices().is_empty());
}

#[test]
fn an_unusable_configuration_is_reported_in_one_line() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    for text in [None, Some("{"), Some("{\"listen\":\"127.0.0.1:0\"}")] {
        text.into_iter().for_each(|text| fs::write(&path, text).unwrap());
        let mut command = Command::new(env!("CARGO_BIN_EXE_foldtrack"));
        command.env_clear().env("BALANCER_CONFIG", &path).env("BALANCER_STATE", directory.path());
        let output = command.stdout(Stdio::null()).output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(stderr.lines().count() == 1 && !stderr.contains("panic"), "{stderr}");
    }
}

/// Sends four messages one after the other to a target that rejects its first call with this response. Returns the
/// connections of the calls that follow.
fn connections_after_rejection(rejection: Response) -> Vec<usize> {
    let is_first = AtomicBool::new(true);
    let (target, _discovery, forwarder) =
        start_with_one_target(
            move |_| if is_first.swap(false, Ordering::Relaxed) { rejection.clone() } else { OK },
        );
    for (n, id) in ["m1", "m2", "m3", "m4"].into_iter().enumerate() {
        assert_eq!(forwarder.submit(&fee_message(id)), 202);
        wait_until("the message is delivered", || target.requests().len() >= n + 2);
        // Once no message is active the forwarder has read the response.
        wait_until("the message is finished", || admin::metric(&forwarder, "active") == 0);
    }
    target.requests().iter().skip(1).map(|request| request.connection).collect()
}

/// Endpoints that allow few connections respond like this to a connection beyond their limit. That used to be taken
/// for a rejection by their rate limit, and a forwarder that got a connection kept it from the others.
#[test]
fn connections_to_a_target_at_its_connection_limit_are_closed_after_use() {
    let too_many_connections = b"HTTP/1.1 503 Status\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(connections_after_rejection(Response::RawThenClose(too_many_connections)), [1, 2, 3, 4]);
    // After a rejection by a rate limit the connection is reused.
    let connections = connections_after_rejection(Response::Status(503, ""));
    assert!(connections.windows(2).any(|pair| pair[0] == pair[1]), "{connections:?}");
}

/// Where the settings allow several messages in one call, each message was sent in a call of its own, all calls at
/// once.
#[test]
fn messages_are_sent_one_per_call_and_slot_even_where_batches_are_allowed() {
    const RESPONSE_DELAY_MS: u64 = 300;
    let target = HttpServer::start(|_| Response::Delayed(MILLIS(RESPONSE_DELAY_MS), 200));
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["settings"]["family_info"]["batch_by_kind"] = vec![4].into();
        config["settings"]["family_info"]["slots"] = 1.into();
    });
    for id in ["m1", "m2", "m3", "m4"] {
        assert_eq!(forwarder.submit(&fee_message(id)), 202);
    }
    wait_until("the target receives all calls", || target.requests().len() == 4);
    // One slot: a call begins after the response to the one before. Timers may fire some milliseconds early.
    let requests = target.requests();
    assert!(
        requests
            .windows(2)
            .all(|pair| pair[1].received_at - pair[0].received_at > MILLIS(RESPONSE_DELAY_MS - 50)),
        "{requests:?}"
    );
}
