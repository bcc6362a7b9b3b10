//! Processes of the program that the bench starts, and what the system says of their memory and processor time.

use crate::usage::{self, UsageError};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// What both parts say before the address that they listen on.
const LISTENS: &str = "listens on ";

/// Why a process can't be measured.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It can't be started.
    #[error("cannot start {name}: {source}; see that the program is built and that `ulimit -u` leaves room")]
    Start {
        /// The process.
        name: String,
        /// Why.
        source: io::Error,
    },
    /// It ended before it listened.
    #[error("{name} ended before it listened; {} says why", log.display())]
    Ended {
        /// The process.
        name: String,
        /// Its log.
        log: PathBuf,
    },
    /// The system does not say what it uses.
    #[error("the system does not say what {name} uses: {source}")]
    Usage {
        /// The process.
        name: String,
        /// Why.
        source: UsageError,
    },
    /// A signal can't be sent.
    #[error("cannot signal {name}: {source}; its log says whether it ended")]
    Signal {
        /// The process.
        name: String,
        /// Why.
        source: rustix::io::Errno,
    },
}

/// A running process of the program; it is killed when this is dropped.
pub struct Process {
    name: String,
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Process {
    /// Starts the list service with this configuration; its log goes beside it.
    ///
    /// # Errors
    /// Where it can't be started or does not come to listen.
    pub fn registry(name: &str, config: &Path) -> Result<Self, ProcessError> {
        let mut command = program();
        command.args(["registry", "--config"]).arg(config);
        Self::start(name, command, &config.with_extension("log"))
    }

    /// Starts a proxy with the JSON configuration `config`, and the TOML beside it if there is one. Its log goes
    /// beside the configuration, its own files into `home`.
    ///
    /// # Errors
    /// Where it can't be started or does not come to listen.
    pub fn proxy(
        name: &str,
        config: &Path,
        beside: Option<&Path>,
        home: &Path,
    ) -> Result<Self, ProcessError> {
        let mut command = program();
        command.arg("proxy").env("EDGE_CONFIG", config).env("TMPDIR", home);
        if let Some(beside) = beside {
            command.env("GATESTAGE_CONFIG", beside);
        }
        Self::start(name, command, &config.with_extension("log"))
    }

    fn start(name: &str, mut command: Command, log: &Path) -> Result<Self, ProcessError> {
        let failed = |source| ProcessError::Start { name: name.to_owned(), source };
        let file = File::create(log).map_err(failed)?;
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(failed)?;
        let said = child.stderr.take().map(BufReader::new);
        let address = said.and_then(|said| address_said(said, file));
        let Some(address) = address else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(ProcessError::Ended { name: name.to_owned(), log: log.to_owned() });
        };
        Ok(Self { name: name.to_owned(), child, address })
    }

    /// Sends SIGHUP: the process reads its configuration again.
    ///
    /// # Errors
    /// Where it has ended.
    pub fn hang_up(&self) -> Result<(), ProcessError> {
        kill_process(Pid::from_child(&self.child), Signal::HUP)
            .map_err(|source| ProcessError::Signal { name: self.name.clone(), source })
    }

    /// Its resident memory, in megabytes of 2^20 bytes.
    ///
    /// # Errors
    /// Where the system does not say it.
    pub fn resident_mb(&self) -> Result<f64, ProcessError> {
        usage::resident_mb(self.child.id()).map_err(|source| self.unknown(source))
    }

    /// The most memory that it was resident with so far, in megabytes of 2^20 bytes.
    ///
    /// # Errors
    /// Where the system does not say it.
    pub fn peak_resident_mb(&self) -> Result<f64, ProcessError> {
        usage::peak_resident_mb(self.child.id()).map_err(|source| self.unknown(source))
    }

    /// The processor time that its threads have used so far, in user and system mode.
    ///
    /// # Errors
    /// Where the system does not say it.
    pub fn processor_time(&self) -> Result<Duration, ProcessError> {
        usage::processor_time(self.child.id()).map_err(|source| self.unknown(source))
    }

    fn unknown(&self, source: UsageError) -> ProcessError {
        ProcessError::Usage { name: self.name.clone(), source }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_gatestage"))
}

/// Reads the log up to the line that says where the process listens; all of it goes to the file.
fn address_said(mut said: BufReader<ChildStderr>, mut file: File) -> Option<SocketAddr> {
    let mut line = String::new();
    loop {
        line.clear();
        if said.read_line(&mut line).ok()? == 0 {
            return None;
        }
        io::Write::write_all(&mut file, line.as_bytes()).ok()?;
        let Some((_, rest)) = line.split_once(LISTENS) else { continue };
        let end = rest.find([',', ' ', '\n']).unwrap_or(rest.len());
        let address = rest[..end].parse().ok()?;
        thread::spawn(move || io::copy(&mut said, &mut file));
        return Some(address);
    }
}
