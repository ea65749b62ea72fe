//! A new version that takes over while the forwarder serves: what clients, targets and operators notice.

use crate::door::{figure_at, status};
use crate::world::*;
use crate::{one_target, MS};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};

fn is_ready(forwarder: &Forwarder) -> bool {
    status(&forwarder.operate("GET", "/-/ready")) == "200"
}

#[test]
fn no_message_is_lost_repeated_or_turned_away_while_a_new_version_takes_over() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Later(MS(20), 200));
    let done = AtomicBool::new(false);
    let listen = forwarder.listen;
    let taken = thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let done = &done;
                scope.spawn(move || {
                    let mut taken = Vec::new();
                    while !done.load(Ordering::SeqCst) {
                        let id = format!("m{client}-{}", taken.len());
                        assert_eq!(hand_in_at(listen, &fee(&id)), 202, "{id}");
                        taken.push(id);
                        // Far less than what it can deliver: nothing is given up for want of room.
                        sleep(MS(20));
                    }
                    taken
                })
            })
            .collect();
        for _ in 0..3 {
            sleep(MS(200));
            let mut old = forwarder.upgrade();
            eventually("the new version takes clients", || is_ready(&forwarder));
            old.signal("TERM");
            assert!(old.wait().success());
        }
        sleep(MS(200));
        done.store(true, Ordering::SeqCst);
        clients.into_iter().flat_map(|c| c.join().unwrap()).collect::<Vec<_>>()
    });
    eventually("every message is delivered", || target.seen().len() >= taken.len());
    let (mut ids, mut expected) = (target.ids(), taken);
    ids.sort();
    expected.sort();
    assert_eq!(ids, expected, "each once");
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_in_flight_ends_once_and_in_the_new_versions_figures() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Later(MS(1_000), 200));
    assert_eq!(forwarder.hand_in(&fee("slow")), 202);
    eventually("the call", || target.ids() == ["slow"]);
    let mut old = forwarder.upgrade();
    eventually("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(figure_at(&forwarder, "active"), 1);
    assert!(!old.operate("GET", "/-/ready").starts_with("HTTP/1.1 2"), "the old one still says ready");
    eventually("delivered", || figure_at(&forwarder, "responses.fee.ok") == 1);
    assert_eq!(figure_at(&forwarder, "active"), 0);
    assert!(old.wait().success(), "nothing is left for the old one to do");
    assert_eq!(target.ids(), ["slow"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_that_dies_with_the_old_process_may_have_run() {
    let (target, platform, mut forwarder) = one_target(|_| Reply::Silence);
    assert_eq!(forwarder.hand_in(&fee("unsafe")), 202);
    eventually("the call", || target.ids() == ["unsafe"]);
    let mut old = forwarder.upgrade();
    eventually("the new version takes clients", || is_ready(&forwarder));
    sleep(MS(200));
    assert!(platform.notices().is_empty(), "ended though its call is out");
    old.signal("KILL");
    old.wait();
    eventually("the notice", || platform.has("unsafe", "given_up"));
    assert_eq!(target.ids(), ["unsafe"]);
}

#[test]
fn told_waits_and_endpoints_out_hold_in_the_new_version() {
    let (shut, other) =
        (Server::start(|_| Reply::Status(429, "X-Come-Back-Ms: 4000\r\n")), Server::start(|_| OK));
    let third = Server::start(|_| OK);
    let lines = vec![
        line("s-1", shut.address, 1, "active"),
        line("s-2", other.address, 2, "active"),
        line("s-3", third.address, 2, "active"),
    ];
    let platform = Platform::start(lines);
    let mut forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || shut.seen().len() == 1);
    shut.behave(|_| OK);
    assert_eq!(status(&forwarder.operate("POST", "/-/endpoints/s-3/disable")), "200");
    let mut old = forwarder.upgrade();
    eventually("the new version takes clients", || is_ready(&forwarder));
    old.signal("TERM");
    old.wait();
    assert_eq!(figure_at(&forwarder, "pool_size"), 3);
    assert!(figure_at(&forwarder, "pool_ejected") >= 1);
    for n in 0..6 {
        assert_eq!(forwarder.hand_in(&fee(&format!("n{n}")).to(2)), 202);
    }
    eventually("the calls", || other.seen().len() == 6);
    eventually("the call after the wait", || shut.seen().len() == 2);
    assert!(shut.seen()[1].at - shut.seen()[0].at >= MS(4_000));
    assert!(third.seen().is_empty());
    assert_eq!(status(&forwarder.operate("POST", "/-/endpoints/s-3/enable")), "200");
}

#[test]
fn a_client_may_go_on_with_the_connection_that_it_has() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    let mut kept = std::net::TcpStream::connect(forwarder.listen).unwrap();
    kept.set_read_timeout(Some(PATIENCE)).unwrap();
    let text = String::from_utf8(fee("kept").bytes()).unwrap().replace("Connection: close\r\n", "");
    // The first half is with the old process when the new one takes over.
    let (first, rest) = text.as_bytes().split_at(40);
    kept.write_all(first).unwrap();
    sleep(MS(100));
    let mut old = forwarder.upgrade();
    eventually("the new version takes clients", || is_ready(&forwarder));
    kept.write_all(rest).unwrap();
    let mut answer = String::new();
    kept.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    eventually("the call", || target.ids() == ["kept"]);
    eventually("counted where it was taken on", || figure_at(&forwarder, "responses.fee.ok") == 1);
    assert!(old.wait().success());
}

#[test]
fn a_new_version_that_cannot_meet_the_old_one_waits_for_its_end() {
    let (target, _platform, mut forwarder) = one_target(|_| OK);
    // Nothing is listed for it yet.
    assert_eq!(forwarder.hand_in(&fee("held").to(2)), 202);
    forwarder.signal("STOP");
    let mut old = forwarder.upgrade();
    eventually("the new version's door", || !forwarder.operate("GET", "/-/ready").is_empty());
    for _ in 0..3 {
        assert!(!is_ready(&forwarder), "two own the log");
    }
    old.signal("KILL");
    old.wait();
    eventually("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(figure_at(&forwarder, "active"), 1);
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || target.ids() == ["m1"]);
}

#[test]
fn the_old_process_serves_again_when_the_new_one_dies() {
    let (target, _platform, mut forwarder) = one_target(|_| Reply::Later(MS(4_000), 200));
    assert_eq!(forwarder.hand_in(&update("m1", "k")), 202);
    eventually("the call", || target.ids() == ["m1"]);
    let old = forwarder.upgrade();
    eventually("the new version takes clients", || is_ready(&forwarder));
    assert_eq!(forwarder.hand_in(&fee("held").to(2)), 202);
    forwarder.kill();
    // By then it has read the configuration anew.
    eventually("the old one takes clients", || is_ready(&forwarder));
    target.behave(|_| OK);
    assert_eq!(forwarder.hand_in(&fee("m2")), 202);
    eventually("the call", || target.ids().contains(&"m2".to_string()));
    // What the new one had taken on is in the log.
    assert!(figure_at(&forwarder, "active") >= 1);
    drop(old);
}
