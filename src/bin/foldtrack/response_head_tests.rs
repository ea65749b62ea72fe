//! Tests of the numbers in the heads of responses.

use super::*;

/// Guards against a share below 0 or a limit without bounds, which turned the rate limit of the destination around.
#[test]
fn numbers_of_a_limit_report_stay_in_range() {
    let report = |text| parse_limit_report(text).map(|report| (report.share_left, report.rate));
    assert_eq!(report("x0=0.4,x1=25"), Some((0.4, 25.0)));
    assert_eq!(report("x0=-1e300,x1=1e308"), Some((0.0, MAX_CALLS_PER_SECOND)));
    assert_eq!(report("x0=7,x1=-3"), Some((1.0, 0.0)));
    assert_eq!(report("x0=nan,x1=1"), None);
    assert_eq!(report("x0=1,x1=inf"), None);
}

/// Guards against a wait that does not fit the clock and was lost.
#[test]
fn a_wait_that_is_too_long_counts_as_the_longest() {
    for text in ["18446744073709551615", "1e300", "inf"] {
        assert_eq!(parse_wait(text), Some(MAX_WAIT), "{text}");
    }
    assert_eq!(parse_wait(" 1.5 "), Some(Duration::from_micros(1500)));
    assert!(["-1", "nan", "soon", ""].into_iter().all(|text| parse_wait(text).is_none()));
}
