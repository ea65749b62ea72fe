//! Submits batches of messages to a forwarder over concurrent connections.

use crate::instance::client::{Answer, Connection, Message};
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
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Refusals of one message after which it is no longer submitted.
const MAX_TURNED_AWAY: u32 = 100;

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
struct Progress {
    batch: Batch,
    begun: AtomicU64,
    taken_on: AtomicU64,
    next_id: Arc<AtomicU64>,
}

/// Submits a batch and returns the number of accepted messages. It is less than the size of the batch if the forwarder
/// keeps refusing.
pub(super) async fn hand_in(
    listen: SocketAddr, batch: Batch, next_id: Arc<AtomicU64>,
) -> Result<u64, InstanceError> {
    let connections = batch.connections.min(batch.count);
    let (begun, taken_on) = (AtomicU64::new(0), AtomicU64::new(0));
    let progress = Arc::new(Progress { batch, begun, taken_on, next_id });
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        tasks.spawn(hand_in_over_one(listen, progress.clone()));
    }
    while let Some(ended) = tasks.join_next().await {
        ended??;
    }
    Ok(progress.taken_on.load(Ordering::Relaxed))
}

async fn hand_in_over_one(listen: SocketAddr, progress: Arc<Progress>) -> Result<(), InstanceError> {
    let mut connection = Connection::open(listen).await?;
    loop {
        let number = progress.begun.fetch_add(1, Ordering::Relaxed);
        if number >= progress.batch.count {
            return Ok(());
        }
        if !hand_in_until_taken(&mut connection, &progress, number).await? {
            // The forwarder is likely to refuse the remaining messages as well.
            progress.begun.store(progress.batch.count, Ordering::Relaxed);
            return Ok(());
        }
        progress.taken_on.fetch_add(1, Ordering::Relaxed);
    }
}

/// Submits one message until it is accepted, and returns whether it was.
async fn hand_in_until_taken(
    connection: &mut Connection, progress: &Progress, number: u64,
) -> Result<bool, InstanceError> {
    for _ in 0..MAX_TURNED_AWAY {
        // Each submission of a message has a new id.
        let id = progress.next_id.fetch_add(1, Ordering::Relaxed);
        if connection.hand_in(&progress.batch.message(id, number)).await? == Answer::TakenOn {
            return Ok(true);
        }
        sleep(RETRY_PAUSE).await;
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
