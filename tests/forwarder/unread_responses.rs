//! Clients that read no responses, beside clients that do.

use crate::harness::*;
use crate::{start_with_one_target, MILLIS};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep, JoinHandle};

/// More than the half of the descriptors that the configuration leaves to clients.
const PEERS: usize = 140;

/// Submits a message on a connection, then sends requests for as long as the connection takes them, and reads nothing.
/// Ends when the forwarder closes the connection, or when told to.
fn send_without_reading(
    mut stream: TcpStream, message: ClientMessage, stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    // Little room for responses on this side: the forwarder's is what the test is about.
    set_socket_recv_buffer_size(&stream, 4096).unwrap();
    stream.set_write_timeout(Some(MILLIS(100))).unwrap();
    thread::spawn(move || {
        let message = message.bytes_on_kept_connection();
        let requests = b"GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n".repeat(100);
        let mut open = stream.write_all(&message).is_ok();
        let mut written = 0;
        while open && !stop.load(Ordering::Relaxed) {
            match stream.write(&requests[written..]) {
                Ok(n) => written = (written + n) % requests.len(),
                Err(error) => open = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            }
        }
    })
}

/// Guards against peers that read no responses, keep their connections for good and so keep all new clients out.
#[test]
fn peers_that_read_no_responses_keep_no_client_out() {
    let (target, discovery, forwarder) = start_with_one_target(|_| OK);
    let stop = Arc::new(AtomicBool::new(false));
    let peers: Vec<_> = (0..PEERS)
        .map(|n| {
            let stream = TcpStream::connect(forwarder.listen_address).unwrap();
            send_without_reading(stream, fee_message(&format!("unread-{n}")), stop.clone())
        })
        .collect();
    wait_until("the forwarder closes the connections of its peers", || {
        peers.iter().all(JoinHandle::is_finished)
    });
    stop.store(true, Ordering::Relaxed);
    // Nothing is left of them: a client is served as before.
    assert_eq!(forwarder.submit(&fee_message("m1")), 202);
    wait_until("the target receives the call", || target.message_ids().contains(&"m1".to_string()));
    sleep(MILLIS(300));
    wait_until("every message has ended", || crate::admin::metric(&forwarder, "active") == 0);
    assert!(discovery.notices().iter().all(|(id, _)| id != "m1"));
}
