//! The choice of senders: how many each member has, how large views are, and how little a change moves.

use haventrack::registry::ProxyPhase;
use haventrack::registry::subset::{Assignment, Candidate, MIN_SENDERS, Policy, Target};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroUsize;

#[derive(Clone, Debug)]
struct Proxy {
    name: String,
    zone: String,
    phase: ProxyPhase,
}

#[derive(Clone, Debug)]
struct Member {
    id: String,
    zone: String,
    cell: u32,
}

/// A proxy in one of the zones, by turns.
fn proxy(number: usize, zones: usize) -> Proxy {
    Proxy {
        name: format!("edge-{number}"),
        zone: format!("zone-{}", number % zones),
        phase: ProxyPhase::Active,
    }
}

/// A member in one of the zones, by turns, and in one of the cells of its zone.
fn member(number: usize, zones: usize, cell_size: usize) -> Member {
    let zone = number % zones;
    let cell = (number / zones / cell_size * zones + zone) as u32;
    Member { id: format!("s-{number}"), zone: format!("zone-{zone}"), cell }
}

fn proxies(count: usize, zones: usize) -> Vec<Proxy> {
    (0..count).map(|number| proxy(number, zones)).collect()
}

fn members(count: usize, zones: usize) -> Vec<Member> {
    (0..count).map(|number| member(number, zones, 10)).collect()
}

fn policy(size: usize, keep_cells: bool) -> Policy {
    Policy { subset_size: NonZeroUsize::new(size), keep_cells }
}

fn assign(policy: Policy, proxies: &[Proxy], members: &[Member]) -> Assignment {
    let candidates: Vec<_> =
        proxies.iter().map(|one| Candidate { name: &one.name, zone: &one.zone, phase: one.phase }).collect();
    let targets: Vec<_> =
        members.iter().map(|one| Target { id: &one.id, zone: &one.zone, cell: one.cell }).collect();
    Assignment::new(policy, &candidates, &targets)
}

/// The names of each member's senders.
fn senders(policy: Policy, proxies: &[Proxy], members: &[Member]) -> BTreeMap<String, BTreeSet<String>> {
    let assignment = assign(policy, proxies, members);
    let names = |index: usize| assignment.senders_of(index as u32).iter().map(|&at| at as usize);
    let row = |(index, member): (usize, &Member)| {
        (member.id.clone(), names(index).map(|at| proxies[at].name.clone()).collect())
    };
    members.iter().enumerate().map(row).collect()
}

/// The ids that each proxy holds.
fn views(policy: Policy, proxies: &[Proxy], members: &[Member]) -> BTreeMap<String, BTreeSet<String>> {
    let assignment = assign(policy, proxies, members);
    let ids = |index: usize| assignment.members_of(index as u32).iter().map(|&at| at as usize);
    let row = |(index, proxy): (usize, &Proxy)| {
        (proxy.name.clone(), ids(index).map(|at| members[at].id.clone()).collect())
    };
    proxies.iter().enumerate().map(row).collect()
}

fn phase() -> impl Strategy<Value = ProxyPhase> {
    prop_oneof![
        6 => Just(ProxyPhase::Active),
        1 => Just(ProxyPhase::Joining),
        1 => Just(ProxyPhase::Leaving),
    ]
}

/// Proxies of unequal zones, some of which no member is in, in any phase.
fn some_proxies() -> impl Strategy<Value = Vec<Proxy>> {
    let one = (0_usize..5, phase());
    proptest::collection::vec(one, 0..40).prop_map(|drawn| {
        let named = |(number, (zone, phase)): (usize, (usize, ProxyPhase))| Proxy {
            name: format!("p{number}"),
            zone: format!("zone-{zone}"),
            phase,
        };
        drawn.into_iter().enumerate().map(named).collect()
    })
}

