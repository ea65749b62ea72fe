//! What operators see of the endpoints.

use crate::interface::*;
use crate::policy::DeliveryPolicy;

impl DeliveryPolicy {
    /// Listed endpoints, and those of them that get no call at present: by hand, or since they or their
    /// destination look out.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let by_hand = self.excluded.iter().filter(|id| self.is_listed(**id)).count();
        let listed = self.targets.iter().filter(|(_, t)| t.state != EndpointState::Removed);
        let by_choice = listed.filter(|(id, t)| {
            let looks_out = self.routes[t.route].breaker.is_open() || t.avoid_until > self.now;
            looks_out && !self.excluded.contains(id)
        });
        EndpointCounts { listed: self.listing.listed(), ejected: by_hand + by_choice.count() }
    }

    /// Whether the list has this endpoint.
    pub fn is_listed(&self, target: TargetId) -> bool {
        self.listing.lists(target)
    }

    /// Routes that have state of their own at present: those of destinations with messages, or with something to
    /// remember.
    pub fn active_route_count(&self) -> usize {
        self.routes.len()
    }
}
