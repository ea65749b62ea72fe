//! Messages that must never take effect twice are lost by an attempt without an answer. They wait for a route that fails,
//! but only as long as other messages find out whether it works.

mod common;

use common::*;
use hatchline::*;

/// Place of each class in the settings of these tests.
const REPEATABLE: usize = 0;
const UNSAFE: usize = 1;
/// How long an endpoint takes for an answer, and the time between two messages.
const ANSWER_TIME: u64 = 80 * MS;
const BETWEEN: u64 = 200 * MS;

/// Two destinations with one endpoint each, the first of which has answered messages of this class for a while.
fn warmed(class_of_first: usize) -> Field {
    let classes = vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe)];
    let mut field = Field::new(settings(classes), vec![endpoint(1, 1), endpoint(2, 2)]);
    for _ in 0..60 {
        field.request(class_of_first, 1, 0);
        field.run(100 * MS, serves(ANSWER_TIME));
    }
    field.kept();
    field
}

/// Hands in a message whose call is reset.
fn reset_one(field: &mut Field, class: usize, destination: DestinationId) {
    let id = field.request(class, destination, 0);
    field.end(id, 0, Outcome::Reset, 0);
}

/// Hands in unsafe messages one after the other, and gives how many were served before the next one came.
fn served_at_once(field: &mut Field, destination: DestinationId, messages: usize) -> usize {
    let serve_next = |_| {
        let id = field.request(UNSAFE, destination, 0);
        field.run(BETWEEN, serves(ANSWER_TIME));
        usize::from(field.mail[&id].served)
    };
    (0..messages).map(serve_next).sum()
}

/// Found on short days on which no message may be repeated: one reset held every message up for an aim and more, each
/// answer let one more go, and the room filled.
#[test]
fn where_no_message_may_be_repeated_a_reset_holds_up_none() {
    let mut field = warmed(UNSAFE);
    reset_one(&mut field, UNSAFE, 1);
    assert_eq!(served_at_once(&mut field, 1, 20), 20);
    field.kept();
}

/// What other destinations get finds out nothing for this one.
#[test]
fn a_destination_of_unsafe_messages_alone_does_not_wait_for_what_others_get() {
    let mut field = warmed(REPEATABLE);
    served_at_once(&mut field, 2, 20);
    reset_one(&mut field, UNSAFE, 2);
    field.request(REPEATABLE, 1, 0);
    assert_eq!(served_at_once(&mut field, 2, 20), 20);
    field.kept();
}

/// Where messages that may be repeated come often, one of them is risked first.
#[test]
fn beside_repeatable_traffic_unsafe_messages_wait_until_a_lossy_route_answers() {
    let mut field = warmed(REPEATABLE);
    reset_one(&mut field, REPEATABLE, 1);
    let id = field.request(UNSAFE, 1, 0);
    field.run(BETWEEN, silent);
    assert!(field.mail[&id].sent.is_empty(), "it went though a repeatable message was out");
    // The repeat of the message that was reset is answered, and another one.
    field.request(REPEATABLE, 1, 0);
    field.run(BETWEEN, serves(ANSWER_TIME));
    assert!(field.mail[&id].served);
    field.kept();
}

/// A warmed destination of unsafe messages, three of which have just been reset: more than half by the smoothed share, so
/// that its breaker is open.
fn with_open_breaker() -> Field {
    let mut field = warmed(UNSAFE);
    (0..3).for_each(|_| reset_one(&mut field, UNSAFE, 1));
    field
}

/// Nothing else will find out whether the destination works: unsafe messages are its half-open probes.
#[test]
fn an_open_breaker_gets_unsafe_messages_one_at_a_time_where_nothing_else_comes() {
    let mut field = with_open_breaker();
    let opened = field.now;
    for _ in 0..20 {
        field.request(UNSAFE, 1, 0);
        field.run(BETWEEN, silent);
    }
    let mut probes: Vec<u64> = field.out().iter().map(|(_, _, call)| call.at).collect();
    probes.sort_unstable();
    assert!(!probes.is_empty() && probes[0] < opened + S, "none within half an aim: {probes:?}");
    // Four mean answer times are past all that is usual: a call out for less may still be answered.
    assert!(probes.windows(2).all(|pair| pair[1] - pair[0] >= 4 * ANSWER_TIME), "{probes:?}");
    field.kept();
}

/// Each message that finds the destination out is lost, those behind it are not, and it is found back soon.
#[test]
fn unsafe_messages_go_on_soon_after_the_return_of_a_destination_that_nothing_else_goes_to() {
    let mut field = with_open_breaker();
    let back = field.now + 4 * S;
    let answer = |now, _, call: &Sent| match call.at {
        _ if now < call.at + ANSWER_TIME => None,
        at if at < back => Some((Outcome::Reset, 0)),
        _ => Some((Outcome::Ok, 0)),
    };
    let messages: Vec<MessageId> = (0..60)
        .map(|_| {
            let id = field.request(UNSAFE, 1, 0);
            field.run(BETWEEN, answer);
            id
        })
        .collect();
    let served = messages.iter().filter(|id| field.mail[id].served).count();
    // Of the 40 that come after the return, and those that waited for it.
    assert!(served >= 30, "{served} of 60 are served 8 s after the return");
    field.kept();
}

/// Found beside the above: probes that hang stay out for the rest of their time, and filled the small window with which a
/// destination begins after its return, so that nothing went there until they were over.
#[test]
fn calls_that_hang_do_not_fill_the_window_of_a_destination_that_is_back() {
    let mut field = with_open_breaker();
    let back = field.now + 4 * S;
    for _ in 0..20 {
        field.request(UNSAFE, 1, 0);
        field.run(BETWEEN, silent);
    }
    assert!(field.out().len() >= 3, "too few hang for this test");
    let waiting = field.mail.values().filter(|m| m.sent.is_empty()).count();
    field.run(8 * S, |now, _, call| {
        (call.at > back && now >= call.at + ANSWER_TIME).then_some((Outcome::Ok, 0))
    });
    let left = field.mail.values().filter(|m| m.sent.is_empty()).count();
    assert!(left * 2 < waiting, "of {waiting} that waited {left} still do 8 s after the return");
    field.kept();
}
