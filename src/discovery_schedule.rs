//! When discovery is asked again after a call has failed, where its calls wait in turn with those of other proxies.
//!
//! What discovery has counts as told some time after it could be reached, whatever became of the calls. Calls that fail
//! cost discovery as well, so a bank of proxies spreads them.

use crate::api::Micros;

const SECOND: Micros = 1_000_000;
/// Whatever became of the calls, a change counts as told this long after discovery had it and could be reached. All
/// waits for discovery are parts of it, those of `src/proxy/discovery/` too.
pub const TOLD: Micros = 6 * SECOND;
/// The same after the signal that moves discovery.
const TOLD_AFTER_MOVE: Micros = 4 * SECOND;
/// How long an answer may take where all proxies ask.
const ANSWER: Micros = TOLD / 5;
/// When a call that opens a watch is given up.
pub const OPEN_WITHIN: Micros = TOLD / 3;
/// The time that a call takes discovery.
const TURN: Micros = SECOND / 60;
/// While its calls fail, each proxy of a bank asks once in the time that discovery takes for so many calls of each.
const TURNS_PER_CALL: Micros = 8;
/// The shortest pause after a failed call.
const LEAST_PAUSE: Micros = SECOND / 10;
/// The longest time from the beginning of a failed call to the next one, in a small bank and in a large one: in that of
/// a large one two calls begin between discovery's return and the time when sends to a draining server have to end.
const LEAST_INTERVAL: Micros = SECOND * 3 / 4;
const MOST_INTERVAL: Micros = TOLD / 2 + SECOND / 10;
/// The part of the longest pause that is drawn by chance. The first two pauses have spread the proxies of a bank.
const JITTER: Micros = 32;

/// A proxy's own calls to discovery.
#[derive(Debug)]
pub(crate) struct DiscoverySchedule {
    /// How many calls have failed in a row.
    failures: u32,
    /// When discovery last told what it has.
    fresh_at: Micros,
    /// When the last call was asked for; `None`: a watch has gone on since.
    asked_at: Option<Micros>,
}

impl DiscoverySchedule {
    /// No call has been made.
    pub(crate) fn new(now: Micros) -> Self {
        Self { failures: 0, fresh_at: now, asked_at: None }
    }

    /// When the first call of all is made, after `now`. The proxies of a bank often start together; only one that knows
    /// no server can't wait.
    pub(crate) fn first_call(&self, balancers: u32, can_wait: bool, rng: &mut fastrand::Rng) -> Micros {
        let turn = if can_wait { turn(balancers) } else { 0 };
        rng.u64(0..=turn.min((TOLD - ANSWER) / 2))
    }

    /// Discovery has told what it has, or a list from before is used. The first call of all comes in the turn of a
    /// second one.
    pub(crate) fn told(&mut self, now: Micros, is_from_before: bool) {
        *self = Self { failures: is_from_before.into(), ..Self::new(now) };
    }

    /// A call is made.
    pub(crate) fn asked(&mut self, now: Micros) {
        self.asked_at = Some(now);
    }

    /// Discovery is elsewhere now and is asked at once; none of the failures was its own.
    pub(crate) fn moved(&mut self, now: Micros) {
        let fresh_at = now.saturating_sub(TOLD - TOLD_AFTER_MOVE);
        *self = Self { failures: 0, fresh_at, asked_at: Some(now) };
    }

    /// A call failed or the watch broke: the pause until discovery is asked again. It is asked twice before changes
    /// count as told, and then often enough for two calls in time once discovery is back: the first may wait long and
    /// fail, for others are before it. A watch that fell `silent` has taken its time, each proxy's another: it is opened
    /// anew at once.
    pub(crate) fn pause_after_failure(
        &mut self,
        now: Micros,
        silent: bool,
        balancers: u32,
        rng: &mut fastrand::Rng,
    ) -> Micros {
        let interval = (turn(balancers) * TURNS_PER_CALL).clamp(LEAST_INTERVAL, MOST_INTERVAL);
        let spent = self.asked_at.map_or(0, |asked_at| now.saturating_sub(asked_at));
        let longest = interval.saturating_sub(spent).max(LEAST_PAUSE);
        let doubled = turn(balancers).max(LEAST_PAUSE) << self.failures.min(6);
        let pause = doubled.min(longest);
        let left = (self.fresh_at + (TOLD - ANSWER)).saturating_sub(now);
        let after = match self.failures {
            0 if silent => 0,
            0 if left > 0 => rng.u64(0..=pause.min(left / 2)),
            1 if left > 0 => rng.u64(0..=pause.min(left)),
            _ if doubled < longest => rng.u64(pause * 3 / 4..=pause),
            _ => rng.u64(pause - pause / JITTER..=pause),
        };
        self.failures += 1;
        after
    }
}

/// The time in which discovery can answer each proxy of a bank once.
fn turn(balancers: u32) -> Micros {
    Micros::from(balancers) * TURN
}
