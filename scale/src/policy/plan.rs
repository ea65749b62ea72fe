//! What the experiment measures: the points of its series, and the plan of each run.

use crate::error::ScaleError;
use crate::policy::arguments::PolicyArguments;
use crate::policy::settings::{
    ActiveCount, HeldCount, ListedCount, PolicyScenario, PolicySettings, Workload,
};
use crate::scenario::ScenarioFile;
use clap::ValueEnum;
use hatchline::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;
use toml::Spanned;

/// The built-in scenario, and the file name that its errors show.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/policy.toml");
const BUILT_IN_SCENARIO_NAME: &str = "scale/scenarios/policy.toml";
/// Maximum backlog in percent of max_held: the policy keeps part of the capacity for held messages free.
const MAX_BACKLOG_PERCENT: u64 = 90;
/// Upper estimates of memory in bytes, by which points that might not fit the machine are skipped.
const ESTIMATED_BYTES_PER_LISTED_DESTINATION: u64 = 4_096;
const ESTIMATED_BYTES_PER_HELD_MESSAGE: u64 = 1_024;
/// A point may use at most one part in this many of the machine's memory.
const MEMORY_DIVISOR: u64 = 2;

/// The quantity that grows along a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub(super) enum Series {
    /// Destinations in the endpoint list.
    Listed,
    /// Destinations that receive traffic.
    Active,
    /// Messages held by the policy.
    Backlog,
}

impl fmt::Display for Series {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            Series::Listed => "listed destinations",
            Series::Active => "active destinations",
            Series::Backlog => "held messages",
        };
        formatter.write_str(text)
    }
}

/// One size of deployment to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Point {
    pub series: Series,
    pub listed: u64,
    pub active: u64,
    pub backlog: u64,
}

impl Point {
    /// Returns the size that grows along the series.
    pub fn size(&self) -> u64 {
        match self.series {
            Series::Listed => self.listed,
            Series::Active => self.active,
            Series::Backlog => self.backlog,
        }
    }

    /// Returns why the point is skipped on a machine with this much memory; `None` if it fits.
    pub fn reason_to_skip(&self, machine_bytes: u64) -> Option<String> {
        let listed_bytes = self.listed * ESTIMATED_BYTES_PER_LISTED_DESTINATION;
        let estimated_bytes = listed_bytes + self.backlog * ESTIMATED_BYTES_PER_HELD_MESSAGE;
        let max_bytes = machine_bytes / MEMORY_DIVISOR;
        (estimated_bytes > max_bytes).then(|| {
            format!(
                "estimated at {estimated_bytes} bytes of memory, over half of the machine's {machine_bytes}"
            )
        })
    }
}

/// Traffic of a run, and how much of it is measured.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Traffic {
    pub request_class: u32,
    pub backlog_class: u32,
    pub backlog_destinations: u64,
    pub request_interval: Micros,
    pub service_time: Micros,
    #[serde(rename = "warm_up_answers")]
    pub warm_up_responses: u64,
    pub min_requests: u64,
    pub max_requests: u64,
    /// CPU time after which no further requests are measured.
    pub request_time_budget: Duration,
}

/// Input of one run, as passed to its process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RunPlan {
    pub point: Point,
    pub seed: u64,
    pub policy: PolicySettings,
    pub traffic: Traffic,
}

/// Plan of the whole experiment.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub points: Vec<Point>,
    pub runs: u64,
    pub seed: u64,
    pub time_budget: Duration,
    policy: PolicySettings,
    traffic: Traffic,
}

impl Plan {
    /// Builds the plan from the scenario and the arguments.
    pub fn load(arguments: &PolicyArguments) -> Result<Plan, ScaleError> {
        let file = ScenarioFile::load(
            arguments.common.scenario.as_deref(),
            BUILT_IN_SCENARIO_NAME,
            BUILT_IN_SCENARIO,
        )?;
        let scenario: PolicyScenario = file.parse()?;
        let runs = arguments.runs.unwrap_or(scenario.runs).get();
        let time_budget = Duration::from_millis(scenario.workload.time_budget_ms.get());
        let mut points = listed_points(&scenario, arguments);
        points.extend(active_points(&file, &scenario, arguments)?);
        points.extend(backlog_points(&file, &scenario, arguments)?);
        let selected =
            |point: &Point| arguments.series.is_empty() || arguments.series.contains(&point.series);
        points.retain(selected);
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            points,
            runs,
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            time_budget,
            traffic: traffic(&file, &scenario, time_budget, runs)?,
            policy: scenario.policy,
        })
    }

    /// Returns the minimum and maximum number of requests measured in a run.
    pub fn request_range(&self) -> (u64, u64) {
        (self.traffic.min_requests, self.traffic.max_requests)
    }

    /// Returns the plan of the runs of a point.
    pub fn run_plan(&self, point: Point) -> RunPlan {
        RunPlan { point, seed: self.seed, policy: self.policy.clone(), traffic: self.traffic }
    }
}

