//! A fleet for tests of views: the list service's file, proxies of `gatestage proxy` with a `[view]`, and stand-in
//! backends that note which proxy each request came from.

use crate::rig::{Backend, PATIENCE, Reply, ok, private_dir, settings, write_config};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

/// The service of every member and proxy, unless a test says otherwise.
pub const SERVICE: &str = "enrolment";
/// The zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// How often a wait looks again.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Waits for `what`, for as long as a test may take.
pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if let Some(found) = look() {
            return found;
        }
        thread::sleep(LOOK_EVERY);
    }
    panic!("waited in vain: {what}");
}

/// The same for what is there or not.
pub fn wait_until(what: &str, mut look: impl FnMut() -> bool) {
    wait_for(what, || look().then_some(()));
}

/// A word that comes after this time.
pub fn word_after(delay: Duration) -> Receiver<()> {
    let (send, word) = channel();
    thread::spawn(move || {
        thread::sleep(delay);
        let _ = send.send(());
    });
    word
}

/// A `[[proxy]]` table.
#[derive(Clone)]
pub struct ProxyEntry {
    /// Its name.
    pub name: String,
    /// Its zone, as a number.
    pub zone: usize,
    /// `active`, `joining` or `leaving`.
    pub phase: &'static str,
    /// Its services.
    pub services: Vec<&'static str>,
}

impl ProxyEntry {
    /// A proxy of the one service.
    pub fn new(number: usize, phase: &'static str) -> Self {
        Self { name: format!("edge-{number}"), zone: number % ZONES.len(), phase, services: vec![SERVICE] }
    }
}

/// A `[[member]]` table.
#[derive(Clone)]
pub struct MemberEntry {
    /// Its id.
    pub id: String,
    /// Where proxies dial it.
    pub address: SocketAddr,
    /// Its zone, as a number.
    pub zone: usize,
    /// Its service.
    pub service: &'static str,
}

/// The list service's file.
#[derive(Clone)]
pub struct ListFile {
    /// The file's revision.
    pub revision: u64,
    /// `[[service]]` tables: names and `subset_size`.
    pub services: Vec<(&'static str, Option<usize>)>,
    /// `[[proxy]]` tables.
    pub proxies: Vec<ProxyEntry>,
    /// `[[member]]` tables.
    pub members: Vec<MemberEntry>,
}

impl ListFile {
    /// A first file: active proxies with these numbers, and backends of one service.
    pub fn new(subset_size: usize, proxies: std::ops::RangeInclusive<usize>, backends: &[StandIn]) -> Self {
        Self {
            revision: 1,
            services: vec![(SERVICE, Some(subset_size))],
            proxies: proxies.map(|number| ProxyEntry::new(number, "active")).collect(),
            members: backends.iter().map(StandIn::entry).collect(),
        }
    }

    /// The next revision with this change.
    pub fn next(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        next.revision += 1;
        change(&mut next);
        next
    }

    /// Gives proxies another phase.
    pub fn set_phase(&mut self, names: &[&str], phase: &'static str) {
        let chosen = self.proxies.iter_mut().filter(|proxy| names.contains(&proxy.name.as_str()));
        chosen.for_each(|proxy| proxy.phase = phase);
    }

    /// The file's text.
    pub fn text(&self) -> String {
        let mut text = format!("listen = \"127.0.0.1:0\"\nrevision = {}\n", self.revision);
        for (name, subset_size) in &self.services {
            text += &format!("[[service]]\nname = \"{name}\"\n");
            text += &subset_size.map(|size| format!("subset_size = {size}\n")).unwrap_or_default();
        }
        for ProxyEntry { name, zone, phase, services } in &self.proxies {
            text += &format!(
                "[[proxy]]\nname = \"{name}\"\nzone = \"{}\"\nservices = {services:?}\nphase = \"{phase}\"\n",
                ZONES[*zone]
            );
        }
        for MemberEntry { id, address, zone, service } in &self.members {
            text += &format!(
                "[[member]]\nid = \"{id}\"\nservice = \"{service}\"\nhost_port = \"{address}\"\n\
                 locality = \"{}\"\nflavor = \"m\"\ncell = {zone}\n",
                ZONES[*zone]
            );
        }
        text
    }
}

/// A request at a backend.
#[derive(Clone)]
pub struct Arrival {
    /// When it had come.
    pub at: Instant,
    /// The proxy that its client asked.
    pub proxy: String,
    /// Its id.
    pub id: String,
}

/// Holds requests in the backends' hands until a test lets them go.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<GateState>>,
}

