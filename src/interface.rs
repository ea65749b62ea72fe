//! The interface of the delivery policy: its settings, the events that it processes and the actions that it
//! requests.
//!
//! A forwarder that embeds [`crate::DeliveryPolicy`] runs a loop: it passes each event to `handle`, calls
//! `decide` after the last event of a moment, and carries out the actions in their order. All times are
//! microseconds of one monotonic clock with an arbitrary start.

use serde::{Deserialize, Serialize};

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// Aim that is assumed where the settings have no class.
const DEFAULT_AIM_MICROS: Micros = 1_000_000;
/// Deadline that is assumed where the settings have no class.
const DEFAULT_DEADLINE_MICROS: Micros = 100_000;
/// A message, numbered by the caller. No number is used twice.
pub type MessageId = u64;
/// An endpoint of a destination, numbered by the caller.
pub type TargetId = u32;
/// A destination: a system of a partner with one or more endpoints, numbered by the caller.
pub type DestinationId = u32;

/// Whether a message of a class may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum RetrySafety {
    /// It may be repeated any number of times.
    #[default]
    Repeatable,
    /// It may be repeated within the deduplication window, in which the destination drops repeats of a key.
    Keyed,
    /// It must never take effect twice.
    Unsafe,
}

/// Which endpoints of a destination drop repeats of a keyed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DeduplicationScope {
    /// All of them.
    #[default]
    All,
    /// Those in the zone of the first attempt that may have been executed.
    Zone,
}

/// How the worth of a message decays once its aim has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WorthDecay {
    /// Linearly, down to the late value at the deadline.
    #[default]
    Linear,
    /// It halves with each further span of one aim, but does not fall below the late value.
    Halving,
}

/// A class of message.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Span within which a message earns its full worth.
    pub aim: Micros,
    /// Span within which a message may be delivered.
    pub deadline: Micros,
    /// Worth of a delivery within the aim.
    pub worth: f64,
    /// Share of the worth that is left at the deadline.
    pub late_value: f64,
    /// Whether its messages may be sent again.
    pub retry_safety: RetrySafety,
    /// For keyed classes: the endpoints that drop repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: how long repeats are dropped after the first attempt that may have been executed.
    pub deduplication_window: Micros,
    /// Messages with the same order key are sent one at a time, in the order of their arrival.
    pub in_order: bool,
    /// Responses are streams: once the stream of an attempt has begun, the message is not retried.
    pub streaming: bool,
}

/// What the deployment guarantees to destinations, and may assume of them.
#[derive(Clone, Debug, Default)]
pub struct DestinationContract {
    /// Span after which a drained or removed endpoint gets no new calls.
    pub drain_grace: Micros,
    /// Minimum share of its full capacity that a destination has when it returns from an outage.
    pub cold_capacity_share: f64,
    /// Span after which it has its full capacity again.
    pub ramp_time: Micros,
    /// Multiple of its current capacity above which load brings a cold destination down.
    pub overload_factor: f64,
    /// How long such a load must last to bring it down.
    pub overload_duration: Micros,
    /// Pause of an order key after an attempt that may still be executed.
    pub order_pause: Micros,
    /// Where replicas fetch the list: one that has not requested it within this span is treated as if it knew
    /// of all changes.
    pub max_list_poll_interval: Micros,
}

/// What the rate in the list says about a destination's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum ListedRate {
    /// Nothing.
    #[default]
    Unknown,
    /// Calls a second that the destination accepts from all replicas together.
    Exact,
    /// Like `Exact`, but up to half too high or too low.
    Rough,
}

/// The settings of a replica.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Replicas that share the destinations, including this one.
    pub replicas: u32,
    /// Calls that may be in flight at once.
    pub slots: u32,
    /// Messages that may be held, whether they have been sent or not.
    pub max_held: u32,
    /// Maximum number of attempts for one message.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Health checks may be sent.
    pub may_probe: bool,
    /// Two attempts of one message may be in flight at once.
    pub may_duplicate: bool,
    /// Refused clients are told how long to wait.
    pub may_send_retry_after: bool,
    /// Longest wait that clients obey.
    pub max_retry_after: Micros,
    /// Updates of the list are sent only after a subscription.
    pub subscribe_to_discovery: bool,
    /// Classes of message; requests refer to them by index.
    pub classes: Vec<Class>,
    /// How worth decays after the aim.
    pub decay: WorthDecay,
    /// The contract with destinations.
    pub contract: DestinationContract,
    /// By kind of destination: maximum number of messages in one call.
    pub batch_by_kind: Vec<u32>,
    /// By kind of destination: each endpoint is a route of its own, with its own limit, rate limit and
    /// circuit breaker.
    pub route_per_endpoint: Vec<bool>,
    /// By zone: price of a message to an endpoint that is a route of its own, as a multiple of the mean worth
    /// of the classes.
    pub zone_fee: Vec<f64>,
    /// Price of a call that is rejected because of a limit.
    pub refused_price: f64,
    /// Meaning of [`Endpoint::rate`].
    pub listed_rate: ListedRate,
    /// Span after which idle connections are closed.
    pub connection_idle_timeout: Micros,
    /// Span after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Calls that one connection carries at once.
    pub streams_per_connection: u32,
    /// Shortest span between two moments at which events are passed in.
    pub tick: Micros,
}

