//! State that survives a crash or a power loss: snapshots of a value, and logs of entries, both versioned and
//! checksummed.
//!
//! Snapshots are the [`Store`]'s: written atomically, the last two kept. [`Store::write`] stores a value as the
//! next generation, [`Store::read`] gives back the newest one that reads whole, and says of every newer one why it
//! was passed over. The proxy keeps what its module has learnt here; the list service and the rollout will keep
//! their state the same way. A [`Log`] takes entry after entry, each on disk once [`Log::sync`] has returned.
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

mod disk;
mod envelope;
mod log;
mod log_error;

pub use disk::WriteError;
pub use envelope::{FORMAT, HEADER, Rejection};
pub use log::{Cut, LOG_CAP, Log, Opened, PUBLISH_SYNCED, RECORD_CAP};
pub use log_error::{LogError, Owner};

use disk::fail;
use envelope::Kind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The magic at the start of every snapshot.
pub const MAGIC: [u8; 4] = *b"GSTS";
/// The largest payload that is read back, in bytes; a length above it is taken for damage.
pub const PAYLOAD_CAP: u32 = 64 << 20;
/// How many generations are kept: the newest, and one to fall back on.
pub const KEPT: usize = 2;

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

impl Store {
    /// Snapshots named `name` (a file name's stem: no `/`, not empty) of payload `version` in `folder`, which
    /// need not exist yet: the first write makes it.
    ///
    /// # Errors
    /// `InvalidInput` for a name that cannot be a file's stem.
    pub fn new(folder: &Path, name: &str, version: u16) -> io::Result<Self> {
        disk::check_stem(name)?;
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
        fs::create_dir_all(&self.folder).map_err(fail("create", &self.folder))?;
        let generation =
            self.generations().map_err(fail("list", &self.folder))?.first().map_or(1, |g| g.0 + 1);
        let mut bytes = Vec::new();
        let sealed = self.kind().seal([generation, written_ms], value, &mut bytes);
        sealed.map_err(fail("encode", &self.folder))?;
        disk::replace(&self.folder, &self.file(generation), &bytes)?;
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
        let envelope = self.kind().open(bytes)?;
        let extra = bytes.len() - envelope.length();
        if extra > 0 {
            return Err(Rejection::Trailing(extra as u64));
        }
        let [generation, written_ms] = envelope.numbers;
        Ok(Snapshot { value: envelope.value()?, generation, written_ms })
    }

    fn kind(&self) -> Kind {
        Kind { magic: MAGIC, version: self.version, cap: PAYLOAD_CAP }
    }

    fn file(&self, generation: u64) -> String {
        format!("{}.{generation:020}.snap", self.name)
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

    /// Removes all but the newest [`KEPT`], and what killed writers left; what cannot be removed now is removed
    /// by a later write.
    fn prune(&self) {
        for (_, path) in self.generations().unwrap_or_default().into_iter().skip(KEPT) {
            let _ = fs::remove_file(path);
        }
        disk::remove_stale_temporaries(&self.folder, &self.name);
    }
}
