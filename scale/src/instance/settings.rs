//! Scenario of `scale instance`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A number of listed destinations.
pub(super) type ListedCount = BoundedInteger<1, 1_000_000>;
/// A number of held messages.
pub(super) type HeldCount = BoundedInteger<0, 1_000_000>;
/// A number of concurrent processes.
pub(super) type ProcessCount = BoundedInteger<1, 200>;
pub(super) type RunCount = BoundedInteger<1, 1_000>;
type RequestCount = BoundedInteger<1, 1_000_000>;
/// A number of destinations that messages are sent to.
type DestinationCount = BoundedInteger<1, 10_000>;
/// A duration that may be zero.
type Milliseconds = BoundedInteger<0, 600_000>;
/// A duration of at least a millisecond.
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

/// Configuration of each forwarder.
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

/// Traffic and phases of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workload {
    pub active: DestinationCount,
    pub connections: BoundedInteger<1, 1_000>,
    pub body_bytes: BoundedInteger<0, 65_536>,
    pub service_time_ms: Milliseconds,
    pub settle_ms: Milliseconds,
    pub idle_ms: PositiveMilliseconds,
    #[serde(rename = "patience_ms")]
    pub step_timeout_ms: PositiveMilliseconds,
}

/// The series by listed destinations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListedSeries {
    pub points: Vec<ListedCount>,
    pub requests: RequestCount,
}

/// The series by held messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HeldSeries {
    pub points: Vec<HeldCount>,
    pub requests: RequestCount,
    pub listed: Spanned<ListedCount>,
    pub destinations: DestinationCount,
}

/// The series by concurrent processes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ProcessSeries {
    pub points: Vec<ProcessCount>,
    pub requests: RequestCount,
    pub listed: ListedCount,
}

pub(super) fn milliseconds<const MIN: u64, const MAX: u64>(duration: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_millis(duration.get())
}
