//! Submits batches of messages to a forwarder over concurrent connections.

use crate::instance::client::{Connection, Message, SubmitResponse};
use crate::instance::error::InstanceError;
use bytes::Bytes;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Delay before a refused message is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(20);
/// Refusals of one message after which it is no longer submitted.
const MAX_REFUSALS: u32 = 100;

/// Messages of one class, spread round-robin over a range of destinations.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub class: &'static str,
    pub deadline_ms: u64,
    pub destinations: Range<u64>,
    pub count: u64,
    pub connections: u64,
    pub body: Bytes,
}

/// State shared by the connections over which a batch is submitted.
#[derive(Debug)]
struct BatchProgress {
    batch: Batch,
    next_number: AtomicU64,
    accepted: AtomicU64,
    next_id: Arc<AtomicU64>,
}

/// Submits a batch and returns the number of accepted messages. It is less than the size of the batch if the forwarder
/// keeps refusing.
pub(super) async fn submit_batch(
    listen: SocketAddr, batch: Batch, next_id: Arc<AtomicU64>,
) -> Result<u64, InstanceError> {
    let connections = batch.connections.min(batch.count);
    let (next_number, accepted) = (AtomicU64::new(0), AtomicU64::new(0));
    let progress = Arc::new(BatchProgress { batch, next_number, accepted, next_id });
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(submit_over_connection(listen, progress.clone()));
    }
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(progress.accepted.load(Ordering::Relaxed))
}

async fn submit_over_connection(
    listen: SocketAddr, progress: Arc<BatchProgress>,
) -> Result<(), InstanceError> {
    let mut connection = Connection::open(listen).await?;
    loop {
        let number = progress.next_number.fetch_add(1, Ordering::Relaxed);
        if number >= progress.batch.count {
            return Ok(());
        }
        if !submit_until_accepted(&mut connection, &progress, number).await? {
            // The forwarder is likely to refuse the remaining messages as well.
            progress.next_number.store(progress.batch.count, Ordering::Relaxed);
            return Ok(());
        }
        progress.accepted.fetch_add(1, Ordering::Relaxed);
    }
}

/// Submits one message until it is accepted, and returns whether it was.
async fn submit_until_accepted(
    connection: &mut Connection, progress: &BatchProgress, number: u64,
) -> Result<bool, InstanceError> {
    for _ in 0..MAX_REFUSALS {
        // Each submission of a message has a new id.
        let id = progress.next_id.fetch_add(1, Ordering::Relaxed);
        if connection.submit(&progress.batch.message(id, number)).await? == SubmitResponse::Accepted {
            return Ok(true);
        }
        sleep(RESUBMIT_DELAY).await;
    }
    Ok(false)
}

impl Batch {
    fn message(&self, id: u64, number: u64) -> Message {
        let Range { start, end } = self.destinations;
        Message {
            id,
            class: self.class,
            deadline_ms: self.deadline_ms,
            destination: start + number % (end - start).max(1),
            body: self.body.clone(),
        }
    }
}
