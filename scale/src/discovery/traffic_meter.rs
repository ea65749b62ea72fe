//! Counts calls and bytes over the measured period, at each replica and at discovery.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Number of calls, and of bytes in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Traffic {
    pub calls: u64,
    pub bytes: u64,
}

impl Traffic {
    pub fn sum(elements: &[Traffic]) -> Traffic {
        let mut total = Traffic::default();
        elements.iter().for_each(|traffic| total.add(traffic.calls, traffic.bytes as usize));
        total
    }

    /// The most calls and the most bytes, which may be of different elements.
    pub fn maximum(elements: &[Traffic]) -> Traffic {
        Traffic {
            calls: elements.iter().map(|traffic| traffic.calls).max().unwrap_or_default(),
            bytes: elements.iter().map(|traffic| traffic.bytes).max().unwrap_or_default(),
        }
    }

    fn add(&mut self, calls: u64, bytes: usize) {
        self.calls += calls;
        self.bytes += bytes as u64;
    }
}

/// Traffic of the measured period.
#[derive(Clone, Debug, Default)]
pub(super) struct TrafficCounts {
    /// At discovery, for each second.
    pub per_second: Vec<Traffic>,
    /// At each replica, over the whole period.
    pub per_replica: Vec<Traffic>,
    /// Calls that discovery rejected.
    pub rejected: u64,
}

#[derive(Debug)]
struct MeterState {
    started_at: Option<Instant>,
    counts: TrafficCounts,
}

/// Counts traffic within the measured period. Clones share their counts.
#[derive(Clone, Debug)]
pub(super) struct TrafficMeter(Arc<Mutex<MeterState>>);

impl TrafficMeter {
    /// A meter that does not count until it is started.
    pub fn new(replicas: usize, duration: Duration) -> TrafficMeter {
        let counts = TrafficCounts {
            per_second: vec![Traffic::default(); duration.as_secs() as usize],
            per_replica: vec![Traffic::default(); replicas],
            rejected: 0,
        };
        TrafficMeter(Arc::new(Mutex::new(MeterState { started_at: None, counts })))
    }

    /// Starts the measured period.
    pub fn start(&self) {
        self.lock().started_at = Some(Instant::now());
    }

    pub fn record_replica_request(&self, replica: usize, bytes: usize) {
        self.count(|counts, _| counts.per_replica[replica].add(1, bytes));
    }

    pub fn record_replica_response(&self, replica: usize, bytes: usize) {
        self.count(|counts, _| counts.per_replica[replica].add(0, bytes));
    }

    pub fn record_server_request(&self, bytes: usize) {
        self.count(|counts, second| counts.per_second[second].add(1, bytes));
    }

    pub fn record_server_response(&self, bytes: usize) {
        self.count(|counts, second| counts.per_second[second].add(0, bytes));
    }

    pub fn record_rejection(&self) {
        self.count(|counts, _| counts.rejected += 1);
    }

    /// The traffic counted so far.
    pub fn counts(&self) -> TrafficCounts {
        self.lock().counts.clone()
    }

    fn count(&self, add: impl FnOnce(&mut TrafficCounts, usize)) {
        let mut state = self.lock();
        let Some(started_at) = state.started_at else { return };
        let second = started_at.elapsed().as_secs() as usize;
        if second < state.counts.per_second.len() {
            add(&mut state.counts, second);
        }
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
