//! The HTTP server for operators, on an address of its own, with one request per connection. It parses
//! requests and passes them to the node, which decides and responds.

use crate::connection_limit::{ConnectionLimit, ConnectionPermit};
use crate::events::{AdminRequest, AdminResponse, EventSender, NodeEvent};
use crate::http_body::{read_to_end, BodyError, Unshared};
use crate::streams;
use bytes::Bytes;
use http_body_util::Full;
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

/// Limit on concurrent connections. It is small so that operators take no file descriptors away from
/// messages.
pub(crate) const MAX_CONNECTIONS: usize = 16;
/// Time within which a request has to arrive whole: its response is due 1 s after it began.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);
/// How long an accepted connection waits for another one to close before it is refused.
const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(500);
/// If the node has not responded this long after the connection was accepted, for example because it waits to
/// take over, the response is 503.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Upper bound on the time of a connection, whatever its peer reads.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// No request needs a body; one longer than this is not read.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Limit on the head of a request: the least that the HTTP library supports.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Delays before retrying a failed bind or accept.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves operators for as long as the process runs. Messages are served even if this address cannot be
/// bound.
pub(crate) async fn serve(address: SocketAddr, events: EventSender) {
    let listener = loop {
        match TcpListener::bind(address).await {
            Ok(listener) => break listener,
            Err(error) => log::warn!("admin: cannot listen on {address}: {error}"),
        }
        sleep(BIND_RETRY_DELAY).await;
    };
    let connections = ConnectionLimit::new(MAX_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some((permit, evicted)) = connections.acquire_within(MAX_CONNECTION_WAIT).await else {
            connections.refuse(stream);
            continue;
        };
        let events = events.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, &events, &permit) => {}
                // Only a connection that has not sent a request yet is evicted.
                Ok(()) = evicted => {}
            }
        });
    }
}

async fn serve_connection(stream: TcpStream, events: &EventSender, permit: &ConnectionPermit) {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let service = service_fn(|request| {
        Box::pin(async move { Ok::<_, Infallible>(respond(request, events, permit, deadline).await) })
    });
    let mut http_connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .keep_alive(false)
        .half_close(true)
        .serve_connection(TokioIo::new(stream), service);
    let served = poll_fn(|cx| http_connection.poll_without_shutdown(cx));
    // Errors are the peer's: it has disconnected, or does not speak HTTP.
    if timeout(CONNECTION_TIMEOUT, served).await.is_err() {
        return;
    }
    streams::lingering_close(http_connection.into_parts().io.into_inner()).await;
}

async fn respond(
    request: Request<Incoming>, events: &EventSender, permit: &ConnectionPermit, deadline: Instant,
) -> Response<Full<Bytes>> {
    let admin_request = parse_request(request.method(), request.uri().path());
    let body = read_body(request.into_body()).await;
    // Until then it makes room for others, as a silent connection does.
    permit.mark_active();
    let AdminResponse { status, text } = match (admin_request, body) {
        (Ok(admin_request), Ok(())) => ask_node(admin_request, events, deadline).await,
        (Ok(_), Err(status)) => AdminResponse::new(status, ""),
        (Err(RequestError::UnknownPath), _) => AdminResponse::new(StatusCode::NOT_FOUND, ""),
        (Err(RequestError::MethodNotAllowed(allowed)), _) => {
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

/// Why a request is invalid.
#[derive(Debug, PartialEq, Eq)]
enum RequestError {
    /// No resource has this path.
    UnknownPath,
    /// The path takes this method only.
    MethodNotAllowed(&'static str),
}

fn parse_request(method: &Method, path: &str) -> Result<AdminRequest, RequestError> {
    let rest = path.strip_prefix("/-/").ok_or(RequestError::UnknownPath)?;
    let (request, expected) = match rest {
        "ready" => (AdminRequest::Ready, Method::GET),
        "metrics" => (AdminRequest::Metrics, Method::GET),
        _ => {
            let named = rest.strip_prefix("endpoints/").and_then(|rest| rest.rsplit_once('/'));
            let (id, verb) = named.filter(|(id, _)| !id.is_empty()).ok_or(RequestError::UnknownPath)?;
            match verb {
                "disable" => (AdminRequest::Disable(id.to_string()), Method::POST),
                "enable" => (AdminRequest::Enable(id.to_string()), Method::POST),
                _ => return Err(RequestError::UnknownPath),
            }
        }
    };
    if *method == expected {
        return Ok(request);
    }
    Err(RequestError::MethodNotAllowed(if expected == Method::GET { "GET" } else { "POST" }))
}

/// Reads the body to its end: an incomplete request has no effect.
async fn read_body(body: Incoming) -> Result<(), StatusCode> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    match timeout(REQUEST_TIMEOUT, read_to_end(body, MAX_BODY_BYTES, &mut Unshared)).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(BodyError::TooLong)) => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(BodyError::Interrupted)) => Err(StatusCode::BAD_REQUEST),
        Ok(Err(BodyError::OutOfMemory)) => Err(StatusCode::SERVICE_UNAVAILABLE),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Passes a request to the node and waits for its response. A request that has timed out has no effect: the
/// node drops it.
async fn ask_node(request: AdminRequest, events: &EventSender, deadline: Instant) -> AdminResponse {
    let (reply, response) = oneshot::channel();
    events.send(NodeEvent::Admin { request, reply });
    match timeout_at(deadline, response).await {
        Ok(Ok(response)) => response,
        _ => AdminResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not at present\n"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_known_requests_are_parsed() {
        let get = |path| parse_request(&Method::GET, path);
        let post = |path| parse_request(&Method::POST, path);
        assert_eq!(get("/-/ready"), Ok(AdminRequest::Ready));
        assert_eq!(get("/-/metrics"), Ok(AdminRequest::Metrics));
        assert_eq!(post("/-/endpoints/s-1/disable"), Ok(AdminRequest::Disable("s-1".into())));
        assert_eq!(post("/-/endpoints/s-1/enable"), Ok(AdminRequest::Enable("s-1".into())));
        assert_eq!(get("/-/endpoints/s-1/enable"), Err(RequestError::MethodNotAllowed("POST")));
        assert_eq!(post("/-/metrics"), Err(RequestError::MethodNotAllowed("GET")));
        for path in ["/", "/-/", "/-/endpoints", "/-/endpoints/disable", "/-/endpoints//disable", "/-/readyz"]
        {
            assert_eq!(post(path), Err(RequestError::UnknownPath), "{path}");
        }
    }
}
