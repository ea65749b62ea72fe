//! What one process hands to the next while calls are out: part of the decisions.

use super::DeliveryPolicy;
use crate::interface::Settings;

/// Raised whenever the meaning or the layout of what goes along changes.
pub const FORMAT: u32 = 6;

impl DeliveryPolicy {
    /// All that this replica knows goes along: its messages and calls, told waits, cold destinations, what is
    /// out by hand, and what it has learned of answer times and rates. A successor that began anew would push
    /// over what is cold and call what is to rest. The settings stay: the successor has its own.
    pub fn export_state(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Goes on where another process stopped. Times go on with its clock.
    pub fn import_state(bytes: &[u8], settings: Settings) -> Result<DeliveryPolicy, postcard::Error> {
        let mut policy: DeliveryPolicy = postcard::from_bytes(bytes)?;
        // They may have other classes than those of the process before.
        policy.arrived.resize(settings.classes.len(), 0.0);
        policy.delivered.resize(settings.classes.len(), 0.0);
        policy.settings = settings;
        policy.destinations.forget_waits();
        Ok(policy)
    }
}
