//! Scenario of `scale fleet`: its keys and their ranges.

use crate::bounded_integer::BoundedInteger;
use crate::deployment::{ClassSettings, Deployment, SECOND};
use hatchline::{Micros, Settings};
use serde::Deserialize;
use std::slice;

/// Number of replicas.
pub(super) type FleetSize = BoundedInteger<1, 100_000>;
/// A duration in seconds, up to an hour.
type Seconds = BoundedInteger<1, 3_600>;
/// Response time in milliseconds.
type ResponseMilliseconds = BoundedInteger<1, 60_000>;

/// Contents of a scenario file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetScenario {
    pub seed: u64,
    pub sizes: Vec<FleetSize>,
    pub policy: FleetPolicySettings,
    pub traffic: TrafficSettings,
    pub destination: DestinationSettings,
    pub phases: PhaseSettings,
}

/// Settings of each replica's delivery policy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetPolicySettings {
    pub slots: BoundedInteger<1, 1_000_000>,
    pub max_attempts: BoundedInteger<1, 1_000>,
    pub max_held: BoundedInteger<1, 2_000_000_000>,
    pub class: ClassSettings,
}

/// The ratio of traffic to destinations, and how many destinations are simulated.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TrafficSettings {
    pub events_per_second_per_replica: BoundedInteger<1, 1_000_000>,
    pub destinations_per_replica: BoundedInteger<1, 1_000_000>,
    pub sampled_destinations: BoundedInteger<1, 10_000>,
}

/// Properties of each sampled destination.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DestinationSettings {
    pub capacity_per_second: BoundedInteger<1, 1_000_000>,
    pub is_capacity_listed: bool,
    pub service_time_ms: ResponseMilliseconds,
    pub refusal_time_ms: ResponseMilliseconds,
}

/// Durations of the phases in virtual time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PhaseSettings {
    pub steady_s: Seconds,
    pub outage_s: Seconds,
    pub recovery_s: Seconds,
}

impl FleetScenario {
    /// Returns the policy settings of each replica in a fleet of this size.
    pub fn policy_settings(&self, replicas: u64) -> Settings {
        let deployment = Deployment {
            replicas,
            slots: self.policy.slots.get(),
            max_held: self.policy.max_held.get(),
            max_attempts: self.policy.max_attempts.get(),
            is_rate_listed: self.destination.is_capacity_listed,
            classes: slice::from_ref(&self.policy.class),
        };
        deployment.policy_settings()
    }
}

impl TrafficSettings {
    /// Returns the events per second for one destination, over the whole fleet.
    pub fn events_per_second_per_destination(&self) -> f64 {
        self.events_per_second_per_replica.get() as f64 / self.destinations_per_replica.get() as f64
    }

    /// Returns the events per second for all sampled destinations, over the whole fleet.
    pub fn simulated_events_per_second(&self) -> f64 {
        self.events_per_second_per_destination() * self.sampled_destinations.get() as f64
    }
}

/// Converts a duration to microseconds.
pub(super) fn to_micros(span: Seconds) -> Micros {
    span.get() * SECOND
}
