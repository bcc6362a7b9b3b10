//! What each proxy's view holds, over all services, and since when.

use super::config::Proxy;
use super::contents::{Contents, ServiceParts};
use super::entry::Entry;
use super::error::ViewError;
use super::list::{LatestChanges, Step, WatchedList};
use super::query::ViewScope;
use super::service::ServiceViews;
use crate::names::{Name, ServiceSelection};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// The views of all proxies at one revision. Services that a step does not change are shared with the state before.
#[derive(Debug, Default)]
pub struct Views {
    services: BTreeMap<Name, Arc<ServiceViews>>,
    listings: BTreeMap<Name, Listing>,
}

/// The services that the file lists a proxy for.
#[derive(Debug)]
struct Listing {
    services: ServiceSelection,
    /// When these services last became others.
    changed_at: u64,
    /// How many proxies serve any of these services.
    proxies: u32,
    /// When that number last changed.
    proxies_changed_at: u64,
}

impl Views {
    /// The views that follow this state at this step.
    pub fn next(&self, step: &Step<'_>) -> Self {
        let contents = step.contents;
        let parts = contents.by_service();
        let services: BTreeMap<Name, Arc<ServiceViews>> =
            parts.iter().map(|(&name, parts)| (name.clone(), self.next_service(name, parts, step))).collect();
        let same_services = self.services.keys().eq(services.keys());
        let counts = proxy_counts(contents, &parts);
        let listing_of = |proxy: &'_ Arc<Proxy>| {
            let earlier = self.listings.get(&proxy.name);
            let count = counts[&proxy.services];
            (proxy.name.clone(), Listing::next(earlier, proxy, same_services, count, step.revision))
        };
        let listings = contents.proxies.iter().map(listing_of).collect();
        Self { services, listings }
    }

    fn next_service(&self, name: &Name, parts: &ServiceParts, step: &Step<'_>) -> Arc<ServiceViews> {
        let service = &step.contents.services[name];
        let proxy = |&place: &usize| Arc::clone(&step.contents.proxies[place]);
        let proxies: Vec<_> = parts.proxies.iter().map(proxy).collect();
        let earlier = self.services.get(name);
        match earlier.filter(|earlier| earlier.is_made_from(service, &proxies, &parts.members)) {
            Some(same) => Arc::clone(same),
            None => {
                let earlier = earlier.map(|earlier| &**earlier);
                Arc::new(ServiceViews::new(service, proxies, &parts.members, earlier, step))
            }
        }
    }

    /// The proxies whose views differ from those of the state before, at whose step they were made.
    pub fn touched(&self, before: &Self, revision: u64) -> BTreeSet<Name> {
        let services = self.services.iter();
        let differing = services.filter(|(name, service)| {
            before.services.get(*name).is_none_or(|earlier| !Arc::ptr_eq(earlier, service))
        });
        let by_service = differing.flat_map(|(_, service)| service.changed_for(revision));
        let relisted = self
            .listings
            .iter()
            .filter(|(_, listing)| listing.changed_at == revision || listing.proxies_changed_at == revision);
        let gone = before.listings.keys().filter(|name| !self.listings.contains_key(*name));
        by_service.chain(relisted.map(|(name, _)| name)).chain(gone).cloned().collect()
    }

    /// Whether the file has this proxy.
    pub fn has_proxy(&self, name: &Name) -> bool {
        self.listings.contains_key(name)
    }

    /// The view that a call asks for.
    ///
    /// # Errors
    /// An unknown proxy or service, or a proxy that is not listed for the service.
    pub fn view<'a>(&'a self, scope: &'a ViewScope) -> Result<View<'a>, ViewError> {
        let proxy = &scope.proxy;
        let listing = self.listings.get(proxy).ok_or_else(|| ViewError::UnknownProxy(proxy.clone()))?;
        let names: Vec<&Name> = match (&scope.services, &listing.services) {
            (ServiceSelection::Named(named), _) => named.iter().collect(),
            (ServiceSelection::All, ServiceSelection::Named(listed)) => listed.iter().collect(),
            (ServiceSelection::All, ServiceSelection::All) => self.services.keys().collect(),
        };
        let parts = names.into_iter().map(|name| self.part(proxy, name)).collect::<Result<_, _>>()?;
        let listing = Some(listing).filter(|_| scope.services == ServiceSelection::All);
        Ok(View { parts, listing })
    }

    fn part<'a>(&'a self, proxy: &Name, service: &Name) -> Result<Part<'a>, ViewError> {
        let unknown = || ViewError::UnknownService(service.clone());
        let views = self.services.get(service).ok_or_else(unknown)?;
        let not_listed = || ViewError::NotListed { proxy: proxy.clone(), service: service.clone() };
        let list = views.list_of(proxy).ok_or_else(not_listed)?;
        Ok(Part { service: views, list })
    }
}

