//! Tests of client connections as their peers observe them, most of them with the clock paused. No peer may keep
//! a connection open without sending a request.

use super::*;
use crate::connection_limit::ConnectionLimit;
use crate::events::{self, ResponseGuard};
use crate::streams;
use serde_json::json;
use std::io;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

pub(crate) const CLOSE_DEADLINE: Duration = Duration::from_secs(3);
pub(crate) const REQUEST: &[u8] =
    b"POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                        X-Consignee: dest=1\r\nContent-Length: 0\r\n\r\n";

impl ClientStream for DuplexStream {
    fn poll_readable(&self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn has_hung_up(&self) -> bool {
        false
    }
}

pub(crate) fn context(stage: watch::Receiver<LifecycleStage>, events: EventSender) -> Arc<ServerContext> {
    context_with_overload(stage, events, OverloadMonitor::default())
}

pub(crate) fn context_with_overload(
    stage: watch::Receiver<LifecycleStage>, events: EventSender, overload: OverloadMonitor,
) -> Arc<ServerContext> {
    let settings = json!({
        "balancers": 1,
        "categories": [{"name": "note", "aim": 3_000_000, "deadline": 16_000_000, "effect": "repeatable"}],
        "limits": {"max_open": 16, "try_limit": 6},
    });
    let settings = Arc::new(serde_json::from_value(settings).unwrap());
    Arc::new(ServerContext {
        settings,
        clock: Clock::new(),
        events,
        stage,
        overload,
        read_limiter: AdmissionLimiter::new(READS_PER_TURN),
        unread_responses: UnreadResponses::default(),
        client_stats: ClientStats::default(),
        body_memory: BodyMemory::new(1 << 20),
    })
}

/// Connects a peer to a new server. Returns the peer's end of the connection and the sender that sets the
/// lifecycle stage of the server.
async fn connect() -> (DuplexStream, watch::Sender<LifecycleStage>) {
    let (peer, stage, _) = connect_with_limit(&ConnectionLimit::new(1)).await;
    (peer, stage)
}

/// Like [`connect`], under a connection limit that may be shared. Also returns the receiver of the events that
/// the server reports to the node.
async fn connect_with_limit(
    connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    connect_with_buffer(1 << 20, connections).await
}

/// Like [`connect_with_limit`], over a network that buffers `buffer_bytes` in each direction.
async fn connect_with_buffer(
    buffer_bytes: usize, connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    let (peer, server_side) = duplex(buffer_bytes);
    let (stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, receiver) = events::channel();
    let permit = connections.acquire_within(CLOSE_DEADLINE).await.expect("a permit");
    let context = context(stage_receiver, events);
    tokio::spawn(serve_client(server_side, context, permit, Duration::ZERO));
    (peer, stage, receiver)
}

/// Reads until the connection is closed; returns the data and the time that it took.
async fn read_until_closed(peer: &mut DuplexStream) -> (String, Duration) {
    let start = Instant::now();
    let mut response = Vec::new();
    timeout(100 * CLOSE_DEADLINE, peer.read_to_end(&mut response))
        .await
        .expect("the connection is closed")
        .unwrap();
    (String::from_utf8(response).unwrap(), start.elapsed())
}

#[tokio::test(start_paused = true)]
async fn silent_peer_is_closed_in_time() {
    let (mut peer, _stage) = connect().await;
    let (_, took) = read_until_closed(&mut peer).await;
    assert!(took < CLOSE_DEADLINE, "closed after {took:?}");
    assert!(took >= Duration::from_secs(2), "an idle client must be kept for 2 s, closed after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn peer_with_endless_head_is_closed_in_time() {
    let (mut peer, _stage) = connect().await;
    let start = Instant::now();
    peer.write_all(b"POST /note HTTP/1.1\r\nHost: x\r\n").await.unwrap();
    while peer.write_all(b"X-More: of this\r\n").await.is_ok() && start.elapsed() < 100 * CLOSE_DEADLINE {
        sleep(Duration::from_millis(300)).await;
    }
    assert!(
        start.elapsed() < CLOSE_DEADLINE + Duration::from_millis(300),
        "closed after {:?}",
        start.elapsed()
    );
}

/// The same limit holds for the later requests of a connection.
#[tokio::test(start_paused = true)]
async fn peer_that_stops_in_a_later_head_is_closed_in_time() {
    let (mut peer, _stage, mut events) = connect_with_limit(&ConnectionLimit::new(1)).await;
    peer.write_all(REQUEST).await.unwrap();
    accept_submission(&mut events).await;
    peer.read_exact(&mut [0; 20]).await.expect("the first response");
    sleep(HEAD_TIMEOUT - Duration::from_millis(100)).await;
    peer.write_all(&REQUEST[..30]).await.unwrap();
    let (_, took) = read_until_closed(&mut peer).await;
    assert!(took < CLOSE_DEADLINE, "closed after {took:?}");
}

/// The head may take nearly all of its time; the body must not extend the limit.
#[tokio::test(start_paused = true)]
async fn peer_with_incomplete_body_gets_a_response_in_time() {
    let (mut peer, _stage) = connect().await;
    let head = "POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                X-Consignee: dest=1\r\nContent-Length: 100\r\n";
    peer.write_all(head.as_bytes()).await.unwrap();
    let head_time = HEAD_TIMEOUT - Duration::from_millis(100);
    sleep(head_time).await;
    peer.write_all(b"\r\nhalf").await.unwrap();
    let (response, took) = read_until_closed(&mut peer).await;
    assert!(response.starts_with("HTTP/1.1 4"), "{response}");
    assert!(head_time + took < CLOSE_DEADLINE, "closed after {:?}", head_time + took);
}

/// Guards against deadlines that count from when a request is read: under overload it has waited in queues
/// before, so the message ended, and its notice was sent, too late by that wait.
#[tokio::test(start_paused = true)]
async fn deadline_counts_from_before_the_wait_to_be_read() {
    let (mut client, server_side) = duplex(1024);
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let (context, permit) = (
        context(stage_receiver, events),
        ConnectionLimit::new(1).acquire_within(CLOSE_DEADLINE).await.expect("a permit"),
    );
    let now = context.clock.now();
    tokio::spawn(serve_client(server_side, context, permit, Duration::from_millis(300)));
    for queue_time in [300_000, 0] {
        client.write_all(REQUEST).await.unwrap();
        let Some(NodeEvent::Submit { message, reply, .. }) = receiver.recv().await else {
            panic!("no message was submitted")
        };
        assert_eq!(message.expires_at, now - queue_time + 9_000_000, "only the first waited in the queue");
        drop(reply);
        client.read_exact(&mut [0; 12]).await.expect("a response");
    }
}

/// Guards against the same for requests that were sent together with one that waited.
#[tokio::test(start_paused = true)]
async fn deadlines_of_requests_that_came_together_count_from_before_their_wait() {
    let (mut client, server_side) = duplex(1024);
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let context = context(stage_receiver, events);
    let permit = ConnectionLimit::new(1).acquire_within(CLOSE_DEADLINE).await.expect("a permit");
    let now = context.clock.now();
    tokio::spawn(serve_client(server_side, context, permit, Duration::from_millis(300)));
    client.write_all(&REQUEST.repeat(3)).await.unwrap();
    for number in 0..3 {
        let Some(NodeEvent::Submit { message, reply, .. }) = receiver.recv().await else {
            panic!("no message was submitted")
        };
        assert_eq!(message.expires_at, now - 300_000 + 9_000_000, "request {number}");
        sleep(Duration::from_millis(20)).await;
        drop(reply);
    }
}

/// Guards against silent peers that occupy all connections and keep clients waiting to be accepted.
#[tokio::test(start_paused = true)]
async fn silent_peers_are_evicted_but_active_clients_are_not() {
    let connections = ConnectionLimit::new(3);
    let mut peers = Vec::new();
    for _ in 0..3 {
        peers.push(connect_with_limit(&connections).await);
    }
    let (client, _, events) = &mut peers[0];
    client.write_all(REQUEST).await.unwrap();
    let submitted = events.recv().await;
    assert!(matches!(submitted, Some(NodeEvent::Submit { .. })));
    let start = Instant::now();
    let _first = connections.acquire_within(CLOSE_DEADLINE).await;
    assert!(start.elapsed() < Duration::from_millis(100), "waited {:?} for a permit", start.elapsed());
    let (_, took) = read_until_closed(&mut peers[1].0).await;
    assert!(took.is_zero(), "the peer that was silent for longest stayed for {took:?}");
    let _second = connections.acquire_within(CLOSE_DEADLINE).await;
    let (_, took) = read_until_closed(&mut peers[2].0).await;
    assert!(took.is_zero(), "the other silent peer stayed for {took:?}");
    drop(submitted);
    let mut response = [0; 12];
    peers[0].0.read_exact(&mut response).await.expect("the client has its response");
    assert_eq!(&response, b"HTTP/1.1 503");
}

/// Accepts the next submitted message, as the node does.
pub(crate) async fn accept_submission(events: &mut UnboundedReceiver<NodeEvent>) {
    match events.recv().await {
        Some(NodeEvent::Submit { reply, .. }) => {
            let (node_events, _) = events::channel();
            let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(1, node_events)));
        }
        _ => panic!("no message was submitted"),
    }
}

