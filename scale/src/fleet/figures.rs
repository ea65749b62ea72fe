//! The figures of a point, from what its simulation recorded.

use crate::deployment::{MILLISECOND, SECOND};
use crate::fleet::cold_budget::{worst_windows, WindowLoad, WorstWindows};
use crate::fleet::observations::{LearnedAnswers, Message, Observations, Stage};
use crate::fleet::plan::Point;
use crate::fleet::settings::{micros, FleetScenario};
use crate::fleet::simulation::Phases;
use crate::statistics::SampleSummary;
use hatchline::Micros;
use serde::Serialize;
use std::ops::Range;

/// Answers of a route from which on the policy trusts the time-out that it has measured.
const TRUSTED_ANSWERS: u32 = 20;
/// Share of messages that are delivered within their aim once service is back.
const RECOVERED_SHARE: f64 = 0.9;
/// Span of arrivals over which that share is taken, and the step between two such spans.
const RECOVERY_WINDOW: Micros = 5 * SECOND;
const RECOVERY_STEP: Micros = SECOND;

/// What replicas have learned by the end of the steady phase.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct SteadyFigures {
    /// Share of all pairs of a replica and a sampled destination that have met.
    pub pairs_met_share: f64,
    /// Answers of the pairs that have met; none where no pair has.
    pub answers_of_pairs_met: Option<SampleSummary>,
    /// Share of all pairs whose measured time-out is trusted.
    pub pairs_trusted_share: f64,
    /// Span in which a pair gets as many answers as that takes, at the mean rate of the phase; none without answers.
    pub seconds_until_trusted: Option<f64>,
    /// Share of the phase's messages that were delivered within their aim.
    pub within_aim_share: Option<f64>,
}

/// What the outage did. Shares are none where no message arrived.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct OutageFigures {
    /// Calls to a destination while it was down.
    pub calls_while_down: Option<SampleSummary>,
    /// Messages that arrived for a destination meanwhile, on the mean.
    pub arrivals_while_down: f64,
    /// The worst window since the return, of those that count against the fleet.
    pub worst_window: WindowLoad,
    /// The worst of all windows since the return.
    pub worst_window_of_any: WindowLoad,
    /// Destinations that got more calls in a window than is allowed, by the windows that count against the fleet.
    pub destinations_over_budget: usize,
    /// Shares of messages delivered before their deadline, by when they arrived.
    pub delivered_share_of_outage: Option<f64>,
    pub delivered_share_of_recovery: Option<f64>,
    pub delivered_share_of_run: Option<f64>,
    /// First whole second since the return from which on 90 % of what arrived in five seconds was delivered within its
    /// aim; none if that did not come.
    pub seconds_until_recovered: Option<f64>,
}

/// All figures of a point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(super) struct Figures {
    pub messages: usize,
    pub steady: SteadyFigures,
    pub outage: OutageFigures,
}

impl Figures {
    /// The figures of a simulation that has ended.
    pub fn new(
        scenario: &FleetScenario, point: Point, phases: &Phases, observations: &Observations,
    ) -> Figures {
        let deliveries = Deliveries {
            messages: &observations.messages,
            aim: scenario.policy.class.aim_ms.get() * MILLISECOND,
            deadline: scenario.policy.class.deadline_ms.get() * MILLISECOND,
        };
        Figures {
            messages: observations.messages.len(),
            steady: steady_figures(scenario, point, phases, &observations.learned, &deliveries),
            outage: outage_figures(scenario, point, phases, observations, &deliveries),
        }
    }
}

/// Messages in order of arrival, and what counts as in time.
#[derive(Debug)]
struct Deliveries<'a> {
    messages: &'a [Message],
    aim: Micros,
    deadline: Micros,
}

