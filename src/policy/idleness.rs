//! What is forgotten of destinations that are idle and of endpoints that are gone, and what outlives that.

use super::rates::exceeds_need;
use super::*;

/// Part of the even part of a known limit from which a rate limit that refusals have cut counts as recovered.
const RATE_RECOVERED: f64 = 0.95;

impl DeliveryPolicy {
    /// Whether the state of a destination is dropped: nothing is held for it, and it has nothing to remember.
    /// The next message makes it anew, as at the listing. What operators exclude and what drains stands in
    /// the exclusions and in the listing, and stays.
    pub(crate) fn is_idle(&self, d: &Destination) -> bool {
        d.held == 0 && d.routes.iter().all(|route| !self.remembers(*route))
    }

    /// Whether a route has to outlive idleness, by its own state or that of its endpoints.
    fn remembers(&self, route: usize) -> bool {
        let l = &self.routes[route];
        // Calls that are out end here, and told waits bind whatever comes later, also other endpoints.
        let bound = !l.calls.is_empty() || l.wait_until > self.now;
        // What has no endpoint left is out of the list: the rest was said of endpoints that are gone.
        bound
            || !l.targets.is_empty() && (self.is_in_trouble(route) || has_learned(l))
            || l.targets.iter().any(|id| self.remembers_endpoint(&self.targets[id]))
    }

    fn is_in_trouble(&self, route: usize) -> bool {
        let l = &self.routes[route];
        // An open breaker and a slow start (to the end of the ramp): all that replicas held would push over
        // what is out or cold, if each began anew.
        l.breaker != CircuitBreaker::Closed
            // The age of a trouble spaces what is tried, and unsafe messages stay away from what fails.
            || l.trouble.is_some()
            || l.failing > LOSSY
            // Refusals cut it: to begin at the even part of a known limit, or with none, would be refused.
            || l.rate_limit > 0.0 && l.rate_limit < RATE_RECOVERED * l.even_share(self.settings.replicas)
                && !(l.limit <= 0.0 && exceeds_need(l.rate_limit, self.own_rate(route)))
    }

    fn remembers_endpoint(&self, t: &Target) -> bool {
        // Put back by hand it may be cold until its ramp is over.
        let ramps = t.cold.is_some_and(|since| self.now < since + self.settings.contract.ramp_time);
        // It failed, denied a connection or was full of them, lately.
        let avoided = t.avoid_until.max(t.denied_until).max(t.away_until) > self.now || t.to_close > 0;
        // Connections may be open from its last call, and how long they rested counts.
        let connected = t.last_used.max(t.ended) + self.settings.connection_idle_timeout > self.now;
        ramps || avoided || connected
    }

    /// How long endpoints are remembered once they are gone: longer than any call, drain or ramp lasts.
    pub(crate) fn gone_grace(&self) -> Micros {
        let rules = &self.settings.contract;
        rules.drain_grace.max(rules.ramp_time).max(self.settings.longest_deadline() as Micros)
    }

    /// Whether nothing of an endpoint that is gone for so long matters still: it has no call out, and no wait
    /// was told that binds its route. Its name stays: a list of a lower version does not revive it.
    pub(crate) fn may_forget(&self, id: TargetId) -> bool {
        let Some(l) = self.targets.get(&id).map(|t| &self.routes[t.route]) else { return true };
        l.wait_until <= self.now && l.calls.values().all(|c| c.target != id)
    }
}

/// Answer times, and the rate of requests, until too little is left of them to count. They fade by half with
/// each longest deadline: it takes five of these after one answer, ten after fifty.
fn has_learned(l: &Route) -> bool {
    !l.times.has_faded() || l.recent_requests > FADED
}
