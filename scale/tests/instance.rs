//! `scale instance` through its binary, with forwarders at a small size.

mod common;

use common::{of_kind, records, rejection, Folder, STATUS_INTERRUPTED};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// A scenario that takes some seconds.
const SCENARIO: &str = include_str!("common/small_instance.toml");
/// Destinations whose list is longer than the 4 MiB that the forwarder reads.
const TOO_MANY_LISTED: &str = "40000";
/// Messages that the log of the scenario has no room for.
const TOO_MANY_HELD: &str = "3000";

/// The forwarder's binary, beside that of the tool. Tests of the whole workspace have built it.
fn forwarder() -> &'static Path {
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

/// Builds the forwarder into the directory of a profile. All that it depends on is at hand: the tool depends on it too.
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
    assert!(status.unwrap().success(), "the forwarder is not built");
}

/// Arguments of a run with the small scenario and these.
fn arguments<'a>(more: &[&'a str]) -> Vec<&'a str> {
    arguments_with(forwarder(), more)
}

fn arguments_with<'a>(binary: &'a Path, more: &[&'a str]) -> Vec<&'a str> {
    let binary = binary.to_str().unwrap();
    let always = ["instance", "--scenario", "small.toml", "--json", "out.jsonl", "--binary", binary];
    [&always[..], more].concat()
}

/// The only record of a run with one point that the forwarder does not take, and the line printed for it.
fn not_taken(more: &[&str]) -> (Value, String) {
    let folder = Folder::with_scenario(SCENARIO);
    let output = folder.scale(&arguments(more));
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    let line = printed.lines().find(|line| line.starts_with("not taken: ")).expect(&printed);
    let records = records(&folder.read("out.jsonl"));
    assert_eq!((records.len(), &records[0]["record"]), (1, &"not_taken".into()));
    (records[0].clone(), line.to_owned())
}

#[test]
fn a_small_run_prints_tables_and_writes_a_record_a_point() {
    let folder = Folder::with_scenario(SCENARIO);
    let output = folder.scale(&arguments(&[]));
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["by listed destinations", "by held messages", "by processes", "slopes"] {
        assert!(printed.contains(title), "{title}: {printed}");
    }
    let records = records(&folder.read("out.jsonl"));
    let points = of_kind(&records, "point");
    let sizes: Vec<_> =
        points.iter().map(|point| [&point["listed"], &point["held"], &point["processes"]]).collect();
    assert_eq!(sizes, [[10, 0, 1], [30, 0, 1], [10, 3, 1], [10, 0, 2]]);
    for point in &points {
        assert_eq!((&point["experiment"], &point["seed"]), (&"instance".into(), &7.into()));
        assert_eq!((&point["runs"], &point["command_line"][1]), (&5.into(), &"instance".into()));
        assert!(point["commit"].is_string());
        assert_eq!(point["forwarder"].as_str(), forwarder().to_str());
        for figure in ["ready_milliseconds", "list_milliseconds", "resident_bytes", "request_microseconds"] {
            let [min, median, max] =
                ["min", "median", "max"].map(|part| point[figure][part].as_f64().unwrap());
            assert!(0.0 < min && min <= median && median <= max, "{figure}: {point}");
        }
        assert!(point["idle_microseconds_per_second"]["median"].as_f64().unwrap() >= 0.0);
    }
    let slopes = of_kind(&records, "slope");
    assert_eq!(slopes.len(), 1, "only one series has two points");
    assert_eq!((&slopes[0]["series"], &slopes[0]["runs"]), (&"listed".into(), &5.into()));
}

#[test]
fn a_list_too_long_for_the_forwarder_is_reported_as_not_taken() {
    let more = ["--series", "listed", "--listed", TOO_MANY_LISTED, "--runs", "1"];
    let (record, line) = not_taken(&more);
    assert_eq!(record["listed"].to_string(), TOO_MANY_LISTED);
    let reason = record["reason"].as_str().unwrap();
    assert!(reason.starts_with("the list has ") && line.ends_with(reason), "{line}");
}

/// Each asks for the list once: together more often than one forwarder does before its list counts as not taken.
#[test]
fn many_processes_take_the_same_list() {
    let folder = Folder::with_scenario(SCENARIO);
    let output = folder.scale(&arguments(&["--series", "processes", "--processes", "30", "--runs", "1"]));
    assert!(output.status.success(), "{output:?}");
    let records = records(&folder.read("out.jsonl"));
    assert_eq!((records.len(), &records[0]["record"]), (1, &"point".into()));
}

#[test]
fn more_messages_than_the_log_has_room_for_are_reported_as_not_taken() {
    let more = ["--series", "held", "--held", TOO_MANY_HELD, "--runs", "1"];
    let (record, line) = not_taken(&more);
    assert_eq!(record["held"].to_string(), TOO_MANY_HELD);
    let reason = record["reason"].as_str().unwrap();
    assert!(reason.contains("of 3000 messages, with 1 MB for its log") && line.ends_with(reason), "{line}");
}

#[test]
fn an_interrupt_leaves_what_is_done_and_ends_the_forwarders() {
    let folder = Folder::with_scenario(SCENARIO);
    // A name of its own shows which processes are of this test. A copy could not always be run: while it is written,
    // another test's child may have inherited the open file.
    let own_folder = tempfile::tempdir_in(forwarder().parent().unwrap()).unwrap();
    let binary = own_folder.path().join("foldtrack");
    std::fs::hard_link(forwarder(), &binary).unwrap();
    // Far more runs than are made before the interrupt.
    let arguments = arguments_with(&binary, &["--series", "processes", "--runs", "1000"]);
    let output = folder.scale_interrupted_after(&arguments, "run measured");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("by processes"));
    assert_eq!(of_kind(&records(&folder.read("out.jsonl")), "point").len(), 1);
    assert_eq!(folder.names(), ["out.jsonl", "small.toml"]);
    assert_eq!(processes_of(&binary), 0);
}

