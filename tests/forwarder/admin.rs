//! The admin server: its responses, its behaviour under many connections, and the effects of requests to it.

use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Far less than a server would need that waits for each of the silent connections in turn.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(10);

/// The value of a metric, as the admin server prints it.
pub fn metric(forwarder: &Forwarder, name: &str) -> u64 {
    let text = forwarder.admin_request("GET", "/-/metrics");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let line = body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// The status code of a response, or an empty string if there is none.
pub fn status_code(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("")
}

#[test]
fn invalid_admin_requests_get_an_error_and_have_no_effect() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let request_status =
        |method: &str, path: &str| status_code(&forwarder.admin_request(method, path)).to_string();
    wait_until("the forwarder is ready", || request_status("GET", "/-/ready") == "200");
    assert_eq!(request_status("GET", "/-/nothing"), "404");
    assert_eq!(request_status("POST", "/-/ready"), "405");
    assert_eq!(request_status("GET", "/-/endpoints/s-1/disable"), "405");
    assert_eq!(request_status("POST", "/-/endpoints/s-2/disable"), "404");
    assert_eq!(request_status("POST", "/-/endpoints/s-2/enable"), "404");
    assert_eq!(request_status("POST", &format!("/-/endpoints/{}/disable", "s".repeat(20_000)))[..1], *"4");
    let raw = |text: String| exchange_at(forwarder.admin_address, text.as_bytes());
    assert_eq!(status_code(&raw("what is this\r\n\r\n".into())), "400");
    let long = format!(
        "POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 9000\r\n\r\n{}",
        " ".repeat(9000)
    );
    assert_eq!(status_code(&raw(long)), "413");
    // The body is shorter than its Content-Length.
    let partial = "POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 9\r\n\r\nhalf";
    assert_eq!(status_code(&raw(partial.into())), "408");
    assert_eq!(metric(&forwarder, "pool_ejected"), 0);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
}

#[test]
fn silent_connections_do_not_delay_other_requests() {
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let start = Instant::now();
    let silent_connections: Vec<_> = (0..400)
        .map(|n| {
            let mut stream = TcpStream::connect(forwarder.admin_address).unwrap();
            let partial: &[u8] = if n % 2 == 0 { b"" } else { b"GET /-/rea" };
            let _ = stream.write_all(partial);
            stream
        })
        .collect();
    assert_eq!(status_code(&forwarder.admin_request("GET", "/-/ready")), "200");
    assert!(start.elapsed() < MAX_RESPONSE_TIME, "response after {:?}", start.elapsed());
    drop(silent_connections);
}

