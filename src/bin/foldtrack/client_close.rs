//! Closes a client connection: answers what is still owed, and reads only what belongs to a request that has its answer.

use crate::client_stats::{ClientStats, CloseReason};
use crate::client_stream::{ClientStream, RequestProgress};
use crate::connection_limit::ConnectionPermit;
use crate::streams::{self, LINGER_TIMEOUT};
use hyper::StatusCode;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// Interval between two looks at whether a client has hung up.
const HANG_UP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Closes a connection that the HTTP library serves no longer. A request of which a part has been read is refused.
pub(crate) async fn close(
    mut client: impl ClientStream, permit: ConnectionPermit, progress: &RequestProgress, reason: CloseReason,
    stats: &ClientStats,
) {
    let number = permit.number();
    if progress.client_gone {
        return streams::refuse_unread(client).await;
    }
    if reason == CloseReason::Disconnected && !progress.rejected {
        return;
    }
    // The HTTP library answers an invalid request by itself.
    if progress.unanswered > 0 && reason != CloseReason::InvalidRequest {
        if may_refuse(progress, reason) && streams::write_refusal(&mut client).await {
            stats.record_rejection(StatusCode::SERVICE_UNAVAILABLE, None);
        } else {
            stats.record_cut_off(progress.unanswered, number, reason);
        }
    }
    let linger = async {
        if progress.partially_read || progress.rejected || reason == CloseReason::InvalidRequest {
            let discarded_bytes = streams::lingering_close(client).await;
            if discarded_bytes > 0 {
                stats.record_discarded(discarded_bytes, number, reason);
            }
        } else {
            close_unread(client).await;
        }
    };
    if reason != CloseReason::Evicted {
        linger.await;
    } else if let Some(_refusal_permit) = permit.into_refusal() {
        linger.await;
    }
}

/// Whether a refusal can be written: the HTTP library was stopped before it wrote a response.
fn may_refuse(progress: &RequestProgress, reason: CloseReason) -> bool {
    matches!(reason, CloseReason::NoRequest | CloseReason::Evicted) && progress.response_ready_at.is_none()
}

/// Closes a connection on which no response is due. What crosses the close is not read, since it can no longer be
/// answered: a client sends a request once more only if that was not read.
async fn close_unread(mut stream: impl ClientStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    // To close over unread bytes resets the connection: the client has time to read the last response before.
    let hang_up = async {
        while !stream.has_hung_up() {
            sleep(HANG_UP_CHECK_INTERVAL).await;
        }
    };
    let _ = timeout(LINGER_TIMEOUT, hang_up).await;
}
