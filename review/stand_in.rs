//! What the cases share: the proxy as a process, stand-ins for discovery, backends and clients, and the record.
//! The standard library alone; every address is a loopback address.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn ioctl(fd: i32, request: u64, ...) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The cases' exit codes.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// How many processes a case may have at a time.
const MOST_PROCESSES: usize = 32;

struct Run {
    began: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    /// The processes that this case has started and not yet seen end.
    children: Mutex<Vec<i32>>,
}

static RUN: OnceLock<Run> = OnceLock::new();

fn run() -> &'static Run {
    RUN.get().expect("the case has begun")
}

/// Begins a case: its record, and a temporary folder of its own.
pub fn begin() {
    let case = PathBuf::from(std::env::var("CASE").unwrap_or_else(|_| ".".into()));
    let record = File::create(case.join("record.txt"));
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let folder = std::env::temp_dir().join(format!("gatestage-review-{}-{}", std::process::id(), since.as_nanos()));
    let (Ok(record), Ok(())) = (record, fs::create_dir_all(&folder)) else { exit(COULD_NOT_RUN) };
    let run = Run { began: Instant::now(), record: Mutex::new(record), folder, children: Mutex::default() };
    let _ = RUN.set(run);
    // Whatever goes wrong, the case ends within its time.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        end(COULD_NOT_RUN, "the case took too long");
    });
    std::panic::set_hook(Box::new(|why| end(COULD_NOT_RUN, &format!("a stand-in failed: {why}"))));
    say(&format!("disruption: {}", if trouble() { "yes" } else { "no (TROUBLE=0)" }));
}

/// Whether the disruption is to take place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

pub fn at() -> Duration {
    run().began.elapsed()
}

pub fn folder() -> &'static Path {
    &run().folder
}

/// Writes a line of the record.
pub fn say(line: &str) {
    let mut record = run().record.lock().unwrap_or_else(|e| e.into_inner());
    let _ = writeln!(record, "{:9.3} s  {line}", at().as_secs_f64());
}

/// Ends the case and all that it started.
pub fn end(code: i32, why: &str) -> ! {
    static ENDING: AtomicBool = AtomicBool::new(false);
    if ENDING.swap(true, Ordering::SeqCst) {
        loop {
            thread::sleep(Duration::from_secs(1));
        }
    }
    for &pid in run().children.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        // SAFETY: the process is this one's child and was not waited for.
        unsafe {
            kill(pid, SIGKILL);
            waitpid(pid, std::ptr::null_mut(), 0);
        }
    }
    let verdict = match code {
        HELD => "the rule held",
        BROKEN => "the rule was BROKEN",
        _ => "the case could not run",
    };
    say(&format!("{verdict}: {why}"));
    println!("{verdict}: {why}");
    let _ = fs::remove_dir_all(&run().folder);
    exit(code);
}

/// A free port on a loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

// ---- Processes ----

pub struct Process {
    pub child: Child,
    pub name: String,
    log: PathBuf,
}

/// The command of this name in the deploy file.
fn deployed(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix(&format!("{key} = \""))).expect("the command");
    line.split('"').next().expect("its end").to_owned()
}

impl Process {
    /// Starts a command line as the platform does: by `/bin/sh -c` from the repository's root.
    pub fn start(name: &str, line: &str, environment: &[(&str, String)]) -> Self {
        let log = folder().join(format!("{name}.log"));
        let out = File::options().create(true).append(true).open(&log).expect("a log");
        let mut command = Command::new("/bin/sh");
        command.args(["-c", line]).stdin(Stdio::null());
        command.stdout(out.try_clone().expect("a log")).stderr(out);
        environment.iter().for_each(|(name, value)| _ = command.env(name, value));
        let running = run().children.lock().unwrap_or_else(|e| e.into_inner()).len();
        assert!(running < MOST_PROCESSES, "too many processes");
        // It ends with the case, however that ends (PR_SET_PDEATHSIG). Cases start processes from their main thread.
        // SAFETY: prctl is a system call and nothing else.
        unsafe { command.pre_exec(|| Ok(_ = prctl(1, SIGKILL as usize))) };
        let child = command.spawn().expect("the process starts");
        run().children.lock().unwrap_or_else(|e| e.into_inner()).push(child.id() as i32);
        say(&format!("{name}: started as process {}: {line}", child.id()));
        Self { child, name: name.to_owned(), log }
    }

