//! Tests of the interval log line and of the limits on single lines.

use super::*;

fn quiet_gauges() -> Gauges {
    Gauges {
        recovery: RecoveryStats::default(),
        held_messages: 0,
        pending_sends: 0,
        calls_in_flight: 0,
        idle_connections: 3,
        pending_notices: 0,
        event_loop_lag: Duration::ZERO,
        client_connections: 0,
        unread_responses: 0,
        no_free_connection_for: Duration::ZERO,
        memory: MemoryUsage::default(),
        memory_limit: 0,
        body_bytes: 0,
        client_stats: String::new(),
    }
}

#[test]
fn line_covers_one_interval_and_is_omitted_when_idle() {
    let quiet = quiet_gauges();
    let mut interval_stats = IntervalStats { accepted: 2, ..IntervalStats::default() };
    interval_stats.record_call(Outcome::Reset, Duration::from_millis(30), None);
    interval_stats.record_call(Outcome::Reset, Duration::from_millis(5), Some(Duration::from_millis(700)));
    let line = interval_stats.take_line(&quiet).expect("something happened");
    assert!(
        line.contains("taken 2")
            && line.contains("reset 2 (35 ms),")
            && line.contains("stale 1 (idle for 700ms")
            && !line.contains("ok "),
        "{line}"
    );
    assert_eq!(interval_stats.take_line(&quiet), None);
    let stuck = Gauges { held_messages: 1, ..quiet_gauges() };
    assert!(interval_stats.take_line(&stuck).is_some_and(|l| l.contains("held 1")));
    let exhausted = Gauges { no_free_connection_for: Duration::from_millis(300), ..quiet_gauges() };
    let line = interval_stats.take_line(&exhausted);
    assert!(line.is_some_and(|l| l.contains("none free for 300 ms")), "new clients are kept out");
    let closing = Gauges { client_stats: "; connections closed: idle 1,".into(), ..quiet_gauges() };
    assert!(interval_stats.take_line(&closing).is_some_and(|l| l.ends_with("closed: idle 1,")));
}

#[test]
fn undelivered_messages_are_logged_up_to_a_limit() {
    let mut interval_stats = IntervalStats::default();
    let lines: Vec<_> = (0..50)
        .filter_map(|_| interval_stats.record_undelivered("m1", NonDeliveryNotice::GivenUp, 2, 3_000))
        .collect();
    assert_eq!(lines.len(), MAX_UNDELIVERED_LINES as usize);
    assert_eq!(lines[0], "message m1: given up after 2 attempts, 3000 us before its time");
    let line = interval_stats.take_line(&Gauges { idle_connections: 0, ..quiet_gauges() });
    assert!(line.is_some_and(|l| l.contains("given up 50")));
    assert!(interval_stats
        .record_undelivered("m2", NonDeliveryNotice::HandedBack { retry_in_ms: 0 }, 0, 0)
        .is_some());
}

#[test]
fn refusals_and_failed_attempts_are_logged_with_their_reason_up_to_a_limit() {
    let mut interval_stats = IntervalStats::default();
    let refusals: Vec<_> =
        (0..50).filter_map(|_| interval_stats.record_refusal("m1", RefusalReason::TooManyHeld)).collect();
    assert_eq!(refusals.len(), MAX_REFUSAL_LINES as usize);
    assert_eq!(refusals[0], "message m1: refused: too many messages are held");
    let endpoint = "127.0.0.1:80".parse().unwrap();
    let attempts: Vec<_> = (0..50)
        .filter_map(|_| interval_stats.failed_attempt_line("m1", 0, endpoint, Outcome::TimedOut))
        .collect();
    assert_eq!(attempts.len(), MAX_ATTEMPT_LINES as usize);
    assert_eq!(attempts[0], "message m1: attempt 1 at 127.0.0.1:80: timed out");
    assert!(interval_stats.take_line(&quiet_gauges()).is_some_and(|l| l.contains("refused 50")));
}
