//! A checked, synced, append-only log in one file, `NAME.log`.
//!
//! The file is a header and one record for each entry, all in the envelope of the folder's page. The header's magic
//! is `GSTL`, its two numbers are the first entry's index and 0, its payload is the [`Owner`]. A record's magic is
//! `GSTR`, its numbers are the entry's index and how long the file was known to be synced when it was written.
//!
//! Entries stay on disk; memory holds 8 bytes for each (where its record begins), and [`Log::read`] checks what it
//! reads again. Appending and cutting the end off work in place; purging the beginning writes the rest as a new
//! file that takes the old one's place, so there is one file to check, cut and lose, not a chain of segments. The
//! file is bounded ([`LOG_CAP`]) so that this costs little.
//!
//! What is at the end of the file and not whole is a torn write, and is cut off: a power loss leaves such. What is
//! not whole with something whole after it is damage, and the log is refused: dropping it would be to forget what
//! was promised. (A power loss can leave that too, if the disk wrote a later part of an unsynced stretch first.
//! The two can't be told apart, and refusing is the safe answer: the node comes back as one that lost its disk.)
//! Damage to the last record can't be told from a torn write.

use super::disk::{self, SYNC_FOLDER, WriteError};
use super::envelope::{HEADER, Kind, Rejection};
use super::log_error::{LogError, Owner};
use rustix::fs::{FlockOperation, flock};
use rustix::io::Errno;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::env;
use std::fs::{self, File};
use std::io::{self, Read, Seek};
use std::marker::PhantomData;
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

/// The largest entry, in bytes as encoded.
pub const RECORD_CAP: u32 = 64 << 10;
/// The longest that a log's file grows, in bytes; purge it before.
pub const LOG_CAP: u64 = 64 << 20;
/// How long opening a log waits for another process to let go of it, and how often it looks.
const LOCK_WAIT: Duration = Duration::from_secs(1);
const LOCK_RETRY: Duration = Duration::from_millis(5);
/// The highest index that a log begins at; so no index can overflow.
const FIRST_CAP: u64 = u64::MAX / 2;
/// With this environment variable set, a log publishes after each sync how much of its file is on disk, as 8 bytes,
/// little-endian, in `NAME.log.synced` beside it (not synced itself). A rig that emulates a power loss kills the
/// process and cuts the file to that length, where it is longer.
pub const PUBLISH_SYNCED: &str = "GATESTAGE_PUBLISH_SYNCED";

const HEADER_MAGIC: [u8; 4] = *b"GSTL";
const RECORD_MAGIC: [u8; 4] = *b"GSTR";

/// A log of entries `T` at consecutive indexes.
#[derive(Debug)]
pub struct Log<T> {
    folder: PathBuf,
    /// The file's name in the folder.
    file_name: String,
    file: File,
    header: Kind,
    record: Kind,
    owner: Owner,
    /// The index of the first entry, or of the next one where there is none.
    first: u64,
    /// Where each entry's record begins in the file.
    starts: Vec<u64>,
    /// The file's length in bytes, and how much of it is synced.
    end: u64,
    synced: u64,
    /// The step that failed, after which the log takes nothing more.
    failed: Option<&'static str>,
    /// Where the synced length is published.
    published: Option<File>,
    opened: Opened,
    /// Held while the log is open, so that no second process writes to it.
    _lock: File,
    entries: PhantomData<fn() -> T>,
}

/// What [`Log::open`] found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// How many entries were read back.
    pub entries: u64,
    /// What was cut off the end, if anything.
    pub cut: Option<Cut>,
}

/// A torn end of the file that was cut off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// The index that the first entry in it would have had.
    pub at_index: u64,
    /// Its length in bytes.
    pub bytes: u64,
    /// What was wrong with it.
    pub why: String,
}

