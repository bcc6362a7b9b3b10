//! Published ways of giving each proxy a subset of a service's members, each written from its description.
//!
//! All of them are pure functions of the names: no instance talks to another, and a restart changes nothing.

mod aperture;
mod rendezvous;
mod shuffle;
mod transposed;

use std::fmt;
use xxhash_rust::xxh64::xxh64;

/// The part of a subset that zone-aware methods take from the proxy's own zone.
pub const NEAR_PART: f64 = 0.7;

/// A member of the service.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: u16,
    /// Its cell: the group that remembers a request's key.
    pub cell: u32,
    /// Its weight.
    pub size: f64,
}

/// A proxy that serves the service.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u16,
}

/// A service: its members and the proxies in front of them.
#[derive(Clone, Debug)]
pub struct Service {
    /// The members.
    pub members: Vec<Member>,
    /// The proxies.
    pub proxies: Vec<Proxy>,
}

/// One member in a proxy's view.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Position of the member in the service.
    pub member: usize,
    /// The part of a full entry's traffic that it gets: below 1 at the ends of an aperture.
    pub part: f64,
}

/// The members that one proxy may send to, by position.
pub type View = Vec<Entry>;

/// A way of choosing subsets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Each proxy takes the members of greatest hash, most of them from its own zone.
    Rendezvous,
    /// Each member takes the proxies of greatest hash (what the list service does).
    Transposed,
    /// The same, with whole cells in place of members.
    TransposedCells,
    /// Deterministic aperture: both sides evenly on a ring, a proxy takes what its arc overlaps.
    Aperture,
    /// Each proxy draws its members by a shuffle of its own.
    Shuffle,
}

impl Method {
    /// All methods, in the order of the tables.
    pub const ALL: [Self; 5] =
        [Self::Rendezvous, Self::Transposed, Self::TransposedCells, Self::Aperture, Self::Shuffle];

    /// The view of each proxy, with about `subset_size` entries each.
    pub fn views(self, service: &Service, subset_size: usize) -> Vec<View> {
        match self {
            Self::Rendezvous => rendezvous::views(service, subset_size),
            Self::Transposed => transposed::views(service, subset_size, false),
            Self::TransposedCells => transposed::views(service, subset_size, true),
            Self::Aperture => aperture::views(service, subset_size),
            Self::Shuffle => shuffle::views(service, subset_size),
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Rendezvous => "rendezvous",
            Self::Transposed => "transposed",
            Self::TransposedCells => "transposed, cells",
            Self::Aperture => "aperture",
            Self::Shuffle => "shuffle",
        })
    }
}

/// A full entry.
fn whole(member: usize) -> Entry {
    Entry { member, part: 1.0 }
}

/// The hash of one name.
fn hash(name: &str) -> u64 {
    xxh64(name.as_bytes(), 0)
}

/// The hash of a pair of names. One of them comes in as its own hash, so that a pair costs one short call.
fn pair(first: u64, second: &str) -> u64 {
    xxh64(second.as_bytes(), first)
}

/// Positions in the order of their names' hashes.
fn by_hash<'a>(names: impl Iterator<Item = &'a str>) -> Vec<usize> {
    let mut hashed: Vec<_> = names.map(hash).zip(0..).collect();
    hashed.sort_unstable();
    hashed.into_iter().map(|(_, position)| position).collect()
}

/// The positions of the `count` greatest weights, in no order.
fn greatest(mut weights: Vec<(u64, usize)>, count: usize) -> Vec<usize> {
    if count < weights.len() {
        weights.select_nth_unstable_by(count, |a, b| b.cmp(a));
        weights.truncate(count);
    }
    weights.into_iter().map(|(_, position)| position).collect()
}
