//! What the experiment measures: the points of its series.

use crate::error::ScaleError;
use crate::instance::arguments::InstanceArguments;
use crate::instance::settings::{ForwarderSettings, InstanceScenario, Workload};
use crate::scenario::ScenarioFile;
use clap::ValueEnum;
use serde::Serialize;
use std::fmt;
use std::path::{Path, PathBuf};

/// The built-in scenario, and the file name in its errors.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/instance.toml");
const BUILT_IN_NAME: &str = "scale/scenarios/instance.toml";
/// Where the forwarder's binary is by default, from the target directory.
const DEFAULT_BINARY: &str = "release/foldtrack";

/// What grows from point to point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub(super) enum Series {
    /// Destinations listed.
    Listed,
    /// Messages held in the log.
    Held,
    /// Processes side by side.
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

/// The deployment that a point stands for.
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
    /// The size that grows along the series.
    pub fn size(&self) -> u64 {
        match self.series {
            Series::Listed => self.listed,
            Series::Held => self.held,
            Series::Processes => self.processes,
        }
    }
}

/// The whole experiment.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub binary: PathBuf,
    pub points: Vec<Point>,
    pub runs: u64,
    pub seed: u64,
    pub forwarder: ForwarderSettings,
    pub workload: Workload,
    /// Destinations that the held messages are for.
    pub paused: u64,
}

impl Plan {
    /// The plan that the scenario and the arguments give.
    pub fn load(arguments: &InstanceArguments) -> Result<Plan, ScaleError> {
        let file =
            ScenarioFile::load(arguments.common.scenario.as_deref(), BUILT_IN_NAME, BUILT_IN_SCENARIO)?;
        let scenario: InstanceScenario = file.parse()?;
        check_held_series(&file, &scenario)?;
        let selected =
            |point: &Point| arguments.series.is_empty() || arguments.series.contains(&point.series);
        let points = all_points(&scenario, arguments);
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            binary: binary(arguments.binary.as_deref())?,
            points: points.into_iter().filter(selected).collect(),
            runs: arguments.runs.unwrap_or(scenario.runs).get(),
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            forwarder: scenario.forwarder,
            workload: scenario.workload,
            paused: scenario.held.destinations.get(),
        })
    }
}

/// Destinations with held messages are none of the active ones.
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
    let by_listed = chosen(&arguments.listed, &listed.points).iter().map(|count| Point {
        series: Series::Listed,
        listed: count.get(),
        held: 0,
        processes: 1,
        requests: listed.requests.get(),
    });
    let by_held = chosen(&arguments.held, &held.points).iter().map(|count| Point {
        series: Series::Held,
        listed: held.listed.get_ref().get(),
        held: count.get(),
        processes: 1,
        requests: held.requests.get(),
    });
    let by_processes = chosen(&arguments.processes, &processes.points).iter().map(|count| Point {
        series: Series::Processes,
        listed: processes.listed.get(),
        held: 0,
        processes: count.get(),
        requests: processes.requests.get(),
    });
    by_listed.chain(by_held).chain(by_processes).collect()
}

/// The points of the argument, or else those of the scenario.
fn chosen<'a, T>(argument: &'a [T], in_scenario: &'a [T]) -> &'a [T] {
    if argument.is_empty() {
        in_scenario
    } else {
        argument
    }
}

/// The forwarder's binary, which has to exist.
fn binary(argument: Option<&Path>) -> Result<PathBuf, ScaleError> {
    let path = match argument {
        Some(path) => path.to_owned(),
        None => default_binary()?,
    };
    let missing = |error: std::io::Error| ScaleError::Argument {
        argument: "--binary",
        reason: format!("{}: {error}; `cargo build --release` at the root builds it", path.display()),
    };
    // Absolute: the forwarder is started in another folder.
    path.canonicalize().map_err(missing)
}

/// Beside the directory of this tool's own binary, which is that of a profile in the target directory.
fn default_binary() -> Result<PathBuf, ScaleError> {
    let own_binary = std::env::current_exe()?;
    let target_directory = own_binary.ancestors().nth(2).unwrap_or(Path::new("."));
    Ok(target_directory.join(DEFAULT_BINARY))
}
