//! The search of part one: a small deployment under random troubles, with a check of the rules at its end. Not a case.
//!
//!     standins chaos SEED SECONDS KIND,KIND,... [MESSAGES A SECOND]
//!
//! Kinds: `none` (troubles of destinations only) or `calm` (not even these); `kill`, `term`, `up` (upgrade), `upup` (two),
//! `upkill` and `upkillnew` (the old or the new process is killed during an upgrade), `hup`, `uphup`; `drain`, `quiet` (the
//! agent is silent for some seconds), `admin` (endpoints out and in), `clients` (clients that leave or stop), `idle`
//! (endpoints close idle connections early), `big` (large bodies), `crowd` (220 silent connections), `old` (the configured
//! list stays that of the start).
//!
//! Environment: `SETTINGS` ("a=>b;c=>d", replaced in the settings), `CPU` ("20,98": runs for 2 ms, is stopped for 98),
//! `SHORT_WINDOWS` and `WAITS_BY_ENDPOINT` (checks for such settings), `OWN_VERSIONS` (a new agent counts its own).

use crate::world::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub fn settings(balancers: u32) -> String {
    let mut t = plain_settings(balancers);
    for r in std::env::var("SETTINGS").unwrap_or_default().split(';').filter(|r| !r.is_empty()) {
        let (a, b) = r.split_once("=>").unwrap();
        assert!(t.contains(a), "{a}");
        t = t.replace(a, b);
    }
    t
}

/// Forwarder, endpoint, and from when to when it is disabled.
type Disabled = (usize, String, f64, f64);

fn plain_settings(balancers: u32) -> String {
    format!(
        r#"{{"balancers": {balancers},
 "categories": [
  {{"aim": 3000000, "deadline": 16000000, "effect": "by_key", "group": "all", "late_value": 0.3, "name": "kall", "streaming": false, "window": 4000000, "worth": 1.0}},
  {{"aim": 2000000, "deadline": 8000000, "effect": "by_key", "group": "zone", "late_value": 0.3, "name": "kzone", "streaming": false, "window": 3000000, "worth": 1.0}},
  {{"aim": 2000000, "deadline": 8000000, "effect": "once", "late_value": 0.3, "name": "once", "streaming": false, "window": 0, "worth": 2.0}},
  {{"aim": 2000000, "deadline": 8000000, "effect": "by_key", "group": "all", "late_value": 0.3, "name": "ord", "one_at_a_time": true, "streaming": false, "window": 4000000, "worth": 1.0}},
  {{"aim": 800000, "deadline": 4000000, "effect": "repeatable", "late_value": 0.3, "name": "safe", "streaming": false, "window": 0, "worth": 1.0}}],
 "clients": {{"marks_retry": false}},
 "contract": {{"answer_slack": 20000, "ask_within": 10000000, "cold_from": 0.22, "ramp_time": 9300000, "stop_sending_within": 250000, "tip_after": 1500000, "tip_multiple": 1.5, "order_pause": 300000}},
 "dcs": ["hal-noord", "hal-zuid"], "discovery": "pushed", "family": "deliver",
 "family_info": {{"batch_by_kind": [1, 1], "decay": "linear", "own_limits": [false, false], "refused_price": 0.05, "slots": 30, "zone_fee": [0.0, 0.0]}},
 "limits": {{"conn_idle": 15000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 1500000, "max_open": 270, "max_retry_after": 2000000, "may_cancel": true, "may_duplicate": false, "may_probe": true, "may_tell": false, "retry_after": true, "streams_per_conn": 1, "try_limit": 6}},
 "machine_types": ["big-hauliers", "small-partners"], "over_share_worth": 0.1, "rank": 0,
 "realms": [{{"name": "waddenvracht", "quota_per_s": 16.0, "share": 0.36}}],
 "report": {{"fields": [], "source": "off"}}, "tick": 5000, "tier": 0, "tiers": ["partner-systems"], "weight_source": "nominal", "worth_by": "request", "zone": 0}}"#
    )
}

