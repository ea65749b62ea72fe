//! A bounded number of places for the connections of one listener. Any peer may connect: without a way to close
//! those that send nothing, they would keep the others waiting to be accepted.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};

/// The connections that have asked for nothing yet, in the order in which they came, and what closes them.
#[derive(Default)]
struct Newcomers {
    next: u64,
    closers: BTreeMap<u64, oneshot::Sender<()>>,
}

type Shared<T> = Arc<Mutex<T>>;

fn lock(all: &Shared<Newcomers>) -> MutexGuard<'_, Newcomers> {
    // Each change is one call on the map: a panic elsewhere leaves it whole.
    all.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The newcomer that has been silent longest is to make room.
fn close_oldest(all: &Shared<Newcomers>) {
    let oldest = lock(all).closers.pop_first();
    if let Some((_, closer)) = oldest {
        // One that has just ended by itself makes room too.
        let _ = closer.send(());
    }
}

/// The places of one listener.
#[derive(Clone)]
pub(crate) struct ConnectionLimit {
    free: Arc<Semaphore>,
    most: usize,
    newcomers: Shared<Newcomers>,
}

/// A connection's place, free again when this is dropped. Until it is settled the connection is a newcomer, which
/// makes room for a later one where all places are taken.
pub(crate) struct ConnectionPermit {
    number: u64,
    newcomers: Shared<Newcomers>,
    settled: AtomicBool,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimit {
    pub fn new(most: usize) -> ConnectionLimit {
        ConnectionLimit { free: Arc::new(Semaphore::new(most)), most, newcomers: Shared::default() }
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        self.most.saturating_sub(self.free.available_permits())
    }

    /// Keeps places free, as many as there are of so many.
    pub fn reserve(&self, count: usize) -> Option<OwnedSemaphorePermit> {
        let count = count.min(self.free.available_permits());
        self.free.clone().try_acquire_many_owned(u32::try_from(count).ok()?).ok()
    }

    /// A place, and what tells that it is to be given up. Where there is none, the connection that has been silent
    /// longest makes room.
    pub async fn acquire(&self) -> Option<(ConnectionPermit, oneshot::Receiver<()>)> {
        let permit = match self.free.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                close_oldest(&self.newcomers);
                self.free.clone().acquire_owned().await.ok()?
            }
        };
        let (closer, closed) = oneshot::channel();
        let mut newcomers = lock(&self.newcomers);
        let number = newcomers.next;
        newcomers.next += 1;
        newcomers.closers.insert(number, closer);
        Some((
            ConnectionPermit {
                number,
                newcomers: self.newcomers.clone(),
                settled: AtomicBool::new(false),
                _permit: permit,
            },
            closed,
        ))
    }
}

impl ConnectionPermit {
    /// The connection has asked for something: it keeps its place.
    pub fn mark_active(&self) {
        self.settled.store(true, Ordering::Relaxed);
        lock(&self.newcomers).closers.remove(&self.number);
    }

    /// Told to make room, a connection that has settled meanwhile has the next newcomer do so. Whether it may stay.
    pub fn decline_eviction(&self) -> bool {
        let settled = self.settled.load(Ordering::Relaxed);
        if settled {
            close_oldest(&self.newcomers);
        }
        settled
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.mark_active();
    }
}
