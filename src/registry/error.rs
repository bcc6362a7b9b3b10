//! What can go wrong with the list service, and what an operator can do about it.

use crate::names::{Name, NameError, SelectionError};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::num::NonZeroU64;
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
        "{}: {source}\ncorrect that line: the file has `listen`, `keep_changes`, `revision` and `[[service]]`, \
         `[[proxy]]` and `[[member]]` tables",
        path.display()
    )]
    Shape {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// Two members have one id, or two services or proxies one name.
    #[error(
        "{}: {kind} `{name}` is named twice; remove one of the two or give it {} of its own",
        path.display(),
        kind.identity()
    )]
    Twice {
        /// The file.
        path: PathBuf,
        /// What is named twice.
        kind: Kind,
        /// The id or name.
        name: String,
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
    /// A member or a proxy names a service that the file does not have.
    #[error(
        "{}: {kind} `{name}` names service `{service}`, which the file does not have; add `[[service]]` with \
         `name = \"{service}\"` or correct the name",
        path.display()
    )]
    UnknownService {
        /// The file.
        path: PathBuf,
        /// What names it.
        kind: Kind,
        /// The id or name of what names it.
        name: String,
        /// The service.
        service: Name,
    },
    /// The file has services or proxies, or the one in force has a revision, and this one has none.
    #[error(
        "{}: `revision` is missing; a file with `[[service]]` or `[[proxy]]` tables, and each that follows one with \
         a revision, needs it: write `revision = N` at the top and raise N with each change",
        path.display()
    )]
    RevisionMissing {
        /// The file.
        path: PathBuf,
    },
    /// The file differs from the one in force and its revision is not greater.
    #[error(
        "{}: `revision = {read}` is not greater than {held}, which is in force with other contents; raise it above \
         {held}, or give this instance the newer file",
        path.display()
    )]
    RevisionNotGreater {
        /// The file.
        path: PathBuf,
        /// The file's revision.
        read: NonZeroU64,
        /// The revision in force.
        held: u64,
    },
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}; end what listens there or change `listen`")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The operating system gives the process no runtime, no signals or no thread.
    #[error("no {what}: {source}; see the limits on open files of this user")]
    System {
        /// What it does not give.
        what: &'static str,
        /// The cause.
        source: io::Error,
    },
}

/// A kind of table in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `[[member]]`.
    Member,
    /// `[[service]]`.
    Service,
    /// `[[proxy]]`.
    Proxy,
}

impl Kind {
    /// What tells one of this kind from another.
    fn identity(self) -> &'static str {
        match self {
            Self::Member => "an id",
            Self::Service | Self::Proxy => "a name",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Member => "member",
            Self::Service => "service",
            Self::Proxy => "proxy",
        })
    }
}

/// A call whose parameters can't be taken; answered with 400.
#[derive(Debug, Error)]
pub enum QueryError {
    /// A number that is none.
    #[error("`{name}` is no whole number: `{value}`; send decimal digits")]
    NotANumber {
        /// The parameter.
        name: &'static str,
        /// What was sent.
        value: String,
    },
    /// `proxy` stands twice.
    #[error("`proxy` is sent twice; a call asks for one proxy's view")]
    ProxyTwice,
    /// `proxy` without `service`.
    #[error("`proxy` without `service`; send `service=NAME` for each service wanted, or `service=*`")]
    ProxyAlone,
    /// `service` without `proxy`.
    #[error("`service` without `proxy`; send `proxy=NAME` with it, or neither for the whole list")]
    ServiceAlone,
    /// The value of `proxy` is no name.
    #[error("`proxy`: {0}")]
    Proxy(#[from] NameError),
    /// The values of `service` are no choice of services.
    #[error("`service`: {0}")]
    Services(#[from] SelectionError),
}

/// A view that the file does not give; answered with 404.
#[derive(Debug, Error)]
pub enum ViewError {
    /// The file has no such proxy.
    #[error("no proxy `{0}`; add `[[proxy]]` with `name = \"{0}\"` to the list service's file")]
    UnknownProxy(Name),
    /// The file has no such service.
    #[error("no service `{0}`; add `[[service]]` with `name = \"{0}\"` to the list service's file")]
    UnknownService(Name),
    /// The file does not list the proxy for that service.
    #[error(
        "proxy `{proxy}` is not listed for service `{service}`; add \"{service}\" to `services` of its `[[proxy]]` \
         in the list service's file"
    )]
    NotListed {
        /// The proxy.
        proxy: Name,
        /// The service.
        service: Name,
    },
}
