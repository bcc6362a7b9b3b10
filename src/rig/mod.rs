//! The cluster rig: several processes of `gatestage proxy` and one of `gatestage registry` on loopback, stand-in
//! backends, a fault relay on every pair that talks, open-loop clients, and a timeline of faults and operators'
//! calls; one report per run, and a history that a checker judges.
//!
//! Its one face is [`run`]: a checked [`Scenario`] in, a [`Summary`] out, with `summary.json`, `plot.svg`,
//! `history.jsonl`, the proxies' logs and configurations left in the folder of the run. Every run is bounded by the
//! scenario's duration and request count, and every listener is on loopback.

mod backends;
mod calls;
pub mod checker;
mod disk;
mod error;
mod group;
pub mod history;
mod links;
mod load;
mod nemesis;
mod overhead;
mod procs;
mod relay;
mod report;
mod scenario;
mod step;
mod view;

pub use checker::{Check, Verdict};
pub use error::{RigError, SectionError};
pub use group::GroupSpec;
pub use load::{Outcome, Record};
pub use nemesis::{Kind, Nemesis};
pub use overhead::{Overhead, measure as relay_overhead};
pub use report::{Summary, Tally};
pub use scenario::{Action, Fault, Played, Scenario, ScenarioError};
pub use step::{Step, StepError};

use crate::registry::Member;
use backends::{Backend, Behaviour, Traits};
use calls::Caller;
use history::{Follower, History, What};
use links::Links;
use procs::{Process, Proxy, Reserved, Told};
use report::Happened;
use rustix::process::Signal;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use step::{End, Places};

/// How long a proxy may take to answer `GET /up` after its start.
const START_PATIENCE: Duration = Duration::from_secs(15);
/// What `slow` does to a backend's service times when it says nothing else.
const SLOW_FACTOR: f64 = 2.0;
/// How often the processes and their logs are looked at for the history.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What the rig runs: the proxies and the list service are processes of the program; the backends and the
/// relays live in this one.
struct Cluster {
    backends: Vec<Backend>,
    links: Links,
    places: Places,
    /// The list service, a process of the program.
    registry: Mutex<Process>,
    /// The members as the list service's file has them.
    members: Mutex<Vec<Member>>,
    /// The program whose processes these are, for restarts.
    program: PathBuf,
    /// The folder of the run: configurations, logs, the list service's file.
    out: PathBuf,
    proxies: Mutex<Vec<Proxy>>,
    history: History,
    caller: Caller,
}

/// Runs a scenario with `program` as the proxies' program (`gatestage`) and leaves its report in `out`.
///
/// # Errors
/// When a listener can't be opened, a proxy can't start or does not come up, or the report can't be written;
/// the message names which.
pub fn run(scenario: &Scenario, program: &Path, out: &Path) -> Result<Summary, RigError> {
    std::fs::create_dir_all(out).map_err(RigError::write(out))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RigError::Runtime)?;
    let summary = runtime.block_on(play(scenario, program, out))?;
    report::write(&summary, out)?;
    Ok(summary)
}

/// Starts the scenario's stand-in backends.
async fn start_backends(scenario: &Scenario) -> Result<Vec<Backend>, RigError> {
    let mut backends = Vec::new();
    for group in &scenario.backends {
        let traits = Traits {
            service: Duration::from_secs_f64(group.service_ms.get_ref() / 1e3),
            error_share: *group.error_share.get_ref(),
            warm: Duration::from_secs_f64(*group.warm_s.get_ref()),
        };
        for _ in 0..group.count {
            let n = backends.len();
            let seed = scenario.seed.wrapping_mul(31).wrapping_add(n as u64);
            let backend = Backend::start(scenario.ip(), traits, seed).await;
            backends.push(backend.map_err(RigError::listen(End::Backend(n)))?);
        }
    }
    Ok(backends)
}

/// Starts the relays before the backends: with `pair_relays` one for each proxy, else one that all proxies share.
async fn link_backends(scenario: &Scenario, backends: &[Backend], links: &mut Links) -> Result<(), RigError> {
    let proxies: Vec<Option<usize>> =
        if scenario.pair_relays { (0..scenario.proxies.len()).map(Some).collect() } else { vec![None] };
    for (n, backend) in backends.iter().enumerate() {
        for &proxy in &proxies {
            let relay = links.add(scenario.ip(), proxy, End::Backend(n), backend.address).await;
            relay.map_err(RigError::listen(format!("a relay before backend-{n}")))?;
        }
    }
    Ok(())
}

