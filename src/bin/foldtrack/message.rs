//! A message on its way through the forwarder.

use crate::clock::Clock;
use crate::journal::Accepted;
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
    pub key: String,
    pub idempotency_key: Option<String>,
    pub retry: Option<String>,
    pub expires: Micros,
    pub body: Bytes,
}

impl Message {
    /// Bytes that it takes in the journal, about.
    pub fn size(&self) -> usize {
        let key = self.idempotency_key.as_ref().map_or(0, String::len);
        self.body.len() + self.id.len() + self.key.len() + key + 128
    }

    pub fn order_key(&self) -> u64 {
        order_key(&self.key)
    }

    /// As the journal has it.
    pub fn accepted(&self, settings: &DeploymentSettings, clock: &Clock) -> Accepted {
        Accepted {
            id: self.id.clone(),
            class: settings.class_names.get(self.class).cloned().unwrap_or_default(),
            destination: self.destination,
            key: self.key.clone(),
            idempotency_key: self.idempotency_key.clone(),
            retry: self.retry.clone(),
            expires: clock.unix(self.expires),
            body: self.body.to_vec(),
        }
    }

    /// The other way; the class is past all that the settings have if they do not name it any more.
    pub fn of(accepted: Accepted, settings: &DeploymentSettings, clock: &Clock) -> Message {
        let class = settings.class_names.iter().position(|n| *n == accepted.class);
        Message {
            id: accepted.id,
            class: class.unwrap_or(usize::MAX),
            destination: accepted.destination,
            key: accepted.key,
            idempotency_key: accepted.idempotency_key,
            retry: accepted.retry,
            expires: clock.since_unix(accepted.expires),
            body: accepted.body.into(),
        }
    }
}

/// The module's name for a key, 0 for none; two keys that share one only wait for each other.
pub(crate) fn order_key(key: &str) -> u64 {
    if key.is_empty() {
        return 0;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish().max(1)
}
