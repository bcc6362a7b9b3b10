//! What faults do to a dead process's folder: a lost disk leaves it empty, a power loss takes what was written and
//! not synced.
//!
//! A writer that wants its unsynced tail to be lost publishes, in `NAME.log.synced` beside its `NAME.log`, how many
//! bytes of it are on disk (8 bytes, little-endian; the checked log does, see
//! [`crate::store::PUBLISH_SYNCED`]). Files without one are left whole.

use std::fs::{self, File};
use std::io;
use std::path::Path;

/// The deepest that folders are searched.
const DEEPEST: usize = 8;

/// Empties a folder: it is there, with nothing in it.
///
/// # Errors
/// When it can't be removed or made.
pub fn wipe(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => fs::create_dir_all(folder),
    }
}

/// Cuts every `*.log` under a folder to the length that its writer has published as synced.
///
/// # Errors
/// When a folder can't be read or a file can't be cut.
pub fn cut_unsynced(folder: &Path) -> io::Result<()> {
    cut_within(folder, DEEPEST)
}

fn cut_within(folder: &Path, deeper: usize) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let (path, kind) = (entry.path(), entry.file_type()?);
        if kind.is_dir() && deeper > 0 {
            cut_within(&path, deeper - 1)?;
        } else if kind.is_file() && path.extension().is_some_and(|e| e == "log") {
            cut(&path)?;
        }
    }
    Ok(())
}

/// Cuts one log, if its writer has published a length that is shorter.
fn cut(log: &Path) -> io::Result<()> {
    let published = fs::read(log.with_extension("log.synced")).ok().and_then(|b| <[u8; 8]>::try_from(b).ok());
    let Some(synced) = published.map(u64::from_le_bytes) else { return Ok(()) };
    let file = File::options().write(true).open(log)?;
    if file.metadata()?.len() > synced {
        file.set_len(synced)?;
    }
    Ok(())
}
