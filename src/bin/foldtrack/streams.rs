//! What stands between a socket and the HTTP library: a tap that lets on what passes, and the end of a connection that
//! has been answered.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::timeout;

/// What a peer sends beyond its answer is read for so long and so far: to close a socket with unread bytes resets the
/// connection, which may take back an answer that is still on its way.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: usize = 256 * 1024;

/// Hears what passes through a [`ObservedStream`] stream. The HTTP library flushes a stream once it has written what it holds.
pub(crate) trait StreamObserver<S> {
    /// Whether the stream may be read now.
    fn poll_read_allowed(&mut self, _stream: &S, _cx: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn on_read(&mut self, _bytes: &[u8]) {}
    fn on_flush(&mut self, _stream: &S, _cx: &mut Context) {}
}

/// A stream that is listened in on.
pub(crate) struct ObservedStream<S, T> {
    pub stream: S,
    pub observer: T,
}

impl<S: AsyncRead + Unpin, T: StreamObserver<S> + Unpin> AsyncRead for ObservedStream<S, T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(this.observer.poll_read_allowed(&this.stream, cx))?;
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        this.observer.on_read(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin, T: StreamObserver<S> + Unpin> AsyncWrite for ObservedStream<S, T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.observer.on_flush(&this.stream, cx);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Closes a connection without taking back what was last written to it.
pub(crate) async fn lingering_close(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let rest = async {
        let (mut buffer, mut seen) = ([0; 4096], 0);
        while let Ok(n @ 1..) = stream.read(&mut buffer).await {
            seen += n;
            if seen > LINGER_BYTES {
                return;
            }
        }
    };
    let _ = timeout(LINGER, rest).await;
}