/// The members as the list service has them: at the relay that all proxies share, or at the backend's own address
/// where each proxy's view replaces it.
fn list_members(scenario: &Scenario, backends: &[Backend], links: &Links) -> Vec<Member> {
    let zones = scenario.backends.iter().flat_map(|group| vec![group.zone.get_ref(); group.count]);
    let member = |(n, zone): (usize, &String)| {
        let shared = links.address(0, End::Backend(n)).filter(|_| !scenario.pair_relays);
        Member {
            id: End::Backend(n).to_string(),
            service: None,
            host_port: shared.unwrap_or(backends[n].address).to_string(),
            locality: zone.clone(),
            flavor: "m".to_owned(),
            cell: 0,
            phase: "active".to_owned(),
            size: 1.0,
            up_since_ms: 0,
        }
    };
    zones.enumerate().map(member).collect()
}

/// Where proxy `me` dials the list service, and the list as it knows it at its start.
async fn link_list(
    scenario: &Scenario,
    me: usize,
    registry: SocketAddr,
    members: &[Member],
    links: &mut Links,
) -> std::io::Result<(SocketAddr, serde_json::Value)> {
    // The list service begins at revision 1 with these members.
    let mut known = serde_json::json!({"revision": 1, "complete": true, "members": members});
    let mut target = registry;
    if scenario.pair_relays {
        let address = |n| Some((End::Backend(n).to_string(), links.address(me, End::Backend(n))?));
        let addresses: view::Addresses = (0..members.len()).filter_map(address).collect();
        view::rewrite(&mut known, &addresses);
        target = view::start(scenario.ip(), registry, addresses).await?;
    }
    Ok((links.add(scenario.ip(), Some(me), End::List, target).await?, known))
}

async fn build(
    scenario: &Scenario,
    program: &Path,
    out: &Path,
    history: History,
) -> Result<Cluster, RigError> {
    let (host, places, mut links) = (scenario.ip(), Places::of(scenario), Links::default());
    let own = procs::own_address(host);
    let backends = start_backends(scenario).await?;
    link_backends(scenario, &backends, &mut links).await?;
    let members = list_members(scenario, &backends, &links);
    let registry = Process::registry(program, own, &members, out)?;
    come_up(registry.address, "/discovery/hosts", &registry.name, START_PATIENCE).await?;
    // Each proxy's address for clients, then each one's for its peers, then each one's for operators.
    let count = places.proxies();
    let reserved = Reserved::take(own, 3 * count).map_err(RigError::listen("the proxies"))?;
    let addresses = reserved.addresses().map_err(RigError::listen("the proxies"))?;
    let (doors, rest) = addresses.split_at(count);
    let (seats, desks) = rest.split_at(count);
    if scenario.group.is_some() {
        group::link(host, seats, &mut links).await.map_err(RigError::listen("a relay of the group"))?;
    }
    let mut told = Vec::new();
    for (me, &listen) in doors.iter().enumerate() {
        let list = link_list(scenario, me, registry.address, &members, &mut links).await;
        let from_me = format!("the relay from proxy-{me} to the list service");
        let (list, known) = list.map_err(RigError::listen(from_me))?;
        let state = procs::home(out, me).join("group");
        let group = scenario.group.as_ref().map(|spec| group::config(spec, me, seats, &links, &state));
        let admin = calls::any(scenario).then_some(desks[me]);
        told.push(Told { listen, admin, list, known, group });
    }
    drop(reserved);
    let mut proxies = Vec::new();
    for (me, told) in told.iter().enumerate() {
        proxies.push(Proxy::start(program, scenario, me, told, out)?);
    }
    for proxy in &proxies {
        come_up(proxy.address, "/up", &proxy.name, START_PATIENCE).await?;
    }
    let caller = Caller::new(history.clone(), calls::shared(scenario), &proxies);
    let (registry, members, proxies) = (Mutex::new(registry), Mutex::new(members), Mutex::new(proxies));
    let (program, out) = (program.to_owned(), out.to_owned());
    Ok(Cluster { backends, links, places, registry, members, program, out, proxies, history, caller })
}