    /// A proxy by the deploy file's `run`, on this configuration.
    pub fn proxy(name: &str, config: &str, environment: &[(&str, String)]) -> Self {
        let (path, private) = (folder().join(format!("{name}.json")), folder().join(format!("{name}.tmp")));
        fs::write(&path, config).expect("the configuration");
        fs::create_dir_all(&private).expect("a private folder");
        let text = |p: PathBuf| p.to_str().expect("a path").to_owned();
        let mut all = vec![("EDGE_CONFIG", text(path)), ("TMPDIR", text(private))];
        all.extend(environment.iter().cloned());
        Self::start(name, &deployed("run"), &all)
    }

    pub fn signal(&self, signal: i32) {
        say(&format!("{}: signal {signal}", self.name));
        // SAFETY: the process is this one's child and was not waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        let ended = self.child.try_wait().is_ok_and(|ended| ended.is_some());
        if ended {
            // Its number may be another process's from now on.
            let pid = self.child.id() as i32;
            run().children.lock().unwrap_or_else(|e| e.into_inner()).retain(|&child| child != pid);
        }
        ended
    }

    /// Waits for its end; false where it does not come in time.
    pub fn wait(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while !self.has_ended() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        say(&format!("{}: ended", self.name));
        true
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Writes the last lines of its log into the record.
    pub fn say_log(&self) {
        let log = self.log();
        let lines: Vec<_> = log.lines().collect();
        lines.iter().skip(lines.len().saturating_sub(30)).for_each(|l| say(&format!("{} log: {l}", self.name)));
    }

    /// Its own memory now, in MB: without the pages of files, the program's for one.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let kb = status.lines().find_map(|l| l.strip_prefix("RssAnon:")).unwrap_or("0");
        kb.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap_or(0) / 1_024
    }
}

// ---- Settings ----

/// What a case sets of the configuration; the rest is the example of `WIRE`, "The settings".
pub struct Setup {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub memory_mb: u32,
    pub sockets: u32,
    pub balancers: u32,
    pub me: u32,
    pub members: Vec<String>,
}

impl Setup {
    pub fn config(&self) -> String {
        let admin = self.admin.map_or(String::new(), |a| format!("\"admin_addr\":\"{a}\","));
        let settings = SETTINGS.replace("BALANCERS", &self.balancers.to_string()).replace("MY_NUMBER", &self.me.to_string());
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",{admin}\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"known\":{},\"settings\":{settings}}}",
            self.name, self.listen, self.discovery, self.memory_mb, self.sockets, list(1, true, &self.members)
        )
    }
}

const SETTINGS: &str = r#"{"balancers": BALANCERS,
 "classes": [{"aimUs": 300000, "deadlineUs": 1500000, "effect": "dedup", "group": "cell", "keyTtlUs": 7500000, "lateWorth": 0.0, "name": "salva-domanda", "streamed": false, "worth": 5.0}, {"aimUs": 600000, "deadlineUs": 1500000, "effect": "fragile", "group": "all", "keyTtlUs": 5000000, "lateWorth": 0.0, "name": "conferma-posto", "streamed": false, "worth": 3.0}],
 "clients": {"marksRetry": true},
 "failureDomains": ["sala-catania", "sala-palermo"],
 "familyInfo": {"warmKeys": false},
 "kinds": ["veloce-2c", "lento-2c"],
 "loadReport": {"fields": [], "via": "none"},
 "me": MY_NUMBER,
 "membershipMode": "on_request",
 "objectiveMix": {"whole": 0.7, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.1},
 "overShareWorth": 0.05,
 "penalties": {"connection": 0.0, "crossZone": 0.013, "handshake": 0.0, "lateFail": 0.03, "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0068, "waste": 0.08},
 "periodUs": 5000,
 "permissions": {"cancel": true, "connIdleUs": 10000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 500000, "dialTimeoutUs": 150000, "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 750000, "multiplex": 1, "peers": false, "probes": true, "retryAfter": true, "secondCopies": true},
 "safety": {"answerSlackUs": 20000, "askWithinUs": 10000000, "coldFrom": 0.3, "coldUs": 8700000, "drainGraceUs": 500000, "fallMultiple": 3.0, "fallUs": 3000000},
 "tenants": [{"allowancePerS": 54.0, "name": "ic-etna-nord", "share": 0.17}, {"allowancePerS": 54.0, "name": "ic-conca-doro", "share": 0.17}],
 "tier": 0,
 "tiers": ["iscr-web"],
 "weights": "none",
 "workload": "proxy",
 "worthBy": "request",
 "zone": 0}"#;

pub fn member(id: &str, address: SocketAddr, zone: &str, cell: u32, phase: &str, up_since_ms: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"{zone}\",\"flavor\":\"veloce-2c\",\
         \"cell\":{cell},\"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":{up_since_ms}}}"
    )
}

