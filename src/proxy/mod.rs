//! The proxy on real sockets. It carries out what the [`Balancer`](crate::balancer::Balancer) decides and
//! reports what came of it; it never picks a backend, retries, holds or refuses by itself.

pub mod admin;
pub mod backends;
pub mod bodies;
pub mod clients;
pub mod clock;
pub mod config;
mod connections;
pub mod discovery;
pub mod drain;
pub mod driver;
pub mod event_log;
pub mod handover;
pub mod memory;
pub mod pace;
pub mod program;
mod read_ahead;
mod reload;
mod request_head;
mod responses;
mod shape;
pub mod socket;
pub mod tenants;
pub mod view;

use crate::log_line;

/// The largest body of a request or an answer that is held whole.
pub const BODY_CAP: usize = 64 * 1024;

/// Closes the idle connection that can best be spared; false where none is. For a process out of descriptors.
pub type Spare = std::rc::Rc<dyn Fn() -> bool>;

/// A log line that may come again and again.
#[derive(Debug, Default)]
struct Seldom {
    last: std::cell::Cell<Option<tokio::time::Instant>>,
}

impl Seldom {
    /// How long after a line the next one is left out.
    const PAUSE: std::time::Duration = std::time::Duration::from_secs(10);

    fn log(&self, line: std::fmt::Arguments<'_>) {
        if self.last.get().is_none_or(|last| last.elapsed() >= Self::PAUSE) {
            self.last.set(Some(tokio::time::Instant::now()));
            log(line);
        }
    }
}

/// A line for the operators. Unlike `eprintln!` it does not panic when nobody reads standard error.
pub fn log(line: std::fmt::Arguments<'_>) {
    log_line::write(line);
}
