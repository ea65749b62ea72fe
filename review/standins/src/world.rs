//! Stand-ins for clients, endpoints and the platform's agent (discovery and notices), and the forwarder as a process.
//! Standard library only. Everything that was sent, answered and run is recorded with its time.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

/// Milliseconds since the start of the run.
pub fn now() -> f64 {
    start().elapsed().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A small generator of random numbers.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The record of a run: lines with times, written to a file at the end and printed as they come if asked for.
#[derive(Default)]
pub struct Record {
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn add(&self, text: impl Into<String>) {
        self.add_at(now(), text);
    }
    pub fn add_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = File::create(path).unwrap();
        for (at, line) in lines {
            writeln!(file, "{at:10.1} {line}").unwrap();
        }
    }
}

pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When its first and its last byte had been read.
    pub first: f64,
    pub last: f64,
}

pub fn read_http(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    if reader.fill_buf().ok()?.is_empty() {
        return None;
    }
    let first = now();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpRequest { method, path, headers, body, first, last: now() })
}

/// Waits for `ms`, or until the peer has closed the connection. Returns whether it is still open.
pub fn wait_open(stream: &TcpStream, ms: f64) -> bool {
    let end = now() + ms;
    loop {
        let left = end - now();
        if left <= 0.0 {
            return true;
        }
        stream.set_read_timeout(Some(Duration::from_secs_f64((left / 1e3).max(0.0005)))).ok();
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => {
                sleep_ms(left.min(20.0) as u64 + 1);
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return false,
        }
    }
}

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Act {
    /// 200 after so many milliseconds.
    Ok(f64),
    /// No answer; the connection stays open. The call runs.
    Hang,
    /// This status with these header lines after so many milliseconds; it has not run (but 500, which has).
    Status(u16, String, f64),
    /// The connection is closed after the call has run.
    Close,
    /// These bytes, then the connection is closed.
    Raw(Vec<u8>),
    /// 200 after so many milliseconds; the idle connection is closed after so many more.
    OkThenClose(f64, f64),
    /// 200 after so many milliseconds, though the peer may have gone; the status line and the rest in two parts with a pause.
    Slow200(f64, f64),
}

/// One call as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub key: String,
    pub dest: u32,
    pub endpoint: String,
    pub first: f64,
    pub last: f64,
    /// When its answer was written or its connection had ended.
    pub end: f64,
    /// What was answered: `200`, another status, `none`.
    pub answer: String,
    pub wait_ms: f64,
    pub body_hash: u64,
}

pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf29ce484222325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100000001b3))
}

pub type Handler = Box<dyn Fn(&HttpRequest, &Endpoint) -> Act + Send + Sync>;

pub struct Endpoint {
    pub id: String,
    pub dest: u32,
    pub zone: String,
    pub kind: String,
    pub address: SocketAddr,
    pub weight: f64,
    pub handler: Mutex<Arc<Handler>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    pub record: Arc<Record>,
    /// Connections that are open.
    pub connections: AtomicUsize,
    /// While set, connections are closed as soon as they are accepted.
    pub down: std::sync::atomic::AtomicBool,
}

