//! Response times of a route, and the retry timeout that is chosen from them. The choice follows the paper
//! "Optimization of Failure Detection Retry Times" by A. van Moorsel and K. Wolter, called "the paper" below.

use super::*;

/// Response times of a route, and its retry timeout τ.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ResponseTimes {
    histogram: ResponseTimeHistogram,
    /// Decayed number of calls without a response.
    unanswered: f64,
    /// Number of responses so far.
    pub(super) responses: u32,
    /// τ in microseconds, 0 while there are too few responses to choose it.
    pub(super) retry_timeout: f64,
    /// Calls in a row that timed out at τ.
    consecutive_timeouts: u32,
}

impl ResponseTimes {
    /// Records a response. Those later than τ count too, so that the histogram covers the longest response
    /// times.
    pub(super) fn record_response(&mut self, took: f64) {
        self.histogram.record(took);
        self.responses = self.responses.saturating_add(1);
        self.consecutive_timeouts = 0;
    }

    pub(super) fn decay(&mut self, keep: f64) {
        self.unanswered *= keep;
        self.histogram.decay(keep, self.retry_timeout);
    }

    /// Whether too little of what was recorded is left to choose a timeout from.
    pub(super) fn has_faded(&self) -> bool {
        self.histogram.total() + self.unanswered < FADED_WEIGHT
    }

    pub(super) fn mean(&self) -> f64 {
        self.histogram.mean()
    }

    pub(super) fn shortest(&self) -> f64 {
        self.histogram.shortest()
    }

    pub(super) fn longest(&self) -> f64 {
        self.histogram.longest()
    }

    /// Sets τ to the bucket edge with the least expected completion time Ê, then raises it while condition
    /// (6) of the paper holds, and returns Ê of the final bucket. `retry_cost` is the paper's c. The mean of
    /// the responses up to τ already is the paper's M/p: divided by p again, it would not reproduce the
    /// paper's tables.
    pub(super) fn update_retry_timeout(&mut self, retry_cost: f64) -> Option<f64> {
        let histogram = &self.histogram;
        let (total, width) = (histogram.total() + self.unanswered, histogram.width());
        let (mut count, mut sum) = (0.0, 0.0);
        let mut expected = [f64::INFINITY; BUCKETS];
        let mut share = [0.0; BUCKETS];
        for i in 0..BUCKETS {
            count += histogram.count(i);
            sum += histogram.sum(i);
            if count > FADED_WEIGHT {
                let p = count / total;
                share[i] = p;
                expected[i] = sum / count + (1.0 - p) / p * ((i + 1) as f64 * width + retry_cost);
            }
        }
        let finite = (0..BUCKETS).filter(|i| expected[*i].is_finite());
        let mut bucket = finite.min_by(|a, b| expected[*a].total_cmp(&expected[*b]))?;
        let density = |bucket: usize| histogram.count(bucket) / (total * width);
        let raises = |bucket: usize| {
            histogram.has_weight(bucket)
                && (1.0 - share[bucket]) / density(bucket) - retry_cost < expected[bucket]
        };
        while bucket + 1 < BUCKETS && raises(bucket) {
            bucket += 1;
        }
        let doubled =
            if self.consecutive_timeouts >= TIMEOUTS_TO_DOUBLE_TAU { self.retry_timeout } else { 0.0 };
        self.retry_timeout = ((bucket + 1) as f64 * width).max(doubled);
        Some(expected[bucket])
    }

    /// Records a call without a response. A run of calls that time out at τ doubles τ, since condition (6)
    /// finds no density past τ when the destination becomes slower. After the next response, τ is set by the
    /// least Ê again. The cost: where most calls are dropped, retries come late.
    pub(super) fn record_no_response(&mut self, retry_planned: bool) {
        self.unanswered += 1.0;
        self.consecutive_timeouts += u32::from(retry_planned);
        if retry_planned && self.consecutive_timeouts.is_multiple_of(TIMEOUTS_TO_DOUBLE_TAU) {
            self.retry_timeout *= 2.0;
        }
    }
}

#[cfg(test)]
#[path = "timeouts_tests.rs"]
mod tests;
