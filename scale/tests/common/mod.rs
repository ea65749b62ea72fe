//! A folder of its own for each test, and the tool started in it.
#![allow(dead_code)] // Each test file uses a part of it.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Output, Stdio};
use tempfile::TempDir;

pub const STATUS_INTERRUPTED: i32 = 130;

const STATUS_BAD_INPUT: i32 = 2;
const SCENARIO_NAME: &str = "small.toml";

/// A folder that holds a scenario.
pub struct Folder {
    folder: TempDir,
}

impl Folder {
    pub fn with_scenario(text: &str) -> Folder {
        let folder = Folder { folder: tempfile::tempdir().unwrap() };
        folder.write(SCENARIO_NAME, text);
        folder
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.folder.path().join(name), text).unwrap();
    }

    pub fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(name)).unwrap()
    }

    /// Names of all that the folder holds.
    pub fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(self.folder.path()).unwrap();
        let mut names: Vec<_> =
            entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
        names.sort();
        names
    }

    /// Runs the tool in the folder.
    pub fn scale(&self, arguments: &[&str]) -> Output {
        self.command(arguments).output().unwrap()
    }

    /// Runs the tool, and interrupts it once its log has a line with this text.
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
        command.args(arguments).current_dir(self.folder.path()).stdin(Stdio::null());
        command
    }
}

/// The records of a file, each line one JSON object.
pub fn records(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).expect(line)).collect()
}

pub fn of_kind<'a>(records: &'a [Value], kind: &str) -> Vec<&'a Value> {
    records.iter().filter(|record| record["record"] == kind).collect()
}

/// Runs with a scenario that is to be turned down; gives the only line on standard error.
pub fn rejection(folder: &Folder, arguments: &[&str]) -> String {
    let output = folder.scale(arguments);
    assert_eq!(output.status.code(), Some(STATUS_BAD_INPUT), "{output:?}");
    assert!(output.stdout.is_empty(), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

/// A line of a scenario, what is wrong in its place, the number of the line, its key, and a part of the message.
pub type WrongLine = (&'static str, &'static str, usize, &'static str, &'static str);

/// Each wrong line is reported by file, line and key.
pub fn assert_wrong_lines_are_reported(scenario: &str, arguments: &[&str], wrong_lines: &[WrongLine]) {
    for (right, wrong, line, key, reason) in wrong_lines {
        let folder = Folder::with_scenario(&scenario.replacen(right, wrong, 1));
        let error = rejection(&folder, arguments);
        let place = format!("scale: {SCENARIO_NAME}:{line}: {key}: ");
        assert!(error.starts_with(&place) && error.contains(reason), "{wrong}: {error}");
    }
}
