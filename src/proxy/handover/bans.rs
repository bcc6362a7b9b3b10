//! The operators' bans on disk.
//!
//! A ban is a file of its own in `$TMPDIR`, named after the backend and the proxy. Making and removing a file are atomic
//! and touch no other ban, so two processes may write at the same time, and neither can overwrite what the other has
//! just stored, as they could in one file that holds all of them.

use crate::proxy::log;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// The folder of the bans.
const BANS: &str = "haventrack-bans";
/// The longest id that can be stored: a file's name holds 255 bytes, and each byte of an id takes two.
const LONGEST_ID: usize = 120;

/// The bans as stored.
#[derive(Debug)]
pub struct Bans {
    folder: PathBuf,
    /// The proxy's; `None`: whoever stored them.
    mark: Option<String>,
}

impl Bans {
    /// The store of the proxy with this mark in a folder that others may share. Bans without a mark are in force as
    /// well, and end with a call here: they may be this proxy's from before an upgrade, or another's.
    #[must_use]
    pub fn of(folder: &Path, mark: String) -> Self {
        Self { folder: folder.join(BANS), mark: Some(mark) }
    }

    /// The store in this folder, which is one proxy's.
    #[must_use]
    pub fn within(folder: &Path) -> Self {
        Self { folder: folder.join(BANS), mark: None }
    }

    /// Says in the log which bans are in force here although they may be another proxy's.
    pub fn say_unmarked(&self) {
        let unmarked = self.ids(|mark| mark.is_none()).filter(|ids| !ids.is_empty() && self.mark.is_some());
        if let Some(ids) = unmarked {
            let ids: Vec<_> = ids.into_iter().collect();
            log(format_args!(
                "bans of an older version, which does not say whose they are, hold here too: {}",
                ids.join(", ")
            ));
        }
    }

    /// Stores a ban; one that is stored already stays.
    ///
    /// # Errors
    /// Where it can't be stored.
    pub fn store(&self, id: &str) -> io::Result<()> {
        let path = self.path(id)?;
        if let Err(error) = fs::create_dir(&self.folder)
            && !self.folder.is_dir()
        {
            // Something else has taken the name: nothing of ours, and in the way.
            if error.kind() != io::ErrorKind::AlreadyExists {
                return Err(error);
            }
            fs::remove_file(&self.folder)?;
            fs::create_dir(&self.folder)?;
        }
        fs::File::create(path).map(drop)
    }

    /// Removes a ban.
    ///
    /// # Errors
    /// Where it can't be removed.
    pub fn remove(&self, id: &str) -> io::Result<()> {
        for path in [self.path(id)?, self.folder.join(hex(id))] {
            if let Err(error) = fs::remove_file(path)
                && error.kind() != io::ErrorKind::NotFound
            {
                return Err(error);
            }
        }
        Ok(())
    }

    /// The ids of all backends that are banned. Files that are none of ours are passed over; `None` where the
    /// store can't be read, which lifts no ban.
    #[must_use]
    pub fn read(&self) -> Option<BTreeSet<String>> {
        let mine = self.mark.as_deref();
        self.ids(|mark| mine.is_none() || mark.is_none() || mark == mine)
    }

    /// The ids in the names of the files with such a mark.
    fn ids(&self, wanted: impl Fn(Option<&str>) -> bool) -> Option<BTreeSet<String>> {
        let files = fs::read_dir(&self.folder).ok()?;
        let id = |name: &str| match name.split_once('.') {
            Some((id, mark)) if wanted(Some(mark)) => unhex(id),
            None if wanted(None) => unhex(name),
            _ => None,
        };
        Some(files.filter_map(|file| id(file.ok()?.file_name().to_str()?)).collect())
    }

    fn path(&self, id: &str) -> io::Result<PathBuf> {
        if id.is_empty() || id.len() > LONGEST_ID {
            return Err(io::Error::new(io::ErrorKind::InvalidInput, "an id of that length can't be stored"));
        }
        let mark = self.mark.iter().map(|mark| format!(".{mark}"));
        Ok(self.folder.join(hex(id) + &mark.collect::<String>()))
    }
}

/// An id may hold what a file's name may not.
fn hex(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(name: &str) -> Option<String> {
    let digits = name.as_bytes();
    if digits.is_empty() || digits.len() % 2 != 0 {
        return None;
    }
    let byte = |pair: &[u8]| {
        let digit = |b: u8| char::from(b).to_digit(16);
        u8::try_from(digit(pair[0])? * 16 + digit(pair[1])?).ok()
    };
    let bytes: Option<Vec<u8>> = digits.chunks(2).map(byte).collect();
    String::from_utf8(bytes?).ok()
}
