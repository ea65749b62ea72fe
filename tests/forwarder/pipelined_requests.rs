//! Clients that send their next request before they have the response to the last one, and requests that cross the close of
//! their connection: each request of which the forwarder reads something gets a response.

use crate::admin::metric;
use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{connect, socket, AddressFamily, SocketType};
use serde_json::Value;
use std::thread::sleep;

/// After SIGTERM: until new connections are refused and idle ones closed.
const CLOSING_AFTER: u64 = 500;
/// How long a connection without a request is kept.
const IDLE_TIME: u64 = 2_200;

fn messages(ids: std::ops::Range<usize>) -> Vec<u8> {
    ids.flat_map(|n| fee_message(&format!("m{n}")).bytes_on_kept_connection()).collect()
}

/// Messages whose responses are more than what the system holds for a client that takes few at a time.
const UNREAD_MESSAGES: usize = 600;

/// Room for all messages of a test.
fn allow_unread_messages(config: &mut Value) {
    config["settings"]["limits"]["max_open"] = (4 * UNREAD_MESSAGES).into();
}

/// Connects a client that takes few responses at a time.
fn connect_with_small_window(forwarder: &Forwarder) -> ClientConnection {
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    // Before it is connected, since a window is not taken back.
    set_socket_recv_buffer_size(&socket, 4096).unwrap();
    connect(&socket, &forwarder.listen_address).unwrap();
    ClientConnection::new(socket.into())
}

/// Guards against a response that takes the place of one which is not written yet, so that the message of that one is
/// discarded although its client is told that it is accepted.
#[test]
fn a_message_whose_response_waits_for_its_client_to_read_is_not_lost() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, allow_unread_messages);
    let mut client = connect_with_small_window(&forwarder);
    let message = |n| fee_message(&format!("m{n}")).with_deadline_ms(5_000);
    let requests: Vec<u8> =
        (0..UNREAD_MESSAGES).flat_map(|n| message(n).bytes_on_kept_connection()).collect();
    client.send(&requests).unwrap();
    sleep(MILLIS(300));
    let mut accepted = Vec::new();
    for n in 0..UNREAD_MESSAGES {
        if client.read_head().expect("a response to each request").starts_with("http/1.1 202") {
            accepted.push(message(n).id);
        }
    }
    wait_until("nothing is held any more", || metric(&forwarder, "active") == 0);
    wait_until("every accepted message has ended", || has_ended(&accepted, &target, &discovery));
}

/// Guards against a response that closes the connection over requests that were read together with its own.
#[test]
fn requests_that_were_read_together_are_all_answered_at_shutdown() {
    const MESSAGES: usize = 5;
    let (_target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut client = forwarder.connect();
    assert!(client.get("/healthz").is_some());
    forwarder.signal("TERM");
    sleep(MILLIS(100));
    client.send(&messages(0..MESSAGES)).unwrap();
    for n in 0..MESSAGES {
        let head = client.read_head().unwrap_or_else(|| panic!("no response to request {n}"));
        assert!(head.starts_with("http/1.1 202"), "request {n}: {head}");
        assert_eq!(head.contains("connection: close"), n == MESSAGES - 1, "request {n}: {head}");
    }
    assert!(forwarder.wait_for_exit().success());
}

/// Guards against a connection that counts as idle although the next request began together with the last one.
#[test]
fn a_request_whose_start_was_read_with_the_one_before_is_answered_at_shutdown() {
    let (_target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut client = forwarder.connect();
    let requests = messages(0..2);
    let (first_part, rest) = requests.split_at(requests.len() / 2 + 40);
    client.send(first_part).unwrap();
    assert!(client.read_head().expect("a response to the first request").starts_with("http/1.1 202"));
    forwarder.signal("TERM");
    sleep(MILLIS(CLOSING_AFTER + 200));
    client.send(rest).unwrap();
    let head = client.read_head().expect("a response to the second request");
    assert!(head.starts_with("http/1.1 202"), "{head}");
    assert!(forwarder.wait_for_exit().success());
}

/// Guards against reading a request that crosses the close of an idle connection: it cannot be answered any more, and its
/// client sends only what is unread once more.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_stays_unread() {
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    for uses_connection in [true, false] {
        let mut client = forwarder.connect();
        if uses_connection {
            assert!(client.get("/healthz").is_some());
        }
        assert!(client.read_head().is_none(), "the connection is closed when it has been idle");
        client.send(&messages(0..1)).unwrap();
        sleep(MILLIS(400));
        assert_eq!(metric(&forwarder, "client_bytes_discarded"), 0, "connection used: {uses_connection}");
    }
}

/// Guards against the same behind the response that closes a connection.
#[test]
fn a_request_behind_the_last_response_at_shutdown_stays_unread() {
    let (_target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    let mut client = forwarder.connect();
    assert!(client.get("/healthz").is_some());
    forwarder.signal("TERM");
    sleep(MILLIS(100));
    let head = client.get("/healthz").expect("the last response");
    assert!(head.contains("connection: close"), "{head}");
    client.send(&messages(0..1)).unwrap();
    sleep(MILLIS(400));
    assert_eq!(metric(&forwarder, "client_bytes_discarded"), 0);
    assert!(forwarder.wait_for_exit().success());
}

/// Guards against closing a new connection, since it has been silent, in the moment in which its first request arrives.
#[test]
fn a_first_request_that_begins_just_before_the_idle_timeout_gets_a_response() {
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let mut client = forwarder.connect();
    sleep(MILLIS(IDLE_TIME - 300));
    let request = messages(0..1);
    let (first_part, rest) = request.split_at(40);
    client.send(first_part).unwrap();
    sleep(MILLIS(400));
    client.send(rest).unwrap();
    assert!(client.read_head().is_some(), "the connection was closed with no response");
}
