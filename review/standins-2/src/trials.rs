//! The cases.

use crate::net::{exchange, serve, Reply};
use crate::world::{list_json, Discovery, Entry, Forwarder, Record, Settings};
use crate::Trial;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What was broken; nothing if the rule held.
type Outcome = Result<Vec<String>, String>;

pub fn play(case: &str, trial: &Trial) -> Outcome {
    match case {
        "spoilt" => spoilt(trial),
        "forged" => forged(trial),
        "improper" => improper(trial),
        "notices" => notices(trial),
        "repeats" => repeats(trial),
        _ => Err(format!("no case {case}")),
    }
}

/// Calls of an endpoint: time and id of each.
type Calls = Arc<Mutex<Vec<(f64, String)>>>;

/// An endpoint. `answer` gets the number of the call with this id, from 1.
fn endpoint(
    record: &Arc<Record>, name: &'static str, answer: impl Fn(&str, usize) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Calls) {
    let calls = Calls::default();
    let (record, shared) = (record.clone(), calls.clone());
    let address = serve(move |request| {
        if request.method != "POST" || request.path != "/v1/messages" {
            return Reply::Answer(404, String::new(), String::new());
        }
        let id = request.header("x-request-id");
        let number = {
            let mut calls = shared.lock().unwrap();
            let at =
                record.line(format!("endpoint {name}: gets {id}, key {}", request.header("idempotency-key")));
            calls.push((at, id.clone()));
            calls.iter().filter(|(_, other)| *other == id).count()
        };
        sleep(Duration::from_millis(20));
        answer(&id, number)
    });
    (address, calls)
}

fn ok() -> Reply {
    Reply::Answer(200, String::new(), String::new())
}

/// Answers of an endpoint are cut off in their body, of calls that have run.
fn spoilt(trial: &Trial) -> Outcome {
    let (record, trouble) = (&trial.record, trial.trouble);
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let (shared, recorder) = (runs.clone(), record.clone());
    let (address, _) = endpoint(record, "s-1", move |id, number| {
        *shared.lock().unwrap().entry(id.to_string()).or_default() += 1;
        if trouble && number == 1 && id.ends_with('5') {
            recorder.line(format!("endpoint s-1: has run {id}, its answer is cut off"));
            return Reply::ThenClose(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 40\r\n\r\n{\"err".to_vec(),
            );
        }
        recorder.line(format!("endpoint s-1: has run {id}, 200"));
        ok()
    });
    let list = vec![Entry { id: "s-1", addr: address, cell: 1, state: "active", weight: 200 }];
    let known = list_json(1, true, &list);
    let discovery = Discovery::start(record, "discovery", 1, list);
    let settings = Settings { effect: "once", slots: 8 };
    let forwarder = Forwarder::new(record, &trial.root, &trial.folder, &settings, discovery.address, known);
    let process = forwarder.start(forwarder.admin)?;
    for number in 1..=30 {
        let id = format!("9b1f03aa5c7e{number:04}");
        forwarder.submit(&id, &format!("5c0f6e1a2b3d{number:04}"), 1, Duration::from_secs(4));
        sleep(Duration::from_millis(200));
    }
    sleep(Duration::from_secs(6));
    drop(process);
    let runs = runs.lock().unwrap();
    Ok(runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(id, count)| format!("{id} ran {count} times"))
        .collect())
}

