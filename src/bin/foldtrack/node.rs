//! The loop that owns all state: the module, the messages and the journal. What sockets and timers tell
//! comes in as [`Input`]s; what the module decides goes out, in its order.

use crate::calls::{self, Call, IdleConnectionPool};
use crate::clients::{self, Desk};
use crate::clock::Clock;
use crate::config::Config;
use crate::disabled_endpoints::{self, DisabledEndpoints};
use crate::discovery_client;
use crate::door;
use crate::draining::ExitReason;
use crate::endpoint_list_cache::{self, EndpointListCache};
use crate::events::{AdminRequest, AdminResponse, Answer, CallEnd, Input, Inputs, Receipt, Stage};
use crate::figures::{Ended, Figures};
use crate::hot_restart::{self, LogLock, StartMode};
use crate::message::{order_key_hash, Message};
use crate::places::Places;
use crate::report_client::ReportClient;
use crate::strain::Strain;
use crate::tally::{Standing, Tally, Untried};
use crate::turnstile::Turnstile;
use crate::write_ahead_log::{ExecutionStatus, LogRecord, NonDeliveryNotice, RestoredMessage, WriteAheadLog};
use hatchline::discovery::list::{ServerList, ServerState};
use hatchline::settings::Parsed;
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
const ACCEPT_ON: Duration = Duration::from_millis(500);
const END_BY: Duration = Duration::from_millis(3300);
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
enum Taken {
    /// Not at all: the module may refuse it yet.
    Fresh(oneshot::Sender<Answer>),
    /// The answer is on its way.
    Answering,
    /// Told.
    On,
}

/// A send that the module has decided on.
struct Waiting {
    attempt: u32,
    target: TargetId,
    until: Micros,
    decided: Micros,
}

struct Held {
    message: Arc<Message>,
    taken: Taken,
    attempts: u32,
    /// A send that the module has decided on, but that must not go yet: see [`Node::send`].
    waiting: Option<Waiting>,
}

/// A message that ends by a notice; it is over once that is answered.
struct Ending {
    id: String,
    order_key: u64,
    notice: NonDeliveryNotice,
}

/// A call that is out.
struct Out {
    target: TargetId,
    /// What calls it off, unless it has been.
    cancel: Option<oneshot::Sender<()>>,
    /// It stands in the journal: from then on it may have run.
    begun: bool,
}

struct Server {
    address: SocketAddr,
    zone: u32,
    /// Grows when an operator takes it out or puts it back: connections of an older one are not used again.
    era: u32,
}

struct Node {
    clock: Clock,
    policy: DeliveryPolicy,
    settings: Arc<Parsed>,
    journal: WriteAheadLog,
    inputs: Inputs,
    discovery: watch::Sender<SocketAddr>,
    next_number: u64,
    /// What is taken on, or may be, by number in the order of arrival.
    messages: BTreeMap<u64, Held>,
    /// Those of this round whose clients wait for an answer.
    fresh: Vec<u64>,
    /// Ends that the platform has not taken yet, and which of them are to be sent now.
    notices: BTreeMap<u64, Ending>,
    unsent: BTreeSet<u64>,
    reports: ReportClient,
    /// By message and attempt.
    calls: BTreeMap<(u64, u32), Out>,
    idle: IdleConnectionPool,
    swept: Instant,
    tally: Tally,
    untried: Untried,
    figures: Figures,
    taken_out: DisabledEndpoints,
    last_list: EndpointListCache,
    /// Clients are accepted.
    accepting: bool,
    target_ids: HashMap<String, TargetId>,
    servers: Vec<Server>,
    timers: BTreeSet<(Micros, u32)>,
    stage: watch::Sender<Stage>,
    terminated: Option<Instant>,
    /// Who owns all this, and what clients are accepted from, to be handed to a successor.
    lock: Option<LogLock>,
    listener: Option<OwnedFd>,
    successor: Option<UnixStream>,
    places: Places,
    strain: Strain,
    actions: Vec<Action>,
}

