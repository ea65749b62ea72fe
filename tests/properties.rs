//! Property tests: random but seeded sequences of valid events, with every action checked against the delivery rules.

mod common;

use common::random_steps::{run_cases, run_steps};

#[test]
fn every_rule_holds_and_every_message_ends() {
    run_cases(150, |steps, batch_size| {
        let harness = run_steps(&steps, batch_size);
        harness.assert_no_violations();
        let open: Vec<_> = harness
            .messages
            .iter()
            .filter(|(_, message)| message.ended_at.is_none())
            .map(|(id, _)| *id)
            .collect();
        assert!(open.is_empty(), "messages never ended: {open:?}");
    });
}

#[test]
fn the_same_events_give_the_same_actions() {
    run_cases(30, |steps, batch_size| {
        assert_eq!(run_steps(&steps, batch_size).trace, run_steps(&steps, batch_size).trace)
    });
}
