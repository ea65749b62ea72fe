//! Changes of the endpoint list: endpoints added, drained and removed.

use super::*;

impl DeliveryPolicy {
    /// Applies an update of the list. A full list removes the endpoints that it lacks; a cached one, which
    /// may be outdated, does not. An update with a lower version than the current one is late, or comes from
    /// another discovery service with version numbers of its own: endpoints that it drains or lacks get no
    /// calls, but it does not bring drained or removed endpoints back.
    pub(super) fn apply_list(&mut self, kind: ListKind, version: u32, entries: Vec<Endpoint>) {
        if (kind == ListKind::Cached && self.settings.subscribe_to_discovery) || kind == ListKind::Failed {
            self.actions.push(Action::Subscribe { on: true });
        }
        if kind == ListKind::Failed {
            return;
        }
        let is_late = version < self.list_version;
        self.list_version = self.list_version.max(version);
        if kind == ListKind::Full {
            let missing = self.listing.missing_in(&entries);
            missing.into_iter().for_each(|id| self.set_state(id, EndpointState::Removed));
        }
        entries.into_iter().for_each(|entry| self.apply_list_entry(entry, is_late));
    }

    fn apply_list_entry(&mut self, mut entry: Endpoint, is_late: bool) {
        let initial_tokens = self.random.next();
        let id = entry.target;
        if self.settings.listed_rate == ListedRate::Unknown {
            entry.rate = 0.0;
        }
        let Some(known) = self.listing.get(id) else {
            if is_late && self.listing.has_forgotten(id) {
                return;
            }
            self.listing.add(&entry, initial_tokens, self.now);
            if self.destinations.get(entry.destination).is_some() {
                self.activate_endpoint(id);
                self.reserve_calls_for_restored(entry.destination, id);
            }
            return;
        };
        let state = if is_late { entry.state.max(known.state) } else { entry.state };
        self.set_state(id, state);
        self.set_listed_rate(id, entry.rate);
    }

    fn reserve_calls_for_restored(&mut self, destination: DestinationId, target: TargetId) {
        let restored = self.destinations.get(destination).map(|destination| destination.restored_unsent());
        for id in restored.unwrap_or_default() {
            self.reserve_call_before(self.targets[&target].route, self.messages[&id].expires);
        }
    }
}
