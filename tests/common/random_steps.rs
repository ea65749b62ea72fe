//! Random but seeded sequences of valid events, run on a harness.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// One step of a random sequence.
#[derive(Clone, Debug)]
pub enum Step {
    Submit {
        class: usize,
        destination: u32,
        key: u64,
    },
    /// Ends one of the attempts in flight, if there are any. `retry_after` counts units of 700 ms and applies to
    /// rejections only.
    EndAttempt {
        which: usize,
        outcome: u8,
        retry_after: u64,
    },
    /// Sends the policy a list update with the new state of one endpoint.
    SetState {
        target: u32,
        state: u8,
    },
    /// Sends the policy the full list without one endpoint. If no endpoint has this number, the list is complete.
    FullList {
        omitted: u32,
    },
    Advance {
        span: u64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 1..4u32, 1..4u64).prop_map(|(class, destination, key)| Step::Submit { class, destination, key }),
        8 => (0..40usize, 0..12u8, 0..3u64).prop_map(|(which, outcome, retry_after)| Step::EndAttempt { which, outcome, retry_after }),
        1 => (1..8u32, 0..3u8).prop_map(|(target, state)| Step::SetState { target, state }),
        1 => (0..9u32).prop_map(|omitted| Step::FullList { omitted }),
        6 => (5..900u64).prop_map(|ms| Step::Advance { span: ms * MILLISECOND }),
    ]
}

fn listed_endpoints() -> Vec<Endpoint> {
    let endpoint =
        |target, destination, kind, zone| Endpoint { target, destination, kind, zone, ..Endpoint::default() };
    vec![
        endpoint(1, 1, 0, 0),
        endpoint(2, 1, 0, 1),
        endpoint(3, 2, 1, 0),
        endpoint(4, 2, 1, 1),
        endpoint(5, 3, 0, 0),
        endpoint(6, 3, 0, 1),
        endpoint(7, 3, 0, 0),
    ]
}

/// Runs the steps, then advances time until all messages have ended.
pub fn run_steps(steps: &[Step], batch_size: u32) -> PolicyHarness {
    let mut zone_scoped = class(RetrySafety::Keyed);
    zone_scoped.deduplication_scope = DeduplicationScope::Zone;
    let mut ordered = class(RetrySafety::Keyed);
    ordered.in_order = true;
    let mut ordered_unsafe = class(RetrySafety::Unsafe);
    ordered_unsafe.in_order = true;
    let mut settings = settings(vec![
        class(RetrySafety::Repeatable),
        class(RetrySafety::Unsafe),
        zone_scoped,
        ordered,
        ordered_unsafe,
    ]);
    settings.batch_by_kind = vec![batch_size, 1];
    settings.route_per_endpoint = vec![false, true];
    settings.zone_fee = vec![0.05, 0.0];
    let mut harness = PolicyHarness::new(settings, listed_endpoints());
    for step in steps {
        match step {
            Step::Submit { class, destination, key } => drop(harness.submit(*class, *destination, *key)),
            Step::EndAttempt { which, outcome, retry_after } => {
                let in_flight = harness.attempts_in_flight();
                if let Some((id, index, _)) = in_flight.get(which % in_flight.len().max(1)) {
                    let outcomes = [
                        Outcome::Error,
                        Outcome::Rejected,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::NotSent,
                    ];
                    let outcome = outcomes.get(usize::from(*outcome)).copied().unwrap_or(Outcome::Ok);
                    let retry_after =
                        if outcome == Outcome::Rejected { retry_after * 700 * MILLISECOND } else { 0 };
                    harness.end_attempt(*id, *index, outcome, retry_after);
                }
            }
            Step::SetState { target, state } => {
                let states = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
                let listed =
                    listed_endpoints().into_iter().find(|endpoint| endpoint.target == *target).unwrap();
                let changed = Endpoint { state: states[usize::from(*state)], ..listed };
                harness.update_list(ListKind::Delta, vec![changed]);
            }
            Step::FullList { omitted } => {
                harness.update_list(
                    ListKind::Full,
                    listed_endpoints().into_iter().filter(|endpoint| endpoint.target != *omitted).collect(),
                );
            }
            Step::Advance { span } => harness.advance(*span, never_responds),
        }
    }
    harness.advance(22 * SECOND, never_responds);
    harness
}

/// Runs the test with a fixed number of sequences from a fixed seed, so that its result is reproducible.
pub fn run_cases(count: u32, test: impl Fn(Vec<Step>, u32)) {
    let config = Config { cases: count, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (proptest::collection::vec(any_step(), 20..120), prop_oneof![Just(1u32), Just(4u32)]);
    let result = runner.run(&input, |(steps, batch_size)| {
        test(steps, batch_size);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
