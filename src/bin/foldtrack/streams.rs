//! Helpers between a socket and the HTTP library: a stream wrapper with an observer, and the lingering close
//! of a connection.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::time::timeout;

/// Limits on the time and the bytes of a lingering close. Closing a socket with unread bytes resets the
/// connection, which can discard a response that is still in transit.
pub(crate) const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit on the time for writing a refusal.
const REFUSAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Observes the reads and flushes of an [`ObservedStream`]. The HTTP library flushes a stream once it has
/// written all that it holds.
pub(crate) trait StreamObserver<S> {
    /// Called with the bytes of each read, which an error fails.
    fn on_read(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }
    /// Called before each write, which an error fails.
    fn before_write(&mut self, _stream: &S) -> io::Result<()> {
        Ok(())
    }
    /// Called after each completed flush.
    fn on_flush(&mut self) {}
}

/// A stream with an observer.
pub(crate) struct ObservedStream<S, T> {
    pub stream: S,
    pub observer: T,
}

impl<S: AsyncRead + Unpin, T: StreamObserver<S> + Unpin> AsyncRead for ObservedStream<S, T> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        Poll::Ready(this.observer.on_read(&buf.filled()[filled_before..]))
    }
}

impl<S: AsyncWrite + Unpin, T: StreamObserver<S> + Unpin> AsyncWrite for ObservedStream<S, T> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.observer.before_write(&this.stream)?;
        Pin::new(&mut this.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context, bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.observer.before_write(&this.stream)?;
        Pin::new(&mut this.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Whether one of these events, or an error, is pending on a stream now. This asks the system: the runtime knows only
/// what it has found when it last polled.
pub(crate) fn has_poll_events(stream: &impl AsFd, events: PollFlags) -> bool {
    let mut polled = [PollFd::new(stream, events)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

/// Responds 503 to a connection without reading what it has sent, and closes it.
pub(crate) async fn refuse_unread(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    if write_refusal(&mut stream).await {
        lingering_close(stream).await;
    }
}

/// Responds 503. Returns whether the response could be written.
pub(crate) async fn write_refusal(stream: &mut (impl AsyncWrite + Unpin)) -> bool {
    const REFUSAL: &[u8] =
        b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    // Earlier responses may fill the send buffer of a peer that reads none.
    matches!(timeout(REFUSAL_WRITE_TIMEOUT, stream.write_all(REFUSAL)).await, Ok(Ok(())))
}

/// Closes a connection after reading what the peer still sends, so that the last response is not lost. Returns how many
/// bytes that was.
pub(crate) async fn lingering_close(mut stream: impl AsyncRead + AsyncWrite + Unpin) -> usize {
    if stream.shutdown().await.is_err() {
        return 0;
    }
    let mut discarded = 0;
    let discard_rest = async {
        let mut buffer = vec![0; 4096];
        while let Ok(n @ 1..) = stream.read(&mut buffer).await {
            discarded += n;
            if discarded > MAX_LINGER_BYTES {
                return;
            }
        }
    };
    let _ = timeout(LINGER_TIMEOUT, discard_rest).await;
    discarded
}
