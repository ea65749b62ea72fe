//! Rate limits, probe intervals and slow starts, each for one of many replicas that share the destinations
//! without coordination.

use super::*;

impl DeliveryPolicy {
    /// Messages a second that arrive at this replica for a route.
    pub(super) fn request_rate(&self, route_index: usize) -> f64 {
        self.routes[route_index].recent_requests / self.averaging_window.max(1.0)
    }

    /// Interval between the calls of one replica at which the calls of all replicas together do a cold
    /// destination no harm, in microseconds.
    pub(super) fn safe_call_interval(&self) -> f64 {
        f64::from(self.settings.replicas.max(1)) * self.settings.contract.overload_duration as f64
            / SAFE_CALLS_IN_OVERLOAD_DURATION
    }

    /// Least interval between attempts at a route with an incident, in microseconds. It protects destinations
    /// that are down, closed or cold from many replicas that each try rarely. As in the slow start, each
    /// replica keeps to its part of the load that would overload the destination. The interval is at most the
    /// one at which the calls of all replicas do no harm, and at most a multiple of the incident's age: since
    /// the incident began, each message has made at most one replica try.
    pub(super) fn probe_interval(&self, route_index: usize, at: Micros) -> f64 {
        // In a small fleet the replica's own request rate is the best measure of its part, in a large one the
        // equal share is.
        let replicas = f64::from(self.settings.replicas.max(2));
        let equal_share = self.routes[route_index].known_limit / replicas * (1.0 - 2.0 / replicas);
        let contract = &self.settings.contract;
        let capacity = self.request_rate(route_index).max(equal_share)
            * contract.cold_capacity_share
            * contract.overload_factor.max(1.0);
        let safe_rate = capacity * RAMP_SAFETY_SHARE / MICROS_PER_SECOND;
        let incident_age = at - self.routes[route_index].incident_since.unwrap_or(at).min(at);
        let ages = (PROBE_INTERVAL_INCIDENT_AGES * replicas / 4.0)
            .clamp(PROBE_INTERVAL_INCIDENT_AGES, MAX_PROBE_INTERVAL_INCIDENT_AGES);
        (1.0 / safe_rate.max(1e-12)).min(self.safe_call_interval()).min(ages * incident_age as f64)
    }

    /// Calls a second that this replica may send to a destination that has been recovering from cold since
    /// `since`: its part of a safe share of the load that would overload the destination. That load rises
    /// over the ramp. The cost: a destination that was not cold is under-used.
    pub(crate) fn cold_rate(&self, route_index: usize, since: Micros) -> f64 {
        let contract = &self.settings.contract;
        let ramped = ((self.now - since) as f64 / contract.ramp_time.max(1) as f64).min(1.0);
        let warm_share = contract.cold_capacity_share + (1.0 - contract.cold_capacity_share) * ramped;
        let limit = self.routes[route_index].known_limit.max(MIN_CAPACITY_CALLS_PER_SECOND);
        let capacity = self.request_rate(route_index).max(limit / f64::from(self.settings.replicas.max(1)));
        capacity * warm_share * contract.overload_factor.max(1.0) * RAMP_SAFETY_SHARE
    }

    /// Age up to which an incident is brief. A replica of a small fleet sees an incident from its beginning,
    /// one of a large fleet perhaps only its end.
    pub(super) fn brief_incident_age(&self) -> Micros {
        let seen_share = (4.0 / f64::from(self.settings.replicas.max(1))).min(1.0);
        (seen_share * 2.0 * self.settings.contract.overload_duration as f64) as Micros
    }

    /// Makes sure that the rate limit of a route has a token by a random moment before a restored message
    /// expires. In a large fleet the replica's rate limit may otherwise allow its first call only after all
    /// restored messages have expired. The cost: a destination is overloaded if all replicas have restored
    /// messages for it and its limit is less than one call of each in that time.
    pub(super) fn reserve_call_before(&mut self, route_index: usize, expires: Micros) {
        let within_seconds =
            RESTORED_CALL_WITHIN_SHARE * self.random.next() * expires.saturating_sub(self.now) as f64
                / MICROS_PER_SECOND;
        let route = &mut self.routes[route_index];
        route.tokens = route.tokens.max(1.0 - route.rate_limit * within_seconds);
    }

