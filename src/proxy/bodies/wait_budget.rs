//! How long a peer may be waited for in the middle of a body.

use std::time::Duration;
use tokio::time::Instant;

/// The time that a peer may yet be waited for. It shrinks while nothing comes and grows with each byte at a rate that
/// the peer has to keep, up to a limit: a peer that gives a little now and then runs out of it.
#[derive(Debug)]
pub(super) struct WaitBudget {
    left: Duration,
    /// In bytes a second.
    least_rate: f64,
    longest: Duration,
    waits_since: Option<Instant>,
}

impl WaitBudget {
    /// A budget with this much at first, for a peer that has to give `least_rate` bytes a second and may pause for
    /// `longest`.
    pub(super) fn new(left: Duration, least_rate: f64, longest: Duration) -> Self {
        Self { left, least_rate, longest, waits_since: None }
    }

    /// More is wanted than has come. Since when that is so.
    pub(super) fn begin_wait(&mut self) -> Instant {
        *self.waits_since.get_or_insert_with(Instant::now)
    }

    /// The same; when the budget runs out.
    pub(super) fn runs_out(&mut self) -> Instant {
        self.begin_wait() + self.left
    }

    /// Something has come.
    pub(super) fn end_wait(&mut self) {
        if let Some(since) = self.waits_since.take() {
            self.left = self.left.saturating_sub(since.elapsed());
        }
    }

    /// So many bytes have come.
    pub(super) fn earn(&mut self, bytes: usize) {
        let earned = Duration::from_secs_f64(bytes as f64 / self.least_rate);
        self.left = (self.left + earned).min(self.longest.max(self.left));
    }
}
