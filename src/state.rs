//! Data structures of the delivery policy: routes, endpoints, calls and messages. No decisions.

use crate::interface::*;
use crate::listing::{ListedEndpoint, ListingOrder};
use crate::policy::ResponseTimes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Circuit breaker of a route.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub(crate) enum CircuitBreaker {
    /// Calls are bounded by the window and the rate limit only.
    #[default]
    Closed,
    /// Only single half-open probes are sent: the next one not before `next_probe_at`, and then spaced by a
    /// backoff in microseconds.
    Open { next_probe_at: Micros, backoff: f64 },
    /// The destination responds again after an outage: the load rises gradually.
    SlowStart { since: Micros },
}

impl CircuitBreaker {
    pub fn is_open(self) -> bool {
        matches!(self, CircuitBreaker::Open { .. })
    }

    pub fn is_slow_start(self) -> bool {
        matches!(self, CircuitBreaker::SlowStart { .. })
    }
}

/// A call in flight.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The messages that it carries, each with the number of its attempt.
    pub messages: Vec<(MessageId, u32)>,
    pub target: TargetId,
    pub sent_at: Micros,
    /// Sent as the half-open probe of an open circuit breaker.
    pub half_open: bool,
    /// Its cancellation has been requested.
    pub cancelled: bool,
}

/// Endpoints of a destination that share one limit, one rate limit and one circuit breaker: all of its
/// endpoints, or a single one where the kind of destination has a route per endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Route {
    pub destination: DestinationId,
    /// Its first endpoint, which names the route in the log.
    pub first_target: TargetId,
    /// When the first of its endpoints was listed, in the order of listing.
    pub listing_order: ListingOrder,
    pub targets: Vec<TargetId>,
    pub kind: usize,
    pub response_times: ResponseTimes,
    /// Retries after a timeout that may still be planned.
    pub retry_budget: f64,
    /// Maximum number of calls in flight.
    pub window: f64,
    pub window_halved_at: Micros,
    /// Calls in flight, by number.
    pub calls: BTreeMap<u64, Call>,
    pub breaker: CircuitBreaker,
    pub last_ok_at: Micros,
    /// When a result was last applied, or the breaker last opened.
    pub last_result_at: Micros,
    /// Start of the current incident: the first failure or rejection since the last success.
    pub incident_since: Option<Micros>,
    pub consecutive_rejections: u32,
    /// Smoothed share of calls that fail.
    pub failure_share: f64,
    /// The last call that failed may have been executed.
    pub failure_may_have_run: bool,
    /// Nothing is sent before then: the destination asked for it, or a rejection made the policy pause.
    pub paused_until: Micros,
    /// The limit as listed or reported, in calls a second of all replicas; 0 if not known.
    pub known_limit: f64,
    /// Calls a second that this replica allows itself, 0 if not limited.
    pub rate_limit: f64,
    /// Tokens of the rate limit's bucket.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// Calls served a second, smoothed over some seconds.
    pub served_rate: f64,
    /// Price of a message on this route, where endpoints are routes of their own.
    pub fee: f64,
    /// Messages that arrived for it, decayed over time.
    pub recent_requests: f64,
    /// Those of them that may be repeated.
    pub recent_repeatable: f64,
}

impl Route {
    /// A route as of the time when its first endpoint was listed.
    pub fn listed(first_target: TargetId, endpoint: &ListedEndpoint) -> Route {
        Route {
            destination: endpoint.destination,
            first_target,
            listing_order: endpoint.order,
            kind: endpoint.kind(),
            tokens: endpoint.initial_tokens,
            last_ok_at: endpoint.listed_at,
            refilled_at: endpoint.listed_at,
            ..Route::default()
        }
    }

    /// Each replica's equal share of the known limit, infinite if no limit is known.
    pub fn equal_share(&self, replicas: u32) -> f64 {
        if self.known_limit > 0.0 {
            self.known_limit / f64::from(replicas.max(1))
        } else {
            f64::INFINITY
        }
    }

    /// Removes a message from a call, and returns the call if that was its last message.
    pub fn remove_message(&mut self, call: u64, message: MessageId) -> Option<Call> {
        let messages = &mut self.calls.get_mut(&call)?.messages;
        messages.retain(|(id, _)| *id != message);
        messages.is_empty().then(|| self.calls.remove(&call))?
    }

    /// The earliest time at which the next call may be sent.
    pub fn next_call_at(&self) -> Micros {
        let next_probe_at =
            if let CircuitBreaker::Open { next_probe_at, .. } = self.breaker { next_probe_at } else { 0 };
        next_probe_at.max(self.paused_until)
    }
}

/// The state of an endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Target {
    /// Index of its route in the route table.
    pub route: usize,
    pub zone: u32,
    pub state: EndpointState,
    pub last_used_at: Micros,
    /// Other endpoints of the route are preferred until then, since a call to this one failed.
    pub ejected_until: Micros,
    /// A connection could not be made: its connection table counts as full until then.
    pub table_full_until: Micros,
    /// Connections rejected in a row because its connection table was full.
    pub connection_rejections: u32,
    /// No other connection is tried before then.
    pub next_connection_at: Micros,
    /// How many more connections are to be closed after use.
    pub close_after_use: u32,
    pub last_result_at: Micros,
    /// Total idle time of its connections since one was opened.
    pub total_idle: Micros,
    /// When an operator enabled it again: its process may have been restarted and be cold.
    pub cold_since: Option<Micros>,
}

/// Key of a queue of a destination: the class, the zone (plus one, 0 for any) to which its messages are
/// bound, and whether they were restored after a restart without having been sent.
pub(crate) type QueueKey = (usize, u32, bool);

/// An attempt to deliver a message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub target: TargetId,
    /// Number of the call that carries it.
    pub call: u64,
    /// It times out at the retry timeout, to be followed by another attempt.
    pub retry_planned: bool,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// An attempt made by a previous process, of which only the outcome is known.
    pub fn before_restart(outcome: Outcome) -> Attempt {
        Attempt { target: 0, call: 0, retry_planned: false, outcome: Some(outcome) }
    }
}

/// A message.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Message {
    pub class: usize,
    pub destination: DestinationId,
    /// 0 for none.
    pub order_key: u64,
    /// Start of its aim and its deadline.
    pub created_at: Micros,
    pub expires: Micros,
    pub attempts: Vec<Attempt>,
    /// Time and zone of the first attempt that may have been executed.
    pub first_run: Option<(Micros, u32)>,
    /// The queue in which it waits to be sent.
    pub queue: Option<QueueKey>,
    /// Restored after a restart, and not sent yet.
    pub restored_unsent: bool,
    /// Nothing more is done for it; its attempts may still be in flight.
    pub ended: bool,
}

/// How an attempt ended.
pub(crate) struct AttemptResult {
    pub outcome: Outcome,
    pub sent_at: Micros,
    /// Wait that the destination asked for, 0 for none.
    pub retry_after: Micros,
    pub report: Option<LimitReport>,
    /// It timed out at the retry timeout, as planned.
    pub retry_planned: bool,
}

/// The messages of an order key in the order of their arrival, and the end of the key's pause.
pub(crate) type OrderKeyQueue = (VecDeque<MessageId>, Micros);

/// A possible send: rank, message, index of the route, endpoint, and whether it is a half-open probe.
pub(crate) type SendCandidate = (f64, MessageId, usize, TargetId, bool);
