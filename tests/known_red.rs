//! The list of tests that fail for a known fault: what it passes over, and what it does not put up with.

use std::io::Write;
use std::process::{Command, Stdio};

const NAMES: &str = "first\nfirst_of_all\nmodule::second\nthird\nfourth\n";

/// What the tests' runner is passed for such a list, or none if the list is not taken; and what is said.
fn read(list: Option<&str>) -> (Option<Vec<String>>, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("KNOWN-RED.txt");
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
fn an_absent_or_empty_list_changes_nothing() {
    for list in [None, Some("")] {
        assert_eq!(read(list), (Some(Vec::new()), String::new()));
    }
}

#[test]
fn just_what_is_listed_is_passed_over_and_named() {
    let (arguments, said) =
        read(Some("first | slow by 3 ms | 7\nmodule::second | a fault, not found | 22\n"));
    assert_eq!(arguments.unwrap(), ["--skip", "first", "--skip", "module::second"]);
    for part in ["first: slow by 3 ms (issue 7)", "module::second: a fault, not found (issue 22)"] {
        assert!(said.contains(part), "{said}");
    }
    // The last line may lack its end.
    assert_eq!(read(Some("third | cause | 1")).0.unwrap(), ["--skip", "third"]);
}

#[test]
fn a_list_that_names_no_test_or_says_too_little_is_not_taken() {
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
        assert_eq!(read(Some(list)).0, None, "{list:?}");
    }
}

#[test]
fn three_lines_are_the_most() {
    let three = "first | a | 1\nmodule::second | b | 2\nthird | c | 3\n";
    assert_eq!(read(Some(three)).0.unwrap().len(), 6);
    assert_eq!(read(Some(&format!("{three}fourth | d | 4\n"))).0, None);
}
