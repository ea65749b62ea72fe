//! Limits the open connections of one listener. Any peer may connect: unless silent connections are closed to
//! make room, they would keep other clients waiting to be accepted.

use crate::eviction::{EvictionQueue, EvictionTicket};
use crate::streams;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout_at, Instant};

/// A value shared by a listener's connections.
type Shared<T> = Arc<Mutex<T>>;

fn lock<T>(shared: &Shared<T>) -> MutexGuard<'_, T> {
    // Each change is an assignment, so a panic elsewhere leaves it consistent.
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connections that may be refused at a time. Each holds a file descriptor beyond the limit.
pub(crate) const MAX_REFUSALS: usize = 8;

/// Limit on the open connections of one listener.
#[derive(Clone)]
pub(crate) struct ConnectionLimit {
    semaphore: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    limit: usize,
    /// Connections that have not sent a request yet.
    silent: EvictionQueue,
    /// Since when no connection has been free.
    exhausted_since: Shared<Option<Instant>>,
}

/// One open connection, counted until this is dropped. Until the connection is active it may be evicted to
/// make room for a new one.
pub(crate) struct ConnectionPermit {
    silent: EvictionQueue,
    ticket: EvictionTicket,
    active: AtomicBool,
    refusals: Arc<Semaphore>,
    _permit: OwnedSemaphorePermit,
}

impl ConnectionLimit {
    pub fn new(limit: usize) -> ConnectionLimit {
        ConnectionLimit {
            semaphore: Arc::new(Semaphore::new(limit)),
            refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
            limit,
            silent: EvictionQueue::default(),
            exhausted_since: Shared::default(),
        }
    }

    /// For how long new connections have found none free; zero if there is one.
    pub fn exhausted_for(&self) -> Duration {
        let since = lock(&self.exhausted_since).filter(|_| self.semaphore.available_permits() == 0);
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Number of open connections, those that are being refused included.
    pub fn in_use(&self) -> usize {
        (self.limit + MAX_REFUSALS)
            .saturating_sub(self.semaphore.available_permits() + self.refusals.available_permits())
    }

    /// Reserves up to `count` of the connections that are still free.
    pub fn reserve(&self, count: usize) -> Option<OwnedSemaphorePermit> {
        let count = count.min(self.semaphore.available_permits());
        self.semaphore.clone().try_acquire_many_owned(u32::try_from(count).ok()?).ok()
    }

    /// Refuses a connection for which none is free, in a task of its own, since its peer need not read or close. It is
    /// closed unread where too many refusals are under way.
    pub fn refuse(&self, stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static) {
        let Ok(refusal_permit) = self.refusals.clone().try_acquire_owned() else { return };
        tokio::spawn(async move {
            streams::refuse_unread(stream).await;
            drop(refusal_permit);
        });
    }

    /// Returns the permit of a free connection, with the receiver that tells it to close. At the limit, the connection
    /// that has been silent for longest is evicted. If there is none, this waits, but not once no connection has been
    /// free for `max_wait`: all that ask meanwhile share that time.
    pub async fn acquire_within(
        &self, max_wait: Duration,
    ) -> Option<(ConnectionPermit, oneshot::Receiver<()>)> {
        let permit = match self.semaphore.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let now = Instant::now();
                let evicted = self.silent.evict_oldest();
                let exhausted_since = *lock(&self.exhausted_since).get_or_insert(now);
                let wait_from = if evicted { now } else { exhausted_since };
                let acquired = timeout_at(wait_from + max_wait, self.semaphore.clone().acquire_owned()).await;
                acquired.ok()?.ok()?
            }
        };
        *lock(&self.exhausted_since) = None;
        let (ticket, evicted) = self.silent.enter();
        let permit = ConnectionPermit {
            silent: self.silent.clone(),
            ticket,
            active: AtomicBool::new(false),
            refusals: self.refusals.clone(),
            _permit: permit,
        };
        Some((permit, evicted))
    }
}

impl ConnectionPermit {
    /// Protects the connection from eviction, since it has sent a request.
    pub fn mark_active(&self) {
        self.active.store(true, Ordering::Relaxed);
        self.ticket.leave();
    }

    /// Makes room for another connection while this one is being refused, unless too many refusals are under way.
    pub fn into_refusal(self) -> Option<OwnedSemaphorePermit> {
        self.refusals.clone().try_acquire_owned().ok()
    }

    /// Number of the connection, from 1 in the order of arrival.
    pub fn number(&self) -> u64 {
        self.ticket.number()
    }

    /// Called by a connection that is told to close. If it has become active meanwhile, the next candidate is
    /// evicted in its place. Returns whether the connection may stay open.
    pub fn decline_eviction(&self) -> bool {
        let active = self.active.load(Ordering::Relaxed);
        if active {
            self.silent.evict_oldest();
        }
        active
    }
}
