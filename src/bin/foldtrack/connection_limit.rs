//! A bounded number of places for the connections of one listener. Any peer may connect: without a way to close
//! those that send nothing, they would keep the others waiting to be accepted.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};

/// The connections that have asked for nothing yet, in the order in which they came, and what closes them.
#[derive(Default)]
struct EvictionCandidates {
    next_number: u64,
    close_signals: BTreeMap<u64, oneshot::Sender<()>>,
}

type Shared<T> = Arc<Mutex<T>>;

fn lock(candidates: &Shared<EvictionCandidates>) -> MutexGuard<'_, EvictionCandidates> {
    // Each change is one call on the map: a panic elsewhere leaves it whole.
    candidates.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The newcomer that has been silent longest is to make room.
fn evict_oldest(candidates: &Shared<EvictionCandidates>) {
    let oldest = lock(candidates).close_signals.pop_first();
    if let Some((_, close_signal)) = oldest {
        // One that has just ended by itself makes room too.
        let _ = close_signal.send(());
    }
}

/// The places of one listener.
#[derive(Clone)]
pub(crate) struct ConnectionLimit {
    semaphore: Arc<Semaphore>,
    limit: usize,
    candidates: Shared<EvictionCandidates>,
}

/// A connection's place, free again when this is dropped. Until it is settled the connection is a newcomer, which
/// makes room for a later one where all places are taken.
pub(crate) struct ConnectionPermit {
    number: u64,
    candidates: Shared<EvictionCandidates>,
    active: AtomicBool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimit {
    pub fn new(limit: usize) -> ConnectionLimit {
        ConnectionLimit { semaphore: Arc::new(Semaphore::new(limit)), limit, candidates: Shared::default() }
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        self.limit.saturating_sub(self.semaphore.available_permits())
    }

    /// Keeps places free, as many as there are of so many.
    pub fn reserve(&self, count: usize) -> Option<OwnedSemaphorePermit> {
        let count = count.min(self.semaphore.available_permits());
        self.semaphore.clone().try_acquire_many_owned(u32::try_from(count).ok()?).ok()
    }

    /// A place, and what tells that it is to be given up. Where there is none, the connection that has been silent
    /// longest makes room.
    pub async fn acquire(&self) -> Option<(ConnectionPermit, oneshot::Receiver<()>)> {
        let permit = match self.semaphore.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                evict_oldest(&self.candidates);
                self.semaphore.clone().acquire_owned().await.ok()?
            }
        };
        let (close_signal, evicted) = oneshot::channel();
        let mut candidates = lock(&self.candidates);
        let number = candidates.next_number;
        candidates.next_number += 1;
        candidates.close_signals.insert(number, close_signal);
        Some((
            ConnectionPermit {
                number,
                candidates: self.candidates.clone(),
                active: AtomicBool::new(false),
                _permit: permit,
            },
            evicted,
        ))
    }
}

impl ConnectionPermit {
    /// The connection has asked for something: it keeps its place.
    pub fn mark_active(&self) {
        self.active.store(true, Ordering::Relaxed);
        lock(&self.candidates).close_signals.remove(&self.number);
    }

    /// Told to make room, a connection that has settled meanwhile has the next newcomer do so. Whether it may stay.
    pub fn decline_eviction(&self) -> bool {
        let active = self.active.load(Ordering::Relaxed);
        if active {
            evict_oldest(&self.candidates);
        }
        active
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.mark_active();
    }
}
