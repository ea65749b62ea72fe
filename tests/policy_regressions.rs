//! Regression tests for single rules of the delivery policy, through its public interface.

mod common;

use common::*;
use hatchline::*;

/// A harness that has delivered 60 messages to its first destination, so that response times are known and the
/// concurrency window is wide.
fn warm_harness(settings: Settings, endpoints: Vec<Endpoint>, class: usize) -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings, endpoints);
    for _ in 0..60 {
        harness.submit(class, 1, 0);
        harness.advance(100 * MILLISECOND, responds_after(80 * MILLISECOND));
    }
    harness.assert_no_violations();
    harness
}

#[test]
fn calls_time_out_at_the_deadline_until_response_times_are_known() {
    let mut harness =
        PolicyHarness::new(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)]);
    let first = harness.submit(0, 1, 0);
    assert_eq!(harness.messages[&first].attempts[0].times_out_at, harness.messages[&first].expires);
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let id = harness.submit(0, 1, 0);
    let attempt = &harness.messages[&id].attempts[0];
    assert!(
        attempt.times_out_at - attempt.sent_at < SECOND,
        "timeout of {} µs",
        attempt.times_out_at - attempt.sent_at
    );
    harness.advance(SECOND, never_responds);
    assert!(harness.messages[&id].attempts.len() > 1, "no retry after the timeout");
    harness.assert_no_violations();
}

#[test]
fn an_unsafe_message_is_sent_once_with_its_deadline_as_timeout() {
    let classes = vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe)];
    let mut harness = warm_harness(settings(classes), vec![endpoint(1, 1)], 0);
    let id = harness.submit(1, 1, 0);
    assert_eq!(harness.messages[&id].attempts[0].times_out_at, harness.messages[&id].expires);
    harness.advance(21 * SECOND, never_responds);
    assert_eq!(harness.messages[&id].attempts.len(), 1);
    assert!(harness.messages[&id].ended_at.is_some() && !harness.messages[&id].refused);
    harness.assert_no_violations();
}

/// Messages whose deduplication window expired while they were held used to be sent again.
#[test]
fn a_keyed_message_is_not_retried_after_its_deduplication_window() {
    let mut keyed = class(RetrySafety::Keyed);
    keyed.deduplication_window = 3 * SECOND;
    let mut harness = warm_harness(settings(vec![keyed]), vec![endpoint(1, 1)], 0);
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::TimedOut, 0);
    harness.end_attempt(id, 1, Outcome::Rejected, 4 * SECOND);
    harness.advance(6 * SECOND, responds_after(80 * MILLISECOND));
    assert_eq!(harness.messages[&id].attempts.len(), 2);
    assert!(harness.messages[&id].ended_at.is_some());
    harness.assert_no_violations();
}

/// Where a call carried several messages, the Retry-After of any but the first message used to be ignored.
#[test]
fn the_retry_after_of_any_message_in_a_batch_is_respected() {
    let mut settings = settings(vec![class(RetrySafety::Repeatable)]);
    settings.batch_by_kind = vec![4];
    let mut harness = warm_harness(settings, vec![endpoint(1, 1)], 0);
    // Blocks the destination for a while, so that the next call carries several messages.
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::Rejected, 500 * MILLISECOND);
    let ids: Vec<_> = (0..3).map(|_| harness.submit(0, 1, 0)).collect();
    harness.advance(600 * MILLISECOND, |_, _, _| None);
    let batch: Vec<_> = harness
        .attempts_in_flight()
        .into_iter()
        .filter(|(other, _, _)| ids.contains(other) || *other == id)
        .collect();
    assert!(batch.len() >= 2, "{} messages in flight", batch.len());
    let last = batch.len() - 1;
    for (position, (id, index, _)) in batch.iter().enumerate() {
        harness.end_attempt(*id, *index, Outcome::Rejected, if position == last { 2 * SECOND } else { 0 });
    }
    harness.advance(5 * SECOND, responds_after(80 * MILLISECOND));
    harness.assert_no_violations();
}

