//! The stand-ins around forwarders: discovery, endpoints, clients, the platform that starts and signals processes, and the
//! record of a trial.

use crate::net::{exchange, serve, Answer, Reply};
use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a trial: what was sent, answered and run, with the time since its start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Arc<Record>> {
        Ok(Arc::new(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    pub fn at(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) -> f64 {
        let mut file = self.file.lock().unwrap();
        let at = self.at();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
        at
    }
}

/// The protocol page: "A body holds at most 64 KiB".
const MAX_BODY_BYTES: usize = 64 * 1024;

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub id: &'static str,
    pub addr: SocketAddr,
    pub cell: u32,
    pub state: &'static str,
    /// Calls a second that the partner takes.
    pub weight: u32,
}

impl Entry {
    fn json(&self) -> String {
        let Entry { id, addr, cell, state, weight } = self;
        format!(
            "{{\"id\":\"{id}\",\"addr\":\"{addr}\",\"zone\":\"hal-noord\",\"kind\":\"small-partners\",\
             \"cell\":{cell},\"state\":\"{state}\",\"weight\":{weight}.0,\"started_ms\":0}}"
        )
    }
}

/// The JSON of a list.
pub fn list_json(version: u64, full: bool, entries: &[Entry]) -> String {
    let servers: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

struct ListState {
    version: u64,
    /// Each entry with the version that changed it last.
    entries: Vec<(u64, Entry)>,
}

/// Discovery: serves the list, watches on it, and takes notices.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<ListState>,
    changed: Condvar,
    /// Time and line of each notice.
    notices: Mutex<Vec<(f64, String)>>,
    record: Arc<Record>,
    name: &'static str,
}

impl Discovery {
    pub fn start(
        record: &Arc<Record>, name: &'static str, version: u64, entries: Vec<Entry>,
    ) -> Arc<Discovery> {
        let listener_address: Arc<Mutex<Option<Arc<Discovery>>>> = Arc::default();
        let shared = listener_address.clone();
        let address = serve(move |request| {
            let this = loop {
                if let Some(this) = shared.lock().unwrap().clone() {
                    break this;
                }
                thread::sleep(Duration::from_millis(1));
            };
            this.answer(&request.method, &request.path, &request.body)
        });
        let entries = entries.into_iter().map(|entry| (version, entry)).collect();
        let discovery = Arc::new(Discovery {
            address,
            state: Mutex::new(ListState { version, entries }),
            changed: Condvar::new(),
            notices: Mutex::default(),
            record: record.clone(),
            name,
        });
        *listener_address.lock().unwrap() = Some(discovery.clone());
        discovery
    }

    fn answer(&self, method: &str, path: &str, body: &[u8]) -> Reply {
        let json = |body: String| Reply::Answer(200, "Content-Type: application/json\r\n".into(), body);
        if method == "POST" && path == "/reports" {
            if body.len() > MAX_BODY_BYTES {
                self.record.line(format!("{}: report of {} bytes, 400", self.name, body.len()));
                return Reply::Answer(400, String::new(), String::new());
            }
            for line in String::from_utf8_lossy(body).lines() {
                let at = self.record.line(format!("{}: notice {}", self.name, &line[..line.len().min(120)]));
                self.notices.lock().unwrap().push((at, line.to_string()));
            }
            return Reply::Answer(204, String::new(), String::new());
        }
        if path == "/v1/servers" {
            let state = self.state.lock().unwrap();
            let entries: Vec<Entry> = state.entries.iter().map(|(_, entry)| entry.clone()).collect();
            return json(list_json(state.version, true, &entries));
        }
        let Some(query) = path.strip_prefix("/v1/servers?") else {
            return Reply::Answer(404, String::new(), String::new());
        };
        let value = |name: &str| -> u64 {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
        };
        let (since, wait) = (value("since"), Duration::from_millis(value("timeout_ms").min(60_000)));
        let state = self.state.lock().unwrap();
        let (state, _) =
            self.changed.wait_timeout_while(state, wait, |state| state.version <= since).unwrap();
        let changed = state.entries.iter().filter(|(version, _)| *version > since);
        let entries: Vec<Entry> = changed.map(|(_, entry)| entry.clone()).collect();
        json(list_json(state.version, false, &entries))
    }

    /// When the first notice for a message came.
    pub fn notice_at(&self, id: &str) -> Option<(f64, String)> {
        let key = format!("\"{id}\"");
        self.notices.lock().unwrap().iter().find(|(_, line)| line.contains(&key)).cloned()
    }
}

/// The settings of a small deployment, with one class of this effect.
pub struct Settings {
    pub effect: &'static str,
    pub slots: u32,
}

impl Settings {
    pub fn json(&self) -> String {
        let Settings { effect, slots } = self;
        format!(
            r#"{{"balancers": 1,
 "categories": [{{"aim": 3000000, "deadline": 16000000, "effect": "{effect}", "group": "all", "late_value": 0.3,
   "name": "freight-msg", "streaming": false, "window": 4000000, "worth": 1.0}}],
 "clients": {{"marks_retry": false}},
 "contract": {{"answer_slack": 20000, "ask_within": 10000000, "cold_from": 0.22, "ramp_time": 9300000,
   "stop_sending_within": 250000, "tip_after": 1500000, "tip_multiple": 1.5}},
 "dcs": ["hal-noord", "hal-zuid"], "discovery": "pushed", "family": "deliver",
 "family_info": {{"batch_by_kind": [1, 1], "decay": "linear", "own_limits": [false, false],
   "refused_price": 0.05, "slots": {slots}, "zone_fee": [0.0, 0.0]}},
 "limits": {{"conn_idle": 15000000, "dial_timeout": 1500000, "max_open": 270, "max_retry_after": 2000000,
   "may_cancel": true, "may_duplicate": false, "may_probe": true, "may_tell": false, "retry_after": true,
   "streams_per_conn": 1, "try_limit": 6}},
 "machine_types": ["big-hauliers", "small-partners"], "rank": 0,
 "realms": [{{"name": "waddenvracht", "quota_per_s": 16.0, "share": 1.0}}],
 "report": {{"fields": [], "source": "off"}}, "tick": 5000, "tier": 0, "weight_source": "nominal", "zone": 0}}"#
        )
    }
}

