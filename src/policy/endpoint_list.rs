//! Endpoints that discovery lists: taken in, drained and removed.

use super::*;

impl DeliveryPolicy {
    /// A full list removes what it lacks; a cached one is only a start. One of a lower version is late, or
    /// from another discovery that counts anew: what it drains or lacks gets no call, but it revives nothing.
    pub(super) fn list(&mut self, kind: ListKind, version: u32, lines: Vec<Endpoint>) {
        if (kind == ListKind::Cached && self.settings.subscribe_to_discovery) || kind == ListKind::Failed {
            self.out.push(Action::Subscribe { on: true });
        }
        if kind == ListKind::Failed {
            return;
        }
        let late = version < self.list_version;
        self.list_version = self.list_version.max(version);
        if kind == ListKind::Full {
            let missing = self.listing.missing_in(&lines);
            missing.into_iter().for_each(|id| self.set_state(id, EndpointState::Removed));
        }
        lines.into_iter().for_each(|line| self.list_line(line, late));
    }

    fn list_line(&mut self, mut line: Endpoint, late: bool) {
        let phase = self.random.next();
        let id = line.target;
        if self.settings.listed_rate == ListedRate::Unknown {
            line.rate = 0.0;
        }
        let Some(known) = self.listing.get(id) else {
            if late && self.listing.has_forgotten(id) {
                return;
            }
            self.listing.add(&line, phase, self.now);
            if self.destinations.get(line.destination).is_some() {
                self.activate_endpoint(id);
                self.call_for_what_was_found(line.destination, id);
            }
            return;
        };
        let state = if late { line.state.max(known.state) } else { line.state };
        self.set_state(id, state);
        self.set_listed_rate(id, line.rate);
    }

    fn call_for_what_was_found(&mut self, destination: DestinationId, target: TargetId) {
        let found = self.destinations.get(destination).map(|d| d.found());
        for id in found.unwrap_or_default() {
            self.call_in_time(self.targets[&target].route, self.messages[&id].expires);
        }
    }
}
