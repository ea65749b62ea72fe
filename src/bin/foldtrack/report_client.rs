//! The client that reports undelivered messages to the platform, until each report is acknowledged.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_TYPE, HOST};
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
use tokio::time::{sleep, timeout};

/// Notices without an answer for so long go again on a new connection, with twice as long to wait, until it is the
/// longest. The agent answers at once, and notices count until 300 ms after their messages' time: where a connection is
/// lost, the next has to be made within that.
const FIRST_REPORT_WAIT: Duration = Duration::from_millis(100);
const LONGEST_REPORT_WAIT: Duration = Duration::from_millis(800);
/// Reports under way at once.
const MOST_REPORTS: usize = 8;
/// The pause of a report after a failure.
const REPORT_PAUSE: Duration = Duration::from_millis(100);
/// What the agent says to a notice is its status.
const LONGEST_ANSWER: usize = 64 * 1024;

/// A connection for notices. What moves it runs within the call on it: a task of its own would have to wait for its turn
/// behind all that is ready, twice for each notice.
struct ReportConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl ReportConnection {
    async fn open(address: SocketAddr) -> io::Result<ReportConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // Errors reach the call that is out.
        let driver = async move { drop(connection.await) };
        Ok(ReportConnection { sender, driver: Some(Box::pin(driver)) })
    }

    /// The status of the answer to one request, and whether another may follow.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, bool)> {
        let ReportConnection { sender, driver } = self;
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
type KeptConnection = Arc<Mutex<Option<(SocketAddr, ReportConnection)>>>;

fn kept(slot: &KeptConnection) -> MutexGuard<'_, Option<(SocketAddr, ReportConnection)>> {
    // Each change is an assignment: a panic elsewhere leaves it whole.
    slot.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Notices under way. They run within the node's own turn: each is written in the turn in which it is decided.
pub(crate) struct ReportClient {
    out: Vec<Pin<Box<dyn Future<Output = Vec<u64>> + Send>>>,
    kept: KeptConnection,
    discovery: watch::Receiver<SocketAddr>,
}

impl ReportClient {
    /// To discovery, wherever it is.
    pub fn new(discovery: watch::Receiver<SocketAddr>) -> ReportClient {
        ReportClient { out: Vec::new(), kept: KeptConnection::default(), discovery }
    }

    pub fn has_capacity(&self) -> bool {
        self.out.len() < MOST_REPORTS
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
    pub async fn acknowledged(&mut self) -> Vec<u64> {
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
async fn post(address: SocketAddr, lines: Bytes, slot: &KeptConnection) -> Option<StatusCode> {
    loop {
        // One to another address is closed.
        let kept_line = kept(slot).take().filter(|(to, _)| *to == address);
        let reused = kept_line.is_some();
        let mut line = match kept_line {
            Some((_, line)) => line,
            None => ReportConnection::open(address).await.ok()?,
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

async fn report(
    lines: Bytes, count: usize, slot: KeptConnection, mut discovery: watch::Receiver<SocketAddr>,
) {
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
#[path = "report_client_tests.rs"]
mod tests;
