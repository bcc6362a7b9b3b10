//! The cluster rig: several processes of `gatestage proxy` and one of `gatestage registry` on loopback, stand-in
//! backends, a fault relay before every backend and before the list service, open-loop clients, and a timeline
//! of faults; one report per run.
//!
//! Its one face is [`run`]: a checked [`Scenario`] in, a [`Summary`] out, with `summary.json`, `plot.svg`, the
//! proxies' logs and configurations left in the folder of the run. Every run is bounded by the scenario's
//! duration and request count, and every listener is on loopback.

mod backends;
mod load;
mod overhead;
mod procs;
mod relay;
mod report;
mod scenario;

pub use load::{Outcome, Record};
pub use overhead::{Overhead, measure as relay_overhead};
pub use report::{Summary, Tally};
pub use scenario::{Action, Scenario, ScenarioError};

use crate::registry::Member;
use backends::{Backend, Behaviour, Traits};
use procs::{Process, Proxy};
use relay::{Mode, Relay};
use report::Happened;
use rustix::process::Signal;
use scenario::Target;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a proxy may take to answer `GET /up` after its start.
const START_PATIENCE: Duration = Duration::from_secs(15);

/// What the rig runs: the proxies and the list service are processes of the program; the backends and the
/// relays live in this one.
struct Cluster {
    backends: Vec<Backend>,
    relays: Vec<Relay>,
    /// The zone of each backend, by name.
    zones: Vec<String>,
    /// The list service, a process of the program, and the relay before it that the proxies dial.
    registry: Mutex<Process>,
    list_relay: Relay,
    /// The members as the list service's file has them.
    members: Mutex<Vec<Member>>,
    /// The program whose processes these are, for restarts.
    program: std::path::PathBuf,
    /// The folder of the run: configurations, logs, the list service's file.
    out: std::path::PathBuf,
    proxies: Mutex<Vec<Proxy>>,
}

