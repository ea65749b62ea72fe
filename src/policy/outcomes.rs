//! Updates of messages, routes and endpoints when attempts and calls end: failure shares, windows, rate
//! limits, pauses and circuit breakers.

use super::rates::exceeds_request_rate;
use super::*;

impl DeliveryPolicy {
    pub(super) fn attempt_ended(
        &mut self, id: MessageId, attempt: usize, mut result: AttemptResult, message_ended: bool,
    ) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = message.attempts.get_mut(attempt).filter(|attempt| attempt.outcome.is_none())
        else {
            return;
        };
        let outcome = result.outcome;
        attempt.outcome = Some(outcome);
        message.restored_unsent &= outcome == Outcome::NotSent;
        let (target, call) = (attempt.target, attempt.call);
        result.retry_planned = attempt.retry_planned && outcome == Outcome::TimedOut;
        if message.attempts.iter().all(|attempt| attempt.outcome.is_some_and(Outcome::never_ran)) {
            message.first_run = None;
        }
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some(queue) = self.order_key_queues.get_mut(&message.order_key) {
                queue.1 = queue.1.max(self.now + self.settings.contract.order_pause);
            }
        }
        if let Some(route_index) = self.targets.get(&target).map(|endpoint| endpoint.route) {
            let route = &mut self.routes[route_index];
            self.destinations.unblock(route.destination);
            if result.retry_after > 0 {
                // A wait that the destination asked for holds whatever the outcomes of later calls, and is
                // never shortened.
                route.paused_until = route.paused_until.max(self.now + result.retry_after);
            }
            // All messages of a call end with the same outcome. When the last of them ends, the result of the
            // call is applied and its slot is freed.
            if let Some(Call { sent_at, half_open, .. }) = route.remove_message(call, id) {
                result.sent_at = sent_at;
                self.calls_in_flight -= 1;
                match outcome {
                    Outcome::NotSent => route.take_back_call(half_open, self.now + self.settings.tick),
                    Outcome::Cancelled => {}
                    Outcome::TooManyConnections => {
                        self.connection_rejected(route_index, target, half_open, result.sent_at)
                    }
                    _ => self.call_ended(route_index, target, &result),
                }
            }
        }
        let Some(message) = self.messages.get(&id) else { return };
        self.delivered[message.class] += f64::from(u8::from(outcome == Outcome::Ok));
        if message_ended || message.ended || outcome == Outcome::Ok {
            self.end_message(id);
        } else if message.attempts.iter().all(|attempt| attempt.outcome.is_some()) {
            if self.allowed(message).0 && !self.is_due(message) {
                if outcome == Outcome::NotSent {
                    // The cause may last: an immediate retry each time would use up the attempts of the
                    // message.
                    let pause = self.settings.tick << message.attempts.len().min(8);
                    self.message_timers.insert((self.now + pause, id));
                } else {
                    self.enqueue(id);
                }
            } else {
                self.give_up(id);
            }
        }
    }

    /// Applies the result of a call to its route and endpoint.
    pub(super) fn call_ended(&mut self, route_index: usize, target: TargetId, result: &AttemptResult) {
        let AttemptResult { outcome, sent_at, report, retry_planned, .. } = *result;
        let jitter = 1.0 + self.random.next();
        let (shortest_aim, longest_deadline) =
            (self.settings.shortest_aim(), self.settings.longest_deadline());
        let min_rate = f64::from(self.settings.max_attempts) * MICROS_PER_SECOND / longest_deadline;
        let (request_rate, probe_interval) = (
            self.request_rate(route_index),
            self.probe_interval(route_index, self.now.max(self.routes[route_index].paused_until)),
        );
        if self.routes[route_index].consecutive_rejections > 0
            && matches!(outcome, Outcome::Ok | Outcome::Rejected)
        {
            let factor = if outcome == Outcome::Ok { PAUSE_SPREAD_DECREASE } else { PAUSE_SPREAD_INCREASE };
            let max_spread = self.safe_call_interval().min(longest_deadline);
            self.pause_spread =
                (factor * self.pause_spread).min(max_spread).max(MAINTENANCE_INTERVAL_MICROS as f64);
        }
        let (pause_spread, safe_interval, half_aim) =
            (self.pause_spread, self.safe_call_interval(), shortest_aim / 2.0);
        let (replicas, brief_incident_age) =
            (f64::from(self.settings.replicas.max(1)), self.brief_incident_age());
        let route = &mut self.routes[route_index];
        if let Some(report) = report.filter(|report| report.rate > 0.0) {
            route.set_known_limit(report.rate, self.settings.replicas);
        }
        let previous_result_at = std::mem::replace(&mut route.last_result_at, self.now);
        let previous_breaker = route.breaker;
        match outcome {
            Outcome::Ok => {
                route.response_times.record_response((self.now - sent_at) as f64);
                let slot_share = if route.failure_share > LOSSY_FAILURE_SHARE { 0.5 } else { MAX_SLOT_SHARE };
                route.window =
                    (route.window + 1.0).min((f64::from(self.settings.slots) * slot_share).floor().max(1.0));
                route.retry_budget = (route.retry_budget + RETRY_BUDGET_PER_RESPONSE).min(MAX_RETRY_BUDGET);
                route.served_rate +=
                    (1.0 - SERVED_RATE_DECAY) * MICROS_PER_SECOND / MAINTENANCE_INTERVAL_MICROS as f64;
                let share_left =
                    report.filter(|report| report.rate > 0.0).map_or(0.3, |report| report.share_left);
                // Under a known limit the rate limit is raised only if it held up calls; otherwise nothing
                // shows that it is too low.
                let is_too_low =
                    route.known_limit <= 0.0 || route.tokens < 1.0 && !route.breaker.is_slow_start();
                route.rate_limit *=
                    if is_too_low { 1.0 + MAX_RATE_LIMIT_RAISE * (2.0 * share_left).min(1.0) } else { 1.0 };
                if route.known_limit > 0.0 {
                    // In a large fleet a replica gets few responses: raised in proportion to itself alone,
                    // its rate limit would need a minute to recover.
                    let shortfall = (route.equal_share(self.settings.replicas) - route.rate_limit).max(0.0);
                    route.rate_limit = (route.rate_limit
                        + if route.rate_limit > 0.0 { RATE_LIMIT_RECOVERY * shortfall } else { 0.0 })
                    .min(route.known_limit);
                } else if exceeds_request_rate(route.rate_limit, request_rate) {
                    route.rate_limit = 0.0;
                }
                route.failure_share *= 1.0 - OUTCOME_WEIGHT;
                (route.consecutive_rejections, route.last_ok_at) = (0, self.now);
                let incident_since = if route.failure_share > OPEN_FAILURE_SHARE {
                    route.incident_since
                } else {
                    route.incident_since.take()
                };
                let is_brief = incident_since.is_some_and(|since| self.now < since + brief_incident_age);
                route.breaker = match route.breaker {
                    CircuitBreaker::Open { .. } if route.failure_share > OPEN_FAILURE_SHARE => {
                        CircuitBreaker::Open { next_probe_at: self.now, backoff: route.response_times.mean() }
                    }
                    CircuitBreaker::Open { .. } if is_brief => CircuitBreaker::Closed,
                    // The destination returned at some time since the last failed probe: on average over many
                    // replicas, half way. If each replica's slow start began with its first response,
                    // replicas that probe rarely would lag behind. With two replicas there is no average to
                    // rely on.
                    CircuitBreaker::Open { .. } => {
                        // The half-open probe was this replica's call. Tokens saved up meanwhile would let
                        // the calls of all replicas follow at once.
                        route.tokens = route.tokens.min(0.0);
                        let head_start =
                            (self.now - previous_result_at) as f64 * (0.5 - 1.0 / replicas).max(0.0);
                        CircuitBreaker::SlowStart { since: self.now - head_start as Micros }
                    }
                    other => other,
                };
            }
            Outcome::Rejected => {
                route.consecutive_rejections += 1;
                route.incident_since.get_or_insert(self.now);
                if route.halve_window(sent_at, self.now) {
                    // The rate limit is not cut below the rate that is certainly being served, since there is
                    // room for that much. A single response is little evidence of a rate above the equal
                    // share. The rates to which all replicas fall back stay within a known limit.
                    let equal_share = route.equal_share(self.settings.replicas);
                    let cut_rate = if route.rate_limit > 0.0 {
                        route.rate_limit * RATE_LIMIT_CUT
                    } else {
                        (MICROS_PER_SECOND / half_aim).min(equal_share)
                    };
                    let (excess, responses) = (
                        (route.served_rate - equal_share).max(0.0),
                        route.served_rate * SERVED_RATE_SPAN_SECONDS,
                    );
                    let certain_rate =
                        route.served_rate.min(equal_share) + excess * responses / (responses + 1.0);
                    route.rate_limit =
                        cut_rate.max(min_rate.min(RATE_LIMIT_FLOOR * equal_share)).max(certain_rate);
                    // Drops saved tokens and delays the next call at random, so that replicas that were
                    // rejected together do not come back together.
                    route.tokens = if route.known_limit > 0.0 {
                        route.tokens.min(0.0) + jitter - 1.5
                    } else {
                        route.tokens
                    };
                }
                let rejections = f64::from(route.consecutive_rejections.min(6));
                let pause = (route.response_times.mean() * jitter * rejections).min(half_aim);
                // The extra pause is bounded by the longest deadline, since no message lives longer. The safe
                // interval grows with the number of replicas, and the destination may accept calls again long
                // before each replica has had its turn.
                let extra_pause = (jitter - 1.0)
                    * probe_interval.max(pause_spread * rejections).min(safe_interval).min(longest_deadline)
                    - half_aim;
                route.paused_until =
                    route.paused_until.max(self.now + pause as Micros) + extra_pause.max(0.0) as Micros;
            }
            _ => {
                if route.breaker == CircuitBreaker::Closed && (outcome != Outcome::Error) {
                    route.response_times.record_no_response(retry_planned);
                }
                if retry_planned {
                    route.retry_budget -= 1.0;
                } else {
                    route.failure_share += (1.0 - route.failure_share) * OUTCOME_WEIGHT;
                    route.incident_since.get_or_insert(sent_at);
                    let _ = outcome != Outcome::Error && route.halve_window(sent_at, self.now);
                }
            }
        }
        if !matches!(outcome, Outcome::Ok | Outcome::Rejected) && !retry_planned {
            route.failure_may_have_run = outcome != Outcome::ConnectFailed;
        }
        match route.breaker {
            CircuitBreaker::Open { .. } if outcome == Outcome::Ok => {}
            CircuitBreaker::Open { backoff, .. } => {
                route.breaker = CircuitBreaker::Open {
                    next_probe_at: self.now + (backoff.max(probe_interval) * jitter * 0.75) as Micros,
                    backoff,
                };
            }
            _ if route.failure_share > OPEN_FAILURE_SHARE
                || result.retry_after > self.settings.contract.overload_duration =>
            {
                self.open_breaker(route_index)
            }
            _ => {}
        }
        // Connections to a destination that was down failed for that reason, not because its connection
        // tables were full. It is cold now, and a handshake for each call would cost it more than the calls
        // do.
        let has_recovered = previous_breaker.is_open() && !self.routes[route_index].breaker.is_open();
        for id in self.routes[route_index].targets.iter().filter(|_| has_recovered) {
            self.targets.entry(*id).and_modify(|endpoint| endpoint.table_full_until = 0);
        }
        // Idle connections fill the table of an endpoint that accepts few of them, or are dropped without
        // notice. They are closed after use if a connection has failed, or if this replica calls rarely. The
        // cost: one more handshake if the next call follows soon.
        let route = &self.routes[route_index];
        let calls_rarely = (route.recent_requests - 1.0) * self.settings.connection_idle_timeout as f64
            / MICROS_PER_SECOND
            <= self.averaging_window;
        if let Some(endpoint) = self.targets.get_mut(&target) {
            // One endpoint of several may be down alone: the others are used meanwhile.
            let has_failed = outcome != Outcome::Ok && outcome != Outcome::Rejected && !retry_planned;
            endpoint.ejected_until = if has_failed { self.now + shortest_aim as Micros } else { 0 };
            if outcome == Outcome::ConnectFailed {
                // By then the connections that were idle in its table are closed.
                endpoint.table_full_until = self.now + self.settings.connection_idle_timeout;
            }
            let is_last_call =
                outcome != Outcome::ConnectFailed && !route.calls.values().any(|call| call.target == target);
            let is_table_full = endpoint.table_full_until > self.now || endpoint.close_after_use > 0;
            // A connection that is always used again shortly before the idle timeout would keep its place in
            // the table for good, though it is mostly idle, and this replica would never notice that others
            // find no place. So idle times are added up.
            let connection_share = (MIN_ENDPOINT_CONNECTIONS / replicas).max(1.0);
            let was_mostly_idle =
                endpoint.total_idle as f64 > connection_share * self.settings.connection_idle_timeout as f64;
            let close =
                is_last_call && (is_table_full || was_mostly_idle || calls_rarely && outcome == Outcome::Ok);
            (endpoint.connection_rejections, endpoint.close_after_use) =
                (0, endpoint.close_after_use.saturating_sub(u32::from(close)));
            endpoint.total_idle *= u64::from(!close);
            endpoint.last_result_at = self.now;
            self.actions.extend(close.then_some(Action::CloseIdle { target }));
        }
        let is_slow_start = self.routes[route_index].breaker.is_slow_start();
        (previous_breaker != self.routes[route_index].breaker && is_slow_start)
            .then(|| self.log(format!("destination of endpoint {target} responds again: slow start")));
    }

    /// Handles a connection that an endpoint rejected because it has as many as it accepts, which says
    /// nothing about its health or its limit. The next connection is tried after a pause that grows with each
    /// rejection. The next `CLOSE_AFTER_USE_COUNT` connections are closed after use, since idle ones would
    /// fill the table again. This protects the many replicas that share the endpoint, at the cost of a
    /// handshake for each call.
    pub(super) fn connection_rejected(
        &mut self, route_index: usize, target: TargetId, half_open: bool, sent_at: Micros,
    ) {
        let (jitter, max_pause) = (0.5 + self.random.next(), self.settings.shortest_aim() / 2.0);
        let route = &mut self.routes[route_index];
        let Some(endpoint) = self.targets.get_mut(&target) else { return };
        let first_pause = route.response_times.mean().max((self.now - sent_at) as f64);
        let pause =
            (first_pause * f64::from(1 << endpoint.connection_rejections.min(10))).min(max_pause) * jitter;
        endpoint.next_connection_at = self.now + pause as Micros;
        (endpoint.connection_rejections, endpoint.close_after_use) =
            (endpoint.connection_rejections + 1, CLOSE_AFTER_USE_COUNT);
        route.take_back_call(half_open, endpoint.next_connection_at);
    }

    /// Opens the circuit breaker of a route: only single half-open probes are sent until one is served.
    pub(super) fn open_breaker(&mut self, route_index: usize) {
        let shortest_aim = self.settings.shortest_aim();
        let start = self.now.max(self.routes[route_index].paused_until);
        let (jitter, probe_interval) = (0.5 + self.random.next(), self.probe_interval(route_index, start));
        let route = &mut self.routes[route_index];
        self.destinations.unblock(route.destination);
        let backoff = (2.0 * route.response_times.mean()).clamp(shortest_aim / 10.0, shortest_aim / 4.0);
        route.breaker = CircuitBreaker::Open {
            next_probe_at: start + (backoff.max(probe_interval) * jitter) as Micros,
            backoff,
        };
        (route.incident_since, route.window, route.last_result_at) =
            (route.incident_since.or(Some(self.now)), 1.0, self.now);
        let first_target = route.first_target;
        self.log(format!(
            "destination of endpoint {first_target} is failing: only half-open probes are sent"
        ));
    }

    /// Since when a route has been silent: calls are overdue, or have waited improbably long in sum, and none
    /// has been served since they were sent. The next success ends this.
    pub(super) fn silent_since(&self, route_index: usize) -> Option<Micros> {
        let route = &self.routes[route_index];
        let (_, oldest) =
            route.calls.iter().find(|(_, call)| call.sent_at >= route.last_ok_at && !call.half_open)?;
        let age = (self.now - oldest.sent_at) as f64;
        let mean = route.response_times.mean();
        if age > self.overdue_age(route) {
            return Some(oldest.sent_at);
        }
        let calls = route.calls.values().filter(|call| call.sent_at >= route.last_ok_at);
        let waited: f64 = calls.map(|call| (self.now - call.sent_at) as f64).sum();
        let is_improbable = (route.response_times.retry_timeout > 0.0)
            && waited > SILENCE_MEAN_RESPONSE_TIMES * mean
            && age > 3.0 * mean;
        is_improbable.then_some(oldest.sent_at)
    }

    /// Age from which a call is overdue, well past the usual response times; longer while few responses are
    /// known.
    pub(super) fn overdue_age(&self, route: &Route) -> f64 {
        let (times, longest) = (&route.response_times, route.response_times.longest());
        if times.retry_timeout > 0.0 {
            (1.25 * longest).max(4.0 * times.mean())
        } else {
            (3.0 * longest).max(self.settings.shortest_aim())
        }
    }
}
