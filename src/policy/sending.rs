//! Sending of calls, batches of messages in one call, and cancellation of overdue calls.

use super::*;

impl DeliveryPolicy {
    /// Whether a call may still be sent once its connection has been opened: in the meantime its endpoint may
    /// have been drained or disabled, its destination may have asked for a wait, its message may have ended,
    /// or the deduplication window for a retry may be over.
    pub fn may_still_send(&mut self, now: Micros, id: MessageId, target: TargetId) -> bool {
        self.now = now;
        let listed = self.targets.get(&target).filter(|endpoint| endpoint.state == EndpointState::Ready);
        let is_ready = listed.is_some_and(|endpoint| self.routes[endpoint.route].paused_until <= now);
        let is_timely = self
            .messages
            .get(&id)
            .is_some_and(|message| !message.ended && self.in_deduplication_window(message));
        is_ready && is_timely && !self.disabled.contains(&target)
    }

    /// Sends a message, as part of the given call if there is one, otherwise in a new call. Returns the
    /// number of the call.
    pub(super) fn send(
        &mut self, id: MessageId, route_index: usize, target: TargetId, half_open: bool, call: Option<u64>,
    ) -> u64 {
        let (jitter, max_backoff) =
            (1.0 + TAU_JITTER * self.random.next(), self.settings.shortest_aim() / 2.0);
        self.dequeue(id);
        let probe_interval = self.probe_interval(route_index, self.now);
        let call = call.unwrap_or_else(|| {
            self.last_call_number += 1;
            self.calls_in_flight += 1;
            let route = &mut self.routes[route_index];
            route.tokens -= 1.0;
            route.calls.insert(
                self.last_call_number,
                Call { target, sent_at: self.now, half_open, ..Call::default() },
            );
            if let CircuitBreaker::Open { backoff, .. } = route.breaker {
                let next_probe_at = self.now + (backoff.max(probe_interval) * jitter) as Micros;
                route.breaker = CircuitBreaker::Open {
                    next_probe_at,
                    backoff: (backoff * PROBE_BACKOFF_FACTOR).min(max_backoff),
                };
            }
            self.last_call_number
        });
        let route = &mut self.routes[route_index];
        let zone = self.targets.get_mut(&target).map_or(0, |endpoint| {
            let idle = if endpoint.last_used_at > endpoint.last_result_at {
                0
            } else {
                self.now.saturating_sub(endpoint.last_result_at)
            };
            // After a longer idle time the endpoint has closed the connection.
            endpoint.total_idle =
                if idle < self.settings.connection_idle_timeout { endpoint.total_idle + idle } else { 0 };
            endpoint.last_used_at = self.now;
            endpoint.zone
        });
        let Some(message) = self.messages.get_mut(&id) else { return call };
        let class = &self.settings.classes[message.class];
        let tau = (route.response_times.retry_timeout * jitter) as Micros;
        let may_retry = match class.retry_safety {
            RetrySafety::Repeatable => true,
            RetrySafety::Keyed => {
                self.now + tau + 2 * self.settings.tick
                    < message.first_run.map_or(self.now, |first_run| first_run.0) + class.deduplication_window
            }
            RetrySafety::Unsafe => false,
        };
        let is_last = message.attempts.len() + 1 >= self.settings.max_attempts as usize;
        // The call times out at the retry timeout τ if a retry can follow it in time, otherwise when the
        // message expires.
        let end = message.expires.saturating_sub(self.processing_lag).max(self.now);
        let retry_planned = may_retry
            && !is_last
            && route.response_times.retry_timeout > 0.0
            && (route.retry_budget > 0.0 || half_open)
            && self.now + tau < end;
        let until = if retry_planned { self.now + tau } else { end };
        message.first_run.get_or_insert((self.now, zone));
        if let Some(call) = route.calls.get_mut(&call) {
            call.messages.push((id, message.attempts.len() as u32));
        }
        message.attempts.push(Attempt { target, call, retry_planned, outcome: None });
        self.actions.push(Action::Send { id, target, until });
        call
    }

    /// Adds further messages to a call, where the destination takes several in one. A half-open probe carries
    /// a single message.
    pub(super) fn fill_batch(
        &mut self, destination_id: DestinationId, route_index: usize, target: TargetId, call: u64,
    ) {
        let batch_size = self.settings.batch_by_kind.get(self.routes[route_index].kind).copied().unwrap_or(1);
        let zone = self.targets.get(&target).map_or(0, |endpoint| endpoint.zone + 1);
        for _ in 1..batch_size {
            let Some(destination) = self.destinations.get(destination_id) else { return };
            let matching =
                destination.queues.iter().filter(|((_, bound, _), _)| *bound == 0 || *bound == zone);
            let next = matching.filter_map(|(queue, messages)| self.next_in_queue(*queue, messages));
            let Some((_, id)) = next.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            let (message, route) = (&self.messages[&id], &self.routes[route_index]);
            let is_unsafe = self.settings.classes[message.class].retry_safety == RetrySafety::Unsafe;
            if !self.allowed(message).0
                || (is_unsafe && route.failure_may_have_run && route.failure_share > LOSSY_FAILURE_SHARE)
            {
                return;
            }
            self.send(id, route_index, target, false, Some(call));
        }
    }

    /// Cancels overdue calls, whatever the cause, to free their slots: one silent endpoint must not hold up
    /// the others. Where the destination is down, calls that carry only repeatable messages are cancelled at
    /// once; others are cancelled a few at a time, while messages wait for a slot. The cost: very late
    /// responses are lost.
    pub(super) fn cancel_overdue_calls(&mut self, with_calls: &[usize]) {
        let mut allowance = if self.out_of_slots { self.settings.slots.div_ceil(16) } else { 0 };
        for &route_index in if self.settings.may_cancel { with_calls } else { &[] } {
            let overdue_age = self.overdue_age(&self.routes[route_index]);
            let is_down =
                self.routes[route_index].breaker.is_open() && self.routes[route_index].failure_may_have_run;
            let is_overdue =
                |call: &&mut Call| !call.cancelled && (self.now - call.sent_at) as f64 > overdue_age;
            for call in self.routes[route_index].calls.values_mut().filter(is_overdue) {
                let is_repeatable = |message: &Message| {
                    self.settings.classes[message.class].retry_safety == RetrySafety::Repeatable
                };
                let is_free = is_down
                    && call
                        .messages
                        .iter()
                        .all(|message| self.messages.get(&message.0).is_some_and(is_repeatable));
                if is_free || allowance > 0 {
                    (allowance, call.cancelled) = (allowance - u32::from(!is_free), true);
                    let cancellations = call
                        .messages
                        .iter()
                        .map(|(id, attempt)| Action::Cancel { id: *id, attempt: *attempt });
                    self.actions.extend(cancellations);
                }
            }
        }
    }
}
