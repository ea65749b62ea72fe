//! What the experiment plays: their points, and what happens when in a run.

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

/// The built-in scenario, and the name under which its errors are reported.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/discovery.toml");
const BUILT_IN_NAME: &str = "scale/scenarios/discovery.toml";
const SECONDS_PER_DAY: f64 = 86_400.0;
/// How long after the watches fell silent a change comes that they miss.
const MISSED_CHANGE_AFTER: Duration = Duration::from_millis(100);
/// The zone that fails.
pub(super) const FAILING_ZONE: usize = 0;

/// What happens in a run beside steady changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
#[value(rename_all = "snake_case")]
pub(super) enum Case {
    /// Nothing else.
    SteadyChanges,
    /// The instances restart, one part of the fleet after the other.
    RollingRestart,
    /// A zone's instances vanish and its endpoints leave the list; then both return.
    ZoneOutage,
    /// Open watches fall silent once; later discovery is unreachable for a while.
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

/// One run to be made.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Point {
    pub case: Case,
    pub instances: usize,
}

/// The whole set.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub scenario: DiscoveryScenario,
    pub points: Vec<Point>,
    pub seed: u64,
}

impl Plan {
    /// The plan that the scenario and the arguments give.
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

/// Troubles have to end within the measured span.
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

/// Something that happens in a run.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Action {
    /// The configuration of one endpoint changes.
    ChangeEndpoint,
    /// Instances end, without a word.
    Stop(Vec<usize>),
    /// They start again, from the list that they had.
    Start(Vec<usize>),
    /// The endpoints of a zone leave the list.
    RemoveZone(usize),
    /// They are listed again.
    RestoreZone(usize),
    /// The watches that are open now are never answered.
    SilenceWatches,
    /// Discovery answers nobody until then.
    Unreachable { until: Duration },
    /// Discovery answers again.
    Reachable,
}

/// An action, and when it happens after the warm-up.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub at: Duration,
    pub action: Action,
}

/// All that happens in a run, in order of time.
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

/// Changes at random times, independent of one another, as often as the scenario says on average.
fn steady_changes(changes: ChangeSettings, phases: PhaseSettings, random: &mut ChaCha8Rng) -> Vec<Step> {
    let per_second = changes.per_day.get() as f64 * changes.factor.get() as f64 / SECONDS_PER_DAY;
    let end = seconds(phases.measured_s);
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // The spans between independent events follow an exponential distribution.
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
