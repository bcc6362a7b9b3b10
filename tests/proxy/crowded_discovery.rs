//! Discovery that has too many callers when it comes back, or where it has moved to: a call waits there and then fails.

use crate::agent::{Agent, Call, config_at};
use crate::rig::*;
use serde_json::{Value, json};
use std::thread;
use std::time::{Duration, Instant};

/// Sends to a server that drains end this long after discovery had it and could be reached: 6 s until it counts as
/// told, and the grace.
const DRAINED: Duration = Duration::from_millis(6_500);
/// What discovery has counts as told this long after the signal that moves it.
const MOVED: Duration = Duration::from_secs(4);
/// How long a call waits at a crowded service until it fails.
const WAITED: Duration = Duration::from_millis(1_800);
/// Calls that fail while discovery is down: by then the pauses are at their longest.
const FAILED: usize = 8;

fn refuse(mut call: Call) {
    call.write(&answer("503 Service Unavailable", "", b""));
}

/// A call of one proxy of a small bank that has been told a list and then meets an outage, at its end.
fn after_an_outage(name: &str, agent: &Agent) -> (Proxy, Value) {
    let backend = Backend::start(|_| ok("served"));
    let known =
        json!({"revision": 41, "complete": true, "members": [entry("s-1", backend.address, "active", 0)]});
    let mut config = config_at(name, "on_request", agent.address, &known);
    config["settings"]["balancers"] = 3.into();
    let proxy = Proxy::start_with(name, config.clone());
    agent.next().answer(&json!({"revision": 41, "complete": false, "members": []}));
    (0..FAILED).for_each(|_| refuse(agent.next()));
    (proxy, config)
}

#[test]
fn a_crowded_discovery_is_asked_again_before_sends_to_a_drained_server_have_to_end() {
    let agent = Agent::start();
    let (_proxy, _) = after_an_outage("crowded-return", &agent);
    let back = Instant::now();
    let crowded = agent.next();
    thread::sleep(WAITED);
    refuse(crowded);
    let asked = agent.next().at - back;
    assert!(asked < DRAINED, "asked only {asked:?} after its return");
}

#[test]
fn a_crowded_discovery_that_has_moved_is_asked_again_before_its_list_counts_as_told() {
    let (old, new) = (Agent::start(), Agent::start());
    let (proxy, mut config) = after_an_outage("crowded-move", &old);
    // The last call is out as discovery moves.
    let _out = old.next();
    config["discovery"] = new.address.to_string().into();
    write_config("crowded-move", &config.to_string());
    let signalled = Instant::now();
    proxy.hang_up();
    let crowded = new.next();
    thread::sleep(WAITED);
    refuse(crowded);
    let asked = new.next().at - signalled;
    assert!(asked < MOVED, "asked only {asked:?} after the signal");
}
