//! Events that other tasks report to the node, and the channel through which they do so. Modules that report
//! events depend on this module, never on the node.

use crate::connection::HttpConnection;
use crate::message::Message;
use crate::report_client::ReportEnd;
use hatchline::discovery::list::ServerList;
use hatchline::{ClientId, LimitReport, Outcome, TargetId};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Stage of the process between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleStage {
    Serving,
    /// Told to end: each response closes its connection.
    Draining,
    /// As `Draining`, but a successor accepts the new connections.
    HandedOver,
    /// Nothing is accepted any more, and idle connections are closed.
    Closing,
}

impl LifecycleStage {
    /// Whether this process accepts new connections.
    pub fn accepts(self) -> bool {
        matches!(self, LifecycleStage::Serving | LifecycleStage::Draining)
    }
}

/// The node's response to a submitted message.
pub(crate) enum SubmitResponse {
    /// The message is accepted once something of the response has been written, and nothing more of it will be.
    Accepted(ResponseGuard),
    /// The message is refused, with this Retry-After; 0 for none.
    Refused { retry_in_ms: u64 },
    /// The request has come before, and its message has been delivered.
    Delivered,
    /// The request has come before, and its message has failed.
    Failed,
}

/// Reports to the node, when dropped, whether something of the client's response has been written: it is binding then,
/// since the client may know what it says.
pub(crate) struct ResponseGuard {
    /// Number of the message.
    number: u64,
    events: EventSender,
    pub written: bool,
}

impl ResponseGuard {
    pub fn new(number: u64, events: EventSender) -> ResponseGuard {
        ResponseGuard { number, events, written: false }
    }

    pub fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.events.send(NodeEvent::ResponseEnded { number: self.number, written: self.written });
    }
}

/// An event that the node handles. Messages are identified by `number`, their number in the order of arrival.
pub(crate) enum NodeEvent {
    /// A client submits a message.
    Submit {
        message: Arc<Message>,
        /// The connection on which it arrived.
        client: ClientId,
        reply: oneshot::Sender<SubmitResponse>,
    },
    /// The response that accepts a message has been written, in part at least, or the client disconnected first.
    ResponseEnded {
        number: u64,
        written: bool,
    },
    /// A message of this class was refused before it was submitted, since its request had waited too long to
    /// be read.
    RefusedLate {
        class: usize,
    },
    /// A connection was refused, since no client connection was free.
    ConnectionRefused,
    /// A client connection was closed since its client had left a response unread for too long.
    ResponseUnread,
    CallEnded(CallEnd),
    /// An endpoint list from discovery.
    List {
        list: ServerList,
        /// Dropped once the list is in force and outlasts the process.
        handled: oneshot::Sender<()>,
    },
    /// Discovery has acknowledged or refused a report.
    ReportEnded(ReportEnd),
    /// The address of discovery has changed.
    DiscoveryAddress(SocketAddr),
    /// The connection of a call is established: asks whether the call may still be sent.
    Connected {
        number: u64,
        attempt: u32,
        target: TargetId,
        proceed: oneshot::Sender<bool>,
    },
    /// A message of this class has been written whole to an endpoint.
    MessageWritten {
        class: usize,
    },
    Admin {
        request: AdminRequest,
        reply: oneshot::Sender<AdminResponse>,
    },
    /// Another process asks to take over.
    Successor(UnixStream),
    Terminate,
}

/// Sends events to the node. The queue itself is unbounded, but each connection and each call has at most a
/// few events pending, and connections and calls are bounded.
#[derive(Clone)]
pub(crate) struct EventSender(UnboundedSender<NodeEvent>);

impl EventSender {
    pub fn send(&self, event: NodeEvent) {
        // The receiver is dropped only when the process exits.
        let _ = self.0.send(event);
    }
}

/// Creates the channel through which a node receives its events.
pub(crate) fn channel() -> (EventSender, UnboundedReceiver<NodeEvent>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (EventSender(sender), receiver)
}

/// The end of a call.
#[derive(Debug)]
pub(crate) struct CallEnd {
    /// Number of the message.
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub started_at: Instant,
    pub outcome: Outcome,
    /// The response completes the message: no further attempt is needed.
    pub completes_message: bool,
    /// How long the connection had been idle before the call; `None` for a new connection.
    pub idle_for: Option<Duration>,
    /// The destination has asked for no calls before this time.
    pub wait_until: Option<Instant>,
    pub limit_report: Option<LimitReport>,
    /// The status of the response arrived, the rest of it did not.
    pub response_truncated: bool,
    /// The connection generation of the endpoint when the call began.
    pub generation: u32,
    /// The connection, if it can be reused.
    pub connection: Option<HttpConnection>,
}

impl CallEnd {
    /// A call that begins and ends now, with the other fields empty.
    pub fn new(
        number: u64, attempt: u32, target: TargetId, outcome: Outcome, completes_message: bool,
    ) -> CallEnd {
        let started_at = Instant::now();
        let (idle_for, wait_until, limit_report, response_truncated, generation, connection) =
            (None, None, None, false, 0, None);
        CallEnd {
            number,
            attempt,
            target,
            started_at,
            outcome,
            completes_message,
            idle_for,
            wait_until,
            limit_report,
            response_truncated,
            generation,
            connection,
        }
    }
}

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminRequest {
    /// Whether this process accepts clients.
    Ready,
    Metrics,
    /// Disable the endpoint of this name.
    Disable(String),
    /// Enable the endpoint of this name.
    Enable(String),
}

/// Response to an operator.
#[derive(Debug)]
pub(crate) struct AdminResponse {
    pub status: StatusCode,
    /// Whole lines, or empty.
    pub text: String,
}

impl AdminResponse {
    pub fn new(status: StatusCode, text: impl Into<String>) -> AdminResponse {
        AdminResponse { status, text: text.into() }
    }
}
