//! Reads the body of a request or of a response to its end.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is longer than the limit.
    TooLong,
    /// The connection ended before the body, or the body is not valid.
    Interrupted,
}

/// Reads a body of at most `limit` bytes. Each piece is copied and released as it arrives: a piece refers to the whole
/// buffer that it was read into, so that the pieces of a body that arrives byte by byte would hold thousands of times
/// its size.
pub(crate) async fn read_to_end<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        // Trailers mean nothing here.
        let Ok(piece) = frame.into_data() else { continue };
        if collected.len() + piece.len() > limit {
            return Err(BodyError::TooLong);
        }
        collected.extend_from_slice(&piece);
    }
    collected.shrink_to_fit();
    Ok(collected.into())
}

#[cfg(test)]
#[path = "http_body_tests.rs"]
mod tests;
