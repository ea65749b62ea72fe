//! What peers of the client side see, in paused time: no peer holds a connection that brings no request.

use super::*;
use crate::events;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::yield_now;

const OWED: Duration = Duration::from_secs(3);
const LETTER: &[u8] = b"POST /note HTTP/1.1\r\nHost: x\r\nX-Request-Id: m\r\nX-Deadline: 9000m\r\n\
                        X-Consignee: dest=1\r\nContent-Length: 0\r\n\r\n";

impl Client for DuplexStream {
    fn poll_readable(&self, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn has_hung_up(&self) -> bool {
        false
    }
}

fn desk(stage: watch::Receiver<LifecycleStage>, events: EventSender) -> Arc<Desk> {
    strained_desk(stage, events, OverloadMonitor::default())
}

fn strained_desk(
    stage: watch::Receiver<LifecycleStage>, events: EventSender, strain: OverloadMonitor,
) -> Arc<Desk> {
    let settings = json!({
        "balancers": 1,
        "categories": [{"name": "note", "aim": 3_000_000, "deadline": 16_000_000, "effect": "repeatable"}],
        "limits": {"max_open": 16, "try_limit": 6},
    });
    let settings = Arc::new(serde_json::from_value(settings).unwrap());
    Arc::new(Desk {
        settings,
        clock: Clock::new(),
        events,
        stage,
        strain,
        stile: Turnstile::new(READ_IN_A_TURN),
    })
}

/// A peer, and the stage of the forwarder it has connected to.
async fn connect() -> (DuplexStream, watch::Sender<LifecycleStage>) {
    let (peer, stage, _) = connect_among(&ConnectionLimit::new(1)).await;
    (peer, stage)
}

/// The same among others, for whom there are so many places; and the way to what the forwarder is handed.
async fn connect_among(
    connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    connect_over(1 << 20, connections).await
}

/// The same over a network that holds so many bytes each way.
async fn connect_over(
    room: usize, connections: &ConnectionLimit,
) -> (DuplexStream, watch::Sender<LifecycleStage>, UnboundedReceiver<NodeEvent>) {
    let (peer, ours) = duplex(room);
    let (stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, receiver) = events::channel();
    let permit = connections.acquire().await.expect("a place");
    let desk = desk(seen, events);
    tokio::spawn(connection(ours, desk, permit, Duration::ZERO));
    (peer, stage, receiver)
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
    let (mut peer, _stage) = connect().await;
    let (_, took) = until_closed(&mut peer).await;
    assert!(took < OWED, "closed after {took:?}");
    assert!(took >= Duration::from_secs(2), "an idle client is owed 2 s, closed after {took:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_never_ends_its_head_is_closed_in_time() {
    let (mut peer, _stage) = connect().await;
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
    let (mut peer, _stage) = connect().await;
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

/// scrape+rate+leave with little processor time: a message ended, and its notice came, by as much too late as its request
/// had waited in queues.
#[tokio::test(start_paused = true)]
async fn a_messages_time_counts_from_before_its_wait_to_be_read() {
    let (mut client, ours) = duplex(1024);
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let (desk, permit) = (desk(seen, events), ConnectionLimit::new(1).acquire().await.expect("a place"));
    let now = desk.clock.now();
    tokio::spawn(connection(ours, desk, permit, Duration::from_millis(300)));
    for queued in [300_000, 0] {
        client.write_all(LETTER).await.unwrap();
        let Some(NodeEvent::Submit { message, reply }) = receiver.recv().await else {
            panic!("not handed in")
        };
        assert_eq!(message.expires_at, now - queued + 9_000_000, "only the first was queued");
        drop(reply);
        client.read_exact(&mut [0; 12]).await.expect("an answer");
    }
}

/// Found on r3546: silent peers held every place, and clients were accepted late or not at all.
#[tokio::test(start_paused = true)]
async fn silent_peers_make_room_but_a_client_that_has_handed_in_does_not() {
    let connections = ConnectionLimit::new(3);
    let mut taken = Vec::new();
    for _ in 0..3 {
        taken.push(connect_among(&connections).await);
    }
    let (client, _, events) = &mut taken[0];
    client.write_all(LETTER).await.unwrap();
    let handed_in = events.recv().await;
    assert!(matches!(handed_in, Some(NodeEvent::Submit { .. })));
    let start = Instant::now();
    let _first = connections.acquire().await;
    assert!(start.elapsed() < Duration::from_millis(100), "waited {:?} for a place", start.elapsed());
    let (_, took) = until_closed(&mut taken[1].0).await;
    assert!(took.is_zero(), "the peer that was silent longest stayed for {took:?}");
    let _second = connections.acquire().await;
    let (_, took) = until_closed(&mut taken[2].0).await;
    assert!(took.is_zero(), "the other silent peer stayed for {took:?}");
    drop(handed_in);
    let mut answer = [0; 12];
    taken[0].0.read_exact(&mut answer).await.expect("the client has its answer");
    assert_eq!(&answer, b"HTTP/1.1 503");
}

/// Takes on what is handed in, as the node does.
async fn take_on(events: &mut UnboundedReceiver<NodeEvent>) {
    match events.recv().await {
        Some(NodeEvent::Submit { reply, .. }) => {
            let (to_node, _) = events::channel();
            let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(1, to_node)));
        }
        _ => panic!("nothing was handed in"),
    }
}

/// A full house closes a newcomer to make room. One whose request is whole by then has settled: it has its answer, and
/// the next newcomer goes in its place.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_whole_when_its_connection_is_to_make_room_has_its_answer() {
    let connections = ConnectionLimit::new(2);
    let (mut client, _stage, mut events) = connect_among(&connections).await;
    let (mut silent, _silent_stage, _silent_inputs) = connect_among(&connections).await;
    client.write_all(LETTER).await.unwrap();
    // Nothing has run since: the oldest newcomer is told to go before its request is read.
    let (next, ()) = tokio::join!(connections.acquire(), take_on(&mut events));
    assert!(next.is_some());
    let mut answer = [0; 12];
    client.read_exact(&mut answer).await.expect("the client has its answer");
    assert_eq!(&answer, b"HTTP/1.1 202");
    let (_, took) = until_closed(&mut silent).await;
    assert!(took.is_zero(), "the silent peer stayed for {took:?}");
}

