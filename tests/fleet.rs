//! Fleets of replicas that share no state: what is harmless when one replica does it must stay so when all do it at
//! once. The tests pass the same events to all replicas and count the calls that the whole fleet makes.

mod common;

use common::*;
use hatchline::*;
use std::collections::BTreeSet;

/// Interval at which all replicas decide.
const STEP: u64 = 10 * MILLISECOND;

/// Replicas of one fleet, each with its own seed, that share one destination.
struct Fleet {
    now: u64,
    replicas: Vec<DeliveryPolicy>,
    /// Calls in flight: replica, message, attempt, when it was sent.
    calls: Vec<(usize, MessageId, u32, u64)>,
    attempt_counts: Vec<u32>,
    /// How often the replicas closed idle connections.
    idle_closes: usize,
    settings: Settings,
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    fn new(replicas: u32, rate_limit: f64) -> Fleet {
        let class = Class {
            aim: 3 * SECOND,
            deadline: 12 * SECOND,
            deduplication_window: 12 * SECOND,
            ..class(RetrySafety::Keyed)
        };
        let settings = Settings {
            replicas,
            slots: 4,
            listed_rate: ListedRate::Exact,
            refused_price: 0.1,
            ..settings(vec![class])
        };
        let now = 5 * SECOND;
        let new_policy = |index: u32| DeliveryPolicy::new(now, u64::from(index) * 7919 + 1, settings.clone());
        let replicas = (0..replicas).map(new_policy).collect();
        let endpoints = vec![Endpoint { rate: rate_limit, ..endpoint(1, 1) }];
        let (calls, attempt_counts) = (Vec::new(), Vec::new());
        let mut fleet = Fleet {
            now,
            replicas,
            calls,
            attempt_counts,
            idle_closes: 0,
            settings,
            endpoints: endpoints.clone(),
        };
        fleet.notify_all(|_| Event::List { kind: ListKind::Full, version: 1, endpoints: endpoints.clone() });
        fleet
    }

    /// Passes an event to each replica.
    fn notify_all(&mut self, event: impl Fn(usize) -> Event) {
        for (replica, policy) in self.replicas.iter_mut().enumerate() {
            policy.handle(self.now, event(replica), &mut Vec::new());
        }
    }

    /// Submits this number of messages to a replica.
    fn submit(&mut self, replica: usize, messages: usize) {
        let expires = self.now + 12 * SECOND;
        for _ in 0..messages {
            let id = self.attempt_counts.len() as MessageId;
            self.attempt_counts.push(0);
            let request = Event::Request { id, class: 0, destination: 1, order_key: 0, expires };
            self.replicas[replica].handle(self.now, request, &mut Vec::new());
        }
    }

    /// Restarts a replica, which keeps only the endpoint list.
    fn restart(&mut self, replica: usize) {
        self.calls.retain(|call| call.0 != replica);
        let mut policy = DeliveryPolicy::new(self.now, self.now + replica as u64, self.settings.clone());
        let list = Event::List { kind: ListKind::Full, version: 1, endpoints: self.endpoints.clone() };
        policy.handle(self.now, list, &mut Vec::new());
        self.replicas[replica] = policy;
    }

    /// Lets all replicas decide once and returns how many calls they make.
    fn step(&mut self) -> usize {
        self.now += STEP;
        let before = self.calls.len();
        for (replica, policy) in self.replicas.iter_mut().enumerate() {
            let mut actions = Vec::new();
            policy.decide(self.now, &mut actions);
            for action in actions {
                if let Action::Send { id, .. } = action {
                    let attempt = &mut self.attempt_counts[id as usize];
                    self.calls.push((replica, id, *attempt, self.now));
                    *attempt += 1;
                }
            }
        }
        self.calls.len() - before
    }

