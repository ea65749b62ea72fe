//! What the experiment runs: its points, and the timed events of a run.

use crate::discovery::arguments::DiscoveryArguments;
use crate::discovery::settings::{
    milliseconds, seconds, ChangeSettings, DiscoveryScenario, InstanceCount, PhaseSettings,
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
const BUILT_IN_NAME: &str = "scale/scenarios/discovery.toml";
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Delay from the stall of the open watches to a list change that they miss.
const MISSED_CHANGE_AFTER: Duration = Duration::from_millis(100);
/// The zone that fails.
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
    pub instances: usize,
}

/// Everything that the experiment runs.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub scenario: DiscoveryScenario,
    pub points: Vec<Point>,
    pub seed: u64,
}

impl Plan {
    /// Combines the scenario and the arguments.
    pub fn load(arguments: &DiscoveryArguments) -> Result<Plan, ScaleError> {
        let file = match &arguments.common.scenario {
            Some(path) => ScenarioFile::read(path)?,
            None => ScenarioFile::built_in(BUILT_IN_NAME, BUILT_IN_SCENARIO),
        };
        let scenario: DiscoveryScenario = file.parse()?;
        check_spans(&file, &scenario)?;
        let all = Case::value_variants();
        let cases = if arguments.cases.is_empty() { all } else { &arguments.cases };
        let counts: &[InstanceCount] =
            if arguments.instances.is_empty() { &scenario.instances } else { &arguments.instances };
        let points_of = |case: &Case| {
            let case = *case;
            counts.iter().map(move |count| Point { case, instances: count.get() as usize })
        };
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            points: cases.iter().flat_map(points_of).collect(),
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            scenario,
        })
    }
}

/// Checks that all events end within the measured period.
fn check_spans(file: &ScenarioFile, scenario: &DiscoveryScenario) -> Result<(), ScenarioError> {
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

/// An event of a simulated run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// The listed rate of one endpoint changes.
    ChangeEndpoint,
    /// These replicas stop without notifying discovery.
    Stop(Vec<usize>),
    /// These replicas start again with the list that they had.
    Start(Vec<usize>),
    /// The endpoints of a zone leave the list.
    RemoveZone(usize),
    /// The endpoints of a zone are listed again.
    RestoreZone(usize),
    /// The watches that are open now never get a response.
    SilenceWatches,
    /// Discovery is unreachable until this time after the start of the measurement.
    Unreachable { until: Duration },
    /// Discovery is reachable again.
    Reachable,
}

/// An action, and its time after the warm-up.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub at: Duration,
    pub action: Action,
}

/// All actions of a run, in order of time.
pub(super) fn schedule(scenario: &DiscoveryScenario, point: Point, random: &mut ChaCha8Rng) -> Vec<Step> {
    let mut steps = steady_changes(scenario.changes, scenario.phases, random);
    steps.extend(match point.case {
        Case::SteadyChanges => Vec::new(),
        Case::RollingRestart => rolling_restart(scenario, point.instances),
        Case::ZoneOutage => zone_outage(scenario, point.instances),
        Case::Silence => silence(scenario),
    });
    steps.sort_by_key(|step| step.at);
    steps
}

/// Changes at independent random times, with the mean frequency of the scenario.
fn steady_changes(changes: ChangeSettings, phases: PhaseSettings, random: &mut ChaCha8Rng) -> Vec<Step> {
    let per_second = changes.per_day.get() as f64 * changes.factor.get() as f64 / SECONDS_PER_DAY;
    let end = seconds(phases.measured_s);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // The intervals of a Poisson process are exponentially distributed.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / per_second);
        if at >= end {
            return steps;
        }
        steps.push(Step { at, action: Action::ChangeEndpoint });
    }
}

fn rolling_restart(scenario: &DiscoveryScenario, instances: usize) -> Vec<Step> {
    let settings = &scenario.rolling_restart;
    let parts = settings.steps.get() as usize;
    let part_of = |part: usize| (0..instances).filter(move |instance| instance % parts == part).collect();
    let restart = |part: usize| {
        let at = seconds(*settings.step_s.get_ref()) * part as u32;
        let stop = Step { at, action: Action::Stop(part_of(part)) };
        let start = Step { at: at + milliseconds(settings.down_ms), action: Action::Start(part_of(part)) };
        [stop, start]
    };
    (0..parts).flat_map(restart).collect()
}

fn zone_outage(scenario: &DiscoveryScenario, instances: usize) -> Vec<Step> {
    let settings = &scenario.zone_outage;
    let zones = scenario.zones.get() as usize;
    let in_zone: Vec<usize> = (0..instances).filter(|instance| instance % zones == FAILING_ZONE).collect();
    let from = seconds(settings.from_s);
    let until = from + seconds(*settings.lasts_s.get_ref());
    vec![
        Step { at: from, action: Action::Stop(in_zone.clone()) },
        Step { at: from, action: Action::RemoveZone(FAILING_ZONE) },
        Step { at: until, action: Action::RestoreZone(FAILING_ZONE) },
        Step { at: until, action: Action::Start(in_zone) },
    ]
}

fn silence(scenario: &DiscoveryScenario) -> Vec<Step> {
    let settings = &scenario.silence;
    let from = seconds(settings.unreachable_from_s);
    let until = from + seconds(*settings.unreachable_s.get_ref());
    let watches_silent_at = seconds(*settings.watches_silent_at_s.get_ref());
    vec![
        Step { at: watches_silent_at, action: Action::SilenceWatches },
        Step { at: watches_silent_at + MISSED_CHANGE_AFTER, action: Action::ChangeEndpoint },
        Step { at: from, action: Action::Unreachable { until } },
        Step { at: until, action: Action::Reachable },
    ]
}
