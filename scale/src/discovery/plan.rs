//! What the experiment runs: its points, and the timed actions of a run.

use crate::discovery::arguments::DiscoveryArguments;
use crate::discovery::settings::{
    milliseconds, seconds, ChangeSettings, DiscoveryScenario, PhaseSettings, ReplicaCount,
};
use crate::error::ScaleError;
use crate::scenario::{ScenarioError, ScenarioFile};
use clap::ValueEnum;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// The built-in scenario, and its file name in error messages.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/discovery.toml");
const BUILT_IN_SCENARIO_NAME: &str = "scale/scenarios/discovery.toml";
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Delay from the stall of the open watches to a list change that they miss.
const MISSED_CHANGE_DELAY: Duration = Duration::from_millis(100);
/// Zone whose endpoints and replicas fail in the case of a zone outage.
pub(super) const FAILING_ZONE: usize = 0;

/// What happens in a run besides steady list changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub(super) enum Case {
    /// Only steady list changes.
    SteadyChanges,
    /// The instances restart, one group after the other.
    RollingRestart,
    /// All instances of a zone stop and its endpoints leave the list; later both return.
    ZoneOutage,
    /// Open watches get no response once; later discovery is unreachable for a while.
    Silence,
}

impl fmt::Display for Case {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Case::SteadyChanges => "steady changes",
            Case::RollingRestart => "rolling restart",
            Case::ZoneOutage => "zone outage",
            Case::Silence => "silence",
        })
    }
}

/// One run of the experiment.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Point {
    pub case: Case,
    #[serde(rename = "instances")]
    pub replicas: usize,
}

/// Plan of the whole experiment.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub scenario: DiscoveryScenario,
    pub points: Vec<Point>,
    pub seed: u64,
}

impl Plan {
    /// Builds the plan from the scenario and the arguments.
    pub fn load(arguments: &DiscoveryArguments) -> Result<Plan, ScaleError> {
        let file = match &arguments.common.scenario {
            Some(path) => ScenarioFile::read(path)?,
            None => ScenarioFile::built_in(BUILT_IN_SCENARIO_NAME, BUILT_IN_SCENARIO),
        };
        let scenario: DiscoveryScenario = file.parse()?;
        check_event_times(&file, &scenario)?;
        let all = Case::value_variants();
        let cases = if arguments.cases.is_empty() { all } else { &arguments.cases };
        let replica_counts: &[ReplicaCount] =
            if arguments.replicas.is_empty() { &scenario.replicas } else { &arguments.replicas };
        let case_points = |case: &Case| {
            let case = *case;
            replica_counts.iter().map(move |count| Point { case, replicas: count.get() as usize })
        };
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            points: cases.iter().flat_map(case_points).collect(),
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            scenario,
        })
    }
}

/// Checks that all events end within the measured period.
fn check_event_times(file: &ScenarioFile, scenario: &DiscoveryScenario) -> Result<(), ScenarioError> {
    let DiscoveryScenario { rolling_restart, zone_outage, silence, .. } = scenario;
    let measured = scenario.phases.measured_s.get();
    let check = |key: &str, span: Range<usize>, end: u64| {
        let reason = || format!("it ends at {end} s, after phases.measured_s of {measured}");
        if end > measured {
            Err(file.error_at(span, key, reason()))
        } else {
            Ok(())
        }
    };
    let end = rolling_restart.steps.get() * rolling_restart.step_s.get_ref().get();
    check("rolling_restart.step_s", rolling_restart.step_s.span(), end)?;
    let end = zone_outage.from_s.get() + zone_outage.lasts_s.get_ref().get();
    check("zone_outage.lasts_s", zone_outage.lasts_s.span(), end)?;
    let at = silence.watches_silent_at_s.get_ref().get();
    check("silence.watches_silent_at_s", silence.watches_silent_at_s.span(), at)?;
    let end = silence.unreachable_from_s.get() + silence.unreachable_s.get_ref().get();
    check("silence.unreachable_s", silence.unreachable_s.span(), end)
}

