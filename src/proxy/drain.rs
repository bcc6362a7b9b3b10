//! How the proxy sends clients away: for good at SIGTERM, and for a while when the operators say so.
//!
//! The protocol lets SIGKILL come at the longest deadline (counted as 3 s where it is longer) and 0.7 s after
//! SIGTERM. Until then clients go on sending on every connection that stays open, and what is unanswered when the
//! process ends is lost. So the way to the end is counted back from there:
//!
//! | after SIGTERM | what |
//! |---|---|
//! | 0 | `/up` says no, each answer closes its connection, the module hears when the process ends |
//! | 0.5 s (`OPEN_FOR`) | idle connections close, those on which nothing unread has come |
//! | SIGKILL - 0.25 s (`LAST_READ`) | last read: a request that is not whole by now is refused |
//! | SIGKILL - 0.1 s (`LAST_ANSWER`) | last answer: whatever came after SIGTERM has one by now |
//!
//! New connections are taken up to the end (with a successor: by that one), for the front may be late. The
//! process ends when the last client has gone; while a client waits for an answer it stays. On standby the first
//! two steps are the same, and nothing ends.

use super::clients::Clients;
use super::event_log;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// SIGKILL comes this long after the longest deadline at the earliest, and a longer one counts as this.
const KILL_AFTER: Duration = Duration::from_millis(700);
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// How long idle connections stay open after SIGTERM: the front still opens some for up to 0.4 s, and a client whose
/// idle connection is closed opens another one, here as long as the front still does.
const OPEN_FOR: Duration = Duration::from_millis(500);
/// How long before SIGKILL the last bytes of a request are waited for, and the last answers are due.
const LAST_READ: Duration = Duration::from_millis(250);
const LAST_ANSWER: Duration = Duration::from_millis(100);
/// After SIGTERM, connections still come for a while: how long the process stays at the least, and how long
/// nobody must have connected.
const STOP_LEAST: Duration = Duration::from_millis(800);
const STOP_QUIET: Duration = Duration::from_millis(300);
const STOP_STEP: Duration = Duration::from_millis(50);
/// Where SIGKILL does not come: how much longer than its deadline a request of before SIGTERM may take in all, a
/// large answer to a slow client for the most part.
const STAY_MOST: Duration = Duration::from_secs(25);
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
    /// No more bytes of a request are waited for.
    Ending,
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
        let began = Instant::now();
        let kill = began + clients.longest().min(LONGEST_COUNTED) + KILL_AFTER;
        let last_read = kill - LAST_READ;
        self.stopping.set(true);
        self.replaced.set(replaced);
        clients.end_at(kill - LAST_ANSWER);
        if self.is_running() {
            self.change(Phase::Draining);
        }
        sleep_until(last_read.min(began + OPEN_FOR)).await;
        self.change(Phase::Closing);
        let all_gone = async {
            while began.elapsed() < STOP_LEAST || clients.quiet() < STOP_QUIET {
                sleep(STOP_STEP).await;
            }
            while clients.open() > 0 {
                clients.one_ended().await;
            }
        };
        if timeout_at(last_read, all_gone).await.is_ok() {
            return;
        }
        self.change(Phase::Ending);
        let most = began + clients.longest() + STAY_MOST;
        while clients.open() > 0 && timeout_at(most, clients.one_ended()).await.is_ok() {}
    }

    fn change(&self, phase: Phase) -> u64 {
        self.turn.set(self.turn.get() + 1);
        self.phase.send_replace(phase);
        event_log::record(&event_log::Event::Phase(phase));
        self.turn.get()
    }
}
