//! Views end to end: a list service, proxies with a `[view]` and stand-in backends as processes and sockets of their
//! own, and faults between them. Every wait is for an event and bounded by [`rig::PATIENCE`], but for the spans in
//! which calls are counted and faults last.

#[path = "common/clients.rs"]
#[allow(dead_code)]
mod clients;
#[path = "common/fleet.rs"]
#[allow(dead_code)]
mod fleet;
#[path = "common/registry.rs"]
mod registry;
#[path = "common/relay.rs"]
mod relay;
#[path = "proxy/rig.rs"]
#[allow(dead_code)]
mod rig;
#[path = "common/tap.rs"]
#[allow(dead_code)]
mod tap;

use clients::{Asked, Burst, Client, Clients, assert_all_answered};
use fleet::{
    Edge, Gate, HELD_CLASS, ListFile, MemberEntry, ProxyEntry, SERVICE, StandIn, ZONES, asked_by,
    edge_config, refused_start, view, wait_for, wait_until, word_after,
};
use haventrack::rig::relay::{Condition, Door};
use registry::Registry;
use relay::relay_before;
use rig::{Backend, Reply};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tap::{Tap, list_answer};

/// How long a backend takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long a client pauses after an answer.
const PAUSE: Duration = Duration::from_millis(20);
/// A proxy that was told that a backend leaves its view sends it nothing later than this.
const DRAIN_WITHIN: Duration = Duration::from_millis(500);

/// Requests through each proxy that backends hold while views change: few, so that none waits for room.
const HELD_EACH: usize = 4;

/// The entries of a proxy's view as the list service answers it, those that may be sent to.
fn view_of(registry: &Registry, proxy: &str) -> BTreeMap<String, Value> {
    let (status, list) = registry.get(&format!("?proxy={proxy}&service={SERVICE}"));
    assert_eq!(status, 200, "{list}");
    let members = list["members"].as_array().expect("members").iter();
    let active = members.filter(|entry| entry["phase"] == "active");
    active.map(|entry| (entry["id"].as_str().expect("an id").to_owned(), entry.clone())).collect()
}

/// A running proxy and the recorder before its list service.
struct Running {
    edge: Edge,
    tap: Tap,
    clients: Option<Clients>,
}

impl Running {
    /// Starts a proxy and waits until it has a view.
    fn start(test: &str, proxy: &ProxyEntry, fleet_size: usize, list_service: SocketAddr) -> Self {
        let tap = Tap::start(list_service);
        let edge = Edge::start(test, proxy, fleet_size, tap.address);
        wait_until("a view", || tap.held().is_some());
        Self { edge, tap, clients: None }
    }

    /// The same, all at once.
    fn start_all(test: &str, proxies: &[ProxyEntry], list_service: SocketAddr) -> Vec<Self> {
        let start = |proxy: &ProxyEntry| {
            let (test, proxy, fleet_size) = (test.to_owned(), proxy.clone(), proxies.len());
            thread::spawn(move || Self::start(&test, &proxy, fleet_size, list_service))
        };
        let starting: Vec<_> = proxies.iter().map(start).collect();
        starting.into_iter().map(|thread| thread.join().expect("a proxy")).collect()
    }

    /// Has this many clients send to it steadily.
    fn send_steadily(&mut self, count: usize) {
        self.clients = Some(Clients::start(&self.edge.name, self.edge.address, count, PAUSE));
    }

    /// Stops its clients; what came of their requests.
    fn finish_clients(&mut self) -> Vec<Asked> {
        self.clients.take().map(Clients::finish).unwrap_or_default()
    }

    /// Waits until it was told of this revision.
    fn wait_for_revision(&self, revision: u64) {
        let what = format!("{} is told of revision {revision}", self.edge.name);
        wait_until(&what, || self.tap.held().is_some_and(|held| held.revision >= revision));
    }

    fn held_ids(&self) -> Vec<String> {
        self.tap.held().expect("a view").ids()
    }
}

fn finish_all(running: &mut [Running]) -> Vec<Asked> {
    running.iter_mut().flat_map(Running::finish_clients).collect()
}

/// The times at which a proxy's view changes, and what it holds from then on.
fn holdings(tap: &Tap) -> Vec<(Instant, BTreeSet<String>)> {
    tap.history().into_iter().map(|held| (held.at, held.ids().into_iter().collect())).collect()
}

/// Checks that from `since` on every backend was in the view of a running proxy at each moment. Each proxy's
/// holdings end with an empty one where it was stopped.
fn assert_a_sender_at_every_moment(
    since: Instant,
    proxies: &[Vec<(Instant, BTreeSet<String>)>],
    backends: &[StandIn],
) {
    let mut changes: Vec<(Instant, usize, &BTreeSet<String>)> = Vec::new();
    for (proxy, holdings) in proxies.iter().enumerate() {
        changes.extend(holdings.iter().map(|(at, ids)| (*at, proxy, ids)));
    }
    changes.sort_by_key(|(at, ..)| *at);
    let none = BTreeSet::new();
    let mut now: Vec<&BTreeSet<String>> = vec![&none; proxies.len()];
    for (at, proxy, ids) in changes {
        now[proxy] = ids;
        let alone: Vec<&str> = backends
            .iter()
            .map(|b| b.id.as_str())
            .filter(|id| !now.iter().any(|ids| ids.contains(*id)))
            .collect();
        let after = at.saturating_duration_since(since);
        assert!(at < since || alone.is_empty(), "{alone:?} have no sender {after:?} after the start");
    }
}