    /// Ends all calls that have been in flight for 100 ms.
    fn end_due_calls(&mut self, outcome: Outcome) {
        let due = self.now - 100 * MILLISECOND;
        let (ended, remaining) = self.calls.iter().partition(|(.., at)| *at <= due);
        self.calls = remaining;
        for (replica, id, attempt, at) in Vec::from_iter::<Vec<_>>(ended) {
            let (took, message_ended) = (self.now - at, outcome == Outcome::Ok);
            let event = Event::AttemptEnded {
                id,
                attempt,
                target: 1,
                outcome,
                took,
                message_ended,
                retry_after: 0,
                report: None,
            };
            let mut actions = Vec::new();
            self.replicas[replica].handle(self.now, event, &mut actions);
            self.idle_closes +=
                actions.iter().filter(|action| matches!(action, Action::CloseIdle { .. })).count();
        }
    }

    /// Number of calls that all replicas make within `span`. Each call ends with this outcome after 100 ms.
    fn calls_within(&mut self, span: u64, outcome: Outcome) -> usize {
        let steps = 0..span / STEP;
        steps.map(|_| (self.end_due_calls(outcome), self.step()).1).sum()
    }
}

/// Rejected calls count against the rate limit of the destination: a fleet that stayed above it would never deliver
/// anything.
#[test]
fn a_fleet_keeps_to_the_listed_limit_after_rejections() {
    let mut fleet = Fleet::new(100, 25.0);
    // Within a second, each replica in turn gets messages, makes a call and is rejected.
    for replica in 0..100 {
        fleet.submit(replica, 6);
        fleet.calls_within(STEP, Outcome::Rejected);
    }
    fleet.calls_within(200 * MILLISECOND, Outcome::Rejected);
    let seconds: Vec<usize> = (0..8).map(|_| fleet.calls_within(SECOND, Outcome::Ok)).collect();
    let all: usize = seconds.iter().sum();
    // What the limit allows in eight seconds, plus or minus a quarter.
    assert!((150..=250).contains(&all), "{seconds:?}");
}

/// In fleets of 300, two hundred killed replicas restarted with the messages that they had held, and each made a call
/// at once to destinations that allow 30 calls per second. Rejected calls count against the limit, so that nothing
/// was delivered for seconds.
#[test]
fn a_fleet_that_starts_with_a_backlog_keeps_to_the_listed_limit() {
    let mut fleet = Fleet::new(300, 60.0);
    (0..300).for_each(|replica| fleet.submit(replica, 5));
    let seconds: Vec<usize> = (0..4).map(|_| fleet.calls_within(SECOND, Outcome::Ok)).collect();
    // The limit, with random variation and the first increases of the rate limits.
    assert!(seconds.iter().all(|n| (30..=90).contains(n)), "{seconds:?}");
}

/// Replicas that were rejected at the same moment must not all retry at the same moment.
#[test]
fn a_fleet_that_was_rejected_at_once_does_not_retry_at_once() {
    let mut fleet = Fleet::new(100, 25.0);
    (0..100).for_each(|replica| fleet.submit(replica, 6));
    fleet.calls_within(200 * MILLISECOND, Outcome::Rejected);
    // The calls that follow the first pause after a rejection have ended by then.
    fleet.calls_within(2 * SECOND, Outcome::Ok);
    let seconds: Vec<usize> = (0..6).map(|_| fleet.calls_within(SECOND, Outcome::Ok)).collect();
    assert!(seconds.iter().all(|n| *n <= 50), "{seconds:?}");
}

/// Each replica of a large fleet sends rarely: after an idle time, two calls of one replica are within random
/// variation, and the second need not wait for the first.
#[test]
fn a_replica_of_a_large_fleet_saves_up_calls() {
    let mut fleet = Fleet::new(100, 25.0);
    fleet.submit(0, 1);
    fleet.calls_within(200 * MILLISECOND, Outcome::Rejected);
    fleet.calls_within(30 * SECOND, Outcome::Ok);
    fleet.submit(0, 2);
    assert_eq!(fleet.calls_within(500 * MILLISECOND, Outcome::Ok), 2);
}

/// After rejections have lowered the rate limits of the replicas for some seconds, the listed limit is soon used in
/// full again, although each replica has few responses to learn that from.
#[test]
fn a_fleet_returns_to_the_listed_limit() {
    let mut fleet = Fleet::new(100, 200.0);
    (0..100).for_each(|replica| fleet.submit(replica, 10));
    fleet.calls_within(9 * SECOND, Outcome::Rejected);
    (0..100).for_each(|replica| fleet.submit(replica, 30));
    fleet.calls_within(5 * SECOND, Outcome::Ok);
    let sent = fleet.calls_within(5 * SECOND, Outcome::Ok);
    // The limit allows a thousand calls in this span.
    assert!((700..=1100).contains(&sent), "{sent}");
}