/// Peers hand in messages with very long ids, which end undelivered, beside those of clients.
fn notices(trial: &Trial) -> Outcome {
    const MESSAGES: u32 = 400;
    let (record, trouble) = (&trial.record, trial.trouble);
    let (address, _) = endpoint(record, "s-1", |id, _| match id.ends_with("50") {
        true => Reply::Answer(500, String::new(), String::new()),
        false => ok(),
    });
    let list = vec![Entry { id: "s-1", addr: address, cell: 1, state: "active", weight: 200 }];
    let known = list_json(1, true, &list);
    let discovery = Discovery::start(record, "discovery", 1, list);
    let settings = Settings { effect: "once", slots: 8 };
    let forwarder = Forwarder::new(record, &trial.root, &trial.folder, &settings, discovery.address, known);
    let process = forwarder.start(forwarder.admin)?;
    let mut owed = Vec::new();
    scope(|scope| {
        let forwarder = &forwarder;
        // Ten bursts of nine; a peer goes once it has its answer.
        scope.spawn(move || {
            sleep(Duration::from_secs(1));
            for burst in 0..10 {
                let (end, together) = (Instant::now() + Duration::from_secs(1), Arc::new(Barrier::new(9)));
                for peer in 0..9 {
                    let together = together.clone();
                    scope.spawn(move || {
                        together.wait();
                        let key = format!("0b{burst:04}{peer:04}");
                        let id = if trouble { format!("{key}{}", "f".repeat(13_990)) } else { key.clone() };
                        forwarder.submit(&id, &key, 9, end.saturating_duration_since(Instant::now()))
                    });
                }
                sleep(Duration::from_millis(200));
            }
        });
        for number in 1..=MESSAGES {
            let id = format!("9b1f03aa5c7e{number:04}");
            let due = record.at() + 4.0 + 0.35;
            if forwarder.submit(&id, &format!("5c0f6e1a2b3d{number:04}"), 1, Duration::from_secs(4))
                == Some(202)
                && number % 100 == 50
            {
                owed.push((id, due));
            }
            sleep(Duration::from_millis(25));
        }
    });
    sleep(Duration::from_secs(6));
    drop(process);
    let mut broken = Vec::new();
    for (id, due) in owed {
        match discovery.notice_at(&id) {
            Some((at, _)) if at <= due => {}
            Some((at, _)) => broken.push(format!("{id}: notice at {at:.3}, due {due:.3}")),
            None => broken.push(format!("{id}: not delivered, and no notice until {due:.3}")),
        }
    }
    Ok(broken)
}

/// Peers send requests that are not proper ones, beside the messages of clients.
fn improper(trial: &Trial) -> Outcome {
    let (record, trouble) = (&trial.record, trial.trouble);
    let handed_in: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let (known_ids, recorder) = (handed_in.clone(), record.clone());
    let (address, calls) =
        endpoint(record, "s-1", move |id, _| match known_ids.lock().unwrap().contains(id) {
            true => ok(),
            false => {
                recorder.line(format!("endpoint s-1: no client handed in {id}, 400"));
                Reply::Answer(400, String::new(), String::new())
            }
        });
    let list = vec![Entry { id: "s-1", addr: address, cell: 1, state: "active", weight: 200 }];
    let known = list_json(1, true, &list);
    let discovery = Discovery::start(record, "discovery", 1, list);
    let settings = Settings { effect: "by_key", slots: 8 };
    let forwarder = Forwarder::new(record, &trial.root, &trial.folder, &settings, discovery.address, known);
    let process = forwarder.start(forwarder.admin)?;
    let proper = [
        ("Host", "backend.local"),
        ("X-Request-Id", "0b00000000000000"),
        ("X-Tenant", "waddenvracht"),
        ("X-Deadline", "4000m"),
        ("Idempotency-Key", "5c0f6e1a2b3d4c59"),
        ("X-Consignee", "dest=1"),
    ];
    // A header field that is left out, has another value, or comes once more with another value.
    let faults = [
        ("no X-Tenant", "X-Tenant", None, false),
        ("a tenant that the settings do not name", "X-Tenant", Some("nobody"), false),
        ("two different X-Consignee", "X-Consignee", Some("dest=2"), true),
        ("two different X-Request-Id", "X-Request-Id", Some("0b0000000000ffff"), true),
        ("two different Idempotency-Key", "Idempotency-Key", Some("ffff6e1a2b3d4c59"), true),
        ("no Host", "Host", None, false),
    ];
    let mut by_fault = BTreeMap::new();
    for (number, (fault, field, value, again)) in faults.into_iter().enumerate() {
        for client in 0..10 {
            let id = format!("9b1f03aa5c7e{number}{client:03}");
            handed_in.lock().unwrap().insert(id.clone());
            forwarder.submit(&id, &format!("5c0f6e1a2b3d{number}{client:03}"), 1, Duration::from_secs(4));
            sleep(Duration::from_millis(50));
        }
        let id = format!("0b{number:014}");
        let mut head = "POST /freight-msg HTTP/1.1\r\n".to_string();
        for (name, usual) in proper {
            let usual = if name == "X-Request-Id" { id.as_str() } else { usual };
            let is_faulty = trouble && name == field;
            if !is_faulty || again {
                head += &format!("{name}: {usual}\r\n");
            }
            if let Some(value) = value.filter(|_| is_faulty) {
                head += &format!("{name}: {value}\r\n");
            }
        }
        head += "Content-Length: 2\r\n\r\n";
        if !trouble {
            handed_in.lock().unwrap().insert(id.clone());
        }
        record.line(format!("peer: sends {id}, {}", if trouble { fault } else { "a proper request" }));
        let status =
            exchange(forwarder.listen, &head, b"hi", Duration::from_secs(3)).map(|answer| answer.status);
        record.line(format!("peer: {id} answered {status:?}"));
        by_fault.insert(id, fault);
    }
    sleep(Duration::from_secs(6));
    drop(process);
    let handed_in = handed_in.lock().unwrap();
    let reached: BTreeSet<String> = calls.lock().unwrap().iter().map(|(_, id)| id.clone()).collect();
    let strange = reached.iter().filter(|id| !handed_in.contains(*id));
    let fault_of = |id: &String| by_fault.get(id).copied().unwrap_or("the second of two ids");
    Ok(strange.map(|id| format!("{id} reached an endpoint: {}", fault_of(id))).collect())
}

