//! What can go wrong with a call to discovery, and with an entry of its list.

use hyper::StatusCode;
use std::fmt;
use thiserror::Error;

/// Why a call to discovery brought nothing. The proxy goes on with the list that it has and asks again by itself.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// No connection, or it broke.
    #[error(
        "the connection failed: see that discovery runs and listens at the `discovery` of the configuration"
    )]
    Connection,
    /// Nothing came in time.
    #[error(
        "no answer in time: see whether discovery hangs, is cut off from this machine, or has too many callers"
    )]
    Timeout,
    /// An answer other than 200.
    #[error(
        "answered {0}: see discovery's own log, and that `discovery` of the configuration names that service"
    )]
    Status(StatusCode),
    /// Not the JSON that is wanted.
    #[error(
        "malformed list: {0}; see that `discovery` of the configuration names a service with the protocol's list"
    )]
    Malformed(serde_json::Error),
    /// A list beyond the size that is taken.
    #[error(
        "the list is refused for its size: {size}, and at most {cap} bytes are taken; let it have fewer entries, by \
         `[view]` of the file that GATESTAGE_CONFIG names or by a smaller list at discovery"
    )]
    TooLarge {
        /// What is known of its size.
        size: ListSize,
        /// The largest size that is taken, in bytes.
        cap: usize,
    },
}

impl DiscoveryError {
    /// Whether the next answer will be the same until somebody corrects something.
    pub(super) fn is_lasting(&self) -> bool {
        matches!(self, Self::TooLarge { .. })
    }
}

/// How large a list is that is beyond the size taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSize {
    /// As its Content-Length says, in bytes.
    Exactly(u64),
    /// It has no Content-Length, and was read up to this many bytes.
    MoreThan(usize),
}

impl fmt::Display for ListSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Exactly(bytes) => write!(f, "{bytes} bytes"),
            Self::MoreThan(bytes) => write!(f, "more than {bytes} bytes"),
        }
    }
}

/// Why an entry of a list is passed over. The other entries of that list are used.
#[derive(Debug, Error)]
pub(super) enum EntryError {
    /// Not the fields of an entry.
    #[error("{0}; it has to have the protocol's fields: correct it in discovery")]
    Malformed(serde_json::Error),
    /// `id`, and what stands for its address.
    #[error("`{0}`: `host_port` is no IP address with a port: `{1}`; correct it in discovery")]
    Address(String, String),
    /// `id`, and a phase that the protocol does not have.
    #[error("`{0}`: unknown phase `{1}`; discovery has to say active, leaving or left")]
    Phase(String, String),
    /// `id`, and a zone that the settings don't name.
    #[error(
        "`{0}`: unknown locality `{1}`; add it to `failureDomains` of the settings or correct it in discovery"
    )]
    Locality(String, String),
}
