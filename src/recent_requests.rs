//! Which requests a proxy has taken of late, by their ids: one that comes again may not run twice.
//!
//! A client that has left may send its request again under the same id. The module knows requests by numbers of the
//! proxy's own and takes the second one for another request. This table knows the ids of those that can't simply be
//! repeated: while they are open, and for a while after any of their attempts may have run. It makes no calls and has no
//! clock but the times that it is given.

use crate::api::{DedupGroup, Effect, Micros};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;
use xxhash_rust::xxh64::xxh64;

/// How long an id is remembered once its request is over.
const RETENTION: Micros = 60_000_000;
/// The part of the memory limit that remembered ids may take.
const MEMORY_PART: usize = 32;
/// What a remembered id takes in bytes, in the table and in the queue of those that are forgotten next.
const ENTRY_BYTES: usize = 64;

/// A request's id, hashed: the same in all processes of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

impl IdHash {
    /// The hash of this id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh64(id.as_bytes(), 0))
    }
}

/// What one process of a proxy tells another about an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdNews {
    /// A request with this id was taken.
    Taken(IdHash),
    /// That request is over, and no attempt of it ran.
    Freed(IdHash),
}

/// A line that is no news of an id.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no news of a request's id: `taken` or `freed` and sixteen hexadecimal digits are wanted")]
pub struct NoIdNews;

impl fmt::Display for IdNews {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Taken(IdHash(id)) => write!(f, "taken {id:016x}"),
            Self::Freed(IdHash(id)) => write!(f, "freed {id:016x}"),
        }
    }
}

impl FromStr for IdNews {
    type Err = NoIdNews;

    fn from_str(line: &str) -> Result<Self, NoIdNews> {
        let (what, id) = line.trim().split_once(' ').ok_or(NoIdNews)?;
        let id = IdHash(u64::from_str_radix(id, 16).map_err(|_| NoIdNews)?);
        match what {
            "taken" => Ok(Self::Taken(id)),
            "freed" => Ok(Self::Freed(id)),
            _ => Err(NoIdNews),
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Holder {
    ThisProcess,
    OtherProcess,
}

#[derive(Clone, Copy)]
struct Record {
    taken_at: Micros,
    holder: Holder,
    may_have_run: bool,
}

/// The ids of the requests that were taken of late.
pub struct RecentRequests {
    records: FxHashMap<IdHash, Record>,
    /// Those whose requests are over, the oldest first, each with when it is forgotten.
    over: VecDeque<(Micros, IdHash)>,
    capacity: usize,
}

impl RecentRequests {
    /// An empty table of a process with this memory limit, in bytes.
    #[must_use]
    pub fn within(memory: usize) -> Self {
        let capacity = (memory / MEMORY_PART / ENTRY_BYTES).max(1);
        Self { records: FxHashMap::default(), over: VecDeque::new(), capacity }
    }

    /// Takes a request unless one with its id may have run, or may yet, and a second run would not be dropped.
    pub fn take(&mut self, now: Micros, id: IdHash, effect: &Effect) -> bool {
        self.forget_old(now);
        match self.records.get(&id) {
            None => {
                self.records
                    .insert(id, Record { taken_at: now, holder: Holder::ThisProcess, may_have_run: false });
                true
            }
            Some(record) => match effect {
                Effect::Safe => true,
                Effect::Keyed { group, ttl } => {
                    *group == DedupGroup::All && now < record.taken_at.saturating_add(*ttl)
                }
                Effect::Unsafe => false,
            },
        }
    }

    /// A request of this process is over.
    pub fn end(&mut self, now: Micros, id: IdHash, may_have_run: bool) {
        let Some(record) = self.records.get_mut(&id) else { return };
        if may_have_run {
            record.may_have_run = true;
            self.remember(now, id);
        } else if record.holder == Holder::ThisProcess && !record.may_have_run {
            self.records.remove(&id);
        }
    }

    /// Takes what another process of this proxy tells.
    pub fn hear(&mut self, now: Micros, news: IdNews) {
        self.forget_old(now);
        match news {
            IdNews::Taken(id) => {
                let record = Record { taken_at: now, holder: Holder::OtherProcess, may_have_run: false };
                self.records.entry(id).or_insert(record);
                self.remember(now, id);
            }
            IdNews::Freed(id) => {
                if self.records.get(&id).is_some_and(|record| record.holder == Holder::OtherProcess) {
                    self.records.remove(&id);
                }
            }
        }
    }

    /// All ids that it knows, for another process.
    pub fn known(&self) -> impl Iterator<Item = IdHash> + '_ {
        self.records.keys().copied()
    }

    fn remember(&mut self, now: Micros, id: IdHash) {
        self.over.push_back((now.saturating_add(RETENTION), id));
        if self.over.len() > self.capacity {
            self.forget_oldest();
        }
    }

    fn forget_old(&mut self, now: Micros) {
        while self.over.front().is_some_and(|(until, _)| *until <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.over.pop_front() {
            self.records.remove(&id);
        }
    }
}
