//! Runs of the forwarder under faults that a seed draws: clients that keep their connections until the process is killed,
//! send several requests at once and cut anywhere, rest until their connection is closed, and repeat requests without an
//! answer; kills and signals in series, hot restarts, endpoints that reject, fail and
//! hang, and in some runs a crowd of peers or a client at full speed. `SOAK_SEEDS` names the seeds as `FIRST-LAST`, eight
//! by default, so that the run of all tests stays short.

use crate::beside::ANSWER_TIMEOUT;
use crate::client_flood::FloodClient;
use crate::crowd::{Crowd, Script};
use crate::harness::*;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep, JoinHandle};
use std::time::{Duration, Instant};

const DEFAULT_SEEDS: (u64, u64) = (1, 8);
/// Runs at the same time.
const PARALLEL_RUNS: usize = 4;
const CLIENTS: usize = 6;
const DESTINATIONS: u32 = 3;
/// The earliest SIGKILL after SIGTERM, and the earliest start after a SIGKILL.
const KILL_AFTER_TERMINATE: Duration = Duration::from_millis(3700);
const START_AFTER_KILL: Duration = Duration::from_millis(600);
/// Pause between the two parts of what a client sends.
const PART_PAUSE: Duration = Duration::from_millis(3);
/// Rests that end about when a connection is closed as idle.
const IDLE_TIME_MICROS: std::ops::Range<u64> = 2_190_000..2_210_000;
/// Pause between two looks at the counters of a process that drains.
const DRAIN_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two looks at the memory of both processes of a hot restart.
const MEMORY_CHECK_PAUSE: Duration = Duration::from_millis(50);
/// How long after its time a message may end, and how long after a restart notices are due again.
const NOTICE_TIME: Duration = Duration::from_millis(300);
const NOTICES_AFTER_START: Duration = Duration::from_millis(1500);
/// How long after a rejection a notice comes again at the latest.
const NOTICE_RETRY_TIME: Duration = Duration::from_millis(200);
const DISK_BYTES: u64 = 3_000_000;

/// End of the ids of messages that must not run twice.
const UNSAFE: &str = "-unsafe";
/// Time of a run before its first fault, and between faults.
const CALM: Duration = Duration::from_millis(1500);

/// What an endpoint does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Served,
    Rejected,
    Failed,
    Silent,
}

/// A call as its endpoint saw it.
struct SeenCall {
    id: String,
    treatment: Treatment,
    at: Instant,
}

/// A message whose client was told that it is accepted.
struct AcceptedMessage {
    id: String,
    deadline: Instant,
}

/// What the clients of a run know.
#[derive(Default)]
struct ClientRecord {
    accepted: Vec<AcceptedMessage>,
    /// Answers by status; 0 for a connection that ended without one.
    answers: BTreeMap<u16, usize>,
}

/// A fault that is played beside the clients.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Kills in a series, each soon after the start before.
    Kills(usize),
    /// SIGTERM, so many further signals while the process drains, then SIGKILL.
    TerminateAndKill(usize),
    HotRestart,
    Hangups(usize),
    /// Discovery takes no notices for a while.
    NoticesRejected,
}

/// What a seed draws.
#[derive(Debug)]
struct Plan {
    seed: u64,
    memory_mb: u64,
    descriptors: u64,
    /// Per cent of calls that are rejected, failed and left without an answer.
    trouble: [u8; 3],
    faults: Vec<Fault>,
    crowd: Option<usize>,
    has_flood: bool,
}

impl Plan {
    fn new(seed: u64) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let faults = [
            Fault::Kills(random.usize(2..4)),
            // Drawn apart, so that the plans of the seeds stay what they were otherwise.
            Fault::TerminateAndKill(fastrand::Rng::with_seed(!seed).usize(..6)),
            Fault::HotRestart,
            Fault::Hangups(random.usize(5..30)),
            Fault::NoticesRejected,
        ];
        Plan {
            seed,
            memory_mb: [32, 32, 48, 192][random.usize(..4)],
            descriptors: [256, 384, 1024][random.usize(..3)],
            trouble: [random.u8(..10), random.u8(..6), random.u8(..4)],
            faults: (0..2).map(|_| faults[random.usize(..faults.len())]).collect(),
            crowd: random.bool().then(|| random.usize(..4)),
            has_flood: random.u8(..4) == 0,
        }
    }

    fn configure(&self, config: &mut Value) {
        config["limits"]["memory_mb"] = self.memory_mb.into();
        config["limits"]["sockets"] = self.descriptors.into();
    }
}

