//! Snapshots that survive a crash or a power loss: versioned, checksummed, written atomically, the last two kept.
//!
//! Its one face is [`Store`]: [`Store::write`] stores a value as the next generation, [`Store::read`] gives back
//! the newest one that reads whole, and says of every newer one why it was passed over. The proxy keeps what its
//! module has learnt here; the list service and the rollout will keep their state the same way.
//!
//! A snapshot is one file, `NAME.GENERATION.snap`, made of a header of [`HEADER`] bytes, little-endian:
//!
//! | bytes | what |
//! |-------|------|
//! | 0..4  | `GSTS`, the magic |
//! | 4..6  | the envelope's format, [`FORMAT`] |
//! | 6..8  | the payload's version, which the caller names |
//! | 8..16 | the generation |
//! | 16..24| when it was written, milliseconds since the Unix epoch |
//! | 24..28| the payload's length in bytes |
//! | 28..32| CRC-32 (IEEE 802.3, as `crc32fast` computes it) over bytes 0..28 and the payload |
//!
//! followed by the payload in `postcard`'s encoding. A write goes to a temporary file, which is synced, renamed
//! into place, and the folder synced after it (the sequence of POSIX `rename(2)` and `fsync(2)` that makes a
//! replacement atomic on a crash; see the Linux `ext4` and `xfs` documentation on `auto_da_alloc`, which exists
//! because programs leave out the first sync). A power loss therefore leaves either the old set of files or the
//! new one, and a file that is torn anyway (a disk that lies about syncing) fails its length or checksum and is
//! passed over for the one before it.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The magic at the start of every snapshot.
pub const MAGIC: [u8; 4] = *b"GSTS";
/// The envelope's format that this code writes and reads.
pub const FORMAT: u16 = 1;
/// The header's length in bytes.
pub const HEADER: usize = 32;
/// The largest payload that is read back, in bytes; a length above it is taken for damage.
pub const PAYLOAD_CAP: u32 = 64 << 20;
/// How many generations are kept: the newest, and one to fall back on.
pub const KEPT: usize = 2;
/// How old a temporary file must be to be taken for one that a killed writer left.
const STALE_TEMPORARY: std::time::Duration = std::time::Duration::from_secs(60);

/// A folder of snapshots of one kind of value.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    name: String,
    version: u16,
}

/// A value read back, with what its header said.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot<T> {
    /// The value.
    pub value: T,
    /// Its generation: each write takes one above the highest in the folder.
    pub generation: u64,
    /// When it was written, milliseconds since the Unix epoch, as the writer gave it.
    pub written_ms: u64,
}

/// What [`Store::read`] found.
#[derive(Debug)]
pub struct Restored<T> {
    /// The newest snapshot that reads whole; `None` means a cold start.
    pub snapshot: Option<Snapshot<T>>,
    /// Every newer file that was passed over, newest first, and why.
    pub rejected: Vec<(PathBuf, Rejection)>,
}

/// Why a snapshot file is not used.
#[derive(Debug)]
pub enum Rejection {
    /// Shorter than its header says: `length` bytes, `needed` for a whole snapshot.
    Truncated {
        /// The file's length in bytes.
        length: u64,
        /// The length its header asks for, or [`HEADER`] where not even that is there.
        needed: u64,
    },
    /// Longer than its header says, by this many bytes.
    Trailing(u64),
    /// Does not begin with [`MAGIC`].
    NotASnapshot,
    /// Written in another envelope format.
    Format(u16),
    /// Its payload is of another version than the caller reads.
    Version {
        /// The version in the file.
        found: u16,
        /// The version the caller reads.
        expected: u16,
    },
    /// The header names a payload longer than [`PAYLOAD_CAP`].
    TooLong(u32),
    /// The checksum does not match: the file was damaged after it was written.
    Checksum {
        /// As stored.
        stored: u32,
        /// As computed over what was read.
        computed: u32,
    },
    /// The checksum matches, but the payload does not decode as the caller's type.
    Garbled(String),
    /// The file could not be read.
    Unreadable(io::Error),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Truncated { length, needed } => write!(f, "truncated: {length} bytes of {needed}"),
            Self::Trailing(extra) => write!(f, "{extra} bytes after the payload"),
            Self::NotASnapshot => write!(f, "not a snapshot (no magic)"),
            Self::Format(format) => write!(f, "envelope format {format}, this program reads {FORMAT}"),
            Self::Version { found, expected } => write!(f, "version {found}, this program reads {expected}"),
            Self::TooLong(length) => write!(f, "payload of {length} bytes is over the cap of {PAYLOAD_CAP}"),
            Self::Checksum { stored, computed } => {
                write!(f, "checksum {computed:08x} where {stored:08x} was stored")
            }
            Self::Garbled(why) => write!(f, "payload does not decode: {why}"),
            Self::Unreadable(error) => write!(f, "unreadable: {error}"),
        }
    }
}

