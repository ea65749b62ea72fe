//! Runs the points of the experiment, prints the tables and writes the records.

use crate::error::ScaleError;
use crate::interrupt::Interrupt;
use crate::memory::machine_bytes;
use crate::policy::arguments::PolicyArguments;
use crate::policy::plan::{Plan, Point, Series};
use crate::policy::results::{
    point_table, slope_table, slopes, PointResult, RecordBody, SkippedPoint, Slopes, EXPERIMENT,
};
use crate::policy::run_process;
use crate::progress::progress_bar;
use crate::provenance::{Provenance, COMMIT};
use crate::report::{Record, RecordFile};
use crate::statistics::MIN_RUNS_FOR_SLOPES;
use clap::ValueEnum;
use indicatif::ProgressBar;
use std::io::{self, Write};

/// Runs the experiment with these arguments and reports its results.
pub(super) fn run(arguments: &PolicyArguments) -> Result<(), ScaleError> {
    let plan = Plan::load(arguments)?;
    let records = arguments.common.json.as_deref().map(RecordFile::create).transpose()?;
    let interrupt = Interrupt::install()?;
    let mut output = io::stdout().lock();
    writeln!(output, "{}", heading(&plan))?;
    let (selected, skipped) = select_points(&plan)?;
    for point in &skipped {
        writeln!(output, "{}", point.line())?;
    }
    output.flush()?;
    let outcome = run_points(&plan, &selected, &interrupt);
    let series = SeriesResults::collect(&outcome.results);
    print_tables(&mut output, &series)?;
    if let Some(records) = records {
        write_records(records, &plan, &skipped, &series)?;
    }
    outcome.stop_error.map_or(Ok(()), Err)
}

fn heading(plan: &Plan) -> String {
    let (min_requests, max_requests) = plan.request_range();
    format!(
        "scenario {}, seed {}, commit {COMMIT}\n\
         {} runs a point, each in a process of its own; figures are median [least, greatest] of the runs\n\
         requests measured in a run: {min_requests} to {max_requests}, as many as fit a time budget of {:?} of processor time a point",
        plan.scenario_name, plan.seed, plan.runs, plan.time_budget
    )
}

/// Splits the points into those that fit the machine's memory and those that are skipped.
fn select_points(plan: &Plan) -> Result<(Vec<Point>, Vec<SkippedPoint>), ScaleError> {
    let machine_bytes = machine_bytes()?;
    let mut selected = Vec::new();
    let mut skipped = Vec::new();
    for point in plan.points.iter().copied() {
        match point.reason_to_skip(machine_bytes) {
            Some(reason) => skipped.push(SkippedPoint { point, reason }),
            None => selected.push(point),
        }
    }
    Ok((selected, skipped))
}

/// What was measured, and the error that ended the experiment early, if any.
#[derive(Debug)]
struct ExperimentOutcome {
    results: Vec<PointResult>,
    stop_error: Option<ScaleError>,
}

/// Runs the series in turn until a run fails or the user interrupts.
fn run_points(plan: &Plan, points: &[Point], interrupt: &Interrupt) -> ExperimentOutcome {
    let progress = progress_bar(points.len() as u64 * plan.runs);
    let mut results: Vec<_> = points.iter().copied().map(PointResult::new).collect();
    let by_series = results.chunk_by_mut(|one, next| one.point.series == next.point.series);
    let finished: Result<(), ScaleError> =
        by_series.into_iter().try_for_each(|series| run_series(plan, series, interrupt, &progress));
    progress.finish_and_clear();
    results.retain(|result| !result.runs.is_empty());
    ExperimentOutcome { results, stop_error: finished.err() }
}

/// Makes all runs of a series. The points alternate, so that a change in the load of the machine affects all of them
/// and shows in the difference between minimum and maximum.
fn run_series(
    plan: &Plan, series: &mut [PointResult], interrupt: &Interrupt, progress: &ProgressBar,
) -> Result<(), ScaleError> {
    for run in 0..plan.runs {
        for result in series.iter_mut() {
            let point = result.point;
            progress.set_message(format!("{} {}", point.size(), point.series));
            let Some(measurement) = run_process::spawn_run(&plan.run_plan(point), interrupt)? else {
                let (done, planned) = (progress.position(), progress.length().unwrap_or_default());
                return Err(ScaleError::Interrupted { done, planned });
            };
            tracing::info!(?point, run, ?measurement, "run measured");
            result.add(measurement)?;
            progress.inc(1);
        }
    }
    Ok(())
}

/// The results of one series.
#[derive(Debug)]
struct SeriesResults<'a> {
    series: Series,
    results: Vec<&'a PointResult>,
    slopes: Option<Slopes>,
}

impl<'a> SeriesResults<'a> {
    /// Groups the results by series, without series that have none.
    fn collect(results: &'a [PointResult]) -> Vec<SeriesResults<'a>> {
        let series_results = |series: &Series| {
            let results: Vec<_> = results.iter().filter(|result| result.point.series == *series).collect();
            let slopes = slopes(&results);
            SeriesResults { series: *series, results, slopes }
        };
        let all = Series::value_variants().iter().map(series_results);
        all.filter(|series| !series.results.is_empty()).collect()
    }
}

fn print_tables(output: &mut impl Write, series: &[SeriesResults]) -> Result<(), ScaleError> {
    for SeriesResults { series, results, .. } in series {
        writeln!(output, "\nby {series}\n{}", point_table(results))?;
    }
    let slopes: Vec<_> = series.iter().filter_map(|series| Some((series.series, series.slopes?))).collect();
    if !slopes.is_empty() {
        writeln!(output, "\nslopes by least squares\n{}", slope_table(&slopes))?;
    } else {
        writeln!(
            output,
            "\nno slopes: they need {MIN_RUNS_FOR_SLOPES} runs of at least two points of a series"
        )?;
    }
    output.flush()?;
    Ok(())
}

fn write_records(
    mut records: RecordFile, plan: &Plan, skipped: &[SkippedPoint], series: &[SeriesResults],
) -> Result<(), ScaleError> {
    let provenance = Provenance::of_this_process(plan.seed);
    for point in skipped {
        records.write(&Record::new(EXPERIMENT, &provenance, point.record()))?;
    }
    for SeriesResults { series, results, slopes } in series {
        for result in results {
            if let Some(body) = result.record() {
                records.write(&Record::new(EXPERIMENT, &provenance, body))?;
            }
        }
        if let Some(slopes) = *slopes {
            let body = RecordBody::Slope { series: *series, points: results.len(), slopes };
            records.write(&Record::new(EXPERIMENT, &provenance, body))?;
        }
    }
    records.commit()
}
