//! What the group has agreed on: the bans, as they are applied, kept in snapshots and told to the proxy.

use super::disk::Disk;
use super::events::say;
use super::types::{Call, Entry, LogId, Membership, Meta, Promise, Snapshot, StorageError, Taken, Types};
use openraft::storage::RaftStateMachine;
use openraft::{EntryPayload, RaftSnapshotBuilder, StorageIOError};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::watch;

/// The most bans that a group holds: what is agreed on has to fit in memory and in one message.
pub const MOST_BANS: usize = 20_000;
/// How many calls are remembered, so that one sent twice counts once. A call is sent again for a second at most.
const REMEMBERED: usize = 1_024;
/// How many backends are remembered as given back.
const GIVEN_BACK: usize = 256;

/// The bans of the group, as one proxy knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bans {
    /// The backends that nothing may go to.
    pub banned: BTreeSet<String>,
    /// The backends that were given back of late, each with the entry of the group's log that did it.
    pub given_back: BTreeMap<String, u64>,
    /// Up to which entry of the group's log this holds; 0 before the first.
    pub index: u64,
    /// The term of the leader that wrote that entry.
    pub term: u64,
    /// Whether a leader that a majority follows has confirmed since this process began that nothing promised
    /// before is missing. Until then the bans in this machine's own log stand in, also those that may not have
    /// come to be.
    pub known: bool,
}

/// All that is agreed on, up to one entry of the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct State {
    pub last: Option<LogId>,
    pub membership: Membership,
    /// The banned backends, each with the entry that banned it.
    bans: BTreeMap<String, u64>,
    /// The backends given back of late, each with the entry that did it.
    given_back: BTreeMap<String, u64>,
    /// The numbers of the latest calls, oldest first.
    calls: VecDeque<u64>,
}

impl State {
    /// Takes one call.
    fn take(&mut self, index: u64, call: &Call) -> Taken {
        if self.calls.contains(&call.number) {
            return Taken::Again;
        }
        match &call.promise {
            Promise::Ban { backend } => {
                if self.bans.len() >= MOST_BANS && !self.bans.contains_key(backend) {
                    return Taken::Full;
                }
                self.bans.insert(backend.clone(), index);
            }
            Promise::GiveBack { backend } => {
                self.bans.remove(backend);
                self.given_back.insert(backend.clone(), index);
                if self.given_back.len() > GIVEN_BACK
                    && let Some(oldest) = self.given_back.iter().min_by_key(|(_, at)| **at)
                {
                    let oldest = oldest.0.clone();
                    self.given_back.remove(&oldest);
                }
            }
        }
        self.calls.push_back(call.number);
        if self.calls.len() > REMEMBERED {
            self.calls.pop_front();
        }
        Taken::Yes
    }

    /// The bans that would be in force if all bans among `entries` had come to be, and no giving back: what a
    /// machine that does not know must not send to.
    pub(super) fn at_worst<'a>(&self, entries: impl Iterator<Item = &'a Entry>) -> BTreeSet<String> {
        let mut banned: BTreeSet<String> = self.bans.keys().cloned().collect();
        for entry in entries {
            if let EntryPayload::Normal(Call { promise: Promise::Ban { backend }, .. }) = &entry.payload {
                banned.insert(backend.clone());
            }
        }
        banned
    }
}

/// Tells the proxy the bans.
pub(super) struct Teller {
    bans: watch::Sender<Arc<Bans>>,
    /// The bans that hold until the group's are known.
    floor: BTreeSet<String>,
}

impl Teller {
    /// Tells `floor` until more is known.
    pub(super) fn new(bans: watch::Sender<Arc<Bans>>, floor: BTreeSet<String>) -> Self {
        bans.send_replace(Arc::new(Bans { banned: floor.clone(), ..Bans::default() }));
        Self { bans, floor }
    }

    pub(super) fn watch(&self) -> watch::Receiver<Arc<Bans>> {
        self.bans.subscribe()
    }

    /// Tells what holds, unless something newer was told. `known`: a leader has confirmed that nothing promised
    /// before now is missing in it.
    pub(super) fn tell(&self, held: Confirmed, known: bool) {
        self.bans.send_if_modified(|told| {
            if held.index < told.index {
                return false;
            }
            let known = known || told.known;
            let mut banned = held.banned;
            if !known {
                banned.extend(self.floor.iter().cloned());
            }
            let (given_back, index, term) = (held.given_back, held.index, held.term);
            let next = Bans { banned, given_back, index, term, known };
            let differs = **told != next;
            *told = Arc::new(next);
            differs
        });
    }
}