/// Calls to a destination that never responds used to occupy every slot, so that nothing was sent anywhere.
#[test]
fn an_unresponsive_destination_does_not_occupy_all_slots() {
    let mut settings = settings(vec![class(RetrySafety::Repeatable), class(RetrySafety::Unsafe)]);
    settings.slots = 8;
    let mut harness = PolicyHarness::new(settings, vec![endpoint(1, 1), endpoint(2, 2), endpoint(3, 3)]);
    for _ in 0..60 {
        for destination in 1..=3 {
            harness.submit(0, destination, 0);
        }
        harness.advance(100 * MILLISECOND, responds_after(80 * MILLISECOND));
    }
    for _ in 0..20 {
        harness.submit(1, 1, 0);
        harness.submit(1, 3, 0);
    }
    let only_second_responds = |now: u64, _: MessageId, attempt: &Attempt| {
        (attempt.target == 2 && now >= attempt.sent_at + 80 * MILLISECOND).then_some((Outcome::Ok, 0))
    };
    harness.advance(2 * SECOND, only_second_responds);
    let id = harness.submit(0, 2, 0);
    harness.advance(3 * SECOND, only_second_responds);
    assert!(harness.messages[&id].delivered, "the healthy destination was starved");
    harness.assert_no_violations();
}

/// Half-open probes go one at a time, not as many at once as the concurrency window allows.
#[test]
fn an_unresponsive_destination_gets_single_probes_and_then_a_slow_start() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    for _ in 0..40 {
        harness.submit(0, 1, 0);
    }
    harness.advance(3 * SECOND, never_responds);
    let before = harness.attempt_count();
    harness.advance(4 * SECOND, never_responds);
    assert!(
        harness.attempt_count() - before <= 12,
        "{} attempts in 4 s at an unresponsive destination",
        harness.attempt_count() - before
    );
    assert!(harness.attempt_count() > before, "no probe in 4 s");
    let at_return = harness.attempt_count();
    harness.advance(2 * SECOND, responds_after(80 * MILLISECOND));
    let early = harness.attempt_count() - at_return;
    assert!((1..=8).contains(&early), "{early} attempts in the first 2 s after the return");
    harness.assert_no_violations();
}

/// The backlog of one destination used to fill the limit on held messages, so that messages for others were refused.
#[test]
fn a_backlog_for_one_destination_leaves_room_for_others() {
    let mut settings = settings(vec![class(RetrySafety::Repeatable)]);
    settings.max_held = 60;
    let mut harness = PolicyHarness::new(settings, vec![endpoint(1, 1), endpoint(2, 2)]);
    for _ in 0..200 {
        harness.submit(0, 1, 0);
        harness.advance(20 * MILLISECOND, |now, _, attempt| {
            (now >= attempt.sent_at + 20 * MILLISECOND).then_some((Outcome::Rejected, 0))
        });
        let held = harness.messages.values().filter(|message| message.ended_at.is_none()).count();
        assert!(held < 60, "{held} held");
    }
    let id = harness.submit(0, 2, 0);
    harness.advance(SECOND, |now, _, attempt| {
        (attempt.target == 2 && now >= attempt.sent_at + 80 * MILLISECOND).then_some((Outcome::Ok, 0))
    });
    assert!(harness.messages[&id].delivered);
    harness.assert_no_violations();
}

/// The first rejection by a destination that has shown no limit so far must not stop its traffic for long.
#[test]
fn one_rejection_after_steady_success_causes_only_a_short_pause() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::Rejected, 0);
    harness.advance(2 * SECOND, responds_after(80 * MILLISECOND));
    assert!(harness.messages[&id].delivered);
    harness.assert_no_violations();
}

#[test]
fn draining_and_removed_endpoints_get_no_new_calls() {
    let mut harness =
        warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1), endpoint(2, 1)], 0);
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
    harness.update_list(ListKind::Delta, vec![draining]);
    let ids: Vec<_> = (0..6).map(|_| harness.submit(0, 1, 0)).collect();
    harness.advance(2 * SECOND, responds_after(80 * MILLISECOND));
    assert!(ids.iter().all(|id| harness.messages[id].attempts.iter().all(|attempt| attempt.target == 2)));
    harness.update_list(ListKind::Full, vec![endpoint(3, 1)]);
    let id = harness.submit(0, 1, 0);
    assert_eq!(harness.messages[&id].attempts[0].target, 3);
    harness.assert_no_violations();
}

