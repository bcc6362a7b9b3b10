//! One proxy of a group as a process of the program: one that keeps its addresses and files when it starts again.

use crate::setup::proxy_name;
use serde::Deserialize;
use serde_json::json;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How long one answer is waited for.
const ANSWER_WITHIN: Duration = Duration::from_secs(5);
/// The line that begins a yes to an operator.
const YES: &str = "200 ";

/// How a machine stands in its group, of what it says of itself.
#[derive(Debug, Deserialize)]
pub struct Report {
    /// Where it stands.
    pub status: Standing,
    /// The backends that are banned.
    pub bans: Vec<String>,
    /// Whether a leader has confirmed them since it started.
    pub bans_known: bool,
}

impl Report {
    /// Whether it has a vote.
    pub fn votes(&self) -> bool {
        matches!(self.status.state.as_str(), "leader" | "follower")
    }
}

/// The part of [`Report`] that the consensus gives.
#[derive(Debug, Deserialize)]
pub struct Standing {
    /// `leader`, `follower`, `learner` and others.
    pub state: String,
    /// The leader's name, where one is known.
    pub leader: Option<String>,
}

/// Addresses that nobody else takes: ports that the kernel gave out on an address of this run's own.
///
/// # Errors
/// When a port can't be had.
pub fn free_addresses(host: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let held = (0..count).map(|_| TcpListener::bind((host, 0))).collect::<io::Result<Vec<_>>>()?;
    held.iter().map(TcpListener::local_addr).collect()
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

/// The name of the machine with this number.
pub fn name(number: usize) -> String {
    proxy_name(number as u64)
}

/// The id of a backend, as the list service lists it.
fn backend(number: usize) -> String {
    format!("s-{number}")
}

/// A process of the program, ended when it is dropped.
struct Program {
    command: Command,
    log: PathBuf,
    child: Option<Child>,
}

impl Program {
    fn new(arguments: &[&str], log: PathBuf) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gatestage"));
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::null());
        Self { command, log, child: None }
    }

    fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.child = Some(self.command.stderr(log).spawn()?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where a machine is reached, and whom it calls.
pub struct Seat<'a> {
    /// Its number.
    pub number: usize,
    /// Where clients, operators and its peers (behind their relay) reach it.
    pub addresses: [SocketAddr; 3],
    /// The list service.
    pub list: SocketAddr,
    /// Where each machine of the group is called, by number: its relay.
    pub relays: &'a [SocketAddr],
    /// How many of them vote, from the first.
    pub voters: usize,
    /// The seed of what the proxy draws.
    pub seed: u64,
}

/// One proxy of a group.
pub struct Machine {
    /// Its name in the group.
    pub name: String,
    home: PathBuf,
    clients: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    program: Program,
}

impl Machine {
    /// Writes its configuration under `folder`.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn prepare(folder: &Path, seat: &Seat<'_>) -> io::Result<Self> {
        let name = name(seat.number);
        let home = folder.join(&name);
        fs::create_dir_all(home.join("tmp"))?;
        let [clients, operators, peers] = seat.addresses;
        let edge = json!({"name": name, "listen": clients, "discovery": seat.list, "admin_addr": operators,
            "seed": format!("{:016x}", seat.seed + seat.number as u64),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": []}, "settings": settings(seat)});
        fs::write(home.join("edge.json"), edge.to_string())?;
        fs::write(home.join("group.toml"), group_configuration(seat, &home.join("state")))?;
        let mut program = Program::new(&["proxy"], home.join("log"));
        program.command.env("EDGE_CONFIG", home.join("edge.json"));
        program.command.env("GATESTAGE_CONFIG", home.join("group.toml")).env("TMPDIR", home.join("tmp"));
        Ok(Self { name, home, clients, operators, peers, program })
    }

    /// Starts its process.
    ///
    /// # Errors
    /// When the program can't start.
    pub fn start(&mut self) -> io::Result<()> {
        self.program.start()
    }

    /// Ends its process as a crash does.
    pub fn kill(&mut self) {
        self.program.kill();
    }

    /// Ends its process and takes away all that it had on disk.
    ///
    /// # Errors
    /// When that can't be removed.
    pub fn lose_disk(&mut self) -> io::Result<()> {
        self.kill();
        fs::remove_dir_all(self.state())?;
        fs::remove_dir_all(self.home.join("tmp"))?;
        fs::create_dir_all(self.home.join("tmp"))
    }

    /// The process, which runs.
    ///
    /// # Errors
    /// Where it does not.
    pub fn pid(&self) -> io::Result<u32> {
        let child = self.program.child.as_ref();
        child.map(Child::id).ok_or_else(|| io::Error::other(format!("{} does not run", self.name)))
    }

    /// The folder of what its group keeps on disk.
    pub fn state(&self) -> PathBuf {
        self.home.join("state")
    }

    /// How it stands; `None` where it does not say.
    pub fn report(&self) -> Option<Report> {
        let answer = http(self.peers, "/group/status").ok()?;
        let (_, body) = answer.split_once("\r\n\r\n")?;
        serde_json::from_str(body).ok()
    }

    /// Whether it has a vote.
    pub fn votes(&self) -> bool {
        self.report().is_some_and(|report| report.votes())
    }

    /// Whether it takes clients.
    pub fn is_up(&self) -> bool {
        http(self.clients, "/up").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200 "))
    }

    /// Calls for a backend to be taken out of use, as an operator does.
    ///
    /// # Errors
    /// Where nobody answers, or the answer is no.
    pub fn ban(&self, number: usize) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.operators)?;
        stream.set_read_timeout(Some(ANSWER_WITHIN))?;
        stream.write_all(format!("maint-on {}\n", backend(number)).as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let refused = || io::Error::other(format!("{}: {}", self.name, answer.trim()));
        answer.starts_with(YES).then_some(()).ok_or_else(refused)
    }
}

/// One request on a connection of its own, and all of its answer.
fn http(to: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    stream
        .write_all(format!("GET {path} HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// The settings of the module. No probes: nobody listens at the backends.
fn settings(seat: &Seat<'_>) -> serde_json::Value {
    let class = json!({"name": "read", "aimUs": 100_000, "deadlineUs": 1_000_000, "worth": 1.0, "lateWorth": 0.5,
        "effect": "retryable", "group": "cell", "keyTtlUs": 3_000_000});
    json!({"me": seat.number, "balancers": seat.relays.len(), "zone": 0, "failureDomains": ["a"], "kinds": ["m"],
        "membershipMode": "pushed", "classes": [class],
        "permissions": {"maxAttempts": 3, "secondCopies": false, "cancel": true, "probes": false,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 1_000_000},
        "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
}

/// The `[group]` table; clocks and all else as the program has them by default.
fn group_configuration(seat: &Seat<'_>, state_dir: &Path) -> String {
    let voters: Vec<String> = (0..seat.voters).map(|voter| format!("\"{}\"", name(voter))).collect();
    let mut text = format!(
        "[group]\nname = \"capacity\"\nnode = \"{}\"\nlisten = \"{}\"\nstate_dir = \"{}\"\nvoters = [{}]\n",
        name(seat.number),
        seat.addresses[2],
        state_dir.display(),
        voters.join(", ")
    );
    for (number, relay) in seat.relays.iter().enumerate().filter(|(number, _)| *number != seat.number) {
        text += &format!("[[group.peer]]\nname = \"{}\"\naddress = \"{relay}\"\n", name(number));
    }
    text
}
