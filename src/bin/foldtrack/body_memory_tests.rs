//! Tests of the memory limit of request bodies.

use super::*;

#[tokio::test(start_paused = true)]
async fn bodies_share_the_memory_and_release_it() {
    let memory = BodyMemory::new(8 * BLOCK_BYTES);
    let (mut first, mut second) = (memory.begin_body(), memory.begin_body());
    assert_eq!(first.grow_to(1).await, Ok(()));
    assert_eq!(first.grow_to(BLOCK_BYTES).await, Ok(()));
    assert_eq!(second.grow_to(3 * BLOCK_BYTES + 1).await, Ok(()));
    assert_eq!(memory.reserved(), 5 * BLOCK_BYTES);
    drop(second);
    assert_eq!(memory.reserved(), BLOCK_BYTES);
}

/// Reads a body as a connection does: it holds its memory until it is told to give it up.
async fn hold_until_evicted(mut body: BodyReservation) {
    body.evicted().await;
}

#[tokio::test(start_paused = true)]
async fn the_oldest_bodies_make_room_for_a_new_one() {
    let memory = BodyMemory::new(8 * BLOCK_BYTES);
    let mut tasks = Vec::new();
    for _ in 0..4 {
        let mut body = memory.begin_body();
        body.grow_to(2 * BLOCK_BYTES).await.unwrap();
        tasks.push(tokio::spawn(hold_until_evicted(body)));
    }
    let mut new = memory.begin_body();
    assert_eq!(new.grow_to(3 * BLOCK_BYTES).await, Ok(()));
    let finished: Vec<bool> = tasks.iter().map(|task| task.is_finished()).collect();
    assert_eq!(finished, [true, true, false, false]);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_is_the_oldest_itself_is_evicted() {
    let memory = BodyMemory::new(2 * BLOCK_BYTES);
    let (mut oldest, mut other) = (memory.begin_body(), memory.begin_body());
    oldest.grow_to(BLOCK_BYTES).await.unwrap();
    other.grow_to(BLOCK_BYTES).await.unwrap();
    assert_eq!(oldest.grow_to(2 * BLOCK_BYTES).await, Err(Evicted));
    // A body that is larger than all of the memory never fits.
    let mut large = BodyMemory::new(BLOCK_BYTES).begin_body();
    assert_eq!(large.grow_to(2 * BLOCK_BYTES).await, Err(Evicted));
}
