//! Metrics of a point, computed from what its simulation recorded.

use crate::deployment::{MILLISECOND, SECOND};
use crate::fleet::cold_load::{worst_windows, WindowLoad, WorstWindows};
use crate::fleet::observations::{LearnedResponses, Message, MessageState, Observations};
use crate::fleet::plan::Point;
use crate::fleet::settings::{to_micros, FleetScenario};
use crate::fleet::simulation::Phases;
use crate::statistics::SampleSummary;
use hatchline::Micros;
use serde::Serialize;
use std::ops::Range;

/// Number of responses from which on the policy uses the measured timeout of a route.
const MIN_RESPONSES_FOR_MEASURED_TIMEOUT: u32 = 20;
/// Fraction of messages delivered within their aim from which on service counts as recovered.
const RECOVERED_SHARE: f64 = 0.9;
/// Duration of arrivals over which that fraction is taken, and the step between two such windows.
const RECOVERY_WINDOW: Micros = 5 * SECOND;
const RECOVERY_STEP: Micros = SECOND;

/// What replicas have learned by the end of the steady phase. A pair is a replica and a sampled destination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct SteadyMetrics {
    /// Fraction of all pairs in which the replica has received a message for the destination.
    #[serde(rename = "pairs_met_share")]
    pub pairs_with_traffic_share: f64,
    /// Successful responses of each pair with traffic; `None` if there is no such pair.
    #[serde(rename = "answers_of_pairs_met")]
    pub responses_of_pairs_with_traffic: Option<SampleSummary>,
    /// Fraction of all pairs with enough responses for a measured timeout.
    #[serde(rename = "pairs_trusted_share")]
    pub pairs_with_measured_timeout_share: f64,
    /// Time in which a pair gets that many responses, at the mean rate of the steady phase; `None` without responses.
    #[serde(rename = "seconds_until_trusted")]
    pub seconds_until_measured_timeout: Option<f64>,
    /// Fraction of the messages of the steady phase that were delivered within their aim.
    pub within_aim_share: Option<f64>,
}

/// Effects of the outage. Fractions are `None` if no message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct OutageMetrics {
    /// Calls to a destination during the outage.
    pub calls_while_down: Option<SampleSummary>,
    /// Mean number of messages that arrive for a destination during the outage.
    pub arrivals_while_down: f64,
    /// The worst window after the outage, of those that count against the fleet.
    pub worst_window: WindowLoad,
    /// The worst of all windows after the outage.
    pub worst_window_of_any: WindowLoad,
    /// Destinations that received more calls in a window than allowed, of the windows that count against the fleet.
    pub destinations_over_budget: usize,
    /// Fractions of messages delivered before their deadline, by the phase of their arrival.
    pub delivered_share_of_outage: Option<f64>,
    pub delivered_share_of_recovery: Option<f64>,
    pub delivered_share_of_run: Option<f64>,
    /// Seconds from the end of the outage to the start of the first 5 s window of arrivals of which 90 % were
    /// delivered within their aim. Windows start at whole seconds. `None` if there is no such window.
    pub seconds_until_recovered: Option<f64>,
}

/// All metrics of a point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct PointMetrics {
    pub messages: usize,
    pub steady: SteadyMetrics,
    pub outage: OutageMetrics,
}

impl PointMetrics {
    /// Computes the metrics of a simulation that has ended.
    pub fn new(
        scenario: &FleetScenario, point: Point, phases: &Phases, observations: &Observations,
    ) -> PointMetrics {
        let deliveries = DeliveryStatistics {
            messages: &observations.messages,
            aim: scenario.policy.class.aim_ms.get() * MILLISECOND,
            deadline: scenario.policy.class.deadline_ms.get() * MILLISECOND,
        };
        PointMetrics {
            messages: observations.messages.len(),
            steady: steady_metrics(scenario, point, phases, &observations.learned, &deliveries),
            outage: outage_metrics(scenario, point, phases, observations, &deliveries),
        }
    }
}

/// Messages in order of arrival, and the time limits of their class.
#[derive(Debug)]
struct DeliveryStatistics<'a> {
    messages: &'a [Message],
    aim: Micros,
    deadline: Micros,
}

