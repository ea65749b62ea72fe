//! Rates: limits, half-open probe intervals and slow starts, each as one of many replicas.

use super::*;

impl DeliveryPolicy {
    /// Messages a second that come to this replica for a route.
    pub(super) fn own_rate(&self, route: usize) -> f64 {
        self.routes[route].recent_requests / self.averaging_window.max(1.0)
    }

    /// Span between attempts of one replica at which all together bring a cold destination no harm.
    pub(super) fn even_interval(&self) -> f64 {
        f64::from(self.settings.replicas.max(1)) * self.settings.contract.overload_duration as f64 / SLACK
    }

    /// Least span between attempts at a route in trouble. Guards what is out, shut or cold against many
    /// replicas that each try seldom: each keeps to its part of what would push it over, as in the
    /// slow start, evenly, or by the trouble's span, in which each message brought one replica at most.
    pub(super) fn probe_interval(&self, route: usize, at: Micros) -> f64 {
        // The fewer replicas, the better each one's own traffic tells its part; of many, the even part does.
        let senders = f64::from(self.settings.replicas.max(2));
        let even_share = self.routes[route].limit / senders * (1.0 - 2.0 / senders);
        let r = &self.settings.contract;
        let capacity =
            self.own_rate(route).max(even_share) * r.cold_capacity_share * r.overload_factor.max(1.0);
        let part = capacity * RAMP_CAUTION / SECOND;
        let since = at - self.routes[route].trouble.unwrap_or(at).min(at);
        let spans = (TROUBLE_SPANS * senders / 4.0).clamp(TROUBLE_SPANS, MOST_TROUBLE_SPANS);
        (1.0 / part.max(1e-12)).min(self.even_interval()).min(spans * since as f64)
    }

    /// This replica's part of a cautious share of what would push over what is cold since then, rising over
    /// the ramp. Does harm where it was not cold.
    pub(crate) fn cold_rate(&self, route: usize, since: Micros) -> f64 {
        let r = &self.settings.contract;
        let part = ((self.now - since) as f64 / r.ramp_time.max(1) as f64).min(1.0);
        let warm = r.cold_capacity_share + (1.0 - r.cold_capacity_share) * part;
        let limit = self.routes[route].limit.max(LEAST_TOGETHER);
        let capacity = self.own_rate(route).max(limit / f64::from(self.settings.replicas.max(1)));
        capacity * warm * r.overload_factor.max(1.0) * RAMP_CAUTION
    }

    /// Age up to which a trouble is short: one of few replicas sees it begin, one of many perhaps its end.
    pub(super) fn short_trouble(&self) -> Micros {
        let seen_part = (4.0 / f64::from(self.settings.replicas.max(1))).min(1.0);
        (seen_part * 2.0 * self.settings.contract.overload_duration as f64) as Micros
    }

    /// The rate limit of one of many may let its first call come after all that a restart found is over.
    /// Guards against that: a call is saved up by some moment before. Harms where all have found something
    /// for a limit of less than a call of each in that time.
    pub(super) fn call_in_time(&mut self, route: usize, expires: Micros) {
        let share = FOUND_WITHIN * self.random.next() * expires.saturating_sub(self.now) as f64 / SECOND;
        let l = &mut self.routes[route];
        l.tokens = l.tokens.max(1.0 - l.rate_limit * share);
    }

    /// Whether a route takes a call now, and whether as a half-open probe; if not, when to look again.
    pub(super) fn can_call(&mut self, route: usize, cap: u32) -> Result<bool, Micros> {
        let usual = self.patience(&self.routes[route]) as Micros;
        if self.stopping.is_some_and(|by| self.now + usual > by) {
            return Err(Micros::MAX); // it would be cut off, and may have run
        }
        let l = &self.routes[route];
        let (mut rate, mut depth) = (l.rate_limit, l.depth(self.settings.least_aim() / SECOND));
        if l.opens_at() > self.now {
            return Err(l.opens_at());
        }
        let long_trouble = l.trouble.is_some_and(|since| self.now >= since + self.short_trouble());
        if let CircuitBreaker::SlowStart { since } = l.breaker {
            (rate, depth) = (self.cold_rate(route, since), 1.0);
        } else if long_trouble && l.refusals_in_a_row == 0 {
            // It may be out, and return cold, though too few calls have failed here to tell.
            rate = rate.min(self.cold_rate(route, self.now) / RAMP_CAUTION);
        }
        // Calls past all that is usual tell no more of what the route takes at once.
        let answerable = |c: &&Call| self.now.saturating_sub(c.sent) <= usual;
        let in_flight = self.routes[route].calls.values().filter(answerable).count() as u32;
        let l = &mut self.routes[route];
        let refill = if rate > 0.0 { rate * (self.now - l.filled) as f64 / SECOND } else { f64::MAX };
        l.tokens = (l.tokens + refill).min(depth);
        l.filled = self.now;
        let lack = (1.0 - l.tokens) / rate.max(1e-9) * SECOND;
        match l.breaker {
            CircuitBreaker::Open { .. } => Ok(true),
            _ if rate > 0.0 && l.tokens < 1.0 => Err(self.now + lack as Micros + 1),
            _ if in_flight < (l.window as u32).min(cap).max(1) => Ok(false),
            _ => Err(Micros::MAX),
        }
    }
}

/// Whether a rate limit where none is known is so far above what comes that it limits nothing.
pub(super) fn exceeds_need(rate_limit: f64, own_rate: f64) -> bool {
    rate_limit > 4.0 * own_rate.max(1.0)
}

impl Route {
    /// Halves the window, once for all calls that were out together.
    pub(super) fn halve(&mut self, sent: Micros, now: Micros) -> bool {
        let due = self.halved <= sent;
        if due {
            (self.window, self.halved) = ((self.window / 2.0).max(1.0), now);
        }
        due
    }

    /// A call that was not sent, its message over say, tells nothing and takes nothing: it was no probe.
    pub(super) fn not_sent(&mut self, half_open: bool, again: Micros) {
        self.tokens += 1.0;
        if let (true, CircuitBreaker::Open { next, backoff }) = (half_open, self.breaker) {
            self.breaker = CircuitBreaker::Open { next: next.min(again), backoff: backoff / PROBE_BACKOFF };
        }
    }

    /// Calls that may go at once after a rest. With a known limit as many as chance brings in an aim: in a
    /// large fleet the part of each is less than one, and most of its calls come alone.
    pub(super) fn depth(&self, aim: f64) -> f64 {
        if self.limit > 0.0 {
            1.0 + 2.0 * (self.rate_limit * aim).sqrt()
        } else {
            (self.rate_limit / 2.0).max(1.0)
        }
    }

    /// A known limit starts the rate limit at an even part, however little: where all begin at once, as
    /// after a restart with what they held, a call of each is more than the limit of many a destination.
    pub(crate) fn limit_is(&mut self, rate: f64, senders: u32) {
        if self.limit <= 0.0 {
            self.rate_limit = rate / f64::from(senders.max(1));
        }
        self.limit = rate;
    }
}
