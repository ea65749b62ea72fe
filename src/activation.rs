//! Creates the state of destinations, routes and endpoints when a destination becomes active, and drops it
//! again. `policy/idleness.rs` decides when it may be dropped.

use crate::interface::*;
use crate::policy::{DeliveryPolicy, MAX_RETRY_BUDGET};
use crate::state::{Route, Target};

/// Rounds of maintenance from one cleanup to the next.
const ROUNDS_BETWEEN_CLEANUPS: u32 = 10;

impl DeliveryPolicy {
    /// Creates the state of a destination and of all its endpoints, if it has none.
    pub(crate) fn activate(&mut self, destination: DestinationId) {
        if self.destinations.get(destination).is_none() {
            self.destinations.entry(destination);
            for id in self.listing.of_destination(destination) {
                self.activate_endpoint(id);
            }
        }
    }

    /// Creates the state of the destination of an endpoint, if the endpoint is known.
    pub(crate) fn activate_destination_of(&mut self, id: TargetId) {
        if let Some(endpoint) = self.listing.get(id) {
            self.activate(endpoint.destination);
        }
    }

    /// Creates the state of an endpoint, as it would be if created when the endpoint was first listed.
    pub(crate) fn activate_endpoint(&mut self, id: TargetId) {
        let Some(endpoint) = self.listing.get(id) else { return };
        self.destinations.unblock(endpoint.destination);
        let destination = self.destinations.entry(endpoint.destination);
        let own_route = self.settings.route_per_endpoint.get(endpoint.kind()).copied().unwrap_or(false);
        let shared = if own_route { None } else { destination.routes.first().copied() };
        let route_index = shared.unwrap_or_else(|| {
            let fee = self
                .settings
                .zone_fee
                .get(endpoint.zone as usize)
                .copied()
                .filter(|_| own_route)
                .unwrap_or(0.0);
            // The random initial tokens keep replicas that start together from making their first calls
            // together.
            let new =
                Route { window: 1.0, retry_budget: MAX_RETRY_BUDGET, fee, ..Route::listed(id, &endpoint) };
            destination.routes.push(self.routes.insert(new));
            destination.routes[destination.routes.len() - 1]
        });
        let route = &mut self.routes[route_index];
        route.targets.push(id);
        if endpoint.rate > 0.0 {
            route.set_known_limit(endpoint.rate, self.settings.replicas);
        }
        self.targets.insert(
            id,
            Target { route: route_index, zone: endpoint.zone, state: endpoint.state, ..Target::default() },
        );
    }

    /// Sets the state of a known endpoint, active or not.
    pub(crate) fn set_state(&mut self, id: TargetId, state: EndpointState) {
        self.listing.set_state(id, state, self.now);
        self.targets.entry(id).and_modify(|target| target.state = state);
    }

    /// Sets the listed rate of a known endpoint, active or not, if the list has one.
    pub(crate) fn set_listed_rate(&mut self, id: TargetId, rate: f64) {
        if rate > 0.0 {
            self.listing.set_rate(id, rate);
            let route = self.targets.get(&id).map(|target| &mut self.routes[target.route]);
            route.into_iter().for_each(|route| route.set_known_limit(rate, self.settings.replicas));
        }
    }

    /// Drops state that is no longer needed, in one of several rounds of maintenance: a search in each round
    /// would cost more than keeping the state a little longer.
    pub(crate) fn drop_inactive_periodically(&mut self) {
        self.rounds_since_cleanup += 1;
        if self.rounds_since_cleanup >= ROUNDS_BETWEEN_CLEANUPS {
            self.rounds_since_cleanup = 0;
            self.drop_inactive();
        }
    }

    /// Drops the state of idle destinations, and forgets endpoints that were removed long ago.
    fn drop_inactive(&mut self) {
        for id in self.listing.removed_until(self.now.saturating_sub(self.removed_retention())) {
            if self.may_forget(id) {
                self.deactivate_endpoint(id);
                self.listing.forget(id);
            }
        }
        let idle = self.destinations.iter().filter(|(_, destination)| self.is_idle(destination));
        for id in idle.map(|(id, _)| id).collect::<Vec<_>>() {
            self.deactivate(id);
        }
    }

    /// Drops the state of a destination and of all its endpoints.
    fn deactivate(&mut self, destination: DestinationId) {
        for route_index in self.destinations.remove(destination).routes {
            for target in self.routes.remove(route_index).targets {
                self.targets.remove(&target);
            }
        }
    }

    /// Drops the state of an endpoint, and of its route if that has no other endpoint and is not the only
    /// route of the destination. The only route stays, since endpoints that are listed later share it.
    fn deactivate_endpoint(&mut self, id: TargetId) {
        let Some(Target { route: route_index, .. }) = self.targets.remove(&id) else { return };
        let route = &mut self.routes[route_index];
        route.targets.retain(|target| *target != id);
        self.destinations.unblock(route.destination);
        let destination = self.destinations.entry(route.destination);
        if route.targets.is_empty() && destination.routes.len() > 1 {
            destination.routes.retain(|other| *other != route_index);
            self.routes.remove(route_index);
        }
    }
}
