//! Counts of calls and bytes over the measured span, at each instance and at discovery.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Calls, and bytes both ways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub calls: u64,
    pub bytes: u64,
}

impl Load {
    /// The sum of some loads.
    pub fn total(loads: &[Load]) -> Load {
        let mut total = Load::default();
        loads.iter().for_each(|load| total.add(load.calls, load.bytes as usize));
        total
    }

    /// The most calls and the most bytes of some loads, which need not come together.
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

/// What was counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    /// At discovery, in each second.
    pub seconds: Vec<Load>,
    /// At each instance, over the whole span.
    pub instances: Vec<Load>,
    /// Calls that discovery turned away.
    pub turned_away: u64,
}

#[derive(Debug)]
struct State {
    begin: Option<Instant>,
    counts: Counts,
}

/// Counts what passes within the measured span. Clones count together.
#[derive(Clone, Debug)]
pub(super) struct Meter(Arc<Mutex<State>>);

impl Meter {
    /// A meter of a fleet that will count for so many seconds.
    pub fn new(instances: usize, span: Duration) -> Meter {
        let counts = Counts {
            seconds: vec![Load::default(); span.as_secs() as usize],
            instances: vec![Load::default(); instances],
            turned_away: 0,
        };
        Meter(Arc::new(Mutex::new(State { begin: None, counts })))
    }

    /// Counts from now on.
    pub fn begin(&self) {
        self.lock().begin = Some(Instant::now());
    }

    /// An instance has written a request.
    pub fn instance_sent(&self, instance: usize, bytes: usize) {
        self.count(|counts, _| counts.instances[instance].add(1, bytes));
    }

    /// An instance has read a reply.
    pub fn instance_received(&self, instance: usize, bytes: usize) {
        self.count(|counts, _| counts.instances[instance].add(0, bytes));
    }

    /// Discovery has read a request.
    pub fn request_arrived(&self, bytes: usize) {
        self.count(|counts, second| counts.seconds[second].add(1, bytes));
    }

    /// Discovery has written a reply.
    pub fn reply_written(&self, bytes: usize) {
        self.count(|counts, second| counts.seconds[second].add(0, bytes));
    }

    /// Discovery has turned a call away.
    pub fn call_turned_away(&self) {
        self.count(|counts, _| counts.turned_away += 1);
    }

    /// All that was counted.
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