/// Waits until `GET path` answers 200, as the front does with `/up` before it takes a proxy in.
async fn come_up(
    address: std::net::SocketAddr,
    path: &'static str,
    name: &str,
    patience: Duration,
) -> Result<(), RigError> {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build::<_, http_body_util::Empty<bytes::Bytes>>(
        hyper_util::client::legacy::connect::HttpConnector::new(),
    );
    let end = Instant::now() + patience;
    let uri: hyper::Uri = format!("http://{address}{path}").parse().map_err(RigError::form("an address"))?;
    while Instant::now() < end {
        if let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), client.get(uri.clone())).await {
            if answer.status() == 200 {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(RigError::NotUp { name: name.to_owned(), path, patience })
}

async fn play(scenario: &Scenario, program: &Path, out: &Path) -> Result<Summary, RigError> {
    let history = History::begin(&scenario.name, calls::shared(scenario));
    let cluster = Arc::new(build(scenario, program, out, history.clone()).await?);
    let load = &scenario.load;
    let clients = load::Clients {
        rate: *load.rate.get_ref(),
        deadline: Duration::from_secs_f64(load.deadline_ms.get_ref() / 1e3),
        aim: Duration::from_secs_f64(load.aim_ms.get_ref() / 1e3),
        keyed_share: *load.keyed_share.get_ref(),
        duration: Duration::from_secs_f64(*scenario.duration_s.get_ref()),
        most: load.max_requests,
        seed: scenario.seed,
    };
    let addresses =
        cluster.proxies.lock().unwrap_or_else(|e| e.into_inner()).iter().map(|p| p.address).collect();
    let front = load::Front::new(addresses);
    let started = Instant::now();
    history.note_at(history.us(started), What::Load);
    let (over, is_over) = tokio::sync::oneshot::channel();
    let follower = Follower::new(history.clone(), out);
    let follower = tokio::spawn(follow(Arc::clone(&cluster), follower, is_over));
    let stream = tokio::spawn(cluster.caller.clone().stream(calls::draw(scenario), started));
    let end = started + clients.duration;
    tokio::spawn(Arc::clone(&front).probe(Duration::from_millis(250), end));
    let timeline = tokio::spawn(timeline(Arc::clone(&cluster), scenario.schedule(), started));
    let records = load::drive(front, clients, started).await;
    let happened = timeline.await.map_err(RigError::Timeline)?;
    // What was drawn for the load's time has been begun by its end.
    stream.await.map_err(RigError::Timeline)?;
    cluster.caller.finish().await;
    cluster.caller.read_all(&cluster.running()).await;
    history.note(What::Over);
    let _ = over.send(());
    let mut follower = follower.await.map_err(RigError::Timeline)?;
    for proxy in cluster.proxies.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        proxy.end();
    }
    cluster.registry.lock().unwrap_or_else(|e| e.into_inner()).end();
    cluster.look(&mut follower);
    let shunned = shunned(&cluster, &happened, started, end);
    let faults = happened.into_iter().map(|done| Happened { at_s: done.at, what: done.what }).collect();
    let pairs = pairs(&cluster.links, started, end);
    let mut summary = report::summarise(scenario.played(), &records, faults, shunned, pairs);
    cluster.note_sent(&records);
    history.write(out)?;
    summary.checks = checker::check(&history.entries());
    write_records(&records, out)?;
    Ok(summary)
}

/// Follows the processes into the history until the run is over.
async fn follow(
    cluster: Arc<Cluster>,
    mut follower: Follower,
    mut over: tokio::sync::oneshot::Receiver<()>,
) -> Follower {
    while matches!(over.try_recv(), Err(tokio::sync::oneshot::error::TryRecvError::Empty)) {
        cluster.look(&mut follower);
        tokio::time::sleep(LOOK_EVERY).await;
    }
    follower
}

/// A fault that was done.
struct Done {
    /// Seconds from the start of the load.
    at: f64,
    action: Action,
    /// As the report says it.
    what: String,
    /// The links to backends that it touched, by number.
    touched: Vec<usize>,
}

/// Carries out the faults at their times, and the starts that some of them bring with them.
async fn timeline(cluster: Arc<Cluster>, mut schedule: Vec<Step>, started: Instant) -> Vec<Done> {
    let starts: Vec<Step> = schedule.iter().filter_map(Step::start_again).collect();
    schedule.extend(starts);
    schedule.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    let mut happened = Vec::new();
    for step in schedule {
        tokio::time::sleep_until((started + Duration::from_secs_f64(step.at_s)).into()).await;
        let touched = apply(&cluster, &step);
        let at = started.elapsed().as_secs_f64();
        let what = step.what();
        cluster.history.note(What::Fault { what: what.clone() });
        eprintln!("rig: {at:6.2} s  {what}");
        happened.push(Done { at, action: step.action, what, touched });
    }
    happened
}

