//! HTTP/1.1 on loopback: a server with one thread for each connection, and a client that sends one request.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that a server has read whole.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }
}

/// What a server does with a request.
pub enum Reply {
    /// Status line, header lines (each with its line end) and body, with the length of the body.
    Answer(u16, String, String),
    /// These bytes, and then the end of the connection.
    ThenClose(Vec<u8>),
}

pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// Serves on a free port until the process ends.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, headers, body) => {
                let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
                stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice()).ok()?;
            }
            Reply::ThenClose(bytes) => {
                stream.write_all(&bytes).ok()?;
                stream.shutdown(Shutdown::Both).ok()?;
                return None;
            }
        }
    }
    None
}

/// A whole answer, and the connection on which it came.
pub struct Answer {
    pub status: u16,
    connection: BufReader<TcpStream>,
}

/// Sends one request on a connection of its own. Returns the answer, if it came within `wait`.
pub fn exchange(to: SocketAddr, request: &str, body: &[u8], wait: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(&[request.as_bytes(), body].concat()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Answer { status, connection: reader })
}

impl Answer {
    /// Keeps the connection until the server closes it, for `limit` at most.
    pub fn rest(mut self, limit: Duration) {
        let begun = Instant::now();
        while let Some(left) = limit.checked_sub(begun.elapsed()).filter(|left| !left.is_zero()) {
            let _ = self.connection.get_ref().set_read_timeout(Some(left));
            if matches!(self.connection.read(&mut [0; 64]), Ok(0)) {
                return;
            }
        }
    }
}
