//! The delivery policy: all decisions on what is sent, where and when. `src/interface.rs` defines its
//! settings, events and actions.
//!
//! For each route, a histogram of response times and a count of calls without a response give the retry
//! timeout τ with the least expected completion time (see [`ResponseTimes`]). The calls of a route are
//! bounded by a window of calls in flight, by a circuit breaker and, where the destination has a limit, by a
//! rate limit.

use crate::destinations::{Destination, Destinations};
use crate::interface::*;
use crate::listing::Listing;
use crate::random::Random;
use crate::response_time_histogram::{ResponseTimeHistogram, BUCKETS, FADED_WEIGHT};
use crate::route_table::RouteTable;
use crate::state::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

mod disabled_endpoints;
mod endpoint_list;
mod idleness;
mod messages;
mod outcomes;
mod rates;
mod request_history;
mod selection;
mod sending;
mod state_transfer;
mod timeouts;

pub use request_history::{
    ClientId, EndedRequest, PreviousRequest, RequestEnd, RequestHistory, UNKNOWN_CLIENT,
};
pub use state_transfer::FORMAT;
pub(crate) use timeouts::ResponseTimes;

/// Responses that a route needs before its retry timeout τ is chosen.
const MIN_RESPONSES_FOR_TAU: u32 = 20;
/// Calls in a row that time out at τ before it doubles.
const TIMEOUTS_TO_DOUBLE_TAU: u32 = 3;
/// τ is lengthened at random by up to this share, so that replicas with the same τ do not retry at the same
/// time.
const TAU_JITTER: f64 = 0.25;
/// Retries that each response adds to the retry budget of a route.
const RETRY_BUDGET_PER_RESPONSE: f64 = 0.2;
/// Retries that a route may save up, and has at its start.
pub(crate) const MAX_RETRY_BUDGET: f64 = 5.0;
/// Share of the slots that calls to one destination may take; half of the slots while its calls fail.
const MAX_SLOT_SHARE: f64 = 0.75;
const MAINTENANCE_INTERVAL_MICROS: Micros = 100_000;
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// Weight of one outcome in the smoothed share of failures.
const OUTCOME_WEIGHT: f64 = 0.22;
/// Share of failures above which a route is lossy: unsafe messages wait.
const LOSSY_FAILURE_SHARE: f64 = 0.2;
/// Share of failures above which the circuit breaker opens: three failures in a row, or more than half of the
/// calls.
const OPEN_FAILURE_SHARE: f64 = 0.5;
/// Factor by which a rejection cuts the rate limit.
const RATE_LIMIT_CUT: f64 = 0.7;
/// Share by which a served call raises the rate limit at most.
const MAX_RATE_LIMIT_RAISE: f64 = 0.08;
/// Share by which each round of maintenance raises the rate limit where the destination's limit is not known.
const RATE_LIMIT_DRIFT: f64 = 0.005;
/// Share of the gap between a rate limit and the replica's equal share of a known limit that each served call
/// closes.
const RATE_LIMIT_RECOVERY: f64 = 0.1;
/// Rejections do not cut a rate limit below a floor, which is at most this share of the replica's equal share
/// of a known limit. When all replicas are at the floor, they stay within the limit.
const RATE_LIMIT_FLOOR: f64 = 0.5;
/// Factor by which the rate of served calls decays in each round of maintenance.
const SERVED_RATE_DECAY: f64 = 0.95;
/// Span that the rate of served calls averages over.
const SERVED_RATE_SPAN_SECONDS: f64 =
    MAINTENANCE_INTERVAL_MICROS as f64 / MICROS_PER_SECOND / (1.0 - SERVED_RATE_DECAY);
