//! What operators see of the endpoints.

use crate::interface::*;
use crate::policy::DeliveryPolicy;

impl DeliveryPolicy {
    /// Listed endpoints, and those of them that get no call at present: by hand, or since they or their
    /// destination look out.
    pub fn pool(&self) -> Pool {
        let by_hand = self.excluded.iter().filter(|id| self.lists(**id)).count();
        let listed = self.targets.iter().filter(|(_, t)| t.state != EndpointState::Gone);
        let by_choice = listed.filter(|(id, t)| {
            let looks_out = self.routes[t.route].breaker.is_open() || t.avoid_until > self.now;
            looks_out && !self.excluded.contains(id)
        });
        Pool { listed: self.listing.listed(), avoided: by_hand + by_choice.count() }
    }

    /// Whether the list has this endpoint.
    pub fn lists(&self, target: TargetId) -> bool {
        self.listing.lists(target)
    }

    /// Routes that have state of their own at present: those of destinations with messages, or with something to
    /// remember.
    pub fn active_routes(&self) -> usize {
        self.routes.len()
    }
}
