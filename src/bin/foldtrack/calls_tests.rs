//! Tests of calls on kept connections. The test holds the endpoint's side of each connection.

use super::*;
use crate::connection::REUSE_PAUSE;
use crate::events;
use crate::message::Message;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use tokio::task::spawn_blocking;
use tokio::time::sleep;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn call(address: SocketAddr, connection: HttpConnection) -> Call {
    let message = Message {
        id: "m".into(),
        class: 0,
        destination: 1,
        order_key: String::new(),
        idempotency_key: None,
        retry_header: None,
        expires_at: 0,
        body: "x".into(),
    };
    Call {
        number: 1,
        attempt: 0,
        target: 0,
        address,
        message: Arc::new(message),
        connect_timeout: WAIT_LIMIT,
        timeout_at: Instant::now() + WAIT_LIMIT,
        connection: Some((Duration::ZERO, connection)),
        reads_limit_reports: false,
        generation: 0,
    }
}

/// Makes a call on a kept connection. Returns its end.
async fn make_call_on(address: SocketAddr, connection: HttpConnection) -> CallEnd {
    end_of(call(address, connection)).await
}

/// Makes a call and returns its end.
async fn end_of(call: Call) -> CallEnd {
    let ((events, mut receiver), (_cancel, cancelled)) = (events::channel(), oneshot::channel());
    tokio::spawn(make_call(call, cancelled, events));
    loop {
        match receiver.recv().await {
            Some(NodeEvent::CallEnded(end)) => return end,
            Some(_) => {}
            None => panic!("the call has not ended"),
        }
    }
}

/// A connection on which one call has been answered, and the endpoint's side of it.
async fn kept_connection(listener: &TcpListener) -> (HttpConnection, TcpStream) {
    let address = listener.local_addr().unwrap();
    let connection = HttpConnection::open(address, |_| ()).await.unwrap();
    let (mut endpoint, _) = listener.accept().unwrap();
    endpoint.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let responds = spawn_blocking(move || {
        assert!(endpoint.read(&mut [0; 1024]).unwrap() > 0);
        endpoint.write_all(RESPONSE).unwrap();
        endpoint
    });
    let end = make_call_on(address, connection).await;
    assert_eq!(end.outcome, Outcome::Ok);
    (end.connection.expect("the connection is kept"), responds.await.unwrap())
}

/// Guards against a second copy of a response that is taken for the response to the next message: that message counted
/// as delivered. The copy has arrived, and the runtime has not noticed it yet.
#[tokio::test]
async fn a_second_copy_of_a_response_does_not_end_the_next_message() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    sleep(2 * REUSE_PAUSE).await;
    endpoint.write_all(RESPONSE).unwrap();
    let end = make_call_on(listener.local_addr().unwrap(), connection).await;
    assert_eq!((end.outcome, end.completes_message), (Outcome::NotSent, false));
    assert!(end.connection.is_none(), "the connection is used again");
    let mut received = Vec::new();
    let _ = endpoint.read_to_end(&mut received);
    assert!(received.is_empty(), "the message has been sent");
}

/// Guards against a second copy that arrives a moment later, when the next request is on its way.
#[tokio::test]
async fn a_connection_is_used_again_after_a_pause() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let start = Instant::now();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    let responds = spawn_blocking(move || {
        assert!(endpoint.read(&mut [0; 1024]).unwrap() > 0);
        let received_at = Instant::now();
        endpoint.write_all(RESPONSE).unwrap();
        received_at
    });
    let end = make_call_on(listener.local_addr().unwrap(), connection).await;
    assert_eq!(end.outcome, Outcome::Ok);
    assert!(responds.await.unwrap() - start >= REUSE_PAUSE);
}

/// Guards against a status line that stays from the call before: a call whose time ends in the pause counted as
/// delivered.
#[tokio::test]
async fn a_call_that_ends_in_the_pause_has_not_been_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    let timeout_at = Instant::now();
    let end = end_of(Call { timeout_at, ..call(listener.local_addr().unwrap(), connection) }).await;
    assert_eq!((end.outcome, end.completes_message), (Outcome::NotSent, false));
    assert_eq!(endpoint.read(&mut [0; 1024]).unwrap_or(0), 0, "the message has been sent");
}