/// The message may go from the moment when its client can have heard of it, and not before.
#[tokio::test(start_paused = true)]
async fn a_message_counts_as_taken_on_once_its_answer_is_written_whole() {
    for leaves in [false, true] {
        // The network has room for a part of the answer.
        let (mut client, _stage, mut events) = connect_over(32, &ConnectionLimit::new(1)).await;
        client.write_all(LETTER).await.unwrap();
        let (to_node, mut told) = events::channel();
        let Some(NodeEvent::Submit { reply, .. }) = events.recv().await else {
            panic!("nothing was handed in")
        };
        let _ = reply.send(SubmitResponse::Accepted(ResponseGuard::new(7, to_node)));
        sleep(Duration::from_millis(50)).await;
        assert!(told.try_recv().is_err(), "told before the answer was written");
        if leaves {
            drop(client);
        } else {
            client.read_exact(&mut [0; 64]).await.expect("the answer");
        }
        match told.recv().await {
            Some(NodeEvent::ResponseEnded { number: 7, written }) => assert_eq!(written, !leaves),
            _ => panic!("not told"),
        }
    }
}

/// A request of which a part has come when the process is about to end has its answer too, on a kept connection.
#[tokio::test(start_paused = true)]
async fn a_request_that_comes_in_pieces_while_connections_close_has_its_answer() {
    let (mut client, stage, mut events) = connect_among(&ConnectionLimit::new(1)).await;
    client.write_all(LETTER).await.unwrap();
    take_on(&mut events).await;
    client.read_exact(&mut [0; 20]).await.expect("the first answer");
    let (first, rest) = LETTER.split_at(30);
    client.write_all(first).await.unwrap();
    sleep(Duration::from_millis(1)).await;
    stage.send_replace(LifecycleStage::Closing);
    sleep(Duration::from_millis(1)).await;
    client.write_all(rest).await.expect("the connection is open");
    take_on(&mut events).await;
    let (answer, _) = until_closed(&mut client).await;
    assert!(answer.contains("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
}

/// To close a socket with unread bytes resets it, which can take back an answer on its way.
#[tokio::test(start_paused = true)]
async fn a_client_that_sends_more_than_is_answered_is_read_on_while_its_connection_closes() {
    let (mut client, stage, mut events) = connect_over(1024, &ConnectionLimit::new(1)).await;
    stage.send_replace(LifecycleStage::Draining);
    let more = [LETTER, &[b'x'; 3 * BUFFER]].concat();
    let (mut reading, mut writing) = tokio::io::split(&mut client);
    let sends = async {
        writing.write_all(&more).await.expect("the rest is read");
        writing.shutdown().await.expect("the connection stands");
    };
    let mut answer = String::new();
    let (_, _, read) = tokio::join!(sends, take_on(&mut events), reading.read_to_string(&mut answer));
    read.expect("an end");
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
}

/// scrape+rate+leave with little processor time: it all went to requests whose clients had gone.
#[tokio::test]
async fn in_strain_what_hung_up_before_it_was_accepted_is_refused_unread() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut hung_up = TcpStream::connect(address).await.unwrap();
    hung_up.write_all(LETTER).await.unwrap();
    hung_up.shutdown().await.unwrap();
    let mut waits = TcpStream::connect(address).await.unwrap();
    let other = std::str::from_utf8(LETTER).unwrap().replace("X-Request-Id: m", "X-Request-Id: waits");
    waits.write_all(other.as_bytes()).await.unwrap();
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(
        listener,
        strained_desk(seen, events, OverloadMonitor::lasting()),
        ConnectionLimit::new(4),
    ));
    let mut answer = String::new();
    let read = timeout(10 * OWED, hung_up.read_to_string(&mut answer)).await;
    read.expect("an answer").expect("an end");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.ends_with("\r\n\r\n"), "{answer}");
    match receiver.recv().await {
        Some(NodeEvent::Submit { message, .. }) => assert_eq!(message.id, "waits"),
        _ => panic!("nothing was handed in"),
    }
    assert!(receiver.try_recv().is_err(), "the other was handed in too");
}