pub fn list(revision: u64, complete: bool, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

// ---- HTTP ----

/// A message's head in lines, and what of its body has come along.
pub struct Head {
    pub first: String,
    pub fields: HashMap<String, String>,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn length(&self) -> usize {
        self.fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The value of a name in the query of a request's first line.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.first.split(' ').nth(1)?.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a head; `more` reads bytes and gives how many, 0 at the end.
pub fn read_head(mut bytes: Vec<u8>, mut more: impl FnMut(&mut [u8]) -> usize) -> Option<Head> {
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_owned();
            let field = |l: &str| l.split_once(':').map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
            return Some(Head { first, fields: lines.filter_map(field).collect(), rest: bytes.split_off(end + 4) });
        }
        let mut buffer = [0; 16_384];
        match more(&mut buffer) {
            0 => return None,
            n => bytes.extend_from_slice(&buffer[..n]),
        }
    }
}

// ---- Discovery ----

/// Discovery as `PROTOCOL`, "Discovery", has it: the whole list, and a watch.
pub struct Discovery {
    pub address: SocketAddr,
    held: Arc<(Mutex<(u64, Vec<String>)>, Condvar)>,
}

impl Discovery {
    pub fn start(members: Vec<String>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let held = Arc::new((Mutex::new((1, members)), Condvar::new()));
        let shared = Arc::clone(&held);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let held = Arc::clone(&shared);
                thread::spawn(move || Self::serve(stream, &held));
            }
        });
        Self { address, held }
    }

    fn serve(mut stream: TcpStream, held: &(Mutex<(u64, Vec<String>)>, Condvar)) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(head) = read_head(rest, |buffer| stream.read(buffer).unwrap_or(0)) {
            let number = |name| head.query(name).and_then(|n| n.parse::<u64>().ok());
            let (after, wait) = (number("after").unwrap_or(0), number("wait_ms").unwrap_or(0));
            let until = Instant::now() + Duration::from_millis(wait.min(60_000));
            let mut now = held.0.lock().unwrap();
            while after >= now.0 && Instant::now() < until {
                now = held.1.wait_timeout(now, until.saturating_duration_since(Instant::now())).unwrap().0;
            }
            // No change, or the whole list, which the page allows in place of the changes.
            let body = if after >= now.0 { list(now.0, false, &[]) } else { list(now.0, true, &now.1) };
            drop(now);
            let head_out = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head_out + &body).as_bytes()).is_err() {
                return;
            }
            rest = head.rest;
        }
    }

    /// Puts another list in force.
    pub fn post(&self, members: Vec<String>) {
        let mut now = self.held.0.lock().unwrap();
        *now = (now.0 + 1, members);
        say(&format!("discovery: revision {} in force", now.0));
        self.held.1.notify_all();
    }
}

// ---- Backends ----

#[derive(Default)]
pub struct Traits {
    /// It reads nothing and writes nothing, on any connection.
    pub silent: AtomicBool,
    /// Requests that have begun: their heads have come.
    pub heads: AtomicUsize,
    /// Requests that came whole, and so run.
    pub runs: AtomicUsize,
    /// Bytes read.
    pub bytes: AtomicU64,
    /// The ids of what ran.
    pub ran: Mutex<Vec<String>>,
    /// One in so many answers is followed by a second one, the same again, so late; `None`: none is.
    pub second_answers: Mutex<Option<(usize, Duration)>>,
    pub seconds: AtomicUsize,
}

