//! What can go wrong with the list service, and what an operator can do about it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the list service does not start, or, for a file, why SIGHUP changes nothing.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// The configuration file can't be read.
    #[error("cannot read {}: {source}; see that --config names the file and that this user may read it", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not TOML of the configuration's shape; the cause names line and column.
    #[error(
        "{}: {source}\ncorrect that line: the file has `listen`, `keep_changes` and `[[member]]` tables",
        path.display()
    )]
    Shape {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// Two members have one id.
    #[error("{}: member `{member}` is named twice; remove one of the two or give it an id of its own", path.display())]
    Twice {
        /// The file.
        path: PathBuf,
        /// The id.
        member: String,
    },
    /// A member has a phase that no member can be in.
    #[error(
        "{}: member `{member}` has phase `{phase}`; write `active` or `leaving`, or remove one that has left",
        path.display()
    )]
    Phase {
        /// The file.
        path: PathBuf,
        /// The member's id.
        member: String,
        /// Its phase.
        phase: String,
    },
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}; end what listens there or change `listen`")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operating system gives the process no runtime or no signals.
    #[error("no {what}: {source}; see the limits on open files of this user")]
    System {
        /// What it does not give.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// A watch's parameter that is no whole number; answered with 400.
#[derive(Debug, Error)]
#[error("`{name}` is no whole number: `{value}`; send decimal digits")]
pub struct QueryError {
    /// The parameter.
    pub name: String,
    /// What was sent.
    pub value: String,
}