/// Runs a scenario with `program` as the proxies' program (`gatestage`) and leaves its report in `out`.
///
/// # Errors
/// When a listener can't be opened, a proxy can't start or does not come up, or the report can't be written;
/// the message names which.
pub fn run(scenario: &Scenario, program: &Path, out: &Path) -> Result<Summary, String> {
    std::fs::create_dir_all(out).map_err(|e| format!("cannot make {}: {e}", out.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let summary = runtime.block_on(play(scenario, program, out))?;
    report::write(&summary, out)?;
    Ok(summary)
}

async fn build(scenario: &Scenario, program: &Path, out: &Path) -> Result<Cluster, String> {
    let host = scenario.ip();
    let (mut backends, mut relays, mut zones, mut members) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for group in &scenario.backends {
        let traits = Traits {
            service: Duration::from_secs_f64(group.service_ms.get_ref() / 1e3),
            error_share: *group.error_share.get_ref(),
            warm: Duration::from_secs_f64(*group.warm_s.get_ref()),
        };
        for _ in 0..group.count {
            let n = backends.len();
            let seed = scenario.seed.wrapping_mul(31).wrapping_add(n as u64);
            let backend =
                Backend::start(host, traits, seed).await.map_err(|e| format!("backend-{n}: {e}"))?;
            let relay = Relay::start(host, backend.address).await.map_err(|e| format!("relay {n}: {e}"))?;
            members.push(Member {
                id: format!("backend-{n}"),
                host_port: relay.address.to_string(),
                locality: group.zone.get_ref().clone(),
                flavor: "m".to_owned(),
                cell: 0,
                phase: "active".to_owned(),
                size: 1.0,
                up_since_ms: 0,
            });
            zones.push(group.zone.get_ref().clone());
            backends.push(backend);
            relays.push(relay);
        }
    }
    let registry = Process::registry(program, host, &members, out)?;
    come_up(registry.address, "/discovery/hosts", &registry.name, START_PATIENCE).await?;
    let list_relay =
        Relay::start(host, registry.address).await.map_err(|e| format!("the list's relay: {e}"))?;
    // The list service begins at revision 1 with these members.
    let known = serde_json::json!({"revision": 1, "complete": true, "members": members});
    let mut proxies = Vec::new();
    for me in 0..scenario.proxies.len() {
        proxies.push(Proxy::start(program, scenario, me, list_relay.address, &known, out)?);
    }
    for proxy in &proxies {
        come_up(proxy.address, "/up", &proxy.name, START_PATIENCE).await?;
    }
    let (registry, members, proxies) = (Mutex::new(registry), Mutex::new(members), Mutex::new(proxies));
    let (program, out) = (program.to_owned(), out.to_owned());
    Ok(Cluster { backends, relays, zones, registry, list_relay, members, program, out, proxies })
}

/// Waits until `GET path` answers 200, as the front does with `/up` before it takes a proxy in.
async fn come_up(
    address: std::net::SocketAddr,
    path: &str,
    name: &str,
    patience: Duration,
) -> Result<(), String> {
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build::<_, http_body_util::Empty<bytes::Bytes>>(
        hyper_util::client::legacy::connect::HttpConnector::new(),
    );
    let end = Instant::now() + patience;
    let uri: hyper::Uri = format!("http://{address}{path}").parse().map_err(|e| format!("{name}: {e}"))?;
    while Instant::now() < end {
        if let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), client.get(uri.clone())).await {
            if answer.status() == 200 {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{name} did not answer GET {path} within {patience:?}; see {name}.log"))
}

async fn play(scenario: &Scenario, program: &Path, out: &Path) -> Result<Summary, String> {
    let cluster = Arc::new(build(scenario, program, out).await?);
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
    let end = started + clients.duration;
    tokio::spawn(Arc::clone(&front).probe(Duration::from_millis(250), end));
    let timeline = tokio::spawn(timeline(Arc::clone(&cluster), scenario_faults(scenario), started));
    let records = load::drive(front, clients, started).await;
    let happened = timeline.await.map_err(|e| format!("the timeline ended: {e}"))?;
    for proxy in cluster.proxies.lock().unwrap_or_else(|e| e.into_inner()).iter_mut() {
        proxy.end();
    }
    cluster.registry.lock().unwrap_or_else(|e| e.into_inner()).end();
    let shunned = shunned(&cluster, &happened, started, end);
    let faults = happened.into_iter().map(|done| Happened { at_s: done.at, what: done.what }).collect();
    let summary = report::summarise(&scenario.name, &records, faults, shunned);
    write_records(&records, out)?;
    Ok(summary)
}

/// A fault in the form the timeline carries out.
#[derive(Clone)]
struct Planned {
    at: Duration,
    action: Action,
    target: String,
    mode: Option<Mode>,
    factor: f64,
}

fn scenario_faults(scenario: &Scenario) -> Vec<Planned> {
    let mut planned: Vec<Planned> = scenario
        .faults
        .iter()
        .map(|fault| Planned {
            at: Duration::from_secs_f64(*fault.at_s.get_ref()),
            action: fault.action,
            target: fault.target.get_ref().clone(),
            mode: (fault.action == Action::Delay).then(|| Mode::Delay {
                delay: Duration::from_secs_f64(fault.delay_ms / 1e3),
                jitter: Duration::from_secs_f64(fault.jitter_ms / 1e3),
            }),
            factor: fault.factor,
        })
        .collect();
    planned.sort_by_key(|p| p.at);
    planned
}

/// A fault that was done.
struct Done {
    /// Seconds from the start of the load.
    at: f64,
    action: Action,
    /// As the report says it.
    what: String,
    /// The backends it touched, by number.
    touched: Vec<usize>,
}

/// Carries out the faults at their times.
async fn timeline(cluster: Arc<Cluster>, planned: Vec<Planned>, started: Instant) -> Vec<Done> {
    let mut happened = Vec::new();
    for fault in planned {
        tokio::time::sleep_until((started + fault.at).into()).await;
        let touched = apply(&cluster, &fault);
        let at = started.elapsed().as_secs_f64();
        let what = format!("{:?} {}", fault.action, fault.target);
        eprintln!("rig: {at:6.2} s  {what}");
        happened.push(Done { at, action: fault.action, what, touched });
    }
    happened
}

/// Does one fault now; gives the backends it touched.
fn apply(cluster: &Cluster, fault: &Planned) -> Vec<usize> {
    let backends: Vec<usize> = match Target::parse(&fault.target) {
        Some(Target::Proxy(n)) => {
            let mut proxies = cluster.proxies.lock().unwrap_or_else(|e| e.into_inner());
            cluster.signal(&mut proxies[n], fault.action);
            return Vec::new();
        }
        Some(Target::List) => {
            if fault.action.on_proxy() {
                cluster.signal(&mut cluster.registry.lock().unwrap_or_else(|e| e.into_inner()), fault.action);
            } else {
                cluster.list_relay.set(relay_mode(fault).unwrap_or(Mode::Pass));
            }
            return Vec::new();
        }
        Some(Target::Backend(n)) => vec![n],
        Some(Target::Zone(name)) => (0..cluster.zones.len()).filter(|&n| cluster.zones[n] == name).collect(),
        None => Vec::new(),
    };
    for &n in &backends {
        let (backend, relay, id) = (&cluster.backends[n], &cluster.relays[n], format!("backend-{n}"));
        match fault.action {
            _ if fault.action.on_relay() => relay.set(relay_mode(fault).unwrap_or(Mode::Pass)),
            Action::Slow => backend.set(Behaviour::Slow(fault.factor)),
            Action::Fail => backend.set(Behaviour::Fail),
            Action::Hang => backend.set(Behaviour::Hang),
            Action::Recover => backend.set(Behaviour::Normal),
            Action::Drain => cluster.set_phase(&id, "leaving"),
            Action::Undrain => cluster.set_phase(&id, "active"),
            _ => {}
        }
    }
    backends
}

/// What a relay fault makes of the relay.
fn relay_mode(fault: &Planned) -> Option<Mode> {
    match fault.action {
        Action::BlackHole => Some(Mode::BlackHole),
        Action::Delay => fault.mode,
        Action::Refuse => Some(Mode::Refuse),
        Action::Reset => Some(Mode::Reset),
        Action::Heal => Some(Mode::Pass),
        _ => None,
    }
}

impl Cluster {
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
        Action::BlackHole | Action::Refuse => Some(Action::Heal),
        Action::Fail | Action::Hang => Some(Action::Recover),
        Action::Drain => Some(Action::Undrain),
        _ => None,
    }
}

/// For each fault that the proxies should shun, what came to the backends it touched until it ended.
fn shunned(cluster: &Cluster, happened: &[Done], started: Instant, end: Instant) -> Vec<report::Shunned> {
    let run_end = end.duration_since(started).as_secs_f64();
    let shunned =
        happened.iter().enumerate().filter_map(|(k, done)| ending(done.action).map(|e| (k, done, e)));
    shunned
        .map(|(k, done, ends)| {
            let ended =
                happened[k + 1..].iter().find(|later| later.action == ends && later.touched == done.touched);
            let until = ended.map_or(run_end, |later| later.at);
            let came = done.touched.iter().flat_map(|&n| cluster.relays[n].arrivals(started));
            let came: Vec<f64> = came.filter(|t| (done.at..until).contains(t)).collect();
            let seconds = ((until - done.at).ceil() as usize).max(1);
            let mut per_second = vec![0; seconds];
            came.iter().for_each(|t| per_second[((t - done.at) as usize).min(seconds - 1)] += 1);
            let last = came.iter().fold(0.0, |most: f64, t| most.max(t - done.at));
            report::Shunned {
                fault: done.what.clone(),
                at_s: done.at,
                stopped_after_s: (done.at + last < until - 1.0).then_some(last),
                last_arrival_s: last,
                arrivals_per_second: per_second,
            }
        })
        .collect()
}

/// Every request's record as a JSON line, in `requests.jsonl`.
fn write_records(records: &[Record], out: &Path) -> Result<(), String> {
    let mut text = String::new();
    for record in records {
        text.push_str(&serde_json::to_string(record).map_err(|e| format!("a record: {e}"))?);
        text.push('\n');
    }
    let path = out.join("requests.jsonl");
    std::fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
}
