//! Responses that are good but bring more than belongs to them: a second copy, or noise straight after.

use crate::admin::metric;
use crate::harness::*;
use crate::MILLIS;
use serde_json::json;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SECOND_COPY: &[u8] = b"HTTP/1.1 200 Status\r\nContent-Length: 0\r\n\r\n";
const MESSAGES: usize = 120;
/// Every fourth message is over for its endpoint, which makes it an error; the others are delivered.
const OVER_EVERY: usize = 4;

fn is_over(id: &str) -> bool {
    id.trim_start_matches("m").parse::<usize>().unwrap() % OVER_EVERY == 0
}

/// Submits messages faster than the endpoint takes them, so that connections are used again at once, and checks that
/// each has the result of its own response.
fn assert_each_message_has_its_own_result(pause: Duration, excess: &'static [u8]) {
    let target = HttpServer::start(move |request| {
        thread::sleep(MILLIS(1));
        match is_over(request.message_id()) {
            true => Response::Status(410, ""),
            false => Response::OkThenExcess(pause, excess),
        }
    });
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Arc::new(Forwarder::start(&discovery));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let forwarder = forwarder.clone();
            thread::spawn(move || {
                for n in (0..MESSAGES).filter(|n| n % 4 == client) {
                    assert_eq!(forwarder.submit(&fee_message(&format!("m{n}"))), 202);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    wait_until("every message has ended", || metric(&forwarder, "active") == 0);
    assert_eq!(discovery.notices(), []);
    let over = MESSAGES / OVER_EVERY;
    assert_eq!(metric(&forwarder, "responses.fee.errors"), over as u64, "messages that were over, {pause:?}");
    let mut called = target.message_ids();
    called.sort();
    called.dedup();
    assert_eq!(called.len(), MESSAGES, "messages that their endpoint has got, {pause:?}");
}

/// Guards against a second copy of a response that is taken for the response to the next message on its connection:
/// that message counted as delivered though its endpoint had not got it, or had not responded to it.
#[test]
fn a_second_copy_of_a_response_ends_no_other_message() {
    for pause in [0, 100, 1_000] {
        assert_each_message_has_its_own_result(Duration::from_micros(pause), SECOND_COPY);
    }
}

#[test]
fn noise_after_a_response_ends_no_message() {
    for pause in [0, 100, 1_000] {
        assert_each_message_has_its_own_result(Duration::from_micros(pause), b"\0\0noise\r\n\r\n");
    }
}

/// Guards against lists that are dropped since discovery sends more than belongs to them.
#[test]
fn a_list_counts_though_more_follows_it() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![]);
    let list =
        json!({"version": 7, "full": true, "servers": [list_entry("s-1", target.address, 1, "active")]});
    let body = list.to_string();
    let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}HTTP/1.1 200 OK\r\n", body.len());
    let reply: &'static [u8] = Vec::leak(reply.into_bytes());
    discovery.server.set_handler(move |_| Response::Raw(reply));
    let forwarder = Forwarder::start(&discovery);
    wait_until("the list is used", || metric(&forwarder, "pool_size") == 1);
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
}
