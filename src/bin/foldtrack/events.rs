//! The events that sockets, timers and signals report to the node, and the handles by which they do so. The modules that
//! report events import this one and none imports the node.

use crate::connection::HttpConnection;
use crate::message::Message;
use hatchline::discovery::list::ServerList;
use hatchline::{LimitReport, Outcome, TargetId};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How far the process is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleStage {
    Serving,
    /// Told to end: answers close their connections.
    Draining,
    /// The same, and nothing is accepted any more: a successor does that.
    HandedOver,
    /// Nothing is accepted any more, and idle connections close.
    Closing,
}

impl LifecycleStage {
    /// Whether new connections are accepted.
    pub fn accepts(self) -> bool {
        matches!(self, LifecycleStage::Serving | LifecycleStage::Draining)
    }
}

/// What a client is told.
pub(crate) enum SubmitResponse {
    Accepted(ResponseGuard),
    Refused { retry_in_ms: u64 },
}

/// Tells the node, when it is dropped, whether the client's answer has been written.
pub(crate) struct ResponseGuard {
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

/// What happens to the node.
pub(crate) enum NodeEvent {
    Submit {
        message: Arc<Message>,
        reply: oneshot::Sender<SubmitResponse>,
    },
    ResponseEnded {
        number: u64,
        written: bool,
    },
    /// A message of this class was refused before it was handed in, for want of time.
    RefusedLate {
        class: usize,
    },
    CallEnded(CallEnd),
    List(ServerList),
    /// Notices were taken.
    NoticesAcknowledged {
        numbers: Vec<u64>,
    },
    /// Discovery is found there from now on.
    DiscoveryAddress(SocketAddr),
    /// A call's connection stands: may it be written still?
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
    /// A request to the admin server.
    Admin {
        request: AdminRequest,
        reply: oneshot::Sender<AdminResponse>,
    },
    /// Another process would take over.
    Successor(UnixStream),
    Terminate,
}

/// The way to the node. The queue has no bound of its own: each connection and each call has one input under
/// way, and connections and calls are bounded.
#[derive(Clone)]
pub(crate) struct EventSender(UnboundedSender<NodeEvent>);

impl EventSender {
    pub fn send(&self, input: NodeEvent) {
        // The node is gone only when the process ends.
        let _ = self.0.send(input);
    }
}

/// The channel to a node that is yet to run.
pub(crate) fn channel() -> (EventSender, UnboundedReceiver<NodeEvent>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (EventSender(sender), receiver)
}

/// How a call ended.
#[derive(Debug)]
pub(crate) struct CallEnd {
    pub number: u64,
    pub attempt: u32,
    pub target: TargetId,
    pub started_at: Instant,
    pub outcome: Outcome,
    /// The answer says that nothing is owed for the message any more.
    pub completes_message: bool,
    /// How long its connection had stood idle before, if it did.
    pub idle_for: Option<Duration>,
    /// Nothing is to be sent to the destination until then.
    pub wait_until: Option<Instant>,
    pub limit_report: Option<LimitReport>,
    /// The answer told its outcome and did not come to its end.
    pub response_truncated: bool,
    /// That of the call.
    pub generation: u32,
    /// Fit for the next call.
    pub connection: Option<HttpConnection>,
}

impl CallEnd {
    /// The end of a call that began now and told nothing more.
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

/// What an operator may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AdminRequest {
    /// Whether this process takes clients.
    Ready,
    Metrics,
    /// Exclude the endpoint of this name.
    Disable(String),
    /// Re-admit it.
    Enable(String),
}

/// What the operator is answered.
#[derive(Debug)]
pub(crate) struct AdminResponse {
    pub status: StatusCode,
    /// Text of whole lines, or none.
    pub text: String,
}

impl AdminResponse {
    pub fn new(status: StatusCode, text: impl Into<String>) -> AdminResponse {
        AdminResponse { status, text: text.into() }
    }
}
