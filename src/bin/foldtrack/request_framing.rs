//! Finds where the requests on a client connection end. HTTP/1.1 lets a client send its next request before it has the
//! response to the last one, so that one read may bring several requests, or one and a part of the next.
//!
//! This does not validate requests: the HTTP library rejects those that are not valid, and their connections are closed.

/// Bytes kept of a header line: enough for the field that tells the length of the body.
const MAX_LINE_BYTES: usize = 64;

/// Position within the current request.
#[derive(Debug)]
enum Position {
    /// No byte of it has been seen.
    Start,
    Head {
        /// The start of the current line.
        line: Vec<u8>,
        body_bytes: u64,
        /// The body has no length that is known in advance.
        is_unframed: bool,
    },
    Body {
        remaining: u64,
    },
    /// In a body whose end is not followed.
    Unframed,
}

/// Follows the bytes of one connection.
#[derive(Debug)]
pub(crate) struct RequestFraming(Position);

impl Default for RequestFraming {
    fn default() -> Self {
        RequestFraming(Position::Start)
    }
}

impl RequestFraming {
    /// Whether a byte of the current request has been seen.
    pub fn has_begun(&self) -> bool {
        !matches!(self.0, Position::Start)
    }

    /// How many further bytes belong to the current request for certain: at least one.
    pub fn known_remaining(&self) -> usize {
        match self.0 {
            Position::Body { remaining } => usize::try_from(remaining).unwrap_or(usize::MAX),
            Position::Unframed => usize::MAX,
            Position::Start | Position::Head { .. } => 1,
        }
    }

    /// Follows further bytes of the current request. If it ends within them, returns how many belong to it, and the next
    /// request becomes the current one.
    pub fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while at < bytes.len() {
            at += self.step(&bytes[at..]);
            if matches!(self.0, Position::Body { remaining: 0 }) {
                self.0 = Position::Start;
                return Some(at);
            }
        }
        None
    }

    /// Follows at least one byte. Returns how many.
    fn step(&mut self, bytes: &[u8]) -> usize {
        match &mut self.0 {
            Position::Start => {
                // Empty lines before a request belong to none.
                if !matches!(bytes[0], b'\r' | b'\n') {
                    let line = vec![bytes[0]];
                    self.0 = Position::Head { line, body_bytes: 0, is_unframed: false };
                }
                1
            }
            Position::Head { line, body_bytes, is_unframed } => {
                let line_end = bytes.iter().position(|byte| *byte == b'\n');
                let part = &bytes[..line_end.unwrap_or(bytes.len())];
                let free = MAX_LINE_BYTES.saturating_sub(line.len());
                line.extend_from_slice(&part[..part.len().min(free)]);
                let Some(line_end) = line_end else { return bytes.len() };
                match header_field(line) {
                    HeaderField::ContentLength(length) => *body_bytes = length,
                    HeaderField::TransferEncoding => *is_unframed = true,
                    HeaderField::Other => {}
                    HeaderField::EndOfHead if *is_unframed => self.0 = Position::Unframed,
                    HeaderField::EndOfHead => self.0 = Position::Body { remaining: *body_bytes },
                }
                if let Position::Head { line, .. } = &mut self.0 {
                    line.clear();
                }
                line_end + 1
            }
            Position::Body { remaining } => {
                let taken = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= taken as u64;
                taken
            }
            Position::Unframed => bytes.len(),
        }
    }
}

/// What a line of a head tells about the body.
enum HeaderField {
    ContentLength(u64),
    TransferEncoding,
    Other,
    /// The empty line.
    EndOfHead,
}

fn header_field(line: &[u8]) -> HeaderField {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    if line.is_empty() {
        return HeaderField::EndOfHead;
    }
    let Some((name, value)) = str::from_utf8(line).ok().and_then(|line| line.split_once(':')) else {
        return HeaderField::Other;
    };
    if name.eq_ignore_ascii_case("transfer-encoding") {
        return HeaderField::TransferEncoding;
    }
    match value.trim().parse() {
        Ok(length) if name.eq_ignore_ascii_case("content-length") => HeaderField::ContentLength(length),
        _ => HeaderField::Other,
    }
}

#[cfg(test)]
#[path = "request_framing_tests.rs"]
mod tests;
