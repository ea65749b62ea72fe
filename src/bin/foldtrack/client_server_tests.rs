//! Client connections as peers see them, mostly in paused time: no peer keeps a connection open without
//! sending a request.

use super::*;
use crate::events;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::yield_now;

const CLOSE_DEADLINE: Duration = Duration::from_secs(3);
const REQUEST: &[u8] = b"POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                        X-Consignee: dest=1\r\nContent-Length: 0\r\n\r\n";

impl ClientStream for DuplexStream {
    fn poll_readable(&self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn has_hung_up(&self) -> bool {
        false
    }
}

fn context(stage: watch::Receiver<LifecycleStage>, events: EventSender) -> Arc<ServerContext> {
    context_with_overload(stage, events, OverloadMonitor::default())
}

fn context_with_overload(
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
    })
}

/// Connects a peer to a server; with the sender of the server's stage.
async fn connect() -> (DuplexStream, watch::Sender<LifecycleStage>) {
    let (peer, stage, _) = connect_with_limit(&ConnectionLimit::new(1)).await;
    (peer, stage)
}

/// The same under a shared connection limit; with the receiver of the events that the server reports to the
/// node.
async fn connect_with_limit(
    connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    connect_with_buffer(1 << 20, connections).await
}

/// The same over a network that buffers `buffer_bytes` in each direction.
async fn connect_with_buffer(
    buffer_bytes: usize, connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    let (peer, server_side) = duplex(buffer_bytes);
    let (stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, receiver) = events::channel();
    let permit = connections.acquire().await.expect("a place");
    let context = context(seen, events);
    tokio::spawn(serve_client(server_side, context, permit, Duration::ZERO));
    (peer, stage, receiver)
}

/// Reads until the connection is closed; returns the data and the time that it took.
async fn until_closed(peer: &mut DuplexStream) -> (String, Duration) {
    let start = Instant::now();
    let mut answer = Vec::new();
    timeout(100 * CLOSE_DEADLINE, peer.read_to_end(&mut answer)).await.expect("the connection ends").unwrap();
    (String::from_utf8(answer).unwrap(), start.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_nothing_is_closed_in_time() {
    let (mut peer, _stage) = connect().await;
    let (_, took) = until_closed(&mut peer).await;
    assert!(took < CLOSE_DEADLINE, "closed after {took:?}");
    assert!(took >= Duration::from_secs(2), "an idle client is owed 2 s, closed after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_never_ends_its_head_is_closed_in_time() {
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

/// The head may take nearly all of its time; the body must not extend the limit.
#[tokio::test(start_paused = true)]
async fn a_peer_that_never_ends_its_body_is_answered_in_time() {
    let (mut peer, _stage) = connect().await;
    let head = "POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                X-Consignee: dest=1\r\nContent-Length: 100\r\n";
    peer.write_all(head.as_bytes()).await.unwrap();
    let head_time = HEAD_TIMEOUT - Duration::from_millis(100);
    sleep(head_time).await;
    peer.write_all(b"\r\nhalf").await.unwrap();
    let (answer, took) = until_closed(&mut peer).await;
    assert!(answer.starts_with("HTTP/1.1 4"), "{answer}");
    assert!(head_time + took < CLOSE_DEADLINE, "answered and closed after {:?}", head_time + took);
}

/// Guards against deadlines that count from when a request is read: under overload it waits in queues before,
/// and its message ended, with its notice, too late by that time.
#[tokio::test(start_paused = true)]
async fn a_messages_time_counts_from_before_its_wait_to_be_read() {
    let (mut client, server_side) = duplex(1024);
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let (context, permit) =
        (context(seen, events), ConnectionLimit::new(1).acquire().await.expect("a place"));
    let now = context.clock.now();
    tokio::spawn(serve_client(server_side, context, permit, Duration::from_millis(300)));
    for queued in [300_000, 0] {
        client.write_all(REQUEST).await.unwrap();
        let Some(NodeEvent::Submit { message, reply }) = receiver.recv().await else {
            panic!("not handed in")
        };
        assert_eq!(message.expires, now - queued + 9_000_000, "only the first was queued");
        drop(reply);
        client.read_exact(&mut [0; 12]).await.expect("an answer");
    }
}

/// Guards against silent peers that occupy all connections and keep clients waiting to be accepted.
#[tokio::test(start_paused = true)]
async fn silent_peers_make_room_but_a_client_that_has_handed_in_does_not() {
    let connections = ConnectionLimit::new(3);
    let mut taken = Vec::new();
    for _ in 0..3 {
        taken.push(connect_with_limit(&connections).await);
    }
    let (client, _, events) = &mut taken[0];
    client.write_all(REQUEST).await.unwrap();
    let submitted = events.recv().await;
    assert!(matches!(submitted, Some(NodeEvent::Submit { .. })));
    let start = Instant::now();
    let _first = connections.acquire().await;
    assert!(start.elapsed() < Duration::from_millis(100), "waited {:?} for a place", start.elapsed());
    let (_, took) = until_closed(&mut taken[1].0).await;
    assert!(took.is_zero(), "the peer that was silent longest stayed for {took:?}");
    let _second = connections.acquire().await;
    let (_, took) = until_closed(&mut taken[2].0).await;
    assert!(took.is_zero(), "the other silent peer stayed for {took:?}");
    drop(submitted);
    let mut answer = [0; 12];
    taken[0].0.read_exact(&mut answer).await.expect("the client has its answer");
    assert_eq!(&answer, b"HTTP/1.1 503");
}

/// Accepts the next submitted message, as the node does.
async fn accept_submission(events: &mut UnboundedReceiver<NodeEvent>) {
    match events.recv().await {
        Some(NodeEvent::Submit { reply, .. }) => {
            let (node_events, _) = events::channel();
            let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(1, node_events)));
        }
        _ => panic!("nothing was handed in"),
    }
}

/// At the limit, a silent connection is evicted. One whose request has arrived whole by then is active: it
/// has its response, and the next candidate is evicted in its place.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_whole_when_its_connection_is_to_make_room_has_its_answer() {
    let connections = ConnectionLimit::new(2);
    let (mut client, _stage, mut events) = connect_with_limit(&connections).await;
    let (mut silent, _silent_stage, _silent_events) = connect_with_limit(&connections).await;
    client.write_all(REQUEST).await.unwrap();
    // No task has run since: the oldest candidate is evicted before its request is read.
    let (next, ()) = tokio::join!(connections.acquire(), accept_submission(&mut events));
    assert!(next.is_some());
    let mut answer = [0; 12];
    client.read_exact(&mut answer).await.expect("the client has its answer");
    assert_eq!(&answer, b"HTTP/1.1 202");
    let (_, took) = until_closed(&mut silent).await;
    assert!(took.is_zero(), "the silent peer stayed for {took:?}");
}

/// A message may be sent once its client can have received the response, and not before.
#[tokio::test(start_paused = true)]
async fn a_message_counts_as_taken_on_once_its_answer_is_written_whole() {
    for client_leaves in [false, true] {
        // The network buffers only a part of the response.
        let (mut client, _stage, mut events) = connect_with_buffer(32, &ConnectionLimit::new(1)).await;
        client.write_all(REQUEST).await.unwrap();
        let (node_events, mut told) = events::channel();
        let Some(NodeEvent::Submit { reply, .. }) = events.recv().await else {
            panic!("nothing was handed in")
        };
        let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(7, node_events)));
        sleep(Duration::from_millis(50)).await;
        assert!(told.try_recv().is_err(), "told before the answer was written");
        if client_leaves {
            drop(client);
        } else {
            client.read_exact(&mut [0; 64]).await.expect("the answer");
        }
        match told.recv().await {
            Some(NodeEvent::ResponseEnded { number: 7, written }) => assert_eq!(written, !client_leaves),
            _ => panic!("not told"),
        }
    }
}

