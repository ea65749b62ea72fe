//! A destination whose routes are all shut is not looked at until the first opens, unless that time changes:
//! then it is looked at in the same moment.

mod common;

use common::*;
use hatchline::*;

/// Short enough not to open the breaker; it ends between two times of maintenance.
const WAIT: u64 = 1030 * MS;
/// By then a call follows the wait, whatever pause the refusal adds, and the message is still in time.
const OPEN_BY: u64 = 15 * S;

/// One destination with one endpoint. Each endpoint has a route of its own.
fn one_destination() -> Field {
    let settings =
        Settings { route_per_endpoint: vec![true], ..settings(vec![class(RetrySafety::Repeatable)]) };
    Field::new(settings, vec![endpoint(1, 1)])
}

/// Its only endpoint refuses a message and tells a wait.
fn told_wait(field: &mut Field) {
    let id = field.request(0, 1, 0);
    field.end(id, 0, Outcome::Rejected, WAIT);
    field.run(WAIT / 2, silent);
    assert!(field.out().is_empty(), "a call within the wait");
}

/// Ends the calls that are out, but for that of one message, as failed, until none more is made.
fn fail_all_but(field: &mut Field, kept: MessageId) {
    while let Some((id, attempt, _)) = field.out().into_iter().find(|(id, ..)| *id != kept) {
        field.end(id, attempt, Outcome::ConnectFailed, 0);
    }
}

#[test]
fn an_answer_that_closes_the_breaker_is_followed_at_once() {
    let mut field = one_destination();
    for _ in 0..6 {
        field.request(0, 1, 0);
        field.run(S, serves(50 * MS));
    }
    let answered = field.request(0, 1, 0);
    for _ in 0..3 {
        field.request(0, 1, 0);
    }
    assert_eq!(field.out().len(), 4);
    fail_all_but(&mut field, answered);
    field.request(0, 1, 0);
    assert_eq!(field.out().len(), 1, "a call through an open breaker");
    field.end(answered, 0, Outcome::Ok, 0);
    assert!(!field.out().is_empty(), "nothing follows the answer");
    field.kept();
}

#[test]
fn an_endpoint_with_a_route_of_its_own_is_called_at_once() {
    let mut field = one_destination();
    told_wait(&mut field);
    field.list(ListKind::Delta, vec![endpoint(2, 1)]);
    let targets: Vec<_> = field.out().iter().map(|(_, _, sent)| sent.target).collect();
    assert_eq!(targets, [2]);
    field.kept();
}

#[test]
fn a_wait_that_a_restart_takes_over_ends() {
    let mut field = one_destination();
    told_wait(&mut field);
    let state = field.policy.export_state().unwrap();
    field.policy = DeliveryPolicy::import_state(&state, field.settings.clone()).unwrap();
    field.run(OPEN_BY, serves(0));
    assert!(field.mail.values().all(|mail| mail.served));
    field.kept();
}

#[test]
fn a_process_that_stops_arms_no_timer_for_the_end_of_a_wait() {
    let mut field = one_destination();
    told_wait(&mut field);
    field.feed(Event::Shutdown { at: field.now });
    let before = field.trace.len();
    field.run(OPEN_BY, silent);
    let due = |(at, action): &(u64, Action)| match action {
        Action::Timer { after, .. } => Some(at + after),
        _ => None,
    };
    let timers: Vec<u64> = field.trace[before..].iter().filter_map(due).collect();
    assert!(!timers.is_empty());
    // What is left is the maintenance, every 100 ms.
    assert!(timers.iter().all(|at| at % (100 * MS) == 0), "{timers:?}");
    field.kept();
}
