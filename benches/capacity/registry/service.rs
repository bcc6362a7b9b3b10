//! The list service as a process: `gatestage registry`.

use super::members::Contents;
use crate::usage::{Usage, UsageError};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{io, thread};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gatestage");
const LISTENS: &str = "registry listens on ";
const START_WITHIN: Duration = Duration::from_secs(20);
const LOOK_EVERY: Duration = Duration::from_millis(1);

/// The running list service. Dropping it ends the process.
pub struct ListService {
    folder: PathBuf,
    contents: Contents,
    child: Child,
}

impl ListService {
    /// Starts it with its file in this folder; it listens at a port that the kernel gives, and keeps it from then on.
    ///
    /// # Errors
    /// When the file can't be written or the process does not come up.
    pub fn start(folder: &Path, contents: Contents) -> io::Result<Self> {
        contents.write(&file(folder))?;
        let child = spawn(folder)?;
        let mut service = Self { folder: folder.to_owned(), contents, child };
        service.contents.listen = service.wait_until_up()?;
        Ok(service)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.contents.listen
    }

    /// What it has used since its (latest) start.
    ///
    /// # Errors
    /// When the process is gone.
    pub fn usage(&self) -> Result<Usage, UsageError> {
        Usage::of(self.child.id())
    }

    /// Writes the file anew, without a word to the process.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn rewrite(&mut self, change: super::members::Change) -> io::Result<()> {
        self.contents.change = change;
        self.contents.revision += 1;
        self.contents.write(&file(&self.folder))
    }

    /// Has it read its file again.
    ///
    /// # Errors
    /// When the process is gone.
    pub fn reload(&self) -> io::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::HUP).map_err(io::Error::from)
    }

    /// Kills it, as a crash of its machine would.
    ///
    /// # Errors
    /// When it can't be signalled.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Starts it again after [`ListService::kill`], from the file as it now is and at the same address.
    ///
    /// # Errors
    /// When it does not come up.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.folder)?;
        self.wait_until_up().map(drop)
    }

    /// Waits for the line that says where it listens.
    fn wait_until_up(&mut self) -> io::Result<SocketAddr> {
        let begun = Instant::now();
        while begun.elapsed() < START_WITHIN {
            let log = fs::read_to_string(log(&self.folder))?;
            let line =
                log.lines().find_map(|line| line.strip_prefix(LISTENS)).filter(|_| log.ends_with('\n'));
            if let Some(address) = line.and_then(|line| line.split(',').next()) {
                return address.parse().map_err(io::Error::other);
            }
            if self.child.try_wait()?.is_some() {
                return Err(io::Error::other(format!("the list service ended: {log}")));
            }
            thread::sleep(LOOK_EVERY);
        }
        Err(io::Error::other("the list service did not say in time that it listens"))
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn file(folder: &Path) -> PathBuf {
    folder.join("registry.toml")
}

fn log(folder: &Path) -> PathBuf {
    folder.join("registry.log")
}

fn spawn(folder: &Path) -> io::Result<Child> {
    let log = File::create(log(folder))?;
    Command::new(PROGRAM)
        .arg("registry")
        .arg("--config")
        .arg(file(folder))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
