//! Hollow proxies: many in one process, each the discovery client, the driver and the decision module of a real
//! proxy, put together as `proxy::program` does, without a listener for clients.

use super::members::{SERVICE, ZONES, proxy_name, proxy_zone};
use haventrack::api::BackendId;
use haventrack::balancer::Balancer;
use haventrack::names::{Name, ServiceSelection};
use haventrack::proxy::backends::Fleet;
use haventrack::proxy::bodies::Transfers;
use haventrack::proxy::clock::Clock;
use haventrack::proxy::config::Config;
use haventrack::proxy::discovery::{Numbers, Source, Translator, Watcher};
use haventrack::proxy::driver::{Driver, Limits};
use haventrack::proxy::view::ViewConfig;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc as report;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// How often a thread looks whether its proxies have taken a change: the resolution of the times told.
const LOOK_EVERY: Duration = Duration::from_millis(1);

/// How the platform tells proxies of changes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Each proxy has an agent that follows the list by itself.
    Pushed,
    /// A proxy asks for changes when its module says so.
    OnRequest,
}

/// What a process of hollow proxies is told at its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Bank {
    /// Where the list service listens.
    pub list: SocketAddr,
    /// The number of the first proxy.
    pub first: usize,
    /// How many proxies this process runs.
    pub count: usize,
    /// In how many threads.
    pub threads: usize,
    /// Proxies in all processes together.
    pub all: usize,
    /// How changes are told.
    pub mode: Mode,
    /// Whether each asks for its view of the one service, in place of the whole list.
    pub view: bool,
    /// For what the proxies draw.
    pub seed: u64,
}

/// What the bench asks of the process, a line of JSON each on its standard input.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// When has each proxy a list?
    Listed,
    /// When may each proxy that may now send to any of these members send to none of them?
    Gone(Vec<String>),
    /// When may each proxy send again to all that it could not after [`Question::Gone`]?
    Back,
}

/// What the process answers, a line of JSON each on its standard output: first that it looks, then what it saw.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It looks from now on: how many proxies the question concerns.
    Looking(usize),
    /// When each of them was so far, in Unix microseconds; one that never was so is missing.
    Seen(Vec<u64>),
}

/// How long an answer may take; longer is a failure that the bench reports.
pub const SEEN_WITHIN: Duration = Duration::from_secs(30);

/// The time now in Unix microseconds: processes of one machine compare it.
pub fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// One hollow proxy.
struct Hollow {
    fleet: Rc<Fleet>,
    numbers: Rc<RefCell<Numbers>>,
    held: Rc<Cell<bool>>,
    /// What it could send to before the last [`Question::Gone`].
    before: Vec<BackendId>,
    /// Of those, what the present question still waits for.
    left: Vec<BackendId>,
    /// Its discovery never moves; the watcher has the other end.
    _sources: watch::Sender<Source>,
}

/// The view that a proxy asks for.
fn view_of(number: usize) -> Result<ViewConfig, Box<dyn Error>> {
    let services = ServiceSelection::try_from(vec![SERVICE.to_owned()])?;
    Ok(ViewConfig { proxy: Name::try_from(proxy_name(number))?, services })
}

impl Hollow {
    fn start(bank: &Bank, number: usize) -> Result<Self, Box<dyn Error>> {
        let config = Config::parse(configuration(bank, number).to_string().as_bytes(), |_| None)?;
        let clock = Clock::start();
        let settings = config.settings.clone();
        let asked = settings.discovery_on_request;
        let permissions = settings.permissions;
        let limits = Limits {
            max_attempts: permissions.max_attempts,
            report_by_probe: settings.report_by_probe,
            memory: config.memory,
        };
        let transfers = Transfers::within(config.memory);
        let (sockets, dial, report) =
            (config.backend_sockets, config.dial_timeout, config.names.report.clone());
        let fleet = Fleet::new(sockets, dial, permissions.conn_idle, report, transfers);
        let balancer = Balancer::new(settings, config.seed, clock.now())?;
        let (subscribe, subscriptions) = mpsc::unbounded_channel();
        let numbers = Rc::new(RefCell::new(Numbers::default()));
        let (driver, handle) = Driver::new(balancer, clock, Rc::clone(&fleet), limits, subscribe);
        let held = Rc::new(Cell::new(false));
        let translator = Translator::new(clock, &config.names, Rc::clone(&numbers));
        let subscriptions = asked.then_some(subscriptions);
        let view = if bank.view { Some(view_of(number)?) } else { None };
        let source = Source { view, ..Source::of(&config) };
        let shared = Rc::clone(&held);
        let mut watcher =
            Watcher::new(source.clone(), translator, handle, shared, subscriptions, config.seed);
        watcher.start_from(config.known);
        let (sources, told) = watch::channel(source);
        tokio::task::spawn_local(driver.run());
        tokio::task::spawn_local(watcher.run(told));
        tokio::task::spawn_local(Rc::clone(&fleet).sweep());
        Ok(Self { fleet, numbers, held, before: Vec::new(), left: Vec::new(), _sources: sources })
    }

    /// Waits until it has a list, within bounds.
    async fn listed(&self) {
        let begun = Instant::now();
        while !self.held.get() && begun.elapsed() < SEEN_WITHIN {
            sleep(LOOK_EVERY).await;
        }
    }