/// How many processes run a binary.
fn processes_of(binary: &Path) -> usize {
    let entries = std::fs::read_dir("/proc").unwrap();
    let running = entries.filter_map(|entry| std::fs::read_link(entry.ok()?.path().join("exe")).ok());
    running.filter(|running| running == binary).count()
}

/// What is wrong in the scenario, the number of its line, its key, and a part of the reason.
const WRONG_LINES: [(&str, &str, usize, &str, &str); 4] = [
    ("seed = 7", "sede = 7", 1, "sede", "unknown field"),
    ("slots = 50", "slots = 0", 4, "forwarder.slots", "0 is out of range, 1 to 1000000"),
    ("points = [2]", "points = [201]", 28, "processes.points[0]", "201 is out of range, 1 to 200"),
    ("listed = 10", "listed = 5", 25, "held.listed", "5 is less than the 6"),
];

#[test]
fn a_wrong_scenario_is_reported_on_one_line_with_file_line_and_key() {
    for (right, wrong, line, key, reason) in WRONG_LINES {
        let folder = Folder::with_scenario(&SCENARIO.replacen(right, wrong, 1));
        let error = rejection(&folder, &arguments(&[]));
        let place = format!("scale: small.toml:{line}: {key}: ");
        assert!(error.starts_with(&place) && error.contains(reason), "{wrong}: {error}");
    }
}

#[test]
fn a_missing_binary_is_reported() {
    let folder = Folder::with_scenario(SCENARIO);
    let error = rejection(&folder, &["instance", "--scenario", "small.toml", "--binary", "absent"]);
    assert!(error.starts_with("scale: --binary: absent: "), "{error}");
}

#[test]
fn a_forwarder_that_ends_fails_the_run() {
    let folder = Folder::with_scenario(SCENARIO);
    let output = folder.scale(&["instance", "--scenario", "small.toml", "--binary", "/bin/false"]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("scale: a run failed: a forwarder ended with exit status: 1"), "{error}");
}
