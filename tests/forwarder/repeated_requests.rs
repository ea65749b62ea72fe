//! Requests that arrive again under their id: a client sends its request once more on a new connection if its own was
//! closed, and may have got no answer to the first.

use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time for a call that should not come.
const QUIET_TIME: Duration = Duration::from_millis(500);

fn assert_called_once(target: &HttpServer, id: &str) {
    wait_until("the target receives the call", || target.message_ids().contains(&id.to_string()));
    sleep(QUIET_TIME);
    assert_eq!(target.message_ids().iter().filter(|called| *called == id).count(), 1, "calls of {id}");
}

fn is_accepted(status: u16) -> bool {
    [200, 202].contains(&status)
}

#[test]
fn a_request_that_comes_again_is_sent_once() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| Response::Delayed(MILLIS(300), 200));
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    assert!(is_accepted(forwarder.submit(&fee_message("m1"))), "while it is held");
    wait_until("the message is delivered", || crate::admin::metric(&forwarder, "active") == 0);
    assert!(is_accepted(forwarder.submit(&fee_message("m1"))), "after its delivery");
    assert_called_once(&target, "m1");
    // Its key may be new: the id says that it is the same request.
    assert!(is_accepted(forwarder.submit(&update_message("m2", "k"))));
    assert!(is_accepted(forwarder.submit(&update_message("m2", "other"))));
    assert_called_once(&target, "m2");
}

#[test]
fn a_request_that_comes_again_after_its_client_left_is_sent_once() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
    for n in 0..20 {
        let id = format!("m{n}");
        let mut stream = TcpStream::connect(forwarder.listen_address).unwrap();
        stream.write_all(&fee_message(&id).bytes()).unwrap();
        drop(stream);
        assert!(is_accepted(forwarder.submit(&fee_message(&id))), "{id}");
    }
    (0..20).for_each(|n| {
        wait_until("the target receives the call", || target.message_ids().contains(&format!("m{n}")));
    });
    sleep(QUIET_TIME);
    let mut called = target.message_ids();
    called.sort();
    let calls = called.len();
    called.dedup();
    assert_eq!((calls, called.len()), (20, 20));
}

#[test]
fn a_request_that_comes_again_after_a_kill_is_sent_once() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the message is delivered", || crate::admin::metric(&forwarder, "responses.fee.ok") == 1);
    for _ in 0..3 {
        forwarder.kill();
        forwarder.restart();
        assert!(is_accepted(forwarder.submit(&fee_message("m1"))));
    }
    assert_called_once(&target, "m1");
}

#[test]
fn a_request_that_comes_again_at_the_other_process_of_a_hot_restart_is_sent_once() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut kept = TcpStream::connect(forwarder.listen_address).unwrap();
    kept.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut submit_on_kept = |id: &str| {
        kept.write_all(&fee_message(id).bytes_on_kept_connection()).unwrap();
        let mut response = [0; 1024];
        let n = kept.read(&mut response).unwrap();
        String::from_utf8_lossy(&response[..n]).split(' ').nth(1).unwrap().parse::<u16>().unwrap()
    };
    assert_eq!(submit_on_kept("m1"), 202);
    wait_until("the message is delivered", || crate::admin::metric(&forwarder, "responses.fee.ok") == 1);
    let mut old = forwarder.start_successor();
    wait_until("the successor is ready", || {
        crate::admin::status_code(&forwarder.admin_request("GET", "/-/ready")) == "200"
    });
    assert!(is_accepted(forwarder.submit(&fee_message("m1"))), "delivered by the old process");
    assert_eq!(forwarder.submit(&fee_message("m2")), 202);
    // The old process still serves this connection.
    assert!(is_accepted(submit_on_kept("m2")), "taken by the new process");
    assert_called_once(&target, "m1");
    assert_called_once(&target, "m2");
    old.signal("TERM");
    assert!(old.wait_for_exit().success());
}

/// Guards against records of ended requests that nothing removes: these ids are longer than all that is remembered.
#[test]
fn ids_that_are_not_remembered_take_no_space_in_the_log() {
    const MESSAGES: usize = 30;
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| config["limits"]["disk_mb"] = 0.2.into());
    for n in 0..MESSAGES {
        let id = format!("{n}-{}", "x".repeat(7_500));
        assert_eq!(forwarder.submit(&fee_message(&id)), 202, "message {n}");
        wait_until("the target receives the call", || target.requests().len() == n + 1);
        wait_until("the message is delivered", || crate::admin::metric(&forwarder, "active") == 0);
    }
}

/// What a client sent before it closed its connection is not sent on, unless the client has an answer. One request is an
/// exception where the client closed without a reset: it may have closed its sending side only, and wait.
#[test]
fn requests_unread_when_their_client_closes_are_not_sent_on() {
    for (body_bytes, resets) in [(1, true), (1, false), (60_000, true), (60_000, false)] {
        let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
        let mut stream = TcpStream::connect(forwarder.listen_address).unwrap();
        let requests: Vec<u8> = (0..400)
            .flat_map(|n| {
                fee_message(&format!("m{n}")).with_body(vec![b'x'; body_bytes]).bytes_on_kept_connection()
            })
            .collect();
        stream.set_nonblocking(true).unwrap();
        let (mut written, end) = (0, Instant::now() + MILLIS(5));
        while written < requests.len() && Instant::now() < end {
            written += stream.write(&requests[written..]).unwrap_or(0);
        }
        forwarder.signal("STOP");
        sleep(MILLIS(100));
        let mut responses = vec![0; 1 << 20];
        // Closing with unread responses resets the connection.
        let received = if resets { stream.peek(&mut responses) } else { stream.read(&mut responses) };
        let answered =
            String::from_utf8_lossy(&responses[..received.unwrap_or(0)]).matches("HTTP/1.1 202").count();
        drop(stream);
        forwarder.signal("CONT");
        sleep(MILLIS(1_500));
        let sent = target.requests().len();
        let most = answered + usize::from(!resets || answered == 0);
        assert!(sent <= most, "{sent} sent of {answered} answered, {body_bytes} bytes, reset: {resets}");
    }
}
