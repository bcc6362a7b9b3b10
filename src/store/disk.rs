//! Files that are replaced whole: written beside, synced, renamed into place, the folder synced.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// How old a temporary file must be to be taken for one that a killed writer left.
const STALE_TEMPORARY: Duration = Duration::from_secs(60);
/// The last step of [`replace`]; when it fails, the new file is in place, but may not outlast a power loss.
pub(super) const SYNC_FOLDER: &str = "sync folder";

/// A write that did not complete; the snapshots already stored are untouched.
#[derive(Debug, Error)]
#[error(
    "snapshot not stored: {step} {}: {error}; see that the disk has room and that the folder is this program's \
     to write",
    path.display()
)]
pub struct WriteError {
    /// The step that failed: `encode`, `create`, `write`, `sync`, `rename`, `sync folder` or `list`.
    pub step: &'static str,
    /// The file or folder it failed on.
    pub path: PathBuf,
    /// The cause.
    #[source]
    pub error: io::Error,
}

/// Turns an `io::Error` of `step` on `path` into a [`WriteError`].
pub(super) fn fail(step: &'static str, path: &Path) -> impl FnOnce(io::Error) -> WriteError {
    let path = path.to_path_buf();
    move |error| WriteError { step, path, error }
}

/// Checks that files can be named after `name` (a file name's stem: no `/`, no `.`, not empty, 200 bytes at most).
///
/// # Errors
/// `InvalidInput` for one that can't.
pub(super) fn check_stem(name: &str) -> io::Result<()> {
    if !name.is_empty() && !name.contains(['/', '.', '\0']) && name.len() <= 200 {
        return Ok(());
    }
    Err(io::Error::new(io::ErrorKind::InvalidInput, format!("no file can be named after {name:?}")))
}

/// Makes `bytes` the content of `folder/file`: after a crash or a power loss at any time the file is the old one
/// or the new one, whole. Gives the new file, open for reading and writing.
///
/// # Errors
/// The step that failed, a temporary file left by it removed. Only after [`SYNC_FOLDER`] failed is the new file
/// in place nevertheless.
pub(super) fn replace(folder: &Path, file: &str, bytes: &[u8]) -> Result<File, WriteError> {
    let temporary = folder.join(format!("{file}.{}.tmp", std::process::id()));
    let path = folder.join(file);
    let placed = write_synced(&temporary, bytes)
        .and_then(|open| fs::rename(&temporary, &path).map(|()| open).map_err(fail("rename", &path)));
    if placed.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    let open = placed?;
    sync_folder(folder)?;
    Ok(open)
}

/// Syncs what files are in `folder`, under which names.
pub(super) fn sync_folder(folder: &Path) -> Result<(), WriteError> {
    File::open(folder).and_then(|open| open.sync_all()).map_err(fail(SYNC_FOLDER, folder))
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<File, WriteError> {
    let open = File::options().read(true).write(true).create(true).truncate(true).open(path);
    let mut file = open.map_err(fail("create", path))?;
    file.write_all(bytes).map_err(fail("write", path))?;
    file.sync_all().map_err(fail("sync", path))?;
    Ok(file)
}

/// Removes temporary files that a writer of `stem` killed mid-write left over a minute ago (a write takes
/// milliseconds, and the one in hand is younger); what cannot be removed now is removed by a later call.
pub(super) fn remove_stale_temporaries(folder: &Path, stem: &str) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    let prefix = format!("{stem}.");
    for entry in entries.flatten() {
        let name = entry.file_name();
        let ours = name.to_str().is_some_and(|n| n.starts_with(&prefix) && n.ends_with(".tmp"));
        let age = entry.metadata().and_then(|m| m.modified()).ok().and_then(|t| t.elapsed().ok());
        if ours && age.is_some_and(|age| age > STALE_TEMPORARY) {
            let _ = fs::remove_file(entry.path());
        }
    }
}