/// What holds up to an entry of the log, as one machine tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Confirmed {
    pub banned: BTreeSet<String>,
    pub given_back: BTreeMap<String, u64>,
    pub index: u64,
    pub term: u64,
}

/// The state, shared by those who apply, snapshot and read it.
#[derive(Clone)]
pub(super) struct Shared(Arc<Mutex<State>>);

impl Shared {
    pub(super) fn new(state: State) -> Self {
        Self(Arc::new(Mutex::new(state)))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        // A panic elsewhere leaves the state whole: each entry is taken in one step.
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// What holds.
    pub(super) fn held(&self) -> Confirmed {
        let state = self.lock();
        let (index, term) = state.last.map_or((0, 0), |last| (last.index, last.leader_id.term));
        let (banned, given_back) = (state.bans.keys().cloned().collect(), state.given_back.clone());
        Confirmed { banned, given_back, index, term }
    }
}

/// Applies what is agreed on.
pub(super) struct Applier {
    pub node: String,
    pub state: Shared,
    pub teller: Arc<Teller>,
    pub disk: Disk,
}

impl Applier {
    fn say(&self, at: LogId, promise: &Promise, taken: Taken) {
        say(&json!({"event": "ban_applied", "node": self.node, "term": at.leader_id.term, "index": at.index,
                    "backend": promise.backend(), "on": promise.on(), "taken": taken == Taken::Yes}));
    }

    fn tell(&self) {
        self.teller.tell(self.state.held(), false);
    }
}

/// What the snapshot of a state holds.
fn meta_of(state: &State) -> Meta {
    let snapshot_id = state.last.map_or_else(|| "0".to_owned(), |last| last.to_string());
    Meta { last_log_id: state.last, last_membership: state.membership.clone(), snapshot_id }
}

impl RaftStateMachine<Types> for Applier {
    type SnapshotBuilder = Builder;

    async fn applied_state(&mut self) -> Result<(Option<LogId>, Membership), StorageError> {
        let state = self.state.lock();
        Ok((state.last, state.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<Taken>, StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let mut answers = Vec::new();
        for entry in entries {
            let mut state = self.state.lock();
            state.last = Some(entry.log_id);
            answers.push(match entry.payload {
                EntryPayload::Blank => Taken::Yes,
                EntryPayload::Membership(members) => {
                    state.membership = Membership::new(Some(entry.log_id), members);
                    Taken::Yes
                }
                EntryPayload::Normal(call) => {
                    let taken = state.take(entry.log_id.index, &call);
                    drop(state);
                    self.say(entry.log_id, &call.promise, taken);
                    taken
                }
            });
        }
        self.tell();
        Ok(answers)
    }

    async fn get_snapshot_builder(&mut self) -> Builder {
        Builder { state: self.state.clone(), disk: self.disk.clone() }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Vec<u8>>, StorageError> {
        Ok(Box::default())
    }

    async fn install_snapshot(&mut self, meta: &Meta, snapshot: Box<Vec<u8>>) -> Result<(), StorageError> {
        let state: State = postcard::from_bytes(&snapshot)
            .map_err(|error| StorageIOError::read_snapshot(Some(meta.signature()), &error))?;
        self.disk.keep(*snapshot).await?;
        let (bans, index) = (state.bans.len(), state.last.map_or(0, |last| last.index));
        *self.state.lock() = state;
        say(&json!({"event": "snapshot_installed", "node": self.node, "index": index, "bans": bans}));
        self.tell();
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot>, StorageError> {
        let Some(bytes) = self.disk.kept() else { return Ok(None) };
        let state: State =
            postcard::from_bytes(&bytes).map_err(|error| StorageIOError::read_snapshot(None, &error))?;
        Ok(Some(Snapshot { meta: meta_of(&state), snapshot: Box::new(bytes) }))
    }
}

/// Makes snapshots of the state.
pub(super) struct Builder {
    state: Shared,
    disk: Disk,
}

impl RaftSnapshotBuilder<Types> for Builder {
    async fn build_snapshot(&mut self) -> Result<Snapshot, StorageError> {
        let state = self.state.lock().clone();
        let bytes = postcard::to_stdvec(&state);
        let bytes = bytes.map_err(|error| StorageIOError::write_snapshot(None, &error))?;
        self.disk.keep(bytes.clone()).await?;
        Ok(Snapshot { meta: meta_of(&state), snapshot: Box::new(bytes) })
    }
}