/// A connection may take a second to establish. Before the call is written, the policy is asked again whether the message
/// may still be sent.
#[test]
fn a_call_is_checked_again_once_its_connection_is_established() {
    let mut harness =
        PolicyHarness::new(settings(vec![class(RetrySafety::Keyed)]), vec![endpoint(1, 1), endpoint(2, 1)]);
    let id = harness.submit(0, 1, 0);
    assert!(
        harness.policy.may_still_send(harness.now, id, 1)
            && harness.policy.may_still_send(harness.now, id, 2)
    );
    assert!(
        !harness.policy.may_still_send(harness.now, id, 3)
            && !harness.policy.may_still_send(harness.now, id + 1, 1)
    );
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1, 1) };
    harness.update_list(ListKind::Delta, vec![draining]);
    assert!(
        !harness.policy.may_still_send(harness.now, id, 1)
            && harness.policy.may_still_send(harness.now, id, 2)
    );
    let started = harness.now;
    harness.now += SECOND;
    harness.end_attempt(id, 0, Outcome::Reset, 300 * MILLISECOND);
    assert!(!harness.policy.may_still_send(harness.now + 290 * MILLISECOND, id, 2));
    assert!(harness.policy.may_still_send(started + 9_900 * MILLISECOND, id, 2));
    // The first attempt may have run, and its deduplication window of 10 s is over.
    assert!(!harness.policy.may_still_send(started + 10 * SECOND, id, 2));
    harness.process(Event::EndpointAdminState { target: 2, disabled: true });
    assert!(!harness.policy.may_still_send(started + 9_900 * MILLISECOND, id, 2));
}

#[test]
fn a_message_with_less_time_left_than_any_response_takes_is_refused_unsent() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let (id, expires) = (9_000, harness.now + 30 * MILLISECOND);
    let mut actions = Vec::new();
    harness.policy.handle(
        harness.now,
        Event::Request { id, class: 0, destination: 1, order_key: 0, expires },
        &mut actions,
    );
    harness.policy.decide(harness.now, &mut actions);
    assert!(actions.contains(&Action::Refuse { id, retry_after: 0 }), "{actions:?}");
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })));
}

/// Number of attempts that one of `replicas` replicas makes within `span` after a destination began to fail with this
/// outcome, or not to respond at all. The Retry-After of its responses ends at a multiple of `interval`.
fn attempts_while_failing(replicas: u32, span: u64, outcome: Option<Outcome>, interval: u64) -> usize {
    let mut settings = settings(vec![class(RetrySafety::Repeatable)]);
    settings.replicas = replicas;
    settings.max_attempts = 12;
    let mut harness = PolicyHarness::new(settings, vec![endpoint(1, 1)]);
    for _ in 0..3 {
        harness.submit(0, 1, 0);
        harness.advance(8 * SECOND, responds_after(80 * MILLISECOND));
    }
    let before = harness.attempt_count();
    for _ in 0..3 {
        harness.submit(0, 1, 0);
    }
    harness.advance(span, |now, _, attempt| {
        let ended = outcome.filter(|_| now >= attempt.sent_at + 50 * MILLISECOND);
        ended.map(|outcome| (outcome, (time_to_next_multiple(interval, now)).min(interval)))
    });
    harness.assert_no_violations();
    harness.attempt_count() - before
}

/// A Retry-After that ends at the next multiple of the interval, as sent by a destination that opens at fixed times;
/// 0 if the interval is 0.
fn time_to_next_multiple(interval: u64, now: u64) -> u64 {
    if interval == 0 {
        0
    } else {
        interval - now % interval
    }
}