/// Accepts the next submitted message as number 7. Returns the receiver of the end of its response.
async fn accept_with_guard(events: &mut UnboundedReceiver<NodeEvent>) -> UnboundedReceiver<NodeEvent> {
    let (node_events, guard_events) = events::channel();
    let Some(NodeEvent::Submit { reply, .. }) = events.recv().await else {
        panic!("no message was submitted")
    };
    let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(7, node_events)));
    guard_events
}

/// At the limit, a silent connection is evicted. One whose request has arrived whole by then is active: it
/// has its response, and the next candidate is evicted in its place.
#[tokio::test(start_paused = true)]
async fn whole_request_gets_its_response_despite_eviction() {
    let connections = ConnectionLimit::new(2);
    let (mut client, _stage, mut events) = connect_with_limit(&connections).await;
    let (mut silent, _silent_stage, _silent_events) = connect_with_limit(&connections).await;
    client.write_all(REQUEST).await.unwrap();
    // No task has run since: the oldest candidate is evicted before its request is read.
    let (next, ()) = tokio::join!(connections.acquire_within(CLOSE_DEADLINE), accept_submission(&mut events));
    assert!(next.is_some());
    let mut response = [0; 12];
    client.read_exact(&mut response).await.expect("the client has its response");
    assert_eq!(&response, b"HTTP/1.1 202");
    let (_, took) = read_until_closed(&mut silent).await;
    assert!(took.is_zero(), "the silent peer stayed for {took:?}");
}

