//! A recorder between a proxy and its list service: what the proxy asked, byte for byte, what it was told, and when.

use crate::rig::{Seen, answer, read_message};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// A call of the proxy.
#[derive(Clone)]
pub struct Call {
    /// When it came.
    pub at: Instant,
    /// Its head, as it came.
    pub head: String,
}

/// An answer to the proxy.
#[derive(Clone)]
pub struct Told {
    /// When its first byte was written.
    pub at: Instant,
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

impl Told {
    /// The list that it is.
    pub fn list(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a list")
    }
}

/// What a proxy holds from an answer on.
#[derive(Clone)]
pub struct Held {
    /// Since when.
    pub at: Instant,
    /// The answer's revision.
    pub revision: u64,
    /// `view.proxies` of the answer.
    pub proxies: Option<u64>,
    /// The entries that it may send to, by id.
    pub members: BTreeMap<String, Value>,
}

impl Held {
    /// The ids of the entries that it may send to.
    pub fn ids(&self) -> Vec<String> {
        self.members.keys().cloned().collect()
    }
}

#[derive(Default)]
struct Record {
    calls: Vec<Call>,
    told: Vec<Told>,
}

/// A running recorder.
pub struct Tap {
    /// Where it listens: the proxy's `discovery`.
    pub address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
    record: Arc<Mutex<Record>>,
}

impl Tap {
    /// Starts one before this list service.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let target = Arc::new(Mutex::new(target));
        let record = Arc::new(Mutex::new(Record::default()));
        let (to, noted) = (Arc::clone(&target), Arc::clone(&record));
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (to, noted) = (Arc::clone(&to), Arc::clone(&noted));
                thread::spawn(move || carry(stream, &to, &noted));
            }
        });
        Self { address, target, record }
    }

    /// Another list service answers in the place of the first. Connections that are open stay with the one they have.
    pub fn point_to(&self, target: SocketAddr) {
        *self.target.lock().expect("the target") = target;
    }

    /// The proxy's calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.record.lock().expect("the record").calls.clone()
    }

    /// How many calls came since then.
    pub fn calls_since(&self, since: Instant) -> usize {
        self.calls().iter().filter(|call| call.at >= since).count()
    }

    /// What the proxy was told so far.
    pub fn told(&self) -> Vec<Told> {
        self.record.lock().expect("the record").told.clone()
    }

    /// What the proxy held after each answer so far. One with a lower revision than the last it is to refuse.
    pub fn history(&self) -> Vec<Held> {
        let mut history: Vec<Held> = Vec::new();
        for told in self.told().iter().filter(|told| told.status == 200) {
            let list = told.list();
            let (revision, before) = match history.last() {
                Some(held) => (held.revision, held.members.clone()),
                None => Default::default(),
            };
            if list["revision"].as_u64() >= Some(revision) {
                history.push(held_after(before, told.at, &list));
            }
        }
        history
    }

    /// What the proxy holds now.
    pub fn held(&self) -> Option<Held> {
        self.history().pop()
    }
}

/// What a proxy holds that held these members and is told this list.
fn held_after(before: BTreeMap<String, Value>, at: Instant, list: &Value) -> Held {
    let mut members = if list["complete"] == true { BTreeMap::new() } else { before };
    for entry in list["members"].as_array().expect("members") {
        let id = entry["id"].as_str().expect("an id").to_owned();
        if entry["phase"] == "active" {
            members.insert(id, entry.clone());
        } else {
            members.remove(&id);
        }
    }
    let revision = list["revision"].as_u64().expect("a revision");
    Held { at, revision, proxies: list["view"]["proxies"].as_u64(), members }
}

/// Carries the calls of one connection, each with its answer, until either side ends it.
fn carry(mut near: TcpStream, target: &Mutex<SocketAddr>, record: &Mutex<Record>) -> Option<()> {
    let target = *target.lock().expect("the target");
    let mut calls = BufReader::new(near.try_clone().ok()?);
    let mut far = TcpStream::connect(target).ok()?;
    let mut answers = BufReader::new(far.try_clone().ok()?);
    loop {
        let call = read_message(&mut calls)?;
        record.lock().expect("the record").calls.push(Call { at: Instant::now(), head: call.head.clone() });
        far.write_all(&bytes(&call)).ok()?;
        let answer = read_message(&mut answers)?;
        // A late answer to a call that was given up tells nothing.
        if has_ended(&near) {
            return None;
        }
        let told = Told { at: Instant::now(), status: answer.status(), body: answer.body.clone() };
        record.lock().expect("the record").told.push(told);
        near.write_all(&bytes(&answer)).ok()?;
    }
}

/// Whether the proxy has closed its connection.
fn has_ended(near: &TcpStream) -> bool {
    near.set_nonblocking(true).expect("a mode");
    let peeked = near.peek(&mut [0]);
    near.set_nonblocking(false).expect("a mode");
    !peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// A message's bytes as they came.
fn bytes(message: &Seen) -> Vec<u8> {
    [message.head.as_bytes(), &message.body].concat()
}

/// A list service's answer with this status and body.
pub fn list_answer(status: &str, body: &str) -> Vec<u8> {
    answer(status, "Content-Type: application/json\r\n", body.as_bytes())
}
