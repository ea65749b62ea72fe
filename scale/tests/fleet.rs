//! Tests of `scale fleet` through its binary, on a small scenario.

mod common;

use common::{
    assert_invalid_lines_are_reported, records, records_of_type, InvalidLine, TestDirectory,
    STATUS_INTERRUPTED,
};
use serde_json::Value;

/// A small scenario: two fleet sizes and 100 s of virtual time.
const SCENARIO: &str = include_str!("common/small_fleet.toml");
/// Calls that the contract allows in a window: in one right after the outage, and in one from the end of the ramp on.
const ALLOWED_CALLS_WHEN_COLD: f64 = 9.62;
const ALLOWED_CALLS_WHEN_WARM: f64 = 29.42;

/// Runs the small scenario and returns its records.
fn points(directory: &TestDirectory, arguments: &[&str]) -> Vec<Value> {
    let run = ["fleet", "--scenario", "small.toml", "--json", "out.jsonl"];
    let output = directory.scale(&[&run[..], arguments].concat());
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    records(&directory.read("out.jsonl"))
}

/// The records without the command line, which differs between invocations.
fn without_command_line(mut points: Vec<Value>) -> Vec<Value> {
    for point in &mut points {
        point.as_object_mut().unwrap().remove("command_line");
    }
    points
}

/// Returns a number of a record after checking its range.
fn number_in(point: &Value, path: &str, min: f64, max: f64) -> f64 {
    let number = point.pointer(path).and_then(Value::as_f64).expect(path);
    assert!((min..=max).contains(&number), "{path} is {number}: {point}");
    number
}

#[test]
fn a_small_run_prints_tables_and_writes_a_record_per_point() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&["fleet", "--scenario", "small.toml"]);
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["steady traffic", "calls refused", "calls silent", "only the events of 3 sampled"] {
        assert!(printed.contains(title), "{title}: {printed}");
    }
    let points = points(&directory, &[]);
    let keys: Vec<_> =
        records_of_type(&points, "point").iter().map(|point| [&point["replicas"], &point["case"]]).collect();
    let expected: [[Value; 2]; 4] = [
        [2.into(), "refused".into()],
        [10.into(), "refused".into()],
        [2.into(), "silent".into()],
        [10.into(), "silent".into()],
    ];
    assert_eq!(keys, expected.each_ref().map(|[replicas, case]| [replicas, case]));
    for point in &points {
        assert_eq!((&point["experiment"], &point["seed"]), (&"fleet".into(), &7.into()));
        assert!(point["commit"].is_string());
        assert_eq!(point["command_line"][1], "fleet");
    }
}

#[test]
fn the_same_seed_gives_the_same_results_on_any_number_of_threads() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let first = without_command_line(points(&directory, &["--seed", "11", "--threads", "1"]));
    assert_eq!(first.len(), 4);
    assert_eq!(first, without_command_line(points(&directory, &["--seed", "11", "--threads", "4"])));
    assert_ne!(first, without_command_line(points(&directory, &["--seed", "12"])));
}

#[test]
fn learned_responses_match_the_traffic() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let points = points(&directory, &["--cases", "refused"]);
    // A destination gets 1.5 messages per second: 90 in the steady phase, spread over two or ten replicas.
    for (point, responses) in points.iter().zip([45.0, 9.0]) {
        number_in(point, "/steady/pairs_met_share", 0.9, 1.0);
        number_in(point, "/steady/answers_of_pairs_met/median", 0.6 * responses, 1.5 * responses);
        // Time in which a pair gets 20 responses at that rate.
        let seconds = 20.0 * 60.0 / responses;
        number_in(point, "/steady/seconds_until_trusted", 0.6 * seconds, 1.5 * seconds);
    }
    number_in(&points[0], "/steady/pairs_trusted_share", 0.9, 1.0);
    number_in(&points[1], "/steady/pairs_trusted_share", 0.0, 0.2);
}

#[test]
fn small_fleets_load_a_cold_destination_within_bounds() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    for point in points(&directory, &[]) {
        for window in ["worst_window", "worst_window_of_any"] {
            let key = |path: &str| format!("/outage/{window}/{path}");
            let allowed_calls =
                number_in(&point, &key("allowed"), ALLOWED_CALLS_WHEN_COLD, ALLOWED_CALLS_WHEN_WARM);
            // Two replicas stay within the allowed calls. Each of ten replicas knows only its own calls, so for them
            // the number is only bounded loosely.
            let max_calls = if point["replicas"] == 2 { allowed_calls } else { 2.0 * allowed_calls };
            number_in(&point, &key("calls"), 1.0, max_calls);
        }
        let over_budget = number_in(&point, "/outage/destinations_over_budget", 0.0, 3.0);
        let exceeds = |load: &Value| load["calls"].as_f64().unwrap() > load["allowed"].as_f64().unwrap();
        assert_eq!(over_budget > 0.0, exceeds(&point["outage"]["worst_window"]), "{point}");
        // Each destination is called while it is down, but not with every attempt of every message.
        number_in(&point, "/outage/calls_while_down/min", 1.0, 60.0);
        number_in(&point, "/outage/calls_while_down/max", 1.0, 60.0);
        // Messages that arrive less than their deadline before the end of the outage can still be delivered.
        number_in(&point, "/outage/delivered_share_of_outage", 0.05, 1.0);
        let recovery = number_in(&point, "/outage/delivered_share_of_recovery", 0.5, 1.0);
        assert!(recovery >= point["outage"]["delivered_share_of_outage"].as_f64().unwrap(), "{point}");
        number_in(&point, "/outage/delivered_share_of_run", 0.5, 1.0);
    }
}

#[test]
fn command_line_sizes_and_cases_override_the_scenario() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let points = points(&directory, &["--sizes", "1,3", "--cases", "silent"]);
    let keys: Vec<_> = points.iter().map(|point| (&point["replicas"], &point["case"])).collect();
    assert_eq!(keys, [(&1.into(), &"silent".into()), (&3.into(), &"silent".into())]);
}

const INVALID_LINES: [InvalidLine; 4] = [
    ("sizes = [2, 10]", "sizes = [2, 0]", 2, "sizes[1]", "0 is out of range, 1 to 100000"),
    ("worth = 1.0", "worth = 1.5", 11, "policy.class.worth", "1.5 is out of range, 0 to 1"),
    ("outage_s = 10", "outage = 10", 26, "phases.outage", "unknown field"),
    ("seed = 7", "seed 7", 1, "(syntax)", ""),
];

#[test]
fn an_invalid_scenario_is_reported_on_one_line_with_file_line_and_key() {
    assert_invalid_lines_are_reported(SCENARIO, &["fleet", "--scenario", "small.toml"], &INVALID_LINES);
}

#[test]
fn an_interrupt_keeps_completed_points() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    // More points than can complete before the interrupt.
    let sizes = vec!["2"; 2_000].join(",");
    let arguments = ["fleet", "--scenario", "small.toml", "--sizes", &sizes, "--json", "out.jsonl"];
    let output = directory.scale_interrupted_after(&arguments, "point simulated");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("steady traffic"));
    assert!(!records_of_type(&records(&directory.read("out.jsonl")), "point").is_empty());
    assert_eq!(directory.names(), ["out.jsonl", "small.toml"]);
}
