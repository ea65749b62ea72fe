//! Results of the points: the table and the records.

use crate::discovery::plan::{Case, Point};
use crate::discovery::propagation::PropagationSummary;
use crate::discovery::run::Measurement;
use crate::discovery::traffic_meter::Traffic;
use crate::provenance::Provenance;
use crate::report::table;
use serde::Serialize;

/// Name of the experiment in its records.
const EXPERIMENT: &str = "discovery";
const MICROS_PER_MILLI: f64 = 1e3;
const BYTES_PER_KIBIBYTE: f64 = 1_024.0;
const PERCENT: f64 = 100.0;

/// Calls per second, and bytes per second in both directions.
#[derive(Clone, Copy, Debug, Serialize)]
struct Rate {
    calls_per_second: f64,
    bytes_per_second: f64,
}

impl Rate {
    fn over(seconds: f64, traffic: Traffic) -> Rate {
        let Traffic { calls, bytes } = traffic;
        Rate { calls_per_second: calls as f64 / seconds, bytes_per_second: bytes as f64 / seconds }
    }
}

/// Measurements of a point.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PointResult {
    #[serde(flatten)]
    point: Point,
    measured_seconds: f64,
    /// Mean over the replicas.
    #[serde(rename = "each_instance")]
    replica_mean: Rate,
    /// Calls of the replica with the most calls, and bytes of the one with the most bytes.
    #[serde(rename = "busiest_instance")]
    busiest_replica: Rate,
    discovery: Rate,
    /// Calls of the second with the most calls, and bytes of the one with the most bytes.
    discovery_peak: Rate,
    #[serde(rename = "turned_away_per_second")]
    rejected_per_second: f64,
    changes: u64,
    /// Pairs of a change and a replica that has it.
    in_force: u64,
    in_force_after_milliseconds: InForceAfter,
    /// Share of the pairs in force that took longer than 6 s.
    in_force_after_6_seconds_percent: f64,
    /// Pairs of a change and a running replica that does not have it at the end.
    not_in_force: u64,
}

/// Time until a change is in force.
#[derive(Clone, Copy, Debug, Serialize)]
struct InForceAfter {
    median: f64,
    p99: f64,
    max: f64,
}

/// A record of the results file.
#[derive(Debug, Serialize)]
pub(super) struct Record<'a> {
    record: &'static str,
    experiment: &'static str,
    #[serde(flatten)]
    provenance: &'a Provenance,
    #[serde(flatten)]
    result: &'a PointResult,
}

impl<'a> Record<'a> {
    pub fn new(provenance: &'a Provenance, result: &'a PointResult) -> Record<'a> {
        Record { record: "point", experiment: EXPERIMENT, provenance, result }
    }
}

impl PointResult {
    pub fn new(point: Point, measurement: &Measurement) -> PointResult {
        let Measurement { duration, counts, propagation } = measurement;
        let seconds = duration.as_secs_f64();
        let replica_seconds = seconds * point.replicas as f64;
        let PropagationSummary { median_us, p99_us, max_us, in_force, late, .. } = *propagation;
        PointResult {
            point,
            measured_seconds: seconds,
            replica_mean: Rate::over(replica_seconds, Traffic::sum(&counts.per_replica)),
            busiest_replica: Rate::over(seconds, Traffic::maximum(&counts.per_replica)),
            discovery: Rate::over(seconds, Traffic::sum(&counts.per_second)),
            discovery_peak: Rate::over(1.0, Traffic::maximum(&counts.per_second)),
            rejected_per_second: counts.rejected as f64 / seconds,
            changes: propagation.changes,
            in_force,
            in_force_after_milliseconds: InForceAfter {
                median: median_us as f64 / MICROS_PER_MILLI,
                p99: p99_us as f64 / MICROS_PER_MILLI,
                max: max_us as f64 / MICROS_PER_MILLI,
            },
            in_force_after_6_seconds_percent: PERCENT * late as f64 / in_force.max(1) as f64,
            not_in_force: propagation.missing,
        }
    }

    pub fn case(&self) -> Case {
        self.point.case
    }

    fn row(&self) -> Vec<String> {
        let InForceAfter { median, p99, max } = self.in_force_after_milliseconds;
        vec![
            self.point.replicas.to_string(),
            self.changes.to_string(),
            format!("{:.2}", self.replica_mean.calls_per_second),
            format!("{:.0}", self.replica_mean.bytes_per_second),
            format!("{:.2}", self.busiest_replica.calls_per_second),
            format!("{:.0}", self.discovery.calls_per_second),
            kibibytes(self.discovery),
            format!("{:.0}", self.discovery_peak.calls_per_second),
            kibibytes(self.discovery_peak),
            format!("{:.1}", self.rejected_per_second),
            format!("{median:.0}"),
            format!("{p99:.0}"),
            format!("{max:.0}"),
            format!("{:.2}", self.in_force_after_6_seconds_percent),
            self.not_in_force.to_string(),
        ]
    }
}

fn kibibytes(rate: Rate) -> String {
    format!("{:.1}", rate.bytes_per_second / BYTES_PER_KIBIBYTE)
}

/// The table of the points of one case.
pub(super) fn point_table(results: &[&PointResult]) -> String {
    let header = [
        "instances",
        "changes",
        "calls/s each",
        "B/s each",
        "busiest calls/s",
        "discovery calls/s",
        "KiB/s",
        "peak calls/s",
        "peak KiB/s",
        "turned away/s",
        "in force ms",
        "p99 ms",
        "max ms",
        "over 6 s %",
        "not in force",
    ];
    table(&header, results.iter().map(|result| result.row()))
}
