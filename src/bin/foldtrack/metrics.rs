//! What the forwarder reports of itself: counts since the process started, each raised where the thing that it
//! counts happens, and the text of them.

use hatchline::EndpointCounts;
use std::fmt::Write;

/// How a message ended. Each ends in exactly one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageResult {
    /// Delivered.
    Ok,
    /// Refused, or handed back: to hand it in again is harmless.
    Shed,
    /// Failed.
    Error,
}

#[derive(Debug, Default)]
struct Class {
    name: String,
    ok: u64,
    shed: u64,
    errors: u64,
    tries: u64,
}

/// The counts, by class of message.
#[derive(Debug)]
pub(crate) struct Metrics(Vec<Class>);

impl Metrics {
    pub fn new(class_names: &[String]) -> Metrics {
        Metrics(class_names.iter().map(|n| Class { name: n.clone(), ..Class::default() }).collect())
    }

    /// A message is over. One of a class that the settings no longer name is in no line of the text.
    pub fn record_result(&mut self, class: usize, how: MessageResult) {
        let Some(class) = self.0.get_mut(class) else { return };
        match how {
            MessageResult::Ok => class.ok += 1,
            MessageResult::Shed => class.shed += 1,
            MessageResult::Error => class.errors += 1,
        }
    }

    /// A message has been written whole to an endpoint.
    pub fn record_attempt(&mut self, class: usize) {
        if let Some(class) = self.0.get_mut(class) {
            class.tries += 1;
        }
    }

    /// The figures, a line each; `active` messages are taken and not yet ended.
    pub fn render(&self, active: usize, pool: EndpointCounts) -> String {
        let mut text = String::new();
        for Class { name, ok, shed, errors, tries } in &self.0 {
            for (what, count) in [("ok", ok), ("shed", shed), ("errors", errors), ("tries", tries)] {
                let _ = writeln!(text, "responses.{name}.{what}={count}");
            }
        }
        let EndpointCounts { listed, ejected: avoided } = pool;
        let _ = writeln!(text, "active={active}\npool_size={listed}\npool_ejected={avoided}");
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_class_has_its_four_counts_and_unknown_classes_have_none() {
        let mut figures = Metrics::new(&["a".to_string(), "b".to_string()]);
        figures.record_result(0, MessageResult::Ok);
        figures.record_result(1, MessageResult::Shed);
        figures.record_result(1, MessageResult::Error);
        figures.record_result(7, MessageResult::Ok);
        (0..3).for_each(|_| figures.record_attempt(1));
        let text = figures.render(5, EndpointCounts { listed: 9, ejected: 2 });
        let expected = "responses.a.ok=1\nresponses.a.shed=0\nresponses.a.errors=0\nresponses.a.tries=0\n\
             responses.b.ok=0\nresponses.b.shed=1\nresponses.b.errors=1\nresponses.b.tries=3\n\
             active=5\npool_size=9\npool_ejected=2\n";
        assert_eq!(text, expected);
    }
}
