//! Calls to the group's other machines: HTTP/1.1, each within a time and a number at a time.

use super::config::GroupConfig;
use super::election::Patience;
use super::events::say;
use super::identities::{self, Conflicts};
use super::types::{LogId, Raft, Snapshot, Types, Vote};
use crate::body_buffer::collect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use openraft::error::{Fatal, RPCError, RaftError, ReplicationClosed, StreamingError, Unreachable};
use openraft::network::{Backoff, RPCOption, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, SnapshotResponse, VoteRequest, VoteResponse,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, timeout};

/// The format of the calls between machines: header, paths and bodies.
pub(super) const FORMAT: u32 = 1;
pub(super) const FORMAT_HEADER: &str = "x-gatestage-format";
pub(super) const GROUP_HEADER: &str = "x-gatestage-group";
pub(super) const NODE_HEADER: &str = "x-gatestage-node";
pub(super) const IDENTITY_HEADER: &str = "x-gatestage-identity";
/// Which start of the machine this is: two that run on copies of one disk differ in nothing else.
pub(super) const START_HEADER: &str = "x-gatestage-start";
/// Whom the call is for: one that was meant for a machine's predecessor is not for it.
pub(super) const TO_HEADER: &str = "x-gatestage-to";
/// The largest body of a call, bytes: entries, and with them a peer that is slow, cost [`SLOTS`] times as much.
pub(super) const BODY_CAP: usize = 1 << 20;
/// The largest snapshot, bytes; one at a time goes to each peer.
pub(super) const SNAPSHOT_CAP: usize = 16 << 20;
/// Calls to one peer at a time. One more fails at once: a peer that does not answer costs no more than these.
const SLOTS: usize = 8;
/// How long entries may be on their way. The consensus has long asked again by then, but what arrives late is as
/// good to a slow peer as what arrives in time.
const ENTRIES_WITHIN: Duration = Duration::from_secs(2);
const SNAPSHOT_WITHIN: Duration = Duration::from_secs(10);
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// How long a peer that can't be reached is left alone.
const BACKOFF: Duration = Duration::from_millis(50);
/// How long what a peer's address says of its identity counts.
const FRESH_FOR: Duration = Duration::from_millis(200);

/// How many different refusals are said.
const MOST_REFUSALS: usize = 64;

/// What a machine refuses a call for.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub(super) enum Refusal {
    #[error(
        "this is group `{here}`, the call came from group `{caller}`: correct `name`, or the peer's `address`"
    )]
    OtherGroup { here: String, caller: String },
    #[error(
        "this machine speaks format {here}, the call has format `{caller}`: run the same version on both"
    )]
    OtherFormat { here: u32, caller: String },
    #[error("no machine `{node}` is configured here: add it as a [[group.peer]], or correct `node`")]
    UnknownNode { node: String },
    #[error(
        "two machines are named `{node}`: the one at {address} has identity {known}, the caller {caller}: \
         stop one of them or give it another name"
    )]
    TwoNodes { node: String, address: SocketAddr, known: String, caller: String },
    #[error("cannot tell whether the caller is `{node}`: its address does not answer; it is asked again")]
    Unverified { node: String },
    #[error("the call is for identity {wanted}, this is {here}: the machine was replaced")]
    NotMe { wanted: String, here: String },
    #[error("this machine does not lead the group")]
    NotLeader { leader: Option<String> },
    #[error("the body makes no sense: {0}")]
    Malformed(String),
    #[error("too many calls at once")]
    Busy,
    #[error("the group's part of this machine has stopped: {0}")]
    Stopped(String),
    #[error(
        "two machines have identity {identity}, `{first}` and `{second}`: stop {}, move its `state_dir` away \
         and start it on an empty one",
        identities::wrong_one(second, *first_is_member)
    )]
    SameIdentity { identity: String, first: String, second: String, first_is_member: bool },
    #[error(
        "two machines named `{node}` run on copies of one `state_dir`: the one at {address} is the group's; stop the \
         other, and start it on an empty `state_dir` under a name and `listen` of its own"
    )]
    CopiedDisk { node: String, address: SocketAddr },
}

impl Refusal {
    /// Whether it stays until somebody changes a configuration or ends a process.
    fn wants_mending(&self) -> bool {
        matches!(
            self,
            Self::OtherGroup { .. }
                | Self::OtherFormat { .. }
                | Self::UnknownNode { .. }
                | Self::TwoNodes { .. }
                | Self::SameIdentity { .. }
                | Self::CopiedDisk { .. }
        )
    }

