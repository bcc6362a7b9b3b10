//! Operators' calls as a scenario makes them: single ones on the timeline (`action = "call"`), and a bounded stream
//! (`[calls]`) that is drawn from a seed. Every call and its answer goes into the history.

use super::error::SectionError;
use super::history::{Ending, History, What};
use super::procs::Process;
use super::scenario::{Scenario, Target};
use super::step::Places;
use crate::proxy::handover::Bans;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use toml::Spanned;

/// How long a caller waits for its answer. An answer is owed within one second.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// The longest answer that is read, in bytes.
const ANSWER_CAP: u64 = 4_096;
/// The most calls that a stream may make.
pub const MOST_CALLS: usize = 10_000;
/// The shortest time between two calls of a stream, in milliseconds.
const LEAST_EVERY_MS: f64 = 10.0;
/// The share of a stream's calls that take a backend out.
const SHARE_ON: f64 = 0.6;
/// How long the proxies of a group may take at the end of a run to show the same bans.
const SETTLE: Duration = Duration::from_secs(5);
/// How often they are looked at meanwhile.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The section `[calls]` of a scenario: a stream of operators' calls.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallsSpec {
    /// Milliseconds between two calls, from the start of the load on; at least 10.
    pub every_ms: Spanned<f64>,
    /// The most calls; at most 10,000.
    pub most: Spanned<usize>,
    /// For what is called and where; the scenario's seed when it is left out.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Among which proxies and backends the calls are drawn: `proxy-N` and `backend-N`. Where it names no proxy
    /// (no backend), all of them.
    #[serde(default)]
    pub targets: Vec<Spanned<String>>,
}

/// A call that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// When, from the start of the load.
    pub at: Duration,
    /// The proxy, by number.
    pub proxy: usize,
    /// The line.
    pub line: String,
}

impl CallsSpec {
    /// Checks the section against the processes of its scenario.
    ///
    /// # Errors
    /// Where the file is wrong, and how.
    pub fn check(&self, places: &Places) -> Result<(), (Range<usize>, SectionError)> {
        let (every, most) = (*self.every_ms.get_ref(), *self.most.get_ref());
        if !(every.is_finite() && every >= LEAST_EVERY_MS) {
            let error = SectionError::Every { given: every, least: LEAST_EVERY_MS };
            return Err((self.every_ms.span(), error));
        }
        if !(1..=MOST_CALLS).contains(&most) {
            return Err((self.most.span(), SectionError::Calls { given: most, most: MOST_CALLS }));
        }
        for target in &self.targets {
            let name = target.get_ref();
            let one = matches!(Target::parse(name), Some(Target::Proxy(_) | Target::Backend(_)));
            if !one || places.ends(name).is_empty() {
                return Err((target.span(), SectionError::CallTarget(name.clone())));
            }
        }
        Ok(())
    }
}

/// Whether the scenario makes any call: only then do its proxies get an operators' address.
pub fn any(scenario: &Scenario) -> bool {
    scenario.calls.is_some() || scenario.schedule().iter().any(|step| step.action.is_call())
}

/// Whether the scenario's proxies share their bans, as a group's do.
pub fn shared(scenario: &Scenario) -> bool {
    scenario.group.is_some()
}

/// The stream as the seed draws it, in the order of the times; the same seed draws the same one.
pub fn draw(scenario: &Scenario) -> Vec<PlannedCall> {
    let Some(calls) = &scenario.calls else { return Vec::new() };
    let mut rng = fastrand::Rng::with_seed(calls.seed.unwrap_or(scenario.seed));
    let (mut proxies, mut backends) = (Vec::new(), Vec::new());
    for target in &calls.targets {
        match Target::parse(target.get_ref()) {
            Some(Target::Proxy(n)) => proxies.push(n),
            Some(Target::Backend(n)) => backends.push(n),
            _ => {}
        }
    }
    if proxies.is_empty() {
        proxies.extend(0..scenario.proxies.len());
    }
    if backends.is_empty() {
        backends.extend(0..scenario.backend_count());
    }
    let every = Duration::from_secs_f64(calls.every_ms.get_ref() / 1e3);
    let end = Duration::from_secs_f64(*scenario.duration_s.get_ref());
    let times = (1..=*calls.most.get_ref()).map(|n| every * n as u32).take_while(|at| *at < end);
    let call = |at| {
        let word = if rng.f64() < SHARE_ON { "maint-on" } else { "maint-off" };
        let proxy = proxies[rng.usize(..proxies.len())];
        let line = format!("{word} backend-{}", backends[rng.usize(..backends.len())]);
        PlannedCall { at, proxy, line }
    };
    times.map(call).collect()
}

