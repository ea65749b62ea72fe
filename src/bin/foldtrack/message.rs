//! A message that a client has submitted, and its form in the write-ahead log.

use crate::clock::Clock;
use crate::write_ahead_log::AcceptedMessage;
use bytes::Bytes;
use hatchline::settings::DeploymentSettings;
use hatchline::Micros;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

/// Size of a record of the write-ahead log without the texts and the body that the client chose.
const FIXED_LOG_BYTES: usize = 128;

/// A message as its client submitted it.
#[derive(Debug)]
pub(crate) struct Message {
    pub id: String,
    pub class: usize,
    pub destination: u32,
    /// Messages with the same key are delivered one at a time, in order; empty for none.
    pub order_key: String,
    pub idempotency_key: Option<String>,
    pub retry_header: Option<String>,
    pub expires_at: Micros,
    pub body: Bytes,
}

impl Message {
    /// Approximate size in the write-ahead log, in bytes.
    pub fn log_bytes(&self) -> usize {
        let optional = [&self.idempotency_key, &self.retry_header];
        let optional_bytes: usize = optional.into_iter().flatten().map(String::len).sum();
        self.body.len() + self.id.len() + self.order_key.len() + optional_bytes + FIXED_LOG_BYTES
    }

    pub fn order_key_hash(&self) -> u64 {
        order_key_hash(&self.order_key)
    }

    /// Converts to the form in the write-ahead log.
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

    /// Converts from the form in the write-ahead log. If the settings no longer name the class, the class index is out
    /// of range.
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

/// Hash that identifies the order key to the policy, 0 for none. A collision does no harm: the messages of both keys
/// are then delivered one at a time.
pub(crate) fn order_key_hash(order_key: &str) -> u64 {
    if order_key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    order_key.hash(&mut hasher);
    hasher.finish().max(1)
}
