//! Tests of the discovery client, with a scripted transport and the clock paused.

use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent, DiscoveryMode};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use hyper::StatusCode;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

const MILLIS: fn(u64) -> Duration = Duration::from_millis;
const FIRST_ADDRESS: &str = "127.0.0.1:8500";
const SECOND_ADDRESS: &str = "127.0.0.2:8500";
const FLEET_SIZES: [u32; 4] = [1, 4, 15, 3_000];
const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::OnRequest];

/// How the scripted transport ends a request.
#[derive(Clone, Copy)]
enum ScriptedReply {
    Reply(StatusCode, &'static str),
    Interrupted,
    NoReply,
}

const UNAVAILABLE: ScriptedReply = ScriptedReply::Reply(StatusCode::SERVICE_UNAVAILABLE, "");

/// A request, and when it was received, as a time since the start.
struct ReceivedRequest {
    received_at: Duration,
    address: SocketAddr,
    request: ListRequest,
}

/// Gives the scripted replies in turn and repeats the last one.
struct ScriptedTransport {
    replies: Vec<ScriptedReply>,
    start: Instant,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl Transport for ScriptedTransport {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        let count = {
            let mut requests = self.requests.lock().unwrap();
            requests.push(ReceivedRequest { received_at: self.start.elapsed(), address, request: *request });
            requests.len()
        };
        match self.replies[count.min(self.replies.len()) - 1] {
            ScriptedReply::Reply(status, body) => Ok(Reply { status, body: body.into() }),
            ScriptedReply::Interrupted => Err(TransportError::Interrupted),
            ScriptedReply::NoReply => pending().await,
        }
    }

