//! Timing of the discovery client: long-poll waits, reply timeouts, and pauses between requests.
//!
//! The protocol bounds all of these: a change to the list is binding on a forwarder 6 s later at the latest, whether or
//! not it has arrived, and 4 s after SIGHUP named another address. A watch continues if the next request follows within
//! 200 ms.

use crate::Settings;
use std::time::Duration;

/// How long discovery may hold a watch open without changes; the protocol allows up to 60 s. An open watch takes up
/// resources of discovery. The next request follows at once: after 200 ms it would count as a new watch, which costs
/// discovery more.
pub(super) const WATCH_WAIT: Duration = Duration::from_secs(1);
/// How long after its wait a reply may still arrive where lists are pushed. A change that a silent watch misses is
/// binding after 6 s, and after 4 s following SIGHUP: by then the reply to another request must be here. The agent
/// has the lists at hand.
const PUSHED_REPLY_GRACE: Duration = Duration::from_secs(1);
/// The same where lists are served on request. Discovery may have a whole fleet to reply to first, but two requests
/// without a reply, or one that follows a rejected request, have to fit into the 6 s.
const ON_REQUEST_REPLY_GRACE: Duration = Duration::from_millis(1500);
/// Pause after a first failure. It doubles with each further failure.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failures where lists are pushed. A list that the agent receives once discovery is back is
/// binding at once, and drains must be observed within some hundreds of milliseconds.
const PUSHED_MAX_PAUSE: Duration = Duration::from_millis(100);
/// The same where lists are served on request.
const ON_REQUEST_MAX_PAUSE: Duration = Duration::from_millis(500);
/// Mean pause after a request that overloaded discovery rejected, per replica of the fleet. A rejection costs
/// discovery nearly as much as a reply: a fleet that retries at 8 requests per second in all leaves it room to reply.
const OVERLOAD_PAUSE_PER_REPLICA: Duration = Duration::from_millis(125);
/// Upper bound of that mean. Two pauses, or one and a request without a reply, fit into 6 s in a fleet of any size.
const MAX_MEAN_OVERLOAD_PAUSE: Duration = Duration::from_millis(1850);
/// The pause after a rejection is random, between this multiple of its mean and this multiple plus one.
const OVERLOAD_JITTER_MIN_SHARE: f64 = 0.5;
/// Span over which the replicas of a fleet that start at the same time spread their first requests, per replica.
/// Discovery accepts some twenty new watches per second and rejects all that queue behind those. Only where lists are
/// served on request: a pushed list is binding from when the agent has it, and a watch at the agent costs discovery
/// nothing.
const START_SPREAD_PER_REPLICA: Duration = Duration::from_millis(50);
/// Upper bound of that span. It leaves time for a second request if the first is rejected or gets no reply.
const MAX_START_SPREAD: Duration = Duration::from_millis(2500);
/// Pause before the next request if discovery replied at once without a change.
pub(super) const NO_CHANGE_PAUSE: Duration = Duration::from_millis(50);

/// How the endpoint list of a deployment reaches a forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the machine of the forwarder receives each list as soon as discovery sends it. Requests to the agent
    /// cost discovery nothing.
    Pushed,
    /// Discovery itself serves lists to forwarders that request them.
    OnRequest,
}

/// Parameters of the deployment on which the timing of the client depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientOptions {
    /// How lists reach the forwarder.
    pub mode: DiscoveryMode,
    /// Number of replicas that share the discovery service.
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
    /// Span after its start within which the client sends its first request, at a random time.
    pub(super) fn start_spread(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => Duration::ZERO,
            DiscoveryMode::OnRequest => (START_SPREAD_PER_REPLICA * self.replicas).min(MAX_START_SPREAD),
        }
    }

    /// How long after its wait a reply may still arrive.
    pub(super) fn reply_grace(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_REPLY_GRACE,
            DiscoveryMode::OnRequest => ON_REQUEST_REPLY_GRACE,
        }
    }

    /// Longest pause after failures.
    pub(super) fn max_pause(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Pushed => PUSHED_MAX_PAUSE,
            DiscoveryMode::OnRequest => ON_REQUEST_MAX_PAUSE,
        }
    }

    /// Random pause after a rejected request.
    pub(super) fn overload_pause(&self, random: &mut fastrand::Rng) -> Duration {
        let mean = (OVERLOAD_PAUSE_PER_REPLICA * self.replicas).min(MAX_MEAN_OVERLOAD_PAUSE);
        mean.mul_f64(OVERLOAD_JITTER_MIN_SHARE + random.f64())
    }
}

/// Exponential backoff: the pause doubles with each failure, up to a maximum.
#[derive(Debug)]
pub(super) struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    pub fn new(max: Duration) -> Backoff {
        Backoff { next: FIRST_PAUSE, max }
    }

    /// Returns the pause after one more failure.
    pub fn next_pause(&mut self) -> Duration {
        let pause = self.next;
        self.next = (2 * pause).min(self.max);
        pause
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.next = FIRST_PAUSE;
    }
}
