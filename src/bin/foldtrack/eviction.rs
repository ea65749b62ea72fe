//! Candidates for eviction, oldest first: those that share a limited resource and may be told to give theirs up, so that
//! those that come later are served.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

#[derive(Default)]
struct Candidates {
    last_number: u64,
    /// Signals of the candidates in the order of their arrival.
    signals: BTreeMap<u64, oneshot::Sender<()>>,
}

/// The candidates for one resource.
#[derive(Clone, Default)]
pub(crate) struct EvictionQueue(Arc<Mutex<Candidates>>);

/// The place of a candidate, which leaves the queue when this is dropped.
pub(crate) struct EvictionTicket {
    number: u64,
    queue: EvictionQueue,
}

impl EvictionQueue {
    fn candidates(&self) -> MutexGuard<'_, Candidates> {
        // Each change is an assignment or a single call on the map, so a panic elsewhere leaves it consistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a candidate. Returns its place, and the receiver that tells it to give up its resource.
    pub fn enter(&self) -> (EvictionTicket, oneshot::Receiver<()>) {
        let (signal, evicted) = oneshot::channel();
        let mut candidates = self.candidates();
        candidates.last_number += 1;
        let number = candidates.last_number;
        candidates.signals.insert(number, signal);
        (EvictionTicket { number, queue: self.clone() }, evicted)
    }

    /// Tells the oldest candidate to give up its resource. Returns whether there was one.
    pub fn evict_oldest(&self) -> bool {
        let oldest = self.candidates().signals.pop_first();
        // If it has just given it up by itself, that serves as well.
        oldest.map(|(_, signal)| signal.send(())).is_some()
    }
}

impl EvictionTicket {
    /// Number of the candidate, from 1 in the order of arrival.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Leaves the queue: the holder keeps its resource.
    pub fn leave(&self) {
        self.queue.candidates().signals.remove(&self.number);
    }
}

impl Drop for EvictionTicket {
    fn drop(&mut self) {
        self.leave();
    }
}
