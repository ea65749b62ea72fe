//! What the cases share: a small deployment with clients, and the end of a run.

use crate::world::*;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The settings of `harlingen-kade`, with the limits of a small deployment.
pub fn settings(balancers: u32) -> String {
    format!(
        r#"{{"balancers": {balancers},
 "categories": [{{"aim": 3000000, "deadline": 16000000, "effect": "by_key", "group": "all", "late_value": 0.3, "name": "freight-msg", "streaming": false, "window": 4000000, "worth": 1.0}}],
 "clients": {{"marks_retry": false}},
 "contract": {{"answer_slack": 20000, "ask_within": 10000000, "cold_from": 0.22, "ramp_time": 9300000, "stop_sending_within": 250000, "tip_after": 1500000, "tip_multiple": 1.5}},
 "dcs": ["hal-noord", "hal-zuid"], "discovery": "pushed", "family": "deliver",
 "family_info": {{"batch_by_kind": [1, 1], "decay": "linear", "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "own_limits": [false, false], "refused_price": 0.05, "slots": 10, "zone_fee": [0.0, 0.0]}},
 "goal": {{"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.25}},
 "limits": {{"conn_idle": 15000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 1500000, "max_open": 270, "max_retry_after": 2000000, "may_cancel": true, "may_duplicate": false, "may_probe": true, "may_tell": false, "retry_after": true, "streams_per_conn": 1, "try_limit": 6}},
 "machine_types": ["big-hauliers", "small-partners"], "over_share_worth": 0.1,
 "prices": {{"connection": 0.0, "cross_zone": 0.011, "discovery": 0.0, "handshake": 0.06, "late_fail": 0.036, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.03}},
 "rank": 0, "realms": [{{"name": "waddenvracht", "quota_per_s": 16.0, "share": 1.0}}],
 "report": {{"fields": [], "source": "off"}}, "tick": 5000, "tier": 0, "tiers": ["partner-systems"], "weight_source": "nominal", "worth_by": "request", "zone": 0}}"#
    )
}

pub const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}"#;

/// Everything of one run.
pub struct Run {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record_path: PathBuf,
    pub record: Arc<Record>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    pub notices: Arc<Mutex<Vec<(f64, String)>>>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    pub trouble: bool,
    /// Parts of the disruption that are left out, to tell which are needed.
    pub without: String,
    stop: Arc<AtomicBool>,
    clients: Mutex<Vec<thread::JoinHandle<()>>>,
}

impl Run {
    pub fn new(record_path: &str) -> Run {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Run {
            root: std::env::current_dir().unwrap(),
            folder,
            record_path: Path::new(record_path).to_path_buf(),
            record: Arc::default(),
            calls: Arc::default(),
            notices: Arc::default(),
            sent: Arc::default(),
            trouble: std::env::var("TROUBLE").map_or(true, |v| v != "0"),
            without: std::env::var("WITHOUT").unwrap_or_default(),
            stop: Arc::default(),
            clients: Mutex::default(),
        }
    }

    pub fn endpoint(&self, id: &str, dest: u32, zone: &str) -> Arc<Endpoint> {
        let rng = Mutex::new(Rng(hash(id.as_bytes()) | 1));
        Endpoint::start(id, dest, zone, "big-hauliers", 12.0, &self.calls, &self.record, move |_, _| {
            Act::Ok(60.0 + 80.0 * rng.lock().unwrap().unit())
        })
    }

    pub fn machine(&self, name: &str, balancers: u32, agent: &Arc<Agent>) -> Arc<Machine> {
        self.machine_with(name, balancers, agent, LIMITS)
    }

    pub fn machine_with(&self, name: &str, balancers: u32, agent: &Arc<Agent>, limits: &str) -> Arc<Machine> {
        Machine::new(name, &self.root, &self.folder, &settings(balancers), limits, agent, &self.record)
    }

    /// Clients hand in messages to these forwarders for destinations 1 to `dests`, so many a second in all.
    pub fn clients(&self, machines: &[Arc<Machine>], dests: u32, rate: f64, seed: u64) {
        let (stop, record, sent) = (self.stop.clone(), self.record.clone(), self.sent.clone());
        let machines = machines.to_vec();
        let pools: Arc<Vec<Pool>> = Arc::new(machines.iter().map(|_| Pool::default()).collect());
        let mut rng = Rng(seed | 1);
        self.clients.lock().unwrap().push(thread::spawn(move || {
            let mut open = Vec::new();
            let mut n = 0u32;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_secs_f64(-rng.unit().max(1e-9).ln() / rate));
                n += 1;
                let machine = rng.below(machines.len() as u64) as usize;
                let dest = 1 + rng.below(u64::from(dests)) as u32;
                let (id, key) = (format!("{n:012x}-n{machine}"), format!("{:032x}", u64::from(n) * 0x9e37));
                let body = vec![b'x'; 200 + rng.below(200) as usize];
                let bytes = message_bytes(&id, &key, "freight-msg", dest, "", "waddenvracht", 16000, &body);
                let (pools, address, record, sent) =
                    (pools.clone(), machines[machine].listen, record.clone(), sent.clone());
                open.retain(|t: &thread::JoinHandle<()>| !t.is_finished());
                open.push(thread::spawn(move || {
                    let at = now();
                    record.add_at(at, format!("client sends {id} dest={dest} to n{machine}"));
                    let answer = pools[machine].send(address, &bytes);
                    record.add(format!("client of {id}: {answer:?}"));
                    sent.lock().unwrap().push(Sent {
                        id,
                        key,
                        machine,
                        class: "freight-msg".into(),
                        dest,
                        order: String::new(),
                        sent: at,
                        answered: now(),
                        deadline_ms: 16000,
                        answer,
                        body_hash: hash(&body),
                    });
                }));
            }
            open.into_iter().for_each(|t| drop(t.join()));
        }));
    }

    pub fn stop_clients(&self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.lock().unwrap().drain(..).for_each(|t| drop(t.join()));
    }

    pub fn until(&self, at_ms: f64) {
        while now() < at_ms {
            thread::sleep(Duration::from_secs_f64(((at_ms - now()) / 1e3).clamp(0.0005, 0.05)));
        }
    }

    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8.1} {text}", now());
        self.record.add(text);
    }

    /// Says for each of two forwarders how many messages for a destination that were handed in within a span it took on,
    /// and how many of them were delivered.
    pub fn say_delivered(&self, dest: u32, what: &str, from: f64, to: f64) {
        let sent = self.sent.lock().unwrap().clone();
        for n in 0..2 {
            let calls = self.calls_of(n);
            let mine =
                sent.iter().filter(|s| s.machine == n && s.dest == dest && s.sent > from && s.sent < to);
            let taken: Vec<_> = mine.filter(|s| s.answer == Answer::Status(202)).collect();
            let delivered =
                taken.iter().filter(|s| calls.iter().any(|c| c.id == s.id && c.answer == "200")).count();
            self.say(format!(
                "n{n} took on {} messages for destination {dest} {what}: {delivered} delivered",
                taken.len()
            ));
        }
    }

    /// Calls that forwarder `n` made.
    pub fn calls_of(&self, n: usize) -> Vec<Call> {
        self.calls.lock().unwrap().iter().filter(|c| c.id.ends_with(&format!("-n{n}"))).cloned().collect()
    }
}

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(record_path: &str, case: impl FnOnce(&Run) -> Result<bool, String>) -> i32 {
    let run = Run::new(record_path);
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&run)));
    stop_all();
    let code = match result {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(error)) => {
            run.say(format!("could not run: {error}"));
            2
        }
        Err(_) => {
            run.say("could not run: the script itself failed");
            2
        }
    };
    run.say(["result: the rule held", "result: the rule was broken", "result: no result"][code as usize]);
    run.record.write(&run.record_path);
    let _ = std::fs::remove_dir_all(&run.folder);
    code
}
