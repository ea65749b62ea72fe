//! Simulates the points of the experiment, prints the tables and writes the records.

use crate::error::ScaleError;
use crate::fleet::arguments::FleetArguments;
use crate::fleet::plan::{OutageCase, Plan};
use crate::fleet::results::{outage_table, steady_table, PointResult, EXPERIMENT};
use crate::fleet::run::simulate;
use crate::interrupt::Interrupt;
use crate::progress::progress_bar;
use crate::provenance::{Provenance, COMMIT};
use crate::report::{Record, RecordFile};
use clap::ValueEnum;
use indicatif::ProgressBar;
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Runs the experiment with these arguments and reports its results.
pub(super) fn run(arguments: &FleetArguments) -> Result<(), ScaleError> {
    let plan = Plan::load(arguments)?;
    let records = arguments.common.json.as_deref().map(RecordFile::create).transpose()?;
    let interrupt = Interrupt::install()?;
    let mut output = io::stdout().lock();
    writeln!(output, "{}", heading(&plan))?;
    output.flush()?;
    let results = simulate_points(&plan, &interrupt);
    print_tables(&mut output, &results)?;
    if let Some(records) = records {
        write_records(records, &plan, &results)?;
    }
    let (done, planned) = (results.len() as u64, plan.points.len() as u64);
    if done < planned {
        return Err(ScaleError::Interrupted { done, planned });
    }
    Ok(())
}

fn heading(plan: &Plan) -> String {
    let (traffic, phases) = (&plan.scenario.traffic, &plan.scenario.phases);
    format!(
        "scenario {}, seed {}, commit {COMMIT}\n\
         each replica gets {} events a second for {} destinations a replica: {:.3} a second for each destination\n\
         only the events of {} sampled destinations are simulated, in the whole fleet: no others reach these destinations\n\
         virtual time: {} s of steady traffic, {} s of outage of all sampled destinations, {} s of recovery",
        plan.scenario_name,
        plan.seed,
        traffic.events_per_second_per_replica.get(),
        traffic.destinations_per_replica.get(),
        traffic.events_per_second_per_destination(),
        traffic.sampled_destinations.get(),
        phases.steady_s.get(),
        phases.outage_s.get(),
        phases.recovery_s.get(),
    )
}

/// Simulates the points on several threads until all are done or the user interrupts. Returns the completed ones in
/// plan order.
fn simulate_points(plan: &Plan, interrupt: &Interrupt) -> Vec<PointResult> {
    let progress = progress_bar(plan.points.len() as u64);
    let pending = Mutex::new(indices_by_fleet_size(plan));
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..plan.threads {
            scope.spawn(|| {
                while let Some(index) = pop_largest(&pending) {
                    let Some(result) = simulate_point(plan, index, interrupt, &progress) else { break };
                    done.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
                }
            });
        }
    });
    progress.finish_and_clear();
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Returns the indices of the points by fleet size, the largest last: it takes longest, and points are popped from
/// the end.
fn indices_by_fleet_size(plan: &Plan) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..plan.points.len()).collect();
    indices.sort_by_key(|index| plan.points[*index].replicas);
    indices
}

fn pop_largest(pending: &Mutex<Vec<usize>>) -> Option<usize> {
    pending.lock().unwrap_or_else(PoisonError::into_inner).pop()
}

/// Simulates one point; `None` if the user interrupts it.
fn simulate_point(
    plan: &Plan, index: usize, interrupt: &Interrupt, progress: &ProgressBar,
) -> Option<PointResult> {
    let point = plan.points[index];
    progress.set_message(format!("{} replicas, {}", point.replicas, point.case));
    let metrics = simulate(&plan.scenario, point, plan.seed, interrupt)?;
    tracing::info!(?point, figures = ?metrics, "point simulated");
    progress.inc(1);
    Some(PointResult { point, metrics })
}

fn print_tables(output: &mut impl Write, results: &[PointResult]) -> Result<(), ScaleError> {
    if !results.is_empty() {
        writeln!(output, "\nsteady traffic\n{}", steady_table(results))?;
    }
    for case in OutageCase::value_variants() {
        if results.iter().any(|result| result.point.case == *case) {
            writeln!(output, "\noutage, calls {case}\n{}", outage_table(results, *case))?;
        }
    }
    output.flush()?;
    Ok(())
}

fn write_records(mut records: RecordFile, plan: &Plan, results: &[PointResult]) -> Result<(), ScaleError> {
    let provenance = Provenance::of_this_process(plan.seed);
    for result in results {
        records.write(&Record::new(EXPERIMENT, &provenance, result))?;
    }
    records.commit()
}
