//! Promises that outlive a machine: what a proxy said yes to is agreed on by a group of proxies and on the disks of
//! a majority before the yes.
//!
//! Its one face is [`start`] with a [`GroupConfig`], and the [`Group`] that it gives: [`Group::propose`] makes a
//! promise, [`Group::bans`] tells what holds, [`Group::status`] how this machine stands; [`Group::hand`] and
//! [`Group::copies`] carry what a proxy has learnt to two of its peers and back. The group runs on a thread
//! and runtime of its own, with a second thread for its disk; nothing here is waited for by a request.
//!
//! Consensus is `openraft`'s. Members are known by an identity that is drawn once for a disk: a machine which lost its
//! disk comes back as another member, is caught up and takes the old one's place, and what the old one voted and
//! promised is never asked of it. Machines call each other over HTTP/1.1 (`POST /group/...`, bodies in postcard, the
//! group's name, the format and the caller in headers); `GET /group/status` is for operators.

mod bans;
mod config;
mod copies;
mod disk;
mod election;
mod events;
mod identities;
mod node;
mod peers;
mod propose;
mod server;
mod types;

pub use bans::{Bans, MOST_BANS};
pub use config::{GroupConfig, PeerConfig};
pub use copies::{COPY_CAP, Copied, CopyError, LOOK_WITHIN, Looked};
pub use node::Status;
pub use propose::{Committed, ProposeError};
pub use types::Promise;

use crate::store::{LogError, WriteError};
use crate::system_random::{self, RandomError};
use bans::{Applier, Shared, Teller};
use bytes::Bytes;
use copies::Look;
use disk::Opened;
use election::Patience;
use events::say;
use node::Node;
use peers::{Mine, Network, Peers};
use serde_json::json;
use std::future::pending;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};
use thiserror::Error;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Calls of operators that wait for the group at a time.
const CALLS: usize = 64;
/// How often a process looks whether the one that it replaces has let go of the group's files.
const LET_GO_EVERY: Duration = Duration::from_millis(100);
/// After how many entries a snapshot is taken, and how many entries in it are kept for peers that are a little late.
const SNAPSHOT_EVERY: u64 = 4_096;
const KEPT_ENTRIES: u64 = 1_024;
/// The most entries in one call: with the longest ids they fit its body.
const ENTRIES_AT_ONCE: u64 = 512;

/// Why a group can't be started; what is on disk is as it was.
#[derive(Debug, Error)]
pub enum GroupError {
    /// A value of the configuration makes no sense.
    #[error("line {line}: {why}")]
    Config {
        /// The line of the file.
        line: usize,
        /// What is wrong, and what it may be.
        why: String,
    },
    /// The folder belongs to another machine.
    #[error(
        "`state_dir` {} is that of {found}: give each machine a folder of its own, or correct `name` and `node`",
        path.display()
    )]
    OtherNode {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        found: String,
    },
    /// Something in the folder is damaged or missing that must not be done without.
    #[error(
        "{what} at {} is damaged: {why}; nothing was changed; move `state_dir` away and start on an empty one: \
         the machine comes back as a new one in its old place",
        path.display()
    )]
    Damaged {
        /// The file or folder.
        path: PathBuf,
        /// What it holds.
        what: &'static str,
        /// What is wrong with it.
        why: String,
    },
    /// The folder can't be used.
    #[error("`state_dir` {} can't be used: {source}; see that it can be written", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The log can't be used.
    #[error(transparent)]
    Log(#[from] LogError),
    /// Something can't be stored.
    #[error(transparent)]
    Store(#[from] WriteError),
    /// There are no random numbers for a new machine's identity.
    #[error(transparent)]
    Random(#[from] RandomError),
    /// The address for the peers' calls is not to be had.
    #[error("cannot listen on {address} for the group: {source}; free the address or change `listen`")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A thread or its runtime could not be started.
    #[error("cannot start the group's thread: {0}")]
    Thread(io::Error),
    /// The consensus did not start.
    #[error("the consensus did not start: {0}")]
    Consensus(String),
}

/// A call of an operator on its way to the group's thread.
struct Asked {
    promise: Promise,
    within: Duration,
    answer: oneshot::Sender<Result<Committed, ProposeError>>,
}

/// The way to the group. It may be cloned freely.
#[derive(Clone, Debug)]
pub struct Group {
    asked: mpsc::Sender<Asked>,
    bans: watch::Receiver<Arc<Bans>>,
    status: watch::Receiver<Status>,
    conflict: watch::Receiver<Option<String>>,
    name: Arc<str>,
    copy: watch::Sender<Option<Bytes>>,
    looks: mpsc::Sender<Look>,
    keepers: Arc<[String]>,
}

impl Group {
    /// This machine's name in the group.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Makes a promise: a yes once a majority of the voters has it on disk and it is agreed on, and no later than
    /// `within` an error. The leader is found by itself; a call that is sent twice on the way counts once.
    ///
    /// # Errors
    /// Why there is no yes, whether it may still come into force, and what can be done.
    pub async fn propose(&self, promise: Promise, within: Duration) -> Result<Committed, ProposeError> {
        let (answer, answered) = oneshot::channel();
        self.asked.try_send(Asked { promise, within, answer }).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => ProposeError::Busy,
            mpsc::error::TrySendError::Closed(_) => ended(),
        })?;
        answered.await.unwrap_or_else(|_| Err(ended()))
    }

    /// Gives what was learnt to be copied to two peers, in place of what still waits to be; nothing is waited for.
    ///
    /// # Errors
    /// [`CopyError::TooLarge`] over [`COPY_CAP`] bytes; the copy before stays.
    pub fn hand(&self, copy: &Copied) -> Result<(), CopyError> {
        self.copy.send_replace(Some(copies::wrap(copy)?));
        Ok(())
    }

    /// The copies of this machine that its keepers hold and that are of this version, within [`LOOK_WITHIN`].
    pub async fn copies(&self, version: u16) -> Looked {
        let until = Instant::now() + LOOK_WITHIN;
        let (answer, answered) = oneshot::channel();
        // One look at a time waits; where the group's thread has ended, `answer` ends with it.
        let _ = self.looks.try_send(Look { version, until, answer });
        let late = || self.keepers.iter().map(|keeper| (keeper.clone(), CopyError::NotInTime)).collect();
        match timeout_at(until, answered).await {
            Ok(Ok(looked)) => looked,
            _ => Looked { copies: Vec::new(), passed_over: late() },
        }
    }

    /// The bans that hold, as they change.
    #[must_use]
    pub fn bans(&self) -> watch::Receiver<Arc<Bans>> {
        self.bans.clone()
    }

    /// What stands against this machine as a member, if anything does: its identity is another one's.
    #[must_use]
    pub fn conflict(&self) -> watch::Receiver<Option<String>> {
        self.conflict.clone()
    }

    /// How this machine stands, as it changes.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }
}