    /// Whether a route may take a call now: if so, whether as a half-open probe; if not, when to check again.
    pub(super) fn can_call(&mut self, route_index: usize, max_calls: u32) -> Result<bool, Micros> {
        let overdue_age = self.overdue_age(&self.routes[route_index]) as Micros;
        if self.shutdown_at.is_some_and(|at| self.now + overdue_age > at) {
            return Err(Micros::MAX); // The shutdown would cut the call off, though it may have been executed.
        }
        let route = &self.routes[route_index];
        let (mut rate, mut depth) =
            (route.rate_limit, route.bucket_depth(self.settings.shortest_aim() / MICROS_PER_SECOND));
        if route.next_call_at() > self.now {
            return Err(route.next_call_at());
        }
        let long_incident =
            route.incident_since.is_some_and(|since| self.now >= since + self.brief_incident_age());
        if let CircuitBreaker::SlowStart { since } = route.breaker {
            (rate, depth) = (self.cold_rate(route_index, since), 1.0);
        } else if long_incident && route.consecutive_rejections == 0 {
            // The destination may be down, and cold when it returns, though this replica has seen too few
            // failures to tell.
            rate = rate.min(self.cold_rate(route_index, self.now) / RAMP_SAFETY_SHARE);
        }
        // Overdue calls no longer tell how many calls the route can take at once.
        let is_timely = |call: &&Call| self.now.saturating_sub(call.sent_at) <= overdue_age;
        let in_flight = self.routes[route_index].calls.values().filter(is_timely).count() as u32;
        let route = &mut self.routes[route_index];
        let refill = if rate > 0.0 {
            rate * (self.now - route.refilled_at) as f64 / MICROS_PER_SECOND
        } else {
            f64::MAX
        };
        route.tokens = (route.tokens + refill).min(depth);
        route.refilled_at = self.now;
        let until_token = (1.0 - route.tokens) / rate.max(1e-9) * MICROS_PER_SECOND;
        match route.breaker {
            CircuitBreaker::Open { .. } => Ok(true),
            _ if rate > 0.0 && route.tokens < 1.0 => Err(self.now + until_token as Micros + 1),
            _ if in_flight < (route.window as u32).min(max_calls).max(1) => Ok(false),
            _ => Err(Micros::MAX),
        }
    }
}

/// Whether a rate limit, where the destination's limit is not known, is so far above the request rate that it
/// limits nothing.
pub(super) fn exceeds_request_rate(rate_limit: f64, request_rate: f64) -> bool {
    rate_limit > 4.0 * request_rate.max(1.0)
}

impl Route {
    /// Halves the window, once for all calls that were in flight together. Returns whether it did.
    pub(super) fn halve_window(&mut self, sent_at: Micros, now: Micros) -> bool {
        let due = self.window_halved_at <= sent_at;
        if due {
            (self.window, self.window_halved_at) = ((self.window / 2.0).max(1.0), now);
        }
        due
    }

    /// Takes back a call that was not sent, for example because its message had ended: its token is returned,
    /// and it does not count as a half-open probe.
    pub(super) fn take_back_call(&mut self, half_open: bool, next_call_at: Micros) {
        self.tokens += 1.0;
        if let (true, CircuitBreaker::Open { next_probe_at, backoff }) = (half_open, self.breaker) {
            self.breaker = CircuitBreaker::Open {
                next_probe_at: next_probe_at.min(next_call_at),
                backoff: backoff / PROBE_BACKOFF_FACTOR,
            };
        }
    }

    /// Depth of the token bucket: calls that may be sent at once after a pause. With a known limit it covers
    /// the calls that random arrivals may bring within an aim: in a large fleet the share of each replica is
    /// less than one call, and most of its calls come alone.
    pub(super) fn bucket_depth(&self, aim_seconds: f64) -> f64 {
        if self.known_limit > 0.0 {
            1.0 + 2.0 * (self.rate_limit * aim_seconds).sqrt()
        } else {
            (self.rate_limit / 2.0).max(1.0)
        }
    }

    /// Sets the known limit. The first one starts the rate limit at the replica's equal share, however small:
    /// where all replicas start at once, as after a restart with restored messages, one call of each is more
    /// than the limits of many destinations.
    pub(crate) fn set_known_limit(&mut self, rate: f64, replicas: u32) {
        if self.known_limit <= 0.0 {
            self.rate_limit = rate / f64::from(replicas.max(1));
        }
        self.known_limit = rate;
    }
}