impl Deliveries<'_> {
    /// Share of the messages that arrived in a span that were delivered within their aim.
    fn within_aim(&self, arrived: Range<Micros>) -> Option<f64> {
        self.share_within(arrived, self.aim)
    }

    /// Share of the messages that arrived in a span that were delivered before their deadline.
    fn within_deadline(&self, arrived: Range<Micros>) -> Option<f64> {
        self.share_within(arrived, self.deadline)
    }

    fn share_within(&self, arrived: Range<Micros>, limit: Micros) -> Option<f64> {
        let first = self.messages.partition_point(|message| message.arrived < arrived.start);
        let end = self.messages.partition_point(|message| message.arrived < arrived.end);
        let messages = &self.messages[first..end];
        let in_time = |message: &&Message| match message.stage {
            Stage::Delivered(at) => at <= message.arrived + limit,
            Stage::Underway | Stage::Ended => false,
        };
        let count = messages.iter().filter(in_time).count();
        (!messages.is_empty()).then(|| count as f64 / messages.len() as f64)
    }
}

fn steady_figures(
    scenario: &FleetScenario, point: Point, phases: &Phases, learned: &LearnedAnswers,
    deliveries: &Deliveries,
) -> SteadyFigures {
    let pairs = (point.replicas * scenario.traffic.sampled_destinations.get()) as f64;
    let answers = &learned.of_pairs_met;
    let trusted = answers.iter().filter(|answers| **answers >= TRUSTED_ANSWERS).count();
    let total: f64 = answers.iter().map(|answers| f64::from(*answers)).sum();
    let per_pair_and_second = total / pairs / scenario.phases.steady_s.get() as f64;
    SteadyFigures {
        pairs_met_share: answers.len() as f64 / pairs,
        answers_of_pairs_met: SampleSummary::from_values(answers.iter().map(|answers| f64::from(*answers))),
        pairs_trusted_share: trusted as f64 / pairs,
        seconds_until_trusted: (total > 0.0).then(|| f64::from(TRUSTED_ANSWERS) / per_pair_and_second),
        within_aim_share: deliveries.within_aim(phases.start..phases.outage),
    }
}

fn outage_figures(
    scenario: &FleetScenario, point: Point, phases: &Phases, observations: &Observations,
    deliveries: &Deliveries,
) -> OutageFigures {
    let windows = windows_by_destination(scenario, point, observations);
    let worst = |window: fn(&WorstWindows) -> WindowLoad| {
        windows.iter().map(window).fold(WindowLoad::default(), WindowLoad::worse)
    };
    let calls = observations.destinations.iter().map(|log| log.calls_while_down as f64);
    let outage_s = scenario.phases.outage_s.get() as f64;
    OutageFigures {
        calls_while_down: SampleSummary::from_values(calls),
        arrivals_while_down: scenario.traffic.events_per_second_per_destination() * outage_s,
        worst_window: worst(|windows| windows.counted),
        worst_window_of_any: worst(|windows| windows.any),
        destinations_over_budget: windows.iter().filter(|windows| windows.counted.ratio() > 1.0).count(),
        delivered_share_of_outage: deliveries.within_deadline(phases.outage..phases.recovery),
        delivered_share_of_recovery: deliveries.within_deadline(phases.recovery..phases.end_of_traffic),
        delivered_share_of_run: deliveries.within_deadline(phases.start..phases.end_of_traffic),
        seconds_until_recovered: seconds_until_recovered(scenario, phases, deliveries),
    }
}

fn windows_by_destination(
    scenario: &FleetScenario, point: Point, observations: &Observations,
) -> Vec<WorstWindows> {
    let contract = scenario.policy_settings(point.replicas).contract;
    let capacity = scenario.destination.capacity_per_second.get() as f64;
    let logs = observations.destinations.iter();
    logs.map(|log| worst_windows(&log.calls_after_return, capacity, &contract)).collect()
}

fn seconds_until_recovered(
    scenario: &FleetScenario, phases: &Phases, deliveries: &Deliveries,
) -> Option<f64> {
    let last = micros(scenario.phases.recovery_s).checked_sub(RECOVERY_WINDOW)?;
    let is_recovered = |since: &Micros| {
        let from = phases.recovery + since;
        let share = deliveries.within_aim(from..from + RECOVERY_WINDOW);
        share.is_some_and(|share| share >= RECOVERED_SHARE)
    };
    let since = (0..=last).step_by(RECOVERY_STEP as usize).find(is_recovered)?;
    Some(since as f64 / SECOND as f64)
}
