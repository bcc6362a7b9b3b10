//! Which proxies hold which members of a service: a pure function of the two sets.
//!
//! Rendezvous hashing (highest random weight), transposed: the proxies that may send to a member, its *senders*,
//! are chosen for the member; a proxy's view is what it was chosen for. So each member has a known number of
//! senders, whatever the proxies are. `Quota` says how many, most of them in the member's own zone. The weight of
//! a pair is XXH64 of the XXH64 of the member's id (with `keep_cells`, of its cell), seeded with the XXH64 of the
//! proxy's name; equal weights are told apart by the name.
//!
//! During a release a member has the senders chosen among the active and leaving proxies (before) and those among
//! the active and joining ones (after): what a proxy will hold, it holds before another gives it up.

use super::config::ProxyPhase;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::num::NonZeroUsize;
use std::ops::Range;
use xxhash_rust::xxh64::xxh64;

/// The fewest senders of a member, where there are as many proxies.
pub const MIN_SENDERS: usize = 4;
/// Tenths of a view that are members of the proxy's own zone; the rest are of other zones.
const NEAR_TENTHS: u64 = 7;
const FAR_TENTHS: u64 = 10 - NEAR_TENTHS;
/// The seed of the hashes of names and ids.
const SEED: u64 = 0;

/// A proxy's place in the slice that was given.
pub type ProxyIndex = u32;
/// A member's place in the slice that was given.
pub type MemberIndex = u32;

/// A proxy among which senders are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name, which no other has.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Where it stands in a release.
    pub phase: ProxyPhase,
}

/// A member for which senders are chosen.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Its id, which no other has.
    pub id: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its cell.
    pub cell: u32,
}

/// How a service's members are shared among its proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// About how many members a view holds; `None`: all of them.
    pub subset_size: Option<NonZeroUsize>,
    /// Whether a view holds whole cells. A cell that spans zones is taken as one cell in each.
    pub keep_cells: bool,
}

impl Policy {
    /// The size of a view where it is smaller than the service, `None` where every proxy holds all members.
    pub fn subset_of(&self, members: usize) -> Option<usize> {
        self.subset_size.map(NonZeroUsize::get).filter(|&size| members > size)
    }
}

/// Which proxies hold which members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    senders: Table,
    views: Table,
}

impl Assignment {
    /// Chooses the senders of each member. The order of the slices does not matter.
    pub fn new(policy: Policy, proxies: &[Candidate<'_>], members: &[Target<'_>]) -> Self {
        match policy.subset_of(members.len()) {
            None => Self::whole(proxies.len(), members.len()),
            Some(size) => Self::subset(size, policy.keep_cells, proxies, members),
        }
    }

    /// The proxies that hold this member, in order of their places.
    pub fn senders_of(&self, member: MemberIndex) -> &[ProxyIndex] {
        self.senders.row(member)
    }

    /// The members that this proxy holds, in order of their places.
    pub fn members_of(&self, proxy: ProxyIndex) -> &[MemberIndex] {
        self.views.row(proxy)
    }

    fn whole(proxies: usize, members: usize) -> Self {
        Self { senders: Table::same(members, proxies), views: Table::same(proxies, members) }
    }

    fn subset(size: usize, keep_cells: bool, proxies: &[Candidate<'_>], members: &[Target<'_>]) -> Self {
        let service = Census::new(size, members);
        let mut choice = Choice::new(proxies);
        let mut chosen_for_cells: BTreeMap<(&str, u32), Range<usize>> = BTreeMap::new();
        let mut senders = Table::default();
        for member in members {
            let cell = (member.zone, member.cell);
            if let Some(row) = chosen_for_cells.get(&cell).filter(|_| keep_cells) {
                senders.rows.push(row.clone());
                continue;
            }
            let key = if keep_cells { hash(&member.cell.to_le_bytes()) } else { hash(member.id.as_bytes()) };
            senders.push(choice.senders(&service, member.zone, key));
            if keep_cells {
                chosen_for_cells.insert(cell, senders.rows[senders.rows.len() - 1].clone());
            }
        }
        let views = senders.transposed(proxies.len());
        Self { senders, views }
    }
}

fn hash(bytes: &[u8]) -> u64 {
    xxh64(bytes, SEED)
}

/// Rows of indices; rows may share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Table {
    rows: Vec<Range<usize>>,
    indices: Vec<u32>,
}

impl Table {
    /// `rows` rows, each of all indices below `columns`.
    fn same(rows: usize, columns: usize) -> Self {
        Self { rows: vec![0..columns; rows], indices: (0..columns as u32).collect() }
    }

    fn push(&mut self, row: &[u32]) {
        let start = self.indices.len();
        self.indices.extend_from_slice(row);
        self.rows.push(start..self.indices.len());
    }

    fn row(&self, index: u32) -> &[u32] {
        &self.indices[self.rows[index as usize].clone()]
    }

    /// The table that holds column by column what this one holds row by row.
    fn transposed(&self, columns: usize) -> Self {
        let mut lengths = vec![0; columns];
        for row in &self.rows {
            self.indices[row.clone()].iter().for_each(|&column| lengths[column as usize] += 1);
        }
        let mut end = 0;
        let mut rows: Vec<Range<usize>> = Vec::with_capacity(columns);
        for length in lengths {
            rows.push(end..end);
            end += length;
        }
        let mut indices = vec![0; end];
        for (index, row) in self.rows.iter().enumerate() {
            for &column in &self.indices[row.clone()] {
                let place = &mut rows[column as usize].end;
                indices[*place] = index as u32;
                *place += 1;
            }
        }
        Self { rows, indices }
    }
}

