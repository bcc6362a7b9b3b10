//! Attempts on backends: connections, their pool, probes, and what came of each.
//!
//! A request is written to a connection once and never again by this side: whether it may be repeated is the
//! module's to say, and it can only say so if it knows whether the last byte went out (`Wire` counts).

use super::bodies::{Answered, Begun, Download, Outgoing, Transfers, Upload, begin};
use super::memory::MemoryGauge;
use super::socket::{Counted, Wire, WireIo};
use crate::api::{BackendId, Micros, Outcome, Readiness};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// How long before its idle limit a connection is no longer used: the backend's clock started earlier.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long a probe may take once its connection is up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// How long a connection may take to become free again behind its answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection rests between an answer and the next request. A backend may send a second answer some
/// milliseconds late (up to five have been seen): what comes behind an answer ends the connection, but behind the
/// next request it would pass for the answer to that one.
const REST: Duration = Duration::from_millis(6);
/// An answer of unknown length that is not whole after this time passes through as it comes.
const WHOLE_WITHIN: Duration = Duration::from_millis(300);
/// What is read of a connection at a time; also the largest head of an answer.
const READ_CAP: usize = 32 * 1024;
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// What goes to a backend, the same at every attempt.
#[derive(Debug)]
pub struct Call {
    /// The client's method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// The client's headers that pass through a proxy.
    pub headers: HeaderMap,
    /// The body, unchanged.
    pub body: Bytes,
    /// A body that is too large to be held, in place of that one.
    pub upload: Option<Rc<Upload>>,
}

/// A backend's 200 answer.
#[derive(Debug)]
pub struct Served {
    /// Its body, unchanged.
    pub body: Answered,
    /// What the body is.
    pub content_type: Option<HeaderValue>,
}

/// When an attempt is due.
#[derive(Clone, Copy, Debug)]
pub struct AttemptDue {
    /// By when it has to be written; `None`: at any time before it is given up.
    pub begin_by: Option<Instant>,
    /// When it is given up.
    pub give_up: Instant,
}

/// How an attempt or a probe ended.
#[derive(Debug)]
pub struct Ended {
    /// The outcome in the module's terms.
    pub outcome: Outcome,
    /// The answer, where the outcome is [`Outcome::Ok`].
    pub served: Option<Served>,
    /// When an answer that passes through began. How long the rest takes is up to the client as well.
    pub first_byte: Option<Instant>,
    /// The load report that came along, in the order of the settings; empty: none.
    pub report: Vec<f32>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, served: None, first_byte: None, report: Vec::new() }
    }
}

/// What an attempt is to its request, as the driver has it. It only moves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// The client waits for what comes of it.
    Wanted,
    /// The client has left or has its answer: one that is not begun never is, one that is goes on.
    Unwanted,
    /// Withdrawn by the module, begun or not.
    Cancelled,
}

/// One connection to a backend. Dropping it closes it, whatever is out on it.
struct Conn {
    sender: SendRequest<Outgoing>,
    wire: Rc<Wire>,
    task: JoinHandle<()>,
    /// The life of the backend that it belongs to.
    life: u64,
}

impl Conn {
    /// Speaks HTTP over a stream that has come up.
    async fn over(stream: TcpStream, life: u64, counted: Counted) -> Option<Self> {
        // A socket that can't take the option still carries requests: no failure of the backend's.
        let _ = stream.set_nodelay(true);
        let wire = Wire::new(stream, Some(counted));
        let io = TokioIo::new(WireIo(Rc::clone(&wire)));
        let (sender, connection) = http1::Builder::new().max_buf_size(READ_CAP).handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // How it ended shows in the exchange that was on it.
            let _ = connection.await;
        });
        Some(Self { sender, wire, task, life })
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// A backend as the sockets know it.
pub struct Server {
    id: BackendId,
    address: Cell<SocketAddr>,
    started: Cell<Option<Micros>>,
    ready: Cell<bool>,
    /// Counts its restarts and moves: a connection of an earlier life is not used again.
    life: Cell<u64>,
    idle: RefCell<Vec<Idle>>,
}

