//! Shutdowns beside peers that connect again as soon as their connections are closed.

use crate::crowd::{Crowd, Script};
use crate::harness::*;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

const PEERS: usize = 400;
/// After SIGTERM: longer than new connections come for, and shorter than the process may take to end.
const LISTENER_CLOSED_AFTER: Duration = Duration::from_millis(2_000);

/// Guards against a listener that stays open until the process ends, since its queue is never empty: what is read then is
/// cut off.
#[test]
fn peers_that_connect_again_do_not_keep_the_listener_open_at_shutdown() {
    let _lock = crate::lock();
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let mut forwarder = Forwarder::start(&discovery);
    let request = b"GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n";
    let script = Script { start: request.into(), piece: Vec::new(), pieces: 0 };
    let crowd = Crowd::start(forwarder.listen_address, PEERS, script);
    sleep(Duration::from_millis(500));
    forwarder.signal("TERM");
    sleep(LISTENER_CLOSED_AFTER);
    let connected = TcpStream::connect(forwarder.listen_address);
    assert_eq!(connected.map_err(|error| error.kind()).err(), Some(ErrorKind::ConnectionRefused));
    drop(crowd);
    assert!(forwarder.wait_for_exit().success());
}
