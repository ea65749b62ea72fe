//! What a simulation records: the fate of each message, and the calls to each destination.

use crate::fleet::cold_load::CallAfterOutage;
use hatchline::{DestinationId, Micros};

/// How far a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageState {
    /// Neither delivered nor ended.
    Pending,
    /// Delivered at this time.
    Delivered(Micros),
    /// Ended undelivered by its policy.
    NotDelivered,
}

/// A message, and its attempts so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Message {
    pub replica: usize,
    pub destination: DestinationId,
    pub arrived_at: Micros,
    pub state: MessageState,
    pub attempts: u32,
    /// The attempt that is out.
    pub attempt_in_flight: Option<u32>,
}

/// What was recorded of one destination.
#[derive(Clone, Debug, Default)]
pub(super) struct DestinationCalls {
    /// Calls made during the outage.
    pub count_during_outage: u64,
    /// Calls made since the return, in order of time.
    pub after_outage: Vec<CallAfterOutage>,
}

/// Answers that replicas had by the end of the steady phase.
#[derive(Clone, Debug, Default)]
pub(super) struct LearnedResponses {
    /// Successful answers of each pair of a replica and a destination that have met.
    pub per_pair_with_traffic: Vec<u32>,
}

/// All that a simulation recorded.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    pub messages: Vec<Message>,
    pub destinations: Vec<DestinationCalls>,
    pub learned: LearnedResponses,
}
