//! The wire format of the simulator: decodes batches of events and encodes replies.

use std::fmt;
use std::io::Read;

/// Why the input cannot be processed.
#[derive(Debug)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<std::io::Error> for WireError {
    fn from(error: std::io::Error) -> Self {
        WireError(format!("I/O error: {error}"))
    }
}

/// An endpoint in the list that an `Input::Roster` record declares.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub target: u32,
    pub zone: u8,
    pub kind: u16,
    pub destination: u16,
    pub status: u8,
    pub size: f32,
    pub launched: u64,
}

/// An event record of a batch. Variants and fields have the names of the published protocol; `i` is the number of the
/// instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Born {
        i: u16,
        salt: u64,
        env: Vec<u8>,
    },
    Targets {
        i: u16,
        scope: u8,
        rev: u32,
        sheet: u16,
    },
    Query {
        i: u16,
        id: u64,
        class: u16,
        destination: f32,
        flags: u16,
        tenant: u16,
        hint: u32,
        key: u64,
        expires: u64,
    },
    Started {
        i: u16,
        id: u64,
        attempt: u8,
        target: u32,
        took: u32,
    },
    Resolved {
        i: u16,
        id: u64,
        attempt: u8,
        target: u32,
        status: u16,
        took: u32,
        ended: bool,
        wait_ms: u32,
        feedback: Vec<f32>,
    },
    Lapsed {
        i: u16,
        id: u64,
    },
    Wakeup {
        i: u16,
        cookie: u32,
    },
    Echo {
        i: u16,
        target: u32,
        status: u16,
        took: u32,
        feedback: Vec<f32>,
    },
    Peer {
        i: u16,
        who: u32,
        body: Vec<u8>,
    },
    Down {
        i: u16,
    },
    Roster {
        sheet: u16,
        items: Vec<Entry>,
    },
}

/// An action record of a reply. Variants and fields have the names of the published protocol; `i` is the number of
/// the instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Forward { i: u16, id: u64, not_past: u64, target: u32 },
    Share { i: u16, peer: u32, body: Vec<u8> },
    After { i: u16, sleep_for: u32, cookie: u32 },
    Lookup { i: u16 },
    Refuse { i: u16, id: u64, cool_down: u32 },
    JournalLine { i: u16, message: String },
    KeepInformed { i: u16, enable: bool },
    ShutIdle { i: u16, target: u32 },
    Revoke { i: u16, id: u64, attempt: u8 },
    Surrender { i: u16, id: u64 },
    Fault { i: u16, message: String },
    Probe { i: u16, target: u32 },
}

/// A batch of events that arrived at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub number: u32,
    pub clock: u64,
    pub records: Vec<Input>,
}

const BATCH_HEADER_BYTES: usize = 20;
const REPLY_HEADER_BYTES: usize = 12;
const RECORD_HEADER_BYTES: usize = 5;
const ENTRY_BYTES: usize = 22;

/// Reads little-endian values from a byte slice.
struct Cursor<'a> {
    bytes: &'a [u8],
    /// What is being read, for error messages.
    context: &'static str,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        if self.bytes.len() < n {
            return Err(WireError(format!(
                "{} is too short: {n} bytes expected, {} left",
                self.context,
                self.bytes.len()
            )));
        }
        let (head, rest) = self.bytes.split_at(n);
        self.bytes = rest;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }
    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }
    fn f32_list(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
    fn expect_end(&self) -> Result<(), WireError> {
        if self.bytes.is_empty() {
            return Ok(());
        }
        Err(WireError(format!("{} has {} extra bytes", self.context, self.bytes.len())))
    }
}

