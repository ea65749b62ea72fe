//! The delivery policy under measurement. Only this module names its type.

use hatchline::{Action, DeliveryPolicy, Event, Micros, Settings};

/// An instance of the delivery policy.
#[derive(Debug)]
pub struct PolicyUnderTest {
    policy: DeliveryPolicy,
}

impl PolicyUnderTest {
    /// Creates a policy that starts at `now`.
    pub fn new(now: Micros, seed: u64, settings: Settings) -> PolicyUnderTest {
        PolicyUnderTest { policy: DeliveryPolicy::new(now, seed, settings) }
    }

    /// Feeds all events of one point in time to the policy and lets it decide.
    pub fn advance(
        &mut self, now: Micros, events: impl IntoIterator<Item = Event>, actions: &mut Vec<Action>,
    ) {
        for event in events {
            self.policy.handle(now, event, actions);
        }
        self.policy.decide(now, actions);
    }
}
