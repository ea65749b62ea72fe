//! The list of endpoints, kept small: what discovery told of each, and what state made later needs to be as if made
//! when the endpoint was first listed.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Place in the order in which endpoints were first listed.
pub(crate) type ListingOrder = u32;

/// An endpoint as listed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ListedEndpoint {
    /// The listed rate, 0 if none was told.
    pub rate: f64,
    /// Drawn when it was first listed: part of a call that its route has saved up at its start.
    pub phase: f64,
    /// When it was first listed.
    pub since: Micros,
    pub destination: DestinationId,
    pub order: ListingOrder,
    pub zone: u32,
    /// The kind of the destination; one too large for the field is in no list by kind either.
    pub kind: u16,
    pub state: EndpointState,
}

impl ListedEndpoint {
    /// Its place in the settings' lists by kind.
    pub fn kind(&self) -> usize {
        self.kind.into()
    }
}

/// All endpoints by name, and by destination in the order in which they were first listed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Listing {
    endpoints: BTreeMap<TargetId, ListedEndpoint>,
    by_destination: BTreeSet<(DestinationId, ListingOrder, TargetId)>,
    next_order: ListingOrder,
    /// When those that are gone went, by name and by time.
    gone_at: BTreeMap<TargetId, Micros>,
    gone: BTreeSet<(Micros, TargetId)>,
    /// Names of those forgotten since they went: a list of a lower version, which may still name them, does not bring
    /// them back.
    forgotten: BTreeSet<TargetId>,
}

impl Listing {
    /// An endpoint that is listed, or was until lately.
    pub fn get(&self, target: TargetId) -> Option<ListedEndpoint> {
        self.endpoints.get(&target).copied()
    }

    /// Endpoints of a destination, in the order in which they were first listed.
    pub fn of(&self, destination: DestinationId) -> Vec<TargetId> {
        let first = (destination, ListingOrder::MIN, TargetId::MIN);
        let last = (destination, ListingOrder::MAX, TargetId::MAX);
        self.by_destination.range(first..=last).map(|(.., target)| *target).collect()
    }

    /// Whether an endpoint is in the list now.
    pub fn lists(&self, target: TargetId) -> bool {
        self.get(target).is_some_and(|e| e.state != EndpointState::Removed)
    }

    /// How many endpoints are in the list now.
    pub fn listed(&self) -> usize {
        self.endpoints.len() - self.gone_at.len()
    }

    /// Takes in an endpoint that is not known.
    pub fn add(&mut self, line: &Endpoint, phase: f64, now: Micros) {
        let endpoint = ListedEndpoint {
            rate: line.rate.max(0.0),
            phase,
            since: now,
            destination: line.destination,
            order: self.next_order,
            zone: line.zone,
            kind: u16::try_from(line.kind).unwrap_or(u16::MAX),
            state: EndpointState::Ready,
        };
        self.next_order += 1;
        self.forgotten.remove(&line.target);
        self.by_destination.insert((line.destination, endpoint.order, line.target));
        self.endpoints.insert(line.target, endpoint);
        self.set_state(line.target, line.state, now);
    }

    /// Sets the listed rate of an endpoint that is known.
    pub fn set_rate(&mut self, target: TargetId, rate: f64) {
        self.endpoints.entry(target).and_modify(|e| e.rate = rate);
    }

    /// Sets the state of an endpoint that is known.
    pub fn set_state(&mut self, target: TargetId, state: EndpointState, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let before = std::mem::replace(&mut endpoint.state, state);
        if before == state {
            return;
        }
        if let Some(at) = self.gone_at.remove(&target) {
            self.gone.remove(&(at, target));
        }
        if state == EndpointState::Removed {
            self.gone_at.insert(target, now);
            self.gone.insert((now, target));
        }
    }

    /// Endpoints in the list now that these lines do not name.
    pub fn missing_in(&self, lines: &[Endpoint]) -> Vec<TargetId> {
        let mut named: Vec<TargetId> = lines.iter().map(|e| e.target).collect();
        named.sort_unstable();
        let listed = self.endpoints.iter().filter(|(_, e)| e.state != EndpointState::Removed);
        listed.map(|(id, _)| *id).filter(|id| named.binary_search(id).is_err()).collect()
    }

    /// Endpoints that went at this time or before, and are not forgotten yet.
    pub fn gone_until(&self, at: Micros) -> Vec<TargetId> {
        self.gone.range(..=(at, TargetId::MAX)).map(|(_, target)| *target).collect()
    }

    /// Forgets all of an endpoint that is gone but its name.
    pub fn forget(&mut self, target: TargetId) {
        let Some(endpoint) = self.endpoints.remove(&target) else { return };
        self.by_destination.remove(&(endpoint.destination, endpoint.order, target));
        if let Some(at) = self.gone_at.remove(&target) {
            self.gone.remove(&(at, target));
        }
        self.forgotten.insert(target);
    }

    /// Whether an endpoint was forgotten since it went.
    pub fn has_forgotten(&self, target: TargetId) -> bool {
        self.forgotten.contains(&target)
    }
}
