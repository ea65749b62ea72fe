//! What the experiment simulates: one point for each fleet size and kind of outage.

use crate::error::ScaleError;
use crate::fleet::arguments::FleetArguments;
use crate::fleet::settings::{FleetScenario, FleetSize};
use crate::scenario::ScenarioFile;
use clap::ValueEnum;
use serde::Serialize;
use std::fmt;

/// The built-in scenario, and the file name that its errors show.
const BUILT_IN_SCENARIO: &str = include_str!("../../scenarios/fleet.toml");
const BUILT_IN_SCENARIO_NAME: &str = "scale/scenarios/fleet.toml";

/// Kind of outage: how the sampled destinations fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
pub(super) enum OutageCase {
    /// They refuse connections.
    Refused,
    /// They respond to no call: each call times out.
    Silent,
}

impl fmt::Display for OutageCase {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let text = match self {
            OutageCase::Refused => "refused",
            OutageCase::Silent => "silent",
        };
        formatter.write_str(text)
    }
}

/// A simulation to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Point {
    pub replicas: u64,
    pub case: OutageCase,
}

/// Plan of the whole experiment.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub scenario_name: String,
    pub scenario: FleetScenario,
    pub points: Vec<Point>,
    pub threads: u64,
    pub seed: u64,
}

impl Plan {
    /// Builds the plan from the scenario and the arguments.
    pub fn load(arguments: &FleetArguments) -> Result<Plan, ScaleError> {
        let file = ScenarioFile::load(
            arguments.common.scenario.as_deref(),
            BUILT_IN_SCENARIO_NAME,
            BUILT_IN_SCENARIO,
        )?;
        let scenario: FleetScenario = file.parse()?;
        let cases = if arguments.cases.is_empty() { OutageCase::value_variants() } else { &arguments.cases };
        let sizes = if arguments.sizes.is_empty() { &scenario.sizes } else { &arguments.sizes };
        Ok(Plan {
            scenario_name: file.path().display().to_string(),
            points: points(cases, sizes),
            threads: arguments.threads.get(),
            seed: arguments.common.seed.unwrap_or(scenario.seed),
            scenario,
        })
    }
}

/// Returns all pairs of a case and a size, grouped by case.
fn points(cases: &[OutageCase], sizes: &[FleetSize]) -> Vec<Point> {
    let of_case = |case: &OutageCase| {
        sizes.iter().map(|size| Point { replicas: size.get(), case: *case }).collect::<Vec<_>>()
    };
    cases.iter().flat_map(of_case).collect()
}
