//! What the decision module remembers: plain state, no decisions.

use crate::interface::*;
use crate::listing::{ListedEndpoint, ListingOrder};
use crate::policy::AnswerTimes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Circuit state of a destination or of a route apart.
#[derive(Clone, Copy, Debug, PartialEq, Default, Serialize, Deserialize)]
pub(crate) enum CircuitBreaker {
    /// Calls go as windows and limits let them.
    #[default]
    Closed,
    /// Single half-open probes, the next not before `next`, spaced by a backoff.
    Open { next: Micros, backoff: f64 },
    /// Slow start since the first answer.
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

/// A call in flight, with its messages and their attempts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Call {
    pub messages: Vec<(MessageId, u32)>,
    pub target: TargetId,
    pub sent: Micros,
    pub half_open: bool,
    pub given_up: bool,
}

/// A destination's shared way, or one route apart: what has its own limit, rate limit and outages.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Route {
    pub destination: DestinationId,
    /// Its first endpoint, by which the log names it.
    pub name: TargetId,
    /// When the first of its endpoints was listed, in the order of listing.
    pub order: ListingOrder,
    pub targets: Vec<TargetId>,
    pub kind: usize,
    pub times: AnswerTimes,
    /// Resends that may still be made.
    pub budget: f64,
    pub window: f64,
    pub halved: Micros,
    pub calls: BTreeMap<u64, Call>,
    pub breaker: CircuitBreaker,
    pub last_ok: Micros,
    /// The last end of a call.
    pub judged: Micros,
    /// Start of the trouble since the last answer.
    pub trouble: Option<Micros>,
    /// Refusals in a row.
    pub refusals_in_a_row: u32,
    /// Smoothed share of failures.
    pub failing: f64,
    /// What failed last may have run.
    pub may_have_run: bool,
    /// Nothing is sent before then.
    pub wait_until: Micros,
    /// The known limit in calls a second, 0 if not known.
    pub limit: f64,
    /// Own calls a second, 0 if not limited.
    pub rate_limit: f64,
    pub tokens: f64,
    pub filled: Micros,
    /// Calls served a second, smoothed over some seconds.
    pub rate: f64,
    /// Price of a message on a route apart.
    pub fee: f64,
    /// Messages that came for it, fading.
    pub recent_requests: f64,
    /// Those of them that may be repeated, fading.
    pub recent_repeatable: f64,
}

impl Route {
    /// A route as of the time when its first endpoint was listed.
    pub fn listed(name: TargetId, first: &ListedEndpoint) -> Route {
        Route {
            destination: first.destination,
            name,
            order: first.order,
            kind: first.kind(),
            tokens: first.phase,
            last_ok: first.since,
            filled: first.since,
            ..Route::default()
        }
    }

    /// What falls to each replica of a known limit.
    pub fn even_share(&self, senders: u32) -> f64 {
        if self.limit > 0.0 {
            self.limit / f64::from(senders.max(1))
        } else {
            f64::INFINITY
        }
    }

    /// Takes a message out of a call; gives the call if that was the last.
    pub fn end_message(&mut self, call: u64, message: MessageId) -> Option<Call> {
        let messages = &mut self.calls.get_mut(&call)?.messages;
        messages.retain(|(id, _)| *id != message);
        messages.is_empty().then(|| self.calls.remove(&call))?
    }

    /// When the next call may go at the earliest.
    pub fn opens_at(&self) -> Micros {
        let next = if let CircuitBreaker::Open { next, .. } = self.breaker { next } else { 0 };
        next.max(self.wait_until)
    }
}

/// An endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Target {
    pub route: usize,
    pub zone: u32,
    pub state: EndpointState,
    pub last_used: Micros,
    pub avoid_until: Micros,
    /// It has turned a connection away: its table counts as short until then.
    pub denied_until: Micros,
    /// Connections turned away from its full table in a row; no other is tried before then; how many in a row are
    /// still to be closed after use.
    pub crowded: u32,
    pub away_until: Micros,
    pub to_close: u32,
    /// When a call to it ended last; how long connections have stood idle in sum since one was opened.
    pub ended: Micros,
    pub rests: Micros,
    /// When an operator put it back: it may have been started anew, and be cold.
    pub cold: Option<Micros>,
}

/// A queue of a destination: its class, the zone (plus one) that binds its messages, and whether a restart found them
/// untried.
pub(crate) type Queue = (usize, u32, bool);

/// An attempt; `done` once it has its outcome.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub target: TargetId,
    pub call: u64,
    pub planned: bool,
    pub done: Option<Outcome>,
}

impl Attempt {
    /// One of a process before this one, by its outcome.
    pub fn before_restart(outcome: Outcome) -> Attempt {
        Attempt { target: 0, call: 0, planned: false, done: Some(outcome) }
    }
}

/// A message.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Message {
    pub class: usize,
    pub destination: DestinationId,
    pub order_key: u64,
    pub born: Micros,
    pub expires: Micros,
    pub attempts: Vec<Attempt>,
    /// Time and zone of the first attempt that may have run.
    pub ran: Option<(Micros, u32)>,
    /// The queue in which it stands ready.
    pub queue: Option<Queue>,
    /// A restart found it taken on, and it has not been sent.
    pub found: bool,
    pub over: bool,
}

/// How a call ended.
pub(crate) struct End {
    pub outcome: Outcome,
    pub sent: Micros,
    pub wait: Micros,
    pub report: Option<LimitReport>,
    pub planned: bool,
}

/// The messages of an order key, as they came, and until when the key rests.
pub(crate) type OrderQueue = (VecDeque<MessageId>, Micros);

/// A send that could be made: its worth, message, route and endpoint, and whether it is a half-open probe.
pub(crate) type Pick = (f64, MessageId, usize, TargetId, bool);