impl DeliveryStatistics<'_> {
    /// Fraction of the messages of an arrival span that were delivered within their aim.
    fn share_within_aim(&self, arrival_span: Range<Micros>) -> Option<f64> {
        self.share_delivered_within(arrival_span, self.aim)
    }

    /// Fraction of the messages of an arrival span that were delivered before their deadline.
    fn share_within_deadline(&self, arrival_span: Range<Micros>) -> Option<f64> {
        self.share_delivered_within(arrival_span, self.deadline)
    }

    fn share_delivered_within(&self, arrival_span: Range<Micros>, max_delay: Micros) -> Option<f64> {
        let first = self.messages.partition_point(|message| message.arrived_at < arrival_span.start);
        let end = self.messages.partition_point(|message| message.arrived_at < arrival_span.end);
        let messages = &self.messages[first..end];
        let in_time = |message: &&Message| match message.state {
            MessageState::Delivered(at) => at <= message.arrived_at + max_delay,
            MessageState::Pending | MessageState::NotDelivered => false,
        };
        let count = messages.iter().filter(in_time).count();
        (!messages.is_empty()).then(|| count as f64 / messages.len() as f64)
    }
}

fn steady_metrics(
    scenario: &FleetScenario, point: Point, phases: &Phases, learned: &LearnedResponses,
    deliveries: &DeliveryStatistics,
) -> SteadyMetrics {
    let pairs = (point.replicas * scenario.traffic.sampled_destinations.get()) as f64;
    let responses = &learned.per_pair_with_traffic;
    let with_measured_timeout =
        responses.iter().filter(|responses| **responses >= MIN_RESPONSES_FOR_MEASURED_TIMEOUT).count();
    let total: f64 = responses.iter().map(|responses| f64::from(*responses)).sum();
    let per_pair_and_second = total / pairs / scenario.phases.steady_s.get() as f64;
    SteadyMetrics {
        pairs_with_traffic_share: responses.len() as f64 / pairs,
        responses_of_pairs_with_traffic: SampleSummary::from_values(
            responses.iter().map(|responses| f64::from(*responses)),
        ),
        pairs_with_measured_timeout_share: with_measured_timeout as f64 / pairs,
        seconds_until_measured_timeout: (total > 0.0)
            .then(|| f64::from(MIN_RESPONSES_FOR_MEASURED_TIMEOUT) / per_pair_and_second),
        within_aim_share: deliveries.share_within_aim(phases.start..phases.outage_start),
    }
}

fn outage_metrics(
    scenario: &FleetScenario, point: Point, phases: &Phases, observations: &Observations,
    deliveries: &DeliveryStatistics,
) -> OutageMetrics {
    let windows = windows_by_destination(scenario, point, observations);
    let worst = |window: fn(&WorstWindows) -> WindowLoad| {
        windows.iter().map(window).fold(WindowLoad::default(), WindowLoad::worse)
    };
    let calls = observations.destinations.iter().map(|calls| calls.count_during_outage as f64);
    let outage_s = scenario.phases.outage_s.get() as f64;
    OutageMetrics {
        calls_while_down: SampleSummary::from_values(calls),
        arrivals_while_down: scenario.traffic.events_per_second_per_destination() * outage_s,
        worst_window: worst(|windows| windows.counted),
        worst_window_of_any: worst(|windows| windows.any),
        destinations_over_budget: windows.iter().filter(|windows| windows.counted.ratio() > 1.0).count(),
        delivered_share_of_outage: deliveries
            .share_within_deadline(phases.outage_start..phases.recovery_start),
        delivered_share_of_recovery: deliveries
            .share_within_deadline(phases.recovery_start..phases.traffic_end),
        delivered_share_of_run: deliveries.share_within_deadline(phases.start..phases.traffic_end),
        seconds_until_recovered: seconds_until_recovered(scenario, phases, deliveries),
    }
}

fn windows_by_destination(
    scenario: &FleetScenario, point: Point, observations: &Observations,
) -> Vec<WorstWindows> {
    let contract = scenario.policy_settings(point.replicas).contract;
    let capacity = scenario.destination.capacity_per_second.get() as f64;
    let destinations = observations.destinations.iter();
    destinations.map(|calls| worst_windows(&calls.after_outage, capacity, &contract)).collect()
}

fn seconds_until_recovered(
    scenario: &FleetScenario, phases: &Phases, deliveries: &DeliveryStatistics,
) -> Option<f64> {
    let last = to_micros(scenario.phases.recovery_s).checked_sub(RECOVERY_WINDOW)?;
    let is_recovered = |since: &Micros| {
        let window_start = phases.recovery_start + since;
        let share = deliveries.share_within_aim(window_start..window_start + RECOVERY_WINDOW);
        share.is_some_and(|share| share >= RECOVERED_SHARE)
    };
    let since = (0..=last).step_by(RECOVERY_STEP as usize).find(is_recovered)?;
    Some(since as f64 / SECOND as f64)
}
