//! Simulated discovery service with the discovery protocol: watches that wait for changes, changes since a version,
//! full lists, rejected calls, and periods without responses.

use crate::discovery::endpoint_list::{EndpointList, ListBody};
use crate::discovery::settings::{milliseconds, DiscoveryScenario, ModeSetting};
use crate::discovery::traffic_meter::TrafficMeter;
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

/// A watch ends if the next call does not arrive within this time after the last response (discovery protocol).
const WATCH_EXPIRY: Duration = Duration::from_millis(200);

/// Discovery service of a whole fleet.
#[derive(Debug)]
pub(super) struct DiscoveryServer {
    address: SocketAddr,
    /// Whether the service limits its load. An agent beside each replica (pushed mode) has no limits.
    has_limits: bool,
    response_time: Duration,
    time_per_entry: Duration,
    state: Mutex<State>,
    list_changed: Notify,
    response_slots: Semaphore,
    meter: TrafficMeter,
}

#[derive(Debug)]
struct State {
    list: EndpointList,
    /// When each replica's watch got its last response.
    last_responses: Vec<Option<Instant>>,
    new_watches: TokenBucket,
    limits_active: bool,
    is_reachable: bool,
    /// Calls of an earlier generation never get a response.
    generation: u64,
}

/// Whether and how a call is admitted.
enum Admission<'a> {
    /// The call waits for a response slot.
    Queued,
    /// The call gets a response at once, in a reserved slot.
    Immediate(SemaphorePermit<'a>),
    /// The call is rejected.
    Rejected,
}

impl DiscoveryServer {
    /// Creates a service whose limits are not active yet.
    pub fn new(
        scenario: &DiscoveryScenario, address: SocketAddr, replicas: usize, meter: TrafficMeter,
    ) -> DiscoveryServer {
        let settings = scenario.server;
        let list = EndpointList::new(
            scenario.listed.get() as usize,
            scenario.zones.get() as usize,
            settings.history.get(),
        );
        let state = State {
            list,
            last_responses: vec![None; replicas],
            new_watches: TokenBucket::new(settings.new_watches_per_second.get() as f64),
            limits_active: false,
            is_reachable: true,
            generation: 0,
        };
        DiscoveryServer {
            address,
            has_limits: scenario.mode == ModeSetting::OnRequest,
            response_time: milliseconds(settings.response_ms),
            time_per_entry: Duration::from_micros(settings.entry_us.get()),
            state: Mutex::new(state),
            list_changed: Notify::new(),
            response_slots: Semaphore::new(settings.concurrent_responses.get() as usize),
            meter,
        }
    }

    /// Activates the limits.
    pub fn apply_limits(&self) {
        self.lock().limits_active = self.has_limits;
    }

    /// Changes the list and wakes the waiting watches.
    pub fn change(&self, change: impl FnOnce(&mut EndpointList)) {
        change(&mut self.lock().list);
        self.list_changed.notify_waiters();
    }

    /// Changes the state of all endpoints of a zone.
    pub fn set_zone_state(&self, zone: usize, state: ServerState) {
        self.change(|list| list.set_zone_state(zone, state));
    }

    /// Leaves all open calls without a response.
    pub fn stall_open_calls(&self) {
        self.lock().generation += 1;
    }

    /// Makes the service unreachable or reachable. Open calls never get a response.
    pub fn set_reachable(&self, is_reachable: bool) {
        self.stall_open_calls();
        self.lock().is_reachable = is_reachable;
    }

    /// Ends the watch of a replica, because the replica runs in a new process.
    pub fn end_watch(&self, replica: usize) {
        self.lock().last_responses[replica] = None;
    }

    /// Completes when a connection is established; never while the service is unreachable.
    pub async fn accept_connection(&self) {
        if !self.lock().is_reachable {
            pending().await
        }
    }

    /// Handles a call of a replica. Never completes if the call gets no response.
    pub async fn handle(&self, replica: usize, request: &ListRequest) -> Reply {
        self.accept_connection().await;
        let generation = self.lock().generation;
        self.meter.record_server_request(request.wire_format(self.address).len());
        let reply = match self.admit(replica, request) {
            Admission::Rejected => {
                self.meter.record_rejection();
                Reply { status: StatusCode::SERVICE_UNAVAILABLE, body: Bytes::new() }
            }
            Admission::Immediate(slot) => self.respond(request, Some(slot)).await,
            Admission::Queued => self.respond(request, None).await,
        };
        if self.lock().generation != generation {
            pending().await
        }
        self.meter.record_server_response(wire_length(&reply));
        let is_watch_response =
            reply.status == StatusCode::OK && matches!(request, ListRequest::Watch { .. });
        if is_watch_response {
            self.lock().last_responses[replica] = Some(Instant::now());
        }
        reply
    }

    fn admit(&self, replica: usize, request: &ListRequest) -> Admission<'_> {
        let mut state = self.lock();
        if !state.limits_active {
            return Admission::Queued;
        }
        match *request {
            ListRequest::FullList => self.reserve_slot(),
            ListRequest::Watch { .. } if state.has_watch(replica) => Admission::Queued,
            ListRequest::Watch { since, .. } => {
                let admission =
                    if state.has_changed_since(since) { self.reserve_slot() } else { Admission::Queued };
                match admission {
                    Admission::Rejected => Admission::Rejected,
                    admission if state.new_watches.try_take() => admission,
                    _ => Admission::Rejected,
                }
            }
        }
    }

    fn reserve_slot(&self) -> Admission<'_> {
        self.response_slots.try_acquire().map_or(Admission::Rejected, Admission::Immediate)
    }

    async fn respond(&self, request: &ListRequest, slot: Option<SemaphorePermit<'_>>) -> Reply {
        let since = match *request {
            ListRequest::FullList => None,
            ListRequest::Watch { since, wait } => {
                self.wait_for_change(since, Instant::now() + wait).await;
                Some(since)
            }
        };
        let ListBody { bytes, entry_count } = if self.lock().limits_active {
            let slot = match slot {
                Some(slot) => Some(slot),
                // Acquiring fails only if the semaphore is closed, which never happens.
                None => self.response_slots.acquire().await.ok(),
            };
            let body = self.lock().list.body(since);
            sleep(self.response_time + self.time_per_entry * body.entry_count as u32).await;
            drop(slot);
            body
        } else {
            self.lock().list.body(since)
        };
        tracing::trace!(?since, entry_count, "response written");
        Reply { status: StatusCode::OK, body: bytes }
    }

    /// Waits until the list's version differs from `since`.
    async fn wait_for_change(&self, since: u64, deadline: Instant) {
        loop {
            let list_change = self.list_changed.notified();
            if self.lock().has_changed_since(since) || timeout_at(deadline, list_change).await.is_err() {
                return;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_watch(&self, replica: usize) -> bool {
        self.last_responses[replica].is_some_and(|at| at.elapsed() <= WATCH_EXPIRY)
    }

    fn has_changed_since(&self, since: u64) -> bool {
        self.list.version() != since
    }
}

/// Length of a response in bytes: a head with the required HTTP headers, and the body.
pub(super) fn wire_length(reply: &Reply) -> usize {
    let Reply { status, body } = reply;
    let header = if body.is_empty() { "connection: close" } else { "content-type: application/json" };
    let head = format!("HTTP/1.1 {status}\r\n{header}\r\ncontent-length: {}\r\n\r\n", body.len());
    head.len() + body.len()
}

/// Rate limit of `per_second` tokens, with a burst of one second's tokens.
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

    /// Takes a token if one is available, and returns whether it did.
    fn try_take(&mut self) -> bool {
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
