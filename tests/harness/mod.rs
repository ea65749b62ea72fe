//! Test harness: HTTP servers on loopback in place of targets and discovery, and the forwarder as a child process. Each
//! test binary uses a part of it.
#![allow(dead_code)]

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use serde_json::{json, Value};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Longest wait for a condition or a read. On an idle machine conditions are met quickly; a busy one needs more time.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Polls `condition` until it holds; panics with `description` if it does not hold within [`WAIT_LIMIT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "not within {WAIT_LIMIT:?}: {description}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A request that an [`HttpServer`] has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub received_at: Instant,
    /// Index of the connection that it arrived on, in order of acceptance.
    pub connection: usize,
}

impl Request {
    pub fn message_id(&self) -> &str {
        &self.headers["x-request-id"]
    }
}

/// How an [`HttpServer`] responds to a request.
#[derive(Clone)]
pub enum Response {
    /// A status and header lines.
    Status(u16, &'static str),
    /// Status 200 with a body.
    Body(Vec<u8>),
    /// These bytes, which need not be valid HTTP.
    Raw(&'static [u8]),
    /// These bytes; the connection is then closed.
    RawThenClose(&'static [u8]),
    /// Status 200; the connection is then closed without a `Connection: close` header.
    OkAndClose,
    /// A status after a delay.
    Delayed(Duration, u16),
    /// Status 200, and after a pause these bytes, unless another request has arrived by then.
    OkThenExcess(Duration, &'static [u8]),
    /// No response; the connection stays open.
    Silent,
    /// Status 200 with a chunked body that never ends.
    EndlessBody,
    /// No response; the connection is closed.
    Close,
}

pub const OK: Response = Response::Status(200, "");

/// Version and entries of the endpoint list, and the signal that it has changed.
type SharedList = (Mutex<(u64, Vec<Value>)>, Condvar);
type RequestHandler = Box<dyn Fn(&Request) -> Response + Send + Sync>;

/// An HTTP server that records its requests, with a thread for each connection. Its port is released when the test
/// process ends.
pub struct HttpServer {
    pub address: SocketAddr,
    requests: Mutex<Vec<Request>>,
    /// Number of connections closed by [`Response::OkAndClose`].
    pub closed_connections: AtomicUsize,
    handler: Mutex<Arc<RequestHandler>>,
}

fn read_request(stream: &mut BufReader<TcpStream>, connection: usize) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body, received_at: Instant::now(), connection })
}

fn has_unread_bytes(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::IN)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

impl HttpServer {
    pub fn start(handler: impl Fn(&Request) -> Response + Send + Sync + 'static) -> Arc<HttpServer> {
        HttpServer::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), handler)
    }

    pub fn start_on(
        listener: TcpListener, handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> Arc<HttpServer> {
        let server = Arc::new(HttpServer {
            address: listener.local_addr().unwrap(),
            requests: Mutex::default(),
            closed_connections: AtomicUsize::new(0),
            handler: Mutex::new(Arc::new(Box::new(handler))),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (server, stream) = (shared.clone(), stream.unwrap());
                thread::spawn(move || server.serve(stream, connection));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream, connection: usize) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader, connection) {
            self.requests.lock().unwrap().push(request.clone());
            let handler = self.handler.lock().unwrap().clone();
            let with_status = |status: u16, headers: &str, body: &[u8]| {
                let head =
                    format!("HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
                [head.as_bytes(), body].concat()
            };
            let response = match handler(&request) {
                Response::Status(code, headers) => with_status(code, headers, b""),
                Response::Body(body) => with_status(200, "", &body),
                Response::Raw(bytes) => bytes.to_vec(),
                Response::RawThenClose(bytes) => {
                    let _ = stream.write_all(bytes);
                    return;
                }
                Response::Delayed(delay, code) => {
                    thread::sleep(delay);
                    with_status(code, "", b"")
                }
                Response::OkThenExcess(pause, excess) => {
                    let _ = stream.write_all(&with_status(200, "", b""));
                    thread::sleep(pause);
                    if !reader.buffer().is_empty() || has_unread_bytes(&stream) {
                        continue;
                    }
                    excess.to_vec()
                }
                Response::OkAndClose => {
                    let _ = stream.write_all(&with_status(200, "", b""));
                    let _ = stream.shutdown(Shutdown::Both);
                    self.closed_connections.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                Response::EndlessBody => {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while stream.write_all(b"4\r\nmore\r\n").is_ok() {
                        thread::sleep(Duration::from_millis(1));
                    }
                    return;
                }
                Response::Silent => {
                    let _ = reader.read_to_end(&mut Vec::new());
                    return;
                }
                Response::Close => return,
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    /// Replaces the handler, from the next request on.
    pub fn set_handler(&self, handler: impl Fn(&Request) -> Response + Send + Sync + 'static) {
        *self.handler.lock().unwrap() = Arc::new(Box::new(handler));
    }

    /// The requests received so far, in order.
    pub fn requests(&self) -> Vec<Request> {
        self.requests.lock().unwrap().clone()
    }

    /// The message ids of the requests received so far, in order.
    pub fn message_ids(&self) -> Vec<String> {
        self.requests.lock().unwrap().iter().map(|request| request.message_id().to_string()).collect()
    }
}

/// Whether discovery can read a report: it has at most the 64 KiB of a body, and no id in it says otherwise.
fn is_readable_report(report: &Request) -> bool {
    let says_otherwise = |line: &[u8]| String::from_utf8_lossy(line).contains("unreadable");
    report.body.len() <= 64 * 1024 && !report.body.split(|byte| *byte == b'\n').any(says_otherwise)
}

/// A discovery server, which also receives the non-delivery notices.
pub struct DiscoveryServer {
    pub server: Arc<HttpServer>,
    list: Arc<SharedList>,
    rejects_notices: Arc<AtomicBool>,
}

/// An entry of the endpoint list.
pub fn list_entry(id: &str, address: SocketAddr, destination: u32, state: &str) -> Value {
    json!({"id": id, "addr": address.to_string(), "zone": "z", "kind": "k", "cell": destination, "state": state,
        "weight": 0.0, "started_ms": 0})
}

fn list_json(version: u64, servers: &[Value]) -> Value {
    json!({"version": version, "full": true, "servers": servers})
}

impl DiscoveryServer {
    pub fn start(servers: Vec<Value>) -> DiscoveryServer {
        let list = Arc::new((Mutex::new((1, servers)), Condvar::new()));
        let (shared_list, rejects_notices) = (list.clone(), Arc::new(AtomicBool::new(false)));
        let rejecting = rejects_notices.clone();
        let server = HttpServer::start(move |request| match request.path.split_once("since=") {
            _ if request.method == "POST" && rejecting.load(Ordering::SeqCst) => Response::Status(503, ""),
            _ if request.method == "POST" && !is_readable_report(request) => Response::Status(400, ""),
            _ if request.method == "POST" => Response::Status(204, ""),
            None => {
                let list = shared_list.0.lock().unwrap();
                Response::Body(list_json(list.0, &list.1).to_string().into())
            }
            Some((_, rest)) => {
                let (since, wait) = rest.split_once("&timeout_ms=").unwrap();
                let (since, wait) = (since.parse::<u64>().unwrap(), wait.parse().unwrap());
                let list = shared_list.0.lock().unwrap();
                let wait = Duration::from_millis(wait);
                let (list, _) = shared_list.1.wait_timeout_while(list, wait, |list| list.0 <= since).unwrap();
                let reply = match list.0 > since {
                    true => list_json(list.0, &list.1),
                    false => json!({"version": list.0, "full": false, "servers": []}),
                };
                Response::Body(reply.to_string().into())
            }
        });
        DiscoveryServer { server, list, rejects_notices }
    }

    pub fn reject_notices(&self, reject: bool) {
        self.rejects_notices.store(reject, Ordering::SeqCst);
    }

    /// Replaces the endpoint list by a new version.
    pub fn change_list(&self, servers: Vec<Value>) {
        let mut list = self.list.0.lock().unwrap();
        *list = (list.0 + 1, servers);
        self.list.1.notify_all();
    }

    /// Whether a forwarder has received the current list: it has then asked for changes since that version.
    pub fn has_sent_list(&self) -> bool {
        let since = format!("since={}&", self.list.0.lock().unwrap().0);
        self.server.requests().iter().any(|request| request.path.contains(&since))
    }

    /// Message id and outcome of each notice received so far, in order.
    pub fn notices(&self) -> Vec<(String, String)> {
        self.timed_notices().into_iter().map(|(_, id, outcome)| (id, outcome)).collect()
    }

    /// Time of arrival, message id and outcome of each notice received so far, in order.
    pub fn timed_notices(&self) -> Vec<(Instant, String, String)> {
        let mut notices = Vec::new();
        for post in self.reports() {
            for line in str::from_utf8(&post.body).unwrap().lines() {
                let notice: Value = serde_json::from_str(line).unwrap();
                let text = |name: &str| notice[name].as_str().unwrap().to_string();
                notices.push((post.received_at, text("message"), text("outcome")));
            }
        }
        notices
    }

    /// The reports received so far.
    pub fn reports(&self) -> Vec<Request> {
        self.server.requests().into_iter().filter(|request| request.method == "POST").collect()
    }

    /// Whether the notice of this message has come in a report that can be read.
    pub fn has_read_notice(&self, id: &str) -> bool {
        let text = format!("\"{id}\"");
        let mut readable = self.reports().into_iter().filter(is_readable_report);
        readable.any(|report| String::from_utf8_lossy(&report.body).contains(&text))
    }

    pub fn has_notice(&self, id: &str, outcome: &str) -> bool {
        self.notices().contains(&(id.to_string(), outcome.to_string()))
    }
}

/// Whether each message has reached the target, or has a notice that it ended undelivered.
pub fn has_ended(ids: &[String], target: &HttpServer, discovery: &DiscoveryServer) -> bool {
    let called = target.message_ids().into_iter();
    let ended: BTreeSet<_> = called.chain(discovery.notices().into_iter().map(|(id, _)| id)).collect();
    ids.iter().all(|id| ended.contains(id))
}

/// The forwarder as a child process, with its configuration and state. It keeps its client address across restarts.
pub struct Forwarder {
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Holds the configuration file and the state directory.
    pub directory: TempDir,
    process: Child,
}

/// A configuration of one forwarder with two classes of message, `update` and `fee`.
pub fn configuration(listen: SocketAddr, discovery: SocketAddr, servers: &[Value]) -> Value {
    json!({
        "name": "n1", "listen": listen.to_string(), "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": list_json(1, servers),
        "settings": {
            "balancers": 1,
            "categories": [
                {"name": "update", "aim": 3000000, "deadline": 24000000, "effect": "by_key", "group": "all",
                    "late_value": 0.5, "one_at_a_time": true, "window": 10000000, "worth": 1.0},
                {"name": "fee", "aim": 3000000, "deadline": 24000000, "effect": "once", "late_value": 0.4,
                    "worth": 3.0}],
            "contract": {"cold_from": 0.16, "order_pause": 100000, "ramp_time": 14000000,
                "stop_sending_within": 2000000, "tip_after": 2000000, "tip_multiple": 2.5},
            "dcs": ["z"], "machine_types": ["k"], "discovery": "pushed",
            "family_info": {"batch_by_kind": [1], "own_limits": [false], "slots": 16, "zone_fee": [0.0]},
            "limits": {"conn_idle": 15000000, "dial_timeout": 1000000, "max_open": 400, "may_cancel": true,
                "streams_per_conn": 1, "try_limit": 8},
            "report": {"fields": ["x0", "x1"], "source": "inline"}, "tick": 5000}
    })
}

/// A free address that nothing else uses: each call returns a loopback IP address of its own, made from the process
/// id and a counter.
fn unique_address() -> SocketAddr {
    /// Hosts in each of the networks from 127.77 on.
    const HOSTS: usize = 250;
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let (network, host) = {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        (77 + number / HOSTS, 1 + number % HOSTS)
    };
    let process_part = std::process::id() as usize % 250;
    let listener = TcpListener::bind(format!("127.{network}.{process_part}.{host}:0")).unwrap();
    listener.local_addr().unwrap()
}

impl Forwarder {
    pub fn start(discovery: &DiscoveryServer) -> Forwarder {
        Forwarder::start_with(discovery, |_| ())
    }

    /// Starts a forwarder with a changed configuration and waits until it is ready.
    pub fn start_with(discovery: &DiscoveryServer, change: impl Fn(&mut Value)) -> Forwarder {
        let (listen_address, admin_address) = (unique_address(), unique_address());
        let directory = tempfile::tempdir().unwrap();
        let mut config =
            configuration(listen_address, discovery.server.address, &discovery.list.0.lock().unwrap().1);
        config["admin"] = admin_address.to_string().into();
        change(&mut config);
        std::fs::write(directory.path().join("config.json"), config.to_string()).unwrap();
        std::fs::create_dir(directory.path().join("state")).unwrap();
        let process = Forwarder::spawn(&directory);
        let forwarder = Forwarder { listen_address, admin_address, directory, process };
        forwarder.wait_until_ready();
        forwarder
    }

    /// Restarts the forwarder with a limit on open file descriptors.
    pub fn restart_with_descriptor_limit(&mut self, max_descriptors: u32) {
        self.kill();
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &format!("ulimit -n {max_descriptors}; exec {}", env!("CARGO_BIN_EXE_foldtrack"))]);
        self.process = Forwarder::spawn_with(shell, &self.directory);
        self.wait_until_ready();
    }

    /// Restarts the forwarder with another standard error.
    pub fn restart_with_log(&mut self, log: Stdio) {
        self.kill();
        let command = Command::new(env!("CARGO_BIN_EXE_foldtrack"));
        self.process = Forwarder::spawn_with_log(command, &self.directory, log);
        self.wait_until_ready();
    }

    /// The reading end of a log that is [piped](Stdio::piped).
    pub fn take_log(&mut self) -> ChildStderr {
        self.process.stderr.take().unwrap()
    }

    fn spawn(directory: &TempDir) -> Child {
        Forwarder::spawn_with(Command::new(env!("CARGO_BIN_EXE_foldtrack")), directory)
    }

    fn spawn_with(command: Command, directory: &TempDir) -> Child {
        Forwarder::spawn_with_log(command, directory, Stdio::inherit())
    }

    fn spawn_with_log(mut command: Command, directory: &TempDir, log: Stdio) -> Child {
        command
            .env_clear()
            .env("BALANCER_CONFIG", directory.path().join("config.json"))
            .env("BALANCER_STATE", directory.path().join("state"))
            .stderr(log)
            .spawn()
            .unwrap()
    }

    fn wait_until_ready(&self) {
        let health = "GET /healthz HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
        wait_until("the forwarder is ready", || self.exchange(health.as_bytes()).starts_with("HTTP/1.1 200"));
    }

    pub fn write_ahead_log_path(&self) -> PathBuf {
        self.directory.path().join("state/journal")
    }

    /// Bytes in the state directory, counted in whole blocks of 512 bytes as the disk limit counts them.
    pub fn disk_usage(&self) -> u64 {
        let files = std::fs::read_dir(self.directory.path().join("state")).unwrap();
        files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len().div_ceil(512) * 512)).sum()
    }

    /// Writes the address and the endpoint list of another discovery server to the configuration file and sends
    /// SIGHUP.
    pub fn reload(&self, discovery: &DiscoveryServer) {
        let path = self.directory.path().join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        config["discovery"] = discovery.server.address.to_string().into();
        let list = discovery.list.0.lock().unwrap();
        config["known"] = list_json(list.0, &list.1);
        let new_path = path.with_extension("new");
        std::fs::write(&new_path, config.to_string()).unwrap();
        std::fs::rename(&new_path, &path).unwrap();
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        signal(&self.process, name);
    }

    /// Starts a successor, with a new admin address, while the current process runs; returns the current process.
    pub fn start_successor(&mut self) -> OldProcess {
        let path = self.directory.path().join("config.json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path).unwrap()).unwrap();
        let old_admin_address = std::mem::replace(&mut self.admin_address, unique_address());
        config["admin"] = self.admin_address.to_string().into();
        std::fs::write(&path, config.to_string()).unwrap();
        OldProcess {
            admin_address: old_admin_address,
            process: std::mem::replace(&mut self.process, Forwarder::spawn(&self.directory)),
        }
    }

    pub fn kill(&mut self) {
        self.process.kill().unwrap();
        self.process.wait().unwrap();
    }

    /// Starts the forwarder again after [`Forwarder::kill`] or after it has exited.
    pub fn restart(&mut self) {
        self.start_process();
        self.wait_until_ready();
    }

    /// As [`Forwarder::restart`], without waiting until the forwarder is ready.
    pub fn start_process(&mut self) {
        self.process = Forwarder::spawn(&self.directory);
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for_exit(&mut self.process)
    }

    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().unwrap().is_none()
    }

    /// Sends bytes on a new client connection; see [`exchange_at`].
    pub fn exchange(&self, bytes: &[u8]) -> String {
        exchange_at(self.listen_address, bytes)
    }

    /// Sends a request to the admin server and returns the whole response.
    pub fn admin_request(&self, method: &str, path: &str) -> String {
        admin_request_at(self.admin_address, method, path)
    }

    /// Number of file descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).unwrap().count()
    }

    /// The most memory that the process has had resident, in bytes.
    pub fn peak_memory(&self) -> u64 {
        memory(&self.process, "VmHWM:")
    }

    /// The memory that the process has resident, in bytes.
    pub fn resident_memory(&self) -> u64 {
        memory(&self.process, "VmRSS:")
    }

    pub fn connect(&self) -> ClientConnection {
        ClientConnection::new(TcpStream::connect(self.listen_address).unwrap())
    }

    /// Submits a message and returns the status of the response; see [`submit_at`].
    pub fn submit(&self, message: &ClientMessage) -> u16 {
        submit_at(self.listen_address, message)
    }
}

/// A value of the system's account of a process, in bytes; 0 once the process has ended.
fn memory(process: &Child, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.map_or(0, |line| line.split_whitespace().next().unwrap().parse::<u64>().unwrap());
    kib * 1024
}

fn signal(process: &Child, name: &str) {
    let pid = process.id().to_string();
    assert!(Command::new("kill").args(["-s", name, &pid]).status().unwrap().success());
}

fn wait_for_exit(process: &mut Child) -> ExitStatus {
    wait_until("the process exits", || process.try_wait().unwrap().is_some());
    process.wait().unwrap()
}

/// Sends bytes on a new connection and returns what is received until the connection is closed, or nothing if it
/// cannot be established.
pub fn exchange_at(address: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let mut response = Vec::new();
    let _ = stream.write_all(bytes).and_then(|()| stream.read_to_end(&mut response).map(drop));
    String::from_utf8_lossy(&response).into_owned()
}

fn admin_request_at(address: SocketAddr, method: &str, path: &str) -> String {
    exchange_at(address, format!("{method} {path} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes())
}

/// Submits a message on a new connection and returns the status of the response, 0 if there is none.
pub fn submit_at(address: SocketAddr, message: &ClientMessage) -> u16 {
    let response = exchange_at(address, &message.bytes());
    response.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// A forwarder process whose successor has been started; killed when dropped.
pub struct OldProcess {
    admin_address: SocketAddr,
    process: Child,
}

impl OldProcess {
    /// The memory that the process has resident, in bytes.
    pub fn resident_memory(&self) -> u64 {
        memory(&self.process, "VmRSS:")
    }

    /// Whether the process has ended, and not by success.
    pub fn has_failed(&mut self) -> bool {
        self.process.try_wait().unwrap().is_some_and(|status| !status.success())
    }

    pub fn admin_request(&self, method: &str, path: &str) -> String {
        admin_request_at(self.admin_address, method, path)
    }

    pub fn signal(&self, name: &str) {
        signal(&self.process, name);
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_for_exit(&mut self.process)
    }
}

impl Drop for OldProcess {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A connection that a client keeps open between requests.
pub struct ClientConnection {
    stream: BufReader<TcpStream>,
}

impl ClientConnection {
    pub fn new(stream: TcpStream) -> ClientConnection {
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        ClientConnection { stream: BufReader::new(stream) }
    }

    /// Sends a GET request and returns the head of the response in lower case, or `None` if the connection is closed.
    pub fn get(&mut self, path: &str) -> Option<String> {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: f\r\n\r\n").as_bytes()).ok()?;
        self.read_head()
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Reads the head of the next response in lower case, or `None` if the connection is closed.
    pub fn read_head(&mut self) -> Option<String> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            self.stream.read_line(&mut head).ok().filter(|n| *n > 0)?;
        }
        Some(head.to_lowercase())
    }
}

impl ClientConnection {
    /// Sends a GET request in two parts with a pause between them and returns whether it gets a response.
    pub fn get_in_two_parts(&mut self, path: &str, pause: Duration) -> bool {
        let request = format!("GET {path} HTTP/1.1\r\nHost: f\r\n\r\n");
        let (first_part, rest) = request.as_bytes().split_at(9);
        if self.send(first_part).is_err() {
            return false;
        }
        thread::sleep(pause);
        self.send(rest).is_ok() && self.read_head().is_some()
    }
}

/// A message as a client submits it.
pub struct ClientMessage {
    pub id: String,
    pub path: String,
    pub destination: u32,
    /// Time left until its deadline.
    pub deadline_ms: u64,
    pub body: Vec<u8>,
}

/// A message of class `update`: safe to repeat under its idempotency key, and in order with others of its order key.
pub fn update_message(id: &str, order_key: &str) -> ClientMessage {
    ClientMessage {
        id: id.into(),
        path: format!("/update/{order_key}"),
        destination: 1,
        deadline_ms: 24_000,
        body: b"x".into(),
    }
}

/// A message of class `fee`, which is unsafe: it must not be executed twice.
pub fn fee_message(id: &str) -> ClientMessage {
    ClientMessage { path: "/fee".into(), ..update_message(id, "") }
}

impl ClientMessage {
    pub fn to(self, destination: u32) -> ClientMessage {
        ClientMessage { destination, ..self }
    }

    pub fn with_deadline_ms(self, deadline_ms: u64) -> ClientMessage {
        ClientMessage { deadline_ms, ..self }
    }

    pub fn with_body(self, body: Vec<u8>) -> ClientMessage {
        ClientMessage { body, ..self }
    }

    /// The HTTP request that submits it, and lets the connection be closed.
    pub fn bytes(&self) -> Vec<u8> {
        self.request("Connection: close\r\n")
    }

    /// The HTTP request that submits it on a connection that is used again.
    pub fn bytes_on_kept_connection(&self) -> Vec<u8> {
        self.request("")
    }

    fn request(&self, connection_header: &str) -> Vec<u8> {
        let ClientMessage { id, path, destination, deadline_ms, body } = self;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: f\r\n{connection_header}X-Request-Id: {id}\r\nX-Deadline: {deadline_ms}m\r\n\
             Idempotency-Key: key-of-{id}\r\nX-Consignee: dest={destination}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}
