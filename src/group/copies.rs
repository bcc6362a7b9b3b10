//! What a proxy has learnt, copied to two of its peers, so that a machine which lost its disk does not start cold.
//!
//! Best effort, and in memory alone: a copy that is lost with its keeper is made again within a round. The group does
//! not read what it carries: [`Group::hand`](super::Group::hand) takes a state as bytes with its version and time,
//! [`Group::copies`](super::Group::copies) gives back what the keepers hold, and the caller decides what that is worth.
//!
//! Who keeps is decided by rendezvous hashing (highest random weight) with XXH64, which is published and the same on
//! every machine and build: all peers agree on it without a word, and a peer that is lost moves what it kept and no
//! more. FNV-1a, which numbers the backends, is no choice here: names that differ in their last byte alone, as those
//! of machines do, hardly differ in its upper bits, so that one peer would keep for nearly all.

use super::config::GroupConfig;
use super::disk::now_ms;
use super::events::say;
use super::node::Node;
use super::peers::{PeerError, Peers, encode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh64::xxh64;

/// The largest copy on its way, in bytes (256 KiB): the names and limits of about 10,000 backends. A keeper holds one
/// for each machine that it keeps for, and at most one for each configured peer.
pub const COPY_CAP: usize = 256 << 10;
/// How long a start waits for its copy in all, the keepers being asked at the same time.
pub const LOOK_WITHIN: Duration = Duration::from_millis(200);
/// How many peers keep a machine's copy.
const KEEPERS: usize = 2;
/// How much of [`LOOK_WITHIN`] is left for what has come to get from the group's thread to the one that waits.
const HAND_BACK: Duration = Duration::from_millis(20);
/// After how long a keeper is asked again that could not tell yet who asks.
const ASK_AGAIN: Duration = Duration::from_millis(15);
/// How long a copy may be on its way. None other goes to that keeper meanwhile.
const KEEP_WITHIN: Duration = Duration::from_secs(1);
/// How far a copy may be ahead of this machine's clock, milliseconds: a machine that takes the place of another has
/// a clock of its own.
const AHEAD_MS: u64 = 2_000;

/// A state as it is copied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copied {
    /// The version of `state`, which the caller names.
    pub version: u16,
    /// When it was made, milliseconds since the Unix epoch by the clock of the machine that made it.
    pub written_ms: u64,
    /// The state.
    pub state: Vec<u8>,
}

/// Why there is no copy, or why one is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CopyError {
    /// It is too large to be copied.
    #[error(
        "what was learnt takes {length} bytes, a copy may have {cap}: it is not copied; names of backends that are \
         long gone go with a start on an empty state"
    )]
    TooLarge {
        /// Its length in bytes, as it would be sent.
        length: usize,
        /// The most bytes it may have: [`COPY_CAP`].
        cap: usize,
    },
    /// Another version of the program made it.
    #[error(
        "the copy is of version {found}, this program reads {expected}: run the version that made it, or learn anew"
    )]
    Version {
        /// The copy's version.
        found: u16,
        /// The version that is read.
        expected: u16,
    },
    /// It says that it was made at a time that is yet to come.
    #[error("the copy was made {ahead_ms} ms after now: set the clocks of the machines")]
    Future {
        /// How far it is ahead of this machine's clock, milliseconds.
        ahead_ms: u64,
    },
    /// Its bytes are no state of its version.
    #[error("the copy makes no sense: {0}; the next one takes its place")]
    Garbled(String),
    /// It is not this proxy's, or of other settings.
    #[error("the copy is not used: {0}")]
    Foreign(String),
    /// The keeper has none, as after its own restart.
    #[error("it holds no copy of this machine; after a keeper's restart the next round makes one")]
    NoneKept,
    /// The keeper could not be asked, or refused.
    #[error("{0}; see that it runs")]
    Unanswered(String),
    /// No answer came in time.
    #[error("no answer within {} ms; see that it runs and can be reached", LOOK_WITHIN.as_millis())]
    NotInTime,
}

/// What the keepers hold of this machine.
#[derive(Debug, Default)]
pub struct Looked {
    /// The copies that may be used, the newest first, with their keepers' names.
    pub copies: Vec<(String, Copied)>,
    /// The keepers that have none to use, and why.
    pub passed_over: Vec<(String, CopyError)>,
}

/// A start that asks for its copy.
pub(super) struct Look {
    pub version: u16,
    pub until: Instant,
    pub answer: oneshot::Sender<Looked>,
}

impl GroupConfig {
    /// The machines that keep this machine's copies: the two peers whose hash with its name is the highest.
    #[must_use]
    pub fn keepers(&self) -> Vec<String> {
        let mine = self.node.get_ref();
        let mut peers: Vec<&String> = self.peers.iter().map(|peer| peer.name.get_ref()).collect();
        // No name holds a space, so no two pairs are written alike.
        let weight = |peer: &str| xxh64(format!("{mine} {peer}").as_bytes(), 0);
        peers.sort_unstable_by_key(|peer| Reverse((weight(peer), *peer)));
        peers.into_iter().take(KEEPERS).cloned().collect()
    }
}