/// Hundreds of replicas, each with a message or two, called a destination that rejected calls, was down or was
/// closed. Together they did so often enough to keep it down, or to overload it on its return.
#[test]
fn replicas_of_a_large_fleet_rarely_call_a_failing_destination() {
    for (outcome, retry_after) in [
        (Some(Outcome::Rejected), 0),
        (Some(Outcome::Rejected), 3 * SECOND),
        (Some(Outcome::ConnectFailed), 0),
        (None, 0),
    ] {
        let (few, many) = (
            attempts_while_failing(2, 18 * SECOND, outcome, retry_after),
            attempts_while_failing(250, 18 * SECOND, outcome, retry_after),
        );
        assert!(
            many <= 8,
            "{outcome:?}, Retry-After {retry_after}: {many} attempts in 18 s, {few} as one of two"
        );
        assert!(
            few >= many,
            "{outcome:?}, Retry-After {retry_after}: {few} attempts as one of two, {many} among many"
        );
    }
}

/// Scores of replicas used to fill the connection limit of an endpoint with idle connections.
#[test]
fn a_connection_is_closed_after_use_where_one_failed_or_the_next_use_is_far_off() {
    let closes = |harness: &PolicyHarness| {
        harness.trace.iter().filter(|(_, action)| matches!(action, Action::CloseIdle { .. })).count()
    };
    let mut busy = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let before = closes(&busy);
    busy.submit(0, 1, 0);
    busy.advance(SECOND, responds_after(80 * MILLISECOND));
    assert_eq!(closes(&busy), before, "closed although the next use is near");
    let id = busy.submit(0, 1, 0);
    busy.end_attempt(id, 0, Outcome::ConnectFailed, 0);
    busy.advance(3 * SECOND, responds_after(80 * MILLISECOND));
    assert!(busy.messages[&id].delivered && closes(&busy) > before, "kept although connections are scarce");
    let mut settings = settings(vec![class(RetrySafety::Repeatable)]);
    settings.connection_idle_timeout = SECOND;
    let mut rarely_used = PolicyHarness::new(settings, vec![endpoint(1, 1)]);
    for _ in 0..4 {
        rarely_used.submit(0, 1, 0);
        rarely_used.advance(15 * SECOND, responds_after(80 * MILLISECOND));
    }
    assert_eq!(closes(&rarely_used), 4, "kept although the next use is far off");
}

/// After an endpoint had crashed once, every call to it used to open a new connection for the rest of the day.
#[test]
fn connections_are_kept_again_some_time_after_one_failed() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let id = harness.submit(0, 1, 0);
    harness.end_attempt(id, 0, Outcome::ConnectFailed, 0);
    let make_calls = |harness: &mut PolicyHarness| {
        for _ in 0..170 {
            harness.submit(0, 1, 0);
            harness.advance(100 * MILLISECOND, responds_after(80 * MILLISECOND));
        }
    };
    make_calls(&mut harness);
    let before = harness.trace.len();
    make_calls(&mut harness);
    let closes = |(_, action): &&(u64, Action)| matches!(action, Action::CloseIdle { .. });
    assert_eq!(
        harness.trace[before..].iter().filter(closes).count(),
        0,
        "closed although the failure was long ago"
    );
    harness.assert_no_violations();
}

/// On a host short of CPU time, a result that was decided at the deadline used to reach the client 200 ms after it.
#[test]
fn messages_end_before_their_deadline_by_the_processing_lag() {
    const LAG: u64 = 200 * MILLISECOND;
    for (has_endpoint, lag) in [(false, 0), (false, LAG), (true, 0), (true, LAG)] {
        let short_lived = Class { deadline: SECOND, ..class(RetrySafety::Repeatable) };
        let one_attempt = Settings { max_attempts: 1, ..settings(vec![short_lived]) };
        let mut harness = PolicyHarness::new(one_attempt, vec![endpoint(1, 1)]);
        if !has_endpoint {
            // No endpoint is left to send to.
            harness.update_list(ListKind::Full, Vec::new());
        }
        harness.process(Event::ProcessingLag { lag });
        let id = harness.submit(0, 1, 0);
        let expires = harness.messages[&id].expires;
        let before = harness.trace.len();
        harness.advance(2 * SECOND, never_responds);
        assert_eq!(!harness.messages[&id].attempts.is_empty(), has_endpoint);
        let left = expires as i64 - harness.messages[&id].ended_at.expect("the message has not ended") as i64;
        let (lag, tick) = (lag as i64, harness.settings.tick as i64);
        assert!(
            (lag - tick..=lag + 2 * tick).contains(&left),
            "ended {left} us before its deadline with a lag of {lag} us"
        );
        let timers =
            harness.trace[before..].iter().filter(|(_, action)| matches!(action, Action::Timer { .. }));
        assert!(timers.count() < 100, "the policy polls for the end of the call");
        harness.assert_no_violations();
    }
}

