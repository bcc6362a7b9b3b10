//! A list that is watched: its entries, and its last changes with the revision at which each was made.
//!
//! Changes are kept up to a bound; whoever asks from before the oldest one kept gets the whole list (compaction).

use super::contents::Contents;
use super::entry::Entry;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How an entry of a change stands to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    /// The member is gone.
    Left,
    /// The member still exists and the list no longer holds it.
    Departed,
    /// The list holds it.
    Held,
}

/// A change as it is told.
#[derive(Clone, Debug)]
pub struct Change {
    revision: u64,
    standing: Standing,
    entry: Arc<Entry>,
}

/// Entries in order of their ids, and the changes kept.
#[derive(Clone, Debug)]
pub struct WatchedList {
    entries: Vec<Arc<Entry>>,
    changes: VecDeque<Change>,
    /// The last revision of which a change is no longer kept.
    compacted: u64,
    /// The revision of the last change.
    changed_at: u64,
}

/// The step from one state to the next, as the lists see it.
#[derive(Clone, Copy)]
pub struct Step<'a> {
    /// The revision that it makes.
    pub revision: u64,
    /// What the file says now.
    pub contents: &'a Contents,
    /// The most changes kept of a list.
    pub keep: usize,
}

impl WatchedList {
    /// A list that begins at this revision with these entries, which are in order of their ids.
    pub fn new(entries: Vec<Arc<Entry>>, revision: u64) -> Self {
        Self { entries, changes: VecDeque::new(), compacted: revision, changed_at: revision }
    }

    /// The entries, in order of their ids.
    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// The revision of the last change.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }

    /// Whether changes after this revision are no longer kept.
    pub fn is_compacted_after(&self, revision: u64) -> bool {
        revision < self.compacted
    }

    /// The list with these entries in place of its own, which are in order of their ids. What differs is a change of
    /// this step.
    pub fn next(&self, entries: Vec<Arc<Entry>>, step: &Step<'_>) -> Self {
        let mut told = difference(&self.entries, &entries, step);
        self.tell_departed_that_left(&entries, step, &mut told);
        let mut next = Self { entries, ..self.clone() };
        if told.is_empty() {
            return next;
        }
        next.changed_at = step.revision;
        next.changes.extend(told);
        while next.changes.len() > step.keep {
            next.compacted = next.changes.pop_front().map_or(next.compacted, |change| change.revision);
        }
        next
    }

    /// A member that the list was told to have given up, and that is gone now, is told as gone.
    fn tell_departed_that_left(&self, entries: &[Arc<Entry>], step: &Step<'_>, told: &mut Vec<Change>) {
        let mut latest = LatestChanges::default();
        self.changes.iter().for_each(|change| latest.take(change));
        let departed = latest.by_id.into_values().filter(|change| change.standing == Standing::Departed);
        for Change { entry, .. } in departed {
            let returned = entries.binary_search_by(|other| other.id().cmp(entry.id())).is_ok();
            if !returned && !step.has(entry.id()) {
                told.push(step.change(Standing::Left, Entry::left(&entry.member)));
            }
        }
    }

    /// All entries, in order of their ids.
    pub fn all(&self) -> Vec<&Entry> {
        self.entries.iter().map(|entry| &**entry).collect()
    }

    /// The entries changed after this revision, in order of their ids.
    pub fn changed_after(&self, revision: u64) -> Vec<&Entry> {
        let mut latest = LatestChanges::default();
        self.changes_after(revision).for_each(|change| latest.take(change));
        latest.into_entries()
    }

    /// The changes after this revision, in order.
    pub fn changes_after(&self, revision: u64) -> impl Iterator<Item = &Change> {
        let first = self.changes.partition_point(|change| change.revision <= revision);
        self.changes.range(first..)
    }
}

impl Step<'_> {
    /// The same step for a list of which at most so many changes are kept.
    pub fn keeping(self, keep: usize) -> Self {
        Self { keep: keep.min(self.keep), ..self }
    }

    /// Whether the file still has the member with this id.
    fn has(&self, id: &str) -> bool {
        self.contents.member(id).is_some()
    }

    fn change(&self, standing: Standing, entry: Arc<Entry>) -> Change {
        Change { revision: self.revision, standing, entry }
    }

    /// The change of an entry that the list holds no longer.
    fn gone(&self, old: &Entry) -> Change {
        if self.has(old.id()) {
            self.change(Standing::Departed, Entry::leaving(&old.member))
        } else {
            self.change(Standing::Left, Entry::left(&old.member))
        }
    }
}

/// What this step changes between two lists in order of their ids.
fn difference(old: &[Arc<Entry>], new: &[Arc<Entry>], step: &Step<'_>) -> Vec<Change> {
    let mut told = Vec::new();
    let (mut old, mut new) = (old.iter().peekable(), new.iter().peekable());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return told,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => old.id().cmp(new.id()),
        };
        let was = if order.is_le() { old.next() } else { None };
        let is = if order.is_ge() { new.next() } else { None };
        match (was, is) {
            (Some(was), Some(is)) if Arc::ptr_eq(was, is) || was.is_told_as(is) => {}
            (_, Some(is)) => told.push(step.change(Standing::Held, Arc::clone(is))),
            (Some(was), None) => told.push(step.gone(was)),
            (None, None) => {}
        }
    }
}

/// The last change of each entry, over one or more lists. Of two at one revision, the entry that is held wins: a
/// member that moved from one list to another is there.
#[derive(Default)]
pub struct LatestChanges<'a> {
    by_id: BTreeMap<&'a str, &'a Change>,
}

impl<'a> LatestChanges<'a> {
    /// Takes a change in.
    pub fn take(&mut self, change: &'a Change) {
        let place = self.by_id.entry(change.entry.id()).or_insert(change);
        if (change.revision, change.standing) >= (place.revision, place.standing) {
            *place = change;
        }
    }

    /// The entries, in order of their ids.
    pub fn into_entries(self) -> Vec<&'a Entry> {
        self.by_id.into_values().map(|change| &*change.entry).collect()
    }
}
