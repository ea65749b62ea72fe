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

/// Identifies the connection on which a request arrived.
pub type ClientId = u64;

/// Client of requests that a restart restored, or that another process received.
pub const UNKNOWN_CLIENT: ClientId = 0;

/// A request whose message has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedRequest {
    /// The connection on which it arrived.
    pub client: ClientId,
    /// Its message.
    pub message: MessageId,
    /// Until when its message could be delivered.
    pub deadline: Micros,
    /// How it has ended.
    pub end: RequestEnd,
}

impl EndedRequest {
    fn remembered_until(&self) -> Micros {
        self.deadline.saturating_add(RETENTION_AFTER_DEADLINE)
    }
}

#[derive(Clone, Copy, Debug)]
enum Entry {
    Held(MessageId),
    Ended(EndedRequest),
}

/// Ended requests in the order in which they are forgotten.
type ForgetOrder = BTreeSet<(Micros, MessageId, Arc<str>)>;

/// The ended requests of one client.
#[derive(Debug, Default)]
struct ClientRequests {
    order: ForgetOrder,
    bytes: usize,
}

/// The requests by their ids: all that are held, and of those that have ended as many as fit. Where they do not, the client
/// with most of them loses its own.
#[derive(Debug)]
pub struct RequestHistory {
    entries: BTreeMap<Arc<str>, Entry>,
    /// All ended requests.
    order: ForgetOrder,
    by_client: BTreeMap<ClientId, ClientRequests>,
    /// Clients by the bytes of their ended requests.
    by_bytes: BTreeSet<(usize, ClientId)>,
    ended_bytes: usize,
    max_ended_bytes: usize,
}

fn entry_bytes(id: &str) -> usize {
    id.len() + ENTRY_BYTES
}

impl RequestHistory {
    /// An empty history, which keeps ended requests in at most this many bytes.
    pub fn new(max_ended_bytes: usize) -> RequestHistory {
        RequestHistory {
            entries: BTreeMap::new(),
            order: ForgetOrder::new(),
            by_client: BTreeMap::new(),
            by_bytes: BTreeSet::new(),
            ended_bytes: 0,
            max_ended_bytes,
        }
    }

    /// What is known of the request with this id.
    pub fn previous(&self, id: &str) -> Option<PreviousRequest> {
        Some(match self.entries.get(id)? {
            Entry::Held(message) => PreviousRequest::Held(*message),
            Entry::Ended(ended) => PreviousRequest::Ended(ended.end),
        })
    }

    /// Whether it is remembered how the request of this message has ended.
    pub fn remembers_end(&self, id: &str, message: MessageId) -> bool {
        matches!(self.entries.get(id), Some(Entry::Ended(ended)) if ended.message == message)
    }

    /// Adds a request whose message is held from now on.
    pub fn hold(&mut self, id: &str, message: MessageId) {
        self.forget(id);
        self.entries.insert(id.into(), Entry::Held(message));
    }

    /// Records how a request has ended. Returns the messages whose requests are forgotten for it.
    pub fn end(&mut self, id: &str, ended: EndedRequest) -> Vec<MessageId> {
        let replaced = match self.entries.get(id) {
            Some(Entry::Ended(previous)) if previous.message != ended.message => Some(previous.message),
            _ => None,
        };
        self.forget(id);
        let id: Arc<str> = id.into();
        let place = (ended.remembered_until(), ended.message, id.clone());
        self.order.insert(place.clone());
        self.change_client(ended.client, |client| {
            client.bytes += entry_bytes(&id);
            client.order.insert(place);
        });
        self.ended_bytes += entry_bytes(&id);
        self.entries.insert(id, Entry::Ended(ended));
        let mut forgotten = Vec::from_iter(replaced);
        while self.ended_bytes > self.max_ended_bytes {
            let Some((message, id)) = self.first_of_largest_client() else { break };
            self.forget(&id);
            forgotten.push(message);
        }
        forgotten
    }

    /// Removes a request that has no effect, as if it had never come.
    pub fn forget(&mut self, id: &str) {
        let Some((id, entry)) = self.entries.remove_entry(id) else { return };
        let Entry::Ended(ended) = entry else { return };
        let bytes = entry_bytes(&id);
        let place = (ended.remembered_until(), ended.message, id);
        self.order.remove(&place);
        self.change_client(ended.client, |client| {
            client.bytes -= bytes;
            client.order.remove(&place);
        });
        self.ended_bytes -= bytes;
    }

    /// Forgets the ended requests whose time is over. Returns their messages.
    pub fn expire(&mut self, now: Micros) -> Vec<MessageId> {
        let mut forgotten = Vec::new();
        while let Some((until, message, id)) = self.order.first().cloned() {
            if until > now {
                break;
            }
            self.forget(&id);
            forgotten.push(message);
        }
        forgotten
    }

    /// The request of the client with most of them that is forgotten first.
    fn first_of_largest_client(&self) -> Option<(MessageId, Arc<str>)> {
        let (_, client) = self.by_bytes.last()?;
        let (_, message, id) = self.by_client.get(client)?.order.first()?;
        Some((*message, id.clone()))
    }

    /// Changes the ended requests of a client, and keeps its place by their bytes.
    fn change_client(&mut self, id: ClientId, change: impl FnOnce(&mut ClientRequests)) {
        let client = self.by_client.entry(id).or_default();
        self.by_bytes.remove(&(client.bytes, id));
        change(client);
        if client.order.is_empty() {
            self.by_client.remove(&id);
        } else {
            self.by_bytes.insert((client.bytes, id));
        }
    }
}

#[cfg(test)]
#[path = "request_history_tests.rs"]
mod tests;
