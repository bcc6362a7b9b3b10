//! The files that the measured processes are started with: the list service's members, a proxy's configuration.

use serde::Serialize;
use serde_json::{Value, json};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The service that the members of a list with views are in.
const SERVICE: &str = "measured";
/// About how many members a proxy's view holds of it.
const SUBSET_SIZE: u64 = 100;
/// Backends for each proxy, about as the operators have them (87,000 for 6,800).
const BACKENDS_PER_PROXY: u64 = 13;
/// The zone of every proxy and member.
const ZONE: &str = "a";
/// The kind of every member.
const KIND: &str = "m";

/// Why a file can't be set up.
#[derive(Debug, Error)]
pub enum SetupError {
    /// It can't be written.
    #[error("cannot write {}: {source}; see that the folder has room", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The list has no TOML.
    #[error("the list has no TOML: {0}")]
    Form(#[from] toml::ser::Error),
}

/// Writes a file whole: a process that reads it meanwhile sees all or nothing of it.
///
/// # Errors
/// Where it can't be written.
pub fn write_whole(path: &Path, text: &str) -> Result<(), SetupError> {
    let failed = |source| SetupError::Write { path: path.to_owned(), source };
    let draft = path.with_extension("draft");
    fs::write(&draft, text).map_err(failed)?;
    fs::rename(&draft, path).map_err(failed)
}

/// How many proxies there are beside this many backends.
pub fn proxies(backends: u64) -> u64 {
    (backends / BACKENDS_PER_PROXY).max(1)
}

/// The name of a proxy.
pub fn proxy_name(number: u64) -> String {
    format!("proxy-{number}")
}

/// The list service's file.
#[derive(Clone, Debug, Serialize)]
pub struct List {
    listen: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    service: Vec<Service>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    proxy: Vec<ServedProxy>,
    member: Vec<Member>,
}

#[derive(Clone, Debug, Serialize)]
struct Service {
    name: &'static str,
    subset_size: u64,
}

#[derive(Clone, Debug, Serialize)]
struct ServedProxy {
    name: String,
    zone: &'static str,
    services: [&'static str; 1],
}

#[derive(Clone, Debug, Serialize)]
struct Member {
    id: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<&'static str>,
    host_port: SocketAddr,
    locality: &'static str,
    flavor: &'static str,
    phase: &'static str,
}

impl List {
    /// A list of so many members at one address; with `view` in one large service that so many proxies in
    /// proportion hold views of.
    pub fn new(members: u64, address: SocketAddr, view: bool) -> Self {
        let member = |number| Member {
            id: format!("s-{number}"),
            service: view.then_some(SERVICE),
            host_port: address,
            locality: ZONE,
            flavor: KIND,
            phase: "active",
        };
        let proxy = |number| ServedProxy { name: proxy_name(number), zone: ZONE, services: [SERVICE] };
        let proxies = if view { proxies(members) } else { 0 };
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            revision: view.then_some(1),
            service: view
                .then_some(Service { name: SERVICE, subset_size: SUBSET_SIZE })
                .into_iter()
                .collect(),
            proxy: (0..proxies).map(proxy).collect(),
            member: (0..members).map(member).collect(),
        }
    }

    /// Makes an active member leave, or a leaving one active.
    pub fn flip(&mut self, number: usize) {
        let count = self.member.len();
        let member = &mut self.member[number % count];
        member.phase = if member.phase == "active" { "leaving" } else { "active" };
        self.revision = self.revision.map(|revision| revision + 1);
    }

    /// Writes it.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn write(&self, path: &Path) -> Result<(), SetupError> {
        write_whole(path, &toml::to_string(self)?)
    }
}

/// What a proxy is configured with.
#[derive(Clone, Copy, Debug)]
pub struct ProxySetup {
    /// Backends in the list; the proxies are in proportion.
    pub backends: u64,
    /// Classes, `class-0` onwards.
    pub classes: u64,
    /// Tenants, `tenant-0` onwards.
    pub tenants: u64,
    /// What each of them may ask for, in requests a second over all proxies.
    pub allowance: f64,
    /// For what it draws.
    pub seed: u64,
    /// Whether it asks for its view.
    pub view: bool,
}

/// A proxy's files.
#[derive(Debug)]
pub struct ProxyFiles {
    /// Its JSON configuration.
    pub config: PathBuf,
    /// The TOML beside it, where it asks for a view.
    pub beside: Option<PathBuf>,
    /// The folder for what it keeps itself.
    pub home: PathBuf,
}

impl ProxySetup {
    /// Writes the files of a proxy that follows the list at `discovery`.
    ///
    /// # Errors
    /// Where one can't be written.
    pub fn write(&self, folder: &Path, discovery: SocketAddr) -> Result<ProxyFiles, SetupError> {
        let name = proxy_name(0);
        let config = folder.join(&name).with_extension("json");
        write_whole(&config, &self.config(&name, discovery).to_string())?;
        let home = folder.join(format!("{name}.tmp"));
        fs::create_dir_all(&home).map_err(|source| SetupError::Write { path: home.clone(), source })?;
        let beside = self.view.then(|| config.with_extension("toml"));
        if let Some(path) = &beside {
            write_whole(path, &format!("[view]\nproxy = \"{name}\"\nservices = [\"{SERVICE}\"]\n"))?;
        }
        Ok(ProxyFiles { config, beside, home })
    }

    fn config(&self, name: &str, discovery: SocketAddr) -> Value {
        json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery,
            "seed": format!("{:016x}", self.seed),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": []},
            "settings": self.settings()})
    }

    fn settings(&self) -> Value {
        let class = |number| {
            json!({"name": format!("class-{number}"), "aimUs": 1_000_000, "deadlineUs": 5_000_000, "worth": 1.0,
                   "lateWorth": 0.5, "effect": "retryable"})
        };
        let tenant = |number| json!({"name": format!("tenant-{number}"), "allowancePerS": self.allowance});
        json!({"me": 0, "balancers": proxies(self.backends), "zone": 0, "failureDomains": [ZONE],
            "kinds": [KIND], "membershipMode": "pushed",
            "classes": (0..self.classes).map(class).collect::<Vec<_>>(),
            "tenants": (0..self.tenants).map(tenant).collect::<Vec<_>>(),
            "permissions": {"maxAttempts": 3, "secondCopies": false, "cancel": true, "probes": true,
                            "connIdleUs": 15_000_000, "multiplex": 1, "retryAfter": true,
                            "maxRetryAfterUs": 2_000_000, "dialTimeoutUs": 1_000_000},
            "safety": {"coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0, "fallUs": 2_000_000}})
    }
}
