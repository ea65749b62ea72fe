//! A histogram of response times with exponential decay and adaptive bucket width.

use serde::{Deserialize, Serialize};

/// Number of buckets: the width of a bucket is a few percent of the longest response time.
pub(crate) const BUCKETS: usize = 32;
/// Width of a bucket before anything is recorded, in microseconds.
const INITIAL_WIDTH_MICROS: f64 = 1000.0;
/// Decayed number of responses, or of messages, up to which they count as faded.
pub(crate) const FADED_WEIGHT: f64 = 0.05;
/// Share of the responses in the upper half of the buckets below which the buckets become narrower.
const EMPTY_UPPER_HALF_SHARE: f64 = 0.02;

/// Response times in microseconds, in buckets of equal width. Each bucket keeps the sum of its times, so that
/// its mean is exact whatever the width.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ResponseTimeHistogram {
    width: f64,
    counts: [f64; BUCKETS],
    sums: [f64; BUCKETS],
}

impl Default for ResponseTimeHistogram {
    fn default() -> Self {
        ResponseTimeHistogram { width: INITIAL_WIDTH_MICROS, counts: [0.0; BUCKETS], sums: [0.0; BUCKETS] }
    }
}

impl ResponseTimeHistogram {
    /// Counts one response. If its time is beyond the last bucket, the width doubles and neighbours merge
    /// until it fits.
    pub fn record(&mut self, took: f64) {
        while took >= self.width * BUCKETS as f64 {
            self.merge_neighbours();
        }
        let bucket = (took / self.width) as usize;
        self.counts[bucket] += 1.0;
        self.sums[bucket] += took;
    }

    fn merge_neighbours(&mut self) {
        for i in 0..BUCKETS {
            let pair = |values: &[f64; BUCKETS]| values.iter().skip(2 * i).take(2).sum();
            (self.counts[i], self.sums[i]) = (pair(&self.counts), pair(&self.sums));
        }
        self.width *= 2.0;
    }

    /// Multiplies all counts by `keep`. Once the upper half of the buckets is almost empty, the width halves,
    /// unless the buckets would no longer cover `reach`.
    pub fn decay(&mut self, keep: f64, reach: f64) {
        for value in self.counts.iter_mut().chain(self.sums.iter_mut()) {
            *value *= keep;
        }
        let total = self.total();
        let upper: f64 = self.counts[BUCKETS / 2..].iter().sum();
        let half = (BUCKETS / 2) as f64;
        if total > 1.0
            && upper < EMPTY_UPPER_HALF_SHARE * total
            && self.width > 1.0
            && reach < half * self.width
        {
            self.halve_width();
        }
    }

    /// Moves the contents of each bucket to the narrower bucket that holds its mean.
    fn halve_width(&mut self) {
        let (counts, sums) = (self.counts, self.sums);
        (self.counts, self.sums, self.width) = ([0.0; BUCKETS], [0.0; BUCKETS], self.width / 2.0);
        for (count, sum) in counts.into_iter().zip(sums).filter(|(count, _)| *count > 0.0) {
            let bucket = ((sum / count / self.width) as usize).min(BUCKETS - 1);
            self.counts[bucket] += count;
            self.sums[bucket] += sum;
        }
    }

    /// Width of a bucket, in microseconds.
    pub fn width(&self) -> f64 {
        self.width
    }

    /// Decayed number of responses in a bucket.
    pub fn count(&self, bucket: usize) -> f64 {
        self.counts[bucket]
    }

    /// Decayed sum of the response times in a bucket.
    pub fn sum(&self, bucket: usize) -> f64 {
        self.sums[bucket]
    }

    /// Decayed number of all responses.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Whether the contents of a bucket have not faded.
    pub fn has_weight(&self, bucket: usize) -> bool {
        self.counts[bucket] > FADED_WEIGHT
    }

    /// Mean response time, 0 before the first response.
    pub fn mean(&self) -> f64 {
        self.sums.iter().sum::<f64>() / self.total().max(1e-9)
    }

    /// The shortest usual response time: the mean of the first bucket that has not faded.
    pub fn shortest(&self) -> f64 {
        let first = (0..BUCKETS).find(|bucket| self.has_weight(*bucket));
        first.map_or(0.0, |bucket| self.sums[bucket] / self.counts[bucket])
    }

    /// The longest usual response time: the upper edge of the last bucket that has not faded.
    pub fn longest(&self) -> f64 {
        let last = (0..BUCKETS).rev().find(|bucket| self.has_weight(*bucket));
        last.map_or(0.0, |bucket| (bucket + 1) as f64 * self.width)
    }
}
