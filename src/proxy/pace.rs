//! How long a client's connection may take for what it is at.

use super::bodies::Upload;
use super::drain::Phase;
use super::event_log::CloseReason;
use super::socket::Wire;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection may stay idle.
const IDLE: Duration = Duration::from_millis(2_200);
/// The same while clients are sent away: who has come all the same is to say so soon.
const IDLE_AWAY: Duration = Duration::from_millis(700);
/// How long a request's head may take from its first byte on. An honest client on a bad line takes two seconds.
const HEAD: Duration = Duration::from_millis(2_600);
/// How long a head may come in pieces and not count as silence, where others need the connection.
const HEAD_IN_PIECES: Duration = Duration::from_secs(1);
/// How long after it connected a client must have sent its first head, and how long the bytes of a body may stay
/// away: anybody may connect, and who sends no proper request has to be rid of within three seconds.
const FIRST: Duration = Duration::from_millis(2_750);
const BODY: Duration = Duration::from_millis(2_500);
/// The least time for a body after a head that came late.
const BODY_LEAST: Duration = Duration::from_millis(300);
/// How long a client may take nothing of its answer, and how long while memory is short.
const STALLED: Duration = Duration::from_secs(20);
const STALLED_HURRIED: Duration = Duration::from_secs(3);
/// A head that has come in part and is larger than this takes more memory than most, in bytes.
const LARGE_HEAD: u64 = 4 * 1024;

#[derive(Clone, Copy)]
enum At {
    /// Between requests, since then; what had been read by then.
    Idle(Instant, u64),
    /// A head is coming, since then; what had been read before it.
    Head(Instant, u64),
    /// A request is in this proxy's hands.
    Request,
}

/// What a connection is at.
pub struct Pace {
    wire: Rc<Wire>,
    connected: Instant,
    first: Cell<bool>,
    at: Cell<At>,
    /// The client waits for an answer that others make: its leave ends their work.
    asking: Cell<bool>,
    /// The large body of its request.
    upload: RefCell<Option<Rc<Upload>>>,
    /// Its end has to be a reset.
    resets: Cell<bool>,
    /// The body of its request is read up to what is held.
    reads_body: Cell<bool>,
    /// Others need the connection: its body is waited for no longer.
    body_cut: Notify,
    /// Others need the connection, and its client has not gone on since.
    closing: Cell<bool>,
}

/// A request's body is read as long as this is held.
pub struct ReadingBody<'a>(&'a Pace);

impl Drop for ReadingBody<'_> {
    fn drop(&mut self) {
        self.0.reads_body.set(false);
    }
}

/// A client waits for its answer as long as this is held.
pub struct Asking<'a>(&'a Pace);

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.asking.set(false);
        self.0.upload.replace(None);
    }
}