fn traffic(
    file: &ScenarioFile, scenario: &PolicyScenario, time_budget: Duration, runs: u64,
) -> Result<Traffic, ScaleError> {
    let Workload { request_class, backlog_class, .. } = &scenario.workload;
    let workload = &scenario.workload;
    let min_requests = workload.min_requests.get();
    Ok(Traffic {
        request_class: class_index(file, scenario, "workload.request_class", request_class)?,
        backlog_class: class_index(file, scenario, "workload.backlog_class", backlog_class)?,
        backlog_destinations: scenario.backlog.destinations.get(),
        request_interval: workload.request_interval_us.get(),
        service_time: workload.service_time_us.get(),
        warm_up_responses: workload.warm_up_responses.get(),
        min_requests,
        max_requests: workload.max_requests.get().max(min_requests),
        request_time_budget: time_budget.div_f64(runs as f64),
    })
}

fn class_index(
    file: &ScenarioFile, scenario: &PolicyScenario, key: &str, name: &Spanned<String>,
) -> Result<u32, ScaleError> {
    let unknown = || file.error_at(name.span(), key, format!("no class is named {:?}", name.get_ref()));
    Ok(scenario.policy.class_index(name.get_ref()).ok_or_else(unknown)?)
}

fn listed_points(scenario: &PolicyScenario, arguments: &PolicyArguments) -> Vec<Point> {
    let counts: &[ListedCount] =
        if arguments.listed.is_empty() { &scenario.listed.points } else { &arguments.listed };
    let active = scenario.listed.active.get();
    let point =
        |listed: u64| Point { series: Series::Listed, listed, active: active.min(listed), backlog: 0 };
    counts.iter().map(|listed| point(listed.get())).collect()
}

fn active_points(
    file: &ScenarioFile, scenario: &PolicyScenario, arguments: &PolicyArguments,
) -> Result<Vec<Point>, ScaleError> {
    let listed = scenario.active.listed.get();
    let check = |active: ActiveCount| match active.get() {
        active if active > listed => Err(format!("{active} is more than the {listed} destinations listed")),
        active => Ok(Point { series: Series::Active, listed, active, backlog: 0 }),
    };
    checked_points(file, ("active.points", &scenario.active.points), ("--active", &arguments.active), check)
}

fn backlog_points(
    file: &ScenarioFile, scenario: &PolicyScenario, arguments: &PolicyArguments,
) -> Result<Vec<Point>, ScaleError> {
    let series = &scenario.backlog;
    let (listed, active) = (series.listed.get_ref().get(), series.active.get());
    let needed = active + series.destinations.get();
    if listed < needed {
        let reason =
            format!("{listed} is less than the {needed} destinations that are active or have a backlog");
        return Err(file.error_at(series.listed.span(), "backlog.listed", reason).into());
    }
    let max_held = scenario.policy.max_held.get();
    let max_backlog = max_held * MAX_BACKLOG_PERCENT / 100;
    let check = |backlog: HeldCount| match backlog.get() {
        backlog if backlog > max_backlog => {
            Err(format!("{backlog} is more than {max_backlog}, {MAX_BACKLOG_PERCENT} % of policy.max_held"))
        }
        backlog => Ok(Point { series: Series::Backlog, listed, active, backlog }),
    };
    checked_points(file, ("backlog.points", &series.points), ("--backlog", &arguments.backlog), check)
}

/// Returns the points of the argument, or those of the scenario if the argument is absent, each checked.
fn checked_points<T: Copy>(
    file: &ScenarioFile, (key, scenario_counts): (&str, &[Spanned<T>]),
    (argument, argument_counts): (&'static str, &[T]), check: impl Fn(T) -> Result<Point, String>,
) -> Result<Vec<Point>, ScaleError> {
    if argument_counts.is_empty() {
        let points = scenario_counts.iter().map(|count| {
            check(*count.get_ref()).map_err(|reason| file.error_at(count.span(), key, reason).into())
        });
        return points.collect();
    }
    let points = argument_counts.iter().map(|count| check(*count));
    points.map(|point| point.map_err(|reason| ScaleError::Argument { argument, reason })).collect()
}
