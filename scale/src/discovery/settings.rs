//! Scenario of `scale discovery`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use hatchline::discovery::DiscoveryMode;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A number of simulated replicas.
pub(super) type ReplicaCount = BoundedInteger<1, 100_000>;
/// A duration that may be zero.
type Seconds = BoundedInteger<0, 86_400>;
/// A duration of at least a second.
type PositiveSeconds = BoundedInteger<1, 86_400>;
/// A duration that may be zero.
type Milliseconds = BoundedInteger<0, 60_000>;

/// A scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DiscoveryScenario {
    pub seed: u64,
    #[serde(rename = "instances")]
    pub replicas: Vec<ReplicaCount>,
    pub listed: BoundedInteger<1, 1_000_000>,
    pub zones: BoundedInteger<1, 1_000>,
    pub mode: ModeSetting,
    pub network: NetworkSettings,
    pub server: ServerSettings,
    pub changes: ChangeSettings,
    pub phases: PhaseSettings,
    pub rolling_restart: RollingRestartSettings,
    pub zone_outage: ZoneOutageSettings,
    pub silence: SilenceSettings,
}

/// How lists reach the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ModeSetting {
    Pushed,
    OnRequest,
}

impl ModeSetting {
    /// The mode in the form that the discovery client takes.
    pub fn to_client_mode(self) -> DiscoveryMode {
        match self {
            ModeSetting::Pushed => DiscoveryMode::Pushed,
            ModeSetting::OnRequest => DiscoveryMode::OnRequest,
        }
    }
}

/// The network between the replicas and discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct NetworkSettings {
    pub one_way_latency_ms: Milliseconds,
}

/// Limits and delays of discovery.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ServerSettings {
    pub new_watches_per_second: BoundedInteger<1, 1_000_000>,
    #[serde(rename = "answers_at_once")]
    pub concurrent_responses: BoundedInteger<1, 1_000_000>,
    #[serde(rename = "answer_ms")]
    pub response_ms: Milliseconds,
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

/// Phases of a run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PhaseSettings {
    pub warm_up_s: PositiveSeconds,
    pub measured_s: PositiveSeconds,
    pub settle_s: Seconds,
}

/// Rolling restart of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RollingRestartSettings {
    pub steps: BoundedInteger<1, 1_000>,
    pub step_s: Spanned<PositiveSeconds>,
    pub down_ms: Milliseconds,
}

/// Outage of a zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ZoneOutageSettings {
    pub from_s: Seconds,
    pub lasts_s: Spanned<PositiveSeconds>,
}

/// Watches without responses, and an outage of discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SilenceSettings {
    pub watches_silent_at_s: Spanned<Seconds>,
    pub unreachable_from_s: Seconds,
    pub unreachable_s: Spanned<PositiveSeconds>,
}

pub(super) fn seconds<const MIN: u64, const MAX: u64>(duration: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_secs(duration.get())
}

pub(super) fn milliseconds<const MIN: u64, const MAX: u64>(duration: BoundedInteger<MIN, MAX>) -> Duration {
    Duration::from_millis(duration.get())
}
