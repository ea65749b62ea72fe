//! The list of endpoints in compact form: what discovery lists of each endpoint, and what the policy needs to
//! create the endpoint's state later as if it had been created when the endpoint was first listed.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Position in the order in which endpoints were first listed.
pub(crate) type ListingOrder = u32;

/// An endpoint as listed.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct ListedEndpoint {
    /// The listed rate, 0 if the list has none.
    pub rate: f64,
    /// Part of a token that its route starts with, drawn at random when the endpoint was first listed.
    pub initial_tokens: f64,
    /// When it was first listed.
    pub listed_at: Micros,
    pub destination: DestinationId,
    pub order: ListingOrder,
    pub zone: u32,
    /// The kind of the destination. A kind too large for this field has no entry in the settings by kind
    /// either.
    pub kind: u16,
    pub state: EndpointState,
}

impl ListedEndpoint {
    /// The kind of the destination as an index into the settings by kind.
    pub fn kind(&self) -> usize {
        self.kind.into()
    }
}

/// All endpoints by number, and by destination in the order in which they were first listed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Listing {
    endpoints: BTreeMap<TargetId, ListedEndpoint>,
    by_destination: BTreeSet<(DestinationId, ListingOrder, TargetId)>,
    next_order: ListingOrder,
    /// When each removed endpoint was removed.
    removed_at: BTreeMap<TargetId, Micros>,
    /// The same, ordered by time.
    removed: BTreeSet<(Micros, TargetId)>,
    /// Endpoints that were forgotten after their removal: a list of a lower version, which may still name
    /// them, does not bring them back.
    forgotten: BTreeSet<TargetId>,
}

impl Listing {
    /// An endpoint that is listed, or removed and not forgotten yet.
    pub fn get(&self, target: TargetId) -> Option<ListedEndpoint> {
        self.endpoints.get(&target).copied()
    }

    /// Endpoints of a destination, in the order in which they were first listed.
    pub fn of_destination(&self, destination: DestinationId) -> Vec<TargetId> {
        let first = (destination, ListingOrder::MIN, TargetId::MIN);
        let last = (destination, ListingOrder::MAX, TargetId::MAX);
        self.by_destination.range(first..=last).map(|(.., target)| *target).collect()
    }

    /// Whether an endpoint is in the list now.
    pub fn is_listed(&self, target: TargetId) -> bool {
        self.get(target).is_some_and(|endpoint| endpoint.state != EndpointState::Removed)
    }

    /// How many endpoints are in the list now.
    pub fn listed_count(&self) -> usize {
        self.endpoints.len() - self.removed_at.len()
    }

    /// Adds an endpoint that is not known.
    pub fn add(&mut self, entry: &Endpoint, initial_tokens: f64, now: Micros) {
        let endpoint = ListedEndpoint {
            rate: entry.rate.max(0.0),
            initial_tokens,
            listed_at: now,
            destination: entry.destination,
            order: self.next_order,
            zone: entry.zone,
            kind: u16::try_from(entry.kind).unwrap_or(u16::MAX),
            state: EndpointState::Ready,
        };
        self.next_order += 1;
        self.forgotten.remove(&entry.target);
        self.by_destination.insert((entry.destination, endpoint.order, entry.target));
        self.endpoints.insert(entry.target, endpoint);
        self.set_state(entry.target, entry.state, now);
    }

    /// Sets the listed rate of an endpoint that is known.
    pub fn set_rate(&mut self, target: TargetId, rate: f64) {
        self.endpoints.entry(target).and_modify(|endpoint| endpoint.rate = rate);
    }

    /// Sets the state of an endpoint that is known.
    pub fn set_state(&mut self, target: TargetId, state: EndpointState, now: Micros) {
        let Some(endpoint) = self.endpoints.get_mut(&target) else { return };
        let before = std::mem::replace(&mut endpoint.state, state);
        if before == state {
            return;
        }
        if let Some(at) = self.removed_at.remove(&target) {
            self.removed.remove(&(at, target));
        }
        if state == EndpointState::Removed {
            self.removed_at.insert(target, now);
            self.removed.insert((now, target));
        }
    }

    /// Endpoints in the list now that these entries do not name.
    pub fn missing_in(&self, entries: &[Endpoint]) -> Vec<TargetId> {
        let mut named: Vec<TargetId> = entries.iter().map(|entry| entry.target).collect();
        named.sort_unstable();
        let listed = self.endpoints.iter().filter(|(_, endpoint)| endpoint.state != EndpointState::Removed);
        listed.map(|(id, _)| *id).filter(|id| named.binary_search(id).is_err()).collect()
    }

    /// Endpoints that were removed at this time or before, and are not forgotten yet.
    pub fn removed_until(&self, at: Micros) -> Vec<TargetId> {
        self.removed.range(..=(at, TargetId::MAX)).map(|(_, target)| *target).collect()
    }

    /// Forgets all of a removed endpoint but its number.
    pub fn forget(&mut self, target: TargetId) {
        let Some(endpoint) = self.endpoints.remove(&target) else { return };
        self.by_destination.remove(&(endpoint.destination, endpoint.order, target));
        if let Some(at) = self.removed_at.remove(&target) {
            self.removed.remove(&(at, target));
        }
        self.forgotten.insert(target);
    }

    /// Whether an endpoint was forgotten after its removal.
    pub fn has_forgotten(&self, target: TargetId) -> bool {
        self.forgotten.contains(&target)
    }
}
