//! Keeps what the module has learnt through a crash: on disk, and as copies that the proxy's group holds.

use super::state::{Owner, STATE_VERSION, SavedState};
use crate::group::{Copied, CopyError, Group};
use crate::proxy::discovery::Numbers;
use crate::proxy::driver::{Handle, Message};
use crate::proxy::log;
use crate::store::Store;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, oneshot};
use tokio::time::{MissedTickBehavior, interval};

/// How often what the module has learnt is stored while the proxy serves.
const KEEP_EVERY: Duration = Duration::from_secs(2);
/// The name of the proxy's snapshots in `state_dir`.
const LEARNT: &str = "learnt";

/// What this process would leave to another.
#[derive(Clone)]
pub struct StateSource {
    /// The way to the driver, which knows what the module has learnt.
    pub handle: Handle,
    /// The names of all backends that were ever listed.
    pub numbers: Rc<RefCell<Numbers>>,
    /// Whose it is by the settings in force.
    pub owner: Rc<RefCell<Owner>>,
}

impl StateSource {
    /// As it is now; `None` when the driver has ended.
    pub(super) async fn current(&self) -> Option<SavedState> {
        let (asked, learnt) = oneshot::channel();
        self.handle.tell(Message::Learnt(asked));
        let learnt = learnt.await.ok()?;
        let names = self.numbers.borrow().names().into_iter().map(str::to_owned).collect();
        Some(SavedState { owner: Some(self.owner.borrow().clone()), names, learnt })
    }
}

/// Keeps the [`SavedState`] on disk through the checked store, so that a start after a crash or a power loss goes on
/// from what was learnt, and gives it to the group, whose copies outlive the disk: every 2 s (`KEEP_EVERY`) and once
/// more at SIGTERM.
pub struct StateKeeper {
    store: Option<Arc<Store>>,
    group: Option<Group>,
    source: StateSource,
    /// Whether the last write failed, so that a failure that lasts is logged once and its end once.
    failing: Cell<bool>,
    /// The same for copies.
    uncopied: Cell<bool>,
    /// One write at a time: that of SIGTERM may come while the last one is still under way.
    writing: Mutex<()>,
}

impl StateKeeper {
    /// Keeps the source into `store` (see [`state_store`]), and with the peers in `group`; either may be missing.
    #[must_use]
    pub fn new(store: Option<Store>, group: Option<Group>, source: StateSource) -> Rc<Self> {
        Rc::new(Self {
            store: store.map(Arc::new),
            group,
            source,
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
        let Some(state) = self.source.current().await else { return };
        self.copy(&state);
        let Some(store) = self.store.clone() else { return };
        let write = tokio::task::spawn_blocking(move || store.write(&state, wall_ms()));
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
    fn copy(&self, state: &SavedState) {
        let Some(group) = &self.group else { return };
        let state = postcard::to_stdvec(state).map_err(|error| CopyError::Garbled(error.to_string()));
        let handed = state
            .and_then(|state| group.hand(&Copied { version: STATE_VERSION, written_ms: wall_ms(), state }));
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
    Store::new(folder, LEARNT, STATE_VERSION)
}

/// The newest whole snapshot in `store` and its age in microseconds, in the numbers of `mine`, with a log line that
/// says which was taken and why any newer one was not; `None` is a cold start, or where `copied` that of a copy that
/// the group may hold.
#[must_use]
pub fn restore(store: &Store, mine: &Owner, copied: bool) -> Option<(SavedState, u64)> {
    let restored = store.read::<SavedState>();
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
    let state = snapshot.value.fit(mine).map_err(refused).ok()?;
    let names = state.names.len();
    log(format_args!("state: restored generation {generation}, {age_ms} ms old, {names} backends named"));
    Some((state, age_ms * 1_000))
}

/// The newest copy of this proxy that its group holds, and its age in microseconds, with a log line that says which
/// was taken, or why there is none: then the start is a cold one. At most [`LOOK_WITHIN`](crate::group::LOOK_WITHIN)
/// is waited for it.
pub async fn restore_copy(group: &Group, mine: &Owner) -> Option<(SavedState, u64)> {
    let asked = Instant::now();
    let mut looked = group.copies(STATE_VERSION).await;
    let mut taken = None;
    for (keeper, copy) in std::mem::take(&mut looked.copies) {
        let read =
            postcard::from_bytes::<SavedState>(&copy.state).map_err(|e| CopyError::Garbled(e.to_string()));
        match read.and_then(|state| state.fit(mine).map_err(|e| CopyError::Foreign(e.to_string()))) {
            Ok(state) => {
                taken = Some((keeper, copy, state));
                break;
            }
            Err(error) => looked.passed_over.push((keeper, error)),
        }
    }
    let passed_over: serde_json::Map<String, Value> =
        looked.passed_over.into_iter().map(|(keeper, why)| (keeper, why.to_string().into())).collect();
    let waited_ms = u64::try_from(asked.elapsed().as_millis()).unwrap_or(u64::MAX);
    let Some((keeper, copy, state)) = taken else {
        let event = json!({"event": "copy_missing", "node": group.name(), "waited_ms": waited_ms,
            "keepers": passed_over, "do": "nothing: the proxy starts cold and learns anew"});
        log(format_args!("{event}"));
        return None;
    };
    let age_ms = wall_ms().saturating_sub(copy.written_ms);
    let event = json!({"event": "copy_restored", "node": group.name(), "keeper": keeper, "age_ms": age_ms,
        "names": state.names.len(), "bytes": copy.state.len(), "waited_ms": waited_ms,
        "passed_over": passed_over});
    log(format_args!("{event}"));
    Some((state, age_ms.saturating_mul(1_000)))
}

/// Milliseconds since the Unix epoch: a snapshot's age must count across processes and restarts, which the
/// proxy's own clock does not.
fn wall_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
