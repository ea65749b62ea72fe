//! Results of the points: tables and records.

use crate::fleet::cold_load::WindowLoad;
use crate::fleet::metrics::PointMetrics;
use crate::fleet::plan::{OutageCase, Point};
use crate::report::{number_cell, summary_cell, table};
use crate::statistics::SampleSummary;
use serde::Serialize;

/// Name of the experiment in its records.
pub(super) const EXPERIMENT: &str = "fleet";
/// Table cell of a missing value.
const NO_VALUE: &str = "-";
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// A point that was simulated, as written to its record.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(tag = "record", rename = "point")]
pub(super) struct PointResult {
    #[serde(flatten)]
    pub point: Point,
    #[serde(flatten)]
    pub metrics: PointMetrics,
}

/// Formats the table of what replicas learned in the steady phase, one row per fleet size. The outage comes later and
/// does not affect it.
pub(super) fn steady_table(results: &[PointResult]) -> String {
    let header = [
        "replicas",
        "messages of the run",
        "pairs met %",
        "answers of a pair met",
        "pairs with 20 answers %",
        "hours until 20",
        "within aim %",
    ];
    let mut sizes = Vec::new();
    let first_of_size = results.iter().filter(|result| {
        let is_new = !sizes.contains(&result.point.replicas);
        sizes.push(result.point.replicas);
        is_new
    });
    table(&header, first_of_size.map(steady_row))
}

fn steady_row(result: &PointResult) -> Vec<String> {
    let steady = &result.metrics.steady;
    vec![
        result.point.replicas.to_string(),
        result.metrics.messages.to_string(),
        percent_cell(Some(steady.pairs_with_traffic_share)),
        optional_summary_cell(steady.responses_of_pairs_with_traffic),
        percent_cell(Some(steady.pairs_with_measured_timeout_share)),
        optional_cell(steady.seconds_until_measured_timeout.map(|seconds| seconds / SECONDS_PER_HOUR)),
        percent_cell(steady.within_aim_share),
    ]
}

/// Formats the table of the points of one kind of outage, one row per fleet size.
pub(super) fn outage_table(results: &[PointResult], case: OutageCase) -> String {
    let header = [
        "replicas",
        "worst window",
        "any window",
        "over budget",
        "calls while down",
        "arrivals while down",
        "in time: outage %",
        "recovery %",
        "run %",
        "s until recovered",
    ];
    table(&header, results.iter().filter(|result| result.point.case == case).map(outage_row))
}

fn outage_row(result: &PointResult) -> Vec<String> {
    let outage = &result.metrics.outage;
    vec![
        result.point.replicas.to_string(),
        window_cell(outage.worst_window),
        window_cell(outage.worst_window_of_any),
        outage.destinations_over_budget.to_string(),
        optional_summary_cell(outage.calls_while_down),
        number_cell(outage.arrivals_while_down),
        percent_cell(outage.delivered_share_of_outage),
        percent_cell(outage.delivered_share_of_recovery),
        percent_cell(outage.delivered_share_of_run),
        optional_cell(outage.seconds_until_recovered),
    ]
}

/// Formats calls, allowed calls and their ratio.
fn window_cell(load: WindowLoad) -> String {
    if load.calls == 0 {
        return NO_VALUE.to_owned();
    }
    format!("{}/{} = {}", load.calls, number_cell(load.allowed), number_cell(load.ratio()))
}

fn percent_cell(share: Option<f64>) -> String {
    optional_cell(share.map(|share| share * 100.0))
}

fn optional_cell(number: Option<f64>) -> String {
    number.map_or_else(|| NO_VALUE.to_owned(), number_cell)
}

fn optional_summary_cell(summary: Option<SampleSummary>) -> String {
    summary.map_or_else(|| NO_VALUE.to_owned(), summary_cell)
}