impl Endpoint {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str, dest: u32, zone: &str, kind: &str, weight: f64, calls: &Arc<Mutex<Vec<Call>>>,
        record: &Arc<Record>, handler: impl Fn(&HttpRequest, &Endpoint) -> Act + Send + Sync + 'static,
    ) -> Arc<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let endpoint = Arc::new(Endpoint {
            id: id.into(),
            dest,
            zone: zone.into(),
            kind: kind.into(),
            address: listener.local_addr().unwrap(),
            weight,
            handler: Mutex::new(Arc::new(Box::new(handler))),
            calls: calls.clone(),
            record: record.clone(),
            connections: AtomicUsize::new(0),
            down: std::sync::atomic::AtomicBool::new(false),
        });
        let shared = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.down.load(Ordering::SeqCst) {
                    continue;
                }
                let endpoint = shared.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        self.connections.fetch_add(1, Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            stream.set_read_timeout(None).ok();
            let Some(request) = read_http(&mut reader) else { break };
            let handler = self.handler.lock().unwrap().clone();
            let act = handler(&request, self);
            let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
            let index = {
                let mut calls = self.calls.lock().unwrap();
                calls.push(Call {
                    id: header("x-request-id"),
                    key: header("idempotency-key"),
                    dest: self.dest,
                    endpoint: self.id.clone(),
                    first: request.first,
                    last: request.last,
                    end: f64::INFINITY,
                    answer: "none".into(),
                    wait_ms: 0.0,
                    body_hash: hash(&request.body),
                });
                calls.len() - 1
            };
            self.record
                .add_at(request.last, format!("call {} {} -> {act:?}", self.id, header("x-request-id")));
            let finish = |answer: &str, wait_ms: f64| {
                let call = &mut self.calls.lock().unwrap()[index];
                (call.end, call.answer, call.wait_ms) = (now(), answer.into(), wait_ms);
                self.record.add(format!("answer {} {} {answer}", self.id, call.id));
            };
            match act {
                Act::Ok(ms) => {
                    if !wait_open(&stream, ms) {
                        finish("none", 0.0);
                        break;
                    }
                    // The answer counts once it is written.
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        finish("none", 0.0);
                        break;
                    }
                    finish("200", 0.0);
                }
                Act::OkThenClose(ms, idle) => {
                    if !wait_open(&stream, ms) {
                        finish("none", 0.0);
                        break;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                    finish("200", 0.0);
                    sleep_ms(idle as u64);
                    break;
                }
                Act::Slow200(ms, pause) => {
                    if !wait_open(&stream, ms) {
                        finish("none", 0.0);
                        break;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n");
                    finish("200", 0.0);
                    sleep_ms(pause as u64);
                    if stream.write_all(b"Content-Length: 0\r\n\r\n").is_err() {
                        break;
                    }
                }
                Act::Hang => {
                    while wait_open(&stream, 1e6) {}
                    finish("none", 0.0);
                    break;
                }
                Act::Status(status, headers, ms) => {
                    if !wait_open(&stream, ms) {
                        finish("none", 0.0);
                        break;
                    }
                    let text = format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: 0\r\n\r\n");
                    let wait = headers
                        .split("X-Come-Back-Ms:")
                        .nth(1)
                        .and_then(|t| t.split("\r\n").next())
                        .and_then(|t| t.trim().parse().ok())
                        .unwrap_or(0.0);
                    if stream.write_all(text.as_bytes()).is_err() {
                        finish("none", 0.0);
                        break;
                    }
                    finish(&status.to_string(), wait);
                    if headers.to_lowercase().contains("connection: close") {
                        let _ = stream.shutdown(std::net::Shutdown::Write);
                        break;
                    }
                }
                Act::Close => {
                    finish("none", 0.0);
                    break;
                }
                Act::Raw(bytes) => {
                    let _ = stream.write_all(&bytes);
                    let said_200 = bytes.starts_with(b"HTTP/1.1 200 ") && bytes.contains(&b'\n');
                    finish(if said_200 { "200" } else { "spoilt" }, 0.0);
                    break;
                }
            }
        }
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"{}","cell":{},"state":"{state}","weight":{:.1},"started_ms":0}}"#,
            self.id, self.address, self.zone, self.kind, self.dest, self.weight
        )
    }
}

/// The agent on a forwarder's machine: discovery and notices.
pub struct Agent {
    pub address: SocketAddr,
    /// Version, current entries by id, and the changes with their versions.
    pub state: Mutex<AgentState>,
    changed: Condvar,
    pub notices: Arc<Mutex<Vec<(f64, String)>>>,
    pub record: Arc<Record>,
    closed: std::sync::atomic::AtomicBool,
    /// Number of connections so far; those up to `silent_until` are silent: nothing more is written to them.
    accepted: AtomicUsize,
    silent_until: AtomicUsize,
    streams: Mutex<Vec<TcpStream>>,
    pub name: String,
}

#[derive(Default, Clone)]
pub struct AgentState {
    pub version: u64,
    /// id -> (state, entry, version of its last change)
    pub entries: HashMap<String, (String, String, u64)>,
    /// id -> when a state other than active was told, by writing it to the forwarder
    pub told: HashMap<String, f64>,
    pub silent: bool,
}

