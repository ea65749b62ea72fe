//! State is made for destinations that have messages, dropped once they are idle, and made again. What has to outlive
//! idleness does.

mod common;

use common::traffic::{run_traffic, TrafficProfile};
use common::*;
use hatchline::*;

/// Long enough for a few answers to fade with the deadlines used here.
const IDLE: u64 = 60 * SECOND;
/// A span that outlasts it.
const LONG: u64 = 300 * SECOND;
const SOON: u64 = SECOND;

fn short_lived(effect: Effect) -> Class {
    Class { aim: SECOND, deadline: 2 * SECOND, ..class(effect) }
}

fn idle_settings() -> Settings {
    let classes = vec![short_lived(Effect::Repeatable), short_lived(Effect::Unsafe)];
    let settings = settings(classes);
    Settings { connection_idle: 2 * SECOND, listed_rate: ListedRate::Exact, ..settings }
}

/// Hands in a message and lets its call end so.
fn call(harness: &mut PolicyHarness, outcome: Outcome, wait: u64) {
    let id = harness.submit(0, 1, 0);
    while harness.attempts_in_flight().is_empty() {
        assert!(harness.messages[&id].ended_at.is_none(), "message {id} is not sent");
        harness.advance(harness.settings.tick, never_responds);
    }
    harness.end_attempt(id, 0, outcome, wait);
}

/// Calls made for so many new messages within a second, all served at once.
fn calls_for(harness: &mut PolicyHarness, messages: usize) -> usize {
    let before = harness.attempt_count();
    for _ in 0..messages {
        harness.submit(0, 1, 0);
    }
    harness.advance(SOON, responds_after(0));
    harness.attempt_count() - before
}

/// No call is answered until the breaker opens, and none after that.
fn go_out(harness: &mut PolicyHarness) {
    for _ in 0..4 {
        harness.submit(0, 1, 0);
        harness.advance(10 * SECOND, never_responds);
    }
}

fn is_kept(harness: &mut PolicyHarness) -> bool {
    harness.policy.active_routes() == 1
}

fn gets_no_call(harness: &mut PolicyHarness) -> bool {
    calls_for(harness, 5) == 0
}

#[test]
fn a_listed_destination_has_state_from_its_first_message_until_it_is_idle() {
    let lines = (1..=1000).map(|number| endpoint(number, number)).collect();
    let mut harness = PolicyHarness::new(idle_settings(), lines);
    assert_eq!((harness.policy.active_routes(), harness.policy.pool().listed), (0, 1000));
    for round in 1..=3 {
        call(&mut harness, Outcome::Ok, 0);
        assert_eq!(harness.policy.active_routes(), 1, "in round {round}");
        harness.advance(IDLE, never_responds);
        assert_eq!(harness.policy.active_routes(), 0, "in round {round}");
    }
    assert_eq!(harness.policy.pool(), Pool { listed: 1000, avoided: 0 });
    assert_eq!(calls_for(&mut harness, 5), 5);
    harness.assert_no_violations();
}

/// What happens, and what must hold after the destination was idle.
struct Case {
    name: &'static str,
    settings: fn(&mut Settings),
    happens: fn(&mut PolicyHarness),
    outlives: fn(&mut PolicyHarness) -> bool,
}

