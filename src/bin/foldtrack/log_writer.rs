//! Writes the log to standard error from a thread of its own. The forwarder serves whatever becomes of its log: a line that
//! cannot be written is lost, and a reader that takes nothing holds up nobody. Lost lines are counted in the log.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Lines that wait to be written; further ones are lost.
const QUEUED_LINES: usize = 256;
/// Longer lines are cut: ids and names in them are as long as peers make them.
const MAX_LINE_BYTES: usize = 2048;
/// How long the end of the process waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Stack of the writing thread.
const STACK_BYTES: usize = 64 * 1024;

enum Entry {
    Line(String),
    /// All lines before this one have been written.
    Flush(SyncSender<()>),
}

/// The logger of the process.
struct LogWriter {
    entries: SyncSender<Entry>,
    lost_lines: Arc<AtomicU64>,
}

/// Starts the writing thread and logs to it from now on. Without a thread nothing is logged.
pub(crate) fn install() {
    let (entries, queued) = sync_channel(QUEUED_LINES);
    let lost_lines = Arc::new(AtomicU64::new(0));
    let lost = lost_lines.clone();
    let writer = thread::Builder::new().name("log".into()).stack_size(STACK_BYTES);
    if writer.spawn(move || write_entries(&queued, &lost, &mut io::stderr())).is_err() {
        return;
    }
    if log::set_boxed_logger(Box::new(LogWriter { entries, lost_lines })).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// Writes entries until their sender is dropped.
fn write_entries(entries: &Receiver<Entry>, lost_lines: &AtomicU64, output: &mut impl Write) {
    for entry in entries {
        let lost = lost_lines.swap(0, Ordering::Relaxed);
        if lost > 0 {
            write_line(output, &format!("log: {lost} lines lost"), lost_lines);
        }
        match entry {
            Entry::Line(line) => write_line(output, &line, lost_lines),
            // The one that waits may have given up.
            Entry::Flush(flushed) => drop(flushed.try_send(())),
        }
    }
}

fn write_line(output: &mut impl Write, line: &str, lost_lines: &AtomicU64) {
    if output.write_all(format!("{line}\n").as_bytes()).is_err() {
        lost_lines.fetch_add(1, Ordering::Relaxed);
    }
}

impl Log for LogWriter {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let mut line = record.args().to_string();
        line.truncate(line.floor_char_boundary(MAX_LINE_BYTES));
        if self.entries.try_send(Entry::Line(line)).is_err() {
            self.lost_lines.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (flushed, written) = sync_channel(1);
        if self.entries.try_send(Entry::Flush(flushed)).is_ok() {
            // Lines that a reader does not take in time are lost.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

#[cfg(test)]
#[path = "log_writer_tests.rs"]
mod tests;
