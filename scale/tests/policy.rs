//! `scale policy` through its binary, at a small size.

mod common;

use common::{of_kind, records, rejection, Folder, STATUS_INTERRUPTED};

/// A scenario that takes a moment.
const SCENARIO: &str = include_str!("common/small_policy.toml");

#[test]
fn a_small_run_prints_tables_and_writes_a_record_a_point() {
    let folder = Folder::with_scenario(SCENARIO);
    let output = folder.scale(&["policy", "--scenario", "small.toml", "--json", "out.jsonl"]);
    assert!(output.status.success(), "{output:?}");
    assert!(output.stderr.is_empty(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for title in ["by listed destinations", "by active destinations", "by held messages", "slopes"] {
        assert!(printed.contains(title), "{title}: {printed}");
    }
    let records = records(&folder.read("out.jsonl"));
    let points = of_kind(&records, "point");
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
        for figure in ["request_microseconds", "idle_maintenance_milliseconds_per_second", "memory_bytes"] {
            let [min, median, max] =
                ["min", "median", "max"].map(|part| point[figure][part].as_f64().unwrap());
            assert!(0.0 < min && min <= median && median <= max, "{figure}: {point}");
        }
        let held = point["backlog"].as_u64().unwrap();
        let served = 3 * point["active"].as_u64().unwrap();
        // The backlog, what warms the destinations up, and the fewest requests measured.
        assert_eq!(point["counts"]["requests"], held + served + 10, "{point}");
    }
    assert_eq!(of_kind(&records, "slope").len(), 3);
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let folder = Folder::with_scenario(SCENARIO);
    let counts = |seed: &str| {
        let arguments = ["policy", "--scenario", "small.toml", "--runs", "2", "--json", "out.jsonl"];
        let output = folder.scale(&[&arguments[..], &["--seed", seed]].concat());
        assert!(output.status.success(), "{output:?}");
        let records = records(&folder.read("out.jsonl"));
        assert!(of_kind(&records, "slope").is_empty(), "two runs are too few for slopes");
        records.iter().map(|record| record["counts"].clone()).collect::<Vec<_>>()
    };
    let first = counts("11");
    assert_eq!(first.len(), 7);
    assert_eq!(first, counts("11"));
}

#[test]
fn points_of_the_command_line_replace_those_of_the_scenario() {
    let folder = Folder::with_scenario(SCENARIO);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    let points = ["--series", "listed,backlog", "--listed", "15,25", "--backlog", "8"];
    let output = folder.scale(&[&arguments[..], &points].concat());
    assert!(output.status.success(), "{output:?}");
    let records = records(&folder.read("out.jsonl"));
    let sizes: Vec<_> = records.iter().map(|point| (&point["listed"], &point["backlog"])).collect();
    assert_eq!(sizes, [(&15.into(), &0.into()), (&25.into(), &0.into()), (&400.into(), &8.into())]);
}

#[test]
fn a_point_too_large_for_the_machine_is_skipped_with_a_reason() {
    let folder = Folder::with_scenario(SCENARIO);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    let output =
        folder.scale(&[&arguments[..], &["--series", "listed", "--listed", "20,1000000000"]].concat());
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    let line = printed.lines().find(|line| line.starts_with("skipped: ")).expect(&printed);
    assert!(line.contains("1000000000 listed") && line.contains("memory"), "{line}");
    let records = records(&folder.read("out.jsonl"));
    assert_eq!((of_kind(&records, "skipped").len(), of_kind(&records, "point").len()), (1, 1));
}

/// What is wrong in the scenario, the number of its line, its key, and a part of the reason.
const WRONG_LINES: [(&str, &str, usize, &str, &str); 8] = [
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
fn a_wrong_scenario_is_reported_on_one_line_with_file_line_and_key() {
    for (right, wrong, line, key, reason) in WRONG_LINES {
        let folder = Folder::with_scenario(&SCENARIO.replacen(right, wrong, 1));
        let error = rejection(&folder, &["policy", "--scenario", "small.toml"]);
        let place = format!("scale: small.toml:{line}: {key}: ");
        assert!(error.starts_with(&place) && error.contains(reason), "{wrong}: {error}");
    }
}

#[test]
fn a_missing_key_is_reported() {
    let folder = Folder::with_scenario(&SCENARIO.replacen("slots = 50\n", "", 1));
    let error = rejection(&folder, &["policy", "--scenario", "small.toml"]);
    assert!(error.starts_with("scale: small.toml:3: policy: missing field `slots`"), "{error}");
}

#[test]
fn an_unreadable_scenario_is_reported_by_its_name() {
    let folder = Folder::with_scenario(SCENARIO);
    let error = rejection(&folder, &["policy", "--scenario", "absent.toml"]);
    assert!(error.starts_with("scale: absent.toml: cannot be read"), "{error}");
}

#[test]
fn a_point_of_the_command_line_that_does_not_fit_is_reported() {
    let folder = Folder::with_scenario(SCENARIO);
    let error = rejection(&folder, &["policy", "--scenario", "small.toml", "--active", "5,401"]);
    assert!(error.starts_with("scale: --active: 401 is more than the 400 destinations listed"), "{error}");
}

#[test]
fn an_existing_file_of_records_is_replaced_whole_or_left() {
    let folder = Folder::with_scenario(SCENARIO);
    let old = "an old record\n".repeat(10_000);
    folder.write("out.jsonl", &old);
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1", "--json", "out.jsonl"];
    rejection(&folder, &[&arguments[..], &["--active", "401"]].concat());
    assert_eq!(folder.read("out.jsonl"), old);
    assert!(folder.scale(&arguments).status.success());
    assert_eq!(records(&folder.read("out.jsonl")).len(), 7);
    assert_eq!(folder.names(), ["out.jsonl", "small.toml"]);
}

#[test]
fn an_interrupt_leaves_what_is_done() {
    let folder = Folder::with_scenario(SCENARIO);
    // Far more runs than are made before the interrupt.
    let arguments = ["policy", "--scenario", "small.toml", "--runs", "1000", "--json", "out.jsonl"];
    let output = folder.scale_interrupted_after(&arguments, "run measured");
    assert_eq!(output.status.code(), Some(STATUS_INTERRUPTED), "{output:?}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("by listed destinations"));
    let records = records(&folder.read("out.jsonl"));
    assert!(!of_kind(&records, "point").is_empty());
    assert_eq!(folder.names(), ["out.jsonl", "small.toml"]);
}
