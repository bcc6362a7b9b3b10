//! What outlives a process: which backends the operators have taken out, and the clients' listener, which a
//! running process hands to the one that replaces it.
//!
//! All of it is marked with the proxy's name and address: proxies of several deployments may have one `$TMPDIR`, and
//! backends of one name. What a version of the program left there that set no mark is still read.
//!
//! A ban is a file of its own in `$TMPDIR`, named after the backend and the proxy. Making and removing a file are atomic and
//! touch no other ban, so two processes may write at the same time, and neither can overwrite what the other has
//! just stored, as they could in one file that holds all of them.
//!
//! The listener goes over a Unix socket in `$TMPDIR`, and both processes then accept from one queue: no connection
//! is left in a queue that nobody accepts from any more. The link stays open, tells each process what the other
//! holds of the descriptors that are theirs together, and ends with either process, however that ends.

use super::backends::Fleet;
use super::clients::Clients;
use super::config::Config;
use super::discovery::Numbers;
use super::driver::{Handle, Message};
use super::log;
use crate::api::{Learnt, LearntKind};
use crate::group::{Copied, CopyError, Group};
use crate::store::Store;
use rustc_hash::{FxHashMap, FxHashSet};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg, sockopt::socket_acceptconn,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, IoSlice, IoSliceMut, Read};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, io};
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{Mutex, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep};
use xxhash_rust::xxh64::xxh64;

/// Where a process of a version without marks waits for the one that replaces it. Whose it is shows only in the
/// address at which it listens.
const UNMARKED_SOCKET: &str = "haventrack-handover";
/// How long the running process may take to hand over. One that hangs is not waited for: the new process then
/// listens by itself at the same address.
const HAND_OVER_WITHIN: Duration = Duration::from_millis(1_000);
/// The most that a process hands on beside the listener.
const LEGACY_CAP: u64 = 4 << 20;
/// How often two processes tell one another what they hold.
const TELL_EVERY: Duration = Duration::from_millis(50);
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Descriptors that a process needs beside its clients and backends.
const OWN_SOCKETS: usize = 24;
/// The least part of the clients' connections that a process may hold.
const LEAST_PART: usize = 4;

const BANS: &str = "haventrack-bans";
/// The longest id that can be stored: a file's name holds 255 bytes, and each byte of an id takes two.
const LONGEST_ID: usize = 120;

/// What tells a proxy's files from those of others in one folder: a hash of its name and the clients' address, which
/// are the same for all its processes. Short, as a socket's path holds 107 bytes.
#[must_use]
pub fn mark(proxy: &str, listen: SocketAddr) -> String {
    format!("{:08x}", xxh64(format!("{listen} {proxy}").as_bytes(), 0) >> 32)
}

/// The socket in this folder at which a process of the proxy with that mark waits for the one that replaces it.
#[must_use]
pub fn socket(folder: &Path, mark: &str) -> PathBuf {
    folder.join(format!("haventrack-{mark}"))
}

/// The bans as stored.
#[derive(Debug)]
pub struct Bans {
    folder: PathBuf,
    /// The proxy's; `None`: whoever stored them.
    mark: Option<String>,
}

impl Bans {
    /// The store of the proxy with this mark in a folder that others may share. Bans without a mark are in force as
    /// well, and end with a call here: they may be this proxy's from before an upgrade, or another's.
    #[must_use]
    pub fn of(folder: &Path, mark: String) -> Self {
        Self { folder: folder.join(BANS), mark: Some(mark) }
    }

    /// The store in this folder, which is one proxy's.
    #[must_use]
    pub fn within(folder: &Path) -> Self {
        Self { folder: folder.join(BANS), mark: None }
    }

    /// Says in the log which bans are in force here although they may be another proxy's.
    pub fn say_unmarked(&self) {
        let unmarked = self.ids(|mark| mark.is_none()).filter(|ids| !ids.is_empty() && self.mark.is_some());
        if let Some(ids) = unmarked {
            let ids: Vec<_> = ids.into_iter().collect();
            log(format_args!(
                "bans of an older version, which does not say whose they are, hold here too: {}",
                ids.join(", ")
            ));
        }
    }

