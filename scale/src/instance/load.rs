//! Messages handed in to a forwarder, over some connections at once.

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

/// Pause before a message that was turned away is handed in again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// A message that has been turned away so often is not handed in again.
const MAX_TURNED_AWAY: u32 = 100;

/// Messages of one class, for some destinations in turn.
#[derive(Clone, Debug)]
pub(super) struct Batch {
    pub class: &'static str,
    pub deadline_ms: u64,
    pub destinations: Range<u64>,
    pub count: u64,
    pub connections: u64,
    pub body: Bytes,
}

/// What is common to the connections over which a batch is handed in.
#[derive(Debug)]
struct Progress {
    batch: Batch,
    begun: AtomicU64,
    taken_on: AtomicU64,
    next_id: Arc<AtomicU64>,
}

/// Hands a batch in; gives how many messages were taken on, which is fewer than all if the forwarder turned some away to
/// the end.
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
            // The others are turned away as well.
            progress.begun.store(progress.batch.count, Ordering::Relaxed);
            return Ok(());
        }
        progress.taken_on.fetch_add(1, Ordering::Relaxed);
    }
}

/// Hands one message in until it is taken on; gives whether it was.
async fn hand_in_until_taken(
    connection: &mut Connection, progress: &Progress, number: u64,
) -> Result<bool, InstanceError> {
    for _ in 0..MAX_TURNED_AWAY {
        // A new one each time that it is handed in.
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
