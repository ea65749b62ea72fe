//! An attempt without a response loses a message that must never take effect twice, since it cannot be retried. Such
//! messages wait while a route fails, but only as long as other messages show whether the route works.

mod common;

use common::*;
use hatchline::*;

/// Index of each class in the settings of these tests.
const REPEATABLE: usize = 0;
const UNSAFE: usize = 1;
/// Response time of the endpoints, and the interval between two messages.
const RESPONSE_TIME: u64 = 80 * MILLISECOND;
const MESSAGE_INTERVAL: u64 = 200 * MILLISECOND;

/// A harness with two destinations of one endpoint each, the first of which has received messages of this class for a
/// while.
fn warm_harness(class_of_first: usize) -> PolicyHarness {
    let classes = vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe)];
    let mut harness = PolicyHarness::new(settings(classes), vec![endpoint(1, 1), endpoint(2, 2)]);
    for _ in 0..60 {
        harness.submit(class_of_first, 1, 0);
        harness.advance(100 * MILLISECOND, responds_after(RESPONSE_TIME));
    }
    harness.assert_no_violations();
    harness
}

/// Submits a message and resets its call.
fn submit_with_reset(harness: &mut PolicyHarness, class: usize, destination: DestinationId) {
    let id = harness.submit(class, destination, 0);
    harness.end_attempt(id, 0, Outcome::Reset, 0);
}

/// Submits unsafe messages one after the other and counts those that were delivered before the next one was submitted.
fn delivered_at_once(harness: &mut PolicyHarness, destination: DestinationId, messages: usize) -> usize {
    let deliver_next = |_| {
        let id = harness.submit(UNSAFE, destination, 0);
        harness.advance(MESSAGE_INTERVAL, responds_after(RESPONSE_TIME));
        usize::from(harness.messages[&id].delivered)
    };
    (0..messages).map(deliver_next).sum()
}

/// Where no message may be retried, one reset used to delay every message by the aim or more: each response let only one
/// more message go, until the limit on held messages was reached.
#[test]
fn a_reset_delays_nothing_where_all_messages_are_unsafe() {
    let mut harness = warm_harness(UNSAFE);
    submit_with_reset(&mut harness, UNSAFE, 1);
    assert_eq!(delivered_at_once(&mut harness, 1, 20), 20);
    harness.assert_no_violations();
}

/// Calls to other destinations do not show whether this one works.
#[test]
fn a_destination_with_only_unsafe_messages_does_not_wait_for_traffic_elsewhere() {
    let mut harness = warm_harness(REPEATABLE);
    delivered_at_once(&mut harness, 2, 20);
    submit_with_reset(&mut harness, UNSAFE, 2);
    harness.submit(REPEATABLE, 1, 0);
    assert_eq!(delivered_at_once(&mut harness, 2, 20), 20);
    harness.assert_no_violations();
}

/// Where repeatable messages are frequent, one of them is sent first.
#[test]
fn unsafe_messages_wait_until_repeatable_ones_are_delivered_on_a_failing_route() {
    let mut harness = warm_harness(REPEATABLE);
    submit_with_reset(&mut harness, REPEATABLE, 1);
    let id = harness.submit(UNSAFE, 1, 0);
    harness.advance(MESSAGE_INTERVAL, never_responds);
    assert!(harness.messages[&id].attempts.is_empty(), "sent although a repeatable message was in flight");
    // The retry of the message that was reset gets a response, and so does another message.
    harness.submit(REPEATABLE, 1, 0);
    harness.advance(MESSAGE_INTERVAL, responds_after(RESPONSE_TIME));
    assert!(harness.messages[&id].delivered);
    harness.assert_no_violations();
}

/// A harness whose first destination has received unsafe messages for a while, until three calls were reset. The
/// smoothed failure rate is above one half by then, so that the circuit breaker is open.
fn harness_with_open_breaker() -> PolicyHarness {
    let mut harness = warm_harness(UNSAFE);
    (0..3).for_each(|_| submit_with_reset(&mut harness, UNSAFE, 1));
    harness
}

/// No other traffic shows whether the destination works, so unsafe messages serve as half-open probes.
#[test]
fn unsafe_messages_probe_an_open_breaker_one_at_a_time_where_there_are_no_others() {
    let mut harness = harness_with_open_breaker();
    let opened = harness.now;
    for _ in 0..20 {
        harness.submit(UNSAFE, 1, 0);
        harness.advance(MESSAGE_INTERVAL, never_responds);
    }
    let mut probes: Vec<u64> = harness.attempts_in_flight().iter().map(|(_, _, call)| call.sent_at).collect();
    probes.sort_unstable();
    assert!(!probes.is_empty() && probes[0] < opened + SECOND, "no probe within half the aim: {probes:?}");
    // Hardly any response takes four times the mean; a call in flight for less may still get one.
    assert!(probes.windows(2).all(|pair| pair[1] - pair[0] >= 4 * RESPONSE_TIME), "{probes:?}");
    harness.assert_no_violations();
}

/// Each message that is sent while the destination is down is lost, but those that wait are not, and its return is
/// noticed soon.
#[test]
fn unsafe_messages_resume_soon_after_the_return_of_a_destination_without_other_traffic() {
    let mut harness = harness_with_open_breaker();
    let returned = harness.now + 4 * SECOND;
    let respond = |now, _, call: &Attempt| match call.sent_at {
        _ if now < call.sent_at + RESPONSE_TIME => None,
        at if at < returned => Some((Outcome::Reset, 0)),
        _ => Some((Outcome::Ok, 0)),
    };
    let messages: Vec<MessageId> = (0..60)
        .map(|_| {
            let id = harness.submit(UNSAFE, 1, 0);
            harness.advance(MESSAGE_INTERVAL, respond);
            id
        })
        .collect();
    let delivered = messages.iter().filter(|id| harness.messages[id].delivered).count();
    // 40 messages are submitted after the return, and others waited for it.
    assert!(delivered >= 30, "{delivered} of 60 messages are delivered 8 s after the return");
    harness.assert_no_violations();
}

/// Half-open probes without a response stay in flight until their deadline. They used to fill the small concurrency window
/// with which a destination starts after its return, so that nothing was sent there until they had timed out.
#[test]
fn hanging_calls_do_not_fill_the_window_of_a_destination_that_has_returned() {
    let mut harness = harness_with_open_breaker();
    let returned = harness.now + 4 * SECOND;
    for _ in 0..20 {
        harness.submit(UNSAFE, 1, 0);
        harness.advance(MESSAGE_INTERVAL, never_responds);
    }
    assert!(harness.attempts_in_flight().len() >= 3, "too few calls hang for this test");
    let waiting = harness.messages.values().filter(|message| message.attempts.is_empty()).count();
    harness.advance(8 * SECOND, |now, _, call| {
        (call.sent_at > returned && now >= call.sent_at + RESPONSE_TIME).then_some((Outcome::Ok, 0))
    });
    let left = harness.messages.values().filter(|message| message.attempts.is_empty()).count();
    assert!(left * 2 < waiting, "{left} of {waiting} messages still wait 8 s after the return");
    harness.assert_no_violations();
}
