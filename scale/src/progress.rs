//! Progress bar of an experiment.

use indicatif::{ProgressBar, ProgressStyle};

const TEMPLATE: &str = "{bar:30} {pos}/{len} runs, {msg}";

/// Creates a progress bar on standard error. It is hidden if standard error is not a terminal.
pub fn progress_bar(runs: u64) -> ProgressBar {
    let style = ProgressStyle::with_template(TEMPLATE).expect("the template is valid");
    ProgressBar::new(runs).with_style(style)
}
