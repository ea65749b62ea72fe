//! A histogram of answer times that ages and rescales itself.

use serde::{Deserialize, Serialize};

/// Buckets of a histogram: a step is a few percent of the longest answer time.
pub(crate) const BUCKETS: usize = 32;
/// Width of a bucket before anything is recorded, in microseconds.
const FIRST_WIDTH: f64 = 1000.0;
/// Weight of a bucket, in answers, below which it has faded.
pub(crate) const FADED: f64 = 0.05;
/// Share of the answers in the upper half of the buckets below which the buckets become narrower.
const UPPER_HALF_EMPTY: f64 = 0.02;

/// Answer times in microseconds, by buckets of equal width. Each bucket keeps the sum of its times, so that its mean is
/// exact whatever its width.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct AnswerHistogram {
    width: f64,
    counts: [f64; BUCKETS],
    sums: [f64; BUCKETS],
}

impl Default for AnswerHistogram {
    fn default() -> Self {
        AnswerHistogram { width: FIRST_WIDTH, counts: [0.0; BUCKETS], sums: [0.0; BUCKETS] }
    }
}

impl AnswerHistogram {
    /// Counts one answer. Where the buckets do not reach to it, their width doubles and neighbours merge.
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

    /// Multiplies all counts by `keep`. Once the upper half has emptied, the width halves, unless the buckets would no
    /// longer reach to `reach`.
    pub fn age(&mut self, keep: f64, reach: f64) {
        for value in self.counts.iter_mut().chain(self.sums.iter_mut()) {
            *value *= keep;
        }
        let total = self.total();
        let upper: f64 = self.counts[BUCKETS / 2..].iter().sum();
        let half = (BUCKETS / 2) as f64;
        if total > 1.0 && upper < UPPER_HALF_EMPTY * total && self.width > 1.0 && reach < half * self.width {
            self.halve_width();
        }
    }

    /// Moves the contents of each bucket to the narrower one in which its mean lies.
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

    /// Answers counted in a bucket, aged.
    pub fn count(&self, bucket: usize) -> f64 {
        self.counts[bucket]
    }

    /// Sum of the answer times in a bucket, aged.
    pub fn sum(&self, bucket: usize) -> f64 {
        self.sums[bucket]
    }

    /// Answers counted, aged.
    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// Whether a bucket still weighs.
    pub fn weighs(&self, bucket: usize) -> bool {
        self.counts[bucket] > FADED
    }

    /// Mean answer time, 0 before the first.
    pub fn mean(&self) -> f64 {
        self.sums.iter().sum::<f64>() / self.total().max(1e-9)
    }

    /// Mean of the first bucket that weighs: the least time an answer takes.
    pub fn least(&self) -> f64 {
        let first = (0..BUCKETS).find(|bucket| self.weighs(*bucket));
        first.map_or(0.0, |bucket| self.sums[bucket] / self.counts[bucket])
    }

    /// Upper edge of the last bucket that weighs.
    pub fn longest(&self) -> f64 {
        let last = (0..BUCKETS).rev().find(|bucket| self.weighs(*bucket));
        last.map_or(0.0, |bucket| (bucket + 1) as f64 * self.width)
    }
}
