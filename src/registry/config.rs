//! The list service's TOML file and its checks.

use super::error::{Kind, RegistryError};
use crate::names::{Name, ServiceSelection};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::num::{NonZeroU64, NonZeroUsize};
use std::path::{Path, PathBuf};

/// How many changes are kept where the file does not say.
const KEEP_CHANGES: usize = 10_000;

/// The registry's configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where it listens, `host:port`.
    pub listen: SocketAddr,
    /// How many changes are kept for watches; a watch from before them gets the whole list. Default 10,000.
    #[serde(default = "keep_changes")]
    pub keep_changes: usize,
    /// The file's own revision: of two different files, the newer has the greater one. Required once the file has
    /// a `[[service]]` or a `[[proxy]]`; without it the registry counts the changes.
    pub revision: Option<NonZeroU64>,
    /// The services.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// The proxies that may ask for a view.
    #[serde(default, rename = "proxy")]
    pub proxies: Vec<Proxy>,
    /// The members.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
}

/// A service: a kind of call that some members answer and some proxies pass on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// About how many of its members each proxy's view holds; absent: all of them.
    pub subset_size: Option<NonZeroUsize>,
    /// Whether a view holds whole cells, not single members.
    #[serde(default)]
    pub keep_cells: bool,
}

/// A proxy that may ask for its view.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxy {
    /// Its name.
    pub name: Name,
    /// Its zone.
    pub zone: String,
    /// The services that it passes on.
    pub services: ServiceSelection,
    /// Where it stands in a release.
    #[serde(default)]
    pub phase: ProxyPhase,
}

/// Where a proxy stands in a release.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ProxyPhase {
    /// It takes requests.
    #[default]
    Active,
    /// It may ask for its view and displaces nobody yet.
    Joining,
    /// It still sends, and others have what it will leave behind.
    Leaving,
}

/// One member as the protocol gives it.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The same for every proxy.
    pub id: String,
    /// The service that it answers; never written into an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Name>,
    /// Where the proxies dial it: `host:port`.
    pub host_port: String,
    /// Its zone.
    pub locality: String,
    /// Its kind of machine.
    pub flavor: String,
    /// Its group.
    #[serde(default)]
    pub cell: u32,
    /// `active` or `leaving`; `left` appears only among changes.
    #[serde(default = "active")]
    pub phase: String,
    /// Its weight, relative to others of its kind.
    #[serde(default = "one")]
    pub size: f64,
    /// Its last start as Unix time in milliseconds, 0 if long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn keep_changes() -> usize {
    KEEP_CHANGES
}

fn active() -> String {
    "active".to_owned()
}

fn one() -> f64 {
    1.0
}

impl Config {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// A file that can't be read, is not TOML of this shape (the message names line and column), names a member,
    /// a service or a proxy twice, a member with a phase other than `active` or `leaving`, or a service that it
    /// does not have, or has services or proxies without a `revision`.
    pub fn from_file(path: &Path) -> Result<Self, RegistryError> {
        let here = || path.to_path_buf();
        let text = std::fs::read_to_string(path)
            .map_err(|source| RegistryError::Unreadable { path: here(), source })?;
        let config: Self = toml::from_str(&text)
            .map_err(|source| RegistryError::Shape { path: here(), source: Box::new(source) })?;
        config.check(path)?;
        Ok(config)
    }

    fn check(&self, path: &Path) -> Result<(), RegistryError> {
        check_twice(path, Kind::Member, self.members.iter().map(|member| member.id.as_str()))?;
        check_twice(path, Kind::Service, self.services.iter().map(|service| service.name.as_str()))?;
        check_twice(path, Kind::Proxy, self.proxies.iter().map(|proxy| proxy.name.as_str()))?;
        self.check_phases(path)?;
        self.check_services(path)?;
        let views = !self.services.is_empty() || !self.proxies.is_empty();
        if views && self.revision.is_none() {
            return Err(RegistryError::RevisionMissing { path: path.to_path_buf() });
        }
        Ok(())
    }

    fn check_phases(&self, path: &Path) -> Result<(), RegistryError> {
        let allowed = |member: &&Member| matches!(member.phase.as_str(), "active" | "leaving");
        let Some(member) = self.members.iter().find(|member| !allowed(member)) else { return Ok(()) };
        let (member, phase) = (member.id.clone(), member.phase.clone());
        Err(RegistryError::Phase { path: path.to_path_buf(), member, phase })
    }

    /// Each service that a member or a proxy names must be there.
    fn check_services(&self, path: &Path) -> Result<(), RegistryError> {
        let known: BTreeSet<&Name> = self.services.iter().map(|service| &service.name).collect();
        let unknown = |kind, name: &str, service: &Name| RegistryError::UnknownService {
            path: path.to_path_buf(),
            kind,
            name: name.to_owned(),
            service: service.clone(),
        };
        for member in &self.members {
            if let Some(service) = member.service.as_ref().filter(|service| !known.contains(service)) {
                return Err(unknown(Kind::Member, &member.id, service));
            }
        }
        for proxy in &self.proxies {
            let ServiceSelection::Named(named) = &proxy.services else { continue };
            if let Some(service) = named.iter().find(|service| !known.contains(service)) {
                return Err(unknown(Kind::Proxy, proxy.name.as_str(), service));
            }
        }
        Ok(())
    }
}

fn check_twice<'a>(
    path: &Path,
    kind: Kind,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), RegistryError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(RegistryError::Twice { path: PathBuf::from(path), kind, name: name.to_owned() });
        }
    }
    Ok(())
}
