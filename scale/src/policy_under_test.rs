//! The delivery policy that is measured. Its type is named only here.

use hatchline::{Action, DeliveryPolicy, Event, Micros, Settings};

/// One instance of the delivery policy.
#[derive(Debug)]
pub struct PolicyUnderTest {
    policy: DeliveryPolicy,
}

impl PolicyUnderTest {
    /// A policy that has just come up.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> PolicyUnderTest {
        PolicyUnderTest { policy: DeliveryPolicy::new(now, seed, settings) }
    }

    /// Passes on all events of one moment, and takes the decisions that follow.
    pub fn advance(
        &mut self, now: Micros, events: impl IntoIterator<Item = Event>, actions: &mut Vec<Action>,
    ) {
        for event in events {
            self.policy.handle(now, event, actions);
        }
        self.policy.decide(now, actions);
    }
}
