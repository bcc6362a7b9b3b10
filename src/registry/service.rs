//! What each proxy holds of one service, and how that changes.

use super::config::{Member, Proxy, Service};
use super::entry::Entry;
use super::list::{Step, WatchedList};
use super::subset::{Assignment, Candidate, MemberIndex, Policy, ProxyIndex, Target};
use crate::api::Senders;
use crate::names::Name;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Changes kept for a proxy's part of a service, however small it is.
const LEAST_CHANGES_KEPT: usize = 64;

/// One service: its proxies and members, and the members that each proxy holds.
#[derive(Debug)]
pub struct ServiceViews {
    service: Service,
    /// In order of their names.
    proxies: Vec<Arc<Proxy>>,
    /// All members with their senders, in order of their ids.
    entries: Vec<Arc<Entry>>,
    lists: Lists,
    /// When the number of proxies last changed.
    proxies_changed_at: u64,
}

/// The members that each proxy holds.
#[derive(Debug)]
enum Lists {
    /// Every proxy holds all of them.
    Shared(WatchedList),
    /// Each proxy holds its own, in order of the proxies.
    Own(Vec<WatchedList>),
}

impl ServiceViews {
    /// The views of a service with these proxies and members, in order of names and ids. Without an earlier state
    /// the lists begin at this step.
    pub fn new(
        service: &Service,
        proxies: Vec<Arc<Proxy>>,
        members: &[Arc<Member>],
        earlier: Option<&Self>,
        step: &Step<'_>,
    ) -> Self {
        let policy = Policy { subset_size: service.subset_size, keep_cells: service.keep_cells };
        let (entries, lists) = if policy.subset_of(members.len()).is_none() {
            let entries = shared_entries(&proxies, members, earlier);
            let before = earlier.and_then(Self::shared_list);
            let list = next_list(before, entries.clone(), step);
            (entries, Lists::Shared(list))
        } else {
            let assignment = assign(policy, &proxies, members);
            let entries = own_entries(&assignment, &proxies, members, earlier);
            let list_of = |(index, proxy): (usize, &Arc<Proxy>)| {
                let held = assignment.members_of(index as ProxyIndex).iter();
                let held = held.map(|&member| Arc::clone(&entries[member as usize])).collect();
                next_list(earlier.and_then(|earlier| earlier.list_of(&proxy.name)), held, step)
            };
            let lists = proxies.iter().enumerate().map(list_of).collect();
            (entries, Lists::Own(lists))
        };
        let unchanged = earlier.filter(|earlier| earlier.proxies.len() == proxies.len());
        let proxies_changed_at = unchanged.map_or(step.revision, |earlier| earlier.proxies_changed_at);
        Self { service: service.clone(), proxies, entries, lists, proxies_changed_at }
    }

    /// Whether a service with these proxies and members has just these views.
    pub fn is_made_from(&self, service: &Service, proxies: &[Arc<Proxy>], members: &[Arc<Member>]) -> bool {
        let same_place = |one: &Arc<Proxy>, other: &Arc<Proxy>| {
            one.name == other.name && one.zone == other.zone && one.phase == other.phase
        };
        self.service == *service
            && self.proxies.len() == proxies.len()
            && self.proxies.iter().zip(proxies).all(|(one, other)| same_place(one, other))
            && self.entries.len() == members.len()
            && self.entries.iter().zip(members).all(|(entry, member)| entry.member == *member)
    }

    /// What this proxy holds; `None` for one that does not serve this service.
    pub fn list_of(&self, proxy: &Name) -> Option<&WatchedList> {
        let index = self.proxies.binary_search_by(|other| other.name.cmp(proxy)).ok()?;
        Some(self.list(index))
    }

    fn list(&self, index: usize) -> &WatchedList {
        match &self.lists {
            Lists::Shared(list) => list,
            Lists::Own(lists) => &lists[index],
        }
    }

    /// The proxies, in order of their names.
    pub fn proxies(&self) -> &[Arc<Proxy>] {
        &self.proxies
    }

