//! What can go wrong with a call to discovery, and with an entry of its list.

use super::back_off::{LARGE_LIST_PAUSE_MOST, REFUSAL_PAUSE_MOST};
use hyper::StatusCode;
use std::fmt;
use std::mem::discriminant;
use std::time::Duration;
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
    /// The service does not give this proxy the view that it asks for.
    #[error(
        "answered {status}: {reason}; correct `[view]` of the file that GATESTAGE_CONFIG names or the list service's \
         file; the list held serves on"
    )]
    Refused {
        /// The answer's status, of the 4xx.
        status: StatusCode,
        /// The beginning of what the service says.
        reason: String,
    },
    /// A list of a view that is older than one taken before.
    #[error(
        "the list has revision {told} although revision {held} was taken before: raise `revision` in the list service's \
         file above {held}, or give all its instances the same file; the list held serves on"
    )]
    Older {
        /// The revision that was taken.
        held: u64,
        /// That of the answer.
        told: u64,
    },
}

impl DiscoveryError {
    /// The longest pause before the next call, where the answer will be the same until somebody corrects something.
    pub(super) fn longest_pause(&self) -> Option<Duration> {
        match self {
            Self::TooLarge { .. } => Some(LARGE_LIST_PAUSE_MOST),
            Self::Refused { .. } | Self::Older { .. } => Some(REFUSAL_PAUSE_MOST),
            _ => None,
        }
    }

    /// Whether both say the same to an operator. A list that is too large may grow meanwhile.
    pub(super) fn is_same_as(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Refused { reason, .. }, Self::Refused { reason: other, .. }) => reason == other,
            _ => discriminant(self) == discriminant(other),
        }
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

/// What is wrong with an entry of a list. The other entries of that list are used.
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
    /// Numbers of proxies that are none.
    #[error(
        "`{id}`: `senders` is not of the form {{\"local\": 1, \"all\": 4}}: {source}; correct it at the list service"
    )]
    SendersShape {
        /// The entry's `id`.
        id: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// Numbers of proxies that can't be.
    #[error(
        "`{id}`: `senders` has local {local} of all {all}: all is at least 1, and local no more than that; correct it \
         at the list service"
    )]
    Senders {
        /// The entry's `id`.
        id: String,
        /// The proxies of its zone.
        local: u32,
        /// Those of all zones.
        all: u32,
    },
}
