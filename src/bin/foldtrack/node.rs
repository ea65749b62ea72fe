//! The loop that owns all state: the module, the messages and the journal. What sockets and timers tell
//! comes in as [`NodeEvent`]s; what the module decides goes out, in its order.

use crate::admin_server;
use crate::admission::Turnstile;
use crate::calls::{self, Call, IdleConnectionPool};
use crate::client_server::{self, Desk};
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
use crate::hot_restart::{self, LogLock, StartMode};
use crate::interval_stats::{Standing, Tally, Untried};
use crate::message::{order_key_hash, Message};
use crate::metrics::{MessageResult, Metrics};
use crate::overload::OverloadMonitor;
use crate::report_client::ReportClient;
use crate::write_ahead_log::{ExecutionStatus, LogRecord, NonDeliveryNotice, RestoredMessage, WriteAheadLog};
use hatchline::discovery::list::{ServerList, ServerState};
use hatchline::settings::DeploymentSettings;
use hatchline::{
    Action, DeliveryPolicy, Endpoint, EndpointState, Event, ListKind, Micros, Outcome, TargetId,
};
use hyper::StatusCode;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

mod takeover;

/// Inputs that one round takes in at most.
const ROUND: usize = 1024;
/// After SIGTERM: how long connections are still accepted, and by when the process has ended.
const ACCEPT_AFTER_TERMINATE: Duration = Duration::from_millis(500);
const TERMINATE_TIMEOUT: Duration = Duration::from_millis(3300);
/// Notices in one report.
const NOTICES: usize = 64;
/// A send that has waited for longer than this is decided anew.
const STALE_SEND: Micros = 50_000;
/// The runtime's timers come up to 2 ms late, by their own step and that of the wait below them; the rest is for the end
/// to be written. What is handed back once its time is over, by whatever little, is no answer.
const TIMER_STEP: Duration = Duration::from_millis(3);
/// How long the start waits for the list.
const FIRST_LIST: Duration = Duration::from_millis(250);
const SWEEP: Duration = Duration::from_secs(1);

/// How far the client has been told that its message is taken on.
enum Acceptance {
    /// Not at all: the module may refuse it yet.
    Undecided(oneshot::Sender<SubmitResponse>),
    /// The answer is on its way.
    Responding,
    /// Told.
    Accepted,
}

/// A send that the module has decided on.
struct PendingSend {
    attempt: u32,
    target: TargetId,
    until: Micros,
    decided_at: Micros,
}

struct HeldMessage {
    message: Arc<Message>,
    acceptance: Acceptance,
    attempts: u32,
    /// A send that the module has decided on, but that must not go yet: see [`Node::send`].
    pending_send: Option<PendingSend>,
}

/// A message that ends by a notice; it is over once that is answered.
struct Ending {
    id: String,
    order_key: u64,
    notice: NonDeliveryNotice,
}

/// A call that is out.
struct InFlightCall {
    target: TargetId,
    /// What calls it off, unless it has been.
    cancel: Option<oneshot::Sender<()>>,
    /// It stands in the journal: from then on it may have run.
    started: bool,
}

struct KnownEndpoint {
    address: SocketAddr,
    zone: u32,
    /// Grows when an operator takes it out or puts it back: connections of an older one are not used again.
    generation: u32,
}