/// Takes over from the process that runs, or restores what the journal holds; then serves until it is told to end,
/// or has handed over and has nothing left to do.
pub(crate) async fn run(
    config: Config, inputs: Inputs, mut receiver: UnboundedReceiver<Input>,
) -> io::Result<ExitReason> {
    if let Some(address) = config.admin_address {
        tokio::spawn(door::serve(address, inputs.clone()));
    }
    let (format, meeting) = (
        hot_restart::state_format(&config.settings),
        hot_restart::takeover_socket_path(&config.state_directory),
    );
    let (mut node, listener) = loop {
        match hot_restart::acquire_ownership(&config.state_directory, &meeting, &format).await? {
            StartMode::ColdStart(lock) => break (Node::restored(&config, &inputs, lock)?, None),
            StartMode::Takeover(offer) => match Node::take_over(&config, &inputs, *offer) {
                Ok((node, listener)) => break (node, Some(listener)),
                Err(error) => eprintln!("upgrade: nothing was handed over: {error}"),
            },
        }
    };
    let discovery_client = discovery_client::build_client(&node.settings.settings, inputs.clone());
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
    let (strain, stile) = (node.strain.clone(), Turnstile::new(clients::READ_IN_A_TURN));
    let desk = Desk { settings, clock, inputs: inputs.clone(), stage, strain, stile };
    let accepting = tokio::spawn(clients::serve(listener, Arc::new(desk), node.places.clone()));
    node.accepting = true;
    let meeting = hot_restart::listen_for_successors(&meeting, format, inputs);
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
            numbers = node.reports.acknowledged() => batch.push(Input::Reported { numbers }),
            _ = receiver.recv_many(&mut batch, ROUND) => {}
            () = sleep_until(wake) => {}
        }
        node.strain.note(wake.elapsed());
    }
    Ok(ExitReason::Completed)
}

impl Node {
    fn new(
        config: &Config, inputs: &Inputs, clock: Clock, policy: DeliveryPolicy,
    ) -> io::Result<(Node, BTreeMap<u64, RestoredMessage>)> {
        let settings = &config.settings.settings;
        let room = config.disk_bytes.saturating_sub(
            disabled_endpoints::RESERVED_BYTES + endpoint_list_cache::reserved_bytes(&config.known_endpoints),
        );
        let (journal, restored) = WriteAheadLog::open(&config.state_directory, room, settings.max_attempts)?;
        let discovery = watch::Sender::new(config.discovery_address);
        let conn_idle = Duration::from_micros(settings.connection_idle);
        let node = Node {
            clock,
            policy,
            settings: config.settings.clone(),
            journal,
            inputs: inputs.clone(),
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
            figures: Figures::new(&config.settings.class_names),
            taken_out: DisabledEndpoints::open(&config.state_directory)?,
            last_list: EndpointListCache::open(&config.state_directory, &config.known_endpoints),
            accepting: false,
            target_ids: HashMap::new(),
            servers: Vec::new(),
            timers: BTreeSet::new(),
            stage: watch::Sender::new(Stage::Serving),
            terminated: None,
            lock: None,
            listener: None,
            successor: None,
            places: Places::new(config.max_sockets / 2),
            strain: Strain::default(),
            actions: Vec::new(),
        };
        Ok((node, restored))
    }