impl Settings {
    /// The shortest aim of all classes, in microseconds.
    pub(crate) fn shortest_aim(&self) -> f64 {
        self.classes.iter().map(|class| class.aim).min().unwrap_or(DEFAULT_AIM_MICROS) as f64
    }

    /// The longest deadline of all classes, in microseconds.
    pub(crate) fn longest_deadline(&self) -> f64 {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or(DEFAULT_DEADLINE_MICROS).max(1) as f64
    }

    /// The mean worth of the classes.
    pub(crate) fn mean_worth(&self) -> f64 {
        self.classes.iter().map(|class| class.worth).sum::<f64>() / self.classes.len() as f64
    }

    /// The greatest worth of any class.
    pub(crate) fn max_worth(&self) -> f64 {
        self.classes.iter().map(|class| class.worth).fold(0.0, f64::max)
    }

    /// What a message of a class earns if it is delivered at this age, in microseconds.
    pub(crate) fn worth_at_age(&self, class: usize, age: f64) -> f64 {
        let class = &self.classes[class];
        let (aim, deadline) = (class.aim as f64, class.deadline as f64);
        let share = match self.decay {
            _ if age <= aim => 1.0,
            _ if age > deadline => 0.0,
            WorthDecay::Linear => 1.0 - (1.0 - class.late_value) * (age - aim) / (deadline - aim).max(1.0),
            WorthDecay::Halving => (0.5f64).powf((age - aim) / aim.max(1.0)).max(class.late_value),
        };
        class.worth * share
    }
}

/// State of an endpoint in the list, independent of its health. The order of the states is that in which an
/// endpoint leaves the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts calls.
    #[default]
    Ready,
    /// Gets no new calls.
    Draining,
    /// No longer in the list.
    Removed,
}

/// An entry of the list: one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// Its number.
    pub target: TargetId,
    /// The destination it belongs to.
    pub destination: DestinationId,
    /// Kind of the destination, an index into the settings by kind.
    pub kind: u32,
    /// Zone in which it runs.
    pub zone: u32,
    /// Its state in the list.
    pub state: EndpointState,
    /// Listed rate in calls a second; [`ListedRate`] gives its meaning.
    pub rate: f64,
}

/// How a list event relates to the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The whole list: endpoints that it lacks are removed.
    Full,
    /// The whole list as last known before a restart, possibly outdated.
    Cached,
    /// A fetch or subscription has failed; the current list stays.
    Failed,
}

/// Counts of endpoints, as operators see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Endpoints in the list.
    pub listed: usize,
    /// Those of them that get no calls now: disabled by an operator, ejected after a failure, or behind an
    /// open circuit breaker.
    pub ejected: usize,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Error response; may have been executed.
    Error,
    /// Rejected without being executed: over a limit, queue full, closed or draining.
    Rejected,
    /// No response in time; may have been executed, or may still be.
    TimedOut,
    /// No connection was made; never executed.
    ConnectFailed,
    /// The connection was lost; may have been executed.
    Reset,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent at all: no slot, the message has ended, or no attempts are left.
    NotSent,
    /// An endpoint that is up rejected a new connection because it already has as many as it accepts, idle
    /// ones included; never executed.
    TooManyConnections,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
    pub fn never_ran(self) -> bool {
        use Outcome::*;
        matches!(self, Rejected | ConnectFailed | NotSent | TooManyConnections)
    }
}

/// A destination's report of its limit, sent with a response. It is inexact and somewhat out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Share of the allowance that is left.
    pub share_left: f64,
    /// Calls a second that the limit allows, 0 if there is no limit.
    pub rate: f64,
}