/// A request of which a part has been read is refused where its connection has to make room: the client need not wait for
/// a response in vain.
#[tokio::test(start_paused = true)]
async fn partial_request_is_refused_when_its_connection_is_evicted() {
    const HEAD: &[u8] = b"POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                          X-Consignee: dest=1\r\nContent-Length: 100\r\n\r\n";
    for part in [&REQUEST[..30], HEAD] {
        let connections = ConnectionLimit::new(1);
        let (mut client, _stage, _events) = connect_with_limit(&connections).await;
        client.write_all(part).await.unwrap();
        sleep(Duration::from_millis(1)).await;
        let _next = connections.acquire_within(CLOSE_DEADLINE).await.expect("the connection makes room");
        let (response, _) = read_until_closed(&mut client).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?} to {} bytes", part.len());
    }
}

/// Guards against a message that is discarded though its client may know that it is accepted.
#[tokio::test(start_paused = true)]
async fn message_is_accepted_once_the_status_line_of_its_response_may_have_arrived() {
    let (mut client, _stage, mut events) = connect_with_buffer(32, &ConnectionLimit::new(1)).await;
    client.write_all(REQUEST).await.unwrap();
    let mut guard_events = accept_with_guard(&mut events).await;
    let mut status_line = [0; 23];
    client.read_exact(&mut status_line).await.unwrap();
    assert_eq!(&status_line, b"HTTP/1.1 202 Accepted\r\n");
    drop(client);
    let ended = guard_events.recv().await;
    assert!(matches!(ended, Some(NodeEvent::ResponseEnded { number: 7, written: true })));
}

/// A message may be sent once its client has its response or can have no more of it, and not before.
#[tokio::test(start_paused = true)]
async fn message_is_not_sent_while_its_response_is_being_written() {
    // The network buffers only a part of the response.
    let (mut client, _stage, mut events) = connect_with_buffer(32, &ConnectionLimit::new(1)).await;
    client.write_all(REQUEST).await.unwrap();
    let mut guard_events = accept_with_guard(&mut events).await;
    sleep(Duration::from_millis(50)).await;
    assert!(guard_events.try_recv().is_err(), "reported before the response was written");
    client.read_exact(&mut [0; 64]).await.expect("the response");
    let ended = guard_events.recv().await;
    assert!(matches!(ended, Some(NodeEvent::ResponseEnded { number: 7, written: true })));
}

