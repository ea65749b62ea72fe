//! What the forwarder has done of late, in one line of the log a second at most: where the slots and the room
//! are, how calls ended, and how far behind the loop and the notices are.

use crate::write_ahead_log::NonDeliveryNotice;
use hatchline::{Micros, Outcome};
use std::fmt::Write;
use std::time::Duration;

/// Lines on single messages between two of the lines a second.
const UNDELIVERED_LINES: u32 = 10;

/// Counts since the last line.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub taken: u32,
    pub refused: u32,
    /// Refused for want of time, before they were decided on.
    pub turned_away: u32,
    handed_back: u32,
    given_up: u32,
    /// Clients that went before their answer was written.
    pub gone: u32,
    /// Calls by their outcome, and for how long they held their slots.
    ended: [u32; 9],
    /// Answers that told their outcome, but did not come to their end.
    pub cut_short: u32,
    busy: [Duration; 9],
    /// Resets of connections that had stood idle, the shortest such span, and the longest that did no harm.
    stale: u32,
    stale_from: Option<Duration>,
    sound_to: Duration,
    pub dialled: u32,
    /// Longest time that one round took.
    pub longest_round: Micros,
}

/// What a restart found taken on and untried, its time not over: it is still to be tried.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Untried {
    /// When that was; numbers below are from before.
    at: Micros,
    below: u64,
    found: u32,
    /// Given up without a call.
    lost: u32,
}

impl Untried {
    pub fn before(below: u64, at: Micros) -> Untried {
        Untried { at, below, found: 0, lost: 0 }
    }

    /// A message was found whose time lasts until then, after so many attempts.
    pub fn found(&mut self, expires: Micros, attempts: u32) {
        self.found += u32::from(expires > self.at && attempts == 0);
    }

    /// A message ends undelivered.
    pub fn ended(&mut self, number: u64, expires: Micros, attempts: u32) {
        self.lost += u32::from(number < self.below && expires > self.at && attempts == 0);
    }
}

/// Where things stand when the line is written.
pub(crate) struct Standing {
    pub untried: Untried,
    pub held: usize,
    pub waiting: usize,
    pub calls: usize,
    pub idle: usize,
    pub notices: usize,
    pub lag: Duration,
}

const NAMES: [&str; 9] = [
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

fn place(outcome: Outcome) -> usize {
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

impl Tally {
    pub fn ended(&mut self, outcome: Outcome, took: Duration, idle_for: Option<Duration>) {
        self.ended[place(outcome)] += 1;
        self.busy[place(outcome)] += took;
        let Some(span) = idle_for else { return };
        match outcome {
            Outcome::Reset => {
                self.stale += 1;
                self.stale_from = Some(self.stale_from.map_or(span, |s| s.min(span)));
            }
            Outcome::Ok => self.sound_to = self.sound_to.max(span),
            _ => {}
        }
    }

    /// A message that was taken on ends by a notice; a line on it, unless there were many of late.
    pub fn undelivered(
        &mut self, id: &str, notice: NonDeliveryNotice, attempts: u32, left: i64,
    ) -> Option<String> {
        let what = match notice {
            NonDeliveryNotice::GivenUp => "given up",
            NonDeliveryNotice::HandedBack { .. } => "handed back",
        };
        match notice {
            NonDeliveryNotice::GivenUp => self.given_up += 1,
            NonDeliveryNotice::HandedBack { .. } => self.handed_back += 1,
        }
        let few = self.given_up + self.handed_back <= UNDELIVERED_LINES;
        few.then(|| format!("message {id}: {what} after {attempts} attempts, {left} us before its time"))
    }

    /// The line, and a fresh count; nothing for a span in which nothing happened.
    pub fn line(&mut self, s: &Standing) -> Option<String> {
        let t = std::mem::take(self);
        let idle =
            t.taken + t.refused + t.turned_away + t.handed_back + t.given_up + t.ended.iter().sum::<u32>()
                == 0;
        if idle && s.held == 0 && s.notices == 0 {
            return None;
        }
        let mut text = format!(
            "taken {} refused {} turned away {} gone {}; handed back {} given up {}; calls",
            t.taken, t.refused, t.turned_away, t.gone, t.handed_back, t.given_up
        );
        for (i, name) in NAMES.iter().enumerate().filter(|(i, _)| t.ended[*i] > 0) {
            let _ = write!(text, " {name} {} ({} ms),", t.ended[i], t.busy[i].as_millis());
        }
        let _ = write!(
            text,
            " cut short {}, dialled {}, stale {} (idle for {:?} or more, sound to {:?}); held {} waiting {} calls out {} \
             idle connections {} notices {}; of {} found untried at the start {} given up with no call; longest round {} us, turn of the last second {} us",
            t.cut_short,
            t.dialled,
            t.stale,
            t.stale_from.unwrap_or_default(),
            t.sound_to,
            s.held,
            s.waiting,
            s.calls,
            s.idle,
            s.notices,
            s.untried.found,
            s.untried.lost,
            t.longest_round,
            s.lag.as_micros()
        );
        Some(text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_what_happened_since_the_last_and_a_quiet_span_has_none() {
        let quiet = Standing {
            untried: Untried::default(),
            held: 0,
            waiting: 0,
            calls: 0,
            idle: 3,
            notices: 0,
            lag: Duration::ZERO,
        };
        let mut tally = Tally { taken: 2, ..Tally::default() };
        tally.ended(Outcome::Reset, Duration::from_millis(30), None);
        tally.ended(Outcome::Reset, Duration::from_millis(5), Some(Duration::from_millis(700)));
        let line = tally.line(&quiet).expect("something happened");
        assert!(
            line.contains("taken 2")
                && line.contains("reset 2 (35 ms),")
                && line.contains("stale 1 (idle for 700ms")
                && !line.contains("ok "),
            "{line}"
        );
        assert_eq!(tally.line(&quiet), None);
        let stuck = Standing { held: 1, ..quiet };
        assert!(tally.line(&stuck).is_some_and(|l| l.contains("held 1")));
    }

    #[test]
    fn messages_that_end_undelivered_have_a_line_each_while_they_are_few() {
        let mut tally = Tally::default();
        let lines: Vec<_> =
            (0..50).filter_map(|_| tally.undelivered("m1", NonDeliveryNotice::GivenUp, 2, 3_000)).collect();
        assert_eq!(lines.len(), UNDELIVERED_LINES as usize);
        assert_eq!(lines[0], "message m1: given up after 2 attempts, 3000 us before its time");
        let quiet = Standing {
            untried: Untried::default(),
            held: 0,
            waiting: 0,
            calls: 0,
            idle: 0,
            notices: 0,
            lag: Duration::ZERO,
        };
        let line = tally.line(&quiet);
        assert!(line.is_some_and(|l| l.contains("given up 50")));
        assert!(tally.undelivered("m2", NonDeliveryNotice::HandedBack { retry_in_ms: 0 }, 0, 0).is_some());
    }
}
