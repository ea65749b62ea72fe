//! The platform's agent: a watch on the list of targets, and reports on how messages ended.

use crate::connection::{Connection, Payload};
use crate::events::{Input, Inputs};
use bytes::Bytes;
use hatchline::discovery::list::ServerList;
use hatchline::Settings;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How long a watch may stay without news. A call that waits takes a place at discovery, and may queue for one; the next
/// follows at once, or it would count as a new watch, which costs discovery more.
const WATCH: Duration = Duration::from_secs(1);
/// How much later than that an answer may come, or than at once where nothing is waited for. What a silent watch misses
/// binds 6 s after it fell silent, and 4 s after SIGHUP: by then another call has to have its answer. Where lists are
/// pushed the agent has them at hand. Where they are told on request, discovery may have a fleet to answer before; but what
/// it had while a call was out binds too, and two calls that find silence, or one behind a call turned away, fit into 6 s.
const AGENT_LATE: Duration = Duration::from_secs(1);
const DISCOVERY_LATE: Duration = Duration::from_millis(1500);
/// Pauses after a failure: doubled each time, from the first to the longest. What an agent gets when discovery is back
/// binds at once, and drains are kept within some hundreds of milliseconds: no pause may take those up.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_AGENT_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Discovery serves a whole fleet, and what it turns away costs it nearly as much as what it answers. A call that
/// was turned away comes again after so long for each forwarder in the fleet, a half more or less.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(125);
/// But what discovery has binds 6 s later, whatever calls it refused: two such pauses, or one and a silent call, have to
/// fit into that, in a fleet of any size.
const LONGEST_TURNED_AWAY_PAUSE: Duration = Duration::from_millis(1850);
/// Where lists are told on request, a fleet that starts together begins its watches at random within so long for each
/// forwarder in it: discovery takes on some twenty new watches a second, and all that wait behind those are turned away.
/// Where they are pushed, the agent has them already, and they bind from then on: a watch costs nothing and begins at once.
const BEGIN_SPREAD: Duration = Duration::from_millis(50);
/// What discovery has to tell binds after 6 s at the latest: no watch begins so late that a first call which finds silence,
/// or is turned away, would not leave time for a second.
const LATEST_BEGIN: Duration = Duration::from_millis(2500);
/// An agent that answers each watch at once, without news, is not asked more often than this.
const EMPTY_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_LIST: usize = 4 << 20;
/// Notices without an answer for so long go again on a new connection, with twice as long to wait, until it is the
/// longest. The agent answers at once, and notices count until 300 ms after their messages' time: where a connection is
/// lost, the next has to be made within that.
const FIRST_REPORT_WAIT: Duration = Duration::from_millis(100);
const LONGEST_REPORT_WAIT: Duration = Duration::from_millis(800);
/// Reports under way at once, and the pause of one after a failure.
const REPORTS: usize = 8;
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// What the agent says to a notice is its status.
const LONGEST_ANSWER: usize = 64 * 1024;

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
    let mut from = Some(known.version).filter(|_| !known.servers.is_empty());
    if settings.subscribe {
        sleep((BEGIN_SPREAD * settings.senders).min(LATEST_BEGIN).mul_f64(fastrand::f64())).await;
    }
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            () = watch_at(address, settings, from.take(), inputs.clone()) => return,
            moved = discovery.changed() => if moved.is_err() { return },
        }
    }
}

/// Watches the list at one address, from a version or from the whole list on: another agent's answers need not go on
/// from the last.
async fn watch_at(address: SocketAddr, settings: &Settings, mut version: Option<u64>, inputs: Inputs) {
    let mut connection = None;
    let mut pause = FIRST_PAUSE;
    let (late, longest_pause) = match settings.subscribe {
        true => (DISCOVERY_LATE, LONGEST_PAUSE),
        false => (AGENT_LATE, LONGEST_AGENT_PAUSE),
    };
    loop {
        let (path, wait) = match version {
            Some(v) => (format!("/v1/servers?since={v}&timeout_ms={}", WATCH.as_millis()), WATCH),
            None => ("/v1/servers".to_string(), Duration::ZERO),
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
            pause = (2 * pause).min(longest_pause);
            continue;
        };
        if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
            // It is there, and has too much to do: calls that come again soon would keep it so.
            connection = None;
            let pause = (TURNED_AWAY_PAUSE * settings.senders).min(LONGEST_TURNED_AWAY_PAUSE);
            sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
            continue;
        }
        match serde_json::from_slice::<ServerList>(&body) {
            Ok(list) if status == StatusCode::OK => {
                pause = FIRST_PAUSE;
                let empty = !list.full && list.servers.is_empty();
                let news = version.replace(list.version) != Some(list.version);
                if !empty {
                    inputs.send(Input::List(list));
                }
                if !news && asked.elapsed() < EMPTY_PAUSE {
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
                pause = (2 * pause).min(longest_pause);
            }
        }
    }
}

