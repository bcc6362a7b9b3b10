//! Rendezvous hashing transposed: each member takes the proxies of greatest hash, most of them of its own zone. This
//! is what the list service does, and its own code is what is weighed.

use super::{Service, View, whole};
use haventrack::registry::ProxyPhase;
use haventrack::registry::subset::{Assignment, Candidate, Policy, Target};
use std::num::NonZeroUsize;

/// The view of each proxy. With `keep_cells` whole cells are chosen.
pub fn views(service: &Service, subset_size: usize, keep_cells: bool) -> Vec<View> {
    let zones = zones(service);
    let proxies: Vec<_> = service
        .proxies
        .iter()
        .map(|proxy| Candidate {
            name: &proxy.name,
            zone: &zones[usize::from(proxy.zone)],
            phase: ProxyPhase::Active,
        })
        .collect();
    let members: Vec<_> = service
        .members
        .iter()
        .map(|member| Target { id: &member.id, zone: &zones[usize::from(member.zone)], cell: member.cell })
        .collect();
    let policy = Policy { subset_size: NonZeroUsize::new(subset_size), keep_cells };
    let assignment = Assignment::new(policy, &proxies, &members);
    let view = |proxy| assignment.members_of(proxy).iter().map(|&member| whole(member as usize)).collect();
    (0..proxies.len() as u32).map(view).collect()
}

/// The names of all zones.
fn zones(service: &Service) -> Vec<String> {
    let of_members = service.members.iter().map(|member| member.zone);
    let of_proxies = service.proxies.iter().map(|proxy| proxy.zone);
    let last = of_members.chain(of_proxies).max().unwrap_or_default();
    (0..=last).map(|zone| format!("zone-{zone}")).collect()
}
