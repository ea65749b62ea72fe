//! The interval log line, written at most once a second: how messages and calls have ended since the last
//! one, how much is held and in flight, and how far the event loop and the notices lag behind.

use crate::memory_usage::MemoryUsage;
use crate::write_ahead_log::NonDeliveryNotice;
use hatchline::{Micros, Outcome};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Log lines on single undelivered messages per interval.
const MAX_UNDELIVERED_LINES: u32 = 10;
/// Log lines on single refused messages, and on single failed attempts, per interval.
const MAX_REFUSAL_LINES: u32 = 10;
const MAX_ATTEMPT_LINES: u32 = 10;

/// Number of outcomes that are counted apart.
const OUTCOME_COUNT: usize = 9;

/// Counters since the last interval log line.
#[derive(Debug, Default)]
pub(crate) struct IntervalStats {
    pub accepted: u32,
    refused: u32,
    failed_attempts: u32,
    /// Requests that came again and were answered as before.
    pub repeated_requests: u32,
    /// Refused before the policy decided, since their requests had waited too long to be read.
    pub refused_late: u32,
    handed_back: u32,
    given_up: u32,
    /// Clients that disconnected before their response was written.
    clients_gone: u32,
    /// Connections refused since no client connection was free.
    pub connections_refused: u32,
    /// Client connections closed since a response stayed unread.
    pub closed_unread: u32,
    /// Calls by outcome, in the order of [`outcome_index`].
    calls_by_outcome: [u32; OUTCOME_COUNT],
    /// Responses whose status arrived, but whose rest did not.
    pub truncated_responses: u32,
    /// Total time for which the calls of each outcome held their slots.
    call_time_by_outcome: [Duration; OUTCOME_COUNT],
    /// Resets on connections that had been idle, the shortest idle time among these, and the longest idle
    /// time after which a call succeeded.
    stale_resets: u32,
    shortest_stale_idle: Option<Duration>,
    longest_safe_idle: Duration,
    pub connections_opened: u32,
    /// Longest time that one round took.
    pub longest_round: Micros,
}

/// Why a submitted message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalReason {
    /// As many messages are held as the settings allow.
    TooManyHeld,
    /// The write-ahead log has no space left for it.
    NoLogSpace,
    /// It could not be written to the write-ahead log.
    LogFailed,
    /// The policy refused it.
    Policy,
}

impl RefusalReason {
    fn text(self) -> &'static str {
        match self {
            RefusalReason::TooManyHeld => "too many messages are held",
            RefusalReason::NoLogSpace => "no space in the write-ahead log",
            RefusalReason::LogFailed => "it cannot be recorded",
            RefusalReason::Policy => "by the policy",
        }
    }
}

/// What has become of the restored messages that had no attempt yet and whose deadlines had not passed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecoveryStats {
    /// When the restart was, and the first message number assigned after it.
    recovered_at: Micros,
    first_new_number: u64,
    /// Number of these messages.
    untried: u32,
    /// Those of them that ended undelivered without an attempt.
    given_up_untried: u32,
}

impl RecoveryStats {
    pub fn new(first_new_number: u64, recovered_at: Micros) -> RecoveryStats {
        RecoveryStats { recovered_at, first_new_number, untried: 0, given_up_untried: 0 }
    }

    /// Counts a restored message if its deadline is not over and it was not attempted.
    pub fn record_restored(&mut self, expires: Micros, attempts: u32) {
        self.untried += u32::from(expires > self.recovered_at && attempts == 0);
    }

    /// Counts the undelivered end of such a message.
    pub fn record_undelivered(&mut self, number: u64, expires: Micros, attempts: u32) {
        self.given_up_untried +=
            u32::from(number < self.first_new_number && expires > self.recovered_at && attempts == 0);
    }
}

/// Values at the time when the line is written.
pub(crate) struct Gauges {
    pub recovery: RecoveryStats,
    pub held_messages: usize,
    pub pending_sends: usize,
    pub calls_in_flight: usize,
    pub idle_connections: usize,
    pub pending_notices: usize,
    pub event_loop_lag: Duration,
    pub client_connections: usize,
    /// Responses that wait for their clients to read.
    pub unread_responses: usize,
    /// How long no client connection has been free.
    pub no_free_connection_for: Duration,
    pub memory: MemoryUsage,
    /// Memory that the process may take up, in bytes.
    pub memory_limit: u64,
    /// Memory of request bodies that are being received, in bytes.
    pub body_bytes: usize,
    /// What [`ClientStats`](crate::client_stats::ClientStats) has counted, as text.
    pub client_stats: String,
}

/// Outcomes as named in the line, in the order of [`outcome_index`].
const OUTCOME_NAMES: [&str; OUTCOME_COUNT] = [
    "ok",
    "error",
    "full",
    "timed out",
    "no connection",
    "reset",
    "cancelled",
    "not sent",
    "too many connections",
];

fn outcome_index(outcome: Outcome) -> usize {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Error => 1,
        Outcome::Rejected => 2,
        Outcome::TimedOut => 3,
        Outcome::ConnectFailed => 4,
        Outcome::Reset => 5,
        Outcome::Cancelled => 6,
        Outcome::NotSent => 7,
        Outcome::TooManyConnections => 8,
    }
}

