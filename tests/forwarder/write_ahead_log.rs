//! Tests of the write-ahead log: what restarts make of a log that is damaged, and its disk limit.

use super::*;

#[test]
fn a_torn_log_tail_is_truncated_and_a_damaged_record_skipped() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| Response::Silent);
    assert_eq!(forwarder.submit(&fee_message("out")), 202);
    wait_until("the target receives the call", || target.message_ids() == ["out"]);
    for id in ["first", "second", "third"] {
        assert_eq!(forwarder.submit(&update_message(id, "k").with_body(id.into())), 202);
    }
    forwarder.kill();
    let mut bytes = fs::read(forwarder.write_ahead_log_path()).unwrap();
    let second = bytes.windows(6).rposition(|window| window == b"second").unwrap();
    bytes[second] ^= 1;
    bytes.truncate(bytes.len() - 3);
    fs::write(forwarder.write_ahead_log_path(), bytes).unwrap();
    target.set_handler(|_| OK);
    forwarder.restart();
    wait_until("the undamaged message is sent", || target.message_ids().contains(&"first".to_string()));
    assert_eq!(forwarder.submit(&update_message("fourth", "k")), 202);
    wait_until("the target receives the new message", || {
        target.message_ids().contains(&"fourth".to_string())
    });
    assert_eq!(target.message_ids(), ["out", "first", "fourth"]);
    // Records written after the truncated tail are intact.
    forwarder.kill();
    forwarder.restart();
    assert_eq!(forwarder.submit(&update_message("fifth", "k")), 202);
    wait_until("the target receives the next message", || {
        target.message_ids().contains(&"fifth".to_string())
    });
    assert!(
        !target.message_ids().iter().any(|id| id == "second" || id == "third"),
        "{:?}",
        target.message_ids()
    );
}

#[test]
fn the_write_ahead_log_stays_within_its_disk_limit() {
    let target = HttpServer::start(|_| OK);
    let discovery = DiscoveryServer::start(vec![list_entry("s-1", target.address, 1, "active")]);
    let max_bytes = 400_000;
    let mut forwarder = Forwarder::start_with(&discovery, |config| config["limits"]["disk_mb"] = 0.4.into());
    let assert_within_limit = |forwarder: &Forwarder| {
        let disk_usage = forwarder.disk_usage();
        assert!(disk_usage <= max_bytes, "{disk_usage} of {max_bytes} bytes");
    };
    // Far more than the limit in total, but little at once.
    for n in 0..60 {
        assert_eq!(
            forwarder.submit(&fee_message(&format!("m{n}")).with_body(vec![7; 30_000])),
            202,
            "message {n}"
        );
        wait_until("the target receives the call", || target.requests().len() == n + 1);
        assert_within_limit(&forwarder);
    }
    // More than the limit at once.
    target.set_handler(|_| Response::Silent);
    let statuses: Vec<u16> = (0..20)
        .map(|n| {
            let status = forwarder.submit(&fee_message(&format!("n{n}")).with_body(vec![7; 30_000]));
            assert_within_limit(&forwarder);
            status
        })
        .collect();
    let accepted = statuses.iter().filter(|status| **status == 202).count();
    assert!(accepted >= 3 && statuses.ends_with(&[503]), "{statuses:?}");
    forwarder.kill();
    target.set_handler(|_| OK);
    forwarder.restart();
    assert_within_limit(&forwarder);
    let finished =
        || discovery.notices().len() + target.message_ids().iter().filter(|id| id.starts_with('n')).count();
    wait_until("each accepted message is sent or reported", || finished() > accepted);
    wait_until("disk space is available again", || {
        forwarder.submit(&fee_message("more").with_body(vec![7; 30_000])) == 202
    });
    assert_within_limit(&forwarder);
}

/// Guards against a kill in the middle of a write to the log: the next start found records in the rest of the body, and
/// sent a message that nobody had submitted.
#[test]
fn the_body_of_a_message_whose_record_is_cut_short_brings_up_no_message() {
    let (_silent, _discovery, other) = start_with_one_target(|_| Response::Silent);
    assert_eq!(other.submit(&fee_message("forged")), 202);
    let record = fs::read(other.write_ahead_log_path()).unwrap();
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    // Nothing but its own record follows, since its destination has no endpoint.
    let cut_short = fee_message("cut-short").to(2).with_body(record.repeat(60_000 / record.len()));
    assert_eq!(forwarder.submit(&cut_short), 202);
    forwarder.kill();
    let mut log = fs::read(forwarder.write_ahead_log_path()).unwrap();
    log.truncate(log.len() - 3);
    fs::write(forwarder.write_ahead_log_path(), log).unwrap();
    for id in ["first", "second"] {
        forwarder.restart();
        assert_eq!(forwarder.submit(&fee_message(id)), 202);
        wait_until("the new message is sent", || target.message_ids().contains(&id.to_string()));
        forwarder.kill();
    }
    assert_eq!(target.message_ids(), ["first", "second"]);
}
