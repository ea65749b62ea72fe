//! What peers of the client side see, in paused time: no peer holds a connection that brings no request.

use super::*;
use crate::node;
use serde_json::json;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

const OWED: Duration = Duration::from_secs(3);

fn desk(stage: watch::Receiver<Stage>) -> Arc<Desk> {
    let settings = json!({
        "balancers": 1,
        "categories": [{"name": "note", "aim": 3_000_000, "deadline": 16_000_000, "effect": "repeatable"}],
        "limits": {"max_open": 16, "try_limit": 6},
    });
    let settings = Arc::new(serde_json::from_value(settings).unwrap());
    let (inputs, _) = node::channel();
    Arc::new(Desk { settings, clock: Clock::new(), inputs, stage })
}

/// A peer, and the stage of the forwarder it has connected to.
fn connect() -> (DuplexStream, watch::Sender<Stage>) {
    let (peer, ours) = duplex(1 << 20);
    let (stage, seen) = watch::channel(Stage::Serving);
    tokio::spawn(connection(ours, desk(seen)));
    (peer, stage)
}

/// Reads until the connection ends; what came, and how long that took.
async fn until_closed(peer: &mut DuplexStream) -> (String, Duration) {
    let start = Instant::now();
    let mut answer = Vec::new();
    timeout(100 * OWED, peer.read_to_end(&mut answer)).await.expect("the connection ends").unwrap();
    (String::from_utf8(answer).unwrap(), start.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_nothing_is_closed_in_time() {
    let (mut peer, _stage) = connect();
    let (_, took) = until_closed(&mut peer).await;
    assert!(took < OWED, "closed after {took:?}");
    assert!(took >= Duration::from_secs(2), "an idle client is owed 2 s, closed after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_never_ends_its_head_is_closed_in_time() {
    let (mut peer, _stage) = connect();
    let start = Instant::now();
    peer.write_all(b"POST /note HTTP/1.1\r\nHost: x\r\n").await.unwrap();
    while peer.write_all(b"X-More: of this\r\n").await.is_ok() && start.elapsed() < 100 * OWED {
        sleep(Duration::from_millis(300)).await;
    }
    assert!(start.elapsed() < OWED + Duration::from_millis(300), "closed after {:?}", start.elapsed());
}

/// The head may take nearly all its time; the body must not add as much again.
#[tokio::test(start_paused = true)]
async fn a_peer_that_never_ends_its_body_is_answered_in_time() {
    let (mut peer, _stage) = connect();
    let head = "POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                X-Consignee: dest=1\r\nContent-Length: 100\r\n";
    peer.write_all(head.as_bytes()).await.unwrap();
    let late = HEAD_WAIT - Duration::from_millis(100);
    sleep(late).await;
    peer.write_all(b"\r\nhalf").await.unwrap();
    let (answer, took) = until_closed(&mut peer).await;
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert!(late + took < OWED, "answered and closed after {:?}", late + took);
}