/// All backends that discovery has named, and the connections to them.
pub struct Fleet {
    servers: RefCell<FxHashMap<BackendId, Rc<Server>>>,
    /// What the operators have taken out of use.
    banned: RefCell<FxHashSet<BackendId>>,
    sockets: Rc<Cell<usize>>,
    most_sockets: Cell<usize>,
    dial_timeout: Cell<Duration>,
    idle_limit: Cell<Duration>,
    report_fields: RefCell<Vec<String>>,
    transfers: Transfers,
}

impl Fleet {
    /// An empty fleet. `conn_idle` is how long backends keep an idle connection, `report_fields` the fields of
    /// a load report in the order that the module knows.
    #[must_use]
    pub fn new(
        most_sockets: usize,
        dial_timeout: Micros,
        conn_idle: Micros,
        report_fields: Vec<String>,
        transfers: Transfers,
    ) -> Rc<Self> {
        let fleet = Self {
            servers: RefCell::default(),
            banned: RefCell::default(),
            sockets: Rc::default(),
            most_sockets: Cell::new(most_sockets),
            dial_timeout: Cell::default(),
            idle_limit: Cell::default(),
            report_fields: RefCell::default(),
            transfers,
        };
        fleet.retune(dial_timeout, conn_idle, report_fields);
        Rc::new(fleet)
    }

    /// Takes other settings for what comes.
    pub fn retune(&self, dial_timeout: Micros, conn_idle: Micros, report_fields: Vec<String>) {
        let idle = Duration::from_micros(conn_idle);
        self.dial_timeout.set(Duration::from_micros(dial_timeout));
        self.idle_limit.set(idle.saturating_sub(IDLE_MARGIN).max(idle / 2));
        self.report_fields.replace(report_fields);
    }

    /// Takes what discovery says of one backend.
    pub fn update(&self, id: BackendId, address: SocketAddr, readiness: Readiness, started: Option<Micros>) {
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(id).or_insert_with(|| {
            Rc::new(Server {
                id,
                address: Cell::new(address),
                started: Cell::new(started),
                ready: Cell::new(false),
                life: Cell::new(0),
                idle: RefCell::default(),
            })
        });
        server.ready.set(readiness == Readiness::Ready);
        // The connections of the old process are dead, or will end as resets.
        if server.started.replace(started) != started || server.address.replace(address) != address {
            server.life.set(server.life.get() + 1);
            server.idle.borrow_mut().clear();
        }
        if readiness == Readiness::Gone {
            server.idle.borrow_mut().clear();
        }
    }

    /// A complete list has come: what it does not name is gone.
    pub fn retain(&self, listed: impl Fn(BackendId) -> bool) {
        for server in self.servers.borrow().values().filter(|s| !listed(s.id)) {
            server.ready.set(false);
            server.idle.borrow_mut().clear();
        }
    }

    /// The operators take a backend out of use, or give it back. It is restarted meanwhile: no connection from
    /// before is used again.
    pub fn ban(&self, id: BackendId, out: bool) {
        if out {
            self.banned.borrow_mut().insert(id);
        } else {
            self.banned.borrow_mut().remove(&id);
        }
        if let Some(server) = self.server(id) {
            server.life.set(server.life.get() + 1);
            server.idle.borrow_mut().clear();
        }
    }

    /// Whether anything new may go to a backend.
    #[must_use]
    pub fn may_send(&self, server: &Server) -> bool {
        server.ready.get() && !self.banned.borrow().contains(&server.id)
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&self, id: BackendId) {
        if let Some(server) = self.server(id) {
            server.idle.borrow_mut().clear();
        }
    }

    /// The backend of that number, if discovery has ever named it.
    #[must_use]
    pub fn server(&self, id: BackendId) -> Option<Rc<Server>> {
        self.servers.borrow().get(&id).cloned()
    }

