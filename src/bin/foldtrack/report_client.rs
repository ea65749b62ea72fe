//! Reports undelivered messages to discovery, until each report is acknowledged or refused.

use crate::exchange::Exchange;
use crate::http_body::{read_to_end, Unshared};
use crate::notice_queue::Report;
use crate::streams::ObservedStream;
use bytes::Bytes;
use http_body_util::Full;
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

/// A report without a response within this time is sent again on a new connection; the timeout doubles each time, up
/// to the maximum. Discovery responds at once, and a notice counts until 300 ms after the deadline of its message: if a
/// connection is lost, the next one has to be made within that time.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(100);
const MAX_REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of reports in flight.
const MAX_REPORTS_IN_FLIGHT: usize = 8;
/// Delay before a report whose connection was lost is sent again.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest response body that is read; the status alone is the acknowledgement.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// A connection for reports. Its driver is polled within the call on it: a task of its own would have to wait for its
/// turn behind all tasks that are ready, twice for each report.
struct ReportConnection {
    exchange: Exchange,
    sender: SendRequest<Full<Bytes>>,
    driver: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl ReportConnection {
    async fn open(address: SocketAddr) -> io::Result<ReportConnection> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let exchange = Exchange::default();
        let observed = ObservedStream { stream, observer: exchange.clone() };
        let (sender, connection) =
            http1::handshake(TokioIo::new(observed)).await.map_err(io::Error::other)?;
        // The call in flight gets the error.
        let driver = async move { drop(connection.await) };
        Ok(ReportConnection { exchange, sender, driver: Some(Box::pin(driver)) })
    }

    /// Sends one request. Returns the status of the response, and whether the connection can be used again.
    async fn call(&mut self, request: Request<Full<Bytes>>) -> Option<(StatusCode, bool)> {
        let ReportConnection { exchange, sender, driver } = self;
        exchange.begin();
        let call = async {
            let (head, body) = sender.send_request(request).await.ok()?.into_parts();
            let complete = read_to_end(body, MAX_RESPONSE_BYTES, &mut Unshared).await.is_ok();
            Some((head.status, complete && sender.ready().await.is_ok()))
        };
        let mut call = pin!(call);
        poll_fn(|cx| {
            // Writes the request at once, and reads a response that has arrived.
            let response = call.as_mut().poll(cx);
            if response.is_ready() {
                return response;
            }
            if driver.as_mut().is_some_and(|driver| driver.as_mut().poll(cx).is_ready()) {
                *driver = None;
            }
            call.as_mut().poll(cx)
        })
        .await
    }
}

/// The idle connection that is kept, with its address: a new one for each report would cost more than the reports
/// themselves.
type IdleConnection = Arc<Mutex<Option<(SocketAddr, ReportConnection)>>>;

fn lock_idle_connection(
    idle_connection: &IdleConnection,
) -> MutexGuard<'_, Option<(SocketAddr, ReportConnection)>> {
    // Each change is an assignment: a panic elsewhere leaves it consistent.
    idle_connection.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a report has ended, with the numbers of its messages.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReportEnd {
    Acknowledged(Vec<u64>),
    /// Discovery has responded with an error, and would do so again if it is for what the report holds.
    Refused(Vec<u64>),
}

/// Reports in flight. They are polled by the node's own task, so that each is written in the turn in which it is
/// decided.
pub(crate) struct ReportClient {
    in_flight: Vec<Pin<Box<dyn Future<Output = ReportEnd> + Send>>>,
    idle_connection: IdleConnection,
    discovery_address: watch::Receiver<SocketAddr>,
}

impl ReportClient {
    /// Sends reports to the current address of discovery.
    pub fn new(discovery_address: watch::Receiver<SocketAddr>) -> ReportClient {
        ReportClient { in_flight: Vec::new(), idle_connection: IdleConnection::default(), discovery_address }
    }

    pub fn has_capacity(&self) -> bool {
        self.in_flight.len() < MAX_REPORTS_IN_FLIGHT
    }

    /// Sends a report until it is acknowledged or refused.
    pub fn send(&mut self, report: Report) {
        let (idle_connection, discovery_address) =
            (self.idle_connection.clone(), self.discovery_address.clone());
        self.in_flight.push(Box::pin(async move {
            let (lines, count) = (Bytes::from(report.lines), report.numbers.len());
            match send_report(lines, count, idle_connection, discovery_address).await {
                StatusCode::NO_CONTENT => ReportEnd::Acknowledged(report.numbers),
                _ => ReportEnd::Refused(report.numbers),
            }
        }));
    }

    /// Waits for the end of the next report. All reports make progress while this is polled.
    pub async fn next_end(&mut self) -> ReportEnd {
        poll_fn(|cx| {
            for at in 0..self.in_flight.len() {
                if let Poll::Ready(end) = self.in_flight[at].as_mut().poll(cx) {
                    drop(self.in_flight.swap_remove(at));
                    return Poll::Ready(end);
                }
            }
            Poll::Pending
        })
        .await
    }
}

/// Posts a report on the kept connection or on a new one. Returns the status of the response, if one arrived.
async fn post(address: SocketAddr, lines: Bytes, idle_connection: &IdleConnection) -> Option<StatusCode> {
    loop {
        // A connection to another address is closed.
        let idle = lock_idle_connection(idle_connection).take().filter(|(to, _)| *to == address);
        let reused = idle.is_some();
        let mut connection = match idle {
            Some((_, connection)) => connection,
            None => ReportConnection::open(address).await.ok()?,
        };
        let request = Request::post("/reports").header(HOST, address.to_string());
        let request = request.header(CONTENT_TYPE, "application/json").body(Full::new(lines.clone())).ok()?;
        match connection.call(request).await {
            Some((status, usable)) => {
                *lock_idle_connection(idle_connection) = usable.then_some((address, connection));
                return Some(status);
            }
            // The connection was closed while it was idle.
            None if reused => continue,
            None => return None,
        }
    }
}

/// Sends a report until there is a response, and returns its status.
async fn send_report(
    lines: Bytes, count: usize, idle_connection: IdleConnection,
    mut discovery_address: watch::Receiver<SocketAddr>,
) -> StatusCode {
    let mut report_timeout = FIRST_REPORT_TIMEOUT;
    loop {
        let address = *discovery_address.borrow_and_update();
        let attempt = async {
            match timeout(report_timeout, post(address, lines.clone(), &idle_connection)).await {
                Ok(Some(status)) => return Some(status),
                Ok(None) => {
                    log::warn!(
                        "reports: connection to {address} lost with {count} notices; sending them again"
                    );
                    sleep(REPORT_RETRY_DELAY).await;
                }
                Err(_) => log::warn!("reports: {address} silent about {count} notices; sending them again"),
            }
            None
        };
        tokio::select! {
            biased;
            status = attempt => if let Some(status) = status {
                if status != StatusCode::NO_CONTENT {
                    log::warn!("reports: {address} has responded {status} to {count} notices; each is sent again alone");
                }
                return status;
            },
            // A report that the old address has not acknowledged goes to the new one at once.
            Ok(()) = discovery_address.changed() => continue,
        }
        report_timeout = (2 * report_timeout).min(MAX_REPORT_TIMEOUT);
    }
}

#[cfg(test)]
#[path = "report_client_tests.rs"]
mod tests;
