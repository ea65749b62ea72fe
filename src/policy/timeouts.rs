//! Answer times of a route, and the time-out that is chosen by them.

use super::*;

/// Answer times of one route and the choice of τ.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct AnswerTimes {
    histogram: AnswerHistogram,
    unanswered: f64,
    pub(super) answers: u32,
    pub(super) tau: f64,
    run: u32,
}

impl AnswerTimes {
    /// Answers later than τ count too: the histogram reaches to the longest.
    pub(super) fn answered(&mut self, took: f64) {
        self.histogram.record(took);
        self.answers = self.answers.saturating_add(1);
        self.run = 0;
    }

    pub(super) fn age(&mut self, keep: f64) {
        self.unanswered *= keep;
        self.histogram.age(keep, self.tau);
    }

    /// Whether too little is left of what was seen to tell a time-out from.
    pub(super) fn has_faded(&self) -> bool {
        self.histogram.total() + self.unanswered < FADED
    }

    pub(super) fn mean(&self) -> f64 {
        self.histogram.mean()
    }

    pub(super) fn least(&self) -> f64 {
        self.histogram.least()
    }

    pub(super) fn longest(&self) -> f64 {
        self.histogram.longest()
    }

    /// Moves τ to the candidate of least Ê, then up while the paper's condition (6) holds; gives its Ê.
    /// The mean of the answers by τ is M/p already: divided by p again it would miss the paper's tables.
    pub(super) fn retune(&mut self, c: f64) -> Option<f64> {
        let times = &self.histogram;
        let (total, width) = (times.total() + self.unanswered, times.width());
        let (mut n, mut s) = (0.0, 0.0);
        let mut expected = [f64::INFINITY; BUCKETS];
        let mut share = [0.0; BUCKETS];
        for i in 0..BUCKETS {
            n += times.count(i);
            s += times.sum(i);
            if n > FADED {
                let p = n / total;
                share[i] = p;
                expected[i] = s / n + (1.0 - p) / p * ((i + 1) as f64 * width + c);
            }
        }
        let finite = (0..BUCKETS).filter(|i| expected[*i].is_finite());
        let mut j = finite.min_by(|a, b| expected[*a].total_cmp(&expected[*b]))?;
        let density = |j: usize| times.count(j) / (total * width);
        let grows = |j: usize| times.weighs(j) && (1.0 - share[j]) / density(j) - c < expected[j];
        while j + 1 < BUCKETS && grows(j) {
            j += 1;
        }
        let raised = if self.run >= TAU_RUN { self.tau } else { 0.0 };
        self.tau = ((j + 1) as f64 * width).max(raised);
        Some(expected[j])
    }

    /// Guards against a slow spell past τ, where (6) sees no density: a run of planned resends unanswered
    /// doubles τ; least Ê brings it down. Harms where most calls are dropped: resends come late.
    pub(super) fn unanswered(&mut self, planned: bool) {
        self.unanswered += 1.0;
        self.run += u32::from(planned);
        if planned && self.run.is_multiple_of(TAU_RUN) {
            self.tau *= 2.0;
        }
    }
}

#[cfg(test)]
#[path = "timeouts_tests.rs"]
mod tests;
