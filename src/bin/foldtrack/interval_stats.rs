//! The interval log line, written at most once a second: how messages and calls have ended since the last
//! one, how much is held and in flight, and how far the event loop and the notices lag behind.

use crate::write_ahead_log::NonDeliveryNotice;
use hatchline::{Micros, Outcome};
use std::fmt::Write;
use std::time::Duration;

/// Log lines on single undelivered messages per interval.
const MAX_UNDELIVERED_LINES: u32 = 10;

/// Number of outcomes that are counted apart.
const OUTCOME_COUNT: usize = 9;

/// Counters since the last interval log line.
#[derive(Debug, Default)]
pub(crate) struct IntervalStats {
    pub accepted: u32,
    pub refused: u32,
    /// Refused before the policy decided, since their requests had waited too long to be read.
    pub refused_late: u32,
    handed_back: u32,
    given_up: u32,
    /// Clients that disconnected before their response was written.
    pub clients_gone: u32,
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
            + stats.calls_by_outcome.iter().sum::<u32>()
            == 0;
        let nothing_waits = gauges.held_messages == 0
            && gauges.pending_notices == 0
            && gauges.unread_responses == 0
            && gauges.no_free_connection_for.is_zero();
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
             idle connections {} notices {}; of {} found untried at the start {} given up with no call; longest round {} us, turn of the last second {} us; clients {}, of them {} read no response, closed for that {}, none free for {} ms, refused for that {}",
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
            stats.connections_refused
        );
        Some(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn line_covers_one_interval_and_is_omitted_when_idle() {
        let quiet = Gauges {
            recovery: RecoveryStats::default(),
            held_messages: 0,
            pending_sends: 0,
            calls_in_flight: 0,
            idle_connections: 3,
            pending_notices: 0,
            event_loop_lag: Duration::ZERO,
            client_connections: 0,
            unread_responses: 0,
            no_free_connection_for: Duration::ZERO,
        };
        let mut interval_stats = IntervalStats { accepted: 2, ..IntervalStats::default() };
        interval_stats.record_call(Outcome::Reset, Duration::from_millis(30), None);
        interval_stats.record_call(
            Outcome::Reset,
            Duration::from_millis(5),
            Some(Duration::from_millis(700)),
        );
        let line = interval_stats.take_line(&quiet).expect("something happened");
        assert!(
            line.contains("taken 2")
                && line.contains("reset 2 (35 ms),")
                && line.contains("stale 1 (idle for 700ms")
                && !line.contains("ok "),
            "{line}"
        );
        assert_eq!(interval_stats.take_line(&quiet), None);
        let stuck = Gauges { held_messages: 1, ..quiet };
        assert!(interval_stats.take_line(&stuck).is_some_and(|l| l.contains("held 1")));
        let exhausted = Gauges { no_free_connection_for: Duration::from_millis(300), ..quiet };
        let line = interval_stats.take_line(&exhausted);
        assert!(line.is_some_and(|l| l.contains("none free for 300 ms")), "new clients are kept out");
    }

    #[test]
    fn undelivered_messages_are_logged_up_to_a_limit() {
        let mut interval_stats = IntervalStats::default();
        let lines: Vec<_> = (0..50)
            .filter_map(|_| interval_stats.record_undelivered("m1", NonDeliveryNotice::GivenUp, 2, 3_000))
            .collect();
        assert_eq!(lines.len(), MAX_UNDELIVERED_LINES as usize);
        assert_eq!(lines[0], "message m1: given up after 2 attempts, 3000 us before its time");
        let quiet = Gauges {
            recovery: RecoveryStats::default(),
            held_messages: 0,
            pending_sends: 0,
            calls_in_flight: 0,
            idle_connections: 0,
            pending_notices: 0,
            event_loop_lag: Duration::ZERO,
            client_connections: 0,
            unread_responses: 0,
            no_free_connection_for: Duration::ZERO,
        };
        let line = interval_stats.take_line(&quiet);
        assert!(line.is_some_and(|l| l.contains("given up 50")));
        assert!(interval_stats
            .record_undelivered("m2", NonDeliveryNotice::HandedBack { retry_in_ms: 0 }, 0, 0)
            .is_some());
    }
}
