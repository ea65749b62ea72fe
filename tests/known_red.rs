//! Tests of `.ci/known-red`, which reads the list of tests with known failures: which tests it skips, and which lists
//! it rejects.

use std::io::Write;
use std::process::{Command, Stdio};

const NAMES: &str = "first\nfirst_of_all\nmodule::second\nthird\nfourth\n";

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

#[test]
fn exactly_the_listed_tests_are_skipped_and_reported() {
    let (arguments, stderr) =
        run_script(Some("first | slow by 3 ms | 7\nmodule::second | a fault, not found | 22\n"));
    assert_eq!(arguments.unwrap(), ["--skip", "first", "--skip", "module::second"]);
    for part in ["first: slow by 3 ms (issue 7)", "module::second: a fault, not found (issue 22)"] {
        assert!(stderr.contains(part), "{stderr}");
    }
    // The last line may lack its newline.
    assert_eq!(run_script(Some("third | cause | 1")).0.unwrap(), ["--skip", "third"]);
}

#[test]
fn malformed_lines_and_names_of_no_test_are_rejected() {
    let lines = [
        "fir | cause | 7",
        "second | cause | 7",
        "first",
        "first | cause",
        "first |  | 7",
        "first | cause | seven",
        "first | cause | 7 | 8",
        "--nocapture | cause | 7",
        "\nfirst | cause | 7",
        "first | cause | 7\nfirst | cause | 7",
    ];
    for list in lines {
        assert_eq!(run_script(Some(list)).0, None, "{list:?}");
    }
}

#[test]
fn a_list_has_at_most_three_lines() {
    let three = "first | a | 1\nmodule::second | b | 2\nthird | c | 3\n";
    assert_eq!(run_script(Some(three)).0.unwrap().len(), 6);
    assert_eq!(run_script(Some(&format!("{three}fourth | d | 4\n"))).0, None);
}