impl IntervalStats {
    /// Counts a call that has ended; `idle_for` tells how long its reused connection had been idle.
    pub fn record_call(&mut self, outcome: Outcome, took: Duration, idle_for: Option<Duration>) {
        self.calls_by_outcome[outcome_index(outcome)] += 1;
        self.call_time_by_outcome[outcome_index(outcome)] += took;
        let Some(idle_time) = idle_for else { return };
        match outcome {
            Outcome::Reset => {
                self.stale_resets += 1;
                self.shortest_stale_idle =
                    Some(self.shortest_stale_idle.map_or(idle_time, |shortest| shortest.min(idle_time)));
            }
            Outcome::Ok => self.longest_safe_idle = self.longest_safe_idle.max(idle_time),
            _ => {}
        }
    }

    /// Counts a response that could not be written. Returns a log line for it, up to [`MAX_REFUSAL_LINES`] per interval.
    pub fn record_unwritten_response(&mut self, id: &str) -> Option<String> {
        self.clients_gone += 1;
        let below_limit = self.clients_gone <= MAX_REFUSAL_LINES;
        below_limit.then(|| format!("message {id}: its client disconnected before the response was written"))
    }

    /// Counts a message that is refused when submitted. Returns a log line for it, up to [`MAX_REFUSAL_LINES`] per
    /// interval.
    pub fn record_refusal(&mut self, id: &str, reason: RefusalReason) -> Option<String> {
        self.refused += 1;
        let below_limit = self.refused <= MAX_REFUSAL_LINES;
        below_limit.then(|| format!("message {id}: refused: {}", reason.text()))
    }

    /// A log line on an attempt that did not deliver its message, up to [`MAX_ATTEMPT_LINES`] per interval.
    pub fn failed_attempt_line(
        &mut self, id: &str, attempt: u32, endpoint: SocketAddr, outcome: Outcome,
    ) -> Option<String> {
        self.failed_attempts += 1;
        let below_limit = self.failed_attempts <= MAX_ATTEMPT_LINES;
        let outcome = OUTCOME_NAMES[outcome_index(outcome)];
        below_limit.then(|| format!("message {id}: attempt {} at {endpoint}: {outcome}", attempt + 1))
    }

    /// Counts an accepted message that ends by a notice; `left` is the time to its deadline in microseconds,
    /// negative after the deadline. Returns a log line for it, up to [`MAX_UNDELIVERED_LINES`] per interval.
    pub fn record_undelivered(
        &mut self, id: &str, notice: NonDeliveryNotice, attempts: u32, left: i64,
    ) -> Option<String> {
        let result = match notice {
            NonDeliveryNotice::GivenUp => "given up",
            NonDeliveryNotice::HandedBack { .. } => "handed back",
        };
        match notice {
            NonDeliveryNotice::GivenUp => self.given_up += 1,
            NonDeliveryNotice::HandedBack { .. } => self.handed_back += 1,
        }
        let below_limit = self.given_up + self.handed_back <= MAX_UNDELIVERED_LINES;
        below_limit
            .then(|| format!("message {id}: {result} after {attempts} attempts, {left} us before its time"))
    }

    /// Renders the line and resets the counters. Returns nothing for an idle interval.
    pub fn take_line(&mut self, gauges: &Gauges) -> Option<String> {
        let stats = std::mem::take(self);
        let idle = stats.accepted
            + stats.refused
            + stats.refused_late
            + stats.handed_back
            + stats.given_up
            + stats.closed_unread
            + stats.connections_refused
            + stats.repeated_requests
            + stats.calls_by_outcome.iter().sum::<u32>()
            == 0;
        let nothing_waits = gauges.held_messages == 0
            && gauges.pending_notices == 0
            && gauges.unread_responses == 0
            && gauges.no_free_connection_for.is_zero()
            && gauges.client_stats.is_empty();
        if idle && nothing_waits {
            return None;
        }
        let mut text = format!(
            "taken {} refused {} turned away {} gone {}; handed back {} given up {}; calls",
            stats.accepted,
            stats.refused,
            stats.refused_late,
            stats.clients_gone,
            stats.handed_back,
            stats.given_up
        );
        for (i, name) in OUTCOME_NAMES.iter().enumerate().filter(|(i, _)| stats.calls_by_outcome[*i] > 0) {
            let _ = write!(
                text,
                " {name} {} ({} ms),",
                stats.calls_by_outcome[i],
                stats.call_time_by_outcome[i].as_millis()
            );
        }
        let _ = write!(
            text,
            " cut short {}, dialled {}, stale {} (idle for {:?} or more, sound to {:?}); held {} waiting {} calls out {} \
             idle connections {} notices {}; of {} found untried at the start {} given up with no call; longest round {} us, turn of the last second {} us; clients {}, of them {} read no response, closed for that {}, none free for {} ms, refused for that {}; memory {} KB, at most {} of {} KB, bodies {} KB; requests repeated {}{}",
            stats.truncated_responses,
            stats.connections_opened,
            stats.stale_resets,
            stats.shortest_stale_idle.unwrap_or_default(),
            stats.longest_safe_idle,
            gauges.held_messages,
            gauges.pending_sends,
            gauges.calls_in_flight,
            gauges.idle_connections,
            gauges.pending_notices,
            gauges.recovery.untried,
            gauges.recovery.given_up_untried,
            stats.longest_round,
            gauges.event_loop_lag.as_micros(),
            gauges.client_connections,
            gauges.unread_responses,
            stats.closed_unread,
            gauges.no_free_connection_for.as_millis(),
            stats.connections_refused,
            gauges.memory.resident / 1000,
            gauges.memory.peak / 1000,
            gauges.memory_limit / 1000,
            gauges.body_bytes / 1000,
            stats.repeated_requests,
            gauges.client_stats
        );
        Some(text)
    }
}

#[cfg(test)]
#[path = "interval_stats_tests.rs"]
mod tests;
