//! Summaries of repeated measurements.

use serde::Serialize;

/// Runs from which on a slope is worth telling.
pub const MIN_RUNS_FOR_SLOPES: usize = 5;

/// The middle of some measurements, and the least and the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SampleSummary {
    /// The median.
    pub median: f64,
    /// The least.
    pub min: f64,
    /// The greatest.
    pub max: f64,
}

impl SampleSummary {
    /// The spread of some measurements, or none if there are none.
    pub fn from_values(values: impl IntoIterator<Item = f64>) -> Option<SampleSummary> {
        let mut sorted: Vec<f64> = values.into_iter().collect();
        sorted.sort_by(f64::total_cmp);
        let (min, max) = (*sorted.first()?, *sorted.last()?);
        Some(SampleSummary { median: median_of_sorted(&sorted), min, max })
    }

    /// The same in another unit.
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

/// Slope of the straight line that fits the points (x, y) best by least squares; none if all x are the same.
pub fn least_squares_slope(points: &[(f64, f64)]) -> Option<f64> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    (variance > 0.0).then(|| covariance / variance)
}

/// The spread of the slopes of runs: one slope for each run, through the points that it has of that run; none where the
/// points of a run do not differ.
pub fn slope_over_runs(runs: usize, points: impl Fn(usize) -> Vec<(f64, f64)>) -> Option<SampleSummary> {
    let slopes: Option<Vec<f64>> = (0..runs).map(|run| least_squares_slope(&points(run))).collect();
    SampleSummary::from_values(slopes?)
}
