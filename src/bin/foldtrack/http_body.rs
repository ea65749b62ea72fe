//! Reads the body of a request or of a response to its end.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::future::{pending, ready, Future};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// The connection ended before the body, or the body is not valid.
    Interrupted,
    /// Its memory is needed for others.
    OutOfMemory,
}

/// A body has to make room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evicted;

/// The memory of one body, which it may have to share with others.
pub(crate) trait MemoryReservation {
    /// Reserves memory until the body has `bytes` in all.
    fn grow_to(&mut self, bytes: usize) -> impl Future<Output = Result<(), Evicted>> + Send;
    /// Waits until the body has to make room for others.
    fn evicted(&mut self) -> impl Future<Output = Evicted> + Send;
}

/// The memory of a body that is bounded by its limit alone.
#[derive(Debug)]
pub(crate) struct Unshared;

impl MemoryReservation for Unshared {
    fn grow_to(&mut self, _: usize) -> impl Future<Output = Result<(), Evicted>> + Send {
        ready(Ok(()))
    }

    fn evicted(&mut self) -> impl Future<Output = Evicted> + Send {
        pending()
    }
}

/// Reads a body of at most `limit` bytes. Each piece is copied and released as it arrives: a piece refers to the whole
/// buffer that it was read into, so that the pieces of a body that arrives byte by byte would hold thousands of times
/// its size.
pub(crate) async fn read_to_end<B>(
    mut body: B, limit: usize, reservation: &mut impl MemoryReservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            Evicted = reservation.evicted() => return Err(BodyError::OutOfMemory),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        // Trailers mean nothing here.
        let Ok(piece) = frame.into_data() else { continue };
        let length = collected.len() + piece.len();
        if length > limit {
            return Err(BodyError::TooLong);
        }
        if length > collected.capacity() {
            let capacity = length.max(limit.min(2 * collected.capacity()));
            let reserved = reservation.grow_to(capacity).await;
            reserved.map_err(|Evicted| BodyError::OutOfMemory)?;
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&piece);
    }
    collected.shrink_to_fit();
    Ok(collected.into())
}

#[cfg(test)]
#[path = "http_body_tests.rs"]
mod tests;
