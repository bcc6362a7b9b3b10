//! The group's log, vote and snapshots on disk, through [`crate::store`]. One thread writes and syncs, so that a slow
//! disk keeps neither the calls between machines nor the proxy waiting; entries that the log still has are held in
//! memory too (their number is bounded by the snapshots, their size by the operators' line).

use super::GroupError;
use super::bans::State;
use super::types::{Call, Entry, LogId, StorageError, Types, Vote};
use openraft::storage::{LogFlushed, LogState, RaftLogStorage};
use openraft::{EntryPayload, RaftLogReader, StorageIOError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::ops::{Bound, RangeBounds};
use std::path::Path;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::oneshot;

use crate::store::{Log, LogError, Owner, Store, WriteError};
use crate::system_random::{self, RandomError};

/// The version of everything that the group stores.
const VERSION: u16 = 1;
/// Jobs that wait for the disk: the consensus hands over one at a time, and its snapshots one more.
const WAITING: usize = 16;

/// Why the disk did not take something.
#[derive(Debug, Error)]
pub(super) enum DiskError {
    #[error(transparent)]
    Log(#[from] LogError),
    #[error(transparent)]
    Snapshot(#[from] WriteError),
    #[error("the group's disk thread has ended")]
    Ended,
}

type Done = oneshot::Sender<Result<(), DiskError>>;

enum Job {
    Append(Vec<Entry>, LogFlushed<Types>),
    Vote(Vote, Done),
    Truncate(u64, Done),
    Purge(LogId, Done),
    Keep(Vec<u8>, Done),
}

/// Who this machine is in its group: drawn once for a disk, so that a machine which lost its disk, and with it what
/// it had voted and promised, comes back as another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    group: String,
    node: String,
    identity: u64,
    /// Whether the log was made. From then on it must be there.
    whole: bool,
}

impl Identity {
    /// That of a new machine.
    fn draw(group: &str, node: &str) -> Result<Self, RandomError> {
        let (group, node) = (group.to_owned(), node.to_owned());
        Ok(Self { group, node, identity: system_random::draw()?, whole: false })
    }
}

/// What is held in memory of what is on disk.
#[derive(Default)]
struct Held {
    entries: BTreeMap<u64, Entry>,
    purged: Option<LogId>,
    vote: Option<Vote>,
    snapshot: Option<Vec<u8>>,
}

/// The way to the disk.
#[derive(Clone)]
pub(super) struct Disk {
    jobs: SyncSender<Job>,
    held: Arc<Mutex<Held>>,
}

/// The folder, opened.
pub(super) struct Opened {
    pub disk: Disk,
    /// This machine's identity.
    pub identity: u64,
    /// The state of the newest snapshot, if there is one.
    pub state: State,
}

struct Stores {
    log: Log<Entry>,
    votes: Store,
    purges: Store,
    snapshots: Store,
}

/// Reads a value that must not be older than the newest written: to fall back to an earlier vote is to vote twice.
fn newest<T: DeserializeOwned>(store: &Store, what: &'static str) -> Result<Option<T>, GroupError> {
    let restored = store.read();
    match restored.rejected.into_iter().next() {
        Some((path, why)) => Err(GroupError::Damaged { path, what, why: why.to_string() }),
        None => Ok(restored.snapshot.map(|snapshot| snapshot.value)),
    }
}

/// Milliseconds since the Unix epoch, by this machine's clock.
pub(super) fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| u64::try_from(t.as_millis()).unwrap_or(u64::MAX))
}

fn store(folder: &Path, name: &str) -> Result<Store, GroupError> {
    Store::new(folder, name, VERSION)
        .map_err(|source| GroupError::Folder { path: folder.to_path_buf(), source })
}

/// The identity in the folder, which another process has open.
pub(super) fn identity_beside(folder: &Path) -> Option<u64> {
    let stored: Option<Identity> = newest(&store(folder, "identity").ok()?, "the identity").ok()?;
    stored.map(|stored| stored.identity)
}

