//! The door for operators: what it answers, whom it starves, and what its calls do.

use crate::world::*;
use crate::{one_target, MS};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The least time in which a door that serves silent callers in their turn would come to the last of them is far
/// longer than this.
const SOON: Duration = Duration::from_secs(10);

pub fn figure_at(forwarder: &Forwarder, name: &str) -> u64 {
    let text = forwarder.operate("GET", "/-/metrics");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let line = body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
    line.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("no {name} in {text}"))
}

pub fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("")
}

#[test]
fn calls_that_mean_nothing_are_answered_no_and_change_nothing() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    let said = |method: &str, path: &str| status(&forwarder.operate(method, path)).to_string();
    eventually("it takes clients", || said("GET", "/-/ready") == "200");
    assert_eq!(said("GET", "/-/nothing"), "404");
    assert_eq!(said("POST", "/-/ready"), "405");
    assert_eq!(said("GET", "/-/endpoints/s-1/disable"), "405");
    assert_eq!(said("POST", "/-/endpoints/s-2/disable"), "404");
    assert_eq!(said("POST", "/-/endpoints/s-2/enable"), "404");
    assert_eq!(said("POST", &format!("/-/endpoints/{}/disable", "s".repeat(20_000)))[..1], *"4");
    let raw = |text: String| exchange_at(forwarder.admin, text.as_bytes());
    assert_eq!(status(&raw("what is this\r\n\r\n".into())), "400");
    let long = format!(
        "POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 9000\r\n\r\n{}",
        " ".repeat(9000)
    );
    assert_eq!(status(&raw(long)), "413");
    // Half a call: the rest of what it announces never comes.
    let half = "POST /-/endpoints/s-1/disable HTTP/1.1\r\nHost: f\r\nContent-Length: 9\r\n\r\nhalf";
    assert_eq!(status(&raw(half.into())), "408");
    assert_eq!(figure_at(&forwarder, "pool_ejected"), 0);
    assert_eq!(forwarder.hand_in(&fee("m1")), 202);
    eventually("the call", || target.ids() == ["m1"]);
}

#[test]
fn silent_callers_do_not_keep_others_waiting() {
    let (_target, _platform, forwarder) = one_target(|_| OK);
    let start = Instant::now();
    let silent: Vec<_> = (0..400)
        .map(|n| {
            let mut stream = TcpStream::connect(forwarder.admin).unwrap();
            let half: &[u8] = if n % 2 == 0 { b"" } else { b"GET /-/rea" };
            let _ = stream.write_all(half);
            stream
        })
        .collect();
    assert_eq!(status(&forwarder.operate("GET", "/-/ready")), "200");
    assert!(start.elapsed() < SOON, "answered after {:?}", start.elapsed());
    drop(silent);
}

#[test]
fn an_endpoint_is_out_until_one_call_puts_it_back() {
    let (first, second) = (Server::start(|_| OK), Server::start(|_| OK));
    let both = |version| {
        let mut lines =
            vec![line("s-1", first.address, 1, "active"), line("s-2", second.address, 1, "active")];
        lines.rotate_left(version);
        lines
    };
    let platform = Platform::start(both(0));
    let mut forwarder = Forwarder::start(&platform);
    let mut sent = 0;
    let mut hand_in = |forwarder: &Forwarder, count: usize| {
        for _ in 0..count {
            sent += 1;
            assert_eq!(forwarder.hand_in(&fee(&format!("m{sent}"))), 202);
            eventually("the call", || first.seen().len() + second.seen().len() == sent);
        }
    };
    hand_in(&forwarder, 8);
    for _ in 0..2 {
        assert_eq!(status(&forwarder.operate("POST", "/-/endpoints/s-1/disable")), "200");
    }
    let before = first.seen();
    hand_in(&forwarder, 8);
    assert_eq!((figure_at(&forwarder, "pool_size"), figure_at(&forwarder, "pool_ejected")), (2, 1));
    platform.change(both(1));
    eventually("the list is told", || platform.has_told());
    hand_in(&forwarder, 8);
    forwarder.kill();
    forwarder.start_again();
    hand_in(&forwarder, 8);
    assert_eq!(first.seen().len(), before.len(), "calls came while it was out");
    assert_eq!(status(&forwarder.operate("POST", "/-/endpoints/s-1/enable")), "200");
    assert_eq!(figure_at(&forwarder, "pool_ejected"), 0);
    assert_eq!(status(&forwarder.operate("POST", "/-/endpoints/s-2/disable")), "200");
    hand_in(&forwarder, 1);
    assert_eq!(first.seen().len(), before.len() + 1, "it gets calls again");
}