/// Reads and decodes one frame. Returns `None` if the input ends between frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let mut frame = vec![0; BATCH_HEADER_BYTES];
    let mut filled = 0;
    while filled < BATCH_HEADER_BYTES {
        match input.read(&mut frame[filled..])? {
            0 if filled == 0 => return Ok(None),
            0 => return Err(WireError("input ends inside a frame header".into())),
            n => filled += n,
        }
    }
    let len = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if len < BATCH_HEADER_BYTES {
        return Err(WireError(format!("frame length {len} is less than the frame header")));
    }
    let read = input.take((len - BATCH_HEADER_BYTES) as u64).read_to_end(&mut frame)?;
    if read < len - BATCH_HEADER_BYTES {
        return Err(WireError(format!("input ends inside a frame of {len} bytes")));
    }
    parse_batch(&frame).map(Some)
}

/// Decodes a whole frame.
pub fn parse_batch(frame: &[u8]) -> Result<Batch, WireError> {
    let mut cursor = Cursor { bytes: frame, context: "frame" };
    let (number, len, clock, count) = (cursor.u32()?, cursor.u32()?, cursor.u64()?, cursor.u32()?);
    if len as usize != frame.len() {
        return Err(WireError(format!("frame of {} bytes declares length {len}", frame.len())));
    }
    let mut records = Vec::new();
    for _ in 0..count {
        let (code, size) = (cursor.u8()?, cursor.u32()? as usize);
        records.push(parse_record(code, cursor.take(size)?)?);
    }
    cursor.expect_end()?;
    Ok(Batch { number, clock, records })
}

fn parse_record(code: u8, bytes: &[u8]) -> Result<Input, WireError> {
    let mut cursor = Cursor { bytes, context: "record" };
    let record = match code {
        1 => {
            let (i, salt, n) = (cursor.u16()?, cursor.u64()?, cursor.u32()? as usize);
            Input::Born { i, salt, env: cursor.take(n)?.to_vec() }
        }
        2 => {
            Input::Targets { i: cursor.u16()?, scope: cursor.u8()?, rev: cursor.u32()?, sheet: cursor.u16()? }
        }
        3 => Input::Query {
            i: cursor.u16()?,
            id: cursor.u64()?,
            class: cursor.u16()?,
            destination: cursor.f32()?,
            flags: cursor.u16()?,
            tenant: cursor.u16()?,
            hint: cursor.u32()?,
            key: cursor.u64()?,
            expires: cursor.u64()?,
        },
        4 => Input::Started {
            i: cursor.u16()?,
            id: cursor.u64()?,
            attempt: cursor.u8()?,
            target: cursor.u32()?,
            took: cursor.u32()?,
        },
        5 => Input::Resolved {
            i: cursor.u16()?,
            id: cursor.u64()?,
            attempt: cursor.u8()?,
            target: cursor.u32()?,
            status: cursor.u16()?,
            took: cursor.u32()?,
            ended: cursor.u8()? != 0,
            wait_ms: cursor.u32()?,
            feedback: cursor.f32_list()?,
        },
        6 => Input::Lapsed { i: cursor.u16()?, id: cursor.u64()? },
        7 => Input::Wakeup { i: cursor.u16()?, cookie: cursor.u32()? },
        8 => Input::Echo {
            i: cursor.u16()?,
            target: cursor.u32()?,
            status: cursor.u16()?,
            took: cursor.u32()?,
            feedback: cursor.f32_list()?,
        },
        9 => {
            let (i, who, n) = (cursor.u16()?, cursor.u32()?, cursor.u16()? as usize);
            Input::Peer { i, who, body: cursor.take(n)?.to_vec() }
        }
        10 => Input::Down { i: cursor.u16()? },
        11 => {
            let (sheet, n) = (cursor.u16()?, cursor.u32()? as usize);
            if cursor.bytes.len() / ENTRY_BYTES < n {
                return Err(WireError(format!("list record is too short for {n} entries")));
            }
            let items = (0..n).map(|_| parse_entry(&mut cursor)).collect::<Result<_, _>>()?;
            Input::Roster { sheet, items }
        }
        _ => return Err(WireError(format!("unknown record code {code}"))),
    };
    cursor.expect_end()?;
    Ok(record)
}

