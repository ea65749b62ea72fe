//! The scenario of `scale discovery`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use hatchline::discovery::DiscoveryMode;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A number of simulated instances.
pub(super) type InstanceCount = BoundedInteger<1, 100_000>;
/// A span in seconds, perhaps none.
type Seconds = BoundedInteger<0, 86_400>;
/// A span in seconds.
type PositiveSeconds = BoundedInteger<1, 86_400>;
/// A short span in milliseconds.
type Milliseconds = BoundedInteger<0, 60_000>;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DiscoveryScenario {
    pub seed: u64,
    pub instances: Vec<InstanceCount>,
    pub listed: BoundedInteger<1, 1_000_000>,
    pub zones: BoundedInteger<1, 1_000>,
    pub mode: ModeName,
    pub network: NetworkSettings,
    pub server: ServerSettings,
    pub changes: ChangeSettings,
    pub phases: PhaseSettings,
    pub rolling_restart: RollingRestartSettings,
    pub zone_outage: ZoneOutageSettings,
    pub silence: SilenceSettings,
}

/// How lists reach the instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ModeName {
    Pushed,
    OnRequest,
}

impl ModeName {
    /// The mode that the client is told.
    pub fn to_client(self) -> DiscoveryMode {
        match self {
            ModeName::Pushed => DiscoveryMode::Pushed,
            ModeName::OnRequest => DiscoveryMode::OnRequest,
        }
    }
}

/// The network between the instances and discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NetworkSettings {
    pub one_way_latency_ms: Milliseconds,
}

/// Limits of discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerSettings {
    pub new_watches_per_second: BoundedInteger<1, 1_000_000>,
    pub answers_at_once: BoundedInteger<1, 1_000_000>,
    pub answer_ms: Milliseconds,
    pub entry_us: BoundedInteger<0, 1_000_000>,
    pub history: BoundedInteger<0, 1_000_000>,
}

/// How often the list changes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChangeSettings {
    pub per_day: BoundedInteger<1, 1_000_000_000>,
    pub factor: BoundedInteger<1, 100_000>,
}

/// The parts of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PhaseSettings {
    pub warm_up_s: PositiveSeconds,
    pub measured_s: PositiveSeconds,
    pub settle_s: Seconds,
}

/// The restart of the fleet, part by part.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollingRestartSettings {
    pub steps: BoundedInteger<1, 1_000>,
    pub step_s: Spanned<PositiveSeconds>,
    pub down_ms: Milliseconds,
}

/// The outage of a zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ZoneOutageSettings {
    pub from_s: Seconds,
    pub lasts_s: Spanned<PositiveSeconds>,
}

/// Silence of open watches, and of discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SilenceSettings {
    pub watches_silent_at_s: Spanned<Seconds>,
    pub unreachable_from_s: Seconds,
    pub unreachable_s: Spanned<PositiveSeconds>,
}

/// A span of whole seconds.
pub(super) fn seconds<const MIN: u64, const MAX: u64>(span: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_secs(span.get())
}

/// A span of whole milliseconds.
pub(super) fn milliseconds<const MIN: u64, const MAX: u64>(span: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_millis(span.get())
}
