//! When a voter stands for election. The consensus draws its time to an election once for a process, so that two
//! voters whose times lie close to each other can split every vote for seconds (seen: 6.4 s without a leader). Here
//! each wait is drawn anew, and the consensus is told when to stand.

use super::node::Node;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The most that waits grow with the elections that brought no leader.
const MOST_TRIES: u32 = 2;

/// How long this machine still waits for a leader's word.
pub(super) struct Patience {
    /// After a leader's word nobody is elected for this long; one wait differs from another by up to as much. A vote
    /// is on two disks before it is given, so that waits which differ by less often end in a tie.
    lease: Duration,
    held: Mutex<Held>,
    rng: Mutex<fastrand::Rng>,
}

struct Held {
    until: Instant,
    /// How often this machine has stood since a leader was heard.
    tries: u32,
}

impl Patience {
    /// Each machine draws other waits than the others: its identity is the seed.
    pub(super) fn new(lease: Duration, identity: u64) -> Self {
        let held = Mutex::new(Held { until: Instant::now(), tries: 0 });
        let patience = Self { lease, held, rng: Mutex::new(fastrand::Rng::with_seed(identity)) };
        patience.heard();
        patience
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A wait of its own, so that machines which wait for the same seldom stand at once.
    fn draw(&self) -> Duration {
        let drawn = self.rng.lock().unwrap_or_else(PoisonError::into_inner).f64();
        self.lease.mul_f64(drawn)
    }

    /// A leader was heard: its lease begins anew.
    pub(super) fn heard(&self) {
        *self.held() = Held { until: Instant::now() + self.lease + self.draw(), tries: 0 };
    }

    /// Somebody stands whose log is as long as this machine's: he gets the time to be elected and heard. This counts
    /// from when he is heard of, and again from when he has the vote: to stand in between is to depose him at once.
    pub(super) fn let_stand(&self) {
        let until = Instant::now() + self.lease + self.draw();
        let mut held = self.held();
        held.until = until.max(held.until);
    }

    /// Somebody who was asked for his vote has a longer log: he, not this machine, can be elected, and to stand again
    /// soon would only take the terms that he stands for.
    pub(super) fn outdone(&self) {
        let until = Instant::now() + self.lease * 2 + self.draw();
        let mut held = self.held();
        held.until = until.max(held.until);
    }

    /// This machine stands. The next time is further off, and further from the others', each time that this brings
    /// no leader.
    fn stood(&self) {
        let mut held = self.held();
        held.tries = (held.tries + 1).min(MOST_TRIES);
        held.until = Instant::now() + self.lease + self.draw() * held.tries;
    }
}

/// Stands for election whenever no leader was heard for long enough, for as long as the process runs.
pub(super) async fn stand(node: Arc<Node>) {
    loop {
        let until = node.patience.held().until;
        if Instant::now() < until {
            sleep_until(until).await;
            continue;
        }
        if node.leads() {
            node.patience.heard();
            continue;
        }
        node.patience.stood();
        // Where it is no voter the consensus does nothing; where it has stopped, the status says so.
        if node.raft.trigger().elect().await.is_err() {
            return;
        }
    }
}