    /// Stores a ban; one that is stored already stays.
    ///
    /// # Errors
    /// Where it can't be stored.
    pub fn store(&self, id: &str) -> io::Result<()> {
        let path = self.path(id)?;
        if let Err(error) = fs::create_dir(&self.folder)
            && !self.folder.is_dir()
        {
            // Something else has taken the name: nothing of ours, and in the way.
            if error.kind() != io::ErrorKind::AlreadyExists {
                return Err(error);
            }
            fs::remove_file(&self.folder)?;
            fs::create_dir(&self.folder)?;
        }
        fs::File::create(path).map(drop)
    }

    /// Removes a ban.
    ///
    /// # Errors
    /// Where it can't be removed.
    pub fn remove(&self, id: &str) -> io::Result<()> {
        for path in [self.path(id)?, self.folder.join(hex(id))] {
            if let Err(error) = fs::remove_file(path)
                && error.kind() != io::ErrorKind::NotFound
            {
                return Err(error);
            }
        }
        Ok(())
    }

    /// The ids of all backends that are banned. Files that are none of ours are passed over; `None` where the
    /// store can't be read, which lifts no ban.
    #[must_use]
    pub fn read(&self) -> Option<BTreeSet<String>> {
        let mine = self.mark.as_deref();
        self.ids(|mark| mine.is_none() || mark.is_none() || mark == mine)
    }

    /// The ids in the names of the files with such a mark.
    fn ids(&self, wanted: impl Fn(Option<&str>) -> bool) -> Option<BTreeSet<String>> {
        let files = fs::read_dir(&self.folder).ok()?;
        let id = |name: &str| match name.split_once('.') {
            Some((id, mark)) if wanted(Some(mark)) => unhex(id),
            None if wanted(None) => unhex(name),
            _ => None,
        };
        Some(files.filter_map(|file| id(file.ok()?.file_name().to_str()?)).collect())
    }

    fn path(&self, id: &str) -> io::Result<PathBuf> {
        if id.is_empty() || id.len() > LONGEST_ID {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "an id of that length can't be stored"));
        }
        let mark = self.mark.iter().map(|mark| format!(".{mark}"));
        Ok(self.folder.join(hex(id) + &mark.collect::<String>()))
    }
}

/// An id may hold what a file's name may not.
fn hex(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(name: &str) -> Option<String> {
    let digits = name.as_bytes();
    if digits.is_empty() || digits.len() % 2 != 0 {
        return None;
    }
    let byte = |pair: &[u8]| {
        let digit = |b: u8| char::from(b).to_digit(16);
        u8::try_from(digit(pair[0])? * 16 + digit(pair[1])?).ok()
    };
    let bytes: Option<Vec<u8>> = digits.chunks(2).map(byte).collect();
    String::from_utf8(bytes?).ok()
}

/// Whose state it is: the names for which its numbers stand. The module knows only numbers, and those are another
/// thing at a proxy with other settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The proxy.
    pub proxy: String,
    /// Its zone.
    pub zone: String,
    /// Its classes.
    pub classes: Vec<String>,
    /// The kinds of machines, in the order of their numbers.
    pub kinds: Vec<String>,
}

impl Owner {
    /// The owner of what a proxy with this configuration learns.
    #[must_use]
    pub fn of(config: &Config) -> Self {
        let (settings, names) = (&config.settings, &config.names);
        Self {
            proxy: config.name.clone(),
            zone: names.zones.get(usize::from(settings.zone)).cloned().unwrap_or_default(),
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            kinds: names.kinds.clone(),
        }
    }
}

/// Why a state is not taken. It does no harm: the proxy learns anew.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum Foreign {
    /// It names no owner.
    #[error("it does not say whose it is, an older version of the program made it")]
    Unnamed,
    /// Another proxy's.
    #[error("it is that of the proxy `{0}`, this one is `{1}`: give each proxy a state_dir of its own")]
    Proxy(String, String),
    /// Of a proxy in another zone.
    #[error("it was learnt in the zone `{0}`, this proxy is in `{1}`")]
    Zone(String, String),
    /// Of other classes.
    #[error("it knows the classes {0:?} and none of this proxy's")]
    Classes(Vec<String>),
}

/// What a process hands on beside the listener.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Legacy {
    /// Whose it is; `None`: a version of the program wrote it that did not say.
    #[serde(default)]
    pub owner: Option<Owner>,
    /// The names of all backends that were ever listed.
    pub names: Vec<String>,
    /// What its module has learnt.
    #[serde(default)]
    pub learnt: Learnt,
}

