//! Tests of the log under outputs that fail or wait.

use super::*;
use log::Level;

/// Fails its first writes.
struct FailingOutput {
    failures: usize,
    written: Vec<u8>,
}

impl Write for FailingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.failures > 0 {
            self.failures -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.written.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log_line(writer: &LogWriter, line: &str) {
    writer.log(&Record::builder().args(format_args!("{line}")).level(Level::Info).build());
}

#[test]
fn lines_that_cannot_be_written_are_counted_as_lost() {
    let (entries, queued) = sync_channel(QUEUED_LINES);
    let lost_lines = Arc::new(AtomicU64::new(0));
    let writer = LogWriter { entries, lost_lines: lost_lines.clone() };
    for line in ["one", "two", "three", "four"] {
        log_line(&writer, line);
    }
    drop(writer);
    let mut output = FailingOutput { failures: 2, written: Vec::new() };
    write_entries(&queued, &lost_lines, &mut output);
    assert_eq!(String::from_utf8(output.written).unwrap(), "two\nlog: 1 lines lost\nthree\nfour\n");
}

#[test]
fn lines_beyond_the_queue_are_lost_and_long_ones_cut() {
    let (entries, queued) = sync_channel(2);
    let writer = LogWriter { entries, lost_lines: Arc::default() };
    log_line(&writer, &"é".repeat(MAX_LINE_BYTES));
    (0..5).for_each(|_| log_line(&writer, "next"));
    assert_eq!(writer.lost_lines.load(Ordering::Relaxed), 4);
    // Nobody writes: the end of the process does not wait for long either.
    writer.flush();
    match queued.recv().unwrap() {
        Entry::Line(line) => assert_eq!(line.len(), MAX_LINE_BYTES),
        Entry::Flush(_) => panic!("no line"),
    }
}
