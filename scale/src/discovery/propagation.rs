//! How long changes of the list take until each instance has them.

use crate::discovery::endpoint_list::FIRST_VERSION;
use crate::error::ScaleError;
use hdrhistogram::Histogram;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A change binds a forwarder so long after discovery had it and could be reached, whether or not it arrived.
pub(super) const BINDING_AFTER: Duration = Duration::from_secs(6);
/// The longest time that the histogram tells, and its significant digits.
const HISTOGRAM_MAX: Duration = Duration::from_secs(86_400);
const HISTOGRAM_DIGITS: u8 = 3;
const UPPER_QUANTILE: f64 = 0.99;
const MEDIAN: f64 = 0.5;

/// What an instance has.
#[derive(Clone, Copy, Debug)]
struct Progress {
    version: u64,
    /// Since when it runs; none while it does not.
    running_since: Option<Instant>,
}

#[derive(Debug)]
struct State {
    /// From when on each change could be told: its time, or the end of an outage of discovery.
    changes: Vec<Instant>,
    instances: Vec<Progress>,
    delays: Histogram<u64>,
    late: u64,
}

/// Times from each change until each instance that runs has it. Clones measure together.
#[derive(Clone, Debug)]
pub(super) struct Propagation(Arc<Mutex<State>>);

/// The times of a run, in microseconds where they are times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PropagationSummary {
    pub changes: u64,
    pub median: u64,
    pub upper: u64,
    pub longest: u64,
    /// Pairs of a change and an instance that has it.
    pub in_force: u64,
    /// Those of them that took longer than [`BINDING_AFTER`].
    pub late: u64,
    /// Pairs of a change and an instance that runs and does not have it.
    pub missing: u64,
}

impl Propagation {
    /// A fleet that has the first version and does not run.
    pub fn new(instances: usize) -> Result<Propagation, ScaleError> {
        let longest = HISTOGRAM_MAX.as_micros() as u64;
        let delays = Histogram::new_with_max(longest, HISTOGRAM_DIGITS)
            .map_err(|error| ScaleError::RunFailed(format!("histogram: {error}")))?;
        let stopped = Progress { version: FIRST_VERSION, running_since: None };
        let state = State { changes: Vec::new(), instances: vec![stopped; instances], delays, late: 0 };
        Ok(Propagation(Arc::new(Mutex::new(state))))
    }

    /// The list has its next version, which can be told from then on.
    pub fn changed(&self, tellable_from: Instant) {
        self.lock().changes.push(tellable_from);
    }

    /// An instance starts. Gives the version that it knows.
    pub fn started(&self, instance: usize) -> u64 {
        let progress = &mut self.lock().instances[instance];
        progress.running_since = Some(Instant::now());
        progress.version
    }

    /// An instance stops.
    pub fn stopped(&self, instance: usize) {
        self.lock().instances[instance].running_since = None;
    }

    /// An instance has learned a version and all changes before it.
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

    /// Whether all instances that run have all changes.
    pub fn is_complete(&self) -> bool {
        self.lock().missing() == 0
    }

    /// The times so far.
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