/// A message is not accepted if its client disconnects before anything of the response is written.
#[tokio::test(start_paused = true)]
async fn message_is_discarded_if_nothing_of_its_response_is_written() {
    let health_request = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    let (mut client, _stage) = connect().await;
    client.write_all(health_request).await.unwrap();
    let (health_response, _) = read_until_closed(&mut client).await;
    // The first response fills the network.
    let (mut client, _stage, mut events) =
        connect_with_buffer(health_response.len(), &ConnectionLimit::new(1)).await;
    let requests = [health_request, REQUEST].concat();
    let (sent, mut guard_events) = tokio::join!(client.write_all(&requests), accept_with_guard(&mut events));
    sent.unwrap();
    sleep(Duration::from_millis(50)).await;
    drop(client);
    let ended = guard_events.recv().await;
    assert!(matches!(ended, Some(NodeEvent::ResponseEnded { number: 7, written: false })));
}

/// Lets a client send `requests`, the first of which submits a message, over a network that buffers `buffer_bytes`, and read nothing. Returns the events of
/// the server, and how long it keeps the connection.
async fn serve_client_that_reads_nothing(
    requests: &[u8], buffer_bytes: usize, stage: LifecycleStage,
) -> (UnboundedReceiver<NodeEvent>, Duration) {
    let connections = ConnectionLimit::new(1);
    let (mut client, stage_sender, mut events) = connect_with_buffer(buffer_bytes, &connections).await;
    let (sent, ()) = tokio::join!(client.write_all(requests), accept_submission(&mut events));
    sent.unwrap();
    sleep(Duration::from_millis(1)).await;
    stage_sender.send_replace(stage);
    let start = Instant::now();
    let closed = connections.acquire_within(100 * CLOSE_DEADLINE).await;
    assert!(closed.is_some(), "a client that reads nothing keeps its connection");
    (events, start.elapsed())
}

/// Guards against clients that read no responses and keep their connections for good, until no new one is accepted.
#[tokio::test(start_paused = true)]
async fn client_that_reads_no_response_is_closed_in_time() {
    let (mut events, took) = serve_client_that_reads_nothing(REQUEST, 32, LifecycleStage::Serving).await;
    assert!(took < CLOSE_DEADLINE, "closed after {took:?}");
    assert!(matches!(events.recv().await, Some(NodeEvent::ResponseUnread)));
}