/// The identity in the folder, or a fresh one, and the log that is its own.
fn own_log(folder: &Path, group: &str, node: &str) -> Result<(Log<Entry>, u64), GroupError> {
    let identities = store(folder, "identity")?;
    let stored: Option<Identity> = newest(&identities, "the identity")?;
    let mut mine = match stored {
        Some(stored) => stored,
        None => Identity::draw(group, node)?,
    };
    if mine.group != group || mine.node != node {
        let found = format!("node `{}` of group `{}`", mine.node, mine.group);
        return Err(GroupError::OtherNode { path: folder.to_path_buf(), found });
    }
    if mine.whole && !folder.join("group.log").exists() {
        let (path, why) = (folder.join("group.log"), "it is gone".to_owned());
        return Err(GroupError::Damaged { path, what: "the log", why });
    }
    let fresh = !mine.whole;
    if fresh {
        identities.write(&mine, now_ms())?;
    }
    let owner = Owner { group: group.to_owned(), node: node.to_owned(), identity: mine.identity };
    let log = Log::open(folder, "group", VERSION, &owner)?;
    if fresh {
        mine.whole = true;
        identities.write(&mine, now_ms())?;
    }
    Ok((log, mine.identity))
}

/// Opens the folder, or makes it what a new machine begins with, and starts the thread that writes.
///
/// # Errors
/// What is there belongs to another machine or is damaged; it is left as it is.
pub(super) fn open(folder: &Path, group: &str, node: &str) -> Result<Opened, GroupError> {
    let (log, identity) = own_log(folder, group, node)?;
    let (votes, purges, snapshots) =
        (store(folder, "vote")?, store(folder, "purged")?, store(folder, "bans")?);
    let vote: Option<Vote> = newest(&votes, "the vote")?;
    let purged: Option<LogId> = newest(&purges, "the mark of what was purged")?;
    let bytes: Option<Vec<u8>> = newest(&snapshots, "the snapshot of the bans")?;
    let path = || folder.to_path_buf();
    let damaged = |what, why: String| GroupError::Damaged { path: path(), what, why };
    let state = match &bytes {
        None => State::default(),
        Some(bytes) => postcard::from_bytes(bytes)
            .map_err(|error| damaged("the snapshot of the bans", error.to_string()))?,
    };
    let reached = state.last.map_or(0, |last| last.index + 1);
    if purged.is_some_and(|purged| purged.index >= reached) || log.first() > reached {
        let why = format!("it reaches to entry {reached}, and the log begins at {}", log.first());
        return Err(damaged("the snapshot of the bans", why));
    }
    if vote.is_none() && log.next() > 1 {
        return Err(damaged("the vote", "there is none beside a log with entries".to_owned()));
    }
    let from = purged.map_or(0, |purged| purged.index + 1);
    let entries = log.read(from..u64::MAX)?.into_iter().collect();
    let held = Arc::new(Mutex::new(Held { entries, purged, vote, snapshot: bytes }));
    let (jobs, todo) = sync_channel(WAITING);
    let stores = Stores { log, votes, purges, snapshots };
    thread::Builder::new()
        .name("group-disk".to_owned())
        .spawn(move || stores.work(&todo))
        .map_err(GroupError::Thread)?;
    Ok(Opened { disk: Disk { jobs, held }, identity, state })
}

impl Stores {
    fn work(mut self, todo: &Receiver<Job>) {
        while let Ok(job) = todo.recv() {
            match job {
                Job::Append(entries, flushed) => {
                    let done = self.append(&entries);
                    flushed.log_io_completed(done.map_err(io::Error::other));
                }
                Job::Vote(vote, done) => answer(done, write(&self.votes, &vote)),
                Job::Truncate(index, done) => answer(done, self.log.truncate_from(index).map_err(Into::into)),
                Job::Purge(upto, done) => answer(done, self.purge(upto)),
                Job::Keep(bytes, done) => answer(done, write(&self.snapshots, &bytes)),
            }
        }
    }

    /// Only once this has returned may anybody be told that the entries are here.
    fn append(&mut self, entries: &[Entry]) -> Result<(), DiskError> {
        let Some(first) = entries.first().map(|entry| entry.log_id.index) else { return Ok(()) };
        self.log.append(first, entries)?;
        Ok(self.log.sync()?)
    }

    /// The mark goes first: entries that are still there beside it are passed over when the folder is opened.
    fn purge(&mut self, upto: LogId) -> Result<(), DiskError> {
        write(&self.purges, &upto)?;
        Ok(self.log.purge_to(upto.index)?)
    }
}

fn write<T: Serialize>(store: &Store, value: &T) -> Result<(), DiskError> {
    store.write(value, now_ms())?;
    Ok(())
}

/// Who asked may have ended meanwhile.
fn answer(done: Done, result: Result<(), DiskError>) {
    let _ = done.send(result);
}