/// Where one proxy is called, and where its bans are stored.
#[derive(Clone, Debug)]
struct Desk {
    node: String,
    address: SocketAddr,
    tmpdir: PathBuf,
}

/// Makes the calls of a run and notes them. Clones share the calls that are under way.
#[derive(Clone, Debug)]
pub struct Caller {
    history: History,
    group: bool,
    desks: Arc<Vec<Desk>>,
    made: Arc<Mutex<(u64, JoinSet<()>)>>,
}

impl Caller {
    /// A caller of these proxies; those without an operators' address can't be called.
    pub fn new(history: History, group: bool, proxies: &[Process]) -> Self {
        let desk = |proxy: &Process| {
            let (address, tmpdir) = (proxy.admin?, proxy.tmpdir()?.to_owned());
            Some(Desk { node: proxy.name.clone(), address, tmpdir })
        };
        let desks = proxies.iter().filter_map(desk).collect();
        Self { history, group, desks: Arc::new(desks), made: Arc::default() }
    }

    /// Begins a call to a proxy; it runs on beside what the rig does next.
    pub fn call(&self, proxy: usize, line: &str) {
        let Some(desk) = self.desks.get(proxy).cloned() else { return };
        let (caller, line) = (self.clone(), line.to_owned());
        let mut made = self.made.lock().unwrap_or_else(|e| e.into_inner());
        made.0 += 1;
        let call = made.0;
        made.1.spawn(async move { caller.carry_out(call, &desk, line).await });
    }

    async fn carry_out(self, call: u64, desk: &Desk, line: String) {
        let start_us = self.history.now_us();
        let ended = ask(desk.address, &line).await;
        let answered = matches!(ended, Ending::Answer(_));
        self.history.note(What::Call { call, start_us, node: desk.node.clone(), line, ended });
        // In a group a proxy may rightly be behind what another has answered; only its state at the end counts.
        if answered && !self.group {
            self.look(desk);
        }
    }

    /// Makes the calls of a stream at their times.
    pub async fn stream(self, calls: Vec<PlannedCall>, started: Instant) {
        for call in calls {
            tokio::time::sleep_until((started + call.at).into()).await;
            self.call(call.proxy, &call.line);
        }
    }

    /// Waits for the calls that are under way, each at most its patience.
    pub async fn finish(&self) {
        let under_way = std::mem::take(&mut self.made.lock().unwrap_or_else(|e| e.into_inner()).1);
        under_way.join_all().await;
    }

    /// Notes what each proxy's store of bans holds at the end of a run. The `running` proxies of a group get up to
    /// 5 s (`SETTLE`) to agree, and one that does not run is left out: it may be behind. Without a group each store
    /// counts, for it is what the proxy would start with.
    pub async fn read_all(&self, running: &BTreeSet<String>) {
        let desks: Vec<&Desk> =
            self.desks.iter().filter(|desk| !self.group || running.contains(&desk.node)).collect();
        let end = Instant::now() + SETTLE;
        while self.group && Instant::now() < end {
            let stored: BTreeSet<_> = desks.iter().map(|desk| desk.stored()).collect();
            if stored.len() <= 1 {
                break;
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
        desks.into_iter().for_each(|desk| self.look(desk));
    }

    fn look(&self, desk: &Desk) {
        let start_us = self.history.now_us();
        let banned = desk.stored();
        self.history.note(What::Read { start_us, node: desk.node.clone(), banned });
    }
}

impl Desk {
    /// The backends whose bans are stored; a folder that is not there holds none.
    fn stored(&self) -> BTreeSet<String> {
        Bans::within(&self.tmpdir).read().unwrap_or_default()
    }
}

/// Makes one call and waits for its answer.
async fn ask(address: SocketAddr, line: &str) -> Ending {
    let asked = tokio::time::timeout(PATIENCE, async {
        let mut stream = match TcpStream::connect(address).await {
            Ok(stream) => stream,
            Err(error) => return Ending::Unreachable(error.to_string()),
        };
        let mut answer = Vec::new();
        let exchanged = async {
            stream.write_all(format!("{line}\n").as_bytes()).await?;
            (&mut stream).take(ANSWER_CAP).read_to_end(&mut answer).await
        };
        let error = exchanged.await.err().map_or("closed without an answer".to_owned(), |e| e.to_string());
        // A whole line is an answer, however the connection ends after it.
        match answer.iter().position(|&b| b == b'\n') {
            Some(end) => Ending::Answer(String::from_utf8_lossy(&answer[..end]).trim().to_owned()),
            None => Ending::Broke(error),
        }
    });
    asked.await.unwrap_or(Ending::TimedOut)
}