/// Guards against the same where the unread response is not the first one, and where the process is about to end.
#[tokio::test(start_paused = true)]
async fn closing_connection_does_not_wait_for_its_client_to_read() {
    let requests = [REQUEST, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"].concat();
    for stage in [LifecycleStage::Serving, LifecycleStage::Closing] {
        let (_, took) = serve_client_that_reads_nothing(&requests, 150, stage).await;
        assert!(took < CLOSE_DEADLINE, "closed after {took:?} at stage {stage:?}");
    }
}

/// Guards against a refusal that waits for a client which has left earlier responses unread.
#[tokio::test(start_paused = true)]
async fn refusal_does_not_wait_for_a_client_that_reads_nothing() {
    let (_client, server_side) = duplex(32);
    let refused = timeout(100 * CLOSE_DEADLINE, streams::refuse_unread(server_side)).await;
    assert!(refused.is_ok(), "the refusal waits for the client");
}

/// Operators see from the interval log line that clients do not read.
#[tokio::test(start_paused = true)]
async fn unread_responses_are_counted() {
    let (mut client, server_side) = duplex(32);
    let (_stage, stage_receiver) = watch::channel(LifecycleStage::Serving);
    let (events, _receiver) = events::channel();
    let (context, permit) = (
        context(stage_receiver, events),
        ConnectionLimit::new(1).acquire_within(CLOSE_DEADLINE).await.expect("a permit"),
    );
    let unread_responses = context.unread_responses.clone();
    tokio::spawn(serve_client(server_side, context, permit, Duration::ZERO));
    client.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await.unwrap();
    sleep(Duration::from_millis(10)).await;
    assert_eq!(unread_responses.count(), 1);
    client.read_exact(&mut [0; 64]).await.expect("the response");
    sleep(Duration::from_millis(10)).await;
    assert_eq!(unread_responses.count(), 0);
}

/// A request that has partly arrived on a kept connection when the process is about to end gets its response.
#[tokio::test(start_paused = true)]
async fn partial_request_gets_its_response_while_connections_close() {
    let (mut client, stage, mut events) = connect_with_limit(&ConnectionLimit::new(1)).await;
    client.write_all(REQUEST).await.unwrap();
    accept_submission(&mut events).await;
    client.read_exact(&mut [0; 20]).await.expect("the first response");
    let (first, rest) = REQUEST.split_at(30);
    client.write_all(first).await.unwrap();
    sleep(Duration::from_millis(1)).await;
    stage.send_replace(LifecycleStage::Closing);
    sleep(Duration::from_millis(1)).await;
    client.write_all(rest).await.expect("the connection is open");
    accept_submission(&mut events).await;
    let (response, _) = read_until_closed(&mut client).await;
    assert!(response.contains("HTTP/1.1 202") && response.contains("connection: close"), "{response}");
}

#[tokio::test(start_paused = true)]
async fn requests_that_arrive_together_are_answered_in_order_however_they_are_cut() {
    const COUNT: usize = 4;
    let with_body = [&String::from_utf8_lossy(REQUEST).replace("Length: 0", "Length: 3"), "abc"].concat();
    let requests = [REQUEST, with_body.as_bytes()].concat().repeat(COUNT / 2);
    for cut in 1..requests.len() {
        let (mut client, _stage, mut events) = connect_with_limit(&ConnectionLimit::new(1)).await;
        let sends = async {
            client.write_all(&requests[..cut]).await.unwrap();
            sleep(Duration::from_millis(1)).await;
            client.write_all(&requests[cut..]).await.unwrap();
        };
        let accepts = async {
            for number in 0..COUNT {
                let Some(NodeEvent::Submit { message, reply, .. }) = events.recv().await else {
                    panic!("request {number} cut at {cut} was not submitted")
                };
                assert_eq!(message.body.len(), number % 2 * 3, "request {number} cut at {cut}");
                let _ = reply.send(SubmitResponse::Refused { retry_in_ms: 0 });
            }
        };
        tokio::join!(sends, accepts);
        let (responses, _) = read_until_closed(&mut client).await;
        assert_eq!(responses.matches("HTTP/1.1 503").count(), COUNT, "cut at {cut}");
    }
}

/// What has been read is answered, also where its rest comes while the connection closes, and no more is read.
#[tokio::test(start_paused = true)]
async fn closing_connection_answers_what_has_been_read_and_reads_no_further_request() {
    let (mut client, stage, mut events) = connect_with_limit(&ConnectionLimit::new(1)).await;
    let requests = REQUEST.repeat(4);
    let (first_part, rest) = requests.split_at(2 * REQUEST.len() + 50);
    client.write_all(first_part).await.unwrap();
    accept_submission(&mut events).await;
    accept_submission(&mut events).await;
    sleep(Duration::from_millis(1)).await;
    stage.send_replace(LifecycleStage::Closing);
    sleep(2 * CLOSE_DELAY).await;
    client.write_all(rest).await.unwrap();
    accept_submission(&mut events).await;
    let (responses, _) = read_until_closed(&mut client).await;
    let last = responses.rsplit("HTTP/1.1 202").next();
    assert_eq!(responses.matches("HTTP/1.1 202").count(), 3, "{responses}");
    assert!(last.is_some_and(|last| last.contains("connection: close")), "{responses}");
    assert!(events.try_recv().is_err(), "a request was read that is not answered");
}

/// Closing a socket with unread bytes resets the connection, which can discard a response in transit.
#[tokio::test(start_paused = true)]
async fn excess_data_is_read_while_the_connection_closes() {
    let (mut client, stage, mut events) = connect_with_buffer(1024, &ConnectionLimit::new(1)).await;
    stage.send_replace(LifecycleStage::Draining);
    let excess_request = [REQUEST, &[b'x'; 3 * MAX_BUFFER_BYTES]].concat();
    let (mut reading, mut writing) = tokio::io::split(&mut client);
    let sends = async {
        writing.write_all(&excess_request).await.expect("the rest is read");
        writing.shutdown().await.expect("the connection is open");
    };
    let mut response = String::new();
    let (_, _, read) =
        tokio::join!(sends, accept_submission(&mut events), reading.read_to_string(&mut response));
    read.expect("the end of the connection");
    assert!(response.starts_with("HTTP/1.1 202"), "{response}");
}
