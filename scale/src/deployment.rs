//! The deployment that the experiments share: message classes, destination contract, and the policy settings made
//! from both.

use crate::bounded_integer::BoundedInteger;
use hatchline::{Class, DestinationContract, ListedRate, Micros, RetrySafety, Settings};
use serde::{Deserialize, Serialize};

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000 * MILLISECOND;
/// Time resolution of the simulated forwarder: the minimum interval between two batches of events.
const TICK: Micros = MILLISECOND;
/// Maximum duration that a scenario may set, in milliseconds: one day.
const MAX_SPAN_MS: u64 = 86_400_000;

/// A duration in milliseconds that may be zero.
pub type Milliseconds = BoundedInteger<0, MAX_SPAN_MS>;
/// A duration in milliseconds of at least one.
pub type PositiveMilliseconds = BoundedInteger<1, MAX_SPAN_MS>;

/// Scenario settings of a message class.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Name by which the scenario refers to the class.
    pub name: String,
    /// Time from arrival within which a delivery earns the full worth.
    pub aim_ms: PositiveMilliseconds,
    /// Time from arrival within which a message may be delivered.
    pub deadline_ms: PositiveMilliseconds,
    /// Worth of a delivery within the aim.
    pub worth: Fraction,
    /// Fraction of the worth that remains at the deadline.
    pub late_value: Fraction,
    /// Effect of a retry at the destination.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafetySetting,
    /// For keyed classes: how long the destination drops repeats of a key.
    #[serde(rename = "window_ms")]
    pub deduplication_window_ms: Milliseconds,
}

/// A number from 0 to 1, checked as it is read.
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

/// Whether a message may be retried without taking effect twice, as the scenario names it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RetrySafetySetting {
    /// May be retried without restriction.
    Repeatable,
    /// The destination drops repeats of a key for the deduplication window.
    Keyed,
    /// Must not take effect twice.
    Unsafe,
}

/// Parameters of a deployment that differ between experiments.
#[derive(Clone, Copy, Debug)]
pub struct Deployment<'a> {
    /// Number of forwarders that share the destinations.
    pub replicas: u64,
    /// Maximum number of calls that one forwarder has in flight.
    pub slots: u64,
    /// Maximum number of messages that one forwarder holds.
    pub max_held: u64,
    /// Maximum number of attempts per message.
    pub max_attempts: u64,
    /// Whether the endpoint list states the rate that each destination accepts.
    pub is_rate_listed: bool,
    /// Message classes.
    pub classes: &'a [ClassSettings],
}

impl Deployment<'_> {
    /// Returns the settings of the delivery policy. What no scenario sets has the values of a typical deployment.
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

/// Destination contract of a typical deployment.
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

/// Converts a number, limited to the maximum of `u32`.
pub fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
