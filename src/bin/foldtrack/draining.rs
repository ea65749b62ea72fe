//! Draining after a hot restart: the old process completes its calls and serves its client connections, while the new
//! owner of the write-ahead log decides about their messages. The two exchange frames until the old process ends.

use crate::client_stats::ClientStats;
use crate::clock::Clock;
use crate::connection_limit::ConnectionLimit;
use crate::events::{
    AdminRequest, AdminResponse, CallEnd, EventSender, LifecycleStage, NodeEvent, ResponseGuard,
    SubmitResponse,
};
use crate::hot_restart::{encode_frame, frame_length};
use crate::memory_usage::MemoryUsage;
use crate::message::Message;
use crate::metrics::{MessageResult, Metrics};
use crate::write_ahead_log::AcceptedMessage;
use hatchline::settings::DeploymentSettings;
use hatchline::{EndpointCounts, LimitReport, Outcome, TargetId, UNKNOWN_CLIENT};
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

/// Time limit for writing the last frames when the old process ends.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a draining process checks whether it has anything left to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

async fn read_frame<T: DeserializeOwned>(stream: &mut OwnedReadHalf) -> io::Result<T> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).await?;
    let mut content = vec![0; frame_length(head)?];
    stream.read_exact(&mut content).await?;
    postcard::from_bytes(&content).map_err(io::Error::other)
}

/// A frame from the old process to the owner.
#[derive(Debug, Serialize, Deserialize)]
enum OldProcessFrame {
    CallEnded {
        number: u64,
        attempt: u32,
        target: TargetId,
        outcome: Outcome,
        completes_message: bool,
        took: Duration,
        idle_for: Option<Duration>,
        retry_after: Option<Duration>,
        limit_report: Option<LimitReport>,
    },
    ResponseEnded {
        number: u64,
        written: bool,
    },
    /// A message submitted on a client connection of the old process, and the number of that request.
    Submit {
        request: u64,
        accepted: AcceptedMessage,
    },
}

/// A frame from the owner to the old process.
#[derive(Debug, Serialize, Deserialize)]
enum OwnerFrame {
    Cancel { number: u64, attempt: u32 },
    Accepted { request: u64, number: u64 },
    Refused { request: u64, retry_in_ms: u64 },
    Delivered { request: u64 },
    Failed { request: u64 },
}

/// A call of the old process: message number, attempt, target, and the receiver of its cancellation.
pub(crate) type InheritedCall = (u64, u32, TargetId, oneshot::Receiver<()>);

/// The owner's link to the old process, from which it has taken over.
pub(crate) struct OldProcessLink {
    pub events: EventSender,
    pub settings: Arc<DeploymentSettings>,
    pub calls: Vec<InheritedCall>,
    /// Messages whose clients the old process is telling that they are accepted.
    pub responding: BTreeSet<u64>,
    /// Permits for the client connections of the old process.
    pub reserved_connections: Option<OwnedSemaphorePermit>,
    pub clock: Clock,
}

/// A command of the owner to the old process.
enum OwnerCommand {
    Cancel { number: u64, attempt: u32 },
    Respond { request: u64, response: SubmitResponse },
}

