//! Measures how long list changes take until each replica has them.

use crate::discovery::endpoint_list::FIRST_VERSION;
use crate::error::ScaleError;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A forwarder must apply a change within this time after discovery has it and can be reached, even if it has not arrived.
pub(super) const BINDING_AFTER: Duration = Duration::from_secs(6);
/// Longest recorded time, and significant digits of the histogram.
const HISTOGRAM_MAX: Duration = Duration::from_secs(86_400);
const HISTOGRAM_DIGITS: u8 = 3;
const UPPER_QUANTILE: f64 = 0.99;
const MEDIAN: f64 = 0.5;

/// What is known of one replica.
#[derive(Clone, Copy, Debug)]
struct Progress {
    version: u64,
    /// Start time; `None` while the replica is stopped.
    running_since: Option<Instant>,
}

#[derive(Debug)]
struct State {
    /// When each change became available: at the change, or at the end of an outage of discovery.
    changes: Vec<Instant>,
    instances: Vec<Progress>,
    delays: Histogram<u64>,
    late: u64,
}

/// Times from each change until each running replica has it. Clones share their measurements.
#[derive(Clone, Debug)]
pub(super) struct Propagation(Arc<Mutex<State>>);

/// Summary of the propagation times of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PropagationSummary {
    pub changes: u64,
    pub median: u64,
    pub upper: u64,
    pub longest: u64,
    /// Pairs of a change and a replica that has it.
    pub in_force: u64,
    /// The pairs in force that took longer than [`BINDING_AFTER`].
    pub late: u64,
    /// Pairs of a change and a running replica that does not have it.
    pub missing: u64,
}

impl Propagation {
    /// A fleet of stopped replicas that have the first version.
    pub fn new(instances: usize) -> Result<Propagation, ScaleError> {
        let longest = HISTOGRAM_MAX.as_micros() as u64;
        let delays = Histogram::new_with_max(longest, HISTOGRAM_DIGITS)
            .map_err(|error| ScaleError::RunFailed(format!("histogram: {error}")))?;
        let stopped = Progress { version: FIRST_VERSION, running_since: None };
        let state = State { changes: Vec::new(), instances: vec![stopped; instances], delays, late: 0 };
        Ok(Propagation(Arc::new(Mutex::new(state))))
    }

    /// Records a new version of the list, available from the given time.
    pub fn changed(&self, tellable_from: Instant) {
        self.lock().changes.push(tellable_from);
    }

    /// Records the start of a replica and returns its last version.
    pub fn started(&self, instance: usize) -> u64 {
        let progress = &mut self.lock().instances[instance];
        progress.running_since = Some(Instant::now());
        progress.version
    }

    pub fn stopped(&self, instance: usize) {
        self.lock().instances[instance].running_since = None;
    }

    /// Records that a replica has this version, with all changes up to it.
    pub fn learned(&self, instance: usize, version: u64) {
        let mut state = self.lock();
        let State { changes, instances, delays, late } = &mut *state;
        let progress = &mut instances[instance];
        let Some(running_since) = progress.running_since else { return };
        let learned = changes.iter().take((version - FIRST_VERSION) as usize);
        for tellable_from in learned.skip((progress.version - FIRST_VERSION) as usize) {
            let delay = (*tellable_from).max(running_since).elapsed();
            delays.saturating_record(delay.as_micros() as u64);
            *late += u64::from(delay > BINDING_AFTER);
        }
        progress.version = progress.version.max(version);
    }

    /// Whether all running replicas have all changes.
    pub fn is_complete(&self) -> bool {
        self.lock().missing() == 0
    }

    pub fn summary(&self) -> PropagationSummary {
        let state = self.lock();
        PropagationSummary {
            changes: state.changes.len() as u64,
            median: state.delays.value_at_quantile(MEDIAN),
            upper: state.delays.value_at_quantile(UPPER_QUANTILE),
            longest: state.delays.max(),
            in_force: state.delays.len(),
            late: state.late,
            missing: state.missing(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn missing(&self) -> u64 {
        let version = FIRST_VERSION + self.changes.len() as u64;
        let running = self.instances.iter().filter(|progress| progress.running_since.is_some());
        running.map(|progress| version - progress.version).sum()
    }
}