/// Clients with a request each, all written before the first is accepted.
async fn clients(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut all = Vec::new();
    for _ in 0..count {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(LETTER).await.unwrap();
        all.push(client);
    }
    all
}

/// scrape+rate+leave with little processor time: an end and its notice waited behind all clients that were ready.
#[tokio::test]
async fn in_one_turn_of_the_runtime_only_a_few_requests_are_taken_in() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    tokio::spawn(serve(listener, desk(seen, events), ConnectionLimit::new(100)));
    let mut clients = clients(address, 5 * READ_IN_A_TURN).await;
    for client in &mut clients {
        match receiver.recv().await {
            Some(NodeEvent::Submit { reply, .. }) => drop(reply),
            _ => panic!("nothing was handed in"),
        }
        // The connections stand, and all have something to say at one moment.
        client.readable().await.unwrap();
    }
    for client in &clients {
        assert_eq!(client.try_write(LETTER).unwrap(), LETTER.len());
    }
    let (mut handed_in, begun) = (Vec::new(), Instant::now());
    while handed_in.len() < 5 * READ_IN_A_TURN && begun.elapsed() < 10 * OWED {
        yield_now().await;
        let before = handed_in.len();
        while let Ok(input) = receiver.try_recv() {
            handed_in.push(input);
        }
        assert!(handed_in.len() - before <= READ_IN_A_TURN, "{} in one turn", handed_in.len() - before);
    }
    assert_eq!(handed_in.len(), 5 * READ_IN_A_TURN, "all have their turn");
}

/// Two requests, of which one has to wait until it is too late. What became of it, and how many were handed in.
async fn late(hangs_up: bool) -> (String, usize, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut both = clients(listener.local_addr().unwrap(), 2).await;
    if hangs_up {
        both[0].shutdown().await.unwrap();
        both[1].shutdown().await.unwrap();
    }
    let (_stage, seen) = watch::channel(LifecycleStage::Serving);
    let (events, mut receiver) = events::channel();
    let narrow = Desk { stile: Turnstile::new(1), ..Arc::into_inner(desk(seen, events)).unwrap() };
    tokio::spawn(serve(listener, Arc::new(narrow), ConnectionLimit::new(4)));
    let first = receiver.recv().await;
    assert!(matches!(first, Some(NodeEvent::Submit { .. })));
    // The loop comes late.
    std::thread::sleep(LATE);
    drop(first);
    let (mut answers, mut handed_in, mut counted) = (String::new(), 1, false);
    for client in &mut both {
        let mut answer = [0; 512];
        let n = timeout(10 * OWED, client.read(&mut answer)).await.expect("an answer").expect("whole");
        answers.push_str(std::str::from_utf8(&answer[..n]).unwrap());
    }
    while let Ok(input) = receiver.try_recv() {
        handed_in += usize::from(matches!(input, NodeEvent::Submit { .. }));
        counted |= matches!(input, NodeEvent::RefusedLate { class: 0 });
    }
    (answers, handed_in, counted)
}

#[tokio::test]
async fn a_request_that_waits_until_it_is_too_late_is_refused_before_it_is_handed_in() {
    let (answers, handed_in, counted) = late(false).await;
    assert_eq!((answers.matches("HTTP/1.1 503").count(), handed_in), (2, 1), "{answers}");
    assert!(counted, "it is in the figures");
}

#[tokio::test]
async fn a_request_that_waits_until_its_client_has_hung_up_is_refused_unread() {
    let (answers, handed_in, counted) = late(true).await;
    assert_eq!((answers.matches("HTTP/1.1 503").count(), handed_in), (2, 1), "{answers}");
    assert!(!counted, "it was not read");
}

#[test]
fn fewer_wait_to_be_accepted_the_longer_turns_take() {
    let of_turns_of = |ms| backlog(Duration::from_millis(ms));
    assert_eq!([0, 50, 100, 3000].map(of_turns_of), [BACKLOG, 8, 4, 1]);
}

/// The listener's queue is longer than what is accepted by the time that nothing more is.
#[tokio::test]
async fn what_waits_to_be_accepted_when_the_process_is_to_end_has_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let count = 3 * ACCEPTED_IN_A_TURN;
    let mut waiting = clients(listener.local_addr().unwrap(), count).await;
    let (_stage, seen) = watch::channel(LifecycleStage::Closing);
    let (events, mut receiver) = events::channel();
    let serving = tokio::spawn(serve(listener, desk(seen, events), ConnectionLimit::new(count)));
    for client in &mut waiting {
        take_on(&mut receiver).await;
        client.readable().await.unwrap();
    }
    for client in &mut waiting {
        let mut answer = String::new();
        let read = timeout(10 * OWED, client.read_to_string(&mut answer)).await;
        read.expect("an answer").expect("whole, and an end");
        assert!(answer.starts_with("HTTP/1.1 202") && answer.contains("connection: close"), "{answer}");
    }
    timeout(10 * OWED, serving).await.expect("nothing more is accepted").unwrap();
}
