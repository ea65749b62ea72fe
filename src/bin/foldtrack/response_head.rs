//! What the head of an endpoint's response says about its call, by the table of the protocol.

use hatchline::{LimitReport, Outcome};
use hyper::header::{HeaderMap, CONNECTION};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait, beyond the deadline of any message: sums with times of the clock stay within its range.
const MAX_WAIT: Duration = Duration::from_secs(365 * 24 * 3600);
/// Highest limit that a report can name.
const MAX_CALLS_PER_SECOND: f64 = 1e9;

/// The head of a response. What it says about the call holds only once the response is known to be whole, but for a
/// status of 200 and the wait.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub outcome: Outcome,
    /// No further attempt is needed.
    pub completes_message: bool,
    /// The destination has asked for no calls before this time.
    pub wait_until: Option<Instant>,
    pub limit_report: Option<LimitReport>,
    announces_close: bool,
}

impl ResponseHead {
    /// Determines the outcome from the status and headers. After a status that the protocol does not name, the call may
    /// have run.
    pub fn read(head: &Parts, reads_limit_reports: bool) -> ResponseHead {
        let headers = &head.headers;
        let outcome = match head.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::TOO_MANY_REQUESTS => Outcome::Rejected,
            StatusCode::SERVICE_UNAVAILABLE if headers.contains_key("X-Line-Busy") => Outcome::NotSent,
            StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
            StatusCode::GATEWAY_TIMEOUT | StatusCode::GONE => Outcome::NotSent,
            _ => Outcome::Error,
        };
        let wait = header_text(headers, "X-Come-Back-Ms").filter(|_| outcome == Outcome::Rejected);
        let report = header_text(headers, "X-Load").filter(|_| reads_limit_reports);
        let connection = header_text(headers, CONNECTION.as_str());
        ResponseHead {
            outcome,
            completes_message: matches!(head.status, StatusCode::OK | StatusCode::GONE),
            wait_until: wait.and_then(parse_wait).and_then(|wait| Instant::now().checked_add(wait)),
            limit_report: report.and_then(parse_limit_report),
            announces_close: connection.is_some_and(|value| value.eq_ignore_ascii_case("close")),
        }
    }

    /// Whether the endpoint rejected the new connection rather than the call: at its connection limit an endpoint rejects
    /// the first request and closes at once. An endpoint above its rate limit keeps the connection open or requests a
    /// wait.
    pub fn rejects_connection(&self) -> bool {
        self.announces_close && self.outcome == Outcome::Rejected && self.wait_until.is_none()
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a wait. One that is too long to be kept counts as [`MAX_WAIT`].
fn parse_wait(milliseconds: &str) -> Option<Duration> {
    let milliseconds = milliseconds.trim().parse::<f64>().ok().filter(|number| !number.is_nan())?;
    let seconds = (milliseconds / 1000.0).min(MAX_WAIT.as_secs_f64());
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses a report. Numbers out of range count as the nearest in range.
fn parse_limit_report(text: &str) -> Option<LimitReport> {
    let value = |name: &str| {
        let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let mut named = pairs.filter(|(n, _)| n.trim() == name);
        named.next()?.1.trim().parse::<f64>().ok().filter(|v| v.is_finite())
    };
    let (share_left, rate) = (value("x0")?.clamp(0.0, 1.0), value("x1")?.clamp(0.0, MAX_CALLS_PER_SECOND));
    Some(LimitReport { share_left, rate })
}

#[cfg(test)]
#[path = "response_head_tests.rs"]
mod tests;
