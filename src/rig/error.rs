//! What can go wrong with a run of the rig, and what whoever started it can do.

use super::nemesis::{MOST_FAULTS, SHORTEST_S};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a run can't start or its report can't be written.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// No event loop.
    #[error("no event loop for the run: {0}; see that `ulimit -n` leaves room")]
    Runtime(#[source] io::Error),
    /// No listener or port for a part of the rig.
    #[error(
        "no listener for {what}: {source}; see that the scenario's `host` is up and that `ulimit -n` leaves room"
    )]
    Listen {
        /// The part.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// A file or folder of the run can't be written.
    #[error("cannot write {}: {source}; see that the folder given with `--out` can be written and has room", path.display())]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// What belongs into a file can't be put into its form.
    #[error("cannot put {what} into its form: {source}; the scenario's names may hold what the form can't")]
    Form {
        /// What.
        what: &'static str,
        /// Why.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A process of the program can't be started.
    #[error(
        "cannot start {name}: {source}; see that this program can be run and that `ulimit -u` leaves room"
    )]
    Start {
        /// The process.
        name: String,
        /// Why.
        source: io::Error,
    },
    /// A process does not answer after its start.
    #[error("{name} did not answer GET {path} within {patience:?}; {name}.log in the run's folder says why")]
    NotUp {
        /// The process.
        name: String,
        /// What it was asked.
        path: &'static str,
        /// How long it was waited for.
        patience: Duration,
    },
    /// The timeline ended early.
    #[error("the timeline of faults broke off: {0}; the run's figures mean nothing, play it again")]
    Timeline(#[source] tokio::task::JoinError),
    /// The plot can't be drawn.
    #[error("cannot draw {}: {why}; the figures are in summary.json beside it", path.display())]
    Plot {
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// A measurement of no requests, or of too many.
    #[error("`requests` is {given}; it must lie in [1, {most}]")]
    Requests {
        /// As given.
        given: u32,
        /// The most.
        most: u32,
    },
    /// A request of a measurement had no answer.
    #[error("request {number} to {address} failed: {source}; measure again on a machine with less load")]
    Request {
        /// Which.
        number: u32,
        /// Whom it was sent to.
        address: SocketAddr,
        /// Why.
        source: Box<dyn Error + Send + Sync>,
    },
}

impl RigError {
    /// No listener for `what`.
    pub fn listen(what: impl ToString) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Listen { what: what.to_string(), source }
    }

    /// A file or folder that can't be written.
    pub fn write(path: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Write { path: path.to_owned(), source }
    }

    /// Something that can't be put into its form.
    pub fn form<E: Error + Send + Sync + 'static>(what: &'static str) -> impl FnOnce(E) -> Self {
        move |source| Self::Form { what, source: source.into() }
    }
}

/// What is wrong with a scenario's `[group]`, `[nemesis]` or `[calls]`.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum SectionError {
    /// A voter that is no proxy.
    #[error("voter `{name}` is no proxy of the scenario; name one of its {proxies}, `proxy-0` onwards")]
    Voter {
        /// The name.
        name: String,
        /// How many proxies there are.
        proxies: usize,
    },
    /// A voter named twice.
    #[error("voter `{0}` is named twice; name each once")]
    VoterTwice(String),
    /// Calls too close together.
    #[error("`every_ms` is {given}; it must be {least} or more")]
    Every {
        /// As given.
        given: f64,
        /// The least.
        least: f64,
    },
    /// No calls, or too many.
    #[error("`most` is {given}; it must lie in [1, {most}]")]
    Calls {
        /// As given.
        given: usize,
        /// The most.
        most: usize,
    },
    /// Calls to or about what is no proxy and no backend.
    #[error("`{0}` is no proxy and no backend of this scenario; name a `proxy-N` or a `backend-N` of it")]
    CallTarget(String),
    /// No kind of fault to draw.
    #[error("`kinds` is empty; name at least one kind of fault")]
    NoKinds,
    /// No faults to draw, or too many.
    #[error("`count` is {0}; it must lie in [1, {MOST_FAULTS}]")]
    Count(usize),
    /// Faults too short.
    #[error("`longest_s` is {0}; a fault lasts {SHORTEST_S} s at least")]
    Longest(f64),
    /// A window that is not within the run.
    #[error(
        "`window` is [{from}, {to}]; it must lie within the run of {duration} s and be {SHORTEST_S} s long at least"
    )]
    Window {
        /// Its begin, in seconds.
        from: f64,
        /// Its end.
        to: f64,
        /// The run's length.
        duration: f64,
    },
}
