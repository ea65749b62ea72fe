//! Tests of the choice of the retry timeout: against the figures of the paper that `timeouts.rs` names, and
//! when a destination becomes slower.

use super::ResponseTimes;

/// The paper's failed exponential distribution: response times of rate 1, half of the calls without a
/// response, and a retry cost of 1. The paper gives τ* = 1.505 and E = 4.505. Times are scaled by a million.
#[test]
fn least_expected_time_matches_the_papers_failed_exponential() {
    let mut times = ResponseTimes::default();
    let n = 1_000;
    for i in 0..n {
        let u = (f64::from(i) + 0.5) / f64::from(n);
        times.record_response(-(1.0 - u).ln() * 1e6);
    }
    times.unanswered = f64::from(n);
    let expected = times.update_retry_timeout(1e6).unwrap() / 1e6;
    let tau = times.retry_timeout / 1e6;
    assert!(
        (tau - 1.505).abs() <= 1.5 * times.histogram.width() / 1e6,
        "tau {tau}, buckets of {}",
        times.histogram.width()
    );
    assert!((expected - 4.505).abs() < 0.1, "expected {expected}");
}

/// When a destination becomes slower, every response comes after τ: τ must rise although no response is
/// recorded.
#[test]
fn consecutive_timeouts_raise_the_retry_timeout() {
    let mut times = ResponseTimes::default();
    for i in 0..100 {
        times.record_response(100_000.0 + f64::from(i) * 100.0);
    }
    times.update_retry_timeout(times.shortest());
    let before = times.retry_timeout;
    for _ in 0..6 {
        times.record_no_response(true);
        times.update_retry_timeout(times.shortest());
    }
    assert!(times.retry_timeout >= 4.0 * before, "from {before} to {}", times.retry_timeout);
    for _ in 0..300 {
        times.record_response(300_000.0);
    }
    times.update_retry_timeout(times.shortest());
    assert!(
        times.retry_timeout >= 300_000.0 && times.retry_timeout < 4.0 * before,
        "settled at {}",
        times.retry_timeout
    );
}

/// A change of the bucket width, up or down, keeps counts and means.
#[test]
fn changing_the_bucket_width_keeps_counts_and_means() {
    let mut times = ResponseTimes::default();
    for i in 1..=1000 {
        times.record_response(f64::from(i) * 10.0);
    }
    let mean = times.mean();
    times.record_response(900_000.0);
    let total = times.histogram.total();
    assert!((total - 1001.0).abs() < 1e-6);
    assert!((times.mean() * 1001.0 - (mean * 1000.0 + 900_000.0)).abs() < 1.0);
    let width = times.histogram.width();
    times.decay(1.0);
    assert!(times.histogram.width() < width);
    assert!((times.histogram.total() - 1001.0).abs() < 1e-6);
}
