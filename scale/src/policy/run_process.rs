//! A run in a process of its own, so that neither CPU time nor memory depends on earlier runs.
//!
//! The plan is written to standard input of the process and the measurement read from its standard output, both as
//! JSON.

use crate::error::ScaleError;
use crate::interrupt::Interrupt;
use crate::policy::plan::RunPlan;
use crate::policy::run::{self, RunMeasurement};
use rustix::process::Signal;
use std::io::{self, Write};
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Name of the subcommand that makes one run.
pub const RUN_SUBCOMMAND: &str = "policy-run";
/// Interval at which the process is polled for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Makes the run whose plan is on standard input.
pub(super) fn run_from_stdin() -> Result<(), ScaleError> {
    let plan: RunPlan = serde_json::from_reader(io::stdin().lock())?;
    let measurement = run::measure(&plan)?;
    let mut output = io::stdout().lock();
    serde_json::to_writer(&mut output, &measurement)?;
    output.flush()?;
    Ok(())
}

/// Makes a run in a new process; `None` if the user interrupts it.
pub(super) fn spawn_run(plan: &RunPlan, interrupt: &Interrupt) -> Result<Option<RunMeasurement>, ScaleError> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg(RUN_SUBCOMMAND)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(input) = child.stdin.take() {
        serde_json::to_writer(input, plan)?;
    }
    if !wait_unless_interrupted(&mut child, interrupt)? {
        return Ok(None);
    }
    let output = child.wait_with_output()?;
    // The process also receives SIGINT from the terminal and may have been ended by it.
    if interrupt.is_received() || output.status.signal() == Some(Signal::INT.as_raw()) {
        return Ok(None);
    }
    if !output.status.success() {
        let errors = String::from_utf8_lossy(&output.stderr);
        return Err(ScaleError::RunFailed(format!("{}: {}", output.status, errors.trim())));
    }
    Ok(Some(serde_json::from_slice(&output.stdout)?))
}

/// Waits for the process to end, or kills it if the user interrupts. Returns whether it ended by itself.
fn wait_unless_interrupted(child: &mut Child, interrupt: &Interrupt) -> io::Result<bool> {
    while child.try_wait()?.is_none() {
        if interrupt.is_received() {
            child.kill()?;
            child.wait()?;
            return Ok(false);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(true)
}
