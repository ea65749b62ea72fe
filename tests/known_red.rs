//! Tests of `.ci/known-red`, which reads the list of tests with known failures: which tests it skips, and which lists
//! it rejects.

use std::io::Write;
use std::process::{Command, Stdio};

const NAMES: &str =
    "first\nfirst_of_all\nmodule::second\nthird\nfourth\nfifth\nsixth\nseventh\neighth\nninth\ntenth\n";

/// Runs the script on this list. Returns the arguments that it prints for the test runner, `None` if it rejects the
/// list, and its standard error.
fn run_script(list: Option<&str>) -> (Option<Vec<String>>, String) {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("KNOWN-RED.txt");
    if let Some(list) = list {
        std::fs::write(&path, list).unwrap();
    }
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(&path).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    child.stdin.take().unwrap().write_all(NAMES.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).unwrap();
    let arguments = text(&output.stdout).lines().map(String::from).collect();
    (output.status.success().then_some(arguments), text(&output.stderr))
}

#[test]
fn an_absent_or_empty_list_skips_nothing() {
    for list in [None, Some("")] {
        assert_eq!(run_script(list), (Some(Vec::new()), String::new()));
    }
}

/// A valid line for a test.
fn line(test: &str, issue: u32) -> String {
    format!("{test} | cargo test {test} | none | seen | {issue}\n")
}

#[test]
fn exactly_the_listed_tests_are_skipped_and_reported() {
    let list = "first | cargo test --test t -- first | none | slow by 3 ms | 7\n\
        module::second | SEEDS=3 cargo test module::second | 3 | a fault, not found | 22\n";
    let (arguments, stderr) = run_script(Some(list));
    assert_eq!(arguments.unwrap(), ["--skip", "first", "--skip", "module::second"]);
    for part in [
        "first: slow by 3 ms (seed none, issue 7): cargo test --test t -- first",
        "module::second: a fault, not found (seed 3, issue 22): SEEDS=3 cargo test module::second",
    ] {
        assert!(stderr.contains(part), "{stderr}");
    }
    // The last line may lack its newline.
    assert_eq!(run_script(Some(line("third", 1).trim_end())).0.unwrap(), ["--skip", "third"]);
}

#[test]
fn malformed_lines_and_names_of_no_test_are_rejected() {
    let lines = [
        "fir | cargo test fir | none | seen | 7",
        "second | cargo test second | none | seen | 7",
        "first",
        "first | cause | 7",
        "first | cargo test first | none | seen",
        "first |  | none | seen | 7",
        "first | cargo test | none | seen | 7",
        "first | cargo test first_of_all | none | seen | 7",
        "first | cargo test first |  | seen | 7",
        "first | cargo test first | any | seen | 7",
        "first | cargo test first | none |  | 7",
        "first | cargo test first | none | seen | seven",
        "first | cargo test first | none | seen |",
        "first | cargo test first | none | seen | 7 | 8",
        "first  | cargo test first | none | seen | 7",
        "--nocapture | cargo test --nocapture | none | seen | 7",
        "\nfirst | cargo test first | none | seen | 7",
        "first | cargo test first | none | seen | 7\nfirst | cargo test first | none | seen | 7",
    ];
    for list in lines {
        assert_eq!(run_script(Some(list)).0, None, "{list:?}");
    }
    let long = line("first", 7).replace("seen", &"s".repeat(300));
    assert_eq!(run_script(Some(&long)).0, None);
}

#[test]
fn a_list_has_at_most_ten_lines() {
    let list: String = NAMES.lines().map(|name| line(name, 1)).collect();
    assert_eq!(NAMES.lines().count(), 11);
    let ten: String = list.split_inclusive('\n').take(10).collect();
    assert_eq!(run_script(Some(&ten)).0.unwrap().len(), 20);
    assert_eq!(run_script(Some(&list)).0, None);
}