/// A backend as `PROTOCOL`, "Proxies to backends", has it. `size=N` in the query asks for an answer of N bytes.
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub traits: Arc<Traits>,
}

impl Backend {
    pub fn start(id: &str, service: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let traits = Arc::new(Traits::default());
        let (shared, name) = (Arc::clone(&traits), id.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (traits, name) = (Arc::clone(&shared), name.clone());
                thread::spawn(move || serve(stream, &traits, &name, service));
            }
        });
        Self { id: id.to_owned(), address, traits }
    }

    pub fn silent(&self, silent: bool) {
        let word = if silent { "falls silent" } else { "is back" };
        say(&format!("backend {}: {word}", self.id));
        self.traits.silent.store(silent, Ordering::SeqCst);
    }
}

fn while_silent(traits: &Traits) {
    while traits.silent.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
}

fn serve(stream: TcpStream, traits: &Traits, name: &str, service: Duration) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut reader = stream.try_clone().expect("a clone");
    let stream = Arc::new(Mutex::new(stream));
    let idle_since = std::cell::Cell::new(Instant::now());
    // Gives 0 at the connection's end, and once it was idle for the settings' ten seconds.
    let mut read = |buffer: &mut [u8]| loop {
        while_silent(traits);
        match reader.read(buffer) {
            Ok(n) => {
                idle_since.set(Instant::now());
                traits.bytes.fetch_add(n as u64, Ordering::SeqCst);
                return n;
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                if idle_since.get().elapsed() > Duration::from_secs(10) {
                    return 0;
                }
            }
            Err(_) => return 0,
        }
    };
    let mut rest = Vec::new();
    while let Some(head) = read_head(rest, &mut read) {
        let id = head.fields.get("x-correlation-id").cloned().unwrap_or_default();
        traits.heads.fetch_add(1, Ordering::SeqCst);
        say(&format!("backend {name}: the head of {id} came, {} bytes to follow", head.length()));
        let mut left = head.length().saturating_sub(head.rest.len());
        let mut buffer = vec![0; 65_536];
        while left > 0 {
            let most = left.min(buffer.len());
            match read(&mut buffer[..most]) {
                0 => {
                    say(&format!("backend {name}: the connection ended {left} bytes before the end of {id}"));
                    return;
                }
                n => left -= n,
            }
        }
        traits.runs.fetch_add(1, Ordering::SeqCst);
        traits.ran.lock().unwrap().push(id.clone());
        say(&format!("backend {name}: runs {id}"));
        thread::sleep(service);
        while_silent(traits);
        let size = head.query("size").and_then(|s| s.parse().ok()).unwrap_or(0_usize);
        let body = format!("done {id} at {name}\n").into_bytes();
        let length = size.max(body.len());
        let text = [format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes(), &body].concat();
        // One answer after the other, each whole.
        let mut out = stream.lock().unwrap();
        if out.write_all(&text).is_err() {
            return;
        }
        let mut left = length - body.len();
        let piece = vec![b'.'; 65_536];
        while left > 0 {
            while_silent(traits);
            let n = left.min(piece.len());
            if out.write_all(&piece[..n]).is_err() {
                return;
            }
            left -= n;
        }
        drop(out);
        let second = *traits.second_answers.lock().unwrap();
        if let Some((every, late)) = second
            && traits.runs.load(Ordering::SeqCst) % every == 0
        {
            traits.seconds.fetch_add(1, Ordering::SeqCst);
            say(&format!("backend {name}: a second answer to {id} follows after {late:?}"));
            let stream = Arc::clone(&stream);
            thread::spawn(move || {
                thread::sleep(late);
                let _ = stream.lock().unwrap().write_all(&text);
            });
        }
        rest = Vec::new();
    }
}

// ---- Clients ----

/// Bytes of a connection that its peer's machine has not taken yet.
pub fn not_taken(stream: &TcpStream) -> i32 {
    let mut left: i32 = -1;
    // SAFETY: SIOCOUTQ writes one int.
    unsafe { ioctl(stream.as_raw_fd(), 0x5411, &mut left) };
    left
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the proxy accepts");
    let _ = stream.set_nodelay(true);
    stream
}