/// A connection for notices. What moves it runs within the call on it: a task of its own would have to wait for its turn
/// behind all that is ready, twice for each notice.
struct AgentLine {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl AgentLine {
    async fn open(address: SocketAddr) -> io::Result<AgentLine> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // Errors reach the call that is out.
        let driver = async move { drop(connection.await) };
        Ok(AgentLine { sender, driver: Some(Box::pin(driver)) })
    }

    /// The status of the answer to one request, and whether another may follow.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, bool)> {
        let AgentLine { sender, driver } = self;
        let call = async {
            let (head, body) = sender.send_request(request).await.ok()?.into_parts();
            let whole = Limited::new(body, LONGEST_ANSWER).collect().await.is_ok();
            Some((head.status, whole && sender.ready().await.is_ok()))
        };
        let mut call = pin!(call);
        poll_fn(|cx| {
            // Written at once, and an answer that has come is read at once.
            let answer = call.as_mut().poll(cx);
            if answer.is_ready() {
                return answer;
            }
            if driver.as_mut().is_some_and(|driver| driver.as_mut().poll(cx).is_ready()) {
                *driver = None;
            }
            call.as_mut().poll(cx)
        })
        .await
    }
}

/// A connection that stands idle: a new one for each notice would cost more than they do.
type KeptLine = Arc<Mutex<Option<(SocketAddr, AgentLine)>>>;

fn kept(slot: &KeptLine) -> MutexGuard<'_, Option<(SocketAddr, AgentLine)>> {
    // Each change is an assignment: a panic elsewhere leaves it whole.
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Notices under way. They run within the node's own turn: each is written in the turn in which it is decided.
pub(crate) struct Reports {
    out: Vec<Pin<Box<dyn Future<Output = Vec<u64>> + Send>>>,
    kept: KeptLine,
    discovery: watch::Receiver<SocketAddr>,
}

impl Reports {
    /// To discovery, wherever it is.
    pub fn new(discovery: watch::Receiver<SocketAddr>) -> Reports {
        Reports { out: Vec::new(), kept: KeptLine::default(), discovery }
    }

    pub fn has_room(&self) -> bool {
        self.out.len() < REPORTS
    }

    /// Sends notices, one JSON object a line, until they are taken.
    pub fn send(&mut self, lines: String, numbers: Vec<u64>) {
        let (slot, discovery) = (self.kept.clone(), self.discovery.clone());
        self.out.push(Box::pin(async move {
            report(Bytes::from(lines), numbers.len(), slot, discovery).await;
            numbers
        }));
    }

