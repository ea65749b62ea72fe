//! A crowd of client connections that misbehave together, beside the clients of a test.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// What each connection of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Sent as fast as the connection takes it.
    pub start: Vec<u8>,
    /// Sent a piece at a time after that, one piece in each pass over all connections.
    pub piece: Vec<u8>,
    pub pieces: usize,
}

/// Pause between two passes over all connections.
const PASS_PAUSE: Duration = Duration::from_millis(1);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
/// Threads that share the connections, so that one that waits does not hold up all.
const DRIVERS: usize = 5;

struct Member {
    stream: Option<TcpStream>,
    written: usize,
}

impl Member {
    /// Connects if the forwarder has closed the connection, and sends what is due next.
    fn advance(&mut self, address: SocketAddr, script: &Script) {
        if self.stream.is_none() {
            // A full accept queue answers a second later.
            let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { return };
            stream.set_nonblocking(true).unwrap();
            stream.set_nodelay(true).unwrap();
            (self.stream, self.written) = (Some(stream), 0);
        }
        let Some(stream) = &mut self.stream else { return };
        let in_pieces = self.written.saturating_sub(script.start.len());
        let due = if self.written < script.start.len() {
            &script.start[self.written..]
        } else if in_pieces < script.pieces * script.piece.len() {
            &script.piece[in_pieces % script.piece.len()..]
        } else {
            &[]
        };
        let sent = if due.is_empty() { Ok(0) } else { stream.write(due) };
        let is_open = |result: &std::io::Result<usize>| match result {
            Ok(_) => true,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        };
        let received = stream.read(&mut [0; 1024]);
        let closed = matches!(received, Ok(0)) || !is_open(&received) || !is_open(&sent);
        self.written += sent.unwrap_or(0);
        if closed {
            self.stream = None;
        }
    }
}

/// A crowd that runs until it is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    drivers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` connections to `address`, which all follow the script, and connect again when closed.
    pub fn start(address: SocketAddr, count: usize, script: Script) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let drivers = (0..DRIVERS).map(|driver| {
            let (stopped, script) = (stop.clone(), script.clone());
            let share = (driver..count).step_by(DRIVERS).count();
            thread::spawn(move || {
                let mut members: Vec<_> = (0..share).map(|_| Member { stream: None, written: 0 }).collect();
                while !stopped.load(Ordering::Relaxed) {
                    members.iter_mut().for_each(|member| member.advance(address, &script));
                    thread::sleep(PASS_PAUSE);
                }
            })
        });
        let drivers = drivers.collect();
        Crowd { stop, drivers }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.drivers.drain(..).for_each(|driver| drop(driver.join()));
    }
}
