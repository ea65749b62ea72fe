//! Tests of the write-ahead log.

use super::*;

const CAPACITY: u64 = 200_000;

fn open(directory: &Path) -> (WriteAheadLog, BTreeMap<u64, RestoredMessage>) {
    let (log, restored) = WriteAheadLog::open(directory, CAPACITY, 8).unwrap();
    (log, restored.messages)
}

fn accepted(body: usize) -> LogRecord {
    let text = String::from("0123456789abcdef");
    LogRecord::Accepted(AcceptedMessage {
        id: text.clone(),
        class: text.clone(),
        destination: 7,
        order_key: text.clone(),
        idempotency_key: Some(text),
        retry_header: None,
        expires_at: 1 << 50,
        body: vec![7; body],
    })
}

#[test]
fn space_is_released_only_while_live_frames_fit() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = open(directory.path());
    let mut accepted_count = 0;
    while log.has_space_for(1, 200) {
        accepted_count += 1;
        log.append(accepted_count, &accepted(200)).unwrap();
    }
    assert!(!log.release_space(CAPACITY / 2));
    (1..=accepted_count - 1).for_each(|number| log.append(number, &LogRecord::Completed).unwrap());
    assert!(log.release_space(CAPACITY / 2));
    let on_disk = fs::metadata(&log.path).unwrap().len();
    assert!(on_disk + log.live_bytes <= CAPACITY / 2, "{on_disk} bytes");
    drop(log);
    assert_eq!(open(directory.path()).1.len(), 1);
}

/// Guards against running out of disk space during a compaction, when the old and the new file exist together:
/// both must fit at any moment, also if the log is full of messages that use all their attempts.
#[test]
fn compaction_always_fits_and_loses_nothing() {
    for body in [0, 200, 20_000] {
        let directory = tempfile::tempdir().unwrap();
        let (mut log, _) = open(directory.path());
        let append = |log: &mut WriteAheadLog, number: u64, record: &LogRecord| {
            log.append(number, record).unwrap();
            let both = log.length.next_multiple_of(512) + log.live_bytes.next_multiple_of(512);
            assert!(both <= CAPACITY, "{both} bytes during a compaction");
            assert_eq!(log.length, fs::metadata(&log.path).unwrap().len());
        };
        let mut accepted_count = 0;
        while log.has_space_for(1, body + 128) {
            accepted_count += 1;
            append(&mut log, accepted_count, &accepted(body));
        }
        assert!(accepted_count > 2, "{accepted_count} messages of {body} bytes");
        for number in 1..=accepted_count {
            for _ in 0..8 {
                append(&mut log, number, &LogRecord::AttemptStarted { started_at: 1 << 50, zone: u32::MAX });
                append(&mut log, number, &LogRecord::AttemptEnded(ExecutionStatus::MayHaveRun));
            }
            append(
                &mut log,
                number,
                &LogRecord::NoticeIssued(NonDeliveryNotice::HandedBack { retry_in_ms: u64::MAX }),
            );
        }
        append(&mut log, 1, &LogRecord::Completed);
        drop(log);
        let (_, restored) = open(directory.path());
        assert!(restored.keys().copied().eq(2..=accepted_count));
        assert!(restored.values().all(|r| r.attempts.len() == 8 && r.notice.is_some()));
    }
}

#[test]
fn ended_requests_are_restored_until_they_are_forgotten() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = open(directory.path());
    let ended = |n: u64| RecordedEnd {
        id: format!("m{n}"),
        expires_at: 1 << 50,
        end: RequestEnd::HandedBack { retry_in_ms: n },
    };
    for number in 1..=3 {
        log.append(number, &accepted(50)).unwrap();
        log.append_completion(number, ended(number)).unwrap();
    }
    log.forget_ended(2);
    log.compact().unwrap();
    assert_eq!(log.length, log.live_bytes);
    drop(log);
    let (log, restored) = WriteAheadLog::open(directory.path(), CAPACITY, 8).unwrap();
    assert_eq!(restored.ended, BTreeMap::from([(1, ended(1)), (3, ended(3))]));
    assert_eq!((restored.messages.len(), restored.next_number()), (0, 4));
    assert_eq!(log.length, log.live_bytes);
}

#[test]
fn a_truncated_file_restores_the_complete_records() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = open(directory.path());
    let mut ends = vec![0];
    for number in 1..=3 {
        log.append(number, &accepted(50)).unwrap();
        ends.push(log.length);
    }
    let bytes = fs::read(&log.path).unwrap();
    for cut in 0..bytes.len() {
        fs::write(&log.path, &bytes[..cut]).unwrap();
        let (opened, restored) = open(directory.path());
        let whole = ends.iter().filter(|end| **end > 0 && **end <= cut as u64).count();
        assert_eq!(restored.len(), whole, "cut at {cut}");
        assert_eq!(opened.length, ends[whole]);
    }
}

