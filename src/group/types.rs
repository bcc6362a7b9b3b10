//! What the group agrees on, and the types that the consensus is built over.

use serde::{Deserialize, Serialize};
use std::fmt;

/// What is promised to an operator, once a majority has it on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Promise {
    /// Nothing more goes to this backend, at any proxy of the group.
    Ban {
        /// The backend's id, as discovery names it.
        backend: String,
    },
    /// This backend is used again, at every proxy of the group.
    GiveBack {
        /// The backend's id.
        backend: String,
    },
}

impl Promise {
    /// The backend that it is about.
    #[must_use]
    pub fn backend(&self) -> &str {
        match self {
            Self::Ban { backend } | Self::GiveBack { backend } => backend,
        }
    }

    /// Whether it takes the backend out of use.
    #[must_use]
    pub fn on(&self) -> bool {
        matches!(self, Self::Ban { .. })
    }
}

/// One call of an operator, as the log holds it. Its number lets it count once, however often it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Call {
    pub number: u64,
    pub promise: Promise,
}

/// What came of a call when it was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Taken {
    /// In force, or no call (a leader's first entry, a change of members).
    Yes,
    /// It was in force already: the same call, sent twice.
    Again,
    /// The group holds as many bans as it takes.
    Full,
}

/// A member of the group: its name. Each member knows by its own configuration where it reaches the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Machine {
    pub name: String,
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}

openraft::declare_raft_types!(
    /// The consensus: members are known by their identity, so a machine that lost its disk is another member.
    pub(super) Types:
        D = Call,
        R = Taken,
        NodeId = u64,
        Node = Machine,
        SnapshotData = Vec<u8>
);

pub(super) type Raft = openraft::Raft<Types>;
pub(super) type Entry = openraft::Entry<Types>;
pub(super) type LogId = openraft::LogId<u64>;
pub(super) type Vote = openraft::Vote<u64>;
pub(super) type Membership = openraft::StoredMembership<u64, Machine>;
pub(super) type Meta = openraft::SnapshotMeta<u64, Machine>;
pub(super) type Snapshot = openraft::Snapshot<Types>;
pub(super) type StorageError = openraft::StorageError<u64>;
