//! An attempt that a simulated forwarder has out.

use hatchline::{Event, MessageId, Micros, Outcome, TargetId};

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Call {
    /// Its message.
    pub id: MessageId,
    /// Its number among the attempts of the message, from 0.
    pub attempt: u32,
    /// The endpoint called.
    pub target: TargetId,
    /// When it was made.
    pub sent_at: Micros,
}

impl Call {
    /// The event by which the policy learns its end; `ended` says that its message is over.
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
