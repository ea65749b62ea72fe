//! Limits the open connections of one listener. Any peer may connect: unless silent connections are closed to
//! make room, they would keep other clients waiting to be accepted.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

/// Connections that have not sent a request yet, in the order of their arrival, and the signals that close
/// them.
#[derive(Default)]
struct EvictionCandidates {
    next_number: u64,
    close_signals: BTreeMap<u64, oneshot::Sender<()>>,
}

/// A value shared by a listener's connections.
type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    // Each change is an assignment or a single call on the map, so a panic elsewhere leaves it consistent.
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes the connection that has been silent for longest.
fn evict_oldest(candidates: &Shared<EvictionCandidates>) {
    let oldest = lock(candidates).close_signals.pop_first();
    if let Some((_, close_signal)) = oldest {
        // If the connection has just ended by itself, that makes room too.
        let _ = close_signal.send(());
    }
}

/// Limit on the open connections of one listener.
#[derive(Clone)]
pub(crate) struct ConnectionLimit {
    semaphore: Arc<Semaphore>,
    limit: usize,
    candidates: Shared<EvictionCandidates>,
    /// Since when no connection has been free.
    exhausted_since: Shared<Option<Instant>>,
}

/// One open connection, counted until this is dropped. Until the connection is active it may be evicted to
/// make room for a new one.
pub(crate) struct ConnectionPermit {
    number: u64,
    candidates: Shared<EvictionCandidates>,
    active: AtomicBool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimit {
    pub fn new(limit: usize) -> ConnectionLimit {
        ConnectionLimit {
            semaphore: Arc::new(Semaphore::new(limit)),
            limit,
            candidates: Shared::default(),
            exhausted_since: Shared::default(),
        }
    }

    /// How long no connection has been free, as far as new ones have asked; zero if the last one got its permit.
    pub fn exhausted_for(&self) -> Duration {
        lock(&self.exhausted_since).map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Number of open connections.
    pub fn in_use(&self) -> usize {
        self.limit.saturating_sub(self.semaphore.available_permits())
    }

    /// Reserves up to `count` of the connections that are still free.
    pub fn reserve(&self, count: usize) -> Option<OwnedSemaphorePermit> {
        let count = count.min(self.semaphore.available_permits());
        self.semaphore.clone().try_acquire_many_owned(u32::try_from(count).ok()?).ok()
    }

    /// Waits for a free connection and returns its permit, with the receiver that tells it to close. At the
    /// limit, the connection that has been silent for longest is evicted.
    pub async fn acquire(&self) -> Option<(ConnectionPermit, oneshot::Receiver<()>)> {
        let permit = match self.semaphore.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                evict_oldest(&self.candidates);
                lock(&self.exhausted_since).get_or_insert_with(Instant::now);
                self.semaphore.clone().acquire_owned().await.ok()?
            }
        };
        *lock(&self.exhausted_since) = None;
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
    /// Protects the connection from eviction, since it has sent a request.
    pub fn mark_active(&self) {
        self.active.store(true, Ordering::Relaxed);
        lock(&self.candidates).close_signals.remove(&self.number);
    }

    /// Called by a connection that is told to close. If it has become active meanwhile, the next candidate is
    /// evicted in its place. Returns whether the connection may stay open.
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
