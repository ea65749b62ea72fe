//! All decisions of the delivery service. Settings, events and actions: `src/interface.rs`.
//! Per destination: a bucketed histogram of answer times and a count of attempts without an answer give
//! the time-out and resend point τ of least expected completion time (see [`AnswerTimes`]). Around that
//! stand a window of calls in flight, a circuit breaker for what looks out, and a rate limit under limits.

use crate::destinations::{Destination, Destinations};
use crate::interface::*;
use crate::listing::Listing;
use crate::random::Random;
use crate::response_time_histogram::{AnswerHistogram, BUCKETS, FADED};
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
mod selection;
mod sending;
mod state_transfer;
mod timeouts;

pub use state_transfer::FORMAT;
pub(crate) use timeouts::AnswerTimes;

/// Answers before τ is trusted; planned resends in a row without an answer that mean τ is too low.
const WARM_UP: u32 = 20;
const TAU_RUN: u32 = 3;
/// τ is stretched by up to this part at random, so that replicas with one τ do not resend together.
const TAU_JITTER: f64 = 0.25;
/// Resends that each answer pays for, and how many may be saved up.
const RESEND_SHARE: f64 = 0.2;
pub(crate) const RESEND_SAVED: f64 = 5.0;
/// Part of the slots that calls to one destination may take; half while it is failing.
const DESTINATION_SHARE: f64 = 0.75;
/// Span of the maintenance timer, and microseconds in a second.
const MAINTENANCE_INTERVAL: Micros = 100_000;
pub(crate) const SECOND: f64 = 1e6;
/// Weight of one outcome in the smoothed share of failures; above the bounds a destination is lossy
/// (unsafe messages wait) or out (single half-open probes): three failures in a row, or more than half.
const FAIL_WEIGHT: f64 = 0.22;
const LOSSY: f64 = 0.2;
const MOSTLY_FAILING: f64 = 0.5;
/// To what a refusal cuts the rate limit; parts by which a served call, at most, and maintenance raise it.
const RATE_CUT: f64 = 0.7;
const RATE_RAISE: f64 = 0.08;
const RATE_DRIFT: f64 = 0.005;
/// Part of what a rate limit lacks of the even part of a known limit that each served call gives back.
const RATE_RECOVERY: f64 = 0.1;
/// Part of its even part of a known limit that refusals leave a replica: all at this floor stay within it.
const RATE_FLOOR: f64 = 0.5;
/// Weight that the rate of served calls keeps over a span of maintenance.
const RATE_KEEP: f64 = 0.95;
/// The span in seconds that the rate of served calls stands for.
const RATE_SPAN: f64 = MAINTENANCE_INTERVAL as f64 / SECOND / (1.0 - RATE_KEEP);
/// Part of the time left to what a restart found by which a call for it is saved up; the rest is the call's.
const FOUND_WITHIN: f64 = 0.75;
/// Part of what all classes are served that is each one's before worth counts.
const LEAST_SERVED: f64 = 0.6;
/// Part of the room for held messages that is kept free.
const KEEP_FREE: f64 = 0.05;
/// Unanswered call time, in mean answer times, that makes silence unlikely to be chance.
const SILENCE_MEANS: f64 = 12.0;
/// Calls of all replicas in the tip time which do no harm, by the terms; least capacity of a destination in
/// calls a second; spans of a trouble so far between two probes, of four replicas and of many: these come to
/// know of it one after the other, try in step with its age, and add up to four times what one span has.
const SLACK: f64 = 2.0;
const LEAST_TOGETHER: f64 = 2.5;
const TROUBLE_SPANS: f64 = 3.0;
const MOST_TROUBLE_SPANS: f64 = 8.5;
/// Factors on the learned pause when a retry after a refusal is served, and when it is refused again.
const SPREAD_DOWN: f64 = 0.8;
const SPREAD_UP: f64 = 1.5;
/// What each half-open probe of a destination that looks out multiplies the span to the next by.
const PROBE_BACKOFF: f64 = 1.3;
/// Connections in a row that are closed after use once one was turned away from a full table: where calls
/// alone take up most of it, one in some tens meets it full.
const CLOSED_AFTER_CROWD: u32 = 32;
/// Connections that an endpoint is sure to take: while each replica has its even part, those that rest
/// harm nobody.
const EVEN_PLACES: f64 = 16.0;
/// Part of the multiple that would push a cold destination over which all replicas together may use.
const RAMP_CAUTION: f64 = 0.6;

