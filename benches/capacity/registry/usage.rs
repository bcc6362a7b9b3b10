//! What a process has used, from /proc.

use std::{fs, io};

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
    pub fn of(pid: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let io = fs::read_to_string(format!("/proc/{pid}/io"))?;
        Ok(Self {
            cpu_s: cpu_s(pid)?,
            memory: field(&status, "VmRSS:")? * 1024.0,
            written: field(&io, "wchar:")?,
        })
    }

    /// Of several processes together.
    ///
    /// # Errors
    /// As [`Usage::of`].
    pub fn of_all(pids: impl Iterator<Item = u32>) -> io::Result<Self> {
        pids.map(Self::of).try_fold(Self::default(), |sum, one| {
            let one = one?;
            let (cpu_s, memory) = (sum.cpu_s + one.cpu_s, sum.memory + one.memory);
            Ok(Self { cpu_s, memory, written: sum.written + one.written })
        })
    }
}

/// The time on a processor of all threads that still run. The scheduler counts it in nanoseconds; utime and stime,
/// its parts, are told in hundredths of a second only.
fn cpu_s(pid: u32) -> io::Result<f64> {
    let mut nanoseconds = 0.0;
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        nanoseconds += number(text.split_whitespace().next(), "schedstat")?;
    }
    Ok(nanoseconds / 1e9)
}

fn field(text: &str, name: &str) -> io::Result<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    number(line.and_then(|line| line.split_whitespace().next()), name)
}

fn number(word: Option<&str>, name: &str) -> io::Result<f64> {
    let number = word.and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::Error::other(format!("/proc does not give `{name}` as a number")))
}
