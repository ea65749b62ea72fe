//! Counts the responses that wait for their clients to read: the network takes no more of them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Number of such responses, shared by all client connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnreadResponses(Arc<AtomicUsize>);

/// One such response, counted until this is dropped.
#[derive(Debug)]
pub(crate) struct UnreadResponse(UnreadResponses);

impl UnreadResponses {
    /// Counts one more response.
    pub fn add(&self) -> UnreadResponse {
        self.0.fetch_add(1, Ordering::Relaxed);
        UnreadResponse(self.clone())
    }

    /// Number of responses that wait now.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for UnreadResponse {
    fn drop(&mut self) {
        self.0 .0.fetch_sub(1, Ordering::Relaxed);
    }
}
