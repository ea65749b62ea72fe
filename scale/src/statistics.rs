//! Summaries of repeated measurements.

use serde::Serialize;

/// Minimum number of runs for which slopes are reported.
pub const MIN_RUNS_FOR_SLOPES: usize = 5;

/// Median, minimum and maximum of repeated measurements.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SampleSummary {
    /// Median of the values.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl SampleSummary {
    /// Summarizes the values; `None` if there are none.
    pub fn from_values(values: impl IntoIterator<Item = f64>) -> Option<SampleSummary> {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        Some(SampleSummary { median: median_of_sorted(&sorted), min, max })
    }

    /// Returns the summary in another unit.
    pub fn scaled(self, factor: f64) -> SampleSummary {
        SampleSummary { median: self.median * factor, min: self.min * factor, max: self.max * factor }
    }
}

fn median_of_sorted(sorted: &[f64]) -> f64 {
    let middle_index = sorted.len() / 2;
    if sorted.len() % 2 == 1 {
        sorted[middle_index]
    } else {
        (sorted[middle_index - 1] + sorted[middle_index]) / 2.0
    }
}

/// Returns the slope of the line that fits the points (x, y) by least squares; `None` if all x are equal.
pub fn least_squares_slope(points: &[(f64, f64)]) -> Option<f64> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    (variance > 0.0).then(|| covariance / variance)
}

/// Summarizes the slopes of the runs, each by least squares over the points of that run; `None` if the points of a
/// run all have the same x.
pub fn slope_over_runs(runs: usize, points: impl Fn(usize) -> Vec<(f64, f64)>) -> Option<SampleSummary> {
    let slopes: Option<Vec<f64>> = (0..runs).map(|run| least_squares_slope(&points(run))).collect();
    SampleSummary::from_values(slopes?)
}
