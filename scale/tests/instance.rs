//! Tests of `scale instance` through its binary, on a small scenario and with real forwarder processes.

mod common;

use common::{records, records_of_type, rejection_message, TestDirectory, STATUS_INTERRUPTED};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// A small scenario that takes a few seconds.
const SCENARIO: &str = include_str!("common/small_instance.toml");
/// Number of destinations whose list exceeds the 4 MiB that the forwarder reads.
const TOO_MANY_LISTED: &str = "40000";
/// Number of messages for which the write-ahead log of the scenario has no space.
const TOO_MANY_HELD: &str = "3000";

/// The forwarder binary, next to that of the `scale` command. Tests of the whole workspace have built it already.
fn forwarder_binary() -> &'static Path {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let profile_directory = Path::new(env!("CARGO_BIN_EXE_scale")).parent().unwrap();
        let binary = profile_directory.join("foldtrack");
        if !binary.exists() {
            build_forwarder(profile_directory);
        }
        binary
    })
}

/// Builds the forwarder into the directory of a profile. No download is needed, as `scale` has the same dependencies.
fn build_forwarder(profile_directory: &Path) {
    let profile = match profile_directory.file_name().and_then(|name| name.to_str()) {
        Some("debug") => "dev",
        other => other.unwrap(),
    };
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(cargo)
        .args(["build", "--locked", "--offline", "--package", "hatchline", "--bin", "foldtrack"])
        .args(["--profile", profile, "--target-dir"])
        .arg(profile_directory.parent().unwrap())
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap())
        .status();
    assert!(status.unwrap().success(), "building the forwarder failed");
}

/// Arguments of a run of the small scenario, followed by additional ones.
fn arguments<'a>(additional: &[&'a str]) -> Vec<&'a str> {
    arguments_with(forwarder_binary(), additional)
}

fn arguments_with<'a>(binary: &'a Path, additional: &[&'a str]) -> Vec<&'a str> {
    let binary = binary.to_str().unwrap();
    let base_arguments = ["instance", "--scenario", "small.toml", "--json", "out.jsonl", "--binary", binary];
    [&base_arguments[..], additional].concat()
}

/// Runs one point that the forwarder does not support. Returns its only record and its line of output.
fn run_unsupported_point(additional: &[&str]) -> (Value, String) {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&arguments(additional));
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    let line = printed.lines().find(|line| line.starts_with("not taken: ")).expect(&printed);
    let records = records(&directory.read("out.jsonl"));
    assert_eq!((records.len(), &records[0]["record"]), (1, &"not_taken".into()));
    (records[0].clone(), line.to_owned())
}

#[test]
fn a_small_run_prints_tables_and_writes_a_record_per_point() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&arguments(&[]));
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["by listed destinations", "by held messages", "by processes", "slopes"] {
        assert!(printed.contains(title), "{title}: {printed}");
    }
    let records = records(&directory.read("out.jsonl"));
    let points = records_of_type(&records, "point");
    let sizes: Vec<_> =
        points.iter().map(|point| [&point["listed"], &point["held"], &point["processes"]]).collect();
    assert_eq!(sizes, [[10, 0, 1], [30, 0, 1], [10, 3, 1], [10, 0, 2]]);
    for point in &points {
        assert_eq!((&point["experiment"], &point["seed"]), (&"instance".into(), &7.into()));
        assert_eq!((&point["runs"], &point["command_line"][1]), (&5.into(), &"instance".into()));
        assert!(point["commit"].is_string());
        assert_eq!(point["forwarder"].as_str(), forwarder_binary().to_str());
        for metric in ["ready_milliseconds", "list_milliseconds", "resident_bytes", "request_microseconds"] {
            let [min, median, max] =
                ["min", "median", "max"].map(|part| point[metric][part].as_f64().unwrap());
            assert!(0.0 < min && min <= median && median <= max, "{metric}: {point}");
        }
        assert!(point["idle_microseconds_per_second"]["median"].as_f64().unwrap() >= 0.0);
    }
    let slopes = records_of_type(&records, "slope");
    assert_eq!(slopes.len(), 1, "only one series has two points");
    assert_eq!((&slopes[0]["series"], &slopes[0]["runs"]), (&"listed".into(), &5.into()));
}

