//! This process and the others that serve at the same address, while one replaces another.
//!
//! Two processes stay linked over the socket of the handover. Each tells the other what it holds of the descriptors
//! that are theirs together, and the link ends with either process, however that ends.

use super::keeper::StateSource;
use super::listener::{Predecessor, give};
use crate::proxy::backends::Fleet;
use crate::proxy::clients::Clients;
use crate::proxy::driver::Message;
use crate::proxy::log;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// How often two processes tell one another what they hold.
const TELL_EVERY: Duration = Duration::from_millis(50);
/// The ids of requests that may be on their way to the other process.
const IDS_UNDER_WAY: usize = 65_536;
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Descriptors that a process needs beside its clients and backends.
const OWN_SOCKETS: usize = 24;
/// The least part of the clients' connections that a process may hold.
const LEAST_PART: usize = 4;

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
pub struct Siblings {
    /// Where it waits for the process that replaces it.
    socket: PathBuf,
    listener: Rc<TcpListener>,
    source: StateSource,
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

impl Siblings {
    /// A process that is alone until it hears of another.
    #[must_use]
    pub fn new(
        socket: PathBuf,
        listener: Rc<TcpListener>,
        source: StateSource,
        clients: Rc<Clients>,
        fleet: Rc<Fleet>,
        most: Held,
    ) -> Rc<Self> {
        Rc::new(Self {
            socket,
            listener,
            source,
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
        let Predecessor { link, told, .. } = other;
        let linked = link.set_nonblocking(true).and_then(|()| UnixStream::from_std(link));
        match linked {
            Ok(stream) => {
                let siblings = Rc::clone(self);
                tokio::task::spawn_local(async move { siblings.link(stream, told).await });
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
                    let siblings = Rc::clone(&self);
                    siblings.successors.set(siblings.successors.get() + 1);
                    let ended = tokio::task::spawn_local(async move {
                        match siblings.hand_over(&stream).await {
                            Ok(()) => siblings.link(stream, Vec::new()).await,
                            Err(error) => log(format_args!("the listener can't be handed over: {error}")),
                        }
                        siblings.successors.set(siblings.successors.get() - 1);
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

    async fn hand_over(&self, stream: &UnixStream) -> io::Result<()> {
        // A driver that has ended leaves nothing to hand on.
        let state = self.source.current().await.unwrap_or_default();
        give(&self.listener, &state, stream).await?;
        log(format_args!("the listener was handed to another process"));
        Ok(())
    }

    /// Tells the other process what this one holds, and hears the same of it, until one of them ends; `told` is what has
    /// been read of it already.
    async fn link(&self, stream: UnixStream, told: Vec<u8>) {
        let number = self.links.get();
        self.links.set(number + 1);
        // Until it has spoken it may hold half of everything.
        let half = Held { clients: self.most.clients / 2, backends: self.most.backends / 2 };
        self.others.borrow_mut().insert(number, half);
        self.told.set(Held { clients: self.clients.open(), backends: self.fleet.open() });
        self.judge();
        let (read, mut write) = stream.into_split();
        let mut lines = tokio::io::BufReader::new(io::Cursor::new(told).chain(read)).lines();
        let (sibling, mut ids) = mpsc::channel(IDS_UNDER_WAY);
        self.source.handle.tell(Message::Sibling(sibling));
        let mut tick = interval(TELL_EVERY);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                line = lines.next_line() => {
                    let Ok(Some(line)) = line else { break };
                    if let Some(held) = Held::parse(&line) {
                        self.others.borrow_mut().insert(number, held);
                        self.judge();
                    } else if let Ok(news) = line.parse() {
                        self.source.handle.tell(Message::IdNews(news));
                    }
                }
                Some(news) = ids.recv() => {
                    if write.write_all(format!("{news}\n").as_bytes()).await.is_err() {
                        break;
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
        self.clients.share_memory(processes);
        self.clients.limit(own.clients);
        self.fleet.limit(own.backends);
        self.source.handle.tell(Message::Company(u32::try_from(processes).unwrap_or(u32::MAX)));
    }
}
