//! Counts calls and bytes over the measured period, at each replica and at discovery.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Number of calls, and of bytes in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub calls: u64,
    pub bytes: u64,
}

impl Load {
    pub fn total(loads: &[Load]) -> Load {
        let mut total = Load::default();
        loads.iter().for_each(|load| total.add(load.calls, load.bytes as usize));
        total
    }

    /// The most calls and the most bytes, which may be of different elements.
    pub fn greatest(loads: &[Load]) -> Load {
        Load {
            calls: loads.iter().map(|load| load.calls).max().unwrap_or_default(),
            bytes: loads.iter().map(|load| load.bytes).max().unwrap_or_default(),
        }
    }

    fn add(&mut self, calls: u64, bytes: usize) {
        self.calls += calls;
        self.bytes += bytes as u64;
    }
}

/// Traffic of the measured period.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    /// At discovery, for each second.
    pub seconds: Vec<Load>,
    /// At each replica, over the whole period.
    pub instances: Vec<Load>,
    /// Calls that discovery rejected.
    pub turned_away: u64,
}

#[derive(Debug)]
struct State {
    begin: Option<Instant>,
    counts: Counts,
}

/// Counts traffic within the measured period. Clones share their counts.
#[derive(Clone, Debug)]
pub(super) struct Meter(Arc<Mutex<State>>);

impl Meter {
    /// A meter that does not count until it is started.
    pub fn new(instances: usize, span: Duration) -> Meter {
        let counts = Counts {
            seconds: vec![Load::default(); span.as_secs() as usize],
            instances: vec![Load::default(); instances],
            turned_away: 0,
        };
        Meter(Arc::new(Mutex::new(State { begin: None, counts })))
    }

    /// Starts the measured period.
    pub fn begin(&self) {
        self.lock().begin = Some(Instant::now());
    }

    pub fn instance_sent(&self, instance: usize, bytes: usize) {
        self.count(|counts, _| counts.instances[instance].add(1, bytes));
    }

    pub fn instance_received(&self, instance: usize, bytes: usize) {
        self.count(|counts, _| counts.instances[instance].add(0, bytes));
    }

    pub fn request_arrived(&self, bytes: usize) {
        self.count(|counts, second| counts.seconds[second].add(1, bytes));
    }

    pub fn reply_written(&self, bytes: usize) {
        self.count(|counts, second| counts.seconds[second].add(0, bytes));
    }

    pub fn call_turned_away(&self) {
        self.count(|counts, _| counts.turned_away += 1);
    }

    /// The traffic counted so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts.clone()
    }

    fn count(&self, add: impl FnOnce(&mut Counts, usize)) {
        let mut state = self.lock();
        let Some(begin) = state.begin else { return };
        let second = begin.elapsed().as_secs() as usize;
        if second < state.counts.seconds.len() {
            add(&mut state.counts, second);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