/// A request that has partly arrived on a kept connection when the process is about to end gets its response.
#[tokio::test(start_paused = true)]
async fn a_request_that_comes_in_pieces_while_connections_close_has_its_answer() {
    let (mut client, stage, mut events) = connect_with_limit(&ConnectionLimit::new(1)).await;
    client.write_all(REQUEST).await.unwrap();
    accept_submission(&mut events).await;
    client.read_exact(&mut [0; 20]).await.expect("the first answer");
    let (first, rest) = REQUEST.split_at(30);
    client.write_all(first).await.unwrap();
    sleep(Duration::from_millis(1)).await;
    stage.send_replace(LifecycleStage::Closing);
    sleep(Duration::from_millis(1)).await;
    client.write_all(rest).await.expect("the connection is open");
    accept_submission(&mut events).await;
    let (answer, _) = until_closed(&mut client).await;
    assert!(answer.contains("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
}

/// Closing a socket with unread bytes resets the connection, which can discard a response in transit.
#[tokio::test(start_paused = true)]
async fn a_client_that_sends_more_than_is_answered_is_read_on_while_its_connection_closes() {
    let (mut client, stage, mut events) = connect_with_buffer(1024, &ConnectionLimit::new(1)).await;
    stage.send_replace(LifecycleStage::Draining);
    let more = [REQUEST, &[b'x'; 3 * MAX_BUFFER_BYTES]].concat();
    let (mut reading, mut writing) = tokio::io::split(&mut client);
    let sends = async {
        writing.write_all(&more).await.expect("the rest is read");
        writing.shutdown().await.expect("the connection stands");
    };
    let mut answer = String::new();
    let (_, _, read) =
        tokio::join!(sends, accept_submission(&mut events), reading.read_to_string(&mut answer));
    read.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
}

/// Guards against an overloaded server that spends all its time on requests of clients that have
/// disconnected.
#[tokio::test]
async fn in_strain_what_hung_up_before_it_was_accepted_is_refused_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut hung_up = TcpStream::connect(address).await.unwrap();
    hung_up.write_all(REQUEST).await.unwrap();
    hung_up.shutdown().await.unwrap();
    let mut waits = TcpStream::connect(address).await.unwrap();
    let other = std::str::from_utf8(REQUEST).unwrap().replace("X-Request-Id: m", "X-Request-Id: waits");
    waits.write_all(other.as_bytes()).await.unwrap();
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(
        listener,
        context_with_overload(seen, events, OverloadMonitor::always_overloaded()),
        ConnectionLimit::new(4),
    ));
    let mut answer = String::new();
    let read = timeout(10 * CLOSE_DEADLINE, hung_up.read_to_string(&mut answer)).await;
    read.expect("an answer").expect("an end");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.ends_with("\r\n\r\n"), "{answer}");
    match receiver.recv().await {
        Some(NodeEvent::Submit { message, .. }) => assert_eq!(message.id, "waits"),
        _ => panic!("nothing was handed in"),
    }
    assert!(receiver.try_recv().is_err(), "the other was handed in too");
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
async fn in_one_turn_of_the_runtime_only_a_few_requests_are_taken_in() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(listener, context(seen, events), ConnectionLimit::new(100)));
    let mut clients = clients(address, 5 * READS_PER_TURN).await;
    for client in &mut clients {
        match receiver.recv().await {
            Some(NodeEvent::Submit { reply, .. }) => drop(reply),
            _ => panic!("nothing was handed in"),
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
        while let Ok(input) = receiver.try_recv() {
            submitted.push(input);
        }
        assert!(submitted.len() - before <= READS_PER_TURN, "{} in one turn", submitted.len() - before);
    }
    assert_eq!(submitted.len(), 5 * READS_PER_TURN, "all have their turn");
}

