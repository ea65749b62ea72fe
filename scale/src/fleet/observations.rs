//! What a simulation records: the state of each message, and the calls to each destination.

use crate::fleet::cold_load::CallAfterOutage;
use hatchline::{DestinationId, Micros};

/// State of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageState {
    /// Neither delivered nor ended by the policy.
    Pending,
    /// Delivered at this time.
    Delivered(Micros),
    /// Refused or failed by the policy.
    NotDelivered,
}

/// A message and its attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct Message {
    pub replica: usize,
    pub destination: DestinationId,
    pub arrived_at: Micros,
    pub state: MessageState,
    pub attempts: u32,
    /// Index of the attempt in flight.
    pub attempt_in_flight: Option<u32>,
}

/// Calls to one destination.
#[derive(Clone, Debug, Default)]
pub(super) struct DestinationCalls {
    /// Number of calls made during the outage.
    pub count_during_outage: u64,
    /// Calls made after the outage, in order of time.
    pub after_outage: Vec<CallAfterOutage>,
}

/// Responses that replicas received by the end of the steady phase.
#[derive(Clone, Debug, Default)]
pub(super) struct LearnedResponses {
    /// Number of successful responses of each pair of a replica and a destination that has had a message.
    pub per_pair_with_traffic: Vec<u32>,
}

/// Everything that a simulation recorded.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    pub messages: Vec<Message>,
    pub destinations: Vec<DestinationCalls>,
    pub learned: LearnedResponses,
}
