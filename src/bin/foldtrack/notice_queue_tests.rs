//! Tests of the queue of notices.

use super::*;

fn short_line(number: u64) -> String {
    format!("{number}\n")
}

/// A queue of the notices 1 to `count`.
fn queue(count: u64) -> NoticeQueue {
    let mut queue = NoticeQueue::default();
    (1..=count).for_each(|number| queue.push(number));
    queue
}

/// All reports that may be sent now, by the numbers in them.
fn all_reports(queue: &mut NoticeQueue, now: Instant) -> Vec<Vec<u64>> {
    std::iter::from_fn(|| queue.next_report(now, short_line)).map(|report| report.numbers).collect()
}

#[test]
fn reports_are_bounded_in_notices_and_bytes() {
    let now = Instant::now();
    assert_eq!(all_reports(&mut queue(65), now), [(1..=64).collect(), vec![65]]);
    let mut queue = queue(5);
    let lengths = [30_000, 30_000, 70_000, MAX_REPORT_BYTES, 1];
    let line = |number: u64| "x".repeat(lengths[number as usize - 1]);
    let reports: Vec<Report> = std::iter::from_fn(|| queue.next_report(now, line)).collect();
    let numbers: Vec<&[u64]> = reports.iter().map(|report| &report.numbers[..]).collect();
    assert_eq!(numbers, [&[1, 2][..], &[3], &[4], &[5]], "one that is too long goes alone");
}

#[test]
fn notices_of_a_refused_report_go_alone_and_refused_ones_after_a_pause() {
    let mut now = Instant::now();
    let mut queue = queue(3);
    assert_eq!(all_reports(&mut queue, now), [vec![1, 2, 3]]);
    queue.refused(&[1, 2, 3], now);
    assert_eq!(all_reports(&mut queue, now), [vec![1], vec![2], vec![3]]);
    queue.acknowledged(&[2]);
    queue.refused(&[1], now);
    queue.refused(&[3], now);
    // Others go at once.
    queue.push(4);
    assert_eq!(all_reports(&mut queue, now), [vec![4]]);
    assert_eq!(queue.next_retry_at(), Some(now + REFUSED_RETRY_DELAY));
    now += REFUSED_RETRY_DELAY;
    assert_eq!(all_reports(&mut queue, now), [vec![1]], "one at a time");
    assert_eq!(queue.next_retry_at(), None, "while it is in flight");
    queue.refused(&[1], now);
    assert!(all_reports(&mut queue, now).is_empty());
    now += REFUSED_RETRY_DELAY;
    assert_eq!(all_reports(&mut queue, now), [vec![3]], "in turns");
    queue.acknowledged(&[3]);
    assert_eq!(all_reports(&mut queue, now), [vec![1]], "at once after one that is accepted");
    queue.refused(&[1], now);
    queue.remove(1);
    assert_eq!(queue.next_retry_at(), None);
}
