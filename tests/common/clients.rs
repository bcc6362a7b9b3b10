//! Clients that ask proxies steadily, each on a connection of its own.

use crate::rig::{PATIENCE, read_message, request};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Tells requests apart, over all clients of this process.
static NUMBER: AtomicUsize = AtomicUsize::new(0);

/// What came of a request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The proxy that was asked.
    pub proxy: String,
    /// The request's id.
    pub id: String,
    /// When it was sent.
    pub at: Instant,
    /// When its answer was there, or its connection had ended.
    pub ended: Instant,
    /// The answer's status; `None` where there was none.
    pub status: Option<u16>,
    /// The answer's body: the backend's id.
    pub body: String,
}

impl Asked {
    /// Whether a backend answered it.
    pub fn is_answered(&self) -> bool {
        self.status == Some(200)
    }
}

/// One client's connection to a proxy.
pub struct Client {
    proxy: String,
    address: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    /// A client that connects with its first request.
    pub fn new(proxy: &str, address: SocketAddr) -> Self {
        Self { proxy: proxy.to_owned(), address, connection: None }
    }

    /// Sends a request of a class and waits for its answer.
    pub fn ask(&mut self, class: &str) -> Asked {
        let id = format!("{}/{}", self.proxy, NUMBER.fetch_add(1, Ordering::Relaxed));
        let at = Instant::now();
        let answer = self.exchange(&request(class, &id, ""));
        let ended = Instant::now();
        if answer.is_none() {
            self.connection = None;
        }
        let (status, body) = answer.unzip();
        Asked { proxy: self.proxy.clone(), id, at, ended, status, body: body.unwrap_or_default() }
    }

    fn exchange(&mut self, text: &str) -> Option<(u16, String)> {
        if self.connection.is_none() {
            let stream = TcpStream::connect(self.address).ok()?;
            stream.set_read_timeout(Some(PATIENCE)).ok()?;
            self.connection = Some(BufReader::new(stream));
        }
        let connection = self.connection.as_mut()?;
        connection.get_mut().write_all(text.as_bytes()).ok()?;
        let answer = read_message(connection)?;
        Some((answer.status(), String::from_utf8_lossy(&answer.body).into_owned()))
    }
}

/// Clients of one proxy that send until they are told to stop.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Asked>>>,
}

impl Clients {
    /// Starts this many clients of a proxy; each pauses this long after an answer.
    pub fn start(proxy: &str, address: SocketAddr, count: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let run = |_| {
            let (stop, mut client) = (Arc::clone(&stop), Client::new(proxy, address));
            thread::spawn(move || {
                let mut asked = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    asked.push(client.ask("read"));
                    thread::sleep(pause);
                }
                asked
            })
        };
        let threads = (0..count).map(run).collect();
        Self { stop, threads }
    }

    /// Stops the clients once they have their answers; what came of all their requests.
    pub fn finish(mut self) -> Vec<Asked> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = std::mem::take(&mut self.threads);
        threads.into_iter().flat_map(|thread| thread.join().expect("a client")).collect()
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Requests that are sent at once, each by a client of its own.
pub struct Burst {
    threads: Vec<JoinHandle<Asked>>,
}

impl Burst {
    /// Sends this many requests of a class.
    pub fn send(proxy: &str, address: SocketAddr, count: usize, class: &'static str) -> Self {
        let ask = |_| {
            let mut client = Client::new(proxy, address);
            thread::spawn(move || client.ask(class))
        };
        Self { threads: (0..count).map(ask).collect() }
    }

    /// What came of them, once each has its answer.
    pub fn finish(self) -> Vec<Asked> {
        self.threads.into_iter().map(|thread| thread.join().expect("a client")).collect()
    }
}

/// Says what was not answered, for a test that wants all to be.
pub fn assert_all_answered(asked: &[Asked]) {
    assert!(!asked.is_empty(), "no request was sent");
    let lost: Vec<&Asked> = asked.iter().filter(|asked| !asked.is_answered()).collect();
    assert!(lost.is_empty(), "{} of {} were not answered: {lost:?}", lost.len(), asked.len());
}
