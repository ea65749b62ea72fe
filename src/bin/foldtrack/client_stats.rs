//! Counts why client connections were closed and why requests were rejected before they reached the node. The first
//! rejections of an interval are logged one by one.

use hatchline::ClientId;
use hyper::StatusCode;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Log lines on single rejections and invalid requests per interval.
const MAX_LINES: u32 = 10;

/// Why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// The client closed it, or it ended after a response that said so.
    Finished,
    /// What the client sent is not HTTP or exceeds a limit.
    InvalidRequest,
    /// The client disconnected within a request or a response.
    Disconnected,
    /// No whole request head arrived in time.
    NoRequest,
    /// It was idle for as long as idle connections are kept.
    Idle,
    /// It made room for another connection.
    Evicted,
    /// The client left a response unread.
    ResponseUnread,
    /// The client had disconnected before its request was read.
    ClientGone,
    /// The process is terminating.
    Terminating,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            CloseReason::Finished => "finished",
            CloseReason::InvalidRequest => "invalid request",
            CloseReason::Disconnected => "disconnected",
            CloseReason::NoRequest => "no request",
            CloseReason::Idle => "idle",
            CloseReason::Evicted => "evicted",
            CloseReason::ResponseUnread => "response unread",
            CloseReason::ClientGone => "client gone",
            CloseReason::Terminating => "terminating",
        }
    }
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ClientTotals {
    /// Requests that arrived before the last one on their connection was answered.
    pub pipelined: u64,
    /// Requests of which something was read, and whose connection this process closed with no answer.
    pub cut_off: u64,
    /// Bytes that were read behind the last response of a connection, while it was being closed.
    pub discarded_bytes: u64,
}

#[derive(Debug, Default)]
struct Counts {
    closes: BTreeMap<CloseReason, u32>,
    rejections: BTreeMap<u16, u32>,
    lines: u32,
    totals: ClientTotals,
    /// The totals at the end of the last interval.
    last_totals: ClientTotals,
}

/// The counts of the current interval, shared by all client connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientStats(Arc<Mutex<Counts>>);

impl ClientStats {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        // After a panic elsewhere at worst one count is missing.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a closed connection.
    pub fn record_close(&self, reason: CloseReason) {
        *self.counts().closes.entry(reason).or_default() += 1;
    }

    /// Counts a connection on which the HTTP library has failed.
    pub fn record_error(&self, reason: CloseReason, error: &hyper::Error) {
        self.record_close(reason);
        if self.takes_line() {
            log::info!("clients: connection closed: {error}");
        }
    }

    /// Counts a request that is rejected with this status. Its id is logged if it has one.
    pub fn record_rejection(&self, status: StatusCode, id: Option<&str>) {
        *self.counts().rejections.entry(status.as_u16()).or_default() += 1;
        if self.takes_line() {
            log::info!("request {}: rejected with {status}", id.unwrap_or("without id"));
        }
    }

    fn takes_line(&self) -> bool {
        let mut counts = self.counts();
        counts.lines += 1;
        counts.lines <= MAX_LINES
    }

    /// Counts requests that arrived before the last one on their connection was answered.
    pub fn record_pipelined(&self, requests: u64) {
        self.counts().totals.pipelined += requests;
    }

    /// Counts requests of which something was read, and whose connection this process closes with no answer.
    pub fn record_cut_off(&self, requests: u64, connection: ClientId, reason: CloseReason) {
        self.counts().totals.cut_off += requests;
        if self.takes_line() {
            log::warn!(
                "clients: connection {connection} closed ({}) with {requests} requests unanswered",
                reason.name()
            );
        }
    }

    /// Counts bytes that were read while a connection was being closed.
    pub fn record_discarded(&self, bytes: usize, connection: ClientId, reason: CloseReason) {
        self.counts().totals.discarded_bytes += bytes as u64;
        if self.takes_line() {
            log::info!(
                "clients: connection {connection} closed ({}): {bytes} bytes discarded",
                reason.name()
            );
        }
    }

    /// The counters since the start of the process.
    pub fn totals(&self) -> ClientTotals {
        self.counts().totals
    }

    /// Renders the counts of the interval and resets them; empty if nothing has been counted.
    pub fn take_text(&self) -> String {
        let mut counts = self.counts();
        let (totals, last_totals) = (counts.totals, counts.last_totals);
        let Counts { closes, rejections, .. } =
            std::mem::replace(&mut *counts, Counts { totals, last_totals: totals, ..Counts::default() });
        drop(counts);
        let mut text = String::new();
        if !closes.is_empty() {
            text.push_str("; connections closed:");
            for (reason, count) in closes {
                let _ = write!(text, " {} {count},", reason.name());
            }
        }
        if !rejections.is_empty() {
            text.push_str("; requests rejected:");
            for (status, count) in rejections {
                let _ = write!(text, " {status} {count},");
            }
        }
        for (name, now, before) in [
            ("requests pipelined", totals.pipelined, last_totals.pipelined),
            ("requests cut off", totals.cut_off, last_totals.cut_off),
            ("bytes discarded", totals.discarded_bytes, last_totals.discarded_bytes),
        ] {
            if now > before {
                let _ = write!(text, "; {name} {}", now - before);
            }
        }
        text
    }
}

#[cfg(test)]
#[path = "client_stats_tests.rs"]
mod tests;