/// Guards against callers that stop in the body of their request, and keep all connections of the admin server meanwhile.
#[test]
fn half_requests_do_not_keep_other_requests_out() {
    /// The admin server's limit.
    const MAX_CONNECTIONS: usize = 16;
    let (_target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let half_requests: Vec<_> = (0..MAX_CONNECTIONS)
        .map(|_| {
            let mut stream = TcpStream::connect(forwarder.admin_address).unwrap();
            let half = b"POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 9\r\n\r\nhalf";
            stream.write_all(half).unwrap();
            stream
        })
        .collect();
    // The server reads the heads of all of them, and still waits for the rest.
    std::thread::sleep(MILLIS(150));
    assert_eq!(status_code(&forwarder.admin_request("GET", "/-/ready")), "200");
    assert_eq!(metric(&forwarder, "pool_ejected"), 0);
    drop(half_requests);
}

#[test]
fn an_endpoint_stays_disabled_until_it_is_enabled() {
    let (first, second) = (HttpServer::start(|_| OK), HttpServer::start(|_| OK));
    let both_entries = |version| {
        let mut entries = vec![
            list_entry("s-1", first.address, 1, "active"),
            list_entry("s-2", second.address, 1, "active"),
        ];
        entries.rotate_left(version);
        entries
    };
    let discovery = DiscoveryServer::start(both_entries(0));
    let mut forwarder = Forwarder::start(&discovery);
    let mut submitted = 0;
    let mut submit = |forwarder: &Forwarder, count: usize| {
        for _ in 0..count {
            submitted += 1;
            assert_eq!(forwarder.submit(&fee_message(&format!("m{submitted}"))), 202);
            wait_until("the target receives the call", || {
                first.requests().len() + second.requests().len() == submitted
            });
        }
    };
    submit(&forwarder, 8);
    for _ in 0..2 {
        assert_eq!(status_code(&forwarder.admin_request("POST", "/-/endpoints/s-1/disable")), "200");
    }
    let before = first.requests();
    submit(&forwarder, 8);
    assert_eq!((metric(&forwarder, "pool_size"), metric(&forwarder, "pool_ejected")), (2, 1));
    discovery.change_list(both_entries(1));
    wait_until("the forwarder receives the list", || discovery.has_sent_list());
    submit(&forwarder, 8);
    forwarder.kill();
    forwarder.restart();
    submit(&forwarder, 8);
    assert_eq!(first.requests().len(), before.len(), "it got calls while disabled");
    assert_eq!(status_code(&forwarder.admin_request("POST", "/-/endpoints/s-1/enable")), "200");
    assert_eq!(metric(&forwarder, "pool_ejected"), 0);
    assert_eq!(status_code(&forwarder.admin_request("POST", "/-/endpoints/s-2/disable")), "200");
    submit(&forwarder, 1);
    assert_eq!(first.requests().len(), before.len() + 1, "it gets no call once enabled");
}

#[test]
fn connections_from_before_an_endpoint_was_disabled_are_not_reused() {
    let (target, _discovery, forwarder) = start_with_one_target(|_| OK);
    let mut connections = Vec::new();
    for n in 1..=6 {
        assert_eq!(forwarder.submit(&fee_message(&format!("m{n}"))), 202);
        wait_until("the target receives the call", || target.requests().len() == n);
        wait_until_connection_is_idle();
        connections.push(target.requests().last().unwrap().connection);
    }
    assert!(connections.windows(2).any(|pair| pair[0] == pair[1]), "never reused: {connections:?}");
    for verb in ["disable", "enable"] {
        assert_eq!(status_code(&forwarder.admin_request("POST", &format!("/-/endpoints/s-1/{verb}"))), "200");
    }
    assert_eq!(forwarder.submit(&fee_message("after")), 202);
    wait_until("the target receives the call", || target.message_ids().contains(&"after".to_string()));
    assert!(!connections.contains(&target.requests().last().unwrap().connection));
}

/// A connection can be reused once the forwarder has read the response to its end. This waits until it has.
pub fn wait_until_connection_is_idle() {
    std::thread::sleep(MILLIS(50));
}

#[test]
fn each_message_is_counted_once_by_its_result() {
    let (target, discovery, forwarder) = start_with_one_target(|request| match request.message_id() {
        "error" => Response::Status(500, ""),
        _ => OK,
    });
    for id in ["one", "two"] {
        assert_eq!(forwarder.submit(&fee_message(id)), 202);
    }
    assert_eq!(forwarder.submit(&update_message("key", "k")), 202);
    wait_until("the messages are delivered", || target.requests().len() == 3);
    assert_eq!(forwarder.submit(&fee_message("error")), 202);
    wait_until("the notice arrives", || discovery.has_notice("error", "given_up"));
    // No endpoint of destination 2 is listed: the message is handed back unsent.
    assert_eq!(forwarder.submit(&fee_message("nowhere").to(2).with_deadline_ms(300)), 202);
    wait_until("the notice arrives", || discovery.has_notice("nowhere", "handed_back"));
    assert_eq!(forwarder.submit(&fee_message("held").to(2)), 202);
    let expected = [("fee.ok", 2), ("fee.shed", 1), ("fee.errors", 1), ("fee.tries", 3)];
    let more = [("update.ok", 1), ("update.shed", 0), ("update.errors", 0), ("update.tries", 1)];
    for (name, count) in expected.into_iter().chain(more) {
        wait_until(name, || metric(&forwarder, &format!("responses.{name}")) == count);
    }
    assert_eq!(metric(&forwarder, "active"), 1);
    assert_eq!(metric(&forwarder, "pool_size"), 1);
}

/// A call whose connection is refused has written nothing.
#[test]
fn a_message_that_was_never_written_is_not_counted_as_tried() {
    let closed_port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", closed_port, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(600)), 202);
    wait_until("the notice arrives", || discovery.has_notice("m1", "handed_back"));
    assert_eq!((metric(&forwarder, "responses.fee.tries"), metric(&forwarder, "responses.fee.shed")), (0, 1));
}
