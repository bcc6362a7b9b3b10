//! What becomes of requests and connections, as lines of the log.
//!
//! An event is one line of `key=value` fields: its name, the reason, the request's id where there is one, and details.
//! Of each event and reason only so many lines are written in a second; the next one says how many were left out, so
//! that a flood of events neither fills the log nor goes uncounted.

use super::drain::Phase;
use super::log;
use crate::api::{BackendId, Outcome};
use rustc_hash::FxHashMap;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use tokio::time::{Duration, Instant};

/// The most lines of one event and reason in a [`WINDOW`].
const LINES_PER_WINDOW: u32 = 10;
const WINDOW: Duration = Duration::from_secs(1);
/// The most characters of a client's own text in a line.
const TEXT_CAP: usize = 64;

/// Why a request was refused: trying again is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No backend has room for it, or its tenant is over its share.
    NoRoom,
    /// The process has as many requests in work as it may.
    RequestsInWork,
    /// The process is ending.
    Ending,
    /// The memory for bodies is in use.
    BodyMemory,
    /// As many large bodies are on their way as there may be.
    LargeBodies,
    /// Requests take as much memory as they may.
    Memory,
}

impl RefusalReason {
    fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no_room",
            Self::RequestsInWork => "requests_in_work",
            Self::Ending => "ending",
            Self::BodyMemory => "body_memory",
            Self::LargeBodies => "large_bodies",
            Self::Memory => "memory",
        }
    }
}

/// Why this process ended a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// No request came for too long.
    Idle,
    /// The head of a request took too long.
    HeadLate,
    /// The client took nothing of its answer for too long.
    AnswerNotTaken,
    /// Others need the connection.
    MakesRoom,
    /// The client has gone while its request was in work.
    ClientLeft,
    /// What came is not HTTP, or the connection broke.
    Broken,
    /// The process is ending.
    Ending,
    /// Requests take as much memory as they may, and its next one is large already.
    Memory,
}

impl CloseReason {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::HeadLate => "head_late",
            Self::AnswerNotTaken => "answer_not_taken",
            Self::MakesRoom => "makes_room",
            Self::ClientLeft => "client_left",
            Self::Memory => "memory",
            Self::Broken => "broken",
            Self::Ending => "ending",
        }
    }
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A request is not as it should be.
    Rejected {
        /// Its id, where its head has one.
        id: Option<&'a str>,
        /// The status of the answer.
        status: u16,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A request was refused.
    Refused {
        /// Its id, where its head has one.
        id: Option<&'a str>,
        /// Why.
        reason: RefusalReason,
    },
    /// A request has failed.
    Failed {
        /// Its id.
        id: &'a str,
        /// How many attempts there were.
        attempts: usize,
        /// How the last attempt that ended did.
        last: Option<Outcome>,
    },
    /// A request came again that may have run, and must not twice.
    Repeated {
        /// Its id.
        id: &'a str,
    },
    /// The time of a request ended with nothing decided.
    Overdue {
        /// Its id.
        id: &'a str,
        /// How many attempts there were.
        attempts: usize,
    },
    /// A further attempt begins.
    Retried {
        /// The request's id.
        id: &'a str,
        /// The attempt's number; the first is 0.
        attempt: usize,
        /// Where it goes.
        backend: BackendId,
        /// How the last attempt that ended did; `None`: they are all out.
        after: Option<Outcome>,
    },
    /// A client has gone before its answer.
    ClientLeft {
        /// Its request's id.
        id: &'a str,
        /// How many attempts there were.
        attempts: usize,
    },
    /// This process ended a client's connection.
    Closed {
        /// The client.
        peer: SocketAddr,
        /// Why.
        reason: CloseReason,
    },
    /// The proxy moves on its way out, or back.
    Phase(Phase),
}

impl Event<'_> {
    fn name(&self) -> &'static str {
        match self {
            Self::Rejected { .. } => "rejected",
            Self::Refused { .. } => "refused",
            Self::Failed { .. } => "failed",
            Self::Repeated { .. } => "failed",
            Self::Overdue { .. } => "overdue",
            Self::Retried { .. } => "retried",
            Self::ClientLeft { .. } => "client_left",
            Self::Closed { .. } => "closed",
            Self::Phase(_) => "phase",
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Self::Rejected { reason, .. } => reason.trim_end(),
            Self::Refused { reason, .. } => reason.name(),
            Self::Failed { last, .. } => last.map_or("no_attempt", outcome_name),
            Self::Retried { after, .. } => after.map_or("second_copy", outcome_name),
            Self::Closed { reason, .. } => reason.name(),
            Self::Repeated { .. } => "repeated_id",
            Self::Overdue { .. } => "time_ended",
            Self::ClientLeft { .. } => "connection_ended",
            Self::Phase(phase) => match phase {
                Phase::Running => "running",
                Phase::Draining => "draining",
                Phase::Closing => "closing",
                Phase::Ending => "ending",
            },
        }
    }
}

impl fmt::Display for Event<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={} reason=\"{}\"", self.name(), self.reason())?;
        match *self {
            Self::Rejected { id, status, .. } => {
                write_id(f, id)?;
                write!(f, " status={status}")
            }
            Self::Refused { id, .. } => write_id(f, id),
            Self::Repeated { id } => write_id(f, Some(id)),
            Self::Failed { id, attempts, .. }
            | Self::Overdue { id, attempts }
            | Self::ClientLeft { id, attempts } => {
                write_id(f, Some(id))?;
                write!(f, " attempts={attempts}")
            }
            Self::Retried { id, attempt, backend, .. } => {
                write_id(f, Some(id))?;
                write!(f, " attempt={attempt} backend={backend}")
            }
            Self::Closed { peer, .. } => write!(f, " peer={peer}"),
            Self::Phase(_) => Ok(()),
        }
    }
}

fn write_id(f: &mut fmt::Formatter<'_>, id: Option<&str>) -> fmt::Result {
    match id {
        Some(id) => write!(f, " id={id:.TEXT_CAP$}"),
        None => Ok(()),
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::Timeout => "timeout",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Moot => "not_sent",
    }
}

/// The lines of one event and reason.
struct Lines {
    window_began: Instant,
    written: u32,
    left_out: u64,
}

impl Lines {
    fn new(now: Instant) -> Self {
        Self { window_began: now, written: 0, left_out: 0 }
    }

    /// Whether one more may be written; with how many were left out before it.
    fn admit(&mut self, now: Instant) -> Option<u64> {
        if now.duration_since(self.window_began) >= WINDOW {
            (self.window_began, self.written) = (now, 0);
        }
        if self.written == LINES_PER_WINDOW {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

thread_local! {
    static LINES: RefCell<FxHashMap<(&'static str, &'static str), Lines>> = RefCell::default();
}

/// Writes an event to the log, or counts it where enough of its kind were written.
pub fn record(event: &Event<'_>) {
    let now = Instant::now();
    let admitted = LINES.with_borrow_mut(|lines| {
        let key = (event.name(), event.reason());
        lines.entry(key).or_insert_with(|| Lines::new(now)).admit(now)
    });
    match admitted {
        None => {}
        Some(0) => log(format_args!("{event}")),
        Some(left_out) => log(format_args!("{event} left_out={left_out}")),
    }
}
