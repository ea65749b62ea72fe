//! Tests of the history of requests.

use super::*;

const SECOND: Micros = 1_000_000;
const DELIVERED: Option<PreviousRequest> = Some(PreviousRequest::Ended(RequestEnd::Delivered));

#[test]
fn a_request_is_known_until_its_time_is_over() {
    let mut history = RequestHistory::new(10_000);
    assert_eq!(history.previous("m"), None);
    history.hold("m", 7);
    assert_eq!(history.previous("m"), Some(PreviousRequest::Held(7)));
    assert!(history.expire(Micros::MAX).is_empty(), "it is held");
    assert!(history.end("m", 7, 10 * SECOND, RequestEnd::Delivered).is_empty());
    assert!(history.expire(10 * SECOND).is_empty());
    assert_eq!(history.previous("m"), DELIVERED);
    assert_eq!(history.expire(10 * SECOND + RETENTION_AFTER_DEADLINE), [7]);
    assert_eq!((history.previous("m"), history.ended_bytes), (None, 0));
}

#[test]
fn a_forgotten_request_is_new() {
    let mut history = RequestHistory::new(10_000);
    history.hold("refused", 1);
    history.forget("refused");
    history.end("ended", 2, SECOND, RequestEnd::GivenUp);
    history.forget("ended");
    assert_eq!((history.previous("refused"), history.previous("ended")), (None, None));
    assert_eq!((history.ended_bytes, history.ended.len()), (0, 0));
}

#[test]
fn ended_requests_stay_within_their_memory() {
    const KEPT: usize = 3;
    let mut history = RequestHistory::new(KEPT * entry_bytes("m0"));
    history.hold("held", 100);
    let forgotten: Vec<_> =
        (0..9).flat_map(|n| history.end(&format!("m{n}"), n, n * SECOND, RequestEnd::Delivered)).collect();
    assert_eq!(forgotten, [0, 1, 2, 3, 4, 5]);
    assert_eq!((history.previous("m5"), history.previous("m6")), (None, DELIVERED));
    assert_eq!(history.previous("held"), Some(PreviousRequest::Held(100)));
    // An id that is larger than all of the memory is not remembered.
    let long = "m".repeat(1_000);
    history.end(&long, 50, 99 * SECOND, RequestEnd::Delivered);
    assert_eq!(history.previous(&long), None);
}
