//! Write-ahead log of accepted messages and of what has happened to them since. It survives the process.
//!
//! Each record is a [frame], appended with one `write`. The frames of messages that are not completed are kept in memory
//! too: a compaction writes them to a new file.

use frame::{decode, encode, find_next, Frame, SyncMarker};
use hatchline::RequestEnd;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

mod frame;

/// Disk space of the file with the sync marker, and of the one that replaces it, each in whole blocks of 512 bytes.
pub(crate) const MARKER_FILE_BYTES: u64 = 2 * 512;
/// Minimum space for new records between two compactions; it also covers the rounding of file sizes to whole blocks.
const SLACK_BYTES: u64 = 16 * 1024;
/// A file that exceeds twice the size of its live frames by more than this is compacted, even if there is space left.
const MAX_STALE_BYTES: u64 = 1 << 20;
/// Share of the capacity that is for ended requests, as its divisor.
pub(crate) const ENDED_REQUESTS_DIVISOR: u64 = 16;
/// Upper bounds on the size of the two records of an attempt together, and of the record of a notice.
const ATTEMPT_BYTES: u64 = 80;
const NOTICE_BYTES: u64 = 64;

/// Whether the endpoint may have processed an attempt, as far as its outcome tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ExecutionStatus {
    NeverRan,
    MayHaveRun,
}

/// How a message ended undelivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NonDeliveryNotice {
    /// Failed; it may or may not have taken effect.
    GivenUp,
    /// Refused; it may be submitted again after this wait.
    HandedBack { retry_in_ms: u64 },
}

/// An accepted message. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AcceptedMessage {
    pub id: String,
    pub class: String,
    pub destination: u32,
    pub order_key: String,
    pub idempotency_key: Option<String>,
    /// Value of the `X-Retry` header, for the operators.
    pub retry_header: Option<String>,
    pub expires_at: u64,
    pub body: Vec<u8>,
}

/// Content of a record: one step in the processing of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LogRecord {
    Accepted(AcceptedMessage),
    /// Written before the first byte of the attempt.
    AttemptStarted {
        started_at: u64,
        zone: u32,
    },
    /// Ends the attempt in flight; a message has at most one.
    AttemptEnded(ExecutionStatus),
    /// Written before the notice is sent.
    NoticeIssued(NonDeliveryNotice),
    /// The message is delivered, or its notice is acknowledged.
    Completed,
    /// How the request of a completed message has ended, for the case that it comes again. It follows the record of the
    /// completion, which versions that do not know this one need.
    Ended(RecordedEnd),
}

/// A request whose message is completed. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordedEnd {
    pub id: String,
    pub expires_at: u64,
    pub end: RequestEnd,
}

/// An attempt as the log records it. Without an execution status it was in flight when the process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordedAttempt {
    pub started_at: u64,
    pub zone: u32,
    pub execution: Option<ExecutionStatus>,
}

/// A message that a restart found in the log.
#[derive(Debug)]
pub(crate) struct RestoredMessage {
    pub accepted: AcceptedMessage,
    pub attempts: Vec<RecordedAttempt>,
    pub notice: Option<NonDeliveryNotice>,
}

/// What a restart finds in the log, by the numbers of the messages.
#[derive(Debug, Default)]
pub(crate) struct RestoredLog {
    /// The messages that are not completed.
    pub messages: BTreeMap<u64, RestoredMessage>,
    /// Requests of completed messages.
    pub ended: BTreeMap<u64, RecordedEnd>,
}

impl RestoredLog {
    /// The first number that no message has.
    pub fn next_number(&self) -> u64 {
        let last = self.messages.last_key_value().map(|(number, _)| *number);
        last.max(self.ended.last_key_value().map(|(number, _)| *number)).map_or(1, |number| number + 1)
    }
}

