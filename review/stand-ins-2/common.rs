//! What the cases 6 to 10 share: stand-ins for clients, backends and discovery (threads on loopback addresses),
//! and the project's programs as separate processes. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: std::ffi::c_ulong = 9;

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One run: its record, its temporary folder and its processes.
pub struct Lab {
    pub root: PathBuf,
    pub tmp: PathBuf,
    began: Instant,
    record: Mutex<File>,
    children: Mutex<Vec<(String, Child)>>,
}

impl Lab {
    /// `case`: the number of the case. Ends the whole run with 2 after 115 s.
    pub fn new(case: &str) -> Arc<Self> {
        let root = std::env::current_dir().expect("a folder");
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_nanos();
        let tmp = std::env::temp_dir().join(format!("gatestage-review-{case}-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&tmp).expect("a temporary folder");
        let record = File::create(root.join("review").join(case).join("record.txt")).expect("record.txt");
        let lab = Arc::new(Self {
            root,
            tmp,
            began: Instant::now(),
            record: Mutex::new(record),
            children: Mutex::new(Vec::new()),
        });
        let watch = Arc::clone(&lab);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(115));
            watch.say("the run took too long");
            watch.finish(2);
        });
        lab.say(&format!("case {case}, trouble: {}", trouble()));
        lab
    }

    pub fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn say(&self, line: &str) {
        let _ = writeln!(self.record.lock().unwrap(), "{:9.3} {line}", self.at());
    }

    /// Ends all processes, says the verdict and exits: 0 held, 1 broken, 2 could not run.
    pub fn finish(&self, code: i32) -> ! {
        for (name, child) in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
            if code != 0 {
                if let Ok(text) = fs::read_to_string(self.tmp.join(format!("{name}.log"))) {
                    for line in text.lines().rev().take(40).collect::<Vec<_>>().into_iter().rev() {
                        let _ = writeln!(self.record.lock().unwrap(), "log of {name}: {line}");
                    }
                }
            }
        }
        let verdict = match code {
            0 => "held",
            1 => "BROKEN",
            _ => "could not run",
        };
        self.say(&format!("verdict: {verdict}"));
        let _ = writeln!(io::stdout(), "{verdict}");
        let _ = fs::remove_dir_all(&self.tmp);
        exit(code)
    }

    pub fn need(&self, good: bool, what: &str) {
        if !good {
            self.say(&format!("cannot go on: {what}"));
            self.finish(2);
        }
    }

    /// The command of the deploy file for one real proxy.
    pub fn run_command(&self) -> String {
        let text = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let line = text.lines().find(|l| l.starts_with("run = ")).expect("run");
        line.trim_start_matches("run = ").trim().trim_matches('"').to_owned()
    }

    /// Starts a program by the shell, from the root; gives its process id.
    pub fn spawn(&self, name: &str, command: &str, env: &[(&str, &str)]) -> u32 {
        let log = File::create(self.tmp.join(format!("{name}.log"))).expect("a log");
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(&self.root).stdin(Stdio::null());
        shell.stdout(log.try_clone().expect("a log")).stderr(log);
        for (key, value) in env {
            shell.env(key, value);
        }
        // Whatever ends this run, its processes end with it.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = shell.spawn().expect("a process");
        let id = child.id();
        self.say(&format!("start {name}: {command} (process {id})"));
        self.children.lock().unwrap().push((name.to_owned(), child));
        id
    }

    /// Starts one proxy as the deploy file says. `more`: further environment.
    pub fn proxy(&self, name: &str, config: &Path, tmp: &Path, more: &[(&str, &str)]) -> u32 {
        fs::create_dir_all(tmp).expect("a folder");
        let (config, tmp) = (config.to_string_lossy().into_owned(), tmp.to_string_lossy().into_owned());
        let mut env = vec![("EDGE_CONFIG", config.as_str()), ("TMPDIR", tmp.as_str())];
        env.extend_from_slice(more);
        self.spawn(name, &self.run_command(), &env)
    }

    pub fn signal(&self, pid: u32, signal: &str) {
        self.say(&format!("SIG{signal} to process {pid}"));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{signal} {pid}")).status();
    }

    /// Waits until a process has ended; its exit status, `None` where it runs on.
    pub fn ended(&self, pid: u32, within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        loop {
            let mut children = self.children.lock().unwrap();
            if let Some((_, child)) = children.iter_mut().find(|(_, c)| c.id() == pid) {
                if let Ok(Some(status)) = child.try_wait() {
                    self.say(&format!("process {pid} has ended: {status}"));
                    return Some(status.to_string());
                }
            }
            drop(children);
            if Instant::now() > until {
                return None;
            }
            thread::sleep(ms(10));
        }
    }

    pub fn log_of(&self, name: &str) -> String {
        fs::read_to_string(self.tmp.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.tmp.join(name);
        fs::write(&path, text).expect("a file");
        path
    }
}