    /// Closes connections that have stood idle for too long, for as long as the proxy runs.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_EVERY).await;
            for server in self.servers.borrow().values() {
                server.idle.borrow_mut().retain(|idle| self.is_usable(idle));
            }
        }
    }

    fn is_usable(&self, idle: &Idle) -> bool {
        !idle.conn.sender.is_closed() && idle.since.elapsed() < self.idle_limit.get()
    }

    /// The connection that was used last: the others may then grow old and be closed. Where none has rested yet,
    /// the one that will have soonest is waited for: that is less than a new one costs the backend.
    async fn take_idle(&self, server: &Server) -> Option<Conn> {
        loop {
            let idle = {
                let mut all = server.idle.borrow_mut();
                let last = all.iter().rposition(|idle| idle.since.elapsed() >= REST);
                last.map(|last| all.remove(last)).or_else(|| (!all.is_empty()).then(|| all.remove(0)))?
            };
            if idle.since.elapsed() < REST {
                sleep_until(idle.since + REST).await;
            }
            let is_free = idle.conn.sender.is_ready() && idle.conn.wire.is_quiet();
            if self.is_usable(&idle) && is_free && idle.conn.life == server.life.get() {
                return Some(idle.conn);
            }
        }
    }

    /// A connection to send on: one that is there, or a new one.
    async fn connect(&self, server: &Server, until: Instant) -> Result<Conn, Outcome> {
        match self.take_idle(server).await {
            Some(conn) => Ok(conn),
            None => self.dial(server, until).await,
        }
    }

    /// Open connections to backends.
    #[must_use]
    pub fn open(&self) -> usize {
        self.sockets.get()
    }

    /// From now on this many connections may be open at a time; idle ones beyond that are closed.
    pub fn limit(&self, most: usize) {
        self.most_sockets.set(most);
        for _ in most..self.sockets.get() {
            if !self.close_oldest() {
                break;
            }
        }
    }

    /// Makes room for one more socket; false where every socket is in use.
    async fn make_room(&self) -> bool {
        while self.sockets.get() >= self.most_sockets.get() {
            if !self.close_oldest() {
                return false;
            }
            // Its descriptor is given back by the task that drives it.
            yield_now().await;
        }
        true
    }

    /// Closes the connection that has been idle longest; false where none is.
    #[must_use]
    pub fn close_oldest(&self) -> bool {
        let servers = self.servers.borrow();
        let oldest = servers.values().filter_map(|s| Some((s.idle.borrow().first()?.since, s)));
        let Some((_, server)) = oldest.min_by_key(|(since, _)| *since) else { return false };
        server.idle.borrow_mut().remove(0);
        true
    }

    /// A new connection, or what became of it: [`Outcome::Moot`] where this process has no descriptor for it, which
    /// is no server's fault.
    async fn dial(&self, server: &Server, until: Instant) -> Result<Conn, Outcome> {
        let until = until.min(Instant::now() + self.dial_timeout.get());
        loop {
            if !self.make_room().await {
                return Err(Outcome::Moot);
            }
            let counted = Counted::new(&self.sockets);
            let life = server.life.get();
            match timeout_at(until, TcpStream::connect(server.address.get())).await {
                Ok(Ok(stream)) => {
                    return Conn::over(stream, life, counted).await.ok_or(Outcome::ConnectFailed);
                }
                // The system gives fewer than this process's share: what is idle makes room for it.
                Ok(Err(error)) if is_out_of_descriptors(&error) => {
                    if !self.close_oldest() {
                        return Err(Outcome::Moot);
                    }
                    yield_now().await;
                }
                Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// Keeps a connection for the next attempt once it is free again.
    fn keep(self: &Rc<Self>, server: &Rc<Server>, mut conn: Conn) {
        let server = Rc::clone(server);
        tokio::task::spawn_local(async move {
            let free = timeout(SETTLE_TIMEOUT, conn.sender.ready()).await;
            if matches!(free, Ok(Ok(()))) && server.life.get() == conn.life {
                server.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
            }
        });
    }

    /// One attempt of a request on a backend, given up when it is due or when its standing says so.
    pub async fn attempt(
        self: Rc<Self>,
        server: Rc<Server>,
        call: Rc<Call>,
        AttemptDue { begin_by, give_up }: AttemptDue,
        mut standing: watch::Receiver<Standing>,
    ) -> Ended {
        // A client that leaves meanwhile does not end this: how the dial ends tells of the backend, and a connection that
        // comes up, most of whose work is done, serves the next request.
        let conn = tokio::select! {
            biased;
            Ok(_) = standing.wait_for(|now| *now == Standing::Cancelled) => return Outcome::Moot.into(),
            conn = self.connect(&server, begin_by.unwrap_or(give_up).min(give_up)) => conn,
        };
        // Rule 2: the time in which this may be a repeat can have ended while the connection came up.
        if begin_by.is_some_and(|end| Instant::now() >= end) {
            conn.into_iter().for_each(|conn| self.keep(&server, conn));
            return Outcome::Moot.into();
        }
        let mut conn = match conn {
            Ok(conn) => conn,
            Err(outcome) => return outcome.into(),
        };
        // Rule 3: while the connection came up, the backend may have begun to drain, or have been replaced or
        // taken out of use.
        if !self.may_send(&server) || conn.life != server.life.get() {
            return Outcome::Moot.into();
        }
        let left = give_up.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) || *standing.borrow() > Standing::Wanted {
            self.keep(&server, conn);
            return Outcome::Moot.into();
        }
        // A body that passed through can't be sent again: then this attempt never was.
        let Some(body) = Outgoing::of(&call.body, call.upload.as_ref()) else { return Outcome::Moot.into() };
        let request = request(&call, &server, left, body);
        let head = conn.wire.written() + least_size(&request, call.body.len());
        if call.upload.is_some() {
            conn.wire.bound();
        }
        let memory = self.transfers.memory();
        let exchanged = tokio::select! {
            biased;
            exchanged = exchange(&mut conn, request, || end_of_time(&call, give_up), memory) => exchanged,
            Ok(_) = standing.wait_for(|now| is_withdrawn(&call, *now)) => Err(Broken::Cancelled),
            () = time_up(&call, give_up) => Err(Broken::TimedOut),
        };
        // Rule 2: what the socket did not take whole can't run; of anything else nothing is certain. Reading
        // the count and dropping the connection happen in one step, so nothing more is written in between.
        let passed = call.upload.as_ref().map_or(Some(0), |upload| upload.sent());
        let all_written = passed.is_some_and(|bytes| conn.wire.written() >= head + bytes);
        match exchanged {
            // A backend begins a request once its last byte has come: an answer from before can't be to it. A word
            // that the request is not wanted may come so early, but the connection is not used again.
            Ok(reply) if passed.is_none_or(|bytes| reply.came_at < head + bytes) => {
                match outcome_of(&reply) {
                    Outcome::Ok if all_written => Outcome::Error.into(),
                    Outcome::Ok => Outcome::ConnectFailed.into(),
                    unwanted => unwanted.into(),
                }
            }
            Ok(reply) => {
                let until = end_of_time(&call, give_up);
                self.ended(reply, server, conn, until)
            }
            Err(_) if !all_written && call.upload.as_ref().is_some_and(|u| u.fault().is_some()) => {
                // The client's fault, not the backend's.
                Outcome::Moot.into()
            }
            Err(Broken::Malformed) if all_written => Outcome::Error.into(),
            Err(Broken::Cancelled) if all_written => Outcome::Cancelled.into(),
            Err(Broken::Cancelled) => Outcome::Moot.into(),
            Err(Broken::TimedOut) if all_written => Outcome::Timeout.into(),
            Err(Broken::Connection) if all_written => Outcome::Reset.into(),
            Err(_) => Outcome::ConnectFailed.into(),
        }
    }

    /// What an answer says; its connection is kept once the answer is through. The request's time ends at `until`.
    fn ended(self: &Rc<Self>, reply: Reply, server: Rc<Server>, conn: Conn, until: Instant) -> Ended {
        let outcome = outcome_of(&reply);
        let report = reply.headers.get(LOAD).and_then(|v| v.to_str().ok()).map(|text| self.report(text));
        let body = match reply.body {
            Begun::Whole(body) => {
                self.keep(&server, conn);
                Some(body.into())
            }
            // Nobody wants the rest of it.
            Begun::Large(..) if outcome != Outcome::Ok => None,
            Begun::Large(begun, rest) => {
                conn.wire.bound();
                let transfers = self.transfers.clone();
                let fleet = Rc::clone(self);
                let at_end = Box::new(move || fleet.keep(&server, conn));
                Some(Answered::Through(Box::new(Download::new(begun, rest, until, transfers, at_end))))
            }
        };
        let served = body.filter(|_| outcome == Outcome::Ok);
        let content_type = reply.headers.get(CONTENT_TYPE).cloned();
        let served = served.map(|body| Served { body, content_type });
        let first_byte =
            served.as_ref().filter(|s| matches!(s.body, Answered::Through(_))).map(|_| reply.began);
        Ended { outcome, served, first_byte, report: report.unwrap_or_default() }
    }

    /// A load report (`name=value,...`) in the settings' order; what it leaves out is not a number.
    fn report(&self, text: &str) -> Vec<f32> {
        let value = |field: &String| {
            let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(name, _)| name.trim() == field);
            found.and_then(|(_, value)| value.trim().parse().ok()).unwrap_or(f32::NAN)
        };
        self.report_fields.borrow().iter().map(value).collect()
    }

    /// Asks a backend whether it lives; with `deep` for its load report as well.
    pub async fn probe(self: Rc<Self>, server: Rc<Server>, deep: bool) -> Ended {
        let until = Instant::now() + self.dial_timeout.get() + PROBE_TIMEOUT;
        let mut conn = match self.connect(&server, until).await {
            Ok(conn) => conn,
            Err(outcome) => return outcome.into(),
        };
        if !self.may_send(&server) {
            return Outcome::Moot.into();
        }
        let target = Uri::from_static(if deep { "/metrics/load" } else { "/alive" });
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let call = Call { method: Method::GET, target, headers, body, upload: None };
        let request = request(&call, &server, PROBE_TIMEOUT, Outgoing::Whole(Full::default()));
        match timeout_at(until, exchange(&mut conn, request, || until, self.transfers.memory())).await {
            Err(_) => Outcome::Timeout.into(),
            Ok(Err(_)) => Outcome::Reset.into(),
            Ok(Ok(Reply { body: Begun::Large(..), .. })) => Outcome::Error.into(),
            Ok(Ok(reply)) => {
                let mut ended = Ended::from(outcome_of(&reply));
                if let Begun::Whole(body) = &reply.body
                    && deep
                    && ended.outcome == Outcome::Ok
                {
                    let told = reply.headers.get(LOAD).and_then(|v| v.to_str().ok());
                    let body = String::from_utf8_lossy(body);
                    let told = told.unwrap_or(body.trim());
                    ended.report = if told.is_empty() { Vec::new() } else { self.report(told) };
                }
                self.keep(&server, conn);
                ended
            }
        }
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    let of = |errno: rustix::io::Errno| error.raw_os_error() == Some(errno.raw_os_error());
    of(rustix::io::Errno::MFILE) || of(rustix::io::Errno::NFILE)
}

fn outcome_of(reply: &Reply) -> Outcome {
    match reply.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
            if reply.headers.get(UNPROCESSED).is_some_and(|v| v == "1") =>
        {
            Outcome::Full
        }
        _ => Outcome::Error,
    }
}