struct Node {
    clock: Clock,
    policy: DeliveryPolicy,
    settings: Arc<DeploymentSettings>,
    journal: WriteAheadLog,
    events: EventSender,
    discovery: watch::Sender<SocketAddr>,
    next_number: u64,
    /// What is taken on, or may be, by number in the order of arrival.
    messages: BTreeMap<u64, HeldMessage>,
    /// Those of this round whose clients wait for an answer.
    fresh: Vec<u64>,
    /// Ends that the platform has not taken yet, and which of them are to be sent now.
    notices: BTreeMap<u64, Ending>,
    unsent: BTreeSet<u64>,
    reports: ReportClient,
    /// By message and attempt.
    calls: BTreeMap<(u64, u32), InFlightCall>,
    idle: IdleConnectionPool,
    swept: Instant,
    tally: Tally,
    untried: Untried,
    metrics: Metrics,
    taken_out: DisabledEndpoints,
    last_list: EndpointListCache,
    /// Clients are accepted.
    accepting: bool,
    target_ids: HashMap<String, TargetId>,
    endpoints: Vec<KnownEndpoint>,
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<LifecycleStage>,
    terminated_at: Option<Instant>,
    /// Who owns all this, and what clients are accepted from, to be handed to a successor.
    lock: Option<LogLock>,
    listener: Option<OwnedFd>,
    successor: Option<UnixStream>,
    connection_limit: ConnectionLimit,
    overload: OverloadMonitor,
    actions: Vec<Action>,
}

/// Takes over from the process that runs, or restores what the journal holds; then serves until it is told to end,
/// or has handed over and has nothing left to do.
pub(crate) async fn run(
    config: Config, events: EventSender, mut receiver: UnboundedReceiver<NodeEvent>,
) -> io::Result<ExitReason> {
    if let Some(address) = config.admin_address {
        tokio::spawn(admin_server::serve(address, events.clone()));
    }
    let (format, meeting) = (
        hot_restart::state_format(&config.settings),
        hot_restart::takeover_socket_path(&config.state_directory),
    );
    let (mut node, listener) = loop {
        match hot_restart::acquire_ownership(&config.state_directory, &meeting, &format).await? {
            StartMode::ColdStart(lock) => break (Node::restored(&config, &events, lock)?, None),
            StartMode::Takeover(offer) => match Node::take_over(&config, &events, *offer) {
                Ok((node, listener)) => break (node, Some(listener)),
                Err(error) => eprintln!("upgrade: nothing was handed over: {error}"),
            },
        }
    };
    let discovery_client = discovery_client::build_client(&node.settings.settings, events.clone());
    let watching = tokio::spawn(
        discovery_client.run(node.discovery.subscribe(), config.known_endpoints.known_version()),
    );
    let mut batch = Vec::new();
    let listener = match listener {
        Some(listener) => TcpListener::from_std(listener)?,
        None => {
            // What the configuration knows may be old: a target that this forwarder was told of as drained, before
            // it restarted, would get what it held. The agent answers at once, or discovery is down.
            if let Ok(Some(first)) = timeout(FIRST_LIST, receiver.recv()).await {
                batch.push(first);
            }
            TcpListener::bind(config.listen_address).await?
        }
    };
    node.listener = Some(listener.as_fd().try_clone_to_owned()?);
    let (settings, clock, stage) = (node.settings.clone(), node.clock, node.stage.subscribe());
    let (strain, stile) = (node.overload.clone(), Turnstile::new(client_server::READ_IN_A_TURN));
    let desk = Desk { settings, clock, events: events.clone(), stage, strain, stile };
    let accepting =
        tokio::spawn(client_server::serve(listener, Arc::new(desk), node.connection_limit.clone()));
    node.accepting = true;
    let meeting = hot_restart::listen_for_successors(&meeting, format, events);
    if let Err(error) = &meeting {
        eprintln!("upgrade: no successor can take over while this process runs: {error}");
    }
    while !node.has_ended(accepting.is_finished()) {
        node.round(&mut batch);
        if let Some(successor) = node.successor.take() {
            match node.offer_takeover(&successor) {
                Ok(()) => {
                    eprintln!("upgrade: a new version has taken over");
                    watching.abort();
                    meeting.iter().for_each(JoinHandle::abort);
                    return node.into_draining_process().run(successor, receiver).await;
                }
                Err(error) => eprintln!("upgrade: nothing was handed over: {error}"),
            }
        }
        let wake = node.wake_at();
        tokio::select! {
            biased;
            // First, since this writes what the round has decided.
            numbers = node.reports.acknowledged() => batch.push(NodeEvent::NoticesAcknowledged { numbers }),
            _ = receiver.recv_many(&mut batch, ROUND) => {}
            () = sleep_until(wake) => {}
        }
        node.overload.record_delay(wake.elapsed());
    }
    Ok(ExitReason::Completed)
}

