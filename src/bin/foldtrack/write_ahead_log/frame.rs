//! Frames of the write-ahead log: magic number, length, CRC and content. The content is a record with the number of its
//! message, and behind it the sync marker of the log.
//!
//! The bodies in the records are bytes that clients chose, and may look like frames. Behind damage, a frame counts only if
//! it ends with the sync marker, which clients cannot know. Versions without sync markers skip them, and the frames of such
//! versions are read without one wherever the frame before ends.

use super::LogRecord;
use rustix::io::Errno;
use rustix::rand::{getrandom, GetRandomFlags};
use std::path::Path;
use std::{fs, io};

const MAGIC: [u8; 2] = [0xf7, 0x1d];
const HEADER_BYTES: usize = 10;
/// Longest content of a frame: a body of 64 KiB and its headers.
const MAX_CONTENT_BYTES: usize = 256 * 1024;
const SYNC_MARKER_BYTES: usize = 8;

/// Random bytes at the end of each frame of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SyncMarker([u8; SYNC_MARKER_BYTES]);

impl SyncMarker {
    /// Loads the marker from its file. Without a valid one, creates a marker and saves it. One that cannot be saved marks
    /// the frames of this process only: to later ones they look like those of versions without markers.
    pub fn load_or_create(path: &Path) -> io::Result<SyncMarker> {
        match fs::read(path).map(<[u8; SYNC_MARKER_BYTES]>::try_from) {
            Ok(Ok(bytes)) => return Ok(SyncMarker(bytes)),
            Ok(Err(_)) => log::warn!("journal: the sync marker is damaged and will be replaced"),
            Err(error) if error.kind() == io::ErrorKind::NotFound => {}
            Err(error) => return Err(error),
        }
        let marker = SyncMarker(random_bytes()?);
        let new = path.with_extension("marker.new");
        if let Err(error) = fs::write(&new, marker.0).and_then(|()| fs::rename(&new, path)) {
            log::warn!("journal: cannot save the sync marker: {error}");
        }
        Ok(marker)
    }
}

fn random_bytes() -> io::Result<[u8; SYNC_MARKER_BYTES]> {
    let mut bytes = [0; SYNC_MARKER_BYTES];
    // The system returns this few bytes whole, unless a signal interrupts it.
    while let Err(error) = getrandom(&mut bytes, GetRandomFlags::empty()) {
        if error != Errno::INTR {
            return Err(error.into());
        }
    }
    Ok(bytes)
}

/// A decoded frame.
#[derive(Debug)]
pub(super) struct Frame<'a> {
    /// The whole frame.
    pub bytes: &'a [u8],
    /// Number of the message.
    pub number: u64,
    pub record: LogRecord,
}

pub(super) fn encode(number: u64, record: &LogRecord, marker: SyncMarker) -> io::Result<Vec<u8>> {
    let mut content = postcard::to_stdvec(&(number, record)).map_err(io::Error::other)?;
    content.extend_from_slice(&marker.0);
    if content.len() > MAX_CONTENT_BYTES {
        return Err(io::Error::other("log record is too long"));
    }
    let mut frame = Vec::with_capacity(HEADER_BYTES + content.len());
    frame.extend_from_slice(&MAGIC);
    frame.extend_from_slice(&(content.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    frame.extend_from_slice(&content);
    Ok(frame)
}

/// Decodes the frame at the start of `bytes`, if it is complete and undamaged.
pub(super) fn decode(bytes: &[u8]) -> Option<Frame<'_>> {
    let frame = bytes.get(..declared_frame_bytes(bytes)?)?;
    let (header, content) = frame.split_at(HEADER_BYTES);
    let crc = u32::from_le_bytes(header[6..].try_into().ok()?);
    if crc32fast::hash(content) != crc {
        return None;
    }
    // Ignores the sync marker behind the record.
    let (number, record) = postcard::from_bytes(content).ok()?;
    Some(Frame { bytes: frame, number, record })
}

/// The length of the frame at the start of `bytes` by its header, whether or not the frame is complete.
fn declared_frame_bytes(bytes: &[u8]) -> Option<usize> {
    let header = bytes.get(..HEADER_BYTES).filter(|header| header.starts_with(&MAGIC))?;
    let length = u32::from_le_bytes(header[2..6].try_into().ok()?) as usize;
    (length <= MAX_CONTENT_BYTES).then_some(HEADER_BYTES + length)
}

/// Finds where to continue behind the damaged frame at `damaged_at`: at the next frame with the sync marker, or where the
/// damaged frame was to end if another one begins there.
pub(super) fn find_next(bytes: &[u8], damaged_at: usize, marker: SyncMarker) -> Option<usize> {
    let declared_end = declared_frame_bytes(&bytes[damaged_at..])
        .map(|length| damaged_at + length)
        .filter(|end| bytes.get(*end..).is_some_and(|rest| declared_frame_bytes(rest).is_some()));
    let mut searched = damaged_at + 1..declared_end.unwrap_or(bytes.len());
    searched.find(|at| has_marked_frame(&bytes[*at..], marker)).or(declared_end)
}

fn has_marked_frame(bytes: &[u8], marker: SyncMarker) -> bool {
    let frame = declared_frame_bytes(bytes).and_then(|length| bytes.get(HEADER_BYTES..length));
    // Comparing the marker first keeps the search linear: a body may hold thousands of headers.
    frame.is_some_and(|content| content.ends_with(&marker.0)) && decode(bytes).is_some()
}
