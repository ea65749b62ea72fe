//! Results of the points: summaries, tables and records.

use crate::error::ScaleError;
use crate::policy::plan::{Point, Series};
use crate::policy::run::RunMeasurement;
use crate::policy::simulation::Counts;
use crate::report::{summary_cell, table};
use crate::statistics::{slope_over_runs, SampleSummary, MIN_RUNS_FOR_SLOPES};
use serde::Serialize;

/// Name of the experiment in its records.
pub(super) const EXPERIMENT: &str = "policy";
const NANOS_PER_MICRO: f64 = 1e3;
const NANOS_PER_MILLI: f64 = 1e6;
const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// A point and the measurements of its runs.
#[derive(Clone, Debug)]
pub(super) struct PointResult {
    pub point: Point,
    pub runs: Vec<RunMeasurement>,
}

/// A point that does not fit the machine.
#[derive(Clone, Debug)]
pub(super) struct SkippedPoint {
    pub point: Point,
    pub reason: String,
}

/// Content of a record.
#[derive(Debug, Serialize)]
#[serde(tag = "record", rename_all = "lowercase")]
pub(super) enum RecordBody {
    /// A point that was measured.
    Point {
        #[serde(flatten)]
        point: Point,
        runs: usize,
        #[serde(flatten)]
        summary: PointSummary,
    },
    /// A point that was skipped.
    Skipped {
        #[serde(flatten)]
        point: Point,
        reason: String,
    },
    /// The cost of each additional unit of the size that grows along the series.
    Slope {
        series: Series,
        points: usize,
        #[serde(flatten)]
        slopes: Slopes,
    },
}

/// Summary of a point over its runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct PointSummary {
    request_microseconds: SampleSummary,
    request_p99_microseconds: SampleSummary,
    requests_measured: SampleSummary,
    idle_maintenance_milliseconds_per_second: SampleSummary,
    warm_maintenance_milliseconds_per_second: SampleSummary,
    memory_bytes: SampleSummary,
    counts: Counts,
}

/// Least-squares slopes of a series over its runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Slopes {
    runs: usize,
    request_nanoseconds: SampleSummary,
    idle_maintenance_nanoseconds_per_second: SampleSummary,
    warm_maintenance_nanoseconds_per_second: SampleSummary,
    memory_bytes: SampleSummary,
}

impl PointResult {
    /// Creates a result without runs.
    pub fn new(point: Point) -> PointResult {
        PointResult { point, runs: Vec::new() }
    }

    /// Adds a run. Fails if its counts differ from those of the first run.
    pub fn add(&mut self, run: RunMeasurement) -> Result<(), ScaleError> {
        if let Some(first) = self.runs.first().filter(|first| first.counts != run.counts) {
            let (first, other) = (format!("{:?}", first.counts), format!("{:?}", run.counts));
            return Err(ScaleError::NotReproducible { first, other });
        }
        self.runs.push(run);
        Ok(())
    }

    /// Summarizes all runs; `None` if there is no run.
    pub fn summary(&self) -> Option<PointSummary> {
        Some(PointSummary {
            request_microseconds: self.summarize(|run| run.request_nanos / NANOS_PER_MICRO)?,
            request_p99_microseconds: self.summarize(|run| run.request_p99_nanos / NANOS_PER_MICRO)?,
            requests_measured: self.summarize(|run| run.requests_measured as f64)?,
            idle_maintenance_milliseconds_per_second: self
                .summarize(|run| run.idle_maintenance_nanos / NANOS_PER_MILLI)?,
            warm_maintenance_milliseconds_per_second: self
                .summarize(|run| run.warm_maintenance_nanos / NANOS_PER_MILLI)?,
            memory_bytes: self.summarize(|run| run.memory_bytes as f64)?,
            counts: self.runs.first()?.counts,
        })
    }

    /// Returns the record of the point; `None` if there is no run.
    pub fn record(&self) -> Option<RecordBody> {
        Some(RecordBody::Point { point: self.point, runs: self.runs.len(), summary: self.summary()? })
    }

    fn summarize(&self, metric: fn(&RunMeasurement) -> f64) -> Option<SampleSummary> {
        SampleSummary::from_values(self.runs.iter().map(metric))
    }
}

impl SkippedPoint {
    /// Returns the line of output for the point.
    pub fn line(&self) -> String {
        let Point { series, listed, active, backlog } = self.point;
        format!("skipped: by {series}: {listed} listed, {active} active, {backlog} held: {}", self.reason)
    }

    /// Returns the record of the point.
    pub fn record(&self) -> RecordBody {
        RecordBody::Skipped { point: self.point, reason: self.reason.clone() }
    }
}

/// Formats the table of the points of a series.
pub(super) fn point_table(results: &[&PointResult]) -> String {
    let header = [
        "listed",
        "active",
        "held",
        "runs",
        "request us",
        "request p99 us",
        "requests",
        "idle maintenance ms/s",
        "warm maintenance ms/s",
        "memory MiB",
        "calls",
    ];
    table(&header, results.iter().filter_map(|result| point_row(result)))
}

fn point_row(result: &PointResult) -> Option<Vec<String>> {
    let PointResult { point, runs } = result;
    let summary = result.summary()?;
    Some(vec![
        point.listed.to_string(),
        point.active.to_string(),
        point.backlog.to_string(),
        runs.len().to_string(),
        summary_cell(summary.request_microseconds),
        summary_cell(summary.request_p99_microseconds),
        summary_cell(summary.requests_measured),
        summary_cell(summary.idle_maintenance_milliseconds_per_second),
        summary_cell(summary.warm_maintenance_milliseconds_per_second),
        summary_cell(summary.memory_bytes.scaled(1.0 / BYTES_PER_MEBIBYTE)),
        summary.counts.calls.to_string(),
    ])
}

/// Returns the slopes of a series; `None` if there are too few runs or the points do not differ in size.
pub(super) fn slopes(results: &[&PointResult]) -> Option<Slopes> {
    let runs = results.iter().map(|result| result.runs.len()).min()?;
    if runs < MIN_RUNS_FOR_SLOPES {
        return None;
    }
    Some(Slopes {
        runs,
        request_nanoseconds: slope(results, runs, |run| run.request_nanos)?,
        idle_maintenance_nanoseconds_per_second: slope(results, runs, |run| run.idle_maintenance_nanos)?,
        warm_maintenance_nanoseconds_per_second: slope(results, runs, |run| run.warm_maintenance_nanos)?,
        memory_bytes: slope(results, runs, |run| run.memory_bytes as f64)?,
    })
}

/// Fits one slope per run, over the same run of all points, and summarizes the slopes.
fn slope(results: &[&PointResult], runs: usize, metric: fn(&RunMeasurement) -> f64) -> Option<SampleSummary> {
    let points = |run: usize| {
        let run_points = results.iter().map(|result| (result.point.size() as f64, metric(&result.runs[run])));
        run_points.collect()
    };
    slope_over_runs(runs, points)
}

/// Formats the table of slopes.
pub(super) fn slope_table(slopes: &[(Series, Slopes)]) -> String {
    let header =
        ["for each of the", "request ns", "idle maintenance ns/s", "warm maintenance ns/s", "memory bytes"];
    let rows = slopes.iter().map(|(series, slopes)| {
        vec![
            series.to_string(),
            summary_cell(slopes.request_nanoseconds),
            summary_cell(slopes.idle_maintenance_nanoseconds_per_second),
            summary_cell(slopes.warm_maintenance_nanoseconds_per_second),
            summary_cell(slopes.memory_bytes),
        ]
    });
    table(&header, rows)
}
