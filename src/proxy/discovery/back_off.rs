//! How long a service rests after an answer that only somebody's correction will change.

use std::time::Duration;

/// The first pause after an answer that only somebody's correction will change. Each pause that follows is twice as
/// long, up to [`LASTING_PAUSE_MOST`]: such an answer may cost the service as much as a good one.
const LASTING_PAUSE_LEAST: Duration = Duration::from_secs(1);
/// The longest pause after such an answer.
const LASTING_PAUSE_MOST: Duration = Duration::from_secs(60);
/// The part of such a pause that chance may add to it, so that many proxies do not ask at the same moments.
const LASTING_PAUSE_JITTER: f64 = 0.5;

/// The pauses after answers that only somebody's correction will change.
#[derive(Debug, Default)]
pub(super) struct BackOff {
    /// How many such answers have come in a row.
    answers: u32,
}

impl BackOff {
    /// The pause after one more such answer.
    pub(super) fn next_pause(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let doubled = LASTING_PAUSE_LEAST.saturating_mul(1_u32.checked_shl(self.answers).unwrap_or(u32::MAX));
        self.answers = self.answers.saturating_add(1);
        let longest = LASTING_PAUSE_MOST.div_f64(1.0 + LASTING_PAUSE_JITTER);
        doubled.min(longest).mul_f64(1.0 + LASTING_PAUSE_JITTER * rng.f64())
    }

    /// A call has succeeded, or another service is asked.
    pub(super) fn reset(&mut self) {
        self.answers = 0;
    }
}
