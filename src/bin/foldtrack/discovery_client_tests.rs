//! Tests of the order between lists and the requests that follow them.

use super::*;
use std::time::Duration;
use tokio::time::timeout;

/// Guards against a kill that brings back the list before the one that discovery knows to have arrived.
#[tokio::test(start_paused = true)]
async fn the_next_request_waits_until_the_list_is_handled() {
    let unhandled_list = UnhandledList::default();
    unhandled_list.wait().await;
    let (node_side, handled) = oneshot::channel();
    unhandled_list.set(handled);
    // A request that times out meanwhile changes nothing.
    for _ in 0..2 {
        assert!(timeout(Duration::from_secs(2), unhandled_list.wait()).await.is_err());
    }
    drop(node_side);
    unhandled_list.wait().await;
}
