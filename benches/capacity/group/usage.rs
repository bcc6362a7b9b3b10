//! What a process uses, as `/proc` says it, and what a folder holds.

use std::path::Path;
use std::time::Duration;
use std::{fs, io};

/// The names of the threads on which the program runs its group.
const GROUP_THREADS: [&str; 2] = ["group", "group-disk"];

/// Processor time that a process has used since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Processor {
    /// On all of its threads.
    pub all: Duration,
    /// On the threads of the group alone.
    pub group: Duration,
}

/// The processor time of a running process. Threads that have ended are not in it; the program keeps those that it
/// begins with.
///
/// # Errors
/// Where the process has ended, or the kernel keeps no times of threads.
pub fn processor(pid: u32) -> io::Result<Processor> {
    let mut used = Processor::default();
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let task = task?.path();
        // A thread may end between the two looks.
        let (Ok(name), Ok(times)) =
            (fs::read_to_string(task.join("comm")), fs::read_to_string(task.join("schedstat")))
        else {
            continue;
        };
        let nanos = times.split_whitespace().next().and_then(|nanos| nanos.parse().ok());
        let time = Duration::from_nanos(nanos.ok_or_else(|| malformed("schedstat"))?);
        used.all += time;
        if GROUP_THREADS.contains(&name.trim()) {
            used.group += time;
        }
    }
    Ok(used)
}

/// The resident memory of a running process, in MB.
///
/// # Errors
/// Where the process has ended.
pub fn memory_mb(pid: u32) -> io::Result<f64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|kb| kb.parse::<f64>().ok());
    Ok(kb.ok_or_else(|| malformed("status"))? / 1024.0)
}

/// The length of all files in a folder, in KB.
///
/// # Errors
/// Where the folder can't be read.
pub fn folder_kb(folder: &Path) -> io::Result<f64> {
    let mut bytes = 0;
    for entry in fs::read_dir(folder)? {
        // The program replaces files by renaming others over them: one may be gone.
        let Ok(file) = entry?.metadata() else { continue };
        if file.is_file() {
            bytes += file.len();
        }
    }
    Ok(bytes as f64 / 1_000.0)
}

fn malformed(what: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("/proc's {what} is not in the form that Linux gives it"),
    )
}
