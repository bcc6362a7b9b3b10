//! The state behind the answers at one revision: the whole list and the views, with their changes.
//!
//! A store does not change; [`Store::next`] makes the one that follows it. The revision only grows: it is the file's
//! own, or, where the file has none, counts the changes.

use super::config::{Config, Member};
use super::contents::Contents;
use super::entry::{Answer, Entry};
use super::error::{RegistryError, ViewError};
use super::list::{Step, WatchedList};
use super::query::Scope;
use super::views::Views;
use crate::names::Name;
use std::collections::BTreeSet;
use std::num::NonZeroU64;
use std::path::Path;
use std::sync::Arc;

/// The lists at one revision.
#[derive(Debug)]
pub struct Store {
    revision: u64,
    /// Whether the revision is the file's own.
    numbered: bool,
    /// The most changes kept of a list.
    keep: usize,
    contents: Contents,
    whole: WatchedList,
    views: Views,
}

/// Who is to hear of a store that follows another.
#[derive(Debug)]
pub struct News {
    /// Whether the whole list changed.
    pub whole_changed: bool,
    /// The proxies whose views changed.
    pub touched: BTreeSet<Name>,
}

impl Store {
    /// The store of the file that the process starts with; its lists begin at its revision.
    pub fn new(config: Config) -> Self {
        let counted = u64::from(!config.members.is_empty());
        let revision = config.revision.map_or(counted, NonZeroU64::get);
        let numbered = config.revision.is_some();
        let keep = config.keep_changes.max(1);
        let contents = Contents::new(config, &Contents::default());
        let step = Step { revision, contents: &contents, keep };
        let whole = WatchedList::new(contents.members.iter().map(whole_entry).collect(), revision);
        let views = Views::default().next(&step);
        Self { revision, numbered, keep, contents, whole, views }
    }

    /// The revision in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The store of a file that is read while this one is in force; `None` where the file changes nothing. Its
    /// `listen` and `keep_changes` stay as they were at the start.
    ///
    /// # Errors
    /// A file with other contents whose `revision` is missing or not greater, where one is needed.
    pub fn next(&self, config: Config, path: &Path) -> Result<Option<(Self, News)>, RegistryError> {
        let own = config.revision;
        if self.numbered && own.is_none() {
            return Err(RegistryError::RevisionMissing { path: path.to_path_buf() });
        }
        let contents = Contents::new(config, &self.contents);
        let same = contents == self.contents;
        if same && own.is_none_or(|own| own.get() == self.revision) {
            return Ok(None);
        }
        let revision = match own {
            Some(read) if read.get() > self.revision => read.get(),
            Some(read) => {
                let path = path.to_path_buf();
                return Err(RegistryError::RevisionNotGreater { path, read, held: self.revision });
            }
            None => self.revision + 1,
        };
        Ok(Some(self.step(contents, revision, own.is_some())))
    }

    fn step(&self, contents: Contents, revision: u64, numbered: bool) -> (Self, News) {
        let step = Step { revision, contents: &contents, keep: self.keep };
        let whole = self.whole.next(self.whole_entries(&contents), &step);
        let views = self.views.next(&step);
        let whole_changed = whole.changed_at() == revision;
        let touched = views.touched(&self.views, revision);
        let store = Self { revision, numbered, keep: self.keep, contents, whole, views };
        (store, News { whole_changed, touched })
    }

    /// The entries of the whole list with these contents; those that stay are shared with this one.
    fn whole_entries(&self, contents: &Contents) -> Vec<Arc<Entry>> {
        let held = self.whole.entries();
        let entry = |member: &Arc<Member>| match held.binary_search_by(|entry| entry.id().cmp(&member.id)) {
            Ok(place) if Arc::ptr_eq(&held[place].member, member) => Arc::clone(&held[place]),
            _ => whole_entry(member),
        };
        contents.members.iter().map(entry).collect()
    }

    /// Whether the file has this proxy.
    pub fn has_proxy(&self, name: &Name) -> bool {
        self.views.has_proxy(name)
    }

    /// Whether a watch from this revision has something to hear. A list that the file does not give is heard of too.
    pub fn has_news(&self, scope: &Scope, after: u64) -> bool {
        match scope {
            Scope::Whole => self.whole.changed_at() > after,
            Scope::View(scope) => self.views.view(scope).map_or(true, |view| view.changed_after(after)),
        }
    }

    /// The answer to a list or a watch: the entries changed since `after`, or all of them with `complete: true` when
    /// `after` is 0, newer than the revision in force, or older than the changes kept.
    ///
    /// # Errors
    /// A view that the file does not give.
    pub fn answer<'a>(&'a self, scope: &'a Scope, after: u64) -> Result<Answer<'a>, ViewError> {
        let known = after > 0 && after <= self.revision;
        let (complete, members, proxies) = match scope {
            Scope::Whole => {
                let complete = !known || self.whole.is_compacted_after(after);
                let members = if complete { self.whole.all() } else { self.whole.changed_after(after) };
                (complete, members, None)
            }
            Scope::View(scope) => {
                let view = self.views.view(scope)?;
                let complete = !known || view.is_compacted_after(after);
                let members = if complete { view.entries() } else { view.entries_changed_after(after) };
                (complete, members, Some(view.proxies()))
            }
        };
        Ok(Answer { complete, members, revision: self.revision, proxies })
    }
}

fn whole_entry(member: &Arc<Member>) -> Arc<Entry> {
    Entry::held(member, None)
}
