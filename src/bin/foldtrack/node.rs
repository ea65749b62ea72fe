//! The node: the main loop of a forwarder, which owns all its state, that is, the delivery policy, the accepted
//! messages and the write-ahead log. Other tasks report to it by [`NodeEvent`]s; it executes the actions of
//! the policy in the order given.
//!
//! One iteration of this loop is a round. A turn, by contrast, is one pass of the runtime's event loop over all
//! tasks that are ready, of which the node is one.

use crate::accept_loop;
use crate::admin_server;
use crate::admission::AdmissionLimiter;
use crate::body_memory::BodyMemory;
use crate::calls::{self, Call, IdleConnectionPool};
use crate::client_server::{self, ServerContext};
use crate::client_stats::ClientStats;
use crate::clock::Clock;
use crate::config::Config;
use crate::connection_limit::ConnectionLimit;
use crate::disabled_endpoints::{self, DisabledEndpoints};
use crate::discovery_client;
use crate::draining::ExitReason;
use crate::endpoint_list_cache::{self, EndpointListCache};
use crate::events::{
    AdminRequest, AdminResponse, CallEnd, EventSender, LifecycleStage, NodeEvent, ResponseGuard,
    SubmitResponse,
};
use crate::hot_restart::{self, LogLock};
use crate::interval_stats::{Gauges, IntervalStats, RecoveryStats, RefusalReason};
use crate::memory_plan::MemoryPlan;
use crate::memory_usage::MemoryUsage;
use crate::message::{order_key_hash, Message};
use crate::metrics::{MessageResult, Metrics};
use crate::notice_queue::NoticeQueue;
use crate::overload::OverloadMonitor;
use crate::report_client::{ReportClient, ReportEnd};
use crate::unread_responses::UnreadResponses;
use crate::write_ahead_log::{
    self, ExecutionStatus, LogRecord, NonDeliveryNotice, RecordedEnd, RestoredLog, RestoredMessage,
    WriteAheadLog, ENDED_REQUESTS_DIVISOR,
};
use hatchline::discovery::list::{ServerList, ServerState};
use hatchline::settings::DeploymentSettings;
use hatchline::{
    Action, ClientId, DeliveryPolicy, EndedRequest, Endpoint, EndpointState, Event, ListKind, Micros,
    Outcome, PreviousRequest, RequestEnd, RequestHistory, TargetId, UNKNOWN_CLIENT,
};
use hyper::StatusCode;
use serde_json::json;
use startup::ClientSocket;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

mod acceptance;
mod attempts;
mod notices;
mod operators;
mod startup;
mod takeover;

/// Upper bound on the events that one round handles.
const MAX_EVENTS_PER_ROUND: usize = 1024;
/// After SIGTERM: how long new connections are still accepted, and how long until the process exits at the
/// latest.
const ACCEPT_AFTER_TERMINATE: Duration = Duration::from_millis(500);
const TERMINATE_TIMEOUT: Duration = Duration::from_millis(3300);
/// A send that has been pending for longer than this is returned to the policy, which decides again.
const MAX_PENDING_SEND_AGE: Micros = 50_000;
/// Upper bound on the delay of a timer: the runtime's timers fire up to 2 ms late, by their own granularity
/// and that of the system call that waits; the rest leaves time to write the result. A message that is handed
/// back even slightly after its deadline counts as unanswered.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(3);
/// How long startup waits for the first endpoint list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of the periodic maintenance, which closes expired idle connections and prints the interval log
/// line.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// How far the acceptance of a message has come.
enum Acceptance {
    /// The client has no response yet, and the policy may still refuse the message. If the request has come again
    /// meanwhile, each time waits for a response.
    Undecided(Vec<oneshot::Sender<SubmitResponse>>),
    /// The response is being written.
    Responding,
    /// A response has been written.
    Accepted,
}

/// A send that the policy has decided on and that has not been started.
struct PendingSend {
    /// Number of the attempt, from 0.
    attempt: u32,
    target: TargetId,
    /// When the attempt times out.
    until: Micros,
    decided_at: Micros,
}

/// A message that is held until it is delivered or ends undelivered.
struct HeldMessage {
    message: Arc<Message>,
    /// The connection on which it arrived.
    client: ClientId,
    acceptance: Acceptance,
    /// Responses that are being written.
    pending_responses: u32,
    /// Attempts that the policy has decided on so far.
    attempts: u32,
    /// A send that the policy has decided on but that may not start yet: see [`Node::start_pending_send`].
    pending_send: Option<PendingSend>,
}

