//! The processes of hollow proxies, as the bench holds them: this program again with a private argument.

use super::Options;
use super::hollow::{Bank, Question, Reply};
use crate::record::Version;
use crate::usage::{Usage, UsageError};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// The argument that makes this program a process of hollow proxies; a [`Bank`] in JSON follows it.
pub const ARGUMENT: &str = "hollow-proxies";
/// The most processes: beyond them each runs more proxies.
const PROCESSES: usize = 4;
const THREADS: usize = 2;
/// The fewest proxies that are worth a process.
const PROXIES: usize = 50;

/// All processes of hollow proxies. Dropping it ends them.
pub struct Hollows {
    processes: Vec<Process>,
}

struct Process {
    child: Child,
    questions: ChildStdin,
    replies: BufReader<ChildStdout>,
}

/// When each proxy that a question concerned saw it come true.
#[derive(Clone, Debug)]
pub struct Seen {
    /// In Unix microseconds, in order.
    pub times: Vec<u64>,
}

impl Hollows {
    /// Starts this many hollow proxies at the list service.
    ///
    /// # Errors
    /// When a process can't be started.
    pub fn start(
        list: SocketAddr,
        proxies: usize,
        options: Options,
        seed: u64,
        folder: &Path,
    ) -> io::Result<Self> {
        let processes = (proxies / PROXIES).clamp(1, PROCESSES);
        let first = |process: usize| proxies * process / processes;
        let bank = |process: usize| Bank {
            list,
            first: first(process),
            count: first(process + 1) - first(process),
            threads: THREADS,
            all: proxies,
            mode: options.mode,
            view: options.version == Version::View,
            seed,
        };
        let start =
            |process: usize| Process::start(&bank(process), &folder.join(format!("hollow-{process}.log")));
        Ok(Self { processes: (0..processes).map(start).collect::<io::Result<_>>()? })
    }

    /// Asks all proxies, has `act` done once all of them look, and gives what they saw.
    ///
    /// # Errors
    /// When a process does not answer, `act` fails, or a proxy has not seen in time what it was asked for.
    pub fn ask(&mut self, question: &Question, act: impl FnOnce() -> io::Result<()>) -> io::Result<Seen> {
        self.processes.iter_mut().try_for_each(|process| process.ask(question))?;
        let mut looking = 0;
        for process in &mut self.processes {
            let Reply::Looking(count) = process.reply()? else { return Err(out_of_turn()) };
            looking += count;
        }
        act()?;
        let mut times = Vec::new();
        for process in &mut self.processes {
            let Reply::Seen(some) = process.reply()? else { return Err(out_of_turn()) };
            times.extend(some);
        }
        if times.len() != looking || looking == 0 {
            let problem = format!("{} of {looking} proxies saw in time: {question:.80?}", times.len());
            return Err(io::Error::other(problem));
        }
        times.sort_unstable();
        Ok(Seen { times })
    }

    /// What all of them have used.
    ///
    /// # Errors
    /// When one is gone.
    pub fn usage(&self) -> Result<Usage, UsageError> {
        Usage::of_all(self.processes.iter().map(|process| process.child.id()))
    }
}

impl Process {
    fn start(bank: &Bank, log: &Path) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg(ARGUMENT)
            .arg(serde_json::to_string(bank)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(log)?)
            .spawn()?;
        let (Some(questions), Some(replies)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(io::Error::other("a process was started without its pipes"));
        };
        Ok(Self { child, questions, replies: BufReader::new(replies) })
    }

    fn ask(&mut self, question: &Question) -> io::Result<()> {
        writeln!(self.questions, "{}", serde_json::to_string(question)?)?;
        self.questions.flush()
    }

    fn reply(&mut self) -> io::Result<Reply> {
        let mut line = String::new();
        self.replies.read_line(&mut line)?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn out_of_turn() -> io::Error {
    io::Error::other("a process of hollow proxies answered out of turn")
}