/// Checks that a backend which left a proxy's view got nothing new from it later than it may; how many left.
fn assert_departed_get_nothing(running: &Running, backends: &[StandIn]) -> usize {
    let history = holdings(&running.tap);
    let mut departures = 0;
    for (step, pair) in history.windows(2).enumerate() {
        let (before, (told, after)) = (&pair[0].1, &pair[1]);
        for id in before.difference(after) {
            departures += 1;
            let returned = history[step + 2..].iter().find(|(_, ids)| ids.contains(id)).map(|(at, _)| *at);
            let backend = backends.iter().find(|backend| backend.id == *id).expect("a backend");
            let late = backend.arrivals_from(&running.edge.name, *told + DRAIN_WITHIN);
            let late: Vec<Duration> = late
                .iter()
                .filter(|arrival| returned.is_none_or(|at| arrival.at < at))
                .map(|arrival| arrival.at - *told)
                .collect();
            assert!(late.is_empty(), "{id} left the view of {}, and got {late:?} after", running.edge.name);
        }
    }
    departures
}

/// Checks that requests which backends had in their hands were answered by these, and that some of the backends had
/// left the views meanwhile. No proxy may repeat the requests.
fn assert_drained(running: &[Running], bursts: Vec<Burst>, backends: &[StandIn]) {
    let drained: Vec<Asked> = bursts.into_iter().flat_map(Burst::finish).collect();
    assert_all_answered(&drained);
    let from_departed = drained.iter().filter(|asked| {
        let proxy = running.iter().find(|r| r.edge.name == asked.proxy).expect("its proxy");
        !proxy.held_ids().contains(&asked.body)
    });
    assert!(from_departed.count() > 0, "no request was in the hands of a backend that left a view");
    let arrivals: Vec<String> =
        backends.iter().flat_map(StandIn::arrivals).map(|arrival| arrival.id).collect();
    for asked in &drained {
        let times = arrivals.iter().filter(|id| **id == asked.id).count();
        assert_eq!(times, 1, "{} is answered by the backend that had it", asked.id);
    }
}

/// Sends through a proxy until all of its view's backends got a request; their ids.
fn serve_from_whole_view(edge: &Edge, tap: &Tap, backends: &[StandIn]) -> Vec<String> {
    let since = Instant::now();
    wait_until("a view", || tap.held().is_some_and(|held| held.at >= since - Duration::from_secs(1)));
    let wanted = tap.held().expect("a view").ids();
    let clients = Clients::start(&edge.name, edge.address, 2 * wanted.len(), Duration::ZERO);
    wait_until("a request at each backend of the view", || {
        asked_by(&edge.name, since, backends).len() >= wanted.len()
    });
    assert_all_answered(&clients.finish());
    asked_by(&edge.name, since, backends)
}

#[test]
fn a_killed_proxy_gets_the_same_view_again_and_serves_from_it() {
    let backends = StandIn::start_all(24, SERVICE_TIME, &Gate::default());
    let file = ListFile::new(8, 1..=6, &backends);
    let registry = Registry::start("views-kill", &file.text());
    let tap = Tap::start(registry.address);
    let edge = Edge::start("views-kill", &file.proxies[0], 6, tap.address);
    let before = serve_from_whole_view(&edge, &tap, &backends);
    let told_before = tap.held().expect("a view");
    assert!(before.len() < backends.len(), "its view is the whole list: {before:?}");
    assert_eq!(before, told_before.ids(), "it sends to its view and to nothing else");

    let killed = Instant::now();
    let edge = edge.restart();
    wait_until("a view", || tap.held().is_some_and(|held| held.at > killed));
    let first = tap.calls().into_iter().find(|call| call.at > killed).expect("a call");
    assert!(!first.head.contains("after="), "a new process knows no revision: {}", first.head);
    let after = serve_from_whole_view(&edge, &tap, &backends);
    assert_eq!(tap.held().expect("a view").members, told_before.members);
    assert_eq!(after, before);
}

