//! Case: a watch has fallen silent, an endpoint starts to drain, and a new version takes over.

use crate::case::Run;
use crate::world::*;

const GRACE: f64 = 300.0;
/// News of discovery binds from 2 s after the new process has said yes.
const BINDS_AFTER: f64 = 2000.0;

pub fn case(run: &Run) -> Result<bool, String> {
    let mut endpoints = vec![run.endpoint("s-old00001", 1, "hal-noord")];
    for dest in 2..=6 {
        endpoints.push(run.endpoint(&format!("s-{dest:08x}"), dest, "hal-zuid"));
    }
    let replacement = run.endpoint("s-new00001", 1, "hal-noord");
    let mut machines = Vec::new();
    for i in 0..2 {
        let agent = Agent::start(&format!("n{i}"), &run.notices, &run.record);
        for e in &endpoints {
            agent.set(&e.id, "active", e.entry("active"));
        }
        machines.push(run.machine(&format!("n{i}"), 2, &agent));
    }
    for m in &machines {
        if !m.start() {
            return Err("not ready within 30 s".into());
        }
    }
    run.clients(&machines, 6, 44.0, 13);
    let start = now();
    let agents: Vec<_> = machines.iter().map(|m| m.agent.lock().unwrap().clone()).collect();
    run.until(start + 4000.0);
    if run.trouble {
        run.say("the open watches fall silent");
        agents.iter().for_each(|a| a.silence_open_watches());
    }
    run.until(start + 4200.0);
    run.say("discovery lists s-new00001, and that s-old00001 leaves; the agents have it");
    for agent in &agents {
        agent.set("s-new00001", "active", replacement.entry("active"));
        agent.set("s-old00001", "leaving", endpoints[0].entry("leaving"));
    }
    run.until(start + 4400.0);
    let m = machines[0].clone();
    let yes = std::sync::Arc::new(std::sync::Mutex::new(None));
    let upgrade = {
        let yes = yes.clone();
        std::thread::spawn(move || m.upgrade_saying(|| *yes.lock().unwrap() = Some(now())))
    };
    run.until(start + 9300.0);
    run.say("discovery lists that s-old00001 has left");
    agents.iter().for_each(|a| a.set("s-old00001", "left", endpoints[0].entry("left")));
    let left = now();
    run.until(start + 17_000.0);
    run.stop_clients();
    run.until(start + 34_000.0);
    if !upgrade.join().map_err(|_| "the upgrade failed")? {
        return Err("the new version was not ready within 6 s".into());
    }
    let yes = yes.lock().unwrap().ok_or("no yes")?;
    run.say(format!("the new version had said yes at {yes:.1}"));
    let binds = yes + BINDS_AFTER;
    let late: Vec<Call> = run
        .calls_of(0)
        .into_iter()
        .filter(|c| c.endpoint == "s-old00001" && c.first > binds + GRACE)
        .collect();
    for c in &late {
        run.say(format!(
            "fresh work for s-old00001 at {:.1}, {:.0} ms after the news bound: {}",
            c.first,
            c.first - binds,
            c.id
        ));
    }
    // For the record only: what became of the messages for its destination.
    for (what, from, to) in [("while it leaves", binds, left), ("once it has left", left, f64::INFINITY)] {
        run.say_delivered(1, what, from, to);
    }
    Ok(!late.is_empty())
}