impl Legacy {
    /// The same in the numbers of `mine`: kinds are matched by name, and of one that the other had not there is
    /// nothing that makes sense, so that the module passes it over.
    ///
    /// # Errors
    /// Where it is no state of this proxy.
    pub fn fit(mut self, mine: &Owner) -> Result<Self, Foreign> {
        let theirs = self.owner.replace(mine.clone()).ok_or(Foreign::Unnamed)?;
        if theirs.proxy != mine.proxy {
            return Err(Foreign::Proxy(theirs.proxy, mine.proxy.clone()));
        }
        if theirs.zone != mine.zone {
            return Err(Foreign::Zone(theirs.zone, mine.zone.clone()));
        }
        let known: FxHashSet<&String> = mine.classes.iter().collect();
        if !theirs.classes.iter().any(|class| known.contains(class)) {
            return Err(Foreign::Classes(theirs.classes));
        }
        // Settings without kinds have one, which has no name.
        let named = |kinds: &[String]| if kinds.is_empty() { vec![String::new()] } else { kinds.to_vec() };
        let theirs = named(&theirs.kinds);
        let places: Vec<_> =
            named(&mine.kinds).iter().map(|kind| theirs.iter().position(|other| other == kind)).collect();
        let unknown = LearntKind { limit: f64::NAN, growing: true, served: f64::NAN };
        let kinds = std::mem::take(&mut self.learnt.kinds);
        let kind = |place: &Option<usize>| place.and_then(|at| kinds.get(at)).unwrap_or(&unknown).clone();
        self.learnt.kinds = places.iter().map(kind).collect();
        for (_, means) in &mut self.learnt.latencies {
            let mean =
                |place: &Option<usize>| place.and_then(|at| means.get(at)).copied().unwrap_or(f64::NAN);
            *means = places.iter().map(mean).collect();
        }
        Ok(self)
    }
}

/// The version of [`Legacy`] as the checked store and the group's copies keep it; one of another is passed over.
pub const LEGACY_VERSION: u16 = 2;
/// How often what the module has learnt is stored while the proxy serves.
const KEEP_EVERY: Duration = Duration::from_secs(2);
/// The name of the proxy's snapshots in `state_dir`.
const LEARNT: &str = "learnt";

/// What this process would leave to another.
#[derive(Clone)]
pub struct Estate {
    /// The way to the driver, which knows what the module has learnt.
    pub handle: Handle,
    /// The names of all backends that were ever listed.
    pub numbers: Rc<RefCell<Numbers>>,
    /// Whose it is by the settings in force.
    pub owner: Rc<RefCell<Owner>>,
}

impl Estate {
    /// As it is now; `None` when the driver has ended.
    async fn legacy(&self) -> Option<Legacy> {
        let (asked, learnt) = oneshot::channel();
        self.handle.tell(Message::Learnt(asked));
        let learnt = learnt.await.ok()?;
        let names = self.numbers.borrow().names().into_iter().map(str::to_owned).collect();
        Some(Legacy { owner: Some(self.owner.borrow().clone()), names, learnt })
    }
}

/// Keeps the [`Legacy`] on disk through the checked store, so that a start after a crash or a power loss goes on
/// from what was learnt, and gives it to the group, whose copies outlive the disk: every 2 s (`KEEP_EVERY`) and once
/// more at SIGTERM.
pub struct Keeper {
    store: Option<Arc<Store>>,
    group: Option<Group>,
    estate: Estate,
    /// Whether the last write failed, so that a failure that lasts is logged once and its end once.
    failing: Cell<bool>,
    /// The same for copies.
    uncopied: Cell<bool>,
    /// One write at a time: that of SIGTERM may come while the last one is still under way.
    writing: Mutex<()>,
}

impl Keeper {
    /// Keeps the estate into `store` (see [`state_store`]), and with the peers in `group`; either may be missing.
    #[must_use]
    pub fn new(store: Option<Store>, group: Option<Group>, estate: Estate) -> Rc<Self> {
        Rc::new(Self {
            store: store.map(Arc::new),
            group,
            estate,
            failing: Cell::new(false),
            uncopied: Cell::new(false),
            writing: Mutex::new(()),
        })
    }