/// The open log file and the live frames in it.
#[derive(Debug)]
pub(crate) struct WriteAheadLog {
    path: PathBuf,
    file: File,
    marker: SyncMarker,
    length: u64,
    /// The file holds bytes that are no frame. They are removed by a compaction before the next record is appended.
    damaged: bool,
    /// The frames of each message that is not completed, by its number in the order of arrival.
    live_frames: BTreeMap<u64, Vec<u8>>,
    /// The frame of each ended request that is remembered, by the number of its message.
    ended_frames: BTreeMap<u64, Vec<u8>>,
    /// Bytes of both.
    live_bytes: u64,
    /// Bytes that the old and the new file may take up together during a compaction.
    capacity: u64,
    /// Upper bound on the size of all further records of an accepted message.
    reserve_per_message: u64,
}

impl WriteAheadLog {
    /// Opens the log in a directory where it may take up `capacity` bytes.
    pub fn open(
        directory: &Path, capacity: u64, max_attempts: u32,
    ) -> io::Result<(WriteAheadLog, RestoredLog)> {
        let path = directory.join("journal");
        // Left over from a compaction that the end of the process interrupted.
        let _ = fs::remove_file(path.with_extension("new"));
        let file = OpenOptions::new().read(true).append(true).create(true).open(&path)?;
        let marker = SyncMarker::load_or_create(&path.with_extension("marker"))?;
        let bytes = fs::read(&path)?;
        let reserve_per_message = ATTEMPT_BYTES * u64::from(max_attempts) + NOTICE_BYTES;
        let mut log = WriteAheadLog {
            path,
            file,
            marker,
            length: 0,
            damaged: false,
            live_frames: BTreeMap::new(),
            ended_frames: BTreeMap::new(),
            live_bytes: 0,
            capacity,
            reserve_per_message,
        };
        let mut restored = RestoredLog::default();
        let mut at = 0;
        while at < bytes.len() {
            if let Some(Frame { bytes: frame, number, record }) = decode(&bytes[at..]) {
                replay(&mut restored, number, &record);
                log.track_live(number, &record, frame);
                at += frame.len();
                continue;
            }
            match find_next(&bytes, at, marker) {
                Some(next) => {
                    log::warn!("journal: {} damaged bytes at {at} skipped", next - at);
                    log.damaged = true;
                    at = next;
                }
                None => {
                    log::warn!(
                        "journal: truncated at {at}, {} bytes of an unfinished record removed",
                        bytes.len() - at
                    );
                    log.file.set_len(at as u64)?;
                    break;
                }
            }
        }
        log.length = at as u64;
        // Damage may have destroyed the record with the message itself, without which its other frames are useless.
        log.live_frames.retain(|number, _| restored.messages.contains_key(number));
        let frames = log.live_frames.values().chain(log.ended_frames.values());
        log.live_bytes = frames.map(|frame| frame.len() as u64).sum();
        Ok((log, restored))
    }

    /// Whether this many further messages can be accepted, which take up at most `bytes` together, with all records that
    /// they may need. The live frames must fit twice: a compaction has them both in the old and in the new file.
    pub fn has_space_for(&self, messages: usize, bytes: usize) -> bool {
        let messages = (self.live_frames.len() + messages) as u64;
        2 * (self.live_bytes + bytes as u64 + messages * self.reserve_per_message) + SLACK_BYTES
            <= self.capacity
    }

    /// Gives up `bytes` of the capacity to other files from now on, if all live frames still fit.
    pub fn release_space(&mut self, bytes: u64) -> bool {
        let capacity = self.capacity.saturating_sub(bytes);
        let needed = self.live_bytes + self.live_frames.len() as u64 * self.reserve_per_message;
        if 2 * needed + SLACK_BYTES > capacity {
            return false;
        }
        if self.length + self.live_bytes + SLACK_BYTES > capacity && self.compact().is_err() {
            return false;
        }
        self.capacity = capacity;
        true
    }

    /// Appends a record of the message with this number. Compacts the file first if that is due.
    pub fn append(&mut self, number: u64, record: &LogRecord) -> io::Result<()> {
        let frame = encode(number, record, self.marker)?;
        self.append_frames(&frame)?;
        self.track_live(number, record, &frame);
        Ok(())
    }