const CASES: [Case; 11] = [
    Case {
        name: "a told wait",
        settings: |s| s.rules.tip_after = LONG,
        happens: |harness| call(harness, Outcome::Ok, LONG),
        outlives: gets_no_call,
    },
    Case { name: "an open breaker", settings: |_| {}, happens: go_out, outlives: is_kept },
    Case {
        name: "a failing route",
        settings: |_| {},
        happens: |harness| call(harness, Outcome::Reset, 0),
        outlives: is_kept,
    },
    Case {
        name: "a slow start",
        settings: |s| s.rules.ramp_time = LONG,
        happens: |harness| {
            go_out(harness);
            // So many that the share of failures falls under all bounds.
            for _ in 0..12 {
                harness.submit(0, 1, 0);
                harness.advance(2 * SECOND, responds_after(10 * MILLISECOND));
            }
        },
        outlives: is_kept,
    },
    Case {
        name: "a rate limit that refusals have cut",
        settings: |_| {},
        happens: |harness| {
            call(harness, Outcome::Full, 0);
            harness.advance(IDLE, responds_after(0));
        },
        outlives: is_kept,
    },
    Case {
        name: "connections to be closed",
        settings: |_| {},
        happens: |harness| {
            call(harness, Outcome::TooManyConnections, 0);
            harness.advance(IDLE, responds_after(0));
        },
        outlives: is_kept,
    },
    Case {
        name: "a manual exclusion",
        settings: |_| {},
        happens: |harness| {
            call(harness, Outcome::Ok, 0);
            harness.process(Event::ByHand { target: 1, out: true });
        },
        outlives: |harness| harness.policy.active_routes() == 0 && gets_no_call(harness),
    },
    Case {
        name: "a re-admission that may be cold",
        settings: |s| s.rules.ramp_time = LONG,
        happens: |harness| {
            harness.process(Event::ByHand { target: 1, out: true });
            harness.process(Event::ByHand { target: 1, out: false });
        },
        outlives: |harness| (1..15).contains(&calls_for(harness, 40)),
    },
    Case {
        name: "a drain",
        settings: |_| {},
        happens: |harness| {
            call(harness, Outcome::Ok, 0);
            let line = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
            harness.update_list(ListKind::Delta, vec![line]);
        },
        outlives: |harness| harness.policy.active_routes() == 0 && gets_no_call(harness),
    },
    Case {
        name: "a removal, against a list of a lower version",
        settings: |_| {},
        happens: |harness| {
            call(harness, Outcome::Ok, 0);
            harness.update_list(ListKind::Full, vec![endpoint(2, 2)]);
        },
        outlives: |harness| {
            let late = Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint(1, 1)] };
            harness.process(late);
            !harness.policy.lists(1) && gets_no_call(harness)
        },
    },
    Case {
        name: "answer times, for some deadlines",
        settings: |s| s.classes[1].deadline = IDLE,
        happens: |harness| call(harness, Outcome::Ok, 0),
        outlives: is_kept,
    },
];

#[test]
fn what_has_to_outlive_idleness_does() {
    for case in CASES {
        let mut settings = idle_settings();
        (case.settings)(&mut settings);
        let mut harness = PolicyHarness::new(settings, vec![Endpoint { rate: 40.0, ..endpoint(1, 1) }]);
        (case.happens)(&mut harness);
        harness.advance(IDLE, never_responds);
        assert!((case.outlives)(&mut harness), "{} does not outlive idleness", case.name);
        harness.assert_no_violations();
    }
}

/// A removed endpoint costs no more than its name, and is new if a later list has it again.
#[test]
fn a_removed_endpoint_comes_back_with_a_later_list() {
    let mut harness = PolicyHarness::new(idle_settings(), vec![endpoint(1, 1), endpoint(2, 1)]);
    call(&mut harness, Outcome::Ok, 0);
    harness.update_list(ListKind::Full, vec![endpoint(2, 1)]);
    harness.advance(IDLE, never_responds);
    assert_eq!(harness.policy.pool().listed, 1);
    harness.update_list(ListKind::Full, vec![endpoint(1, 1)]);
    assert_eq!((calls_for(&mut harness, 5), harness.policy.pool().listed), (5, 1));
    assert!(harness.messages.values().rev().take(5).all(|m| m.attempts[0].target == 1));
    harness.assert_no_violations();
}

/// Deadlines so short and pauses so long that state is dropped and made again all the time.
#[test]
fn every_rule_is_kept_while_state_is_dropped_and_made_again() {
    const SPARSE: TrafficProfile =
        TrafficProfile { deadline: 2 * SECOND, pause_unit: 40 * MILLISECOND, limits_connections: false };
    let mut least = usize::MAX;
    for seed in 0..60 {
        let harness = run_traffic(seed, SPARSE);
        harness.assert_no_violations();
        let open: Vec<_> =
            harness.messages.iter().filter(|(_, m)| m.ended_at.is_none()).map(|(id, _)| *id).collect();
        assert!(open.is_empty(), "seed {seed}: never ended: {open:?}");
        least = least.min(harness.policy.active_routes());
    }
    // Of some thirty that had messages. What is in trouble is kept.
    assert!(least < 10, "{least} routes with state at the least");
}