fn crowd_script(kind: usize) -> Script {
    let head = |length: usize| {
        format!(
            "POST /fee HTTP/1.1\r\nHost: f\r\nX-Request-Id: crowd\r\nX-Deadline: 9000m\r\nX-Consignee: dest=1\r\n\
             Content-Length: {length}\r\n\r\n"
        )
    };
    let long_field = "x".repeat(60_000);
    let start = match kind {
        0 => "GET /healthz HTTP/1.1\r\nHost: f\r\n\r\n".to_string(),
        1 => head(64_000) + &long_field,
        2 => format!("POST /fee HTTP/1.1\r\nX-Long: {long_field}"),
        _ => head(64_000),
    };
    let pieces = if kind == 3 { 64_000 } else { 0 };
    Script { start: start.into(), piece: b"x".into(), pieces }
}

/// Endpoints that draw what they do with each call.
fn start_targets(plan: &Plan, calls: &Arc<Mutex<Vec<SeenCall>>>) -> Vec<Arc<HttpServer>> {
    (0..DESTINATIONS)
        .map(|destination| {
            let random = Mutex::new(fastrand::Rng::with_seed(plan.seed * 31 + u64::from(destination)));
            let ([rejected, failed, silent], calls) = (plan.trouble, calls.clone());
            HttpServer::start(move |request| {
                let (draw, delay) = {
                    let mut random = random.lock().unwrap();
                    (random.u8(..100), Duration::from_millis(random.u64(5..60)))
                };
                let treatment = if draw < rejected {
                    Treatment::Rejected
                } else if draw < rejected + failed {
                    Treatment::Failed
                } else if draw < rejected + failed + silent {
                    Treatment::Silent
                } else {
                    Treatment::Served
                };
                calls.lock().unwrap().push(SeenCall {
                    id: request.message_id().into(),
                    treatment,
                    at: request.received_at,
                });
                match treatment {
                    Treatment::Served => Response::Delayed(delay, 200),
                    Treatment::Rejected => Response::Delayed(delay, 503),
                    Treatment::Failed => Response::Delayed(delay, 500),
                    Treatment::Silent => Response::Silent,
                }
            })
        })
        .collect()
}

/// A client that keeps its connection and repeats a request that got no answer.
struct Client {
    address: SocketAddr,
    random: fastrand::Rng,
    /// Draws how the client sends, apart from what it sends.
    habits: fastrand::Rng,
    stream: Option<TcpStream>,
    /// When the last requests were sent, from which their deadlines count.
    sent_at: Instant,
    record: ClientRecord,
}

impl Client {
    /// Sends requests at once, in two parts where one of them is short of the whole, and returns the statuses of their
    /// answers, as far as they come before the connection ends or the time is over.
    fn exchange(&mut self, requests: &[u8], count: usize, first_part: usize) -> Vec<u16> {
        let stream = self.stream.take().or_else(|| TcpStream::connect(self.address).ok());
        let Some(mut stream) = stream else {
            sleep(Duration::from_millis(20));
            return Vec::new();
        };
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
        self.sent_at = Instant::now();
        let (first, rest) = requests.split_at(first_part);
        let is_sent = stream.write_all(first).is_ok() && {
            sleep(PART_PAUSE);
            stream.write_all(rest).is_ok()
        };
        let mut statuses = Vec::new();
        while is_sent && statuses.len() < count {
            let Some((status, is_last)) = read_answer(&mut stream) else { return statuses };
            statuses.push(status);
            if is_last {
                return statuses;
            }
        }
        self.stream = is_sent.then_some(stream);
        statuses
    }

