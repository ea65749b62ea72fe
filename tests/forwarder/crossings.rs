//! What is still owed at the instant at which something ends: each crossing is forced.

use crate::world::*;

/// Lines of the list for so many destinations at one server, with a limit of so many calls a second each.
fn destinations(server: &Server, count: u32, limit: f64) -> Vec<serde_json::Value> {
    let line = |n: u32| {
        let mut line = line(&format!("s-{n}"), server.address, n, "active");
        line["weight"] = limit.into();
        line
    };
    (1..=count).map(line).collect()
}

/// A fleet of 300 under a listed limit: each process that came back made its first call to a destination within 50 s,
/// and gave up what it had found.
fn what_is_left_untried_is_tried(signal: &str) {
    let target = Server::start(|_| OK);
    let platform = Platform::start(Vec::new());
    let mut forwarder = Forwarder::start_with(&platform, |c| {
        c["settings"]["balancers"] = 300.into();
        c["settings"]["weight_source"] = "nominal".into();
    });
    let ids: Vec<String> = (1..=10).map(|n| format!("m{n}")).collect();
    for (n, id) in ids.iter().enumerate() {
        assert_eq!(forwarder.hand_in(&fee(id).to(n as u32 + 1).within(16_000)), 202);
    }
    forwarder.signal(signal);
    let _ = forwarder.wait();
    assert!(target.seen().is_empty() && platform.notices().is_empty());
    platform.change(destinations(&target, 10, 6.0));
    forwarder.start_again();
    eventually("each has a call", || ids.iter().all(|id| target.ids().contains(id)));
    assert_eq!(target.seen().len(), 10);
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

#[test]
fn what_sigkill_leaves_untried_is_tried() {
    what_is_left_untried_is_tried("KILL");
}

#[test]
fn what_sigterm_leaves_untried_is_tried() {
    what_is_left_untried_is_tried("TERM");
}
