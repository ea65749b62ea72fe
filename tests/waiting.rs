//! A destination whose routes are all shut is not looked at until the first opens, unless that time changes:
//! then it is looked at in the same moment.

mod common;

use common::*;
use hatchline::*;

/// Short enough not to open the breaker; it ends between two times of maintenance.
const WAIT: u64 = 1030 * MILLISECOND;
/// By then a call follows the wait, whatever pause the refusal adds, and the message is still in time.
const OPEN_BY: u64 = 15 * SECOND;

/// One destination with one endpoint. Each endpoint has a route of its own.
fn one_destination() -> PolicyHarness {
    let settings = Settings { routes_apart: vec![true], ..settings(vec![class(Effect::Repeatable)]) };
    PolicyHarness::new(settings, vec![endpoint(1, 1)])
}

/// Its only endpoint refuses a message and tells a wait.
fn told_wait(harness: &mut PolicyHarness) {
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::Full, WAIT);
    harness.advance(WAIT / 2, never_responds);
    assert!(harness.attempts_in_flight().is_empty(), "a call within the wait");
}

/// Ends the calls that are out, but for that of one message, as failed, until none more is made.
fn fail_all_but(harness: &mut PolicyHarness, kept: MessageId) {
    while let Some((id, attempt, _)) = harness.attempts_in_flight().into_iter().find(|(id, ..)| *id != kept) {
        harness.end_attempt(id, attempt, Outcome::ConnectFailed, 0);
    }
}

#[test]
fn an_answer_that_closes_the_breaker_is_followed_at_once() {
    let mut harness = one_destination();
    for _ in 0..6 {
        harness.submit(0, 1, 0);
        harness.advance(SECOND, responds_after(50 * MILLISECOND));
    }
    let answered = harness.submit(0, 1, 0);
    for _ in 0..3 {
        harness.submit(0, 1, 0);
    }
    assert_eq!(harness.attempts_in_flight().len(), 4);
    fail_all_but(&mut harness, answered);
    harness.submit(0, 1, 0);
    assert_eq!(harness.attempts_in_flight().len(), 1, "a call through an open breaker");
    harness.end_attempt(answered, 0, Outcome::Ok, 0);
    assert!(!harness.attempts_in_flight().is_empty(), "nothing follows the answer");
    harness.assert_no_violations();
}

#[test]
fn an_endpoint_with_a_route_of_its_own_is_called_at_once() {
    let mut harness = one_destination();
    told_wait(&mut harness);
    harness.update_list(ListKind::Delta, vec![endpoint(2, 1)]);
    let targets: Vec<_> = harness.attempts_in_flight().iter().map(|(_, _, sent)| sent.target).collect();
    assert_eq!(targets, [2]);
    harness.assert_no_violations();
}

#[test]
fn a_wait_that_a_restart_takes_over_ends() {
    let mut harness = one_destination();
    told_wait(&mut harness);
    let state = harness.policy.hand_over().unwrap();
    harness.policy = DeliveryPolicy::take_over(&state, harness.settings.clone()).unwrap();
    harness.advance(OPEN_BY, responds_after(0));
    assert!(harness.messages.values().all(|mail| mail.delivered));
    harness.assert_no_violations();
}

#[test]
fn a_process_that_stops_arms_no_timer_for_the_end_of_a_wait() {
    let mut harness = one_destination();
    told_wait(&mut harness);
    harness.process(Event::Stopping { by: harness.now });
    let before = harness.trace.len();
    harness.advance(OPEN_BY, never_responds);
    let due = |(at, action): &(u64, Action)| match action {
        Action::Timer { after, .. } => Some(at + after),
        _ => None,
    };
    let timers: Vec<u64> = harness.trace[before..].iter().filter_map(due).collect();
    assert!(!timers.is_empty());
    // What is left is the maintenance, every 100 ms.
    assert!(timers.iter().all(|at| at % (100 * MILLISECOND) == 0), "{timers:?}");
    harness.assert_no_violations();
}
