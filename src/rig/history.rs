//! The history of a run: every operator's call with its answer, everything the rig does to a process or sees of
//! it, and the acts that the processes log themselves, on one monotonic clock.
//!
//! One writer holds the entries in memory while the run lasts and writes them, in the order of their times, as
//! JSON lines to `history.jsonl`. Entries are few (calls, faults, acts); what reached a backend goes in only while
//! a ban forbids it, so that the file stays small. The checker ([`super::checker`]) judges nothing but these entries.

use super::error::RigError;
use super::procs::Process;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use thiserror::Error;

/// The name of the file in the folder of the run.
pub const FILE: &str = "history.jsonl";
/// The most entries a run keeps; one that would have more ends with [`What::Truncated`], which no check takes for
/// a whole history.
pub const MOST_ENTRIES: usize = 1_000_000;
/// The longest line of a process's log that is read as an act, in bytes.
const LINE_CAP: usize = 64 * 1024;
/// The most of one log that is read at a time, in bytes.
const READ_CAP: u64 = 1 << 20;

/// One line of the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, was over or was seen, in microseconds from the start of the run.
    pub at_us: u64,
    /// What it was.
    #[serde(flatten)]
    pub what: What,
}

/// What an entry says. Times are microseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum What {
    /// The run began.
    Run {
        /// The scenario's name.
        scenario: String,
        /// Whether the proxies share their bans: one register for all of them, else one for each.
        group: bool,
    },
    /// The clients' load began: second 0 of the report.
    Load,
    /// A process was started.
    Start {
        /// Its name: `proxy-N` or `registry`.
        node: String,
        /// Its process id.
        pid: u32,
    },
    /// A process was seen to have ended.
    End {
        /// Its name.
        node: String,
        /// Its process id.
        pid: u32,
    },
    /// The rig did this to a process, a relay or a backend.
    Fault {
        /// What and to whom, as the report says it.
        what: String,
    },
    /// An operator's call, noted at its end.
    Call {
        /// Its number in the run.
        call: u64,
        /// When it began.
        start_us: u64,
        /// The proxy that was called.
        node: String,
        /// The line of the call.
        line: String,
        /// How it ended.
        ended: Ending,
    },
    /// What a proxy's store of bans was seen to hold, noted at the end of the look.
    Read {
        /// When the look began.
        start_us: u64,
        /// The proxy whose store it is.
        node: String,
        /// The backends banned there.
        banned: BTreeSet<String>,
    },
    /// A JSON object with a key `event` that a process wrote to its log.
    Act {
        /// The process.
        node: String,
        /// Its process id.
        pid: u32,
        /// It was not there yet at this time, so it was written between here and `at_us`.
        after_us: u64,
        /// The object.
        line: Value,
    },
    /// A request reached the relay before a backend that a ban forbids to the proxy that sent it.
    Sent {
        /// The backend.
        backend: String,
        /// The proxy, where it is known.
        node: Option<String>,
        /// The request's `X-Correlation-Id`.
        id: String,
    },
    /// What reached all backends in the run, probes aside.
    Reached {
        /// How many requests.
        requests: u64,
    },
    /// The load and its calls were over; the rig ends the processes.
    Over,
    /// The run had more entries than are kept: the rest is missing.
    Truncated,
}

/// How an operator's call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// With this line.
    Answer(String),
    /// No connection came up: nothing was asked.
    Unreachable(String),
    /// The connection broke after the call was sent.
    Broke(String),
    /// No answer in time.
    TimedOut,
}

/// A line of a history is no entry.
#[derive(Debug, Error)]
#[error("line {line} of the history is no entry: {source}; take the file as a run left it")]
pub struct HistoryError {
    /// The line, from 1.
    pub line: usize,
    /// Why.
    pub source: serde_json::Error,
}

/// The one writer of a run's history. Clones share it.
#[derive(Clone, Debug)]
pub struct History {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl History {
    /// A history that begins now.
    #[must_use]
    pub fn begin(scenario: &str, group: bool) -> Self {
        let history = Self { began: Instant::now(), entries: Arc::default() };
        history.note(What::Run { scenario: scenario.to_owned(), group });
        history
    }

    /// Microseconds from the start of the run to now.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.us(Instant::now())
    }

    /// Microseconds from the start of the run to `at`; 0 for anything before.
    #[must_use]
    pub fn us(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.began).as_micros() as u64
    }

    /// Notes what happened just now.
    pub fn note(&self, what: What) {
        self.note_at(self.now_us(), what);
    }

    /// Notes what happened at `at_us`.
    pub fn note_at(&self, at_us: u64, what: What) {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner());
        match entries.len() {
            n if n < MOST_ENTRIES => entries.push(Entry { at_us, what }),
            MOST_ENTRIES => entries.push(Entry { at_us, what: What::Truncated }),
            _ => {}
        }
    }

    /// Everything noted so far, in the order of the times.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = self.entries.lock().unwrap_or_else(|e| e.into_inner()).clone();
        entries.sort_by_key(|entry| entry.at_us);
        entries
    }

    /// Writes `history.jsonl` into `out`.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn write(&self, out: &Path) -> Result<(), RigError> {
        let path = out.join(FILE);
        let write = |file: File| {
            let mut file = io::BufWriter::new(file);
            for entry in self.entries() {
                serde_json::to_writer(&mut file, &entry)?;
                io::Write::write_all(&mut file, b"\n")?;
            }
            io::Write::flush(&mut file)
        };
        File::create(&path).and_then(write).map_err(RigError::write(&path))
    }
}

