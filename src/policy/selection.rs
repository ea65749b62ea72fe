//! Selection of the next message to send, and of the endpoint that it goes to.

use super::*;

/// A possible route for a message: its load (the least is chosen), index, endpoint, and whether the call is a
/// half-open probe.
type RouteChoice = ((bool, f64, f64), usize, TargetId, bool);

impl DeliveryPolicy {
    /// The message that a queue sends next, with its worth: the oldest one that can still be delivered within
    /// its aim, or the newest one if none can. If the oldest always went first, a backlog would pass its
    /// delay on to all later messages that would be in time by themselves. Messages restored unsent after a
    /// restart go before all others of their class, the oldest first: each of them is to be tried, and has
    /// lost the time that the restart took. The cost: newer messages wait for as many calls as messages were
    /// restored.
    pub(super) fn next_in_queue(
        &self, (class, _, restored_unsent): QueueKey, messages: &BTreeSet<(Micros, MessageId)>,
    ) -> Option<(f64, MessageId)> {
        let Class { aim, worth, .. } = self.settings.classes[class];
        let in_time = messages.range((self.now.saturating_sub(aim), 0)..).next();
        let (created_at, id) =
            if restored_unsent { messages.first()? } else { in_time.or(messages.last())? };
        let age = self.now.saturating_sub(*created_at) as f64;
        let priority = if restored_unsent { worth } else { 0.0 };
        Some((priority + self.settings.worth_at_age(class, age) + 1e-6 * age / aim.max(1) as f64, *id))
    }

    /// Whether a class is delivered far less often than all classes together. By worth alone, a class of
    /// little worth would get no calls where messages of another class always wait. The cost: classes of more
    /// worth lose up to that share of the calls.
    pub(super) fn is_behind(&self, class: usize) -> bool {
        let (arrived, delivered) = (self.arrived.iter().sum::<f64>(), self.delivered.iter().sum::<f64>());
        self.delivered[class] * arrived < MIN_CLASS_DELIVERY_SHARE * delivered * self.arrived[class]
    }

    /// The best endpoint of a route: preferably one that has not failed, has the fewest calls in flight, and
    /// was used most recently.
    pub(super) fn best_endpoint(&self, route_index: usize, zone: Option<u32>) -> Option<TargetId> {
        let route = &self.routes[route_index];
        let all = route.targets.iter().map(|id| (id, &self.targets[id]));
        let accepting = all.filter(|(id, endpoint)| {
            self.accepts_calls(**id, endpoint) && endpoint.next_connection_at <= self.now
        });
        let usable = accepting.filter(|(_, endpoint)| zone.is_none_or(|zone| zone == endpoint.zone));
        let overdue_age = self.overdue_age(route);
        let best = usable.min_by_key(|(id, endpoint)| {
            // An endpoint with an overdue call is silent, even if the others respond.
            let is_overdue =
                |call: &Call| call.target == **id && (self.now - call.sent_at) as f64 > overdue_age;
            let is_avoided = endpoint.ejected_until > self.now || route.calls.values().any(is_overdue);
            // Of equally idle endpoints the one used last: it is the likeliest to have an open connection.
            let calls = route.calls.values().filter(|call| call.target == **id).count();
            (is_avoided, calls, self.now - endpoint.last_used_at.min(self.now))
        });
        best.map(|(id, _)| *id)
    }

    /// Whether an unsafe message has to wait because the route fails or is silent: an attempt without a
    /// response would lose the message. It waits for an aim, and longer while calls still fail, but only if
    /// something else can find out whether the route works: a message that may be repeated, or a half-open
    /// probe in flight. Otherwise it is sent itself. The cost: the few messages that find out that a route is
    /// down are lost.
    fn is_withheld(
        &self, message: &Message, destination: &Destination, route_index: usize, half_open: bool,
    ) -> bool {
        let (route, aim) = (&self.routes[route_index], self.settings.classes[message.class].aim);
        let overdue_age = self.overdue_age(route);
        let is_probing = |call: &Call| call.half_open && (self.now - call.sent_at) as f64 <= overdue_age;
        if half_open && route.calls.values().any(is_probing) {
            return true;
        }
        let failed_recently =
            route.failure_share > LOSSY_FAILURE_SHARE && self.now < route.last_result_at + aim;
        (self.now < message.created_at + aim || failed_recently)
            && self.others_will_try(destination, route, aim)
    }