/// Waits until an attempt is to be given up. Where the body passes through, the request's own clock says when: how long
/// the client takes for it is no time of the request.
async fn time_up(call: &Call, give_up: Instant) {
    match &call.upload {
        None => sleep_until(give_up).await,
        Some(upload) => upload.clock().ended().await,
    }
}

/// When the request's time ends, as far as it is known now.
fn end_of_time(call: &Call, give_up: Instant) -> Instant {
    call.upload.as_ref().and_then(|upload| upload.clock().due()).unwrap_or(give_up)
}

/// Whether an attempt that has begun ends here. One whose body is not through is whole for no backend, and without
/// its client it never will be: a backend that reads no further would hold it for ever.
fn is_withdrawn(call: &Call, standing: Standing) -> bool {
    let is_half_sent = call.upload.as_ref().is_some_and(|upload| upload.sent().is_none());
    standing == Standing::Cancelled || (standing == Standing::Unwanted && is_half_sent)
}

struct Reply {
    began: Instant,
    /// How much the connection had taken when the head came.
    came_at: u64,
    status: StatusCode,
    headers: HeaderMap,
    body: Begun,
}

/// Why an exchange gave no answer.
enum Broken {
    Connection,
    /// The backend answered, but nothing that can be read: no lost connection, and no rested one's fault.
    Malformed,
    TimedOut,
    Cancelled,
}

