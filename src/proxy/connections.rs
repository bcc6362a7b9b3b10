//! The open connections of clients, and which of them make room for others.

use super::pace::Pace;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Silent for less than this, a connection is not closed for others: a client that has just connected, just had an
/// answer or sends its request in pieces may have the rest on its way.
const EVICT_AFTER: Duration = Duration::from_millis(100);

/// An open connection, as seen by whoever looks for one to close.
pub(super) struct OpenConnection {
    pace: Rc<Pace>,
    asked_to_close: Notify,
}

impl OpenConnection {
    /// Waits until others need it.
    pub(super) async fn asked_to_close(&self) {
        self.asked_to_close.notified().await;
    }

    /// Whether it makes room now that it was asked to: its client may have gone on meanwhile.
    pub(super) fn makes_room(&self) -> bool {
        let is_silent = self.pace.silent_since().is_some_and(|since| since.elapsed() >= EVICT_AFTER);
        let makes_room = is_silent && !self.pace.has_unread();
        self.pace.set_closing(makes_room);
        makes_room
    }
}

/// The open connections, by a number of their own.
#[derive(Default)]
pub(super) struct ConnectionTable {
    open: RefCell<FxHashMap<u64, Rc<OpenConnection>>>,
    next_number: Cell<u64>,
}

impl ConnectionTable {
    /// Adds a connection.
    pub(super) fn insert(&self, pace: Rc<Pace>) -> (u64, Rc<OpenConnection>) {
        let connection = Rc::new(OpenConnection { pace, asked_to_close: Notify::new() });
        let number = self.next_number.replace(self.next_number.get() + 1);
        self.open.borrow_mut().insert(number, Rc::clone(&connection));
        (number, connection)
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }

    /// Has this many connections on their way out, those whose clients have been silent longest; never one whose
    /// request has come whole. Gives how many there are.
    pub(super) fn evict(&self, wanted: usize) -> usize {
        let open = self.open.borrow();
        let closing = open.values().filter(|connection| connection.pace.is_closing()).count();
        if wanted <= closing {
            return closing;
        }
        let staying = open.values().filter(|connection| !connection.pace.is_closing());
        let silent = staying.filter_map(|connection| Some((connection.pace.silent_since()?, connection)));
        let mut silent: Vec<_> = silent.filter(|(since, _)| since.elapsed() >= EVICT_AFTER).collect();
        silent.sort_unstable_by_key(|(since, _)| *since);
        // What the socket holds is asked only of those that would be next.
        let quiet = silent.into_iter().filter(|(_, connection)| !connection.pace.has_unread());
        let asked = quiet.take(wanted - closing).map(|(_, connection)| {
            connection.pace.set_closing(true);
            connection.asked_to_close.notify_one();
        });
        closing + asked.count()
    }
}
