//! Which message goes next, and to which endpoint.

use super::*;

/// A way for one message: its load (the least is taken), route, endpoint, and whether it is a probe.
type Choice = ((bool, f64, f64), usize, TargetId, bool);

impl DeliveryPolicy {
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
        Some((first + self.settings.value(class, age) + 1e-6 * age / aim.max(1) as f64, *id))
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

    /// Whether an unsafe message has to wait for a route that fails or is silent, where an attempt without an
    /// answer loses it. It waits an aim, and longer while calls still fail, but only for what else can find
    /// out whether the route works: a message that may be repeated, or the half-open probe that is out. Where
    /// nothing else will, it goes itself. Harms the few that find a route out.
    fn is_withheld(&self, m: &Message, d: &Destination, route: usize, half_open: bool) -> bool {
        let (l, aim) = (&self.routes[route], self.settings.classes[m.class].aim);
        let patience = self.patience(l);
        let probes = |c: &Call| c.half_open && (self.now - c.sent) as f64 <= patience;
        if half_open && l.calls.values().any(probes) {
            return true;
        }
        let lately = l.failing > LOSSY && self.now < l.judged + aim;
        (self.now < m.born + aim || lately) && self.others_try(d, l, aim)
    }

    /// Whether a message that may be repeated stands ready for a route, is out on it, or is to come within an
    /// aim by what has come lately.
    fn others_try(&self, d: &Destination, l: &Route, aim: Micros) -> bool {
        let repeatable = |class: usize| self.settings.classes[class].retry_safety != RetrySafety::Unsafe;
        let to_come = l.recent_repeatable / self.averaging_window.max(1.0) * aim as f64 / SECOND;
        let may_repeat = |id: &MessageId| self.messages.get(id).is_some_and(|m| repeatable(m.class));
        let out = |c: &Call| c.messages.iter().any(|(id, _)| may_repeat(id));
        to_come >= 1.0 || d.ready.keys().any(|(class, ..)| repeatable(*class)) || l.calls.values().any(out)
    }

    /// When the first route of a destination opens, if told waits or open breakers shut all. None while the
    /// process stops: what may be sent then depends on the time left.
    fn waits_until(&self, d: &Destination) -> Option<Micros> {
        let opens_at = d.routes.iter().map(|route| self.routes[*route].opens_at()).min()?;
        (opens_at > self.now && self.stopping.is_none()).then_some(opens_at)
    }

    /// The best send for one destination now: worth, message, route, endpoint, half-open probe.
    pub(super) fn best_send(&mut self, dest: DestinationId) -> Option<Pick> {
        let d = self.destinations.get(dest)?;
        let cap = ((f64::from(self.settings.slots) * DESTINATION_SHARE) as u32).max(1);
        let calls: usize = d.routes.iter().map(|l| self.routes[*l].calls.len()).sum();
        if calls as u32 >= cap || d.ready.is_empty() {
            return None;
        }
        if let Some(until) = self.waits_until(d) {
            self.wake_at = self.wake_at.min(until);
            self.destinations.wait(dest, until);
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
        let (worth, most_worth) = (self.settings.mean_worth(), self.settings.most_worth());
        let mut best: Option<Pick> = None;
        for (queue, set) in &d.ready {
            let (class, bound, _) = queue;
            let Some((worth_now, id)) = self.candidate(*queue, set) else { continue };
            let m = &self.messages[&id];
            let (age, aim) = (self.now.saturating_sub(m.born) as f64, self.settings.classes[*class].aim);
            let urgency = self.settings.value(*class, age) - self.settings.value(*class, age + aim as f64);
            let unsafe_now = self.settings.classes[*class].retry_safety == RetrySafety::Unsafe;
            let mut choice: Option<Choice> = None;
            for (route, half_open) in &open {
                let l = &self.routes[*route];
                let risky = unsafe_now && l.may_have_run && (*half_open || l.failing > LOSSY);
                if risky && self.is_withheld(m, d, *route, *half_open) {
                    continue;
                }
                let over = fee_of(*route) - least_fee;
                if over > 0.0 && urgency < over * worth && self.now < m.born + aim / 2 {
                    continue;
                }
                let zone = bound.checked_sub(1);
                let Some(target) = self.endpoint(*route, zone) else { continue };
                let busy = l.calls.len() as f64 / l.window.max(1.0) + f64::from(u8::from(*half_open));
                let load = (risky, over.max(0.0), busy);
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
