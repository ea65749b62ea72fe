//! Destinations with what is queued for them, and indexes: which have something ready, and how long they wait.

use crate::interface::*;
use crate::state::Queue;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A destination and what is held for it.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub routes: Vec<usize>,
    /// Messages that are not over, or whose calls are out.
    pub held: u32,
    /// Messages ready to go, oldest first. No queue is empty.
    pub ready: BTreeMap<Queue, BTreeSet<(Micros, MessageId)>>,
}

impl Destination {
    /// Messages that stand ready to go.
    pub fn queued(&self) -> usize {
        self.ready.values().map(BTreeSet::len).sum()
    }

    /// Those of them that no restart found untried.
    pub fn queued_since(&self) -> usize {
        self.ready.iter().filter(|((.., found), _)| !found).map(|(_, set)| set.len()).sum()
    }

    /// Those that stand ready and that a restart found untried.
    pub fn found(&self) -> Vec<MessageId> {
        let found = self.ready.iter().filter(|((.., found), _)| *found);
        found.flat_map(|(_, messages)| messages).map(|(_, id)| *id).collect()
    }
}

/// Active destinations in the order of their numbers, and which of them have something ready. A destination is active
/// from its first message on, until it is idle and has nothing to remember.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Destinations {
    all: BTreeMap<DestinationId, Destination>,
    ready: BTreeSet<DestinationId>,
    /// Those of them that may have something to send now. The others wait until a known time.
    #[serde(skip)]
    sendable: BTreeSet<DestinationId>,
    /// Until when those that are ready and not sendable wait.
    #[serde(skip)]
    waiting: BTreeMap<DestinationId, Micros>,
    /// The same in the order of time.
    #[serde(skip)]
    wakes: BTreeSet<(Micros, DestinationId)>,
}

impl Destinations {
    /// A destination that is known.
    pub fn get(&self, id: DestinationId) -> Option<&Destination> {
        self.all.get(&id)
    }

    /// A destination, made if it is not known.
    pub fn entry(&mut self, id: DestinationId) -> &mut Destination {
        self.all.entry(id).or_default()
    }

    /// All, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (DestinationId, &Destination)> {
        self.all.iter().map(|(id, destination)| (*id, destination))
    }

    /// Takes a destination out.
    pub fn remove(&mut self, id: DestinationId) -> Destination {
        self.remove_ready(id);
        self.all.remove(&id).unwrap_or_default()
    }

    /// Those that have something ready, in the order of their numbers.
    pub fn ready(&self) -> impl Iterator<Item = (DestinationId, &Destination)> {
        self.ready.iter().map(|id| (*id, &self.all[id]))
    }

    /// Puts a message into a queue of its destination, by the time it was born.
    pub fn enqueue(&mut self, id: DestinationId, queue: Queue, message: (Micros, MessageId)) {
        let destination = self.all.entry(id).or_default();
        if destination.ready.is_empty() {
            self.ready.insert(id);
            self.sendable.insert(id);
        }
        destination.ready.entry(queue).or_default().insert(message);
    }

    /// Takes a message out of a queue of its destination.
    pub fn dequeue(&mut self, id: DestinationId, queue: Queue, message: (Micros, MessageId)) {
        let Some(destination) = self.all.get_mut(&id) else { return };
        let Some(messages) = destination.ready.get_mut(&queue) else { return };
        messages.remove(&message);
        if messages.is_empty() {
            destination.ready.remove(&queue);
        }
        if destination.ready.is_empty() {
            self.remove_ready(id);
        }
    }

    fn remove_ready(&mut self, id: DestinationId) {
        self.forget_wait(id);
        self.ready.remove(&id);
        self.sendable.remove(&id);
    }

    /// Those that have something ready and do not wait, in the order of their numbers.
    pub fn sendable(&self) -> impl Iterator<Item = DestinationId> + '_ {
        self.sendable.iter().copied()
    }

    /// Notes that a destination with something ready sends nothing before `until`, or its wait is forgotten.
    pub fn wait(&mut self, id: DestinationId, until: Micros) {
        self.forget_wait(id);
        if self.sendable.remove(&id) {
            self.waiting.insert(id, until);
            self.wakes.insert((until, id));
        }
    }

    /// Makes a destination that waits sendable again. Call it whenever the time when it opens may change.
    pub fn forget_wait(&mut self, id: DestinationId) {
        if let Some(until) = self.waiting.remove(&id) {
            self.wakes.remove(&(until, id));
            self.sendable.insert(id);
        }
    }

    /// Makes all destinations that have something ready sendable.
    pub fn forget_waits(&mut self) {
        self.waiting.clear();
        self.wakes.clear();
        self.sendable.clone_from(&self.ready);
    }

    /// Makes destinations sendable whose waits are over. Gives the end of the first wait that is not.
    pub fn end_waits(&mut self, now: Micros) -> Option<Micros> {
        while let Some((until, id)) = self.wakes.first().copied() {
            if until > now {
                return Some(until);
            }
            self.forget_wait(id);
        }
        None
    }
}
