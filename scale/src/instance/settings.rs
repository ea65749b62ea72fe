//! The scenario of `scale instance`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A number of destinations listed.
pub(super) type ListedCount = BoundedInteger<1, 1_000_000>;
/// A number of messages held.
pub(super) type HeldCount = BoundedInteger<0, 1_000_000>;
/// A number of processes side by side.
pub(super) type ProcessCount = BoundedInteger<1, 200>;
/// A number of runs.
pub(super) type RunCount = BoundedInteger<1, 1_000>;
/// A number of requests.
type RequestCount = BoundedInteger<1, 1_000_000>;
/// A number of destinations beside those that are only listed.
type UsedCount = BoundedInteger<1, 10_000>;
/// A span in milliseconds, perhaps none.
type Milliseconds = BoundedInteger<0, 600_000>;
/// A span in milliseconds.
type PositiveMilliseconds = BoundedInteger<1, 600_000>;

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
    pub slots: BoundedInteger<1, 1_000_000>,
    pub max_attempts: BoundedInteger<1, 1_000>,
    pub max_open: BoundedInteger<1, 2_000_000_000>,
    pub listed_rate: BoundedInteger<1, 1_000_000_000>,
    pub sockets: BoundedInteger<16, 1_000_000>,
    pub disk_mb: BoundedInteger<1, 100_000>,
}

/// What is measured, and with which traffic.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workload {
    pub active: UsedCount,
    pub connections: BoundedInteger<1, 1_000>,
    pub body_bytes: BoundedInteger<0, 65_536>,
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
pub(super) fn milliseconds<const MIN: u64, const MAX: u64>(number: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_millis(number.get())
}
