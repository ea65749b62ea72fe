//! What a new version and the old process tell each other from the takeover until the old one has ended.

use crate::clock::Clock;
use crate::connection_limit::ConnectionLimit;
use crate::events::{
    AdminRequest, AdminResponse, CallEnd, EventSender, LifecycleStage, NodeEvent, ResponseGuard,
    SubmitResponse,
};
use crate::hot_restart::{frame, length_of};
use crate::message::Message;
use crate::metrics::{MessageResult, Metrics};
use crate::write_ahead_log::AcceptedMessage;
use hatchline::settings::DeploymentSettings;
use hatchline::{EndpointCounts, LimitReport, Outcome, TargetId};
use hyper::StatusCode;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch, OwnedSemaphorePermit};
use tokio::time::{sleep_until, timeout, Instant};

/// How long what an ending process still has to say may take.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// How often an old process looks whether anything is left for it to do.
const LOOK: Duration = Duration::from_millis(100);

async fn next_frame<T: DeserializeOwned>(stream: &mut OwnedReadHalf) -> io::Result<T> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).await?;
    let mut content = vec![0; length_of(head)?];
    stream.read_exact(&mut content).await?;
    postcard::from_bytes(&content).map_err(io::Error::other)
}

/// What the old process tells the owner.
#[derive(Debug, Serialize, Deserialize)]
enum FromOld {
    CallEnded {
        number: u64,
        attempt: u32,
        target: TargetId,
        outcome: Outcome,
        over: bool,
        took: Duration,
        idle_for: Option<Duration>,
        wait: Option<Duration>,
        report: Option<LimitReport>,
    },
    Answered {
        number: u64,
        written: bool,
    },
    /// Handed in on a connection that it still has; the name of the answer.
    HandIn {
        name: u64,
        accepted: AcceptedMessage,
    },
}

/// And the other way.
#[derive(Debug, Serialize, Deserialize)]
enum FromOwner {
    Cancel { number: u64, attempt: u32 },
    TakenOn { name: u64, number: u64 },
    Refused { name: u64, retry_in_ms: u64 },
}

/// A call of the old process: message, attempt, target, and what tells that it is called off.
pub(crate) type InheritedCall = (u64, u32, TargetId, oneshot::Receiver<()>);

/// What keeps the owner in touch with the process that it took over from.
pub(crate) struct PredecessorLink {
    pub inputs: EventSender,
    pub settings: Arc<DeploymentSettings>,
    pub calls: Vec<InheritedCall>,
    /// Messages whose clients it is telling that they are taken on.
    pub answering: BTreeSet<u64>,
    /// Places that its connections take.
    pub reserved: Option<OwnedSemaphorePermit>,
    pub clock: Clock,
}

/// What the owner's parts want the old process told.
enum Word {
    Cancel { number: u64, attempt: u32 },
    Answer { name: u64, answer: SubmitResponse },
}

