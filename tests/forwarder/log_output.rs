//! The forwarder serves whatever becomes of its log on standard error.

use crate::harness::*;
use crate::start_with_one_target;
use rustix::pipe::fcntl_setpipe_size;
use std::fs::File;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;

/// The least that a pipe holds, and more signals than their log lines fit into it.
const PIPE_BYTES: usize = 4096;
const SIGNALS: usize = 300;
/// Time in which several log lines are due.
const LOG_TIME: Duration = Duration::from_millis(2500);

fn assert_serves(forwarder: &mut Forwarder, target: &HttpServer) {
    for n in 0..5 {
        let id = format!("m{n}");
        assert_eq!(forwarder.submit(&fee_message(&id)), 202, "{id}");
        wait_until("the target receives the call", || target.message_ids().contains(&id));
        sleep(LOG_TIME / 5);
    }
    assert!(forwarder.is_running());
}

#[test]
fn a_log_on_a_full_disk_ends_no_process() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    forwarder.restart_with_log(File::options().write(true).open("/dev/full").unwrap().into());
    assert_serves(&mut forwarder, &target);
}

#[test]
fn a_log_whose_reader_has_gone_ends_no_process() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    forwarder.restart_with_log(Stdio::piped());
    drop(forwarder.take_log());
    assert_serves(&mut forwarder, &target);
}

/// The pipe holds what its reader does not take, until it is full.
#[test]
fn a_log_that_nobody_reads_stops_no_process() {
    let (target, _discovery, mut forwarder) = start_with_one_target(|_| OK);
    forwarder.restart_with_log(Stdio::piped());
    let log = forwarder.take_log();
    fcntl_setpipe_size(&log, PIPE_BYTES).unwrap();
    // Each signal has a log line of its own.
    (0..SIGNALS).for_each(|_| forwarder.signal("HUP"));
    assert_serves(&mut forwarder, &target);
    drop(log);
}
