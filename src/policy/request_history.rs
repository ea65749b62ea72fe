//! What has become of the requests that clients have submitted lately, by their ids. A client that gets no answer sends
//! its request once more on a new connection: one that comes again is answered by the first, and is not sent twice.

use crate::interface::{MessageId, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How long a request is remembered beyond its deadline. A client repeats it as soon as its connection ends, with the
/// time to the deadline that it had at first.
const RETENTION_AFTER_DEADLINE: Micros = 5_000_000;
/// Memory of an entry besides the id itself.
const ENTRY_BYTES: usize = 64;

/// How a request has ended, as a client that repeats it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestEnd {
    /// Its message has been delivered.
    Delivered,
    /// It has been handed back: to submit it again is harmless, after this wait; 0 for none.
    HandedBack {
        /// The wait in milliseconds.
        retry_in_ms: u64,
    },
    /// It has failed, and may have run.
    GivenUp,
}

/// What is known of a request that has come before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreviousRequest {
    /// Its message has not ended yet.
    Held(MessageId),
    /// Its message has ended.
    Ended(RequestEnd),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    message: MessageId,
    /// How it has ended, and until when that is remembered.
    ended: Option<(RequestEnd, Micros)>,
}

/// The requests by their ids: all that are held, and of those that have ended as many as fit.
#[derive(Debug)]
pub struct RequestHistory {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Ended requests in the order in which they are forgotten.
    ended: BTreeSet<(Micros, MessageId, Arc<str>)>,
    ended_bytes: usize,
    max_ended_bytes: usize,
}

fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_BYTES
}

impl RequestHistory {
    /// An empty history, which keeps ended requests in at most this many bytes.
    pub fn new(max_ended_bytes: usize) -> RequestHistory {
        RequestHistory { entries: BTreeMap::new(), ended: BTreeSet::new(), ended_bytes: 0, max_ended_bytes }
    }

    /// What is known of the request with this id.
    pub fn previous(&self, id: &str) -> Option<PreviousRequest> {
        let entry = self.entries.get(id)?;
        Some(entry.ended.map_or(PreviousRequest::Held(entry.message), |(end, _)| PreviousRequest::Ended(end)))
    }

    /// Adds a request whose message is held from now on.
    pub fn hold(&mut self, id: &str, message: MessageId) {
        self.forget(id);
        self.entries.insert(id.into(), Entry { message, ended: None });
    }

    /// Records how a request has ended. Returns the messages that are forgotten for it, those of the earliest deadlines.
    pub fn end(&mut self, id: &str, message: MessageId, deadline: Micros, end: RequestEnd) -> Vec<MessageId> {
        self.forget(id);
        let (id, until): (Arc<str>, _) = (id.into(), deadline.saturating_add(RETENTION_AFTER_DEADLINE));
        self.entries.insert(id.clone(), Entry { message, ended: Some((end, until)) });
        self.ended_bytes += entry_bytes(&id);
        self.ended.insert((until, message, id));
        let mut forgotten = Vec::new();
        while self.ended_bytes > self.max_ended_bytes {
            forgotten.extend(self.forget_first());
        }
        forgotten
    }

    /// Removes a request that has no effect, as if it had never come.
    pub fn forget(&mut self, id: &str) {
        let Some((id, entry)) = self.entries.remove_entry(id) else { return };
        if let Some((_, until)) = entry.ended {
            self.ended_bytes -= entry_bytes(&id);
            self.ended.remove(&(until, entry.message, id));
        }
    }

    /// Forgets the ended requests whose time is over. Returns their messages.
    pub fn expire(&mut self, now: Micros) -> Vec<MessageId> {
        let mut forgotten = Vec::new();
        while self.ended.first().is_some_and(|(until, ..)| *until <= now) {
            forgotten.extend(self.forget_first());
        }
        forgotten
    }

    fn forget_first(&mut self) -> Option<MessageId> {
        let (_, message, id) = self.ended.pop_first()?;
        self.ended_bytes -= entry_bytes(&id);
        self.entries.remove(&id);
        Some(message)
    }
}

#[cfg(test)]
#[path = "request_history_tests.rs"]
mod tests;
