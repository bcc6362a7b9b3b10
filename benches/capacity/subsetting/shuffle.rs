//! Shuffle sharding, as the Amazon Builders' Library describes it: each proxy draws its members by a shuffle that its
//! own name seeds, so that two proxies seldom share all of them. Zones play no part. The list that is shuffled is in the
//! order of the members' hashes: a member that joins may stand anywhere in it.

use super::{Service, View, by_hash, hash, whole};

/// The view of each proxy.
pub fn views(service: &Service, subset_size: usize) -> Vec<View> {
    let members = by_hash(service.members.iter().map(|member| member.id.as_str()));
    let draw = |name: &str| {
        let mut rng = fastrand::Rng::with_seed(hash(name));
        rng.choose_multiple(members.iter().copied(), subset_size)
    };
    service.proxies.iter().map(|proxy| draw(&proxy.name).into_iter().map(whole).collect()).collect()
}