/// Members of unequal zones, some of which no proxy is in.
fn some_members() -> impl Strategy<Value = Vec<Member>> {
    let one = (0_usize..7, 0_u32..12);
    proptest::collection::vec(one, 0..120).prop_map(|drawn| {
        let named = |(number, (zone, cell)): (usize, (usize, u32))| Member {
            id: format!("m{number}"),
            zone: format!("zone-{zone}"),
            cell,
        };
        drawn.into_iter().enumerate().map(named).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn every_member_has_its_fewest_senders_before_and_after_a_release(
        proxies in some_proxies(), members in some_members(), size in 1_usize..60, keep_cells: bool,
    ) {
        let assignment = assign(policy(size, keep_cells), &proxies, &members);
        for other in [ProxyPhase::Leaving, ProxyPhase::Joining] {
            let counts = |phase| phase == ProxyPhase::Active || phase == other;
            let pool = proxies.iter().filter(|proxy| counts(proxy.phase)).count();
            for index in 0..members.len() as u32 {
                let senders = assignment.senders_of(index).iter();
                let of_pool = senders.filter(|&&at| counts(proxies[at as usize].phase)).count();
                prop_assert!(of_pool >= MIN_SENDERS.min(pool), "{of_pool} of {pool}");
            }
        }
    }

    #[test]
    fn views_and_senders_say_the_same(
        proxies in some_proxies(), members in some_members(), size in 1_usize..60, keep_cells: bool,
    ) {
        let assignment = assign(policy(size, keep_cells), &proxies, &members);
        let mut by_members = BTreeSet::new();
        for member in 0..members.len() as u32 {
            by_members.extend(assignment.senders_of(member).iter().map(|&proxy| (proxy, member)));
        }
        let mut by_proxies = BTreeSet::new();
        for proxy in 0..proxies.len() as u32 {
            by_proxies.extend(assignment.members_of(proxy).iter().map(|&member| (proxy, member)));
        }
        prop_assert_eq!(by_members, by_proxies);
    }

    #[test]
    fn the_order_of_proxies_and_members_does_not_matter(
        (proxies, shuffled_proxies) in some_proxies().prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        (members, shuffled_members) in some_members().prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle())),
        size in 1_usize..60, keep_cells: bool,
    ) {
        let policy = policy(size, keep_cells);
        prop_assert_eq!(senders(policy, &proxies, &members), senders(policy, &shuffled_proxies, &shuffled_members));
    }

    #[test]
    fn a_cell_of_a_zone_is_held_whole_or_not_at_all(
        proxies in some_proxies(), members in some_members(), size in 1_usize..60,
    ) {
        let senders = senders(policy(size, true), &proxies, &members);
        let mut by_cell = BTreeMap::new();
        for member in &members {
            let first = by_cell.entry((&member.zone, member.cell)).or_insert(&senders[&member.id]);
            prop_assert_eq!(*first, &senders[&member.id]);
        }
    }

    #[test]
    fn a_service_of_no_more_members_than_a_view_is_held_whole(
        proxies in some_proxies(), members in some_members(), more in 0_usize..5, keep_cells: bool,
    ) {
        for policy in [policy(members.len() + more, keep_cells), policy(0, keep_cells)] {
            let assignment = assign(policy, &proxies, &members);
            for member in 0..members.len() as u32 {
                prop_assert_eq!(assignment.senders_of(member).len(), proxies.len());
            }
        }
    }
}

proptest! {
    // Each case makes two choices among a thousand members.
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn a_proxy_that_joins_changes_about_its_own_view(number in 1000_usize..100_000) {
        // The quotas are 3 near and 2 far with 80 proxies and with 81: only the choice moves.
        let (policy, members) = (policy(50, false), members(1000, 4));
        let before = proxies(80, 4);
        let mut after = before.clone();
        after.push(proxy(number, 4));
        let old = views(policy, &before, &members);
        let new = views(policy, &after, &members);
        let own = &new[&after[80].name];
        prop_assert!((20..=100).contains(&own.len()), "its view: {}", own.len());
        let gained: usize = old.iter().map(|(name, held)| new[name].difference(held).count()).sum();
        let lost: usize = old.iter().map(|(name, held)| held.difference(&new[name]).count()).sum();
        prop_assert_eq!((gained, lost), (0, own.len()), "others only give up what it takes");
    }

    #[test]
    fn a_proxy_that_leaves_gives_up_only_its_own_view(gone in 0_usize..81) {
        let (policy, members) = (policy(50, false), members(1000, 4));
        let before = proxies(81, 4);
        let mut after = before.clone();
        let gone = after.remove(gone).name;
        let old = senders(policy, &before, &members);
        let new = senders(policy, &after, &members);
        for (member, senders) in &old {
            let kept: BTreeSet<_> = senders.iter().filter(|name| **name != gone).cloned().collect();
            prop_assert!(kept.is_subset(&new[member]), "{member}");
            prop_assert!(senders.contains(&gone) || senders == &new[member], "{member}");
        }
    }
}

