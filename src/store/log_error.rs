//! What can go wrong with a log, and what an operator can do about it.

use super::disk::WriteError;
use super::envelope::Rejection;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Whose log it is; written in the log's header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The group's name.
    pub group: String,
    /// The node's name in the group.
    pub node: String,
    /// The node's identity: drawn anew for a node that starts on an empty disk.
    pub identity: u64,
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "node {:?} (identity {:016x}) of group {:?}", self.node, self.identity, self.group)
    }
}

/// Why a log is not opened, or why a call on it did nothing.
#[derive(Debug, Error)]
pub enum LogError {
    /// No file can be named after this.
    #[error("a log can't be named {0:?}: give it a short name without `/` or `.`")]
    Name(String),
    /// The operating system refused a step. Where it was a write or a sync, the log has failed and takes nothing
    /// more.
    #[error(
        "log {}: {step} failed: {source}; see that the disk has room and is in order and that the folder is \
         this program's to write, then start it again",
        path.display()
    )]
    Io {
        /// The step: `create`, `lock`, `read`, `write`, `sync`, `truncate`, `rename` or `sync folder`.
        step: &'static str,
        /// The file or folder it failed on.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A write or a sync failed before: what the disk holds is no longer known, so nothing more is promised.
    #[error(
        "log {}: closed since its {step} failed; see that the disk is in order and has room, then start the \
         program again",
        path.display()
    )]
    Failed {
        /// The log's file.
        path: PathBuf,
        /// The step that failed.
        step: &'static str,
    },
    /// Another process, or another part of this one, has the log open.
    #[error("log {} is in use by another process: end that one, or give each a folder of its own", path.display())]
    InUse {
        /// The log's file.
        path: PathBuf,
    },
    /// The file's first bytes are not the header of a log that this program reads.
    #[error(
        "log {}: its header can't be used: {why}; run the program that wrote it, or move the folder away and \
         start on an empty one as a new node",
        path.display()
    )]
    Header {
        /// The log's file.
        path: PathBuf,
        /// Why.
        why: Rejection,
    },
    /// The log belongs to another node, another group, or to this node before it lost its disk.
    #[error(
        "log {} is that of {found}, not of {expected}: give each node a folder of its own, or correct its \
         configuration",
        path.display()
    )]
    Owner {
        /// The log's file.
        path: PathBuf,
        /// Whose it is.
        found: Box<Owner>,
        /// Who opened it.
        expected: Box<Owner>,
    },
    /// An entry is damaged and it is no torn tail: something whole stands after it, or it is whole and wrong.
    #[error(
        "log {}: entry {index}, at byte {at}, is damaged ({why}{}); nothing was changed; move the folder away \
         and start on an empty one as a new node, the group brings it up to date",
        path.display(), followed(follows)
    )]
    Damaged {
        /// The log's file.
        path: PathBuf,
        /// The entry's index.
        index: u64,
        /// Where its record begins, in bytes from the start of the file.
        at: u64,
        /// What is wrong with it.
        why: Rejection,
        /// The entry after it that is whole, if there is one.
        follows: Option<u64>,
    },
    /// A whole entry stands where another is due.
    #[error(
        "log {}: entry {found} stands at byte {at} where entry {index} is due; nothing was changed; move the \
         folder away and start on an empty one as a new node, the group brings it up to date",
        path.display()
    )]
    OutOfPlace {
        /// The log's file.
        path: PathBuf,
        /// The index that is due.
        index: u64,
        /// Where, in bytes from the start of the file.
        at: u64,
        /// The index found there.
        found: u64,
    },
    /// Entries were appended elsewhere than after the last: a fault of the caller; nothing was written.
    #[error("log {}: entry {given} was appended where entry {due} is due; nothing was written", path.display())]
    Gap {
        /// The log's file.
        path: PathBuf,
        /// The index that is due.
        due: u64,
        /// The index given.
        given: u64,
    },
    /// The log can't begin so high: a fault of the caller; nothing was changed.
    #[error("log {}: entries up to {index} can't be purged, indexes end at {cap}; nothing was changed", path.display())]
    Index {
        /// The log's file.
        path: PathBuf,
        /// The index given.
        index: u64,
        /// The highest index.
        cap: u64,
    },
    /// An entry does not fit into a record; nothing was written.
    #[error("log {}: entry {index} is not stored: {why}; nothing was written", path.display())]
    Unfit {
        /// The log's file.
        path: PathBuf,
        /// The entry's index.
        index: u64,
        /// Why: it does not encode, or is over the cap of a record.
        why: io::Error,
    },
    /// The log would grow over [`LOG_CAP`](super::LOG_CAP); nothing was written.
    #[error(
        "log {} is full: {length} bytes with these entries, {cap} at most; nothing was written; take a \
         snapshot and purge what it holds",
        path.display()
    )]
    Full {
        /// The log's file.
        path: PathBuf,
        /// The length it would have had, in bytes.
        length: u64,
        /// The most it may have, in bytes.
        cap: u64,
    },
    /// The entry was purged: only a snapshot has it.
    #[error("log {}: entry {index} is purged, the log begins at entry {first}", path.display())]
    Purged {
        /// The log's file.
        path: PathBuf,
        /// The index asked for.
        index: u64,
        /// The first that the log still has.
        first: u64,
    },
}

fn followed(follows: &Option<u64>) -> String {
    follows.map_or_else(String::new, |index| format!(", and entry {index} after it is whole"))
}

impl From<WriteError> for LogError {
    fn from(WriteError { step, path, error }: WriteError) -> Self {
        Self::Io { step, path, source: error }
    }
}
