//! What a process uses, from `/proc`: processor time by thread, resident memory, and bytes written.

use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};
use thiserror::Error;

const KIBIBYTE: f64 = 1024.0;

/// Why the usage of a process is not known.
#[derive(Debug, Error)]
pub enum UsageError {
    /// A file of the process can't be read.
    #[error("cannot read {}: {source}; the log of the process says whether it ended", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file of the process lacks a number.
    #[error("{} does not give `{field}` as a number; the log of the process says whether it ended", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What was looked for in it.
        field: &'static str,
    },
}

/// What a process has used so far, and holds now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time of all its threads, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in bytes.
    pub memory: f64,
    /// Bytes written by `write` and `writev`, to sockets and files alike.
    pub written: f64,
}

impl Usage {
    /// Of one process.
    ///
    /// # Errors
    /// When it is gone, or the kernel does not say.
    pub fn of(pid: u32) -> Result<Self, UsageError> {
        Ok(Self {
            cpu_s: processor_time(pid)?.as_secs_f64(),
            memory: resident_kib(pid)? * KIBIBYTE,
            written: field(&process_folder(pid).join("io"), "wchar:")?,
        })
    }

    /// Of several processes together.
    ///
    /// # Errors
    /// As [`Usage::of`].
    pub fn of_all(pids: impl Iterator<Item = u32>) -> Result<Self, UsageError> {
        pids.map(Self::of).try_fold(Self::default(), |sum, one| Ok(sum.plus(one?)))
    }

    fn plus(self, other: Self) -> Self {
        Self {
            cpu_s: self.cpu_s + other.cpu_s,
            memory: self.memory + other.memory,
            written: self.written + other.written,
        }
    }
}

/// The processor time that one thread of a process has used.
#[derive(Clone, Debug)]
pub struct ThreadTime {
    /// The thread's name.
    pub name: String,
    /// Its time in user and system mode.
    pub time: Duration,
}

/// The resident memory of a process, in megabytes of 2^20 bytes.
///
/// # Errors
/// When it is gone, or the kernel does not say.
pub fn resident_mb(pid: u32) -> Result<f64, UsageError> {
    Ok(resident_kib(pid)? / KIBIBYTE)
}

/// The most memory that a process was resident with, in megabytes of 2^20 bytes.
///
/// # Errors
/// When it is gone, or the kernel does not say.
pub fn peak_resident_mb(pid: u32) -> Result<f64, UsageError> {
    Ok(field(&process_folder(pid).join("status"), "VmHWM:")? / KIBIBYTE)
}

/// The processor time of all threads of a process, as [`thread_times`] gives it.
///
/// # Errors
/// As [`thread_times`].
pub fn processor_time(pid: u32) -> Result<Duration, UsageError> {
    Ok(thread_times(pid)?.iter().map(|thread| thread.time).sum())
}

/// The processor time of each thread that still runs; those that have ended are not in it. The scheduler counts it in
/// nanoseconds; `utime` and `stime` of `/proc/PID/stat` are the same time in ticks of 10 ms.
///
/// # Errors
/// When the process is gone, or the kernel keeps no times of threads.
pub fn thread_times(pid: u32) -> Result<Vec<ThreadTime>, UsageError> {
    let tasks = process_folder(pid).join("task");
    let mut times = Vec::new();
    for task in fs::read_dir(&tasks).map_err(|source| unreadable(&tasks, source))? {
        let task = task.map_err(|source| unreadable(&tasks, source))?.path();
        match thread_time(&task) {
            Ok(time) => times.push(time),
            // It ended after the folder was listed.
            Err(UsageError::Read { .. }) if !task.exists() => {}
            Err(error) => return Err(error),
        }
    }
    Ok(times)
}

fn thread_time(task: &Path) -> Result<ThreadTime, UsageError> {
    let name = read(&task.join("comm"))?.trim().to_owned();
    let path = task.join("schedstat");
    let text = read(&path)?;
    let nanoseconds = text.split_whitespace().next().and_then(|word| word.parse().ok());
    let nanoseconds = nanoseconds.ok_or(UsageError::Malformed { path, field: "time on the processor" })?;
    Ok(ThreadTime { name, time: Duration::from_nanos(nanoseconds) })
}

/// Resident memory, in units of 1024 bytes as the kernel gives it.
fn resident_kib(pid: u32) -> Result<f64, UsageError> {
    field(&process_folder(pid).join("status"), "VmRSS:")
}

fn process_folder(pid: u32) -> PathBuf {
    PathBuf::from(format!("/proc/{pid}"))
}

/// The number after `field` at the beginning of a line.
fn field(path: &Path, field: &'static str) -> Result<f64, UsageError> {
    let text = read(path)?;
    let rest = text.lines().find_map(|line| line.strip_prefix(field));
    let number = rest.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| UsageError::Malformed { path: path.to_owned(), field })
}

fn read(path: &Path) -> Result<String, UsageError> {
    fs::read_to_string(path).map_err(|source| unreadable(path, source))
}

fn unreadable(path: &Path, source: io::Error) -> UsageError {
    UsageError::Read { path: path.to_owned(), source }
}