    /// The next that are taken. All go on while this is awaited.
    pub async fn taken(&mut self) -> Vec<u64> {
        poll_fn(|cx| {
            for at in 0..self.out.len() {
                if let Poll::Ready(numbers) = self.out[at].as_mut().poll(cx) {
                    drop(self.out.swap_remove(at));
                    return Poll::Ready(numbers);
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Posts notices on the kept connection or a new one; the status of the answer, if one came.
async fn post(address: SocketAddr, lines: Bytes, slot: &KeptLine) -> Option<StatusCode> {
    loop {
        // One to another address is closed.
        let kept_line = kept(slot).take().filter(|(to, _)| *to == address);
        let reused = kept_line.is_some();
        let mut line = match kept_line {
            Some((_, line)) => line,
            None => AgentLine::open(address).await.ok()?,
        };
        let request = Request::post("/reports").header(HOST, address.to_string());
        let request = request.header(CONTENT_TYPE, "application/json").body(Full::new(lines.clone())).ok()?;
        match line.call(request).await {
            Some((status, usable)) => {
                *kept(slot) = usable.then_some((address, line));
                return Some(status);
            }
            // It was closed while it stood idle.
            None if reused => continue,
            None => return None,
        }
    }
}

async fn report(lines: Bytes, count: usize, slot: KeptLine, mut discovery: watch::Receiver<SocketAddr>) {
    let mut wait = FIRST_REPORT_WAIT;
    loop {
        let address = *discovery.borrow_and_update();
        let attempt = async {
            match timeout(wait, post(address, lines.clone(), &slot)).await {
                Ok(Some(StatusCode::NO_CONTENT)) => return true,
                Ok(status) => {
                    eprintln!("{count} notices were not taken by {address}: {status:?}");
                    sleep(REPORT_PAUSE).await;
                }
                Err(_) => eprintln!("{count} notices go again: no answer from {address}"),
            }
            false
        };
        tokio::select! {
            biased;
            taken = attempt => if taken { return },
            // What the old address has not taken goes to the new one at once.
            Ok(()) = discovery.changed() => continue,
        }
        wait = (2 * wait).min(LONGEST_REPORT_WAIT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::task::{Context, Waker};
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    async fn listen() -> (TcpListener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        (listener, address)
    }

    /// Takes the notices of each connection that comes.
    async fn take_all(listener: &TcpListener) {
        let mut kept = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(TAKEN).await;
            kept.push(stream);
        }
    }

    const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
    const LONG: Duration = Duration::from_secs(10);

    /// One report takes more than one connection, though the first says nothing: a notice that came only after a
    /// longer wait would be too late.
    #[tokio::test]
    async fn notices_on_a_silent_connection_go_again_on_another() {
        let (listener, address) = listen().await;
        let (_discovery, seen) = watch::channel(address);
        let mut reports = Reports::new(seen);
        reports.send("{}\n".into(), vec![7]);
        let agent = async {
            let _silent = listener.accept().await.unwrap();
            take_all(&listener).await;
        };
        let taken = tokio::select! {
            taken = timeout(LONG, reports.taken()) => taken,
            () = agent => unreachable!(),
        };
        assert_eq!(taken, Ok(vec![7]));
    }

    /// scrape+rate+leave with little processor time: each hand from task to task waited for a turn of all that was ready.
    #[tokio::test]
    async fn a_notice_on_a_kept_connection_is_written_and_its_answer_read_without_another_task() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (_discovery, seen) = watch::channel(listener.local_addr().unwrap());
        let mut reports = Reports::new(seen);
        let address = listener.local_addr().unwrap();
        *kept(&reports.kept) = Some((address, AgentLine::open(address).await.unwrap()));
        let mut agent = listener.accept().unwrap().0;
        agent.set_read_timeout(Some(LONG)).unwrap();
        for number in [1, 2] {
            reports.send(format!("notice {number}\n"), vec![number]);
            // One look is all it takes: nothing else runs before the agent reads it.
            assert!(pin!(reports.taken()).poll(&mut Context::from_waker(Waker::noop())).is_pending());
            let mut heard = [0; 1024];
            let n = std::io::Read::read(&mut agent, &mut heard).expect("a notice");
            assert!(String::from_utf8_lossy(&heard[..n]).contains(&format!("notice {number}")));
            std::io::Write::write_all(&mut agent, TAKEN).unwrap();
            assert_eq!(timeout(LONG, reports.taken()).await, Ok(vec![number]));
        }
    }

    /// By the terms the old address is closed 1.5 s after discovery has moved: notices that it has not taken go to the
    /// new one at the next look, not after its time for an answer.
    #[tokio::test]
    async fn notices_that_an_old_address_has_not_taken_go_to_the_new_one_at_once() {
        let ((_old, old_address), new) =
            (listen().await, std::net::TcpListener::bind("127.0.0.1:0").unwrap());
        let (discovery, seen) = watch::channel(old_address);
        let mut reports = Reports::new(seen);
        reports.send("{}\n".into(), vec![7]);
        let mut look = || pin!(reports.taken()).poll(&mut Context::from_waker(Waker::noop())).is_pending();
        assert!(look());
        discovery.send_replace(new.local_addr().unwrap());
        assert!(look());
        new.set_nonblocking(true).unwrap();
        new.accept().expect("a connection to the new address");
    }
}
