//! Messages: taken on, and ended.

use super::*;

impl DeliveryPolicy {
    pub(super) fn request(&mut self, id: MessageId, mut m: Message) {
        if self.messages.contains_key(&id) {
            return;
        }
        let timely = m.expires > self.now || m.ran.is_some();
        let Some(c) = self.settings.classes.get(m.class).filter(|_| timely) else {
            return self.out.push(Action::Refuse { id, retry_after: 0 });
        };
        m.born = m.expires.saturating_sub(c.deadline);
        self.arrived[m.class] += 1.0;
        m.order_key *= u64::from(c.in_order);
        let repeatable = c.retry_safety != RetrySafety::Unsafe;
        self.hold(id, m, repeatable);
        self.enqueue(id);
    }

    /// Takes a message over from before a restart. Calls that it cut off may run on: their key rests. What
    /// may not be sent again, as unsafe ones that may have run, ends at once. None makes room for another: it
    /// was taken on, and what comes new can go elsewhere.
    pub(super) fn restored(&mut self, id: MessageId, mut m: Message) {
        m.found = m.attempts.is_empty();
        let in_order = self.settings.classes.get(m.class).is_some_and(|c| c.in_order);
        if in_order && m.order_key != 0 && m.ran.is_some() {
            self.order_queues.entry(m.order_key).or_default().1 =
                self.now + self.settings.contract.order_pause;
        }
        self.activate(m.destination);
        let d = self.destinations.get(m.destination).filter(|_| m.found);
        for route in d.map(|d| d.routes.clone()).unwrap_or_default() {
            self.call_in_time(route, m.expires);
        }
        self.request(id, m);
        if self.messages.get(&id).is_some_and(|m| !self.allowed(m).0) {
            self.give_up(id);
        }
    }

    /// Guards the room against a backlog for one destination, whatever holds it up, that would turn all else
    /// away: of the longest queue the message of least worth goes. Harms a backlog about to move.
    pub(super) fn make_room(&mut self) {
        let room = (f64::from(self.settings.max_held) * KEEP_FREE).ceil() as usize + 1;
        if self.messages.len() + room <= self.settings.max_held as usize {
            return;
        }
        let longest = self.destinations.ready().map(|(_, d)| d).max_by_key(|d| d.queued_since());
        let since = longest.into_iter().flat_map(|d| &d.ready).filter(|((.., found), _)| !found);
        let oldest = since.filter_map(|((c, ..), set)| {
            let (born, id) = set.first()?;
            Some((self.settings.value(*c, self.now.saturating_sub(*born) as f64), *id))
        });
        if let Some((_, id)) = oldest.min_by(|a, b| a.0.total_cmp(&b.0)) {
            self.give_up(id);
        }
    }

    // A little before its time, so that the answer counts.
    pub(crate) fn give_up_at(&self, expires: Micros) -> Micros {
        expires.saturating_sub(2 * self.settings.tick)
    }

    /// Whether its time is over by the time that an end decided now is carried out.
    pub(super) fn is_due(&self, m: &Message) -> bool {
        self.give_up_at(m.expires) <= self.now + self.late
    }

    /// The one place that says what may follow for a message, from its class and its attempts' outcomes:
    /// whether it may be sent, the zone (plus one) that binds it, and whether it may be refused.
    pub(crate) fn allowed(&self, m: &Message) -> (bool, u32, bool) {
        let c = &self.settings.classes[m.class];
        let out = m.attempts.iter().any(|a| a.done.is_none());
        let tries_left = m.attempts.len() < self.settings.max_attempts.max(1) as usize;
        let open = !m.over && !out && tries_left && m.expires > self.now;
        let Some((_, zone)) = m.ran else { return (open, 0, !m.over) };
        match c.retry_safety {
            RetrySafety::Repeatable => (open, 0, !m.over),
            RetrySafety::Keyed => {
                let all = c.deduplication_scope == DeduplicationScope::All;
                (open && self.in_window(m), if all { 0 } else { zone + 1 }, !m.over && all)
            }
            RetrySafety::Unsafe => (false, 0, false),
        }
    }

    /// Whether a repeat, where one has to come within a window of the first attempt that may have run, would.
    pub(super) fn in_window(&self, m: &Message) -> bool {
        let c = &self.settings.classes[m.class];
        c.retry_safety != RetrySafety::Keyed
            || m.ran.is_none_or(|(at, _)| self.now + self.settings.tick < at + c.deduplication_window)
    }

    /// Ends a message that is not (or no longer) out: refused where that is true to the client and its time
    /// is not over, else failed.
    pub(super) fn give_up(&mut self, id: MessageId) {
        let Some(m) = self.messages.get(&id).filter(|m| !m.over) else { return };
        let refuse = self.allowed(m).2 && m.expires > self.now;
        let retry_after = self.retry_after(m.destination);
        self.out.push(if refuse { Action::Refuse { id, retry_after } } else { Action::Fail { id } });
        self.finish(id);
    }

    /// How long a client should stay away: until its destination takes calls and has served its queue.
    pub fn retry_after(&self, destination: DestinationId) -> Micros {
        let d = self.destinations.get(destination).filter(|_| self.settings.may_send_retry_after);
        let served_in = |l: &Route, queued: usize| (queued as f64 / l.rate.max(1.0) * SECOND) as Micros;
        let wait = |l: &Route, queued| l.opens_at().saturating_sub(self.now) + served_in(l, queued);
        let waits = d.into_iter().flat_map(|d| d.routes.iter().map(|l| wait(&self.routes[*l], d.queued())));
        waits.min().unwrap_or(0).min(self.settings.max_retry_after)
    }
}