/// The expected size of each view by the quotas, and the smallest and largest view for these names.
fn sizes(size: usize, proxy_count: usize, member_count: usize, zones: usize) -> (f64, usize, usize) {
    let assignment = assign(policy(size, false), &proxies(proxy_count, zones), &members(member_count, zones));
    let sizes = || (0..proxy_count as u32).map(|proxy| assignment.members_of(proxy).len());
    let mean = sizes().sum::<usize>() as f64 / proxy_count as f64;
    (mean, sizes().min().unwrap_or(0), sizes().max().unwrap_or(0))
}

#[test]
fn views_have_about_the_size_asked_for() {
    // Rounding up a member's senders makes views larger by less than two senders of each member: 2 * n / P.
    for (size, proxies, members, zones) in
        [(100, 680, 8700, 6), (100, 120, 3000, 3), (50, 80, 1000, 4), (200, 400, 2000, 5)]
    {
        let (mean, least, most) = sizes(size, proxies, members, zones);
        let rounding = 2.0 * members as f64 / proxies as f64;
        let size = size as f64;
        assert!(mean >= size && mean <= size + rounding, "a mean of {mean} for {size}");
        // Five standard deviations of a count that is about Poisson's.
        let spread = 5.0 * mean.sqrt();
        assert!(least as f64 >= mean - spread, "{least} of a mean of {mean}");
        assert!(most as f64 <= mean + spread, "{most} of a mean of {mean}");
    }
}

/// The senders of member 0 by whether they are of its zone.
fn near_and_far(proxies: &[Proxy], members: &[Member], size: usize) -> (usize, usize) {
    let assignment = assign(policy(size, false), proxies, members);
    let senders = assignment.senders_of(0);
    let near = senders.iter().filter(|&&at| proxies[at as usize].zone == members[0].zone).count();
    (near, senders.len() - near)
}

#[test]
fn most_senders_are_near_and_the_other_side_makes_up_for_too_few() {
    // near = ceil(0.7 * 100 * 114 / 1450) = 6, far = ceil(0.3 * 100 * 680 / 8700) = 3.
    assert_eq!(near_and_far(&proxies(680, 6), &members(8700, 6), 100), (6, 3));
    // One zone: near = ceil(0.7 * 50 * 40 / 400) = 4, far = ceil(0.3 * 50 * 40 / 400) = 2, and none is far.
    assert_eq!(near_and_far(&proxies(40, 1), &members(400, 1), 50), (6, 0));
    // The same with all proxies in another zone than the members.
    let elsewhere: Vec<_> =
        proxies(40, 1).into_iter().map(|proxy| Proxy { zone: "other".to_owned(), ..proxy }).collect();
    assert_eq!(near_and_far(&elsewhere, &members(400, 1), 50), (0, 6));
    // Few members in the zone: near = ceil(0.7 * 50 * 20 / 10) = 70 of 20, far = ceil(0.3 * 50 * 40 / 110) = 6.
    let mut unequal = vec![member(0, 2, 10)];
    unequal.extend((1..10).map(|number| member(2 * number, 2, 10)));
    unequal.extend((0..100).map(|number| member(2 * number + 1, 2, 10)));
    assert_eq!(near_and_far(&proxies(40, 2), &unequal, 50), (20, 20));
    // A small view of many members: MIN_SENDERS, the near side first.
    assert_eq!(near_and_far(&proxies(40, 4), &members(4000, 4), 10), (3, 1));
    // Fewer proxies than that.
    assert_eq!(near_and_far(&proxies(3, 3), &members(4000, 3), 10), (1, 2));
}
