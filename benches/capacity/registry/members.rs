//! The list service's file: members, and for views the service and its proxies.

use serde::Serialize;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::{fs, io};

/// The zones, as members and proxies name them.
pub const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// The one service, where views are asked for.
pub const SERVICE: &str = "enrolment";
/// Entries that a proxy's view holds, about.
pub const SUBSET_SIZE: usize = 100;

const CELL: usize = 3;
/// Changes that the list service keeps for watches: more than one step of any series makes.
const KEEP_CHANGES: usize = 10_000;
/// Members dial as 127.1.x.y: nothing listens there, and hollow proxies send nothing.
const NETWORK: [u8; 2] = [127, 1];
const PORT: u16 = 9_000;

/// What the file says of the proxies, where views are asked for.
#[derive(Clone, Copy, Debug)]
pub struct Views {
    /// How many proxies serve the service.
    pub proxies: usize,
}

/// The state of some members, where it is not that of the others.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// None is different.
    Nothing,
    /// These are taken out of use: `phase = "leaving"`.
    Leaving(Range<usize>),
    /// A zone's members are not listed.
    ZoneGone(usize),
}

impl Change {
    /// The names of the members that it concerns.
    pub fn members(&self, all: usize) -> Vec<String> {
        (0..all).filter(|&number| self.concerns(number)).map(id).collect()
    }

    fn concerns(&self, number: usize) -> bool {
        match self {
            Self::Nothing => false,
            Self::Leaving(some) => some.contains(&number),
            Self::ZoneGone(zone) => zone_of(number) == *zone,
        }
    }
}

/// The contents of the file.
#[derive(Debug, Serialize)]
struct File {
    listen: SocketAddr,
    keep_changes: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    service: Vec<ServiceEntry>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    proxy: Vec<ProxyEntry>,
    member: Vec<MemberEntry>,
}

#[derive(Debug, Serialize)]
struct ServiceEntry {
    name: &'static str,
    subset_size: usize,
}

#[derive(Debug, Serialize)]
struct ProxyEntry {
    name: String,
    zone: &'static str,
    services: [&'static str; 1],
}

#[derive(Debug, Serialize)]
struct MemberEntry {
    id: String,
    host_port: String,
    locality: &'static str,
    flavor: &'static str,
    cell: usize,
    phase: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    service: Option<&'static str>,
}

/// A hollow proxy's name.
pub fn proxy_name(number: usize) -> String {
    format!("hollow-{number}")
}

/// The zone of a proxy, as a position in [`ZONES`].
pub fn proxy_zone(number: usize) -> usize {
    number % ZONES.len()
}

fn id(number: usize) -> String {
    format!("member-{number}")
}

/// Cells lie within zones.
fn zone_of(member: usize) -> usize {
    member / CELL % ZONES.len()
}

/// What the file is to say.
#[derive(Clone, Debug)]
pub struct Contents {
    /// Where the service listens.
    pub listen: SocketAddr,
    /// How many members there are.
    pub members: usize,
    /// What is different with some of them.
    pub change: Change,
    /// Whether the file describes views.
    pub views: Option<Views>,
    /// The file's revision; written only with views.
    pub revision: u64,
}

impl Contents {
    /// Writes the file.
    ///
    /// # Errors
    /// When it can't be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let file = File {
            listen: self.listen,
            keep_changes: KEEP_CHANGES,
            revision: self.views.map(|_| self.revision),
            service: self
                .views
                .map(|_| ServiceEntry { name: SERVICE, subset_size: SUBSET_SIZE })
                .into_iter()
                .collect(),
            proxy: self.views.map_or(Vec::new(), |views| (0..views.proxies).map(proxy).collect()),
            member: (0..self.members).filter_map(|number| self.member(number)).collect(),
        };
        fs::write(path, toml::to_string(&file).map_err(io::Error::other)?)
    }

    fn member(&self, number: usize) -> Option<MemberEntry> {
        let concerned = self.change.concerns(number);
        if concerned && matches!(self.change, Change::ZoneGone(_)) {
            return None;
        }
        let [a, b] = NETWORK;
        let (c, d) = (number / 256, number % 256);
        Some(MemberEntry {
            id: id(number),
            host_port: format!("{a}.{b}.{c}.{d}:{PORT}"),
            locality: ZONES[zone_of(number)],
            flavor: "m",
            cell: number / CELL,
            phase: if concerned { "leaving" } else { "active" },
            service: self.views.map(|_| SERVICE),
        })
    }
}

fn proxy(number: usize) -> ProxyEntry {
    ProxyEntry { name: proxy_name(number), zone: ZONES[proxy_zone(number)], services: [SERVICE] }
}
