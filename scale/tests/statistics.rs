//! Summaries of repeated measurements.

use scale::statistics::{least_squares_slope, SampleSummary};

#[test]
fn a_spread_has_the_median_and_both_ends() {
    assert_eq!(SampleSummary::from_values([]), None);
    assert_eq!(
        SampleSummary::from_values([3.0, 1.0, 9.0]),
        Some(SampleSummary { median: 3.0, min: 1.0, max: 9.0 })
    );
    assert_eq!(
        SampleSummary::from_values([4.0, 1.0, 2.0, 9.0]),
        Some(SampleSummary { median: 3.0, min: 1.0, max: 9.0 })
    );
}

#[test]
fn a_slope_is_that_of_the_best_line() {
    assert_eq!(least_squares_slope(&[(0.0, 1.0), (2.0, 5.0)]), Some(2.0));
    // Errors that balance leave the slope as it is.
    assert_eq!(least_squares_slope(&[(0.0, 1.0), (1.0, 4.0), (2.0, 1.0)]), Some(0.0));
}

#[test]
fn points_of_one_size_have_no_slope() {
    assert_eq!(least_squares_slope(&[]), None);
    assert_eq!(least_squares_slope(&[(2.0, 1.0), (2.0, 5.0)]), None);
}
