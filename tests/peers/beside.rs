//! Clients that behave well beside peers that do not.

use crate::harness::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a client waits for its answer.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
const PAUSE: Duration = Duration::from_millis(30);

/// What became of the messages submitted beside the peers of a test.
#[derive(Default)]
pub struct Submissions {
    pub accepted: Vec<String>,
    answer_times: Vec<Duration>,
}

impl Submissions {
    /// Submits messages one after another for this time. Each gets an answer, which accepts or refuses it.
    pub fn run(forwarder: &Forwarder, time: Duration) -> Submissions {
        let mut submissions = Submissions::default();
        let end = Instant::now() + time;
        for n in 0.. {
            let (id, submitted_at) = (format!("beside-{n}"), Instant::now());
            let status = forwarder.submit(&fee_message(&id));
            submissions.answer_times.push(submitted_at.elapsed());
            assert!([202, 503].contains(&status), "{id}: {status}");
            submissions.accepted.extend((status == 202).then_some(id));
            if Instant::now() >= end {
                break;
            }
            sleep(PAUSE);
        }
        submissions
    }

    /// Asserts that answers come while their clients wait. A busy machine may hold up some, so the median counts.
    pub fn assert_in_time(&mut self) {
        self.answer_times.sort();
        let median = self.answer_times[self.answer_times.len() / 2];
        assert!(median <= ANSWER_TIMEOUT, "half of the answers took {median:?} or more");
    }
}