impl<T: Serialize + DeserializeOwned> Log<T> {
    /// Opens the log `name` (a file name's stem: no `/`, no `.`, not empty) of payload `version` in `folder`, or
    /// makes an empty one whose first index is 0. All entries are read back and checked, a torn end is cut off
    /// (see [`Log::opened`]), and what is left is synced.
    ///
    /// # Errors
    /// A log that another process has open; one of another `version` or `owner`; one that is damaged other than
    /// at its end; a folder or file that can't be made, read or written. The file is as it was.
    pub fn open(folder: &Path, name: &str, version: u16, owner: &Owner) -> Result<Self, LogError> {
        disk::check_stem(name).map_err(|_| LogError::Name(name.to_owned()))?;
        fs::create_dir_all(folder).map_err(io_error("create", folder))?;
        // The folder may be new, and a log in a folder that a power loss takes away is lost with it.
        disk::sync_folder(&folder.join(".."))?;
        let lock = lock(folder, name)?;
        disk::remove_stale_temporaries(folder, &format!("{name}.log"));
        let header = Kind { magic: HEADER_MAGIC, version, cap: RECORD_CAP };
        let record = Kind { magic: RECORD_MAGIC, version, cap: RECORD_CAP };
        let file_name = format!("{name}.log");
        let path = folder.join(&file_name);
        let file = open_or_make(folder, &file_name, header, owner)?;
        let bytes = read_bounded(&file, &path)?;
        let (first, begin) = read_header(header, &bytes, &path, owner)?;
        let Scan { starts, end, cut } = scan::<T>(record, &bytes, begin, first, &path)?;
        let opened = Opened { entries: starts.len() as u64, cut };
        if opened.cut.is_some() {
            file.set_len(end).map_err(io_error("truncate", &path))?;
        }
        // What a killed process wrote may be in the system's cache only.
        file.sync_data().map_err(io_error("sync", &path))?;
        let mut log = Self {
            folder: folder.to_path_buf(),
            file_name,
            file,
            header,
            record,
            owner: owner.clone(),
            first,
            starts,
            end,
            synced: 0,
            failed: None,
            published: publisher(&path)?,
            opened,
            _lock: lock,
            entries: PhantomData,
        };
        log.set_synced(end);
        Ok(log)
    }

    /// What opening it found.
    #[must_use]
    pub fn opened(&self) -> &Opened {
        &self.opened
    }

    /// The file's path.
    #[must_use]
    pub fn path(&self) -> PathBuf {
        self.folder.join(&self.file_name)
    }

    /// The index of the first entry; equal to [`Log::next`] in an empty log.
    #[must_use]
    pub fn first(&self) -> u64 {
        self.first
    }

