//! Tests of the counts of closed connections and rejected requests.

use super::*;

#[test]
fn closes_and_rejections_are_counted_by_reason_for_one_interval() {
    let stats = ClientStats::default();
    assert_eq!(stats.take_text(), "");
    let shared = stats.clone();
    (0..3).for_each(|_| shared.record_close(CloseReason::Idle));
    shared.record_close(CloseReason::Evicted);
    shared.record_rejection(StatusCode::PAYLOAD_TOO_LARGE, Some("m1"));
    shared.record_rejection(StatusCode::BAD_REQUEST, None);
    let text = stats.take_text();
    assert_eq!(text, "; connections closed: idle 3, evicted 1,; requests rejected: 400 1, 413 1,");
    assert_eq!(stats.take_text(), "");
}

#[test]
fn requests_cut_off_are_told_by_interval_and_since_the_start() {
    let stats = ClientStats::default();
    stats.record_pipelined(3);
    stats.record_cut_off(2, 7, CloseReason::Terminating);
    stats.record_discarded(90, 7, CloseReason::Idle);
    assert_eq!(stats.take_text(), "; requests pipelined 3; requests cut off 2; bytes discarded 90");
    stats.record_cut_off(1, 8, CloseReason::Idle);
    assert_eq!(stats.take_text(), "; requests cut off 1");
    assert_eq!(stats.take_text(), "");
    assert_eq!(stats.totals(), ClientTotals { pipelined: 3, cut_off: 3, discarded_bytes: 90 });
}

#[test]
fn single_rejections_are_logged_up_to_a_limit() {
    let stats = ClientStats::default();
    assert_eq!((0..50).filter(|_| stats.takes_line()).count(), MAX_LINES as usize);
    stats.take_text();
    assert!(stats.takes_line());
}
