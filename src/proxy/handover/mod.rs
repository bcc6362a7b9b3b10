//! What outlives a process: which backends the operators have taken out, what the module has learnt, and the clients'
//! listener, which a running process hands to the one that replaces it.
//!
//! All of it is marked with the proxy's name and address: proxies of several deployments may have one `$TMPDIR`, and
//! backends of one name. What a version of the program left there that set no mark is still read.

mod bans;
mod keeper;
mod listener;
mod siblings;
mod state;

pub use bans::Bans;
pub use keeper::{StateKeeper, StateSource, restore, restore_copy, state_store};
pub use listener::{Predecessor, take_over};
pub use siblings::{Held, Siblings};
pub use state::{ForeignState, Owner, STATE_VERSION, SavedState};

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use xxhash_rust::xxh64::xxh64;

/// What tells a proxy's files from those of others in one folder: a hash of its name and the clients' address, which
/// are the same for all its processes. Short, as a socket's path holds 107 bytes.
#[must_use]
pub fn mark(proxy: &str, listen: SocketAddr) -> String {
    format!("{:08x}", xxh64(format!("{listen} {proxy}").as_bytes(), 0) >> 32)
}

/// The socket in this folder at which a process of the proxy with that mark waits for the one that replaces it.
#[must_use]
pub fn socket(folder: &Path, mark: &str) -> PathBuf {
    folder.join(format!("haventrack-{mark}"))
}