/// Writes a request and reads the answer: whole, so that a body that breaks off never becomes an answer, unless it
/// is too large for that. `due` tells when the request's time ends.
async fn exchange(
    conn: &mut Conn,
    request: Request<Outgoing>,
    due: impl Fn() -> Instant,
    memory: &MemoryGauge,
) -> Result<Reply, Broken> {
    let broken = |error: hyper::Error| if error.is_parse() { Broken::Malformed } else { Broken::Connection };
    conn.wire.begin_request();
    let response = conn.sender.send_request(request).await.map_err(broken)?;
    let (began, came_at) = (Instant::now(), conn.wire.written_at_read());
    let (head, body) = response.into_parts();
    let body = begin(body, WHOLE_WITHIN, due(), memory).await.map_err(|_| Broken::Connection)?;
    Ok(Reply { began, came_at, status: head.status, headers: head.headers, body })
}

fn request(call: &Call, server: &Server, left: Duration, body: Outgoing) -> Request<Outgoing> {
    let length = match &call.upload {
        None => Some(call.body.len() as u64),
        Some(upload) => upload.length(),
    };
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    let headers = request.headers_mut();
    headers.clone_from(&call.headers);
    let millis = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIME_LEFT, HeaderValue::from(millis));
    if let Some(length) = length.filter(|_| call.method != Method::GET) {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if !headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::try_from(server.address.get().to_string())
    {
        headers.insert(HOST, host);
    }
    request
}

