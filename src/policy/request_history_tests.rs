//! Tests of the history of requests.

use super::*;

const SECOND: Micros = 1_000_000;
const DELIVERED: Option<PreviousRequest> = Some(PreviousRequest::Ended(RequestEnd::Delivered));

fn ended(client: ClientId, message: MessageId, deadline: Micros) -> EndedRequest {
    EndedRequest { client, message, deadline, end: RequestEnd::Delivered }
}

fn assert_empty(history: &RequestHistory) {
    assert_eq!((history.ended_bytes, history.order.len()), (0, 0));
    assert!(history.by_client.is_empty() && history.by_bytes.is_empty());
}

#[test]
fn a_request_is_known_until_its_time_is_over() {
    let mut history = RequestHistory::new(10_000);
    assert_eq!(history.previous("m"), None);
    history.hold("m", 7);
    assert_eq!(history.previous("m"), Some(PreviousRequest::Held(7)));
    assert!(history.expire(Micros::MAX).is_empty(), "it is held");
    assert!(history.end("m", ended(1, 7, 10 * SECOND)).is_empty());
    assert!(history.expire(10 * SECOND).is_empty());
    assert_eq!(history.previous("m"), DELIVERED);
    assert_eq!(history.expire(10 * SECOND + RETENTION_AFTER_DEADLINE), [7]);
    assert_eq!(history.previous("m"), None);
    assert_empty(&history);
}

#[test]
fn a_forgotten_request_is_new() {
    let mut history = RequestHistory::new(10_000);
    history.hold("refused", 1);
    history.forget("refused");
    history.end("ended", ended(1, 2, SECOND));
    history.forget("ended");
    assert_eq!((history.previous("refused"), history.previous("ended")), (None, None));
    assert_empty(&history);
}

#[test]
fn ended_requests_stay_within_their_memory() {
    const KEPT: usize = 3;
    let mut history = RequestHistory::new(KEPT * entry_bytes("m0"));
    history.hold("held", 100);
    let forgotten: Vec<_> =
        (0..9).flat_map(|n| history.end(&format!("m{n}"), ended(1, n, n * SECOND))).collect();
    assert_eq!(forgotten, [0, 1, 2, 3, 4, 5]);
    assert_eq!((history.previous("m5"), history.previous("m6")), (None, DELIVERED));
    assert_eq!(history.previous("held"), Some(PreviousRequest::Held(100)));
    // An id that is larger than all of the memory is not remembered.
    let long = "m".repeat(1_000);
    history.end(&long, ended(2, 50, 99 * SECOND));
    assert_eq!(history.previous(&long), None);
    assert!(!history.remembers_end(&long, 50) && history.remembers_end("m8", 8));
}

#[test]
fn an_end_replaces_that_of_an_earlier_message_with_the_same_id() {
    let mut history = RequestHistory::new(10_000);
    history.end("m", ended(1, 1, SECOND));
    assert_eq!(history.end("m", ended(1, 2, SECOND)), [1]);
    assert!(!history.remembers_end("m", 1) && history.remembers_end("m", 2));
    assert_eq!(history.expire(Micros::MAX), [2]);
    assert_empty(&history);
}

#[test]
fn the_client_with_most_requests_loses_its_own() {
    let mut history = RequestHistory::new(10 * entry_bytes("m00"));
    // Its deadline is the earliest.
    history.end("one", ended(1, 1, SECOND));
    let forgotten: Vec<_> =
        (10..40).flat_map(|n| history.end(&format!("m{n}"), ended(2, n, n * SECOND))).collect();
    assert_eq!(forgotten, (10..31).collect::<Vec<_>>());
    assert_eq!(history.previous("one"), DELIVERED);
}