pub fn run(args: &[String]) -> i32 {
    let seed: u64 = args[0].parse().unwrap();
    let seconds: f64 = args[1].parse().unwrap();
    let kinds: Vec<String> = args[2].split(',').map(String::from).collect();
    let root = std::env::current_dir().unwrap();
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let record = Arc::new(Record::default());
    let calls = Arc::new(Mutex::new(Vec::new()));
    let notices = Arc::new(Mutex::new(Vec::new()));
    let machines_n = 3;
    let dests = 10u32;
    let mut rng = Rng(seed.wrapping_mul(0x9e3779b97f4a7c15) | 1);
    // Behaviour of each destination: a mode, changed at random.
    let modes: Arc<Vec<Mutex<u32>>> = Arc::new((0..dests).map(|_| Mutex::new(0)).collect());
    let endpoints: Arc<Mutex<Vec<Arc<Endpoint>>>> = Arc::default();
    let serial = Arc::new(Mutex::new(0u32));
    let clients = kinds.contains(&"clients".to_string());
    let idle = kinds.contains(&"idle".to_string());
    let new_endpoint = {
        let (modes, calls, record, serial) = (modes.clone(), calls.clone(), record.clone(), serial.clone());
        move |dest: u32, zone: &str| {
            let n = {
                let mut s = serial.lock().unwrap();
                *s += 1;
                *s
            };
            let modes = modes.clone();
            let rng = Mutex::new(Rng(seed * 1000 + u64::from(n) + 77));
            Endpoint::start(
                &format!("s-{n:08x}"),
                dest,
                zone,
                "big-hauliers",
                40.0,
                &calls,
                &record,
                move |_, e| {
                    let mode = *modes[e.dest as usize].lock().unwrap();
                    let (u, v) = {
                        let mut r = rng.lock().unwrap();
                        (r.unit(), r.unit())
                    };
                    match mode {
                        0 if u < 0.97 => {
                            if idle && v < 0.3 {
                                Act::OkThenClose(20.0 + 80.0 * v, 300.0 * v)
                            } else {
                                Act::Ok(20.0 + 80.0 * v)
                            }
                        }
                        0 => Act::Status(500, String::new(), 10.0),
                        1 => Act::Hang,
                        2 if u < 0.5 => {
                            Act::Status(429, format!("X-Come-Back-Ms: {}\r\n", 200 + (v * 900.0) as u32), 5.0)
                        }
                        2 => Act::Ok(60.0 * v),
                        3 => Act::Status(503, String::new(), 5.0),
                        4 => Act::Close,
                        5 => Act::Ok(500.0 + 3000.0 * v),
                        6 if u < 0.3 => Act::Raw(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec()),
                        6 if u < 0.6 => Act::Slow200(30.0, 1000.0 * v),
                        6 if u < 0.7 => Act::Raw(b"garbage\r\n\r\n".to_vec()),
                        6 => Act::Ok(30.0),
                        7 if u < 0.5 => Act::Status(503, "Connection: close\r\n".into(), 2.0),
                        7 => Act::Ok(50.0),
                        _ => Act::Ok(10.0),
                    }
                },
            )
        }
    };
    for dest in 0..dests {
        let many = 1 + (rng.below(3) as u32);
        for k in 0..many {
            let endpoint = new_endpoint(dest, if (k + dest) % 2 == 0 { "hal-noord" } else { "hal-zuid" });
            endpoints.lock().unwrap().push(endpoint);
        }
    }
    let agents: Arc<Vec<Mutex<Arc<Agent>>>> = Arc::new(
        (0..machines_n).map(|i| Mutex::new(Agent::start(&format!("n{i}"), &notices, &record))).collect(),
    );
    for agent in agents.iter() {
        for e in endpoints.lock().unwrap().iter() {
            agent.lock().unwrap().set(&e.id, "active", e.entry("active"));
        }
    }
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}"#;
    let machines: Vec<Arc<Machine>> = (0..machines_n)
        .map(|i| {
            Machine::new(
                &format!("n{i}"),
                &root,
                &folder,
                &settings(machines_n),
                limits,
                &agents[i as usize].lock().unwrap(),
                &record,
            )
        })
        .collect();
    for m in &machines {
        if kinds.contains(&"old".to_string()) {
            *m.known.lock().unwrap() = Some(m.agent.lock().unwrap().full_list());
        }
        if !m.start() {
            eprintln!("not ready");
            return 2;
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let pools: Arc<Vec<Pool>> = Arc::new((0..machines_n).map(|_| Pool::default()).collect());
    let mut threads = Vec::new();
    // clients
    let rate: f64 = args.get(3).and_then(|a| a.parse().ok()).unwrap_or(100.0);
    {
        let (stop, sent, pools, machines, record) =
            (stop.clone(), sent.clone(), pools.clone(), machines.clone(), record.clone());
        let mut rng = Rng(seed * 31 + 5);
        let kinds2 = kinds.clone();
        threads.push(thread::spawn(move || {
            let mut n = 0u64;
            let mut inner = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                sleep_ms((-rng.unit().max(1e-9).ln() * 1000.0 / rate) as u64);
                n += 1;
                let machine = rng.below(machines_n as u64) as usize;
                let classes = ["kall", "kzone", "once", "ord", "safe"];
                let class = classes[rng.below(5) as usize];
                let dest = rng.below(u64::from(dests)) as u32;
                let deadlines = HashMap::from([
                    ("kall", 16000),
                    ("kzone", 8000),
                    ("once", 8000),
                    ("ord", 8000),
                    ("safe", 4000),
                ]);
                let full: u64 = deadlines[class];
                let deadline = if rng.unit() < 0.3 { 300 + rng.below(full - 300) } else { full };
                let order = if class == "ord" {
                    format!("k{}", dest * 3 + rng.below(3) as u32)
                } else {
                    String::new()
                };
                let id = format!("{n:08x}n{machine}");
                let key =
                    if class == "safe" || class == "once" { String::new() } else { format!("key{n:08x}") };
                let body: Vec<u8> = (0..(if kinds2.contains(&"big".to_string()) {
                    20000 + rng.below(45000)
                } else if rng.unit() < 0.02 {
                    30000
                } else {
                    rng.below(500)
                }))
                    .map(|i| (i * 7 + n) as u8)
                    .collect();
                let bytes = message_bytes(&id, &key, class, dest, &order, "waddenvracht", deadline, &body);
                let (sent, pools, address, record) =
                    (sent.clone(), pools.clone(), machines[machine].listen, record.clone());
                let trouble = if clients { rng.unit() } else { 1.0 };
                inner.retain(|t: &thread::JoinHandle<()>| !t.is_finished());
                inner.push(thread::spawn(move || {
                    if trouble < 0.15 {
                        misbehave(address, &bytes, (trouble * 1e5) as u64);
                        record.add(format!("trouble {id} {class}"));
                        sent.lock().unwrap().push(Sent {
                            id,
                            key,
                            machine,
                            class: class.into(),
                            dest,
                            order,
                            sent: now(),
                            answered: now(),
                            deadline_ms: deadline,
                            answer: Answer::GaveUp,
                            body_hash: hash(&body),
                        });
                        return;
                    }
                    let at = now();
                    let answer = pools[machine].send(address, &bytes);
                    record.add_at(at, format!("send {id} {class} dest={dest} {order} deadline={deadline}"));
                    record.add(format!("answered {id} {answer:?}"));
                    sent.lock().unwrap().push(Sent {
                        id,
                        key,
                        machine,
                        class: class.into(),
                        dest,
                        order,
                        sent: at,
                        answered: now(),
                        deadline_ms: deadline,
                        answer,
                        body_hash: hash(&body),
                    });
                }));
            }
            for t in inner {
                let _ = t.join();
            }
        }));
    }
    // endpoints' troubles
    if !kinds.contains(&"calm".to_string()) {
        let (stop, modes, record) = (stop.clone(), modes.clone(), record.clone());
        let mut rng = Rng(seed * 37 + 11);
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(400);
                let dest = rng.below(u64::from(dests)) as usize;
                let mode = if rng.unit() < 0.45 { 0 } else { 1 + rng.below(7) as u32 };
                *modes[dest].lock().unwrap() = mode;
                record.add(format!("destination {dest} mode {mode}"));
            }
        }));
    }
    if kinds.contains(&"drain".to_string()) {
        let (stop, endpoints, agents) = (stop.clone(), endpoints.clone(), agents.clone());
        let mut rng = Rng(seed * 41 + 13);
        let new_endpoint = new_endpoint.clone();
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(900);
                let i = rng.below(endpoints.lock().unwrap().len() as u64) as usize;
                let e = endpoints.lock().unwrap()[i].clone();
                let fresh = new_endpoint(e.dest, &e.zone);
                for agent in agents.iter() {
                    let agent = agent.lock().unwrap().clone();
                    agent.set(&fresh.id, "active", fresh.entry("active"));
                    agent.set(&e.id, "leaving", e.entry("leaving"));
                }
                endpoints.lock().unwrap()[i] = fresh;
                let agents = agents.clone();
                thread::spawn(move || {
                    sleep_ms(2500);
                    for agent in agents.iter() {
                        let agent = agent.lock().unwrap().clone();
                        agent.set(&e.id, "left", e.entry("left"));
                    }
                });
            }
        }));
    }
    let disabled: Arc<Mutex<Vec<Disabled>>> = Arc::default();
    if kinds.contains(&"quiet".to_string()) {
        for i in 0..machines_n as usize {
            let (stop, agents, record) = (stop.clone(), agents.clone(), record.clone());
            let mut rng = Rng(seed * 47 + 19 + i as u64);
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    sleep_ms(1000 + rng.below(4000));
                    let agent = agents[i].lock().unwrap().clone();
                    agent.state.lock().unwrap().silent = true;
                    record.add(format!("agent {i} silent"));
                    sleep_ms(rng.below(8000));
                    agent.state.lock().unwrap().silent = false;
                    agents[i].lock().unwrap().state.lock().unwrap().silent = false;
                    record.add(format!("agent {i} back"));
                }
            }));
        }
    }
    if kinds.contains(&"admin".to_string()) {
        for (i, m) in machines.iter().enumerate() {
            let (stop, endpoints, m, disabled, record) =
                (stop.clone(), endpoints.clone(), m.clone(), disabled.clone(), record.clone());
            let mut rng = Rng(seed * 53 + 23 + i as u64);
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    sleep_ms(300 + rng.below(1500));
                    let e = {
                        let l = endpoints.lock().unwrap();
                        l[rng.below(l.len() as u64) as usize].clone()
                    };
                    let admin = *m.admin.lock().unwrap();
                    let yes = post(admin, &format!("/-/endpoints/{}/disable", e.id), 1000)
                        .is_some_and(|t| t.starts_with("HTTP/1.1 200"));
                    let at = now();
                    record.add(format!("{i} disable {} {yes}", e.id));
                    if !yes {
                        continue;
                    }
                    sleep_ms(500 + rng.below(5000));
                    let end = now();
                    disabled.lock().unwrap().push((i, e.id.clone(), at, end));
                    for _ in 0..40 {
                        let admin = *m.admin.lock().unwrap();
                        if post(admin, &format!("/-/endpoints/{}/enable", e.id), 1000)
                            .is_some_and(|t| t.starts_with("HTTP/1.1 200"))
                        {
                            break;
                        }
                        sleep_ms(300);
                    }
                    record.add(format!("{i} enable {}", e.id));
                }
            }));
        }
    }
    let most_disk = Arc::new(Mutex::new(0u64));
    for m in &machines {
        let (stop, state, most_disk) = (stop.clone(), m.folder.join("state"), most_disk.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let sum: u64 = std::fs::read_dir(&state)
                    .map(|d| d.filter_map(|f| Some(f.ok()?.metadata().ok()?.len().div_ceil(512) * 512)).sum())
                    .unwrap_or(0);
                let mut most = most_disk.lock().unwrap();
                *most = (*most).max(sum);
                drop(most);
                thread::sleep(std::time::Duration::from_micros(200));
            }
        }));
    }
    if kinds.contains(&"crowd".to_string()) {
        for m in machines.iter() {
            let (stop, m) = (stop.clone(), m.clone());
            threads.push(thread::spawn(move || {
                let mut open: Vec<std::net::TcpStream> = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    open.retain(|s| {
                        s.set_nonblocking(true).ok();
                        match s.peek(&mut [0]) {
                            Ok(0) => false,
                            Ok(_) => true,
                            Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
                        }
                    });
                    while open.len() < 220 {
                        match std::net::TcpStream::connect_timeout(
                            &m.listen,
                            std::time::Duration::from_millis(200),
                        ) {
                            Ok(s) => open.push(s),
                            Err(_) => break,
                        }
                    }
                    sleep_ms(50);
                }
            }));
        }
    }
    if let Ok(cpu) = std::env::var("CPU") {
        let (on, off) = cpu.split_once(',').unwrap();
        let (on, off): (u64, u64) = (on.parse().unwrap(), off.parse().unwrap());
        for m in machines.iter() {
            let m = m.clone();
            thread::spawn(move || loop {
                if let Some(c) = m.process.lock().unwrap().as_ref() {
                    signal(c, 19);
                }
                thread::sleep(std::time::Duration::from_millis(off));
                if let Some(c) = m.process.lock().unwrap().as_ref() {
                    signal(c, 18);
                }
                thread::sleep(std::time::Duration::from_micros(on * 100));
            });
        }
    }
    // machines' troubles
    let bad = Arc::new(Mutex::new(Vec::<String>::new()));
    for (i, m) in machines.iter().enumerate() {
        let (stop, m, agents, kinds, bad, notices, record) = (
            stop.clone(),
            m.clone(),
            agents.clone(),
            kinds.clone(),
            bad.clone(),
            notices.clone(),
            record.clone(),
        );
        let mut rng = Rng(seed * 43 + 17 + i as u64 * 1001);
        threads.push(thread::spawn(move || {
            let options: Vec<&String> = kinds
                .iter()
                .filter(|k| {
                    ["upkillnew", "kill", "term", "up", "hup", "uphup", "upkill", "upup"]
                        .contains(&k.as_str())
                })
                .collect();
            while !stop.load(Ordering::SeqCst) {
                sleep_ms(500 + rng.below(2500));
                if m.has_ended() {
                    bad.lock().unwrap().push(format!("{} has ended by itself at {}", m.name, now()));
                    m.kill_and_restart();
                    continue;
                }
                if options.is_empty() {
                    continue;
                }
                let hup = |m: &Machine| {
                    let old = agents[i].lock().unwrap().clone();
                    let new = Agent::start(&m.name, &notices, &record);
                    *new.state.lock().unwrap() = old.state.lock().unwrap().clone();
                    if std::env::var("OWN_VERSIONS").is_ok() {
                        let mut st = new.state.lock().unwrap();
                        st.entries.retain(|_, e| e.0 != "left");
                        let n = st.entries.len() as u64;
                        st.version = n;
                        st.entries.values_mut().for_each(|e| e.2 = n);
                    }
                    *agents[i].lock().unwrap() = new.clone();
                    *m.agent.lock().unwrap() = new;
                    m.write_config();
                    record.add(format!("{}: SIGHUP", m.name));
                    signal(m.process.lock().unwrap().as_ref().unwrap(), HUP);
                    old.retire();
                };
                let ok = match options[rng.below(options.len() as u64) as usize].as_str() {
                    "kill" => m.kill_and_restart(),
                    "term" => m.planned_restart(),
                    "up" => m.upgrade(),
                    "hup" => {
                        hup(&m);
                        true
                    }
                    "upup" => {
                        let a = m.upgrade();
                        a && m.upgrade()
                    }
                    "uphup" => {
                        hup(&m);
                        sleep_ms(rng.below(200));
                        m.upgrade()
                    }
                    "upkillnew" => {
                        let at = now();
                        *m.admin.lock().unwrap() = free_address();
                        m.write_config();
                        let mut new = m.spawn();
                        sleep_ms(rng.below(60));
                        m.kills.lock().unwrap().push(now());
                        m.kills.lock().unwrap().push(now() + 100.0);
                        record.add(format!("{}: SIGKILL to the new process", m.name));
                        signal(&new, KILL);
                        let _ = new.wait();
                        sleep_ms(100);
                        let end = now() + 10000.0;
                        while now() < end && !m.healthy() {
                            sleep_ms(5);
                        }
                        m.excused.lock().unwrap().push((at, now() + 1500.0));
                        now() < end
                    }
                    "upkill" => {
                        // The new process is started, and the old one is killed outright some time after.
                        let at = now();
                        *m.admin.lock().unwrap() = free_address();
                        m.write_config();
                        let new = m.spawn();
                        sleep_ms(rng.below(60));
                        m.kill();
                        *m.process.lock().unwrap() = Some(new);
                        let end = now() + 10000.0;
                        while now() < end && !m.healthy() {
                            sleep_ms(5);
                        }
                        m.excused.lock().unwrap().push((at, now() + 1500.0));
                        now() < end
                    }
                    _ => true,
                };
                if !ok {
                    bad.lock().unwrap().push(format!("{} not ready in time at {}", m.name, now()));
                }
            }
        }));
    }
    while now() < seconds * 1e3 {
        sleep_ms(100);
    }
    stop.store(true, Ordering::SeqCst);
    for t in threads {
        let _ = t.join();
    }
    for mode in modes.iter() {
        *mode.lock().unwrap() = 0;
    }
    sleep_ms(17_500);
    for m in &machines {
        m.stop();
    }
    // checks
    let sent = sent.lock().unwrap().clone();
    let calls: Vec<Call> = calls.lock().unwrap().clone();
    let notices = notices.lock().unwrap().clone();
    let mut bad = bad.lock().unwrap().clone();
    let mut ended_at: HashMap<String, Vec<(f64, String)>> = HashMap::new();
    for (at, line) in &notices {
        let id =
            line.split(r#""message":""#).nth(1).and_then(|t| t.split('"').next()).unwrap_or("").to_string();
        let outcome =
            line.split(r#""outcome":""#).nth(1).and_then(|t| t.split('"').next()).unwrap_or("").to_string();
        ended_at.entry(id).or_default().push((*at, outcome));
    }
    let mut by_id: HashMap<String, Vec<Call>> = HashMap::new();
    for c in &calls {
        by_id.entry(c.id.clone()).or_default().push(c.clone());
    }
    let mut stats: HashMap<String, u32> = HashMap::new();
    let (wa, wz) = if std::env::var("SHORT_WINDOWS").is_ok() { (700.0, 300.0) } else { (4000.0, 3000.0) };
    for s in &sent {
        *stats.entry(format!("{:?}", s.answer)).or_default() += 1;
        let my = by_id.get(&s.id).cloned().unwrap_or_default();
        let m = &machines[s.machine];
        if s.answer == Answer::Status(202) {
            let expires = s.sent + s.deadline_ms as f64;
            let delivered =
                my.iter().filter(|c| c.answer == "200").map(|c| c.end).fold(f64::INFINITY, f64::min);
            let noticed = ended_at
                .get(&s.id)
                .map_or(f64::INFINITY, |v| v.iter().map(|n| n.0).fold(f64::INFINITY, f64::min));
            let end = delivered.min(noticed);
            let due = expires + 300.0;
            let excused = m.excused.lock().unwrap().iter().any(|(a, b)| *a <= due + 50.0 && due <= *b);
            let due = if excused {
                m.excused
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|(a, b)| *a <= due + 50.0 && due <= *b)
                    .map(|e| e.1)
                    .fold(due, f64::max)
            } else {
                due
            };
            if end > due + 50.0 {
                bad.push(format!(
                    "LOST {} {} sent {:.0} expires {:.0} end {:.0} excused {excused}",
                    s.id, s.class, s.sent, expires, end
                ));
            }
            if delivered.is_finite() {
                *stats.entry("delivered".into()).or_default() += 1;
            }
            for n in ended_at.get(&s.id).into_iter().flatten() {
                *stats.entry(n.1.clone()).or_default() += 1;
            }
        }
        if s.answer == Answer::Ended {
            let killed = m.kills.lock().unwrap().iter().any(|k| *k >= s.sent - 1.0 && *k <= s.answered + 1.0);
            if !killed {
                bad.push(format!("ENDED WITH NO ANSWER {} sent {:.1} ended {:.1}", s.id, s.sent, s.answered));
            }
        }
        if let Answer::Status(status) = s.answer {
            if status != 202 && !my.is_empty() {
                bad.push(format!("REFUSED {status} BUT CALLED {}", s.id));
            }
            if ![202, 200, 503, 429].contains(&status) {
                bad.push(format!("STATUS {status} {}", s.id));
            }
        }
        let mut first_run: Option<(f64, String)> = None;
        let mut earlier: Vec<&Call> = Vec::new();
        let mut my_sorted: Vec<&Call> = my.iter().collect();
        my_sorted.sort_by(|a, b| a.last.total_cmp(&b.last));
        for c in my_sorted {
            if c.dest != s.dest {
                bad.push(format!("WRONG DEST {}", s.id));
            }
            if c.body_hash != s.body_hash || c.key != s.key {
                bad.push(format!("CHANGED {}", s.id));
            }
            for e in &earlier {
                if e.end > c.last + 5.0 {
                    bad.push(format!(
                        "TWO OUT {} {} at {:.1}, earlier {:.1}..{:.1}",
                        s.id, s.class, c.last, e.last, e.end
                    ));
                }
            }
            if let Some((at, zone)) = &first_run {
                let here =
                    endpoints.lock().unwrap().iter().find(|e| e.id == c.endpoint).map(|e| e.zone.clone());
                match s.class.as_str() {
                    "once" => bad.push(format!("RUN TWICE {} first {:.1} again {:.1}", s.id, at, c.last)),
                    "kzone" if here.is_some() && here.as_deref() != Some(zone) && !zone.is_empty() => {
                        bad.push(format!("OTHER ZONE {}", s.id))
                    }
                    "kzone" if c.last > at + wz + 50.0 => {
                        bad.push(format!("LATE REPEAT {} {:.1} after {:.1}", s.id, c.last, at))
                    }
                    "kall" | "ord" if c.last > at + wa + 50.0 => {
                        bad.push(format!("LATE REPEAT {} {:.1} after {:.1}", s.id, c.last, at))
                    }
                    _ => {}
                }
            }
            let never = ["503", "429", "504", "410"].contains(&c.answer.as_str());
            if !never && first_run.is_none() {
                let zone = endpoints
                    .lock()
                    .unwrap()
                    .iter()
                    .find(|e| e.id == c.endpoint)
                    .map(|e| e.zone.clone())
                    .unwrap_or_default();
                first_run = Some((c.last, zone));
            }
            earlier.push(c);
        }
        if my.len() > 6 {
            bad.push(format!("{} CALLS {}", my.len(), s.id));
        }
    }
    for c in &calls {
        if !sent.iter().any(|s| s.id == c.id) {
            bad.push(format!("UNKNOWN {}", c.id));
        }
    }
    for (i, id, from, to) in disabled.lock().unwrap().iter() {
        for c in calls.iter().filter(|c| c.endpoint == *id && c.id.ends_with(&format!("n{i}"))) {
            if c.first > from + 300.0 && c.first < *to {
                bad.push(format!("DISABLED {id} at {:.1} called {:.1} {}", from, c.first, c.id));
            }
        }
    }
    // drains
    for (i, m) in machines.iter().enumerate() {
        let agent = agents[i].lock().unwrap().clone();
        let told = agent.state.lock().unwrap().told.clone();
        for c in &calls {
            if c.id.ends_with(&format!("n{i}")) {
                if let Some(at) = told.get(&c.endpoint) {
                    if c.first > at + 300.0 {
                        bad.push(format!("DRAIN {} to {} {:.1} told {:.1}", c.id, c.endpoint, c.first, at));
                    }
                }
            }
        }
        // waits
        let mine: Vec<&Call> = calls.iter().filter(|c| c.id.ends_with(&format!("n{i}"))).collect();
        for w in mine.iter().filter(|c| c.wait_ms > 0.0) {
            let restarts = m.kills.lock().unwrap().clone();
            for c in mine.iter().filter(|c| {
                if std::env::var("WAITS_BY_ENDPOINT").is_ok() {
                    c.endpoint == w.endpoint
                } else {
                    c.dest == w.dest
                }
            }) {
                if c.last > w.end + 100.0
                    && c.last < w.end + w.wait_ms - 3.0
                    && !restarts.iter().any(|k| *k > w.end && *k < c.last)
                {
                    bad.push(format!(
                        "WAIT {} told {:.1} for {} called {:.1} by {}",
                        w.id, w.end, w.wait_ms, c.last, c.id
                    ));
                }
            }
        }
        // order
        let mut by_order: HashMap<String, Vec<&Sent>> = HashMap::new();
        for s in
            sent.iter().filter(|s| s.machine == i && !s.order.is_empty() && s.answer == Answer::Status(202))
        {
            by_order.entry(s.order.clone()).or_default().push(s);
        }
        for (key, mut list) in by_order {
            list.sort_by(|a, b| a.answered.total_cmp(&b.answered));
            for (x, a) in list.iter().enumerate() {
                for b in &list[x + 1..] {
                    if b.sent < a.answered {
                        continue;
                    }
                    let end_a = by_id.get(&a.id).into_iter().flatten().map(|c| c.last).fold(0.0, f64::max);
                    let paused = by_id
                        .get(&a.id)
                        .into_iter()
                        .flatten()
                        .filter(|c| c.answer == "none" || c.answer == "spoilt")
                        .map(|c| c.end + 300.0 - 50.0)
                        .fold(0.0, f64::max);
                    let first_b =
                        by_id.get(&b.id).into_iter().flatten().map(|c| c.last).fold(f64::INFINITY, f64::min);
                    let kills = m.kills.lock().unwrap().clone();
                    if first_b < end_a {
                        bad.push(format!("ORDER {key} {} before {}", b.id, a.id));
                    }
                    if first_b < paused && !kills.iter().any(|k| *k > a.sent && *k < first_b + 1.0) {
                        bad.push(format!("PAUSE {key} {} at {first_b:.1} after {} {paused:.1}", b.id, a.id));
                    }
                }
            }
        }
    }
    record.write(std::path::Path::new(&format!("/tmp/chaos-{seed}.txt")));
    println!("{stats:?}");
    println!("most on disk {}", most_disk.lock().unwrap());
    println!("calls {} bad {}", calls.len(), bad.len());
    for b in bad.iter().take(40) {
        println!("{b}");
    }
    println!("folder {}", folder.display());
    i32::from(!bad.is_empty())
}

fn misbehave(address: std::net::SocketAddr, bytes: &[u8], x: u64) {
    use std::io::{Read, Write};
    let Ok(mut stream) =
        std::net::TcpStream::connect_timeout(&address, std::time::Duration::from_millis(400))
    else {
        return;
    };
    stream.set_read_timeout(Some(std::time::Duration::from_millis(3500))).ok();
    match x % 6 {
        0 => {
            let _ = stream.write_all(bytes);
        }
        1 => {
            let _ = stream.write_all(&bytes[..bytes.len() / 2]);
            let _ = stream.read(&mut [0; 100]);
        }
        2 => {
            let _ = stream.write_all(bytes);
            sleep_ms(x / 7 % 6);
        }
        3 => {
            for chunk in bytes.chunks(60) {
                if stream.write_all(chunk).is_err() {
                    return;
                }
                sleep_ms(2);
            }
            let _ = stream.read(&mut [0; 100]);
        }
        4 => {
            let _ = stream.write_all(bytes);
            let _ = stream.shutdown(std::net::Shutdown::Write);
            let _ = stream.read(&mut [0; 100]);
        }
        _ => {
            let _ = stream.read(&mut [0; 100]);
        }
    }
}
