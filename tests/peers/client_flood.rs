//! One client that sends at full speed on one connection, beside clients that wait for their answers.

use crate::beside::Submissions;
use crate::harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

const FLOOD_TIME: Duration = Duration::from_secs(4);
/// The least memory that a deployment gives a forwarder.
const MEMORY_BYTES: u64 = 32_000_000;
/// Bytes of requests that the client has ready to be sent.
const PENDING_BYTES: usize = 32 * 1024;

/// Sends requests as fast as its connection takes them, and reads the responses. Connects again when closed.
pub struct FloodClient {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: JoinHandle<()>,
}

impl FloodClient {
    /// `request` makes the request of each number.
    pub fn start(address: SocketAddr, request: impl Fn(u64) -> Vec<u8> + Send + 'static) -> FloodClient {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let (stopped, count) = (stop.clone(), sent.clone());
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect(address) else { continue };
                send_until_closed(stream, &request, &count, &stopped);
            }
        });
        FloodClient { stop, sent, thread }
    }

    /// Stops the client. Returns the number of requests that it has made.
    pub fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        self.sent.load(Ordering::Relaxed)
    }
}

fn send_until_closed(
    mut stream: TcpStream, request: &impl Fn(u64) -> Vec<u8>, count: &AtomicU64, stopped: &AtomicBool,
) {
    stream.set_nonblocking(true).unwrap();
    let (mut pending, mut responses) = (Vec::new(), vec![0; 64 * 1024]);
    let is_open = |result: std::io::Result<usize>| match result {
        Ok(n) => n > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    };
    while !stopped.load(Ordering::Relaxed) {
        while pending.len() < PENDING_BYTES {
            pending.extend(request(count.fetch_add(1, Ordering::Relaxed)));
        }
        let written = stream.write(&pending);
        pending.drain(..*written.as_ref().unwrap_or(&0));
        if !is_open(written) || !is_open(stream.read(&mut responses)) {
            return;
        }
    }
}

/// A message on a connection that stays open.
fn message(id: &str, path: &str, destination: u32) -> Vec<u8> {
    ClientMessage { path: path.into(), ..fee_message(id) }.to(destination).bytes_on_kept_connection()
}

/// Runs the client beside others, whose messages get their answers in time and end.
fn assert_flood_is_harmless(request: impl Fn(u64) -> Vec<u8> + Send + 'static) {
    let _lock = crate::lock();
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&discovery);
    let flood = FloodClient::start(forwarder.listen_address, request);
    let mut submissions = Submissions::run(&forwarder, FLOOD_TIME);
    let sent = flood.finish();
    assert!(sent > 1_000, "{sent} requests are no flood");
    assert!(!submissions.accepted.is_empty());
    submissions.assert_in_time();
    wait_until("what was accepted has ended", || has_ended(&submissions.accepted, &target, &discovery));
    assert!(forwarder.is_running());
    let peak = forwarder.peak_memory();
    println!("peak memory: {peak} bytes after {sent} requests");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes of memory after {sent} requests");
}

#[test]
fn small_messages_under_new_ids_delay_no_other_client() {
    assert_flood_is_harmless(|n| message(&format!("flood-{n}"), "/fee", 1));
}

#[test]
fn messages_for_new_destinations_delay_no_other_client() {
    assert_flood_is_harmless(|n| message(&format!("flood-{n}"), "/fee", 2 + n as u32 % 65_000));
}

#[test]
fn messages_under_new_order_keys_delay_no_other_client() {
    assert_flood_is_harmless(|n| message(&format!("flood-{n}"), &format!("/update/key-{n}"), 1));
}

#[test]
fn health_checks_without_a_pause_delay_no_other_client() {
    assert_flood_is_harmless(|_| b"GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n".into());
}

#[test]
fn unsound_requests_under_new_names_delay_no_other_client() {
    assert_flood_is_harmless(|n| match n % 3 {
        0 => format!("GET /name-{n} HTTP/1.1\r\nHost: f\r\n\r\n").into(),
        1 => format!("NAME-{n} \u{1} HTTP/1.1\r\n\r\n").into(),
        _ => format!("POST /fee HTTP/1.1\r\nHost: f\r\nName-{n}: x\r\nContent-Length: 0\r\n\r\n").into(),
    });
}

/// Guards against one client that makes the forwarder forget the requests of all others.
#[test]
fn new_ids_of_one_client_displace_no_request_of_another() {
    let _lock = crate::lock();
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let forwarder = Forwarder::start(&discovery);
    wait_until("a message is accepted", || forwarder.submit(&fee_message("mine")) == 202);
    let flood = FloodClient::start(forwarder.listen_address, |n| message(&format!("flood-{n}"), "/fee", 1));
    let end = Instant::now() + FLOOD_TIME;
    let mut repeats = 0;
    while Instant::now() < end {
        sleep(Duration::from_millis(200));
        repeats += usize::from([200, 202].contains(&forwarder.submit(&fee_message("mine"))));
    }
    let sent = flood.finish();
    let calls = target.message_ids().iter().filter(|id| *id == "mine").count();
    assert_eq!(calls, 1, "after {repeats} repeats beside {sent} requests");
}
