//! Transfer of the policy's state from one process to its successor while calls are in flight.

use super::DeliveryPolicy;
use crate::interface::Settings;

/// Version of the transferred state. Must be raised whenever the layout or the meaning of the state changes.
pub const FORMAT: u32 = 7;

impl DeliveryPolicy {
    /// Serializes all that this replica knows: its messages and calls, the waits that destinations asked for,
    /// cold destinations, disabled endpoints, and what it has learned of response times and rates. A
    /// successor without this state would overload destinations that are cold and call those that asked for a
    /// pause. The settings are not included: the successor has its own.
    pub fn export_state(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Continues from the state of another process. The state contains times of that process's clock, which
    /// this process must continue.
    pub fn import_state(bytes: &[u8], settings: Settings) -> Result<DeliveryPolicy, postcard::Error> {
        let mut policy: DeliveryPolicy = postcard::from_bytes(bytes)?;
        // The settings may have other classes than those of the previous process.
        policy.arrived.resize(settings.classes.len(), 0.0);
        policy.delivered.resize(settings.classes.len(), 0.0);
        policy.settings = settings;
        policy.destinations.unblock_all();
        Ok(policy)
    }
}
