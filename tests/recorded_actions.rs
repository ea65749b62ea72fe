//! Recorded runs: the same events must lead to the same actions as when the runs were recorded, with a policy that
//! kept the state of all listed destinations and went through it at each decision. `tests/fixtures/actions.txt` holds
//! one line per run: its name, the number of actions, and a checksum of the actions with their times.
//!
//! A commit that changes decisions on purpose, and says so, records the runs again:
//! `RECORD_ACTIONS=1 cargo test --test recorded_actions`. One that changes only performance or structure must not.

mod common;

use common::random_steps::{run_cases, run_steps};
use common::random_traffic::{run_traffic, DENSE};
use common::PolicyHarness;
use std::cell::RefCell;

const RECORDING_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/actions.txt");
/// Number of runs of random steps, as in `tests/properties.rs`, and number of longer runs over many destinations.
const SHORT_RUNS: u32 = 120;
const TRAFFIC_RUNS: u64 = 120;

fn summary(name: &str, harness: &PolicyHarness) -> String {
    let actions: String = harness.trace.iter().map(|action| format!("{action:?}\n")).collect();
    format!("{name} {} {:08x}\n", harness.trace.len(), crc32fast::hash(actions.as_bytes()))
}

fn short_runs() -> String {
    let lines = RefCell::new(Vec::new());
    run_cases(SHORT_RUNS, |steps, batch_size| {
        let name = format!("short-{}", lines.borrow().len());
        lines.borrow_mut().push(summary(&name, &run_steps(&steps, batch_size)));
    });
    lines.into_inner().concat()
}

fn traffic_runs() -> String {
    let run = |seed| summary(&format!("traffic-{seed}"), &run_traffic(seed, DENSE));
    (0..TRAFFIC_RUNS).map(run).collect()
}

#[test]
fn runs_repeat_the_recorded_actions() {
    let actions = short_runs() + &traffic_runs();
    if std::env::var_os("RECORD_ACTIONS").is_some() {
        std::fs::write(RECORDING_PATH, &actions).unwrap();
    }
    let recorded = std::fs::read_to_string(RECORDING_PATH).unwrap();
    let pairs = recorded.lines().zip(actions.lines());
    let differing: Vec<_> = pairs.filter(|(recorded, actual)| recorded != actual).collect();
    assert!(differing.is_empty(), "{} runs differ (recorded, actual): {differing:#?}", differing.len());
    assert_eq!(recorded.lines().count(), actions.lines().count());
}
