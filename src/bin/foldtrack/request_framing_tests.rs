//! Tests of the request framing: requests are found whole however their bytes are cut.

use super::*;

const POST: &[u8] = b"POST /note HTTP/1.1\r\nHost: x\r\ncontent-LENGTH:  5 \r\nX-Long: 0123456789012345678901234567890123456789012345678901234567890123456789\r\n\r\nabcde";
const GET: &[u8] = b"GET /healthz HTTP/1.1\nHost: x\n\n";

/// Ends of the requests in `bytes`, which arrive in pieces of this size.
fn ends(bytes: &[u8], piece: usize) -> Vec<usize> {
    let (mut framing, mut found) = (RequestFraming::default(), Vec::new());
    for (number, piece_bytes) in bytes.chunks(piece).enumerate() {
        let mut at = 0;
        while let Some(length) = framing.find_end(&piece_bytes[at..]) {
            assert!(!framing.has_begun());
            at += length;
            found.push(number * piece + at);
        }
    }
    found
}

#[test]
fn requests_end_where_they_do_however_they_are_cut() {
    let bytes = [GET, b"\r\n\r\n", POST, POST, GET].concat();
    let first = GET.len();
    let second = first + 4 + POST.len();
    let expected = [first, second, second + POST.len(), bytes.len()];
    for piece in 1..bytes.len() {
        assert_eq!(ends(&bytes, piece), expected, "in pieces of {piece}");
    }
}

#[test]
fn request_has_begun_from_its_first_byte_to_its_last() {
    let mut framing = RequestFraming::default();
    assert!(!framing.has_begun());
    assert_eq!(framing.find_end(b"\r\n"), None);
    assert!(!framing.has_begun(), "an empty line is no request");
    assert_eq!(framing.find_end(&POST[..1]), None);
    assert!(framing.has_begun());
    assert_eq!(framing.find_end(&POST[1..POST.len() - 1]), None);
    assert!(framing.has_begun());
    assert_eq!(framing.find_end(&POST[POST.len() - 1..]), Some(1));
    assert!(!framing.has_begun());
}

/// Such requests are rejected, and their connections closed.
#[test]
fn body_of_unknown_length_has_no_end() {
    let mut framing = RequestFraming::default();
    let head = b"POST /note HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n";
    assert_eq!(framing.find_end(&[head, POST].concat()), None);
    assert!(framing.has_begun());
}