/// The decisions of one forwarder.
#[rustfmt::skip] // fields stand by topic
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct DeliveryPolicy {
    #[serde(skip)] pub(crate) settings: Settings,
    #[serde(skip)] pub(crate) out: Vec<Action>,
    /// How late what is decided may be carried out: a message's time is over so much earlier.
    #[serde(skip)] late: Micros,
    pub(crate) now: Micros, random: Random,
    pub(crate) messages: BTreeMap<MessageId, Message>, pub(crate) order_queues: BTreeMap<u64, OrderQueue>,
    pub(crate) listing: Listing,
    /// What is known of active destinations, their routes and endpoints.
    pub(crate) destinations: Destinations, pub(crate) routes: RouteTable,
    pub(crate) targets: BTreeMap<TargetId, Target>,
    pub(crate) excluded: BTreeSet<TargetId>,
    /// When to look at a message again: its time is up, or its key has rested.
    pub(crate) message_timers: BTreeSet<(Micros, MessageId)>,
    /// By class, fading: messages that came, and those delivered.
    pub(crate) arrived: Vec<f64>, pub(crate) delivered: Vec<f64>,
    maintenance_at: Micros, averaging_window: f64, retry_jitter: f64, wake_at: Micros, armed: Micros,
    pub(crate) rounds_since_drop: u32, calls_out: u32, next_call: u64, blocked: bool,
    stopping: Option<Micros>, list_version: u32, logged: u32,
}

