//! The members and their revisions: the state behind the platform's list and watch (`PROTOCOL`, "Discovery").
//!
//! The revision only grows. Each change is kept with the revision at which it was made, up to a bound; a watch
//! from before the oldest change kept gets the whole list with `complete: true` (compaction).

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};

/// One member as the protocol gives it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The same for every proxy.
    pub id: String,
    /// Where the proxies dial it: `host:port`.
    pub host_port: String,
    /// Its zone.
    pub locality: String,
    /// Its kind of machine.
    pub flavor: String,
    /// Its group.
    #[serde(default)]
    pub cell: u32,
    /// `active` or `leaving`; `left` appears only among changes.
    #[serde(default = "active")]
    pub phase: String,
    /// Its weight, relative to others of its kind.
    #[serde(default = "one")]
    pub size: f64,
    /// Its last start as Unix time in milliseconds, 0 if long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn active() -> String {
    "active".to_owned()
}

fn one() -> f64 {
    1.0
}

/// The members, the revision, and the changes kept for watches.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    members: BTreeMap<String, Member>,
    /// Changes in order: the revision each was made at and the entry as it was told.
    changes: VecDeque<(u64, Member)>,
    /// The last revision of which a change is no longer kept.
    compacted: u64,
    /// The most changes kept.
    keep: usize,
}

impl Store {
    /// An empty store at revision 0 that keeps up to `keep` changes (at least one).
    pub fn new(keep: usize) -> Self {
        Self {
            revision: 0,
            members: BTreeMap::new(),
            changes: VecDeque::new(),
            compacted: 0,
            keep: keep.max(1),
        }
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Makes the members these: a new one, a changed one and one that is gone (told as `left`) are each a change,
    /// all at one new revision. Gives that revision, or `None` when nothing changed.
    pub fn replace(&mut self, wanted: Vec<Member>) -> Option<u64> {
        let next = self.revision + 1;
        let mut told = Vec::new();
        let wanted: BTreeMap<_, _> = wanted.into_iter().map(|m| (m.id.clone(), m)).collect();
        for (id, old) in &self.members {
            if !wanted.contains_key(id) {
                told.push(Member { phase: "left".to_owned(), ..old.clone() });
            }
        }
        for (id, new) in &wanted {
            if self.members.get(id) != Some(new) {
                told.push(new.clone());
            }
        }
        if told.is_empty() {
            return None;
        }
        self.members = wanted;
        self.revision = next;
        for member in told {
            self.changes.push_back((next, member));
        }
        while self.changes.len() > self.keep {
            self.compacted = self.changes.pop_front().map_or(self.compacted, |(revision, _)| revision);
        }
        Some(next)
    }

    /// The answer to `GET /discovery/hosts?after=AFTER`: the entries changed since `after`, or the whole list
    /// with `complete: true` when `after` is 0, newer than the revision in force, or older than the changes kept.
    pub fn since(&self, after: u64) -> Value {
        let whole = after == 0 || after > self.revision || after < self.compacted;
        let members: Vec<&Member> = if whole {
            self.members.values().collect()
        } else {
            let mut latest = BTreeMap::new();
            for (_, member) in self.changes.iter().filter(|(revision, _)| *revision > after) {
                latest.insert(&member.id, member);
            }
            latest.into_values().collect()
        };
        json!({"revision": self.revision, "complete": whole, "members": members})
    }
}
