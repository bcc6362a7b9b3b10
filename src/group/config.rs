//! How a group is configured: the `[group]` table of the TOML file, checked before anything starts.

use super::GroupError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use toml::Spanned;

/// Bounds of the clocks that may be set, milliseconds.
const ELECTION_MS: std::ops::RangeInclusive<u64> = 50..=10_000;
const HEARTBEAT_MS: std::ops::RangeInclusive<u64> = 10..=5_000;
/// The most machines of one group, this one among them.
const MOST_NODES: usize = 256;
/// The longest name of a group or a node, bytes.
const LONGEST_NAME: usize = 64;

/// The `[group]` table. Without it a proxy knows of no other.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupConfig {
    /// The group's name: machines of another group are refused.
    pub name: Spanned<String>,
    /// This machine's name in the group.
    pub node: Spanned<String>,
    /// Where this machine's peers call it.
    pub listen: SocketAddr,
    /// The folder of this machine's log, vote and snapshots.
    pub state_dir: PathBuf,
    /// The names of the machines that decide, 3 or 5; the other peers follow.
    pub voters: Spanned<Vec<String>>,
    /// The other machines.
    #[serde(default, rename = "peer")]
    pub peers: Vec<PeerConfig>,
    /// A leader's lease, milliseconds (default 250): after its last word nobody is elected for this long, and then
    /// one voter waits up to as long more than another.
    #[serde(default = "election_ms")]
    pub election_ms: Spanned<u64>,
    /// How often a leader is heard, and how long it waits for a peer's answer, milliseconds (default 50).
    #[serde(default = "heartbeat_ms")]
    pub heartbeat_ms: Spanned<u64>,
}

/// Another machine of the group, as this one reaches it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Its name.
    pub name: Spanned<String>,
    /// Where it is called.
    pub address: SocketAddr,
}

fn election_ms() -> Spanned<u64> {
    Spanned::new(0..0, 250)
}

fn heartbeat_ms() -> Spanned<u64> {
    Spanned::new(0..0, 50)
}

impl GroupConfig {
    /// Checks the values; `text` is the file they came from.
    ///
    /// # Errors
    /// [`GroupError::Config`] with the line of the first value that makes no sense, and what it may be.
    pub fn check(&self, text: &str) -> Result<(), GroupError> {
        let fail = |span: Range<usize>, why: String| {
            let line = text[..span.start.min(text.len())].matches('\n').count() + 1;
            Err(GroupError::Config { line, why })
        };
        let mut names = BTreeSet::new();
        for name in [&self.name, &self.node].into_iter().chain(self.peers.iter().map(|p| &p.name)) {
            let given = name.get_ref();
            if given.is_empty() || given.len() > LONGEST_NAME || !given.bytes().all(|b| b.is_ascii_graphic())
            {
                let why =
                    format!("`{given}` is no name: 1 to {LONGEST_NAME} printable characters, no spaces");
                return fail(name.span(), why);
            }
        }
        for name in std::iter::once(&self.node).chain(self.peers.iter().map(|p| &p.name)) {
            if !names.insert(name.get_ref().as_str()) {
                let why = format!("two machines are named `{}`: give each its own name", name.get_ref());
                return fail(name.span(), why);
            }
        }
        if names.len() > MOST_NODES {
            return fail(
                self.node.span(),
                format!("{} machines: a group has {MOST_NODES} at most", names.len()),
            );
        }
        let voters: BTreeSet<&str> = self.voters.get_ref().iter().map(String::as_str).collect();
        if !matches!(voters.len(), 3 | 5) || voters.len() != self.voters.get_ref().len() {
            let given = self.voters.get_ref().len();
            let why = format!("`voters` names {given}: a group has 3 or 5 of them, each named once");
            return fail(self.voters.span(), why);
        }
        if let Some(unknown) = voters.iter().find(|voter| !names.contains(*voter)) {
            let why =
                format!("voter `{unknown}` is neither this machine nor a peer: add a [[group.peer]] for it");
            return fail(self.voters.span(), why);
        }
        for (name, value, bounds) in [
            ("election_ms", &self.election_ms, ELECTION_MS),
            ("heartbeat_ms", &self.heartbeat_ms, HEARTBEAT_MS),
        ] {
            if !bounds.contains(value.get_ref()) {
                let why = format!("`{name}` is {}: {} to {}", value.get_ref(), bounds.start(), bounds.end());
                return fail(value.span(), why);
            }
        }
        if 3 * self.heartbeat_ms.get_ref() > *self.election_ms.get_ref() {
            let why =
                "`heartbeat_ms` may be a third of `election_ms` at most: a leader must be heard in time";
            return fail(self.heartbeat_ms.span(), why.to_owned());
        }
        Ok(())
    }

    /// The voters' names, in order.
    #[must_use]
    pub fn voter_names(&self) -> BTreeSet<String> {
        self.voters.get_ref().iter().cloned().collect()
    }

    /// The names of all machines, this one among them.
    #[must_use]
    pub fn node_names(&self) -> BTreeSet<String> {
        let peers = self.peers.iter().map(|peer| peer.name.get_ref().clone());
        peers.chain([self.node.get_ref().clone()]).collect()
    }
}
