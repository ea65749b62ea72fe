//! Results of the points: their summaries, tables and records.

use crate::instance::plan::{Point, Series};
use crate::instance::run::RunMeasurement;
use crate::report::{summary_cell, table};
use crate::statistics::{slope_over_runs, SampleSummary, MIN_RUNS_FOR_SLOPES};
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// Name of the experiment in its records.
pub(super) const EXPERIMENT: &str = "instance";
const MILLIS_PER_SECOND: f64 = 1e3;
const MICROS_PER_SECOND: f64 = 1e6;
const NANOS_PER_MICRO: f64 = 1e3;
const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;

/// A point, its runs, and why the forwarder does not take it, if so.
#[derive(Clone, Debug)]
pub(super) struct PointResult {
    pub point: Point,
    pub runs: Vec<RunMeasurement>,
    pub not_taken: Option<String>,
}

/// A record, with the binary that it is about.
#[derive(Debug, Serialize)]
pub(super) struct InstanceRecord<'a> {
    pub forwarder: &'a Path,
    #[serde(flatten)]
    pub body: RecordBody,
}

/// Content of a record.
#[derive(Debug, Serialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub(super) enum RecordBody {
    /// A point that was measured.
    Point {
        #[serde(flatten)]
        point: Point,
        runs: usize,
        #[serde(flatten)]
        summary: PointSummary,
    },
    /// A point that the forwarder does not take.
    NotTaken {
        #[serde(flatten)]
        point: Point,
        reason: String,
    },
    /// What one more of the size that grows along the series costs.
    Slope {
        series: Series,
        points: usize,
        #[serde(flatten)]
        slopes: Slopes,
    },
}

/// Figures of a point over its runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct PointSummary {
    ready_milliseconds: SampleSummary,
    list_milliseconds: SampleSummary,
    resident_bytes: SampleSummary,
    idle_microseconds_per_second: SampleSummary,
    request_microseconds: SampleSummary,
}

/// Least-squares slopes of a series, over its runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Slopes {
    runs: usize,
    ready_microseconds: SampleSummary,
    list_microseconds: SampleSummary,
    resident_bytes: SampleSummary,
    idle_nanoseconds_per_second: SampleSummary,
    request_nanoseconds: SampleSummary,
}

impl PointResult {
    /// A point without runs.
    pub fn new(point: Point) -> PointResult {
        PointResult { point, runs: Vec::new(), not_taken: None }
    }

    /// The line of output for a point that the forwarder does not take.
    pub fn not_taken_line(&self) -> Option<String> {
        let Point { series, listed, held, processes, .. } = self.point;
        let reason = self.not_taken.as_deref()?;
        Some(format!("not taken: by {series}: {listed} listed, {held} held, {processes} processes: {reason}"))
    }

    /// The record of the point; none if there is no run.
    pub fn record(&self) -> Option<RecordBody> {
        let point = self.point;
        if let Some(reason) = self.not_taken.clone() {
            return Some(RecordBody::NotTaken { point, reason });
        }
        Some(RecordBody::Point { point, runs: self.runs.len(), summary: self.summary()? })
    }

    fn summary(&self) -> Option<PointSummary> {
        Some(PointSummary {
            ready_milliseconds: self.spread(|run| run.ready.as_secs_f64() * MILLIS_PER_SECOND)?,
            list_milliseconds: self.spread(|run| run.listed.as_secs_f64() * MILLIS_PER_SECOND)?,
            resident_bytes: self.spread(|run| run.resident_bytes)?,
            idle_microseconds_per_second: self.spread(|run| run.idle_nanos / NANOS_PER_MICRO)?,
            request_microseconds: self.spread(|run| run.request_nanos / NANOS_PER_MICRO)?,
        })
    }

    fn spread(&self, figure: fn(&RunMeasurement) -> f64) -> Option<SampleSummary> {
        SampleSummary::from_values(self.runs.iter().map(figure))
    }
}

/// The table of the points of a series; none if none was measured.
pub(super) fn point_table(results: &[&PointResult]) -> Option<String> {
    let header = [
        "listed",
        "held",
        "processes",
        "runs",
        "ready ms",
        "list ms",
        "resident MiB",
        "idle us/s",
        "request us",
    ];
    let rows: Vec<_> = results.iter().filter_map(|result| point_row(result)).collect();
    (!rows.is_empty()).then(|| table(&header, rows))
}

fn point_row(result: &PointResult) -> Option<Vec<String>> {
    if result.not_taken.is_some() {
        return None;
    }
    let summary = result.summary()?;
    Some(vec![
        result.point.listed.to_string(),
        result.point.held.to_string(),
        result.point.processes.to_string(),
        result.runs.len().to_string(),
        summary_cell(summary.ready_milliseconds),
        summary_cell(summary.list_milliseconds),
        summary_cell(summary.resident_bytes.scaled(1.0 / BYTES_PER_MEBIBYTE)),
        summary_cell(summary.idle_microseconds_per_second),
        summary_cell(summary.request_microseconds),
    ])
}

/// The slopes of a series, over the points that were taken; none where runs are too few or its points do not differ.
pub(super) fn slopes(results: &[&PointResult]) -> Option<Slopes> {
    let taken: Vec<_> = results.iter().copied().filter(|result| result.not_taken.is_none()).collect();
    let runs = taken.iter().map(|result| result.runs.len()).min()?;
    if runs < MIN_RUNS_FOR_SLOPES {
        return None;
    }
    let slope = |figure: fn(&RunMeasurement) -> f64| {
        let points = |run: usize| {
            let of_run = taken.iter().map(|result| (result.point.size() as f64, figure(&result.runs[run])));
            of_run.collect()
        };
        slope_over_runs(runs, points)
    };
    Some(Slopes {
        runs,
        ready_microseconds: slope(|run| micros(run.ready))?,
        list_microseconds: slope(|run| micros(run.listed))?,
        resident_bytes: slope(|run| run.resident_bytes)?,
        idle_nanoseconds_per_second: slope(|run| run.idle_nanos)?,
        request_nanoseconds: slope(|run| run.request_nanos)?,
    })
}

/// The table of slopes.
pub(super) fn slope_table(slopes: &[(Series, Slopes)]) -> String {
    let header = ["for each of the", "ready us", "list us", "resident bytes", "idle ns/s", "request ns"];
    let rows = slopes.iter().map(|(series, slopes)| {
        vec![
            series.to_string(),
            summary_cell(slopes.ready_microseconds),
            summary_cell(slopes.list_microseconds),
            summary_cell(slopes.resident_bytes),
            summary_cell(slopes.idle_nanoseconds_per_second),
            summary_cell(slopes.request_nanoseconds),
        ]
    });
    table(&header, rows)
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * MICROS_PER_SECOND
}
