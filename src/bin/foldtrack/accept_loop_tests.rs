//! Tests of the accept loop over real sockets.

use super::*;
use crate::client_server::tests::{
    accept_submission, context, context_with_overload, CLOSE_DEADLINE, REQUEST,
};
use crate::client_server::READS_PER_TURN;
use crate::connection_limit::MAX_REFUSALS;
use crate::events;
use crate::overload::OverloadMonitor;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Guards against an overloaded server that spends all its time on requests of clients that have
/// disconnected.
#[tokio::test]
async fn overloaded_server_refuses_half_closed_connections_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut hung_up = TcpStream::connect(address).await.unwrap();
    hung_up.write_all(REQUEST).await.unwrap();
    hung_up.shutdown().await.unwrap();
    let mut waits = TcpStream::connect(address).await.unwrap();
    let other_request =
        std::str::from_utf8(REQUEST).unwrap().replace("X-Request-Id: m", "X-Request-Id: waits");
    waits.write_all(other_request.as_bytes()).await.unwrap();
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(
        listener,
        context_with_overload(stage_receiver, events, OverloadMonitor::always_overloaded()),
        ConnectionLimit::new(4),
    ));
    let mut response = String::new();
    let read = timeout(10 * CLOSE_DEADLINE, hung_up.read_to_string(&mut response)).await;
    read.expect("a response").expect("the end of the connection");
    assert!(response.starts_with("HTTP/1.1 503") && response.ends_with("\r\n\r\n"), "{response}");
    match receiver.recv().await {
        Some(NodeEvent::Submit { message, .. }) => assert_eq!(message.id, "waits"),
        _ => panic!("no message was submitted"),
    }
    assert!(receiver.try_recv().is_err(), "the other one was submitted too");
}

/// Connects clients and writes a request for each before the first is accepted.
async fn clients(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut all = Vec::new();
    for _ in 0..count {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(REQUEST).await.unwrap();
        all.push(client);
    }
    all
}

/// Guards against the end of a message and its notice waiting behind all client connections that are ready.
#[tokio::test]
async fn few_requests_are_submitted_per_turn() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(listener, context(stage_receiver, events), ConnectionLimit::new(100)));
    let mut clients = clients(address, 5 * READS_PER_TURN).await;
    for client in &mut clients {
        match receiver.recv().await {
            Some(NodeEvent::Submit { reply, .. }) => drop(reply),
            _ => panic!("no message was submitted"),
        }
        // All connections are open and send their next request at the same moment.
        client.readable().await.unwrap();
    }
    for client in &clients {
        assert_eq!(client.try_write(REQUEST).unwrap(), REQUEST.len());
    }
    let (mut submitted, started_at) = (Vec::new(), Instant::now());
    while submitted.len() < 5 * READS_PER_TURN && started_at.elapsed() < 10 * CLOSE_DEADLINE {
        yield_now().await;
        let before = submitted.len();
        while let Ok(event) = receiver.try_recv() {
            submitted.push(event);
        }
        assert!(submitted.len() - before <= READS_PER_TURN, "{} in one turn", submitted.len() - before);
    }
    assert_eq!(submitted.len(), 5 * READS_PER_TURN, "every request is submitted in the end");
}

/// Submits two requests, one of which waits until it is too late. Returns the responses, the number of
/// submitted messages and whether a late refusal was reported.
async fn submit_two_while_loop_is_late(hangs_up: bool) -> (String, usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut clients = clients(listener.local_addr().unwrap(), 2).await;
    if hangs_up {
        clients[0].shutdown().await.unwrap();
        clients[1].shutdown().await.unwrap();
    }
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let limited_context = ServerContext {
        read_limiter: AdmissionLimiter::new(1),
        ..Arc::into_inner(context(stage_receiver, events)).unwrap()
    };
    tokio::spawn(serve(listener, Arc::new(limited_context), ConnectionLimit::new(4)));
    let first = receiver.recv().await;
    assert!(matches!(first, Some(NodeEvent::Submit { .. })));
    // The event loop is late.
    std::thread::sleep(MAX_READ_DELAY);
    drop(first);
    let (mut responses, mut submitted, mut refused_late) = (String::new(), 1, false);
    for client in &mut clients {
        let mut response = [0; 512];
        let length = timeout(10 * CLOSE_DEADLINE, client.read(&mut response))
            .await
            .expect("a response")
            .expect("a whole response");
        responses.push_str(std::str::from_utf8(&response[..length]).unwrap());
    }
    while let Ok(event) = receiver.try_recv() {
        submitted += usize::from(matches!(event, NodeEvent::Submit { .. }));
        refused_late |= matches!(event, NodeEvent::RefusedLate { class: 0 });
    }
    (responses, submitted, refused_late)
}

#[tokio::test]
async fn late_request_is_refused_before_it_is_submitted() {
    let (responses, submitted, refused_late) = submit_two_while_loop_is_late(false).await;
    assert_eq!((responses.matches("HTTP/1.1 503").count(), submitted), (2, 1), "{responses}");
    assert!(refused_late, "the late refusal is reported");
}

#[tokio::test]
async fn late_request_of_a_disconnected_client_is_refused_unread() {
    let (responses, submitted, refused_late) = submit_two_while_loop_is_late(true).await;
    assert_eq!((responses.matches("HTTP/1.1 503").count(), submitted), (2, 1), "{responses}");
    assert!(!refused_late, "the request was not read");
}

