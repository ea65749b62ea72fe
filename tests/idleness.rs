//! State is made for destinations that have messages, dropped once they are idle, and made again. What has to outlive
//! idleness does.

mod common;

use common::traffic::{play_traffic, Pace};
use common::*;
use hatchline::*;

/// Long enough for a few answers to fade with the deadlines used here.
const IDLE: u64 = 60 * S;
/// A span that outlasts it.
const LONG: u64 = 300 * S;
const SOON: u64 = S;

fn short_lived(effect: RetrySafety) -> Class {
    Class { aim: S, deadline: 2 * S, ..class(effect) }
}

fn idle_settings() -> Settings {
    let classes = vec![short_lived(RetrySafety::Repeatable), short_lived(RetrySafety::Unsafe)];
    let settings = settings(classes);
    Settings { connection_idle_timeout: 2 * S, listed_rate: ListedRate::Exact, ..settings }
}

/// Hands in a message and lets its call end so.
fn call(field: &mut Field, outcome: Outcome, wait: u64) {
    let id = field.request(0, 1, 0);
    while field.out().is_empty() {
        assert!(field.mail[&id].over.is_none(), "message {id} is not sent");
        field.run(field.settings.tick, silent);
    }
    field.end(id, 0, outcome, wait);
}

/// Calls made for so many new messages within a second, all served at once.
fn calls_for(field: &mut Field, messages: usize) -> usize {
    let before = field.sends();
    for _ in 0..messages {
        field.request(0, 1, 0);
    }
    field.run(SOON, serves(0));
    field.sends() - before
}

/// No call is answered until the breaker opens, and none after that.
fn go_out(field: &mut Field) {
    for _ in 0..4 {
        field.request(0, 1, 0);
        field.run(10 * S, silent);
    }
}

fn is_kept(field: &mut Field) -> bool {
    field.policy.active_route_count() == 1
}

fn gets_no_call(field: &mut Field) -> bool {
    calls_for(field, 5) == 0
}

#[test]
fn a_listed_destination_has_state_from_its_first_message_until_it_is_idle() {
    let lines = (1..=1000).map(|number| endpoint(number, number)).collect();
    let mut field = Field::new(idle_settings(), lines);
    assert_eq!((field.policy.active_route_count(), field.policy.endpoint_counts().listed), (0, 1000));
    for round in 1..=3 {
        call(&mut field, Outcome::Ok, 0);
        assert_eq!(field.policy.active_route_count(), 1, "in round {round}");
        field.run(IDLE, silent);
        assert_eq!(field.policy.active_route_count(), 0, "in round {round}");
    }
    assert_eq!(field.policy.endpoint_counts(), EndpointCounts { listed: 1000, ejected: 0 });
    assert_eq!(calls_for(&mut field, 5), 5);
    field.kept();
}

/// What happens, and what must hold after the destination was idle.
struct Case {
    name: &'static str,
    settings: fn(&mut Settings),
    happens: fn(&mut Field),
    outlives: fn(&mut Field) -> bool,
}