/// Does one fault now; gives the links to backends that it touched.
fn apply(cluster: &Cluster, step: &Step) -> Vec<usize> {
    let ends = step.ends(&cluster.places);
    let mut touched = if step.on_pairs() {
        let (from, to) = step.sides(&cluster.places);
        cluster.links.apply_between(step, &from, &to)
    } else if step.action.on_relay() {
        cluster.links.apply_before(step, &ends)
    } else {
        if step.action.loses() {
            cluster.lose(step.action, &ends);
        }
        ends.iter().for_each(|&end| cluster.apply_to(step, end));
        cluster.links.leading_to(&ends)
    };
    touched.retain(|&k| matches!(cluster.links.all()[k].to, End::Backend(_)));
    touched
}

impl Cluster {
    /// Takes what is new of every process into the history.
    fn look(&self, follower: &mut Follower) {
        let mut proxies = self.proxies.lock().unwrap_or_else(|e| e.into_inner());
        proxies.iter_mut().for_each(|proxy| follower.look(proxy));
        follower.look(&mut self.registry.lock().unwrap_or_else(|e| e.into_inner()));
    }

    /// The names of the proxies that run.
    fn running(&self) -> BTreeSet<String> {
        let mut proxies = self.proxies.lock().unwrap_or_else(|e| e.into_inner());
        proxies.iter_mut().filter_map(|proxy| proxy.running().then(|| proxy.name.clone())).collect()
    }

    /// Notes what reached each backend while a ban forbade it to the proxy that sent it: the one whose relay it
    /// came through, or where they share one the proxy that the client had asked.
    fn note_sent(&self, records: &[Record]) {
        let arrived = self.links.all().iter().filter(|link| matches!(link.to, End::Backend(_)));
        let arrived: Vec<_> = arrived.map(|link| (link, link.relay.arrived())).collect();
        let requests = arrived.iter().map(|(_, arrived)| arrived.len() as u64).sum();
        self.history.note(What::Reached { requests });
        let spans = checker::spans(&self.history.entries());
        let asked: HashMap<&str, usize> = records.iter().map(|r| (r.id.as_str(), r.proxy)).collect();
        for (link, arrived) in &arrived {
            let backend = link.to.to_string();
            let spans: Vec<_> = spans.iter().filter(|span| span.backend == backend).collect();
            for arrived in arrived.iter().filter(|_| !spans.is_empty()) {
                let (at, Some(id)) = (self.history.us(arrived.at), &arrived.id) else { continue };
                let node = link.from.or_else(|| asked.get(&**id).copied()).map(|n| End::Proxy(n).to_string());
                if spans.iter().any(|span| span.forbids(node.as_deref(), at)) {
                    let (backend, id) = (backend.clone(), id.to_string());
                    self.history.note_at(at, What::Sent { backend, node, id });
                }
            }
        }
    }

    /// Kills these processes at once; then either their folders are emptied, or what their logs had not synced is
    /// cut off.
    fn lose(&self, action: Action, ends: &BTreeSet<End>) {
        let mut proxies = self.proxies.lock().unwrap_or_else(|e| e.into_inner());
        let mut registry = self.registry.lock().unwrap_or_else(|e| e.into_inner());
        let numbers: Vec<usize> =
            ends.iter().filter_map(|&end| if let End::Proxy(n) = end { Some(n) } else { None }).collect();
        numbers.iter().for_each(|&n| proxies[n].signal(Signal::KILL));
        if ends.contains(&End::List) {
            registry.end();
        }
        for n in numbers {
            proxies[n].end();
            let home = procs::home(&self.out, n);
            let done = if action == Action::LoseDisk { disk::wipe(&home) } else { disk::cut_unsynced(&home) };
            if let Err(error) = done {
                eprintln!("rig: {}: {error}", home.display());
            }
        }
    }

    /// Does one fault to one process or stand-in.
    fn apply_to(&self, step: &Step, end: End) {
        match end {
            End::Proxy(n) if step.action.is_call() => {
                self.caller.call(n, step.line.as_deref().unwrap_or_default());
            }
            End::Proxy(n) => {
                let mut proxies = self.proxies.lock().unwrap_or_else(|e| e.into_inner());
                self.signal(&mut proxies[n], step.action);
            }
            End::List => {
                self.signal(&mut self.registry.lock().unwrap_or_else(|e| e.into_inner()), step.action);
            }
            End::Backend(n) => match step.action {
                Action::Slow => self.backends[n].set(Behaviour::Slow(step.factor.unwrap_or(SLOW_FACTOR))),
                Action::Fail => self.backends[n].set(Behaviour::Fail),
                Action::Hang => self.backends[n].set(Behaviour::Hang),
                Action::Recover => self.backends[n].set(Behaviour::Normal),
                Action::Drain => self.set_phase(&end.to_string(), "leaving"),
                Action::Undrain => self.set_phase(&end.to_string(), "active"),
                _ => {}
            },
        }
    }

