//! Conclusions from how calls end: failure shares, windows, circuit breakers.

use super::rates::exceeds_need;
use super::*;

impl DeliveryPolicy {
    pub(super) fn outcome(&mut self, id: MessageId, attempt: usize, mut end: End, ended: bool) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let Some(a) = m.attempts.get_mut(attempt).filter(|a| a.done.is_none()) else { return };
        let outcome = end.outcome;
        a.done = Some(outcome);
        m.found &= outcome == Outcome::NotSent;
        let (target, call) = (a.target, a.call);
        end.planned = a.planned && outcome == Outcome::TimedOut;
        if m.attempts.iter().all(|a| a.done.is_some_and(Outcome::never_ran)) {
            m.ran = None;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some(order_queues) = self.order_queues.get_mut(&m.order_key) {
                order_queues.1 = order_queues.1.max(self.now + self.settings.contract.order_pause);
            }
        }
        if let Some(route) = self.targets.get(&target).map(|t| t.route) {
            let l = &mut self.routes[route];
            self.destinations.forget_wait(l.destination);
            if end.wait > 0 {
                // Waits bind the route, whatever comes later; none is shortened.
                l.wait_until = l.wait_until.max(self.now + end.wait);
            }
            // The messages of a call share its fate: it is judged, and its slot free, with the last of them.
            if let Some(Call { sent, half_open, .. }) = l.end_message(call, id) {
                end.sent = sent;
                self.calls_out -= 1;
                match outcome {
                    Outcome::NotSent => l.not_sent(half_open, self.now + self.settings.tick),
                    Outcome::Cancelled => {}
                    Outcome::TooManyConnections => self.crowded(route, target, half_open, end.sent),
                    _ => self.judge(route, target, &end),
                }
            }
        }
        let Some(m) = self.messages.get(&id) else { return };
        self.delivered[m.class] += f64::from(u8::from(outcome == Outcome::Ok));
        if ended || m.over || outcome == Outcome::Ok {
            self.finish(id);
        } else if m.attempts.iter().all(|a| a.done.is_some()) {
            if self.allowed(m).0 && !self.is_due(m) {
                if outcome == Outcome::NotSent {
                    // What kept it back may last: at once again and again would use up its attempts.
                    let pause = self.settings.tick << m.attempts.len().min(8);
                    self.message_timers.insert((self.now + pause, id));
                } else {
                    self.enqueue(id);
                }
            } else {
                self.give_up(id);
            }
        }
    }

    /// Draws the conclusions of one call's end for its route.
    pub(super) fn judge(&mut self, route: usize, target: TargetId, end: &End) {
        let End { outcome, sent, report, planned, .. } = *end;
        let jitter = 1.0 + self.random.next();
        let (least_aim, deadline) = (self.settings.least_aim(), self.settings.longest_deadline());
        let least_rate = f64::from(self.settings.max_attempts) * SECOND / deadline;
        let (own_rate, probe_interval) =
            (self.own_rate(route), self.probe_interval(route, self.now.max(self.routes[route].wait_until)));
        if self.routes[route].refusals_in_a_row > 0 && matches!(outcome, Outcome::Ok | Outcome::Rejected) {
            let factor = if outcome == Outcome::Ok { SPREAD_DOWN } else { SPREAD_UP };
            let most = self.even_interval().min(deadline);
            self.retry_jitter = (factor * self.retry_jitter).min(most).max(MAINTENANCE_INTERVAL as f64);
        }
        let (spread, even, half_aim) = (self.retry_jitter, self.even_interval(), least_aim / 2.0);
        let (senders, short_trouble) = (f64::from(self.settings.replicas.max(1)), self.short_trouble());
        let l = &mut self.routes[route];
        if let Some(r) = report.filter(|r| r.rate > 0.0) {
            l.limit_is(r.rate, self.settings.replicas);
        }
        let before = std::mem::replace(&mut l.judged, self.now);
        let was = l.breaker;
        match outcome {
            Outcome::Ok => {
                l.times.answered((self.now - sent) as f64);
                let part = if l.failing > LOSSY { 0.5 } else { DESTINATION_SHARE };
                l.window = (l.window + 1.0).min((f64::from(self.settings.slots) * part).floor().max(1.0));
                l.budget = (l.budget + RESEND_SHARE).min(RESEND_SAVED);
                l.rate += (1.0 - RATE_KEEP) * SECOND / MAINTENANCE_INTERVAL as f64;
                let left = report.filter(|r| r.rate > 0.0).map_or(0.3, |r| r.share_left);
                // Under a known limit only calls that the rate limit has held up say that it is too low.
                let held_up = l.limit <= 0.0 || l.tokens < 1.0 && !l.breaker.is_slow_start();
                l.rate_limit *= if held_up { 1.0 + RATE_RAISE * (2.0 * left).min(1.0) } else { 1.0 };
                if l.limit > 0.0 {
                    // A replica of many has few answers: by its own parts it would not be back for a minute.
                    let lack = (l.even_share(self.settings.replicas) - l.rate_limit).max(0.0);
                    l.rate_limit = (l.rate_limit
                        + if l.rate_limit > 0.0 { RATE_RECOVERY * lack } else { 0.0 })
                    .min(l.limit);
                } else if exceeds_need(l.rate_limit, own_rate) {
                    l.rate_limit = 0.0;
                }
                l.failing *= 1.0 - FAIL_WEIGHT;
                (l.refusals_in_a_row, l.last_ok) = (0, self.now);
                let trouble = if l.failing > MOSTLY_FAILING { l.trouble } else { l.trouble.take() };
                let short = trouble.is_some_and(|t| self.now < t + short_trouble);
                l.breaker = match l.breaker {
                    CircuitBreaker::Open { .. } if l.failing > MOSTLY_FAILING => {
                        CircuitBreaker::Open { next: self.now, backoff: l.times.mean() }
                    }
                    CircuitBreaker::Open { .. } if short => CircuitBreaker::Closed,
                    // It came back since it was last seen out: in the mean over many replicas half way. From
                    // the first answer on all that try seldom would be late; one of two is no mean.
                    CircuitBreaker::Open { .. } => {
                        // Its half-open probe was its call: what all saved up meanwhile would follow at once.
                        l.tokens = l.tokens.min(0.0);
                        let late = (self.now - before) as f64 * (0.5 - 1.0 / senders).max(0.0);
                        CircuitBreaker::SlowStart { since: self.now - late as Micros }
                    }
                    other => other,
                };
            }
            Outcome::Rejected => {
                l.refusals_in_a_row += 1;
                l.trouble.get_or_insert(self.now);
                if l.halve(sent, self.now) {
                    // Not under what is surely being served: that much there is room for. One answer alone
                    // says little, and what all replicas fall back to stays within a known limit.
                    let part = l.even_share(self.settings.replicas);
                    let down = if l.rate_limit > 0.0 {
                        l.rate_limit * RATE_CUT
                    } else {
                        (SECOND / half_aim).min(part)
                    };
                    let (over, answers) = ((l.rate - part).max(0.0), l.rate * RATE_SPAN);
                    let served = l.rate.min(part) + over * answers / (answers + 1.0);
                    l.rate_limit = down.max(least_rate.min(RATE_FLOOR * part)).max(served);
                    // What was saved up is gone, and those refused together do not come again together.
                    l.tokens = if l.limit > 0.0 { l.tokens.min(0.0) + jitter - 1.5 } else { l.tokens };
                }
                let run = f64::from(l.refusals_in_a_row.min(6));
                let pause = (l.times.mean() * jitter * run).min(half_aim);
                // No longer than a message lasts: the limit may be back long before the turn of each.
                let more =
                    (jitter - 1.0) * probe_interval.max(spread * run).min(even).min(deadline) - half_aim;
                l.wait_until = l.wait_until.max(self.now + pause as Micros) + more.max(0.0) as Micros;
            }
            _ => {
                if l.breaker == CircuitBreaker::Closed && (outcome != Outcome::Error) {
                    l.times.unanswered(planned);
                }
                if planned {
                    l.budget -= 1.0;
                } else {
                    l.failing += (1.0 - l.failing) * FAIL_WEIGHT;
                    l.trouble.get_or_insert(sent);
                    let _ = outcome != Outcome::Error && l.halve(sent, self.now);
                }
            }
        }
        if !matches!(outcome, Outcome::Ok | Outcome::Rejected) && !planned {
            l.may_have_run = outcome != Outcome::ConnectFailed;
        }
        match l.breaker {
            CircuitBreaker::Open { .. } if outcome == Outcome::Ok => {}
            CircuitBreaker::Open { backoff, .. } => {
                l.breaker = CircuitBreaker::Open {
                    next: self.now + (backoff.max(probe_interval) * jitter * 0.75) as Micros,
                    backoff,
                };
            }
            _ if l.failing > MOSTLY_FAILING || end.wait > self.settings.contract.overload_duration => {
                self.open_breaker(route)
            }
            _ => {}
        }
        // What was out denied connections for that, not since its table was full: it is cold, and a handshake
        // for each call would cost it more than the calls.
        let back = was.is_open() && !self.routes[route].breaker.is_open();
        for id in self.routes[route].targets.iter().filter(|_| back) {
            self.targets.entry(*id).and_modify(|t| t.denied_until = 0);
        }
        // Idle connections fill the table of an endpoint that takes few, or are dropped unseen: closed after
        // use where one was denied or this replica comes seldom. Costs a handshake if the next call was near.
        let l = &self.routes[route];
        let seldom = (l.recent_requests - 1.0) * self.settings.connection_idle_timeout as f64 / SECOND
            <= self.averaging_window;
        if let Some(t) = self.targets.get_mut(&target) {
            // One endpoint of several may be out alone: it rests while the others serve.
            let fails = outcome != Outcome::Ok && outcome != Outcome::Rejected && !planned;
            t.avoid_until = if fails { self.now + least_aim as Micros } else { 0 };
            if outcome == Outcome::ConnectFailed {
                // By then what stood idle in its table is closed.
                t.denied_until = self.now + self.settings.connection_idle_timeout;
            }
            let last = outcome != Outcome::ConnectFailed && !l.calls.values().any(|c| c.target == target);
            let short = t.denied_until > self.now || t.to_close > 0;
            // One always in use before it is idle for too long would keep its place for good, mostly idle,
            // and never hear that others find none: its rests count together.
            let share = (EVEN_PLACES / senders).max(1.0);
            let rested = t.rests as f64 > share * self.settings.connection_idle_timeout as f64;
            let close = last && (short || rested || seldom && outcome == Outcome::Ok);
            (t.crowded, t.to_close) = (0, t.to_close.saturating_sub(u32::from(close)));
            t.rests *= u64::from(!close);
            t.ended = self.now;
            self.out.extend(close.then_some(Action::CloseIdle { target }));
        }
        let ramps = self.routes[route].breaker.is_slow_start();
        (was != self.routes[route].breaker && ramps)
            .then(|| self.log(format!("destination of {target} answers again: slow start")));
    }

    /// An endpoint is up and has all the connections it takes: that says nothing of its health or its limit.
    /// The next comes after a pause that grows, and for long each is closed after use: kept ones fill the
    /// table again, idle. Guards the many that share it; costs a handshake a call.
    pub(super) fn crowded(&mut self, route: usize, target: TargetId, half_open: bool, sent: Micros) {
        let (jitter, longest) = (0.5 + self.random.next(), self.settings.least_aim() / 2.0);
        let l = &mut self.routes[route];
        let Some(t) = self.targets.get_mut(&target) else { return };
        let first = l.times.mean().max((self.now - sent) as f64);
        let pause = (first * f64::from(1 << t.crowded.min(10))).min(longest) * jitter;
        t.away_until = self.now + pause as Micros;
        (t.crowded, t.to_close) = (t.crowded + 1, CLOSED_AFTER_CROWD);
        l.not_sent(half_open, t.away_until);
    }

    /// A destination looks out: nothing but single half-open probes until one is answered.
    pub(super) fn open_breaker(&mut self, route: usize) {
        let least_aim = self.settings.least_aim();
        let start = self.now.max(self.routes[route].wait_until);
        let (jitter, probe_interval) = (0.5 + self.random.next(), self.probe_interval(route, start));
        let l = &mut self.routes[route];
        self.destinations.forget_wait(l.destination);
        let backoff = (2.0 * l.times.mean()).clamp(least_aim / 10.0, least_aim / 4.0);
        l.breaker =
            CircuitBreaker::Open { next: start + (backoff.max(probe_interval) * jitter) as Micros, backoff };
        (l.trouble, l.window, l.judged) = (l.trouble.or(Some(self.now)), 1.0, self.now);
        let name = l.name;
        self.log(format!("destination of {name} looks out: single trials"));
    }

    /// Calls are out far past the usual time and none has been answered since. The next answer opens again.
    pub(super) fn silent(&self, route: usize) -> Option<Micros> {
        let l = &self.routes[route];
        let (_, oldest) = l.calls.iter().find(|(_, c)| c.sent >= l.last_ok && !c.half_open)?;
        let age = (self.now - oldest.sent) as f64;
        let mean = l.times.mean();
        if age > self.patience(l) {
            return Some(oldest.sent);
        }
        let calls = l.calls.values().filter(|c| c.sent >= l.last_ok);
        let waited: f64 = calls.map(|c| (self.now - c.sent) as f64).sum();
        let unlikely = (l.times.tau > 0.0) && waited > SILENCE_MEANS * mean && age > 3.0 * mean;
        unlikely.then_some(oldest.sent)
    }

    /// Age at which a call is past all that is usual; longer where little has been answered yet.
    pub(super) fn patience(&self, l: &Route) -> f64 {
        let (t, long) = (&l.times, l.times.longest());
        if t.tau > 0.0 {
            (1.25 * long).max(4.0 * t.mean())
        } else {
            (3.0 * long).max(self.settings.least_aim())
        }
    }
}
