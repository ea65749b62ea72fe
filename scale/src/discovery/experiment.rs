//! Runs the points, prints the tables and writes the records.

use crate::discovery::arguments::DiscoveryArguments;
use crate::discovery::plan::{Case, Plan};
use crate::discovery::results::{point_table, PointResult, Record};
use crate::discovery::run::run_point;
use crate::error::ScaleError;
use crate::interrupt::Interrupt;
use crate::progress::progress_bar;
use crate::provenance::{Provenance, COMMIT};
use crate::report::RecordFile;
use clap::ValueEnum;
use std::io::{self, Write};

/// Runs the experiment, from its arguments to its results.
pub(super) fn run(arguments: &DiscoveryArguments) -> Result<(), ScaleError> {
    let plan = Plan::load(arguments)?;
    let records = arguments.common.json.as_deref().map(RecordFile::create).transpose()?;
    let interrupt = Interrupt::install()?;
    let mut output = io::stdout().lock();
    writeln!(output, "{}", heading(&plan))?;
    output.flush()?;
    let mut results = Vec::new();
    let outcome = run_points(&plan, &interrupt, &mut results);
    print_tables(&mut output, &results)?;
    if let Some(records) = records {
        write_records(records, &plan, &results)?;
    }
    outcome
}

fn heading(plan: &Plan) -> String {
    let scenario = &plan.scenario;
    format!(
        "scenario {}, seed {}, commit {COMMIT}\n\
         {} endpoints listed, {} changes a day, {} times as often; loads are over {} s of virtual time\n\
         in force: from the change, or from when discovery can be reached or the instance starts, if later",
        plan.scenario_name,
        plan.seed,
        scenario.listed.get(),
        scenario.changes.per_day.get(),
        scenario.changes.factor.get(),
        scenario.phases.measured_s.get()
    )
}

/// Runs the points in turn, until one fails or the user interrupts.
fn run_points(plan: &Plan, interrupt: &Interrupt, results: &mut Vec<PointResult>) -> Result<(), ScaleError> {
    let planned = plan.points.len() as u64;
    let progress = progress_bar(planned);
    for (done, point) in (0..).zip(plan.points.iter().copied()) {
        progress.set_message(format!("{} instances, {}", point.replicas, point.case));
        let Some(measurement) = run_point(&plan.scenario, point, plan.seed, interrupt)? else {
            progress.finish_and_clear();
            return Err(ScaleError::Interrupted { done, planned });
        };
        tracing::info!(?point, propagation = ?measurement.propagation, "point measured");
        results.push(PointResult::new(point, &measurement));
        progress.inc(1);
    }
    progress.finish_and_clear();
    Ok(())
}

fn print_tables(output: &mut impl Write, results: &[PointResult]) -> Result<(), ScaleError> {
    for case in Case::value_variants() {
        let case_results: Vec<_> = results.iter().filter(|result| result.case() == *case).collect();
        if !case_results.is_empty() {
            writeln!(output, "\n{case}\n{}", point_table(&case_results))?;
        }
    }
    output.flush()?;
    Ok(())
}

fn write_records(mut records: RecordFile, plan: &Plan, results: &[PointResult]) -> Result<(), ScaleError> {
    let provenance = Provenance::of_this_process(plan.seed);
    for result in results {
        records.write(&Record::new(&provenance, result))?;
    }
    records.commit()
}
