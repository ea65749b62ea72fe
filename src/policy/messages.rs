//! Accepts, restores and gives up messages, and decides what is allowed next for a message.

use super::*;

impl DeliveryPolicy {
    pub(super) fn accept_message(&mut self, id: MessageId, mut message: Message) {
        if self.messages.contains_key(&id) {
            return;
        }
        let is_timely = message.expires > self.now || message.first_run.is_some();
        let Some(class) = self.settings.classes.get(message.class).filter(|_| is_timely) else {
            return self.actions.push(Action::Refuse { id, retry_after: 0 });
        };
        message.created_at = message.expires.saturating_sub(class.deadline);
        self.arrived[message.class] += 1.0;
        message.order_key *= u64::from(class.in_order);
        let repeatable = class.retry_safety != RetrySafety::Unsafe;
        self.hold(id, message, repeatable);
        self.enqueue(id);
    }

    /// Restores a message that was accepted before a restart. Calls that the restart cut off may still be
    /// executed, so the order key pauses. A message that may not be sent again, such as an unsafe one that
    /// may have run, ends at once. No restored message is given up to make room for others: it was accepted,
    /// whereas a new message can go to another replica.
    pub(super) fn restore_message(&mut self, id: MessageId, mut message: Message) {
        message.restored_unsent = message.attempts.is_empty();
        let in_order = self.settings.classes.get(message.class).is_some_and(|class| class.in_order);
        if in_order && message.order_key != 0 && message.first_run.is_some() {
            self.order_key_queues.entry(message.order_key).or_default().1 =
                self.now + self.settings.contract.order_pause;
        }
        self.activate(message.destination);
        let destination = self.destinations.get(message.destination).filter(|_| message.restored_unsent);
        for route_index in destination.map(|destination| destination.routes.clone()).unwrap_or_default() {
            self.reserve_call_before(route_index, message.expires);
        }
        self.accept_message(id, message);
        if self.messages.get(&id).is_some_and(|message| !self.allowed(message).0) {
            self.give_up(id);
        }
    }

    /// When there is little room left for new messages, gives up a message for the destination with the most
    /// queued messages, without counting restored ones: of the oldest message of each queue, the one of least
    /// worth. So a backlog for one destination, whatever its cause, does not keep out the messages for all
    /// others. The cost: it also hits a backlog that was about to be sent.
    pub(super) fn make_room(&mut self) {
        let room = (f64::from(self.settings.max_held) * FREE_MESSAGE_SHARE).ceil() as usize + 1;
        if self.messages.len() + room <= self.settings.max_held as usize {
            return;
        }
        let largest_backlog = self
            .destinations
            .ready()
            .map(|(_, destination)| destination)
            .max_by_key(|destination| destination.queued_without_restored());
        let without_restored = largest_backlog
            .into_iter()
            .flat_map(|destination| &destination.queues)
            .filter(|((.., restored_unsent), _)| !restored_unsent);
        let oldest = without_restored.filter_map(|((class, ..), messages)| {
            let (created_at, id) = messages.first()?;
            Some((self.settings.worth_at_age(*class, self.now.saturating_sub(*created_at) as f64), *id))
        });
        if let Some((_, id)) = oldest.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.give_up(id);
        }
    }

    /// When a message is given up: a little before it expires, so that the response is still in time.
    pub(crate) fn give_up_at(&self, expires: Micros) -> Micros {
        expires.saturating_sub(2 * self.settings.tick)
    }

    /// Whether the time of a message will be over by the time that a decision made now is carried out.
    pub(super) fn is_due(&self, message: &Message) -> bool {
        self.give_up_at(message.expires) <= self.now + self.processing_lag
    }

    /// What is allowed next for a message by its class and the outcomes of its attempts: whether it may be
    /// sent, the zone (plus one, 0 for any) to which it is bound, and whether it may be refused. No other
    /// code decides this.
    pub(crate) fn allowed(&self, message: &Message) -> (bool, u32, bool) {
        let class = &self.settings.classes[message.class];
        let in_flight = message.attempts.iter().any(|attempt| attempt.outcome.is_none());
        let attempts_left = message.attempts.len() < self.settings.max_attempts.max(1) as usize;
        let may_send = !message.ended && !in_flight && attempts_left && message.expires > self.now;
        let Some((_, zone)) = message.first_run else { return (may_send, 0, !message.ended) };
        match class.retry_safety {
            RetrySafety::Repeatable => (may_send, 0, !message.ended),
            RetrySafety::Keyed => {
                let all = class.deduplication_scope == DeduplicationScope::All;
                (
                    may_send && self.in_deduplication_window(message),
                    if all { 0 } else { zone + 1 },
                    !message.ended && all,
                )
            }
            RetrySafety::Unsafe => (false, 0, false),
        }
    }

    /// Whether a retry sent now would arrive while its destination still deduplicates. Always true for
    /// classes other than keyed ones.
    pub(super) fn in_deduplication_window(&self, message: &Message) -> bool {
        let class = &self.settings.classes[message.class];
        class.retry_safety != RetrySafety::Keyed
            || message
                .first_run
                .is_none_or(|(at, _)| self.now + self.settings.tick < at + class.deduplication_window)
    }

    /// Ends a message that is not in flight: refuses it if the client may safely submit it again and it has
    /// not expired, otherwise fails it.
    pub(super) fn give_up(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|message| !message.ended) else { return };
        let refuse = self.allowed(message).2 && message.expires > self.now;
        let retry_after = self.retry_after(message.destination);
        self.actions.push(if refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.end_message(id);
    }

    /// How long a refused client should wait: until the destination accepts calls and its queue has been
    /// served. 0 where clients are not to be told.
    pub fn retry_after(&self, destination: DestinationId) -> Micros {
        let destination = self.destinations.get(destination).filter(|_| self.settings.may_send_retry_after);
        let served_in = |route: &Route, queued: usize| {
            (queued as f64 / route.served_rate.max(1.0) * MICROS_PER_SECOND) as Micros
        };
        let wait =
            |route: &Route, queued| route.next_call_at().saturating_sub(self.now) + served_in(route, queued);
        let waits = destination.into_iter().flat_map(|destination| {
            destination
                .routes
                .iter()
                .map(|route_index| wait(&self.routes[*route_index], destination.queued()))
        });
        waits.min().unwrap_or(0).min(self.settings.max_retry_after)
    }
}
