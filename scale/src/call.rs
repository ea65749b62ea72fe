//! A call of a simulated forwarder that is in flight.

use hatchline::{Event, MessageId, Micros, Outcome, TargetId};

/// A call in flight: the request that carries one attempt of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// The message that the call carries.
    pub id: MessageId,
    /// Index of the attempt among the attempts of its message, from 0.
    pub attempt: u32,
    /// The endpoint that the call goes to.
    pub target: TargetId,
    /// When the call was sent.
    pub sent_at: Micros,
}

impl Call {
    /// Builds the event that reports the end of the call to the policy. `message_ended` tells whether the message is
    /// complete.
    pub fn end_event(self, now: Micros, outcome: Outcome, message_ended: bool, retry_after: Micros) -> Event {
        let Call { id, attempt, target, sent_at } = self;
        Event::AttemptEnded {
            id,
            attempt,
            target,
            outcome,
            took: now - sent_at,
            message_ended,
            retry_after,
            report: None,
        }
    }
}