/// A call that the end of the process interrupts may have run; an unsafe message can then not be retried.
#[test]
fn no_call_starts_that_would_not_finish_before_shutdown() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let at = harness.now + 3 * SECOND;
    harness.process(Event::Shutdown { at });
    let early = harness.submit(0, 1, 0);
    harness.advance(2900 * MILLISECOND, responds_after(80 * MILLISECOND));
    let late = harness.submit(0, 1, 0);
    harness.advance(90 * MILLISECOND, responds_after(80 * MILLISECOND));
    assert!(harness.messages[&early].delivered);
    assert!(harness.messages[&late].attempts.is_empty());
    harness.assert_no_violations();
}

#[test]
fn unexpected_events_are_ignored() {
    let mut harness = PolicyHarness::new(settings(vec![class(RetrySafety::Keyed)]), vec![endpoint(1, 1)]);
    let end = |id, attempt, target| Event::AttemptEnded {
        id,
        attempt,
        target,
        outcome: Outcome::Ok,
        took: 1 << 60,
        message_ended: false,
        retry_after: 0,
        report: None,
    };
    let id = harness.submit(0, 1, 0);
    let mut actions = Vec::new();
    for event in [
        end(77, 0, 1),
        end(id, 9, 1),
        Event::Abandoned { id: 77 },
        Event::Timer { token: 99 },
        Event::StreamStarted { id: 77, attempt: 0 },
        Event::ProbeEnded { target: 77, outcome: Outcome::Ok, took: 1 << 60, report: None },
        Event::PeerMessage { from: 1, data: vec![] },
        Event::Request { id: 78, class: 9, destination: 1, order_key: 0, expires: u64::MAX },
        Event::List { kind: ListKind::Failed, version: 0, endpoints: vec![] },
    ] {
        harness.policy.handle(harness.now, event, &mut actions);
        harness.policy.decide(harness.now, &mut actions);
    }
    assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })), "{actions:?}");
}

/// The oldest messages held for a destination with an open circuit breaker had been withdrawn by their clients. Each
/// half-open probe was spent on one of them, which is never sent and so shows nothing: the breaker never closed
/// again.
#[test]
fn withdrawn_messages_do_not_use_up_half_open_probes() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    let withdrawn: Vec<_> = (0..80).map(|_| harness.submit(0, 1, 0)).collect();
    harness.advance(2 * SECOND, |now, _, attempt| {
        (now >= attempt.sent_at + 10 * MILLISECOND).then_some((Outcome::ConnectFailed, 0))
    });
    for id in withdrawn {
        if harness.messages[&id].ended_at.is_none() {
            harness.withdraw(id);
        }
    }
    assert!(
        harness.messages.values().filter(|message| !message.delivered && !message.refused).count() > 40,
        "too few were held"
    );
    let wanted: Vec<_> = (0..5).map(|_| harness.submit(0, 1, 0)).collect();
    harness.advance(6 * SECOND, responds_after(80 * MILLISECOND));
    assert!(
        wanted.iter().all(|id| harness.messages[id].delivered),
        "the circuit breaker of a destination that responds stayed open"
    );
    harness.assert_no_violations();
}

