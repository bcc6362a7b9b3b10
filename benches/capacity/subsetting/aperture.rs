//! Deterministic aperture, as Finagle describes it: proxies and members each stand evenly on a ring of length 1 in
//! the order of their hashes. A proxy sends to the members that the arc from its own place on overlaps, and to each in
//! proportion to the overlap. The arc is a whole number of the distances between proxies, so that all arcs together
//! cover each place of the ring equally often. Zones play no part.

use super::{Entry, Service, View, by_hash};

/// Overlaps below this part of a member are rounding.
const ROUNDING: f64 = 1e-9;

/// The view of each proxy.
pub fn views(service: &Service, subset_size: usize) -> Vec<View> {
    let members = by_hash(service.members.iter().map(|m| m.id.as_str()));
    let proxies = by_hash(service.proxies.iter().map(|p| p.name.as_str()));
    let steps = (subset_size * proxies.len()).div_ceil(members.len()).clamp(1, proxies.len());
    let mut views = vec![View::new(); proxies.len()];
    for (place, &proxy) in proxies.iter().enumerate() {
        views[proxy] = arc(&members, place, steps, proxies.len());
    }
    views
}

/// The members that the arc overlaps: it begins at the proxy's place and is `steps` of the `proxies` places long.
fn arc(members: &[usize], place: usize, steps: usize, proxies: usize) -> View {
    // In units of one member's part of the ring.
    let unit = members.len() as f64 / proxies as f64;
    let (begin, end) = (place as f64 * unit, (place + steps) as f64 * unit);
    let overlap = |slot: usize| (end.min(slot as f64 + 1.0) - begin.max(slot as f64)).min(1.0);
    let slots = begin.floor() as usize..(end.ceil() as usize).min(begin.floor() as usize + members.len());
    let entries = slots.map(|slot| Entry { member: members[slot % members.len()], part: overlap(slot) });
    entries.filter(|entry| entry.part > ROUNDING).collect()
}