/// A destination that is down accepts no connections, but not because of a connection limit. Once it is back and
/// still cold, opening a connection for each call would be an extra load.
#[test]
fn connections_to_a_destination_that_was_down_are_kept() {
    let mut fleet = Fleet::new(2, 25.0);
    for outcome in [Outcome::ConnectFailed, Outcome::Ok] {
        (0..5).for_each(|_| {
            fleet.submit(0, 5);
            fleet.calls_within(SECOND, outcome);
        });
    }
    fleet.idle_closes = 0;
    fleet.submit(0, 5);
    assert!(fleet.calls_within(5 * SECOND, Outcome::Ok) >= 5);
    assert_eq!(fleet.idle_closes, 0);
}

/// Responses to calls that the rate limit did not delay do not show whether the destination allows more than its listed
/// limit.
#[test]
fn light_traffic_does_not_raise_the_rate_limit() {
    let mut fleet = Fleet::new(100, 200.0);
    for _ in 0..40 {
        (0..100).for_each(|replica| fleet.submit(replica, 1));
        fleet.calls_within(SECOND, Outcome::Ok);
    }
    (0..100).for_each(|replica| fleet.submit(replica, 40));
    let sent = fleet.calls_within(3 * SECOND, Outcome::Ok);
    // What the limit allows in three seconds, and the calls that each replica had saved up.
    assert!((600..=1500).contains(&sent), "{sent}");
}

/// Calls in each second after an outage of 5 s, at a destination that gets 20 messages per second.
fn calls_after_outage(rate_limit: f64) -> Vec<usize> {
    let mut fleet = Fleet::new(100, rate_limit);
    let mut sent = Vec::new();
    for second in 0..20 {
        let outcome = if (5..10).contains(&second) { Outcome::ConnectFailed } else { Outcome::Ok };
        sent.push(0);
        for tenth in 0..10 {
            let next = (second * 10 + tenth) * 2 % 100;
            [next, next + 1].into_iter().for_each(|replica| fleet.submit(replica, 1));
            sent[second] += fleet.calls_within(SECOND / 10, outcome);
        }
    }
    sent.split_off(10)
}

/// The half-open probes of all replicas together are few enough for a cold destination, but not fewer: if each
/// replica probed only as often as its own traffic allows, probes would be too rare.
#[test]
fn a_fleet_soon_notices_that_a_destination_is_back() {
    let sent: usize = calls_after_outage(100.0).iter().take(4).sum();
    assert!((110..=170).contains(&sent), "{sent}");
}

/// Each replica learns of the return from its own probe, most of them late; the fleet's slow start must not wait for
/// them.
#[test]
fn the_slow_start_of_a_fleet_does_not_restart_with_each_replica() {
    let sent: usize = calls_after_outage(25.0).iter().skip(5).take(4).sum();
    assert!((70..=110).contains(&sent), "{sent}");
}