/// A frame without a sync marker: as versions before it wrote them, and as a client can put it into a body.
fn unmarked_frame(number: u64, record: &LogRecord) -> Vec<u8> {
    let content = postcard::to_stdvec(&(number, record)).unwrap();
    let (length, crc) = (content.len() as u32, crc32fast::hash(&content));
    [&[0xf7, 0x1d], &length.to_le_bytes()[..], &crc.to_le_bytes(), &content].concat()
}

/// A message whose body consists of frames: a message that nobody sent, and the ends of the messages 1 to 3.
fn message_with_frames_in_its_body() -> LogRecord {
    let LogRecord::Accepted(message) = accepted(0) else { unreachable!() };
    let forged = [
        unmarked_frame(FORGED_NUMBER, &accepted(9)),
        unmarked_frame(1, &LogRecord::Completed),
        unmarked_frame(2, &LogRecord::NoticeIssued(NonDeliveryNotice::GivenUp)),
        unmarked_frame(3, &LogRecord::Completed),
    ];
    LogRecord::Accepted(AcceptedMessage { body: forged.concat().repeat(2), ..message })
}

const FORGED_NUMBER: u64 = 1 << 40;

fn assert_only_restored(restored: &BTreeMap<u64, RestoredMessage>, numbers: &[u64], case: &str) {
    assert!(restored.keys().eq(numbers), "{case}: {:?}", restored.keys());
    assert!(restored.values().all(|message| message.notice.is_none()), "{case}: a message has ended");
}

/// Guards against a kill in the middle of a write: bytes of the body were replayed as records.
#[test]
fn the_body_of_a_record_that_a_kill_cut_short_is_not_searched_for_records() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = open(directory.path());
    (1..=2).for_each(|number| log.append(number, &accepted(50)).unwrap());
    let whole = log.length as usize;
    log.append(3, &message_with_frames_in_its_body()).unwrap();
    let bytes = fs::read(&log.path).unwrap();
    let unmarked = [&bytes[..whole], &unmarked_frame(3, &message_with_frames_in_its_body())].concat();
    for (bytes, case) in [(bytes, "marked"), (unmarked, "of an earlier version")] {
        for cut in whole..bytes.len() {
            fs::write(&log.path, &bytes[..cut]).unwrap();
            let (mut opened, restored) = open(directory.path());
            assert_only_restored(&restored, &[1, 2], &format!("{case}, cut at {cut}"));
            opened.append(4, &accepted(50)).unwrap();
            assert_only_restored(&open(directory.path()).1, &[1, 2, 4], &format!("{case}, cut at {cut}"));
        }
    }
}

/// Guards against damage anywhere in a record: it loses that record alone, and brings up no bytes of its body.
#[test]
fn a_damaged_byte_loses_one_record_and_brings_up_none() {
    let directory = tempfile::tempdir().unwrap();
    let (mut log, _) = open(directory.path());
    log.append(1, &accepted(50)).unwrap();
    let damaged_from = log.length as usize;
    log.append(2, &message_with_frames_in_its_body()).unwrap();
    let damaged_to = log.length as usize;
    log.append(3, &accepted(50)).unwrap();
    let bytes = fs::read(&log.path).unwrap();
    for at in damaged_from..damaged_to {
        for bit in [0, 7] {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 << bit;
            fs::write(&log.path, &damaged).unwrap();
            let (mut opened, restored) = open(directory.path());
            assert_only_restored(&restored, &[1, 3], &format!("bit {bit} at {at}"));
            // Versions that search the body would find records in what is left of it.
            opened.append(4, &accepted(50)).unwrap();
            assert_eq!(fs::metadata(&log.path).unwrap().len(), opened.live_bytes, "bit {bit} at {at}");
            assert_only_restored(&open(directory.path()).1, &[1, 3, 4], &format!("bit {bit} at {at}"));
        }
    }
}

/// Guards against a log of a version without sync markers that is not read whole, also where records of both versions
/// take turns and where one is damaged.
#[test]
fn records_without_sync_markers_are_read_in_their_places() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("journal");
    let unmarked = |number| unmarked_frame(number, &message_with_frames_in_its_body());
    fs::write(&path, [unmarked(1), unmarked(2), unmarked(3)].concat()).unwrap();
    let (mut log, restored) = open(directory.path());
    assert_only_restored(&restored, &[1, 2, 3], "unmarked");
    log.append(4, &accepted(50)).unwrap();
    let mut bytes = fs::read(&path).unwrap();
    bytes.extend(unmarked(5));
    fs::write(&path, &bytes).unwrap();
    assert_only_restored(&open(directory.path()).1, &[1, 2, 3, 4, 5], "in turns");
    // Two records in a row are damaged in their bodies.
    let length = unmarked(2).len();
    bytes[length + length / 2] ^= 1;
    bytes[2 * length + length / 2] ^= 1;
    fs::write(&path, &bytes).unwrap();
    assert_only_restored(&open(directory.path()).1, &[1, 4, 5], "damaged");
}