    fn disconnect(&mut self) {}
}

/// Runs a client that has version 7 of the list for `span` and returns its requests and events. With
/// `changes_address`, the address of discovery changes after half of the span.
async fn run_client(
    replies: &[ScriptedReply], options: ClientOptions, seed: u64, span: Duration, changes_address: bool,
) -> (Vec<ReceivedRequest>, Vec<DiscoveryEvent>) {
    let requests = Arc::new(Mutex::new(Vec::new()));
    let transport =
        ScriptedTransport { replies: replies.to_vec(), start: Instant::now(), requests: requests.clone() };
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let on_event = move |event| sender.send(event).unwrap();
    let client = Client::new(transport, on_event, options, fastrand::Rng::with_seed(seed));
    let (address, address_receiver) = watch::channel(FIRST_ADDRESS.parse().unwrap());
    let running = tokio::spawn(client.run(address_receiver, Some(7)));
    sleep(span / 2).await;
    if changes_address {
        address.send_replace(SECOND_ADDRESS.parse().unwrap());
    }
    sleep(span / 2).await;
    drop(address);
    timeout(MILLIS(10_000), running)
        .await
        .expect("the client stops once the sender of its address is dropped")
        .unwrap();
    let events = std::iter::from_fn(|| receiver.try_recv().ok()).collect();
    let requests = std::mem::take(&mut *requests.lock().unwrap());
    (requests, events)
}

fn options(mode: DiscoveryMode, replicas: u32) -> ClientOptions {
    ClientOptions { mode, replicas }
}

/// The version that a watch continues from; `None` for a request for the full list.
fn known_version(received: &ReceivedRequest) -> Option<u64> {
    match received.request {
        ListRequest::FullList => None,
        ListRequest::Watch { since, .. } => Some(since),
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_continues_from_each_version_and_restarts_after_an_invalid_reply_or_a_new_address() {
    let replies = [
        ScriptedReply::Reply(StatusCode::OK, r#"{"version":9,"servers":[]}"#),
        ScriptedReply::Reply(StatusCode::BAD_REQUEST, "{}"),
        ScriptedReply::Reply(StatusCode::OK, r#"{"version":2,"full":true,"servers":[{"id":"unreadable"}]}"#),
        ScriptedReply::NoReply,
    ];
    let (requests, events) = run_client(&replies, options(MODES[0], 1), 1, MILLIS(1_000), true).await;
    let watches: Vec<_> =
        requests.iter().map(|received| (known_version(received), received.address.to_string())).collect();
    let watch_from = |version, address: &str| (version, address.to_string());
    assert_eq!(
        watches,
        [
            watch_from(Some(7), FIRST_ADDRESS),
            watch_from(Some(9), FIRST_ADDRESS),
            watch_from(None, FIRST_ADDRESS),
            watch_from(Some(2), FIRST_ADDRESS),
            watch_from(None, SECOND_ADDRESS)
        ]
    );
    let [DiscoveryEvent::InvalidReply { status, error: Some(_) }, DiscoveryEvent::List(list)] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!((status.as_u16(), list.version, list.full, list.servers.len()), (400, 2, true, 0));
}

#[tokio::test(start_paused = true)]
async fn requests_without_a_reply_time_out_and_failures_back_off() {
    for (mode, timeout_ms, max_backoff_ms) in [(MODES[0], 2_000, 100), (MODES[1], 2_500, 500)] {
        let (requests, _) = run_client(
            &[ScriptedReply::NoReply, ScriptedReply::Interrupted],
            options(mode, 1),
            1,
            MILLIS(8_000),
            false,
        )
        .await;
        let gaps: Vec<_> =
            requests.windows(2).map(|pair| pair[1].received_at - pair[0].received_at).collect();
        // Timers in paused time have a resolution of one millisecond.
        let is_about = |gap: Duration, ms| gap >= MILLIS(ms) && gap <= MILLIS(ms + 2);
        assert!(is_about(gaps[0], timeout_ms + 50) && is_about(gaps[1], 100), "{mode:?}: {gaps:?}");
        assert!(gaps.iter().skip(4).all(|gap| is_about(*gap, max_backoff_ms)), "{mode:?}: {gaps:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn rejected_requests_are_retried_at_an_interval_that_grows_with_the_fleet() {
    for (mode, replicas) in MODES.into_iter().flat_map(|mode| FLEET_SIZES.map(|replicas| (mode, replicas))) {
        let (requests, _) =
            run_client(&[UNAVAILABLE], options(mode, replicas), 5, MILLIS(60_000), false).await;
        let mean = MILLIS((125 * u64::from(replicas)).min(1_850));
        let gaps = requests.windows(2).map(|pair| pair[1].received_at - pair[0].received_at);
        assert!(
            gaps.clone().all(|gap| gap >= mean / 2 && gap <= mean * 3 / 2 + MILLIS(2)),
            "{mode:?} {replicas}"
        );
        assert!(gaps.clone().max() > gaps.min(), "the intervals are not randomized");
        assert!(requests.len() >= 20, "{mode:?} {replicas}: {} requests in a minute", requests.len());
    }
}

#[tokio::test(start_paused = true)]
async fn watches_start_at_once_or_at_a_seeded_delay_that_grows_with_the_fleet() {
    for replicas in FLEET_SIZES {
        let mut start_delays = Vec::new();
        for seed in 0..20 {
            let first_request_at = |mode, seed| async move {
                run_client(&[ScriptedReply::NoReply], options(mode, replicas), seed, MILLIS(6_000), false)
                    .await
                    .0[0]
                    .received_at
            };
            assert_eq!(first_request_at(DiscoveryMode::Pushed, seed).await, Duration::ZERO);
            let delay = first_request_at(DiscoveryMode::OnRequest, seed).await;
            assert_eq!(first_request_at(DiscoveryMode::OnRequest, seed).await, delay);
            start_delays.push(delay);
        }
        let spread = MILLIS((50 * u64::from(replicas)).min(2_500));
        start_delays.sort();
        assert!(start_delays[19] <= spread + MILLIS(2), "{replicas}: {start_delays:?}");
        assert!(start_delays[19] - start_delays[0] > spread / 2, "{replicas}: {start_delays:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn replies_without_changes_are_followed_by_a_pause() {
    let unchanged = ScriptedReply::Reply(StatusCode::OK, r#"{"version":7,"servers":[]}"#);
    let (requests, events) = run_client(&[unchanged], options(MODES[0], 1), 1, MILLIS(1_000), false).await;
    assert!((15..=21).contains(&requests.len()), "{} requests in a second", requests.len());
    assert!(events.is_empty());
}