/// The notice of a message that ended undelivered. The message is completed once discovery has acknowledged
/// the notice.
struct PendingNotice {
    /// Id that the client gave the message.
    id: String,
    order_key: u64,
    expires_at: Micros,
    notice: NonDeliveryNotice,
    /// A response that accepts the message has been written.
    accepted: bool,
    /// Responses that are being written.
    pending_responses: u32,
}

/// How the request of a message with this notice has ended.
fn request_end(notice: NonDeliveryNotice) -> RequestEnd {
    match notice {
        NonDeliveryNotice::GivenUp => RequestEnd::GivenUp,
        NonDeliveryNotice::HandedBack { retry_in_ms } => RequestEnd::HandedBack { retry_in_ms },
    }
}

/// A call in flight.
struct InFlightCall {
    target: TargetId,
    /// Cancels the call; `None` once used.
    cancel: Option<oneshot::Sender<()>>,
    /// The start of the attempt has been recorded: from then on it may have run.
    started: bool,
}

/// An endpoint of the current list or of an earlier one.
struct KnownEndpoint {
    address: SocketAddr,
    zone: u32,
    /// Connection generation: counts how often operators have disabled or enabled the endpoint. Connections of
    /// an older generation are not reused.
    generation: u32,
}

/// State of the node.
struct Node {
    clock: Clock,
    policy: DeliveryPolicy,
    settings: Arc<DeploymentSettings>,
    write_ahead_log: WriteAheadLog,
    request_history: RequestHistory,
    events: EventSender,
    discovery_address: watch::Sender<SocketAddr>,
    /// Number of the next message. Numbers grow in the order of arrival.
    next_number: u64,
    /// Messages that are accepted or may still be, by message number.
    messages: BTreeMap<u64, HeldMessage>,
    /// Messages submitted in this round whose clients still wait for a response.
    undecided: Vec<u64>,
    /// Bytes of the write-ahead log that those may take up, which has no records of them yet.
    undecided_log_bytes: usize,
    /// Messages with a pending send that has to wait.
    waiting_sends: BTreeSet<u64>,
    /// Undelivered messages whose notices are not acknowledged yet, and those of them that are to be sent.
    pending_notices: BTreeMap<u64, PendingNotice>,
    notice_queue: NoticeQueue,
    report_client: ReportClient,
    /// By message number and attempt.
    calls: BTreeMap<(u64, u32), InFlightCall>,
    idle_connections: IdleConnectionPool,
    last_maintenance: Instant,
    interval_stats: IntervalStats,
    recovery_stats: RecoveryStats,
    metrics: Metrics,
    disabled_endpoints: DisabledEndpoints,
    endpoint_list_cache: EndpointListCache,
    /// Whether startup is complete, so that client connections are accepted.
    accepting: bool,
    /// Target ids by endpoint name, and endpoints by target id.
    target_ids: HashMap<String, TargetId>,
    endpoints: Vec<KnownEndpoint>,
    /// Due time and token of each timer of the policy.
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<LifecycleStage>,
    /// When the process was told to end.
    terminated_at: Option<Instant>,
    /// The lock of the write-ahead log and the listener for clients, which a successor takes over.
    lock: Option<LogLock>,
    listener: Option<OwnedFd>,
    /// Connection of a process that has asked to take over in this round.
    successor: Option<UnixStream>,
    connection_limit: ConnectionLimit,
    unread_responses: UnreadResponses,
    client_stats: ClientStats,
    body_memory: BodyMemory,
    /// Memory that the process may take up, in bytes.
    memory_limit: u64,
    overload: OverloadMonitor,
    /// Actions that the policy has requested in this round.
    actions: Vec<Action>,
}