/// How many members a service has, in all and by zone, and how many of them a view is to hold.
struct Census<'a> {
    size: usize,
    members: usize,
    by_zone: BTreeMap<&'a str, usize>,
}

impl<'a> Census<'a> {
    fn new(size: usize, members: &[Target<'a>]) -> Self {
        let mut by_zone = BTreeMap::new();
        for member in members {
            *by_zone.entry(member.zone).or_default() += 1;
        }
        Self { size, members: members.len(), by_zone }
    }
}

/// How many senders a member gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Quota {
    /// Those of its own zone.
    near: usize,
    /// Those of other zones.
    far: usize,
}

impl Quota {
    /// The quota of a member in this zone, where so many proxies are chosen from, `near_proxies` of them in it.
    /// Where one side has too few proxies the other makes up for it; a zone without proxies leaves all to the rest.
    fn new(service: &Census<'_>, zone: &str, proxies: usize, near_proxies: usize) -> Self {
        let per_member = |tenths: u64, proxies: usize, members: usize| {
            (tenths * service.size as u64 * proxies as u64).div_ceil(10 * members as u64) as usize
        };
        let wanted_near = match near_proxies {
            0 => per_member(NEAR_TENTHS, proxies, service.members),
            some => per_member(NEAR_TENTHS, some, service.by_zone[zone]),
        };
        let wanted_far = per_member(FAR_TENTHS, proxies, service.members);
        let all = (wanted_near + wanted_far).max(MIN_SENDERS).min(proxies);
        let near = all.saturating_sub(wanted_far).min(near_proxies);
        let far = (all - near).min(proxies - near_proxies);
        Self { near: all - far, far }
    }
}

/// A proxy's weight for a member; `rank` is its place in the pool.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Weighed {
    weight: u64,
    rank: usize,
}

/// The proxies that a choice is made among, in order of their zones and names.
struct Pool<'a> {
    proxies: Vec<ProxyIndex>,
    /// What the weights of each are seeded with.
    seeds: Vec<u64>,
    /// The places of each zone's proxies.
    zones: BTreeMap<&'a str, Range<usize>>,
}

impl<'a> Pool<'a> {
    /// The active proxies, and those of the other phase.
    fn new(candidates: &[Candidate<'a>], other: ProxyPhase) -> Self {
        let mut pooled: Vec<(&Candidate<'a>, ProxyIndex)> = candidates.iter().zip(0..).collect();
        pooled.retain(|(one, _)| one.phase == ProxyPhase::Active || one.phase == other);
        pooled.sort_unstable_by_key(|(one, _)| (one.zone, one.name));
        let mut zones = BTreeMap::new();
        for (place, (one, _)) in pooled.iter().enumerate() {
            zones.entry(one.zone).or_insert(place..place).end = place + 1;
        }
        let seeds = pooled.iter().map(|(one, _)| hash(one.name.as_bytes())).collect();
        let proxies = pooled.into_iter().map(|(_, index)| index).collect();
        Self { proxies, seeds, zones }
    }

    /// The weights, for the member or cell with this hash, of the proxies at these places.
    fn weigh(&self, key: u64, places: Range<usize>) -> impl Iterator<Item = Weighed> {
        let seeds = self.seeds[places.clone()].iter();
        let weight = move |seed: &u64| xxh64(&key.to_le_bytes(), *seed);
        seeds.zip(places).map(move |(seed, rank)| Weighed { weight: weight(seed), rank })
    }
}

/// Chooses member by member; it keeps its buffers in between.
struct Choice<'a> {
    /// The proxies before and after the release; one of them outside of a release.
    pools: Vec<Pool<'a>>,
    greatest: Greatest,
    chosen: Vec<ProxyIndex>,
}

impl<'a> Choice<'a> {
    fn new(candidates: &[Candidate<'a>]) -> Self {
        let mut pools = vec![Pool::new(candidates, ProxyPhase::Leaving)];
        if candidates.iter().any(|candidate| candidate.phase != ProxyPhase::Active) {
            pools.push(Pool::new(candidates, ProxyPhase::Joining));
        }
        Self { pools, greatest: Greatest::default(), chosen: Vec::new() }
    }

    /// The senders of a member in this zone whose id or cell has this hash.
    fn senders(&mut self, service: &Census<'_>, zone: &str, key: u64) -> &[ProxyIndex] {
        self.chosen.clear();
        for pool in &self.pools {
            let all = pool.proxies.len();
            let near = pool.zones.get(zone).cloned().unwrap_or(0..0);
            let quota = Quota::new(service, zone, all, near.len());
            let far = pool.weigh(key, 0..near.start).chain(pool.weigh(key, near.end..all));
            let index = |rank: usize| pool.proxies[rank];
            self.chosen.extend(self.greatest.of(pool.weigh(key, near), quota.near).map(index));
            self.chosen.extend(self.greatest.of(far, quota.far).map(index));
        }
        self.chosen.sort_unstable();
        self.chosen.dedup();
        &self.chosen
    }
}

/// Finds the greatest of many; it keeps its buffer in between.
#[derive(Default)]
struct Greatest {
    /// The least of them on top.
    heap: BinaryHeap<Reverse<Weighed>>,
}

impl Greatest {
    /// The places of the `count` greatest, in no order.
    fn of(&mut self, mut all: impl Iterator<Item = Weighed>, count: usize) -> impl Iterator<Item = usize> {
        self.heap.clear();
        self.heap.extend(all.by_ref().take(count).map(Reverse));
        all.for_each(|one| {
            if let Some(mut least) = self.heap.peek_mut().filter(|least| one > least.0) {
                *least = Reverse(one);
            }
        });
        self.heap.drain().map(|Reverse(one)| one.rank)
    }
}