/// Share of the remaining time of a restored message within which the rate limit has a token for its call;
/// the rest of the time is left for the call itself.
const RESTORED_CALL_WITHIN_SHARE: f64 = 0.75;
/// A class takes precedence over classes of greater worth while its delivery ratio is below this share of
/// that of all classes together.
const MIN_CLASS_DELIVERY_SHARE: f64 = 0.6;
/// Share of the room for held messages that is kept free.
const FREE_MESSAGE_SHARE: f64 = 0.05;
/// Total time that the calls of a route have waited for a response, in mean response times, above which its
/// silence is unlikely to be chance.
const SILENCE_MEAN_RESPONSE_TIMES: f64 = 12.0;
/// Calls that all replicas together may send to a cold destination within the overload duration of the
/// contract without harm.
const SAFE_CALLS_IN_OVERLOAD_DURATION: f64 = 2.0;
/// Lowest capacity that a destination is assumed to have.
const MIN_CAPACITY_CALLS_PER_SECOND: f64 = 2.5;
/// Upper bound of the interval between two probes, as a multiple of the incident's age, for up to four
/// replicas. In a larger fleet it grows with the number of replicas, up to
/// `MAX_PROBE_INTERVAL_INCIDENT_AGES`: many replicas notice an incident one after the other and probe in step
/// with its age, which adds up to four times the probes of one span.
const PROBE_INTERVAL_INCIDENT_AGES: f64 = 3.0;
const MAX_PROBE_INTERVAL_INCIDENT_AGES: f64 = 8.5;
/// Factor on the spread of the pauses after rejections when the call after a pause is served.
const PAUSE_SPREAD_DECREASE: f64 = 0.8;
/// Factor on the spread of the pauses after rejections when the call after a pause is rejected again.
const PAUSE_SPREAD_INCREASE: f64 = 1.5;
/// Factor by which each half-open probe lengthens the backoff to the next.
const PROBE_BACKOFF_FACTOR: f64 = 1.3;
/// Connections in a row that are closed after use once an endpoint has rejected one because its connection
/// table was full: where the calls alone fill most of the table, one connection in a few dozen is rejected.
const CLOSE_AFTER_USE_COUNT: u32 = 32;
/// Connections that any endpoint is assumed to accept: idle ones do no harm while each replica keeps to its
/// equal share of them.
const MIN_ENDPOINT_CONNECTIONS: f64 = 16.0;
/// Share of the load that would overload a cold destination, up to which all replicas together may send.
const RAMP_SAFETY_SHARE: f64 = 0.6;

/// The delivery policy of one forwarder.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct DeliveryPolicy {
    #[serde(skip)]
    pub(crate) settings: Settings,
    /// Actions to be returned to the caller.
    #[serde(skip)]
    pub(crate) actions: Vec<Action>,
    /// How late decisions may be carried out: messages are given up this much earlier.
    #[serde(skip)]
    processing_lag: Micros,
    pub(crate) now: Micros,
    random: Random,
    pub(crate) messages: BTreeMap<MessageId, Message>,
    pub(crate) order_key_queues: BTreeMap<u64, OrderKeyQueue>,
    pub(crate) listing: Listing,
    /// Active destinations.
    pub(crate) destinations: Destinations,
    /// Routes of active destinations.
    pub(crate) routes: RouteTable,
    /// Endpoints of active destinations.
    pub(crate) targets: BTreeMap<TargetId, Target>,
    /// Endpoints that operators have disabled.
    pub(crate) disabled: BTreeSet<TargetId>,
    /// When to look at a message again: it is due to be given up, or the pause of its order key ends.
    pub(crate) message_timers: BTreeSet<(Micros, MessageId)>,
    /// Messages that arrived, by class, decayed over time.
    pub(crate) arrived: Vec<f64>,
    /// Messages that were delivered, by class, decayed over time.
    pub(crate) delivered: Vec<f64>,
    next_maintenance_at: Micros,
    /// Span in seconds over which the decayed counts of messages average.
    averaging_window: f64,
    /// Spread of the random pauses after rejections in microseconds, learned from how the calls after them
    /// end.
    pause_spread: f64,
    /// The earliest time at which a route that cannot take a call now may take one.
    wake_at: Micros,
    /// When the requested timer fires, `Micros::MAX` if none is pending.
    timer_at: Micros,
    pub(crate) rounds_since_cleanup: u32,
    calls_in_flight: u32,
    last_call_number: u64,
    /// Messages are ready to be sent, but all slots are taken.
    out_of_slots: bool,
    /// When the process ends, once that is known.
    shutdown_at: Option<Micros>,
    list_version: u32,
    log_lines: u32,
}

