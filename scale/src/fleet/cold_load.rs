//! Load on a destination that is cold after an outage: the calls that the contract allows, and the worst windows that
//! occurred.

use crate::deployment::SECOND;
use hatchline::{DestinationContract, Micros};
use serde::Serialize;
use std::collections::VecDeque;

/// A window counts against the fleet if more than this fraction of its calls came from replicas that had called the
/// destination during the outage: only those replicas can know that it is cold.
const OBSERVED_SHARE_NUMERATOR: usize = 2;
const OBSERVED_SHARE_DENOMINATOR: usize = 3;

/// A call to a destination after its outage.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallAfterOutage {
    /// Time since the end of the outage.
    pub since_recovery: Micros,
    /// Whether the replica had called the destination during the outage.
    pub observed_outage: bool,
}

/// Calls within one window, and the calls allowed in it. Both are 0 if there is no such window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct WindowLoad {
    pub calls: usize,
    pub allowed: f64,
}

impl WindowLoad {
    /// Ratio of calls to allowed calls; 0 without calls.
    pub fn ratio(&self) -> f64 {
        if self.calls == 0 {
            0.0
        } else {
            self.calls as f64 / self.allowed
        }
    }

    /// Returns the load with the greater ratio.
    pub fn worse(self, other: WindowLoad) -> WindowLoad {
        if other.ratio() > self.ratio() {
            other
        } else {
            self
        }
    }
}

/// The worst windows of a destination.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorstWindows {
    /// The worst of the windows that count against the fleet.
    pub counted: WindowLoad,
    /// The worst of all windows.
    pub any: WindowLoad,
}

/// Returns how many calls the fleet may make to a destination within `overload_duration`, in a window that starts
/// this long after the outage: what the contract allows a destination that is still cold, plus twice the square root
/// of that and 2 for random variation.
fn allowed_calls(capacity: f64, since_recovery: Micros, contract: &DestinationContract) -> f64 {
    let ramp_progress = (since_recovery as f64 / contract.ramp_time as f64).min(1.0);
    let capacity_share = contract.cold_capacity_share + (1.0 - contract.cold_capacity_share) * ramp_progress;
    let budget = capacity * capacity_share * contract.overload_factor * contract.overload_duration as f64
        / SECOND as f64;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// Finds the worst windows of `overload_duration` that start within the ramp after the outage. The calls are in order
/// of time.
pub(super) fn worst_windows(
    calls: &[CallAfterOutage], capacity: f64, contract: &DestinationContract,
) -> WorstWindows {
    let mut worst = WorstWindows::default();
    let mut window = VecDeque::new();
    for call in calls {
        // Of the windows that hold this call, the earliest allows the fewest calls.
        let window_start = call.since_recovery.saturating_sub(contract.overload_duration);
        if window_start > contract.ramp_time {
            break;
        }
        window.push_back(*call);
        while window.front().is_some_and(|first| first.since_recovery < window_start) {
            window.pop_front();
        }
        let load =
            WindowLoad { calls: window.len(), allowed: allowed_calls(capacity, window_start, contract) };
        worst.any = worst.any.worse(load);
        let observed = window.iter().filter(|call| call.observed_outage).count();
        if observed * OBSERVED_SHARE_DENOMINATOR > window.len() * OBSERVED_SHARE_NUMERATOR {
            worst.counted = worst.counted.worse(load);
        }
    }
    worst
}
