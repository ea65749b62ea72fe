//! Tests of responses that cannot be read whole.

use super::*;

/// The status line counts even if the rest is invalid or cut off: the message is delivered and needs no notice.
#[test]
fn a_200_status_line_means_delivered_however_the_response_ends() {
    let invalid_header = Response::Raw(b"HTTP/1.1 200 OK\r\nthis is no header\r\n\r\n");
    let truncated = Response::RawThenClose(b"HTTP/1.1 200 OK\r\nContent-Le");
    for response in [invalid_header, truncated] {
        let (target, discovery, forwarder) = start_with_one_target(move |_| response.clone());
        assert_eq!(forwarder.submit(&fee_message("m1")), 202);
        wait_until("the message is finished", || admin::metric(&forwarder, "active") == 0);
        assert_eq!(admin::metric(&forwarder, "responses.fee.ok"), 1);
        assert_eq!(target.message_ids(), ["m1"]);
        assert!(discovery.notices().is_empty());
    }
    for bytes in [&b"HTTP/1.1 20"[..], b"HTTP/1.1 2000 OK\r\n\r\n", b"200 OK\r\n\r\n"] {
        let (_target, discovery, forwarder) = start_with_one_target(move |_| Response::RawThenClose(bytes));
        assert_eq!(forwarder.submit(&fee_message("m1")), 202);
        wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
    }
}

/// Guards against an unsafe message that runs twice: its first response broke off behind a head that would prove that the
/// call had not run.
#[test]
fn an_unsafe_message_is_not_sent_again_after_a_response_that_breaks_off() {
    let cut_off: [&[u8]; 3] = [
        b"HTTP/1.1 503 Status\r\nContent-Length: 40\r\n\r\n{\"err",
        b"HTTP/1.1 429 Status\r\nX-Come-Back-Ms: 1\r\nContent-Length: 40\r\n\r\n",
        b"HTTP/1.1 504 Status\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"err",
    ];
    for bytes in cut_off {
        let (target, discovery, mut forwarder) = start_with_one_target(|_| Response::RawThenClose(bytes));
        assert_eq!(forwarder.submit(&fee_message("m1")), 202);
        wait_until("the notice arrives", || discovery.has_notice("m1", "given_up"));
        target.set_handler(|_| OK);
        forwarder.kill();
        forwarder.restart();
        assert_eq!(forwarder.submit(&fee_message("m2")), 202);
        wait_until("the next message is sent", || target.message_ids().contains(&"m2".to_string()));
        assert_eq!(target.message_ids(), ["m1", "m2"]);
    }
}

/// Guards against a wait that does not fit the clock: it was lost, and the next call followed at once.
#[test]
fn a_wait_of_any_length_is_kept() {
    for wait in ["1e19", "1e21", "18446744073709551615", "1e300", "inf"] {
        let header: &'static str = format!("X-Come-Back-Ms: {wait}\r\n").leak();
        let (target, discovery, mut forwarder) =
            start_with_one_target(move |_| Response::Status(429, header));
        assert_eq!(forwarder.submit(&fee_message("m1").with_deadline_ms(1_500)), 202);
        wait_until("the message ends", || discovery.has_notice("m1", "handed_back"));
        assert_eq!(target.message_ids(), ["m1"], "a wait of {wait} ms is not kept");
        assert!(forwarder.is_running(), "a wait of {wait} ms ends the process");
    }
}