impl Node {
    fn new(
        config: &Config, events: &EventSender, clock: Clock, policy: DeliveryPolicy,
    ) -> io::Result<(Node, BTreeMap<u64, RestoredMessage>)> {
        let settings = &config.settings.settings;
        let room = config.disk_bytes.saturating_sub(
            disabled_endpoints::RESERVED_BYTES + endpoint_list_cache::reserved_bytes(&config.known_endpoints),
        );
        let (journal, restored) = WriteAheadLog::open(&config.state_directory, room, settings.max_attempts)?;
        let discovery = watch::Sender::new(config.discovery_address);
        let conn_idle = Duration::from_micros(settings.connection_idle_timeout);
        let node = Node {
            clock,
            policy,
            settings: config.settings.clone(),
            journal,
            events: events.clone(),
            reports: ReportClient::new(discovery.subscribe()),
            discovery,
            next_number: restored.last_key_value().map_or(1, |(number, _)| number + 1),
            messages: BTreeMap::new(),
            fresh: Vec::new(),
            notices: BTreeMap::new(),
            unsent: BTreeSet::new(),
            calls: BTreeMap::new(),
            idle: IdleConnectionPool::new(conn_idle, config.max_sockets / 4),
            swept: Instant::now(),
            tally: Tally::default(),
            untried: Untried::default(),
            metrics: Metrics::new(&config.settings.class_names),
            taken_out: DisabledEndpoints::open(&config.state_directory)?,
            last_list: EndpointListCache::open(&config.state_directory, &config.known_endpoints),
            accepting: false,
            target_ids: HashMap::new(),
            endpoints: Vec::new(),
            timers: BTreeSet::new(),
            stage: watch::Sender::new(LifecycleStage::Serving),
            terminated_at: None,
            lock: None,
            listener: None,
            successor: None,
            connection_limit: ConnectionLimit::new(config.max_sockets / 2),
            overload: OverloadMonitor::default(),
            actions: Vec::new(),
        };
        Ok((node, restored))
    }

    /// Goes on from what the journal holds.
    fn restored(config: &Config, events: &EventSender, lock: LogLock) -> io::Result<Node> {
        let clock = Clock::new();
        let policy = DeliveryPolicy::new(clock.now(), config.seed, config.settings.settings.clone());
        let (mut node, restored) = Node::new(config, events, clock, policy)?;
        node.lock = Some(lock);
        node.list(config.known_endpoints.clone(), ListKind::Cached);
        node.untried = Untried::before(node.next_number, clock.now());
        for (number, message) in restored {
            node.restore(number, message);
        }
        Ok(node)
    }
}