/// An action on the simulated fleet or its discovery service.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum SimulationAction {
    /// The listed rate of one endpoint changes.
    ChangeEndpoint,
    /// These replicas stop without notifying discovery.
    StopReplicas(Vec<usize>),
    /// These replicas start again with the list that they had.
    StartReplicas(Vec<usize>),
    /// The endpoints of a zone leave the list.
    RemoveZone(usize),
    /// The endpoints of a zone are listed again.
    RestoreZone(usize),
    /// The watches that are open at this time never get a response.
    StallOpenWatches,
    /// Discovery is unreachable until this time after the start of the measurement.
    MakeUnreachable { until: Duration },
    /// Discovery is reachable again.
    MakeReachable,
}

/// An action, and its time since the start of the measurement.
#[derive(Clone, Debug)]
pub(super) struct ScheduledAction {
    pub at: Duration,
    pub action: SimulationAction,
}

/// All actions of a run, in order of time.
pub(super) fn schedule(
    scenario: &DiscoveryScenario, point: Point, random: &mut ChaCha8Rng,
) -> Vec<ScheduledAction> {
    let mut actions = steady_changes(scenario.changes, scenario.phases, random);
    actions.extend(match point.case {
        Case::SteadyChanges => Vec::new(),
        Case::RollingRestart => rolling_restart(scenario, point.replicas),
        Case::ZoneOutage => zone_outage(scenario, point.replicas),
        Case::Silence => silence(scenario),
    });
    actions.sort_by_key(|action| action.at);
    actions
}

/// Changes at independent random times, with the mean frequency of the scenario.
fn steady_changes(
    changes: ChangeSettings, phases: PhaseSettings, random: &mut ChaCha8Rng,
) -> Vec<ScheduledAction> {
    let per_second = changes.per_day.get() as f64 * changes.factor.get() as f64 / SECONDS_PER_DAY;
    let end = seconds(phases.measured_s);
    let mut actions = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // The intervals of a Poisson process are exponentially distributed.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / per_second);
        if at >= end {
            return actions;
        }
        actions.push(ScheduledAction { at, action: SimulationAction::ChangeEndpoint });
    }
}

fn rolling_restart(scenario: &DiscoveryScenario, replicas: usize) -> Vec<ScheduledAction> {
    let settings = &scenario.rolling_restart;
    let group_count = settings.steps.get() as usize;
    let group_members =
        |group: usize| (0..replicas).filter(move |replica| replica % group_count == group).collect();
    let restart = |group: usize| {
        let at = seconds(*settings.step_s.get_ref()) * group as u32;
        let stop = ScheduledAction { at, action: SimulationAction::StopReplicas(group_members(group)) };
        let start = ScheduledAction {
            at: at + milliseconds(settings.down_ms),
            action: SimulationAction::StartReplicas(group_members(group)),
        };
        [stop, start]
    };
    (0..group_count).flat_map(restart).collect()
}

fn zone_outage(scenario: &DiscoveryScenario, replicas: usize) -> Vec<ScheduledAction> {
    let settings = &scenario.zone_outage;
    let zones = scenario.zones.get() as usize;
    let in_zone: Vec<usize> = (0..replicas).filter(|replica| replica % zones == FAILING_ZONE).collect();
    let from = seconds(settings.from_s);
    let until = from + seconds(*settings.lasts_s.get_ref());
    vec![
        ScheduledAction { at: from, action: SimulationAction::StopReplicas(in_zone.clone()) },
        ScheduledAction { at: from, action: SimulationAction::RemoveZone(FAILING_ZONE) },
        ScheduledAction { at: until, action: SimulationAction::RestoreZone(FAILING_ZONE) },
        ScheduledAction { at: until, action: SimulationAction::StartReplicas(in_zone) },
    ]
}

fn silence(scenario: &DiscoveryScenario) -> Vec<ScheduledAction> {
    let settings = &scenario.silence;
    let from = seconds(settings.unreachable_from_s);
    let until = from + seconds(*settings.unreachable_s.get_ref());
    let watches_silent_at = seconds(*settings.watches_silent_at_s.get_ref());
    vec![
        ScheduledAction { at: watches_silent_at, action: SimulationAction::StallOpenWatches },
        ScheduledAction {
            at: watches_silent_at + MISSED_CHANGE_DELAY,
            action: SimulationAction::ChangeEndpoint,
        },
        ScheduledAction { at: from, action: SimulationAction::MakeUnreachable { until } },
        ScheduledAction { at: until, action: SimulationAction::MakeReachable },
    ]
}
