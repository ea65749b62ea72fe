//! Tests of reading bodies.

use super::*;
use hyper::body::Frame;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Bytes that are counted for as long as a piece refers to them.
struct CountedBuffer(Vec<u8>, Arc<AtomicUsize>);

impl AsRef<[u8]> for CountedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

impl Drop for CountedBuffer {
    fn drop(&mut self) {
        self.1.fetch_sub(self.0.len(), Ordering::Relaxed);
    }
}

/// A body in pieces of one byte, each in a buffer of its own.
struct BytewiseBody {
    pieces: usize,
    buffered: Arc<AtomicUsize>,
    most_buffered: Arc<AtomicUsize>,
}

const BUFFER_BYTES: usize = 8192;

impl Body for BytewiseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>, _: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.pieces == 0 {
            return Poll::Ready(None);
        }
        self.pieces -= 1;
        let buffered = self.buffered.fetch_add(BUFFER_BYTES, Ordering::Relaxed) + BUFFER_BYTES;
        self.most_buffered.fetch_max(buffered, Ordering::Relaxed);
        let buffer = Bytes::from_owner(CountedBuffer(vec![7; BUFFER_BYTES], self.buffered.clone()));
        Poll::Ready(Some(Ok(Frame::data(buffer.slice(..1)))))
    }
}

/// Guards against pieces that keep the buffers that they were read into until the body is complete.
#[tokio::test]
async fn pieces_hold_no_buffers() {
    let (buffered, most_buffered) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let body = BytewiseBody { pieces: 1000, buffered, most_buffered: most_buffered.clone() };
    assert_eq!(read_to_end(body, 1000, &mut Unshared).await, Ok(vec![7; 1000].into()));
    assert!(most_buffered.load(Ordering::Relaxed) <= 2 * BUFFER_BYTES);
}

#[tokio::test]
async fn bodies_beyond_the_limit_are_refused() {
    let body = || BytewiseBody { pieces: 5, buffered: Arc::default(), most_buffered: Arc::default() };
    assert_eq!(read_to_end(body(), 5, &mut Unshared).await, Ok(vec![7; 5].into()));
    assert_eq!(read_to_end(body(), 4, &mut Unshared).await, Err(BodyError::TooLong));
}