    /// Whether the same call may be taken a moment later: the machine is finding out who calls, or is busy.
    pub(super) fn may_pass(&self) -> bool {
        matches!(self, Self::TwoNodes { .. } | Self::Unverified { .. } | Self::Busy)
    }

    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::OtherGroup { .. }
            | Self::TwoNodes { .. }
            | Self::NotMe { .. }
            | Self::SameIdentity { .. }
            | Self::CopiedDisk { .. } => StatusCode::CONFLICT,
            Self::OtherFormat { .. } | Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::UnknownNode { .. } => StatusCode::FORBIDDEN,
            Self::NotLeader { .. } => StatusCode::MISDIRECTED_REQUEST,
            Self::Unverified { .. } | Self::Busy | Self::Stopped(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Why a call to a peer came to nothing.
#[derive(Debug, Error)]
pub(super) enum PeerError {
    #[error("no address is configured for `{0}`: add it as a [[group.peer]]")]
    NoAddress(String),
    #[error("{SLOTS} calls to `{0}` are under way")]
    Busy(String),
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    #[error("cannot be reached: {0}")]
    Unreachable(String),
    #[error("refused: {0}")]
    Refused(Refusal),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("its answer makes no sense: {0}")]
    Garbled(String),
}

/// Which machine this is.
#[derive(Clone, Debug)]
pub(super) struct Mine {
    pub group: String,
    pub node: String,
    pub identity: u64,
    /// Drawn at each start; `None`: this process waits for the one that it replaces, which speaks for the machine.
    pub start: Option<u64>,
}

/// What a machine says of itself to its peers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub identity: u64,
    /// It has never taken part: no log, no snapshot.
    pub fresh: bool,
    /// The voters as it is configured.
    pub voters: Vec<String>,
}

/// An identity as operators read it.
pub(super) fn hex(identity: u64) -> String {
    format!("{identity:016x}")
}

/// What a peer's address says of its identity.
#[derive(Clone, Copy, Default)]
struct Seen {
    /// The one that last answered there.
    identity: Option<u64>,
    /// Its start, where it said so.
    start: Option<u64>,
    /// When it was last asked.
    asked: Option<Instant>,
    /// Whether that was answered: not while the answer is on its way.
    answered: bool,
}

impl Seen {
    fn is(&mut self, identity: u64, start: Option<u64>) {
        *self = Self { identity: Some(identity), start, asked: Some(Instant::now()), answered: true };
    }

    /// Whether a caller is the one that last answered there; one that names no start may be.
    fn matches(&self, identity: u64, start: Option<u64>) -> bool {
        self.identity == Some(identity) && (start.is_none() || self.start == start)
    }
}

struct Peer {
    address: SocketAddr,
    slots: Semaphore,
    seen: Mutex<Seen>,
}

/// The other machines.
pub(super) struct Peers {
    pub mine: Mine,
    client: Client<HttpConnector, Full<Bytes>>,
    book: BTreeMap<String, Peer>,
    /// The refusals that were said already.
    refusals: Mutex<BTreeSet<String>>,
    pub conflicts: Conflicts,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, PeerError> {
    postcard::to_stdvec(value).map_err(|error| PeerError::Garbled(error.to_string()))
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, PeerError> {
    postcard::from_bytes(bytes).map_err(|error| PeerError::Garbled(error.to_string()))
}

impl Peers {
    /// `conflict`: what stands against this machine itself.
    pub(super) fn new(config: &GroupConfig, mine: Mine, conflict: watch::Sender<Option<String>>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_WITHIN));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(SLOTS)
            .build(connector);
        let book = config.peers.iter().map(|p| (p.name.get_ref().clone(), Peer::at(p.address))).collect();
        let conflicts = Conflicts::new(&mine.node, conflict);
        Self { mine, client, book, refusals: Mutex::default(), conflicts }
    }

    /// The same for a process that waits until the one which it replaces ends: that one is called like a peer.
    pub(super) fn beside(config: &GroupConfig, mine: Mine) -> Self {
        // What stands against the other process is that one's to say.
        let mut peers = Self::new(config, mine, watch::channel(None).0);
        peers.book.insert(peers.mine.node.clone(), Peer::at(config.listen));
        peers
    }

