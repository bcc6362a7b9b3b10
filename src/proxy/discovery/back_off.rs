//! How long a service rests after an answer that only somebody's correction will change.

use std::time::Duration;

/// The first pause after an answer that only somebody's correction will change. Each pause that follows is twice as
/// long, up to a longest one.
const LASTING_PAUSE_LEAST: Duration = Duration::from_secs(1);
/// The longest pause after a list that is too large: it costs the service as much as a good one.
pub(super) const LARGE_LIST_PAUSE_MOST: Duration = Duration::from_secs(60);
/// The longest pause after another such answer, which costs the service little. A correction of the service's own
/// file is to be in force soon.
pub(super) const REFUSAL_PAUSE_MOST: Duration = Duration::from_secs(4);
/// The part of such a pause that chance may add to it, so that many proxies do not ask at the same moments.
const LASTING_PAUSE_JITTER: f64 = 0.5;

/// The pauses after answers that only somebody's correction will change.
#[derive(Debug, Default)]
pub(super) struct BackOff {
    /// How many such answers have come in a row.
    answers: u32,
}

impl BackOff {
    /// The pause after one more such answer, `longest` at the most.
    pub(super) fn next_pause(&mut self, longest: Duration, rng: &mut fastrand::Rng) -> Duration {
        let doubled = LASTING_PAUSE_LEAST.saturating_mul(1_u32.checked_shl(self.answers).unwrap_or(u32::MAX));
        self.answers = self.answers.saturating_add(1);
        let longest_without_jitter = longest.div_f64(1.0 + LASTING_PAUSE_JITTER);
        doubled.min(longest_without_jitter).mul_f64(1.0 + LASTING_PAUSE_JITTER * rng.f64())
    }

    /// A call has succeeded, or another service is asked.
    pub(super) fn reset(&mut self) {
        self.answers = 0;
    }
}
