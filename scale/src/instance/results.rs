//! Results of the points: summaries, tables and records.

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

/// A point with its runs, and the reason if the forwarder does not support a deployment of that size.
#[derive(Clone, Debug)]
pub(super) struct PointResult {
    pub point: Point,
    pub runs: Vec<RunMeasurement>,
    pub unsupported_reason: Option<String>,
}

/// A record, with the binary that was measured.
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
    Point {
        #[serde(flatten)]
        point: Point,
        runs: usize,
        #[serde(flatten)]
        summary: PointSummary,
    },
    /// A point that the forwarder does not support.
    #[serde(rename = "not_taken")]
    Unsupported {
        #[serde(flatten)]
        point: Point,
        reason: String,
    },
    /// Cost of one more destination, message or process.
    Slope {
        series: Series,
        points: usize,
        #[serde(flatten)]
        slopes: Slopes,
    },
}

/// Measurements of a point, summarized over its runs.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct PointSummary {
    ready_milliseconds: SampleSummary,
    list_milliseconds: SampleSummary,
    resident_bytes: SampleSummary,
    idle_microseconds_per_second: SampleSummary,
    request_microseconds: SampleSummary,
}

/// Least-squares slopes of a series, summarized over its runs.
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
    pub fn new(point: Point) -> PointResult {
        PointResult { point, runs: Vec::new(), unsupported_reason: None }
    }

    /// The output line of a point that the forwarder does not support.
    pub fn unsupported_line(&self) -> Option<String> {
        let Point { series, listed, held, processes, .. } = self.point;
        let reason = self.unsupported_reason.as_deref()?;
        Some(format!("not taken: by {series}: {listed} listed, {held} held, {processes} processes: {reason}"))
    }

    /// The record of the point, or `None` if there is no run.
    pub fn record(&self) -> Option<RecordBody> {
        let point = self.point;
        if let Some(reason) = self.unsupported_reason.clone() {
            return Some(RecordBody::Unsupported { point, reason });
        }
        Some(RecordBody::Point { point, runs: self.runs.len(), summary: self.summary()? })
    }

    fn summary(&self) -> Option<PointSummary> {
        Some(PointSummary {
            ready_milliseconds: self.summarize(|run| run.time_to_ready.as_secs_f64() * MILLIS_PER_SECOND)?,
            list_milliseconds: self.summarize(|run| run.time_to_list.as_secs_f64() * MILLIS_PER_SECOND)?,
            resident_bytes: self.summarize(|run| run.resident_bytes)?,
            idle_microseconds_per_second: self
                .summarize(|run| run.idle_cpu_nanos_per_second / NANOS_PER_MICRO)?,
            request_microseconds: self.summarize(|run| run.request_cpu_nanos / NANOS_PER_MICRO)?,
        })
    }

    fn summarize(&self, metric: fn(&RunMeasurement) -> f64) -> Option<SampleSummary> {
        SampleSummary::from_values(self.runs.iter().map(metric))
    }
}

/// The table of the points of a series, or `None` if none was measured.
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
    if result.unsupported_reason.is_some() {
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

/// The slopes of a series over its supported points, or `None` if there are too few runs or all sizes are equal.
pub(super) fn slopes(results: &[&PointResult]) -> Option<Slopes> {
    let supported: Vec<_> =
        results.iter().copied().filter(|result| result.unsupported_reason.is_none()).collect();
    let runs = supported.iter().map(|result| result.runs.len()).min()?;
    if runs < MIN_RUNS_FOR_SLOPES {
        return None;
    }
    let slope = |metric: fn(&RunMeasurement) -> f64| {
        let points = |run: usize| {
            let samples =
                supported.iter().map(|result| (result.point.size() as f64, metric(&result.runs[run])));
            samples.collect()
        };
        slope_over_runs(runs, points)
    };
    Some(Slopes {
        runs,
        ready_microseconds: slope(|run| micros(run.time_to_ready))?,
        list_microseconds: slope(|run| micros(run.time_to_list))?,
        resident_bytes: slope(|run| run.resident_bytes)?,
        idle_nanoseconds_per_second: slope(|run| run.idle_cpu_nanos_per_second)?,
        request_nanoseconds: slope(|run| run.request_cpu_nanos)?,
    })
}

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
