//! A connection's socket as HTTP drives it, with counts of what went through.

use super::read_ahead::{self, ReadAhead};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the kernel may hold of a body that passes through, on either side. Left to itself it buffers megabytes for
/// each connection, and all of them count as this proxy's memory.
const KERNEL_BUFFER: usize = 64 * 1024;

/// How many chunks are read ahead before others have their turn.
const CHUNKS_AT_ONCE: usize = 32;

/// Counts what is open until it is dropped.
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// One more.
    #[must_use]
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A socket, with a count of the bytes that it took and gave.
pub struct Wire {
    stream: TcpStream,
    /// Counts it among others of its kind, until its descriptor is given back.
    _counted: Option<Counted>,
    written: Cell<u64>,
    read: Cell<u64>,
    /// When it last gave bytes, or came up.
    last_read: Cell<Instant>,
    /// Since when the peer takes nothing more; `None`: it does.
    blocked_since: Cell<Option<Instant>>,
    /// What it had taken when it last gave bytes.
    written_at_read: Cell<u64>,
    /// The next byte that it takes is a request's first.
    begins: Cell<bool>,
    /// What was read before HTTP wanted it.
    ahead: RefCell<ReadAhead>,
}

impl Wire {
    /// A socket that nothing went through.
    #[must_use]
    pub fn new(stream: TcpStream, counted: Option<Counted>) -> Rc<Self> {
        let (written, read, blocked_since, written_at_read, begins, ahead) = Default::default();
        let last_read = Cell::new(Instant::now());
        Rc::new(Self {
            stream,
            _counted: counted,
            written,
            read,
            last_read,
            blocked_since,
            written_at_read,
            begins,
            ahead,
        })
    }

    /// Bytes that it took.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Bytes that it gave.
    #[must_use]
    pub fn read(&self) -> u64 {
        self.read.get()
    }

    /// When it last gave bytes, or came up.
    #[must_use]
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// Bytes that it had taken when it last gave any.
    #[must_use]
    pub fn written_at_read(&self) -> u64 {
        self.written_at_read.get()
    }

    /// Since when the peer takes nothing more.
    #[must_use]
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    /// A large body goes through: what the kernel holds of it is bounded.
    pub fn bound(&self) {
        let socket = socket2::SockRef::from(&self.stream);
        // Where the options are refused the body passes all the same.
        let _ = socket.set_send_buffer_size(KERNEL_BUFFER);
        let _ = socket.set_recv_buffer_size(KERNEL_BUFFER);
    }

    /// The connection's end is to be a reset, for the peer would take any other for the end of its answer.
    pub fn reset_at_end(&self) {
        // Where the option is refused the connection is gone already.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether nothing has come in since the last answer: neither the peer's goodbye nor stray bytes. The runtime
    /// may not have seen yet what the kernel knows already, so the socket itself is asked.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        if !self.ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer has ended its sending or reset the connection, whatever it has sent before that and nobody
    /// has read yet: the bytes behind a request hide its client's close from HTTP. The runtime has no interest in the
    /// end alone; that in urgent data includes it, and sockets are not registered for such data.
    pub async fn ended(&self) {
        // An error: the runtime ends.
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Whether the runtime has seen that end.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.stream.try_io(Interest::PRIORITY, || Ok(())).is_ok()
    }

    /// Reads what the peer has sent behind its request, so that its close is seen behind that. What is beyond the room
    /// for it stays with the kernel.
    pub fn poll_read_ahead(&self, cx: &mut Context<'_>) {
        let mut ahead = self.ahead.borrow_mut();
        let mut chunk = [0; read_ahead::CHUNK];
        for _ in 0..CHUNKS_AT_ONCE {
            if !ahead.has_room() || !matches!(self.stream.poll_read_ready(cx), Poll::Ready(Ok(()))) {
                return;
            }
            match self.stream.try_read(&mut chunk) {
                Ok(read @ 1..) => ahead.push(&chunk[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // HTTP meets the end, or the error, itself.
                Ok(0) | Err(_) => return,
            }
        }
        cx.waker().wake_by_ref();
    }

    /// A request goes out next. It does so only while the socket is quiet: what has come before its first byte is no
    /// answer to it.
    pub fn begin_request(&self) {
        self.begins.set(true);
    }

    fn has_given(&self, bytes: usize) {
        self.read.set(self.read.get() + bytes as u64);
        self.last_read.set(Instant::now());
        self.written_at_read.set(self.written.get());
    }

    fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
        self.blocked_since.set(None);
    }
}

/// The half of a [`Wire`] that the HTTP side drives.
pub struct WireIo(pub Rc<Wire>);

impl AsyncRead for WireIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let ahead = self.0.ahead.borrow_mut().take(buf);
        if ahead > 0 {
            self.0.has_given(ahead);
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    self.0.has_given(read);
                    buf.advance(read);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl WireIo {
    fn poll_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        if self.0.begins.take() && !self.0.is_quiet() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        loop {
            let Poll::Ready(ready) = self.0.stream.poll_write_ready(cx) else {
                let since = self.0.blocked_since.get().unwrap_or_else(Instant::now);
                self.0.blocked_since.set(Some(since));
                return Poll::Pending;
            };
            ready?;
            match write(&self.0.stream) {
                Ok(written) => {
                    self.0.wrote(written);
                    return Poll::Ready(Ok(written));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for WireIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}
