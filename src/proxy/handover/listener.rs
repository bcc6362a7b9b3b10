//! The clients' listener on its way from a running process to the one that replaces it.
//!
//! It goes over a Unix socket in `$TMPDIR`, and both processes then accept from one queue: no connection is left in a
//! queue that nobody accepts from any more.

use super::socket;
use super::state::{Owner, SavedState};
use crate::proxy::log;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt::socket_acceptconn,
};
use std::io::{self, BufRead, BufReader, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::{TcpListener, UnixStream};

/// Where a process of a version without marks waits for the one that replaces it. Whose it is shows only in the
/// address at which it listens.
const UNMARKED_SOCKET: &str = "haventrack-handover";
/// How long the running process may take to hand over. One that hangs is not waited for: the new process then
/// listens by itself at the same address.
const HAND_OVER_WITHIN: Duration = Duration::from_millis(1_000);
/// The most that a process hands on beside the listener, in bytes.
const STATE_CAP: u64 = 4 << 20;

/// The process that this one replaces.
pub struct Predecessor {
    state: Option<SavedState>,
    pub(super) link: StdUnixStream,
    /// What it has told already behind its state.
    pub(super) told: Vec<u8>,
}

impl Predecessor {
    /// What it has handed on, in the numbers of `mine`; the log says why where it is not used.
    pub fn state(&mut self, mine: &Owner) -> Option<SavedState> {
        let refused = |why| log(format_args!("what the other process has learnt is not used: {why}"));
        self.state.take()?.fit(mine).map_err(refused).ok()
    }
}

/// Takes the clients' listener over from a process of the proxy with that mark, which serves at this address: the
/// same socket that it accepts from; `None` where none answers.
#[must_use]
pub fn take_over(folder: &Path, mark: &str, address: SocketAddr) -> Option<(TcpListener, Predecessor)> {
    [socket(folder, mark), folder.join(UNMARKED_SOCKET)].iter().find_map(|path| {
        let link = StdUnixStream::connect(path).ok()?;
        let refused = |error| log(format_args!("nothing is handed over: {error}"));
        receive(link, address).map_err(refused).ok()
    })
}

fn receive(link: StdUnixStream, address: SocketAddr) -> io::Result<(TcpListener, Predecessor)> {
    link.set_read_timeout(Some(HAND_OVER_WITHIN))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut mark = [0];
    let flags = RecvFlags::CMSG_CLOEXEC;
    recvmsg(&link, &mut [IoSliceMut::new(&mut mark)], &mut control, flags)?;
    let fds = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(fds) => Some(fds),
        _ => None,
    });
    let wrong = |what| io::Error::new(io::ErrorKind::InvalidData, what);
    let fd = fds.flatten().next().ok_or_else(|| wrong("no listener came"))?;
    let socket = socket2::Socket::from(fd);
    if !socket_acceptconn(&socket)? || socket.local_addr()?.as_socket() != Some(address) {
        return Err(wrong("it listens elsewhere"));
    }
    socket.set_nonblocking(true)?;
    let mut line = String::new();
    let mut reader = BufReader::new((&link).take(STATE_CAP));
    reader.read_line(&mut line)?;
    let told = reader.buffer().to_vec();
    let state = Some(serde_json::from_str(&line)?);
    Ok((TcpListener::from_std(socket.into())?, Predecessor { state, link, told }))
}

/// Hands the listener and this state to the process at the other end.
pub(super) async fn give(listener: &TcpListener, state: &SavedState, stream: &UnixStream) -> io::Result<()> {
    let fds = [listener.as_fd()];
    let send = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&fds));
        let sent = sendmsg(stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL);
        sent.map_err(io::Error::from)
    };
    stream.async_io(Interest::WRITABLE, send).await?;
    let line = serde_json::to_string(state)? + "\n";
    let mut rest = line.as_bytes();
    while !rest.is_empty() {
        stream.writable().await?;
        match stream.try_write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
