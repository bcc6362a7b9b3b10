//! Since when the time of a request with a large body counts.

use crate::proxy::socket::Wire;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// A shorter wait is the way of the bytes through this process and its kernel, not the client's pause.
const SHORTEST_WAIT: Duration = Duration::from_millis(5);

/// The clock of a request whose body passes through.
///
/// A client's time counts from when it has written its last byte, which may be long before the proxy reads it: a backend
/// that reads slowly holds up the proxy's reading. Up to the end of the last wait for the client, its last byte had not
/// been written. The time counts from there, so that an answer at its end is never late.
pub struct RequestClock {
    wire: Rc<Wire>,
    counts_from: Cell<Instant>,
    waits_since: Cell<Option<Instant>>,
    patience: Cell<Duration>,
}

impl RequestClock {
    /// A clock that runs from now; `wire` is the client's connection.
    #[must_use]
    pub fn new(wire: Rc<Wire>) -> Rc<Self> {
        let (waits_since, patience) = (Cell::new(None), Cell::new(Duration::MAX));
        Rc::new(Self { wire, counts_from: Cell::new(Instant::now()), waits_since, patience })
    }

    /// From now on the request's time ends after this span.
    pub fn set_patience(&self, patience: Duration) {
        self.patience.set(patience);
    }

    /// More of the body is wanted than has come.
    pub(super) fn wants_more(&self) {
        if self.waits_since.get().is_none() && self.wire.is_quiet() {
            self.waits_since.set(Some(Instant::now()));
        }
    }

    /// More of the body, or its end, has come.
    pub(super) fn has_more(&self) {
        let Some(since) = self.waits_since.take() else { return };
        let now = Instant::now();
        if now.duration_since(since) >= SHORTEST_WAIT {
            self.counts_from.set(now);
        }
    }

    /// When the request's time ends; `None` while the client is waited for.
    #[must_use]
    pub fn due(&self) -> Option<Instant> {
        match self.waits_since.get() {
            Some(_) => None,
            None => self.counts_from.get().checked_add(self.patience.get()),
        }
    }

    /// Waits until the request's time has ended.
    pub async fn ended(&self) {
        loop {
            match self.due() {
                Some(due) if due <= Instant::now() => return,
                Some(due) => sleep_until(due).await,
                // The time can't end sooner than this, whenever the client goes on.
                None => sleep(self.patience.get().max(SHORTEST_WAIT)).await,
            }
        }
    }
}
