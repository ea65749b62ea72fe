//! Memory of the forwarder while hundreds of peers send requests that they do not complete. The limit is the least memory
//! that a deployment gives a forwarder, with the most descriptors.

use crate::beside::Submissions;
use crate::crowd::{Crowd, Script};
use crate::harness::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1024;
/// Nearly the half of the descriptors that clients may hold.
const PEERS: usize = 500;
/// Longer than any peer may keep its connection.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Clients that submit large messages beside a crowd.
const LARGE_MESSAGE_CLIENTS: usize = 12;

fn start_with_little_memory() -> (Arc<HttpServer>, DiscoveryServer, Forwarder) {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start_with(&discovery, |config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    (target, discovery, forwarder)
}

fn assert_within_memory_limit(forwarder: &mut Forwarder) {
    assert!(forwarder.is_running());
    let peak = forwarder.peak_memory();
    println!("peak memory: {peak} bytes");
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes of memory, {MEMORY_MB} MB allowed");
}

/// The head of a request whose body has this length.
fn head(body_bytes: usize) -> Vec<u8> {
    let message = fee_message("unfinished").with_body(vec![0; body_bytes]).bytes();
    message[..message.len() - body_bytes].to_vec()
}

/// Runs a crowd that follows the script, and submits messages beside it: each gets its answer.
fn assert_crowd_is_harmless(script: Script) {
    let _lock = crate::lock();
    let (target, discovery, mut forwarder) = start_with_little_memory();
    let crowd = Crowd::start(forwarder.listen_address, PEERS, script);
    let submissions = Submissions::run(&forwarder, CROWD_TIME);
    drop(crowd);
    assert_within_memory_limit(&mut forwarder);
    wait_until("what was accepted has ended", || has_ended(&submissions.accepted, &target, &discovery));
}

#[test]
fn bodies_in_small_pieces_stay_within_the_memory_limit() {
    assert_crowd_is_harmless(Script { start: head(60_000), piece: b"x".into(), pieces: 60_000 });
}

#[test]
fn bodies_that_stop_half_way_stay_within_the_memory_limit() {
    let start = [head(64 * 1024), vec![b'x'; 60_000]].concat();
    assert_crowd_is_harmless(Script { start, piece: Vec::new(), pieces: 0 });
}

#[test]
fn heads_that_do_not_end_stay_within_the_memory_limit() {
    let start = [b"POST /fee HTTP/1.1\r\nX-Long: ".to_vec(), vec![b'x'; 60_000]].concat();
    assert_crowd_is_harmless(Script { start, piece: Vec::new(), pieces: 0 });
}

#[test]
fn heads_of_very_many_fields_stay_within_the_memory_limit() {
    let fields: String = (0..8_000).map(|n| format!("a{n}:\r\n")).collect();
    let start = [b"POST /fee HTTP/1.1\r\n", fields.as_bytes()].concat();
    assert_crowd_is_harmless(Script { start, piece: Vec::new(), pieces: 0 });
}

/// The head is complete with as many fields as are taken, and the body arrives in pieces.
#[test]
fn bodies_behind_heads_of_many_fields_stay_within_the_memory_limit() {
    let fields: String = (0..90).map(|n| format!("a{n}: b\r\n")).collect();
    let message = String::from_utf8(head(60_000)).unwrap();
    let start = message.replacen("\r\n", &format!("\r\n{fields}"), 1).into_bytes();
    assert_crowd_is_harmless(Script { start, piece: b"x".into(), pieces: 60_000 });
}

/// What is read ahead of the current request, beside a head as long as one may be.
#[test]
fn requests_sent_ahead_stay_within_the_memory_limit() {
    let requests = b"GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n".repeat(2_000);
    let half_head = [b"POST /fee HTTP/1.1\r\nX-Long: ".to_vec(), vec![b'x'; 15_000]].concat();
    assert_crowd_is_harmless(Script { start: [requests, half_head].concat(), piece: Vec::new(), pieces: 0 });
}

#[test]
fn admin_requests_in_small_pieces_stay_within_the_memory_limit() {
    /// The admin server's limit on connections.
    const CALLERS: usize = 16;
    let _lock = crate::lock();
    let (_target, _discovery, mut forwarder) = start_with_little_memory();
    let start = b"POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 4000\r\n\r\n".to_vec();
    let script = Script { start, piece: b"x".into(), pieces: 4_000 };
    let crowd = Crowd::start(forwarder.admin_address, CALLERS, script);
    sleep(CROWD_TIME);
    drop(crowd);
    assert_within_memory_limit(&mut forwarder);
}

/// A discovery server that sends its list a byte at a time, faster than a reply times out.
#[test]
fn lists_in_small_pieces_stay_within_the_memory_limit() {
    const LIST_BYTES: usize = 1 << 20;
    let _lock = crate::lock();
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let slow_address = listener.local_addr().unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, stopped) = (stream.unwrap(), stopped.clone());
            thread::spawn(move || {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LIST_BYTES}\r\n\r\n");
                stream.set_nodelay(true).unwrap();
                let mut open = stream.write_all(head.as_bytes()).is_ok();
                while open && !stopped.load(Ordering::Relaxed) {
                    open = stream.write_all(b" ").is_ok();
                    sleep(Duration::from_micros(50));
                }
            });
        }
    });
    let mut forwarder = Forwarder::start_with(&discovery, |config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["discovery"] = slow_address.to_string().into();
    });
    sleep(CROWD_TIME);
    stop.store(true, Ordering::Relaxed);
    assert_within_memory_limit(&mut forwarder);
}

