//! Runs the points, prints the tables and writes the records.

use crate::error::ScaleError;
use crate::instance::arguments::InstanceArguments;
use crate::instance::plan::{Plan, Series};
use crate::instance::results::{
    point_table, slope_table, slopes, InstanceRecord, PointResult, RecordBody, Slopes, EXPERIMENT,
};
use crate::instance::run::{measure, RunOutcome};
use crate::interrupt::Interrupt;
use crate::progress::progress_bar;
use crate::provenance::{Provenance, COMMIT};
use crate::report::{Record, RecordFile};
use crate::statistics::MIN_RUNS_FOR_SLOPES;
use indicatif::ProgressBar;
use std::io::{self, Write};

/// Runs the experiment, from its arguments to its results.
pub(super) fn run(arguments: &InstanceArguments) -> Result<(), ScaleError> {
    let plan = Plan::load(arguments)?;
    let records = arguments.common.json.as_deref().map(RecordFile::create).transpose()?;
    let interrupt = Interrupt::install()?;
    let mut output = io::stdout().lock();
    writeln!(output, "{}", heading(&plan))?;
    output.flush()?;
    let mut results: Vec<_> = plan.points.iter().copied().map(PointResult::new).collect();
    let finished = run_points(&plan, &mut results, &interrupt);
    let series = SeriesResults::collect(&results);
    print_tables(&mut output, &series)?;
    if let Some(records) = records {
        write_records(records, &plan, &series)?;
    }
    finished
}

fn heading(plan: &Plan) -> String {
    format!(
        "scenario {}, seed {}, commit {COMMIT}, forwarder {}\n\
         {} runs a point, each with processes of its own; figures are median [least, greatest] of the runs",
        plan.scenario_name,
        plan.seed,
        plan.binary.display(),
        plan.runs
    )
}

/// Runs one series after the other, until a run fails or the user interrupts.
fn run_points(plan: &Plan, results: &mut [PointResult], interrupt: &Interrupt) -> Result<(), ScaleError> {
    let progress = progress_bar(results.len() as u64 * plan.runs);
    let mut series_groups = results.chunk_by_mut(|previous, next| previous.point.series == next.point.series);
    let finished = series_groups.try_for_each(|series| run_series(plan, series, interrupt, &progress));
    progress.finish_and_clear();
    finished
}

/// Makes all runs of a series. The points alternate, so that a change in the load of the machine affects all of them
/// and shows in the variation between runs.
fn run_series(
    plan: &Plan, series: &mut [PointResult], interrupt: &Interrupt, progress: &ProgressBar,
) -> Result<(), ScaleError> {
    for run in 0..plan.runs {
        for result in series.iter_mut().filter(|result| result.unsupported_reason.is_none()) {
            let point = result.point;
            progress.set_message(format!("{} {}", point.size(), point.series));
            match measure(plan, &point, interrupt)? {
                RunOutcome::Measured(measurement) => {
                    tracing::info!(?point, run, ?measurement, "run measured");
                    result.runs.push(measurement);
                }
                RunOutcome::Unsupported(reason) => {
                    tracing::info!(?point, run, reason, "point not supported by the forwarder");
                    result.unsupported_reason = Some(reason);
                }
                RunOutcome::Interrupted => {
                    let (done, planned) = (progress.position(), progress.length().unwrap_or_default());
                    return Err(ScaleError::Interrupted { done, planned });
                }
            }
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
    /// Groups the results by series.
    fn collect(results: &'a [PointResult]) -> Vec<SeriesResults<'a>> {
        let series_groups = results.chunk_by(|previous, next| previous.point.series == next.point.series);
        let collected = series_groups.map(|results| {
            let series = results[0].point.series;
            let results: Vec<_> = results.iter().collect();
            let slopes = slopes(&results);
            SeriesResults { series, results, slopes }
        });
        collected.collect()
    }
}

fn print_tables(output: &mut impl Write, series: &[SeriesResults]) -> Result<(), ScaleError> {
    for SeriesResults { series, results, .. } in series {
        if let Some(table) = point_table(results) {
            writeln!(output, "\nby {series}\n{table}")?;
        }
        for line in results.iter().filter_map(|result| result.unsupported_line()) {
            writeln!(output, "{line}")?;
        }
    }
    let slopes: Vec<_> = series.iter().filter_map(|series| Some((series.series, series.slopes?))).collect();
    if slopes.is_empty() {
        writeln!(
            output,
            "\nno slopes: they need {MIN_RUNS_FOR_SLOPES} runs of at least two points of a series"
        )?;
    } else {
        writeln!(output, "\nslopes by least squares\n{}", slope_table(&slopes))?;
    }
    output.flush()?;
    Ok(())
}

fn write_records(mut records: RecordFile, plan: &Plan, series: &[SeriesResults]) -> Result<(), ScaleError> {
    let provenance = Provenance::of_this_process(plan.seed);
    let forwarder = &plan.binary;
    let record = |body| Record::new(EXPERIMENT, &provenance, InstanceRecord { forwarder, body });
    for SeriesResults { series, results, slopes } in series {
        for body in results.iter().filter_map(|result| result.record()) {
            records.write(&record(body))?;
        }
        if let Some(slopes) = *slopes {
            let points = results.iter().filter(|result| result.unsupported_reason.is_none()).count();
            let body = RecordBody::Slope { series: *series, points, slopes };
            records.write(&record(body))?;
        }
    }
    records.commit()
}
