//! Messages that end undelivered: the notices about them, until discovery has acknowledged them.

use super::acceptance::refuse_all;
use super::*;

impl Node {
    /// Ends a message undelivered: by the response to its client if that is still due, otherwise by a notice.
    pub(super) fn end_undelivered(&mut self, number: u64, notice: NonDeliveryNotice) {
        let Some(held) = self.messages.remove(&number) else { return };
        let class = held.message.class;
        if let Acceptance::Undecided(replies) = held.acceptance {
            self.request_history.forget(&held.message.id);
            self.metrics.record_result(class, MessageResult::Shed);
            let retry_in_ms =
                if let NonDeliveryNotice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            self.log_refusal(&held.message.id, RefusalReason::Policy);
            refuse_all(replies, retry_in_ms);
            return;
        }
        let result = if matches!(notice, NonDeliveryNotice::GivenUp) {
            MessageResult::Error
        } else {
            MessageResult::Shed
        };
        self.metrics.record_result(class, result);
        self.recovery_stats.record_undelivered(number, held.message.expires_at, held.attempts);
        let time_left = held.message.expires_at as i64 - self.clock.now() as i64;
        let line = self.interval_stats.record_undelivered(&held.message.id, notice, held.attempts, time_left);
        line.into_iter().for_each(|line| log::info!("{line}"));
        self.append_record(number, &LogRecord::NoticeIssued(notice));
        let pending = PendingNotice {
            id: held.message.id.clone(),
            order_key: held.message.order_key_hash(),
            expires_at: held.message.expires_at,
            notice,
            accepted: matches!(held.acceptance, Acceptance::Accepted),
            pending_responses: held.pending_responses,
        };
        let (client, deadline, end) = (held.client, pending.expires_at, request_end(notice));
        self.record_request_end(&pending.id, EndedRequest { client, message: number, deadline, end });
        self.pending_notices.insert(number, pending);
        self.notice_queue.push(number);
    }

    pub(super) fn log_refusal(&mut self, id: &str, reason: RefusalReason) {
        let line = self.interval_stats.record_refusal(id, reason);
        line.into_iter().for_each(|line| log::info!("{line}"));
    }

    pub(super) fn send_notices(&mut self) {
        let line = |number| {
            let PendingNotice { id, notice, .. } = &self.pending_notices[&number];
            notice_line(id, *notice)
        };
        while self.report_client.has_capacity() {
            let Some(report) = self.notice_queue.next_report(Instant::now(), line) else { return };
            self.report_client.send(report);
        }
    }

    pub(super) fn report_ended(&mut self, end: ReportEnd) {
        match end {
            ReportEnd::Acknowledged(numbers) => {
                self.notice_queue.acknowledged(&numbers);
                self.notices_acknowledged(numbers);
            }
            ReportEnd::Refused(numbers) => {
                self.notice_queue.refused(&numbers, Instant::now());
                // Notices may have been taken back while they were sent.
                for number in numbers.iter().filter(|number| !self.pending_notices.contains_key(number)) {
                    self.notice_queue.remove(*number);
                }
            }
        }
    }

    /// Completes the messages whose notices discovery has acknowledged, and starts the sends that waited for
    /// that.
    fn notices_acknowledged(&mut self, numbers: Vec<u64>) {
        for number in numbers {
            let Some(PendingNotice { id, order_key, expires_at, notice, .. }) =
                self.pending_notices.remove(&number)
            else {
                continue;
            };
            self.append_completion(number, id, expires_at, request_end(notice));
            self.start_send_waiting_for(order_key);
        }
    }
}

/// The line of a notice in a report.
fn notice_line(id: &str, notice: NonDeliveryNotice) -> String {
    let line = match notice {
        NonDeliveryNotice::GivenUp => json!({"message": id, "outcome": "given_up"}),
        NonDeliveryNotice::HandedBack { retry_in_ms: 0 } => json!({"message": id, "outcome": "handed_back"}),
        NonDeliveryNotice::HandedBack { retry_in_ms } => {
            json!({"message": id, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
        }
    };
    format!("{line}\n")
}