#[test]
fn a_release_leaves_no_backend_without_a_sender_and_loses_nothing() {
    let gate = Gate::default();
    let backends = StandIn::start_all(24, SERVICE_TIME, &gate);
    // None of the two is of zone a, so that its members keep a sender through the release by its order alone.
    let old_only = ListFile::new(4, 1..=2, &backends);
    let registry = Registry::start("views-release", &old_only.text());
    let mut old = Running::start_all("views-release", &old_only.proxies, registry.address);
    let since = Instant::now();
    old.iter_mut().for_each(|running| running.send_steadily(3));

    let new_proxies: Vec<ProxyEntry> = (3..=9).map(|number| ProxyEntry::new(number, "joining")).collect();
    let joining = old_only.next(|file| file.proxies.extend(new_proxies.clone()));
    registry.take(&joining.text(), joining.revision);
    old.iter().for_each(|running| running.wait_for_revision(joining.revision));
    for running in &old {
        assert_eq!(running.held_ids().len(), backends.len(), "joining proxies displace nobody");
    }
    let mut new = Running::start_all("views-release", &new_proxies, registry.address);
    new.iter_mut().for_each(|running| running.send_steadily(3));

    // Requests are in the hands of backends that now leave the views of the old proxies.
    let bursts: Vec<Burst> =
        old.iter().map(|r| Burst::send(&r.edge.name, r.edge.address, HELD_EACH, HELD_CLASS)).collect();
    wait_until("requests in the backends' hands", || gate.held() == old.len() * HELD_EACH);
    let names: Vec<&str> = new_proxies.iter().map(|proxy| proxy.name.as_str()).collect();
    let active = joining.next(|file| file.set_phase(&names, "active"));
    registry.take(&active.text(), active.revision);
    old.iter().chain(&new).for_each(|running| running.wait_for_revision(active.revision));
    thread::sleep(2 * DRAIN_WITHIN);
    gate.open();
    assert_drained(&old, bursts, &backends);

    let leaving = active.next(|file| file.set_phase(&["edge-1", "edge-2"], "leaving"));
    registry.take(&leaving.text(), leaving.revision);
    old.iter().chain(&new).for_each(|running| running.wait_for_revision(leaving.revision));
    let mut asked = finish_all(&mut old);
    let mut timelines = Vec::new();
    let mut departures = 0;
    for running in old {
        departures += assert_departed_get_nothing(&running, &backends);
        let mut holdings = holdings(&running.tap);
        holdings.push((Instant::now(), BTreeSet::new()));
        timelines.push(holdings);
        assert!(running.edge.terminate().success());
    }
    let without_old = leaving.next(|file| file.proxies.retain(|proxy| proxy.phase != "leaving"));
    registry.take(&without_old.text(), without_old.revision);
    new.iter().for_each(|running| running.wait_for_revision(without_old.revision));
    thread::sleep(DRAIN_WITHIN);
    asked.extend(finish_all(&mut new));

    departures += new.iter().map(|running| assert_departed_get_nothing(running, &backends)).sum::<usize>();
    assert!(departures > 0, "no backend left a view");
    timelines.extend(new.iter().map(|running| holdings(&running.tap)));
    assert_a_sender_at_every_moment(since, &timelines, &backends);
    assert_all_answered(&asked);
    for running in &new {
        let now: Vec<String> = view_of(&registry, &running.edge.name).into_keys().collect();
        assert_eq!(running.held_ids(), now, "{} holds its view", running.edge.name);
        assert!(now.len() < backends.len(), "{} holds all backends", running.edge.name);
    }
}

