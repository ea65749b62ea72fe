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
    while log.has_space_for(200) {
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
        while log.has_space_for(body + 128) {
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