    /// The driver tells the sockets of a list and then, in the same turn, the module.
    fn may_send(&self, backend: BackendId) -> bool {
        self.fleet.server(backend).is_some_and(|server| self.fleet.may_send(&server))
    }

    /// Begins to wait for what the question says; false where it does not concern this proxy.
    fn is_concerned(&mut self, question: &Question) -> bool {
        match question {
            Question::Listed => return true,
            Question::Gone(members) => {
                let found: Vec<_> = members.iter().filter_map(|id| self.numbers.borrow().find(id)).collect();
                self.before = found.into_iter().filter(|&backend| self.may_send(backend)).collect();
            }
            Question::Back => {}
        }
        self.left.clone_from(&self.before);
        !self.left.is_empty()
    }

    /// Whether that has come.
    fn is_so(&mut self, question: &Question) -> bool {
        let wanted = match question {
            Question::Listed => return self.held.get(),
            Question::Gone(_) => false,
            Question::Back => true,
        };
        while let Some(&backend) = self.left.last() {
            if self.may_send(backend) != wanted {
                return false;
            }
            self.left.pop();
        }
        true
    }
}

fn configuration(bank: &Bank, number: usize) -> serde_json::Value {
    let seed = bank.seed.wrapping_add(number as u64);
    let class = json!({"name": "read", "aimUs": 100_000, "deadlineUs": 1_000_000, "worth": 1.0, "lateWorth": 0.5,
        "effect": "retryable"});
    let mode = match bank.mode {
        Mode::Pushed => "pushed",
        Mode::OnRequest => "on_request",
    };
    let settings = json!({"me": number, "balancers": bank.all, "zone": proxy_zone(number), "failureDomains": ZONES,
        "kinds": ["m"], "membershipMode": mode, "classes": [class],
        "permissions": {"maxAttempts": 3, "cancel": true, "probes": false, "connIdleUs": 15_000_000,
                        "dialTimeoutUs": 1_000_000},
        "safety": {"askWithinUs": 6_000_000, "coldFrom": 0.3, "coldUs": 8_000_000, "fallMultiple": 3.0,
                   "fallUs": 2_000_000}});
    json!({"name": proxy_name(number), "listen": "127.0.0.1:0", "discovery": bank.list.to_string(),
        "seed": format!("{seed:016x}"), "limits": {"memory_mb": 64, "sockets": 1_024},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": settings})
}

/// Runs a process of hollow proxies until its standard input ends. The argument is a [`Bank`] in JSON.
///
/// # Errors
/// When the argument, a line of the input or the proxies' configuration makes no sense.
pub fn run(argument: &str) -> Result<(), Box<dyn Error>> {
    let bank: Bank = serde_json::from_str(argument)?;
    let (replies, replied) = report::channel();
    let threads: Vec<_> = (0..bank.threads)
        .map(|thread| {
            let (ask, questions) = mpsc::unbounded_channel();
            let (bank, replies) = (bank.clone(), replies.clone());
            thread::spawn(move || run_thread(&bank, thread, questions, &replies));
            ask
        })
        .collect();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let question: Question = serde_json::from_str(&line?)?;
        for ask in &threads {
            ask.send(question.clone())?;
        }
        // Each thread says that it looks before any can have seen all.
        let mut looking = Vec::new();
        let mut seen = Vec::new();
        while seen.len() < threads.len() {
            match replied.recv()? {
                Reply::Looking(count) => looking.push(count),
                Reply::Seen(times) => seen.push(times),
            }
            if looking.len() == threads.len() {
                let all = looking.drain(..).sum();
                writeln!(out, "{}", serde_json::to_string(&Reply::Looking(all))?)?;
                out.flush()?;
            }
        }
        writeln!(out, "{}", serde_json::to_string(&Reply::Seen(seen.concat()))?)?;
        out.flush()?;
    }
    Ok(())
}

/// One thread's proxies: every so many-th of the process's.
fn run_thread(
    bank: &Bank,
    thread: usize,
    questions: mpsc::UnboundedReceiver<Question>,
    replies: &report::Sender<Reply>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the system gives a runtime");
    LocalSet::new().block_on(&runtime, async {
        let mut proxies = Vec::new();
        for number in (bank.first..bank.first + bank.count).skip(thread).step_by(bank.threads) {
            let proxy = Hollow::start(bank, number).expect("the bench writes a sound configuration");
            // One after another: a thread that reads the first lists of all at once would be late for each call.
            proxy.listed().await;
            proxies.push(proxy);
        }
        answer(proxies, questions, replies).await;
    });
}

async fn answer(
    mut proxies: Vec<Hollow>,
    mut questions: mpsc::UnboundedReceiver<Question>,
    replies: &report::Sender<Reply>,
) {
    while let Some(question) = questions.recv().await {
        let mut waiting: Vec<_> =
            proxies.iter_mut().filter_map(|p| p.is_concerned(&question).then_some(p)).collect();
        // The process ends with its main thread, which takes the replies.
        let _ = replies.send(Reply::Looking(waiting.len()));
        let (mut seen, begun) = (Vec::new(), Instant::now());
        while !waiting.is_empty() && begun.elapsed() < SEEN_WITHIN {
            let before = waiting.len();
            waiting.retain_mut(|proxy| !proxy.is_so(&question));
            seen.extend(std::iter::repeat_n(unix_us(), before - waiting.len()));
            sleep(LOOK_EVERY).await;
        }
        let _ = replies.send(Reply::Seen(seen));
    }
}
