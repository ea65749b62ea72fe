//! The discovery client over a scripted transport, in paused time.

use hatchline::discovery::{Client, ClientOptions, DiscoveryEvent, DiscoveryMode};
use hatchline::discovery::{ListRequest, Reply, Transport, TransportError};
use hyper::StatusCode;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout, Instant};

const MS: fn(u64) -> Duration = Duration::from_millis;
const FIRST: &str = "127.0.0.1:8500";
const SECOND: &str = "127.0.0.2:8500";
const REPLICAS: [u32; 4] = [1, 4, 15, 3_000];
const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Pushed, DiscoveryMode::OnRequest];

/// What becomes of a request.
#[derive(Clone, Copy)]
enum Answer {
    Reply(StatusCode, &'static str),
    Refused,
    Silence,
}

const BUSY: Answer = Answer::Reply(StatusCode::SERVICE_UNAVAILABLE, "");

/// A request, and when it came since the start.
struct Call {
    at: Duration,
    address: SocketAddr,
    request: ListRequest,
}

/// Gives the scripted answers in turn, the last one again and again.
struct Script {
    answers: Vec<Answer>,
    start: Instant,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl Transport for Script {
    async fn exchange(
        &mut self, address: SocketAddr, request: &ListRequest,
    ) -> Result<Reply, TransportError> {
        let count = {
            let mut calls = self.calls.lock().unwrap();
            calls.push(Call { at: self.start.elapsed(), address, request: *request });
            calls.len()
        };
        match self.answers[count.min(self.answers.len()) - 1] {
            Answer::Reply(status, body) => Ok(Reply { status, body: body.into() }),
            Answer::Refused => Err(TransportError::Interrupted),
            Answer::Silence => pending().await,
        }
    }

    fn disconnect(&mut self) {}
}

/// Runs a client that knows version 7 for so long; its calls and events. Half way discovery moves, if it is to.
async fn run(
    answers: &[Answer], options: ClientOptions, seed: u64, span: Duration, moves: bool,
) -> (Vec<Call>, Vec<DiscoveryEvent>) {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let script = Script { answers: answers.to_vec(), start: Instant::now(), calls: calls.clone() };
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let on_event = move |event| sender.send(event).unwrap();
    let client = Client::new(script, on_event, options, fastrand::Rng::with_seed(seed));
    let (address, seen) = watch::channel(FIRST.parse().unwrap());
    let running = tokio::spawn(client.run(seen, Some(7)));
    sleep(span / 2).await;
    if moves {
        address.send_replace(SECOND.parse().unwrap());
    }
    sleep(span / 2).await;
    drop(address);
    timeout(MS(10_000), running).await.expect("it ends with its address").unwrap();
    let events = std::iter::from_fn(|| receiver.try_recv().ok()).collect();
    let calls = std::mem::take(&mut *calls.lock().unwrap());
    (calls, events)
}

fn options(mode: DiscoveryMode, replicas: u32) -> ClientOptions {
    ClientOptions { mode, replicas }
}

fn since(call: &Call) -> Option<u64> {
    match call.request {
        ListRequest::FullList => None,
        ListRequest::Watch { since, .. } => Some(since),
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_goes_on_from_each_version_and_a_reply_without_a_list_or_a_move_begins_anew() {
    let answers = [
        Answer::Reply(StatusCode::OK, r#"{"version":9,"servers":[]}"#),
        Answer::Reply(StatusCode::BAD_REQUEST, "{}"),
        Answer::Reply(StatusCode::OK, r#"{"version":2,"full":true,"servers":[{"id":"unreadable"}]}"#),
        Answer::Silence,
    ];
    let (calls, events) = run(&answers, options(MODES[0], 1), 1, MS(1_000), true).await;
    let seen: Vec<_> = calls.iter().map(|call| (since(call), call.address.to_string())).collect();
    let at = |version, address: &str| (version, address.to_string());
    assert_eq!(
        seen,
        [at(Some(7), FIRST), at(Some(9), FIRST), at(None, FIRST), at(Some(2), FIRST), at(None, SECOND)]
    );
    let [DiscoveryEvent::InvalidReply { status, error: Some(_) }, DiscoveryEvent::List(list)] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!((status.as_u16(), list.version, list.full, list.servers.len()), (400, 2, true, 0));
}

#[tokio::test(start_paused = true)]
async fn silence_ends_with_the_grace_and_failures_back_off() {
    for (mode, due, longest) in [(MODES[0], 2_000, 100), (MODES[1], 2_500, 500)] {
        let (calls, _) =
            run(&[Answer::Silence, Answer::Refused], options(mode, 1), 1, MS(8_000), false).await;
        let gaps: Vec<_> = calls.windows(2).map(|pair| pair[1].at - pair[0].at).collect();
        // The clock of tests steps by a millisecond.
        let is = |gap: Duration, ms| gap >= MS(ms) && gap <= MS(ms + 2);
        assert!(is(gaps[0], due + 50) && is(gaps[1], 100), "{mode:?}: {gaps:?}");
        assert!(gaps.iter().skip(4).all(|gap| is(*gap, longest)), "{mode:?}: {gaps:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_call_that_is_turned_away_comes_again_at_the_pace_of_its_fleet() {
    for (mode, replicas) in MODES.into_iter().flat_map(|mode| REPLICAS.map(|n| (mode, n))) {
        let (calls, _) = run(&[BUSY], options(mode, replicas), 5, MS(60_000), false).await;
        let mean = MS((125 * u64::from(replicas)).min(1_850));
        let gaps = calls.windows(2).map(|pair| pair[1].at - pair[0].at);
        assert!(
            gaps.clone().all(|gap| gap >= mean / 2 && gap <= mean * 3 / 2 + MS(2)),
            "{mode:?} {replicas}"
        );
        assert!(gaps.clone().max() > gaps.min(), "all pauses are the same");
        assert!(calls.len() >= 20, "{mode:?} {replicas}: {} calls in a minute", calls.len());
    }
}

#[tokio::test(start_paused = true)]
async fn watches_begin_at_once_or_spread_over_the_fleet_and_the_seed_decides() {
    for replicas in REPLICAS {
        let mut begun = Vec::new();
        for seed in 0..20 {
            let first = |mode, seed| async move {
                run(&[Answer::Silence], options(mode, replicas), seed, MS(6_000), false).await.0[0].at
            };
            assert_eq!(first(DiscoveryMode::Pushed, seed).await, Duration::ZERO);
            let delay = first(DiscoveryMode::OnRequest, seed).await;
            assert_eq!(first(DiscoveryMode::OnRequest, seed).await, delay);
            begun.push(delay);
        }
        let spread = MS((50 * u64::from(replicas)).min(2_500));
        begun.sort();
        assert!(begun[19] <= spread + MS(2), "{replicas}: {begun:?}");
        assert!(begun[19] - begun[0] > spread / 2, "{replicas}: {begun:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn replies_without_news_are_not_asked_for_without_a_pause() {
    let same = Answer::Reply(StatusCode::OK, r#"{"version":7,"servers":[]}"#);
    let (calls, events) = run(&[same], options(MODES[0], 1), 1, MS(1_000), false).await;
    assert!((15..=21).contains(&calls.len()), "{} calls in a second", calls.len());
    assert!(events.is_empty());
}
