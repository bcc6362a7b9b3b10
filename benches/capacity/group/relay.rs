//! A relay before the address at which a machine's peers call it, which counts the calls and bytes of each caller.
//!
//! It counts what TCP carries: heads and bodies, without the headers of TCP and IP. A connection of the program's HTTP
//! client has one call on it at a time, so bytes towards the target after an answer begin the next call.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::{io, thread};

/// The most bytes that are read at once.
const CHUNK: usize = 64 * 1024;
/// The header in which a caller names itself.
const CALLER_HEADER: &str = "x-gatestage-node: ";

/// Who calls, and what.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow {
    /// The caller's name; empty where the call names none.
    pub caller: String,
    /// The path, such as `/group/append`.
    pub path: String,
}

/// What has passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Calls.
    pub calls: u64,
    /// Bytes of the calls.
    pub asked_bytes: u64,
    /// Bytes of their answers.
    pub answer_bytes: u64,
}

impl Traffic {
    /// Bytes both ways.
    pub fn bytes(self) -> u64 {
        self.asked_bytes + self.answer_bytes
    }

    /// Adds what has passed elsewhere.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.asked_bytes += other.asked_bytes;
        self.answer_bytes += other.answer_bytes;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            calls: self.calls - earlier.calls,
            asked_bytes: self.asked_bytes - earlier.asked_bytes,
            answer_bytes: self.answer_bytes - earlier.answer_bytes,
        }
    }
}

/// What has passed one relay, by flow.
#[derive(Clone, Debug, Default)]
pub struct Counts(BTreeMap<Flow, Traffic>);

impl Counts {
    /// What has passed since an earlier count.
    pub fn since(&self, earlier: &Self) -> Self {
        let before = |flow| earlier.0.get(flow).copied().unwrap_or_default();
        Self(self.0.iter().map(|(flow, now)| (flow.clone(), now.since(before(flow)))).collect())
    }

    /// The sum over the flows that `wanted` picks.
    pub fn sum(&self, wanted: impl Fn(&Flow) -> bool) -> Traffic {
        let mut sum = Traffic::default();
        self.0.iter().filter(|(flow, _)| wanted(flow)).for_each(|(_, traffic)| sum.add(*traffic));
        sum
    }
}

/// A running relay. Its threads end with the connections, and with the bench.
pub struct Relay {
    /// Where callers reach it.
    pub address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
}

impl Relay {
    /// Starts a relay on `host` before `target`, which need not listen yet.
    ///
    /// # Errors
    /// When it can't listen.
    pub fn start(host: IpAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        let address = listener.local_addr()?;
        let counts = Arc::new(Mutex::new(Counts::default()));
        let shared = Arc::clone(&counts);
        thread::spawn(move || {
            for inbound in listener.incoming().map_while(Result::ok) {
                let counts = Arc::clone(&shared);
                // A target that does not listen shows as a connection that is closed at once.
                thread::spawn(move || _ = carry(inbound, target, &counts));
            }
        });
        Ok(Self { address, counts })
    }

    /// What has passed so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Carries one connection until either side ends it.
fn carry(inbound: TcpStream, target: SocketAddr, counts: &Arc<Mutex<Counts>>) -> io::Result<()> {
    let outbound = TcpStream::connect(target)?;
    inbound.set_nodelay(true)?;
    outbound.set_nodelay(true)?;
    let connection = Arc::new(Connection {
        counts: Arc::clone(counts),
        answered: AtomicBool::new(true),
        flow: Mutex::default(),
    });
    let back = Arc::clone(&connection);
    let (from_target, to_caller) = (outbound.try_clone()?, inbound.try_clone()?);
    thread::spawn(move || pump(from_target, to_caller, |chunk| back.note_answer(chunk)));
    pump(inbound, outbound, |chunk| connection.note_asked(chunk));
    Ok(())
}

/// Passes on what comes, noting each chunk before it goes; then ends both sides.
fn pump(mut from: TcpStream, mut to: TcpStream, note: impl Fn(&[u8])) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(read @ 1..) = from.read(&mut buffer) {
        note(&buffer[..read]);
        if to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// What both ways of a connection share.
struct Connection {
    counts: Arc<Mutex<Counts>>,
    /// Whether the last call was answered, so that the next bytes begin another.
    answered: AtomicBool,
    /// The call under way.
    flow: Mutex<Option<Flow>>,
}

impl Connection {
    fn note_asked(&self, chunk: &[u8]) {
        let begins = self.answered.swap(false, Ordering::SeqCst);
        if begins {
            *self.flow() = Some(flow_of(chunk));
        }
        let traffic =
            Traffic { calls: u64::from(begins), asked_bytes: chunk.len() as u64, ..Traffic::default() };
        self.add(traffic);
    }

    fn note_answer(&self, chunk: &[u8]) {
        self.answered.store(true, Ordering::SeqCst);
        self.add(Traffic { answer_bytes: chunk.len() as u64, ..Traffic::default() });
    }

    fn flow(&self) -> MutexGuard<'_, Option<Flow>> {
        self.flow.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, traffic: Traffic) {
        let Some(flow) = self.flow().clone() else { return };
        lock(&self.counts).0.entry(flow).or_default().add(traffic);
    }
}

/// The flow of a call by its head.
fn flow_of(chunk: &[u8]) -> Flow {
    let text = String::from_utf8_lossy(chunk);
    let head = text.split("\r\n\r\n").next().unwrap_or_default();
    let mut lines = head.lines();
    let path = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
    let caller = lines.find_map(|line| line.strip_prefix(CALLER_HEADER)).unwrap_or_default();
    Flow { caller: caller.to_owned(), path: path.to_owned() }
}
