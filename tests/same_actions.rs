//! Recorded runs: the same events have to give the same actions as on the day of the recording, in which the state of
//! all listed destinations was kept and gone over at each decision. `tests/fixtures/actions.txt` holds a line a run:
//! its name, how many actions it gave, and a checksum of them with their times.
//!
//! A commit that changes decisions on purpose, and says so, records anew:
//! `RECORD_ACTIONS=1 cargo test --test same_actions`. One that is about cost or layout must not.

mod common;

use common::steps::{run_cases, run_steps};
use common::traffic::{run_traffic, DENSE};
use common::PolicyHarness;
use std::cell::RefCell;

const RECORDING: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/actions.txt");
/// Runs of the kind of `tests/properties.rs`, and runs over many destinations.
const SHORT_RUNS: u32 = 120;
const TRAFFIC_RUNS: u64 = 120;

fn summary(name: &str, harness: &PolicyHarness) -> String {
    let actions: String = harness.trace.iter().map(|action| format!("{action:?}\n")).collect();
    format!("{name} {} {:08x}\n", harness.trace.len(), crc32fast::hash(actions.as_bytes()))
}

fn short_runs() -> String {
    let lines = RefCell::new(Vec::new());
    run_cases(SHORT_RUNS, |steps, batch| {
        let name = format!("short-{}", lines.borrow().len());
        lines.borrow_mut().push(summary(&name, &run_steps(&steps, batch)));
    });
    lines.into_inner().concat()
}

fn traffic_runs() -> String {
    let run = |seed| summary(&format!("traffic-{seed}"), &run_traffic(seed, DENSE));
    (0..TRAFFIC_RUNS).map(run).collect()
}

#[test]
fn recorded_runs_give_the_recorded_actions() {
    let actions = short_runs() + &traffic_runs();
    if std::env::var_os("RECORD_ACTIONS").is_some() {
        std::fs::write(RECORDING, &actions).unwrap();
    }
    let recorded = std::fs::read_to_string(RECORDING).unwrap();
    let pairs = recorded.lines().zip(actions.lines());
    let differing: Vec<_> = pairs.filter(|(recorded, now)| recorded != now).collect();
    assert!(differing.is_empty(), "{} runs differ, recorded and now: {differing:#?}", differing.len());
    assert_eq!(recorded.lines().count(), actions.lines().count());
}