    /// The index that the next entry gets.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.first + self.starts.len() as u64
    }

    /// How many bytes of the file are known to be on disk.
    #[must_use]
    pub fn synced_len(&self) -> u64 {
        self.synced
    }

    /// Whether everything appended is on disk.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.failed.is_none() && self.synced == self.end
    }

    /// The entries of `range` that the log has, with their indexes, in order. They are read from the file in one
    /// piece, so a range of the whole log costs up to its length in memory.
    ///
    /// # Errors
    /// The file can't be read, or an entry in it has been damaged since it was written.
    pub fn read(&self, range: Range<u64>) -> Result<Vec<(u64, T)>, LogError> {
        let (from, to) = (range.start.max(self.first), range.end.min(self.next()));
        if from >= to {
            return Ok(Vec::new());
        }
        let (begin, end) = (self.start_of(from), self.start_of(to));
        let mut bytes = vec![0; (end - begin) as usize];
        self.file.read_exact_at(&mut bytes, begin).map_err(self.refusal("read"))?;
        (from..to)
            .map(|index| {
                let at = self.start_of(index);
                let within = (at - begin) as usize..(self.start_of(index + 1) - begin) as usize;
                let envelope = self.record.open(&bytes[within]);
                let entry = envelope.and_then(|envelope| Ok((envelope.numbers[0], envelope.value()?)));
                match entry {
                    Ok((found, value)) if found == index => Ok((index, value)),
                    Ok((found, _)) => Err(LogError::OutOfPlace { path: self.path(), index, at, found }),
                    Err(why) => Err(LogError::Damaged { path: self.path(), index, at, why, follows: None }),
                }
            })
            .collect()
    }

    /// The entry at `index`, or `None` where the log has none there.
    ///
    /// # Errors
    /// As [`Log::read`].
    pub fn get(&self, index: u64) -> Result<Option<T>, LogError> {
        Ok(self.read(index..index.saturating_add(1))?.pop().map(|(_, value)| value))
    }

    /// Appends `entries`, the first at `first_index`, which must be [`Log::next`]. They are written, not yet
    /// synced: nobody may be told of them before [`Log::sync`] has returned.
    ///
    /// # Errors
    /// Another index than the next, an entry over [`RECORD_CAP`], a log over [`LOG_CAP`]: nothing is written and
    /// the log goes on. A write that fails: the log has failed, and all that was not synced is taken back.
    pub fn append(&mut self, first_index: u64, entries: &[T]) -> Result<(), LogError> {
        self.check()?;
        let due = self.next();
        if first_index != due {
            return Err(LogError::Gap { path: self.path(), due, given: first_index });
        }
        let mut bytes = Vec::new();
        let mut starts = Vec::with_capacity(entries.len());
        for (index, entry) in (due..).zip(entries) {
            starts.push(self.end + bytes.len() as u64);
            let sealed = self.record.seal([index, self.synced], entry, &mut bytes);
            sealed.map_err(|why| LogError::Unfit { path: self.path(), index, why })?;
        }
        let length = self.end + bytes.len() as u64;
        if length > LOG_CAP {
            return Err(LogError::Full { path: self.path(), length, cap: LOG_CAP });
        }
        self.file.write_all_at(&bytes, self.end).map_err(|error| self.fail("write", error))?;
        self.starts.append(&mut starts);
        self.end = length;
        Ok(())
    }

    /// Syncs what was appended: once it has returned `Ok`, all of it outlasts a power loss.
    ///
    /// # Errors
    /// The sync failed, now or before. Nothing is known then of what was not synced (the system may have dropped
    /// it and will say yes to a second try), so the log takes it back, and every later call that writes errs.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.check()?;
        if self.synced == self.end {
            return Ok(());
        }
        self.file.sync_data().map_err(|error| self.fail("sync", error))?;
        self.set_synced(self.end);
        Ok(())
    }

    /// Removes the entry at `index` and all after it, on disk once it has returned. An `index` past the last entry
    /// removes nothing.
    ///
    /// # Errors
    /// Entries already purged can't be removed so: nothing is. A truncation or sync that fails: the log has
    /// failed, and the entries may or may not be there when it is opened again.
    pub fn truncate_from(&mut self, index: u64) -> Result<(), LogError> {
        self.check()?;
        if index < self.first {
            return Err(LogError::Purged { path: self.path(), index, first: self.first });
        }
        if index >= self.next() {
            return Ok(());
        }
        let end = self.start_of(index);
        self.file.set_len(end).map_err(|error| self.fail("truncate", error))?;
        self.starts.truncate((index - self.first) as usize);
        self.end = end;
        // Less than before of the file is synced now, and its new length not yet.
        self.synced = self.synced.min(end.saturating_sub(1));
        self.sync()
    }

    /// Removes the entries up to `index`, `index` among them, on disk once it has returned; what is left is synced.
    /// An `index` past the last entry leaves an empty log whose next index is the one after `index`, as a log
    /// needs that goes on from a snapshot.
    ///
    /// # Errors
    /// An `index` over 2^63, or the step that failed. The log is as it was, unless the folder's sync failed: then the log has failed.
    pub fn purge_to(&mut self, index: u64) -> Result<(), LogError> {
        self.check()?;
        if index < self.first {
            return Ok(());
        }
        if index >= FIRST_CAP {
            return Err(LogError::Index { path: self.path(), index, cap: FIRST_CAP });
        }
        let first = index + 1;
        let kept_from = self.start_of(first.min(self.next()));
        let mut bytes = new_header(self.header, first, &self.owner, &self.path())?;
        let begin = bytes.len();
        bytes.resize(begin + (self.end - kept_from) as usize, 0);
        self.file.read_exact_at(&mut bytes[begin..], kept_from).map_err(self.refusal("read"))?;
        let kept = self.starts.iter().filter(|&&start| start >= kept_from);
        let starts = kept.map(|start| start - kept_from + begin as u64).collect();
        let file = match disk::replace(&self.folder, &self.file_name, &bytes) {
            Ok(file) => file,
            Err(WriteError { step: SYNC_FOLDER, error, .. }) => return Err(self.fail(SYNC_FOLDER, error)),
            Err(error) => return Err(error.into()),
        };
        (self.file, self.starts, self.first, self.end) = (file, starts, first, bytes.len() as u64);
        self.set_synced(self.end);
        Ok(())
    }

    /// Where the record of `index` begins, or the file's end for the next one.
    fn start_of(&self, index: u64) -> u64 {
        self.starts.get((index - self.first) as usize).copied().unwrap_or(self.end)
    }

    fn check(&self) -> Result<(), LogError> {
        self.failed.map_or(Ok(()), |step| Err(LogError::Failed { path: self.path(), step }))
    }

    fn refusal(&self, step: &'static str) -> impl FnOnce(io::Error) -> LogError + use<T> {
        io_error(step, &self.path())
    }

    fn set_synced(&mut self, length: u64) {
        self.synced = length;
        if let Some(published) = &self.published {
            // A rig's help only: where it fails, the rig cuts off more than a power loss would.
            let _ = published.write_all_at(&length.to_le_bytes(), 0);
        }
    }

    /// Closes the log to all further writes, and takes back what was not synced: after a failed sync the system
    /// may keep it in its cache, where the next open would find it and take it for synced.
    fn fail(&mut self, step: &'static str, error: io::Error) -> LogError {
        self.failed = Some(step);
        let whole = self.starts.iter().position(|&start| start >= self.synced).unwrap_or(self.starts.len());
        self.end = self.start_of(self.first + whole as u64);
        self.starts.truncate(whole);
        // As well as can be: a disk that fails may fail this too, and the log is closed either way.
        let _ = self.file.set_len(self.end);
        io_error(step, &self.path())(error)
    }
}

