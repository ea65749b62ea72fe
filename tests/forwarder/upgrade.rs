//! A new version that takes over while the forwarder serves: what clients, targets and operators notice.

use crate::admin::{metric, status};
use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

fn is_ready(forwarder: &Forwarder) -> bool {
    status(&forwarder.admin_request("GET", "/-/ready")) == "200"
}

#[test]
fn no_message_is_lost_repeated_or_turned_away_while_a_new_version_takes_over() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(20), 200));
    let done = AtomicBool::new(false);
    let listen = forwarder.listen_address;
    let taken = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let done = &done;
                scope.spawn(move || {
                    let mut taken = Vec::new();
                    while !done.load(Ordering::SeqCst) {
                        let id = format!("m{client}-{}", taken.len());
                        assert_eq!(submit_at(listen, &fee_message(&id)), 202, "{id}");
                        taken.push(id);
                        // Far less than what it can deliver: nothing is given up for want of room.
                        sleep(MILLIS(20));
                    }
                    taken
                })
            })
            .collect();
        for _ in 0..3 {
            sleep(MILLIS(200));
            let mut old = forwarder.upgrade();
            wait_until("the new version takes clients", || is_ready(&forwarder));
            old.signal("TERM");
            assert!(old.wait_for_exit().success());
        }
        sleep(MILLIS(200));
        done.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|client| client.join().unwrap()).collect::<Vec<_>>()
    });
    wait_until("every message is delivered", || target.requests().len() >= taken.len());
    let (mut ids, mut expected) = (target.message_ids(), taken);
    ids.sort();
    expected.sort();
    assert_eq!(ids, expected, "each once");
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_call_in_flight_ends_once_and_in_the_new_versions_figures() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(1_000), 200));
    assert_eq!(forwarder.submit(&fee_message("slow")), 202);
    wait_until("the call", || target.message_ids() == ["slow"]);
    let mut old = forwarder.upgrade();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(metric(&forwarder, "active"), 1);
    assert!(!old.admin_request("GET", "/-/ready").starts_with("HTTP/1.1 2"), "the old one still says ready");
    wait_until("delivered", || metric(&forwarder, "responses.fee.ok") == 1);
    assert_eq!(metric(&forwarder, "active"), 0);
    assert!(old.wait_for_exit().success(), "nothing is left for the old one to do");
    assert_eq!(target.message_ids(), ["slow"]);
    assert!(discovery.notices().is_empty());
}

#[test]
fn a_call_that_dies_with_the_old_process_may_have_run() {
    let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::NoResponse);
    assert_eq!(forwarder.submit(&fee_message("unsafe")), 202);
    wait_until("the call", || target.message_ids() == ["unsafe"]);
    let mut old = forwarder.upgrade();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    sleep(MILLIS(200));
    assert!(discovery.notices().is_empty(), "ended though its call is out");
    old.signal("KILL");
    old.wait_for_exit();
    wait_until("the notice", || discovery.has_notice("unsafe", "given_up"));
    assert_eq!(target.message_ids(), ["unsafe"]);
}

#[test]
fn told_waits_and_endpoints_out_hold_in_the_new_version() {
    let (shut, other) =
        (HttpServer::start(|_| Response::Status(429, "X-Come-Back-Ms: 4000\r\n")), HttpServer::start(|_| OK));
    let third = HttpServer::start(|_| OK);
    let lines = vec![
        list_entry("s-1", shut.address, 1, "active"),
        list_entry("s-2", other.address, 2, "active"),
        list_entry("s-3", third.address, 2, "active"),
    ];
    let discovery = DiscoveryServer::start(lines);
    let mut forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the call", || shut.requests().len() == 1);
    shut.set_handler(|_| OK);
    assert_eq!(status(&forwarder.admin_request("POST", "/-/endpoints/s-3/disable")), "200");
    let mut old = forwarder.upgrade();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    old.signal("TERM");
    old.wait_for_exit();
    assert_eq!(metric(&forwarder, "pool_size"), 3);
    assert!(metric(&forwarder, "pool_ejected") >= 1);
    for n in 0..6 {
        assert_eq!(forwarder.submit(&fee_message(&format!("n{n}")).to(2)), 202);
    }
    wait_until("the calls", || other.requests().len() == 6);
    wait_until("the call after the wait", || shut.requests().len() == 2);
    assert!(shut.requests()[1].received_at - shut.requests()[0].received_at >= MILLIS(4_000));
    assert!(third.requests().is_empty());
    assert_eq!(status(&forwarder.admin_request("POST", "/-/endpoints/s-3/enable")), "200");
}

#[test]
fn a_client_may_go_on_with_the_connection_that_it_has() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut kept = std::net::TcpStream::connect(forwarder.listen_address).unwrap();
    kept.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let text = String::from_utf8(fee_message("kept").bytes()).unwrap().replace("Connection: close\r\n", "");
    // The first half is with the old process when the new one takes over.
    let (first, rest) = text.as_bytes().split_at(40);
    kept.write_all(first).unwrap();
    sleep(MILLIS(100));
    let mut old = forwarder.upgrade();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    kept.write_all(rest).unwrap();
    let mut answer = String::new();
    kept.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    wait_until("the call", || target.message_ids() == ["kept"]);
    wait_until("counted where it was taken on", || metric(&forwarder, "responses.fee.ok") == 1);
    assert!(old.wait_for_exit().success());
}

#[test]
fn a_new_version_that_cannot_meet_the_old_one_waits_for_its_end() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    // Nothing is listed for it yet.
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    forwarder.signal("STOP");
    let mut old = forwarder.upgrade();
    wait_until("the new version's door", || !forwarder.admin_request("GET", "/-/ready").is_empty());
    for _ in 0..3 {
        assert!(!is_ready(&forwarder), "two own the log");
    }
    old.signal("KILL");
    old.wait_for_exit();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(metric(&forwarder, "active"), 1);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the call", || target.message_ids() == ["m1"]);
}

#[test]
fn the_old_process_serves_again_when_the_new_one_dies() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(4_000), 200));
    assert_eq!(forwarder.submit(&update_message("m1", "k")), 202);
    wait_until("the call", || target.message_ids() == ["m1"]);
    let old = forwarder.upgrade();
    wait_until("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    forwarder.kill();
    // By then it has read the configuration anew.
    wait_until("the old one takes clients", || is_ready(&forwarder));
    target.set_handler(|_| OK);
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    wait_until("the call", || target.message_ids().contains(&"m2".to_string()));
    // What the new one had taken on is in the log.
    assert!(metric(&forwarder, "active") >= 1);
    drop(old);
}
