//! Memory of the request bodies that are being received, limited for all client connections together. A body takes
//! memory as its bytes arrive. Where none is left, the body that began first is given up: one that arrives without
//! pauses is complete before it is the oldest.

use crate::eviction::{EvictionQueue, EvictionTicket};
use crate::http_body::{Evicted, MemoryReservation};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Unit in which memory is reserved.
const BLOCK_BYTES: usize = 1024;
/// How long an evicted body has to release its memory before the next one is evicted.
const RELEASE_TIME: Duration = Duration::from_millis(5);

/// The limit, shared by all connections.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    blocks: Arc<Semaphore>,
    total_blocks: usize,
    bodies: EvictionQueue,
}

/// The memory of one body, released when this is dropped.
pub(crate) struct BodyReservation {
    memory: BodyMemory,
    ticket: EvictionTicket,
    evicted: oneshot::Receiver<()>,
    blocks: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    pub fn new(bytes: usize) -> BodyMemory {
        let total_blocks = bytes / BLOCK_BYTES;
        BodyMemory {
            blocks: Arc::new(Semaphore::new(total_blocks)),
            total_blocks,
            bodies: EvictionQueue::default(),
        }
    }

    /// A body that has no memory yet.
    pub fn begin_body(&self) -> BodyReservation {
        let (ticket, evicted) = self.bodies.enter();
        BodyReservation { memory: self.clone(), ticket, evicted, blocks: None }
    }

    /// Bytes that are reserved now.
    pub fn reserved(&self) -> usize {
        self.total_blocks.saturating_sub(self.blocks.available_permits()) * BLOCK_BYTES
    }
}

impl BodyReservation {
    fn reserved(&self) -> usize {
        self.blocks.as_ref().map_or(0, |blocks| blocks.num_permits() * BLOCK_BYTES)
    }

    /// The body is complete: it keeps its memory until this is dropped, and is not evicted any more.
    pub fn complete(&self) {
        self.ticket.leave();
    }

    /// Evicts the oldest bodies one by one until that many blocks are free.
    async fn evict_for(&mut self, blocks: u32) -> Result<OwnedSemaphorePermit, Evicted> {
        loop {
            self.memory.bodies.evict_oldest();
            let acquired = self.memory.blocks.clone().acquire_many_owned(blocks);
            tokio::select! {
                biased;
                Ok(()) = &mut self.evicted => return Err(Evicted),
                acquired = timeout(RELEASE_TIME, acquired) => match acquired {
                    Ok(acquired) => return acquired.map_err(|_| Evicted),
                    Err(_) => continue,
                },
            }
        }
    }
}

impl MemoryReservation for BodyReservation {
    /// Other bodies may be evicted for it, or this one itself.
    async fn grow_to(&mut self, bytes: usize) -> Result<(), Evicted> {
        if self.evicted.try_recv().is_ok() {
            return Err(Evicted);
        }
        let missing = bytes.saturating_sub(self.reserved()).div_ceil(BLOCK_BYTES);
        if missing == 0 {
            return Ok(());
        }
        let missing = u32::try_from(missing).map_err(|_| Evicted)?;
        let blocks = match self.memory.blocks.clone().try_acquire_many_owned(missing) {
            Ok(blocks) => blocks,
            Err(_) => self.evict_for(missing).await?,
        };
        match &mut self.blocks {
            Some(reserved) => reserved.merge(blocks),
            None => self.blocks = Some(blocks),
        }
        Ok(())
    }

    async fn evicted(&mut self) -> Evicted {
        match (&mut self.evicted).await {
            Ok(()) => Evicted,
            // The ticket holds its place for as long as this exists.
            Err(_) => std::future::pending().await,
        }
    }
}

#[cfg(test)]
#[path = "body_memory_tests.rs"]
mod tests;