/// A list of far more endpoints than the memory has room for, and the one that the process has.
#[test]
fn lists_of_very_many_endpoints_stay_within_the_memory_limit() {
    const ENDPOINTS: u32 = 25_000;
    let _lock = crate::lock();
    let (target, discovery, mut forwarder) = start_with_little_memory();
    for _ in 0..3 {
        let entries = (0..ENDPOINTS)
            .map(|n| list_entry(&format!("s-{n:08x}"), target.address, n % 5_000, "active"))
            .collect();
        discovery.change_list(entries);
        sleep(CROWD_TIME / 3);
    }
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["m1"]);
    assert_within_memory_limit(&mut forwarder);
}

/// Peers of all kinds beside a log that is full of large messages, whose endpoint responds to none.
#[test]
fn all_kinds_of_peers_together_stay_within_the_memory_limit() {
    let _lock = crate::lock();
    let (target, _discovery, mut forwarder) = start_with_little_memory();
    target.set_handler(|_| Response::Silent);
    let large = vec![b'x'; 60_000];
    let starts = [
        b"GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n".to_vec(),
        [head(64 * 1024), large.clone()].concat(),
        [b"POST /fee HTTP/1.1\r\nX-Long: ".to_vec(), large.clone()].concat(),
        head(60_000),
    ];
    let count = PEERS / starts.len();
    let crowds: Vec<_> = starts
        .into_iter()
        .map(|start| {
            let pieces = if start.len() < 1_000 { 60_000 } else { 0 };
            Crowd::start(forwarder.listen_address, count, Script { start, piece: b"x".into(), pieces })
        })
        .collect();
    let (end, address) = (Instant::now() + CROWD_TIME, forwarder.listen_address);
    let statuses = Mutex::new(BTreeMap::new());
    // A connection that finds the accept queue full is made a second later, so that one client alone submits little.
    thread::scope(|scope| {
        for client in 0..LARGE_MESSAGE_CLIENTS {
            let (large, statuses) = (&large, &statuses);
            scope.spawn(move || {
                for n in 0.. {
                    let message = fee_message(&format!("large-{client}-{n}")).with_body(large.clone());
                    *statuses.lock().unwrap().entry(submit_at(address, &message)).or_insert(0) += 1;
                    if Instant::now() >= end {
                        break;
                    }
                }
            });
        }
    });
    drop(crowds);
    let statuses = statuses.into_inner().unwrap();
    assert!(statuses[&202] > 5 && statuses.keys().all(|status| [202, 503].contains(status)), "{statuses:?}");
    assert_within_memory_limit(&mut forwarder);
}
