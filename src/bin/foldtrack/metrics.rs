//! The metrics that operators read: counters since the start of the process, and their text form.

use crate::client_stats::ClientTotals;
use crate::memory_usage::MemoryUsage;
use hatchline::EndpointCounts;
use std::fmt::Write;

/// Final result of a message. Each message has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageResult {
    /// Delivered.
    Ok,
    /// Refused or handed back: the client may safely submit it again.
    Shed,
    /// Failed.
    Error,
}

/// Counters of one class of message.
#[derive(Debug, Default)]
struct ClassCounters {
    name: String,
    ok: u64,
    shed: u64,
    errors: u64,
    tries: u64,
}

/// Counters by class of message.
#[derive(Debug)]
pub(crate) struct Metrics(Vec<ClassCounters>);

impl Metrics {
    pub fn new(class_names: &[String]) -> Metrics {
        Metrics(
            class_names
                .iter()
                .map(|n| ClassCounters { name: n.clone(), ..ClassCounters::default() })
                .collect(),
        )
    }

    /// Counts the end of a message. A class that the settings no longer name is not counted.
    pub fn record_result(&mut self, class: usize, result: MessageResult) {
        let Some(class) = self.0.get_mut(class) else { return };
        match result {
            MessageResult::Ok => class.ok += 1,
            MessageResult::Shed => class.shed += 1,
            MessageResult::Error => class.errors += 1,
        }
    }

    /// Counts a message that has been written whole to an endpoint.
    pub fn record_attempt(&mut self, class: usize) {
        if let Some(class) = self.0.get_mut(class) {
            class.tries += 1;
        }
    }

    /// Renders all metrics, one a line; `active` messages are accepted and not yet ended.
    pub fn render(
        &self, active: usize, endpoints: EndpointCounts, memory: MemoryUsage, clients: ClientTotals,
    ) -> String {
        let mut text = String::new();
        for ClassCounters { name, ok, shed, errors, tries } in &self.0 {
            for (counter, count) in [("ok", ok), ("shed", shed), ("errors", errors), ("tries", tries)] {
                let _ = writeln!(text, "responses.{name}.{counter}={count}");
            }
        }
        let EndpointCounts { listed, ejected } = endpoints;
        let _ = writeln!(text, "active={active}\npool_size={listed}\npool_ejected={ejected}");
        let MemoryUsage { resident, peak } = memory;
        let _ = writeln!(text, "memory_bytes={resident}\nmemory_peak_bytes={peak}");
        let ClientTotals { pipelined, cut_off, discarded_bytes } = clients;
        let _ = writeln!(text, "client_requests_pipelined={pipelined}\nclient_requests_cut_off={cut_off}");
        let _ = writeln!(text, "client_bytes_discarded={discarded_bytes}");
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_has_four_counters_and_unknown_classes_have_none() {
        let mut metrics = Metrics::new(&["a".to_string(), "b".to_string()]);
        metrics.record_result(0, MessageResult::Ok);
        metrics.record_result(1, MessageResult::Shed);
        metrics.record_result(1, MessageResult::Error);
        metrics.record_result(7, MessageResult::Ok);
        (0..3).for_each(|_| metrics.record_attempt(1));
        let text = metrics.render(
            5,
            EndpointCounts { listed: 9, ejected: 2 },
            MemoryUsage { resident: 7, peak: 8 },
            ClientTotals { pipelined: 4, cut_off: 6, discarded_bytes: 10 },
        );
        let expected = "responses.a.ok=1\nresponses.a.shed=0\nresponses.a.errors=0\nresponses.a.tries=0\n\
             responses.b.ok=0\nresponses.b.shed=1\nresponses.b.errors=1\nresponses.b.tries=3\n\
             active=5\npool_size=9\npool_ejected=2\nmemory_bytes=7\nmemory_peak_bytes=8\n\
             client_requests_pipelined=4\nclient_requests_cut_off=6\nclient_bytes_discarded=10\n";
        assert_eq!(text, expected);
    }
}