fn ended() -> ProposeError {
    ProposeError::Stopped("its thread has ended".to_owned())
}

/// The ends of the channels that the group's thread holds.
struct Ends {
    asked: mpsc::Receiver<Asked>,
    bans: watch::Sender<Arc<Bans>>,
    status: watch::Sender<Status>,
    conflict: watch::Sender<Option<String>>,
    copy: watch::Receiver<Option<Bytes>>,
    looks: mpsc::Receiver<Look>,
}

/// Starts this machine's part of its group. Where another process of the same proxy still has the folder, it is
/// waited for; calls go to the group through that one's peers until then.
///
/// # Errors
/// What is wrong with the folder or the address; nothing runs then.
pub fn start(config: GroupConfig) -> Result<Group, GroupError> {
    let (asked, calls) = mpsc::channel(CALLS);
    let (bans, told) = watch::channel(Arc::default());
    let (status, stands) = watch::channel(Status { state: "waiting".to_owned(), ..Status::default() });
    let (conflict, conflicts) = watch::channel(None);
    let (copy, copied) = watch::channel(None);
    let (looks, looked) = mpsc::channel(1);
    let keepers = config.keepers().into();
    let ready = match open(&config) {
        Err(GroupError::Log(LogError::InUse { .. })) => None,
        opened => Some(opened?),
    };
    let name = config.node.get_ref().as_str().into();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(GroupError::Thread)?;
    let ends = Ends { asked: calls, bans, status, conflict, copy: copied, looks: looked };
    let run = move || {
        let node = config.node.get_ref().clone();
        if let Err(error) = runtime.block_on(run(config, ready, ends)) {
            say(&json!({"event": "group_stopped", "node": node, "why": error.to_string()}));
        }
    };
    thread::Builder::new().name("group".to_owned()).spawn(run).map_err(GroupError::Thread)?;
    Ok(Group { asked, bans: told, status: stands, conflict: conflicts, name, copy, looks, keepers })
}

/// The folder and the listener, which only one process has at a time.
fn open(config: &GroupConfig) -> Result<(Opened, TcpListener), GroupError> {
    let opened = disk::open(&config.state_dir, config.name.get_ref(), config.node.get_ref())?;
    let listener = TcpListener::bind(config.listen).and_then(|listener| {
        listener.set_nonblocking(true)?;
        Ok(listener)
    });
    let listener = listener.map_err(|source| GroupError::Listen { address: config.listen, source })?;
    Ok((opened, listener))
}