    /// Stores what the module has learnt now; a failure (full disk, folder not writable) is logged and the next
    /// turn tries again. A thread of the runtime's own does the writing: no request waits for the disk.
    pub async fn keep_now(&self) {
        let _alone = self.writing.lock().await;
        // A driver that has ended leaves nothing worth storing over what is stored.
        let Some(legacy) = self.estate.legacy().await else { return };
        self.copy(&legacy);
        let Some(store) = self.store.clone() else { return };
        let write = tokio::task::spawn_blocking(move || store.write(&legacy, wall_ms()));
        // A runtime that is shutting down stores nothing more.
        let Ok(written) = write.await else { return };
        match written {
            Ok(_) if self.failing.replace(false) => log(format_args!("state: stored again")),
            Ok(_) => {}
            Err(error) if !self.failing.replace(true) => log(format_args!("state: {error}; trying again")),
            Err(_) => {}
        }
    }

    /// Gives what is learnt to the group, which sends it by itself.
    fn copy(&self, legacy: &Legacy) {
        let Some(group) = &self.group else { return };
        let state = postcard::to_stdvec(legacy).map_err(|error| CopyError::Garbled(error.to_string()));
        let handed = state
            .and_then(|state| group.hand(&Copied { version: LEGACY_VERSION, written_ms: wall_ms(), state }));
        if let Err(error) = &handed
            && !self.uncopied.get()
        {
            let event = json!({"event": "copy_not_made", "node": group.name(), "why": error.to_string()});
            log(format_args!("{event}"));
        }
        self.uncopied.set(handed.is_err());
    }

    /// Stores what is learnt every 2 s (`KEEP_EVERY`), for as long as the proxy runs.
    pub async fn keep(self: Rc<Self>) {
        let mut every = interval(KEEP_EVERY);
        every.set_missed_tick_behavior(MissedTickBehavior::Delay);
        every.tick().await;
        loop {
            every.tick().await;
            self.keep_now().await;
        }
    }
}

/// The proxy's snapshots in `folder`, its `state_dir`.
///
/// # Errors
/// None for the fixed name of the proxy's snapshots; kept for the store's check of names.
pub fn state_store(folder: &Path) -> io::Result<Store> {
    Store::new(folder, LEARNT, LEGACY_VERSION)
}

/// The newest whole snapshot in `store` and its age in microseconds, in the numbers of `mine`, with a log line that
/// says which was taken and why any newer one was not; `None` is a cold start, or where `copied` that of a copy that
/// the group may hold.
#[must_use]
pub fn restore(store: &Store, mine: &Owner, copied: bool) -> Option<(Legacy, u64)> {
    let restored = store.read::<Legacy>();
    for (path, why) in &restored.rejected {
        log(format_args!("state: passed over {}: {why}", path.display()));
    }
    let Some(snapshot) = restored.snapshot else {
        let unless = if copied { " unless the group holds a copy" } else { "" };
        log(format_args!("state: cold start{unless}, no whole snapshot in {}", store.folder().display()));
        return None;
    };
    let age_ms = wall_ms().saturating_sub(snapshot.written_ms);
    let generation = snapshot.generation;
    let refused = |why| log(format_args!("state: cold start, generation {generation} is not used: {why}"));
    let legacy = snapshot.value.fit(mine).map_err(refused).ok()?;
    let names = legacy.names.len();
    log(format_args!("state: restored generation {generation}, {age_ms} ms old, {names} backends named"));
    Some((legacy, age_ms * 1_000))
}

/// The newest copy of this proxy that its group holds, and its age in microseconds, with a log line that says which
/// was taken, or why there is none: then the start is a cold one. At most [`LOOK_WITHIN`](crate::group::LOOK_WITHIN)
/// is waited for it.
pub async fn restore_copy(group: &Group, mine: &Owner) -> Option<(Legacy, u64)> {
    let asked = Instant::now();
    let mut looked = group.copies(LEGACY_VERSION).await;
    let mut taken = None;
    for (keeper, copy) in std::mem::take(&mut looked.copies) {
        let read = postcard::from_bytes::<Legacy>(&copy.state).map_err(|e| CopyError::Garbled(e.to_string()));
        match read.and_then(|legacy| legacy.fit(mine).map_err(|e| CopyError::Foreign(e.to_string()))) {
            Ok(legacy) => {
                taken = Some((keeper, copy, legacy));
                break;
            }
            Err(error) => looked.passed_over.push((keeper, error)),
        }
    }
    let passed_over: serde_json::Map<String, Value> =
        looked.passed_over.into_iter().map(|(keeper, why)| (keeper, why.to_string().into())).collect();
    let waited_ms = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
    let Some((keeper, copy, legacy)) = taken else {
        let event = json!({"event": "copy_missing", "node": group.name(), "waited_ms": waited_ms,
            "keepers": passed_over, "do": "nothing: the proxy starts cold and learns anew"});
        log(format_args!("{event}"));
        return None;
    };
    let age_ms = wall_ms().saturating_sub(copy.written_ms);
    let event = json!({"event": "copy_restored", "node": group.name(), "keeper": keeper, "age_ms": age_ms,
        "names": legacy.names.len(), "bytes": copy.state.len(), "waited_ms": waited_ms,
        "passed_over": passed_over});
    log(format_args!("{event}"));
    Some((legacy, age_ms.saturating_mul(1_000)))
}