/// The state as it is sent.
pub(super) fn wrap(copy: &Copied) -> Result<Bytes, CopyError> {
    let body = encode(copy).map_err(|error| CopyError::Garbled(error.to_string()))?;
    if body.len() > COPY_CAP {
        return Err(CopyError::TooLarge { length: body.len(), cap: COPY_CAP });
    }
    Ok(body.into())
}

/// The copies that this machine keeps: of each peer the one that came last. Not the one with the latest time: after a
/// clock was set back it would refuse every new one.
#[derive(Default)]
pub(super) struct Kept(Mutex<BTreeMap<String, Copied>>);

impl Kept {
    fn held(&self) -> MutexGuard<'_, BTreeMap<String, Copied>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a peer's copy in place of the one before; the callers let in are configured, which bounds their number.
    pub(super) fn keep(&self, of: &str, copy: Copied) {
        self.held().insert(of.to_owned(), copy);
    }

    /// The copy of a peer.
    pub(super) fn of(&self, peer: &str) -> Option<Copied> {
        self.held().get(peer).cloned()
    }

    /// What is kept of whom, for operators.
    pub(super) fn report(&self) -> Value {
        let held = self.held();
        let line = |copy: &Copied| json!({"bytes": copy.state.len(), "written_ms": copy.written_ms});
        held.iter().map(|(of, copy)| (of.clone(), line(copy))).collect::<serde_json::Map<_, _>>().into()
    }
}

/// Sends the newest copy to one keeper whenever there is another, one at a time: what comes while a slow keeper takes
/// one replaces what waits.
pub(super) async fn send(node: Arc<Node>, keeper: String, mut newest: watch::Receiver<Option<Bytes>>) {
    let mut taken = None;
    while newest.changed().await.is_ok() {
        let copy = newest.borrow_and_update().clone();
        let Some(copy) = copy else { continue };
        let bytes = copy.len();
        let sent = node.peers.post(&keeper, None, "/group/keep", copy.to_vec(), KEEP_WITHIN).await;
        if taken != Some(sent.is_ok()) {
            let mine = &node.peers.mine.node;
            match &sent {
                Ok(_) => {
                    say(&json!({"event": "copy_kept", "node": mine, "keeper": keeper, "bytes": bytes}));
                }
                Err(error) => say(&json!({"event": "copy_not_kept", "node": mine, "keeper": keeper,
                    "why": error.to_string(), "do": "see that the keeper runs; the next copy is tried"})),
            }
        }
        taken = Some(sent.is_ok());
    }
}

/// Answers the starts that ask for their copy, for as long as the process runs.
pub(super) async fn answer(node: Arc<Node>, mut looks: mpsc::Receiver<Look>) {
    while let Some(look) = looks.recv().await {
        let mut asked = JoinSet::new();
        for keeper in node.config.keepers() {
            let (peers, until) = (Arc::clone(&node.peers), look.until - HAND_BACK);
            asked.spawn(async move { (ask(&peers, &keeper, until).await, keeper) });
        }
        let mut looked = Looked::default();
        while let Some(answer) = asked.join_next().await {
            let Ok((copy, keeper)) = answer else { continue };
            match copy.and_then(|copy| usable(copy, look.version)) {
                Ok(copy) => looked.copies.push((keeper, copy)),
                Err(why) => looked.passed_over.push((keeper, why)),
            }
        }
        looked.copies.sort_by_key(|(_, copy)| Reverse(copy.written_ms));
        let _ = look.answer.send(looked);
    }
}

fn usable(copy: Copied, version: u16) -> Result<Copied, CopyError> {
    let ahead_ms = copy.written_ms.saturating_sub(now_ms());
    if copy.version != version {
        return Err(CopyError::Version { found: copy.version, expected: version });
    }
    if ahead_ms > AHEAD_MS {
        return Err(CopyError::Future { ahead_ms });
    }
    Ok(copy)
}

/// Asks one keeper. After a lost disk this machine has an identity that no peer knows: a keeper that is finding out
/// refuses what comes meanwhile, and is asked again.
async fn ask(peers: &Peers, keeper: &str, until: Instant) -> Result<Copied, CopyError> {
    let mut why = CopyError::NotInTime;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(why);
        }
        match peers.ask(keeper, None, "/group/kept", &(), left).await {
            Ok(Some(copy)) => return Ok(copy),
            Ok(None) => return Err(CopyError::NoneKept),
            Err(PeerError::TimedOut(_)) => return Err(why),
            Err(error) => {
                let again = matches!(&error, PeerError::Refused(refusal) if refusal.may_pass());
                why = CopyError::Unanswered(error.to_string());
                if !again {
                    return Err(why);
                }
            }
        }
        sleep(ASK_AGAIN).await;
    }
}