fn io_error(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> LogError + use<> {
    let path = path.to_path_buf();
    move |source| LogError::Io { step, path, source }
}

/// Takes the lock file beside the log; a file of its own, because the log's is replaced by a purge. Waits up to
/// [`LOCK_WAIT`]: a killed process holds it until it is gone, and so does one that is just being started by the
/// holder, until it runs its own program.
fn lock(folder: &Path, name: &str) -> Result<File, LogError> {
    let path = folder.join(format!("{name}.lock"));
    let open = File::options().write(true).create(true).truncate(false).open(&path);
    let file = open.map_err(io_error("create", &path))?;
    let until = Instant::now() + LOCK_WAIT;
    loop {
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => return Ok(file),
            Err(Errno::WOULDBLOCK) if Instant::now() < until => thread::sleep(LOCK_RETRY),
            Err(Errno::WOULDBLOCK) => {
                return Err(LogError::InUse { path: folder.join(format!("{name}.log")) });
            }
            Err(error) => return Err(io_error("lock", &path)(error.into())),
        }
    }
}

fn new_header(kind: Kind, first: u64, owner: &Owner, path: &Path) -> Result<Vec<u8>, LogError> {
    let mut bytes = Vec::new();
    kind.seal([first, 0], owner, &mut bytes).map_err(io_error("encode", path))?;
    Ok(bytes)
}

fn open_or_make(folder: &Path, file_name: &str, header: Kind, owner: &Owner) -> Result<File, LogError> {
    let path = folder.join(file_name);
    match File::options().read(true).write(true).open(&path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            Ok(disk::replace(folder, file_name, &new_header(header, 0, owner, &path)?)?)
        }
        opened => opened.map_err(io_error("open", &path)),
    }
}

/// The whole file, which is no longer than [`LOG_CAP`] unless something else wrote to it.
fn read_bounded(mut file: &File, path: &Path) -> Result<Vec<u8>, LogError> {
    let mut bytes = Vec::new();
    let read = file.rewind().and_then(|()| file.by_ref().take(LOG_CAP + 1).read_to_end(&mut bytes));
    read.map_err(io_error("read", path))?;
    if bytes.len() as u64 > LOG_CAP {
        let why = Rejection::Trailing(bytes.len() as u64 - LOG_CAP);
        return Err(LogError::Header { path: path.to_path_buf(), why });
    }
    Ok(bytes)
}

/// The first entry's index and where the records begin.
fn read_header(kind: Kind, bytes: &[u8], path: &Path, owner: &Owner) -> Result<(u64, usize), LogError> {
    let refused = |why| LogError::Header { path: path.to_path_buf(), why };
    let envelope = kind.open(bytes).map_err(refused)?;
    let found: Owner = envelope.value().map_err(refused)?;
    if found != *owner {
        let (found, expected) = (Box::new(found), Box::new(owner.clone()));
        return Err(LogError::Owner { path: path.to_path_buf(), found, expected });
    }
    match envelope.numbers[0] {
        first if first > FIRST_CAP => Err(refused(Rejection::Garbled(format!("it begins at entry {first}")))),
        first => Ok((first, envelope.length())),
    }
}

/// The records found whole.
struct Scan {
    starts: Vec<u64>,
    end: u64,
    cut: Option<Cut>,
}