/// Takes over from a running process, or restores the state from the write-ahead log. Then runs the loop
/// until the process is told to end or has handed over to a successor and has nothing left to do.
pub(crate) async fn run(
    mut config: Config, events: EventSender, mut receiver: UnboundedReceiver<NodeEvent>,
) -> io::Result<ExitReason> {
    if let Some(address) = config.admin_address {
        tokio::spawn(admin_server::serve(address, events.clone()));
    }
    let (format, socket_path) = (
        hot_restart::state_format(&config.settings),
        hot_restart::takeover_socket_path(&config.state_directory),
    );
    let (mut node, socket) = startup::start(&mut config, &events, &socket_path, &format).await?;
    let max_list_bytes = MemoryPlan::new(config.memory_bytes).list_bytes;
    let discovery_client =
        discovery_client::build_client(&node.settings.settings, max_list_bytes, events.clone());
    let discovery_task = tokio::spawn(
        discovery_client.run(node.discovery_address.subscribe(), config.known_endpoints.known_version()),
    );
    let mut batch = Vec::new();
    if matches!(socket, ClientSocket::Bound(_)) {
        // The configured list may be outdated: restored messages could be sent to an endpoint that had been
        // draining before the restart. Discovery responds at once unless it is down.
        if let Ok(Some(first)) = timeout(FIRST_LIST_TIMEOUT, receiver.recv()).await {
            batch.push(first);
        }
    }
    let listener = socket.listen()?;
    node.listener = Some(listener.as_fd().try_clone_to_owned()?);
    let (settings, clock, stage) = (node.settings.clone(), node.clock, node.stage.subscribe());
    let (overload, read_limiter) =
        (node.overload.clone(), AdmissionLimiter::new(client_server::READS_PER_TURN));
    let (unread_responses, client_stats) = (node.unread_responses.clone(), node.client_stats.clone());
    let body_memory = node.body_memory.clone();
    let context = ServerContext {
        settings,
        clock,
        events: events.clone(),
        stage,
        overload,
        read_limiter,
        unread_responses,
        client_stats,
        body_memory,
    };
    let accept_task =
        tokio::spawn(accept_loop::serve(listener, Arc::new(context), node.connection_limit.clone()));
    node.accepting = true;
    let successor_listener = hot_restart::listen_for_successors(&socket_path, format, events);
    if let Err(error) = &successor_listener {
        log::warn!("upgrade: no successor can take over while this process runs: {error}");
    }
    while !node.may_exit(accept_task.is_finished()) {
        node.run_round(&mut batch);
        if let Some(successor) = node.successor.take() {
            match node.offer_takeover(&successor) {
                Ok(()) => {
                    log::info!("upgrade: a new version has taken over");
                    discovery_task.abort();
                    successor_listener.iter().for_each(JoinHandle::abort);
                    return node.into_draining_process().run(successor, receiver).await;
                }
                Err(error) => log::warn!("upgrade: the successor could not take over: {error}"),
            }
        }
        let wake = node.next_wake();
        tokio::select! {
            biased;
            // Polled first, since this writes the notices that the round has issued.
            end = node.report_client.next_end() => batch.push(NodeEvent::ReportEnded(end)),
            _ = receiver.recv_many(&mut batch, MAX_EVENTS_PER_ROUND) => {}
            () = sleep_until(wake) => {}
        }
        node.overload.record_delay(wake.elapsed());
    }
    node.log_shutdown("this process ends");
    Ok(ExitReason::Completed)
}

impl Node {
    /// Creates a node without messages and opens its files. Also returns the messages that the write-ahead log
    /// contains.
    fn new(
        config: &Config, events: &EventSender, clock: Clock, policy: DeliveryPolicy,
    ) -> io::Result<(Node, BTreeMap<u64, RestoredMessage>)> {
        let settings = &config.settings.settings;
        let memory = MemoryPlan::new(config.memory_bytes);
        let max_log_bytes = config.disk_bytes.saturating_sub(
            disabled_endpoints::RESERVED_BYTES
                + endpoint_list_cache::reserved_bytes(&config.known_endpoints)
                + write_ahead_log::MARKER_FILE_BYTES,
        );
        let max_log_bytes = max_log_bytes.min(memory.write_ahead_log_bytes);
        let (write_ahead_log, restored) =
            WriteAheadLog::open(&config.state_directory, max_log_bytes, settings.max_attempts)?;
        let next_number = restored.next_number();
        let RestoredLog { messages: restored, ended } = restored;
        let discovery_address = watch::Sender::new(config.discovery_address);
        let idle_timeout = Duration::from_micros(settings.connection_idle_timeout);
        let mut node = Node {
            clock,
            policy,
            settings: config.settings.clone(),
            write_ahead_log,
            events: events.clone(),
            report_client: ReportClient::new(discovery_address.subscribe()),
            discovery_address,
            next_number,
            request_history: RequestHistory::new((max_log_bytes / ENDED_REQUESTS_DIVISOR) as usize),
            messages: BTreeMap::new(),
            undecided: Vec::new(),
            undecided_log_bytes: 0,
            waiting_sends: BTreeSet::new(),
            pending_notices: BTreeMap::new(),
            notice_queue: NoticeQueue::default(),
            calls: BTreeMap::new(),
            idle_connections: IdleConnectionPool::new(
                idle_timeout,
                memory.idle_connections.min(config.max_sockets / 4),
            ),
            last_maintenance: Instant::now(),
            interval_stats: IntervalStats::default(),
            recovery_stats: RecoveryStats::default(),
            metrics: Metrics::new(&config.settings.class_names),
            disabled_endpoints: DisabledEndpoints::open(&config.state_directory)?,
            endpoint_list_cache: EndpointListCache::new(&config.state_directory, &config.known_endpoints),
            accepting: false,
            target_ids: HashMap::new(),
            endpoints: Vec::new(),
            timers: BTreeSet::new(),
            stage: watch::Sender::new(LifecycleStage::Serving),
            terminated_at: None,
            lock: None,
            listener: None,
            successor: None,
            connection_limit: ConnectionLimit::new(memory.client_connections.min(config.max_sockets / 2)),
            unread_responses: UnreadResponses::default(),
            client_stats: ClientStats::default(),
            body_memory: BodyMemory::new(memory.body_bytes),
            memory_limit: config.memory_bytes,
            overload: OverloadMonitor::default(),
            actions: Vec::new(),
        };
        for (number, RecordedEnd { id, expires_at, end }) in ended {
            let deadline = clock.micros_at_unix(expires_at);
            let ended = EndedRequest { client: UNKNOWN_CLIENT, message: number, deadline, end };
            node.record_request_end(&id, ended);
        }
        Ok((node, restored))
    }

