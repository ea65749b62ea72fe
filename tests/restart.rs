//! Messages that a restart restores from the write-ahead log are still delivered. Tested through the public interface
//! of the delivery policy.

mod common;

use common::*;
use hatchline::*;
use std::collections::BTreeMap;

/// A policy that has just started with one endpoint of destination 1, and a record of its actions.
struct RestartedPolicy {
    policy: DeliveryPolicy,
    now: u64,
    /// Actions that have not been executed yet.
    actions: Vec<Action>,
    first_sent_at: BTreeMap<MessageId, u64>,
    /// Messages that the policy has refused or failed.
    ended: Vec<MessageId>,
    /// Messages with an attempt before the restart.
    attempted: Vec<MessageId>,
    /// Calls in flight, each with the time of its delivery.
    in_flight: Vec<(u64, MessageId)>,
}

impl RestartedPolicy {
    fn new(settings: Settings, rate_limit: f64) -> RestartedPolicy {
        RestartedPolicy::with_seed(3, settings, rate_limit)
    }

    fn with_seed(seed: u64, settings: Settings, rate_limit: f64) -> RestartedPolicy {
        let now = 50 * SECOND;
        let policy = DeliveryPolicy::new(now, seed, Settings { listed_rate: ListedRate::Exact, ..settings });
        let (actions, first_sent_at, ended, in_flight) =
            (Vec::new(), BTreeMap::new(), Vec::new(), Vec::new());
        let mut restarted =
            RestartedPolicy { policy, now, actions, first_sent_at, ended, attempted: Vec::new(), in_flight };
        let endpoints = vec![Endpoint { rate: rate_limit, ..endpoint(1, 1) }];
        restarted.notify(Event::List { kind: ListKind::Cached, version: 1, endpoints });
        restarted
    }

    fn notify(&mut self, event: Event) {
        self.policy.handle(self.now, event, &mut self.actions);
    }

    /// Restores a message with this time left until its deadline; `first_run` is the start and zone of an attempt
    /// before the restart.
    fn restore(&mut self, id: MessageId, time_left: u64, order_key: u64, first_run: Option<(u64, u32)>) {
        let attempts = first_run.map(|_| Outcome::Reset).into_iter().collect();
        let expires = self.now + time_left;
        self.attempted.extend(first_run.map(|_| id));
        self.notify(Event::Restored {
            id,
            class: 0,
            destination: 1,
            order_key,
            expires,
            attempts,
            first_run,
        });
    }

    fn submit(&mut self, id: MessageId) {
        let expires = self.now + 20 * SECOND;
        self.notify(Event::Request { id, class: 0, destination: 1, order_key: 0, expires });
    }

    /// Advances time; each call delivers its message after 50 ms.
    fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            let due: Vec<_> = self.in_flight.extract_if(.., |(at, _)| *at <= self.now).collect();
            for (_, id) in due {
                self.notify(Event::AttemptEnded {
                    id,
                    attempt: u32::from(self.attempted.contains(&id)),
                    target: 1,
                    outcome: Outcome::Ok,
                    took: 50 * MILLISECOND,
                    message_ended: true,
                    retry_after: 0,
                    report: None,
                });
            }
            self.notify(Event::Timer { token: 0 });
            self.policy.decide(self.now, &mut self.actions);
            for action in std::mem::take(&mut self.actions) {
                match action {
                    Action::Send { id, .. } => {
                        self.first_sent_at.entry(id).or_insert(self.now);
                        self.in_flight.push((self.now + 50 * MILLISECOND, id));
                    }
                    Action::Refuse { id, .. } | Action::Fail { id } => self.ended.push(id),
                    _ => {}
                }
            }
            self.now += 10 * MILLISECOND;
        }
    }
}

/// The policy keeps some room below the limit on held messages. After a restart, it used to make that room by failing
/// messages restored from the write-ahead log.
#[test]
fn restored_messages_are_not_dropped_to_make_room() {
    let mut settings = settings(vec![class(RetrySafety::Keyed)]);
    settings.max_held = 100;
    let mut restarted = RestartedPolicy::new(settings, 2.0);
    (1..=99).for_each(|id| restarted.restore(id, 15 * SECOND, 0, None));
    for id in 1000..1010 {
        restarted.submit(id);
    }
    restarted.advance(10 * MILLISECOND);
    assert!(
        !restarted.ended.is_empty() && restarted.ended.iter().all(|id| *id >= 1000),
        "{:?}",
        restarted.ended
    );
}

