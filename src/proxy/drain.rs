//! How the proxy sends clients away: for good at SIGTERM, and for a while when the operators say so.

use super::clients::Clients;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// After SIGTERM, connections still come for a while: how long the proxy goes on at the least, and how long
/// nobody must have connected.
const STOP_LEAST: Duration = Duration::from_millis(800);
const STOP_QUIET: Duration = Duration::from_millis(300);
const STOP_STEP: Duration = Duration::from_millis(50);
/// What the proxy takes beyond the longest deadline before it ends with clients still connected.
const STOP_SLACK: Duration = Duration::from_millis(500);
/// On standby, idle connections are closed after this time: by then the front has asked `/up` and sends nobody.
const STANDBY_IDLE: Duration = Duration::from_millis(800);

/// How far the proxy is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Running,
    /// It serves, and each answer closes its connection.
    Draining,
    /// Idle connections close as well.
    Closing,
}

/// Moves the proxy through its phases.
#[derive(Debug)]
pub struct Drain {
    phase: watch::Sender<Phase>,
    /// Counts the changes of mind, so that an older standby does not go on once it was called off.
    turn: Cell<u64>,
    stopping: Cell<bool>,
    /// Another process has taken this one's place.
    replaced: Cell<bool>,
}

impl Drain {
    /// A proxy that serves.
    #[must_use]
    pub fn new() -> Rc<Self> {
        let phase = watch::channel(Phase::Running).0;
        let (turn, stopping, replaced) = (Cell::new(0), Cell::new(false), Cell::new(false));
        Rc::new(Self { phase, turn, stopping, replaced })
    }

    /// What the connections watch.
    #[must_use]
    pub fn phases(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether the proxy takes clients.
    #[must_use]
    pub fn is_running(&self) -> bool {
        *self.phase.borrow() == Phase::Running
    }

    /// Whether clients are taken at this address, if not by this process then by the one that replaces it.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.is_running() || self.replaced.get()
    }

    /// Whether the process is on its way to its end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Sends clients away until [`Drain::active`]. What was taken is finished.
    pub fn standby(self: &Rc<Self>) {
        if !self.is_running() {
            return;
        }
        let turn = self.change(Phase::Draining);
        let drain = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(STANDBY_IDLE).await;
            if drain.turn.get() == turn {
                drain.change(Phase::Closing);
            }
        });
    }

    /// Takes clients again. False where the process is already ending: that can't be called off.
    pub fn active(&self) -> bool {
        if !self.is_running() && !self.is_stopping() {
            self.change(Phase::Running);
        }
        !self.is_stopping()
    }

    /// Finishes what was taken, and what still comes, before the process ends. Where it is `replaced`, the other
    /// process takes what still comes.
    pub async fn stop(&self, clients: &Clients, replaced: bool) {
        let longest = clients.longest();
        self.stopping.set(true);
        self.replaced.set(replaced);
        let began = Instant::now();
        if self.is_running() {
            self.change(Phase::Draining);
        }
        while began.elapsed() < STOP_LEAST || (clients.quiet() < STOP_QUIET && began.elapsed() < longest) {
            sleep(STOP_STEP).await;
        }
        self.change(Phase::Closing);
        let end = began + longest + STOP_SLACK;
        while clients.open() > 0 && timeout_at(end, clients.one_ended()).await.is_ok() {}
    }

    fn change(&self, phase: Phase) -> u64 {
        self.turn.set(self.turn.get() + 1);
        self.phase.send_replace(phase);
        self.turn.get()
    }
}
