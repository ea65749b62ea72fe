//! Which state of idle destinations and removed endpoints may be dropped, and which must be kept.

use super::rates::exceeds_request_rate;
use super::*;

/// Share of the equal share of a known limit from which a rate limit that rejections have cut counts as
/// recovered.
const RECOVERED_RATE_LIMIT_SHARE: f64 = 0.95;

impl DeliveryPolicy {
    /// Whether the state of a destination may be dropped: it holds no message and has no state that must be
    /// kept. The next message creates the state again, as it was when the endpoints were first listed.
    /// Disabled and draining endpoints are recorded in `disabled` and in the listing, and are not affected.
    pub(crate) fn is_idle(&self, destination: &Destination) -> bool {
        destination.held == 0
            && destination.routes.iter().all(|route_index| !self.must_keep_route(*route_index))
    }

    /// Whether the state of a route must be kept, because of its own state or that of its endpoints.
    fn must_keep_route(&self, route_index: usize) -> bool {
        let route = &self.routes[route_index];
        // The results of calls in flight are applied to this state, and a wait that the destination asked for
        // also holds for endpoints listed later.
        let is_bound = !route.calls.is_empty() || route.paused_until > self.now;
        // A route without endpoints is out of the list: its other state describes endpoints that were
        // removed.
        is_bound
            || !route.targets.is_empty() && (self.is_degraded(route_index) || has_recent_statistics(route))
            || route.targets.iter().any(|id| self.must_keep_endpoint(&self.targets[id]))
    }

    fn is_degraded(&self, route_index: usize) -> bool {
        let route = &self.routes[route_index];
        // An open breaker and a slow start up to the end of its ramp: if each replica started anew, all
        // messages held by the fleet would overload a destination that is down or cold.
        route.breaker != CircuitBreaker::Closed
            // The age of an incident spaces the probes, and unsafe messages avoid routes that fail.
            || route.incident_since.is_some()
            || route.failure_share > LOSSY_FAILURE_SHARE
            // Rejections have cut the rate limit: a start at the equal share of a known limit, or with no
            // rate limit, would be rejected again.
            || route.rate_limit > 0.0
                && route.rate_limit
                    < RECOVERED_RATE_LIMIT_SHARE * route.equal_share(self.settings.replicas)
                && !(route.known_limit <= 0.0
                    && exceeds_request_rate(route.rate_limit, self.request_rate(route_index)))
    }

    fn must_keep_endpoint(&self, endpoint: &Target) -> bool {
        // After an operator has enabled it, it may be cold until the end of its ramp.
        let is_ramping =
            endpoint.cold_since.is_some_and(|since| self.now < since + self.settings.contract.ramp_time);
        // It has recently failed, failed to connect, or rejected a connection.
        let is_avoided =
            endpoint.ejected_until.max(endpoint.table_full_until).max(endpoint.next_connection_at) > self.now
                || endpoint.close_after_use > 0;
        // Connections may be open since its last call, and their idle time counts.
        let is_connected = endpoint.last_used_at.max(endpoint.last_result_at)
            + self.settings.connection_idle_timeout
            > self.now;
        is_ramping || is_avoided || is_connected
    }

    /// How long removed endpoints are remembered: longer than any call, drain or ramp lasts.
    pub(crate) fn removed_retention(&self) -> Micros {
        let contract = &self.settings.contract;
        contract.drain_grace.max(contract.ramp_time).max(self.settings.longest_deadline() as Micros)
    }

    /// Whether an endpoint may be forgotten whose retention after its removal has passed: it has no call in
    /// flight, and its destination has asked for no wait that still holds. Its number is kept: a list of a
    /// lower version does not bring it back.
    pub(crate) fn may_forget(&self, id: TargetId) -> bool {
        let Some(route) = self.targets.get(&id).map(|endpoint| &self.routes[endpoint.route]) else {
            return true;
        };
        route.paused_until <= self.now && route.calls.values().all(|call| call.target != id)
    }
}

/// Whether the response times or the request rate of a route still have weight. They halve with each span of
/// the longest deadline: one response has faded after five of these spans, fifty responses after ten.
fn has_recent_statistics(route: &Route) -> bool {
    !route.response_times.has_faded() || route.recent_requests > FADED_WEIGHT
}