#[derive(Default)]
struct GateState {
    is_open: bool,
    held: Vec<Sender<()>>,
}

impl Gate {
    fn hold(&self) -> Receiver<()> {
        let (send, word) = channel();
        let mut state = self.state.lock().expect("the gate");
        if !state.is_open {
            state.held.push(send);
        }
        word
    }

    /// How many requests are held.
    pub fn held(&self) -> usize {
        self.state.lock().expect("the gate").held.len()
    }

    /// Lets go of all that are held, and holds no more.
    pub fn open(&self) {
        let mut state = self.state.lock().expect("the gate");
        state.is_open = true;
        state.held.clear();
    }
}

/// The class whose requests a backend holds until the gate opens. No proxy may repeat one.
pub const HELD_CLASS: &str = "charge";

/// A stand-in backend. It answers each request with its own id.
pub struct StandIn {
    /// Its id in the list.
    pub id: String,
    /// Its zone, as a number.
    pub zone: usize,
    /// Where the list says it is: its own address, or that of a relay before it.
    pub address: SocketAddr,
    backend: Backend,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl StandIn {
    /// Starts one that takes this long for a request.
    pub fn start(number: usize, service_time: Duration, gate: &Gate) -> Self {
        let id = format!("s-{number}");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let (name, noted, gate) = (id.clone(), Arc::clone(&arrivals), gate.clone());
        let backend = Backend::start(move |request| {
            let Some(asked) = request.header("x-correlation-id") else { return ok(&name) };
            let proxy = asked.split('/').next().unwrap_or_default().to_owned();
            let arrival = Arrival { at: Instant::now(), proxy, id: asked.to_owned() };
            noted.lock().expect("the arrivals").push(arrival);
            let is_held = request.header("x-service-class") == Some(HELD_CLASS);
            let word = if is_held { gate.hold() } else { word_after(service_time) };
            Reply::After(word, Box::new(ok(&name)))
        });
        Self { id, zone: number % ZONES.len(), address: backend.address, backend, arrivals }
    }

    /// Starts as many as this.
    pub fn start_all(count: usize, service_time: Duration, gate: &Gate) -> Vec<Self> {
        (0..count).map(|number| Self::start(number, service_time, gate)).collect()
    }

    /// Where it listens itself.
    pub fn own_address(&self) -> SocketAddr {
        self.backend.address
    }

    /// Its entry in the list service's file.
    pub fn entry(&self) -> MemberEntry {
        MemberEntry { id: self.id.clone(), address: self.address, zone: self.zone, service: SERVICE }
    }

    /// The requests that came so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("the arrivals").clone()
    }

    /// The requests that came from this proxy since then.
    pub fn arrivals_from(&self, proxy: &str, since: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals();
        arrivals.into_iter().filter(|arrival| arrival.proxy == proxy && arrival.at >= since).collect()
    }
}

/// The ids of the backends that got requests from this proxy since then, sorted.
pub fn asked_by(proxy: &str, since: Instant, backends: &[StandIn]) -> Vec<String> {
    let asked = backends.iter().filter(|backend| !backend.arrivals_from(proxy, since).is_empty());
    let mut ids: Vec<String> = asked.map(|backend| backend.id.clone()).collect();
    ids.sort();
    ids
}

/// The `[view]` of a proxy's TOML file.
pub fn view(proxy: &str, services: &[&str]) -> String {
    format!("[view]\nproxy = \"{proxy}\"\nservices = {services:?}\n")
}

/// A proxy's JSON configuration for this list service: three zones, and no backend known.
pub fn edge_config(proxy: &ProxyEntry, fleet_size: usize, discovery: SocketAddr) -> Value {
    let mut settings = settings();
    settings["balancers"] = json!(fleet_size);
    settings["zone"] = json!(proxy.zone);
    settings["failureDomains"] = json!(ZONES);
    json!({"name": proxy.name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 0, "complete": true, "members": []}, "settings": settings})
}

