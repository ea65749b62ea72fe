//! A destination whose routes are all blocked is not considered until the earliest time at which one of them may be
//! used again. If that time changes, the destination is considered again at once.

mod common;

use common::*;
use hatchline::*;

/// Short enough not to open the circuit breaker. It ends between two runs of the periodic maintenance.
const RETRY_AFTER: u64 = 1030 * MILLISECOND;
/// Long enough for a call after the Retry-After, whatever pause the rejection adds, and shorter than the deadline.
const RESUMED_WITHIN: u64 = 15 * SECOND;

/// One destination with one endpoint. Each endpoint has a route of its own.
fn one_destination() -> PolicyHarness {
    let settings =
        Settings { route_per_endpoint: vec![true], ..settings(vec![class(RetrySafety::Repeatable)]) };
    PolicyHarness::new(settings, vec![endpoint(1, 1)])
}

/// Lets the only endpoint reject a message with a Retry-After, and advances time to the middle of it.
fn reject_with_retry_after(harness: &mut PolicyHarness) {
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::Rejected, RETRY_AFTER);
    harness.advance(RETRY_AFTER / 2, never_responds);
    assert!(harness.attempts_in_flight().is_empty(), "a call before the end of the Retry-After");
}

/// Fails all calls in flight except that of one message, until no further call is made.
fn fail_all_but(harness: &mut PolicyHarness, excepted: MessageId) {
    while let Some((id, attempt, _)) =
        harness.attempts_in_flight().into_iter().find(|(id, ..)| *id != excepted)
    {
        harness.end_attempt(id, attempt, Outcome::ConnectFailed, 0);
    }
}

#[test]
fn a_response_that_closes_the_breaker_lets_the_next_call_go_at_once() {
    let mut harness = one_destination();
    for _ in 0..6 {
        harness.submit(0, 1, 0);
        harness.advance(SECOND, responds_after(50 * MILLISECOND));
    }
    let responded = harness.submit(0, 1, 0);
    for _ in 0..3 {
        harness.submit(0, 1, 0);
    }
    assert_eq!(harness.attempts_in_flight().len(), 4);
    fail_all_but(&mut harness, responded);
    harness.submit(0, 1, 0);
    assert_eq!(harness.attempts_in_flight().len(), 1, "a call despite an open circuit breaker");
    harness.end_attempt(responded, 0, Outcome::Ok, 0);
    assert!(!harness.attempts_in_flight().is_empty(), "no call after the response");
    harness.assert_no_violations();
}

#[test]
fn a_new_endpoint_with_a_route_of_its_own_is_called_at_once() {
    let mut harness = one_destination();
    reject_with_retry_after(&mut harness);
    harness.update_list(ListKind::Delta, vec![endpoint(2, 1)]);
    let targets: Vec<_> = harness.attempts_in_flight().iter().map(|(_, _, attempt)| attempt.target).collect();
    assert_eq!(targets, [2]);
    harness.assert_no_violations();
}

#[test]
fn a_retry_after_still_ends_after_a_hot_restart() {
    let mut harness = one_destination();
    reject_with_retry_after(&mut harness);
    let state = harness.policy.export_state().unwrap();
    harness.policy = DeliveryPolicy::import_state(&state, harness.settings.clone()).unwrap();
    harness.advance(RESUMED_WITHIN, responds_after(0));
    assert!(harness.messages.values().all(|message| message.delivered));
    harness.assert_no_violations();
}

#[test]
fn no_timer_is_set_for_the_end_of_a_retry_after_during_shutdown() {
    let mut harness = one_destination();
    reject_with_retry_after(&mut harness);
    harness.process(Event::Shutdown { at: harness.now });
    let before = harness.trace.len();
    harness.advance(RESUMED_WITHIN, never_responds);
    let due = |(at, action): &(u64, Action)| match action {
        Action::Timer { after, .. } => Some(at + after),
        _ => None,
    };
    let timers: Vec<u64> = harness.trace[before..].iter().filter_map(due).collect();
    assert!(!timers.is_empty());
    // The remaining timers are those of the periodic maintenance, every 100 ms.
    assert!(timers.iter().all(|at| at % (100 * MILLISECOND) == 0), "{timers:?}");
    harness.assert_no_violations();
}
