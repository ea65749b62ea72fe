//! A temporary directory for each test, in which it runs the `scale` command.
#![allow(dead_code)] // Each test file uses only some of these items.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Output, Stdio};
use tempfile::TempDir;

pub const STATUS_INTERRUPTED: i32 = 130;

const STATUS_BAD_INPUT: i32 = 2;
const SCENARIO_NAME: &str = "small.toml";

/// A temporary directory with a scenario file.
pub struct TestDirectory {
    directory: TempDir,
}

impl TestDirectory {
    pub fn with_scenario(text: &str) -> TestDirectory {
        let directory = TestDirectory { directory: tempfile::tempdir().unwrap() };
        directory.write(SCENARIO_NAME, text);
        directory
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.directory.path().join(name), text).unwrap();
    }

    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.path().join(name)).unwrap()
    }

    /// Names of all files in the directory, sorted.
    pub fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(self.directory.path()).unwrap();
        let mut names: Vec<_> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    /// Runs the command in the directory.
    pub fn scale(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Runs the command, and interrupts it once a line of its log contains this text.
    pub fn scale_interrupted_after(&self, arguments: &[&str], text: &str) -> Output {
        let mut command = self.command(arguments);
        command.args(["--log-level", "info"]).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains(text) {
            let last = std::mem::take(&mut line);
            assert_ne!(log.read_line(&mut line).unwrap(), 0, "the log ended without {text:?}: {last}");
        }
        kill_process(Pid::from_child(&child), Signal::INT).unwrap();
        log.read_to_string(&mut line).unwrap();
        child.wait_with_output().unwrap()
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_scale"));
        command.args(arguments).current_dir(self.directory.path()).stdin(Stdio::null());
        command
    }
}

/// Parses the records of a file: one JSON object per line.
pub fn records(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).expect(line)).collect()
}

/// Records whose `record` field is `record_type`.
pub fn records_of_type<'a>(records: &'a [Value], record_type: &str) -> Vec<&'a Value> {
    records.iter().filter(|record| record["record"] == record_type).collect()
}

/// Runs the command with input that it must reject. Returns the only line on standard error.
pub fn rejection_message(directory: &TestDirectory, arguments: &[&str]) -> String {
    let output = directory.scale(arguments);
    assert_eq!(output.status.code(), Some(STATUS_BAD_INPUT), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

/// An invalid line of a scenario: the valid line, its invalid replacement, the line number, the key, and a part of
/// the error message.
pub type InvalidLine = (&'static str, &'static str, usize, &'static str, &'static str);

/// Checks that each invalid line is reported with file, line and key.
pub fn assert_invalid_lines_are_reported(scenario: &str, arguments: &[&str], invalid_lines: &[InvalidLine]) {
    for (valid, invalid, line, key, reason) in invalid_lines {
        let directory = TestDirectory::with_scenario(&scenario.replacen(valid, invalid, 1));
        let error = rejection_message(&directory, arguments);
        let prefix = format!("scale: {SCENARIO_NAME}:{line}: {key}: ");
        assert!(error.starts_with(&prefix) && error.contains(reason), "{invalid}: {error}");
    }
}
