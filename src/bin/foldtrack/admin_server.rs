//! The door for operators: HTTP at an address of its own, one call to a connection. It decides nothing: a call that
//! takes an endpoint out or puts it back becomes an event of the node, which answers it.

use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::events::{AdminRequest, AdminResponse, EventSender, NodeEvent};
use crate::streams;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Connections at once at the most: few, so that callers take no descriptors from the messages.
pub(crate) const CALLERS: usize = 16;
/// A call comes whole within this span: its answer is due 1 s after it began.
const CALL_WAIT: Duration = Duration::from_millis(600);
/// Where the node has not answered so long after a caller came, as while it waits to take over, the answer is no.
const ANSWER_WAIT: Duration = Duration::from_millis(900);
/// No call needs a body; a longer one than this is not read.
const LONGEST_BODY: usize = 4 * 1024;
/// Bytes of a call's head at most; the least that the HTTP library takes.
const BUFFER: usize = 8 * 1024;
/// Pauses after the address could not be listened on, or a connection not be accepted.
const BIND_PAUSE: Duration = Duration::from_millis(500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves operators for as long as the process runs. Messages go on without it where it cannot listen.
pub(crate) async fn serve(address: SocketAddr, events: EventSender) {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => eprintln!("admin: listening on {address}: {error}"),
        }
        sleep(BIND_PAUSE).await;
    };
    let connections = ConnectionLimit::new(CALLERS);
    loop {
        let accepted = match listener.accept().await {
            Ok((stream, _)) => connections.acquire().await.map(|permit| (stream, permit)),
            Err(_) => None,
        };
        let Some((stream, (permit, closed))) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let events = events.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = caller(stream, &events, &permit) => {}
                // Only a caller that has asked for nothing yet is told to make room.
                Ok(()) = closed => {}
            }
        });
    }
}

async fn caller(stream: TcpStream, events: &EventSender, permit: &ConnectionPermit) {
    let due = Instant::now() + ANSWER_WAIT;
    let service = service_fn(|request| {
        Box::pin(async move { Ok::<_, Infallible>(answer(request, events, permit, due).await) })
    });
    let mut serving = http1::Builder::new()
        .max_buf_size(BUFFER)
        .timer(TokioTimer::new())
        .header_read_timeout(CALL_WAIT)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    // Errors are the caller's: it has gone, or does not speak HTTP.
    let _ = poll_fn(|cx| serving.poll_without_shutdown(cx)).await;
    streams::lingering_close(serving.into_parts().io.into_inner()).await;
}

async fn answer(
    request: Request<Incoming>, events: &EventSender, permit: &ConnectionPermit, due: Instant,
) -> Response<Full<Bytes>> {
    permit.mark_active();
    let AdminResponse { status, text } = match understand(request.method(), request.uri().path()) {
        Ok(asked) => match read_body(request.into_body()).await {
            Ok(()) => put(asked, events, due).await,
            Err(status) => AdminResponse::new(status, ""),
        },
        Err(Wrong::Unknown) => AdminResponse::new(StatusCode::NOT_FOUND, ""),
        Err(Wrong::Method(allowed)) => {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
            return response;
        }
    };
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

/// Why a call means nothing; with the method that its path takes, where it is that.
#[derive(Debug, PartialEq, Eq)]
enum Wrong {
    Unknown,
    Method(&'static str),
}

fn understand(method: &Method, path: &str) -> Result<AdminRequest, Wrong> {
    let rest = path.strip_prefix("/-/").ok_or(Wrong::Unknown)?;
    let (request, wanted) = match rest {
        "ready" => (AdminRequest::Ready, Method::GET),
        "metrics" => (AdminRequest::Metrics, Method::GET),
        _ => {
            let named = rest.strip_prefix("endpoints/").and_then(|rest| rest.rsplit_once('/'));
            let (id, verb) = named.filter(|(id, _)| !id.is_empty()).ok_or(Wrong::Unknown)?;
            match verb {
                "disable" => (AdminRequest::Disable(id.to_string()), Method::POST),
                "enable" => (AdminRequest::Enable(id.to_string()), Method::POST),
                _ => return Err(Wrong::Unknown),
            }
        }
    };
    if *method == wanted {
        return Ok(request);
    }
    Err(Wrong::Method(if wanted == Method::GET { "GET" } else { "POST" }))
}

/// A call counts once all of it has come: half a call has no effect.
async fn read_body(body: Incoming) -> Result<(), StatusCode> {
    if body.size_hint().lower() > LONGEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match timeout(CALL_WAIT, Limited::new(body, LONGEST_BODY).collect()).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// An answer that is not awaited any more is no, and its call has no effect.
async fn put(request: AdminRequest, events: &EventSender, due: Instant) -> AdminResponse {
    let (reply, told) = oneshot::channel();
    events.send(NodeEvent::Admin { request, reply });
    match timeout_at(due, told).await {
        Ok(Ok(told)) => told,
        _ => AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not at present\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_calls_of_the_page_are_understood() {
        let get = |path| understand(&Method::GET, path);
        let post = |path| understand(&Method::POST, path);
        assert_eq!(get("/-/ready"), Ok(AdminRequest::Ready));
        assert_eq!(get("/-/metrics"), Ok(AdminRequest::Metrics));
        assert_eq!(post("/-/endpoints/s-1/disable"), Ok(AdminRequest::Disable("s-1".into())));
        assert_eq!(post("/-/endpoints/s-1/enable"), Ok(AdminRequest::Enable("s-1".into())));
        assert_eq!(get("/-/endpoints/s-1/enable"), Err(Wrong::Method("POST")));
        assert_eq!(post("/-/metrics"), Err(Wrong::Method("GET")));
        for path in ["/", "/-/", "/-/endpoints", "/-/endpoints/disable", "/-/endpoints//disable", "/-/readyz"]
        {
            assert_eq!(post(path), Err(Wrong::Unknown), "{path}");
        }
    }
}