impl OldProcessLink {
    /// Passes the frames of the old process on to the node until that process has ended. Then reports the end of what
    /// it has left unfinished: its calls may have run, and clients may have been told that their messages are accepted.
    pub async fn run(self, stream: UnixStream) -> io::Result<()> {
        stream.set_nonblocking(true)?;
        let (mut reader, mut writer) = tokio::net::UnixStream::from_std(stream)?.into_split();
        let OldProcessLink { events, settings, calls, mut responding, reserved_connections, clock } = self;
        let (command_sender, mut commands) = mpsc::unbounded_channel();
        let mut open_calls: BTreeMap<(u64, u32), TargetId> = BTreeMap::new();
        for (number, attempt, target, cancelled) in calls {
            open_calls.insert((number, attempt), target);
            let command_sender = command_sender.clone();
            tokio::spawn(async move {
                if cancelled.await.is_ok() {
                    let _ = command_sender.send(OwnerCommand::Cancel { number, attempt });
                }
            });
        }
        // A request that came again has a response for each time.
        let mut response_guards: BTreeMap<u64, Vec<ResponseGuard>> = BTreeMap::new();
        let (frames, mut received) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(frame) = read_frame::<OldProcessFrame>(&mut reader).await {
                if frames.send(frame).is_err() {
                    return;
                }
            }
        });
        loop {
            tokio::select! {
                biased;
                Some(command) = commands.recv() => {
                    let frame = match command {
                        OwnerCommand::Cancel { number, attempt } => OwnerFrame::Cancel { number, attempt },
                        OwnerCommand::Respond { request, response: SubmitResponse::Accepted(guard) } => {
                            let number = guard.number();
                            response_guards.entry(number).or_default().push(guard);
                            OwnerFrame::Accepted { request, number }
                        }
                        OwnerCommand::Respond { request, response: SubmitResponse::Refused { retry_in_ms } } =>
                            OwnerFrame::Refused { request, retry_in_ms },
                        OwnerCommand::Respond { request, response: SubmitResponse::Delivered } =>
                            OwnerFrame::Delivered { request },
                        OwnerCommand::Respond { request, response: SubmitResponse::Failed } =>
                            OwnerFrame::Failed { request },
                    };
                    // If the old process has ended, the end of its frames reports that.
                    let _ = write_frame(&mut writer, &frame).await;
                }
                frame = received.recv() => match frame {
                    Some(OldProcessFrame::CallEnded {
                        number,
                        attempt,
                        target,
                        outcome,
                        completes_message,
                        took,
                        idle_for,
                        retry_after,
                        limit_report,
                    }) => {
                        open_calls.remove(&(number, attempt));
                        let now = Instant::now();
                        events.send(NodeEvent::CallEnded(CallEnd {
                            started_at: now.checked_sub(took).unwrap_or(now),
                            wait_until: retry_after.and_then(|wait| now.checked_add(wait)),
                            idle_for,
                            limit_report,
                            ..CallEnd::new(number, attempt, target, outcome, completes_message)
                        }));
                    }
                    Some(OldProcessFrame::ResponseEnded { number, written }) =>
                        match response_guards.get_mut(&number).and_then(Vec::pop) {
                            Some(mut guard) => guard.written = written,
                            None => {
                                responding.remove(&number);
                                events.send(NodeEvent::ResponseEnded { number, written });
                            }
                        },
                    Some(OldProcessFrame::Submit { request, accepted }) => {
                        let message = Message::from_accepted(accepted, &settings, &clock);
                        let (reply, response) = oneshot::channel();
                        let (message, client) = (Arc::new(message), UNKNOWN_CLIENT);
                        events.send(NodeEvent::Submit { message, client, reply });
                        let command_sender = command_sender.clone();
                        tokio::spawn(async move {
                            if let Ok(response) = response.await {
                                let _ = command_sender.send(OwnerCommand::Respond { request, response });
                            }
                        });
                    }
                    None => break,
                },
            }
        }
        for ((number, attempt), target) in open_calls {
            events.send(NodeEvent::CallEnded(CallEnd::new(number, attempt, target, Outcome::Reset, false)));
        }
        response_guards.into_values().flatten().for_each(|mut guard| guard.written = true);
        responding
            .into_iter()
            .for_each(|number| events.send(NodeEvent::ResponseEnded { number, written: true }));
        drop(reserved_connections);
        log::info!("upgrade: the old process has ended");
        Ok(())
    }
}

async fn write_frame(writer: &mut OwnedWriteHalf, content: &impl Serialize) -> io::Result<()> {
    writer.write_all(&encode_frame(content)?).await
}