fn parse_entry(cursor: &mut Cursor<'_>) -> Result<Entry, WireError> {
    Ok(Entry {
        target: cursor.u32()?,
        zone: cursor.u8()?,
        kind: cursor.u16()?,
        destination: cursor.u16()?,
        status: cursor.u8()?,
        size: cursor.f32()?,
        launched: cursor.u64()?,
    })
}

/// Encodes the records of a reply.
pub struct Reply {
    bytes: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts the reply to batch `number`.
    pub fn new(number: u32) -> Self {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.resize(REPLY_HEADER_BYTES, 0);
        Reply { bytes, count: 0 }
    }

    /// Appends a record.
    pub fn push(&mut self, record: &Output) {
        let start = self.bytes.len();
        let buffer = &mut self.bytes;
        buffer.extend([0; RECORD_HEADER_BYTES]);
        let put_instance = |buffer: &mut Vec<u8>, i: &u16| buffer.extend(i.to_le_bytes());
        let code = match record {
            Output::Forward { i, id, not_past, target } => {
                put_instance(buffer, i);
                buffer.extend(id.to_le_bytes());
                buffer.extend(not_past.to_le_bytes());
                buffer.extend(target.to_le_bytes());
                65
            }
            Output::Share { i, peer, body } => {
                put_instance(buffer, i);
                buffer.extend(peer.to_le_bytes());
                put_length_prefixed(buffer, body);
                66
            }
            Output::After { i, sleep_for, cookie } => {
                put_instance(buffer, i);
                buffer.extend(sleep_for.to_le_bytes());
                buffer.extend(cookie.to_le_bytes());
                67
            }
            Output::Lookup { i } => {
                put_instance(buffer, i);
                68
            }
            Output::Refuse { i, id, cool_down } => {
                put_instance(buffer, i);
                buffer.extend(id.to_le_bytes());
                buffer.extend(cool_down.to_le_bytes());
                69
            }
            Output::JournalLine { i, message } => {
                put_instance(buffer, i);
                put_length_prefixed(buffer, message.as_bytes());
                70
            }
            Output::KeepInformed { i, enable } => {
                put_instance(buffer, i);
                buffer.push(u8::from(*enable));
                71
            }
            Output::ShutIdle { i, target } => {
                put_instance(buffer, i);
                buffer.extend(target.to_le_bytes());
                72
            }
            Output::Revoke { i, id, attempt } => {
                put_instance(buffer, i);
                buffer.extend(id.to_le_bytes());
                buffer.push(*attempt);
                73
            }
            Output::Surrender { i, id } => {
                put_instance(buffer, i);
                buffer.extend(id.to_le_bytes());
                74
            }
            Output::Fault { i, message } => {
                put_instance(buffer, i);
                put_length_prefixed(buffer, message.as_bytes());
                75
            }
            Output::Probe { i, target } => {
                put_instance(buffer, i);
                buffer.extend(target.to_le_bytes());
                76
            }
        };
        let size = (buffer.len() - start - RECORD_HEADER_BYTES) as u32;
        buffer[start] = code;
        buffer[start + 1..start + RECORD_HEADER_BYTES].copy_from_slice(&size.to_le_bytes());
        self.count += 1;
    }

    /// Completes the header and returns the frame.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes[8..12].copy_from_slice(&self.count.to_le_bytes());
        self.bytes
    }
}

/// Writes the length of `body` in 16 bits, then `body`. A body too long for this length is truncated.
fn put_length_prefixed(buffer: &mut Vec<u8>, body: &[u8]) {
    let body = &body[..body.len().min(usize::from(u16::MAX))];
    buffer.extend((body.len() as u16).to_le_bytes());
    buffer.extend(body);
}

#[cfg(test)]
#[path = "wire_tests.rs"]
mod tests;