#[test]
fn a_list_too_long_for_the_forwarder_is_reported_as_not_taken() {
    let additional = ["--series", "listed", "--listed", TOO_MANY_LISTED, "--runs", "1"];
    let (record, line) = run_unsupported_point(&additional);
    assert_eq!(record["listed"].to_string(), TOO_MANY_LISTED);
    let reason = record["reason"].as_str().unwrap();
    assert!(reason.starts_with("the list has ") && line.ends_with(reason), "{line}");
}

/// Each process requests the list once: together they request it more often than a single forwarder may before its
/// list counts as unsupported.
#[test]
fn many_processes_load_the_same_list() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&arguments(&["--series", "processes", "--processes", "30", "--runs", "1"]));
    assert!(output.status.success(), "{output:?}");
    let records = records(&directory.read("out.jsonl"));
    assert_eq!((records.len(), &records[0]["record"]), (1, &"point".into()));
}

#[test]
fn more_messages_than_fit_in_the_log_are_reported_as_not_taken() {
    let additional = ["--series", "held", "--held", TOO_MANY_HELD, "--runs", "1"];
    let (record, line) = run_unsupported_point(&additional);
    assert_eq!(record["held"].to_string(), TOO_MANY_HELD);
    let reason = record["reason"].as_str().unwrap();
    assert!(reason.contains("of 3000 messages, with 1 MB for its log") && line.ends_with(reason), "{line}");
}

#[test]
fn an_interrupt_keeps_completed_points_and_stops_the_forwarders() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    // A separate path identifies the processes of this test. It is a hard link, because running a copy may fail: a
    // child process of another test may have inherited the file descriptor that the copy was written with.
    let own_directory = tempfile::tempdir_in(forwarder_binary().parent().unwrap()).unwrap();
    let binary = own_directory.path().join("foldtrack");
    std::fs::hard_link(forwarder_binary(), &binary).unwrap();
    // Many more runs than can complete before the interrupt.
    let arguments = arguments_with(&binary, &["--series", "processes", "--runs", "1000"]);
    let output = directory.scale_interrupted_after(&arguments, "run measured");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("by processes"));
    assert_eq!(records_of_type(&records(&directory.read("out.jsonl")), "point").len(), 1);
    assert_eq!(directory.names(), ["out.jsonl", "small.toml"]);
    assert_eq!(count_processes(&binary), 0);
}

/// Number of processes that run a binary.
fn count_processes(binary: &Path) -> usize {
    let entries = std::fs::read_dir("/proc").unwrap();
    let running = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path().join("exe")).ok());
    running.filter(|running| running == binary).count()
}

/// A line of the scenario, its invalid replacement, the number of the line, its key, and a part of the error message.
const INVALID_LINES: [(&str, &str, usize, &str, &str); 4] = [
    ("seed = 7", "sede = 7", 1, "sede", "unknown field"),
    ("slots = 50", "slots = 0", 4, "forwarder.slots", "0 is out of range, 1 to 1000000"),
    ("points = [2]", "points = [201]", 28, "processes.points[0]", "201 is out of range, 1 to 200"),
    ("listed = 10", "listed = 5", 25, "held.listed", "5 is less than the 6"),
];

#[test]
fn an_invalid_scenario_is_reported_on_one_line_with_file_line_and_key() {
    for (valid, invalid, line, key, reason) in INVALID_LINES {
        let directory = TestDirectory::with_scenario(&SCENARIO.replacen(valid, invalid, 1));
        let error = rejection_message(&directory, &arguments(&[]));
        let prefix = format!("scale: small.toml:{line}: {key}: ");
        assert!(error.starts_with(&prefix) && error.contains(reason), "{invalid}: {error}");
    }
}

#[test]
fn a_missing_binary_is_reported() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let error =
        rejection_message(&directory, &["instance", "--scenario", "small.toml", "--binary", "absent"]);
    assert!(error.starts_with("scale: --binary: absent: "), "{error}");
}

#[test]
fn a_forwarder_that_exits_fails_the_run() {
    let directory = TestDirectory::with_scenario(SCENARIO);
    let output = directory.scale(&["instance", "--scenario", "small.toml", "--binary", "/bin/false"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("scale: a run failed: a forwarder ended with exit status: 1"), "{error}");
}
