//! What a restart finds taken on is still owed, through the module's interface.

mod common;

use common::*;
use hatchline::*;
use std::collections::BTreeMap;

/// A module that has just come up with one endpoint of destination 1, and what it says and sends.
struct Restart {
    policy: DeliveryPolicy,
    now: u64,
    out: Vec<Action>,
    sent: BTreeMap<MessageId, u64>,
    ended: Vec<MessageId>,
    /// Those that had been called before.
    tried: Vec<MessageId>,
    /// Calls that are out, by when they are served.
    calls: Vec<(u64, MessageId)>,
}

impl Restart {
    fn new(settings: Settings, limit: f64) -> Restart {
        Restart::of_seed(3, settings, limit)
    }

    fn of_seed(seed: u64, settings: Settings, limit: f64) -> Restart {
        let now = 50 * S;
        let policy = DeliveryPolicy::new(now, seed, Settings { listed_rate: ListedRate::Exact, ..settings });
        let (out, sent, ended, calls) = (Vec::new(), BTreeMap::new(), Vec::new(), Vec::new());
        let mut restart = Restart { policy, now, out, sent, ended, tried: Vec::new(), calls };
        let endpoints = vec![Endpoint { rate: limit, ..endpoint(1, 1) }];
        restart.tell(Event::List { kind: ListKind::Cached, version: 1, endpoints });
        restart
    }

    fn tell(&mut self, event: Event) {
        self.policy.handle(self.now, event, &mut self.out);
    }

    fn find(&mut self, id: MessageId, left: u64, order_key: u64, first_run: Option<(u64, u32)>) {
        let attempts = first_run.map(|_| Outcome::Reset).into_iter().collect();
        let expires = self.now + left;
        self.tried.extend(first_run.map(|_| id));
        self.tell(Event::Restored { id, class: 0, destination: 1, order_key, expires, attempts, first_run });
    }

    fn hand_in(&mut self, id: MessageId) {
        let expires = self.now + 20 * S;
        self.tell(Event::Request { id, class: 0, destination: 1, order_key: 0, expires });
    }

    /// Time goes on; each call is served 50 ms after it was sent.
    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            let done: Vec<_> = self.calls.extract_if(.., |(at, _)| *at <= self.now).collect();
            for (_, id) in done {
                self.tell(Event::AttemptEnded {
                    id,
                    attempt: u32::from(self.tried.contains(&id)),
                    target: 1,
                    outcome: Outcome::Ok,
                    took: 50 * MS,
                    message_ended: true,
                    retry_after: 0,
                    report: None,
                });
            }
            self.tell(Event::Timer { token: 0 });
            self.policy.decide(self.now, &mut self.out);
            for action in std::mem::take(&mut self.out) {
                match action {
                    Action::Send { id, .. } => {
                        self.sent.entry(id).or_insert(self.now);
                        self.calls.push((self.now + 50 * MS, id));
                    }
                    Action::Refuse { id, .. } | Action::Fail { id } => self.ended.push(id),
                    _ => {}
                }
            }
            self.now += 10 * MS;
        }
    }
}

/// The room that is kept free was made, at the start, by giving up what the log held.
#[test]
fn nothing_that_a_restart_finds_makes_room_for_another() {
    let mut s = settings(vec![class(RetrySafety::Keyed)]);
    s.max_held = 100;
    let mut restart = Restart::new(s, 2.0);
    (1..=99).for_each(|id| restart.find(id, 15 * S, 0, None));
    for id in 1000..1010 {
        restart.hand_in(id);
    }
    restart.run(10 * MS);
    assert!(!restart.ended.is_empty() && restart.ended.iter().all(|id| *id >= 1000), "{:?}", restart.ended);
}

