//! When the module has discovery asked again, where the service comes back crowded or has moved.

mod common;

use common::*;
use haventrack::api::*;

/// A change counts as told this long after discovery had it and could be reached; sends end so much later.
const TOLD: Micros = 6 * SECOND;
const GRACE: Micros = 500 * MS;
/// The same after the signal that moves discovery.
const TOLD_AFTER_MOVE: Micros = 4 * SECOND;
/// When a call that opens a watch is given up.
const GIVEN_UP: Micros = 2 * SECOND;

const SEEDS: u64 = 12;

/// How a call ends without an answer.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// With an error, after this wait.
    Failed(Micros),
    /// It is given up.
    Silent,
}

fn proxy_of(balancers: u32, seed: u64) -> Proxy {
    let settings = Settings { balancers, discovery_on_request: true, ..settings() };
    let mut proxy = Proxy::with_seed(seed, settings, (0..3).map(backend));
    proxy.next_call();
    proxy.list(Membership::Delta(&[]));
    proxy.log.clear();
    proxy
}

/// The call that is out, or the watch, ends like this.
fn lose(proxy: &mut Proxy, loss: Loss) {
    let (wait, silent) = match loss {
        Loss::Failed(wait) => (wait, false),
        Loss::Silent => (GIVEN_UP, true),
    };
    proxy.advance(wait);
    proxy.list(Membership::Failed { silent });
}

/// All calls are lost like this for a while, the last of them at the worst moment: discovery is back right behind it.
/// Gives when that is.
fn outage(proxy: &mut Proxy, loss: Loss) -> Micros {
    lose(proxy, loss);
    let mut began = proxy.now;
    for _ in 0..12 {
        began = proxy.next_call();
        lose(proxy, loss);
    }
    match loss {
        Loss::Failed(_) => proxy.now,
        Loss::Silent => began,
    }
}

/// Discovery was back, its first answer was a refusal to a call that had waited, and the pause that followed was one for
/// a service that is down: a drain came too late.
#[test]
fn discovery_that_comes_back_crowded_is_asked_again_before_sends_to_a_drained_server_have_to_end() {
    for outage_by in [Loss::Failed(0), Loss::Silent] {
        for crowded_by in [
            Loss::Failed(0),
            Loss::Failed(500 * MS),
            Loss::Failed(1_800 * MS),
            Loss::Failed(1_990 * MS),
            Loss::Silent,
        ] {
            // A small bank has time for two calls that fail.
            for (balancers, failing) in [(1, 2), (3, 2), (8, 1), (24, 1), (100, 1), (300, 1), (900, 1)] {
                for seed in 0..SEEDS {
                    let mut proxy = proxy_of(balancers, seed);
                    let back = outage(&mut proxy, outage_by);
                    for _ in 0..failing {
                        proxy.next_call();
                        lose(&mut proxy, crowded_by);
                    }
                    let asked = proxy.next_call() - back;
                    assert!(
                        asked < TOLD + GRACE,
                        "{balancers} proxies, {outage_by:?}, {crowded_by:?}, seed {seed}: asked only {asked} later"
                    );
                }
            }
        }
    }
}

/// After an outage the first call to a discovery that had moved failed, and the pause was that of the old one.
#[test]
fn discovery_that_moves_in_an_outage_is_asked_again_before_its_list_counts_as_told() {
    for crowded_by in [Loss::Failed(0), Loss::Failed(1_800 * MS), Loss::Failed(1_990 * MS), Loss::Silent] {
        for balancers in [1, 3, 24, 300] {
            for seed in 0..SEEDS {
                let mut proxy = proxy_of(balancers, seed);
                outage(&mut proxy, Loss::Failed(0));
                // It is asked at once.
                let moved = proxy.now;
                proxy.event(Event::DiscoveryMoved);
                lose(&mut proxy, crowded_by);
                let asked = proxy.next_call() - moved;
                assert!(
                    asked < TOLD_AFTER_MOVE,
                    "{balancers} proxies, {crowded_by:?}, seed {seed}: asked only {asked} after the signal"
                );
            }
        }
    }
}

/// An outage costs a small bank few calls, and a large one no more than discovery can answer.
#[test]
fn a_bank_asks_a_discovery_that_is_down_at_a_bounded_rate() {
    for (balancers, most) in [(1, 2), (3, 5), (24, 10), (100, 35), (300, 110)] {
        let window = 20 * SECOND;
        let calls = (0..balancers).map(|me| {
            let mut proxy = proxy_of(balancers, me.into());
            outage(&mut proxy, Loss::Failed(0));
            let (from, mut calls) = (proxy.now, 0);
            while proxy.next_call() < from + window {
                lose(&mut proxy, Loss::Failed(0));
                calls += 1;
            }
            calls
        });
        let a_second = calls.sum::<u64>() * SECOND / window;
        assert!(a_second <= most, "{balancers} proxies: {a_second} calls a second");
    }
}