/// A process of `gatestage proxy`; it is killed when this is dropped.
pub struct Edge {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub address: SocketAddr,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// What its files are named by.
    files: String,
    config: Value,
    beside: Option<String>,
}

/// The command of a proxy with this configuration, and beside it this text of a TOML file.
pub fn edge_command(files: &str, config: &Value, beside: Option<&str>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gatestage"));
    command.arg("proxy").env("EDGE_CONFIG", write_config(files, &config.to_string()));
    command.env("TMPDIR", private_dir(files)).env_remove("GATESTAGE_CONFIG");
    if let Some(text) = beside {
        command.env("GATESTAGE_CONFIG", write_beside(files, text));
    }
    command.stderr(Stdio::piped()).stdout(Stdio::null());
    command
}

/// Writes the TOML file beside a proxy's configuration.
fn write_beside(files: &str, text: &str) -> PathBuf {
    let path = private_dir(files).join("edge.toml");
    fs::write(&path, text).expect("the configuration is written");
    path
}

/// What a proxy says that does not start.
pub fn refused_start(files: &str, config: &Value, beside: &str) -> String {
    let mut child = edge_command(files, config, Some(beside)).spawn().expect("the program starts");
    let end = Instant::now() + PATIENCE;
    let status = loop {
        if let Some(status) = child.try_wait().expect("its state") {
            break status;
        }
        if Instant::now() > end {
            let _ = child.kill();
            let _ = child.wait();
            panic!("it runs with this file:\n{beside}");
        }
        thread::sleep(LOOK_EVERY);
    };
    assert!(!status.success() && status.code().is_some(), "it ended with {status} on:\n{beside}");
    let lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
    lines.map_while(Result::ok).collect::<Vec<_>>().join("\n")
}

impl Edge {
    /// Starts a proxy of `test` with a view of its services.
    pub fn start(test: &str, proxy: &ProxyEntry, fleet_size: usize, discovery: SocketAddr) -> Self {
        let beside = view(&proxy.name, &proxy.services);
        let config = edge_config(proxy, fleet_size, discovery);
        Self::start_with(&format!("{test}-{}", proxy.name), config, Some(beside))
    }

    /// Starts a proxy with this configuration, and beside it this text of a TOML file.
    pub fn start_with(files: &str, config: Value, beside: Option<String>) -> Self {
        let mut child = edge_command(files, &config, beside.as_deref()).spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("standard error")).lines();
        let log = Arc::new(Mutex::new(Vec::new()));
        let address = loop {
            let line = lines.next().expect("the proxy listens").expect("a line");
            log.lock().expect("the log").push(line.clone());
            if let Some((_, address)) = line.rsplit_once("listens on ") {
                break address.parse().expect("an address");
            }
        };
        let noted = Arc::clone(&log);
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| noted.lock().expect("the log").push(line));
        });
        let name = config["name"].as_str().expect("a name").to_owned();
        Self { name, address, child, log, files: files.to_owned(), config, beside }
    }

    /// Kills it and starts another process of this proxy with the same files.
    pub fn restart(self) -> Self {
        let (files, config, beside) = (self.files.clone(), self.config.clone(), self.beside.clone());
        drop(self);
        Self::start_with(&files, config, beside)
    }

    /// The lines of its log so far with this word in them.
    pub fn lines(&self, word: &str) -> Vec<String> {
        let log = self.log.lock().expect("the log");
        log.iter().filter(|line| line.contains(word)).cloned().collect()
    }

    /// Whether its process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Has it read its configuration again.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// The same after its TOML file has changed to this.
    pub fn reread(&mut self, beside: &str) {
        write_beside(&self.files, beside);
        self.beside = Some(beside.to_owned());
        self.hang_up();
    }

    /// Ends it with SIGTERM.
    pub fn terminate(mut self) -> ExitStatus {
        self.signal("-TERM");
        wait_for("the proxy's end", || self.child.try_wait().expect("its state"))
    }

    fn signal(&self, which: &str) {
        let done = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