/// A loopback port that is free now. Ports are not given twice in one run.
pub fn port() -> u16 {
    static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let port = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port").port();
        let mut given = GIVEN.lock().unwrap();
        if !given.contains(&port) {
            given.push(port);
            return port;
        }
    }
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a head; what came behind it stays in `buffer`. `None`: the peer has ended.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0; 4096];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers = pairs.map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned())).collect();
    Ok(Some(Message { line, headers, body: Vec::new() }))
}

/// Reads a whole request with a body of known length.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else { return Ok(None) };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut chunk = [0; 4096];
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            n => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

pub fn answer(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes())
}

/// Serves each connection at a listener on a thread of its own.
pub fn serve(
    port: u16,
    handle: impl Fn(&mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", port)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                let _ = handle(&mut stream);
            });
        }
    });
    address
}

// ---- Discovery ----

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub phase: String,
    pub up_since_ms: u64,
}

impl Member {
    pub fn new(id: &str, address: SocketAddr) -> Self {
        Self { id: id.to_owned(), address, phase: "active".to_owned(), up_since_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"sala-catania\",\"flavor\":\"veloce-2c\",\
             \"cell\":0,\"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<_> = members.iter().map(Member::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// A discovery service as the protocol page has it.
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<(u64, Vec<(u64, Member)>)>, Condvar)>,
}

impl Discovery {
    pub fn start(members: Vec<Member>) -> Self {
        let members: Vec<(u64, Member)> = members.into_iter().map(|m| (1, m)).collect();
        let state = Arc::new((Mutex::new((1, members)), Condvar::new()));
        let shared = Arc::clone(&state);
        let address = serve(0, move |stream| {
            let mut buffer = Vec::new();
            while let Some(request) = read_request(stream, &mut buffer)? {
                let target = request.line.split(' ').nth(1).unwrap_or_default().to_owned();
                let query = target.split_once('?').map_or("", |(_, q)| q);
                let number = |name: &str| {
                    let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == name);
                    pair.and_then(|(_, v)| v.parse::<u64>().ok()).unwrap_or(0)
                };
                let (after, wait) = (number("after"), ms(number("wait_ms")));
                let (lock, changed) = &*shared;
                let mut held = lock.lock().unwrap();
                if after > 0 {
                    let until = Instant::now() + wait;
                    while held.0 <= after && Instant::now() < until {
                        let left = until.saturating_duration_since(Instant::now());
                        held = changed.wait_timeout(held, left).unwrap().0;
                    }
                }
                let members: Vec<Member> =
                    held.1.iter().filter(|(at, _)| *at > after).map(|(_, m)| m.clone()).collect();
                let text = list_json(held.0, after == 0, &members);
                drop(held);
                answer(stream, "200 OK", &text)?;
            }
            Ok(())
        });
        Self { address, state }
    }

    /// Tells a change.
    pub fn change(&self, id: &str, change: impl Fn(&mut Member)) {
        let (lock, changed) = &*self.state;
        let mut held = lock.lock().unwrap();
        held.0 += 1;
        let revision = held.0;
        for (at, member) in held.1.iter_mut().filter(|(_, m)| m.id == id) {
            *at = revision;
            change(member);
        }
        changed.notify_all();
    }
}

// ---- Configuration ----

/// The settings of a small deployment: a class whose repeats are dropped, and one that must not run twice.
pub fn settings(me: u32, balancers: u32) -> String {
    format!(
        r#"{{"balancers":{balancers},"classes":[
{{"aimUs":300000,"deadlineUs":1500000,"effect":"dedup","group":"all","keyTtlUs":7500000,"lateWorth":0.0,"name":"salva-domanda","streamed":false,"worth":5.0}},
{{"aimUs":600000,"deadlineUs":1500000,"effect":"fragile","group":"all","keyTtlUs":5000000,"lateWorth":0.0,"name":"conferma-posto","streamed":false,"worth":3.0}}],
"clients":{{"marksRetry":true}},"failureDomains":["sala-catania"],"familyInfo":{{"warmKeys":false}},"kinds":["veloce-2c"],
"loadReport":{{"fields":[],"via":"none"}},"me":{me},"membershipMode":"on_request",
"objectiveMix":{{"whole":0.7,"worstClass":0.1,"worstTenant":0.1,"worstWindow":0.1}},"overShareWorth":0.05,
"penalties":{{"connection":0.0,"crossZone":0.013,"handshake":0.0,"lateFail":0.03,"membershipMode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0068,"waste":0.08}},
"periodUs":5000,
"permissions":{{"cancel":true,"connIdleUs":10000000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"dialTimeoutUs":150000,"maxAttempts":6,"maxOpen":20000,"maxRetryAfterUs":750000,"multiplex":1,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true}},
"safety":{{"answerSlackUs":20000,"askWithinUs":10000000,"coldFrom":0.3,"coldUs":8700000,"drainGraceUs":500000,"fallMultiple":3.0,"fallUs":3000000}},
"tenants":[],"tier":0,"tiers":["iscr-web"],"weights":"none","workload":"proxy","worthBy":"request","zone":0}}"#
    )
}

