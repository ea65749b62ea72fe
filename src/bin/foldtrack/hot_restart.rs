//! A new version takes over from the one that runs: who owns the log, and the exchange in which that changes hands.

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

/// Longest wait for the other side in the exchange; the owner decides nothing meanwhile.
const EXCHANGE_WAIT: Duration = Duration::from_secs(1);
/// Pause before a successor asks again.
const ASK_PAUSE: Duration = Duration::from_millis(50);
/// No frame is longer: the module's state with all that may be held.
const LONGEST: usize = 64 << 20;
/// A name in a socket's address has room for so many bytes.
const LONGEST_PATH: usize = 100;

/// The bytes of the exchange: descriptors come with the first, the successor could take over, it is the owner.
const DESCRIPTORS: u8 = 1;
const COULD: u8 = 2;
const YOURS: u8 = 3;

/// Held by the owner of the log, through its process's end however that comes.
#[derive(Debug)]
pub(crate) struct LogLock(File);

impl LogLock {
    /// The lock, if no other process has it.
    fn try_take(state: &Path) -> io::Result<Option<LogLock>> {
        let file = File::options().create(true).append(true).open(state.join("lock"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(LogLock(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

/// What stands in the way of a takeover where it differs: the layout of the state, and the names in it that are
/// places in lists.
pub(crate) fn state_format(settings: &DeploymentSettings) -> String {
    let DeploymentSettings { class_names, kind_names, zone_names, .. } = settings;
    format!("{} {class_names:?} {kind_names:?} {zone_names:?}", hatchline::FORMAT)
}

/// A message that is held, as far as the log does not tell.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MessageState {
    pub number: u64,
    pub attempts: u32,
    /// Whether its client has been told that it is taken on.
    pub acknowledged: bool,
    /// A send that the module has decided on: attempt, target, until, decided.
    pub waiting: Option<(u32, TargetId, Micros, Micros)>,
}

/// All that a successor needs beside the log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TakeoverState {
    /// The owner's clock, and the time of day that it was then.
    pub now: Micros,
    pub unix: Micros,
    pub policy: Vec<u8>,
    pub next_number: u64,
    pub messages: Vec<MessageState>,
    /// Calls that stay with the old process.
    pub calls: Vec<(u64, u32, TargetId, bool)>,
    /// Endpoints by their number: name, address, zone, era.
    pub servers: Vec<(String, SocketAddr, u32, u32)>,
    pub timers: Vec<(Micros, u32)>,
    /// Connections of clients that stay with the old process.
    pub clients: usize,
}

/// How a process starts.
pub(crate) enum StartMode {
    /// Nobody owns the log.
    ColdStart(LogLock),
    /// The owner would hand over.
    Takeover(Box<TakeoverOffer>),
}

/// What the owner offers. It goes on as the owner unless this is [accepted](TakeoverOffer::accept) in time.
pub(crate) struct TakeoverOffer {
    pub estate: TakeoverState,
    stream: UnixStream,
    listener: OwnedFd,
    lock: LogLock,
}

/// Finds out how to start; waits for as long as an owner neither hands over nor ends.
pub(crate) async fn acquire_ownership(state: &Path, meeting: &Path, format: &str) -> io::Result<StartMode> {
    let mut said = false;
    loop {
        if let Some(lock) = LogLock::try_take(state)? {
            return Ok(StartMode::ColdStart(lock));
        }
        let (meeting, format) = (meeting.to_path_buf(), format.to_string());
        let asked = tokio::task::spawn_blocking(move || ask(&meeting, &format)).await;
        match asked.map_err(io::Error::other)? {
            Ok(offer) => return Ok(StartMode::Takeover(Box::new(offer))),
            Err(error) if !said => eprintln!("upgrade: the owner of the log hands nothing over yet: {error}"),
            Err(_) => {}
        }
        said = true;
        sleep(ASK_PAUSE).await;
    }
}

/// The folder in which the processes meet, and the socket file in it.
pub(crate) fn takeover_socket_path(state: &Path) -> PathBuf {
    let shared = std::env::var_os("TMPDIR").map(PathBuf::from).filter(|folder| folder.is_dir());
    shared.unwrap_or_else(|| state.to_path_buf()).join("handover")
}

/// A path of any length for a socket's address, which has little room: by way of the open folder where need be.
fn short(path: &Path) -> io::Result<(PathBuf, Option<File>)> {
    let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(io::Error::other("no folder to meet in"));
    };
    if path.as_os_str().len() <= LONGEST_PATH {
        return Ok((path.to_path_buf(), None));
    }
    let folder = File::open(folder)?;
    Ok((Path::new(&format!("/proc/self/fd/{}", folder.as_raw_fd())).join(name), Some(folder)))
}

fn ask(meeting: &Path, format: &str) -> io::Result<TakeoverOffer> {
    let (path, _folder) = short(meeting)?;
    let mut stream = UnixStream::connect(path)?;
    bound(&stream)?;
    write_frame(&mut stream, &format)?;
    let mut descriptors = receive_descriptors(&stream)?.into_iter();
    let (Some(listener), Some(lock)) = (descriptors.next(), descriptors.next()) else {
        return Err(io::Error::other("no descriptors came"));
    };
    let estate = read_frame(&mut stream)?;
    Ok(TakeoverOffer { estate, stream, listener, lock: LogLock(lock.into()) })
}

impl TakeoverOffer {
    /// Tells the owner that all could be taken over, and waits for its word; without it nothing has changed hands.
    pub fn accept(mut self) -> io::Result<(TakeoverState, LogLock, std::net::TcpListener, UnixStream)> {
        self.stream.write_all(&[COULD])?;
        let mut word = [0];
        self.stream.read_exact(&mut word)?;
        match word {
            [YOURS] => Ok((self.estate, self.lock, self.listener.into(), self.stream)),
            _ => Err(io::Error::other("the owner thought better of it")),
        }
    }
}

/// The owner's side of the exchange. With an error it still owns all.
pub(crate) fn offer_takeover(
    mut stream: &UnixStream, estate: &TakeoverState, listener: &OwnedFd, lock: &LogLock,
) -> io::Result<()> {
    bound(stream)?;
    send_descriptors(stream, listener, lock)?;
    write_frame(&mut stream, estate)?;
    let mut word = [0];
    stream.read_exact(&mut word)?;
    if word != [COULD] {
        return Err(io::Error::other("the successor could not take over"));
    }
    stream.write_all(&[YOURS])
}

fn bound(stream: &UnixStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(EXCHANGE_WAIT))?;
    stream.set_write_timeout(Some(EXCHANGE_WAIT))
}

fn send_descriptors(stream: &UnixStream, listener: &OwnedFd, lock: &LogLock) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd(), lock.0.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    rustix::net::sendmsg(stream, &[IoSlice::new(&[DESCRIPTORS])], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut first = [0];
    let mut into = [IoSliceMut::new(&mut first)];
    rustix::net::recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let rights = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok(rights.flatten().collect())
}

pub(crate) fn frame(content: &impl Serialize) -> io::Result<Vec<u8>> {
    let content = postcard::to_stdvec(content).map_err(io::Error::other)?;
    let length = u32::try_from(content.len()).map_err(io::Error::other)?;
    Ok([&length.to_le_bytes(), &content[..]].concat())
}

pub(crate) fn length_of(head: [u8; 4]) -> io::Result<usize> {
    let length = u32::from_le_bytes(head) as usize;
    if length > LONGEST {
        return Err(io::Error::other("a frame is too long"));
    }
    Ok(length)
}

fn write_frame(stream: &mut impl Write, content: &impl Serialize) -> io::Result<()> {
    stream.write_all(&frame(content)?)
}

fn read_frame<T: DeserializeOwned>(stream: &mut impl Read) -> io::Result<T> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let mut content = vec![0; length_of(head)?];
    stream.read_exact(&mut content)?;
    postcard::from_bytes(&content).map_err(io::Error::other)
}

/// Waits for successors, where the processes meet, and passes those to the node whose state would fit.
pub(crate) fn listen_for_successors(
    meeting: &Path, format: String, inputs: EventSender,
) -> io::Result<JoinHandle<()>> {
    match fs::remove_file(meeting) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let (path, _folder) = short(meeting)?;
    let listener = tokio::net::UnixListener::bind(path)?;
    Ok(tokio::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else {
                sleep(ASK_PAUSE).await;
                continue;
            };
            let hello = async {
                let length = length_of(stream.read_u32_le().await?.to_le_bytes())?;
                let mut content = vec![0; length.min(usize::from(u16::MAX))];
                stream.read_exact(&mut content).await?;
                postcard::from_bytes::<String>(&content).map_err(io::Error::other)
            };
            match timeout(EXCHANGE_WAIT, hello).await {
                Ok(Ok(theirs)) if theirs == format => match stream.into_std() {
                    Ok(stream) => inputs.send(NodeEvent::Successor(stream)),
                    Err(error) => eprintln!("upgrade: {error}"),
                },
                Ok(Ok(theirs)) => {
                    eprintln!("upgrade: the state does not fit: {theirs} for {format}; ending");
                    inputs.send(NodeEvent::Terminate);
                }
                Ok(Err(error)) => eprintln!("upgrade: {error}"),
                Err(_) => eprintln!("upgrade: a successor says nothing"),
            }
        }
    }))
}
