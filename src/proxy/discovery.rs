//! Discovery: the whole list, then a watch for changes; names to numbers.

use super::clock::Clock;
use super::config::Names;
use super::driver::{Handle, Message, Scope};
use super::log;
use crate::api::{Backend, BackendId, Readiness};
use crate::balancer::{self, TOLD};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::mem::discriminant;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

/// How long a watch may wait at the most; each waits a little less, by chance, so that those of many proxies, which
/// one change answers together, do not end together. To go on with a watch costs discovery next to nothing (three
/// hundred proxies: no call failed, the price of lists as with waits of 20 s), so this is short: it bounds how long a
/// broken watch goes unnoticed.
///
/// From the last answer on: 2.4 s until a watch that fell silent at once is given up, 2 s more where the call that
/// opens it anew is lost as well, and the module has the third call made 1.2 s before changes count as told.
const WATCH_WAIT: Duration = part_of_told(3);
/// How long the answer to a watch that goes on may take beyond its wait.
const WATCH_GRACE: Duration = part_of_told(15);
/// How long a call that opens a watch, and so does not wait, may take with its dial.
const OPEN_WITHIN: Duration = Duration::from_micros(balancer::OPEN_WITHIN);
/// How long a connection to an agent on this machine may take to come up: even with the pause after a failure, a
/// drain that the agent has at its return is known before sends have to end (0.5 s).
const AGENT_DIAL: Duration = Duration::from_millis(250);
/// How long after a failed call an agent is asked again, however often it has failed. What it has counts as told
/// whether or not a watch is open, and a drain among that ends sends 0.5 s later.
const AGENT_PAUSE: Duration = Duration::from_millis(100);
/// The largest list in bytes; thousands of entries fit in.
const LIST_CAP: usize = 4 << 20;
/// The first pause after an answer that only somebody's correction will change. Each pause that follows is twice as
/// long, up to [`LASTING_PAUSE_MOST`]: such an answer may cost the service as much as a good one.
const LASTING_PAUSE_LEAST: Duration = Duration::from_secs(1);
/// The longest pause after such an answer.
const LASTING_PAUSE_MOST: Duration = Duration::from_secs(60);
/// The part of such a pause that chance may add to it, so that many proxies do not ask at the same moments.
const LASTING_PAUSE_JITTER: f64 = 0.5;

/// A part of the time after which a change counts as told, which the module owns.
const fn part_of_told(part: u64) -> Duration {
    Duration::from_micros(TOLD / part)
}

/// A backend as the list has it, in the module's numbers, and where it listens.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// What the module is told.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Why a call to discovery brought nothing. The proxy goes on with the list that it has and asks again by itself.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// No connection, or it broke.
    #[error(
        "the connection failed: see that discovery runs and listens at the `discovery` of the configuration"
    )]
    Connection,
    /// Nothing came in time.
    #[error(
        "no answer in time: see whether discovery hangs, is cut off from this machine, or has too many callers"
    )]
    Timeout,
    /// An answer other than 200.
    #[error(
        "answered {0}: see discovery's own log, and that `discovery` of the configuration names that service"
    )]
    Status(StatusCode),
    /// Not the JSON that is wanted.
    #[error(
        "malformed list: {0}; see that `discovery` of the configuration names a service with the protocol's list"
    )]
    Malformed(serde_json::Error),
    /// A list beyond the size that is taken.
    #[error(
        "the list is refused for its size: {size}, and at most {cap} bytes are taken; let it have fewer entries, by \
         `[view]` of the file that GATESTAGE_CONFIG names or by a smaller list at discovery"
    )]
    TooLarge {
        /// What is known of its size.
        size: ListSize,
        /// The largest size that is taken, in bytes.
        cap: usize,
    },
}

impl DiscoveryError {
    /// Whether the next answer will be the same until somebody corrects something.
    fn is_lasting(&self) -> bool {
        matches!(self, Self::TooLarge { .. })
    }
}

/// How large a list is that is beyond the size taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSize {
    /// As its Content-Length says, in bytes.
    Exactly(u64),
    /// It has no Content-Length, and was read up to this many bytes.
    MoreThan(usize),
}