fn scan<T: DeserializeOwned>(
    kind: Kind,
    bytes: &[u8],
    begin: usize,
    first: u64,
    path: &Path,
) -> Result<Scan, LogError> {
    let path = path.to_path_buf();
    let mut starts = Vec::new();
    let mut at = begin;
    while at < bytes.len() {
        let index = first + starts.len() as u64;
        let whole = kind.open(&bytes[at..]).and_then(|e| Ok((e.value::<T>()?, e.numbers[0], e.length())));
        match whole {
            Ok((_, found, length)) if found == index => {
                starts.push(at as u64);
                at += length;
            }
            Ok((_, found, _)) => return Err(LogError::OutOfPlace { path, index, at: at as u64, found }),
            Err(why) => {
                let follows = whole_after(kind, &bytes[at + 1..]);
                if follows.is_some() || !may_be_torn(&why) {
                    return Err(LogError::Damaged { path, index, at: at as u64, why, follows });
                }
                let cut = Cut { at_index: index, bytes: (bytes.len() - at) as u64, why: why.to_string() };
                return Ok(Scan { starts, end: at as u64, cut: Some(cut) });
            }
        }
    }
    Ok(Scan { starts, end: at as u64, cut: None })
}

/// Whether a write that did not complete can leave this. The others stand behind a checksum that holds.
fn may_be_torn(why: &Rejection) -> bool {
    use Rejection::{Checksum, NotASnapshot, TooLong, Truncated};
    matches!(why, Truncated { .. } | NotASnapshot | TooLong { .. } | Checksum { .. })
}

/// The index of the first whole record in `bytes`, wherever it begins.
fn whole_after(kind: Kind, bytes: &[u8]) -> Option<u64> {
    let candidates = bytes.windows(HEADER).enumerate().filter(|(_, window)| window.starts_with(&kind.magic));
    let mut whole = candidates.filter_map(|(at, _)| kind.open(&bytes[at..]).ok());
    whole.next().map(|envelope| envelope.numbers[0])
}

/// The file in which the synced length is published, if that is asked for; an old one is removed if it is not, so
/// that nobody cuts by it.
fn publisher(log: &Path) -> Result<Option<File>, LogError> {
    let path = log.with_extension("log.synced");
    if env::var_os(PUBLISH_SYNCED).is_none() {
        let _ = fs::remove_file(&path);
        return Ok(None);
    }
    let open = File::options().write(true).create(true).truncate(false).open(&path);
    open.map(Some).map_err(io_error("create", &path))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A log with entry 0 synced, whose file then becomes `device`, which fails at what is asked of it.
    fn broken_by(device: &str) -> Log<u64> {
        let folder = env::temp_dir().join(format!("gatestage-log-{}-{}", std::process::id(), &device[5..]));
        let _ = fs::remove_dir_all(&folder);
        let owner = Owner { group: "g".to_owned(), node: "n".to_owned(), identity: 1 };
        let mut log = Log::open(&folder, "bans", 1, &owner).expect("a new log");
        log.append(0, &[70]).and_then(|()| log.sync()).expect("on disk");
        log.file = File::options().read(true).write(true).open(device).expect("the device is there");
        log
    }

    /// Nothing is promised after the failure, whatever the system says to a second try.
    fn has_failed(log: &mut Log<u64>, step: &str) {
        assert_eq!((log.next(), log.is_synced()), (1, false), "the entry is taken back");
        let again = [log.append(1, &[72]), log.sync(), log.truncate_from(0), log.purge_to(0)];
        for result in again {
            let error = result.expect_err("a failed log promises nothing more");
            assert!(matches!(&error, LogError::Failed { step: at, .. } if *at == step), "{error}");
        }
    }

    #[test]
    fn a_failed_sync_closes_the_log_and_takes_back_what_was_not_synced() {
        let mut log = broken_by("/dev/null");
        log.append(1, &[71]).expect("the null device takes it");
        let error = log.sync().expect_err("the null device can't be synced");
        assert!(matches!(&error, LogError::Io { step: "sync", .. }), "{error}");
        has_failed(&mut log, "sync");
    }

    #[test]
    fn a_full_device_closes_the_log() {
        let mut log = broken_by("/dev/full");
        let error = log.append(1, &[71]).expect_err("there is no room");
        let LogError::Io { step: "write", source, .. } = &error else { panic!("{error}") };
        assert_eq!(source.kind(), io::ErrorKind::StorageFull);
        has_failed(&mut log, "write");
    }
}