    /// Goes on from what the journal holds.
    fn restored(config: &Config, inputs: &Inputs, lock: LogLock) -> io::Result<Node> {
        let clock = Clock::new();
        let policy = DeliveryPolicy::new(clock.now(), config.seed, config.settings.settings.clone());
        let (mut node, restored) = Node::new(config, inputs, clock, policy)?;
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
    fn round(&mut self, batch: &mut Vec<Input>) {
        let begun = self.clock.now();
        self.handle(Event::Late { by: (self.strain.lag() + TIMER_STEP).as_micros() as Micros });
        for input in batch.drain(..) {
            self.take_in(input);
        }
        self.expire_waiting();
        let now = self.clock.now();
        while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.handle(Event::Timer { token });
        }
        self.policy.decide(self.clock.now(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
        self.answer_clients();
        self.report_notices();
        self.step_down();
        self.strain.measure_turn();
        let took = self.clock.now() - begun;
        self.strain.note(Duration::from_micros(took));
        self.tally.longest_round = self.tally.longest_round.max(took);
        if self.swept.elapsed() > SWEEP {
            self.swept = Instant::now();
            self.idle.evict_expired();
            let line = self.tally.line(&Standing {
                untried: self.untried,
                held: self.messages.len(),
                waiting: self.messages.values().filter(|h| h.waiting.is_some()).count(),
                calls: self.calls.len(),
                idle: self.idle.count(),
                notices: self.notices.len(),
                lag: self.strain.lag(),
            });
            line.into_iter().for_each(|line| eprintln!("{line}"));
        }
    }

    fn handle(&mut self, event: Event) {
        self.policy.handle(self.clock.now(), event, &mut self.actions);
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::HandIn { message, reply } => self.hand_in(message, reply),
            Input::Answered { number, written } => self.answered(number, written),
            Input::TurnedAway { class } => {
                self.tally.turned_away += 1;
                self.figures.ended(class, Ended::Shed);
            }
            Input::CallEnded(end) => self.call_ended(end),
            Input::List(list) => {
                let kind = if list.full { ListKind::Full } else { ListKind::Delta };
                self.last_list.update(&list, |more| self.journal.release_space(more));
                self.list(list, kind);
            }
            Input::Reported { numbers } => self.reported(numbers),
            Input::Connected { number, attempt, target, go } => {
                let may_go = self.policy.may_go(self.clock.now(), number, target);
                let _ = go.send(may_go && self.begin(number, attempt));
            }
            Input::Written { class } => self.figures.tried(class),
            // One that nobody awaits any more has been answered no.
            Input::Admin { reply, .. } if reply.is_closed() => {}
            Input::Admin { request, reply } => {
                let _ = reply.send(self.admin(request));
            }
            Input::Discovery(address) => {
                eprintln!("discovery is at {address} from now on");
                self.discovery.send_replace(address);
            }
            Input::Successor(stream) => self.successor = Some(stream),
            Input::Terminate => {
                if self.terminated.is_none() {
                    self.terminated = Some(Instant::now());
                    self.stage.send_replace(Stage::Draining);
                    let by = self.clock.now() + END_BY.as_micros() as Micros;
                    self.handle(Event::Stopping { by });
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
            let zone = self.settings.zone(&line.zone);
            let known = self.target_ids.get(&line.id).copied();
            let target = known.unwrap_or(self.servers.len() as TargetId);
            if let Some(server) = self.servers.get_mut(target as usize) {
                (server.address, server.zone) = (line.addr, zone);
            } else {
                self.servers.push(Server { address: line.addr, zone, era: 0 });
                if self.taken_out.contains(&line.id) {
                    self.handle(Event::ByHand { target, out: true });
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
                    ServerState::Left => EndpointState::Gone,
                },
                rate: line.weight,
            });
        }
        let version = u32::try_from(list.version).unwrap_or(u32::MAX);
        self.handle(Event::List { kind, version, endpoints });
    }

    fn admin(&mut self, request: AdminRequest) -> AdminResponse {
        let serving = self.accepting && *self.stage.borrow() == Stage::Serving;
        match request {
            AdminRequest::Ready if serving => AdminResponse::new(StatusCode::OK, "ready\n"),
            AdminRequest::Ready => {
                AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "clients are not taken\n")
            }
            AdminRequest::Metrics => {
                AdminResponse::new(StatusCode::OK, self.figures.text(self.messages.len(), self.policy.pool()))
            }
            AdminRequest::Disable(name) => self.by_hand(&name, true),
            AdminRequest::Enable(name) => self.by_hand(&name, false),
        }
    }

    /// Takes an endpoint out, or puts it back; the yes means that this outlasts the process.
    fn by_hand(&mut self, name: &str, out: bool) -> AdminResponse {
        let target = self.target_ids.get(name).copied();
        let was_out = self.taken_out.contains(name);
        if !was_out && !target.is_some_and(|target| self.policy.lists(target)) {
            return AdminResponse::new(StatusCode::NOT_FOUND, "no such endpoint\n");
        }
        if let Err(error) = self.taken_out.set_disabled(name, out) {
            eprintln!("admin: {name} stays as it is: {error}");
            return AdminResponse::new(StatusCode::INSUFFICIENT_STORAGE, format!("{error}\n"));
        }
        let state = if out { "out" } else { "in" };
        if let Some(target) = target.filter(|_| was_out != out) {
            eprintln!("admin: endpoint {name} is {state}");
            self.servers[target as usize].era += 1;
            self.handle(Event::ByHand { target, out });
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
        let held = Held {
            message: Arc::new(message),
            taken: Taken::On,
            attempts: attempts.len() as u32,
            waiting: None,
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
        self.handle(Event::Restored {
            id: number,
            class,
            destination,
            order_key,
            expires,
            attempts,
            first_run,
        });
    }

    fn hand_in(&mut self, message: Arc<Message>, reply: oneshot::Sender<Answer>) {
        let full = self.messages.len() >= self.settings.settings.max_held as usize;
        if full || !self.journal.has_space_for(message.log_bytes()) {
            self.tally.refused += 1;
            self.figures.ended(message.class, Ended::Shed);
            let retry_in_ms = self.policy.advice(message.destination).div_ceil(1000);
            let _ = reply.send(Answer::Refused { retry_in_ms });
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
        self.messages.insert(id, Held { message, taken: Taken::Fresh(reply), attempts: 0, waiting: None });
        self.fresh.push(id);
        self.handle(event);
    }

    /// Takes on what the module has not refused: first the journal, then the answer.
    fn answer_clients(&mut self) {
        for number in std::mem::take(&mut self.fresh) {
            let Some(held) = self.messages.get_mut(&number) else { continue };
            let Taken::Fresh(reply) = std::mem::replace(&mut held.taken, Taken::Answering) else { continue };
            let accepted = LogRecord::Accepted(held.message.to_accepted(&self.settings, &self.clock));
            if let Err(error) = self.journal.append(number, &accepted) {
                eprintln!("journal: a message is refused: {error}");
                let _ = reply.send(Answer::Refused { retry_in_ms: 0 });
                self.withdraw(number);
                continue;
            }
            let receipt = Receipt::new(number, self.inputs.clone());
            // If the client has gone, the receipt is dropped here and says so.
            let _ = reply.send(Answer::TakenOn(receipt));
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
        held.taken = Taken::On;
        self.tally.taken += 1;
        self.send(number);
    }

    /// Forgets a message that was not taken on after all.
    fn withdraw(&mut self, number: u64) {
        let Some(held) = self.messages.remove(&number) else { return };
        self.figures.ended(held.message.class, Ended::Shed);
        if let Some(Waiting { attempt, target, .. }) = held.waiting {
            self.outcome(number, attempt, target, Outcome::NotSent, true);
        }
        self.handle(Event::Lapsed { id: number });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, target, until } => {
                let Some(held) = self.messages.get_mut(&id) else { return };
                let (attempt, decided) = (held.attempts, self.clock.now());
                held.waiting = Some(Waiting { attempt, target, until, decided });
                held.attempts += 1;
                self.send(id);
            }
            Action::Cancel { id, attempt } => {
                if let Some(out) = self.calls.get_mut(&(id, attempt)) {
                    // A call that has just ended tells its own end.
                    let _ = out.cancel.take().map(|cancel| cancel.send(()));
                } else if let Some(Waiting { target, .. }) =
                    self.messages.get_mut(&id).and_then(|h| h.waiting.take())
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
        let Some(held) = self.messages.get_mut(&number).filter(|h| matches!(h.taken, Taken::On)) else {
            return;
        };
        let key = held.message.order_key_hash();
        if key != 0 && self.notices.values().any(|ending| ending.order_key == key) {
            return;
        }
        let Some(Waiting { attempt, target, until, decided }) = held.waiting.take() else { return };
        // What was decided long ago may go against a drain or a wait told since: the module decides anew.
        if self.clock.now() > decided + STALE_SEND {
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
        let late = |held: &mut Held| held.waiting.take_if(|w| w.until <= now);
        let all = self.messages.iter_mut();
        let expired: Vec<_> = all.filter_map(|(number, held)| Some((*number, late(held)?))).collect();
        for (number, Waiting { attempt, target, .. }) in expired {
            self.outcome(number, attempt, target, Outcome::NotSent, false);
        }
    }

    /// Notes in the journal, before its first byte goes out, that a call may run from now on.
    fn begin(&mut self, number: u64, attempt: u32) -> bool {
        let Some(out) = self.calls.get_mut(&(number, attempt)) else { return false };
        let zone = self.servers[out.target as usize].zone;
        let begun =
            LogRecord::AttemptStarted { started_at: self.clock.unix_micros_at(self.clock.now()), zone };
        match self.journal.append(number, &begun) {
            Ok(()) => out.begun = true,
            Err(error) => eprintln!("journal: a call is not made: {error}"),
        }
        out.begun
    }

    /// Starts a call. Where its connection has to come up yet, it begins only then.
    fn start(&mut self, number: u64, attempt: u32, target: TargetId, until: Micros) {
        let Some(held) = self.messages.get(&number) else { return };
        let message = held.message.clone();
        let Server { address, era, .. } = self.servers[target as usize];
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert((number, attempt), Out { target, cancel: Some(cancel), begun: false });
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
            reads_limit_reports: self.settings.rate_at.is_some() && self.settings.share_left_at.is_some(),
            generation: era,
        };
        tokio::spawn(calls::make_call(call, cancelled, self.inputs.clone()));
    }

    fn outcome(&mut self, id: u64, attempt: u32, target: TargetId, outcome: Outcome, ended: bool) {
        self.handle(Event::Outcome { id, attempt, target, outcome, took: 0, ended, wait: 0, report: None });
    }

    fn call_ended(&mut self, end: CallEnd) {
        let begun = self.calls.remove(&(end.number, end.attempt)).is_some_and(|out| out.begun);
        self.tally.ended(end.outcome, end.begun.elapsed(), end.idle_for);
        self.tally.cut_short += u32::from(end.cut_short);
        let same_era = self.servers[end.target as usize].era == end.era;
        if let Some(connection) = end.connection.filter(|_| same_era) {
            self.idle.put(end.target, connection);
        }
        let held = self.messages.contains_key(&end.number);
        if end.over {
            if let Some(held) = self.messages.remove(&end.number) {
                let delivered = end.outcome == Outcome::Ok;
                self.figures.ended(held.message.class, if delivered { Ended::Ok } else { Ended::Error });
                self.record(end.number, &LogRecord::Completed);
            }
        } else if held && begun {
            let fate =
                if end.outcome.never_ran() { ExecutionStatus::NeverRan } else { ExecutionStatus::MayHaveRun };
            self.record(end.number, &LogRecord::AttemptEnded(fate));
        }
        let now = self.clock.now();
        self.handle(Event::Outcome {
            id: end.number,
            attempt: end.attempt,
            target: end.target,
            outcome: end.outcome,
            took: now.saturating_sub(self.clock.micros_at(end.begun)),
            ended: end.over || !held,
            // A wait runs from the answer's arrival, not from now.
            wait: end.wait_until.map_or(0, |until| self.clock.micros_at(until).saturating_sub(now)),
            report: end.report,
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
        if let Taken::Fresh(reply) = held.taken {
            self.figures.ended(class, Ended::Shed);
            let retry_in_ms =
                if let NonDeliveryNotice::HandedBack { retry_in_ms } = notice { retry_in_ms } else { 0 };
            self.tally.refused += 1;
            let _ = reply.send(Answer::Refused { retry_in_ms });
            return;
        }
        let ended = if matches!(notice, NonDeliveryNotice::GivenUp) { Ended::Error } else { Ended::Shed };
        self.figures.ended(class, ended);
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
            let next = |h: &Held| key != 0 && h.waiting.is_some() && h.message.order_key_hash() == key;
            let waiting = self.messages.iter().find(|(_, h)| next(h)).map(|(number, _)| *number);
            waiting.into_iter().for_each(|next| self.send(next));
        }
    }

    /// The steps to the end of a process that was told to end.
    fn step_down(&mut self) {
        let closing = self.terminated.is_some_and(|at| at.elapsed() >= ACCEPT_ON);
        if closing && *self.stage.borrow() == Stage::Draining {
            self.stage.send_replace(Stage::Closing);
            // Else it would take connections that nobody accepts.
            self.listener = None;
        }
    }

    /// Whether the process may end: nothing is left to do, also for clients whose connections are open or have come to a
    /// listener that accepts no more.
    fn has_ended(&self, accepted: bool) -> bool {
        let Some(at) = self.terminated else { return false };
        let idle = self.calls.is_empty() && self.messages.is_empty() && self.notices.is_empty();
        let idle = idle && accepted && self.places.taken() == 0;
        at.elapsed() >= END_BY || idle && at.elapsed() >= 2 * ACCEPT_ON
    }

    fn wake_at(&self) -> Instant {
        let timer = self.timers.first().map(|(at, _)| self.clock.instant_at(*at));
        let stop = self.terminated.map(|at| {
            let steps = [at + ACCEPT_ON, at + 2 * ACCEPT_ON, at + END_BY];
            steps.into_iter().find(|s| *s > Instant::now()).unwrap_or(at)
        });
        [timer, stop].into_iter().flatten().min().unwrap_or_else(|| Instant::now() + SWEEP)
    }
}
