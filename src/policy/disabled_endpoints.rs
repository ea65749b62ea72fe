//! Endpoints that operators disable and enable again, and whether an endpoint accepts calls.

use super::*;

impl DeliveryPolicy {
    /// Disables or enables an endpoint. This is independent of the list: no change of the list enables an
    /// endpoint that an operator has disabled. Connections made before are not used again, since the endpoint
    /// may be another process by then.
    pub(crate) fn set_disabled(&mut self, target: TargetId, disabled: bool) {
        if !disabled && self.disabled.remove(&target) {
            // Its process may have been restarted meanwhile. This is recorded even if no message is held for
            // it.
            self.activate_destination_of(target);
            self.targets
                .entry(target)
                .and_modify(|endpoint| (endpoint.cold_since, endpoint.ejected_until) = (Some(self.now), 0));
        }
        if disabled {
            self.disabled.insert(target);
        }
        self.actions.push(Action::CloseIdle { target });
    }

    /// Whether an endpoint may get a call, apart from its health. One that was enabled and may be cold gets
    /// one call at a time, spaced by its part of the load that this replica may send without overloading it,
    /// as in the slow start of a destination. The cost: one that was warm gets few calls at first.
    pub(crate) fn accepts_calls(&self, id: TargetId, endpoint: &Target) -> bool {
        if endpoint.state != EndpointState::Ready || self.disabled.contains(&id) {
            return false;
        }
        let ramp_time = self.settings.contract.ramp_time;
        let Some(since) = endpoint.cold_since.filter(|since| self.now < since + ramp_time) else {
            return true;
        };
        let route = &self.routes[endpoint.route];
        let rate = self.cold_rate(endpoint.route, since) / route.targets.len().max(1) as f64;
        let interval_has_passed =
            self.now.saturating_sub(endpoint.last_used_at.max(since)) as f64 * rate >= MICROS_PER_SECOND;
        interval_has_passed && route.calls.values().all(|call| call.target != id)
    }
}