/// Submits two requests, one of which waits until it is too late. Returns the responses, the number of
/// submitted messages and whether a late refusal was reported.
async fn submit_two_while_loop_is_late(hangs_up: bool) -> (String, usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut both = clients(listener.local_addr().unwrap(), 2).await;
    if hangs_up {
        both[0].shutdown().await.unwrap();
        both[1].shutdown().await.unwrap();
    }
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let limited_context = ServerContext {
        read_limiter: AdmissionLimiter::new(1),
        ..Arc::into_inner(context(seen, events)).unwrap()
    };
    tokio::spawn(serve(listener, Arc::new(limited_context), ConnectionLimit::new(4)));
    let first = receiver.recv().await;
    assert!(matches!(first, Some(NodeEvent::Submit { .. })));
    // The event loop is late.
    std::thread::sleep(MAX_READ_DELAY);
    drop(first);
    let (mut answers, mut submitted, mut counted) = (String::new(), 1, false);
    for client in &mut both {
        let mut answer = [0; 512];
        let n =
            timeout(10 * CLOSE_DEADLINE, client.read(&mut answer)).await.expect("an answer").expect("whole");
        answers.push_str(std::str::from_utf8(&answer[..n]).unwrap());
    }
    while let Ok(input) = receiver.try_recv() {
        submitted += usize::from(matches!(input, NodeEvent::Submit { .. }));
        counted |= matches!(input, NodeEvent::RefusedLate { class: 0 });
    }
    (answers, submitted, counted)
}

#[tokio::test]
async fn a_request_that_waits_until_it_is_too_late_is_refused_before_it_is_handed_in() {
    let (answers, submitted, counted) = submit_two_while_loop_is_late(false).await;
    assert_eq!((answers.matches("HTTP/1.1 503").count(), submitted), (2, 1), "{answers}");
    assert!(counted, "it is in the figures");
}

#[tokio::test]
async fn a_request_that_waits_until_its_client_has_hung_up_is_refused_unread() {
    let (answers, submitted, counted) = submit_two_while_loop_is_late(true).await;
    assert_eq!((answers.matches("HTTP/1.1 503").count(), submitted), (2, 1), "{answers}");
    assert!(!counted, "it was not read");
}

#[test]
fn fewer_wait_to_be_accepted_the_longer_turns_take() {
    let of_turns_of = |ms| accept_backlog(Duration::from_millis(ms));
    assert_eq!([0, 50, 100, 3000].map(of_turns_of), [MAX_ACCEPT_BACKLOG, 8, 4, 1]);
}

/// The accept queue is longer than what is accepted before the listener closes.
#[tokio::test]
async fn what_waits_to_be_accepted_when_the_process_is_to_end_has_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let count = 3 * ACCEPTS_PER_TURN;
    let mut waiting = clients(listener.local_addr().unwrap(), count).await;
    let (_stage, seen) = watch::channel(LifecycleStage::Closing);
    let (events, mut receiver) = events::channel();
    let serving = tokio::spawn(serve(listener, context(seen, events), ConnectionLimit::new(count)));
    for client in &mut waiting {
        accept_submission(&mut receiver).await;
        client.readable().await.unwrap();
    }
    for client in &mut waiting {
        let mut answer = String::new();
        let read = timeout(10 * CLOSE_DEADLINE, client.read_to_string(&mut answer)).await;
        read.expect("an answer").expect("whole, and an end");
        assert!(answer.starts_with("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    }
    timeout(10 * CLOSE_DEADLINE, serving).await.expect("nothing more is accepted").unwrap();
}