/// Number of calls that a destination may get from all replicas within the overload duration, this long after its
/// return: the budget that its contract allows at the capacity that it has by then, plus twice the square root of the
/// budget and two for random variation.
fn allowed_while_cold(rate_limit: f64, since_return: u64, contract: &DestinationContract) -> f64 {
    let capacity_share = contract.cold_capacity_share
        + (1.0 - contract.cold_capacity_share) * (since_return as f64 / contract.ramp_time as f64).min(1.0);
    let budget = rate_limit * capacity_share * contract.overload_factor * contract.overload_duration as f64
        / SECOND as f64;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The highest ratio, after an outage, of the calls within one overload duration to the calls allowed then. Backlogs
/// grow during the outage. Traffic is uneven: every second message goes to the first quarter of the replicas, the
/// others to all of them. With `restarts`, some replicas are restarted after the outage.
fn highest_cold_load(replicas: u32, rate_limit: f64, listed: bool, restarts: bool, outage: u64) -> f64 {
    let mut fleet = Fleet::new(replicas, if listed { rate_limit } else { 0.0 });
    let contract = fleet.settings.contract.clone();
    let (outage_start, outage_end, end) = (5 * SECOND, 5 * SECOND + outage, 18 * SECOND + outage);
    let (mut calls_by_step, mut due, mut submitted, mut observers) = (Vec::new(), 0.0, 0u64, BTreeSet::new());
    for step in 0..end / STEP {
        let at = step * STEP;
        due += 0.8 * rate_limit * STEP as f64 / SECOND as f64;
        while due >= 1.0 {
            (due, submitted) = (due - 1.0, submitted + 1);
            let all = u64::from(replicas);
            let busy = submitted * 37 % all.div_ceil(4);
            fleet.submit((if submitted.is_multiple_of(2) { busy } else { submitted * 61 % all }) as usize, 1);
        }
        if restarts && at >= outage_end && at.is_multiple_of(SECOND / 2) {
            fleet.restart((at / SECOND * 13 % u64::from(replicas)) as usize);
        }
        let is_down = (outage_start..outage_end).contains(&at);
        fleet.end_due_calls(if is_down { Outcome::ConnectFailed } else { Outcome::Ok });
        // An attempt that cannot connect does not reach the destination as a call.
        let before = fleet.calls.len();
        fleet.step();
        let callers = fleet.calls[before..].iter().map(|call| call.0);
        observers.extend(callers.clone().filter(|_| is_down));
        calls_by_step.push(
            callers.filter(|_| !is_down).map(|replica| observers.contains(&replica)).collect::<Vec<_>>(),
        );
    }
    let window = (contract.overload_duration / STEP) as usize;
    let first = (outage_end / STEP) as usize;
    let worst = (first..calls_by_step.len() - window).map(|from| {
        let calls: Vec<bool> = calls_by_step[from..from + window].iter().flatten().copied().collect();
        let by_observers = calls.iter().filter(|by_observer| **by_observer).count();
        // Only replicas that have seen a call fail can break the rule, since no other replica knows of the outage: a
        // window counts if more than two thirds of its calls are theirs.
        let counted = if 3 * by_observers > 2 * calls.len() { calls.len() } else { 0 };
        counted as f64 / allowed_while_cold(rate_limit, (from - first) as u64 * STEP, &contract)
    });
    worst.fold(0.0, f64::max)
}

/// Checks the load on a cold destination with and without a listed limit, and with and without restarts of replicas.
fn assert_stays_within_cold_capacity(replicas: u32, rate_limit: f64, outage: u64) {
    for (listed, restarts) in [(true, false), (true, true), (false, false), (false, true)] {
        let worst = highest_cold_load(replicas, rate_limit, listed, restarts, outage);
        let case = format!("{replicas} replicas, {rate_limit} calls/s, listed {listed}, restarts {restarts}");
        assert!(worst <= 1.0, "{case}, outage of {outage} us: {worst} of the allowed calls");
    }
}

/// In fleets of 20 and more, the calls that a replica had saved up while it waited followed its half-open probe at
/// once. Where no limit is listed, the first probes of replicas whose calls had just failed came too close together.
#[test]
fn fleets_of_any_size_stay_within_cold_capacity() {
    let fleets = [(2, 25.0), (4, 5.0), (4, 25.0), (20, 5.0), (20, 25.0), (30, 5.0), (30, 25.0)];
    let large = [(100, 10.0), (100, 50.0), (350, 10.0)];
    for (replicas, rate_limit) in fleets.into_iter().chain(large) {
        for outage in [4 * SECOND, 6 * SECOND, 15 * SECOND] {
            assert_stays_within_cold_capacity(replicas, rate_limit, outage);
        }
    }
    for outage in [6 * SECOND, 15 * SECOND] {
        assert_stays_within_cold_capacity(350, 100.0, outage);
    }
}

/// Most replicas of such a fleet have seen only one call fail by then, and continue at their share of the limit.
#[test]
fn a_fleet_of_350_stays_within_cold_capacity_after_a_short_outage() {
    assert_stays_within_cold_capacity(350, 100.0, 4 * SECOND);
}
