//! A stand-in for discovery, written from the protocol's page: watches that wait, changes since a version, whole lists,
//! calls that are turned away, and silence.

use crate::discovery::endpoint_list::{EndpointList, ListBody};
use crate::discovery::meter::Meter;
use crate::discovery::settings::{milliseconds, DiscoveryScenario, ModeName};
use bytes::Bytes;
use hatchline::discovery::list::ServerState;
use hatchline::discovery::{ListRequest, Reply};
use hyper::StatusCode;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::{sleep, timeout_at, Instant};

/// A watch lasts while each call comes within so long of the last answer (protocol, "Discovery").
const WATCH_LASTS: Duration = Duration::from_millis(200);

/// The service for a whole fleet.
#[derive(Debug)]
pub(super) struct DiscoveryServer {
    address: SocketAddr,
    /// Whether there are limits at all: an agent beside each instance has none.
    limited: bool,
    answer_time: Duration,
    entry_time: Duration,
    state: Mutex<State>,
    list_changed: Notify,
    answer_slots: Semaphore,
    meter: Meter,
}

#[derive(Debug)]
struct State {
    list: EndpointList,
    /// When each instance's watch had its last answer.
    last_answers: Vec<Option<Instant>>,
    new_watches: TokenBucket,
    limits_apply: bool,
    is_reachable: bool,
    /// Calls that came in an earlier generation are never answered.
    generation: u64,
}

/// Whether a call is taken on.
enum Admission<'a> {
    /// It waits for its turn.
    Queued,
    /// It is answered at once.
    Slot(SemaphorePermit<'a>),
    TurnedAway,
}

impl DiscoveryServer {
    /// The service at an address, without limits as yet.
    pub fn new(
        scenario: &DiscoveryScenario, address: SocketAddr, instances: usize, meter: Meter,
    ) -> DiscoveryServer {
        let settings = scenario.server;
        let list = EndpointList::new(
            scenario.listed.get() as usize,
            scenario.zones.get() as usize,
            settings.history.get(),
        );
        let state = State {
            list,
            last_answers: vec![None; instances],
            new_watches: TokenBucket::new(settings.new_watches_per_second.get() as f64),
            limits_apply: false,
            is_reachable: true,
            generation: 0,
        };
        DiscoveryServer {
            address,
            limited: scenario.mode == ModeName::OnRequest,
            answer_time: milliseconds(settings.answer_ms),
            entry_time: Duration::from_micros(settings.entry_us.get()),
            state: Mutex::new(state),
            list_changed: Notify::new(),
            answer_slots: Semaphore::new(settings.answers_at_once.get() as usize),
            meter,
        }
    }

    /// Its limits hold from now on.
    pub fn apply_limits(&self) {
        self.lock().limits_apply = self.limited;
    }

    /// Changes the list, and tells those who wait.
    pub fn change(&self, change: impl FnOnce(&mut EndpointList)) {
        change(&mut self.lock().list);
        self.list_changed.notify_waiters();
    }

    /// Changes the state of all endpoints of a zone.
    pub fn change_zone(&self, zone: usize, state: ServerState) {
        self.change(|list| list.change_zone(zone, state));
    }

    /// The calls that are open now are never answered.
    pub fn silence_open_calls(&self) {
        self.lock().generation += 1;
    }

    /// From now on nobody is answered, or all are again.
    pub fn set_reachable(&self, is_reachable: bool) {
        self.silence_open_calls();
        self.lock().is_reachable = is_reachable;
    }

    /// An instance has a new process: its watch is over.
    pub fn forget(&self, instance: usize) {
        self.lock().last_answers[instance] = None;
    }

    /// Waits until a connection stands: for ever while discovery cannot be reached.
    pub async fn accept(&self) {
        if !self.lock().is_reachable {
            pending().await
        }
    }

    /// Answers a call of an instance, or never does.
    pub async fn call(&self, instance: usize, request: &ListRequest) -> Reply {
        self.accept().await;
        let generation = self.lock().generation;
        self.meter.request_arrived(request.wire_format(self.address).len());
        let reply = match self.admit(instance, request) {
            Admission::TurnedAway => {
                self.meter.call_turned_away();
                Reply { status: StatusCode::SERVICE_UNAVAILABLE, body: Bytes::new() }
            }
            Admission::Slot(slot) => self.answer(request, Some(slot)).await,
            Admission::Queued => self.answer(request, None).await,
        };
        if self.lock().generation != generation {
            pending().await
        }
        self.meter.reply_written(wire_length(&reply));
        let is_watch_answer = reply.status == StatusCode::OK && matches!(request, ListRequest::Watch { .. });
        if is_watch_answer {
            self.lock().last_answers[instance] = Some(Instant::now());
        }
        reply
    }

    fn admit(&self, instance: usize, request: &ListRequest) -> Admission<'_> {
        let mut state = self.lock();
        if !state.limits_apply {
            return Admission::Queued;
        }
        match *request {
            ListRequest::FullList => self.slot(),
            ListRequest::Watch { .. } if state.has_watch(instance) => Admission::Queued,
            ListRequest::Watch { since, .. } => {
                let admission = if state.has_news(since) { self.slot() } else { Admission::Queued };
                match admission {
                    Admission::TurnedAway => Admission::TurnedAway,
                    admission if state.new_watches.take() => admission,
                    _ => Admission::TurnedAway,
                }
            }
        }
    }

    fn slot(&self) -> Admission<'_> {
        self.answer_slots.try_acquire().map_or(Admission::TurnedAway, Admission::Slot)
    }

    async fn answer(&self, request: &ListRequest, slot: Option<SemaphorePermit<'_>>) -> Reply {
        let since = match *request {
            ListRequest::FullList => None,
            ListRequest::Watch { since, wait } => {
                self.news(since, Instant::now() + wait).await;
                Some(since)
            }
        };
        let ListBody { bytes, entries } = if self.lock().limits_apply {
            let slot = match slot {
                Some(slot) => Some(slot),
                // It is never closed.
                None => self.answer_slots.acquire().await.ok(),
            };
            let body = self.lock().list.body(since);
            sleep(self.answer_time + self.entry_time * body.entries as u32).await;
            drop(slot);
            body
        } else {
            self.lock().list.body(since)
        };
        tracing::trace!(?since, entries, "answered");
        Reply { status: StatusCode::OK, body: bytes }
    }

    /// Waits until the list has another version than this.
    async fn news(&self, since: u64, until: Instant) {
        loop {
            let changed = self.list_changed.notified();
            if self.lock().has_news(since) || timeout_at(until, changed).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_watch(&self, instance: usize) -> bool {
        self.last_answers[instance].is_some_and(|at| at.elapsed() <= WATCH_LASTS)
    }

    fn has_news(&self, since: u64) -> bool {
        self.list.version() != since
    }
}

/// Bytes of a reply on the wire: a head with what HTTP needs, and the body.
pub(super) fn wire_length(reply: &Reply) -> usize {
    let Reply { status, body } = reply;
    let kind = if body.is_empty() { "connection: close" } else { "content-type: application/json" };
    let head = format!("HTTP/1.1 {status}\r\n{kind}\r\ncontent-length: {}\r\n\r\n", body.len());
    head.len() + body.len()
}

/// So many tokens a second, at most those of one second at once.
#[derive(Debug)]
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    fn new(per_second: f64) -> TokenBucket {
        TokenBucket { per_second, tokens: per_second, filled_at: Instant::now() }
    }

    /// Takes a token, if there is one.
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let refill = (now - self.filled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.filled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