/// Of 7,442 messages that restarts had restored unsent, 4,141 failed without a call, because newer messages went first.
#[test]
fn restored_unsent_messages_go_before_new_ones_in_the_order_of_their_deadlines() {
    let mut restarted = RestartedPolicy::new(settings(vec![class(RetrySafety::Keyed)]), 20.0);
    // Past their aim, and expired long before all newer messages would have been sent.
    (1..=30).for_each(|id| restarted.restore(id, 6 * SECOND - id * 10 * MILLISECOND, 0, None));
    for id in 1000..1080 {
        restarted.submit(id);
        restarted.advance(50 * MILLISECOND);
    }
    let sent: Vec<_> = (1..=30).filter_map(|id| Some((restarted.first_sent_at.get(&id)?, id))).collect();
    assert_eq!(sent.len(), 30, "{:?}, {:?}", restarted.first_sent_at, restarted.ended);
    // The rate limit makes the order visible. The first to expire is message 30.
    let at = |id: MessageId| restarted.first_sent_at[&id];
    assert!(at(30) < at(20) && at(20) < at(10) && at(10) < at(1), "{sent:?}");
    assert!((1030..1080).all(|id| restarted.first_sent_at.get(&id).is_none_or(|sent_at| *sent_at > at(15))));
}

#[test]
fn an_order_key_pauses_after_a_restart_only_if_its_call_may_still_run() {
    let mut settings = settings(vec![Class { in_order: true, ..class(RetrySafety::Keyed) }]);
    settings.contract.order_pause = 5 * SECOND;
    let mut restarted = RestartedPolicy::new(settings, 0.0);
    restarted.restore(1, 15 * SECOND, 7, None);
    let started = restarted.now - SECOND;
    restarted.restore(2, 15 * SECOND, 8, Some((started, 0)));
    restarted.restore(3, 15 * SECOND, 8, None);
    let start = restarted.now;
    restarted.advance(8 * SECOND);
    assert!(restarted.first_sent_at[&1] < start + SECOND, "{:?}", restarted.first_sent_at);
    assert!(restarted.first_sent_at[&3] >= start + 5 * SECOND, "{:?}", restarted.first_sent_at);
}

/// With its equal share of the rate limit, each replica of a fleet of 300 made its first call within 10 s. Where
/// deadlines are short, most of the restored messages had expired by then.
#[test]
fn restored_messages_get_a_call_before_they_expire() {
    let mut settings = settings(vec![class(RetrySafety::Keyed)]);
    settings.replicas = 300;
    let first_call = |seed| {
        let mut restarted = RestartedPolicy::with_seed(seed, settings.clone(), 30.0);
        restarted.restore(1, 3 * SECOND, 0, None);
        let start = restarted.now;
        restarted.advance(3 * SECOND);
        restarted.first_sent_at.get(&1).map(|sent| sent - start)
    };
    let first_calls: Vec<_> = (0..300).filter_map(first_call).collect();
    assert_eq!(first_calls.len(), 300);
    // The first calls are spread over time instead of all coming at once.
    let soon = first_calls.iter().filter(|at| **at < 300 * MILLISECOND).count();
    assert!(soon < 60, "{soon} of 300 in the first 300 ms");
}

/// A message whose call was in flight until the deadline used to be refused half a millisecond after it. Its client had no
/// time left for a retry, and the message counted as one that never got a response.
#[test]
fn an_expired_message_is_not_refused() {
    let mut restarted = RestartedPolicy::new(settings(vec![class(RetrySafety::Repeatable)]), 0.0);
    let is_refused = |late: u64| {
        let (mut actions, id) = (Vec::new(), 1 + late);
        let expires = restarted.now + SECOND;
        restarted.policy.handle(
            restarted.now,
            Event::Request { id, class: 0, destination: 1, order_key: 0, expires },
            &mut actions,
        );
        restarted.policy.decide(restarted.now, &mut actions);
        restarted.now = expires - 1 + late;
        let outcome = Outcome::TimedOut;
        let (attempt, target, took, message_ended, retry_after, report) = (0, 1, SECOND, false, 0, None);
        let event =
            Event::AttemptEnded { id, attempt, target, outcome, took, message_ended, retry_after, report };
        restarted.policy.handle(restarted.now, event, &mut actions);
        actions.iter().any(|action| matches!(action, Action::Refuse { id: refused, .. } if *refused == id))
    };
    assert_eq!([0, 1, 500].map(is_refused), [true, false, false]);
}