/// A write that did not complete; the snapshots already stored are untouched.
#[derive(Debug)]
pub struct WriteError {
    /// The step that failed: `encode`, `create`, `write`, `sync`, `rename`, `sync folder` or `list`.
    pub step: &'static str,
    /// The file or folder it failed on.
    pub path: PathBuf,
    /// The cause.
    pub error: io::Error,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "snapshot not stored: {} {}: {}", self.step, self.path.display(), self.error)
    }
}

impl std::error::Error for WriteError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

impl Store {
    /// Snapshots named `name` (a file name's stem: no `/`, not empty) of payload `version` in `folder`, which
    /// need not exist yet: the first write makes it.
    ///
    /// # Errors
    /// `InvalidInput` for a name that cannot be a file's stem.
    pub fn new(folder: &Path, name: &str, version: u16) -> io::Result<Self> {
        let fits = !name.is_empty() && !name.contains(['/', '.', '\0']) && name.len() <= 200;
        if !fits {
            return Err(io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("no snapshot can be named {name:?}"),
            ));
        }
        Ok(Self { folder: folder.to_path_buf(), name: name.to_owned(), version })
    }

    /// The folder the snapshots are in.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Stores `value` as the generation above the highest in the folder, then removes all but the newest
    /// [`KEPT`]. Returns the generation written.
    ///
    /// # Errors
    /// The step that failed; nothing stored before is lost, and a temporary file left by it is removed.
    pub fn write<T: Serialize>(&self, value: &T, written_ms: u64) -> Result<u64, WriteError> {
        let payload = postcard::to_stdvec(value).map_err(|error| {
            fail("encode", &self.folder)(io::Error::new(io::ErrorKind::InvalidData, error))
        })?;
        fs::create_dir_all(&self.folder).map_err(fail("create", &self.folder))?;
        let generation =
            self.generations().map_err(fail("list", &self.folder))?.first().map_or(1, |g| g.0 + 1);
        let bytes = self.encode(&payload, generation, written_ms)?;
        let temporary = self.folder.join(format!("{}.{}.tmp", self.name, std::process::id()));
        let stored = write_synced(&temporary, &bytes).map_err(|(step, error)| fail(step, &temporary)(error));
        if let Err(error) = stored {
            let _ = fs::remove_file(&temporary);
            return Err(error);
        }
        let path = self.path(generation);
        if let Err(error) = fs::rename(&temporary, &path) {
            let _ = fs::remove_file(&temporary);
            return Err(fail("rename", &path)(error));
        }
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(fail("sync folder", &self.folder))?;
        self.prune();
        Ok(generation)
    }

    /// The newest snapshot that reads whole, and why each newer one did not. A folder that does not exist, or
    /// holds none, is a cold start without rejections.
    #[must_use]
    pub fn read<T: DeserializeOwned>(&self) -> Restored<T> {
        let mut rejected = Vec::new();
        let generations = match self.generations() {
            Ok(generations) => generations,
            Err(error) if error.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(error) => {
                rejected.push((self.folder.clone(), Rejection::Unreadable(error)));
                Vec::new()
            }
        };
        for (_, path) in generations {
            match fs::read(&path).map_err(Rejection::Unreadable).and_then(|bytes| self.decode(&bytes)) {
                Ok(snapshot) => return Restored { snapshot: Some(snapshot), rejected },
                Err(why) => rejected.push((path, why)),
            }
        }
        Restored { snapshot: None, rejected }
    }

    /// Reads one snapshot's bytes as this store's payload.
    ///
    /// # Errors
    /// Why the bytes are not a whole snapshot of this store's version.
    pub fn decode<T: DeserializeOwned>(&self, bytes: &[u8]) -> Result<Snapshot<T>, Rejection> {
        let length = bytes.len() as u64;
        let header = bytes.get(..HEADER).ok_or(Rejection::Truncated { length, needed: HEADER as u64 })?;
        if header[..4] != MAGIC {
            return Err(Rejection::NotASnapshot);
        }
        let word = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let quad = |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().unwrap_or_default());
        let long = |at: usize| u64::from_le_bytes(header[at..at + 8].try_into().unwrap_or_default());
        let stored = quad(28);
        let payload_length = quad(24);
        if payload_length > PAYLOAD_CAP {
            return Err(Rejection::TooLong(payload_length));
        }
        let needed = HEADER as u64 + u64::from(payload_length);
        if length < needed {
            return Err(Rejection::Truncated { length, needed });
        }
        let payload = &bytes[HEADER..needed as usize];
        let computed = checksum(&header[..28], payload);
        if computed != stored {
            return Err(Rejection::Checksum { stored, computed });
        }
        if length > needed {
            return Err(Rejection::Trailing(length - needed));
        }
        match (word(4), word(6)) {
            (FORMAT, version) if version == self.version => {}
            (FORMAT, found) => return Err(Rejection::Version { found, expected: self.version }),
            (format, _) => return Err(Rejection::Format(format)),
        }
        // postcard stops where the value ends; bytes left over mean the payload was of another shape.
        let (value, left) =
            postcard::take_from_bytes(payload).map_err(|error| Rejection::Garbled(error.to_string()))?;
        if !left.is_empty() {
            return Err(Rejection::Garbled(format!("{} bytes left after the value", left.len())));
        }
        Ok(Snapshot { value, generation: long(8), written_ms: long(16) })
    }

    fn encode(&self, payload: &[u8], generation: u64, written_ms: u64) -> Result<Vec<u8>, WriteError> {
        let length = u32::try_from(payload.len()).ok().filter(|length| *length <= PAYLOAD_CAP);
        let length = length.ok_or_else(|| WriteError {
            step: "encode",
            path: self.folder.clone(),
            error: io::Error::new(
                io::ErrorKind::InvalidData,
                format!("{} bytes is over the cap", payload.len()),
            ),
        })?;
        let mut bytes = Vec::with_capacity(HEADER + payload.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&FORMAT.to_le_bytes());
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.extend_from_slice(&generation.to_le_bytes());
        bytes.extend_from_slice(&written_ms.to_le_bytes());
        bytes.extend_from_slice(&length.to_le_bytes());
        let sum = checksum(&bytes, payload);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(payload);
        Ok(bytes)
    }

    fn path(&self, generation: u64) -> PathBuf {
        self.folder.join(format!("{}.{generation:020}.snap", self.name))
    }

    /// The snapshots in the folder, newest first.
    fn generations(&self) -> io::Result<Vec<(u64, PathBuf)>> {
        let mut found = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            let name = entry.file_name();
            let generation = name
                .to_str()
                .and_then(|name| name.strip_prefix(self.name.as_str()))
                .and_then(|rest| rest.strip_prefix('.'))
                .and_then(|rest| rest.strip_suffix(".snap"))
                .and_then(|digits| digits.parse::<u64>().ok());
            if let Some(generation) = generation {
                found.push((generation, entry.path()));
            }
        }
        found.sort_unstable_by_key(|&(generation, _)| std::cmp::Reverse(generation));
        Ok(found)
    }

    /// Removes all but the newest [`KEPT`], and temporary files that a writer killed mid-write left over a
    /// minute ago (a write takes milliseconds, and the one in hand is younger); what cannot be removed now is
    /// removed by a later write.
    fn prune(&self) {
        for (_, path) in self.generations().unwrap_or_default().into_iter().skip(KEPT) {
            let _ = fs::remove_file(path);
        }
        let Ok(entries) = fs::read_dir(&self.folder) else { return };
        let prefix = format!("{}.", self.name);
        for entry in entries.flatten() {
            let name = entry.file_name();
            let ours = name.to_str().is_some_and(|n| n.starts_with(&prefix) && n.ends_with(".tmp"));
            let age = entry.metadata().and_then(|m| m.modified()).ok().and_then(|t| t.elapsed().ok());
            if ours && age.is_some_and(|age| age > STALE_TEMPORARY) {
                let _ = fs::remove_file(entry.path());
            }
        }
    }
}

/// Turns an `io::Error` of `step` on `path` into a [`WriteError`].
fn fail(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> WriteError {
    let path = path.to_path_buf();
    move |error| WriteError { step, path, error }
}

fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(payload);
    hasher.finalize()
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<(), (&'static str, io::Error)> {
    let mut file = File::create(path).map_err(|error| ("create", error))?;
    file.write_all(bytes).map_err(|error| ("write", error))?;
    file.sync_all().map_err(|error| ("sync", error))
}