/// Milliseconds since the Unix epoch: a snapshot's age must count across processes and restarts, which the
/// proxy's own clock does not.
fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// The process that this one replaces.
pub struct Predecessor {
    legacy: Option<Legacy>,
    link: StdUnixStream,
}

impl Predecessor {
    /// What it has handed on, in the numbers of `mine`; the log says why where it is not used.
    pub fn legacy(&mut self, mine: &Owner) -> Option<Legacy> {
        let refused = |why| log(format_args!("what the other process has learnt is not used: {why}"));
        self.legacy.take()?.fit(mine).map_err(refused).ok()
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
    BufReader::new((&link).take(LEGACY_CAP)).read_line(&mut line)?;
    let legacy = Some(serde_json::from_str(&line)?);
    Ok((TcpListener::from_std(socket.into())?, Predecessor { legacy, link }))
}

/// Descriptors that a process holds, or may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// For clients.
    pub clients: usize,
    /// For backends.
    pub backends: usize,
}

impl Held {
    fn parse(line: &str) -> Option<Self> {
        let (clients, backends) = line.trim().split_once(' ')?;
        Some(Self { clients: clients.parse().ok()?, backends: backends.parse().ok()? })
    }

    /// What one of several processes may hold of what is theirs together, where it holds this much and the others
    /// hold that. Clients stay where they are: what is free is shared, and no process is left without some.
    /// Connections to backends can be opened anew, so each process has its part of them.
    #[must_use]
    pub fn part_of(self, all: Held, others: Held, processes: usize) -> Self {
        let free = all.clients.saturating_sub(self.clients + others.clients);
        let (least, most) = (all.clients / LEAST_PART, all.clients - all.clients / LEAST_PART);
        Self {
            clients: (self.clients + free / processes).clamp(least, most),
            backends: all.backends.saturating_sub(OWN_SOCKETS * (processes - 1)) / processes,
        }
    }
}

/// This process and the others that serve at the same address.
pub struct Company {
    /// Where it waits for the process that replaces it.
    socket: PathBuf,
    listener: Rc<TcpListener>,
    estate: Estate,
    clients: Rc<Clients>,
    fleet: Rc<Fleet>,
    /// What all of them may hold together.
    most: Held,
    /// What the others were last told that this one holds.
    told: Cell<Held>,
    /// What each of the others holds, by the number of its link.
    others: RefCell<FxHashMap<usize, Held>>,
    links: Cell<usize>,
    /// Those of the others that were given the listener by this process.
    successors: Cell<usize>,
}

impl Company {
    /// A process that is alone until it hears of another.
    #[must_use]
    pub fn new(
        socket: PathBuf,
        listener: Rc<TcpListener>,
        estate: Estate,
        clients: Rc<Clients>,
        fleet: Rc<Fleet>,
        most: Held,
    ) -> Rc<Self> {
        Rc::new(Self {
            socket,
            listener,
            estate,
            clients,
            fleet,
            most,
            told: Cell::default(),
            others: RefCell::default(),
            links: Cell::new(0),
            successors: Cell::new(0),
        })
    }

    /// Whether a process that replaces this one accepts the clients.
    #[must_use]
    pub fn has_successor(&self) -> bool {
        self.successors.get() > 0
    }

