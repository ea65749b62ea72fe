//! Calls: begun, filled with further messages, and called off.

use super::*;

impl DeliveryPolicy {
    /// Whether a call whose connection took its time may be written still: its endpoint may drain by now,
    /// its destination have told a wait, or the window for a repeat be over.
    pub fn may_still_send(&mut self, now: Micros, id: MessageId, target: TargetId) -> bool {
        self.now = now;
        let listed = self.targets.get(&target).filter(|t| t.state == EndpointState::Ready);
        let ready = listed.is_some_and(|t| self.routes[t.route].wait_until <= now);
        let timely = self.messages.get(&id).is_some_and(|m| !m.over && self.in_window(m));
        ready && timely && !self.excluded.contains(&target)
    }

    /// Carries out one send; `call` joins the call that is being filled.
    pub(super) fn send(
        &mut self, id: MessageId, route: usize, target: TargetId, half_open: bool, call: Option<u64>,
    ) -> u64 {
        let (jitter, longest) = (1.0 + TAU_JITTER * self.random.next(), self.settings.least_aim() / 2.0);
        self.dequeue(id);
        let probe_interval = self.probe_interval(route, self.now);
        let call = call.unwrap_or_else(|| {
            self.next_call += 1;
            self.calls_out += 1;
            let l = &mut self.routes[route];
            l.tokens -= 1.0;
            l.calls.insert(self.next_call, Call { target, sent: self.now, half_open, ..Call::default() });
            if let CircuitBreaker::Open { backoff, .. } = l.breaker {
                let next = self.now + (backoff.max(probe_interval) * jitter) as Micros;
                l.breaker = CircuitBreaker::Open { next, backoff: (backoff * PROBE_BACKOFF).min(longest) };
            }
            self.next_call
        });
        let l = &mut self.routes[route];
        let zone = self.targets.get_mut(&target).map_or(0, |t| {
            let rest = if t.last_used > t.ended { 0 } else { self.now.saturating_sub(t.ended) };
            // After a longer one the endpoint has closed it.
            t.rests = if rest < self.settings.connection_idle_timeout { t.rests + rest } else { 0 };
            t.last_used = self.now;
            t.zone
        });
        let Some(m) = self.messages.get_mut(&id) else { return call };
        let c = &self.settings.classes[m.class];
        let tau = (l.times.tau * jitter) as Micros;
        let again = match c.retry_safety {
            RetrySafety::Repeatable => true,
            RetrySafety::Keyed => {
                self.now + tau + 2 * self.settings.tick
                    < m.ran.map_or(self.now, |r| r.0) + c.deduplication_window
            }
            RetrySafety::Unsafe => false,
        };
        let last = m.attempts.len() + 1 >= self.settings.max_attempts as usize;
        // The lesser of τ and the time left; the time left where no resend may follow.
        let end = m.expires.saturating_sub(self.late).max(self.now);
        let planned =
            again && !last && l.times.tau > 0.0 && (l.budget > 0.0 || half_open) && self.now + tau < end;
        let until = if planned { self.now + tau } else { end };
        m.ran.get_or_insert((self.now, zone));
        if let Some(c) = l.calls.get_mut(&call) {
            c.messages.push((id, m.attempts.len() as u32));
        }
        m.attempts.push(Attempt { target, call, planned, done: None });
        self.out.push(Action::Send { id, target, until });
        call
    }

    /// Fills a call further, where the destination takes several messages in one. A probe goes alone.
    pub(super) fn fill(&mut self, dest: DestinationId, route: usize, target: TargetId, call: u64) {
        let batch = self.settings.batch_by_kind.get(self.routes[route].kind).copied().unwrap_or(1);
        let zone = self.targets.get(&target).map_or(0, |t| t.zone + 1);
        for _ in 1..batch {
            let Some(d) = self.destinations.get(dest) else { return };
            let open = d.ready.iter().filter(|((_, z, _), _)| *z == 0 || *z == zone);
            let next = open.filter_map(|(queue, set)| self.candidate(*queue, set));
            let Some((_, id)) = next.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
            let (m, l) = (&self.messages[&id], &self.routes[route]);
            let unsafe_now = self.settings.classes[m.class].retry_safety == RetrySafety::Unsafe;
            if !self.allowed(m).0 || (unsafe_now && l.may_have_run && l.failing > LOSSY) {
                return;
            }
            self.send(id, route, target, false, Some(call));
        }
    }

    /// Takes back slots from calls past all that is usual, whatever leaves them without an end, so that one
    /// silent endpoint does not hold up the others. Where the destination is out, what may be repeated at
    /// will goes at once; the rest a few at a time while a send is blocked. Harms very late answers.
    pub(super) fn release(&mut self, called: &[usize]) {
        let mut few = if self.blocked { self.settings.slots.div_ceil(16) } else { 0 };
        for &route in if self.settings.may_cancel { called } else { &[] } {
            let patience = self.patience(&self.routes[route]);
            let silent = self.routes[route].breaker.is_open() && self.routes[route].may_have_run;
            let old = |c: &&mut Call| !c.given_up && (self.now - c.sent) as f64 > patience;
            for c in self.routes[route].calls.values_mut().filter(old) {
                let repeatable =
                    |m: &Message| self.settings.classes[m.class].retry_safety == RetrySafety::Repeatable;
                let free =
                    silent && c.messages.iter().all(|m| self.messages.get(&m.0).is_some_and(repeatable));
                if free || few > 0 {
                    (few, c.given_up) = (few - u32::from(!free), true);
                    let off = c.messages.iter().map(|(id, n)| Action::Cancel { id: *id, attempt: *n });
                    self.out.extend(off);
                }
            }
        }
    }
}