impl DeliveryPolicy {
    /// The policy of a replica that has just started.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Self {
        let (next_maintenance_at, timer_at) = (now + MAINTENANCE_INTERVAL_MICROS, Micros::MAX);
        let (random, zeros) = (Random::new(seed), vec![0.0; settings.classes.len()]);
        let (arrived, delivered) = (zeros.clone(), zeros);
        let new = DeliveryPolicy { settings, random, now, arrived, delivered, ..DeliveryPolicy::default() };
        let new = DeliveryPolicy { next_maintenance_at, timer_at, ..new };
        DeliveryPolicy { pause_spread: new.safe_call_interval().min(new.settings.shortest_aim()), ..new }
    }

    /// Processes one event. Which messages are sent is decided in [`DeliveryPolicy::decide`].
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, version, endpoints } => self.apply_list(kind, version, endpoints),
            Event::Request { id, class, destination, order_key, expires } => {
                let class = class as usize;
                self.accept_message(
                    id,
                    Message { class, destination, order_key, expires, ..Message::default() },
                );
                self.make_room()
            }
            Event::Restored { id, class, destination, order_key, expires, attempts, first_run } => {
                let attempts = attempts.into_iter().map(Attempt::before_restart).collect();
                let class = class as usize;
                let message = Message {
                    class,
                    destination,
                    order_key,
                    expires,
                    attempts,
                    first_run,
                    ..Message::default()
                };
                self.restore_message(id, message)
            }
            Event::ProcessingLag { lag } => self.processing_lag = lag,
            Event::Shutdown { at } => {
                self.shutdown_at = Some(at);
                self.destinations.unblock_all()
            }
            Event::EndpointAdminState { target, disabled } => self.set_disabled(target, disabled),
            Event::StreamStarted { id, .. } | Event::Abandoned { id } => self.end_message(id),
            Event::AttemptEnded {
                id, attempt, outcome, took, message_ended, retry_after, report, ..
            } => {
                let sent_at = now.saturating_sub(took);
                let result = AttemptResult { outcome, sent_at, retry_after, report, retry_planned: false };
                self.attempt_ended(id, attempt as usize, result, message_ended)
            }
            Event::Timer { .. } if self.timer_at <= now => self.timer_at = Micros::MAX,
            Event::Timer { .. } | Event::PeerMessage { .. } | Event::ProbeEnded { .. } => {}
        }
        actions.append(&mut self.actions);
    }

    /// Requests a log line. Lines after the first 100 of a policy are dropped.
    fn log(&mut self, text: String) {
        self.log_lines += 1;
        self.actions.extend((self.log_lines <= 100).then_some(Action::Log { text }));
    }

    /// Decides which messages are sent now. Must be called once after the last event of a moment.
    pub fn decide(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.now = now;
        let carried_out_at = self.now + self.processing_lag;
        let may_wait = |message: &Message| {
            !self.is_due(message) || message.attempts.iter().any(|attempt| attempt.outcome.is_none())
        };
        let timers = self.message_timers.range(..=(carried_out_at, MessageId::MAX));
        let due = timers.filter(|(at, id)| *at <= now || !self.messages.get(id).is_none_or(may_wait));
        for (at, id) in due.copied().collect::<Vec<_>>() {
            (at <= now).then(|| self.message_timers.remove(&(at, id)));
            let Some(message) = self.messages.get(&id) else { continue };
            match self.is_due(message) {
                false => self.enqueue(id),
                true if message.attempts.iter().all(|attempt| attempt.outcome.is_some()) => self.give_up(id),
                true => {}
            }
        }
        (self.now >= self.next_maintenance_at).then(|| self.maintain());
        self.wake_at = self.destinations.unblock_due(self.now).unwrap_or(Micros::MAX);
        let ready: Vec<DestinationId> = self.destinations.sendable().collect();
        let mut best: Vec<_> = ready
            .into_iter()
            .filter_map(|destination| Some((destination, self.best_send(destination)?)))
            .collect();
        while self.calls_in_flight < self.settings.slots {
            let top = (0..best.len()).max_by(|a, b| best[*a].1 .0.total_cmp(&best[*b].1 .0));
            let Some(best_index) = top else { break };
            let (destination, (_, id, route_index, target, half_open)) = best[best_index];
            let message = &self.messages[&id];
            let time_left = message.expires.saturating_sub(self.now) as f64;
            // The deduplication window of a keyed message may have ended while the message was held.
            if !self.allowed(message).0 || time_left < self.routes[route_index].response_times.shortest() {
                self.give_up(id);
            } else {
                let call = self.send(id, route_index, target, half_open, None);
                (!half_open).then(|| self.fill_batch(destination, route_index, target, call));
            }
            match self.best_send(destination) {
                Some(next) => best[best_index].1 = next,
                None => drop(best.swap_remove(best_index)),
            }
        }
        self.out_of_slots = !best.is_empty();
        // Messages that are due but still in flight wait for the end of their calls, or for their own timers.
        let next_not_due = self
            .message_timers
            .range((carried_out_at + 1, 0)..)
            .next()
            .map(|timer| timer.0 - self.processing_lag);
        let next_message_timer = self
            .message_timers
            .first()
            .map(|timer| timer.0)
            .into_iter()
            .chain(next_not_due)
            .min()
            .unwrap_or(Micros::MAX);
        let next_decision_at = self.next_maintenance_at.min(self.wake_at).min(next_message_timer);
        if next_decision_at < self.timer_at {
            self.timer_at = next_decision_at;
            self.actions
                .push(Action::Timer { after: next_decision_at.saturating_sub(self.now).max(1), token: 0 });
        }
        actions.append(&mut self.actions);
    }

    /// Periodic maintenance of active routes: decays what was learned, updates retry timeouts and rate
    /// limits, opens the breakers of silent routes, cancels overdue calls and drops state that is no longer
    /// needed.
    fn maintain(&mut self) {
        self.next_maintenance_at = self.now + MAINTENANCE_INTERVAL_MICROS;
        self.order_key_queues
            .retain(|_, (queue, paused_until)| !queue.is_empty() || *paused_until > self.now);
        let keep = 0.5f64.powf(MAINTENANCE_INTERVAL_MICROS as f64 / self.settings.longest_deadline());
        self.averaging_window =
            self.averaging_window * keep + MAINTENANCE_INTERVAL_MICROS as f64 / MICROS_PER_SECOND;
        self.arrived.iter_mut().chain(&mut self.delivered).for_each(|count| *count *= keep);
        let ramp_time = self.settings.contract.ramp_time;
        for route in self.routes.iter_mut() {
            route.response_times.decay(keep);
            route.recent_requests *= keep;
            route.recent_repeatable *= keep;
            if route.response_times.responses >= MIN_RESPONSES_FOR_TAU {
                // A retry discards work and does it again: it costs a mean response time.
                route.response_times.update_retry_timeout(route.response_times.mean());
            }
            route.served_rate *= SERVED_RATE_DECAY;
            let drifts = route.rate_limit > 0.0 && route.known_limit <= 0.0;
            route.rate_limit += if drifts { RATE_LIMIT_DRIFT * (route.rate_limit + 0.5) } else { 0.0 };
            if matches!(route.breaker, CircuitBreaker::SlowStart { since } if self.now > since + ramp_time) {
                route.breaker = CircuitBreaker::Closed;
            }
        }
        let with_calls = self.routes.indices_with_calls();
        for route_index in &with_calls {
            let is_open = self.routes[*route_index].breaker.is_open();
            if let Some(since) = self.silent_since(*route_index).filter(|_| !is_open) {
                let route = &mut self.routes[*route_index];
                (route.failure_may_have_run, route.incident_since) =
                    (true, route.incident_since.or(Some(since)));
                self.open_breaker(*route_index);
            }
        }
        self.cancel_overdue_calls(&with_calls);
        self.drop_inactive_periodically();
    }
}
