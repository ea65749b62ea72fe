//! Which message goes next, and to which endpoint.

use super::*;

impl DeliveryPolicy {
    pub(super) fn value(&self, class: usize, age: f64) -> f64 {
        let c = &self.settings.classes[class];
        let (aim, deadline) = (c.aim as f64, c.deadline as f64);
        let share = match self.settings.decay {
            _ if age <= aim => 1.0,
            _ if age > deadline => 0.0,
            Decay::Linear => 1.0 - (1.0 - c.late_value) * (age - aim) / (deadline - aim).max(1.0),
            Decay::Halving => (0.5f64).powf((age - aim) / aim.max(1.0)).max(c.late_value),
        };
        c.worth * share
    }

    /// What a queue sends next, by its worth: the oldest that can still be in time, and where none can be the
    /// newest. Oldest first would hand a backlog's delay on to all that comes after, in time by itself.
    /// What a restart found untried goes before all of its class, what ends first at the head: it is to be
    /// tried, and has lost the time of the restart. Harms newer ones, by as many calls as it held.
    pub(super) fn candidate(
        &self, (class, _, found): Queue, set: &BTreeSet<(Micros, MessageId)>,
    ) -> Option<(f64, MessageId)> {
        let Class { aim, worth, .. } = self.settings.classes[class];
        let in_time = set.range((self.now.saturating_sub(aim), 0)..).next();
        let (born, id) = if found { set.first()? } else { in_time.or(set.last())? };
        let age = self.now.saturating_sub(*born) as f64;
        let first = if found { worth } else { 0.0 };
        Some((first + self.value(class, age) + 1e-6 * age / aim.max(1) as f64, *id))
    }

    /// Whether a class is served far less well than all are. By worth alone one of little worth would get
    /// nothing where another always waits. Harms what is worth more, by no more than that part.
    pub(super) fn is_behind(&self, class: usize) -> bool {
        let (arrived, delivered) = (self.arrived.iter().sum::<f64>(), self.delivered.iter().sum::<f64>());
        self.delivered[class] * arrived < LEAST_SERVED * delivered * self.arrived[class]
    }

    /// The best endpoint of a route: not one that failed, few calls in flight, used lately.
    pub(super) fn endpoint(&self, route: usize, zone: Option<u32>) -> Option<TargetId> {
        let l = &self.routes[route];
        let all = l.targets.iter().map(|id| (id, &self.targets[id]));
        let open = all.filter(|(id, t)| self.takes_calls(**id, t) && t.away_until <= self.now);
        let usable = open.filter(|(_, t)| zone.is_none_or(|z| z == t.zone));
        let patience = self.patience(l);
        let best = usable.min_by_key(|(id, t)| {
            // An endpoint that sits on a call past all that is usual is silent, though the others answer.
            let stuck = |c: &Call| c.target == **id && (self.now - c.sent) as f64 > patience;
            let avoid = t.avoid_until > self.now || l.calls.values().any(stuck);
            // Among the idlest, the one used last: its connections are the likeliest to be open.
            let calls = l.calls.values().filter(|c| c.target == **id).count();
            (avoid, calls, self.now - t.last_used.min(self.now))
        });
        best.map(|(id, _)| *id)
    }

    /// The best send for one destination now: worth, message, route, endpoint, half-open probe.
    pub(super) fn best_send(&mut self, dest: DestinationId) -> Option<Pick> {
        let d = self.destinations.get(dest)?;
        let cap = ((f64::from(self.settings.slots) * DESTINATION_SHARE) as u32).max(1);
        let calls: usize = d.routes.iter().map(|l| self.routes[*l].calls.len()).sum();
        if calls as u32 >= cap || d.ready.is_empty() {
            return None;
        }
        let mut open = Vec::new();
        for route in d.routes.clone() {
            match self.can_call(route, cap) {
                Ok(half_open) => open.push((route, half_open)),
                Err(at) => self.wake_at = self.wake_at.min(at),
            }
        }
        let d = self.destinations.get(dest)?;
        let fee_of = |route: usize| self.routes[route].fee;
        let usable = |l: &&usize| {
            self.routes[**l].breaker == CircuitBreaker::Closed && self.endpoint(**l, None).is_some()
        };
        let healthy = d.routes.iter().filter(usable);
        let least_fee = healthy.map(|l| fee_of(*l)).fold(f64::INFINITY, f64::min);
        let worth =
            self.settings.classes.iter().map(|c| c.worth).sum::<f64>() / self.settings.classes.len() as f64;
        let most_worth = self.settings.classes.iter().map(|c| c.worth).fold(0.0, f64::max);
        let mut best: Option<Pick> = None;
        for (queue, set) in &d.ready {
            let (class, bound, _) = queue;
            let Some((worth_now, id)) = self.candidate(*queue, set) else { continue };
            let m = &self.messages[&id];
            let (age, aim) = (self.now.saturating_sub(m.born) as f64, self.settings.classes[*class].aim);
            let urgency = self.value(*class, age) - self.value(*class, age + aim as f64);
            let unsafe_now = self.settings.classes[*class].effect == Effect::Unsafe;
            let mut choice: Option<((f64, f64), usize, TargetId, bool)> = None;
            for (route, half_open) in &open {
                let l = &self.routes[*route];
                // Unsafe messages are lost by an attempt without an answer: they stay away from what fails
                // or is silent, but make a half-open probe when nothing else has for an aim.
                let risky = l.may_have_run && (*half_open || l.failing > LOSSY);
                let lately = l.failing > LOSSY && self.now < l.judged + aim;
                if unsafe_now && risky && (self.now < m.born + aim || lately) {
                    continue;
                }
                let over = fee_of(*route) - least_fee;
                if over > 0.0 && urgency < over * worth && self.now < m.born + aim / 2 {
                    continue;
                }
                let zone = bound.checked_sub(1);
                let Some(target) = self.endpoint(*route, zone) else { continue };
                let busy = l.calls.len() as f64 / l.window.max(1.0) + f64::from(u8::from(*half_open));
                let load = (over.max(0.0), busy);
                if choice.is_none_or(|c| load < c.0) {
                    choice = Some((load, *route, target, *half_open));
                }
            }
            if let Some((_, route, target, half_open)) = choice {
                let last = if half_open && unsafe_now { self.settings.classes[*class].worth } else { 0.0 };
                let first = if self.is_behind(*class) { most_worth } else { 0.0 };
                let rank = first + worth_now - last;
                if best.is_none_or(|b| rank > b.0) {
                    best = Some((rank, id, route, target, half_open));
                }
            }
        }
        best
    }
}