    /// Stays linked to the process that handed over.
    pub fn follow(self: &Rc<Self>, other: Predecessor) {
        let linked = other.link.set_nonblocking(true).and_then(|()| UnixStream::from_std(other.link));
        match linked {
            Ok(stream) => {
                let company = Rc::clone(self);
                tokio::task::spawn_local(async move { company.link(stream).await });
            }
            Err(error) => log(format_args!("no link to the other process: {error}")),
        }
    }

    /// Waits for processes that replace this one, for as long as it runs.
    pub async fn serve(self: Rc<Self>) {
        let mut waiting = self.publish();
        loop {
            let Some(socket) = &waiting else { return };
            match socket.accept().await {
                Ok((stream, _)) => {
                    let company = Rc::clone(&self);
                    company.successors.set(company.successors.get() + 1);
                    let ended = tokio::task::spawn_local(async move {
                        match company.give(&stream).await {
                            Ok(()) => company.link(stream).await,
                            Err(error) => log(format_args!("the listener can't be handed over: {error}")),
                        }
                        company.successors.set(company.successors.get() - 1);
                    });
                    // The successor waits at that name now. Once it is gone this process is to be found again.
                    let _ = ended.await;
                    waiting = self.publish();
                }
                Err(error) => {
                    log(format_args!("accept of another process: {error}"));
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Waits at its path, whatever stood there: renaming is atomic, and a socket that a dead process has left
    /// answers nobody.
    fn publish(&self) -> Option<UnixListener> {
        let own = self.socket.with_extension(std::process::id().to_string());
        let _ = fs::remove_file(&own);
        let published =
            UnixListener::bind(&own).and_then(|socket| fs::rename(&own, &self.socket).map(|()| socket));
        published.inspect_err(|error| log(format_args!("nobody can take over: {error}"))).ok()
    }

    async fn give(&self, stream: &UnixStream) -> io::Result<()> {
        let fds = [self.listener.as_fd()];
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&fds));
            let sent = sendmsg(stream, &[IoSlice::new(b"L")], &mut control, SendFlags::NOSIGNAL);
            sent.map_err(io::Error::from)
        };
        stream.async_io(Interest::WRITABLE, send).await?;
        // A driver that has ended leaves nothing to hand on.
        let legacy = self.estate.legacy().await.unwrap_or_default();
        let line = serde_json::to_string(&legacy)? + "\n";
        let mut rest = line.as_bytes();
        while !rest.is_empty() {
            stream.writable().await?;
            match stream.try_write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        log(format_args!("the listener was handed to another process"));
        Ok(())
    }

    /// Tells the other process what this one holds, and hears the same of it, until one of them ends.
    async fn link(&self, stream: UnixStream) {
        let number = self.links.get();
        self.links.set(number + 1);
        // Until it has spoken it may hold half of everything.
        let half = Held { clients: self.most.clients / 2, backends: self.most.backends / 2 };
        self.others.borrow_mut().insert(number, half);
        self.told.set(Held { clients: self.clients.open(), backends: self.fleet.open() });
        self.judge();
        let (read, mut write) = stream.into_split();
        let mut lines = tokio::io::BufReader::new(read).lines();
        let mut tick = interval(TELL_EVERY);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                line = lines.next_line() => {
                    let Ok(Some(line)) = line else { break };
                    if let Some(held) = Held::parse(&line) {
                        self.others.borrow_mut().insert(number, held);
                        self.judge();
                    }
                }
                _ = tick.tick() => {
                    let held = Held { clients: self.clients.open(), backends: self.fleet.open() };
                    let line = format!("{} {}\n", held.clients, held.backends);
                    self.told.set(held);
                    self.judge();
                    if write.write_all(line.as_bytes()).await.is_err() {
                        break;
                    }
                }
            }
        }
        self.others.borrow_mut().remove(&number);
        self.judge();
        log(format_args!("the other process has ended"));
    }

    /// What the others hold, or whether there are any, has changed.
    fn judge(&self) {
        let others = self.others.borrow();
        let sum = |part: fn(&Held) -> usize| others.values().map(part).sum::<usize>();
        let held = Held { clients: sum(|h| h.clients), backends: sum(|h| h.backends) };
        let processes = 1 + others.len();
        let own =
            if others.is_empty() { self.most } else { self.told.get().part_of(self.most, held, processes) };
        self.clients.limit(own.clients);
        self.fleet.limit(own.backends);
        self.estate.handle.tell(Message::Company(u32::try_from(processes).unwrap_or(u32::MAX)));
    }
}
