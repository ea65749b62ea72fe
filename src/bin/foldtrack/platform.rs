//! The platform's agent: a watch on the list of targets, and reports on how messages ended.

use crate::node::{Input, Inputs};
use crate::targets::{Connection, Payload};
use bytes::Bytes;
use hatchline::Settings;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch may stay without news, and how much later its answer may come.
const WATCH: Duration = Duration::from_secs(5);
const WATCH_LATE: Duration = Duration::from_secs(1);
/// Pauses after a failure: doubled each time, from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// The same in a fleet of more than [`FEW`]: a call that waits takes a place at discovery, and may queue for one. The
/// next call follows at once, or it would count as a new watch, which costs discovery more.
const FLEET_WATCH: Duration = Duration::from_secs(1);
const FLEET_LATE: Duration = Duration::from_secs(3);
const FEW: u32 = 4;
/// Discovery serves a whole fleet, and what it turns away costs it nearly as much as what it answers. A call that
/// was turned away comes again after so long for each forwarder in the fleet.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(125);
/// Where lists are told on request, a fleet that starts together begins its watches at random within so long for each
/// forwarder in it: discovery takes on some twenty new watches a second, and all that wait behind those are turned away.
/// Where they are pushed, the agent has them already, and they bind from then on: a watch costs nothing and begins at once.
const BEGIN_SPREAD: Duration = Duration::from_millis(50);
/// What discovery has to tell binds after 6 s at the latest: no watch begins later than one that waits would end by then.
const LATEST_BEGIN: Duration = Duration::from_secs(5);
/// An agent that answers each watch at once, without news, is not asked more often than this.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_LIST: usize = 4 << 20;
/// Notices without an answer for so long go again on a new connection, with twice as long to wait, until it is the
/// longest. The agent answers at once, and notices count until 300 ms after their messages' time: where a connection is
/// lost, the next has to be made within that.
const FIRST_REPORT_WAIT: Duration = Duration::from_millis(100);
const LONGEST_REPORT_WAIT: Duration = Duration::from_millis(800);

#[derive(Clone, Debug, Default, Deserialize)]
pub(crate) struct ServerList {
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(default, deserialize_with = "readable")]
    pub servers: Vec<ServerLine>,
}

/// Guards the rest of a list, drains among it, against a line that cannot be read.
fn readable<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ServerLine>, D::Error> {
    let lines = Vec::<Value>::deserialize(deserializer)?;
    let read = |line: Value| {
        let text = line.to_string();
        serde_json::from_value(line).inspect_err(|e| eprintln!("discovery: {text} is passed over: {e}")).ok()
    };
    Ok(lines.into_iter().filter_map(read).collect())
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ServerLine {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    pub cell: u32,
    pub state: ServerState,
    #[serde(default)]
    pub weight: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ServerState {
    Active,
    Leaving,
    Left,
}

/// An exchange with the agent; the connection is kept in `connection` unless it failed.
async fn exchange(
    connection: &mut Option<Connection>, address: SocketAddr, request: Request<Payload>,
) -> Option<(StatusCode, Bytes)> {
    let mut open = match connection.take() {
        Some(open) => open,
        None => Connection::open(address, |_| ()).await.ok()?,
    };
    let response = open.send(request).await.ok()?;
    let status = response.status();
    let closes =
        response.headers().get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if closes {
        // A whole answer, but no connection for the next call.
        let body = Limited::new(response.into_body(), LONGEST_LIST).collect().await.ok()?;
        return Some((status, body.to_bytes()));
    }
    let body = open.finish(response.into_body(), LONGEST_LIST).await?;
    *connection = Some(open);
    Some((status, body))
}

fn get(address: SocketAddr, path: &str) -> Option<Request<Payload>> {
    Request::get(path).header(HOST, address.to_string()).body(Payload::uncounted(Bytes::new())).ok()
}

/// Watches the list for as long as the process runs, wherever discovery is, as one of the settings' forwarders, from the
/// known list on: a whole list costs discovery work for each of its lines.
pub(crate) async fn watch(
    mut discovery: watch::Receiver<SocketAddr>, settings: &Settings, known: &ServerList, inputs: Inputs,
) {
    let senders = settings.senders;
    let mut from = Some(known.version).filter(|_| !known.servers.is_empty());
    if settings.subscribe {
        sleep((BEGIN_SPREAD * senders).min(LATEST_BEGIN).mul_f64(fastrand::f64())).await;
    }
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            () = watch_at(address, senders, from.take(), inputs.clone()) => return,
            moved = discovery.changed() => if moved.is_err() { return },
        }
    }
}

