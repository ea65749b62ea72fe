//! State of destinations, routes and endpoints: made when a destination becomes active, and dropped again. When that may
//! be dropped is decided in `policy/idleness.rs`.

use crate::interface::*;
use crate::policy::{DeliveryPolicy, RESEND_SAVED};
use crate::state::{Route, Target};

/// Rounds of maintenance from one look at what may be dropped to the next.
const ROUNDS_BETWEEN_DROPS: u32 = 10;

impl DeliveryPolicy {
    /// Makes the state of a destination, with that of all its endpoints, if it has none.
    pub(crate) fn activate(&mut self, destination: DestinationId) {
        if self.destinations.get(destination).is_none() {
            self.destinations.entry(destination);
            for id in self.listing.of(destination) {
                self.activate_endpoint(id);
            }
        }
    }

    /// Makes the state of the destination of an endpoint, if that is listed.
    pub(crate) fn activate_destination_of(&mut self, id: TargetId) {
        if let Some(e) = self.listing.get(id) {
            self.activate(e.destination);
        }
    }

    /// Makes the state of an endpoint, as it would be had it been made with the listing.
    pub(crate) fn activate_endpoint(&mut self, id: TargetId) {
        let Some(e) = self.listing.get(id) else { return };
        self.destinations.forget_wait(e.destination);
        let d = self.destinations.entry(e.destination);
        let apart = self.settings.route_per_endpoint.get(e.kind()).copied().unwrap_or(false);
        let shared = if apart { None } else { d.routes.first().copied() };
        let route = shared.unwrap_or_else(|| {
            let fee = self.settings.zone_fee.get(e.zone as usize).copied().filter(|_| apart).unwrap_or(0.0);
            // Those that begin together do not make their first calls together: each has its phase.
            let fresh = Route { window: 1.0, budget: RESEND_SAVED, fee, ..Route::listed(id, &e) };
            d.routes.push(self.routes.insert(fresh));
            d.routes[d.routes.len() - 1]
        });
        let l = &mut self.routes[route];
        l.targets.push(id);
        if e.rate > 0.0 {
            l.limit_is(e.rate, self.settings.replicas);
        }
        self.targets.insert(id, Target { route, zone: e.zone, state: e.state, ..Target::default() });
    }

    /// Sets the state of an endpoint that is listed, active or not.
    pub(crate) fn set_state(&mut self, id: TargetId, state: EndpointState) {
        self.listing.set_state(id, state, self.now);
        self.targets.entry(id).and_modify(|t| t.state = state);
    }

    /// Sets the listed rate of an endpoint, active or not, where one is told.
    pub(crate) fn set_listed_rate(&mut self, id: TargetId, rate: f64) {
        if rate > 0.0 {
            self.listing.set_rate(id, rate);
            let route = self.targets.get(&id).map(|t| &mut self.routes[t.route]);
            route.into_iter().for_each(|l| l.limit_is(rate, self.settings.replicas));
        }
    }

    /// Looks for what may be dropped, once in so many rounds of maintenance: to look costs more than to keep it so long.
    pub(crate) fn drop_inactive_in_turn(&mut self) {
        self.rounds_since_drop += 1;
        if self.rounds_since_drop >= ROUNDS_BETWEEN_DROPS {
            self.rounds_since_drop = 0;
            self.drop_inactive();
        }
    }

    /// Drops the state of destinations that are idle, and forgets endpoints that are gone for long.
    fn drop_inactive(&mut self) {
        for id in self.listing.gone_until(self.now.saturating_sub(self.gone_grace())) {
            if self.may_forget(id) {
                self.deactivate_endpoint(id);
                self.listing.forget(id);
            }
        }
        let idle = self.destinations.iter().filter(|(_, d)| self.is_idle(d));
        for id in idle.map(|(id, _)| id).collect::<Vec<_>>() {
            self.deactivate(id);
        }
    }

    /// Drops the state of a destination, with that of all its endpoints.
    fn deactivate(&mut self, destination: DestinationId) {
        for route in self.destinations.remove(destination).routes {
            for target in self.routes.remove(route).targets {
                self.targets.remove(&target);
            }
        }
    }

    /// Drops the state of an endpoint, and that of its route if it was the last there and the destination has others.
    /// The only route of a destination stays: endpoints that are listed later share it.
    fn deactivate_endpoint(&mut self, id: TargetId) {
        let Some(Target { route, .. }) = self.targets.remove(&id) else { return };
        let l = &mut self.routes[route];
        l.targets.retain(|target| *target != id);
        self.destinations.forget_wait(l.destination);
        let d = self.destinations.entry(l.destination);
        if l.targets.is_empty() && d.routes.len() > 1 {
            d.routes.retain(|other| *other != route);
            self.routes.remove(route);
        }
    }
}