impl Agent {
    pub fn start(name: &str, notices: &Arc<Mutex<Vec<(f64, String)>>>, record: &Arc<Record>) -> Arc<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Arc::new(Agent {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            changed: Condvar::new(),
            notices: notices.clone(),
            record: record.clone(),
            closed: std::sync::atomic::AtomicBool::new(false),
            accepted: AtomicUsize::new(0),
            silent_until: AtomicUsize::new(0),
            streams: Mutex::default(),
            name: name.into(),
        });
        let shared = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.closed.load(Ordering::SeqCst) {
                    return; // closes the listener
                }
                shared.streams.lock().unwrap().push(stream.try_clone().unwrap());
                let agent = shared.clone();
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst) + 1;
                thread::spawn(move || agent.serve(stream, number));
            }
        });
        agent
    }

    /// Accepts no more connections from now on, and closes the open ones after 1.5 s.
    pub fn retire(self: &Arc<Agent>) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        let agent = self.clone();
        thread::spawn(move || {
            sleep_ms(1500);
            for stream in agent.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
    }

    pub fn set(&self, id: &str, state: &str, entry: String) {
        let mut agent = self.state.lock().unwrap();
        agent.version += 1;
        let version = agent.version;
        self.record.add(format!("agent {} version {version}: {id} {state}", self.name));
        agent.entries.insert(id.into(), (state.into(), entry, version));
        self.changed.notify_all();
    }

    pub fn full_list(&self) -> String {
        let agent = self.state.lock().unwrap();
        Agent::full(&agent)
    }

    fn full(agent: &AgentState) -> String {
        let live: Vec<_> = agent.entries.values().filter(|e| e.0 != "left").map(|e| e.1.clone()).collect();
        format!(r#"{{"version":{},"full":true,"servers":[{}]}}"#, agent.version, live.join(","))
    }

    /// The watches that are open now fall silent: their connections stay open, and nothing more comes on them.
    pub fn silence_open_watches(&self) {
        self.silent_until.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream, number: usize) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let is_silent = || number <= self.silent_until.load(Ordering::SeqCst);
        while let Some(request) = read_http(&mut reader) {
            if request.method == "POST" {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                for line in text.lines() {
                    self.notices.lock().unwrap().push((request.last, line.into()));
                    self.record.add_at(request.last, format!("notice {} {line}", self.name));
                }
                if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let since =
                request.path.split("since=").nth(1).and_then(|t| t.split('&').next()?.parse::<u64>().ok());
            let wait =
                request.path.split("timeout_ms=").nth(1).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
            let mut agent = self.state.lock().unwrap();
            let reply = match since {
                None => Agent::full(&agent),
                Some(since) => {
                    let end = Instant::now() + Duration::from_millis(wait.min(60000));
                    while agent.version <= since || agent.silent {
                        let left = end.saturating_duration_since(Instant::now());
                        if left.is_zero() && !agent.silent {
                            break;
                        }
                        let pause = if agent.silent {
                            Duration::from_millis(2)
                        } else {
                            left.max(Duration::from_millis(1))
                        };
                        agent = self.changed.wait_timeout(agent, pause).unwrap().0;
                    }
                    let new: Vec<_> =
                        agent.entries.values().filter(|e| e.2 > since).map(|e| e.1.clone()).collect();
                    format!(r#"{{"version":{},"full":false,"servers":[{}]}}"#, agent.version, new.join(","))
                }
            };
            if is_silent() {
                drop(agent);
                self.record
                    .add(format!("agent {}: the watch {} stays without an answer", self.name, request.path));
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                reply.len()
            );
            if stream.write_all((head + &reply).as_bytes()).is_err() {
                return;
            }
            let at = now();
            self.record.add_at(
                at,
                format!(
                    "agent {} {} -> {}",
                    self.name,
                    request.path,
                    if reply.len() < 400 {
                        reply.clone()
                    } else {
                        format!("{} bytes, version {}", reply.len(), agent.version)
                    }
                ),
            );
            let ids: Vec<_> =
                agent.entries.iter().filter(|e| e.1 .0 != "active").map(|e| e.0.clone()).collect();
            for id in ids {
                agent.told.entry(id).or_insert(at);
            }
        }
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;
pub const HUP: i32 = 1;

/// Processes that were started, so that all of them are ended.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all forwarders that are still running. Each is a child that has not been waited for, so its id is its own.
pub fn stop_all() {
    for pid in STARTED.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        unsafe { kill(pid, KILL) };
    }
}

/// Waits for a child that was killed or has ended; from then on its id is not used any more.
fn reap(child: &mut Child) {
    STARTED.lock().unwrap().retain(|pid| *pid != child.id() as i32);
    let _ = child.wait();
}

pub fn signal(child: &Child, signal: i32) {
    unsafe { kill(child.id() as i32, signal) };
}

/// A forwarder's machine: its folder, its configuration and its processes.
pub struct Machine {
    pub name: String,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub admin: Mutex<SocketAddr>,
    pub settings: String,
    pub limits: String,
    pub root: PathBuf,
    pub process: Mutex<Option<Child>>,
    pub agent: Mutex<Arc<Agent>>,
    pub record: Arc<Record>,
    /// Spans in which no notice is overdue.
    pub excused: Mutex<Vec<(f64, f64)>>,
    /// When it was killed.
    pub kills: Mutex<Vec<f64>>,
    pub run: String,
    /// The endpoint list of the configuration, if it is not the agent's.
    pub known: Mutex<Option<String>>,
}

pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let host = format!("127.{}.{}.{}:0", 80 + std::process::id() % 100, (std::process::id() / 100) % 250, n);
    TcpListener::bind(host).unwrap().local_addr().unwrap()
}

/// The `run` command of the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = text.lines().find(|l| l.starts_with("run")).unwrap();
    line.split('"').nth(1).unwrap().to_string()
}

impl Machine {
    pub fn new(
        name: &str, root: &Path, folder: &Path, settings: &str, limits: &str, agent: &Arc<Agent>,
        record: &Arc<Record>,
    ) -> Arc<Machine> {
        let folder = folder.join(name);
        std::fs::create_dir_all(folder.join("state")).unwrap();
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        Arc::new(Machine {
            name: name.into(),
            folder,
            listen: free_address(),
            admin: Mutex::new(free_address()),
            settings: settings.into(),
            limits: limits.into(),
            root: root.into(),
            process: Mutex::new(None),
            agent: Mutex::new(agent.clone()),
            record: record.clone(),
            excused: Mutex::default(),
            kills: Mutex::default(),
            run: run_command(root),
            known: Mutex::new(None),
        })
    }

    pub fn write_config(&self) {
        let agent = self.agent.lock().unwrap().clone();
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","admin":"{}","seed":"{:016x}","limits":{},"known":{},"settings":{}}}"#,
            self.name,
            self.listen,
            agent.address,
            self.admin.lock().unwrap(),
            hash(format!("{}{}", self.name, now()).as_bytes()),
            self.limits,
            self.known.lock().unwrap().clone().unwrap_or_else(|| agent.full_list()),
            self.settings
        );
        let path = self.folder.join("config.json");
        std::fs::write(path.with_extension("new"), text).unwrap();
        std::fs::rename(path.with_extension("new"), path).unwrap();
    }

    pub fn spawn(&self) -> Child {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).unwrap();
        let agent = self.agent.lock().unwrap().address;
        self.record.add(format!("{}: start `{}`", self.name, self.run));
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", agent.to_string())
            .env("BALANCER_STATE", self.folder.join("state"))
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_ADMIN", self.admin.lock().unwrap().to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        STARTED.lock().unwrap().push(child.id() as i32);
        child
    }

    pub fn healthy(&self) -> bool {
        get(self.listen, "/healthz", 300).is_some_and(|t| t.starts_with("HTTP/1.1 200"))
    }

    pub fn admin_ready(&self) -> bool {
        let admin = *self.admin.lock().unwrap();
        get(admin, "/-/ready", 1000).is_some_and(|t| t.starts_with("HTTP/1.1 200"))
    }

    /// Starts the process and waits until it is ready. Returns whether it is, within 30 s.
    pub fn start(&self) -> bool {
        self.write_config();
        *self.process.lock().unwrap() = Some(self.spawn());
        let end = now() + 30_000.0;
        while now() < end {
            if self.healthy() {
                self.record.add(format!("{}: ready", self.name));
                return true;
            }
            sleep_ms(5);
        }
        false
    }

    /// SIGKILL, and a start 0.6 s later.
    pub fn kill_and_restart(&self) -> bool {
        let at = now();
        self.kill();
        sleep_ms(600);
        let ok = self.start();
        self.excused.lock().unwrap().push((at, now() + 1500.0));
        ok
    }

    pub fn kill(&self) {
        self.kills.lock().unwrap().push(now());
        self.record.add(format!("{}: SIGKILL", self.name));
        if let Some(mut child) = self.process.lock().unwrap().take() {
            signal(&child, KILL);
            reap(&mut child);
        }
    }

    /// SIGTERM, SIGKILL 3.7 s later, and a start 0.6 s after that.
    pub fn planned_restart(&self) -> bool {
        let at = now();
        self.record.add(format!("{}: SIGTERM", self.name));
        signal(self.process.lock().unwrap().as_ref().unwrap(), TERM);
        sleep_ms(3700);
        self.kill();
        sleep_ms(600);
        let ok = self.start();
        self.excused.lock().unwrap().push((at, now() + 1500.0));
        ok
    }

    /// A new version beside the old process, then SIGTERM and SIGKILL to the old one. Returns whether the new one said
    /// ready within 6 s.
    pub fn upgrade(&self) -> bool {
        self.upgrade_saying(|| ())
    }

    /// As `upgrade`; `said_yes` is called when the new process says that it is ready.
    pub fn upgrade_saying(&self, said_yes: impl Fn()) -> bool {
        *self.admin.lock().unwrap() = free_address();
        self.write_config();
        self.record.add(format!("{}: upgrade", self.name));
        let new = self.spawn();
        let end = now() + 6000.0;
        let mut ready = false;
        while now() < end && !ready {
            ready = self.admin_ready();
            if ready {
                said_yes();
            }
            sleep_ms(5);
        }
        self.record.add(format!("{}: new process ready: {ready}", self.name));
        let old = self.process.lock().unwrap().replace(new);
        sleep_ms(300);
        let mut old = old.unwrap();
        signal(&old, TERM);
        self.record.add(format!("{}: SIGTERM to the old process", self.name));
        sleep_ms(3700);
        signal(&old, KILL);
        reap(&mut old);
        ready
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        self.process.lock().unwrap().as_mut().is_some_and(|c| c.try_wait().unwrap().is_some())
    }

    pub fn stop(&self) {
        if let Some(mut child) = self.process.lock().unwrap().take() {
            signal(&child, KILL);
            reap(&mut child);
        }
    }
}