/// Watches the list at one address, from a version or from the whole list on: another agent's answers need not go on
/// from the last.
async fn watch_at(address: SocketAddr, senders: u32, mut version: Option<u64>, inputs: Inputs) {
    let mut connection = None;
    let mut pause = FIRST_PAUSE;
    let mut turned_away = 0;
    let (wait, late) = if senders > FEW { (FLEET_WATCH, FLEET_LATE) } else { (WATCH, WATCH_LATE) };
    loop {
        let path = match version {
            Some(v) => format!("/v1/servers?since={v}&timeout_ms={}", wait.as_millis()),
            None => "/v1/servers".to_string(),
        };
        let asked = Instant::now();
        let answer = match get(address, &path) {
            Some(request) => timeout(wait + late, exchange(&mut connection, address, request)).await,
            None => Ok(None),
        };
        let Ok(Some((status, body))) = answer else {
            // Silent, or gone: the list stays as it is, and the watch goes on from its version.
            connection = None;
            sleep(pause).await;
            pause = (2 * pause).min(LONGEST_PAUSE);
            continue;
        };
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            // It is there, and has too much to do: calls that come again soon would keep it so.
            turned_away += 1;
            connection = None;
            let pause = TURNED_AWAY_PAUSE * senders * turned_away.min(2);
            sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            continue;
        }
        turned_away = 0;
        match serde_json::from_slice::<ServerList>(&body) {
            Ok(list) if status == StatusCode::OK => {
                pause = FIRST_PAUSE;
                let empty = !list.full && list.servers.is_empty();
                version = Some(list.version);
                if !empty {
                    inputs.send(Input::List(list));
                } else if asked.elapsed() < EMPTY_PAUSE {
                    sleep(EMPTY_PAUSE).await;
                }
            }
            odd => {
                eprintln!(
                    "discovery: status {status}, {}",
                    odd.err().map_or("no list".into(), |e| e.to_string())
                );
                // Perhaps the version is unknown there: the whole list is asked for.
                version = None;
                sleep(pause).await;
                pause = (2 * pause).min(LONGEST_PAUSE);
            }
        }
    }
}

/// A connection for notices that stands idle: a new one for each would cost more than they do.
#[derive(Clone, Default)]
pub(crate) struct KeptConnection(Arc<Mutex<Option<(SocketAddr, Connection)>>>);

impl KeptConnection {
    fn slot(&self) -> MutexGuard<'_, Option<(SocketAddr, Connection)>> {
        // Each change is an assignment: a panic elsewhere leaves it whole.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The one to this address; one to another is closed.
    fn take(&self, address: SocketAddr) -> Option<Connection> {
        self.slot().take().filter(|(to, _)| *to == address).map(|(_, connection)| connection)
    }

    fn put(&self, address: SocketAddr, connection: Option<Connection>) {
        if let Some(connection) = connection {
            *self.slot() = Some((address, connection));
        }
    }
}

fn post(address: SocketAddr, lines: Bytes) -> Option<Request<Payload>> {
    let request = Request::post("/reports").header(HOST, address.to_string());
    request.header(CONTENT_TYPE, "application/json").body(Payload::uncounted(lines)).ok()
}

/// Sends notices, one JSON object a line, and tells whether they were taken, or cannot be read.
pub(crate) async fn report(
    address: SocketAddr, lines: String, numbers: Vec<u64>, kept: KeptConnection, inputs: Inputs,
) {
    let lines = Bytes::from(lines);
    let mut connection = kept.take(address);
    let mut wait = FIRST_REPORT_WAIT;
    let status = loop {
        let Some(request) = post(address, lines.clone()) else { break None };
        let reused = connection.is_some();
        match timeout(wait, exchange(&mut connection, address, request)).await {
            Ok(Some((status, _))) => break Some(status),
            // It was closed while it stood idle.
            Ok(None) if reused => continue,
            Ok(None) => break None,
            Err(_) if wait < LONGEST_REPORT_WAIT => wait *= 2,
            Err(_) => break None,
        }
        eprintln!("{} notices go again: no answer from {address}", numbers.len());
    };
    kept.put(address, connection);
    inputs.send(Input::Reported { numbers, status });
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::node;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// One report takes more than one connection, though the first says nothing: a notice that came only after a
    /// longer wait would be too late.
    #[tokio::test]
    async fn notices_on_a_silent_connection_go_again_on_another() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (inputs, mut receiver) = node::channel();
        tokio::spawn(report(address, "{}\n".into(), vec![7], KeptConnection::default(), inputs));
        let _silent = listener.accept().await.unwrap();
        let agent = async {
            let mut kept = Vec::new();
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 1024]).await;
                let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
                kept.push(stream);
            }
        };
        let told = tokio::select! {
            told = receiver.recv() => told,
            () = agent => None,
        };
        let Some(Input::Reported { numbers, status }) = told else { panic!("nothing was told") };
        assert_eq!((numbers, status), (vec![7], Some(StatusCode::NO_CONTENT)));
    }
}
