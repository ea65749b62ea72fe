//! Scenario of `scale policy`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use crate::deployment::{ClassSettings, Deployment, PositiveMilliseconds};
use hatchline::Settings;
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// Number of destinations in the endpoint list.
pub(super) type ListedCount = BoundedInteger<1, 1_000_000_000>;
/// Number of destinations that receive traffic.
pub(super) type ActiveCount = BoundedInteger<1, 1_000_000_000>;
/// Number of messages held.
pub(super) type HeldCount = BoundedInteger<0, 1_000_000_000>;
/// Number of runs per point.
pub(super) type RunCount = BoundedInteger<1, 1_000>;
/// Number of requests.
type RequestCount = BoundedInteger<1, 100_000_000>;
/// A short duration in microseconds.
type ShortMicroseconds = BoundedInteger<10, 10_000_000>;

/// Contents of a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PolicyScenario {
    pub seed: u64,
    pub runs: RunCount,
    pub policy: PolicySettings,
    pub workload: Workload,
    pub listed: ListedSeries,
    pub active: ActiveSeries,
    pub backlog: BacklogSeries,
}

/// Settings of the delivery policy.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PolicySettings {
    pub replicas: BoundedInteger<1, 100_000>,
    pub slots: BoundedInteger<1, 1_000_000>,
    pub max_attempts: BoundedInteger<1, 1_000>,
    pub max_held: BoundedInteger<1, 2_000_000_000>,
    pub listed_rate: BoundedInteger<0, 1_000_000_000>,
    pub classes: Vec<ClassSettings>,
}

/// Traffic, and how much of it is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workload {
    pub request_class: Spanned<String>,
    pub backlog_class: Spanned<String>,
    pub request_interval_us: ShortMicroseconds,
    pub service_time_us: ShortMicroseconds,
    #[serde(rename = "warm_up_answers")]
    pub warm_up_responses: BoundedInteger<0, 10_000>,
    pub min_requests: RequestCount,
    pub max_requests: RequestCount,
    pub time_budget_ms: PositiveMilliseconds,
}

/// The series by listed destinations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListedSeries {
    pub points: Vec<ListedCount>,
    pub active: ActiveCount,
}

/// The series by active destinations.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ActiveSeries {
    pub points: Vec<Spanned<ActiveCount>>,
    pub listed: ListedCount,
}

/// The series by held messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BacklogSeries {
    pub points: Vec<Spanned<HeldCount>>,
    pub listed: Spanned<ListedCount>,
    pub active: ActiveCount,
    pub destinations: BoundedInteger<1, 1_000_000_000>,
}

impl PolicySettings {
    /// Returns the index of the class with this name.
    pub fn class_index(&self, name: &str) -> Option<u32> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        u32::try_from(index).ok()
    }

    /// Returns the settings in the form that the delivery policy takes.
    pub fn to_policy_settings(&self) -> Settings {
        let deployment = Deployment {
            replicas: self.replicas.get(),
            slots: self.slots.get(),
            max_held: self.max_held.get(),
            max_attempts: self.max_attempts.get(),
            is_rate_listed: self.listed_rate.get() > 0,
            classes: &self.classes,
        };
        deployment.policy_settings()
    }
}
