//! A search of part one: does a destination that returns from an outage get too much? Not a case.
//!
//!     standins failback SEED MODE LIMIT FORWARDERS LOAD OUTAGE_SECONDS
//!
//! Modes: `close` (503 with `Connection: close`), `shut`, `plain`, `hang`, `error`, `down`.

use crate::world::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub fn settings(balancers: u32, slots: u32, max_open: u32) -> String {
    format!(
        r#"{{"balancers": {balancers},
 "categories": [{{"aim": 3000000, "deadline": 16000000, "effect": "by_key", "group": "all", "late_value": 0.3, "name": "freight-msg", "streaming": false, "window": 4000000, "worth": 1.0}}],
 "clients": {{"marks_retry": false}},
 "contract": {{"answer_slack": 20000, "ask_within": 10000000, "cold_from": 0.22, "ramp_time": 9300000, "stop_sending_within": 250000, "tip_after": 1500000, "tip_multiple": 1.5}},
 "dcs": ["hal-noord", "hal-zuid"], "discovery": "pushed", "family": "deliver",
 "family_info": {{"batch_by_kind": [1, 1], "decay": "linear", "own_limits": [false, false], "refused_price": 0.05, "slots": {slots}, "zone_fee": [0.0, 0.0]}},
 "goal": {{"whole": 0.65, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.25}},
 "limits": {{"conn_idle": 15000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000, "dial_timeout": 1500000, "max_open": {max_open}, "max_retry_after": 2000000, "may_cancel": true, "may_duplicate": false, "may_probe": true, "may_tell": false, "retry_after": true, "streams_per_conn": 1, "try_limit": 6}},
 "machine_types": ["big-hauliers", "small-partners"], "over_share_worth": 0.1, "rank": 0,
 "realms": [{{"name": "waddenvracht", "quota_per_s": 16.0, "share": 0.36}}],
 "report": {{"fields": [], "source": "off"}}, "tick": 5000, "tier": 0, "tiers": ["partner-systems"], "weight_source": "nominal", "worth_by": "request", "zone": 0}}"#
    )
}