pub struct Proxy {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
}

impl Proxy {
    pub fn new(name: &str) -> Self {
        let at = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { name: name.to_owned(), listen: at(port()), admin: at(port()) }
    }

    /// The configuration's text. `known`: a list in discovery's form.
    pub fn config(&self, discovery: SocketAddr, known: &str, settings: &str) -> String {
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"admin_addr\":\"{}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":1024}},\
             \"known\":{known},\"settings\":{settings}}}",
            self.name, self.listen, self.admin
        )
    }
}

// ---- Clients ----

/// A fresh request id or key.
pub fn fresh() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_nanos() as u64;
    format!("{:016x}", nanos.wrapping_mul(1_000) ^ (NEXT.fetch_add(1, Ordering::Relaxed) << 48))
}

/// The text of a request of `class`; a key where the class has one.
pub fn request_text(class: &str, id: &str, time_left_ms: u64) -> String {
    let key = if class == "salva-domanda" { format!("Idempotency-Key: {}\r\n", fresh()) } else { String::new() };
    let body = format!("body of {id}");
    format!(
        "POST /{class} HTTP/1.1\r\nHost: iscr-web.svc\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Time-Left-Ms: {time_left_ms}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request on a connection and reads an answer with a length.
pub fn exchange(stream: &mut TcpStream, buffer: &mut Vec<u8>, text: &str) -> io::Result<Option<Message>> {
    stream.write_all(text.as_bytes())?;
    read_request(stream, buffer)
}

pub fn status_of(message: &Message) -> u16 {
    message.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(ms(5_000)))?;
    Ok(stream)
}

/// One request on a connection of its own.
pub fn ask(address: SocketAddr, text: &str) -> io::Result<Option<Message>> {
    exchange(&mut connect(address)?, &mut Vec::new(), text)
}

/// Whether `GET /up` says yes.
pub fn is_up(address: SocketAddr) -> bool {
    let text = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    ask(address, text).ok().flatten().is_some_and(|m| status_of(&m) == 200)
}

pub fn wait_for(within: Duration, mut good: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if good() {
            return true;
        }
        thread::sleep(ms(20));
    }
    false
}

/// An operator's call; the line that is answered.
pub fn operator(lab: &Lab, admin: SocketAddr, call: &str) -> String {
    let said = (|| -> io::Result<String> {
        let mut stream = connect(admin)?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text.trim().to_owned())
    })();
    let said = said.unwrap_or_else(|e| format!("no answer: {e}"));
    lab.say(&format!("operator at {admin}: {call} -> {said}"));
    said
}

// ---- Backends that count, a group of proxies, and steady clients ----

/// A sound backend that keeps a line for each request: when it came, and its id.
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    pub got: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Backend {
    pub fn start(lab: &Arc<Lab>, id: &str, work: Duration) -> Self {
        let lab = Arc::clone(lab);
        let got: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (kept, name) = (Arc::clone(&got), id.to_owned());
        let address = serve(0, move |stream| {
            let mut buffer = Vec::new();
            while let Some(request) = read_request(stream, &mut buffer)? {
                let id = request.header("x-correlation-id").to_owned();
                if id.is_empty() {
                    let alive = request.line.starts_with("GET /alive");
                    answer(stream, if alive { "200 OK" } else { "404 Not Found" }, "")?;
                    continue;
                }
                kept.lock().unwrap().push((Instant::now(), id.clone()));
                lab.say(&format!("run: {id} at {name}"));
                thread::sleep(work);
                answer(stream, "200 OK", &format!("done {id} by {name}"))?;
            }
            Ok(())
        });
        Self { id: id.to_owned(), address, got }
    }

    /// The requests that came after that moment.
    pub fn since(&self, at: Instant) -> Vec<(Instant, String)> {
        self.got.lock().unwrap().iter().filter(|(came, _)| *came > at).cloned().collect()
    }
}

/// One machine of a group: its proxy and where its peers call it.
pub struct Machine {
    pub proxy: Proxy,
    pub peers_call: SocketAddr,
    pub state: PathBuf,
    pub tmp: PathBuf,
}