impl PredecessorLink {
    /// Passes on what the old process tells, until it has ended. What it leaves open then has an end too: its calls
    /// may have run, and clients may have heard that their messages are taken on.
    pub async fn run(self, stream: UnixStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let (mut reader, mut writer) = tokio::net::UnixStream::from_std(stream)?.into_split();
        let PredecessorLink { inputs, settings, calls, mut answering, reserved, clock } = self;
        let (words, mut said) = mpsc::unbounded_channel();
        let mut open: BTreeMap<(u64, u32), TargetId> = BTreeMap::new();
        for (number, attempt, target, cancelled) in calls {
            open.insert((number, attempt), target);
            let words = words.clone();
            tokio::spawn(async move {
                if cancelled.await.is_ok() {
                    let _ = words.send(Word::Cancel { number, attempt });
                }
            });
        }
        let mut receipts: BTreeMap<u64, ResponseGuard> = BTreeMap::new();
        let (frames, mut heard) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(frame) = next_frame::<FromOld>(&mut reader).await {
                if frames.send(frame).is_err() {
                    return;
                }
            }
        });
        loop {
            tokio::select! {
                biased;
                Some(word) = said.recv() => {
                    let frame = match word {
                        Word::Cancel { number, attempt } => FromOwner::Cancel { number, attempt },
                        Word::Answer { name, answer: SubmitResponse::Accepted(receipt) } => {
                            let number = receipt.number();
                            receipts.insert(number, receipt);
                            FromOwner::TakenOn { name, number }
                        }
                        Word::Answer { name, answer: SubmitResponse::Refused { retry_in_ms } } =>
                            FromOwner::Refused { name, retry_in_ms },
                    };
                    // If it has ended, so has its side of the stream.
                    let _ = write_to(&mut writer, &frame).await;
                }
                frame = heard.recv() => match frame {
                    Some(FromOld::CallEnded {
                        number, attempt, target, outcome, over, took, idle_for, wait, report,
                    }) => {
                        open.remove(&(number, attempt));
                        let now = Instant::now();
                        inputs.send(NodeEvent::CallEnded(CallEnd {
                            started_at: now.checked_sub(took).unwrap_or(now),
                            wait_until: wait.and_then(|wait| now.checked_add(wait)),
                            idle_for,
                            limit_report: report,
                            ..CallEnd::new(number, attempt, target, outcome, over)
                        }));
                    }
                    Some(FromOld::Answered { number, written }) => match receipts.remove(&number) {
                        Some(mut receipt) => receipt.written = written,
                        None => {
                            answering.remove(&number);
                            inputs.send(NodeEvent::ResponseEnded { number, written });
                        }
                    },
                    Some(FromOld::HandIn { name, accepted }) => {
                        let message = Message::from_accepted(accepted, &settings, &clock);
                        let (reply, answer) = oneshot::channel();
                        inputs.send(NodeEvent::Submit { message: Arc::new(message), reply });
                        let words = words.clone();
                        tokio::spawn(async move {
                            if let Ok(answer) = answer.await {
                                let _ = words.send(Word::Answer { name, answer });
                            }
                        });
                    }
                    None => break,
                },
            }
        }
        for ((number, attempt), target) in open {
            inputs.send(NodeEvent::CallEnded(CallEnd::new(number, attempt, target, Outcome::Reset, false)));
        }
        receipts.into_values().for_each(|mut receipt| receipt.written = true);
        answering
            .into_iter()
            .for_each(|number| inputs.send(NodeEvent::ResponseEnded { number, written: true }));
        drop(reserved);
        eprintln!("upgrade: the old process has ended");
        Ok(())
    }
}

async fn write_to(writer: &mut OwnedWriteHalf, content: &impl Serialize) -> io::Result<()> {
    writer.write_all(&frame(content)?).await
}

/// What is left of a process that has handed over: its calls in flight and its clients' connections.
pub(crate) struct DrainingProcess {
    /// What calls each off, unless it has been.
    pub calls: BTreeMap<(u64, u32), Option<oneshot::Sender<()>>>,
    pub figures: Metrics,
    pub pool: EndpointCounts,
    pub inputs: EventSender,
    pub settings: Arc<DeploymentSettings>,
    pub clock: Clock,
    pub stage: watch::Sender<LifecycleStage>,
    pub places: ConnectionLimit,
    /// After the signal to end: when idle connections close, and by when the process has ended.
    pub close_idle_after: Duration,
    pub exit_within: Duration,
}

/// How it ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ExitReason {
    Completed,
    /// The successor has ended first, and nobody owns the log.
    SuccessorLost,
}

