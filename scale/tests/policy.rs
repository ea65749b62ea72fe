//! Tests of `scale policy` through its binary, on a small scenario.

mod common;

use common::{
    assert_invalid_lines_are_reported, records, records_of_type, rejection_message, InvalidLine,
    TestDirectory, STATUS_INTERRUPTED,
};

/// A small scenario that runs quickly.
const SCENARIO: &str = include_str!("common/small_policy.toml");

#[test]
fn a_small_run_prints_tables_and_writes_a_record_per_point() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&["policy", "--scenario", "small.toml", "--json", "out.jsonl"]);
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["by listed destinations", "by active destinations", "by held messages", "slopes"] {
        assert!(printed.contains(title), "{title}: {printed}");
    }
    let records = records(&directory.read("out.jsonl"));
    let points = records_of_type(&records, "point");
    let sizes: Vec<_> =
        points.iter().map(|point| [&point["listed"], &point["active"], &point["backlog"]]).collect();
    let expected =
        [[200, 10, 0], [400, 10, 0], [400, 5, 0], [400, 400, 0], [400, 10, 0], [400, 10, 3], [400, 10, 200]];
    assert_eq!(sizes, expected);
    for point in &points {
        assert_eq!((&point["experiment"], &point["seed"]), (&"policy".into(), &7.into()));
        assert_eq!(point["runs"], 5);
        assert!(point["commit"].is_string());
        assert_eq!(point["command_line"][1], "policy");
        for metric in ["request_microseconds", "idle_maintenance_milliseconds_per_second", "memory_bytes"] {
            let [min, median, max] =
                ["min", "median", "max"].map(|part| point[metric][part].as_f64().unwrap());
            assert!(0.0 < min && min <= median && median <= max, "{metric}: {point}");
        }
        let held = point["backlog"].as_u64().unwrap();
        let served = 3 * point["active"].as_u64().unwrap();
        // The backlog, the warm-up of the active destinations, and the minimum number of measured requests.
        assert_eq!(point["counts"]["requests"], held + served + 10, "{point}");
    }
    assert_eq!(records_of_type(&records, "slope").len(), 3);
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let counts = |seed: &str| {
        let arguments = ["policy", "--scenario", "small.toml", "--runs", "2", "--json", "out.jsonl"];
        let output = directory.scale(&[&arguments[..], &["--seed", seed]].concat());
        assert!(output.status.success(), "{output:?}");
        let records = records(&directory.read("out.jsonl"));
        assert!(records_of_type(&records, "slope").is_empty(), "two runs are too few for slopes");
        records.iter().map(|record| record["counts"].clone()).collect::<Vec<_>>()
    };
    let first = counts("11");
    assert_eq!(first.len(), 7);
    assert_eq!(first, counts("11"));
}

#[test]
fn command_line_points_override_the_scenario() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    let points = ["--series", "listed,backlog", "--listed", "15,25", "--backlog", "8"];
    let output = directory.scale(&[&arguments[..], &points].concat());
    assert!(output.status.success(), "{output:?}");
    let records = records(&directory.read("out.jsonl"));
    let sizes: Vec<_> = records.iter().map(|point| (&point["listed"], &point["backlog"])).collect();
    assert_eq!(sizes, [(&15.into(), &0.into()), (&25.into(), &0.into()), (&400.into(), &8.into())]);
}

#[test]
fn a_point_too_large_for_the_machine_is_skipped_with_a_reason() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    let output =
        directory.scale(&[&arguments[..], &["--series", "listed", "--listed", "20,1000000000"]].concat());
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    let line = printed.lines().find(|line| line.starts_with("skipped: ")).expect(&printed);
    assert!(line.contains("1000000000 listed") && line.contains("memory"), "{line}");
    let records = records(&directory.read("out.jsonl"));
    assert_eq!(
        (records_of_type(&records, "skipped").len(), records_of_type(&records, "point").len()),
        (1, 1)
    );
}

const INVALID_LINES: [InvalidLine; 8] = [
    ("seed = 7", "sede = 7", 1, "sede", "unknown field"),
    ("slots = 50", "slots = 50\nslot = 50", 6, "policy.slot", "unknown field"),
    ("slots = 50", "slots = 0", 5, "policy.slots", "0 is out of range, 1 to 1000000"),
    ("worth = 1.0", "worth = 1.5", 13, "policy.classes[0].worth", "1.5 is out of range, 0 to 1"),
    ("effect = \"unsafe\"", "effect = \"safe\"", 26, "policy.classes[1].effect", "unknown variant"),
    ("request_class = \"first\"", "request_class = \"third\"", 30, "workload.request_class", "no class"),
    ("points = [5, 400]", "points = [5,\n  401]", 43, "active.points", "401 is more than the 400"),
    ("seed = 7", "seed 7", 1, "(syntax)", ""),
];

#[test]
fn an_invalid_scenario_is_reported_on_one_line_with_file_line_and_key() {
    assert_invalid_lines_are_reported(SCENARIO, &["policy", "--scenario", "small.toml"], &INVALID_LINES);
}

#[test]
fn a_missing_key_is_reported() {
    let directory = TestDirectory::with_scenario(&SCENARIO.replacen("slots = 50\n", "", 1));
    let error = rejection_message(&directory, &["policy", "--scenario", "small.toml"]);
    assert!(error.starts_with("scale: small.toml:3: policy: missing field `slots`"), "{error}");
}

#[test]
fn an_unreadable_scenario_is_named_in_the_error() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let error = rejection_message(&directory, &["policy", "--scenario", "absent.toml"]);
    assert!(error.starts_with("scale: absent.toml: cannot be read"), "{error}");
}

#[test]
fn a_command_line_point_that_does_not_fit_is_reported() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let error = rejection_message(&directory, &["policy", "--scenario", "small.toml", "--active", "5,401"]);
    assert!(error.starts_with("scale: --active: 401 is more than the 400 destinations listed"), "{error}");
}

#[test]
fn an_existing_records_file_is_replaced_whole_or_kept() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let old = "an old record\n".repeat(10_000);
    directory.write("out.jsonl", &old);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    rejection_message(&directory, &[&arguments[..], &["--active", "401"]].concat());
    assert_eq!(directory.read("out.jsonl"), old);
    assert!(directory.scale(&arguments).status.success());
    assert_eq!(records(&directory.read("out.jsonl")).len(), 7);
    assert_eq!(directory.names(), ["out.jsonl", "small.toml"]);
}

#[test]
fn an_interrupt_keeps_completed_points() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    // More runs than can complete before the interrupt.
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1000", "--json", "out.jsonl"];
    let output = directory.scale_interrupted_after(&arguments, "run measured");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("by listed destinations"));
    let records = records(&directory.read("out.jsonl"));
    assert!(!records_of_type(&records, "point").is_empty());
    assert_eq!(directory.names(), ["out.jsonl", "small.toml"]);
}
