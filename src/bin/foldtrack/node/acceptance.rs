//! Acceptance of submitted messages: decides with the policy, records what is accepted, and responds to the clients.

use super::*;

impl Node {
    pub(super) fn submit(
        &mut self, message: Arc<Message>, client: ClientId, reply: oneshot::Sender<SubmitResponse>,
    ) {
        if let Some(previous) = self.request_history.previous(&message.id) {
            self.interval_stats.repeated_requests += 1;
            return self.answer_repeated_request(previous, reply);
        }
        let full = self.messages.len() >= self.settings.settings.max_held as usize;
        let log_bytes = self.undecided_log_bytes + message.log_bytes();
        if full || !self.write_ahead_log.has_space_for(self.undecided.len() + 1, log_bytes) {
            let reason = if full { RefusalReason::TooManyHeld } else { RefusalReason::NoLogSpace };
            self.log_refusal(&message.id, reason);
            self.metrics.record_result(message.class, MessageResult::Shed);
            let retry_in_ms = self.policy.retry_after(message.destination).div_ceil(1000);
            let _ = reply.send(SubmitResponse::Refused { retry_in_ms });
            return;
        }
        let id = self.next_number;
        self.next_number += 1;
        let event = Event::Request {
            id,
            class: message.class as u32,
            destination: message.destination,
            order_key: message.order_key_hash(),
            expires: message.expires_at,
        };
        self.request_history.hold(&message.id, id);
        self.messages.insert(
            id,
            HeldMessage {
                message,
                client,
                acceptance: Acceptance::Undecided(vec![reply]),
                pending_responses: 0,
                attempts: 0,
                pending_send: None,
            },
        );
        self.undecided.push(id);
        self.undecided_log_bytes = log_bytes;
        self.notify_policy(event);
    }

    /// Answers a request that has come before by what has become of it. No second message is created.
    pub(super) fn answer_repeated_request(
        &mut self, previous: PreviousRequest, reply: oneshot::Sender<SubmitResponse>,
    ) {
        let response = match previous {
            PreviousRequest::Held(number) => return self.respond_again(number, reply),
            PreviousRequest::Ended(RequestEnd::Delivered) => SubmitResponse::Delivered,
            PreviousRequest::Ended(RequestEnd::HandedBack { retry_in_ms }) => {
                SubmitResponse::Refused { retry_in_ms }
            }
            PreviousRequest::Ended(RequestEnd::GivenUp) => SubmitResponse::Failed,
        };
        // The client may have disconnected.
        let _ = reply.send(response);
    }

    /// Responds to a request that has come again as to the first: its message is held.
    pub(super) fn respond_again(&mut self, number: u64, reply: oneshot::Sender<SubmitResponse>) {
        let Some(held) = self.messages.get_mut(&number) else { return };
        match &mut held.acceptance {
            Acceptance::Undecided(replies) => replies.push(reply),
            Acceptance::Responding | Acceptance::Accepted => {
                held.pending_responses += 1;
                let guard = ResponseGuard::new(number, self.events.clone());
                let _ = reply.send(SubmitResponse::Accepted(guard));
            }
        }
    }

    /// Remembers how the request of a message has ended.
    pub(super) fn record_request_end(&mut self, id: &str, ended: EndedRequest) {
        for forgotten in self.request_history.end(id, ended) {
            self.write_ahead_log.forget_ended(forgotten);
        }
    }

    /// Accepts the submitted messages that the policy has not refused. Each is recorded in the write-ahead
    /// log before the response is sent.
    pub(super) fn respond_to_clients(&mut self) {
        self.undecided_log_bytes = 0;
        for number in std::mem::take(&mut self.undecided) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Acceptance::Undecided(replies) =
                std::mem::replace(&mut held.acceptance, Acceptance::Responding)
            else {
                continue;
            };
            let accepted = LogRecord::Accepted(held.message.to_accepted(&self.settings, &self.clock));
            if let Err(error) = self.write_ahead_log.append(number, &accepted) {
                log::warn!("journal: cannot record a message: {error}");
                let id = held.message.id.clone();
                self.log_refusal(&id, RefusalReason::LogFailed);
                refuse_all(replies, 0);
                self.discard_unaccepted(number);
                continue;
            }
            held.pending_responses = replies.len() as u32;
            for reply in replies {
                let guard = ResponseGuard::new(number, self.events.clone());
                // If the client has disconnected, the guard is dropped here and reports that.
                let _ = reply.send(SubmitResponse::Accepted(guard));
            }
        }
    }

    /// Handles the end of a client's response. If it was written, the message is accepted and may be sent. If no response
    /// was written, since the client disconnected first each time, the message is discarded.
    pub(super) fn response_ended(&mut self, number: u64, written: bool) {
        if !written {
            self.log_unwritten_response(number);
        }
        let Some(held) = self.messages.get_mut(&number) else {
            return self.response_to_ended_message_ended(number, written);
        };
        held.pending_responses = held.pending_responses.saturating_sub(1);
        let is_accepted = matches!(held.acceptance, Acceptance::Accepted);
        if written && !is_accepted {
            held.acceptance = Acceptance::Accepted;
            self.interval_stats.accepted += 1;
            self.start_pending_send(number);
        } else if !written && !is_accepted && held.pending_responses == 0 {
            self.append_record(number, &LogRecord::Completed);
            self.discard_unaccepted(number);
        }
    }

    fn log_unwritten_response(&mut self, number: u64) {
        let held = self.messages.get(&number).map(|held| held.message.id.as_str());
        let id = held.or_else(|| self.pending_notices.get(&number).map(|pending| pending.id.as_str()));
        let line = self.interval_stats.record_unwritten_response(id.unwrap_or("that has ended"));
        line.into_iter().for_each(|line| log::info!("{line}"));
    }

    /// Handles the end of a response to the client of a message that has ended undelivered: no notice is due if no client
    /// has been told that it is accepted.
    pub(super) fn response_to_ended_message_ended(&mut self, number: u64, written: bool) {
        let Some(pending) = self.pending_notices.get_mut(&number) else { return };
        pending.accepted |= written;
        pending.pending_responses = pending.pending_responses.saturating_sub(1);
        if pending.accepted || pending.pending_responses > 0 {
            return;
        }
        self.append_record(number, &LogRecord::Completed);
        self.notice_queue.remove(number);
        if let Some(PendingNotice { id, order_key, .. }) = self.pending_notices.remove(&number) {
            self.request_history.forget(&id);
            self.start_send_waiting_for(order_key);
        }
    }

    /// Discards a message that the policy has not refused but that could not be accepted.
    pub(super) fn discard_unaccepted(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.request_history.forget(&held.message.id);
        self.metrics.record_result(held.message.class, MessageResult::Shed);
        if let Some(PendingSend { attempt, target, .. }) = held.pending_send {
            self.notify_outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.notify_policy(Event::Abandoned { id: number });
    }
}

/// Tells all clients that wait for a response that their message is refused.
pub(super) fn refuse_all(replies: Vec<oneshot::Sender<SubmitResponse>>, retry_in_ms: u64) {
    for reply in replies {
        // The client may have disconnected.
        let _ = reply.send(SubmitResponse::Refused { retry_in_ms });
    }
}