    /// Submits the next messages, several at once now and then.
    fn submit_some(&mut self, prefix: &str) {
        let count = if self.habits.u8(..4) == 0 { self.habits.usize(2..5) } else { 1 };
        let (messages, requests): (Vec<_>, Vec<_>) =
            (0..count).map(|number| self.next_request(&format!("{prefix}.{number}"))).unzip();
        let all = requests.concat();
        let first_part = if self.habits.bool() { all.len() } else { self.habits.usize(1..all.len()) };
        let mut statuses = self.exchange(&all, count, first_part).into_iter();
        let first_sent_at = self.sent_at;
        for (message, request) in messages.into_iter().zip(requests) {
            // A request without an answer comes again under its id.
            let (mut status, mut sent_at) = (statuses.next(), first_sent_at);
            if status.is_none() {
                self.record_answer(0);
                status = self.exchange(&request, 1, request.len()).first().copied();
                sent_at = self.sent_at;
            }
            self.record_answer(status.unwrap_or(0));
            if matches!(status, Some(200 | 202)) {
                let deadline = sent_at + Duration::from_millis(message.deadline_ms);
                self.record.accepted.push(AcceptedMessage { id: message.id, deadline });
            }
        }
    }

    fn record_answer(&mut self, status: u16) {
        *self.record.answers.entry(status).or_default() += 1;
    }

    /// The next message, the end of whose id tells whether it may run twice, and its request.
    fn next_request(&mut self, prefix: &str) -> (ClientMessage, Vec<u8>) {
        let is_unsafe = self.random.bool();
        let id = &format!("{prefix}{}", if is_unsafe { UNSAFE } else { "-keyed" });
        let deadline_ms = self.random.u64(2_000..5_000);
        let destination = self.random.u32(1..=DESTINATIONS);
        let body = vec![b'x'; self.random.usize(..400)];
        let message = if is_unsafe {
            fee_message(id)
        } else {
            update_message(id, &format!("k{}", self.random.u8(..20)))
        };
        let message = message.to(destination).with_deadline_ms(deadline_ms).with_body(body);
        let request = message.bytes_on_kept_connection();
        (message, request)
    }
}

/// Reads an answer. Returns its status, and whether it closes the connection.
fn read_answer(stream: &mut TcpStream) -> Option<(u16, bool)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read(&mut byte).ok().filter(|n| *n > 0)?;
        head.extend(byte);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    Some((head.split(' ').nth(1)?.parse().ok()?, head.contains("connection: close")))
}

fn start_clients(plan: &Plan, address: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<ClientRecord>> {
    (0..CLIENTS)
        .map(|number| {
            let (stop, seed) = (stop.clone(), plan.seed);
            thread::spawn(move || {
                let random = fastrand::Rng::with_seed(seed * 1000 + number as u64);
                let habits = fastrand::Rng::with_seed(!(seed * 1000 + number as u64));
                let record = ClientRecord::default();
                let sent_at = Instant::now();
                let mut client = Client { address, random, habits, stream: None, sent_at, record };
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    client.submit_some(&format!("s{seed}-c{number}-{count}"));
                    sleep(Duration::from_millis(client.random.u64(20..120)));
                    if client.habits.u8(..60) == 0 {
                        sleep(Duration::from_micros(client.habits.u64(IDLE_TIME_MICROS)));
                    }
                }
                client.record
            })
        })
        .collect()
}

/// The forwarder of a run and what it must keep to at any time.
struct Run {
    plan: Plan,
    discovery: DiscoveryServer,
    forwarder: Forwarder,
    random: fastrand::Rng,
    /// Spans in which no notice is due, or none can arrive: restarts, and rejections by discovery.
    notices_suspended: Vec<(Instant, Instant)>,
}

impl Run {
    /// Starts the forwarder again after a restart that began at `since`.
    fn start_again(&mut self, since: Instant) {
        sleep(START_AFTER_KILL);
        self.forwarder.restart();
        self.notices_suspended.push((since, Instant::now() + NOTICES_AFTER_START));
    }

    /// How long after its time the latest of these messages ended.
    fn latest_end(&self, accepted: &[&AcceptedMessage], calls: &[SeenCall]) -> (Duration, String) {
        let served = calls.iter().filter(|call| call.treatment == Treatment::Served);
        let mut ends: BTreeMap<String, Instant> = BTreeMap::new();
        let notices = self.discovery.timed_notices().into_iter().map(|(at, id, _)| (id, at));
        for (id, at) in served.map(|call| (call.id.clone(), call.at)).chain(notices) {
            let end = ends.entry(id).or_insert(at);
            *end = at.min(*end);
        }
        let due = |message: &AcceptedMessage| {
            self.notices_suspended.iter().fold(message.deadline, |due, (since, until)| {
                if *since <= due + NOTICE_TIME {
                    due.max(*until)
                } else {
                    due
                }
            })
        };
        let late = accepted
            .iter()
            .map(|message| (ends[&message.id].saturating_duration_since(due(message)), message.id.clone()));
        late.max().unwrap_or_default()
    }