/// Reads a history as [`History::write`] leaves it.
///
/// # Errors
/// When a line is no entry.
pub fn parse(text: &str) -> Result<Vec<Entry>, HistoryError> {
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let entry = |(n, line)| serde_json::from_str(line).map_err(|source| HistoryError { line: n + 1, source });
    lines.map(entry).collect()
}

/// A start of a process, as the rig made it.
#[derive(Clone, Copy, Debug)]
pub struct Launch {
    /// When.
    pub at: Instant,
    /// The process id.
    pub pid: u32,
    /// How long its log was before: what is in the log from there on, this process wrote.
    pub log_from: u64,
}

/// Follows the logs of the run's processes, their starts and their ends, into the history.
#[derive(Debug)]
pub struct Follower {
    history: History,
    out: PathBuf,
    logs: Vec<Log>,
}

/// What has been seen of one process.
#[derive(Debug)]
struct Log {
    node: String,
    file: Option<File>,
    /// How far the log was read, and the whole lines' end.
    read: u64,
    /// The beginning of a line whose end is not there yet, and when none of it was there.
    rest: Vec<u8>,
    rest_after_us: u64,
    /// The last time that the log was read to its end.
    seen_us: u64,
    /// How many of its starts are noted, and whether the last one's end is.
    starts: usize,
    ended: bool,
}

impl Follower {
    /// Follows processes whose logs are in `out`.
    #[must_use]
    pub fn new(history: History, out: &Path) -> Self {
        Self { history, out: out.to_owned(), logs: Vec::new() }
    }

    /// Takes in what is new of this process. It never waits.
    pub fn look(&mut self, process: &mut Process) {
        let n = self.logs.iter().position(|log| log.node == process.name).unwrap_or_else(|| {
            self.logs.push(Log::new(&process.name, process.launches.first().map_or(0, |l| l.log_from)));
            self.logs.len() - 1
        });
        let running = process.running();
        let log = &mut self.logs[n];
        for launch in &process.launches[log.starts..] {
            // It is started again only once it has ended, though that end was not seen.
            if let (false, Some(before)) = (log.ended, log.starts.checked_sub(1)) {
                let end = What::End { node: log.node.clone(), pid: process.launches[before].pid };
                self.history.note_at(self.history.us(launch.at), end);
            }
            let start = What::Start { node: log.node.clone(), pid: launch.pid };
            self.history.note_at(self.history.us(launch.at), start);
            (log.starts, log.ended) = (log.starts + 1, false);
        }
        log.take(&self.history, &self.out, &process.launches);
        if let (false, false, Some(launch)) = (running, log.ended, process.launches.last()) {
            log.ended = true;
            self.history.note(What::End { node: log.node.clone(), pid: launch.pid });
        }
    }
}

impl Log {
    fn new(node: &str, from: u64) -> Self {
        Self {
            node: node.to_owned(),
            file: None,
            read: from,
            rest: Vec::new(),
            rest_after_us: 0,
            seen_us: 0,
            starts: 0,
            ended: false,
        }
    }

    /// Reads what is new in the log and notes the acts in it.
    fn take(&mut self, history: &History, out: &Path, launches: &[Launch]) {
        if self.file.is_none() {
            self.file = File::open(out.join(format!("{}.log", self.node))).ok();
        }
        let Some(file) = self.file.as_mut() else { return };
        let looked_us = history.now_us();
        let mut bytes = Vec::new();
        let read =
            file.seek(SeekFrom::Start(self.read)).and_then(|_| file.take(READ_CAP).read_to_end(&mut bytes));
        if read.is_err() {
            return;
        }
        let seen_us = history.now_us();
        for byte in &bytes {
            self.read += 1;
            if self.rest.is_empty() {
                self.rest_after_us = self.seen_us;
            }
            if *byte != b'\n' {
                if self.rest.len() < LINE_CAP {
                    self.rest.push(*byte);
                }
                continue;
            }
            let from = self.read - 1;
            let pid = launches.iter().rev().find(|launch| launch.log_from <= from).map_or(0, |l| l.pid);
            if let Some(line) = act(&self.rest) {
                let what = What::Act { node: self.node.clone(), pid, after_us: self.rest_after_us, line };
                history.note_at(seen_us, what);
            }
            self.rest.clear();
        }
        if (bytes.len() as u64) < READ_CAP {
            self.seen_us = looked_us;
        }
    }
}

/// The act in a line of a log, if it is one.
fn act(line: &[u8]) -> Option<Value> {
    if line.first() != Some(&b'{') || line.len() >= LINE_CAP {
        return None;
    }
    let value: Value = serde_json::from_slice(line).ok()?;
    value.get("event")?.is_string().then_some(value)
}

/// How long the log of a process is; 0 before its first start.
pub fn log_length(path: &Path) -> u64 {
    fs::metadata(path).map_or(0, |file| file.len())
}

/// What came in at a relay.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// When.
    pub at: Instant,
    /// The `X-Correlation-Id` of the request whose head it begins with; `None` where it is no such head.
    pub id: Option<Box<str>>,
}

impl Arrived {
    /// A chunk that comes in now.
    #[must_use]
    pub fn of(chunk: &[u8]) -> Self {
        Self { at: Instant::now(), id: correlation_id(chunk).map(Into::into) }
    }
}

/// The request's id in a head.
fn correlation_id(chunk: &[u8]) -> Option<&str> {
    let lines = chunk.split(|&b| b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    // The head ends with an empty line; what is in a body is no field.
    let mut fields = lines.skip(1).take_while(|line| !line.is_empty());
    fields.find_map(|line| {
        let colon = line.iter().position(|&b| b == b':')?;
        let named = line[..colon].eq_ignore_ascii_case(b"x-correlation-id");
        named.then(|| std::str::from_utf8(&line[colon + 1..]).ok().map(str::trim)).flatten()
    })
}