/// The bytes that a request takes on the wire at the least. Fewer written: the backend can't have begun it.
fn least_size(request: &Request<Outgoing>, body: usize) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |t| t.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let fields =
        request.headers().iter().map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    (line + fields.sum::<usize>() + "\r\n".len() + body) as u64
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::OwnedFd;
    use std::os::unix::net::UnixStream;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};

    /// A stream whose socket refuses TCP_NODELAY, as one may that has only just come up, and its peer.
    fn without_nodelay() -> io::Result<(TcpStream, tokio::net::UnixStream)> {
        let (near, far) = UnixStream::pair()?;
        near.set_nonblocking(true)?;
        far.set_nonblocking(true)?;
        let near = TcpStream::from_std(std::net::TcpStream::from(OwnedFd::from(near)))?;
        assert!(near.set_nodelay(true).is_err(), "this socket was to refuse the option");
        Ok((near, tokio::net::UnixStream::from_std(far)?))
    }

    #[tokio::test]
    async fn a_connection_that_refuses_nodelay_still_carries_a_request() {
        let serve = tokio::task::LocalSet::new();
        let exchanged = serve.run_until(async {
            let (near, mut far) = without_nodelay().expect("a pair of sockets");
            let conn = Conn::over(near, 0, Counted::new(&Rc::default())).await;
            let mut conn = conn.expect("the connection is up whatever options it takes");
            tokio::task::spawn_local(async move {
                let mut head = [0; 1_024];
                let _ = far.read(&mut head).await;
                let _ = far.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
                std::future::pending::<()>().await;
            });
            {
                let due = Instant::now() + PROBE_TIMEOUT;
                let memory = MemoryGauge::within(usize::MAX / 100);
                exchange(&mut conn, Request::new(Outgoing::Whole(Full::default())), || due, &memory).await
            }
        });
        let reply = exchanged.await.ok().expect("an answer");
        assert_eq!(reply.status, StatusCode::OK);
        assert!(matches!(reply.body, Begun::Whole(body) if body == "ok"));
    }
}