    /// The other machines' names.
    pub(super) fn names(&self) -> Vec<String> {
        self.book.keys().cloned().collect()
    }

    /// Says once what a peer refuses that somebody has to mend.
    fn note(&self, by: &str, refusal: &Refusal) {
        if !refusal.wants_mending() {
            return;
        }
        match refusal {
            Refusal::SameIdentity { second, first_is_member, .. } if *second == self.mine.node => {
                self.conflicts.refused_here(refusal, *first_is_member);
            }
            Refusal::CopiedDisk { node, .. } if *node == self.mine.node => {
                self.conflicts.refused_here(refusal, true);
            }
            _ => {}
        }
        let (mut said, why) =
            (self.refusals.lock().unwrap_or_else(PoisonError::into_inner), refusal.to_string());
        if said.len() < MOST_REFUSALS && said.insert(format!("{by}: {why}")) {
            say(&json!({"event": "group_refused", "node": self.mine.node, "by": by, "why": why}));
        }
    }

    /// Posts a body to a peer, to the identity `to` of it if that is given, and gives the answer's body.
    pub(super) async fn post(
        &self,
        name: &str,
        to: Option<u64>,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<Bytes, PeerError> {
        self.post_whole(name, to, path, body, within).await.map(|(_, body)| body)
    }

    /// The same with the answer's headers.
    async fn post_whole(
        &self,
        name: &str,
        to: Option<u64>,
        path: &str,
        body: Vec<u8>,
        within: Duration,
    ) -> Result<(HeaderMap, Bytes), PeerError> {
        let peer = self.book.get(name).ok_or_else(|| PeerError::NoAddress(name.to_owned()))?;
        let _slot = peer.slots.try_acquire().map_err(|_| PeerError::Busy(name.to_owned()))?;
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", peer.address))
            .header(FORMAT_HEADER, FORMAT)
            .header(GROUP_HEADER, &self.mine.group)
            .header(NODE_HEADER, &self.mine.node)
            .header(IDENTITY_HEADER, hex(self.mine.identity));
        if let Some(to) = to {
            request = request.header(TO_HEADER, hex(to));
        }
        if let Some(start) = self.mine.start {
            request = request.header(START_HEADER, hex(start));
        }
        let request = request
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let answer =
            timeout(within, self.exchange(request)).await.unwrap_or(Err(PeerError::TimedOut(within)));
        if let Err(PeerError::Refused(refusal)) = &answer {
            self.note(name, refusal);
        }
        answer
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(HeaderMap, Bytes), PeerError> {
        let answer = self.client.request(request).await;
        let (head, body) = answer.map_err(|error| PeerError::Unreachable(chain(&error)))?.into_parts();
        let body = collect(body, SNAPSHOT_CAP).await;
        let body = body.map_err(|error| PeerError::Garbled(error.to_string()))?;
        if head.status == StatusCode::OK {
            return Ok((head.headers, body));
        }
        Err(serde_json::from_slice(&body).map_or(PeerError::Status(head.status), PeerError::Refused))
    }

    /// Posts a value and reads the answer as one.
    pub(super) async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        name: &str,
        to: Option<u64>,
        path: &str,
        question: &Q,
        within: Duration,
    ) -> Result<A, PeerError> {
        decode(&self.post(name, to, path, encode(question)?, within).await?)
    }

    /// Asks a peer who it is. `members` are those that the group knows.
    pub(super) async fn hello(
        &self,
        name: &str,
        members: &BTreeMap<u64, String>,
        within: Duration,
    ) -> Result<Hello, PeerError> {
        let (headers, body) = self.post_whole(name, None, "/group/hello", encode(&())?, within).await?;
        let hello: Hello = decode(&body)?;
        self.is_alone(name, hello.identity, members).map_err(PeerError::Refused)?;
        if let Some(peer) = self.book.get(name) {
            peer.seen().is(hello.identity, start_of(&headers));
        }
        Ok(hello)
    }

    /// Whether no other machine has the identity that this one's address says it has. `members` are those that the group
    /// knows.
    ///
    /// # Errors
    /// The refusal of the second one.
    fn is_alone(&self, name: &str, identity: u64, members: &BTreeMap<u64, String>) -> Result<(), Refusal> {
        let member = members.get(&identity);
        let other = match member {
            Some(member) => (member != name).then_some(member.as_str()),
            None if self.mine.identity == identity => Some(self.mine.node.as_str()),
            None => self.seen_elsewhere(name, identity),
        };
        let Some(other) = other else {
            self.conflicts.settle(name);
            return Ok(());
        };
        let refusal = Refusal::SameIdentity {
            identity: hex(identity),
            first: other.to_owned(),
            second: name.to_owned(),
            first_is_member: member.is_some(),
        };
        self.conflicts.refuse(name, &refusal);
        if member.is_none() && other == self.mine.node {
            self.conflicts.refused_here(&refusal, false);
        }
        Err(refusal)
    }

    /// Another peer at whose address this identity last answered.
    fn seen_elsewhere(&self, name: &str, identity: u64) -> Option<&str> {
        let has_it =
            |(other, peer): &(&String, &Peer)| *other != name && peer.seen().identity == Some(identity);
        self.book.iter().find(has_it).map(|(other, _)| other.as_str())
    }

    /// The identity that last answered at a peer's address.
    pub(super) fn seen(&self, name: &str) -> Option<u64> {
        self.book.get(name)?.seen().identity
    }

    /// Whether a call that names itself as a peer's is that peer's: what its address says decides. `members` are those
    /// that the group knows: that does while the address can't be asked. True where the identity is news.
    pub(super) async fn verify(
        &self,
        name: &str,
        caller: u64,
        start: Option<u64>,
        members: &BTreeMap<u64, String>,
    ) -> Result<bool, Refusal> {
        if name == self.mine.node && caller == self.mine.identity {
            // The process that is to replace this one.
            return Ok(false);
        }
        let unknown = || Refusal::UnknownNode { node: name.to_owned() };
        let peer = self.book.get(name).ok_or_else(unknown)?;
        let member = members.get(&caller).is_some_and(|known_as| known_as == name);
        let before = *peer.seen();
        let Seen { identity: seen, asked, .. } = before;
        if before.matches(caller, start) {
            return self.is_alone(name, caller, members).map(|()| false);
        }
        // Somebody who only says so may not make this machine ask all the time.
        let mut asked_now = false;
        if asked.is_none_or(|asked| asked.elapsed() > FRESH_FOR) {
            *peer.seen() = Seen { asked: Some(Instant::now()), answered: false, ..before };
            if let Ok((identity, start)) = self.hello_unnamed(peer).await {
                self.is_alone(name, identity, members)?;
                peer.seen().is(identity, start);
                asked_now = true;
            }
        }
        let Seen { identity: now, answered, .. } = *peer.seen();
        match now {
            Some(now) if now == caller => {
                self.is_same_start(name, peer, start, asked_now).map(|()| seen != Some(caller))
            }
            // A machine on a fresh disk makes several calls at once: while its address is asked nobody says that
            // there are two.
            Some(now) if Some(now) != seen || (!member && answered) => Err(Refusal::TwoNodes {
                node: name.to_owned(),
                address: peer.address,
                known: hex(now),
                caller: hex(caller),
            }),
            _ if member => Ok(false),
            _ => Err(Refusal::Unverified { node: name.to_owned() }),
        }
    }

    /// Whether a caller with the identity of that peer is the process that answers at the peer's address.
    ///
    /// # Errors
    /// The refusal of another one. Only what the address has said just now tells that there are two: the machine may
    /// have been started again since.
    fn is_same_start(
        &self,
        name: &str,
        peer: &Peer,
        start: Option<u64>,
        asked_now: bool,
    ) -> Result<(), Refusal> {
        let (Some(known), Some(caller)) = (peer.seen().start, start) else { return Ok(()) };
        if known == caller {
            self.conflicts.settle(name);
            return Ok(());
        }
        let node = name.to_owned();
        if !asked_now {
            return Err(Refusal::Unverified { node });
        }
        let refusal = Refusal::CopiedDisk { node, address: peer.address };
        self.conflicts.refuse(name, &refusal);
        Err(refusal)
    }

    /// Asks an address for its identity, and which start it is, without being asked back for one's own.
    async fn hello_unnamed(&self, peer: &Peer) -> Result<(u64, Option<u64>), PeerError> {
        let uri = format!("http://{}/group/identity", peer.address);
        let request = Request::builder().uri(uri).body(Full::default());
        let request = request.map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let answer = timeout(CONNECT_WITHIN, self.exchange(request)).await;
        let (headers, body) = answer.unwrap_or(Err(PeerError::TimedOut(CONNECT_WITHIN)))?;
        let text = std::str::from_utf8(&body).unwrap_or_default();
        let identity =
            u64::from_str_radix(text, 16).map_err(|error| PeerError::Garbled(error.to_string()))?;
        Ok((identity, start_of(&headers)))
    }
}

impl Peer {
    fn at(address: SocketAddr) -> Self {
        Self { address, slots: Semaphore::new(SLOTS), seen: Mutex::default() }
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The start that a machine names in a call or an answer; versions before it name none.
pub(super) fn start_of(headers: &HeaderMap) -> Option<u64> {
    u64::from_str_radix(headers.get(START_HEADER)?.to_str().ok()?, 16).ok()
}

/// An error with its causes: hyper's own text leaves them out.
fn chain(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}

/// Makes the consensus its ways to the peers.
pub(super) struct Network(pub Arc<Peers>, pub Arc<Patience>);

impl RaftNetworkFactory<Types> for Network {
    type Network = Way;

    async fn new_client(&mut self, target: u64, node: &super::types::Machine) -> Way {
        let (peers, patience) = (Arc::clone(&self.0), Arc::clone(&self.1));
        Way { peers, patience, name: node.name.clone(), to: target }
    }
}

/// The consensus' way to one member.
pub(super) struct Way {
    peers: Arc<Peers>,
    patience: Arc<Patience>,
    name: String,
    to: u64,
}

type CallError = RPCError<u64, super::types::Machine, RaftError<u64>>;

impl Way {
    /// Entries that have left go on their way although the consensus no longer waits for them.
    async fn detached<A: DeserializeOwned>(&self, path: &'static str, body: Vec<u8>) -> Result<A, PeerError> {
        let (peers, name, to) = (Arc::clone(&self.peers), self.name.clone(), self.to);
        let call = tokio::spawn(async move { peers.post(&name, Some(to), path, body, ENTRIES_WITHIN).await });
        decode(&call.await.unwrap_or_else(|error| Err(PeerError::Unreachable(error.to_string())))?)
    }
}

fn unreachable(error: PeerError) -> CallError {
    RPCError::Unreachable(Unreachable::new(&error))
}

impl RaftNetwork<Types> for Way {
    async fn append_entries(
        &mut self,
        entries: AppendEntriesRequest<Types>,
        _: RPCOption,
    ) -> Result<AppendEntriesResponse<u64>, CallError> {
        let body = encode(&entries).map_err(unreachable)?;
        self.detached("/group/append", body).await.map_err(unreachable)
    }

    async fn vote(
        &mut self,
        vote: VoteRequest<u64>,
        option: RPCOption,
    ) -> Result<VoteResponse<u64>, CallError> {
        let asked = self.peers.ask(&self.name, Some(self.to), "/group/vote", &vote, option.hard_ttl());
        let answer: VoteResponse<u64> = asked.await.map_err(unreachable)?;
        if answer.last_log_id > vote.last_log_id {
            self.patience.outdone();
        }
        Ok(answer)
    }

    async fn full_snapshot(
        &mut self,
        vote: Vote,
        snapshot: Snapshot,
        cancel: impl Future<Output = ReplicationClosed> + Send + 'static,
        _: RPCOption,
    ) -> Result<SnapshotResponse<u64>, StreamingError<Types, Fatal<u64>>> {
        let question = (vote, snapshot.meta, *snapshot.snapshot);
        let asked = self.peers.ask(&self.name, Some(self.to), "/group/snapshot", &question, SNAPSHOT_WITHIN);
        tokio::select! {
            answer = asked => answer.map_err(|error| StreamingError::Unreachable(Unreachable::new(&error))),
            closed = cancel => Err(StreamingError::Closed(closed)),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(BACKOFF))
    }
}

/// How many voters' logs are known to hold an entry, at the leader: its own and those that have said so.
pub(super) fn holders(raft: &Raft, entry: LogId) -> usize {
    let metrics = raft.metrics().borrow().clone();
    let has = |id: &u64| {
        let matched = metrics.replication.as_ref().and_then(|r| r.get(id).copied().flatten());
        *id == metrics.id || matched.is_some_and(|matched| matched.index >= entry.index)
    };
    metrics.membership_config.membership().voter_ids().filter(has).count()
}