    fn check_limits(&mut self) {
        assert!(self.forwarder.is_running(), "the process ended by itself: {:?}", self.plan);
        let peak = self.forwarder.peak_memory();
        assert!(peak <= self.plan.memory_mb * 1_000_000, "{peak} bytes of memory: {:?}", self.plan);
        let descriptors = self.forwarder.open_descriptors() as u64;
        assert!(descriptors <= self.plan.descriptors, "{descriptors} descriptors: {:?}", self.plan);
        let disk_usage = self.forwarder.disk_usage();
        assert!(disk_usage <= DISK_BYTES, "{disk_usage} bytes on disk: {:?}", self.plan);
        self.check_answers(&self.forwarder.admin_request("GET", "/-/metrics"));
    }

    /// By the metrics of a process, no request that it has read was left without an answer. A crowd sends requests that
    /// stop half way. The metrics are empty once the process has ended.
    fn check_answers(&self, metrics: &str) {
        for name in ["client_requests_cut_off", "client_bytes_discarded"] {
            let count = metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
            let is_none = count.is_none_or(|count| count == "0");
            assert!(is_none || self.plan.crowd.is_some(), "{name}: {count:?}: {:?}", self.plan);
        }
    }

    /// Lets a process that was told to terminate drain until it is killed.
    fn drain(&self, kill_at: Instant, metrics: impl Fn() -> String) {
        while Instant::now() < kill_at {
            self.check_answers(&metrics());
            sleep(DRAIN_CHECK_PAUSE);
        }
    }

    fn play(&mut self, fault: Fault) {
        self.check_limits();
        match fault {
            Fault::Kills(count) => (0..count).for_each(|_| self.kill_and_start()),
            Fault::TerminateAndKill(signals) => self.terminate_and_kill(signals),
            Fault::HotRestart => self.hot_restart(),
            Fault::Hangups(count) => (0..count).for_each(|_| self.forwarder.signal("HUP")),
            Fault::NoticesRejected => {
                let since = Instant::now();
                self.discovery.reject_notices(true);
                sleep(Duration::from_millis(self.random.u64(200..1_500)));
                self.discovery.reject_notices(false);
                self.notices_suspended.push((since, Instant::now() + NOTICE_RETRY_TIME));
            }
        }
    }

    fn terminate_and_kill(&mut self, further_signals: usize) {
        let since = Instant::now();
        self.forwarder.signal("TERM");
        let kill_at = since + KILL_AFTER_TERMINATE;
        for _ in 0..further_signals {
            sleep(Duration::from_millis(self.random.u64(..300)));
            self.forwarder.signal(if self.random.bool() { "HUP" } else { "TERM" });
        }
        self.drain(kill_at, || self.forwarder.admin_request("GET", "/-/metrics"));
        self.forwarder.kill();
        self.start_again(since);
    }

    fn kill_and_start(&mut self) {
        self.check_limits();
        self.forwarder.kill();
        self.start_again(Instant::now());
        sleep(Duration::from_millis(self.random.u64(..800)));
    }

    fn hot_restart(&mut self) {
        let mut old = self.forwarder.start_successor();
        wait_until("the successor is ready", || {
            self.forwarder.admin_request("GET", "/-/ready").starts_with("HTTP/1.1 200")
        });
        old.signal("TERM");
        let kill_at = Instant::now() + KILL_AFTER_TERMINATE;
        while Instant::now() < kill_at {
            let together = old.resident_memory() + self.forwarder.resident_memory();
            assert!(
                together <= self.plan.memory_mb * 1_000_000,
                "{together} bytes together: {:?}",
                self.plan
            );
            self.check_answers(&old.admin_request("GET", "/-/metrics"));
            sleep(MEMORY_CHECK_PAUSE);
        }
        assert!(!old.has_failed(), "the old process failed: {:?}", self.plan);
    }
}