/// A response that brings more is complete: its connection is closed, but it does not count as cut short.
#[tokio::test]
async fn a_response_with_more_behind_it_is_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    let responds = spawn_blocking(move || {
        assert!(endpoint.read(&mut [0; 1024]).unwrap() > 0);
        endpoint.write_all(&RESPONSE.repeat(2)).unwrap();
        endpoint
    });
    let end = make_call_on(listener.local_addr().unwrap(), connection).await;
    assert_eq!((end.outcome, end.response_truncated), (Outcome::Ok, false));
    assert!(end.connection.is_none(), "the connection is used again");
    drop(responds.await.unwrap());
}

/// The end of a call whose response comes in two parts, 60 ms apart.
async fn end_with_response_in_two_parts(first: &'static [u8], rest: &'static [u8]) -> CallEnd {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    let responds = spawn_blocking(move || {
        assert!(endpoint.read(&mut [0; 1024]).unwrap() > 0);
        endpoint.write_all(first).unwrap();
        std::thread::sleep(3 * BODY_TIMEOUT);
        endpoint.write_all(rest).unwrap();
    });
    let end = make_call_on(listener.local_addr().unwrap(), connection).await;
    responds.await.unwrap();
    end
}

/// Guards against a response that breaks off in its body and is taken for proof that the call has not run: an unsafe
/// message was sent again. The wait that its head asks for holds all the same.
#[tokio::test]
async fn a_response_that_breaks_off_is_no_proof_that_the_call_did_not_run() {
    let cut_off: [&[u8]; 6] = [
        b"HTTP/1.1 503 Status\r\nContent-Length: 40\r\n\r\n{\"err",
        b"HTTP/1.1 503 Status\r\nConnection: close\r\nContent-Length: 40\r\n\r\n{\"err",
        b"HTTP/1.1 503 Status\r\nX-Line-Busy: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"err",
        b"HTTP/1.1 504 Status\r\nContent-Length: 40\r\n\r\n",
        b"HTTP/1.1 410 Status\r\nContent-Length: 40\r\n\r\n{\"err",
        b"HTTP/1.1 503 Status\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n",
    ];
    for response in cut_off {
        let end = end_with_response_in_two_parts(response, b"").await;
        let text = String::from_utf8_lossy(response);
        assert!(!end.outcome.never_ran() && !end.completes_message, "{:?}: {text}", end.outcome);
        assert!(end.response_truncated && end.connection.is_none(), "{text}");
    }
    let wait: &[u8] = b"HTTP/1.1 429 Status\r\nX-Come-Back-Ms: 900\r\nContent-Length: 40\r\n\r\n{\"err";
    let end = end_with_response_in_two_parts(wait, b"").await;
    assert!(!end.outcome.never_ran() && end.wait_until.is_some(), "{:?}", end.outcome);
    let too_long = format!("HTTP/1.1 503 Status\r\nContent-Length: 70000\r\n\r\n{}", "x".repeat(70_000));
    let end = end_with_response_in_two_parts(too_long.leak().as_bytes(), b"").await;
    assert_eq!((end.outcome, end.completes_message), (Outcome::Error, false));
}

/// Guards against taking a response whose body comes late for one that breaks off.
#[tokio::test]
async fn a_response_whose_body_comes_late_is_proof_that_the_call_did_not_run() {
    let head = b"HTTP/1.1 503 Status\r\nContent-Length: 5\r\n\r\n{";
    let end = end_with_response_in_two_parts(head, b"err}").await;
    assert_eq!((end.outcome, end.response_truncated), (Outcome::Rejected, false));
}

/// Guards against a call that outlasts its time, since the body of its response does not end.
#[tokio::test]
async fn a_call_whose_response_does_not_end_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (connection, mut endpoint) = kept_connection(&listener).await;
    let responds = spawn_blocking(move || {
        assert!(endpoint.read(&mut [0; 1024]).unwrap() > 0);
        endpoint.write_all(b"HTTP/1.1 503 Status\r\nContent-Length: 5\r\n\r\n{").unwrap();
        endpoint
    });
    let timeout_at = Instant::now() + Duration::from_millis(200);
    let end = end_of(Call { timeout_at, ..call(listener.local_addr().unwrap(), connection) }).await;
    assert_eq!((end.outcome, end.completes_message), (Outcome::TimedOut, false));
    drop(responds.await.unwrap());
}
