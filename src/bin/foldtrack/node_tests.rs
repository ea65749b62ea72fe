//! Tests of the node without clients and endpoints, one round at a time.

use super::*;
use crate::events;
use tempfile::TempDir;

const MILLISECOND: Micros = 1_000;
const DISK_BYTES: u64 = 1_000_000;

/// A node and the events that are reported to it.
struct TestNode {
    node: Node,
    receiver: UnboundedReceiver<NodeEvent>,
    directory: TempDir,
}

impl TestNode {
    /// A node whose one destination has an endpoint in this state.
    fn new(endpoint_state: &str) -> TestNode {
        let directory = tempfile::tempdir().unwrap();
        let settings = json!({
            "balancers": 1,
            "categories": [{"name": "note", "aim": 3_000_000, "deadline": 16_000_000, "effect": "repeatable",
                "one_at_a_time": true}],
            "family_info": {"slots": 8},
            "limits": {"max_open": 16, "try_limit": 6, "conn_idle": 15_000_000, "dial_timeout": 1_000_000},
            "tick": 5_000,
        });
        let config = Config {
            listen_address: "127.0.0.1:0".parse().unwrap(),
            discovery_address: "127.0.0.1:1".parse().unwrap(),
            admin_address: None,
            state_directory: directory.path().into(),
            seed: 1,
            max_sockets: 64,
            disk_bytes: DISK_BYTES,
            memory_bytes: 32_000_000,
            known_endpoints: endpoint_list(1, endpoint_state),
            settings: Arc::new(serde_json::from_value(settings).unwrap()),
        };
        let (events, receiver) = events::channel();
        let lock = LogLock::try_acquire(directory.path()).unwrap().unwrap();
        let node = Node::restore_from_log(&config, &events, lock).unwrap();
        TestNode { node, receiver, directory }
    }

    /// Handles what has been reported since the last round.
    fn run_round(&mut self) {
        let mut batch: Vec<_> = std::iter::from_fn(|| self.receiver.try_recv().ok()).collect();
        self.node.run_round(&mut batch);
    }

    /// A message under the one order key.
    fn message(&self, id: &str, time_left: Micros) -> Message {
        Message {
            id: id.into(),
            class: 0,
            destination: 1,
            order_key: "key".into(),
            idempotency_key: None,
            retry_header: None,
            expires_at: self.node.clock.now() + time_left,
            body: "x".into(),
        }
    }

    /// Submits a message, and returns the response that accepts it, which is not written yet.
    fn submit(&mut self, id: &str, time_left: Micros) -> ResponseGuard {
        let message = self.message(id, time_left);
        let (reply, mut response) = oneshot::channel();
        self.node.submit(Arc::new(message), UNKNOWN_CLIENT, reply);
        self.run_round();
        match response.try_recv() {
            Ok(SubmitResponse::Accepted(guard)) => guard,
            _ => panic!("{id} is not accepted"),
        }
    }

    /// Ends a response, written or not.
    fn end_response(&mut self, mut guard: ResponseGuard, written: bool) {
        guard.written = written;
        drop(guard);
        self.run_round();
    }
}

fn endpoint_list(version: u64, state: &str) -> ServerList {
    let entry = json!({"id": "s-1", "addr": "127.0.0.1:1", "zone": "z", "kind": "k", "cell": 1, "state": state,
        "weight": 0.0, "started_ms": 0});
    serde_json::from_value(json!({"version": version, "full": true, "servers": [entry]})).unwrap()
}

/// Guards against a message that waits for good for a notice which is taken back, since the client of the message before
/// it has not been told that that one is accepted.
#[tokio::test(start_paused = true)]
async fn order_key_goes_on_when_the_notice_that_it_waits_for_is_taken_back() {
    let mut test = TestNode::new("leaving");
    let first_response = test.submit("first", 50 * MILLISECOND);
    tokio::time::advance(Duration::from_millis(50)).await;
    test.run_round();
    assert_eq!(test.node.pending_notices.len(), 1, "the first message has expired");
    test.node.update_endpoints(endpoint_list(2, "active"), ListKind::Full);
    let second_response = test.submit("second", 9_000 * MILLISECOND);
    test.end_response(second_response, true);
    let waiting = test.node.messages.values().filter(|held| held.pending_send.is_some()).count();
    assert_eq!(
        (waiting, test.node.calls.len()),
        (1, 0),
        "the second message waits for the notice of the first"
    );
    test.end_response(first_response, false);
    assert!(test.node.pending_notices.is_empty());
    assert_eq!(test.node.calls.len(), 1, "the second message is sent");
}

/// Guards against a message whose send waits for its response: it would end only with the response, past its deadline.
#[tokio::test(start_paused = true)]
async fn message_ends_in_time_though_its_response_is_still_being_written() {
    let mut test = TestNode::new("active");
    let _response = test.submit("first", 50 * MILLISECOND);
    assert_eq!(test.node.waiting_sends.len(), 1, "the message is sent once its response is written");
    for _ in 0..5 {
        tokio::time::advance(Duration::from_millis(10)).await;
        test.run_round();
    }
    assert!(test.node.messages.is_empty() && test.node.waiting_sends.is_empty());
    assert_eq!(test.node.pending_notices.len(), 1);
}

impl TestNode {
    /// Submits 16 such messages in one round, more than the write-ahead log has space for. Returns the size of the log.
    fn fill_log_in_one_round(&mut self, retry_header: Option<String>, body: &'static [u8]) -> u64 {
        let mut responses = Vec::new();
        for number in 0..16 {
            let message = self.message(&format!("m{number}"), 9_000 * MILLISECOND);
            let message = Message { retry_header: retry_header.clone(), body: body.into(), ..message };
            let (reply, response) = oneshot::channel();
            self.node.submit(Arc::new(message), UNKNOWN_CLIENT, reply);
            responses.push(response);
        }
        self.run_round();
        std::fs::metadata(self.directory.path().join("journal")).unwrap().len()
    }
}

/// Guards against messages of one round that were each given the same free space of the write-ahead log.
#[tokio::test(start_paused = true)]
async fn messages_of_one_round_leave_room_for_a_compaction() {
    let log_bytes = TestNode::new("leaving").fill_log_in_one_round(None, &[b'x'; 60_000]);
    assert!(log_bytes > 0 && 2 * log_bytes <= DISK_BYTES, "{log_bytes} of {DISK_BYTES} bytes");
}

/// Guards against a header that is in the records of the write-ahead log and was not counted.
#[tokio::test(start_paused = true)]
async fn recorded_headers_leave_room_for_a_compaction() {
    let log_bytes = TestNode::new("leaving").fill_log_in_one_round(Some("f".repeat(14_000)), &[b'x'; 60_000]);
    assert!(log_bytes > 0 && 2 * log_bytes <= DISK_BYTES, "{log_bytes} of {DISK_BYTES} bytes");
}
