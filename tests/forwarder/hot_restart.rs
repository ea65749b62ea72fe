//! Hot restart: what clients, targets and operators observe while a successor takes over from the running process.

use crate::admin::{metric, status_code};
use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

fn is_ready(forwarder: &Forwarder) -> bool {
    status_code(&forwarder.admin_request("GET", "/-/ready")) == "200"
}

#[test]
fn no_message_is_lost_duplicated_or_refused_by_a_hot_restart() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(20), 200));
    let done = AtomicBool::new(false);
    let listen_address = forwarder.listen_address;
    let accepted = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let done = &done;
                scope.spawn(move || {
                    let mut accepted = Vec::new();
                    while !done.load(Ordering::SeqCst) {
                        let id = format!("m{client}-{}", accepted.len());
                        assert_eq!(submit_at(listen_address, &fee_message(&id)), 202, "{id}");
                        accepted.push(id);
                        // Far below the forwarder's capacity, so that none is given up for lack of it.
                        sleep(MILLIS(20));
                    }
                    accepted
                })
            })
            .collect();
        for _ in 0..3 {
            sleep(MILLIS(200));
            let mut old_process = forwarder.start_successor();
            wait_until("the successor is ready", || is_ready(&forwarder));
            old_process.signal("TERM");
            assert!(old_process.wait_for_exit().success());
        }
        sleep(MILLIS(200));
        done.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect::<Vec<_>>()
    });
    wait_until("every message is delivered", || target.requests().len() >= accepted.len());
    let (mut ids, mut expected) = (target.message_ids(), accepted);
    ids.sort();
    expected.sort();
    assert_eq!(ids, expected, "each message is delivered once");
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_call_in_flight_is_counted_once_by_the_successor() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(1_000), 200));
    assert_eq!(forwarder.submit(&fee_message("slow")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["slow"]);
    let mut old_process = forwarder.start_successor();
    wait_until("the successor is ready", || is_ready(&forwarder));
    assert_eq!(metric(&forwarder, "active"), 1);
    assert!(
        !old_process.admin_request("GET", "/-/ready").starts_with("HTTP/1.1 2"),
        "the old process still reports ready"
    );
    wait_until("the message is delivered", || metric(&forwarder, "responses.fee.ok") == 1);
    assert_eq!(metric(&forwarder, "active"), 0);
    assert!(old_process.wait_for_exit().success(), "the old process has nothing left to do");
    assert_eq!(target.message_ids(), ["slow"]);
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_call_lost_with_the_old_process_may_have_run() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Silent);
    assert_eq!(forwarder.submit(&fee_message("unsafe")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["unsafe"]);
    let mut old_process = forwarder.start_successor();
    wait_until("the successor is ready", || is_ready(&forwarder));
    sleep(MILLIS(200));
    assert!(discovery.notices().is_empty(), "reported while its call is in flight");
    old_process.signal("KILL");
    old_process.wait_for_exit();
    wait_until("the notice arrives", || discovery.has_notice("unsafe", "given_up"));
    assert_eq!(target.message_ids(), ["unsafe"]);
}

#[test]
fn retry_after_and_disabled_endpoints_hold_in_the_successor() {
    let (rejecting, other) =
        (HttpServer::start(|_| Response::Status(429, "X-Come-Back-Ms: 4000\r\n")), HttpServer::start(|_| OK));
    let disabled = HttpServer::start(|_| OK);
    let entries = vec![
        list_entry("s-1", rejecting.address, 1, "active"),
        list_entry("s-2", other.address, 2, "active"),
        list_entry("s-3", disabled.address, 2, "active"),
    ];
    let discovery = DiscoveryServer::start(entries);
    let mut forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || rejecting.requests().len() == 1);
    rejecting.set_handler(|_| OK);
    assert_eq!(status_code(&forwarder.admin_request("POST", "/-/endpoints/s-3/disable")), "200");
    let mut old_process = forwarder.start_successor();
    wait_until("the successor is ready", || is_ready(&forwarder));
    old_process.signal("TERM");
    old_process.wait_for_exit();
    assert_eq!(metric(&forwarder, "pool_size"), 3);
    assert!(metric(&forwarder, "pool_ejected") >= 1);
    for n in 0..6 {
        assert_eq!(forwarder.submit(&fee_message(&format!("n{n}")).to(2)), 202);
    }
    wait_until("the target receives the calls", || other.requests().len() == 6);
    wait_until("the target receives a call after its Retry-After", || rejecting.requests().len() == 2);
    assert!(rejecting.requests()[1].received_at - rejecting.requests()[0].received_at >= MILLIS(4_000));
    assert!(disabled.requests().is_empty());
    assert_eq!(status_code(&forwarder.admin_request("POST", "/-/endpoints/s-3/enable")), "200");
}

#[test]
fn a_client_may_keep_its_connection_during_a_hot_restart() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut connection = std::net::TcpStream::connect(forwarder.listen_address).unwrap();
    connection.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let request = fee_message("kept").bytes_on_kept_connection();
    // The old process has received the first part when the successor takes over.
    let (first_part, rest) = request.split_at(40);
    connection.write_all(first_part).unwrap();
    sleep(MILLIS(100));
    let mut old_process = forwarder.start_successor();
    wait_until("the successor is ready", || is_ready(&forwarder));
    connection.write_all(rest).unwrap();
    let mut response = String::new();
    connection.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 202") && response.contains("connection: close"), "{response}");
    wait_until("the target receives the call", || target.message_ids() == ["kept"]);
    wait_until("the successor counts the delivery", || metric(&forwarder, "responses.fee.ok") == 1);
    assert!(old_process.wait_for_exit().success());
}

#[test]
fn a_successor_that_cannot_reach_the_old_process_waits_for_its_end() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    // No endpoint of destination 2 is listed yet.
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    forwarder.signal("STOP");
    let mut old_process = forwarder.start_successor();
    wait_until("the successor's admin server responds", || {
        !forwarder.admin_request("GET", "/-/ready").is_empty()
    });
    for _ in 0..3 {
        assert!(!is_ready(&forwarder), "two processes own the write-ahead log");
    }
    old_process.signal("KILL");
    old_process.wait_for_exit();
    wait_until("the successor is ready", || is_ready(&forwarder));
    assert_eq!(metric(&forwarder, "active"), 1);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
}

#[test]
fn the_old_process_serves_again_when_its_successor_dies() {
    let (target, _discovery, mut forwarder) =
        start_with_one_target(|_| Response::Delayed(MILLIS(4_000), 200));
    assert_eq!(forwarder.submit(&update_message("m1", "k")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
    let old_process = forwarder.start_successor();
    wait_until("the successor is ready", || is_ready(&forwarder));
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    forwarder.kill();
    // By then it has read the new configuration.
    wait_until("the old process is ready", || is_ready(&forwarder));
    target.set_handler(|_| OK);
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the target receives the call", || target.message_ids().contains(&"m2".to_string()));
    // The message that the successor had accepted is in the write-ahead log.
    assert!(metric(&forwarder, "active") >= 1);
    drop(old_process);
}
