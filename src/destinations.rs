//! Active destinations with their queues of messages, and indexes of those that have messages to send.

use crate::interface::*;
use crate::state::QueueKey;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An active destination.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    /// Indices of its routes in the route table.
    pub routes: Vec<usize>,
    /// Number of messages that have not ended or have attempts in flight.
    pub held: u32,
    /// Messages ready to be sent, oldest first. No queue is empty.
    pub queues: BTreeMap<QueueKey, BTreeSet<(Micros, MessageId)>>,
}

impl Destination {
    /// Number of messages ready to be sent.
    pub fn queued(&self) -> usize {
        self.queues.values().map(BTreeSet::len).sum()
    }

    /// Number of messages ready to be sent, without those restored unsent after a restart.
    pub fn queued_without_restored(&self) -> usize {
        self.queues
            .iter()
            .filter(|((.., restored_unsent), _)| !restored_unsent)
            .map(|(_, messages)| messages.len())
            .sum()
    }

    /// Messages ready to be sent that were restored unsent after a restart.
    pub fn restored_unsent(&self) -> Vec<MessageId> {
        let restored = self.queues.iter().filter(|((.., restored_unsent), _)| *restored_unsent);
        restored.flat_map(|(_, messages)| messages).map(|(_, id)| *id).collect()
    }
}

/// Active destinations by number, and indexes of those with messages ready to be sent. A destination is
/// active from its first message on, until it is idle and has no state that must be kept.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Destinations {
    all: BTreeMap<DestinationId, Destination>,
    /// Destinations that have messages ready to be sent.
    ready: BTreeSet<DestinationId>,
    /// Ready destinations that may be able to send now. The other ready ones are blocked until a known time.
    #[serde(skip)]
    sendable: BTreeSet<DestinationId>,
    /// When each blocked destination is to be unblocked.
    #[serde(skip)]
    blocked_until: BTreeMap<DestinationId, Micros>,
    /// The same, ordered by time.
    #[serde(skip)]
    unblock_times: BTreeSet<(Micros, DestinationId)>,
}

impl Destinations {
    pub fn get(&self, id: DestinationId) -> Option<&Destination> {
        self.all.get(&id)
    }

    /// A destination, created if it is not known.
    pub fn entry(&mut self, id: DestinationId) -> &mut Destination {
        self.all.entry(id).or_default()
    }

    /// All destinations, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (DestinationId, &Destination)> {
        self.all.iter().map(|(id, destination)| (*id, destination))
    }

    pub fn remove(&mut self, id: DestinationId) -> Destination {
        self.remove_ready(id);
        self.all.remove(&id).unwrap_or_default()
    }

    /// Destinations that have messages ready to be sent, in the order of their numbers.
    pub fn ready(&self) -> impl Iterator<Item = (DestinationId, &Destination)> {
        self.ready.iter().map(|id| (*id, &self.all[id]))
    }

    /// Adds a message to a queue of its destination, in the order of creation.
    pub fn enqueue(&mut self, id: DestinationId, queue: QueueKey, message: (Micros, MessageId)) {
        let destination = self.all.entry(id).or_default();
        if destination.queues.is_empty() {
            self.ready.insert(id);
            self.sendable.insert(id);
        }
        destination.queues.entry(queue).or_default().insert(message);
    }

    /// Removes a message from a queue of its destination.
    pub fn dequeue(&mut self, id: DestinationId, queue: QueueKey, message: (Micros, MessageId)) {
        let Some(destination) = self.all.get_mut(&id) else { return };
        let Some(messages) = destination.queues.get_mut(&queue) else { return };
        messages.remove(&message);
        if messages.is_empty() {
            destination.queues.remove(&queue);
        }
        if destination.queues.is_empty() {
            self.remove_ready(id);
        }
    }

    fn remove_ready(&mut self, id: DestinationId) {
        self.unblock(id);
        self.ready.remove(&id);
        self.sendable.remove(&id);
    }

    /// Destinations that are ready and not blocked, in the order of their numbers.
    pub fn sendable(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.sendable.iter().copied()
    }

    /// Records that a destination sends nothing before `until`, unless it is unblocked earlier.
    pub fn block(&mut self, id: DestinationId, until: Micros) {
        self.unblock(id);
        if self.sendable.remove(&id) {
            self.blocked_until.insert(id, until);
            self.unblock_times.insert((until, id));
        }
    }

    /// Makes a blocked destination sendable again. Must be called whenever the time until which it is blocked
    /// may have changed.
    pub fn unblock(&mut self, id: DestinationId) {
        if let Some(until) = self.blocked_until.remove(&id) {
            self.unblock_times.remove(&(until, id));
            self.sendable.insert(id);
        }
    }

    /// Makes all destinations sendable that have messages ready.
    pub fn unblock_all(&mut self) {
        self.blocked_until.clear();
        self.unblock_times.clear();
        self.sendable.clone_from(&self.ready);
    }

    /// Unblocks the destinations whose time has come. Returns the time of the next one, if any.
    pub fn unblock_due(&mut self, now: Micros) -> Option<Micros> {
        while let Some((until, id)) = self.unblock_times.first().copied() {
            if until > now {
                return Some(until);
            }
            self.unblock(id);
        }
        None
    }
}
