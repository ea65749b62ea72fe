//! Progress of an experiment on the terminal.

use indicatif::{ProgressBar, ProgressStyle};

const TEMPLATE: &str = "{bar:30} {pos}/{len} runs, {msg}";

/// A progress bar on standard error, hidden where that is no terminal.
pub fn progress_bar(runs: u64) -> ProgressBar {
    let style = ProgressStyle::with_template(TEMPLATE).expect("the template is valid");
    ProgressBar::new(runs).with_style(style)
}
