//! The policy creates state for destinations that have messages, drops it once they are idle, and creates it again. State
//! that later decisions depend on is kept.

mod common;

use common::random_traffic::{run_traffic, TrafficProfile};
use common::*;
use hatchline::*;

/// Long enough for the record of a few responses to decay, given the deadlines of these tests.
const IDLE_SPAN: u64 = 60 * SECOND;
/// A span that has not ended when [`IDLE_SPAN`] has.
const LONGER_THAN_IDLE: u64 = 300 * SECOND;
const SUBMIT_SPAN: u64 = SECOND;

fn short_lived(retry_safety: RetrySafety) -> Class {
    Class { aim: SECOND, deadline: 2 * SECOND, ..class(retry_safety) }
}

fn idle_settings() -> Settings {
    let classes = vec![short_lived(RetrySafety::Repeatable), short_lived(RetrySafety::Unsafe)];
    let settings = settings(classes);
    Settings { connection_idle_timeout: 2 * SECOND, listed_rate: ListedRate::Exact, ..settings }
}

/// Submits a message and ends its call with this outcome.
fn make_call(harness: &mut PolicyHarness, outcome: Outcome, retry_after: u64) {
    let id = harness.submit(0, 1, 0);
    while harness.attempts_in_flight().is_empty() {
        assert!(harness.messages[&id].ended_at.is_none(), "message {id} has not been sent");
        harness.advance(harness.settings.tick, never_responds);
    }
    harness.end_attempt(id, 0, outcome, retry_after);
}

/// Number of calls made within [`SUBMIT_SPAN`] for this number of new messages, each delivered at once.
fn calls_made_for(harness: &mut PolicyHarness, messages: usize) -> usize {
    let before = harness.attempt_count();
    for _ in 0..messages {
        harness.submit(0, 1, 0);
    }
    harness.advance(SUBMIT_SPAN, responds_after(0));
    harness.attempt_count() - before
}

/// Leaves all calls without a response, so that the circuit breaker opens and stays open.
fn open_breaker(harness: &mut PolicyHarness) {
    for _ in 0..4 {
        harness.submit(0, 1, 0);
        harness.advance(10 * SECOND, never_responds);
    }
}

fn has_state(harness: &mut PolicyHarness) -> bool {
    harness.policy.active_route_count() == 1
}

fn gets_no_calls(harness: &mut PolicyHarness) -> bool {
    calls_made_for(harness, 5) == 0
}

#[test]
fn a_destination_has_state_from_its_first_message_until_it_is_idle() {
    let endpoints = (1..=1000).map(|number| endpoint(number, number)).collect();
    let mut harness = PolicyHarness::new(idle_settings(), endpoints);
    assert_eq!((harness.policy.active_route_count(), harness.policy.endpoint_counts().listed), (0, 1000));
    for round in 1..=3 {
        make_call(&mut harness, Outcome::Ok, 0);
        assert_eq!(harness.policy.active_route_count(), 1, "in round {round}");
        harness.advance(IDLE_SPAN, never_responds);
        assert_eq!(harness.policy.active_route_count(), 0, "in round {round}");
    }
    assert_eq!(harness.policy.endpoint_counts(), EndpointCounts { listed: 1000, ejected: 0 });
    assert_eq!(calls_made_for(&mut harness, 5), 5);
    harness.assert_no_violations();
}

/// What happens before the destination is idle, and what must hold afterwards.
struct Case {
    name: &'static str,
    settings: fn(&mut Settings),
    prepare: fn(&mut PolicyHarness),
    is_preserved: fn(&mut PolicyHarness) -> bool,
}

