//! Measures how long list changes take until each replica has them.

use crate::discovery::endpoint_list::FIRST_VERSION;
use crate::error::ScaleError;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A list change is binding for a forwarder this long after discovery has it and is reachable, whether or not the
/// forwarder has received it.
pub(super) const BINDING_DELAY: Duration = Duration::from_secs(6);
/// Longest recorded time, and significant digits of the histogram.
const HISTOGRAM_MAX: Duration = Duration::from_secs(86_400);
const HISTOGRAM_DIGITS: u8 = 3;
const P99_QUANTILE: f64 = 0.99;
const MEDIAN_QUANTILE: f64 = 0.5;

/// List version and start time of one replica.
#[derive(Clone, Copy, Debug)]
struct ReplicaState {
    version: u64,
    /// Start time; `None` while the replica is stopped.
    running_since: Option<Instant>,
}

#[derive(Debug)]
struct PropagationState {
    /// When each change became available: at the change, or at the end of an outage of discovery.
    changes: Vec<Instant>,
    replicas: Vec<ReplicaState>,
    delays: Histogram<u64>,
    late: u64,
}

/// Times from each change until each running replica has it. Clones share their measurements.
#[derive(Clone, Debug)]
pub(super) struct Propagation(Arc<Mutex<PropagationState>>);

/// Summary of the propagation times of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PropagationSummary {
    pub changes: u64,
    pub median_us: u64,
    pub p99_us: u64,
    pub max_us: u64,
    /// Pairs of a change and a replica that has it.
    pub in_force: u64,
    /// The pairs in force that took longer than [`BINDING_DELAY`].
    pub late: u64,
    /// Pairs of a change and a running replica that does not have it.
    pub missing: u64,
}

impl Propagation {
    /// A fleet of stopped replicas that have the first version.
    pub fn new(replicas: usize) -> Result<Propagation, ScaleError> {
        let max_delay_us = HISTOGRAM_MAX.as_micros() as u64;
        let delays = Histogram::new_with_max(max_delay_us, HISTOGRAM_DIGITS)
            .map_err(|error| ScaleError::RunFailed(format!("histogram: {error}")))?;
        let stopped = ReplicaState { version: FIRST_VERSION, running_since: None };
        let state =
            PropagationState { changes: Vec::new(), replicas: vec![stopped; replicas], delays, late: 0 };
        Ok(Propagation(Arc::new(Mutex::new(state))))
    }

    /// Records a new version of the list, available from the given time.
    pub fn record_change(&self, available_from: Instant) {
        self.lock().changes.push(available_from);
    }

    /// Records the start of a replica and returns its last version.
    pub fn replica_started(&self, replica: usize) -> u64 {
        let replica_state = &mut self.lock().replicas[replica];
        replica_state.running_since = Some(Instant::now());
        replica_state.version
    }

    pub fn replica_stopped(&self, replica: usize) {
        self.lock().replicas[replica].running_since = None;
    }

    /// Records that a replica has this version, with all changes up to it.
    pub fn record_version(&self, replica: usize, version: u64) {
        let mut state = self.lock();
        let PropagationState { changes, replicas, delays, late } = &mut *state;
        let replica_state = &mut replicas[replica];
        let Some(running_since) = replica_state.running_since else { return };
        let received = changes.iter().take((version - FIRST_VERSION) as usize);
        for available_from in received.skip((replica_state.version - FIRST_VERSION) as usize) {
            let delay = (*available_from).max(running_since).elapsed();
            delays.saturating_record(delay.as_micros() as u64);
            *late += u64::from(delay > BINDING_DELAY);
        }
        replica_state.version = replica_state.version.max(version);
    }

    /// Whether all running replicas have all changes.
    pub fn is_complete(&self) -> bool {
        self.lock().missing() == 0
    }

    pub fn summary(&self) -> PropagationSummary {
        let state = self.lock();
        PropagationSummary {
            changes: state.changes.len() as u64,
            median_us: state.delays.value_at_quantile(MEDIAN_QUANTILE),
            p99_us: state.delays.value_at_quantile(P99_QUANTILE),
            max_us: state.delays.max(),
            in_force: state.delays.len(),
            late: state.late,
            missing: state.missing(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, PropagationState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PropagationState {
    fn missing(&self) -> u64 {
        let version = FIRST_VERSION + self.changes.len() as u64;
        let running_replicas =
            self.replicas.iter().filter(|replica_state| replica_state.running_since.is_some());
        running_replicas.map(|replica_state| version - replica_state.version).sum()
    }
}
