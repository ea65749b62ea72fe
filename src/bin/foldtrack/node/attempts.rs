//! Attempts to deliver messages: the sends that the policy has decided on, the calls in flight, and their ends.

use super::*;

impl Node {
    /// Starts a pending send unless it has to wait: either until the client's response has been written, or
    /// until the notice of an earlier message with the same order key is acknowledged, which completes that
    /// message.
    pub(super) fn start_pending_send(&mut self, number: u64) {
        let Some(held) = self.messages.get_mut(&number) else { return };
        let key = held.message.order_key_hash();
        let waits_for_notice =
            key != 0 && self.pending_notices.values().any(|pending| pending.order_key == key);
        if waits_for_notice || !matches!(held.acceptance, Acceptance::Accepted) {
            if held.pending_send.is_some() {
                self.waiting_sends.insert(number);
            }
            return;
        }
        self.waiting_sends.remove(&number);
        let Some(PendingSend { attempt, target, until, decided_at }) = held.pending_send.take() else {
            return;
        };
        // A decision this old may conflict with a drain or a Retry-After received since: the policy decides
        // again.
        if self.clock.now() > decided_at + MAX_PENDING_SEND_AGE {
            return self.notify_outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.start_call(number, attempt, target, until);
    }

    /// Starts the send that waits for the notice of an earlier message with this order key, if that was the last one.
    pub(super) fn start_send_waiting_for(&mut self, order_key: u64) {
        let has_key = |number: &u64| {
            let held = self.messages.get(number);
            held.is_some_and(|held| held.message.order_key_hash() == order_key)
        };
        let waiting = self.waiting_sends.iter().copied().find(|number| order_key != 0 && has_key(number));
        waiting.into_iter().for_each(|number| self.start_pending_send(number));
    }

    /// Returns pending sends that have timed out to the policy: a send that waits for a response or a notice could
    /// otherwise stay without an outcome, and its message would never end.
    pub(super) fn expire_pending_sends(&mut self) {
        let now = self.clock.now();
        let mut expired = Vec::new();
        self.waiting_sends.retain(|number| {
            let Some(held) = self.messages.get_mut(number) else { return false };
            expired.extend(held.pending_send.take_if(|send| send.until <= now).map(|send| (*number, send)));
            held.pending_send.is_some()
        });
        for (number, PendingSend { attempt, target, .. }) in expired {
            self.notify_outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Records the start of an attempt before its first byte is sent: from then on it may have run. Returns
    /// whether that succeeded; the call must not be made otherwise.
    pub(super) fn log_attempt_start(&mut self, number: u64, attempt: u32) -> bool {
        let Some(call) = self.calls.get_mut(&(number, attempt)) else { return false };
        let zone = self.endpoints[call.target as usize].zone;
        let attempt_start =
            LogRecord::AttemptStarted { started_at: self.clock.unix_micros_at(self.clock.now()), zone };
        match self.write_ahead_log.append(number, &attempt_start) {
            Ok(()) => call.started = true,
            Err(error) => log::warn!("journal: call not started, as it cannot be recorded: {error}"),
        }
        call.started
    }

    /// Starts a call. On a new connection, the start of the attempt is recorded only once the connection is
    /// established.
    pub(super) fn start_call(&mut self, number: u64, attempt: u32, target: TargetId, until: Micros) {
        let Some(held) = self.messages.get(&number) else { return };
        let message = held.message.clone();
        let KnownEndpoint { address, generation, .. } = self.endpoints[target as usize];
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), InFlightCall { target, cancel: Some(cancel), started: false });
        let connection = self.idle_connections.take(target);
        if connection.is_some() && !self.log_attempt_start(number, attempt) {
            self.calls.remove(&(number, attempt));
            return self.notify_outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.interval_stats.connections_opened += u32::from(connection.is_none());
        let call = Call {
            number,
            attempt,
            target,
            address,
            message,
            connect_timeout: Duration::from_micros(self.settings.settings.connect_timeout),
            timeout_at: self.clock.instant_at(until),
            connection,
            reads_limit_reports: self.settings.rate_index.is_some()
                && self.settings.share_left_index.is_some(),
            generation,
        };
        tokio::spawn(calls::make_call(call, cancelled, self.events.clone()));
    }

    /// Tells the policy the outcome of an attempt for which no call was made.
    pub(super) fn notify_outcome(
        &mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, message_ended: bool,
    ) {
        self.notify_policy(Event::AttemptEnded {
            id,
            attempt,
            target,
            outcome,
            took: 0,
            message_ended,
            retry_after: 0,
            report: None,
        });
    }

    pub(super) fn call_ended(&mut self, end: CallEnd) {
        self.log_failed_attempt(&end);
        let started = self.calls.remove(&(end.number, end.attempt)).is_some_and(|call| call.started);
        self.interval_stats.record_call(end.outcome, end.started_at.elapsed(), end.idle_for);
        self.interval_stats.truncated_responses += u32::from(end.response_truncated);
        let same_generation = self.endpoints[end.target as usize].generation == end.generation;
        if let Some(connection) = end.connection.filter(|_| same_generation) {
            self.idle_connections.put(end.target, connection);
        }
        let held = self.messages.contains_key(&end.number);
        if end.completes_message {
            if let Some(held) = self.messages.remove(&end.number) {
                let delivered = end.outcome == Outcome::Ok;
                self.metrics.record_result(
                    held.message.class,
                    if delivered { MessageResult::Ok } else { MessageResult::Error },
                );
                let request_end = if delivered { RequestEnd::Delivered } else { RequestEnd::GivenUp };
                let Message { id, expires_at, .. } = &*held.message;
                let (client, message, deadline) = (held.client, end.number, *expires_at);
                self.record_request_end(id, EndedRequest { client, message, deadline, end: request_end });
                self.append_completion(end.number, id.clone(), deadline, request_end);
            }
        } else if held && started {
            let execution =
                if end.outcome.never_ran() { ExecutionStatus::NeverRan } else { ExecutionStatus::MayHaveRun };
            self.append_record(end.number, &LogRecord::AttemptEnded(execution));
        }
        let now = self.clock.now();
        self.notify_policy(Event::AttemptEnded {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome: end.outcome,
            took: now.saturating_sub(self.clock.micros_at(end.started_at)),
            message_ended: end.completes_message || !held,
            // The wait counts from the arrival of the response, not from now.
            retry_after: end.wait_until.map_or(0, |until| self.clock.micros_at(until).saturating_sub(now)),
            report: end.limit_report,
        });
    }

    /// Logs an attempt that did not deliver its message: the reason of the retry or of the end that follows.
    pub(super) fn log_failed_attempt(&mut self, end: &CallEnd) {
        let Some(held) = self.messages.get(&end.number).filter(|_| end.outcome != Outcome::Ok) else {
            return;
        };
        let address = self.endpoints[end.target as usize].address;
        let line =
            self.interval_stats.failed_attempt_line(&held.message.id, end.attempt, address, end.outcome);
        line.into_iter().for_each(|line| log::info!("{line}"));
    }
}