impl fmt::Display for ListSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exactly(bytes) => write!(f, "{bytes} bytes"),
            Self::MoreThan(bytes) => write!(f, "more than {bytes} bytes"),
        }
    }
}

/// The pauses after answers that only somebody's correction will change.
#[derive(Debug, Default)]
struct BackOff {
    /// How many such answers have come in a row.
    answers: u32,
}

impl BackOff {
    /// The pause after one more such answer.
    fn next_pause(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = LASTING_PAUSE_LEAST.saturating_mul(1_u32.checked_shl(self.answers).unwrap_or(u32::MAX));
        self.answers = self.answers.saturating_add(1);
        let longest = LASTING_PAUSE_MOST.div_f64(1.0 + LASTING_PAUSE_JITTER);
        doubled.min(longest).mul_f64(1.0 + LASTING_PAUSE_JITTER * rng.f64())
    }

    /// A call has succeeded, or another service is asked.
    fn reset(&mut self) {
        self.answers = 0;
    }
}

/// Why an entry of a list is passed over. The other entries of that list are used.
#[derive(Debug, Error)]
enum EntryError {
    /// Not the fields of an entry.
    #[error("{0}; it has to have the protocol's fields: correct it in discovery")]
    Malformed(serde_json::Error),
    /// `id`, and what stands for its address.
    #[error("`{0}`: `host_port` is no IP address with a port: `{1}`; correct it in discovery")]
    Address(String, String),
    /// `id`, and a phase that the protocol does not have.
    #[error("`{0}`: unknown phase `{1}`; discovery has to say active, leaving or left")]
    Phase(String, String),
    /// `id`, and a zone that the settings don't name.
    #[error(
        "`{0}`: unknown locality `{1}`; add it to `failureDomains` of the settings or correct it in discovery"
    )]
    Locality(String, String),
}

#[derive(Deserialize)]
struct RawList {
    revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Value>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u16,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
}

/// A list in the module's terms.
#[derive(Debug)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names all backends.
    pub complete: bool,
    /// The entries that make sense.
    pub entries: Vec<Listed>,
}

/// The numbers of all backends that were ever named to this proxy.
#[derive(Debug, Default)]
pub struct Numbers {
    numbers: FxHashMap<String, BackendId>,
    taken: FxHashSet<BackendId>,
}