#[test]
fn views_stay_through_a_restart_of_the_list_service_and_an_older_file_is_refused() {
    /// How long the calls for the older file are counted.
    const COUNTED: Duration = Duration::from_secs(5);
    /// With pauses of at least 1, 2 and 4 s there are no more calls than these in that time.
    const MOST_CALLS: usize = 4;
    let gate = Gate::default();
    let backends = StandIn::start_all(24, SERVICE_TIME, &gate);
    let mut file = ListFile::new(8, 1..=6, &backends);
    file.revision = 40;
    let registry = Registry::start("views-restart", &file.text());
    let mut running = Running::start_all("views-restart", &file.proxies[..3], registry.address);
    let views: Vec<_> = running.iter().map(|r| r.tap.held().expect("a view").members).collect();
    running.iter_mut().for_each(|running| running.send_steadily(3));

    // Killed, away for a while, and back with the same file.
    let path = registry.file.clone();
    drop(registry);
    thread::sleep(Duration::from_secs(1));
    let registry = Registry::start_on(path);
    let restarted = Instant::now();
    running.iter().for_each(|running| running.tap.point_to(registry.address));
    for (running, view) in running.iter().zip(&views) {
        wait_until("an answer after the restart", || running.tap.held().is_some_and(|h| h.at > restarted));
        for held in running.tap.history() {
            assert_eq!((&held.members, held.revision), (view, 40), "a view changed");
        }
    }
    drop(registry);

    // An instance with an older file, whose views are others.
    let mut older = file.clone();
    older.revision = 39;
    older.members.truncate(6);
    older.proxies.truncate(3);
    let old_registry = Registry::start("views-restart-older", &older.text());
    running.iter().for_each(|running| running.tap.point_to(old_registry.address));
    let refused: Vec<Instant> = running
        .iter()
        .map(|running| {
            wait_for("the older file's answer", || {
                running.tap.told().iter().find(|told| told.list()["revision"] == 39).map(|told| told.at)
            })
        })
        .collect();
    let counted_from = Instant::now();
    thread::sleep(COUNTED);
    for ((running, view), refused) in running.iter().zip(&views).zip(refused) {
        let name = &running.edge.name;
        let calls = running.tap.calls_since(refused);
        assert!((1..=MOST_CALLS).contains(&calls), "{name} made {calls} calls in {:?}", refused.elapsed());
        let said = running.edge.lines("raise `revision`");
        assert_eq!(said.len(), 1, "{name} says once that the file is older: {said:?}");
        let asked: BTreeSet<String> = asked_by(name, counted_from, &backends).into_iter().collect();
        assert!(!asked.is_empty() && asked.iter().all(|id| view.contains_key(id)), "{name} asked {asked:?}");
        let others: Vec<&String> =
            asked.iter().filter(|id| !older.members.iter().any(|m| m.id == **id)).collect();
        assert!(!others.is_empty(), "{name} sends only to what the older file has: {asked:?}");
    }
    drop(old_registry);

    // A newer file with more proxies, which an instance tells as whole lists; a SIGHUP ends the pause. What backends
    // that leave a view have in their hands is answered.
    let bursts: Vec<Burst> =
        running.iter().map(|r| Burst::send(&r.edge.name, r.edge.address, HELD_EACH, HELD_CLASS)).collect();
    wait_until("requests in the backends' hands", || gate.held() == running.len() * HELD_EACH);
    let newest = file.next(|file| file.proxies.extend((7..=12).map(|n| ProxyEntry::new(n, "active"))));
    let registry = Registry::start("views-restart-newest", &newest.text());
    for running in &running {
        running.tap.point_to(registry.address);
        running.edge.hang_up();
    }
    for running in &running {
        running.wait_for_revision(newest.revision);
        assert_eq!(running.tap.held().expect("a view").members, view_of(&registry, &running.edge.name));
        assert_eq!(running.tap.told().last().expect("an answer").list()["complete"], true);
    }
    thread::sleep(2 * DRAIN_WITHIN);
    gate.open();
    assert_drained(&running, bursts, &backends);
    assert_all_answered(&finish_all(&mut running));
    let departures: usize =
        running.iter().map(|running| assert_departed_get_nothing(running, &backends)).sum();
    assert!(departures > 0, "no backend left a view");
}

/// What a stand-in for a list service answers.
struct Script {
    list: String,
    /// Its revision, and what a call gets that knows it: nothing has changed.
    unchanged: Option<(u64, String)>,
}

impl Script {
    fn new(list: &str) -> Self {
        Self { list: list.to_owned(), unchanged: Self::unchanged(list) }
    }

    fn unchanged(list: &str) -> Option<(u64, String)> {
        let mut json: Value = serde_json::from_str(list).ok()?;
        let revision = json.get("revision")?.as_u64()?;
        json["complete"] = json!(false);
        json["members"] = json!([]);
        Some((revision, json.to_string()))
    }

    fn answer(&self, call: &str) -> &str {
        let after = call.split_once("after=").and_then(|(_, rest)| rest.split(['&', ' ']).next());
        let after = after.and_then(|after| after.parse().ok());
        match &self.unchanged {
            Some((revision, unchanged)) if after == Some(*revision) => unchanged,
            _ => &self.list,
        }
    }
}

/// A stand-in for a list service that answers what a test says. A watch gets its answer after a short wait.
struct ScriptedList {
    backend: Backend,
    script: Arc<Mutex<Script>>,
    calls: Arc<AtomicUsize>,
}

impl ScriptedList {
    /// How long it has a watch wait.
    const WATCH: Duration = Duration::from_millis(200);

    /// One that answers this, whatever else it is asked.
    fn start(list: &Value) -> Self {
        let script = Arc::new(Mutex::new(Script::new(&list.to_string())));
        let calls = Arc::new(AtomicUsize::new(0));
        let (told, counted) = (Arc::clone(&script), Arc::clone(&calls));
        let backend = Backend::start(move |call| {
            counted.fetch_add(1, Ordering::Relaxed);
            let answer = list_answer("200 OK", told.lock().expect("the script").answer(call.first_line()));
            let waits = call.first_line().contains("wait_ms=");
            if waits {
                Reply::After(word_after(Self::WATCH), Box::new(Reply::Write(answer)))
            } else {
                Reply::Write(answer)
            }
        });
        Self { backend, script, calls }
    }

