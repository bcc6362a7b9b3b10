//! The ways of subsetting that the bench `capacity` weighs (`benches/capacity/subsetting`).

#[path = "../benches/capacity/subsetting/mod.rs"]
#[allow(dead_code, reason = "only the bench weighs sizes")]
mod subsetting;

use std::collections::BTreeSet;
use subsetting::{Member, Method, Proxy, Service, View};

const MEMBERS: usize = 600;
const PROXIES: usize = 48;
const ZONES: usize = 6;
const SUBSET_SIZE: usize = 60;

/// Members in cells of three, cells and proxies evenly over the zones.
fn service() -> Service {
    let member = |number: usize| Member {
        id: format!("member-{number}"),
        zone: (number / 3 % ZONES) as u16,
        cell: (number / 3) as u32,
        size: 1.0,
    };
    let proxy = |number: usize| Proxy { name: format!("proxy-{number}"), zone: (number % ZONES) as u16 };
    Service { members: (0..MEMBERS).map(member).collect(), proxies: (0..PROXIES).map(proxy).collect() }
}

fn members(view: &View) -> BTreeSet<usize> {
    view.iter().map(|entry| entry.member).collect()
}

/// The names in a proxy's view.
fn names(service: &Service, view: &View) -> BTreeSet<String> {
    view.iter().map(|entry| service.members[entry.member].id.clone()).collect()
}

/// Entries of views that are not the same for the proxies that both services have, in their order.
fn changed(before: &Service, after: &Service, method: Method) -> usize {
    let (old, new) = (method.views(before, SUBSET_SIZE), method.views(after, SUBSET_SIZE));
    let pairs = old.iter().zip(&new);
    pairs.map(|(old, new)| names(before, old).symmetric_difference(&names(after, new)).count()).sum()
}

#[test]
fn each_proxy_gets_a_view_of_about_the_size_asked_for_and_no_member_twice() {
    let service = service();
    for method in Method::ALL {
        let views = method.views(&service, SUBSET_SIZE);
        assert_eq!(views.len(), PROXIES, "{method}");
        let entries: usize = views.iter().map(Vec::len).sum();
        let mean = entries as f64 / PROXIES as f64;
        assert!((mean / SUBSET_SIZE as f64 - 1.0).abs() < 0.35, "{method}: {mean} entries a view");
        for view in &views {
            assert_eq!(members(view).len(), view.len(), "{method}");
            assert!(view.iter().all(|entry| entry.part > 0.0 && entry.part <= 1.0), "{method}");
        }
    }
}

#[test]
fn a_proxy_that_takes_its_own_subset_gets_exactly_the_size_asked_for() {
    for method in [Method::Rendezvous, Method::Shuffle] {
        let views = method.views(&service(), SUBSET_SIZE);
        assert!(views.iter().all(|view| view.len() == SUBSET_SIZE), "{method}");
    }
}

#[test]
fn rendezvous_takes_seven_tenths_from_the_own_zone_and_makes_up_for_a_small_one() {
    let mut service = service();
    let near = |service: &Service, view: &View, zone| {
        members(view).into_iter().filter(|&member| service.members[member].zone == zone).count()
    };
    let views = Method::Rendezvous.views(&service, SUBSET_SIZE);
    assert_eq!(near(&service, &views[0], 0), 42);
    // Ten members of zone 0 stay: all of them are taken, and the rest comes from other zones.
    let of_zone: Vec<_> = service.members.iter().filter(|member| member.zone == 0).cloned().collect();
    service.members.retain(|member| member.zone != 0);
    service.members.extend_from_slice(&of_zone[..10]);
    let views = Method::Rendezvous.views(&service, SUBSET_SIZE);
    assert_eq!((near(&service, &views[0], 0), views[0].len()), (10, SUBSET_SIZE));
}

#[test]
fn a_deterministic_aperture_loads_all_members_alike() {
    let service = service();
    let views = Method::Aperture.views(&service, SUBSET_SIZE);
    let mut loads = vec![0.0; MEMBERS];
    for view in &views {
        let parts: f64 = view.iter().map(|entry| entry.part).sum();
        view.iter().for_each(|entry| loads[entry.member] += entry.part / parts);
    }
    let mean = PROXIES as f64 / MEMBERS as f64;
    assert!(loads.iter().all(|load| (load / mean - 1.0).abs() < 1e-6), "{loads:?}");
}

#[test]
fn transposed_rendezvous_leaves_no_member_without_senders() {
    for method in [Method::Transposed, Method::TransposedCells] {
        let mut senders = vec![0; MEMBERS];
        for view in method.views(&service(), SUBSET_SIZE) {
            members(&view).into_iter().for_each(|member| senders[member] += 1);
        }
        assert!(senders.iter().all(|&count| count >= 4), "{method}: {:?}", senders.iter().min());
    }
}

#[test]
fn with_whole_cells_a_view_holds_every_member_of_a_cell_or_none() {
    let service = service();
    for view in Method::TransposedCells.views(&service, SUBSET_SIZE) {
        let held = members(&view);
        for cell in (0..MEMBERS).step_by(3) {
            let of_cell = (cell..cell + 3).filter(|member| held.contains(member)).count();
            assert!(of_cell == 0 || of_cell == 3, "{of_cell} members of a cell");
        }
    }
}

#[test]
fn one_more_member_moves_few_entries_with_rendezvous_and_most_with_a_shuffle() {
    let before = service();
    let mut after = before.clone();
    after.members.push(Member { id: "member-new".to_owned(), zone: 0, cell: 9_999, size: 1.0 });
    let all = PROXIES * SUBSET_SIZE;
    let few = changed(&before, &after, Method::Rendezvous);
    // Each proxy that takes the new one gives another up.
    assert!(few > 0 && few <= 2 * PROXIES, "{few} of {all}");
    let many = changed(&before, &after, Method::Shuffle);
    assert!(many > few, "{many} of {all}, rendezvous {few}");
}
