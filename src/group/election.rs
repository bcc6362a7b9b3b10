//! When a voter stands for election. The consensus draws its time to an election once for a process, so that two
//! voters whose times lie close to each other can split every vote for seconds (seen: 6.4 s without a leader). Here
//! each wait is drawn anew, and the consensus is told when to stand.

use super::node::Node;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long this machine still waits for a leader's word.
pub(super) struct Patience {
    /// The time that one wait differs from another by.
    spread: Duration,
    /// After a leader's word nobody is elected for this long.
    lease: Duration,
    until: Mutex<Instant>,
}

impl Patience {
    pub(super) fn new(spread: Duration, lease: Duration) -> Self {
        let patience = Self { spread, lease, until: Mutex::new(Instant::now()) };
        patience.heard();
        patience
    }

    fn until(&self) -> MutexGuard<'_, Instant> {
        self.until.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A wait of its own, so that machines which wait for the same seldom stand at once.
    fn draw(&self) -> Duration {
        self.spread.mul_f64(fastrand::f64())
    }

    /// A leader was heard: its lease begins anew.
    pub(super) fn heard(&self) {
        *self.until() = Instant::now() + self.lease + self.draw();
    }

    /// Somebody stands, or this machine did: it gets the time to be elected and heard.
    pub(super) fn wait(&self) {
        let until = Instant::now() + self.spread / 2 + self.draw();
        let mut held = self.until();
        *held = until.max(*held);
    }
}

/// Stands for election whenever no leader was heard for long enough, for as long as the process runs.
pub(super) async fn stand(node: Arc<Node>) {
    loop {
        let until = *node.patience.until();
        if Instant::now() < until {
            sleep_until(until).await;
            continue;
        }
        if node.leads() {
            node.patience.heard();
            continue;
        }
        // Where it is no voter the consensus does nothing; where it has stopped, the status says so.
        if node.raft.trigger().elect().await.is_err() {
            return;
        }
        node.patience.wait();
    }
}