/// Waits until the process that this one replaces has ended, and passes calls on to the group meanwhile.
async fn take_over(config: &GroupConfig, ends: &mut Ends) -> Result<(Opened, TcpListener), GroupError> {
    let node = config.node.get_ref().clone();
    say(&json!({"event": "group_waits", "node": node, "why": "another process has `state_dir`",
                "do": "nothing, if that is the process which this one replaces; else end it"}));
    let voters = Arc::new(config.voters.get_ref().clone());
    let group = config.name.get_ref();
    let mine = |identity| Mine { group: group.clone(), node: node.clone(), identity, start: None };
    let peers = disk::identity_beside(&config.state_dir).map(|id| Arc::new(Peers::beside(config, mine(id))));
    loop {
        match open(config) {
            Err(GroupError::Log(LogError::InUse { .. }) | GroupError::Listen { .. }) => {}
            opened => return opened,
        }
        let next = Instant::now() + LET_GO_EVERY;
        while let Ok(Some(Asked { promise, within, answer })) = timeout_at(next, ends.asked.recv()).await {
            let (peers, voters) = (peers.clone(), Arc::clone(&voters));
            tokio::spawn(async move {
                let done = match peers {
                    Some(peers) => propose::propose(&peers, &voters, None, promise, within).await,
                    None => Err(ProposeError::NotYet),
                };
                let _ = answer.send(done);
            });
        }
        sleep_until(next).await;
    }
}

fn raft_config(config: &GroupConfig) -> Result<Arc<openraft::Config>, GroupError> {
    let lease = *config.election_ms.get_ref();
    let raft = openraft::Config {
        cluster_name: config.name.get_ref().clone(),
        // The longest is the leader's lease; the shortest only what a vote is waited for: see `election`.
        election_timeout_min: lease - 1,
        election_timeout_max: lease,
        enable_elect: false,
        heartbeat_interval: *config.heartbeat_ms.get_ref(),
        install_snapshot_timeout: 10_000,
        max_payload_entries: ENTRIES_AT_ONCE,
        snapshot_policy: openraft::SnapshotPolicy::LogsSinceLast(SNAPSHOT_EVERY),
        max_in_snapshot_log_to_keep: KEPT_ENTRIES,
        replication_lag_threshold: 2 * SNAPSHOT_EVERY,
        ..openraft::Config::default()
    };
    Ok(Arc::new(raft.validate().map_err(|error| GroupError::Consensus(error.to_string()))?))
}

async fn run(
    config: GroupConfig,
    ready: Option<(Opened, TcpListener)>,
    mut ends: Ends,
) -> Result<(), GroupError> {
    let (opened, listener) = match ready {
        Some(ready) => ready,
        None => take_over(&config, &mut ends).await?,
    };
    let listener = tokio::net::TcpListener::from_std(listener);
    let listener = listener.map_err(|source| GroupError::Listen { address: config.listen, source })?;
    let Opened { disk, identity, state } = opened;
    let node = config.node.get_ref().clone();
    let start = Some(system_random::draw()?);
    let mine = Mine { group: config.name.get_ref().clone(), node: node.clone(), identity, start };
    let peers = Arc::new(Peers::new(&config, mine, ends.conflict));
    let floor = disk.with_entries(|entries| state.at_worst(entries.values()));
    let teller = Arc::new(Teller::new(ends.bans, floor));
    let state = Shared::new(state);
    let applier =
        Applier { node: node.clone(), state: state.clone(), teller: Arc::clone(&teller), disk: disk.clone() };
    let patience = Arc::new(Patience::new(Duration::from_millis(*config.election_ms.get_ref()), identity));
    let network = Network(Arc::clone(&peers), Arc::clone(&patience));
    let raft = types::Raft::new(identity, raft_config(&config)?, network, disk.clone(), applier).await;
    let raft = raft.map_err(|error| GroupError::Consensus(error.to_string()))?;
    say(&json!({"event": "group_starts", "node": node, "identity": peers::hex(identity),
                "group": config.name.get_ref(), "listen": config.listen.to_string(),
                "fresh": disk.is_fresh()}));
    let (status, news, callers) = (ends.status, Notify::new(), Semaphore::new(server::CALLERS));
    let kept = copies::Kept::default();
    let node = Node { config, raft, disk, peers, state, teller, status, news, callers, patience, kept };
    let node = Arc::new(node);
    tokio::spawn(election::stand(Arc::clone(&node)));
    tokio::spawn(Arc::clone(&node).follow());
    tokio::spawn(Arc::clone(&node).learn());
    tokio::spawn(Arc::clone(&node).tend());
    let answering = tokio::spawn(axum::serve(listener, server::router(Arc::clone(&node))).into_future());
    for keeper in node.config.keepers() {
        tokio::spawn(copies::send(Arc::clone(&node), keeper, ends.copy.clone()));
    }
    tokio::spawn(copies::answer(Arc::clone(&node), ends.looks));
    while let Some(Asked { promise, within, answer }) = ends.asked.recv().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            let (peers, voters) = (&node.peers, node.config.voters.get_ref());
            let _ = answer.send(propose::propose(peers, voters, Some(&*node), promise, within).await);
        });
    }
    drop(answering);
    pending().await
}
