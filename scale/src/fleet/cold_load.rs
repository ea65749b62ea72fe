//! The load that a destination may get while it is cold after an outage, and the worst that it got.

use crate::deployment::SECOND;
use hatchline::{DestinationContract, Micros};
use serde::Serialize;
use std::collections::VecDeque;

/// A window counts against the fleet if more than this share of its calls came from replicas that had met the outage.
const OBSERVED_SHARE_NUMERATOR: usize = 2;
const OBSERVED_SHARE_DENOMINATOR: usize = 3;

/// A call to a destination that has returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallAfterOutage {
    /// Span since the return.
    pub since_recovery: Micros,
    /// The replica had called the destination during the outage.
    pub observed_outage: bool,
}

/// Calls within one window against the calls allowed in it. Both are 0 where there is no such window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct WindowLoad {
    pub calls: usize,
    pub allowed: f64,
}

impl WindowLoad {
    /// Calls over those allowed; 0 where there was no call.
    pub fn ratio(&self) -> f64 {
        if self.calls == 0 {
            0.0
        } else {
            self.calls as f64 / self.allowed
        }
    }

    /// The one of two that comes nearest to what is allowed, or exceeds it most.
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
    /// Of the windows that count against the fleet.
    pub counted: WindowLoad,
    /// Of all windows.
    pub any: WindowLoad,
}

/// Calls that the fleet may make to a destination in `overload_duration`, from this span after its return: what the
/// contract allows a destination that is cold then, and twice the root of that and two more for chance.
fn allowed_calls(capacity: f64, since_recovery: Micros, contract: &DestinationContract) -> f64 {
    let ramp_progress = (since_recovery as f64 / contract.ramp_time as f64).min(1.0);
    let capacity_share = contract.cold_capacity_share + (1.0 - contract.cold_capacity_share) * ramp_progress;
    let budget = capacity * capacity_share * contract.overload_factor * contract.overload_duration as f64
        / SECOND as f64;
    budget + 2.0 * budget.sqrt() + 2.0
}

/// The worst windows of `overload_duration` that begin within the ramp after the return. The calls are in order of
/// time.
pub(super) fn worst_windows(
    calls: &[CallAfterOutage], capacity: f64, contract: &DestinationContract,
) -> WorstWindows {
    let mut worst = WorstWindows::default();
    let mut window = VecDeque::new();
    for call in calls {
        // The earliest window that holds this call is the one that allows the least.
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
