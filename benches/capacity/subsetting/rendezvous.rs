//! Rendezvous hashing (Thaler and Ravishankar, 1998): a proxy ranks all members by the hash of the pair and takes the
//! first ones, most of them from its own zone.

use super::{NEAR_PART, Proxy, Service, View, greatest, hash, pair, whole};

/// The view of each proxy.
pub fn views(service: &Service, subset_size: usize) -> Vec<View> {
    service.proxies.iter().map(|proxy| view(service, proxy, subset_size)).collect()
}

fn view(service: &Service, proxy: &Proxy, subset_size: usize) -> View {
    let name = hash(&proxy.name);
    let (mut near, mut far) = (Vec::new(), Vec::new());
    for (position, member) in service.members.iter().enumerate() {
        let side = if member.zone == proxy.zone { &mut near } else { &mut far };
        side.push((pair(name, &member.id), position));
    }
    // Where one side has too few, the other makes up for it.
    let wanted_near = (NEAR_PART * subset_size as f64).ceil() as usize;
    let from_far = (subset_size - wanted_near.min(near.len())).min(far.len());
    let from_near = subset_size - from_far;
    let chosen = greatest(near, from_near).into_iter().chain(greatest(far, from_far));
    chosen.map(whole).collect()
}
