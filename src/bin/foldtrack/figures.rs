//! What the forwarder reports of itself: counts since the process started, each raised where the thing that it
//! counts happens, and the text of them.

use hatchline::EndpointCounts;
use std::fmt::Write;

/// How a message ended. Each ends in exactly one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
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
pub(crate) struct Figures(Vec<Class>);

impl Figures {
    pub fn new(class_names: &[String]) -> Figures {
        Figures(class_names.iter().map(|n| Class { name: n.clone(), ..Class::default() }).collect())
    }

    /// A message is over. One of a class that the settings no longer name is in no line of the text.
    pub fn ended(&mut self, class: usize, how: Ended) {
        let Some(class) = self.0.get_mut(class) else { return };
        match how {
            Ended::Ok => class.ok += 1,
            Ended::Shed => class.shed += 1,
            Ended::Error => class.errors += 1,
        }
    }

    /// A message has been written whole to an endpoint.
    pub fn tried(&mut self, class: usize) {
        if let Some(class) = self.0.get_mut(class) {
            class.tries += 1;
        }
    }

    /// The figures, a line each; `active` messages are taken and not yet ended.
    pub fn text(&self, active: usize, pool: EndpointCounts) -> String {
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
        let mut figures = Figures::new(&["a".to_string(), "b".to_string()]);
        figures.ended(0, Ended::Ok);
        figures.ended(1, Ended::Shed);
        figures.ended(1, Ended::Error);
        figures.ended(7, Ended::Ok);
        (0..3).for_each(|_| figures.tried(1));
        let text = figures.text(5, EndpointCounts { listed: 9, ejected: 2 });
        let expected = "responses.a.ok=1\nresponses.a.shed=0\nresponses.a.errors=0\nresponses.a.tries=0\n\
             responses.b.ok=0\nresponses.b.shed=1\nresponses.b.errors=1\nresponses.b.tries=3\n\
             active=5\npool_size=9\npool_ejected=2\n";
        assert_eq!(text, expected);
    }
}
