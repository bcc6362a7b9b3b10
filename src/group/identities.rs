//! Two machines with one identity, as after a disk was copied: the consensus takes them for one, and only one of them
//! would be a member. The second is refused by name.

use super::events::say;
use super::peers::Refusal;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The conflicts that a machine knows of.
pub(super) struct Conflicts {
    node: String,
    /// What stands against this machine itself; as long as there is something it is not ready.
    own: watch::Sender<Option<String>>,
    /// Whether the group has told this machine its bans.
    is_known: AtomicBool,
    /// The refused machines, by name.
    refused: Mutex<BTreeMap<String, String>>,
}

impl Conflicts {
    /// None known.
    pub(super) fn new(node: &str, own: watch::Sender<Option<String>>) -> Self {
        Self { node: node.to_owned(), own, is_known: AtomicBool::default(), refused: Mutex::default() }
    }

    fn refused(&self) -> MutexGuard<'_, BTreeMap<String, String>> {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A machine is refused because another one has its identity. Said once.
    pub(super) fn refuse(&self, name: &str, why: &Refusal) {
        let why = why.to_string();
        if self.refused().insert(name.to_owned(), why.clone()).as_ref() != Some(&why) {
            say(&json!({"event": "identity_refused", "node": self.node, "machine": name, "why": why}));
        }
    }

    /// That machine has an identity of its own now.
    pub(super) fn settle(&self, name: &str) {
        self.refused().remove(name);
    }

    /// This machine itself is refused. Once its group has told it the bans, only one that knows the other as a member
    /// (`is_certain`) is believed.
    pub(super) fn refused_here(&self, why: &Refusal, is_certain: bool) {
        if is_certain || !self.is_known.load(Ordering::Relaxed) {
            self.own.send_replace(Some(why.to_string()));
        }
    }

    /// This machine is known to its group.
    pub(super) fn settle_here(&self) {
        self.is_known.store(true, Ordering::Relaxed);
        self.own.send_replace(None);
    }

    /// All that is known, for operators.
    pub(super) fn report(&self) -> Vec<String> {
        let own = self.own.borrow().clone();
        let mut all: Vec<String> = self.refused().values().cloned().chain(own).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

/// Which of two machines with one identity has to get another one, as operators are told. Where the group knows neither,
/// nobody can tell which was first.
pub(super) fn wrong_one(second: &str, first_is_member: bool) -> String {
    if first_is_member { format!("`{second}`") } else { "the one that was added last".to_owned() }
}
