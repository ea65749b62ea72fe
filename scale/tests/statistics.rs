//! Tests of the summaries of repeated measurements.

use scale::statistics::{least_squares_slope, SampleSummary};

#[test]
fn a_summary_has_median_min_and_max() {
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
fn slope_is_that_of_the_least_squares_line() {
    assert_eq!(least_squares_slope(&[(0.0, 1.0), (2.0, 5.0)]), Some(2.0));
    // Deviations that cancel out leave the slope unchanged.
    assert_eq!(least_squares_slope(&[(0.0, 1.0), (1.0, 4.0), (2.0, 1.0)]), Some(0.0));
}

#[test]
fn points_with_equal_x_have_no_slope() {
    assert_eq!(least_squares_slope(&[]), None);
    assert_eq!(least_squares_slope(&[(2.0, 1.0), (2.0, 5.0)]), None);
}
