//! What a simulation records: the fate of each message, and the calls to each destination.

use crate::fleet::cold_budget::CallAfterReturn;
use hatchline::{DestinationId, Micros};

/// How far a message has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Neither delivered nor ended.
    Underway,
    /// Delivered at this time.
    Delivered(Micros),
    /// Ended undelivered by its policy.
    Ended,
}

/// A message, and its attempts so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct Message {
    pub replica: usize,
    pub destination: DestinationId,
    pub arrived: Micros,
    pub stage: Stage,
    pub attempts: u32,
    /// The attempt that is out.
    pub open_attempt: Option<u32>,
}

/// What was recorded of one destination.
#[derive(Clone, Debug, Default)]
pub(super) struct DestinationLog {
    /// Calls made during the outage.
    pub calls_while_down: u64,
    /// Calls made since the return, in order of time.
    pub calls_after_return: Vec<CallAfterReturn>,
}

/// Answers that replicas had by the end of the steady phase.
#[derive(Clone, Debug, Default)]
pub(super) struct LearnedAnswers {
    /// Successful answers of each pair of a replica and a destination that have met.
    pub of_pairs_met: Vec<u32>,
}

/// All that a simulation recorded.
#[derive(Clone, Debug)]
pub(super) struct Observations {
    pub messages: Vec<Message>,
    pub destinations: Vec<DestinationLog>,
    pub learned: LearnedAnswers,
}
