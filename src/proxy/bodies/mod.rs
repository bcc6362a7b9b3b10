//! The bodies of requests and answers: held whole, or passed through, each side at the other's pace.
//!
//! Up to [`BODY_CAP`](super::BODY_CAP) a body is held whole, so that a request can be sent again and an answer is known
//! to be whole before any of it is passed on. The held bodies of requests share a part of the memory limit. A larger one
//! goes through buffers of fixed size, and how many of those there may be at a time is bounded for all connections
//! together.

mod answer;
mod client;
mod clock;
mod download;
mod held;
mod transfers;
mod upload;
mod wait_budget;

pub use answer::{Begun, begin};
pub use client::{Fault, Paced, Read, ReadError};
pub use clock::RequestClock;
pub use download::{Answered, Download};
pub use held::HeldMemory;
pub use transfers::{Permit, Transfers};
pub use upload::{Outgoing, Upload};

/// A body up to this size is read however little memory is left, in bytes.
const SMALL_BODY: usize = 4 * 1024;

/// The largest body that is passed on. The platform's largest are 32 MB, and 60 MB are too much.
pub const PASSED_CAP: u64 = 40 << 20;