    /// Whether a message that may be repeated is ready for a route or in flight on it, or is expected within
    /// an aim by the recent request rate.
    fn others_will_try(&self, destination: &Destination, route: &Route, aim: Micros) -> bool {
        let is_repeatable = |class: usize| self.settings.classes[class].retry_safety != RetrySafety::Unsafe;
        let expected =
            route.recent_repeatable / self.averaging_window.max(1.0) * aim as f64 / MICROS_PER_SECOND;
        let may_repeat =
            |id: &MessageId| self.messages.get(id).is_some_and(|message| is_repeatable(message.class));
        let in_flight = |call: &Call| call.messages.iter().any(|(id, _)| may_repeat(id));
        expected >= 1.0
            || destination.queues.keys().any(|(class, ..)| is_repeatable(*class))
            || route.calls.values().any(in_flight)
    }

    /// When the first route of a destination can take calls, if pauses or open breakers block all of its
    /// routes now. None once the process shuts down, since what may be sent then depends on the time left.
    fn blocked_until(&self, destination: &Destination) -> Option<Micros> {
        let next_call_at =
            destination.routes.iter().map(|route_index| self.routes[*route_index].next_call_at()).min()?;
        (next_call_at > self.now && self.shutdown_at.is_none()).then_some(next_call_at)
    }

    /// The best send for a destination now, if any.
    pub(super) fn best_send(&mut self, destination_id: DestinationId) -> Option<SendCandidate> {
        let destination = self.destinations.get(destination_id)?;
        let max_calls = ((f64::from(self.settings.slots) * MAX_SLOT_SHARE) as u32).max(1);
        let calls: usize =
            destination.routes.iter().map(|route_index| self.routes[*route_index].calls.len()).sum();
        if calls as u32 >= max_calls || destination.queues.is_empty() {
            return None;
        }
        if let Some(until) = self.blocked_until(destination) {
            self.wake_at = self.wake_at.min(until);
            self.destinations.block(destination_id, until);
            return None;
        }
        let mut available = Vec::new();
        for route_index in destination.routes.clone() {
            match self.can_call(route_index, max_calls) {
                Ok(half_open) => available.push((route_index, half_open)),
                Err(at) => self.wake_at = self.wake_at.min(at),
            }
        }
        let destination = self.destinations.get(destination_id)?;
        let fee_of = |route_index: usize| self.routes[route_index].fee;
        let is_healthy = |route_index: &&usize| {
            self.routes[**route_index].breaker == CircuitBreaker::Closed
                && self.best_endpoint(**route_index, None).is_some()
        };
        let healthy = destination.routes.iter().filter(is_healthy);
        let least_fee = healthy.map(|route_index| fee_of(*route_index)).fold(f64::INFINITY, f64::min);
        let (mean_worth, max_worth) = (self.settings.mean_worth(), self.settings.max_worth());
        let mut best: Option<SendCandidate> = None;
        for (queue, messages) in &destination.queues {
            let (class, bound_zone, _) = queue;
            let Some((worth_now, id)) = self.next_in_queue(*queue, messages) else { continue };
            let message = &self.messages[&id];
            let (age, aim) =
                (self.now.saturating_sub(message.created_at) as f64, self.settings.classes[*class].aim);
            // The worth that is lost if the message is delayed by an aim.
            let urgency = self.settings.worth_at_age(*class, age)
                - self.settings.worth_at_age(*class, age + aim as f64);
            let is_unsafe = self.settings.classes[*class].retry_safety == RetrySafety::Unsafe;
            let mut choice: Option<RouteChoice> = None;
            for (route_index, half_open) in &available {
                let route = &self.routes[*route_index];
                let is_risky = is_unsafe
                    && route.failure_may_have_run
                    && (*half_open || route.failure_share > LOSSY_FAILURE_SHARE);
                if is_risky && self.is_withheld(message, destination, *route_index, *half_open) {
                    continue;
                }
                let extra_fee = fee_of(*route_index) - least_fee;
                if extra_fee > 0.0
                    && urgency < extra_fee * mean_worth
                    && self.now < message.created_at + aim / 2
                {
                    continue;
                }
                let zone = bound_zone.checked_sub(1);
                let Some(target) = self.best_endpoint(*route_index, zone) else { continue };
                let utilization =
                    route.calls.len() as f64 / route.window.max(1.0) + f64::from(u8::from(*half_open));
                let load = (is_risky, extra_fee.max(0.0), utilization);
                if choice.is_none_or(|choice| load < choice.0) {
                    choice = Some((load, *route_index, target, *half_open));
                }
            }
            if let Some((_, route_index, target, half_open)) = choice {
                // Half-open probes carry unsafe messages last, since those may be lost.
                let penalty = if half_open && is_unsafe { self.settings.classes[*class].worth } else { 0.0 };
                let priority = if self.is_behind(*class) { max_worth } else { 0.0 };
                let rank = priority + worth_now - penalty;
                if best.is_none_or(|best| rank > best.0) {
                    best = Some((rank, id, route_index, target, half_open));
                }
            }
        }
        best
    }
}