    /// Appends the completion of a message, and how its request has ended.
    pub fn append_completion(&mut self, number: u64, ended: RecordedEnd) -> io::Result<()> {
        let records = [LogRecord::Completed, LogRecord::Ended(ended)];
        let frames = [encode(number, &records[0], self.marker)?, encode(number, &records[1], self.marker)?];
        self.append_frames(&frames.concat())?;
        for (record, frame) in records.iter().zip(&frames) {
            self.track_live(number, record, frame);
        }
        Ok(())
    }

    /// Forgets how the request of this message has ended.
    pub fn forget_ended(&mut self, number: u64) {
        let removed_bytes = self.ended_frames.remove(&number).map_or(0, |frame| frame.len());
        self.live_bytes -= removed_bytes as u64;
    }

    /// Appends whole frames in one write.
    fn append_frames(&mut self, frame: &[u8]) -> io::Result<()> {
        let length = self.length + frame.len() as u64;
        let exceeds_capacity =
            length + self.live_bytes + frame.len() as u64 + SLACK_BYTES / 2 > self.capacity;
        if self.damaged || exceeds_capacity || length > 2 * self.live_bytes + MAX_STALE_BYTES {
            self.compact()?;
        }
        if let Err(error) = self.file.write_all(frame) {
            // Removes a partly written frame, so that the next record follows a complete one.
            self.damaged = self.file.set_len(self.length).is_err();
            return Err(error);
        }
        self.length += frame.len() as u64;
        Ok(())
    }

    fn track_live(&mut self, number: u64, record: &LogRecord, frame: &[u8]) {
        match record {
            LogRecord::Completed => {
                let removed_bytes = self.live_frames.remove(&number).map_or(0, |f| f.len());
                self.live_bytes -= removed_bytes as u64;
            }
            LogRecord::Ended(_) => {
                self.forget_ended(number);
                self.ended_frames.insert(number, frame.to_vec());
                self.live_bytes += frame.len() as u64;
            }
            _ => {
                self.live_frames.entry(number).or_default().extend_from_slice(frame);
                self.live_bytes += frame.len() as u64;
            }
        }
    }

    /// Writes the live frames to a new file that replaces the old one.
    fn compact(&mut self) -> io::Result<()> {
        let new = self.path.with_extension("new");
        let mut bytes = Vec::with_capacity(self.live_bytes as usize);
        let frames = self.live_frames.values().chain(self.ended_frames.values());
        frames.for_each(|frames| bytes.extend_from_slice(frames));
        let written = fs::write(&new, &bytes).and_then(|()| OpenOptions::new().append(true).open(&new));
        match written.and_then(|file| fs::rename(&new, &self.path).map(|()| file)) {
            Ok(file) => {
                (self.file, self.length) = (file, bytes.len() as u64);
                self.damaged = false;
                Ok(())
            }
            Err(error) => {
                let _ = fs::remove_file(&new);
                Err(error)
            }
        }
    }
}

fn replay(restored: &mut RestoredLog, number: u64, record: &LogRecord) {
    match record {
        LogRecord::Accepted(accepted) => {
            let message = RestoredMessage { accepted: accepted.clone(), attempts: Vec::new(), notice: None };
            restored.messages.insert(number, message);
        }
        LogRecord::Completed => drop(restored.messages.remove(&number)),
        LogRecord::Ended(ended) => drop(restored.ended.insert(number, ended.clone())),
        step => {
            if let Some(message) = restored.messages.get_mut(&number) {
                replay_step(message, step);
            }
        }
    }
}

/// Applies a record to the message that it belongs to.
fn replay_step(message: &mut RestoredMessage, record: &LogRecord) {
    match record {
        LogRecord::AttemptStarted { started_at, zone } => {
            message.attempts.push(RecordedAttempt { started_at: *started_at, zone: *zone, execution: None })
        }
        LogRecord::AttemptEnded(execution) => {
            if let Some(attempt) = message.attempts.last_mut() {
                attempt.execution = Some(*execution);
            }
        }
        LogRecord::NoticeIssued(notice) => message.notice = Some(*notice),
        LogRecord::Accepted(_) | LogRecord::Completed | LogRecord::Ended(_) => {}
    }
}

#[cfg(test)]
#[path = "write_ahead_log_tests.rs"]
mod tests;
