//! What a file says, in order and shared: the services, the proxies and the members.

use super::config::{Config, Member, Proxy, Service};
use crate::names::{Name, ServiceSelection};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The services, proxies and members of a file. Equal for files that differ only in their order.
#[derive(Debug, Default, PartialEq)]
pub struct Contents {
    /// The services by their names.
    pub services: BTreeMap<Name, Service>,
    /// The proxies in order of their names.
    pub proxies: Vec<Arc<Proxy>>,
    /// The members in order of their ids.
    pub members: Vec<Arc<Member>>,
}

/// What one service has.
#[derive(Debug, Default)]
pub struct ServiceParts {
    /// The places of its proxies in [`Contents::proxies`], in order.
    pub proxies: Vec<usize>,
    /// Its members in order of their ids.
    pub members: Vec<Arc<Member>>,
}

impl Contents {
    /// The contents of a checked file. Members that `earlier` has just so are shared with it.
    pub fn new(config: Config, earlier: &Self) -> Self {
        let services = config.services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut proxies: Vec<_> = config.proxies.into_iter().map(Arc::new).collect();
        proxies.sort_unstable_by(|one, other| one.name.cmp(&other.name));
        let share = |member: Member| match earlier.member(&member.id) {
            Some(same) if **same == member => Arc::clone(same),
            _ => Arc::new(member),
        };
        let mut members: Vec<_> = config.members.into_iter().map(share).collect();
        members.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        Self { services, proxies, members }
    }

    /// The member with this id.
    pub fn member(&self, id: &str) -> Option<&Arc<Member>> {
        let place = self.members.binary_search_by(|member| member.id.as_str().cmp(id));
        place.ok().map(|place| &self.members[place])
    }

    /// The proxies and members of each service.
    pub fn by_service(&self) -> BTreeMap<&Name, ServiceParts> {
        let mut parts: BTreeMap<&Name, ServiceParts> =
            self.services.keys().map(|name| (name, ServiceParts::default())).collect();
        for member in &self.members {
            if let Some(part) = member.service.as_ref().and_then(|service| parts.get_mut(service)) {
                part.members.push(Arc::clone(member));
            }
        }
        for (place, proxy) in self.proxies.iter().enumerate() {
            match &proxy.services {
                ServiceSelection::All => parts.values_mut().for_each(|part| part.proxies.push(place)),
                ServiceSelection::Named(named) => named.iter().for_each(|service| {
                    parts.entry(service).or_default().proxies.push(place);
                }),
            }
        }
        parts
    }
}
