//! Runs a delivery policy for each instance, and converts wire records to policy events and policy actions to wire
//! records.

use crate::wire::{Batch, Entry, Input, Output, Reply, WireError};
use hatchline::settings::DeploymentSettings;
use hatchline::{Action, DeliveryPolicy, Endpoint, EndpointState, Event, LimitReport, ListKind, Outcome};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A policy, and the positions of the two values of its limit reports.
struct Instance {
    policy: DeliveryPolicy,
    share_left_index: Option<usize>,
    rate_index: Option<usize>,
}

/// The policy instances of this process, and the endpoint lists that records refer to by number.
#[derive(Default)]
pub struct PolicyHost {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Entry>>,
}

fn to_outcome(status: u16) -> Result<Outcome, WireError> {
    Ok(match status {
        0 => Outcome::Error,
        1 => Outcome::Ok,
        2 => Outcome::Rejected,
        3 => Outcome::TimedOut,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => return Err(WireError(format!("unknown outcome code {status}"))),
    })
}

fn to_endpoint(entry: &Entry) -> Result<Endpoint, WireError> {
    let state = match entry.status {
        3 => EndpointState::Ready,
        0 => EndpointState::Draining,
        1 => EndpointState::Removed,
        other => return Err(WireError(format!("unknown endpoint status {other}"))),
    };
    Ok(Endpoint {
        target: entry.target,
        destination: u32::from(entry.destination),
        kind: u32::from(entry.kind),
        zone: u32::from(entry.zone),
        state,
        rate: f64::from(entry.size),
    })
}

impl Instance {
    fn limit_report(&self, values: &[f32]) -> Option<LimitReport> {
        let value = |at: Option<usize>| at.and_then(|at| values.get(at)).map(|v| f64::from(*v));
        Some(LimitReport { share_left: value(self.share_left_index)?, rate: value(self.rate_index)? })
    }
}

impl PolicyHost {
    /// Processes a batch and returns the encoded reply.
    pub fn run_batch(&mut self, batch: Batch) -> Result<Vec<u8>, WireError> {
        let clock = batch.clock;
        let mut reply = Reply::new(batch.number);
        let mut actions_by_instance: BTreeMap<u16, Vec<Action>> = BTreeMap::new();
        for record in batch.records {
            let (i, event) = match record {
                Input::Roster { sheet, items } => {
                    self.lists.insert(sheet, items);
                    continue;
                }
                Input::Down { i } => {
                    self.instances.remove(&i);
                    actions_by_instance.remove(&i);
                    continue;
                }
                Input::Born { i, salt, env } => {
                    let DeploymentSettings { settings, share_left_index, rate_index, .. } =
                        serde_json::from_slice(&env)
                            .map_err(|e| WireError(format!("settings of instance {i} are invalid: {e}")))?;
                    let policy = catch_panic(i, &mut reply, || DeliveryPolicy::new(clock, salt, settings));
                    actions_by_instance.insert(i, Vec::new());
                    if let Some(policy) = policy {
                        self.instances.insert(i, Instance { policy, share_left_index, rate_index });
                    }
                    continue;
                }
                other => self.to_event(other)?,
            };
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            let actions = actions_by_instance.entry(i).or_default();
            catch_panic(i, &mut reply, || instance.policy.handle(clock, event, actions));
        }
        for (i, mut actions) in actions_by_instance {
            let Some(instance) = self.instances.get_mut(&i) else {
                continue;
            };
            catch_panic(i, &mut reply, || instance.policy.decide(clock, &mut actions));
            for action in actions {
                reply.push(&to_output(i, action));
            }
        }
        Ok(reply.finish())
    }

    fn to_event(&self, record: Input) -> Result<(u16, Event), WireError> {
        let report = |i: u16, values: &[f32]| {
            self.instances.get(&i).and_then(|instance| instance.limit_report(values))
        };
        Ok(match record {
            Input::Targets { i, scope, rev, sheet } => {
                let kind = match scope {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(WireError(format!("unknown list scope {other}"))),
                };
                let endpoints = match (kind, self.lists.get(&sheet)) {
                    (ListKind::Failed, _) => Vec::new(),
                    (_, Some(entries)) => entries.iter().map(to_endpoint).collect::<Result<_, _>>()?,
                    (_, None) => return Err(WireError(format!("list {sheet} has not been declared"))),
                };
                (i, Event::List { kind, version: rev, endpoints })
            }
            Input::Query { i, id, class, destination, key, expires, .. } => (
                i,
                Event::Request {
                    id,
                    class: u32::from(class),
                    destination: destination as u32,
                    order_key: key,
                    expires,
                },
            ),
            Input::Started { i, id, attempt, .. } => {
                (i, Event::StreamStarted { id, attempt: u32::from(attempt) })
            }
            Input::Resolved { i, id, attempt, target, status, took, ended, wait_ms, feedback } => (
                i,
                Event::AttemptEnded {
                    id,
                    attempt: u32::from(attempt),
                    target,
                    outcome: to_outcome(status)?,
                    took: u64::from(took),
                    message_ended: ended,
                    retry_after: if status == 2 { u64::from(wait_ms) * 1000 } else { 0 },
                    report: report(i, &feedback),
                },
            ),
            Input::Lapsed { i, id } => (i, Event::Abandoned { id }),
            Input::Wakeup { i, cookie } => (i, Event::Timer { token: cookie }),
            Input::Echo { i, target, status, took, feedback } => (
                i,
                Event::ProbeEnded {
                    target,
                    outcome: to_outcome(status)?,
                    took: u64::from(took),
                    report: report(i, &feedback),
                },
            ),
            Input::Peer { i, who, body } => (i, Event::PeerMessage { from: who, data: body }),
            Input::Born { .. } | Input::Down { .. } | Input::Roster { .. } => {
                return Err(WireError("record does not carry a policy event".into()))
            }
        })
    }
}

/// Runs policy code. A panic becomes an `Output::Fault` of the instance.
fn catch_panic<T>(i: u16, reply: &mut Reply, run: impl FnOnce() -> T) -> Option<T> {
    match catch_unwind(AssertUnwindSafe(run)) {
        Ok(value) => Some(value),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
            reply.push(&Output::Fault { i, message: text.to_string() });
            None
        }
    }
}

fn to_output(i: u16, action: Action) -> Output {
    let saturating_u32 = |span: u64| u32::try_from(span).unwrap_or(u32::MAX);
    match action {
        Action::Send { id, target, until } => Output::Forward { i, id, not_past: until, target },
        Action::Cancel { id, attempt } => Output::Revoke { i, id, attempt: attempt as u8 },
        Action::Refuse { id, retry_after } => {
            Output::Refuse { i, id, cool_down: saturating_u32(retry_after) }
        }
        Action::Fail { id } => Output::Surrender { i, id },
        Action::Probe { target } => Output::Probe { i, target },
        Action::Timer { after, token } => {
            Output::After { i, sleep_for: saturating_u32(after), cookie: token }
        }
        Action::CloseIdle { target } => Output::ShutIdle { i, target },
        Action::Subscribe { on } => Output::KeepInformed { i, enable: on },
        Action::FetchList => Output::Lookup { i },
        Action::Tell { to, data } => Output::Share { i, peer: to.unwrap_or(u32::MAX), body: data },
        Action::Log { text } => Output::JournalLine { i, message: text },
    }
}