/// A process that has handed over: its calls in flight and the connections of its clients.
pub(crate) struct DrainingProcess {
    /// The sender that cancels each call, unless it has been used.
    pub calls: BTreeMap<(u64, u32), Option<oneshot::Sender<()>>>,
    pub metrics: Metrics,
    pub client_stats: ClientStats,
    pub endpoint_counts: EndpointCounts,
    pub events: EventSender,
    pub settings: Arc<DeploymentSettings>,
    pub clock: Clock,
    pub stage: watch::Sender<LifecycleStage>,
    pub connection_limit: ConnectionLimit,
    /// After a signal to terminate: how long until idle connections are closed, and until the process exits at the
    /// latest.
    pub close_idle_after: Duration,
    pub exit_within: Duration,
}

/// Why the process ends.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ExitReason {
    /// Nothing is left to do, or the time limit for terminating has passed.
    Completed,
    /// The successor has ended first: no process owns the write-ahead log.
    SuccessorLost,
}

impl DrainingProcess {
    /// Drains on behalf of the successor until nothing is left to do.
    pub async fn run(
        mut self, stream: UnixStream, mut receiver: UnboundedReceiver<NodeEvent>,
    ) -> io::Result<ExitReason> {
        stream.set_nonblocking(true)?;
        let (mut reader, mut writer) = tokio::net::UnixStream::from_std(stream)?.into_split();
        let (frames, mut received) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(frame) = read_frame::<OwnerFrame>(&mut reader).await {
                if frames.send(frame).is_err() {
                    return;
                }
            }
        });
        let (frame_sender, mut outgoing) = mpsc::unbounded_channel::<OldProcessFrame>();
        let writer_task = tokio::spawn(async move {
            while let Some(frame) = outgoing.recv().await {
                if write_frame(&mut writer, &frame).await.is_err() {
                    return;
                }
            }
        });
        let mut replies: BTreeMap<u64, oneshot::Sender<SubmitResponse>> = BTreeMap::new();
        let mut calls = std::mem::take(&mut self.calls);
        let (mut last_request, mut terminated_at, mut next_check) =
            (0, None, Instant::now() + CHECK_INTERVAL);
        let reason = loop {
            tokio::select! {
                biased;
                Some(event) = receiver.recv() => match event {
                    NodeEvent::Submit { message, reply, .. } => {
                        last_request += 1;
                        replies.insert(last_request, reply);
                        let accepted = message.to_accepted(&self.settings, &self.clock);
                        let _ = frame_sender
                            .send(OldProcessFrame::Submit { request: last_request, accepted });
                    }
                    NodeEvent::Terminate => terminated_at = terminated_at.or(Some(Instant::now())),
                    NodeEvent::CallEnded(end) => {
                        calls.remove(&(end.number, end.attempt));
                        let _ = frame_sender.send(call_ended_frame(end));
                    }
                    other => self.handle_event(other, &frame_sender),
                },
                frame = received.recv() => match frame {
                    Some(OwnerFrame::Cancel { number, attempt }) => {
                        // A call that has just ended reports its own end.
                        let cancel = calls.get_mut(&(number, attempt)).and_then(Option::take);
                        let _ = cancel.map(|cancel| cancel.send(()));
                    }
                    Some(OwnerFrame::Accepted { request, number }) => {
                        // If the client has disconnected, the guard is dropped here and reports that.
                        let response =
                            SubmitResponse::Accepted(ResponseGuard::new(number, self.events.clone()));
                        let _ = replies.remove(&request).map(|reply| reply.send(response));
                    }
                    Some(OwnerFrame::Refused { request, retry_in_ms }) => {
                        let response = SubmitResponse::Refused { retry_in_ms };
                        let _ = replies.remove(&request).map(|reply| reply.send(response));
                    }
                    Some(OwnerFrame::Delivered { request }) => {
                        let _ = replies.remove(&request).map(|reply| reply.send(SubmitResponse::Delivered));
                    }
                    Some(OwnerFrame::Failed { request }) => {
                        let _ = replies.remove(&request).map(|reply| reply.send(SubmitResponse::Failed));
                    }
                    None if terminated_at.is_some() => break ExitReason::Completed,
                    None => break ExitReason::SuccessorLost,
                },
                () = sleep_until(next_check) => {
                    next_check = Instant::now() + CHECK_INTERVAL;
                    let busy = !(calls.is_empty()
                        && replies.is_empty()
                        && self.connection_limit.in_use() == 0);
                    let since_terminate = terminated_at.map_or(Duration::ZERO, |at: Instant| at.elapsed());
                    if !busy || since_terminate >= self.exit_within {
                        break ExitReason::Completed;
                    }
                    if since_terminate >= self.close_idle_after {
                        self.stage.send_replace(LifecycleStage::Closing);
                    }
                }
            }
        };
        log::info!(
            "upgrade: this process ends: {} calls, {} requests and {} client connections left",
            calls.len(),
            replies.len(),
            self.connection_limit.in_use()
        );
        drop(frame_sender);
        let _ = timeout(FINAL_WRITE_TIMEOUT, writer_task).await;
        Ok(reason)
    }

    /// Handles an event that [`DrainingProcess::run`] does not handle itself.
    fn handle_event(&mut self, event: NodeEvent, frame_sender: &UnboundedSender<OldProcessFrame>) {
        // If the successor has ended, `run` notices that by the end of its frames.
        match event {
            NodeEvent::ResponseEnded { number, written } => {
                let _ = frame_sender.send(OldProcessFrame::ResponseEnded { number, written });
            }
            NodeEvent::MessageWritten { class } => self.metrics.record_attempt(class),
            NodeEvent::RefusedLate { class } => self.metrics.record_result(class, MessageResult::Shed),
            NodeEvent::Admin { request, reply } => {
                let _ = reply.send(match request {
                    AdminRequest::Metrics => AdminResponse::new(
                        StatusCode::OK,
                        self.metrics.render(
                            0,
                            self.endpoint_counts,
                            MemoryUsage::read(),
                            self.client_stats.totals(),
                        ),
                    ),
                    _ => {
                        AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "a new version has taken over\n")
                    }
                });
            }
            // The successor watches the endpoint list, sends the notices and reads the configuration.
            _ => {}
        }
    }
}

