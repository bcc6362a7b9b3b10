//! The envelope that snapshots, a log's header and its records share: a header of [`HEADER`] bytes (see the folder's
//! page for its fields) and a payload in `postcard`'s encoding.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

/// The envelope's format that this code writes and reads.
pub const FORMAT: u16 = 1;
/// The header's length in bytes.
pub const HEADER: usize = 32;
/// How much of the header the checksum covers: all before the checksum itself.
const CHECKED: usize = HEADER - 4;

/// What tells one kind of envelope from another.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// The first four bytes.
    pub magic: [u8; 4],
    /// The payload's version, which the caller of the store names.
    pub version: u16,
    /// The most bytes a payload may have; a length above it is taken for damage.
    pub cap: u32,
}

/// An envelope that is whole: right kind, format and version, its checksum matches.
#[derive(Debug)]
pub(super) struct Envelope<'a> {
    /// The header's two numbers, which mean something else for each kind.
    pub numbers: [u64; 2],
    /// The payload.
    pub payload: &'a [u8],
}

impl Envelope<'_> {
    /// Its length in bytes, with the header.
    pub fn length(&self) -> usize {
        HEADER + self.payload.len()
    }

    /// The payload as a value, all of it.
    ///
    /// # Errors
    /// [`Rejection::Garbled`] for a payload of another shape.
    pub fn value<T: DeserializeOwned>(&self) -> Result<T, Rejection> {
        // postcard stops where the value ends; bytes left over mean the payload was of another shape.
        let (value, left) =
            postcard::take_from_bytes(self.payload).map_err(|error| Rejection::Garbled(error.to_string()))?;
        if !left.is_empty() {
            return Err(Rejection::Garbled(format!("{} bytes left after the value", left.len())));
        }
        Ok(value)
    }
}

impl Kind {
    /// Appends `value` in an envelope of this kind to `bytes`.
    ///
    /// # Errors
    /// `InvalidData` for a value that does not encode or is over the cap; `bytes` is as it was.
    pub fn seal<T: Serialize>(self, numbers: [u64; 2], value: &T, bytes: &mut Vec<u8>) -> io::Result<()> {
        let bad = |why: String| io::Error::new(io::ErrorKind::InvalidData, why);
        let payload = postcard::to_stdvec(value).map_err(|error| bad(error.to_string()))?;
        let length = u32::try_from(payload.len()).ok().filter(|length| *length <= self.cap);
        let length =
            length.ok_or_else(|| bad(format!("{} bytes is over the cap of {}", payload.len(), self.cap)))?;
        let from = bytes.len();
        bytes.reserve(HEADER + payload.len());
        bytes.extend_from_slice(&self.magic);
        bytes.extend_from_slice(&FORMAT.to_le_bytes());
        bytes.extend_from_slice(&self.version.to_le_bytes());
        for number in numbers {
            bytes.extend_from_slice(&number.to_le_bytes());
        }
        bytes.extend_from_slice(&length.to_le_bytes());
        let sum = checksum(&bytes[from..], &payload);
        bytes.extend_from_slice(&sum.to_le_bytes());
        bytes.extend_from_slice(&payload);
        Ok(())
    }

    /// The envelope of this kind at the start of `bytes`; what comes after it is the caller's matter.
    ///
    /// # Errors
    /// Why there is none. Format and version are judged only once the checksum holds, so those two are never
    /// the trace of damage.
    pub fn open(self, bytes: &[u8]) -> Result<Envelope<'_>, Rejection> {
        let length = bytes.len() as u64;
        let header = bytes.get(..HEADER).ok_or(Rejection::Truncated { length, needed: HEADER as u64 })?;
        if header[..4] != self.magic {
            return Err(Rejection::NotASnapshot);
        }
        let word = |at: usize| u16::from_le_bytes([header[at], header[at + 1]]);
        let quad = |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().unwrap_or_default());
        let long = |at: usize| u64::from_le_bytes(header[at..at + 8].try_into().unwrap_or_default());
        let (payload_length, stored) = (quad(24), quad(CHECKED));
        if payload_length > self.cap {
            return Err(Rejection::TooLong { length: payload_length, cap: self.cap });
        }
        let needed = HEADER as u64 + u64::from(payload_length);
        if length < needed {
            return Err(Rejection::Truncated { length, needed });
        }
        let payload = &bytes[HEADER..needed as usize];
        let computed = checksum(&header[..CHECKED], payload);
        if computed != stored {
            return Err(Rejection::Checksum { stored, computed });
        }
        match (word(4), word(6)) {
            (FORMAT, version) if version == self.version => {}
            (FORMAT, found) => return Err(Rejection::Version { found, expected: self.version }),
            (format, _) => return Err(Rejection::Format(format)),
        }
        Ok(Envelope { numbers: [long(8), long(16)], payload })
    }
}

fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(payload);
    hasher.finalize()
}

/// Why a snapshot file, or a record of a log, is not used.
#[derive(Debug, Error)]
pub enum Rejection {
    /// Shorter than its header says: `length` bytes, `needed` for a whole snapshot.
    #[error("truncated: {length} bytes of {needed}")]
    Truncated {
        /// The file's length in bytes.
        length: u64,
        /// The length its header asks for, or [`HEADER`] where not even that is there.
        needed: u64,
    },
    /// Longer than its header says, by this many bytes.
    #[error("{0} bytes after the payload")]
    Trailing(u64),
    /// Does not begin with the magic of its kind.
    #[error("no magic: not written by this program, or damaged")]
    NotASnapshot,
    /// Written in another envelope format.
    #[error("envelope format {0}, this program reads {FORMAT}")]
    Format(u16),
    /// Its payload is of another version than the caller reads.
    #[error("version {found}, this program reads {expected}")]
    Version {
        /// The version in the file.
        found: u16,
        /// The version the caller reads.
        expected: u16,
    },
    /// The header names a payload longer than its kind may have.
    #[error("payload of {length} bytes is over the cap of {cap}")]
    TooLong {
        /// The payload's length in bytes, as the header gives it.
        length: u32,
        /// The most bytes a payload of this kind may have.
        cap: u32,
    },
    /// The checksum does not match: the file was damaged after it was written.
    #[error("checksum {computed:08x} where {stored:08x} was stored")]
    Checksum {
        /// As stored.
        stored: u32,
        /// As computed over what was read.
        computed: u32,
    },
    /// The checksum matches, but the payload does not decode as the caller's type.
    #[error("payload does not decode: {0}")]
    Garbled(String),
    /// The file could not be read.
    #[error("unreadable: {0}; see that this program may read it and that the disk is in order")]
    Unreadable(#[source] io::Error),
}
