//! Case: clients send many requests at once, stay connected and read no answers.

use crate::case::Run;
use crate::world::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// So many peers of this kind connect. The forwarder's configuration allows 256 descriptors.
const PEERS: usize = 140;
/// Most that one of them has to send.
const MOST_BYTES: usize = 40_000_000;
/// Peers that send much are owed an error or a close within this time of connecting.
const OWED_WITHIN: f64 = 6000.0;
const DEADLINE_MS: u64 = 16_000;
/// A final answer counts up to half a second after the time of a request.
const ANSWER_SLACK: f64 = 500.0;

/// Sends requests whenever the connection takes some, up to `most` bytes, until told to stop. Returns the bytes sent.
fn send_much(mut stream: TcpStream, first: &[u8], most: usize, stop: &AtomicBool) -> usize {
    stream.set_write_timeout(Some(Duration::from_millis(300))).ok();
    if stream.write_all(first).is_err() {
        return 0;
    }
    let requests = b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n".repeat(100);
    let (mut sent, mut at) = (first.len(), 0);
    while !stop.load(Ordering::SeqCst) {
        if sent >= most {
            sleep_ms(50);
            continue;
        }
        match stream.write(&requests[at..]) {
            Ok(n) => (sent, at) = (sent + n, (at + n) % requests.len()),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            // The forwarder has closed the connection.
            Err(_) => break,
        }
    }
    sent
}

/// Hands in a message on a new connection and waits for any answer or the end of the connection.
fn patient(address: SocketAddr, bytes: &[u8], wait_ms: f64) -> String {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(2)) else {
        return "not connected".into();
    };
    stream.set_read_timeout(Some(Duration::from_secs_f64(wait_ms / 1e3))).ok();
    if stream.write_all(bytes).is_err() {
        return "closed".into();
    }
    let mut buffer = [0; 64];
    match stream.read(&mut buffer) {
        Ok(0) => "closed".into(),
        Ok(n) => String::from_utf8_lossy(&buffer[..n]).lines().next().unwrap_or("").into(),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            "nothing".into()
        }
        Err(_) => "closed".into(),
    }
}

pub fn case(run: &Run) -> Result<bool, String> {
    let mut endpoints = Vec::new();
    for dest in 1..=6 {
        endpoints.push(run.endpoint(&format!("s-{dest:08x}"), dest, "hal-zuid"));
    }
    let agent = Agent::start("n0", &run.notices, &run.record);
    for e in &endpoints {
        agent.set(&e.id, "active", e.entry("active"));
    }
    let machine =
        run.machine_with("n0", 1, &agent, r#"{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3}"#);
    if !machine.start() {
        return Err("not ready within 30 s".into());
    }
    run.clients(std::slice::from_ref(&machine), 6, 22.0, 17);
    let start = now();
    run.until(start + 3000.0);
    let stop = Arc::new(AtomicBool::new(false));
    let mut peers = Vec::new();
    if run.trouble {
        run.say(format!("{PEERS} peers connect, send much and read nothing"));
        let most = if run.without == "much" { 0 } else { MOST_BYTES };
        for n in 0..PEERS {
            let stream = TcpStream::connect_timeout(&machine.listen, Duration::from_secs(2))
                .map_err(|e| e.to_string())?;
            let (id, key) = (format!("{n:012x}-peer"), format!("{:032x}", 0xabc0_0000 + n));
            let dest = 1 + n as u32 % 6;
            let first = message_bytes(&id, &key, "freight-msg", dest, "", "waddenvracht", DEADLINE_MS, b"x");
            let stop = stop.clone();
            peers.push(thread::spawn(move || send_much(stream, &first, most, &stop)));
        }
        run.say("all of them are connected");
    }
    let connected = now();
    run.until(connected + OWED_WITHIN);
    run.say("each of the peers was owed an error or a close by now; from here on requests are judged");
    let answers: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for n in 0..20 {
        let (answers, address, record) = (answers.clone(), machine.listen, run.record.clone());
        threads.push(thread::spawn(move || {
            sleep_ms(500 * n);
            let (id, key) = (format!("{n:012x}-judged"), format!("{:032x}", 0xdef0_0000 + n));
            let dest = 1 + n as u32 % 6;
            let bytes = message_bytes(&id, &key, "freight-msg", dest, "", "waddenvracht", DEADLINE_MS, b"x");
            let at = now();
            record.add(format!("judged client sends {id} dest={dest}"));
            let answer = patient(address, &bytes, DEADLINE_MS as f64 + ANSWER_SLACK);
            record.add(format!("judged client of {id}: {answer} after {:.0} ms", now() - at));
            answers.lock().unwrap().push(answer);
        }));
    }
    threads.into_iter().for_each(|t| drop(t.join()));
    run.stop_clients();
    let health = patient(machine.listen, b"GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n", 3000.0);
    run.say(format!("GET /healthz within 3 s: {health}"));
    stop.store(true, Ordering::SeqCst);
    let bytes: Vec<usize> = peers.into_iter().map(|p| p.join().unwrap_or(0)).collect();
    run.say(format!("a peer has sent {} bytes at most", bytes.iter().max().unwrap_or(&0)));
    let answers = answers.lock().unwrap().clone();
    let unanswered = answers.iter().filter(|a| *a == "nothing" || *a == "not connected").count();
    run.say(format!(
        "of {} judged requests {unanswered} got neither an answer nor a close within {DEADLINE_MS} + 500 ms",
        answers.len()
    ));
    let sent = run.sent.lock().unwrap().clone();
    let later: Vec<_> = sent.iter().filter(|s| s.sent > connected + OWED_WITHIN).collect();
    let without = later.iter().filter(|s| !matches!(s.answer, Answer::Status(_))).count();
    run.say(format!(
        "of {} messages of ordinary clients in that time {without} got no answer within 400 ms",
        later.len()
    ));
    if machine.has_ended() {
        run.say("the forwarder has ended");
    }
    Ok(unanswered > 0)
}