/// No message that must not be repeated has run twice.
fn check_runs(plan: &Plan, calls: &[SeenCall]) {
    let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
    for call in calls.iter().filter(|call| call.treatment != Treatment::Rejected) {
        *ran.entry(&call.id).or_default() += 1;
    }
    for (id, count) in ran.iter().filter(|(id, _)| id.ends_with(UNSAFE)) {
        assert!(*count <= 1, "{id} ran {count} times: {plan:?}");
    }
}

fn play_seed(seed: u64) {
    let plan = Plan::new(seed);
    let calls = Arc::new(Mutex::new(Vec::new()));
    let targets = start_targets(&plan, &calls);
    let entries = (1..).zip(&targets).map(|(destination, target)| {
        list_entry(&format!("s-{destination}"), target.address, destination, "active")
    });
    let discovery = DiscoveryServer::start(entries.collect());
    let forwarder = Forwarder::start_with(&discovery, |config| plan.configure(config));
    let address = forwarder.listen_address;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&plan, address, &stop);
    let crowd = plan.crowd.map(|kind| {
        let count = plan.descriptors as usize / 2;
        Crowd::start(address, count, crowd_script(kind))
    });
    let flood = plan.has_flood.then(|| {
        FloodClient::start(address, move |n| {
            let message = fee_message(&format!("s{seed}-flood-{n}{UNSAFE}")).with_deadline_ms(2_000);
            message.bytes_on_kept_connection()
        })
    });
    let faults = plan.faults.clone();
    let random = fastrand::Rng::with_seed(seed);
    let mut run = Run { plan, discovery, forwarder, random, notices_suspended: Vec::new() };
    for fault in faults {
        sleep(CALM);
        run.play(fault);
    }
    sleep(CALM);
    run.check_limits();
    let flood_requests = flood.map(FloodClient::finish);
    drop(crowd);
    stop.store(true, Ordering::Relaxed);
    let records: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    wait_until("all messages have ended", || {
        let metrics = run.forwarder.admin_request("GET", "/-/metrics");
        metrics.contains("\nactive=0\n")
    });
    // The notices of the last messages arrive behind their ends.
    wait_until("all accepted messages have ended", || {
        let delivered = calls.lock().unwrap();
        let served = delivered.iter().filter(|call: &&SeenCall| call.treatment == Treatment::Served);
        let served: BTreeSet<&str> = served.map(|call| call.id.as_str()).collect();
        let notices = run.discovery.notices();
        let noticed: BTreeSet<&str> = notices.iter().map(|(id, _)| id.as_str()).collect();
        let mut accepted = records.iter().flat_map(|record| &record.accepted);
        accepted.all(|message| served.contains(message.id.as_str()) || noticed.contains(message.id.as_str()))
    });
    run.check_limits();
    let calls = calls.lock().unwrap();
    check_runs(&run.plan, &calls);
    let accepted: Vec<_> = records.iter().flat_map(|record| &record.accepted).collect();
    let latest_end = run.latest_end(&accepted, &calls);
    let mut answers: BTreeMap<u16, usize> = BTreeMap::new();
    for (status, count) in records.iter().flat_map(|record| &record.answers) {
        *answers.entry(*status).or_default() += count;
    }
    println!(
        "seed {seed}: {} accepted, the latest end {latest_end:?} after its time, answers {answers:?}, peak memory {} of {} MB, flood {flood_requests:?}: {:?}",
        accepted.len(),
        run.forwarder.peak_memory() / 1_000_000,
        run.plan.memory_mb,
        run.plan
    );
}

/// The seeds that `SOAK_SEEDS` names.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let (first, last) = match std::env::var("SOAK_SEEDS") {
        Ok(text) => {
            let (first, last) = text.split_once('-').expect("SOAK_SEEDS is FIRST-LAST");
            (first.parse().unwrap(), last.parse().unwrap())
        }
        Err(_) => DEFAULT_SEEDS,
    };
    first..=last
}

#[test]
fn messages_end_once_and_limits_hold_under_faults() {
    let _lock = crate::lock();
    let waiting = Mutex::new(seeds());
    let next_seed = || waiting.lock().unwrap().next();
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                while let Some(seed) = next_seed() {
                    if std::panic::catch_unwind(|| play_seed(seed)).is_err() {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