    /// Answers this from now on.
    fn say(&self, list: &str) {
        let script = Script::new(list);
        *self.script.lock().expect("the script") = script;
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}

/// A whole list in the platform's form, as a service writes it that knows no views.
fn platform_list(revision: u64, members: &[MemberEntry]) -> Value {
    let entry = |member: &MemberEntry| {
        json!({"id": member.id, "host_port": member.address.to_string(), "locality": ZONES[member.zone],
               "flavor": "m", "cell": member.zone, "phase": "active", "size": 1.0, "up_since_ms": 0})
    };
    json!({"revision": revision, "complete": true, "members": members.iter().map(entry).collect::<Vec<_>>()})
}

#[test]
fn an_older_program_s_whole_list_is_taken_unless_it_is_too_large() {
    /// How long the calls for the large list are counted.
    const COUNTED: Duration = Duration::from_secs(6);
    /// With pauses of at least 1, 2 and 4 s there are no more calls than these in that time.
    const MOST_CALLS: usize = 4;
    /// Entries enough to pass the size that a proxy takes (4 MiB).
    const TOO_MANY: usize = 40_000;
    let backends = StandIn::start_all(4, SERVICE_TIME, &Gate::default());
    let members: Vec<MemberEntry> = backends.iter().map(StandIn::entry).collect();
    let service = ScriptedList::start(&platform_list(1, &members));
    let proxy = ProxyEntry::new(1, "active");
    let tap = Tap::start(service.backend.address);
    let edge = Edge::start("views-old-program", &proxy, 1, tap.address);
    let served = serve_from_whole_view(&edge, &tap, &backends);
    assert_eq!(served.len(), backends.len(), "it serves from the whole list");
    assert!(tap.calls()[0].head.contains("proxy=edge-1"), "it asks for its view: {}", tap.calls()[0].head);

    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let other = |i| MemberEntry { id: format!("other-{i}"), address: nowhere, zone: i % 3, service: SERVICE };
    let all: Vec<MemberEntry> = members.iter().cloned().chain((0..TOO_MANY).map(other)).collect();
    let large = platform_list(2, &all).to_string();
    assert!(large.len() > 4 << 20, "{} bytes", large.len());
    service.say(&large);
    let refused = wait_for("the large list is refused", || edge.lines("refused for its size").pop());
    assert!(refused.contains("[view]"), "it says what to do: {refused}");
    let (since, calls) = (Instant::now(), service.calls());
    let mut clients = vec![Clients::start("edge-1", edge.address, 3, PAUSE)];
    // A proxy that starts now has nothing to serve from; it says why and stays.
    let mut late =
        Edge::start("views-old-program", &ProxyEntry::new(2, "active"), 1, service.backend.address);
    thread::sleep(COUNTED);
    let more_calls = service.calls() - calls;
    assert!((1..=2 * MOST_CALLS).contains(&more_calls), "{more_calls} calls of two proxies in {COUNTED:?}");
    assert!(tap.calls_since(since) <= MOST_CALLS, "{} calls in {COUNTED:?}", tap.calls_since(since));
    for edge in [&edge, &late] {
        let said = edge.lines("refused for its size");
        assert_eq!(said.len(), 1, "{} says it once: {said:?}", edge.name);
    }
    assert!(late.is_running());
    assert_all_answered(&clients.remove(0).finish());

    service.say(&platform_list(3, &members[..3]).to_string());
    late.hang_up();
    wait_until("the list of its size again", || {
        Client::new("edge-2", late.address).ask("read").is_answered()
    });
    edge.hang_up();
    wait_until("the list of its size again", || tap.held().is_some_and(|held| held.revision == 3));
    assert!(Client::new("edge-1", edge.address).ask("read").is_answered());
}

#[test]
fn a_zone_lost_under_load_costs_few_requests_and_every_proxy_keeps_other_zones() {
    /// The zone that is lost, as a number.
    const LOST: usize = 2;
    /// How long after the loss the file tells of it.
    const TOLD_AFTER: Duration = Duration::from_secs(1);
    /// The share of the requests that is answered at the least, from the loss until a second after it is told.
    const FLOOR: f64 = 0.8;
    /// The same from then on.
    const FLOOR_LATER: f64 = 0.99;
    let mut backends = StandIn::start_all(18, SERVICE_TIME, &Gate::default());
    let mut relays = Vec::new();
    for backend in backends.iter_mut().filter(|backend| backend.zone == LOST) {
        let relay = relay_before(backend.own_address());
        backend.address = relay.address;
        relays.push(relay);
    }
    let file = ListFile::new(6, 1..=6, &backends);
    let registry = Registry::start("views-zone", &file.text());
    let starting = file.proxies.iter().map(|proxy| {
        let tap = Tap::start(registry.address);
        let mut config = edge_config(proxy, file.proxies.len(), tap.address);
        for class in config["settings"]["classes"].as_array_mut().expect("classes") {
            class["aimUs"] = json!(500_000);
            class["deadlineUs"] = json!(2_000_000);
        }
        config["settings"]["permissions"]["dialTimeoutUs"] = json!(500_000);
        let files = format!("views-zone-{}", proxy.name);
        let edge = Edge::start_with(&files, config, Some(view(&proxy.name, &proxy.services)));
        Running { edge, tap, clients: None }
    });
    let mut running: Vec<Running> = starting.collect();
    for running in &mut running {
        wait_until("a view", || running.tap.held().is_some());
        running.send_steadily(4);
    }
    wait_until("requests at the zone that is lost", || {
        let here = backends.iter().filter(|backend| backend.zone == LOST);
        here.map(|backend| backend.arrivals().len()).sum::<usize>() > 50
    });

    let lost_at = Instant::now();
    for (number, relay) in relays.iter().enumerate() {
        relay.change(|condition| match number % 2 {
            0 => condition.door = Door::Reset,
            _ => (condition.forward.held, condition.backward.held) = (true, true),
        });
    }
    thread::sleep(TOLD_AFTER);
    let without = file.next(|file| file.members.retain(|member| member.zone != LOST));
    registry.take(&without.text(), without.revision);
    running.iter().for_each(|running| running.wait_for_revision(without.revision));
    let told_at = Instant::now();
    thread::sleep(Duration::from_secs(3));
    let asked = finish_all(&mut running);

    let settled_at = told_at + Duration::from_secs(1);
    let share = |from: Instant, until: Instant| {
        let sent: Vec<&Asked> = asked.iter().filter(|asked| (from..until).contains(&asked.at)).collect();
        let answered = sent.iter().filter(|asked| asked.is_answered()).count();
        (answered as f64 / sent.len().max(1) as f64, sent.len())
    };
    let (in_the_loss, sent) = share(lost_at, settled_at);
    let (later, sent_later) = share(settled_at, Instant::now());
    println!("answered {in_the_loss:.3} of {sent} in the loss, {later:.3} of {sent_later} later");
    assert!(sent > 50 && sent_later > 50, "{sent} and {sent_later} requests were sent");
    assert!(in_the_loss >= FLOOR, "answered in the loss: {in_the_loss}");
    assert!(later >= FLOOR_LATER, "answered later: {later}");
    for running in &running {
        let zones: BTreeSet<usize> = running
            .held_ids()
            .iter()
            .filter_map(|id| backends.iter().find(|backend| backend.id == *id).map(|backend| backend.zone))
            .collect();
        assert_eq!(
            zones,
            BTreeSet::from([0, 1]),
            "{} holds backends of both zones that are left",
            running.edge.name
        );
    }
}

#[test]
fn proxies_that_disagree_on_the_fleet_leave_no_backend_alone_and_agree_after_the_heal() {
    let backends = StandIn::start_all(24, SERVICE_TIME, &Gate::default());
    let file = ListFile::new(4, 1..=6, &backends);
    let registry = Registry::start("views-disagree", &file.text());
    let relay = relay_before(registry.address);
    let mut running = vec![Running::start("views-disagree", &file.proxies[0], 6, relay.address)];
    running.extend(Running::start_all("views-disagree", &file.proxies[1..], registry.address));
    let since = Instant::now();
    running.iter_mut().for_each(|running| running.send_steadily(3));

    relay.change(|condition| (condition.forward.held, condition.backward.held) = (true, true));
    let added =
        file.next(|file| file.proxies.extend((7..=9).map(|number| ProxyEntry::new(number, "active"))));
    registry.take(&added.text(), added.revision);
    running.extend(Running::start_all("views-disagree", &added.proxies[6..], registry.address));
    running[6..].iter_mut().for_each(|running| running.send_steadily(3));
    running[1..].iter().for_each(|running| running.wait_for_revision(added.revision));
    thread::sleep(Duration::from_secs(4));
    let cut_off = running[0].tap.held().expect("a view");
    assert_eq!(cut_off.revision, file.revision, "it is cut off");
    assert_ne!(cut_off.members, view_of(&registry, "edge-1"), "its view is one of another fleet");
    assert_ne!(cut_off.proxies, running[1].tap.held().expect("a view").proxies);

    relay.change(|condition| *condition = Condition::default());
    running[0].wait_for_revision(added.revision);
    thread::sleep(DRAIN_WITHIN);
    assert_all_answered(&finish_all(&mut running));
    for running in &running {
        let held = running.tap.held().expect("a view");
        assert_eq!(held.members, view_of(&registry, &running.edge.name), "{} agrees", running.edge.name);
        assert_eq!(held.proxies, Some(9));
    }
    let departures: usize =
        running.iter().map(|running| assert_departed_get_nothing(running, &backends)).sum();
    assert!(departures > 0, "no backend left a view");
    let timelines: Vec<_> = running.iter().map(|running| holdings(&running.tap)).collect();
    assert_a_sender_at_every_moment(since, &timelines, &backends);
}

#[test]
fn a_view_that_makes_no_sense_is_refused_at_the_start() {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let config = edge_config(&ProxyEntry::new(1, "active"), 1, nowhere);
    let long = "x".repeat(64);
    for (case, beside, word) in [
        ("nothing", view("edge-1", &[]), "services"),
        ("empty", view("edge-1", &[""]), "services"),
        ("twice", view("edge-1", &["pay", "pay"]), "pay"),
        ("all-and-one", view("edge-1", &["*", "pay"]), "services"),
        ("nobody", view("", &["pay"]), "proxy"),
        ("blank", view("edge 1", &["pay"]), "proxy"),
        ("query", view("edge-1", &["pay&wait_ms=0"]), "services"),
        ("long", view(&long, &["pay"]), "proxy"),
        ("no-proxy", "[view]\nservices = [\"pay\"]\n".to_owned(), "proxy"),
        ("no-services", "[view]\nproxy = \"edge-1\"\n".to_owned(), "services"),
        ("unknown-key", view("edge-1", &["pay"]) + "zone = \"a\"\n", "zone"),
        ("type", "[view]\nproxy = 1\nservices = \"pay\"\n".to_owned(), "line 2"),
    ] {
        let said = refused_start(&format!("views-refused-{case}"), &config, &beside);
        assert!(said.contains(word) && said.contains("edge.toml"), "{case}: {said}");
    }
}

#[test]
fn a_view_changes_with_sighup_and_one_that_makes_no_sense_changes_nothing() {
    let backends = StandIn::start_all(6, SERVICE_TIME, &Gate::default());
    let mut file = ListFile::new(2, 1..=6, &backends);
    file.services.push(("pay", None));
    file.members[5].service = "pay";
    file.proxies[0].services.push("pay");
    let registry = Registry::start("views-sighup", &file.text());
    let mut running = Running::start("views-sighup", &file.proxies[0], 6, registry.address);
    let both = running.held_ids();
    assert!(both.contains(&"s-5".to_owned()), "both services: {both:?}");
    running.send_steadily(2);

    running.edge.reread(&view("edge-1", &[]));
    wait_until("a reason", || !running.edge.lines("SIGHUP changes nothing").is_empty());
    running.edge.reread(&view("edge-1", &["pay"]));
    wait_until("the view of one service", || running.held_ids() == ["s-5"]);
    thread::sleep(DRAIN_WITHIN);
    let since = Instant::now();
    thread::sleep(DRAIN_WITHIN);
    assert_eq!(asked_by("edge-1", since, &backends), ["s-5"]);

    // Without `[view]` it asks for the whole list, as ever.
    running.edge.reread("");
    wait_until("the whole list", || running.held_ids().len() == backends.len());
    let last = running.tap.calls().pop().expect("a call");
    assert!(!last.head.contains("proxy="), "{}", last.head);
    assert_eq!(running.tap.held().expect("a list").proxies, None);
    assert_all_answered(&running.finish_clients());
}

#[test]
fn unknown_and_empty_services_and_all_of_them_are_answered_for_what_they_are() {
    let backends = StandIn::start_all(4, SERVICE_TIME, &Gate::default());
    let mut file = ListFile::new(8, 1..=2, &backends);
    file.services.push(("pay", None));
    file.members[2].service = "pay";
    file.members[3].service = "pay";
    file.proxies[0].services = vec!["*"];
    let registry = Registry::start("views-services", &file.text());

    // Everything.
    let mut whole = Running::start("views-services", &file.proxies[0], 2, registry.address);
    assert_eq!(whole.held_ids().len(), 4, "`*` is all services");
    assert_eq!(whole.tap.held().expect("a view").proxies, Some(2));

    // A service that the file does not have: a reason, once, and no view.
    let unknown = ProxyEntry { services: vec!["ledger"], ..file.proxies[1].clone() };
    let tap = Tap::start(registry.address);
    let mut edge = Edge::start("views-services", &unknown, 2, tap.address);
    let said = wait_for("the service's reason", || edge.lines("ledger").pop());
    assert!(said.contains("404"), "{said}");
    let since = Instant::now();
    thread::sleep(Duration::from_secs(4));
    assert!(edge.is_running());
    assert_eq!(edge.lines("ledger").len(), 1, "it says it once: {:?}", edge.lines("ledger"));
    assert!(tap.calls_since(since) <= 3, "{} calls in 4 s", tap.calls_since(since));
    assert!(!Client::new("edge-2", edge.address).ask("read").is_answered());

    // A service of nothing: an empty view, and what it has later is served.
    let empty = file.next(|file| {
        file.services.push(("ledger", None));
        file.proxies[1].services = vec!["ledger"];
    });
    registry.take(&empty.text(), empty.revision);
    edge.hang_up();
    wait_until("an empty view", || tap.held().is_some_and(|held| held.revision == empty.revision));
    let held = tap.held().expect("a view");
    assert_eq!((held.members.len(), held.proxies), (0, Some(2)));
    assert!(!Client::new("edge-2", edge.address).ask("read").is_answered());
    let filled = empty.next(|file| file.members[0].service = "ledger");
    registry.take(&filled.text(), filled.revision);
    wait_until("the service's backend", || Client::new("edge-2", edge.address).ask("read").body == "s-0");

    // The file no longer lists the proxies: what they hold serves on.
    whole.send_steadily(2);
    let without = filled.next(|file| {
        file.proxies = vec![ProxyEntry::new(3, "active")];
        file.proxies[0].services = vec!["*"];
    });
    registry.take(&without.text(), without.revision);
    let said = wait_for("the service's reason", || whole.edge.lines("404").pop());
    assert!(said.contains("edge-1"), "{said}");
    thread::sleep(Duration::from_secs(1));
    assert_eq!(whole.edge.lines("404").len(), 1);
    assert_all_answered(&whole.finish_clients());
    assert!(Client::new("edge-2", edge.address).ask("read").is_answered());
    assert!(edge.is_running() && whole.edge.is_running());
}

#[test]
fn garbled_answers_are_refused_and_the_list_held_serves_on() {
    let backends = StandIn::start_all(2, SERVICE_TIME, &Gate::default());
    let members: Vec<MemberEntry> = backends.iter().map(StandIn::entry).collect();
    let good = |revision: u64| {
        let mut list = platform_list(revision, &members);
        list["view"] = json!({"proxies": 2});
        for entry in list["members"].as_array_mut().expect("members") {
            entry["senders"] = json!({"local": 1, "all": 2});
        }
        list
    };
    // Each garbled list is newer than the good one before it.
    let change = |key: &str, to: Value| {
        let (key, to) = (key.to_owned(), to);
        move |mut list: Value| {
            list[key.as_str()] = to.clone();
            list.to_string()
        }
    };
    let change_senders = |to: Value| {
        move |mut list: Value| {
            list["members"][0]["senders"] = to.clone();
            list.to_string()
        }
    };
    type Garble = Box<dyn Fn(Value) -> String>;
    let cases: Vec<(&str, Garble)> = vec![
        ("cut short", Box::new(|list| list.to_string()[..200].to_owned())),
        ("no object", Box::new(|_| "[]".to_owned())),
        ("nothing", Box::new(|_| String::new())),
        ("view is a number", Box::new(change("view", json!(7)))),
        ("view is text", Box::new(change("view", json!("all")))),
        ("proxies is negative", Box::new(change("view", json!({"proxies": -1})))),
        ("proxies is too large", Box::new(change("view", json!({"proxies": 1_u64 << 40})))),
        ("revision is text", Box::new(change("revision", json!("9")))),
        ("members is text", Box::new(change("members", json!("all")))),
        ("senders is text", Box::new(change_senders(json!("many")))),
        ("senders is negative", Box::new(change_senders(json!({"local": -1, "all": 2})))),
        ("more local than all", Box::new(change_senders(json!({"local": 3, "all": 2})))),
        ("no senders at all", Box::new(change_senders(json!({"local": 0, "all": 0})))),
    ];
    let service = ScriptedList::start(&good(1));
    let mut edge = Edge::start("views-garbled", &ProxyEntry::new(1, "active"), 2, service.backend.address);
    wait_until("a view", || Client::new("edge-1", edge.address).ask("read").is_answered());
    let mut revision = 1;
    for (case, garble) in cases {
        let said_before = edge.lines("").len();
        let calls_before = service.calls();
        service.say(&garble(good(revision + 1)));
        wait_until(case, || service.calls() >= calls_before + 4);
        let mut client = Client::new("edge-1", edge.address);
        let asked: Vec<Asked> = (0..4).map(|_| client.ask("read")).collect();
        assert_all_answered(&asked);
        assert!(edge.is_running(), "{case}: it has ended: {:?}", edge.lines(""));
        let said = edge.lines("")[said_before..].to_vec();
        println!("{case}: {said:?}");
        assert_eq!(said.len(), 1, "{case}: it says it once: {said:?}");
        revision += 2;
        service.say(&good(revision).to_string());
        let calls_before = service.calls();
        wait_until(case, || service.calls() >= calls_before + 3);
    }
}

/// The first calls to its list service of a proxy with this configuration, as recorded from the program that knew no
/// views. Each is followed by a `host` line and the empty one.
const CALLS_WITHOUT_VIEW: [&str; 3] = [
    "GET /discovery/hosts HTTP/1.1",
    "GET /discovery/hosts?after=1&wait_ms=1699 HTTP/1.1",
    "GET /discovery/hosts?after=1&wait_ms=1573 HTTP/1.1",
];

#[test]
fn without_a_view_calls_and_answers_are_what_they_were() {
    let backends = StandIn::start_all(6, SERVICE_TIME, &Gate::default());
    let file = ListFile::new(2, 1..=6, &backends);
    let registry = Registry::start("views-none", &file.text());
    let tap = Tap::start(registry.address);
    let edge = Edge::start_with("views-none", edge_config(&file.proxies[0], 6, tap.address), None);
    wait_until("three calls", || tap.calls().len() >= 3);
    let heads: Vec<String> = tap.calls().into_iter().take(3).map(|call| call.head).collect();
    for (head, line) in heads.iter().zip(CALLS_WITHOUT_VIEW) {
        assert_eq!(*head, format!("{line}\r\nhost: {}\r\n\r\n", tap.address));
    }
    for told in tap.told() {
        let body = String::from_utf8(told.body).expect("text");
        assert!(!body.contains("senders") && !body.contains("view") && !body.contains(SERVICE), "{body}");
    }
    let first = &tap.told()[0];
    let list: Value = serde_json::from_slice(&first.body).expect("a list");
    assert_eq!(list, platform_list(file.revision, &file.members));
    assert_eq!(String::from_utf8_lossy(&first.body), registry.body("").1, "the same bytes for everyone");
    assert_eq!(tap.held().expect("a list").ids().len(), backends.len(), "the whole list");
    assert!(Client::new("edge-1", edge.address).ask("read").is_answered());
}
