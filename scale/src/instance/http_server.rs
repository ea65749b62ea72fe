//! An HTTP server on a loopback port that the system chooses.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

/// Delay before the next connection is accepted after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Responds to the requests of an HTTP server.
pub(super) trait Handler: Send + Sync + 'static {
    /// Responds to a request whose body has been read completely.
    fn respond(&self, request: Request<Bytes>) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// A running server. Dropping it closes it and its connections.
#[derive(Debug)]
pub(super) struct HttpServer {
    pub address: SocketAddr,
    accept_task: AbortHandle,
}

impl HttpServer {
    pub async fn start(handler: Arc<impl Handler>) -> io::Result<HttpServer> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let accept_task = tokio::spawn(accept(listener, handler)).abort_handle();
        Ok(HttpServer { address, accept_task })
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, handler: Arc<impl Handler>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(connections.spawn(serve(stream, handler.clone()))),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, handler: Arc<impl Handler>) {
    // Otherwise a response could be delayed until the client acknowledges the previous one. Failure is harmless.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let handler = &handler;
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(handler.respond(Request::from_parts(head, body)).await)
        }
    });
    // An error closes the connection, which the forwarder notices.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
