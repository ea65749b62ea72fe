//! When the client asks, how long it waits for a reply, and how long it pauses after a failure.
//!
//! The protocol bounds all of these: what discovery has to tell binds a forwarder 6 s later at the latest, whether or not
//! it arrived, and 4 s after SIGHUP named another address. A watch lasts while the next call follows within 200 ms.

use crate::Settings;
use std::time::Duration;

/// How long a watch may stay open without news (1 s, chosen here; the protocol allows 60 s). An open watch occupies
/// discovery. The next call follows at once: after 200 ms it would count as a new watch, which costs discovery more.
pub(super) const WATCH: Duration = Duration::from_secs(1);
/// How much later than its wait a reply may come where lists are pushed (1 s, chosen here). What a silent watch misses
/// binds after 6 s, after SIGHUP after 4 s: by then another call needs its reply. The agent has the lists at hand.
const PUSHED_REPLY_GRACE: Duration = Duration::from_secs(1);
/// The same where lists are told on request (1.5 s, chosen here). Discovery may have a fleet to answer first, but two
/// calls that meet silence, or one behind a call turned away, have to fit into the 6 s.
const ON_REQUEST_REPLY_GRACE: Duration = Duration::from_millis(1500);
/// The pause after a first failure (50 ms, chosen here); it doubles with each further one.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after failures where lists are pushed (100 ms, chosen here). What the agent gets once discovery is
/// back binds at once, and drains have to be kept within some hundreds of milliseconds.
const PUSHED_LONGEST_PAUSE: Duration = Duration::from_millis(100);
/// The same where lists are told on request (500 ms, chosen here).
const ON_REQUEST_LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The mean pause after a call that was turned away, for each replica of the fleet (125 ms, measured: a fleet that comes
/// again at 8 calls a second leaves discovery room to answer). A call turned away costs it nearly as much as an answer.
const TURNED_AWAY_PAUSE_PER_REPLICA: Duration = Duration::from_millis(125);
/// The longest mean of that pause (1.85 s, from the 6 s): two pauses, or one and a call that meets silence, fit into
/// 6 s in a fleet of any size.
const LONGEST_TURNED_AWAY_PAUSE: Duration = Duration::from_millis(1850);
/// The shortest part of its mean that the pause after a call turned away takes; the longest is as much above the mean.
const TURNED_AWAY_JITTER_FROM: f64 = 0.5;
/// Within how long the watches of a fleet that starts together begin, for each replica (50 ms, measured: discovery takes
/// on some twenty new watches a second, and all that wait behind those are turned away). Only where lists are told on
/// request: a pushed list binds from when the agent has it, and a watch there costs nothing.
const BEGIN_SPREAD_PER_REPLICA: Duration = Duration::from_millis(50);
/// The latest beginning of a watch (2.5 s, from the 6 s): a first call that is turned away or meets silence leaves time
/// for a second.
const LATEST_BEGIN: Duration = Duration::from_millis(2500);
/// The least time between calls that are answered at once without news (50 ms, chosen here).
pub(super) const EMPTY_PAUSE: Duration = Duration::from_millis(50);

/// How a deployment's lists reach a forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the forwarder's machine has each list as soon as it is sent, at no cost to discovery.
    Pushed,
    /// Discovery serves the lists itself, to those who ask.
    OnRequest,
}

/// What the client's timing depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientOptions {
    /// How lists reach the forwarder.
    pub mode: DiscoveryMode,
    /// Number of forwarders that share the discovery.
    pub replicas: u32,
}

impl From<&Settings> for ClientOptions {
    fn from(settings: &Settings) -> ClientOptions {
        let mode =
            if settings.subscribe_to_discovery { DiscoveryMode::OnRequest } else { DiscoveryMode::Pushed };
        ClientOptions { mode, replicas: settings.replicas }
    }
}

impl ClientOptions {
    /// Within how long after its start the client begins, at random.
    pub(super) fn begin_spread(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => Duration::ZERO,
            DiscoveryMode::OnRequest => (BEGIN_SPREAD_PER_REPLICA * self.replicas).min(LATEST_BEGIN),
        }
    }

    /// How much later than its wait a reply may come.
    pub(super) fn reply_grace(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_REPLY_GRACE,
            DiscoveryMode::OnRequest => ON_REQUEST_REPLY_GRACE,
        }
    }

    /// The longest pause after failures.
    pub(super) fn longest_pause(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_LONGEST_PAUSE,
            DiscoveryMode::OnRequest => ON_REQUEST_LONGEST_PAUSE,
        }
    }

    /// The pause after a call that was turned away.
    pub(super) fn turned_away_pause(&self, random: &mut fastrand::Rng) -> Duration {
        let mean = (TURNED_AWAY_PAUSE_PER_REPLICA * self.replicas).min(LONGEST_TURNED_AWAY_PAUSE);
        mean.mul_f64(TURNED_AWAY_JITTER_FROM + random.f64())
    }
}

/// Pauses after failures: doubled each time, from the first to the longest.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
    longest: Duration,
}

impl Backoff {
    pub fn new(longest: Duration) -> Backoff {
        Backoff { next: FIRST_PAUSE, longest }
    }

    /// The pause after one more failure.
    pub fn pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.longest);
        pause
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.next = FIRST_PAUSE;
    }
}
