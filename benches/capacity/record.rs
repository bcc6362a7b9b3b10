//! What a run of the bench measures: one typed sample a line of JSON, one file a series. A run writes the files of
//! its series anew.

use serde::{Deserialize, Serialize};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;
use thiserror::Error;

/// The ending of a series' file.
const ENDING: &str = "jsonl";
/// What the figures of a run depend on: a change in one of these that is not committed makes a snapshot dirty.
const PROGRAM: [&str; 4] = ["src", "benches", "Cargo.toml", "Cargo.lock"];

/// Which lists the measured proxies are served.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub enum Version {
    /// Every proxy holds the platform's whole list.
    #[serde(rename = "whole list")]
    WholeList,
    /// Every proxy holds a view: its services only, and a subset of a large one.
    #[serde(rename = "view")]
    View,
}

impl Version {
    /// Its name in the samples and on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::WholeList => "whole list",
            Self::View => "view",
        }
    }
}

/// The machine that a sample was taken on.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// All of its memory.
    pub memory_gb: f64,
    /// The load average of the last minute when the sample was taken.
    pub load1: f64,
}

impl Machine {
    /// This machine as it is now.
    ///
    /// # Errors
    /// Where the system does not say its cores, memory or load.
    pub fn now() -> Result<Self, RecordError> {
        let memory = read_system("/proc/meminfo")?;
        let memory_kb = memory.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
        let load = read_system("/proc/loadavg")?;
        let load1 = load.split_whitespace().next().and_then(|load| load.parse().ok());
        let (Some(memory_kb), Some(load1)) = (memory_kb, load1) else {
            return Err(RecordError::Machine);
        };
        let cores = std::thread::available_parallelism().map_err(RecordError::Cores)?.get();
        let memory_gb = (memory_kb / 1024.0 / 1024.0 * 10.0).round() / 10.0;
        Ok(Self { cores, memory_gb, load1 })
    }
}

fn read_system(path: &str) -> Result<String, RecordError> {
    fs::read_to_string(path).map_err(|source| RecordError::Read { path: path.into(), source })
}

/// What is measured, and in which unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Its name within the series, such as `memory`.
    pub name: &'static str,
    /// Its unit, such as `MB`.
    pub unit: &'static str,
}

/// One measured value, with all that it takes to judge it or to measure it again.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The series; its file has this name.
    pub series: String,
    /// What was measured.
    pub metric: String,
    /// The unit of `value`.
    pub unit: String,
    /// What `size` counts, such as `backends`.
    pub size_name: String,
    /// The size that was set.
    pub size: u64,
    /// Which of the measurements at this size it is, from 1.
    pub repeat: u32,
    /// What came of it.
    pub value: f64,
    /// The seed of all that was drawn.
    pub seed: u64,
    /// The commit of the program, with `+dirty` where it had changes beyond that.
    pub snapshot: String,
    /// Which lists the proxies were served.
    pub version: Version,
    /// Where and under which load.
    pub machine: Machine,
}

impl Sample {
    /// The slope that this sample belongs to: `series/metric`.
    pub fn slope(&self) -> String {
        format!("{}/{}", self.series, self.metric)
    }
}

/// Why samples can't be written or read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// A file or folder can't be read.
    #[error("cannot read {}: {source}; run the part of the bench that writes it", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file can't be written.
    #[error("cannot write {}: {source}; see that the folder can be written and has room", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line is not a sample.
    #[error("{}, line {line}: {source}; measure the series again", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// Its line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
    /// A sample lies in another series' file.
    #[error("{} holds a sample of series `{series}`; move it to that series' file", path.display())]
    Series {
        /// The file.
        path: PathBuf,
        /// The series that the sample names.
        series: String,
    },
    /// A sample can't be put into JSON.
    #[error("a sample of `{series}` has no JSON: {source}")]
    Form {
        /// The series.
        series: String,
        /// Why.
        source: serde_json::Error,
    },
    /// The system does not say its memory or load.
    #[error("/proc/meminfo or /proc/loadavg is not in the form that Linux gives them")]
    Machine,
    /// The system does not say how many cores there are.
    #[error("the system does not say how many cores there are: {0}")]
    Cores(#[source] io::Error),
    /// Git does not say the commit.
    #[error("git does not say the commit of the program; run the bench within a checkout")]
    Commit,
}

