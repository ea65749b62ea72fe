//! Hot restart: a new process takes over from the running one. This module contains the lock whose holder owns the
//! write-ahead log, and the exchange that transfers the ownership.

use crate::events::{EventSender, NodeEvent};
use hatchline::settings::DeploymentSettings;
use hatchline::{Micros, TargetId};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, TryLockError};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Timeout of each step of the exchange. The owner is blocked while it waits.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a successor tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest content of a frame: the state with the maximum number of held messages.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// Longest path that fits into a Unix socket address.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// The one-byte messages of the exchange, in order: the owner sends its file descriptors, the successor is ready to
/// take over, the owner grants the ownership.
const DESCRIPTORS: u8 = 1;
const SUCCESSOR_READY: u8 = 2;
const OWNERSHIP_GRANTED: u8 = 3;

/// File lock that the owner of the write-ahead log holds. The kernel releases it when the owner ends, also after a
/// crash.
#[derive(Debug)]
pub(crate) struct LogLock(File);

impl LogLock {
    /// Takes the lock, unless another process holds it.
    pub fn try_acquire(state_directory: &Path) -> io::Result<Option<LogLock>> {
        let file = File::options().create(true).append(true).open(state_directory.join("lock"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(LogLock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

/// Identifies the format of the transferred state: its layout, and the names that it refers to by their position in
/// the settings. A takeover needs equal formats.
pub(crate) fn state_format(settings: &DeploymentSettings) -> String {
    let DeploymentSettings { class_names, kind_names, zone_names, .. } = settings;
    format!("{} {class_names:?} {kind_names:?} {zone_names:?}", hatchline::FORMAT)
}

/// The part of the state of a held message that the write-ahead log does not contain.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MessageState {
    /// Number of the message in the order of arrival.
    pub number: u64,
    pub attempts: u32,
    /// Whether its client has been told that it is accepted.
    pub acknowledged: bool,
    /// Responses to its client that the old process is writing.
    pub pending_responses: u32,
    /// A send that the policy has decided on and that has not started: attempt, target, time of its timeout, time of
    /// the decision.
    pub pending_send: Option<(u32, TargetId, Micros, Micros)>,
}

/// The state that a successor needs in addition to the write-ahead log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TakeoverState {
    /// The owner's clock, and the Unix time at that moment.
    pub clock_now: Micros,
    pub unix_now: Micros,
    /// Exported state of the policy.
    pub policy: Vec<u8>,
    /// Number of the next message.
    pub next_number: u64,
    pub messages: Vec<MessageState>,
    /// Calls that the old process completes: message number, attempt, target, and whether the start of the attempt is
    /// logged.
    pub calls: Vec<(u64, u32, TargetId, bool)>,
    /// Endpoints by target id: name, address, zone, connection generation.
    pub endpoints: Vec<(String, SocketAddr, u32, u32)>,
    /// Due time and token of each timer of the policy.
    pub timers: Vec<(Micros, u32)>,
    /// Client connections that stay with the old process.
    pub client_connections: usize,
}

/// How a process starts.
pub(crate) enum StartMode {
    /// No other process owns the log.
    ColdStart(LogLock),
    /// The owner offers to hand over.
    Takeover(Box<TakeoverOffer>),
}

/// A takeover that the owner offers. It stays the owner unless the offer is [accepted](TakeoverOffer::accept) in
/// time.
pub(crate) struct TakeoverOffer {
    pub state: TakeoverState,
    stream: UnixStream,
    listener: OwnedFd,
    lock: LogLock,
}

/// Determines how to start. Waits while another process is the owner and neither hands over nor ends.
pub(crate) async fn acquire_ownership(
    state_directory: &Path, socket_path: &Path, format: &str,
) -> io::Result<StartMode> {
    let mut logged = false;
    loop {
        if let Some(lock) = LogLock::try_acquire(state_directory)? {
            return Ok(StartMode::ColdStart(lock));
        }
        let (socket_path, format) = (socket_path.to_path_buf(), format.to_string());
        let requested = tokio::task::spawn_blocking(move || request_takeover(&socket_path, &format)).await;
        match requested.map_err(io::Error::other)? {
            Ok(offer) => return Ok(StartMode::Takeover(Box::new(offer))),
            Err(error) if !logged => {
                log::warn!("upgrade: the owner of the log hands nothing over yet: {error}")
            }
            Err(_) => {}
        }
        logged = true;
        sleep(RETRY_PAUSE).await;
    }
}

/// Path of the Unix socket on which the owner listens for successors.
pub(crate) fn takeover_socket_path(state_directory: &Path) -> PathBuf {
    let shared = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|directory| directory.is_dir());
    shared.unwrap_or_else(|| state_directory.to_path_buf()).join("handover")
}

/// Returns a path that fits into a socket address. Instead of a longer path it returns one through an open file
/// descriptor of the directory, which must be kept while the path is in use.
fn short_socket_path(path: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let (Some(directory), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(io::Error::other("takeover socket path has no parent directory"));
    };
    if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
        return Ok((path.to_path_buf(), None));
    }
    let directory = File::open(directory)?;
    Ok((Path::new(&format!("/proc/self/fd/{}", directory.as_raw_fd())).join(name), Some(directory)))
}

/// The successor's side of the exchange, up to the offer.
fn request_takeover(socket_path: &Path, format: &str) -> io::Result<TakeoverOffer> {
    let (path, _directory) = short_socket_path(socket_path)?;
    let mut stream = UnixStream::connect(path)?;
    set_exchange_timeouts(&stream)?;
    write_frame(&mut stream, &format)?;
    let mut descriptors = receive_descriptors(&stream)?.into_iter();
    let (Some(listener), Some(lock)) = (descriptors.next(), descriptors.next()) else {
        return Err(io::Error::other("owner did not send its file descriptors"));
    };
    let state = read_frame(&mut stream)?;
    Ok(TakeoverOffer { state, stream, listener, lock: LogLock(lock.into()) })
}

impl TakeoverOffer {
    /// Tells the owner that this process is ready to take over and waits for the grant. On an error this process has
    /// not become the owner.
    pub fn accept(mut self) -> io::Result<(TakeoverState, LogLock, std::net::TcpListener, UnixStream)> {
        self.stream.write_all(&[SUCCESSOR_READY])?;
        let mut reply = [0];
        self.stream.read_exact(&mut reply)?;
        match reply {
            [OWNERSHIP_GRANTED] => Ok((self.state, self.lock, self.listener.into(), self.stream)),
            _ => Err(io::Error::other("owner withdrew its offer")),
        }
    }
}

/// The owner's side of the exchange. On an error it remains the owner.
pub(crate) fn offer_takeover(
    mut stream: &UnixStream, state: &TakeoverState, listener: &OwnedFd, lock: &LogLock,
) -> io::Result<()> {
    set_exchange_timeouts(stream)?;
    send_descriptors(stream, listener, lock)?;
    write_frame(&mut stream, state)?;
    let mut reply = [0];
    stream.read_exact(&mut reply)?;
    if reply != [SUCCESSOR_READY] {
        return Err(io::Error::other("successor could not take over"));
    }
    stream.write_all(&[OWNERSHIP_GRANTED])
}

fn set_exchange_timeouts(stream: &UnixStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    stream.set_write_timeout(Some(EXCHANGE_TIMEOUT))
}

fn send_descriptors(stream: &UnixStream, listener: &OwnedFd, lock: &LogLock) -> io::Result<()> {
    let mut buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut buffer);
    let descriptors = [listener.as_fd(), lock.0.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    rustix::net::sendmsg(stream, &[IoSlice::new(&[DESCRIPTORS])], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = RecvAncillaryBuffer::new(&mut buffer);
    let mut marker = [0];
    let mut buffers = [IoSliceMut::new(&mut marker)];
    rustix::net::recvmsg(stream, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let rights = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok(rights.flatten().collect())
}

/// Encodes a frame: the length of the content in 32 bits, then the content.
pub(crate) fn encode_frame(content: &impl Serialize) -> io::Result<Vec<u8>> {
    let content = postcard::to_stdvec(content).map_err(io::Error::other)?;
    let length = u32::try_from(content.len()).map_err(io::Error::other)?;
    Ok([&length.to_le_bytes(), &content[..]].concat())
}

/// Decodes the length of a frame from its header.
pub(crate) fn frame_length(head: [u8; 4]) -> io::Result<usize> {
    let length = u32::from_le_bytes(head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::other("takeover frame is too long"));
    }
    Ok(length)
}

fn write_frame(stream: &mut impl Write, content: &impl Serialize) -> io::Result<()> {
    stream.write_all(&encode_frame(content)?)
}

fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> io::Result<T> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut content = vec![0; frame_length(head)?];
    stream.read_exact(&mut content)?;
    postcard::from_bytes(&content).map_err(io::Error::other)
}

/// Listens for successors. One with the same state format is passed on to the node; for one with another format this
/// process terminates.
pub(crate) fn listen_for_successors(
    socket_path: &Path, format: String, events: EventSender,
) -> io::Result<JoinHandle<()>> {
    match fs::remove_file(socket_path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let (path, _directory) = short_socket_path(socket_path)?;
    let listener = tokio::net::UnixListener::bind(path)?;
    Ok(tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            let read_format = async {
                let length = frame_length(stream.read_u32_le().await?.to_le_bytes())?;
                let mut content = vec![0; length.min(usize::from(u16::MAX))];
                stream.read_exact(&mut content).await?;
                postcard::from_bytes::<String>(&content).map_err(io::Error::other)
            };
            match timeout(EXCHANGE_TIMEOUT, read_format).await {
                Ok(Ok(successor_format)) if successor_format == format => match stream.into_std() {
                    Ok(stream) => events.send(NodeEvent::Successor(stream)),
                    Err(error) => log::warn!("upgrade: cannot use the connection of a successor: {error}"),
                },
                Ok(Ok(successor_format)) => {
                    log::warn!(
                        "upgrade: state format of the successor differs: {successor_format}, expected {format}; \
                         terminating"
                    );
                    events.send(NodeEvent::Terminate);
                }
                Ok(Err(error)) => log::warn!("upgrade: cannot read the state format of a successor: {error}"),
                Err(_) => log::warn!("upgrade: timed out waiting for the state format of a successor"),
            }
        }
    }))
}
