//! Endpoints that operators take out by hand and put back: part of the decisions.

use super::*;

impl DeliveryPolicy {
    /// What operators say stands beside the list: no change of the list undoes it. Connections from before
    /// are not used again: the endpoint's process may be another by then.
    pub(crate) fn by_hand(&mut self, target: TargetId, out: bool) {
        if !out && self.excluded.remove(&target) {
            // It may have been started anew meanwhile: that is remembered, message or not.
            self.activate_destination_of(target);
            self.targets.entry(target).and_modify(|t| (t.cold, t.avoid_until) = (Some(self.now), 0));
        }
        if out {
            self.excluded.insert(target);
        }
        self.out.push(Action::CloseIdle { target });
    }

    /// Whether an endpoint may get a call, all but its health considered. Guards one that is back and may be
    /// cold against this replica's part of what would push it over, as the slow start does for a destination:
    /// one call at a time, spaced by the part of it that falls to one endpoint. Harms one that was warm.
    pub(crate) fn takes_calls(&self, id: TargetId, t: &Target) -> bool {
        if t.state != EndpointState::Ready || self.excluded.contains(&id) {
            return false;
        }
        let ramp = self.settings.contract.ramp_time;
        let Some(since) = t.cold.filter(|since| self.now < since + ramp) else { return true };
        let l = &self.routes[t.route];
        let rate = self.cold_rate(t.route, since) / l.targets.len().max(1) as f64;
        let rested = self.now.saturating_sub(t.last_used.max(since)) as f64 * rate >= SECOND;
        rested && l.calls.values().all(|c| c.target != id)
    }
}