impl Numbers {
    /// The number of a backend that was named before.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<BackendId> {
        self.numbers.get(name).copied()
    }

    /// All names.
    #[must_use]
    pub fn names(&self) -> Vec<&str> {
        self.numbers.keys().map(String::as_str).collect()
    }

    /// A backend's number, the same at every proxy: the hash of its name. Two names that share a hash (one in
    /// millions) are told apart by order, which costs nothing but that sameness.
    pub fn number(&mut self, name: &str) -> BackendId {
        if let Some(number) = self.find(name) {
            return number;
        }
        let mut number = fnv(name.as_bytes());
        while !self.taken.insert(number) {
            number = number.wrapping_add(1);
        }
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

/// Translates discovery's names.
pub struct Translator {
    clock: Clock,
    names: Names,
    zones: FxHashMap<String, u16>,
    kinds: FxHashMap<String, u8>,
    numbers: Rc<RefCell<Numbers>>,
    starts: FxHashMap<BackendId, (u64, Option<u64>)>,
}

impl Translator {
    /// Takes other settings' names for what is listed from now on.
    fn rename(&mut self, names: &Names) {
        self.zones = names.zones.iter().cloned().zip(0..).collect();
        self.kinds = names.kinds.iter().cloned().zip(0..=u8::MAX).collect();
        self.names = names.clone();
    }

    /// A translator that knows the zones and kinds, and adds to the numbers of backends.
    #[must_use]
    pub fn new(clock: Clock, names: &Names, numbers: Rc<RefCell<Numbers>>) -> Self {
        let mut translator = Self {
            clock,
            names: Names::default(),
            zones: FxHashMap::default(),
            kinds: FxHashMap::default(),
            numbers,
            starts: FxHashMap::default(),
        };
        translator.rename(names);
        translator
    }

    /// Reads a list. Entries that make no sense are logged and passed over.
    ///
    /// # Errors
    /// Where the list as a whole is not what is wanted.
    pub fn list(&mut self, json: Value) -> Result<List, DiscoveryError> {
        let raw: RawList = serde_json::from_value(json).map_err(DiscoveryError::Malformed)?;
        let entries = raw.members.into_iter().filter_map(|member| match self.member(member) {
            Ok(listed) => Some(listed),
            Err(problem) => {
                log(format_args!("passing over an entry of the list: {problem}"));
                None
            }
        });
        Ok(List { revision: raw.revision, complete: raw.complete, entries: entries.collect() })
    }

    fn member(&mut self, member: Value) -> Result<Listed, EntryError> {
        let raw: RawMember = serde_json::from_value(member).map_err(EntryError::Malformed)?;
        let Ok(address) = raw.host_port.parse() else {
            return Err(EntryError::Address(raw.id, raw.host_port));
        };
        let readiness = match raw.phase.as_str() {
            "active" => Readiness::Ready,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Gone,
            _ => return Err(EntryError::Phase(raw.id, raw.phase)),
        };
        let Some(&zone) = self.zones.get(&raw.locality) else {
            return Err(EntryError::Locality(raw.id, raw.locality));
        };
        // A kind that the settings don't name can still be sent to.
        let kind = self.kinds.get(&raw.flavor).copied().unwrap_or(0);
        let id = self.numbers.borrow_mut().number(&raw.id);
        let started = self.started(id, raw.up_since_ms);
        let backend = Backend { id, zone, kind, cell: raw.cell, readiness, started, senders: None };
        Ok(Listed { backend, address })
    }

    /// When it started on this proxy's clock. The same start keeps the time first worked out: a start ahead of
    /// the clock, which counts as now, must not look like a new one on each list.
    fn started(&mut self, id: BackendId, unix_ms: u64) -> Option<u64> {
        if let Some(&(told, started)) = self.starts.get(&id)
            && told == unix_ms
        {
            return started;
        }
        let started = self.clock.started(unix_ms);
        self.starts.insert(id, (unix_ms, started));
        started
    }
}

/// FNV-1a, 32 bits: stable from one build and machine to the next.
fn fnv(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

struct Conn {
    sender: SendRequest<Empty<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Follows discovery.
pub struct Watcher {
    address: SocketAddr,
    host: Option<HeaderValue>,
    translator: Translator,
    handle: Handle,
    /// Set once a list is held.
    held: Rc<Cell<bool>>,
    /// The module's calls for changes, where discovery has to be asked.
    asked: Option<mpsc::UnboundedReceiver<()>>,
    /// The connection of the watch that goes on.
    conn: Option<Conn>,
    revision: Option<u64>,
    rng: fastrand::Rng,
    /// The next call is to be made without a word from the module: a watch goes on, or discovery has moved.
    due: bool,
    /// The failure that was logged last since a call succeeded, so that one that lasts is logged once.
    logged: Option<DiscoveryError>,
    back_off: BackOff,
}

impl Watcher {
    /// A watcher that has made no call. With `asked` it begins a watch only when told to, otherwise by itself.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        translator: Translator,
        handle: Handle,
        held: Rc<Cell<bool>>,
        asked: Option<mpsc::UnboundedReceiver<()>>,
        seed: u64,
    ) -> Self {
        Self {
            address,
            host: host(address),
            translator,
            handle,
            held,
            asked,
            conn: None,
            revision: None,
            rng: fastrand::Rng::with_seed(seed),
            due: false,
            logged: None,
            back_off: BackOff::default(),
        }
    }

    /// Hands on the list that the configuration holds and serves from it. It may be old: the first call asks for
    /// what has changed since, which spares a discovery that many proxies share at their start the whole list.
    pub fn start_from(&mut self, known: Value) {
        let named = known.get("members").and_then(Value::as_array).map_or(0, Vec::len);
        let entries = match self.translator.list(known) {
            Ok(list) => {
                // A list with gaps can't be completed by its changes.
                let is_whole = list.complete && list.entries.len() == named && named > 0;
                self.revision = is_whole.then_some(list.revision);
                list.entries
            }
            Err(error) => {
                log(format_args!("`known`: {error}"));
                Vec::new()
            }
        };
        self.held.set(entries.iter().any(|e| e.backend.readiness == Readiness::Ready));
        // Also where nothing is known: the module asks for changes when it is told so.
        self.handle.tell(Message::Listed(Scope::Cached, entries));
    }

    /// Follows discovery for as long as the proxy runs, at each address and with the names that `moves` tells.
    ///
    /// `moves` tells of every configuration that was read. One that changes nothing here does not touch a call that
    /// is made, but it ends a pause after an answer that only somebody's correction will change.
    pub async fn run(mut self, mut moves: watch::Receiver<(SocketAddr, Names)>) {
        let mut known = (self.address, self.translator.names.clone());
        let mut reloads = moves.clone();
        loop {
            // A call that a move cuts short leaves nothing behind but its connection, which it drops.
            let moved = tokio::select! {
                biased;
                Ok(told) = moves.wait_for(|told| *told != known) => Some(told.clone()),
                () = self.step(&mut reloads) => None,
            };
            if let Some((address, names)) = moved {
                self.translator.rename(&names);
                self.move_to(address);
                known = (address, names);
            }
        }
    }

    /// Discovery listens elsewhere: the list there need not count its versions as the old one did.
    fn move_to(&mut self, address: SocketAddr) {
        // A call was cut short for this, and what it was made for still stands.
        (self.due, self.conn) = (true, None);
        if address == self.address {
            return;
        }
        log(format_args!("discovery moves to {address}"));
        (self.address, self.host) = (address, host(address));
        (self.revision, self.logged) = (None, None);
        self.back_off.reset();
    }

    /// One call and what follows from it.
    async fn step(&mut self, reloads: &mut watch::Receiver<(SocketAddr, Names)>) {
        if !self.due {
            self.wait_for_call().await;
        }
        match self.call().await {
            Ok(list) => {
                (self.due, self.logged) = (true, None);
                self.back_off.reset();
                self.pass_on(list);
            }
            Err(error) => {
                (self.due, self.conn) = (false, None);
                let (silent, lasting) = (matches!(error, DiscoveryError::Timeout), error.is_lasting());
                self.log_once(error);
                if !lasting {
                    self.after_failure(silent).await;
                } else if self.pause_is_over(reloads).await {
                    self.ask_again(silent);
                } else {
                    self.due = true;
                }
            }
        }
    }

    /// Logs a failure unless one was logged since the last success. One that lasts is logged beside others.
    fn log_once(&mut self, error: DiscoveryError) {
        let is_new = match &self.logged {
            None => true,
            Some(logged) => error.is_lasting() && discriminant(logged) != discriminant(&error),
        };
        if is_new {
            log(format_args!("discovery: {error}"));
            self.logged = Some(error);
        }
    }

    /// Waits until the service may be asked again after an answer that only somebody's correction will change.
    /// False where a configuration was read before that: it may be the correction.
    async fn pause_is_over(&mut self, reloads: &mut watch::Receiver<(SocketAddr, Names)>) -> bool {
        let pause = self.back_off.next_pause(&mut self.rng);
        reloads.mark_unchanged();
        tokio::select! {
            biased;
            Ok(()) = reloads.changed() => false,
            () = sleep(pause) => true,
        }
    }

    async fn wait_for_call(&mut self) {
        if let Some(asked) = &mut self.asked {
            // The driver ends only with the process.
            if asked.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while asked.try_recv().is_ok() {}
        }
    }

    fn pass_on(&mut self, list: List) {
        if !list.complete && self.revision.is_some_and(|held| list.revision < held) {
            // Changes of a list that is not held: discovery counts its versions anew. The whole list makes up for it.
            log(format_args!("discovery goes back to revision {}: asking for the whole list", list.revision));
            self.revision = None;
            return;
        }
        self.revision = Some(list.revision);
        self.held.set(true);
        // An answer without changes is news as well: the list held is still discovery's.
        let scope = if list.complete { Scope::Full } else { Scope::Delta };
        self.handle.tell(Message::Listed(scope, list.entries));
    }

    /// The module decides when a service is asked again; an agent is asked again after a short pause.
    async fn after_failure(&mut self, silent: bool) {
        if self.asked.is_none() {
            sleep(AGENT_PAUSE).await;
        }
        self.ask_again(silent);
    }

    /// The next call may be made: the module says when, or an agent is asked at once.
    fn ask_again(&mut self, silent: bool) {
        if self.asked.is_some() {
            self.handle.tell(Message::Listed(Scope::Failed(silent), Vec::new()));
        }
    }

    /// One call: it goes on with the watch, or opens one, without a wait, for what has changed meanwhile.
    async fn call(&mut self) -> Result<List, DiscoveryError> {
        let opened = Instant::now();
        let (mut conn, wait) = match self.kept(opened + OPEN_WITHIN).await {
            Some(conn) if self.revision.is_some() => (conn, self.wait()),
            Some(conn) => (conn, Duration::ZERO),
            None => (self.dialled(opened + OPEN_WITHIN).await?, Duration::ZERO),
        };
        let target = match self.revision {
            None => "/discovery/hosts".to_owned(),
            Some(after) => format!("/discovery/hosts?after={after}&wait_ms={}", wait.as_millis()),
        };
        let until = if wait.is_zero() { opened + OPEN_WITHIN } else { Instant::now() + wait + WATCH_GRACE };
        let body = timeout_at(until, self.fetch(&mut conn, &target)).await;
        let body = body.map_err(|_| DiscoveryError::Timeout)??;
        self.conn = Some(conn);
        self.translator.list(serde_json::from_slice(&body).map_err(DiscoveryError::Malformed)?)
    }

    /// How long this watch waits.
    fn wait(&mut self) -> Duration {
        WATCH_WAIT.mul_f64(1.0 - self.rng.f64() / 4.0)
    }

    /// The connection of the watch that goes on, unless it was closed.
    async fn kept(&mut self, until: Instant) -> Option<Conn> {
        let mut conn = self.conn.take()?;
        matches!(timeout_at(until, conn.sender.ready()).await, Ok(Ok(()))).then_some(conn)
    }

    /// A new connection.
    async fn dialled(&self, until: Instant) -> Result<Conn, DiscoveryError> {
        let agent = Instant::now() + AGENT_DIAL;
        let until = if self.asked.is_some() { until } else { until.min(agent) };
        let conn = timeout_at(until, dial(self.address)).await.map_err(|_| DiscoveryError::Timeout)?;
        conn.ok_or(DiscoveryError::Connection)
    }

    async fn fetch(&self, conn: &mut Conn, target: &str) -> Result<Bytes, DiscoveryError> {
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
        if let Some(host) = &self.host {
            request.headers_mut().insert(HOST, host.clone());
        }
        let sent = conn.sender.send_request(request).await;
        let response = sent.map_err(|_| DiscoveryError::Connection)?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        read_list(response.into_body()).await
    }
}

/// Reads a list. One that is too large is not read where its length is known, else no further than what is taken.
async fn read_list(body: Incoming) -> Result<Bytes, DiscoveryError> {
    if let Some(length) = body.size_hint().exact().filter(|&length| length > LIST_CAP as u64) {
        return Err(DiscoveryError::TooLarge { size: ListSize::Exactly(length), cap: LIST_CAP });
    }
    match Limited::new(body, LIST_CAP).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(DiscoveryError::TooLarge { size: ListSize::MoreThan(LIST_CAP), cap: LIST_CAP })
        }
        Err(_) => Err(DiscoveryError::Connection),
    }
}

fn host(address: SocketAddr) -> Option<HeaderValue> {
    HeaderValue::try_from(address.to_string()).ok()
}

async fn dial(address: SocketAddr) -> Option<Conn> {
    let stream = TcpStream::connect(address).await.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    Some(Conn { sender, task })
}