/// The commit of the program in this checkout, with `+dirty` where the program has changes beyond that.
///
/// # Errors
/// Where this is no checkout.
pub fn snapshot() -> Result<String, RecordError> {
    let commit = git(&["rev-parse", "--short=12", "HEAD"])?;
    let changes = git(&[&["status", "--porcelain", "--"], &PROGRAM[..]].concat())?;
    Ok(if changes.is_empty() { commit } else { format!("{commit}+dirty") })
}

fn git(arguments: &[&str]) -> Result<String, RecordError> {
    let output = Command::new("git").current_dir(env!("CARGO_MANIFEST_DIR")).args(arguments).output();
    let output = output.ok().filter(|output| output.status.success()).ok_or(RecordError::Commit)?;
    Ok(String::from_utf8_lossy(&output.stdout).trim().to_owned())
}

/// What all samples of a series share.
#[derive(Clone, Debug)]
pub struct Series {
    /// Its name, which is also that of its file.
    pub name: String,
    /// What its sizes count.
    pub size_name: String,
    /// Which lists the proxies are served.
    pub version: Version,
    /// The seed of all that is drawn.
    pub seed: u64,
    /// The commit of the program.
    pub snapshot: String,
}

/// The samples of one series on their way to its file.
pub struct Recorder {
    series: Series,
    samples: Vec<Sample>,
}

impl Recorder {
    /// A recorder without samples.
    pub fn new(series: Series) -> Self {
        Self { series, samples: Vec::new() }
    }

    /// Adds a measured value.
    ///
    /// # Errors
    /// Where the system does not say its load.
    pub fn add(&mut self, metric: Metric, size: u64, repeat: u32, value: f64) -> Result<(), RecordError> {
        let Series { name, size_name, version, seed, snapshot } = self.series.clone();
        let (unit, metric) = (metric.unit.to_owned(), metric.name.to_owned());
        let machine = Machine::now()?;
        eprintln!("capacity: {name}/{metric}, {size} {size_name}, repeat {repeat}: {value:.6} {unit}");
        let series = name;
        let sample =
            Sample { series, metric, unit, size_name, size, repeat, value, seed, snapshot, version, machine };
        self.samples.push(sample);
        Ok(())
    }

    /// Writes the series' file in this folder anew.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn write(self, folder: &Path) -> Result<(), RecordError> {
        let path = folder.join(&self.series.name).with_extension(ENDING);
        write_samples(&path, &self.samples)
    }
}

/// Writes a file of samples anew.
///
/// # Errors
/// Where the file can't be written.
pub fn write_samples(path: &Path, samples: &[Sample]) -> Result<(), RecordError> {
    let mut text = String::new();
    for sample in samples {
        let line = serde_json::to_string(sample);
        text += &line.map_err(|source| RecordError::Form { series: sample.series.clone(), source })?;
        text.push('\n');
    }
    fs::write(path, text).map_err(|source| RecordError::Write { path: path.into(), source })
}

/// All samples of a folder, in the order of the files' names.
///
/// # Errors
/// Where the folder or a file can't be read, or a line is no sample of that file's series.
pub fn read_folder(folder: &Path) -> Result<Vec<Sample>, RecordError> {
    let unreadable = |source| RecordError::Read { path: folder.into(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|ending| ending == ENDING) {
            paths.push(path);
        }
    }
    paths.sort();
    let mut samples = Vec::new();
    for path in &paths {
        samples.extend(read_file(path)?);
    }
    Ok(samples)
}

fn read_file(path: &Path) -> Result<Vec<Sample>, RecordError> {
    let text = fs::read_to_string(path).map_err(|source| RecordError::Read { path: path.into(), source })?;
    let mut samples = Vec::new();
    for (number, line) in text.lines().enumerate() {
        let wrong = |source| RecordError::Line { path: path.into(), line: number + 1, source };
        let sample: Sample = serde_json::from_str(line).map_err(wrong)?;
        if path.file_stem().is_none_or(|stem| stem != sample.series.as_str()) {
            return Err(RecordError::Series { path: path.into(), series: sample.series });
        }
        samples.push(sample);
    }
    Ok(samples)
}