    /// Restores the state from the write-ahead log.
    fn restore_from_log(config: &Config, events: &EventSender, lock: LogLock) -> io::Result<Node> {
        let clock = Clock::new();
        let policy = DeliveryPolicy::new(clock.now(), config.seed, config.settings.settings.clone());
        let (mut node, restored) = Node::new(config, events, clock, policy)?;
        node.lock = Some(lock);
        node.update_endpoints(config.known_endpoints.clone(), ListKind::Cached);
        node.recovery_stats = RecoveryStats::new(node.next_number, clock.now());
        for (number, message) in restored {
            node.restore_message(number, message);
        }
        Ok(node)
    }
}

impl Node {
    /// Handles all events of this round, lets the policy decide once, and executes its actions.
    fn run_round(&mut self, batch: &mut Vec<NodeEvent>) {
        let round_started = self.clock.now();
        self.notify_policy(Event::ProcessingLag {
            lag: (self.overload.event_loop_lag() + MAX_TIMER_DELAY).as_micros() as Micros,
        });
        for event in batch.drain(..) {
            self.handle_event(event);
        }
        self.expire_pending_sends();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.notify_policy(Event::Timer { token });
        }
        self.policy.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.execute(action);
        }
        self.respond_to_clients();
        self.send_notices();
        self.advance_shutdown();
        self.overload.measure_turn();
        let took = self.clock.now() - round_started;
        self.overload.record_delay(Duration::from_micros(took));
        self.interval_stats.longest_round = self.interval_stats.longest_round.max(took);
        if self.last_maintenance.elapsed() > MAINTENANCE_INTERVAL {
            self.last_maintenance = Instant::now();
            self.maintain();
        }
    }

    /// Forgets what is over, and prints the interval log line.
    fn maintain(&mut self) {
        self.idle_connections.evict_expired();
        for number in self.request_history.expire(self.clock.now()) {
            self.write_ahead_log.forget_ended(number);
        }
        let line = self.interval_stats.take_line(&Gauges {
            recovery: self.recovery_stats,
            held_messages: self.messages.len(),
            pending_sends: self.messages.values().filter(|held| held.pending_send.is_some()).count(),
            calls_in_flight: self.calls.len(),
            idle_connections: self.idle_connections.count(),
            pending_notices: self.pending_notices.len(),
            event_loop_lag: self.overload.event_loop_lag(),
            client_connections: self.connection_limit.in_use(),
            unread_responses: self.unread_responses.count(),
            no_free_connection_for: self.connection_limit.exhausted_for(),
            memory: MemoryUsage::read(),
            memory_limit: self.memory_limit,
            body_bytes: self.body_memory.reserved(),
            client_stats: self.client_stats.take_text(),
        });
        line.into_iter().for_each(|line| log::info!("{line}"));
    }

    fn notify_policy(&mut self, event: Event) {
        self.policy.handle(self.clock.now(), event, &mut self.actions);
    }

    fn handle_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Submit { message, client, reply } => self.submit(message, client, reply),
            NodeEvent::ResponseEnded { number, written } => self.response_ended(number, written),
            NodeEvent::RefusedLate { class } => {
                self.interval_stats.refused_late += 1;
                self.metrics.record_result(class, MessageResult::Shed);
            }
            NodeEvent::ConnectionRefused => self.interval_stats.connections_refused += 1,
            NodeEvent::ResponseUnread => self.interval_stats.closed_unread += 1,
            NodeEvent::CallEnded(end) => self.call_ended(end),
            NodeEvent::List { list, handled } => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.endpoint_list_cache.update(&list, |more| self.write_ahead_log.release_space(more));
                self.update_endpoints(list, kind);
                drop(handled);
            }
            NodeEvent::ReportEnded(end) => self.report_ended(end),
            NodeEvent::Connected { number, attempt, target, proceed } => {
                let may_send = self.policy.may_still_send(self.clock.now(), number, target);
                let _ = proceed.send(may_send && self.log_attempt_start(number, attempt));
            }
            NodeEvent::MessageWritten { class } => self.metrics.record_attempt(class),
            // The admin server has stopped waiting and has responded with 503.
            NodeEvent::Admin { reply, .. } if reply.is_closed() => {}
            NodeEvent::Admin { request, reply } => {
                let _ = reply.send(self.handle_admin_request(request));
            }
            NodeEvent::DiscoveryAddress(address) => {
                log::info!("discovery: address changed to {address}");
                self.discovery_address.send_replace(address);
            }
            NodeEvent::Successor(stream) => self.successor = Some(stream),
            NodeEvent::Terminate => {
                if self.terminated_at.is_none() {
                    log::info!("foldtrack: told to terminate");
                    self.terminated_at = Some(Instant::now());
                    self.stage.send_replace(LifecycleStage::Draining);
                    let exit_at = self.clock.now() + TERMINATE_TIMEOUT.as_micros() as Micros;
                    self.notify_policy(Event::Shutdown { at: exit_at });
                }
            }
        }
    }

    /// Restores one message from the write-ahead log.
    fn restore_message(&mut self, number: u64, restored: RestoredMessage) {
        let RestoredMessage { accepted, attempts, notice } = restored;
        if let Some(notice) = notice {
            let pending = PendingNotice {
                order_key: order_key_hash(&accepted.order_key),
                expires_at: self.clock.micros_at_unix(accepted.expires_at),
                id: accepted.id,
                notice,
                accepted: true,
                pending_responses: 0,
            };
            let (deadline, end) = (pending.expires_at, request_end(notice));
            let ended = EndedRequest { client: UNKNOWN_CLIENT, message: number, deadline, end };
            self.record_request_end(&pending.id, ended);
            self.pending_notices.insert(number, pending);
            self.notice_queue.push(number);
            return;
        }
        let message = Message::from_accepted(accepted, &self.settings, &self.clock);
        let class = message.class;
        let (order_key, destination, expires) =
            (message.order_key_hash(), message.destination, message.expires_at);
        self.request_history.hold(&message.id, number);
        let held = HeldMessage {
            message: Arc::new(message),
            client: UNKNOWN_CLIENT,
            acceptance: Acceptance::Accepted,
            pending_responses: 0,
            attempts: attempts.len() as u32,
            pending_send: None,
        };
        self.recovery_stats.record_restored(expires, held.attempts);
        self.messages.insert(number, held);
        if class >= self.settings.class_names.len() {
            // The settings have changed since and no longer name its class, so its guarantees are unknown.
            return self.end_undelivered(number, NonDeliveryNotice::GivenUp);
        }
        let first = attempts.iter().find(|attempt| attempt.execution != Some(ExecutionStatus::NeverRan));
        let first_run = first.map(|attempt| (self.clock.micros_at_unix(attempt.started_at), attempt.zone));
        let outcome = |execution| match execution {
            Some(ExecutionStatus::NeverRan) => Outcome::NotSent,
            Some(ExecutionStatus::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|attempt| outcome(attempt.execution)).collect();
        let class = class as u32;
        self.notify_policy(Event::Restored {
            id: number,
            class,
            destination,
            order_key,
            expires,
            attempts,
            first_run,
        });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided_at) = (held.attempts, self.clock.now());
                held.pending_send = Some(PendingSend { attempt, target, until, decided_at });
                held.attempts += 1;
                self.start_pending_send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(call) = self.calls.get_mut(&(id, attempt)) {
                    // A call that has just ended reports its own outcome.
                    let _ = call.cancel.take().map(|cancel| cancel.send(()));
                } else if let Some(PendingSend { target, .. }) =
                    self.messages.get_mut(&id).and_then(|held| held.pending_send.take())
                {
                    self.notify_outcome(id, attempt, target, Outcome::NotSent, false);
                }
            }
            Action::Refuse { id, retry_after } => self.end_undelivered(
                id,
                NonDeliveryNotice::HandedBack { retry_in_ms: retry_after.div_ceil(1000) },
            ),
            Action::Fail { id } => self.end_undelivered(id, NonDeliveryNotice::GivenUp),
            Action::Timer { after, token } => drop(self.timers.insert((self.clock.now() + after, token))),
            Action::CloseIdle { target } => self.idle_connections.close(target),
            Action::Log { text } => log::info!("{text}"),
            // The discovery client watches the list all the time; this deployment has no probes and no
            // messages between replicas.
            Action::Subscribe { .. } | Action::FetchList | Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    /// Appends a record whose loss can be tolerated: an error is only logged. Without the record, a restart
    /// assumes that an attempt may have run where it did not.
    fn append_record(&mut self, number: u64, record: &LogRecord) {
        if let Err(error) = self.write_ahead_log.append(number, record) {
            log::warn!("journal: cannot write a record: {error}");
        }
    }

    /// Appends the completion of a message, and how its request has ended if that is still remembered: the history tells
    /// when the record is to be forgotten. An error is only logged: without the record, a restart sends the message again
    /// as far as that is safe.
    fn append_completion(&mut self, number: u64, id: String, expires_at: Micros, end: RequestEnd) {
        if !self.request_history.remembers_end(&id, number) {
            return self.append_record(number, &LogRecord::Completed);
        }
        let expires_at = self.clock.unix_micros_at(expires_at);
        if let Err(error) =
            self.write_ahead_log.append_completion(number, RecordedEnd { id, expires_at, end })
        {
            log::warn!("journal: cannot write a record: {error}");
        }
    }

    /// Moves a process that was told to end to the next stage of its shutdown.
    fn advance_shutdown(&mut self) {
        let closing = self.terminated_at.is_some_and(|at| at.elapsed() >= ACCEPT_AFTER_TERMINATE);
        if closing && *self.stage.borrow() == LifecycleStage::Draining {
            self.stage.send_replace(LifecycleStage::Closing);
            self.log_shutdown("no connection is accepted any more");
            // While the listener is open, the kernel would queue connections that nobody accepts.
            self.listener = None;
        }
    }

    /// Logs a step of the shutdown, and what is left at that time.
    fn log_shutdown(&self, step: &str) {
        log::info!(
            "foldtrack: {step}: {} client connections, {} messages, {} calls and {} notices left",
            self.connection_limit.in_use(),
            self.messages.len(),
            self.calls.len(),
            self.pending_notices.len()
        );
    }

    /// Whether the process, once told to end, may exit: no message, call or notice is left, no client
    /// connection is open or waits to be accepted, or [`TERMINATE_TIMEOUT`] has passed.
    fn may_exit(&self, accept_loop_ended: bool) -> bool {
        let Some(at) = self.terminated_at else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.pending_notices.is_empty();
        let idle = idle && accept_loop_ended && self.connection_limit.in_use() == 0;
        at.elapsed() >= TERMINATE_TIMEOUT || idle && at.elapsed() >= 2 * ACCEPT_AFTER_TERMINATE
    }

    /// When the next round is due at the latest: at the next timer, refused notice or step of the shutdown, or for the
    /// periodic maintenance if there is none.
    fn next_wake(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| self.clock.instant_at(*at));
        let stop = self.terminated_at.map(|at| {
            let steps =
                [at + ACCEPT_AFTER_TERMINATE, at + 2 * ACCEPT_AFTER_TERMINATE, at + TERMINATE_TIMEOUT];
            steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at)
        });
        // Without capacity the end of a report comes first.
        let notice = self.notice_queue.next_retry_at().filter(|_| self.report_client.has_capacity());
        [timer, stop, notice]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or_else(|| Instant::now() + MAINTENANCE_INTERVAL)
    }
}

#[cfg(test)]
#[path = "node_tests.rs"]
mod tests;