const CASES: [Case; 11] = [
    Case {
        name: "a Retry-After",
        settings: |settings| settings.contract.overload_duration = LONGER_THAN_IDLE,
        prepare: |harness| make_call(harness, Outcome::Ok, LONGER_THAN_IDLE),
        is_preserved: gets_no_calls,
    },
    Case {
        name: "an open circuit breaker",
        settings: |_| {},
        prepare: open_breaker,
        is_preserved: has_state,
    },
    Case {
        name: "a failing route",
        settings: |_| {},
        prepare: |harness| make_call(harness, Outcome::Reset, 0),
        is_preserved: has_state,
    },
    Case {
        name: "a slow start",
        settings: |settings| settings.contract.ramp_time = LONGER_THAN_IDLE,
        prepare: |harness| {
            open_breaker(harness);
            // Enough successes for the failure rate to fall below all thresholds.
            for _ in 0..12 {
                harness.submit(0, 1, 0);
                harness.advance(2 * SECOND, responds_after(10 * MILLISECOND));
            }
        },
        is_preserved: has_state,
    },
    Case {
        name: "a rate limit that rejections have lowered",
        settings: |_| {},
        prepare: |harness| {
            make_call(harness, Outcome::Rejected, 0);
            harness.advance(IDLE_SPAN, responds_after(0));
        },
        is_preserved: has_state,
    },
    Case {
        name: "connections to be closed after use",
        settings: |_| {},
        prepare: |harness| {
            make_call(harness, Outcome::TooManyConnections, 0);
            harness.advance(IDLE_SPAN, responds_after(0));
        },
        is_preserved: has_state,
    },
    Case {
        name: "an endpoint that an operator has disabled",
        settings: |_| {},
        prepare: |harness| {
            make_call(harness, Outcome::Ok, 0);
            harness.process(Event::EndpointAdminState { target: 1, disabled: true });
        },
        is_preserved: |harness| harness.policy.active_route_count() == 0 && gets_no_calls(harness),
    },
    Case {
        name: "an endpoint that was enabled again and may be cold",
        settings: |settings| settings.contract.ramp_time = LONGER_THAN_IDLE,
        prepare: |harness| {
            harness.process(Event::EndpointAdminState { target: 1, disabled: true });
            harness.process(Event::EndpointAdminState { target: 1, disabled: false });
        },
        is_preserved: |harness| (1..15).contains(&calls_made_for(harness, 40)),
    },
    Case {
        name: "a draining endpoint",
        settings: |_| {},
        prepare: |harness| {
            make_call(harness, Outcome::Ok, 0);
            let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
            harness.update_list(ListKind::Delta, vec![draining]);
        },
        is_preserved: |harness| harness.policy.active_route_count() == 0 && gets_no_calls(harness),
    },
    Case {
        name: "a removed endpoint that a list of a lower version still holds",
        settings: |_| {},
        prepare: |harness| {
            make_call(harness, Outcome::Ok, 0);
            harness.update_list(ListKind::Full, vec![endpoint(2, 2)]);
        },
        is_preserved: |harness| {
            let outdated = Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint(1, 1)] };
            harness.process(outdated);
            !harness.policy.is_listed(1) && gets_no_calls(harness)
        },
    },
    Case {
        name: "response times, where a class has a long deadline",
        settings: |settings| settings.classes[1].deadline = IDLE_SPAN,
        prepare: |harness| make_call(harness, Outcome::Ok, 0),
        is_preserved: has_state,
    },
];

#[test]
fn state_that_later_decisions_depend_on_outlives_idleness() {
    for case in CASES {
        let mut settings = idle_settings();
        (case.settings)(&mut settings);
        let mut harness = PolicyHarness::new(settings, vec![Endpoint { rate: 40.0, ..endpoint(1, 1) }]);
        (case.prepare)(&mut harness);
        harness.advance(IDLE_SPAN, never_responds);
        assert!((case.is_preserved)(&mut harness), "{}: lost while the destination was idle", case.name);
        harness.assert_no_violations();
    }
}

/// Only the id of a removed endpoint is kept. If a later list holds the endpoint again, it counts as new.
#[test]
fn a_removed_endpoint_is_used_again_once_a_later_list_has_it() {
    let mut harness = PolicyHarness::new(idle_settings(), vec![endpoint(1, 1), endpoint(2, 1)]);
    make_call(&mut harness, Outcome::Ok, 0);
    harness.update_list(ListKind::Full, vec![endpoint(2, 1)]);
    harness.advance(IDLE_SPAN, never_responds);
    assert_eq!(harness.policy.endpoint_counts().listed, 1);
    harness.update_list(ListKind::Full, vec![endpoint(1, 1)]);
    assert_eq!((calls_made_for(&mut harness, 5), harness.policy.endpoint_counts().listed), (5, 1));
    assert!(harness.messages.values().rev().take(5).all(|message| message.attempts[0].target == 1));
    harness.assert_no_violations();
}

/// Deadlines are so short and pauses so long that state is dropped and created again throughout the run.
#[test]
fn every_rule_holds_while_state_is_dropped_and_created_again() {
    const SPARSE: TrafficProfile =
        TrafficProfile { deadline: 2 * SECOND, pause_unit: 40 * MILLISECOND, limits_connections: false };
    let mut fewest = usize::MAX;
    for seed in 0..60 {
        let harness = run_traffic(seed, SPARSE);
        harness.assert_no_violations();
        let open: Vec<_> = harness
            .messages
            .iter()
            .filter(|(_, message)| message.ended_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        assert!(open.is_empty(), "seed {seed}: messages never ended: {open:?}");
        fewest = fewest.min(harness.policy.active_route_count());
    }
    // Some thirty routes had messages. Those that fail or are limited keep their state.
    assert!(fewest < 10, "each run leaves at least {fewest} routes with state");
}