impl DrainingProcess {
    /// Serves the successor until nothing is left to do.
    pub async fn run(
        mut self, stream: UnixStream, mut receiver: UnboundedReceiver<NodeEvent>,
    ) -> io::Result<ExitReason> {
        stream.set_nonblocking(true)?;
        let (mut reader, mut writer) = tokio::net::UnixStream::from_std(stream)?.into_split();
        let (frames, mut heard) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(frame) = next_frame::<FromOwner>(&mut reader).await {
                if frames.send(frame).is_err() {
                    return;
                }
            }
        });
        let (tell, mut told) = mpsc::unbounded_channel::<FromOld>();
        let writing = tokio::spawn(async move {
            while let Some(frame) = told.recv().await {
                if write_to(&mut writer, &frame).await.is_err() {
                    return;
                }
            }
        });
        let mut replies: BTreeMap<u64, oneshot::Sender<SubmitResponse>> = BTreeMap::new();
        let mut calls = std::mem::take(&mut self.calls);
        let (mut next_name, mut terminated, mut look) = (0, None, Instant::now() + LOOK);
        let rest = loop {
            tokio::select! {
                biased;
                Some(input) = receiver.recv() => match input {
                    NodeEvent::Submit { message, reply } => {
                        next_name += 1;
                        replies.insert(next_name, reply);
                        let accepted = message.to_accepted(&self.settings, &self.clock);
                        let _ = tell.send(FromOld::HandIn { name: next_name, accepted });
                    }
                    NodeEvent::Terminate => terminated = terminated.or(Some(Instant::now())),
                    NodeEvent::CallEnded(end) => {
                        calls.remove(&(end.number, end.attempt));
                        let _ = tell.send(ended(end));
                    }
                    other => self.pass_on(other, &tell),
                },
                frame = heard.recv() => match frame {
                    Some(FromOwner::Cancel { number, attempt }) => {
                        // A call that has just ended tells its own end.
                        let cancel = calls.get_mut(&(number, attempt)).and_then(Option::take);
                        let _ = cancel.map(|cancel| cancel.send(()));
                    }
                    Some(FromOwner::TakenOn { name, number }) => {
                        // If the client has gone, the receipt is dropped here and says so.
                        let answer = SubmitResponse::Accepted(ResponseGuard::new(number, self.inputs.clone()));
                        let _ = replies.remove(&name).map(|reply| reply.send(answer));
                    }
                    Some(FromOwner::Refused { name, retry_in_ms }) => {
                        let answer = SubmitResponse::Refused { retry_in_ms };
                        let _ = replies.remove(&name).map(|reply| reply.send(answer));
                    }
                    None if terminated.is_some() => break ExitReason::Completed,
                    None => break ExitReason::SuccessorLost,
                },
                () = sleep_until(look) => {
                    look = Instant::now() + LOOK;
                    let left = !(calls.is_empty() && replies.is_empty() && self.places.in_use() == 0);
                    let since = terminated.map_or(Duration::ZERO, |at: Instant| at.elapsed());
                    if !left || since >= self.exit_within {
                        break ExitReason::Completed;
                    }
                    if since >= self.close_idle_after {
                        self.stage.send_replace(LifecycleStage::Closing);
                    }
                }
            }
        };
        drop(tell);
        let _ = timeout(LAST_WORDS, writing).await;
        Ok(rest)
    }

    fn pass_on(&mut self, input: NodeEvent, tell: &UnboundedSender<FromOld>) {
        // If the successor has ended, that shows where its words are awaited.
        match input {
            NodeEvent::ResponseEnded { number, written } => {
                let _ = tell.send(FromOld::Answered { number, written });
            }
            NodeEvent::MessageWritten { class } => self.figures.record_attempt(class),
            NodeEvent::RefusedLate { class } => self.figures.record_result(class, MessageResult::Shed),
            NodeEvent::Admin { request, reply } => {
                let _ = reply.send(match request {
                    AdminRequest::Metrics => {
                        AdminResponse::new(StatusCode::OK, self.figures.render(0, self.pool))
                    }
                    _ => {
                        AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "a new version has taken over\n")
                    }
                });
            }
            // The successor watches the list, sends the notices, and reads the configuration itself.
            _ => {}
        }
    }
}

/// Its connection ends here.
fn ended(end: CallEnd) -> FromOld {
    FromOld::CallEnded {
        number: end.number,
        attempt: end.attempt,
        target: end.target,
        outcome: end.outcome,
        over: end.completes_message,
        took: end.started_at.elapsed(),
        idle_for: end.idle_for,
        wait: end.wait_until.map(|until| until.saturating_duration_since(Instant::now())),
        report: end.limit_report,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::events;
    use serde_json::json;

    /// What it refuses for want of time its clients have heard from it: it counts there.
    #[test]
    fn an_old_process_counts_what_it_turns_away() {
        let classes = json!([{"name": "note", "aim": 1, "deadline": 2}]);
        let settings = json!({"balancers": 1, "categories": classes, "limits": {}});
        let settings: Arc<DeploymentSettings> = Arc::new(serde_json::from_value(settings).unwrap());
        let mut old = DrainingProcess {
            calls: BTreeMap::new(),
            figures: Metrics::new(&settings.class_names),
            pool: EndpointCounts::default(),
            inputs: events::channel().0,
            settings,
            clock: Clock::new(),
            stage: watch::Sender::new(LifecycleStage::HandedOver),
            places: ConnectionLimit::new(1),
            close_idle_after: Duration::ZERO,
            exit_within: Duration::ZERO,
        };
        old.pass_on(NodeEvent::RefusedLate { class: 0 }, &mpsc::unbounded_channel().0);
        let text = old.figures.render(0, old.pool);
        assert!(text.contains("responses.note.shed=1"), "{text}");
    }
}
