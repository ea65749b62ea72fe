//! The notices that are to be sent to discovery, and how they are put together to reports.
//!
//! A report may be refused for one of its notices, as the ids in them are what clients chose. So the notices of a refused
//! report go alone: one that is refused again holds up no other.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Longest report: the protocol allows no longer body.
pub(crate) const MAX_REPORT_BYTES: usize = 64 * 1024;
const MAX_NOTICES_PER_REPORT: usize = 64;
/// Pause before a notice that was refused alone is sent again, and between such notices while they are refused.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Notices to be sent together, one JSON object per line.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Report {
    pub lines: String,
    /// Numbers of the messages.
    pub numbers: Vec<u64>,
}

/// Notices that are not in a report in flight, by the numbers of their messages.
#[derive(Debug, Default)]
pub(crate) struct NoticeQueue {
    /// Not sent yet.
    unsent: BTreeSet<u64>,
    /// Refused in a report with others.
    separated: BTreeSet<u64>,
    /// Refused alone; the first is the next one to be sent again.
    refused: VecDeque<u64>,
    /// The one of these that is being sent again. There is at most one.
    retrying: Option<u64>,
    next_retry_at: Option<Instant>,
}

impl NoticeQueue {
    pub fn push(&mut self, number: u64) {
        self.unsent.insert(number);
    }

    /// Removes a notice that is not to be sent any more.
    pub fn remove(&mut self, number: u64) {
        self.unsent.remove(&number);
        self.separated.remove(&number);
        self.refused.retain(|refused| *refused != number);
    }

    /// Takes the next report that may be sent now. `line` returns the line of a notice.
    pub fn next_report(&mut self, now: Instant, line: impl Fn(u64) -> String) -> Option<Report> {
        if let Some(number) = self.separated.pop_first() {
            return Some(Report { lines: line(number), numbers: vec![number] });
        }
        self.next_unsent_report(&line).or_else(|| {
            let number = self.next_retry(now)?;
            Some(Report { lines: line(number), numbers: vec![number] })
        })
    }

    /// Takes as many of the notices that have not been sent as fit into a report, one at least.
    fn next_unsent_report(&mut self, line: &impl Fn(u64) -> String) -> Option<Report> {
        let mut report = Report { lines: String::new(), numbers: Vec::new() };
        while let Some(number) = self.unsent.first().copied() {
            let line = line(number);
            let is_full = report.numbers.len() == MAX_NOTICES_PER_REPORT
                || report.lines.len() + line.len() > MAX_REPORT_BYTES;
            if is_full && !report.numbers.is_empty() {
                break;
            }
            self.unsent.pop_first();
            report.lines.push_str(&line);
            report.numbers.push(number);
        }
        (!report.numbers.is_empty()).then_some(report)
    }

    fn next_retry(&mut self, now: Instant) -> Option<u64> {
        if self.retrying.is_some() || self.next_retry_at.is_some_and(|at| now < at) {
            return None;
        }
        self.retrying = self.refused.pop_front();
        self.retrying
    }

    /// Handles the acknowledgement of a report. If a notice was accepted after all, the next one need not wait.
    pub fn acknowledged(&mut self, numbers: &[u64]) {
        if self.retrying.take_if(|retrying| numbers.contains(retrying)).is_some() {
            self.next_retry_at = None;
        }
    }

    /// Handles the refusal of a report with these notices, which are sent again.
    pub fn refused(&mut self, numbers: &[u64], now: Instant) {
        let [number] = numbers else { return self.separated.extend(numbers) };
        let was_retried = self.retrying.take_if(|retrying| retrying == number).is_some();
        if was_retried || self.refused.is_empty() {
            self.next_retry_at = Some(now + REFUSED_RETRY_DELAY);
        }
        self.refused.push_back(*number);
    }

    /// When the next report may be sent that waits for its time.
    pub fn next_retry_at(&self) -> Option<Instant> {
        self.next_retry_at.filter(|_| self.retrying.is_none() && !self.refused.is_empty())
    }
}

#[cfg(test)]
#[path = "notice_queue_tests.rs"]
mod tests;