/// A proxy in front of a forwarder. It passes a request on, and ends both connections in place of the answer.
fn losing_proxy(record: &Arc<Record>, forwarder: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let record = record.clone();
    spawn(move || {
        for mut client in listener.incoming().flatten() {
            let record = record.clone();
            spawn(move || -> Option<()> {
                let begun = Instant::now();
                let mut onward = TcpStream::connect(forwarder).ok()?;
                let mut copied = (client.try_clone().ok()?, onward.try_clone().ok()?);
                spawn(move || std::io::copy(&mut copied.0, &mut copied.1));
                let mut answer = [0; 512];
                let length = onward.read(&mut answer).ok()?;
                let answer = String::from_utf8_lossy(&answer[..length]);
                record.line(format!("proxy: loses the answer {:?}", answer.lines().next()));
                sleep(Duration::from_millis(250).saturating_sub(begun.elapsed()));
                let _ = (client.shutdown(Shutdown::Both), onward.shutdown(Shutdown::Both));
                let _ = client.flush();
                None
            });
        }
    });
    address
}

/// Connections end in place of the answer, and clients send these requests once more. There are 132 clients, each with a
/// message every three seconds. They keep their connections until the forwarder closes them.
fn repeats(trial: &Trial) -> Outcome {
    const MESSAGES: u32 = 924;
    let (record, trouble) = (&trial.record, trial.trouble);
    let (address, calls) = endpoint(record, "s-1", |_, _| ok());
    let list = vec![Entry { id: "s-1", addr: address, cell: 1, state: "active", weight: 200 }];
    let known = list_json(1, true, &list);
    let discovery = Discovery::start(record, "discovery", 1, list);
    let settings = Settings { effect: "once", slots: 8 };
    let forwarder = Forwarder::new(record, &trial.root, &trial.folder, &settings, discovery.address, known);
    let process = forwarder.start(forwarder.admin)?;
    let proxy = losing_proxy(record, forwarder.listen);
    scope(|scope| {
        let (forwarder, begun) = (&forwarder, Instant::now());
        for number in 0..MESSAGES {
            scope.spawn(move || {
                // 200 characters.
                let id = format!("{number:08}{}", "9b1f03aa5c7e2d41".repeat(12));
                let (key, deadline) = (format!("5c0f6e1a2b3d{number:04}"), Duration::from_secs(16));
                // One request of 12, in the first five seconds and in the last four.
                let is_lost = trouble && number % 12 == 10 && !(220..740).contains(&number);
                let (to, first) = (if is_lost { proxy } else { forwarder.listen }, Instant::now());
                let mut answer = forwarder.submit_at(to, &id, &key, 1, deadline);
                if answer.is_none() && is_lost {
                    answer = forwarder.submit_at(forwarder.listen, &id, &key, 1, deadline - first.elapsed());
                }
                // The forwarder closes a connection that has rested for 2.2 s.
                answer.into_iter().for_each(|answer| answer.rest(Duration::from_secs(3)));
            });
            sleep((Duration::from_secs(1) * number / 44).saturating_sub(begun.elapsed()));
        }
    });
    sleep(Duration::from_secs(3));
    drop(process);
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    calls.lock().unwrap().iter().for_each(|(_, id)| *counts.entry(id.clone()).or_default() += 1);
    let twice = counts.iter().filter(|(_, count)| **count > 1);
    Ok(twice.map(|(id, count)| format!("{}... ran {count} times", &id[..12])).collect())
}

/// The CRC-32 of some bytes.
fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |crc, byte| {
        (0..8).fold(crc ^ u32::from(*byte), |crc, _| (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg()))
    })
}