#[test]
fn connections_from_before_an_endpoint_was_out_are_not_used_again() {
    let (target, _platform, forwarder) = one_target(|_| OK);
    let mut connections = Vec::new();
    for n in 1..=6 {
        assert_eq!(forwarder.hand_in(&fee(&format!("m{n}"))), 202);
        eventually("the call", || target.seen().len() == n);
        sleep_for_the_answer();
        connections.push(target.seen().last().unwrap().connection);
    }
    assert!(connections.windows(2).any(|pair| pair[0] == pair[1]), "never used again: {connections:?}");
    for verb in ["disable", "enable"] {
        assert_eq!(status(&forwarder.operate("POST", &format!("/-/endpoints/s-1/{verb}"))), "200");
    }
    assert_eq!(forwarder.hand_in(&fee("after")), 202);
    eventually("the call", || target.ids().contains(&"after".to_string()));
    assert!(!connections.contains(&target.seen().last().unwrap().connection));
}

/// Until a connection has been read to the end of its answer it stands at no call's disposal.
pub fn sleep_for_the_answer() {
    std::thread::sleep(MS(50));
}

#[test]
fn each_message_is_counted_once_by_how_it_ended() {
    let (target, platform, forwarder) = one_target(|r| match r.id() {
        "error" => Reply::Status(500, ""),
        _ => OK,
    });
    for id in ["one", "two"] {
        assert_eq!(forwarder.hand_in(&fee(id)), 202);
    }
    assert_eq!(forwarder.hand_in(&update("key", "k")), 202);
    eventually("delivered", || target.seen().len() == 3);
    assert_eq!(forwarder.hand_in(&fee("error")), 202);
    eventually("the notice", || platform.has("error", "given_up"));
    // Nothing is listed for it: it is handed back unsent.
    assert_eq!(forwarder.hand_in(&fee("nowhere").to(2).within(300)), 202);
    eventually("the notice", || platform.has("nowhere", "handed_back"));
    assert_eq!(forwarder.hand_in(&fee("held").to(2)), 202);
    let expected = [("fee.ok", 2), ("fee.shed", 1), ("fee.errors", 1), ("fee.tries", 3)];
    let more = [("update.ok", 1), ("update.shed", 0), ("update.errors", 0), ("update.tries", 1)];
    for (name, count) in expected.into_iter().chain(more) {
        eventually(name, || figure_at(&forwarder, &format!("responses.{name}")) == count);
    }
    assert_eq!(figure_at(&forwarder, "active"), 1);
    assert_eq!(figure_at(&forwarder, "pool_size"), 1);
}

/// A call that finds nobody has written nothing.
#[test]
fn a_message_that_was_never_written_is_no_try() {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let platform = Platform::start(vec![line("s-1", closed, 1, "active")]);
    let forwarder = Forwarder::start(&platform);
    assert_eq!(forwarder.hand_in(&fee("m1").within(600)), 202);
    eventually("the notice", || platform.has("m1", "handed_back"));
    assert_eq!(
        (figure_at(&forwarder, "responses.fee.tries"), figure_at(&forwarder, "responses.fee.shed")),
        (0, 1)
    );
}
