//! The proxies of a run: real processes of `gatestage proxy`, started, signalled and restarted by their own pid.
//! Only processes that the rig started are ever signalled.

use super::error::RigError;
use super::history::{Launch, log_length};
use super::scenario::Scenario;
use crate::registry::Member;
use crate::store::PUBLISH_SYNCED;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

/// A process of the program that the rig started: a proxy or the list service.
pub struct Process {
    /// Its name, as its log file has it.
    pub name: String,
    /// Where it listens; it keeps this address across restarts.
    pub address: SocketAddr,
    /// Its subcommand and arguments.
    args: Vec<std::ffi::OsString>,
    /// Its environment beyond the rig's.
    envs: Vec<(&'static str, PathBuf)>,
    child: Option<Child>,
    /// Where operators call it; `None` where the scenario makes no calls.
    pub admin: Option<SocketAddr>,
    /// Its starts, for the history.
    pub launches: Vec<Launch>,
}

/// What one proxy is told of the others.
pub struct Told {
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where operators call it, if any do.
    pub admin: Option<SocketAddr>,
    /// Where it dials the list service.
    pub list: SocketAddr,
    /// The members as it knows them at its start, with the addresses at which it dials them.
    pub known: Value,
    /// Its group's configuration file, if the proxies form one.
    pub group: Option<String>,
}

/// The folder of a proxy's own under the run's: its `$TMPDIR`, and in it all that it keeps on disk.
pub fn home(out: &Path, me: usize) -> PathBuf {
    out.join(format!("proxy-{me}.tmp"))
}

/// One proxy of the run.
pub type Proxy = Process;

/// The settings of the module for a proxy of the rig: one class that is safe to repeat and one keyed class.
fn settings(scenario: &Scenario, me: usize, zone: usize) -> Value {
    let (aim, deadline) = (*scenario.load.aim_ms.get_ref(), *scenario.load.deadline_ms.get_ref());
    let class = |name: &str, effect: &str| {
        json!({"name": name, "aimUs": (aim * 1e3) as u64, "deadlineUs": (deadline * 1e3) as u64, "worth": 1.0,
               "lateWorth": 0.5, "effect": effect, "group": "cell", "keyTtlUs": 30_000_000})
    };
    json!({"me": me, "balancers": scenario.proxies.len(), "zone": zone, "failureDomains": scenario.zones,
        "kinds": ["m"], "membershipMode": "pushed",
        "classes": [class("read", "retryable"), class("submit", "dedup")],
        "permissions": {"maxAttempts": 3, "secondCopies": false, "cancel": true, "probes": true,
                        "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                        "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 1_000_000},
        "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
}

/// The loopback address that the processes of one run listen on. A run on 127.0.0.1 takes another of 127.0.0.0/8 for
/// them, drawn anew: connections from anywhere on this machine have 127.0.0.1 as their source, and any of them could
/// else hold the port of a process that is about to start, or that is down for a while. A `host` of the scenario's own
/// stays.
pub fn own_address(host: IpAddr) -> IpAddr {
    let mut rng = fastrand::Rng::new();
    let own = IpAddr::from([127, rng.u8(64..192), rng.u8(..), rng.u8(1..255)]);
    // Not every system has all of 127.0.0.0/8.
    let usable = host == IpAddr::V4(Ipv4Addr::LOCALHOST) && TcpListener::bind((own, 0)).is_ok();
    if usable { own } else { host }
}

/// Free ports, as the kernel gives them, held until they are let go by dropping this; the processes then take them
/// with `SO_REUSEADDR`.
pub struct Reserved {
    held: Vec<TcpListener>,
}

impl Reserved {
    /// Holds this many ports on `host`.
    ///
    /// # Errors
    /// When one can't be had.
    pub fn take(host: IpAddr, ports: usize) -> std::io::Result<Self> {
        let held = (0..ports).map(|_| TcpListener::bind((host, 0))).collect::<std::io::Result<_>>()?;
        Ok(Self { held })
    }

    /// Their addresses, in order.
    ///
    /// # Errors
    /// When the system does not say one.
    pub fn addresses(&self) -> std::io::Result<Vec<SocketAddr>> {
        self.held.iter().map(TcpListener::local_addr).collect()
    }
}

impl Process {
    /// Writes the configuration of proxy `me` under `out` and starts it.
    ///
    /// # Errors
    /// When the files can't be written or the program can't start.
    pub fn start(
        program: &Path,
        scenario: &Scenario,
        me: usize,
        told: &Told,
        out: &Path,
    ) -> Result<Self, RigError> {
        let name = format!("proxy-{me}");
        let address = told.listen;
        let zone = scenario.zone(scenario.proxies[me].zone.get_ref()).unwrap_or_default();
        let mut config = json!({"name": name, "listen": address.to_string(), "discovery": told.list.to_string(),
            "seed": format!("{:016x}", scenario.seed.wrapping_add(me as u64)),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
            "known": told.known, "settings": settings(scenario, me, zone)});
        let home = home(out, me);
        // Each run begins cold; only a restart within the run goes on from what is on disk.
        let _ = fs::remove_dir_all(&home);
        if scenario.proxies[me].keep_state {
            config["state_dir"] = json!(home.join("state"));
        }
        if let Some(admin) = told.admin {
            config["admin_addr"] = json!(admin);
        }
        let path = out.join(format!("{name}.json"));
        fs::write(&path, config.to_string()).map_err(RigError::write(&path))?;
        fs::create_dir_all(&home).map_err(RigError::write(&home))?;
        let mut envs = vec![("EDGE_CONFIG", path), ("TMPDIR", home)];
        if scenario.cuts_power() {
            envs.push((PUBLISH_SYNCED, "1".into()));
        }
        if let Some(group) = &told.group {
            let path = out.join(format!("{name}.toml"));
            fs::write(&path, group).map_err(RigError::write(&path))?;
            envs.push(("GATESTAGE_CONFIG", path));
        }
        let mut proxy = Self {
            name,
            address,
            args: vec!["proxy".into()],
            envs,
            child: None,
            admin: told.admin,
            launches: Vec::new(),
        };
        proxy.launch(program, out)?;
        Ok(proxy)
    }

    /// Writes the list service's configuration with these members under `out` and starts it.
    ///
    /// # Errors
    /// As [`Process::start`].
    pub fn registry(
        program: &Path,
        host: std::net::IpAddr,
        members: &[Member],
        out: &Path,
    ) -> Result<Self, RigError> {
        let address = Reserved::take(host, 1).and_then(|r| Ok(r.addresses()?[0]));
        let address = address.map_err(RigError::listen("the registry"))?;
        let path = out.join("registry.toml");
        write_members(&path, address, members)?;
        let args = vec!["registry".into(), "--config".into(), path.into_os_string()];
        let mut registry = Self {
            name: "registry".to_owned(),
            address,
            args,
            envs: Vec::new(),
            child: None,
            admin: None,
            launches: Vec::new(),
        };
        registry.launch(program, out)?;
        Ok(registry)
    }

    /// Starts the program again on the same address; its log goes on in the same file.
    ///
    /// # Errors
    /// When the program can't start.
    pub fn launch(&mut self, program: &Path, out: &Path) -> Result<(), RigError> {
        let path = out.join(format!("{}.log", self.name));
        let log_from = log_length(&path);
        let log = File::options().create(true).append(true).open(&path).map_err(RigError::write(&path))?;
        let mut command = Command::new(program);
        command.args(&self.args).envs(self.envs.iter().map(|(k, v)| (k, v)));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        let child = child.map_err(|source| RigError::Start { name: self.name.clone(), source })?;
        self.launches.push(Launch { at: Instant::now(), pid: child.id(), log_from });
        self.child = Some(child);
        Ok(())
    }

    /// The folder that it holds for `$TMPDIR`, if it has one of its own.
    pub fn tmpdir(&self) -> Option<&Path> {
        self.envs.iter().find(|(name, _)| *name == "TMPDIR").map(|(_, path)| path.as_path())
    }

    /// Sends a signal to this proxy's process, if it still runs.
    pub fn signal(&mut self, signal: Signal) {
        let Some(child) = self.child.as_mut() else { return };
        if child.try_wait().ok().flatten().is_some() {
            return;
        }
        let _ = kill_process(Pid::from_child(child), signal);
    }

    /// Whether its process runs.
    pub fn running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends the process for good and reaps it; what it had is not waited for.
    pub fn end(&mut self) {
        // One that has ended already may have left its number to a process that is none of ours.
        self.signal(Signal::CONT);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The list service's configuration file: where it listens and its members.
///
/// # Errors
/// When the file can't be written.
pub fn write_members(path: &Path, listen: SocketAddr, members: &[Member]) -> Result<(), RigError> {
    #[derive(serde::Serialize)]
    struct File<'a> {
        listen: SocketAddr,
        member: &'a [Member],
    }
    let text =
        toml::to_string(&File { listen, member: members }).map_err(RigError::form("the list of members"))?;
    fs::write(path, text).map_err(RigError::write(path))
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}