pub fn get(address: SocketAddr, path: &str, timeout_ms: u64) -> Option<String> {
    exchange(
        address,
        format!("GET {path} HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n").as_bytes(),
        timeout_ms,
    )
}

pub fn post(address: SocketAddr, path: &str, timeout_ms: u64) -> Option<String> {
    exchange(
        address,
        format!("POST {path} HTTP/1.1\r\nHost: f\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        timeout_ms,
    )
}

pub fn exchange(address: SocketAddr, bytes: &[u8], timeout_ms: u64) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms))).ok()?;
    stream.write_all(bytes).ok()?;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16),
    /// No answer within 400 ms; the client closed the connection.
    GaveUp,
    /// The connection was ended with no answer.
    Ended,
    /// No connection.
    NotConnected,
}

/// A message as its client handed it in.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub key: String,
    pub machine: usize,
    pub class: String,
    pub dest: u32,
    pub order: String,
    pub sent: f64,
    pub answered: f64,
    pub deadline_ms: u64,
    pub answer: Answer,
    pub body_hash: u64,
}

/// A client's connections to one forwarder.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<Vec<(TcpStream, f64)>>,
}

impl Pool {
    fn one(&self, stream: TcpStream, bytes: &[u8]) -> (Answer, Option<TcpStream>) {
        let mut stream = stream;
        stream.set_read_timeout(Some(Duration::from_millis(400))).ok();
        if stream.write_all(bytes).is_err() {
            return (Answer::Ended, None);
        }
        let end = Instant::now() + Duration::from_millis(400);
        let mut text = Vec::new();
        let mut buffer = [0; 2048];
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return (Answer::GaveUp, None);
            }
            stream.set_read_timeout(Some(left)).ok();
            match stream.read(&mut buffer) {
                Ok(0) => return (Answer::Ended, None),
                Ok(n) => text.extend_from_slice(&buffer[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    return (Answer::GaveUp, None)
                }
                Err(_) => return (Answer::Ended, None),
            }
            let head = String::from_utf8_lossy(&text);
            if head.contains("\r\n\r\n") {
                let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
                let close = head.to_lowercase().contains("connection: close");
                return (Answer::Status(status), (!close).then_some(stream));
            }
        }
    }

    pub fn send(&self, address: SocketAddr, bytes: &[u8]) -> Answer {
        let kept = self.idle.lock().unwrap().pop();
        if let Some((stream, _)) = kept {
            let (answer, stream) = self.one(stream, bytes);
            self.idle.lock().unwrap().extend(stream.map(|s| (s, now())));
            if answer != Answer::Ended {
                return answer;
            }
            // The close crossed the request: it is sent once more on a new connection.
        }
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(400)) else {
            return Answer::NotConnected;
        };
        stream.set_nodelay(true).ok();
        let (answer, stream) = self.one(stream, bytes);
        self.idle.lock().unwrap().extend(stream.map(|s| (s, now())));
        answer
    }
}

#[allow(clippy::too_many_arguments)]
pub fn message_bytes(
    id: &str, key: &str, class: &str, dest: u32, order: &str, tenant: &str, deadline_ms: u64, body: &[u8],
) -> Vec<u8> {
    let path = if order.is_empty() { format!("/{class}") } else { format!("/{class}/{order}") };
    let mut bytes = format!(
        "POST {path} HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Tenant: {tenant}\r\nX-Deadline: {deadline_ms}m\r\n{}Content-Length: {}\r\nX-Consignee: dest={dest}\r\n\r\n",
        if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") },
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