    /// When the number of proxies last changed.
    pub fn proxies_changed_at(&self) -> u64 {
        self.proxies_changed_at
    }

    /// The proxies for which this service changed at this revision.
    pub fn changed_for(&self, revision: u64) -> impl Iterator<Item = &Name> {
        let changed =
            move |index| self.proxies_changed_at == revision || self.list(index).changed_at() == revision;
        let proxies = self.proxies.iter().enumerate();
        proxies.filter(move |&(index, _)| changed(index)).map(|(_, proxy)| &proxy.name)
    }

    fn shared_list(&self) -> Option<&WatchedList> {
        match &self.lists {
            Lists::Shared(list) => Some(list),
            Lists::Own(_) => None,
        }
    }

    /// The entry of this member with these senders, where there is one.
    fn entry(&self, member: &Arc<Member>, senders: Senders) -> Option<&Arc<Entry>> {
        let place = self.entries.binary_search_by(|entry| entry.id().cmp(&member.id)).ok()?;
        let entry = &self.entries[place];
        let same = Arc::ptr_eq(&entry.member, member) && entry.senders == Some(senders);
        same.then_some(entry)
    }
}

/// The list with these entries that follows the earlier one; without one it begins at this step.
fn next_list(earlier: Option<&WatchedList>, entries: Vec<Arc<Entry>>, step: &Step<'_>) -> WatchedList {
    // Where there are many more changes than entries, the whole list is the shorter answer.
    let step = step.keeping(2 * entries.len().max(LEAST_CHANGES_KEPT));
    match earlier {
        Some(earlier) => earlier.next(entries, &step),
        None => WatchedList::new(entries, step.revision),
    }
}

fn assign(policy: Policy, proxies: &[Arc<Proxy>], members: &[Arc<Member>]) -> Assignment {
    let candidates: Vec<_> = proxies.iter().map(|proxy| candidate(proxy)).collect();
    let targets: Vec<_> = members.iter().map(|member| target(member)).collect();
    Assignment::new(policy, &candidates, &targets)
}

fn candidate(proxy: &Proxy) -> Candidate<'_> {
    Candidate { name: proxy.name.as_str(), zone: &proxy.zone, phase: proxy.phase }
}

fn target(member: &Member) -> Target<'_> {
    Target { id: &member.id, zone: &member.locality, cell: member.cell }
}

/// The entries of members that all proxies hold.
fn shared_entries(
    proxies: &[Arc<Proxy>],
    members: &[Arc<Member>],
    earlier: Option<&ServiceViews>,
) -> Vec<Arc<Entry>> {
    let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
    proxies.iter().for_each(|proxy| *by_zone.entry(&proxy.zone).or_default() += 1);
    let entry = |member: &Arc<Member>| {
        let local = by_zone.get(member.locality.as_str()).copied().unwrap_or(0);
        entry_of(member, Senders { all: proxies.len() as u32, local }, earlier)
    };
    members.iter().map(entry).collect()
}

/// The entries of members that some proxies hold each.
fn own_entries(
    assignment: &Assignment,
    proxies: &[Arc<Proxy>],
    members: &[Arc<Member>],
    earlier: Option<&ServiceViews>,
) -> Vec<Arc<Entry>> {
    let entry = |(index, member): (usize, &Arc<Member>)| {
        let senders = assignment.senders_of(index as MemberIndex);
        let is_local = |proxy: &&ProxyIndex| proxies[**proxy as usize].zone == member.locality;
        let local = senders.iter().filter(is_local).count() as u32;
        entry_of(member, Senders { all: senders.len() as u32, local }, earlier)
    };
    members.iter().enumerate().map(entry).collect()
}

fn entry_of(member: &Arc<Member>, senders: Senders, earlier: Option<&ServiceViews>) -> Arc<Entry> {
    let same = earlier.and_then(|earlier| earlier.entry(member, senders));
    same.map_or_else(|| Entry::held(member, Some(senders)), Arc::clone)
}
