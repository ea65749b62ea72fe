//! A message on its way through the forwarder.

use crate::clock::Clock;
use crate::write_ahead_log::AcceptedMessage;
use bytes::Bytes;
use hatchline::settings::DeploymentSettings;
use hatchline::Micros;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// A message as it was handed in.
#[derive(Debug)]
pub(crate) struct Message {
    pub id: String,
    pub class: usize,
    pub destination: u32,
    pub order_key: String,
    pub idempotency_key: Option<String>,
    pub retry_header: Option<String>,
    pub expires_at: Micros,
    pub body: Bytes,
}

impl Message {
    /// Bytes that it takes in the journal, about.
    pub fn log_bytes(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.order_key.len() + key + 128
    }

    pub fn order_key_hash(&self) -> u64 {
        order_key_hash(&self.order_key)
    }

    /// As the journal has it.
    pub fn to_accepted(&self, settings: &DeploymentSettings, clock: &Clock) -> AcceptedMessage {
        AcceptedMessage {
            id: self.id.clone(),
            class: settings.class_names.get(self.class).cloned().unwrap_or_default(),
            destination: self.destination,
            order_key: self.order_key.clone(),
            idempotency_key: self.idempotency_key.clone(),
            retry_header: self.retry_header.clone(),
            expires_at: clock.unix_micros_at(self.expires_at),
            body: self.body.to_vec(),
        }
    }

    /// The other way; the class is past all that the settings have if they do not name it any more.
    pub fn from_accepted(accepted: AcceptedMessage, settings: &DeploymentSettings, clock: &Clock) -> Message {
        let class = settings.class_names.iter().position(|n| *n == accepted.class);
        Message {
            id: accepted.id,
            class: class.unwrap_or(usize::MAX),
            destination: accepted.destination,
            order_key: accepted.order_key,
            idempotency_key: accepted.idempotency_key,
            retry_header: accepted.retry_header,
            expires_at: clock.micros_at_unix(accepted.expires_at),
            body: accepted.body.into(),
        }
    }
}

/// The module's name for a key, 0 for none; two keys that share one only wait for each other.
pub(crate) fn order_key_hash(order_key: &str) -> u64 {
    if order_key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    order_key.hash(&mut hasher);
    hasher.finish().max(1)
}
