//! The scenario of `scale instance`: its keys and their ranges.

use crate::range::Bounded;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A number of destinations listed.
pub(super) type ListedCount = Bounded<1, 1_000_000>;
/// A number of messages held.
pub(super) type HeldCount = Bounded<0, 1_000_000>;
/// A number of processes side by side.
pub(super) type ProcessCount = Bounded<1, 200>;
/// A number of runs.
pub(super) type RunCount = Bounded<1, 1_000>;
/// A number of requests.
type RequestCount = Bounded<1, 1_000_000>;
/// A number of destinations beside those that are only listed.
type UsedCount = Bounded<1, 10_000>;
/// A span in milliseconds, perhaps none.
type Milliseconds = Bounded<0, 600_000>;
/// A span in milliseconds.
type PositiveMilliseconds = Bounded<1, 600_000>;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct InstanceScenario {
    pub seed: u64,
    pub runs: RunCount,
    pub forwarder: ForwarderSettings,
    pub workload: Workload,
    pub listed: ListedSeries,
    pub held: HeldSeries,
    pub processes: ProcessSeries,
}

/// What each forwarder is configured with.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ForwarderSettings {
    pub slots: Bounded<1, 1_000_000>,
    pub max_attempts: Bounded<1, 1_000>,
    pub max_open: Bounded<1, 2_000_000_000>,
    pub listed_rate: Bounded<1, 1_000_000_000>,
    pub sockets: Bounded<16, 1_000_000>,
    pub disk_mb: Bounded<1, 100_000>,
}

/// What is measured, and with which traffic.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workload {
    pub active: UsedCount,
    pub connections: Bounded<1, 1_000>,
    pub body_bytes: Bounded<0, 65_536>,
    pub service_time_ms: Milliseconds,
    pub settle_ms: Milliseconds,
    pub idle_ms: PositiveMilliseconds,
    pub patience_ms: PositiveMilliseconds,
}

/// The series by destinations listed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListedSeries {
    pub points: Vec<ListedCount>,
    pub requests: RequestCount,
}

/// The series by messages held.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HeldSeries {
    pub points: Vec<HeldCount>,
    pub requests: RequestCount,
    pub listed: Spanned<ListedCount>,
    pub destinations: UsedCount,
}

/// The series by processes side by side.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ProcessSeries {
    pub points: Vec<ProcessCount>,
    pub requests: RequestCount,
    pub listed: ListedCount,
}

/// A span of so many milliseconds.
pub(super) fn milliseconds<const MIN: u64, const MAX: u64>(number: Bounded<MIN, MAX>) -> Duration {
    Duration::from_millis(number.get())
}