/// An event that the caller passes to the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    List {
        /// How it relates to the current list.
        kind: ListKind,
        /// Increases with each change.
        version: u32,
        /// Its entries.
        endpoints: Vec<Endpoint>,
    },
    /// A client has submitted a message.
    Request {
        /// Its number.
        id: MessageId,
        /// Index of its class.
        class: u32,
        /// Destination to which it is to be delivered.
        destination: DestinationId,
        /// Its order key, 0 for none.
        order_key: u64,
        /// End of the time in which it may be delivered.
        expires: Micros,
    },
    /// A message that was accepted before a restart and has not ended. Restored messages are passed in the
    /// order in which they were accepted.
    Restored {
        /// Its number.
        id: MessageId,
        /// Index of its class.
        class: u32,
        /// Destination to which it is to be delivered.
        destination: DestinationId,
        /// Its order key, 0 for none.
        order_key: u64,
        /// End of the time in which it may be delivered, possibly in the past.
        expires: Micros,
        /// Outcomes of its attempts. One that the restart cut off counts as [`Outcome::Reset`].
        attempts: Vec<Outcome>,
        /// Start and zone of the first attempt that may have been executed.
        first_run: Option<(Micros, u32)>,
    },
    /// An operator disables an endpoint, or enables it again.
    EndpointAdminState {
        /// The endpoint.
        target: TargetId,
        /// Whether it is disabled from now on.
        disabled: bool,
    },
    /// Actions are carried out late and events are passed in late. Messages are given up earlier by that lag.
    ProcessingLag {
        /// The lag, 0 if there is none.
        lag: Micros,
    },
    /// The process is about to exit. Calls in flight then are cut off.
    Shutdown {
        /// Time of the exit.
        at: Micros,
    },
    /// The response stream of a message has begun.
    StreamStarted {
        /// The message.
        id: MessageId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// An attempt has ended. Each [`Action::Send`] leads to exactly one such event.
    AttemptEnded {
        /// The message.
        id: MessageId,
        /// Number of its attempt, from 0.
        attempt: u32,
        /// Endpoint to which it was sent.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Span since it was sent.
        took: Micros,
        /// The message has ended, with this attempt or before.
        message_ended: bool,
        /// For [`Outcome::Rejected`]: the wait that the destination asks for (Retry-After), 0 for none.
        retry_after: Micros,
        /// The destination's report of its limit, if it sent one.
        report: Option<LimitReport>,
    },
    /// A health check has ended.
    ProbeEnded {
        /// Endpoint to which it was sent.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// Span since it was sent.
        took: Micros,
        /// The destination's report of its limit, if it sent one.
        report: Option<LimitReport>,
    },
    /// The client no longer waits for this message.
    Abandoned {
        /// The message.
        id: MessageId,
    },
    /// A requested timer has fired.
    Timer {
        /// Token of the request.
        token: u32,
    },
    /// A message from another replica, where replicas may communicate.
    PeerMessage {
        /// Number of the sending replica.
        from: u32,
        /// Content of the message.
        data: Vec<u8>,
    },
}

/// An action that the policy requests. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the message to `target`. The attempt times out at `until`.
    Send {
        /// The message.
        id: MessageId,
        /// Endpoint to call.
        target: TargetId,
        /// Point in time at which the attempt times out.
        until: Micros,
    },
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Number of its attempt, from 0.
        attempt: u32,
    },
    /// End the message undelivered. The client may safely submit it again.
    Refuse {
        /// The message.
        id: MessageId,
        /// How long the client is told to wait (Retry-After), 0 if it is not told.
        retry_after: Micros,
    },
    /// End the message as failed. It may or may not have been delivered.
    Fail {
        /// The message.
        id: MessageId,
    },
    /// Send a health check to an endpoint.
    Probe {
        /// The endpoint.
        target: TargetId,
    },
    /// Request an [`Event::Timer`] after a span.
    Timer {
        /// Span from now.
        after: Micros,
        /// Returned with the event.
        token: u32,
    },
    /// Close idle connections to an endpoint.
    CloseIdle {
        /// The endpoint.
        target: TargetId,
    },
    /// Subscribe to the list, or end the subscription.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Request the whole list once.
    FetchList,
    /// Send a message to another replica, or to all.
    Tell {
        /// Number of the receiving replica; all others if absent.
        to: Option<u32>,
        /// At most 256 bytes.
        data: Vec<u8>,
    },
    /// Write a log line for the operators.
    Log {
        /// The text.
        text: String,
    },
}