const CASES: [Case; 11] = [
    Case {
        name: "a told wait",
        settings: |s| s.contract.overload_duration = LONG,
        happens: |field| call(field, Outcome::Ok, LONG),
        outlives: gets_no_call,
    },
    Case { name: "an open breaker", settings: |_| {}, happens: go_out, outlives: is_kept },
    Case {
        name: "a failing route",
        settings: |_| {},
        happens: |field| call(field, Outcome::Reset, 0),
        outlives: is_kept,
    },
    Case {
        name: "a slow start",
        settings: |s| s.contract.ramp_time = LONG,
        happens: |field| {
            go_out(field);
            // So many that the share of failures falls under all bounds.
            for _ in 0..12 {
                field.request(0, 1, 0);
                field.run(2 * S, serves(10 * MS));
            }
        },
        outlives: is_kept,
    },
    Case {
        name: "a rate limit that refusals have cut",
        settings: |_| {},
        happens: |field| {
            call(field, Outcome::Rejected, 0);
            field.run(IDLE, serves(0));
        },
        outlives: is_kept,
    },
    Case {
        name: "connections to be closed",
        settings: |_| {},
        happens: |field| {
            call(field, Outcome::TooManyConnections, 0);
            field.run(IDLE, serves(0));
        },
        outlives: is_kept,
    },
    Case {
        name: "a manual exclusion",
        settings: |_| {},
        happens: |field| {
            call(field, Outcome::Ok, 0);
            field.feed(Event::EndpointAdminState { target: 1, disabled: true });
        },
        outlives: |field| field.policy.active_route_count() == 0 && gets_no_call(field),
    },
    Case {
        name: "a re-admission that may be cold",
        settings: |s| s.contract.ramp_time = LONG,
        happens: |field| {
            field.feed(Event::EndpointAdminState { target: 1, disabled: true });
            field.feed(Event::EndpointAdminState { target: 1, disabled: false });
        },
        outlives: |field| (1..15).contains(&calls_for(field, 40)),
    },
    Case {
        name: "a drain",
        settings: |_| {},
        happens: |field| {
            call(field, Outcome::Ok, 0);
            let line = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
            field.list(ListKind::Delta, vec![line]);
        },
        outlives: |field| field.policy.active_route_count() == 0 && gets_no_call(field),
    },
    Case {
        name: "a removal, against a list of a lower version",
        settings: |_| {},
        happens: |field| {
            call(field, Outcome::Ok, 0);
            field.list(ListKind::Full, vec![endpoint(2, 2)]);
        },
        outlives: |field| {
            let late = Event::List { kind: ListKind::Full, version: 1, endpoints: vec![endpoint(1, 1)] };
            field.feed(late);
            !field.policy.is_listed(1) && gets_no_call(field)
        },
    },
    Case {
        name: "answer times, for some deadlines",
        settings: |s| s.classes[1].deadline = IDLE,
        happens: |field| call(field, Outcome::Ok, 0),
        outlives: is_kept,
    },
];

#[test]
fn what_has_to_outlive_idleness_does() {
    for case in CASES {
        let mut settings = idle_settings();
        (case.settings)(&mut settings);
        let mut field = Field::new(settings, vec![Endpoint { rate: 40.0, ..endpoint(1, 1) }]);
        (case.happens)(&mut field);
        field.run(IDLE, silent);
        assert!((case.outlives)(&mut field), "{} does not outlive idleness", case.name);
        field.kept();
    }
}

/// A removed endpoint costs no more than its name, and is new if a later list has it again.
#[test]
fn a_removed_endpoint_comes_back_with_a_later_list() {
    let mut field = Field::new(idle_settings(), vec![endpoint(1, 1), endpoint(2, 1)]);
    call(&mut field, Outcome::Ok, 0);
    field.list(ListKind::Full, vec![endpoint(2, 1)]);
    field.run(IDLE, silent);
    assert_eq!(field.policy.endpoint_counts().listed, 1);
    field.list(ListKind::Full, vec![endpoint(1, 1)]);
    assert_eq!((calls_for(&mut field, 5), field.policy.endpoint_counts().listed), (5, 1));
    assert!(field.mail.values().rev().take(5).all(|m| m.sent[0].target == 1));
    field.kept();
}

/// Deadlines so short and pauses so long that state is dropped and made again all the time.
#[test]
fn every_rule_is_kept_while_state_is_dropped_and_made_again() {
    const SPARSE: Pace = Pace { deadline: 2 * S, pause_unit: 40 * MS, crowded: false };
    let mut least = usize::MAX;
    for seed in 0..60 {
        let field = play_traffic(seed, SPARSE);
        field.kept();
        let open: Vec<_> = field.mail.iter().filter(|(_, m)| m.over.is_none()).map(|(id, _)| *id).collect();
        assert!(open.is_empty(), "seed {seed}: never ended: {open:?}");
        least = least.min(field.policy.active_route_count());
    }
    // Of some thirty that had messages. What is in trouble is kept.
    assert!(least < 10, "{least} routes with state at the least");
}
