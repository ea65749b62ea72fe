//! What the experiment measures: the points of its series.

use crate::error::ScaleError;
use crate::instance::arguments::InstanceArguments;
use crate::instance::settings::{ForwarderSettings, InstanceScenario, Workload};
use crate::scenario::ScenarioFile;
use clap::ValueEnum;
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// The built-in scenario, and its file name in error messages.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/instance.toml");
const BUILT_IN_SCENARIO_NAME: &str = "scale/scenarios/instance.toml";
/// Default path of the forwarder binary, relative to the target directory.
const DEFAULT_BINARY: &str = "release/foldtrack";

/// The size that varies between the points of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub(super) enum Series {
    /// Listed destinations.
    Listed,
    /// Messages held in the write-ahead log.
    Held,
    /// Concurrent forwarder processes.
    Processes,
}

impl fmt::Display for Series {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            Series::Listed => "listed destinations",
            Series::Held => "held messages",
            Series::Processes => "processes",
        };
        formatter.write_str(text)
    }
}

/// One size of deployment to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Point {
    pub series: Series,
    pub listed: u64,
    pub held: u64,
    pub processes: u64,
    /// Requests to each process.
    pub requests: u64,
}

impl Point {
    /// The size that varies in this point's series.
    pub fn size(&self) -> u64 {
        match self.series {
            Series::Listed => self.listed,
            Series::Held => self.held,
            Series::Processes => self.processes,
        }
    }
}

/// Plan of the whole experiment.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub binary: PathBuf,
    pub points: Vec<Point>,
    pub runs: u64,
    pub seed: u64,
    pub forwarder: ForwarderSettings,
    pub workload: Workload,
    /// Number of destinations of the held messages.
    pub rejecting_destinations: u64,
}

impl Plan {
    /// Builds the plan from the scenario and the arguments.
    pub fn load(arguments: &InstanceArguments) -> Result<Plan, ScaleError> {
        let file = ScenarioFile::load(
            arguments.common.scenario.as_deref(),
            BUILT_IN_SCENARIO_NAME,
            BUILT_IN_SCENARIO,
        )?;
        let scenario: InstanceScenario = file.parse()?;
        check_held_series(&file, &scenario)?;
        let selected =
            |point: &Point| arguments.series.is_empty() || arguments.series.contains(&point.series);
        let points = all_points(&scenario, arguments);
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            binary: resolve_binary(arguments.binary.as_deref())?,
            points: points.into_iter().filter(selected).collect(),
            runs: arguments.runs.unwrap_or(scenario.runs).get(),
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            forwarder: scenario.forwarder,
            workload: scenario.workload,
            rejecting_destinations: scenario.held.destinations.get(),
        })
    }
}

/// Checks that held messages and requests can have separate destinations.
fn check_held_series(file: &ScenarioFile, scenario: &InstanceScenario) -> Result<(), ScaleError> {
    let series = &scenario.held;
    let listed = series.listed.get_ref().get();
    let needed = scenario.workload.active.get() + series.destinations.get();
    if listed < needed {
        let reason = format!("{listed} is less than the {needed} that are active or have held messages");
        return Err(file.error_at(series.listed.span(), "held.listed", reason).into());
    }
    Ok(())
}

fn all_points(scenario: &InstanceScenario, arguments: &InstanceArguments) -> Vec<Point> {
    let InstanceScenario { listed, held, processes, .. } = scenario;
    let by_listed = argument_or_scenario(&arguments.listed, &listed.points).iter().map(|count| Point {
        series: Series::Listed,
        listed: count.get(),
        held: 0,
        processes: 1,
        requests: listed.requests.get(),
    });
    let by_held = argument_or_scenario(&arguments.held, &held.points).iter().map(|count| Point {
        series: Series::Held,
        listed: held.listed.get_ref().get(),
        held: count.get(),
        processes: 1,
        requests: held.requests.get(),
    });
    let by_processes =
        argument_or_scenario(&arguments.processes, &processes.points).iter().map(|count| Point {
            series: Series::Processes,
            listed: processes.listed.get(),
            held: 0,
            processes: count.get(),
            requests: processes.requests.get(),
        });
    by_listed.chain(by_held).chain(by_processes).collect()
}

/// The argument's points if there are any, or else those of the scenario.
fn argument_or_scenario<'a, T>(argument: &'a [T], scenario: &'a [T]) -> &'a [T] {
    if argument.is_empty() {
        scenario
    } else {
        argument
    }
}

/// Path of the forwarder binary, which must exist.
fn resolve_binary(argument: Option<&Path>) -> Result<PathBuf, ScaleError> {
    let path = match argument {
        Some(path) => path.to_owned(),
        None => default_binary()?,
    };
    let invalid_path = |error: std::io::Error| ScaleError::Argument {
        argument: "--binary",
        reason: format!("{}: {error}; `cargo build --release` at the root builds it", path.display()),
    };
    // Absolute, because the forwarder is started in another directory.
    path.canonicalize().map_err(invalid_path)
}

/// Default path: in the target directory, which has a directory for each profile. This tool's binary is in one of
/// them.
fn default_binary() -> Result<PathBuf, ScaleError> {
    let own_binary = std::env::current_exe()?;
    let target_directory = own_binary.ancestors().nth(2).unwrap_or(Path::new("."));
    Ok(target_directory.join(DEFAULT_BINARY))
}