/// A port that nothing listens on now.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// A forwarder: its folders and addresses, which outlast its processes.
pub struct Forwarder {
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    folder: PathBuf,
    settings: String,
    known: String,
    discovery: SocketAddr,
    /// Named outside the crate's folder: the root of the repository.
    root: PathBuf,
    record: Arc<Record>,
}

/// One process of a forwarder. It is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Forwarder {
    pub fn new(
        record: &Arc<Record>, root: &Path, folder: &Path, settings: &Settings, discovery: SocketAddr,
        known: String,
    ) -> Forwarder {
        fs::create_dir_all(folder.join("state")).expect("the state folder");
        fs::create_dir_all(folder.join("tmp")).expect("the folder for temporary files");
        Forwarder {
            listen: free_address(),
            admin: free_address(),
            folder: folder.to_path_buf(),
            settings: settings.json(),
            known,
            discovery,
            root: root.to_path_buf(),
            record: record.clone(),
        }
    }

    fn write_config(&self, admin: SocketAddr) -> PathBuf {
        let path = self.folder.join("config.json");
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{}\",\"admin\":\"{admin}\",\"discovery\":\"{}\",\
             \"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":64,\"sockets\":1024,\"disk_mb\":3}},\
             \"known\":{},\"settings\":{}}}",
            self.listen,
            self.discovery,
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64,
            self.known,
            self.settings,
        );
        let new = self.folder.join("config.json.new");
        fs::write(&new, text).and_then(|()| fs::rename(&new, &path)).expect("the configuration");
        path
    }

    /// Starts a process with the command of the deploy file, and waits until it is ready.
    pub fn start(&self, admin: SocketAddr) -> Result<Process, String> {
        let mut process = self.spawn(admin)?;
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let asked =
                exchange(admin, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", b"", Duration::from_secs(1));
            if asked.is_some_and(|answer| answer.status == 200) {
                self.record.line(format!("forwarder: process {} is ready", process.child.id()));
                return Ok(process);
            }
            if process.has_ended() || Instant::now() > until {
                return Err("the forwarder is not ready".into());
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Starts a process with the command of the deploy file.
    pub fn spawn(&self, admin: SocketAddr) -> Result<Process, String> {
        let config = self.write_config(admin);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", "exec target/release/foldtrack"])
            .current_dir(&self.root)
            .env("BALANCER_NAME", "n1")
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_ADMIN", admin.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_STATE", self.folder.join("state"))
            .env("BALANCER_CONFIG", config)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(|e| format!("cannot start the forwarder: {e}"))?;
        self.record.line(format!("platform: starts process {}", child.id()));
        Ok(Process { child })
    }

    /// Hands in a message with this body for destination 1, without a line in the record.
    pub fn submit_body(&self, id: &str, body: &[u8]) -> Option<Answer> {
        let head = format!(
            "POST /freight-msg HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Tenant: waddenvracht\r\n\
             X-Deadline: 4000m\r\nIdempotency-Key: {id}\r\nContent-Length: {}\r\nX-Consignee: dest=1\r\n\r\n",
            body.len()
        );
        exchange(self.listen, &head, body, Duration::from_millis(400))
    }

    /// Hands in a message, and returns the status of the answer.
    pub fn submit(&self, id: &str, key: &str, cell: u32, deadline: Duration) -> Option<u16> {
        self.submit_at(self.listen, id, key, cell, deadline).map(|answer| answer.status)
    }

    /// Hands in a message at an address that leads to the forwarder.
    pub fn submit_at(
        &self, to: SocketAddr, id: &str, key: &str, cell: u32, deadline: Duration,
    ) -> Option<Answer> {
        let deadline_us = deadline.as_micros();
        let body = format!("message {key}");
        let head = format!(
            "POST /freight-msg HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: {id}\r\nX-Tenant: waddenvracht\r\n\
             X-Deadline: {deadline_us}u\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\nX-Consignee: dest={cell}\r\n\r\n",
            body.len()
        );
        let name = if id.len() <= 40 {
            id.to_string()
        } else {
            format!("{}... ({} characters)", &id[..24], id.len())
        };
        self.record.line(format!("client: hands in {name} for {cell}, {deadline_us} us"));
        let answer = exchange(to, &head, body.as_bytes(), Duration::from_millis(400));
        let status = answer.as_ref().map(|answer| answer.status);
        self.record.line(format!("client: {name} answered {status:?}"));
        answer
    }
}