/// args: seed mode weight balancers load outage_s
pub fn run(args: &[String]) -> i32 {
    let seed: u64 = args[0].parse().unwrap();
    let mode = args[1].clone();
    let weight: f64 = args[2].parse().unwrap();
    let balancers: u32 = args[3].parse().unwrap();
    let load: f64 = args[4].parse().unwrap();
    let outage_s: f64 = args[5].parse().unwrap();
    let root = std::env::current_dir().unwrap();
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let record = Arc::new(Record::default());
    let calls = Arc::new(Mutex::new(Vec::new()));
    let notices = Arc::new(Mutex::new(Vec::new()));
    // Phase: 0 healthy, 1 outage, 2 returned (cold).
    let phase = Arc::new(AtomicU64::new(0));
    let span = Arc::new(Mutex::new((0u64, 0f64)));
    let rng = Arc::new(Mutex::new(Rng(seed * 7919 + 3)));
    let mut endpoints = Vec::new();
    for k in 0..2 {
        let (phase, span, rng, mode) = (phase.clone(), span.clone(), rng.clone(), mode.clone());
        endpoints.push(Endpoint::start(
            &format!("s-big{k}"),
            0,
            "hal-noord",
            "big-hauliers",
            weight,
            &calls,
            &record,
            move |_, _| {
                let (u, v) = {
                    let mut r = rng.lock().unwrap();
                    (r.unit(), r.unit())
                };
                if phase.load(Ordering::SeqCst) == 1 {
                    return match mode.as_str() {
                        "close" => Act::Status(503, "Connection: close\r\n".into(), 5.0),
                        "shut" if u < 0.7 => Act::Status(429, "X-Come-Back-Ms: 600\r\n".into(), 5.0),
                        "shut" | "plain" => Act::Status(503, String::new(), 5.0),
                        "hang" => Act::Hang,
                        "error" => Act::Status(500, String::new(), 20.0),
                        _ => Act::Close,
                    };
                }
                let mut s = span.lock().unwrap();
                let this = (now() / 1000.0) as u64;
                if s.0 != this {
                    *s = (this, 0.0);
                }
                s.1 += 1.0;
                if s.1 > weight {
                    let left = 1000.0 - now() % 1000.0;
                    return if u < 0.7 {
                        Act::Status(429, format!("X-Come-Back-Ms: {}\r\n", left.ceil()), 3.0)
                    } else {
                        Act::Status(503, String::new(), 3.0)
                    };
                }
                Act::Ok(80.0 + 100.0 * v)
            },
        ));
    }
    for dest in 1..6u32 {
        let rng = rng.clone();
        endpoints.push(Endpoint::start(
            &format!("s-d{dest}"),
            dest,
            "hal-zuid",
            "small-partners",
            12.0,
            &calls,
            &record,
            move |_, _| Act::Ok(80.0 + 100.0 * rng.lock().unwrap().unit()),
        ));
    }
    let limits = r#"{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}"#;
    let rate = load * weight + 15.0;
    let slots = ((rate / load.min(1.0) * 0.13 / f64::from(balancers)) * 2.2).ceil().max(3.0) as u32;
    let max_open = ((rate / f64::from(balancers)) * 10.0) as u32;
    let mut machines = Vec::new();
    for i in 0..balancers {
        let agent = Agent::start(&format!("n{i}"), &notices, &record);
        for e in &endpoints {
            agent.set(&e.id, "active", e.entry("active"));
        }
        let m = Machine::new(
            &format!("n{i}"),
            &root,
            &folder,
            &settings(balancers, slots, max_open),
            limits,
            &agent,
            &record,
        );
        if !m.start() {
            return 2;
        }
        machines.push(m);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let pools: Arc<Vec<Pool>> = Arc::new((0..balancers).map(|_| Pool::default()).collect());
    let client = {
        let (stop, pools, machines) = (stop.clone(), pools.clone(), machines.clone());
        let mut rng = Rng(seed * 31 + 5);
        thread::spawn(move || {
            let mut n = 0u64;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(std::time::Duration::from_secs_f64(-rng.unit().max(1e-9).ln() / rate));
                n += 1;
                let machine = rng.below(u64::from(balancers)) as usize;
                let dest = if rng.unit() < load * weight / rate { 0 } else { 1 + rng.below(5) as u32 };
                let id = format!("{n:08x}n{machine}");
                let bytes = message_bytes(
                    &id,
                    &format!("key{n:08x}"),
                    "freight-msg",
                    dest,
                    "",
                    "waddenvracht",
                    16000,
                    &[b'x'; 200],
                );
                let (pools, address) = (pools.clone(), machines[machine].listen);
                thread::spawn(move || pools[machine].send(address, &bytes));
            }
        })
    };
    sleep_ms(10_000);
    let out_at = now();
    record.add("outage begins");
    if mode == "down" {
        for e in &endpoints[..2] {
            e.down.store(true, Ordering::SeqCst);
        }
    }
    phase.store(1, Ordering::SeqCst);
    sleep_ms((outage_s * 1e3) as u64);
    for e in &endpoints[..2] {
        e.down.store(false, Ordering::SeqCst);
    }
    phase.store(2, Ordering::SeqCst);
    let back_at = now();
    record.add("outage ends");
    sleep_ms(10_000);
    stop.store(true, Ordering::SeqCst);
    client.join().unwrap();
    for m in &machines {
        m.stop();
    }
    let calls = calls.lock().unwrap().clone();
    let mut times: Vec<(f64, String)> =
        calls.iter().filter(|c| c.dest == 0 && c.last > back_at).map(|c| (c.last, c.id.clone())).collect();
    times.sort_by(|a, b| a.0.total_cmp(&b.0));
    let during = calls.iter().filter(|c| c.dest == 0 && c.last > out_at && c.last < back_at).count();
    let capacity = |t: f64| 1.3 * weight * (0.22 + 0.78 * ((t - back_at) / 9300.0).clamp(0.0, 1.0));
    let mut worst = (0.0f64, 0usize, 0.0, 0.0);
    for (i, (at, _)) in times.iter().enumerate() {
        let count = times[..=i].iter().filter(|t| t.0 > at - 1500.0).count();
        let begin = (at - 1500.0).max(back_at);
        let steps = 30;
        let n: f64 = (0..steps)
            .map(|k| capacity(begin + (at - begin) * (f64::from(k) + 0.5) / f64::from(steps)))
            .sum::<f64>()
            / f64::from(steps)
            * 1.5
            * 1.5;
        let most = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        if count as f64 / most > worst.0 {
            worst = (count as f64 / most, count, most, at - back_at);
        }
    }
    let per: Vec<usize> = (0..10)
        .map(|s| {
            times
                .iter()
                .filter(|t| t.0 >= back_at + s as f64 * 1000.0 && t.0 < back_at + (s + 1) as f64 * 1000.0)
                .count()
        })
        .collect();
    println!("{mode} W={weight} R={balancers} load={load} outage={outage_s} slots={slots}: worst {:.2} ({} calls, limit {:.1}) at +{:.0} ms; during outage {during}; per second {per:?}", worst.0, worst.1, worst.2, worst.3);
    record.write(std::path::Path::new(&format!("/tmp/failback-{seed}-{mode}.txt")));
    i32::from(worst.0 > 1.0)
}