impl Listing {
    /// The listing of this proxy that follows the earlier one; `same_services`: the file has the same services.
    fn next(earlier: Option<&Self>, proxy: &Proxy, same_services: bool, proxies: u32, revision: u64) -> Self {
        let is_same = |earlier: &&Self| {
            let means_the_same = same_services || proxy.services != ServiceSelection::All;
            earlier.services == proxy.services && means_the_same
        };
        let same = earlier.filter(is_same);
        let counted_same = earlier.filter(|earlier| earlier.proxies == proxies);
        Self {
            services: proxy.services.clone(),
            changed_at: same.map_or(revision, |earlier| earlier.changed_at),
            proxies,
            proxies_changed_at: counted_same.map_or(revision, |earlier| earlier.proxies_changed_at),
        }
    }
}

/// How many proxies serve any of some services, for each choice of services that a proxy is listed with.
fn proxy_counts<'a>(
    contents: &'a Contents,
    parts: &BTreeMap<&Name, ServiceParts>,
) -> HashMap<&'a ServiceSelection, u32> {
    let selections: HashSet<_> = contents.proxies.iter().map(|proxy| &proxy.services).collect();
    let count = |services: &ServiceSelection| {
        let mut serves = vec![false; contents.proxies.len()];
        let mark = |parts: &ServiceParts| parts.proxies.iter().for_each(|&place| serves[place] = true);
        match services {
            ServiceSelection::All => parts.values().for_each(mark),
            ServiceSelection::Named(named) => named.iter().map(|name| &parts[name]).for_each(mark),
        }
        serves.into_iter().filter(|&serves| serves).count() as u32
    };
    selections.into_iter().map(|services| (services, count(services))).collect()
}

/// A proxy's view of the services that it asks for.
pub struct View<'a> {
    parts: Vec<Part<'a>>,
    /// Where it asks for all services that it is listed for.
    listing: Option<&'a Listing>,
}

/// A proxy's view of one service.
struct Part<'a> {
    service: &'a ServiceViews,
    list: &'a WatchedList,
}

impl<'a> View<'a> {
    /// Whether the view changed after this revision. Where some of several services are asked for, a change of the
    /// number of proxies of one of them counts, also if the number over all is the same.
    pub fn changed_after(&self, revision: u64) -> bool {
        let proxies_changed = match self.listing {
            Some(listing) => listing.changed_at.max(listing.proxies_changed_at) > revision,
            None => self.parts.iter().any(|part| part.service.proxies_changed_at() > revision),
        };
        proxies_changed || self.parts.iter().any(|part| part.list.changed_at() > revision)
    }

    /// Whether the changes after this revision are no longer known.
    pub fn is_compacted_after(&self, revision: u64) -> bool {
        let relisted = self.listing.is_some_and(|listing| listing.changed_at > revision);
        relisted || self.parts.iter().any(|part| part.list.is_compacted_after(revision))
    }

    /// The entries, in order of their ids.
    pub fn entries(&self) -> Vec<&'a Entry> {
        let mut entries: Vec<&Entry> =
            self.parts.iter().flat_map(|part| part.list.entries()).map(|entry| &**entry).collect();
        entries.sort_by(|one, other| one.id().cmp(other.id()));
        entries
    }

    /// The entries changed after this revision, in order of their ids.
    pub fn entries_changed_after(&self, revision: u64) -> Vec<&'a Entry> {
        let mut latest = LatestChanges::default();
        let changes = self.parts.iter().flat_map(|part| part.list.changes_after(revision));
        changes.for_each(|change| latest.take(change));
        latest.into_entries()
    }

    /// How many proxies serve any of the services.
    pub fn proxies(&self) -> u32 {
        match (self.listing, &self.parts[..]) {
            (Some(listing), _) => listing.proxies,
            (None, [part]) => part.service.proxies().len() as u32,
            (None, parts) => {
                let proxies = parts.iter().flat_map(|part| part.service.proxies());
                proxies.map(|proxy| &proxy.name).collect::<HashSet<_>>().len() as u32
            }
        }
    }
}
