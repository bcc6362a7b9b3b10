//! Numbers that must differ between machines and between starts, from the system's own source of random numbers.
//!
//! A generator that a process seeds by itself, from the clock for one, gives two processes that start together the same.

use thiserror::Error;

/// The system gives no random numbers.
#[derive(Debug, Error)]
#[error("the system gives no random numbers: {0}; see that this process may call getrandom(2)")]
pub struct RandomError(getrandom::Error);

/// A number that no other machine and no other start draws.
///
/// # Errors
/// The system's source can't be used.
pub fn draw() -> Result<u64, RandomError> {
    getrandom::u64().map_err(RandomError)
}
