//! Tests of reports that discovery refuses for what they hold.

use super::*;

/// Submits messages that no endpoint takes, which all end `time_left` from now.
fn submit_undeliverable(forwarder: &Forwarder, ids: &[String], time_left: Duration) {
    let end = Instant::now() + time_left;
    for id in ids {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        assert_eq!(forwarder.submit(&fee_message(id).to(9).with_deadline_ms(left)), 202);
    }
}

/// Guards against reports that are longer than the protocol allows, since long ids of peers are in them: they were refused
/// and sent again for good, and kept the notices of all others back.
#[test]
fn notices_with_long_ids_arrive() {
    let (_target, discovery, forwarder) = start_with_one_target(|_| OK);
    // Quotation marks are two characters each in a report.
    let long = |number| format!("{number:02}{}", "\"".repeat(7_000));
    let mut ids: Vec<String> = (0..72).map(long).collect();
    ids.push("short".into());
    submit_undeliverable(&forwarder, &ids, MILLIS(2_000));
    let has_come = |id: &String| discovery.has_read_notice(&id.replace('"', "\\\""));
    wait_until("each notice arrives", || ids.iter().all(has_come));
    assert!(discovery.reports().iter().all(|report| report.body.len() <= 64 * 1024));
}

/// Guards against notices that wait behind others which discovery refuses for good, and against a forwarder that sends
/// these without a pause.
#[test]
fn notices_that_are_refused_for_good_hold_up_no_others() {
    let (_target, discovery, forwarder) = start_with_one_target(|_| OK);
    let refused: Vec<String> = (0..30).map(|number| format!("unreadable-{number}")).collect();
    for ids in refused.chunks(3) {
        submit_undeliverable(&forwarder, ids, MILLIS(200));
    }
    wait_until("the last of them is refused", || discovery.has_notice("unreadable-29", "handed_back"));
    let others: Vec<String> = (0..30).map(|number| format!("m{number}")).collect();
    let together: Vec<String> = ["unreadable-30".to_string()].into_iter().chain(others.clone()).collect();
    submit_undeliverable(&forwarder, &together, MILLIS(500));
    wait_until("the others arrive", || others.iter().all(|id| discovery.has_read_notice(id)));
    let (before, since) = (discovery.reports().len(), Instant::now());
    sleep(MILLIS(1_000));
    let sent_again = (discovery.reports().len() - before) as u128;
    let most = since.elapsed().as_millis() / 100 + 2;
    assert!((1..=most).contains(&sent_again), "{sent_again} reports in a second");
}