impl DeliveryPolicy {
    /// A replica that has just come up.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> Self {
        let (maintenance_at, armed) = (now + MAINTENANCE_INTERVAL, Micros::MAX);
        let (random, none) = (Random::new(seed), vec![0.0; settings.classes.len()]);
        let (arrived, delivered) = (none.clone(), none);
        let fresh = DeliveryPolicy { settings, random, now, arrived, delivered, ..DeliveryPolicy::default() };
        let fresh = DeliveryPolicy { maintenance_at, armed, ..fresh };
        DeliveryPolicy { retry_jitter: fresh.even_interval().min(fresh.settings.least_aim()), ..fresh }
    }

    /// Takes in one thing that happened. Sends are chosen in [`DeliveryPolicy::decide`].
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, version, endpoints } => self.list(kind, version, endpoints),
            Event::Request { id, class, destination, order_key, expires } => {
                let class = class as usize;
                self.request(id, Message { class, destination, order_key, expires, ..Message::default() });
                self.make_room()
            }
            Event::Restored { id, class, destination, order_key, expires, attempts, first_run } => {
                let attempts = attempts.into_iter().map(Attempt::before_restart).collect();
                let (class, ran) = (class as usize, first_run);
                let m =
                    Message { class, destination, order_key, expires, attempts, ran, ..Message::default() };
                self.restored(id, m)
            }
            Event::ProcessingLag { lag: by } => self.late = by,
            Event::Shutdown { at: by } => {
                self.stopping = Some(by);
                self.destinations.forget_waits()
            }
            Event::EndpointAdminState { target, disabled: out } => self.by_hand(target, out),
            Event::StreamStarted { id, .. } | Event::Abandoned { id } => self.finish(id),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                took,
                message_ended: ended,
                retry_after: wait,
                report,
                ..
            } => {
                let sent = now.saturating_sub(took);
                let end = End { outcome, sent, wait, report, planned: false };
                self.outcome(id, attempt as usize, end, ended)
            }
            Event::Timer { .. } if self.armed <= now => self.armed = Micros::MAX,
            Event::Timer { .. } | Event::PeerMessage { .. } | Event::ProbeEnded { .. } => {}
        }
        out.append(&mut self.out);
    }

    fn log(&mut self, text: String) {
        self.logged += 1;
        self.out.extend((self.logged <= 100).then_some(Action::Log { text }));
    }

    /// Chooses what is sent now. Call it once after the last event of a moment.
    pub fn decide(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.now = now;
        let soon = self.now + self.late;
        let in_time = |m: &Message| !self.is_due(m) || m.attempts.iter().any(|a| a.done.is_none());
        let looks = self.message_timers.range(..=(soon, MessageId::MAX));
        let due = looks.filter(|(at, id)| *at <= now || !self.messages.get(id).is_none_or(in_time));
        for (at, id) in due.copied().collect::<Vec<_>>() {
            (at <= now).then(|| self.message_timers.remove(&(at, id)));
            let Some(m) = self.messages.get(&id) else { continue };
            match self.is_due(m) {
                false => self.enqueue(id),
                true if m.attempts.iter().all(|a| a.done.is_some()) => self.give_up(id),
                true => {}
            }
        }
        (self.now >= self.maintenance_at).then(|| self.maintain());
        self.wake_at = self.destinations.end_waits(self.now).unwrap_or(Micros::MAX);
        let ready: Vec<DestinationId> = self.destinations.sendable().collect();
        let mut best: Vec<_> = ready.into_iter().filter_map(|d| Some((d, self.best_send(d)?))).collect();
        while self.calls_out < self.settings.slots {
            let top = (0..best.len()).max_by(|a, b| best[*a].1 .0.total_cmp(&best[*b].1 .0));
            let Some(i) = top else { break };
            let (dest, (_, id, route, target, half_open)) = best[i];
            let m = &self.messages[&id];
            let left = m.expires.saturating_sub(self.now) as f64;
            // A keyed message whose window has lapsed while it was held may not go either.
            if !self.allowed(m).0 || left < self.routes[route].times.least() {
                self.give_up(id);
            } else {
                let call = self.send(id, route, target, half_open, None);
                (!half_open).then(|| self.fill(dest, route, target, call));
            }
            match self.best_send(dest) {
                Some(next) => best[i].1 = next,
                None => drop(best.swap_remove(i)),
            }
        }
        self.blocked = !best.is_empty();
        // Those whose calls are out yet wait for these, or for their own time.
        let ahead = self.message_timers.range((soon + 1, 0)..).next().map(|a| a.0 - self.late);
        let next =
            self.message_timers.first().map(|a| a.0).into_iter().chain(ahead).min().unwrap_or(Micros::MAX);
        let at = self.maintenance_at.min(self.wake_at).min(next);
        if at < self.armed {
            self.armed = at;
            self.out.push(Action::Timer { after: at.saturating_sub(self.now).max(1), token: 0 });
        }
        out.append(&mut self.out);
    }

    /// Timer work over the routes of active destinations: ageing, τ, rates, silence, and what is forgotten.
    fn maintain(&mut self) {
        self.maintenance_at = self.now + MAINTENANCE_INTERVAL;
        self.order_queues.retain(|_, (line, rest)| !line.is_empty() || *rest > self.now);
        let keep = 0.5f64.powf(MAINTENANCE_INTERVAL as f64 / self.settings.longest_deadline());
        self.averaging_window = self.averaging_window * keep + MAINTENANCE_INTERVAL as f64 / SECOND;
        self.arrived.iter_mut().chain(&mut self.delivered).for_each(|n| *n *= keep);
        let ramp = self.settings.contract.ramp_time;
        for l in self.routes.iter_mut() {
            l.times.age(keep);
            l.recent_requests *= keep;
            l.recent_repeatable *= keep;
            if l.times.answers >= WARM_UP {
                // A resend throws work away and does it again: its cost c is a mean answer.
                l.times.retune(l.times.mean());
            }
            l.rate *= RATE_KEEP;
            let drifts = l.rate_limit > 0.0 && l.limit <= 0.0;
            l.rate_limit += if drifts { RATE_DRIFT * (l.rate_limit + 0.5) } else { 0.0 };
            if matches!(l.breaker, CircuitBreaker::SlowStart { since } if self.now > since + ramp) {
                l.breaker = CircuitBreaker::Closed;
            }
        }
        let called = self.routes.numbers_with_calls();
        for route in &called {
            let out = self.routes[*route].breaker.is_open();
            if let Some(since) = self.silent(*route).filter(|_| !out) {
                let l = &mut self.routes[*route];
                (l.may_have_run, l.trouble) = (true, l.trouble.or(Some(since)));
                self.open_breaker(*route);
            }
        }
        self.release(&called);
        self.drop_inactive_in_turn();
    }
}
