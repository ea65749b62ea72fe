//! Messages that must never take effect twice are lost by an attempt without an answer. They wait for a route that fails,
//! but only as long as other messages find out whether it works.

mod common;

use common::*;
use hatchline::*;

/// Place of each class in the settings of these tests.
const REPEATABLE: usize = 0;
const UNSAFE: usize = 1;
/// How long an endpoint takes for an answer, and the time between two messages.
const ANSWER_TIME: u64 = 80 * MILLISECOND;
const BETWEEN: u64 = 200 * MILLISECOND;

/// Two destinations with one endpoint each, the first of which has answered messages of this class for a while.
fn warmed(class_of_first: usize) -> PolicyHarness {
    let classes = vec![class(Effect::Repeatable), class(Effect::Unsafe)];
    let mut harness = PolicyHarness::new(settings(classes), vec![endpoint(1, 1), endpoint(2, 2)]);
    for _ in 0..60 {
        harness.submit(class_of_first, 1, 0);
        harness.advance(100 * MILLISECOND, responds_after(ANSWER_TIME));
    }
    harness.assert_no_violations();
    harness
}

/// Hands in a message whose call is reset.
fn reset_one(harness: &mut PolicyHarness, class: usize, destination: DestinationId) {
    let id = harness.submit(class, destination, 0);
    harness.end_attempt(id, 0, Outcome::Reset, 0);
}

/// Hands in unsafe messages one after the other, and gives how many were served before the next one came.
fn served_at_once(harness: &mut PolicyHarness, destination: DestinationId, messages: usize) -> usize {
    let serve_next = |_| {
        let id = harness.submit(UNSAFE, destination, 0);
        harness.advance(BETWEEN, responds_after(ANSWER_TIME));
        usize::from(harness.messages[&id].delivered)
    };
    (0..messages).map(serve_next).sum()
}

/// Found on short days on which no message may be repeated: one reset held every message up for an aim and more, each
/// answer let one more go, and the room filled.
#[test]
fn where_no_message_may_be_repeated_a_reset_holds_up_none() {
    let mut harness = warmed(UNSAFE);
    reset_one(&mut harness, UNSAFE, 1);
    assert_eq!(served_at_once(&mut harness, 1, 20), 20);
    harness.assert_no_violations();
}

/// What other destinations get finds out nothing for this one.
#[test]
fn a_destination_of_unsafe_messages_alone_does_not_wait_for_what_others_get() {
    let mut harness = warmed(REPEATABLE);
    served_at_once(&mut harness, 2, 20);
    reset_one(&mut harness, UNSAFE, 2);
    harness.submit(REPEATABLE, 1, 0);
    assert_eq!(served_at_once(&mut harness, 2, 20), 20);
    harness.assert_no_violations();
}

/// Where messages that may be repeated come often, one of them is risked first.
#[test]
fn beside_repeatable_traffic_unsafe_messages_wait_until_a_lossy_route_answers() {
    let mut harness = warmed(REPEATABLE);
    reset_one(&mut harness, REPEATABLE, 1);
    let id = harness.submit(UNSAFE, 1, 0);
    harness.advance(BETWEEN, never_responds);
    assert!(harness.messages[&id].attempts.is_empty(), "it went though a repeatable message was out");
    // The repeat of the message that was reset is answered, and another one.
    harness.submit(REPEATABLE, 1, 0);
    harness.advance(BETWEEN, responds_after(ANSWER_TIME));
    assert!(harness.messages[&id].delivered);
    harness.assert_no_violations();
}

/// A warmed destination of unsafe messages, three of which have just been reset: more than half by the smoothed share, so
/// that its breaker is open.
fn with_open_breaker() -> PolicyHarness {
    let mut harness = warmed(UNSAFE);
    (0..3).for_each(|_| reset_one(&mut harness, UNSAFE, 1));
    harness
}

/// Nothing else will find out whether the destination works: unsafe messages are its half-open probes.
#[test]
fn an_open_breaker_gets_unsafe_messages_one_at_a_time_where_nothing_else_comes() {
    let mut harness = with_open_breaker();
    let opened = harness.now;
    for _ in 0..20 {
        harness.submit(UNSAFE, 1, 0);
        harness.advance(BETWEEN, never_responds);
    }
    let mut probes: Vec<u64> = harness.attempts_in_flight().iter().map(|(_, _, call)| call.sent_at).collect();
    probes.sort_unstable();
    assert!(!probes.is_empty() && probes[0] < opened + SECOND, "none within half an aim: {probes:?}");
    // Four mean answer times are past all that is usual: a call out for less may still be answered.
    assert!(probes.windows(2).all(|pair| pair[1] - pair[0] >= 4 * ANSWER_TIME), "{probes:?}");
    harness.assert_no_violations();
}

/// Each message that finds the destination out is lost, those behind it are not, and it is found back soon.
#[test]
fn unsafe_messages_go_on_soon_after_the_return_of_a_destination_that_nothing_else_goes_to() {
    let mut harness = with_open_breaker();
    let back = harness.now + 4 * SECOND;
    let answer = |now, _, call: &Attempt| match call.sent_at {
        _ if now < call.sent_at + ANSWER_TIME => None,
        at if at < back => Some((Outcome::Reset, 0)),
        _ => Some((Outcome::Ok, 0)),
    };
    let messages: Vec<MessageId> = (0..60)
        .map(|_| {
            let id = harness.submit(UNSAFE, 1, 0);
            harness.advance(BETWEEN, answer);
            id
        })
        .collect();
    let served = messages.iter().filter(|id| harness.messages[id].delivered).count();
    // Of the 40 that come after the return, and those that waited for it.
    assert!(served >= 30, "{served} of 60 are served 8 s after the return");
    harness.assert_no_violations();
}

/// Found beside the above: probes that hang stay out for the rest of their time, and filled the small window with which a
/// destination begins after its return, so that nothing went there until they were over.
#[test]
fn calls_that_hang_do_not_fill_the_window_of_a_destination_that_is_back() {
    let mut harness = with_open_breaker();
    let back = harness.now + 4 * SECOND;
    for _ in 0..20 {
        harness.submit(UNSAFE, 1, 0);
        harness.advance(BETWEEN, never_responds);
    }
    assert!(harness.attempts_in_flight().len() >= 3, "too few hang for this test");
    let waiting = harness.messages.values().filter(|m| m.attempts.is_empty()).count();
    harness.advance(8 * SECOND, |now, _, call| {
        (call.sent_at > back && now >= call.sent_at + ANSWER_TIME).then_some((Outcome::Ok, 0))
    });
    let left = harness.messages.values().filter(|m| m.attempts.is_empty()).count();
    assert!(left * 2 < waiting, "of {waiting} that waited {left} still do 8 s after the return");
    harness.assert_no_violations();
}