/// A backlog of several seconds was sent oldest first, which made all later messages late too, for as long as
/// messages arrived about as fast as they could be delivered.
#[test]
fn a_stale_backlog_does_not_make_later_messages_late() {
    let mut harness = warm_harness(settings(vec![class(RetrySafety::Repeatable)]), vec![endpoint(1, 1)], 0);
    for _ in 0..200 {
        harness.submit(0, 1, 0);
    }
    harness.advance(3 * SECOND, responds_after(300 * MILLISECOND));
    let later: Vec<_> = (0..100)
        .map(|_| {
            let id = harness.submit(0, 1, 0);
            harness.advance(50 * MILLISECOND, responds_after(300 * MILLISECOND));
            (id, harness.now)
        })
        .collect();
    harness.advance(20 * SECOND, responds_after(300 * MILLISECOND));
    let aim = harness.settings.classes[0].aim;
    let message = |id: &MessageId| &harness.messages[id];
    let in_time = later
        .iter()
        .filter(|(id, at)| message(id).delivered && message(id).ended_at.unwrap() <= at + aim)
        .count();
    assert!(in_time >= 90, "{in_time} of 100 later messages were delivered within the aim");
    harness.assert_no_violations();
}

/// Refused clients that retried at once met the same backlog, and had used up their retries before it was delivered.
#[test]
fn a_refusal_carries_a_retry_after_only_where_allowed() {
    let retry_afters = |allowed: bool| {
        let mut settings = settings(vec![class(RetrySafety::Repeatable)]);
        (settings.may_send_retry_after, settings.max_retry_after, settings.max_held) =
            (allowed, 2 * SECOND, 40);
        let mut harness = warm_harness(settings, vec![endpoint(1, 1)], 0);
        let id = harness.submit(0, 1, 0);
        harness.end_attempt(id, 0, Outcome::Rejected, 1500 * MILLISECOND);
        (0..60).for_each(|_| assert!(harness.submit(0, 1, 0) > id));
        let refused = harness.trace.iter().filter_map(|(_, action)| match action {
            Action::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        refused.collect::<Vec<_>>()
    };
    let sent = retry_afters(true);
    assert!(
        sent.len() > 10
            && sent.iter().all(|retry_after| (1500 * MILLISECOND..=2 * SECOND).contains(retry_after)),
        "{sent:?}"
    );
    assert!(retry_afters(false).iter().all(|retry_after| *retry_after == 0));
}

/// An endpoint that operators have disabled gets no calls, whatever the list says. Once enabled it is treated as
/// cold: it gets one call at a time, at intervals.
#[test]
fn a_disabled_endpoint_gets_no_calls_and_starts_slowly_once_enabled() {
    let mut harness = PolicyHarness::new(
        settings(vec![class(RetrySafety::Repeatable)]),
        vec![endpoint(1, 1), endpoint(2, 1)],
    );
    let traffic = |harness: &mut PolicyHarness, span: u64| {
        let (from, before) = (harness.now, harness.attempt_count());
        while harness.now < from + span {
            // Two at a time, so that each endpoint gets one where both are in use.
            for _ in 0..2 {
                harness.submit(0, 1, 0);
            }
            harness.advance(50 * MILLISECOND, responds_after(40 * MILLISECOND));
        }
        let sent = harness
            .messages
            .values()
            .flat_map(|message| &message.attempts)
            .filter(|attempt| attempt.sent_at >= from && attempt.target == 1)
            .count();
        (sent, harness.attempt_count() - before)
    };
    traffic(&mut harness, 5 * SECOND);
    harness.process(Event::EndpointAdminState { target: 1, disabled: true });
    harness.process(Event::EndpointAdminState { target: 1, disabled: true });
    harness.update_list(ListKind::Full, vec![endpoint(1, 1), endpoint(2, 1)]);
    let (sent, all) = traffic(&mut harness, 5 * SECOND);
    assert!(sent == 0 && all > 50, "{sent} of {all} calls while it was disabled");
    assert_eq!(harness.policy.endpoint_counts(), EndpointCounts { listed: 2, ejected: 1 });
    harness.process(Event::EndpointAdminState { target: 1, disabled: false });
    let (cold, all) = traffic(&mut harness, 2 * SECOND);
    assert!(cold > 0 && cold * 4 < all, "{cold} of {all} calls while it was cold");
    harness.advance(10 * SECOND, responds_after(40 * MILLISECOND));
    let (warm, all) = traffic(&mut harness, 5 * SECOND);
    assert!(warm * 4 > all, "{warm} of {all} calls once it was warm");
    harness.assert_no_violations();
}

/// After a hot restart, the policy decides as it would have without: the exported state holds all pauses, concurrency
/// windows, rate limits, circuit breakers and response times.
#[test]
fn a_successor_decides_as_its_predecessor_would_have() {
    let trace = |takeover: bool| {
        let mut harness = PolicyHarness::new(
            settings(vec![class(RetrySafety::Keyed), class(RetrySafety::Unsafe)]),
            (1..=6).map(|target| endpoint(target, target.div_ceil(2))).collect(),
        );
        // Produces several outcomes, depending on the message id and the time alone.
        let respond = |now: u64, id: MessageId, attempt: &Attempt| match id % 41 {
            _ if now < attempt.sent_at + (20 + id % 7 * 15) * MILLISECOND => None,
            0 => None,
            1 => Some((Outcome::Rejected, 700 * MILLISECOND)),
            2 => Some((Outcome::Rejected, 0)),
            3 => Some((Outcome::Reset, 0)),
            4 => Some((Outcome::ConnectFailed, 0)),
            _ => Some((Outcome::Ok, 0)),
        };
        for round in 0..150 {
            for step in 0..3 {
                harness.submit(round % 2, (round % 3) as u32 + 1, 0);
                harness.advance((10 + step * 15) * MILLISECOND, respond);
            }
            if round == 40 {
                harness.process(Event::EndpointAdminState { target: 5, disabled: true });
            }
            if takeover && round % 5 == 0 {
                let state = harness.policy.export_state().unwrap();
                harness.policy = DeliveryPolicy::import_state(&state, harness.settings.clone()).unwrap();
            }
        }
        harness.advance(5 * SECOND, respond);
        harness.assert_no_violations();
        harness
            .trace
            .into_iter()
            .filter(|(_, action)| !matches!(action, Action::Log { .. }))
            .collect::<Vec<_>>()
    };
    let (uninterrupted, handed_over) = (trace(false), trace(true));
    assert!(uninterrupted.iter().filter(|(_, action)| matches!(action, Action::Send { .. })).count() > 100);
    let first_difference =
        uninterrupted.iter().zip(&handed_over).position(|(expected, actual)| expected != actual);
    assert_eq!(first_difference.map(|index| (&uninterrupted[index], &handed_over[index])), None);
    assert_eq!(uninterrupted.len(), handed_over.len());
}

/// Where two classes waited at a rate limit and one had a tenth of the worth of the other, that one used to get
/// nothing.
#[test]
fn a_class_of_low_worth_is_not_starved() {
    let high = Class { worth: 4.0, ..class(RetrySafety::Repeatable) };
    let low = Class {
        worth: 0.4,
        aim: 700 * MILLISECOND,
        deadline: 2500 * MILLISECOND,
        ..class(RetrySafety::Repeatable)
    };
    let settings = Settings { listed_rate: ListedRate::Exact, replicas: 1, ..settings(vec![high, low]) };
    let mut harness = PolicyHarness::new(settings, vec![Endpoint { rate: 20.0, ..endpoint(1, 1) }]);
    // Twice the rate limit, a quarter of it of low worth.
    let mut submitted = [Vec::new(), Vec::new()];
    for _ in 0..300 {
        for class in [0, 0, 0, 1] {
            submitted[class].push(harness.submit(class, 1, 0));
        }
        harness.advance(100 * MILLISECOND, responds_after(80 * MILLISECOND));
    }
    let delivered = |ids: &[MessageId]| ids.iter().filter(|id| harness.messages[id].delivered).count() as f64;
    let share = |ids: &[MessageId]| delivered(ids) / ids.len() as f64;
    let [high, low] = [share(&submitted[0]), share(&submitted[1])];
    assert!(low > 0.4 * high, "delivered shares: {low} of the class of low worth, {high} of the other");
    assert!(high > low, "delivered shares: {low} of the class of low worth, {high} of the other");
    harness.assert_no_violations();
}
