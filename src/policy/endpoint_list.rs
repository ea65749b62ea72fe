//! Endpoints that discovery lists: routes are made, drained and removed.

use super::*;

impl DeliveryPolicy {
    /// A full list removes what it lacks; a cached one is only a start. One of a lower version is late, or
    /// from another discovery that counts anew: what it drains or lacks gets no call, but it revives nothing.
    pub(super) fn list(&mut self, kind: ListKind, version: u32, lines: Vec<Endpoint>) {
        if (kind == ListKind::Cached && self.settings.subscribe) || kind == ListKind::Failed {
            self.out.push(Action::Subscribe { on: true });
        }
        if kind == ListKind::Failed {
            return;
        }
        let late = version < self.list_version;
        self.list_version = self.list_version.max(version);
        if kind == ListKind::Full {
            let named: BTreeSet<TargetId> = lines.iter().map(|e| e.target).collect();
            for (_, t) in self.targets.iter_mut().filter(|(id, _)| !named.contains(id)) {
                t.state = EndpointState::Gone;
            }
        }
        for e in lines {
            let phase = self.random();
            let kind = e.kind as usize;
            let apart = self.settings.routes_apart.get(kind).copied().unwrap_or(false);
            let d = self.destinations.entry(e.destination);
            let known = self.targets.get(&e.target).map(|t| t.route);
            let route = known.or(if apart { None } else { d.routes.first().copied() }).unwrap_or_else(|| {
                let fee =
                    self.settings.zone_fee.get(e.zone as usize).copied().filter(|_| apart).unwrap_or(0.0);
                let fresh = Route { kind, fee, window: 1.0, budget: RESEND_SAVED, ..Route::default() };
                // Those that begin together do not make their first calls together.
                self.routes.push(Route { tokens: phase, last_ok: self.now, filled: self.now, ..fresh });
                d.routes.push(self.routes.len() - 1);
                self.routes.len() - 1
            });
            let l = &mut self.routes[route];
            if self.settings.listed_rate != ListedRate::Unknown && e.rate > 0.0 {
                l.limit_is(e.rate, self.settings.senders);
            }
            l.targets.extend(known.is_none().then_some(e.target));
            let fresh = Target { route, zone: e.zone, ..Target::default() };
            let t = self.targets.entry(e.target).or_insert(fresh);
            t.state = if late { e.state.max(t.state) } else { e.state };
            let d = self.destinations.get(e.destination).filter(|_| known.is_none());
            let found = d.into_iter().flat_map(|d| &d.ready).filter(|((.., found), _)| *found);
            let ids = found.flat_map(|(_, set)| set).map(|(_, id)| *id);
            for id in ids.collect::<Vec<_>>() {
                self.call_in_time(route, self.messages[&id].expires);
            }
        }
    }
}