/// Bytes in the form of a record of the forwarder's log: that it has taken on a message with this id.
fn log_record(id: &str) -> Vec<u8> {
    let number = |mut value: u64| {
        let mut bytes = Vec::new();
        while value > 127 {
            bytes.push((value & 127) as u8 | 128);
            value >>= 7;
        }
        bytes.push(value as u8);
        bytes
    };
    let text = |text: &str| [number(text.len() as u64), text.as_bytes().to_vec()].concat();
    let expires = SystemTime::now() + Duration::from_secs(600);
    let expires = expires.duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let content = [
        number(1 << 40),
        number(0),
        text(id),
        text("freight-msg"),
        number(1),
        text(""),
        [number(1), text("5c0f6e1a2b3d4c59")].concat(),
        number(0),
        number(expires),
        text("made up"),
    ]
    .concat();
    let mut record = vec![0xf7, 0x1d];
    record.extend((content.len() as u32).to_le_bytes());
    record.extend(crc32(&content).to_le_bytes());
    record.extend(content);
    record
}

/// Bodies hold bytes that look like records of the forwarder's log, and forwarders are killed while they write them.
fn forged(trial: &Trial) -> Outcome {
    const MADE_UP: &str = "0b0000000000feed";
    let (record, trouble) = (&trial.record, trial.trouble);
    let reached = Arc::new(AtomicU64::new(0));
    let (shared, recorder) = (reached.clone(), record.clone());
    let address = serve(move |request| {
        if request.header("x-request-id") == MADE_UP {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            recorder.line(format!("endpoint s-1: gets {MADE_UP}, which nobody sent, with the body {body:?}"));
            shared.fetch_add(1, Ordering::SeqCst);
        }
        ok()
    });
    let list = vec![Entry { id: "s-1", addr: address, cell: 1, state: "active", weight: 5_000 }];
    let known = list_json(1, true, &list);
    let discovery = Discovery::start(record, "discovery", 1, list);
    let settings = Settings { effect: "by_key", slots: 64 };
    let mut forwarders = Vec::new();
    let mut processes = Vec::new();
    for name in ["n1", "n2", "n3"] {
        let folder = trial.folder.join(name);
        let forwarder =
            Forwarder::new(record, &trial.root, &folder, &settings, discovery.address, known.clone());
        processes.push(forwarder.start(forwarder.admin)?);
        forwarders.push(forwarder);
    }
    let made_up = log_record(MADE_UP);
    let body = made_up.repeat(64 * 1024 / made_up.len());
    let (done, next, taken_on) = (AtomicBool::new(false), AtomicU64::new(0), AtomicU64::new(0));
    let mut kills = 0;
    let played = scope(|scope| {
        for forwarder in forwarders.iter().flat_map(|forwarder| [forwarder; 5]) {
            let (done, next, taken_on, body) = (&done, &next, &taken_on, &body);
            scope.spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let id = format!("9b1f{:012}", next.fetch_add(1, Ordering::SeqCst));
                    match forwarder.submit_body(&id, body) {
                        Some(answer) if answer.status == 202 => drop(taken_on.fetch_add(1, Ordering::SeqCst)),
                        _ => sleep(Duration::from_millis(5)),
                    }
                }
            });
        }
        let begun = Instant::now();
        let play = || {
            while begun.elapsed() < Duration::from_secs(90) && reached.load(Ordering::SeqCst) == 0 {
                sleep(Duration::from_millis(150));
                if trouble {
                    kills += 1;
                    record.line(format!("platform: kill {kills} of all three"));
                    processes.clear();
                    sleep(Duration::from_millis(600));
                    for forwarder in &forwarders {
                        processes.push(forwarder.start(forwarder.admin)?);
                    }
                    // What the log holds is sent by then.
                    sleep(Duration::from_millis(50));
                }
            }
            Ok::<_, String>(())
        };
        let played = { play }();
        done.store(true, Ordering::SeqCst);
        played
    });
    processes.clear();
    let (handed_in, taken_on) = (next.load(Ordering::SeqCst), taken_on.load(Ordering::SeqCst));
    record.line(format!("clients: {handed_in} handed in, {taken_on} taken on; {kills} times killed"));
    played?;
    let count = reached.load(Ordering::SeqCst);
    let broken =
        format!("{MADE_UP} reached an endpoint {count} times after {kills} kills, and nobody sent it");
    Ok((count > 0).then_some(broken).into_iter().collect())
}