/// The head of a request as `PROTOCOL`, "Clients to proxies", has it.
pub fn head(class: &str, id: &str, query: &str, time_left_ms: u32, length: usize) -> String {
    let key = if class == "salva-domanda" { format!("Idempotency-Key: key-{id}\r\n") } else { String::new() };
    format!(
        "POST /{class}{query} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: ic-etna-nord\r\nX-Time-Left-Ms: {time_left_ms}\r\n{key}Content-Length: {length}\r\n\r\n"
    )
}

/// What came of a request.
#[derive(Debug)]
pub enum Came {
    /// A whole answer: its status and its body.
    Whole(u16, Vec<u8>),
    /// The connection ended before that.
    Closed(u16, usize),
    /// Neither within the time.
    Nothing(u16, usize),
}

/// Reads an answer until then.
pub fn answer(stream: &TcpStream, until: Instant) -> Came {
    let mut reader = stream;
    let mut late = false;
    let mut more = |buffer: &mut [u8], late: &mut bool| {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        match reader.read(buffer) {
            Ok(n) => n,
            Err(_) => {
                *late = Instant::now() >= until;
                0
            }
        }
    };
    let Some(head) = read_head(Vec::new(), |buffer| more(buffer, &mut late)) else {
        return if late { Came::Nothing(0, 0) } else { Came::Closed(0, 0) };
    };
    let (status, length, mut body) = (head.status(), head.length(), head.rest);
    let mut buffer = vec![0; 65_536];
    while body.len() < length {
        match more(&mut buffer, &mut late) {
            0 if late => return Came::Nothing(status, body.len()),
            0 => return Came::Closed(status, body.len()),
            n => body.extend_from_slice(&buffer[..n]),
        }
    }
    Came::Whole(status, body)
}

/// Waits until the proxy says that it is up.
pub fn wait_up(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(20);
    loop {
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
            if let Came::Whole(200, _) = answer(&stream, Instant::now() + Duration::from_secs(1)) {
                return say("the proxy says that it is up");
            }
        }
        if Instant::now() > until {
            end(COULD_NOT_RUN, "the proxy did not come up");
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// An operator's call and its answer.
pub fn call(admin: SocketAddr, line: &str) -> String {
    let mut answer = String::new();
    if let Ok(mut stream) = TcpStream::connect(admin) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let _ = stream.write_all(format!("{line}\n").as_bytes());
        let _ = stream.read_to_string(&mut answer);
    }
    let answer = answer.trim().to_owned();
    say(&format!("operators: `{line}` -> `{answer}`"));
    answer
}

// ---- A slow link ----

/// A relay on the way to an address: what comes is handed on, in order, after the delay.
pub struct Relay {
    pub address: SocketAddr,
    delay_ms: Arc<AtomicU64>,
}

impl Relay {
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let delay_ms = Arc::new(AtomicU64::new(0));
        let shared = Arc::clone(&delay_ms);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let delay = Arc::clone(&shared);
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect(target) else { return };
                    let (near_out, far_out) = (near.try_clone().expect("a clone"), far.try_clone().expect("a clone"));
                    let back = Arc::clone(&delay);
                    thread::spawn(move || pass(near, far_out, &delay));
                    pass(far, near_out, &back);
                });
            }
        });
        Self { address, delay_ms }
    }

    pub fn delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, delay_ms: &AtomicU64) {
    let _ = to.set_nodelay(true);
    let (send, due) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (at, bytes) in due {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            // Nothing: the end of what came.
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    });
    let mut buffer = vec![0; 65_536];
    loop {
        let n = from.read(&mut buffer).unwrap_or(0);
        let at = Instant::now() + Duration::from_millis(delay_ms.load(Ordering::SeqCst));
        if send.send((at, buffer[..n].to_vec())).is_err() || n == 0 {
            return;
        }
    }
}

/// A small GET and its answer's body.
pub fn get(address: SocketAddr, path: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").as_bytes());
    match answer(&stream, Instant::now() + Duration::from_secs(2)) {
        Came::Whole(_, body) => String::from_utf8_lossy(&body).into_owned(),
        _ => String::new(),
    }
}
