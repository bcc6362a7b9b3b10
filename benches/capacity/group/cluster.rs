//! A whole group on loopback: its machines, the relays between them, the list service, and the waits for what it does.

use super::machine::{Machine, Report, Seat, free_addresses};
use super::relay::{Counts, Relay};
use crate::process::{Process, ProcessError};
use crate::setup::{List, SetupError};
use crate::usage::{self, UsageError};
use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use std::{env, fs, io, thread};
use thiserror::Error;

/// The longest wait for anything that has to come.
const PATIENCE: Duration = Duration::from_secs(60);
/// How often something that is waited for is looked at.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Where the relays listen: not on the machines' own address, where they could take a port that one of them is to have.
const RELAY_HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Where the backends are said to be; nothing is sent to them.
const NOBODY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);
/// The names of the threads on which the program runs its group.
const GROUP_THREADS: [&str; 2] = ["group", "group-disk"];
/// Addresses of one machine: for clients, operators and peers.
const ADDRESSES: usize = 3;

/// Why a group could not be measured.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A file, a process or a socket failed.
    #[error("the group cannot be run: {0}; see that the temporary folder has room and processes may start")]
    System(#[from] io::Error),
    /// The list service does not run.
    #[error(transparent)]
    List(#[from] ProcessError),
    /// What a machine uses is not known.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// Its file can't be written.
    #[error(transparent)]
    Setup(#[from] SetupError),
    /// Something did not come.
    #[error("waited {within:?} in vain for {what}; see the logs in {}, or measure with less load", logs.display())]
    InVain {
        /// What was waited for.
        what: String,
        /// For how long.
        within: Duration,
        /// The folder of the logs.
        logs: PathBuf,
    },
}

/// Where the machines keep what they have on disk.
#[derive(Clone, Copy, Debug)]
pub enum Disk {
    /// In the temporary folder.
    Real,
    /// In memory, so that a sync takes no time.
    Memory,
}

impl Disk {
    fn folder(self) -> PathBuf {
        match self {
            Self::Real => env::temp_dir(),
            Self::Memory => PathBuf::from("/dev/shm"),
        }
    }
}

/// What a group is to be like.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Machines that vote.
    pub voters: usize,
    /// Machines that follow without a vote.
    pub learners: usize,
    /// Backends that the list service lists.
    pub backends: usize,
    /// Where the machines' disks are.
    pub disk: Disk,
    /// The seed of what the proxies draw.
    pub seed: u64,
}

/// Processor time that a process has used since it started.
#[derive(Clone, Copy, Debug, Default)]
pub struct Processor {
    /// On all of its threads.
    pub all: Duration,
    /// On the threads of the group alone.
    pub group: Duration,
}

impl Processor {
    /// Of a running process. Threads that have ended are not in it; the program keeps those that it begins with.
    fn of(pid: u32) -> Result<Self, UsageError> {
        let mut used = Self::default();
        for thread in usage::thread_times(pid)? {
            used.all += thread.time;
            if GROUP_THREADS.contains(&thread.name.as_str()) {
                used.group += thread.time;
            }
        }
        Ok(used)
    }
}

/// What has been used up to a moment, by machine.
#[derive(Clone, Debug)]
pub struct Meter {
    /// The moment.
    pub at: Instant,
    /// Processor time.
    pub processor: Vec<Processor>,
    /// What passed the relay before each machine.
    pub counts: Vec<Counts>,
}

/// A group that runs; dropping it ends its processes and removes its files, unless something was waited for in vain.
pub struct Cluster {
    plan: Plan,
    folder: PathBuf,
    machines: Vec<Machine>,
    relays: Vec<Relay>,
    _list: Process,
    /// Whether something was waited for in vain, so that the logs are of use.
    failed: Cell<bool>,
}

impl Cluster {
    /// Starts the machines on empty disks, and waits until they agree on a leader, have taken the learners in, know
    /// the bans and take clients.
    ///
    /// # Errors
    /// When something can't start, or the group does not come up.
    pub fn start(plan: Plan) -> Result<Self, ClusterError> {
        let folder = plan.disk.folder().join(format!("gatestage-capacity-group-{}", std::process::id()));
        if folder.exists() {
            fs::remove_dir_all(&folder)?;
        }
        fs::create_dir_all(&folder)?;
        let size = plan.voters + plan.learners;
        let host = own_address();
        let members = folder.join("registry.toml");
        List::new(plan.backends as u64, NOBODY, false).write(&members)?;
        let list = Process::registry("registry", &members)?;
        let addresses = free_addresses(host, size * ADDRESSES)?;
        let seats: Vec<[SocketAddr; ADDRESSES]> =
            addresses.chunks_exact(ADDRESSES).map(|seat| [seat[0], seat[1], seat[2]]).collect();
        let relays =
            seats.iter().map(|seat| Relay::start(RELAY_HOST, seat[2])).collect::<io::Result<Vec<_>>>()?;
        let reached: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
        let mut machines = Vec::new();
        for (number, addresses) in seats.into_iter().enumerate() {
            let (list, relays, voters, seed) = (list.address, reached.as_slice(), plan.voters, plan.seed);
            let seat = Seat { number, addresses, list, relays, voters, seed };
            machines.push(Machine::prepare(&folder, &seat)?);
        }
        for machine in &mut machines {
            machine.start()?;
        }
        let cluster = Self { plan, folder, machines, relays, _list: list, failed: Cell::new(false) };
        cluster.wait_for("a group that is whole", || cluster.is_whole().then_some(()))?;
        Ok(cluster)
    }

    /// Whether all agree on the leader, all that should have a vote have it and the others follow, and all take clients.
    fn is_whole(&self) -> bool {
        let reports: Option<Vec<Report>> = self.machines.iter().map(Machine::report).collect();
        let Some(reports) = reports else { return false };
        let leader = &reports[0].status.leader;
        let follows = |report: &Report| report.status.state == "learner";
        let (voters, learners) = reports.split_at(self.plan.voters);
        leader.is_some()
            && reports.iter().all(|report| report.bans_known && report.status.leader == *leader)
            && voters.iter().all(Report::votes)
            && learners.iter().all(follows)
            && self.machines.iter().all(Machine::is_up)
    }

    /// Looks until something is there.
    ///
    /// # Errors
    /// When it does not come.
    pub fn wait_for<T>(&self, what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T, ClusterError> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if let Some(found) = look() {
                return Ok(found);
            }
            thread::sleep(LOOK_EVERY);
        }
        self.failed.set(true);
        Err(ClusterError::InVain { what: what.to_owned(), within: PATIENCE, logs: self.folder.clone() })
    }

    /// The machine with this number.
    pub fn machine(&mut self, number: usize) -> &mut Machine {
        &mut self.machines[number]
    }

    /// All machines; the voters come first.
    pub fn machines(&self) -> &[Machine] {
        &self.machines
    }

    /// The leader's number, once the first voter knows one.
    ///
    /// # Errors
    /// When there is none for long.
    pub fn leader(&self) -> Result<usize, ClusterError> {
        self.wait_for("a leader", || {
            let leader = self.machines[0].report()?.status.leader?;
            self.machines.iter().position(|machine| machine.name == leader)
        })
    }

    /// The voters that do not lead.
    ///
    /// # Errors
    /// As [`Self::leader`].
    pub fn following_voters(&self) -> Result<Vec<usize>, ClusterError> {
        let leader = self.leader()?;
        Ok((0..self.plan.voters).filter(|voter| *voter != leader).collect())
    }

    /// The machines that follow without a vote.
    pub fn learners(&self) -> Vec<usize> {
        (self.plan.voters..self.machines.len()).collect()
    }

    /// Waits until every machine has this many bans.
    ///
    /// # Errors
    /// When one does not come to.
    pub fn wait_for_bans(&self, bans: usize) -> Result<(), ClusterError> {
        let all_have = || self.machines.iter().all(|machine| has_bans(machine, bans));
        self.wait_for("the bans at every machine", || all_have().then_some(()))
    }

    /// What has been used up to now.
    ///
    /// # Errors
    /// When a process has ended.
    pub fn meter(&self) -> Result<Meter, ClusterError> {
        let used =
            |machine: &Machine| -> Result<Processor, ClusterError> { Ok(Processor::of(machine.pid()?)?) };
        let processor = self.machines.iter().map(used).collect::<Result<_, _>>()?;
        Ok(Meter { at: Instant::now(), processor, counts: self.counts() })
    }

    /// What has passed the relay before each machine.
    pub fn counts(&self) -> Vec<Counts> {
        self.relays.iter().map(Relay::counts).collect()
    }
}

/// Whether a machine knows the group's bans and these are so many.
pub fn has_bans(machine: &Machine, bans: usize) -> bool {
    machine.report().is_some_and(|report| report.bans_known && report.bans.len() == bans)
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.machines.iter_mut().for_each(Machine::kill);
        if !self.failed.get() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A loopback address of this run's own: on one that others use, a port that was given up may be taken by a
/// connection of theirs before the program listens there.
fn own_address() -> IpAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::from([127, 60 + high % 60, low, 1])
}

/// What two counts differ by, relay by relay.
pub fn between(earlier: &[Counts], later: &[Counts]) -> Vec<Counts> {
    later.iter().zip(earlier).map(|(later, earlier)| later.since(earlier)).collect()
}