    /// Signals a process of the rig, or starts it again on its address.
    fn signal(&self, process: &mut Process, action: Action) {
        match action {
            Action::Kill => process.signal(Signal::KILL),
            Action::Term => process.signal(Signal::TERM),
            Action::Stop => process.signal(Signal::STOP),
            Action::Cont => process.signal(Signal::CONT),
            Action::Restart if !process.running() => {
                if let Err(error) = process.launch(&self.program, &self.out) {
                    eprintln!("rig: {error}");
                }
            }
            _ => {}
        }
    }

    /// Gives a member a phase through the list service: its file is written anew and it is told by SIGHUP.
    fn set_phase(&self, id: &str, phase: &str) {
        let mut members = self.members.lock().unwrap_or_else(|e| e.into_inner());
        members.iter_mut().filter(|m| m.id == id).for_each(|m| m.phase = phase.to_owned());
        let mut registry = self.registry.lock().unwrap_or_else(|e| e.into_inner());
        match procs::write_members(&self.out.join("registry.toml"), registry.address, &members) {
            Ok(()) => registry.signal(Signal::HUP),
            Err(error) => eprintln!("rig: {error}"),
        }
    }
}

/// The fault that ends one that is shunned.
fn ending(action: Action) -> Option<Action> {
    match action {
        Action::BlackHole | Action::Partition | Action::Refuse => Some(Action::Heal),
        Action::Fail | Action::Hang => Some(Action::Recover),
        Action::Drain => Some(Action::Undrain),
        _ => None,
    }
}

/// For each fault that the proxies should shun, what came to the backends it touched until it ended.
fn shunned(cluster: &Cluster, happened: &[Done], started: Instant, end: Instant) -> Vec<report::Shunned> {
    let run_end = end.duration_since(started).as_secs_f64();
    let shunned = happened.iter().enumerate().filter(|(_, done)| !done.touched.is_empty());
    let shunned = shunned.filter_map(|(k, done)| ending(done.action).map(|e| (k, done, e)));
    shunned
        .map(|(k, done, ends)| {
            let all = |later: &Done| done.touched.iter().all(|k| later.touched.contains(k));
            let ended = happened[k + 1..].iter().find(|later| later.action == ends && all(later));
            let until = ended.map_or(run_end, |later| later.at);
            let came = done.touched.iter();
            let came = came.flat_map(|&k| cluster.links.all()[k].relay.arrivals(started));
            let came: Vec<f64> = came.filter(|t| (done.at..until).contains(t)).collect();
            let seconds = ((until - done.at).ceil() as usize).max(1);
            let last = came.iter().fold(0.0, |most: f64, t| most.max(t - done.at));
            report::Shunned {
                fault: done.what.clone(),
                at_s: done.at,
                stopped_after_s: (done.at + last < until - 1.0).then_some(last),
                last_arrival_s: last,
                arrivals_per_second: report::per_second(came.iter().map(|t| t - done.at), seconds),
            }
        })
        .collect()
}

/// What came to each relay between one proxy and one backend.
fn pairs(links: &Links, started: Instant, end: Instant) -> Vec<report::Pair> {
    let seconds = end.duration_since(started).as_secs_f64().ceil() as usize;
    let of_pair = |link: &links::Link| {
        let from = End::Proxy(link.from?);
        matches!(link.to, End::Backend(_)).then(|| report::Pair {
            from: from.to_string(),
            to: link.to.to_string(),
            arrivals_per_second: report::per_second(link.relay.arrivals(started), seconds),
        })
    };
    links.all().iter().filter_map(of_pair).collect()
}

/// Every request's record as a JSON line, in `requests.jsonl`.
fn write_records(records: &[Record], out: &Path) -> Result<(), RigError> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record).map_err(RigError::form("a request's record"))?);
        text.push('\n');
    }
    let path = out.join("requests.jsonl");
    std::fs::write(&path, text).map_err(RigError::write(&path))
}