/// The machines of a group of proxies, all of them voters, with their files; nothing runs yet.
pub fn group(lab: &Lab, count: usize, discovery: SocketAddr, members: &[Member]) -> Vec<Machine> {
    let machines: Vec<Machine> = (0..count)
        .map(|i| Machine {
            proxy: Proxy::new(&format!("proxy-{i}")),
            peers_call: SocketAddr::from(([127, 0, 0, 1], port())),
            state: lab.tmp.join(format!("state-{i}")),
            tmp: lab.tmp.join(format!("tmp-{i}")),
        })
        .collect();
    let names: Vec<_> = machines.iter().map(|m| format!("\"{}\"", m.proxy.name)).collect();
    for (i, machine) in machines.iter().enumerate() {
        let mut toml = format!(
            "[group]\nname = \"region-a\"\nnode = \"{}\"\nlisten = \"{}\"\nstate_dir = \"{}\"\nvoters = [{}]\n",
            machine.proxy.name,
            machine.peers_call,
            machine.state.display(),
            names.join(", ")
        );
        for peer in machines.iter().filter(|m| m.proxy.name != machine.proxy.name) {
            toml += &format!("[[group.peer]]\nname = \"{}\"\naddress = \"{}\"\n", peer.proxy.name, peer.peers_call);
        }
        lab.file(&format!("group-{i}.toml"), &toml);
        let known = list_json(1, true, members);
        let text = machine.proxy.config(discovery, &known, &settings(i as u32, count as u32));
        lab.file(&format!("config-{i}.json"), &text);
    }
    machines
}

/// Starts machine `i` of a group as the process `name`; gives its process id.
pub fn start_machine(lab: &Lab, machines: &[Machine], i: usize, name: &str, config: &str) -> u32 {
    let toml = lab.tmp.join(format!("group-{i}.toml")).to_string_lossy().into_owned();
    lab.proxy(name, &lab.tmp.join(config), &machines[i].tmp, &[("GATESTAGE_CONFIG", toml.as_str())])
}

/// What `GET /group/status` says at a machine; empty: nothing.
pub fn group_status(machine: &Machine) -> String {
    let text = "GET /group/status HTTP/1.1\r\nHost: x\r\n\r\n";
    let said = ask(machine.peers_call, text).ok().flatten();
    said.map(|m| String::from_utf8_lossy(&m.body).into_owned()).unwrap_or_default()
}

/// Whether one of the machines says that it leads and all say that they know the bans.
pub fn group_stands(machines: &[Machine]) -> bool {
    let said: Vec<String> = machines.iter().map(group_status).collect();
    said.iter().any(|s| s.contains("\"state\": \"leader\"")) && said.iter().all(|s| s.contains("\"bans_known\": true"))
}

/// Clients of one proxy that go on until told to stop, one request after another on kept connections.
pub struct Load {
    stop: Arc<std::sync::atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    pub served: Arc<AtomicU64>,
    pub others: Arc<AtomicU64>,
}

impl Load {
    pub fn start(lab: &Arc<Lab>, listen: SocketAddr, clients: usize, pause: Duration) -> Self {
        let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
        let (served, others) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let threads = (0..clients)
            .map(|_| {
                let (stop, served, others) = (Arc::clone(&stop), Arc::clone(&served), Arc::clone(&others));
                let lab = Arc::clone(lab);
                thread::spawn(move || {
                    let mut kept: Option<(TcpStream, Vec<u8>)> = None;
                    while !stop.load(Ordering::Relaxed) {
                        if kept.is_none() {
                            kept = connect(listen).ok().map(|s| (s, Vec::new()));
                        }
                        let Some((stream, buffer)) = kept.as_mut() else {
                            thread::sleep(ms(20));
                            continue;
                        };
                        let id = fresh();
                        lab.say(&format!("sent: {id} salva-domanda"));
                        let got = exchange(stream, buffer, &request_text("salva-domanda", &id, 1_400));
                        match got {
                            Ok(Some(got)) => {
                                lab.say(&format!("answered: {id} {}", status_of(&got)));
                                let ok = status_of(&got) == 200;
                                if ok { &served } else { &others }.fetch_add(1, Ordering::Relaxed);
                                if got.header("connection").eq_ignore_ascii_case("close") {
                                    kept = None;
                                }
                            }
                            _ => {
                                lab.say(&format!("not answered: {id}, the connection ended"));
                                kept = None;
                            }
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Self { stop, threads, served, others }
    }

    pub fn end(self, lab: &Lab) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|t| _ = t.join());
        let (served, others) = (self.served.load(Ordering::Relaxed), self.others.load(Ordering::Relaxed));
        lab.say(&format!("clients: {served} served, {others} refused or failed"));
    }
}

/// The place of the machine that leads.
pub fn leader(lab: &Lab, machines: &[Machine]) -> usize {
    let leads = |m: &Machine| group_status(m).contains("\"state\": \"leader\"");
    let Some(place) = machines.iter().position(leads) else {
        lab.say("cannot go on: nobody leads");
        lab.finish(2)
    };
    lab.say(&format!("proxy-{place} leads the group"));
    place
}
