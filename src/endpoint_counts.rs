//! Counts of endpoints and routes that operators see.

use crate::interface::*;
use crate::policy::DeliveryPolicy;

impl DeliveryPolicy {
    /// Counts the listed endpoints, and those of them that get no calls at present: disabled by an operator,
    /// ejected after a failure, or behind an open circuit breaker.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        let disabled = self.disabled.iter().filter(|id| self.is_listed(**id)).count();
        let listed = self.targets.iter().filter(|(_, target)| target.state != EndpointState::Removed);
        let ejected = listed.filter(|(id, target)| {
            let is_avoided = self.routes[target.route].breaker.is_open() || target.ejected_until > self.now;
            is_avoided && !self.disabled.contains(id)
        });
        EndpointCounts { listed: self.listing.listed_count(), ejected: disabled + ejected.count() }
    }

    /// Whether the list has this endpoint.
    pub fn is_listed(&self, target: TargetId) -> bool {
        self.listing.is_listed(target)
    }

    /// Number of routes that have state at present: those of destinations that hold messages or have state to
    /// keep.
    pub fn active_route_count(&self) -> usize {
        self.routes.len()
    }
}
