//! What operators and discovery change: the endpoint list, and endpoints that operators disable.

use super::*;

impl Node {
    /// Passes an endpoint list on to the policy. New endpoints are assigned target ids.
    pub(super) fn update_endpoints(&mut self, list: ServerList, kind: ListKind) {
        let index_of = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |at| at as u32)
        };
        let mut endpoints = Vec::with_capacity(list.servers.len());
        for entry in list.servers {
            let zone = self.settings.zone_number(&entry.zone);
            let known = self.target_ids.get(&entry.id).copied();
            let target = known.unwrap_or(self.endpoints.len() as TargetId);
            if let Some(known_endpoint) = self.endpoints.get_mut(target as usize) {
                (known_endpoint.address, known_endpoint.zone) = (entry.addr, zone);
            } else {
                self.endpoints.push(KnownEndpoint { address: entry.addr, zone, generation: 0 });
                if self.disabled_endpoints.contains(&entry.id) {
                    self.notify_policy(Event::EndpointAdminState { target, disabled: true });
                }
                self.target_ids.insert(entry.id, target);
            }
            endpoints.push(Endpoint {
                target,
                destination: entry.cell,
                kind: index_of(&self.settings.kind_names, &entry.kind),
                zone,
                state: match entry.state {
                    ServerState::Active => EndpointState::Ready,
                    ServerState::Leaving => EndpointState::Draining,
                    ServerState::Left => EndpointState::Removed,
                },
                rate: entry.weight,
            });
        }
        let version = u32::try_from(list.version).unwrap_or(u32::MAX);
        self.notify_policy(Event::List { kind, version, endpoints });
    }

    pub(super) fn handle_admin_request(&mut self, request: AdminRequest) -> AdminResponse {
        let serving = self.accepting && *self.stage.borrow() == LifecycleStage::Serving;
        match request {
            AdminRequest::Ready if serving => AdminResponse::new(StatusCode::OK, "ready\n"),
            AdminRequest::Ready => {
                AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "clients are not taken\n")
            }
            AdminRequest::Metrics => AdminResponse::new(
                StatusCode::OK,
                self.metrics.render(
                    self.messages.len(),
                    self.policy.endpoint_counts(),
                    MemoryUsage::read(),
                    self.client_stats.totals(),
                ),
            ),
            AdminRequest::Disable(name) => self.set_disabled(&name, true),
            AdminRequest::Enable(name) => self.set_disabled(&name, false),
        }
    }

    /// Disables or enables an endpoint. Success means that the state has been persisted and outlasts the
    /// process.
    pub(super) fn set_disabled(&mut self, name: &str, disabled: bool) -> AdminResponse {
        let target = self.target_ids.get(name).copied();
        let was_disabled = self.disabled_endpoints.contains(name);
        if !was_disabled && !target.is_some_and(|target| self.policy.is_listed(target)) {
            return AdminResponse::new(StatusCode::NOT_FOUND, "no such endpoint\n");
        }
        if let Err(error) = self.disabled_endpoints.set_disabled(name, disabled) {
            log::warn!("admin: state of endpoint {name} not changed: {error}");
            return AdminResponse::new(StatusCode::INSUFFICIENT_STORAGE, format!("{error}\n"));
        }
        let state = if disabled { "out" } else { "in" };
        if let Some(target) = target.filter(|_| was_disabled != disabled) {
            log::info!("admin: endpoint {name} is {state}");
            self.endpoints[target as usize].generation += 1;
            self.notify_policy(Event::EndpointAdminState { target, disabled });
        }
        AdminResponse::new(StatusCode::OK, format!("{name} is {state}\n"))
    }
}
