//! Case: a reload moves discovery to an address that counts its own versions, and the forwarder is killed and comes back.

use crate::case::Run;
use crate::world::*;
use std::sync::Arc;

/// The grace of the site (250 ms) and the 50 ms by which every time limit is longer on sockets.
const GRACE: f64 = 300.0;

pub fn case(run: &Run) -> Result<bool, String> {
    let mut endpoints = vec![run.endpoint("s-old00001", 1, "hal-noord")];
    for dest in 2..=6 {
        endpoints.push(run.endpoint(&format!("s-{dest:08x}"), dest, "hal-zuid"));
    }
    let replacement = run.endpoint("s-new00001", 1, "hal-noord");
    let mut machines = Vec::new();
    for i in 0..2 {
        let agent = Agent::start(&format!("n{i}"), &run.notices, &run.record);
        // The old discovery has counted some changes already.
        agent.state.lock().unwrap().version = 30;
        for e in &endpoints {
            agent.set(&e.id, "active", e.entry("active"));
        }
        machines.push(run.machine(&format!("n{i}"), 2, &agent));
    }
    for m in &machines {
        // What the forwarder last had of the old discovery; the platform leaves it in the file.
        *m.known.lock().unwrap() = Some(m.agent.lock().unwrap().full_list());
        if !m.start() {
            return Err("not ready within 30 s".into());
        }
    }
    run.clients(&machines, 6, 44.0, 11);
    let start = now();
    run.until(start + 3000.0);
    let reload = run.trouble && run.without != "reload";
    let kill = run.trouble && run.without != "kill";
    if reload {
        for m in &machines {
            let agent = Agent::start(&m.name, &run.notices, &run.record);
            for e in &endpoints {
                agent.set(&e.id, "active", e.entry("active"));
            }
            let old: Arc<Agent> = std::mem::replace(&mut *m.agent.lock().unwrap(), agent);
            m.write_config();
            run.say(format!("{}: new configuration with another address of discovery, SIGHUP", m.name));
            signal(m.process.lock().unwrap().as_ref().unwrap(), HUP);
            old.retire();
        }
    }
    run.until(start + 8500.0);
    run.say("discovery lists s-new00001, and that s-old00001 leaves");
    for m in &machines {
        let agent = m.agent.lock().unwrap().clone();
        agent.set("s-new00001", "active", replacement.entry("active"));
        agent.set("s-old00001", "leaving", endpoints[0].entry("leaving"));
    }
    run.until(start + 9500.0);
    let before = run
        .calls_of(0)
        .iter()
        .filter(|c| c.endpoint == "s-old00001" && c.first > start + 8500.0 + GRACE)
        .count();
    let mut told_again = start + 8500.0;
    if kill {
        if run.without == "old-known" {
            *machines[0].known.lock().unwrap() = None;
        }
        // Told before already; counted anew from the start of the new process.
        if !machines[0].kill_and_restart() {
            return Err("not ready within 30 s of its kill".into());
        }
        run.say("n0: back");
        told_again = now();
    }
    run.until(start + 13_500.0);
    run.say("discovery lists that s-old00001 has left");
    for m in &machines {
        let agent = m.agent.lock().unwrap().clone();
        agent.set("s-old00001", "left", endpoints[0].entry("left"));
    }
    let left = now();
    run.until(start + 20_000.0);
    run.stop_clients();
    run.until(start + 37_000.0);
    let late: Vec<Call> = run
        .calls_of(0)
        .into_iter()
        .filter(|c| c.endpoint == "s-old00001" && c.first > told_again + GRACE)
        .collect();
    for c in &late {
        run.say(format!(
            "fresh work for s-old00001 at {:.1}, {:.0} ms after it was told: {}",
            c.first,
            c.first - told_again,
            c.id
        ));
    }
    // For the record only: what became of the messages for its destination.
    for (what, from, to) in [("while it leaves", told_again, left), ("once it has left", left, f64::INFINITY)]
    {
        run.say_delivered(1, what, from, to);
    }
    run.say(format!(
        "calls of n0 to s-old00001 past the grace: {before} before the kill, {} in the time judged",
        late.len()
    ));
    Ok(!late.is_empty() || before > 0)
}