impl Node {
    /// Takes in all that has happened, lets the module decide once, and carries out what it says.
    fn round(&mut self, batch: &mut Vec<NodeEvent>) {
        let begun = self.clock.now();
        self.notify_policy(Event::ProcessingLag {
            lag: (self.overload.event_loop_lag() + TIMER_STEP).as_micros() as Micros,
        });
        for input in batch.drain(..) {
            self.take_in(input);
        }
        self.expire_waiting();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.notify_policy(Event::Timer { token });
        }
        self.policy.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
        self.answer_clients();
        self.report_notices();
        self.step_down();
        self.overload.measure_turn();
        let took = self.clock.now() - begun;
        self.overload.record_delay(Duration::from_micros(took));
        self.tally.longest_round = self.tally.longest_round.max(took);
        if self.swept.elapsed() > SWEEP {
            self.swept = Instant::now();
            self.idle.evict_expired();
            let line = self.tally.line(&Standing {
                untried: self.untried,
                held: self.messages.len(),
                waiting: self.messages.values().filter(|h| h.pending_send.is_some()).count(),
                calls: self.calls.len(),
                idle: self.idle.count(),
                notices: self.notices.len(),
                lag: self.overload.event_loop_lag(),
            });
            line.into_iter().for_each(|line| eprintln!("{line}"));
        }
    }

    fn notify_policy(&mut self, event: Event) {
        self.policy.handle(self.clock.now(), event, &mut self.actions);
    }

    fn take_in(&mut self, input: NodeEvent) {
        match input {
            NodeEvent::Submit { message, reply } => self.hand_in(message, reply),
            NodeEvent::ResponseEnded { number, written } => self.answered(number, written),
            NodeEvent::RefusedLate { class } => {
                self.tally.turned_away += 1;
                self.metrics.record_result(class, MessageResult::Shed);
            }
            NodeEvent::CallEnded(end) => self.call_ended(end),
            NodeEvent::List(list) => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.last_list.update(&list, |more| self.journal.release_space(more));
                self.list(list, kind);
            }
            NodeEvent::NoticesAcknowledged { numbers } => self.reported(numbers),
            NodeEvent::Connected { number, attempt, target, proceed } => {
                let may_go = self.policy.may_still_send(self.clock.now(), number, target);
                let _ = proceed.send(may_go && self.begin(number, attempt));
            }
            NodeEvent::MessageWritten { class } => self.metrics.record_attempt(class),
            // One that nobody awaits any more has been answered no.
            NodeEvent::Admin { reply, .. } if reply.is_closed() => {}
            NodeEvent::Admin { request, reply } => {
                let _ = reply.send(self.admin(request));
            }
            NodeEvent::DiscoveryAddress(address) => {
                eprintln!("discovery is at {address} from now on");
                self.discovery.send_replace(address);
            }
            NodeEvent::Successor(stream) => self.successor = Some(stream),
            NodeEvent::Terminate => {
                if self.terminated_at.is_none() {
                    self.terminated_at = Some(Instant::now());
                    self.stage.send_replace(LifecycleStage::Draining);
                    let by = self.clock.now() + TERMINATE_TIMEOUT.as_micros() as Micros;
                    self.notify_policy(Event::Shutdown { at: by });
                }
            }
        }
    }

    fn list(&mut self, list: ServerList, kind: ListKind) {
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u32::MAX, |at| at as u32)
        };
        let mut endpoints = Vec::with_capacity(list.servers.len());
        for line in list.servers {
            let zone = self.settings.zone_number(&line.zone);
            let known = self.target_ids.get(&line.id).copied();
            let target = known.unwrap_or(self.endpoints.len() as TargetId);
            if let Some(server) = self.endpoints.get_mut(target as usize) {
                (server.address, server.zone) = (line.addr, zone);
            } else {
                self.endpoints.push(KnownEndpoint { address: line.addr, zone, generation: 0 });
                if self.taken_out.contains(&line.id) {
                    self.notify_policy(Event::EndpointAdminState { target, disabled: true });
                }
                self.target_ids.insert(line.id, target);
            }
            endpoints.push(Endpoint {
                target,
                destination: line.cell,
                kind: place(&self.settings.kind_names, &line.kind),
                zone,
                state: match line.state {
                    ServerState::Active => EndpointState::Ready,
                    ServerState::Leaving => EndpointState::Draining,
                    ServerState::Left => EndpointState::Removed,
                },
                rate: line.weight,
            });
        }
        let version = u32::try_from(list.version).unwrap_or(u32::MAX);
        self.notify_policy(Event::List { kind, version, endpoints });
    }

    fn admin(&mut self, request: AdminRequest) -> AdminResponse {
        let serving = self.accepting && *self.stage.borrow() == LifecycleStage::Serving;
        match request {
            AdminRequest::Ready if serving => AdminResponse::new(StatusCode::OK, "ready\n"),
            AdminRequest::Ready => {
                AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "clients are not taken\n")
            }
            AdminRequest::Metrics => AdminResponse::new(
                StatusCode::OK,
                self.metrics.render(self.messages.len(), self.policy.endpoint_counts()),
            ),
            AdminRequest::Disable(name) => self.by_hand(&name, true),
            AdminRequest::Enable(name) => self.by_hand(&name, false),
        }
    }

    /// Takes an endpoint out, or puts it back; the yes means that this outlasts the process.
    fn by_hand(&mut self, name: &str, out: bool) -> AdminResponse {
        let target = self.target_ids.get(name).copied();
        let was_out = self.taken_out.contains(name);
        if !was_out && !target.is_some_and(|target| self.policy.is_listed(target)) {
            return AdminResponse::new(StatusCode::NOT_FOUND, "no such endpoint\n");
        }
        if let Err(error) = self.taken_out.set_disabled(name, out) {
            eprintln!("admin: {name} stays as it is: {error}");
            return AdminResponse::new(StatusCode::INSUFFICIENT_STORAGE, format!("{error}\n"));
        }
        let state = if out { "out" } else { "in" };
        if let Some(target) = target.filter(|_| was_out != out) {
            eprintln!("admin: endpoint {name} is {state}");
            self.endpoints[target as usize].generation += 1;
            self.notify_policy(Event::EndpointAdminState { target, disabled: out });
        }
        AdminResponse::new(StatusCode::OK, format!("{name} is {state}\n"))
    }

    /// Takes over what the journal holds of a message.
    fn restore(&mut self, number: u64, restored: RestoredMessage) {
        let RestoredMessage { accepted, attempts, notice } = restored;
        if let Some(notice) = notice {
            let order_key = order_key_hash(&accepted.order_key);
            self.notices.insert(number, Ending { id: accepted.id, order_key, notice });
            self.unsent.insert(number);
            return;
        }
        let message = Message::from_accepted(accepted, &self.settings, &self.clock);
        let class = message.class;
        let (order_key, destination, expires) =
            (message.order_key_hash(), message.destination, message.expires_at);
        let held = HeldMessage {
            message: Arc::new(message),
            acceptance: Acceptance::Accepted,
            attempts: attempts.len() as u32,
            pending_send: None,
        };
        self.untried.found(expires, held.attempts);
        self.messages.insert(number, held);
        if class >= self.settings.class_names.len() {
            // The settings have changed since: nothing can be promised.
            return self.end(number, NonDeliveryNotice::GivenUp);
        }
        let first = attempts.iter().find(|t| t.execution != Some(ExecutionStatus::NeverRan));
        let first_run = first.map(|t| (self.clock.micros_at_unix(t.started_at), t.zone));
        let outcome = |fate| match fate {
            Some(ExecutionStatus::NeverRan) => Outcome::NotSent,
            Some(ExecutionStatus::MayHaveRun) | None => Outcome::Reset,
        };
        let attempts = attempts.iter().map(|t| outcome(t.execution)).collect();
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

    fn hand_in(&mut self, message: Arc<Message>, reply: oneshot::Sender<SubmitResponse>) {
        let full = self.messages.len() >= self.settings.settings.max_held as usize;
        if full || !self.journal.has_space_for(message.log_bytes()) {
            self.tally.refused += 1;
            self.metrics.record_result(message.class, MessageResult::Shed);
            let retry_in_ms = self.policy.retry_after(message.destination).div_ceil(1000);
            let _ = reply.send(SubmitResponse::Refused { retry_in_ms });
            return;
        }
        let id = self.next_number;
        self.next_number += 1;
        let event = Event::Request {
            id,
            class: message.class as u32,
            destination: message.destination,
            order_key: message.order_key_hash(),
            expires: message.expires_at,
        };
        self.messages.insert(
            id,
            HeldMessage {
                message,
                acceptance: Acceptance::Undecided(reply),
                attempts: 0,
                pending_send: None,
            },
        );
        self.fresh.push(id);
        self.notify_policy(event);
    }

    /// Takes on what the module has not refused: first the journal, then the answer.
    fn answer_clients(&mut self) {
        for number in std::mem::take(&mut self.fresh) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Acceptance::Undecided(reply) =
                std::mem::replace(&mut held.acceptance, Acceptance::Responding)
            else {
                continue;
            };
            let accepted = LogRecord::Accepted(held.message.to_accepted(&self.settings, &self.clock));
            if let Err(error) = self.journal.append(number, &accepted) {
                eprintln!("journal: a message is refused: {error}");
                let _ = reply.send(SubmitResponse::Refused { retry_in_ms: 0 });
                self.withdraw(number);
                continue;
            }
            let receipt = ResponseGuard::new(number, self.events.clone());
            // If the client has gone, the receipt is dropped here and says so.
            let _ = reply.send(SubmitResponse::Accepted(receipt));
        }
    }

    /// The client has its answer, and the message may go; or it has gone before, and nothing is taken on.
    fn answered(&mut self, number: u64, written: bool) {
        if !written {
            self.tally.gone += 1;
            self.record(number, &LogRecord::Completed);
            self.notices.remove(&number);
            self.unsent.remove(&number);
            return self.withdraw(number);
        }
        let Some(held) = self.messages.get_mut(&number) else { return };
        held.acceptance = Acceptance::Accepted;
        self.tally.taken += 1;
        self.send(number);
    }

    /// Forgets a message that was not taken on after all.
    fn withdraw(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.metrics.record_result(held.message.class, MessageResult::Shed);
        if let Some(PendingSend { attempt, target, .. }) = held.pending_send {
            self.outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.notify_policy(Event::Abandoned { id: number });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided_at) = (held.attempts, self.clock.now());
                held.pending_send = Some(PendingSend { attempt, target, until, decided_at });
                held.attempts += 1;
                self.send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(out) = self.calls.get_mut(&(id, attempt)) {
                    // A call that has just ended tells its own end.
                    let _ = out.cancel.take().map(|cancel| cancel.send(()));
                } else if let Some(PendingSend { target, .. }) =
                    self.messages.get_mut(&id).and_then(|h| h.pending_send.take())
                {
                    self.outcome(id, attempt, target, Outcome::NotSent, false);
                }
            }
            Action::Refuse { id, retry_after } => {
                self.end(id, NonDeliveryNotice::HandedBack { retry_in_ms: retry_after.div_ceil(1000) })
            }
            Action::Fail { id } => self.end(id, NonDeliveryNotice::GivenUp),
            Action::Timer { after, token } => drop(self.timers.insert((self.clock.now() + after, token))),
            Action::CloseIdle { target } => self.idle.close(target),
            Action::Log { text } => eprintln!("{text}"),
            // The list is watched all the time; probes and talk are not for this kind of deployment.
            Action::Subscribe { .. } | Action::FetchList | Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    /// Starts the call that the module has decided on, unless it has to wait: for the client to be told that the
    /// message is taken on, or for the notice that ends an earlier message of its key, which is over only then.
    fn send(&mut self, number: u64) {
        let Some(held) =
            self.messages.get_mut(&number).filter(|h| matches!(h.acceptance, Acceptance::Accepted))
        else {
            return;
        };
        let key = held.message.order_key_hash();
        if key != 0 && self.notices.values().any(|ending| ending.order_key == key) {
            return;
        }
        let Some(PendingSend { attempt, target, until, decided_at }) = held.pending_send.take() else {
            return;
        };
        // What was decided long ago may go against a drain or a wait told since: the module decides anew.
        if self.clock.now() > decided_at + STALE_SEND {
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.start(number, attempt, target, until);
    }

    /// Guards against a notice that the platform is slow to take: a send that waits for it past its time would
    /// have no outcome, and its message no end.
    fn expire_waiting(&mut self) {
        if self.notices.is_empty() {
            return;
        }
        let now = self.clock.now();
        let late = |held: &mut HeldMessage| held.pending_send.take_if(|w| w.until <= now);
        let all = self.messages.iter_mut();
        let expired: Vec<_> = all.filter_map(|(number, held)| Some((*number, late(held)?))).collect();
        for (number, PendingSend { attempt, target, .. }) in expired {
            self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Notes in the journal, before its first byte goes out, that a call may run from now on.
    fn begin(&mut self, number: u64, attempt: u32) -> bool {
        let Some(out) = self.calls.get_mut(&(number, attempt)) else { return false };
        let zone = self.endpoints[out.target as usize].zone;
        let begun =
            LogRecord::AttemptStarted { started_at: self.clock.unix_micros_at(self.clock.now()), zone };
        match self.journal.append(number, &begun) {
            Ok(()) => out.started = true,
            Err(error) => eprintln!("journal: a call is not made: {error}"),
        }
        out.started
    }

    /// Starts a call. Where its connection has to come up yet, it begins only then.
    fn start(&mut self, number: u64, attempt: u32, target: TargetId, until: Micros) {
        let Some(held) = self.messages.get(&number) else { return };
        let message = held.message.clone();
        let KnownEndpoint { address, generation, .. } = self.endpoints[target as usize];
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), InFlightCall { target, cancel: Some(cancel), started: false });
        let connection = self.idle.take(target);
        if connection.is_some() && !self.begin(number, attempt) {
            self.calls.remove(&(number, attempt));
            return self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
        self.tally.dialled += u32::from(connection.is_none());
        let call = Call {
            number,
            attempt,
            target,
            address,
            message,
            dial_timeout: Duration::from_micros(self.settings.settings.connect_timeout),
            timeout_at: self.clock.instant_at(until),
            connection,
            reads_limit_reports: self.settings.rate_index.is_some()
                && self.settings.share_left_index.is_some(),
            generation,
        };
        tokio::spawn(calls::make_call(call, cancelled, self.events.clone()));
    }

    fn outcome(&mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, ended: bool) {
        self.notify_policy(Event::AttemptEnded {
            id,
            attempt,
            target,
            outcome,
            took: 0,
            message_ended: ended,
            retry_after: 0,
            report: None,
        });
    }

    fn call_ended(&mut self, end: CallEnd) {
        let begun = self.calls.remove(&(end.number, end.attempt)).is_some_and(|out| out.started);
        self.tally.ended(end.outcome, end.started_at.elapsed(), end.idle_for);
        self.tally.cut_short += u32::from(end.response_truncated);
        let same_era = self.endpoints[end.target as usize].generation == end.generation;
        if let Some(connection) = end.connection.filter(|_| same_era) {
            self.idle.put(end.target, connection);
        }
        let held = self.messages.contains_key(&end.number);
        if end.completes_message {
            if let Some(held) = self.messages.remove(&end.number) {
                let delivered = end.outcome == Outcome::Ok;
                self.metrics.record_result(
                    held.message.class,
                    if delivered { MessageResult::Ok } else { MessageResult::Error },
                );
                self.record(end.number, &LogRecord::Completed);
            }
        } else if held && begun {
            let fate =
                if end.outcome.never_ran() { ExecutionStatus::NeverRan } else { ExecutionStatus::MayHaveRun };
            self.record(end.number, &LogRecord::AttemptEnded(fate));
        }
        let now = self.clock.now();
        self.notify_policy(Event::AttemptEnded {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome: end.outcome,
            took: now.saturating_sub(self.clock.micros_at(end.started_at)),
            message_ended: end.completes_message || !held,
            // A wait runs from the answer's arrival, not from now.
            retry_after: end.wait_until.map_or(0, |until| self.clock.micros_at(until).saturating_sub(now)),
            report: end.limit_report,
        });
    }

    /// Writes what a restart can do without: lacking it, more counts as perhaps run than has.
    fn record(&mut self, number: u64, record: &LogRecord) {
        if let Err(error) = self.journal.append(number, record) {
            eprintln!("journal: {error}");
        }
    }

    /// Ends a message: in the answer to its client, if that still waits for one, else by a notice.
    fn end(&mut self, number: u64, notice: NonDeliveryNotice) {
        let Some(held) = self.messages.remove(&number) else { return };
        let class = held.message.class;
        if let Acceptance::Undecided(reply) = held.acceptance {
            self.metrics.record_result(class, MessageResult::Shed);
            let retry_in_ms =
                if let NonDeliveryNotice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            self.tally.refused += 1;
            let _ = reply.send(SubmitResponse::Refused { retry_in_ms });
            return;
        }
        let ended = if matches!(notice, NonDeliveryNotice::GivenUp) {
            MessageResult::Error
        } else {
            MessageResult::Shed
        };
        self.metrics.record_result(class, ended);
        self.untried.ended(number, held.message.expires_at, held.attempts);
        let left = held.message.expires_at as i64 - self.clock.now() as i64;
        let line = self.tally.undelivered(&held.message.id, notice, held.attempts, left);
        line.into_iter().for_each(|line| eprintln!("{line}"));
        self.record(number, &LogRecord::NoticeIssued(notice));
        let ending = Ending { id: held.message.id.clone(), order_key: held.message.order_key_hash(), notice };
        self.notices.insert(number, ending);
        self.unsent.insert(number);
    }

    fn report_notices(&mut self) {
        while !self.unsent.is_empty() && self.reports.has_capacity() {
            let numbers: Vec<u64> = self.unsent.iter().copied().take(NOTICES).collect();
            let mut lines = String::new();
            for number in &numbers {
                self.unsent.remove(number);
                let Ending { id, notice, .. } = &self.notices[number];
                let line = match notice {
                    NonDeliveryNotice::GivenUp => json!({"message": id, "outcome": "given_up"}),
                    NonDeliveryNotice::HandedBack { retry_in_ms: 0 } => {
                        json!({"message": id, "outcome": "handed_back"})
                    }
                    NonDeliveryNotice::HandedBack { retry_in_ms } => {
                        json!({"message": id, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
                    }
                };
                lines.push_str(&format!("{line}\n"));
            }
            self.reports.send(lines, numbers);
        }
    }

    /// The platform has taken these notices: their messages are over.
    fn reported(&mut self, numbers: Vec<u64>) {
        for number in numbers {
            self.record(number, &LogRecord::Completed);
            let key = self.notices.remove(&number).map_or(0, |ended| ended.order_key);
            let next =
                |h: &HeldMessage| key != 0 && h.pending_send.is_some() && h.message.order_key_hash() == key;
            let waiting = self.messages.iter().find(|(_, h)| next(h)).map(|(number, _)| *number);
            waiting.into_iter().for_each(|next| self.send(next));
        }
    }

    /// The steps to the end of a process that was told to end.
    fn step_down(&mut self) {
        let closing = self.terminated_at.is_some_and(|at| at.elapsed() >= ACCEPT_AFTER_TERMINATE);
        if closing && *self.stage.borrow() == LifecycleStage::Draining {
            self.stage.send_replace(LifecycleStage::Closing);
            // Else it would take connections that nobody accepts.
            self.listener = None;
        }
    }

    /// Whether the process may end: nothing is left to do, also for clients whose connections are open or have come to a
    /// listener that accepts no more.
    fn has_ended(&self, accepted: bool) -> bool {
        let Some(at) = self.terminated_at else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.notices.is_empty();
        let idle = idle && accepted && self.connection_limit.in_use() == 0;
        at.elapsed() >= TERMINATE_TIMEOUT || idle && at.elapsed() >= 2 * ACCEPT_AFTER_TERMINATE
    }

    fn wake_at(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| self.clock.instant_at(*at));
        let stop = self.terminated_at.map(|at| {
            let steps =
                [at + ACCEPT_AFTER_TERMINATE, at + 2 * ACCEPT_AFTER_TERMINATE, at + TERMINATE_TIMEOUT];
            steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at)
        });
        [timer, stop].into_iter().flatten().min().unwrap_or_else(|| Instant::now() + SWEEP)
    }
}
