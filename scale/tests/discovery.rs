//! Tests of `scale discovery` through its binary, on a small scenario.

mod common;

use common::{
    assert_invalid_lines_are_reported, records, records_of_type, InvalidLine, TestDirectory,
    STATUS_INTERRUPTED,
};
use serde_json::Value;

/// A small scenario that runs quickly.
const SCENARIO: &str = include_str!("common/small_discovery.toml");
const ARGUMENTS: [&str; 5] = ["discovery", "--scenario", "small.toml", "--json", "out.jsonl"];
const CASES: [&str; 4] = ["steady_changes", "rolling_restart", "zone_outage", "silence"];

/// Runs a scenario with additional arguments. Returns the records of its points.
fn run_scenario(scenario: &str, arguments: &[&str]) -> Vec<Value> {
    let directory = TestDirectory::with_scenario(scenario);
    let output = directory.scale(&[&ARGUMENTS[..], arguments].concat());
    assert!(output.status.success(), "{output:?}");
    records(&directory.read("out.jsonl"))
}

fn number(record: &Value, pointer: &str) -> f64 {
    let value = record.pointer(pointer).unwrap_or_else(|| panic!("{pointer}: {record}"));
    value.as_f64().unwrap_or_else(|| panic!("{pointer}: {record}"))
}

#[test]
fn a_small_run_prints_a_table_per_case_and_writes_a_record_per_point() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&ARGUMENTS);
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["steady changes", "rolling restart", "zone outage", "silence"] {
        assert!(printed.lines().any(|line| line == title), "{title}: {printed}");
    }
    let records = records(&directory.read("out.jsonl"));
    let points = records_of_type(&records, "point");
    let actual: Vec<_> = points.iter().map(|point| (&point["case"], &point["instances"])).collect();
    let expected: Vec<(Value, Value)> =
        CASES.into_iter().flat_map(|case| [8, 40].map(|count| (case.into(), count.into()))).collect();
    assert_eq!(actual, expected.iter().map(|(case, count)| (case, count)).collect::<Vec<_>>());
    for point in points {
        assert_eq!((&point["experiment"], &point["seed"]), (&"discovery".into(), &7.into()));
        assert!(point["commit"].is_string());
        assert_eq!(point["command_line"][1], "discovery");
        assert_eq!(point["not_in_force"], 0, "{point}");
        let [median, p99, max] = ["median", "p99", "max"]
            .map(|part| number(point, &format!("/in_force_after_milliseconds/{part}")));
        assert!(0.0 < median && median <= p99 && p99 <= max, "{point}");
    }
}

#[test]
fn each_case_has_the_expected_load_and_delays() {
    let points = run_scenario(SCENARIO, &["--instances", "40"]);
    let [steady, rolling_restart, zone_outage, silence] = &points[..] else { panic!("{points:?}") };
    let replicas = 40.0;
    let changes = number(steady, "/changes");
    // One call per second, and one more for each change.
    let calls = number(steady, "/each_instance/calls_per_second");
    assert!(calls > 0.9 && calls < 1.1 + changes / 60.0, "{steady}");
    let at_discovery = number(steady, "/discovery/calls_per_second");
    assert!((at_discovery / (calls * replicas) - 1.0).abs() < 0.01, "{steady}");
    assert_eq!(number(steady, "/in_force"), changes * replicas);
    assert_eq!(number(steady, "/turned_away_per_second"), 0.0);
    let longest = |point| number(point, "/in_force_after_milliseconds/max");
    assert!(longest(steady) < 1_000.0, "{steady}");
    // A restarted client waits for a random delay before its first call.
    assert!(longest(rolling_restart) > longest(steady), "{rolling_restart}");
    // The 15 entries of the zone, of over 100 bytes each, go to 30 replicas at once.
    let peak_bytes = |point| number(point, "/discovery_peak/bytes_per_second");
    let zone_bytes = 15.0 * 100.0 * 30.0;
    assert!(peak_bytes(steady) < zone_bytes && peak_bytes(zone_outage) > zone_bytes, "{zone_outage}");
    // A watch that misses a change has been open for less than 1 s, and times out 2.5 s after it began. Then 40
    // replicas open new watches, at a limit of 10 per second.
    assert!(longest(silence) > 1_500.0, "{silence}");
    assert!(number(silence, "/turned_away_per_second") > 0.0, "{silence}");
}

#[test]
fn the_same_seed_gives_the_same_results_and_another_seed_different_ones() {
    let first = run_scenario(SCENARIO, &["--instances", "40"]);
    assert_eq!(first, run_scenario(SCENARIO, &["--instances", "40"]));
    let other = run_scenario(SCENARIO, &["--instances", "40", "--seed", "8"]);
    let rates = |points: &[Value]| points.iter().map(|point| point["discovery"].clone()).collect::<Vec<_>>();
    assert_ne!(rates(&first), rates(&other));
}

#[test]
fn in_pushed_mode_no_call_is_rejected_and_no_change_is_late() {
    let pushed = SCENARIO.replacen("on_request", "pushed", 1);
    let points = run_scenario(&pushed, &["--cases", "silence", "--instances", "40"]);
    assert_eq!(points.len(), 1);
    assert_eq!(number(&points[0], "/turned_away_per_second"), 0.0);
    assert_eq!(number(&points[0], "/in_force_after_6_seconds_percent"), 0.0);
}

const INVALID_LINES: [InvalidLine; 6] = [
    ("zones = 4", "zone = 4", 4, "zone", "unknown field"),
    ("listed = 60", "listed = 0", 3, "listed", "0 is out of range, 1 to 1000000"),
    ("\"on_request\"", "\"pulled\"", 5, "mode", "unknown variant"),
    ("step_s = 5", "step_s = 7", 23, "rolling_restart.step_s", "ends at 70 s, after phases.measured_s of 60"),
    ("lasts_s = 20", "lasts_s = 51", 27, "zone_outage.lasts_s", "ends at 61 s"),
    ("unreachable_s = 8", "unreachable_s = 31", 31, "silence.unreachable_s", "ends at 61 s"),
];

#[test]
fn an_invalid_scenario_is_reported_on_one_line_with_file_line_and_key() {
    assert_invalid_lines_are_reported(SCENARIO, &ARGUMENTS, &INVALID_LINES);
}

#[test]
fn an_interrupt_keeps_completed_points() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    // The second point takes much longer than the interrupt.
    let arguments = [&ARGUMENTS[..], &["--cases", "steady_changes", "--instances", "8,5000"]].concat();
    let output = directory.scale_interrupted_after(&arguments, "point measured");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("steady changes"));
    assert_eq!(records(&directory.read("out.jsonl")).len(), 1);
    assert_eq!(directory.names(), ["out.jsonl", "small.toml"]);
}