#[test]
fn accept_backlog_shrinks_as_turns_take_longer() {
    let backlog_for = |ms| accept_backlog(Duration::from_millis(ms));
    assert_eq!([0, 50, 100, 3000].map(backlog_for), [MAX_ACCEPT_BACKLOG, 8, 4, 1]);
}

/// The accept queue is longer than what is accepted before the listener closes.
#[tokio::test]
async fn queued_connections_get_their_responses_when_the_process_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let count = 3 * ACCEPTS_PER_TURN;
    let mut waiting = clients(listener.local_addr().unwrap(), count).await;
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Closing);
    let (events, mut receiver) = events::channel();
    let serving = tokio::spawn(serve(listener, context(stage_receiver, events), ConnectionLimit::new(count)));
    for client in &mut waiting {
        accept_submission(&mut receiver).await;
        client.readable().await.unwrap();
    }
    for client in &mut waiting {
        let mut response = String::new();
        let read = timeout(10 * CLOSE_DEADLINE, client.read_to_string(&mut response)).await;
        read.expect("a response").expect("a whole response, then the end");
        assert!(response.starts_with("HTTP/1.1 202") && response.contains("connection: close"), "{response}");
    }
    timeout(10 * CLOSE_DEADLINE, serving).await.expect("the server stops accepting").unwrap();
}

/// Guards against megabytes of responses that wait in the system's buffers, and the time to make them, while a peer
/// sends requests and reads no response.
#[tokio::test]
async fn few_responses_are_buffered_for_a_peer_that_reads_none() {
    /// Requests that are sent at a time.
    const PIPELINED: usize = 100;
    const MAX_BUFFERED_RESPONSES: usize = 20_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, _receiver) = events::channel();
    let context = context(stage_receiver, events);
    let unread_responses = context.unread_responses.clone();
    tokio::spawn(serve(listener, context, ConnectionLimit::new(1)));
    let requests = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(PIPELINED);
    for _ in 0..MAX_BUFFERED_RESPONSES / PIPELINED {
        peer.write_all(&requests).await.expect("the connection is open");
        sleep(Duration::from_millis(1)).await;
        if unread_responses.count() > 0 {
            return;
        }
    }
    panic!("{MAX_BUFFERED_RESPONSES} responses are buffered");
}

/// A server with `limit` active clients, which wait for the responses to the messages that they have submitted.
struct FullServer {
    address: SocketAddr,
    connections: ConnectionLimit,
    stage: watch::Sender<LifecycleStage>,
    events: UnboundedReceiver<NodeEvent>,
    clients: Vec<TcpStream>,
    submissions: Vec<NodeEvent>,
}

async fn start_full_server(limit: usize) -> FullServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let connections = ConnectionLimit::new(limit);
    tokio::spawn(serve(listener, context(stage_receiver, events), connections.clone()));
    let (clients, mut submissions) = (clients(address, limit).await, Vec::new());
    for _ in 0..limit {
        submissions.push(receiver.recv().await.expect("a submitted message"));
    }
    FullServer { address, connections, stage, events: receiver, clients, submissions }
}

/// Reads until the connection ends; a reset counts as its end.
async fn read_to_end(client: &mut TcpStream) -> String {
    let mut response = Vec::new();
    let read = timeout(10 * CLOSE_DEADLINE, client.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection has neither a response nor an end");
    String::from_utf8(response).unwrap()
}

/// Guards against an accept loop that waits without limit for one of the open connections to close: no new client had
/// an answer, though none of those that kept it waiting did anything wrong.
#[tokio::test]
async fn connections_beyond_the_limit_are_refused_in_time() {
    let mut server = start_full_server(2).await;
    for _ in 0..2 {
        let [mut client] = <[_; 1]>::try_from(clients(server.address, 1).await).unwrap();
        let response = read_to_end(&mut client).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(matches!(server.events.recv().await, Some(NodeEvent::ConnectionRefused)));
    }
    // Once an active client has left, a new one is served.
    drop((server.clients.pop(), server.submissions.pop()));
    let served = async {
        loop {
            let _client = clients(server.address, 1).await;
            if let Some(NodeEvent::Submit { .. }) = server.events.recv().await {
                return;
            }
        }
    };
    assert!(timeout(10 * CLOSE_DEADLINE, served).await.is_ok(), "a free connection is not used");
}

/// Guards against refusals that wait for each other: peers beyond the limit neither read nor close.
#[tokio::test]
async fn refusals_do_not_wait_for_their_peers() {
    let server = start_full_server(1).await;
    let mut peers = clients(server.address, 4 * MAX_REFUSALS).await;
    let start = Instant::now();
    for peer in &mut peers {
        let _ = timeout(10 * CLOSE_DEADLINE, peer.readable()).await.expect("a response or an end");
    }
    let one_after_another = 4 * MAX_REFUSALS as u32 * MAX_CONNECTION_WAIT;
    assert!(start.elapsed() < one_after_another / 2, "took {:?}", start.elapsed());
}

/// Guards against a takeover that resets the connection which waits for another one to close.
#[tokio::test]
async fn connection_that_waits_at_the_limit_is_answered_after_a_takeover() {
    let mut server = start_full_server(1).await;
    let [mut client] = <[_; 1]>::try_from(clients(server.address, 1).await).unwrap();
    let waits = async {
        while server.connections.exhausted_for().is_zero() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(10 * CLOSE_DEADLINE, waits).await.expect("the connection is accepted and waits");
    server.stage.send_replace(LifecycleStage::HandedOver);
    let response = read_to_end(&mut client).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    server.submissions.clear();
}
