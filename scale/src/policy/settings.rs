//! The scenario of `scale policy`: its keys and their ranges.

use crate::range::Bounded;
use hatchline::{Class, Effect, ListedRate, Micros, Rules, Settings};
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// Microseconds in a millisecond.
pub(super) const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub(super) const SECOND: Micros = 1_000 * MILLISECOND;
/// Shortest span between two moments at which events reach a forwarder.
const TICK: Micros = MILLISECOND;
/// Greatest span that a scenario may name, in milliseconds: a day.
const DAY_MS: u64 = 86_400_000;

/// A number of destinations listed.
pub(super) type ListedCount = Bounded<1, 1_000_000_000>;
/// A number of destinations that get traffic.
pub(super) type ActiveCount = Bounded<1, 1_000_000_000>;
/// A number of messages held.
pub(super) type HeldCount = Bounded<0, 1_000_000_000>;
/// A number of runs.
pub(super) type RunCount = Bounded<1, 1_000>;
/// A number of requests.
type RequestCount = Bounded<1, 100_000_000>;
/// A span in milliseconds, perhaps none.
type Milliseconds = Bounded<0, DAY_MS>;
/// A span in milliseconds.
type PositiveMilliseconds = Bounded<1, DAY_MS>;
/// A short span in microseconds.
type ShortMicroseconds = Bounded<10, 10_000_000>;

/// A scenario file.
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
    pub replicas: Bounded<1, 100_000>,
    pub slots: Bounded<1, 1_000_000>,
    pub max_attempts: Bounded<1, 1_000>,
    pub max_held: Bounded<1, 2_000_000_000>,
    pub listed_rate: Bounded<0, 1_000_000_000>,
    pub classes: Vec<ClassSettings>,
}

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassSettings {
    pub name: String,
    pub aim_ms: PositiveMilliseconds,
    pub deadline_ms: PositiveMilliseconds,
    pub worth: Share,
    pub late_value: Share,
    pub effect: EffectName,
    pub window_ms: Milliseconds,
}

/// A number from 0 to 1.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub(super) struct Share(f64);

impl TryFrom<f64> for Share {
    type Error = String;

    fn try_from(number: f64) -> Result<Self, String> {
        let in_range = (0.0..=1.0).contains(&number);
        in_range.then_some(Share(number)).ok_or_else(|| format!("{number} is out of range, 0 to 1"))
    }
}

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EffectName {
    Repeatable,
    Keyed,
    Unsafe,
}

/// Traffic, and how much of it is measured.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Workload {
    pub request_class: Spanned<String>,
    pub backlog_class: Spanned<String>,
    pub request_interval_us: ShortMicroseconds,
    pub service_time_us: ShortMicroseconds,
    pub warm_up_answers: Bounded<0, 10_000>,
    pub min_requests: RequestCount,
    pub max_requests: RequestCount,
    pub time_budget_ms: PositiveMilliseconds,
}

/// The series by destinations listed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListedSeries {
    pub points: Vec<ListedCount>,
    pub active: ActiveCount,
}

/// The series by destinations active.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ActiveSeries {
    pub points: Vec<Spanned<ActiveCount>>,
    pub listed: ListedCount,
}

/// The series by messages held.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BacklogSeries {
    pub points: Vec<Spanned<HeldCount>>,
    pub listed: Spanned<ListedCount>,
    pub active: ActiveCount,
    pub destinations: Bounded<1, 1_000_000_000>,
}

impl PolicySettings {
    /// The place of a class, if there is one of this name.
    pub fn class_index(&self, name: &str) -> Option<u32> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        u32::try_from(index).ok()
    }

    /// The settings in the form that the delivery policy takes. What no scenario sets is as in a usual deployment.
    pub fn to_policy(&self) -> Settings {
        Settings {
            senders: to_u32(self.replicas.get()),
            slots: to_u32(self.slots.get()),
            max_held: to_u32(self.max_held.get()),
            max_attempts: to_u32(self.max_attempts.get()),
            may_cancel: true,
            classes: self.classes.iter().map(ClassSettings::to_policy).collect(),
            rules: rules(),
            batch: vec![1],
            routes_apart: vec![false],
            listed_rate: if self.listed_rate.get() > 0 { ListedRate::Exact } else { ListedRate::Unknown },
            connection_idle: 15 * SECOND,
            connect_timeout: SECOND,
            streams_per_connection: 8,
            tick: TICK,
            ..Settings::default()
        }
    }
}

impl ClassSettings {
    fn to_policy(&self) -> Class {
        Class {
            aim: self.aim_ms.get() * MILLISECOND,
            deadline: self.deadline_ms.get() * MILLISECOND,
            worth: self.worth.0,
            late_value: self.late_value.0,
            effect: self.effect.to_policy(),
            window: self.window_ms.get() * MILLISECOND,
            ..Class::default()
        }
    }
}

impl EffectName {
    fn to_policy(self) -> Effect {
        match self {
            EffectName::Repeatable => Effect::Repeatable,
            EffectName::Keyed => Effect::Keyed,
            EffectName::Unsafe => Effect::Unsafe,
        }
    }
}

/// Rules of the usual deployment.
fn rules() -> Rules {
    Rules {
        drain_grace: SECOND,
        cold_from: 0.2,
        ramp_time: 10 * SECOND,
        tip_multiple: 2.5,
        tip_after: 1_500 * MILLISECOND,
        order_pause: 100 * MILLISECOND,
        ask_within: 10 * SECOND,
    }
}

/// A number whose range ends below the greatest of 32 bits.
pub(super) fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
