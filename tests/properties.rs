//! Random but seeded sequences of legal events; every action is checked against the rules.

mod common;

use common::steps::{run_cases, run_steps};

#[test]
fn every_rule_is_kept_and_every_message_ends() {
    run_cases(150, |steps, batch| {
        let harness = run_steps(&steps, batch);
        harness.assert_no_violations();
        let open: Vec<_> =
            harness.messages.iter().filter(|(_, m)| m.ended_at.is_none()).map(|(id, _)| *id).collect();
        assert!(open.is_empty(), "never ended: {open:?}");
    });
}

#[test]
fn the_same_events_give_the_same_actions() {
    run_cases(30, |steps, batch| assert_eq!(run_steps(&steps, batch).trace, run_steps(&steps, batch).trace));
}