/// herd+mass: of 7,442 messages that restarts found untried, 4,141 were given up with no call. Newer ones went first.
#[test]
fn what_a_restart_finds_untried_goes_first_and_what_ends_first_before_the_rest() {
    let mut restart = Restart::new(settings(vec![class(RetrySafety::Keyed)]), 20.0);
    // Past its aim, and over long before all that is newer would have gone.
    (1..=30).for_each(|id| restart.find(id, 6 * S - id * 10 * MS, 0, None));
    for id in 1000..1080 {
        restart.hand_in(id);
        restart.run(50 * MS);
    }
    let found: Vec<_> = (1..=30).filter_map(|id| Some((restart.sent.get(&id)?, id))).collect();
    assert_eq!(found.len(), 30, "{:?}, {:?}", restart.sent, restart.ended);
    // The limit leaves an order to be seen: the first to end is number 30.
    let at = |id: MessageId| restart.sent[&id];
    assert!(at(30) < at(20) && at(20) < at(10) && at(10) < at(1), "{found:?}");
    assert!((1030..1080).all(|id| restart.sent.get(&id).is_none_or(|sent| *sent > at(15))));
}

#[test]
fn of_the_keys_that_a_restart_finds_those_rest_whose_call_may_run_on() {
    let mut s = settings(vec![Class { in_order: true, ..class(RetrySafety::Keyed) }]);
    s.contract.order_pause = 5 * S;
    let mut restart = Restart::new(s, 0.0);
    restart.find(1, 15 * S, 7, None);
    let begun = restart.now - S;
    restart.find(2, 15 * S, 8, Some((begun, 0)));
    restart.find(3, 15 * S, 8, None);
    let start = restart.now;
    restart.run(8 * S);
    assert!(restart.sent[&1] < start + S, "{:?}", restart.sent);
    assert!(restart.sent[&3] >= start + 5 * S, "{:?}", restart.sent);
}

/// Short deadlines in a fleet of 300: by the even part of the limit, the first call of each came within 10 s, most of
/// them after all that the restart had found was over.
#[test]
fn a_restart_has_a_call_for_what_it_finds_before_its_time_is_over() {
    let mut s = settings(vec![class(RetrySafety::Keyed)]);
    s.replicas = 300;
    let first_call = |seed| {
        let mut restart = Restart::of_seed(seed, s.clone(), 30.0);
        restart.find(1, 3 * S, 0, None);
        let start = restart.now;
        restart.run(3 * S);
        restart.sent.get(&1).map(|sent| sent - start)
    };
    let calls: Vec<_> = (0..300).filter_map(first_call).collect();
    assert_eq!(calls.len(), 300);
    // Together they stay within three times the limit, also in the first moments.
    let soon = calls.iter().filter(|at| **at < 300 * MS).count();
    assert!(soon < 60, "{soon} of 300 in the first 300 ms");
}

/// roll+brink: a message whose call waited until its time was over was handed back half a millisecond after it. Its client
/// had no time to come again, and it counted as never answered.
#[test]
fn what_is_over_is_not_handed_back() {
    let mut restart = Restart::new(settings(vec![class(RetrySafety::Repeatable)]), 0.0);
    let end = |late: u64| {
        let (mut out, id) = (Vec::new(), 1 + late);
        let expires = restart.now + S;
        restart.policy.handle(
            restart.now,
            Event::Request { id, class: 0, destination: 1, order_key: 0, expires },
            &mut out,
        );
        restart.policy.decide(restart.now, &mut out);
        restart.now = expires - 1 + late;
        let outcome = Outcome::TimedOut;
        let (attempt, target, took, ended, wait, report) = (0, 1, S, false, 0, None);
        let event = Event::AttemptEnded {
            id,
            attempt,
            target,
            outcome,
            took,
            message_ended: ended,
            retry_after: wait,
            report,
        };
        restart.policy.handle(restart.now, event, &mut out);
        out.iter().any(|a| matches!(a, Action::Refuse { id: over, .. } if *over == id))
    };
    assert_eq!([0, 1, 500].map(end), [true, false, false]);
}
