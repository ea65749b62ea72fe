//! The deployment that experiments share: classes of messages, contract, and the policy's settings from both.

use crate::bounded_integer::BoundedInteger;
use hatchline::{Class, DestinationContract, ListedRate, Micros, RetrySafety, Settings};
use serde::{Deserialize, Serialize};

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;
/// Microseconds in a second.
pub const SECOND: Micros = 1_000 * MILLISECOND;
/// Shortest span between two moments at which events reach a forwarder.
const TICK: Micros = MILLISECOND;
/// Greatest span that a scenario may name, in milliseconds: a day.
const MAX_SPAN_MS: u64 = 86_400_000;

/// A span in milliseconds, perhaps none.
pub type Milliseconds = BoundedInteger<0, MAX_SPAN_MS>;
/// A span in milliseconds.
pub type PositiveMilliseconds = BoundedInteger<1, MAX_SPAN_MS>;

/// A class of messages.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name in the scenario.
    pub name: String,
    /// Span in which a delivery earns the full worth.
    pub aim_ms: PositiveMilliseconds,
    /// Span in which a message may be delivered.
    pub deadline_ms: PositiveMilliseconds,
    /// What a delivery is worth.
    pub worth: Fraction,
    /// Share of the worth that is left at the deadline.
    pub late_value: Fraction,
    /// What a repeat does.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafetySetting,
    /// For keyed classes: how long repeats are dropped.
    #[serde(rename = "window_ms")]
    pub deduplication_window_ms: Milliseconds,
}

/// A number from 0 to 1.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Fraction(f64);

impl TryFrom<f64> for Fraction {
    type Error = String;

    fn try_from(number: f64) -> Result<Self, String> {
        let in_range = (0.0..=1.0).contains(&number);
        in_range.then_some(Fraction(number)).ok_or_else(|| format!("{number} is out of range, 0 to 1"))
    }
}

/// What a repeat of a message does.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafetySetting {
    /// May be repeated at will.
    Repeatable,
    /// The destination drops repeats for a time.
    Keyed,
    /// Must never take effect twice.
    Unsafe,
}

/// A deployment, as far as it differs from experiment to experiment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment<'a> {
    /// Forwarders that share the destinations.
    pub replicas: u64,
    /// Calls that one forwarder may have out at once.
    pub slots: u64,
    /// Messages that one forwarder may hold.
    pub max_held: u64,
    /// Attempts for one message at most.
    pub max_attempts: u64,
    /// Whether the list names the rate that each destination takes.
    pub is_rate_listed: bool,
    /// Classes of messages.
    pub classes: &'a [ClassSettings],
}

impl Deployment<'_> {
    /// The settings in the form that the delivery policy takes. What no scenario sets is as in a usual deployment.
    pub fn policy_settings(&self) -> Settings {
        Settings {
            replicas: saturating_u32(self.replicas),
            slots: saturating_u32(self.slots),
            max_held: saturating_u32(self.max_held),
            max_attempts: saturating_u32(self.max_attempts),
            may_cancel: true,
            classes: self.classes.iter().map(ClassSettings::to_policy).collect(),
            contract: typical_contract(),
            batch_by_kind: vec![1],
            route_per_endpoint: vec![false],
            listed_rate: if self.is_rate_listed { ListedRate::Exact } else { ListedRate::Unknown },
            connection_idle_timeout: 15 * SECOND,
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
            retry_safety: self.retry_safety.to_policy(),
            deduplication_window: self.deduplication_window_ms.get() * MILLISECOND,
            ..Class::default()
        }
    }
}

impl RetrySafetySetting {
    fn to_policy(self) -> RetrySafety {
        match self {
            RetrySafetySetting::Repeatable => RetrySafety::Repeatable,
            RetrySafetySetting::Keyed => RetrySafety::Keyed,
            RetrySafetySetting::Unsafe => RetrySafety::Unsafe,
        }
    }
}

/// Contract of the usual deployment.
fn typical_contract() -> DestinationContract {
    DestinationContract {
        drain_grace: SECOND,
        cold_capacity_share: 0.2,
        ramp_time: 10 * SECOND,
        overload_factor: 2.5,
        overload_duration: 1_500 * MILLISECOND,
        order_pause: 100 * MILLISECOND,
        max_list_poll_interval: 10 * SECOND,
    }
}

/// A number whose range ends below the greatest of 32 bits.
pub fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