impl Disk {
    fn held(&self) -> MutexGuard<'_, Held> {
        // Each change of what is held is one step; a panic elsewhere leaves it whole.
        self.held.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Hands a job over and waits until it is done.
    async fn finish(&self, job: impl FnOnce(Done) -> Job) -> Result<(), DiskError> {
        let (done, is_done) = oneshot::channel();
        self.jobs.send(job(done)).map_err(|_| DiskError::Ended)?;
        is_done.await.unwrap_or(Err(DiskError::Ended))
    }

    /// Stores a snapshot of the bans.
    pub(super) async fn keep(&self, bytes: Vec<u8>) -> Result<(), StorageError> {
        let stored = self.finish(|done| Job::Keep(bytes.clone(), done)).await;
        stored.map_err(|error| StorageIOError::write_snapshot(None, &error))?;
        self.held().snapshot = Some(bytes);
        Ok(())
    }

    /// The newest snapshot.
    pub(super) fn kept(&self) -> Option<Vec<u8>> {
        self.held().snapshot.clone()
    }

    /// Reads the entries that the log has, in order.
    pub(super) fn with_entries<T>(&self, read: impl FnOnce(&BTreeMap<u64, Entry>) -> T) -> T {
        read(&self.held().entries)
    }

    /// Where a call stands in the log, if it is there.
    pub(super) fn find(&self, number: u64) -> Option<LogId> {
        let is_it = |entry: &&Entry| matches!(&entry.payload, EntryPayload::Normal(Call { number: n, .. }) if *n == number);
        self.held().entries.values().find(is_it).map(|entry| entry.log_id)
    }

    /// The last entry that the log has or had.
    pub(super) fn last(&self) -> Option<LogId> {
        let held = self.held();
        held.entries.last_key_value().map(|(_, entry)| entry.log_id).or(held.purged)
    }

    /// Whether this machine has taken part in the group before: it has entries or a snapshot.
    pub(super) fn is_fresh(&self) -> bool {
        let held = self.held();
        held.entries.is_empty() && held.purged.is_none() && held.snapshot.is_none()
    }
}

impl RaftLogReader<Types> for Disk {
    async fn try_get_log_entries<B: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: B,
    ) -> Result<Vec<Entry>, StorageError> {
        // An empty range of a map may not be asked for.
        let from = match range.start_bound() {
            Bound::Included(&from) => from,
            Bound::Excluded(&before) => before + 1,
            Bound::Unbounded => 0,
        };
        let until = match range.end_bound() {
            Bound::Included(&last) => last.saturating_add(1),
            Bound::Excluded(&until) => until,
            Bound::Unbounded => u64::MAX,
        };
        if from >= until {
            return Ok(Vec::new());
        }
        Ok(self.held().entries.range(from..until).map(|(_, entry)| entry.clone()).collect())
    }
}

impl RaftLogStorage<Types> for Disk {
    type LogReader = Self;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, StorageError> {
        let last_log_id = self.last();
        Ok(LogState { last_purged_log_id: self.held().purged, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Self {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote) -> Result<(), StorageError> {
        let vote = *vote;
        let stored = self.finish(|done| Job::Vote(vote, done)).await;
        stored.map_err(|error| StorageIOError::write_vote(&error))?;
        self.held().vote = Some(vote);
        Ok(())
    }

    async fn read_vote(&mut self) -> Result<Option<Vote>, StorageError> {
        Ok(self.held().vote)
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), StorageError>
    where
        I: IntoIterator<Item = Entry> + Send,
        I::IntoIter: Send,
    {
        let entries: Vec<Entry> = entries.into_iter().collect();
        self.held().entries.extend(entries.iter().map(|entry| (entry.log_id.index, entry.clone())));
        let handed = self.jobs.send(Job::Append(entries, callback)).map_err(|_| DiskError::Ended);
        handed.map_err(|error| StorageIOError::write_logs(&error).into())
    }

    async fn truncate(&mut self, log_id: LogId) -> Result<(), StorageError> {
        self.held().entries.split_off(&log_id.index);
        let done = self.finish(|done| Job::Truncate(log_id.index, done)).await;
        done.map_err(|error| StorageIOError::write_logs(&error).into())
    }

    async fn purge(&mut self, log_id: LogId) -> Result<(), StorageError> {
        {
            let mut held = self.held();
            held.purged = Some(log_id);
            held.entries = held.entries.split_off(&(log_id.index + 1));
        }
        let done = self.finish(|done| Job::Purge(log_id, done)).await;
        done.map_err(|error| StorageIOError::write_logs(&error).into())
    }
}