impl Pace {
    /// A connection that has just come up.
    #[must_use]
    pub fn new(wire: Rc<Wire>) -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            wire,
            connected: now,
            first: Cell::new(true),
            at: Cell::new(At::Idle(now, 0)),
            asking: Cell::default(),
            upload: RefCell::default(),
            resets: Cell::default(),
            reads_body: Cell::default(),
            body_cut: Notify::new(),
            closing: Cell::default(),
        })
    }

    /// A request's head has come. Gives the time that its body may take to begin.
    pub fn request(&self) -> Duration {
        self.at.set(At::Request);
        self.closing.set(false);
        if self.first.replace(false) {
            return FIRST.saturating_sub(self.connected.elapsed()).max(BODY_LEAST);
        }
        BODY
    }

    /// The body of the request is read from now on.
    #[must_use]
    pub fn read_body(&self) -> ReadingBody<'_> {
        self.reads_body.set(true);
        ReadingBody(self)
    }

    /// Whether the body of a request is read just now.
    #[must_use]
    pub fn reads_body(&self) -> bool {
        self.reads_body.get()
    }

    /// A body that is read now is waited for no longer.
    pub fn cut_body(&self) {
        self.body_cut.notify_waiters();
    }

    /// Waits until the body of a request is not waited for any longer.
    pub async fn body_cut(&self) {
        self.body_cut.notified().await;
    }

    /// Whether others need the connection, and its client has not gone on since.
    #[must_use]
    pub fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Others need the connection, or its client has gone on.
    pub fn set_closing(&self, closing: bool) {
        self.closing.set(closing);
    }

    /// From now on the client waits. What it sends meanwhile is read ahead, a large body until it begins to go out.
    #[must_use]
    pub fn ask(&self, upload: Option<Rc<Upload>>) -> Asking<'_> {
        self.asking.set(true);
        self.upload.replace(upload);
        Asking(self)
    }

    /// Whether what the client sends is read ahead.
    #[must_use]
    pub fn reads_ahead(&self) -> bool {
        // From then on the backend's pace is the client's.
        let is_going_out = self.upload.borrow().as_ref().is_some_and(|upload| upload.is_spent());
        self.asking.get() && !is_going_out
    }

    /// Whether the client waits.
    #[must_use]
    pub fn is_asking(&self) -> bool {
        self.asking.get()
    }

    /// Whether the client is known to have gone.
    #[must_use]
    pub fn has_gone(&self) -> bool {
        self.wire.has_ended()
    }

    /// The connection's socket.
    #[must_use]
    pub fn wire(&self) -> Rc<Wire> {
        Rc::clone(&self.wire)
    }

    /// The answer is on its way, and the next request may come.
    pub fn answered(&self) {
        self.at.set(At::Idle(Instant::now(), self.wire.read()));
    }

    /// A large answer goes through the connection.
    pub fn bound(&self) {
        self.wire.bound();
    }

    /// The answer has broken off, and nothing but a reset tells the client so.
    pub fn break_off(&self) {
        self.resets.set(true);
        self.wire.reset_at_end();
    }

    /// Whether the connection's end has to be a reset.
    #[must_use]
    pub fn resets(&self) -> bool {
        self.resets.get()
    }

    /// Whether the socket holds more of a request than is read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        let is_in_work = matches!(self.at.get(), At::Request) && !self.reads_body.get();
        !is_in_work && !self.wire.is_quiet()
    }

    /// Since when its client has sent nothing although it may; `None` while it is at anything else, the rest of an answer
    /// for one. A head that comes in pieces is silence as well once it has done so for too long.
    #[must_use]
    pub fn silent_since(&self) -> Option<Instant> {
        match self.at.get() {
            At::Idle(since, read) if self.wire.read() == read => {
                self.wire.blocked_since().is_none().then_some(since)
            }
            At::Head(since, _) => Some(self.wire.last_read().min(since + HEAD_IN_PIECES)),
            At::Request if self.reads_body.get() => Some(self.wire.last_read()),
            At::Idle(..) | At::Request => None,
        }
    }

    /// Whether it holds a request's beginning and nothing that is on its way to the client.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        matches!(self.at.get(), At::Head(..))
    }

    /// Whether it can be told to close once it is idle, so that the close crosses nothing this machine has already:
    /// neither a head that is coming nor the first request of a client that has just connected.
    #[must_use]
    pub fn may_close(&self) -> bool {
        match self.at.get() {
            At::Request => true,
            At::Idle(..) => !self.first.get() && self.wire.is_quiet(),
            At::Head(..) => false,
        }
    }

    /// Whether a head is coming that is large already.
    #[must_use]
    pub fn has_large_head(&self) -> bool {
        matches!(self.at.get(), At::Head(_, before) if self.wire.read() - before > LARGE_HEAD)
    }

    /// Whether the client takes nothing of its answer just now.
    #[must_use]
    pub fn is_blocked(&self) -> bool {
        self.wire.blocked_since().is_some()
    }

    /// Why a connection that has taken too long ends, `phase` being that of the proxy.
    #[must_use]
    pub fn late_reason(&self, phase: Phase) -> CloseReason {
        if self.wire.blocked_since().is_some() {
            return CloseReason::AnswerNotTaken;
        }
        match self.at.get() {
            _ if phase == Phase::Ending => CloseReason::Ending,
            At::Head(..) => CloseReason::HeadLate,
            At::Idle(..) | At::Request => CloseReason::Idle,
        }
    }

    /// When the connection has taken too long for what it is at, `phase` being that of the proxy.
    #[must_use]
    pub fn deadline(&self, phase: Phase, is_memory_short: bool) -> Option<Instant> {
        if let At::Idle(_, read) = self.at.get()
            && self.wire.read() > read
        {
            self.at.set(At::Head(Instant::now(), read));
        }
        if let Some(since) = self.wire.blocked_since() {
            return Some(since + if is_memory_short { STALLED_HURRIED } else { STALLED });
        }
        match self.at.get() {
            At::Request => None,
            At::Idle(since, _) | At::Head(since, _) if phase == Phase::Ending => Some(since),
            At::Idle(since, _) => Some(since + if phase == Phase::Closing { IDLE_AWAY } else { IDLE }),
            At::Head(..) if self.first.get() => Some(self.connected + FIRST),
            At::Head(since, _) => Some(since + HEAD),
        }
    }
}