/// The frame that reports the end of a call. The connection of the call is dropped, which closes it.
fn call_ended_frame(end: CallEnd) -> OldProcessFrame {
    OldProcessFrame::CallEnded {
        number: end.number,
        attempt: end.attempt,
        target: end.target,
        outcome: end.outcome,
        completes_message: end.completes_message,
        took: end.started_at.elapsed(),
        idle_for: end.idle_for,
        retry_after: end.wait_until.map(|until| until.saturating_duration_since(Instant::now())),
        limit_report: end.limit_report,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::client_stats::ClientTotals;
    use crate::events;
    use serde_json::json;

    /// Guards against uncounted refusals: the old process itself refuses a request that has waited too long, so the
    /// successor does not count it.
    #[test]
    fn a_draining_process_counts_its_refusals() {
        let classes = json!([{"name": "note", "aim": 1, "deadline": 2}]);
        let settings = json!({"balancers": 1, "categories": classes, "limits": {}});
        let settings: Arc<DeploymentSettings> = Arc::new(serde_json::from_value(settings).unwrap());
        let mut process = DrainingProcess {
            calls: BTreeMap::new(),
            metrics: Metrics::new(&settings.class_names),
            client_stats: ClientStats::default(),
            endpoint_counts: EndpointCounts::default(),
            events: events::channel().0,
            settings,
            clock: Clock::new(),
            stage: watch::Sender::new(LifecycleStage::HandedOver),
            connection_limit: ConnectionLimit::new(1),
            close_idle_after: Duration::ZERO,
            exit_within: Duration::ZERO,
        };
        process.handle_event(NodeEvent::RefusedLate { class: 0 }, &mpsc::unbounded_channel().0);
        let text = process.metrics.render(
            0,
            process.endpoint_counts,
            MemoryUsage::default(),
            ClientTotals::default(),
        );
        assert!(text.contains("responses.note.shed=1"), "{text}");
    }
}
