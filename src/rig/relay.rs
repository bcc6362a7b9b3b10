//! The fault relay: a TCP relay between two processes whose condition the timeline changes. Each way through it can
//! be held (a partition: what is sent stalls), delayed or throttled by itself; its door can refuse or reset.
//!
//! A relay sees no handshakes: the kernel of the dialling side always finds the relay's listener. A connection
//! made while either way is held therefore comes up for its dialler but never reaches the target, as with a lost
//! handshake: nothing of it passes, and one that the dialler has given up meanwhile is forgotten at the heal.

use super::history::Arrived;
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The most bytes that a relay reads at once.
const CHUNK: usize = 16 * 1024;
/// A throttled way passes this many pieces a second.
const PIECES_PER_SECOND: f64 = 20.0;

/// What one way through a relay does to the bytes that go it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes until it is released; what has come then goes on.
    pub held: bool,
    /// The least that is added to every chunk.
    pub delay: Duration,
    /// Up to this much more, uniformly.
    pub jitter: Duration,
    /// The most bytes a second, over all connections.
    pub bytes_per_s: Option<f64>,
}

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Door {
    /// Takes them.
    #[default]
    Open,
    /// Closes every new one at once; open ones pass.
    Refuse,
    /// Resets every open one and closes new ones.
    Reset,
}

/// What a relay does now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Condition {
    /// With connections.
    pub door: Door,
    /// From the dialling side to the target.
    pub forward: Way,
    /// From the target to the dialling side.
    pub backward: Way,
}

impl Condition {
    /// Whether a new connection comes up: its handshake needs both ways.
    fn comes_up(&self) -> bool {
        !self.forward.held && !self.backward.held
    }
}

/// A running relay.
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    condition: watch::Sender<Condition>,
    shared: Arc<Shared>,
}

/// What all connections of a relay share.
#[derive(Default)]
struct Shared {
    /// When each request, other than a probe, came in (each chunk from the dialling side).
    arrivals: Mutex<Vec<Arrived>>,
    /// When each way, forward and backward, has passed all that was booked on it while throttled.
    booked: [Mutex<Option<Instant>>; 2],
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

impl Shared {
    /// Notes a chunk from the dialling side, unless it begins a probe (`GET /alive`, `GET /metrics/load`).
    fn note(&self, chunk: &[u8]) {
        if !(chunk.starts_with(b"GET /alive") || chunk.starts_with(b"GET /metrics/load")) {
            lock(&self.arrivals).push(Arrived::of(chunk));
        }
    }

    /// Books `bytes` on a throttled way; they may pass at the moment given.
    fn book(&self, direction: Direction, bytes: usize, bytes_per_s: f64) -> Instant {
        let mut booked = lock(&self.booked[direction as usize]);
        let now = Instant::now();
        let from = booked.map_or(now, |until| until.max(now));
        *booked.insert(from + Duration::from_secs_f64(bytes as f64 / bytes_per_s))
    }
}

/// One of the two ways through a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the dialling side to the target.
    Forward,
    /// From the target to the dialling side.
    Backward,
}

impl Direction {
    /// This way in a condition.
    pub fn of(self, condition: &mut Condition) -> &mut Way {
        match self {
            Self::Forward => &mut condition.forward,
            Self::Backward => &mut condition.backward,
        }
    }

    /// The opposite way.
    pub fn other(self) -> Self {
        match self {
            Self::Forward => Self::Backward,
            Self::Backward => Self::Forward,
        }
    }

    fn way(self, mut condition: Condition) -> Way {
        *self.of(&mut condition)
    }
}

impl Relay {
    /// Starts a relay on `host:0` before `target`.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(host: std::net::IpAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let (condition, watching) = watch::channel(Condition::default());
        let shared = Arc::new(Shared::default());
        tokio::spawn(accept(listener, target, watching, Arc::clone(&shared)));
        Ok(Self { address, condition, shared })
    }

    /// Seconds from `since` to each request that came in after it.
    pub fn arrivals(&self, since: Instant) -> Vec<f64> {
        let all = lock(&self.shared.arrivals);
        all.iter()
            .filter_map(|arrived| arrived.at.checked_duration_since(since))
            .map(|d| d.as_secs_f64())
            .collect()
    }

    /// Each request that came in, with its id.
    pub fn arrived(&self) -> Vec<Arrived> {
        lock(&self.shared.arrivals).clone()
    }

    /// Changes what the relay does; whatever the change leaves alone stays as it is.
    pub fn change(&self, change: impl FnOnce(&mut Condition)) {
        self.condition.send_modify(change);
        // What was booked under another rate says nothing about the new one.
        self.shared.booked.iter().for_each(|booked| *lock(booked) = None);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    condition: watch::Receiver<Condition>,
    shared: Arc<Shared>,
) {
    let mut seed = 1_u64;
    while let Ok((inbound, _)) = listener.accept().await {
        seed += 1;
        let door = condition.borrow().door;
        if door == Door::Open {
            tokio::spawn(carry(inbound, target, condition.clone(), seed, Arc::clone(&shared)));
        }
    }
}

/// Carries one connection both ways until either side ends it or the relay resets it.
async fn carry(
    mut inbound: TcpStream,
    target: SocketAddr,
    mut condition: watch::Receiver<Condition>,
    seed: u64,
    shared: Arc<Shared>,
) {
    // The first chunk is taken even when nothing passes, so that what comes into a hole is seen; the dial to the
    // target happens once a connection can come up.
    let mut first = vec![0_u8; CHUNK];
    match inbound.read(&mut first).await {
        Ok(0) | Err(_) => return,
        Ok(read) => first.truncate(read),
    }
    shared.note(&first);
    let waited = !condition.borrow().comes_up();
    let passes = condition.wait_for(|c| c.door == Door::Reset || c.comes_up()).await.map(|c| c.door);
    if !matches!(passes, Ok(Door::Open | Door::Refuse)) {
        return reset(inbound);
    }
    if waited && given_up(&inbound, &mut first) {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else { return reset(inbound) };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let (mut in_read, mut in_write) = inbound.into_split();
    let (mut out_read, mut out_write) = outbound.into_split();
    let pump = |direction, seed| Pump {
        direction,
        condition: condition.clone(),
        shared: &shared,
        rng: fastrand::Rng::with_seed(seed),
    };
    let forward = pump(Direction::Forward, seed).run(first, &mut in_read, &mut out_write);
    let backward = pump(Direction::Backward, seed ^ 0x5555).run(Vec::new(), &mut out_read, &mut in_write);
    let mut door = condition.clone();
    let reset_seen = async {
        let _ = door.wait_for(|c| c.door == Door::Reset).await;
    };
    tokio::select! {
        _ = async { tokio::join!(forward, backward) } => {}
        () = reset_seen => {
            if let Ok(stream) = in_read.reunite(in_write) {
                reset(stream);
            }
        }
    }
}

/// Whether the dialler closed a connection that had to wait; what it sent meanwhile goes to `first`. The socket is
/// asked itself: the runtime may not have heard yet of a close at this moment.
fn given_up(inbound: &TcpStream, first: &mut Vec<u8>) -> bool {
    let mut more = vec![0_u8; CHUNK];
    // A dialler that keeps sending is not gone: a few chunks are enough to know.
    for _ in 0..8 {
        match recv(inbound, &mut more[..], RecvFlags::DONTWAIT) {
            Ok((0, _)) => return true,
            Ok((read, _)) => first.extend_from_slice(&more[..read]),
            Err(error) => return error != Errno::WOULDBLOCK,
        }
    }
    false
}

/// Ends a connection with a reset rather than a close, as a broken path does.
pub fn reset(stream: TcpStream) {
    // A zero linger sends a reset at the close and never blocks.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// What copies one way of a connection.
struct Pump<'a> {
    direction: Direction,
    condition: watch::Receiver<Condition>,
    shared: &'a Shared,
    rng: fastrand::Rng,
}

impl Pump<'_> {
    /// Passes `chunk`, then all that comes from `from`, to `to`; the end of the stream too waits for a held way.
    async fn run(mut self, mut chunk: Vec<u8>, from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) {
        let mut buffer = vec![0_u8; CHUNK];
        loop {
            if self.pass(&chunk, to).await.is_none() {
                break;
            }
            match from.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(read) => chunk = buffer[..read].to_vec(),
            }
            if self.direction == Direction::Forward {
                self.shared.note(&chunk);
            }
        }
        let _ = self.released().await;
        let _ = to.shutdown().await;
    }

    /// Passes one chunk as the way's condition says; `None` once either end is gone.
    async fn pass(&mut self, chunk: &[u8], to: &mut OwnedWriteHalf) -> Option<()> {
        let way = self.way();
        if !chunk.is_empty() && way.delay + way.jitter > Duration::ZERO {
            let until = Instant::now() + way.delay + way.jitter.mul_f64(self.rng.f64());
            self.pause(until, way).await;
        }
        let mut rest = chunk;
        while !rest.is_empty() {
            let way = self.way();
            let piece = way
                .bytes_per_s
                .map_or(rest.len(), |rate| ((rate / PIECES_PER_SECOND) as usize).clamp(1, rest.len()));
            if let Some(rate) = way.bytes_per_s {
                let until = self.shared.book(self.direction, piece, rate);
                self.pause(until, way).await;
            }
            self.released().await?;
            to.write_all(&rest[..piece]).await.ok()?;
            rest = &rest[piece..];
        }
        Some(())
    }

    fn way(&self) -> Way {
        self.direction.way(*self.condition.borrow())
    }

    /// Waits until `until`, or until the way is no longer as it was.
    async fn pause(&mut self, until: Instant, was: Way) {
        let direction = self.direction;
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => {}
            _ = self.condition.wait_for(|c| direction.way(*c) != was) => {}
        }
    }

    /// Waits until the way passes bytes; `None` once the relay is gone.
    async fn released(&mut self) -> Option<()> {
        let direction = self.direction;
        self.condition.wait_for(|c| !direction.way(*c).held).await.ok().map(drop)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;
    use tokio::time::timeout;

    /// Longer than anything here takes on a loaded machine.
    const PATIENCE: Duration = Duration::from_secs(20);
    /// Long enough to see that nothing comes where something would come at once.
    const SILENCE: Duration = Duration::from_millis(400);

    /// A relay before a listener, and a connection through it that has passed a byte each way.
    async fn joined() -> (Relay, TcpListener, TcpStream, TcpStream) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let relay = Relay::start(Ipv4Addr::LOCALHOST.into(), listener.local_addr().unwrap()).await.unwrap();
        let mut near = TcpStream::connect(relay.address).await.unwrap();
        near.write_all(b"a").await.unwrap();
        let (mut far, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
        assert_eq!(byte(&mut far).await, Some(b'a'));
        far.write_all(b"b").await.unwrap();
        assert_eq!(byte(&mut near).await, Some(b'b'));
        (relay, listener, near, far)
    }

    async fn byte(stream: &mut TcpStream) -> Option<u8> {
        timeout(PATIENCE, stream.read_u8()).await.expect("in time").ok()
    }

    async fn nothing_comes(stream: &mut TcpStream) {
        assert!(timeout(SILENCE, stream.read_u8()).await.is_err(), "a held way passes nothing");
    }

    #[tokio::test]
    async fn a_held_way_keeps_its_bytes_until_the_heal_while_the_other_way_passes() {
        for held in [Direction::Forward, Direction::Backward] {
            let (relay, listener, near, far) = joined().await;
            let (mut from, mut to) = if held == Direction::Forward { (near, far) } else { (far, near) };
            relay.change(|c| held.of(c).held = true);
            from.write_all(b"x").await.unwrap();
            nothing_comes(&mut to).await;
            to.write_all(b"y").await.unwrap();
            assert_eq!(byte(&mut from).await, Some(b'y'), "the other way passes");
            // No handshake is whole without both ways: nothing of a new connection reaches the target.
            let mut late = TcpStream::connect(relay.address).await.unwrap();
            late.write_all(b"n").await.unwrap();
            let mut gone = TcpStream::connect(relay.address).await.unwrap();
            gone.write_all(b"g").await.unwrap();
            assert!(timeout(SILENCE, listener.accept()).await.is_err(), "no new connection comes up");
            drop(gone);
            relay.change(|c| *c = Condition::default());
            assert_eq!(byte(&mut to).await, Some(b'x'), "what was held comes at the heal");
            let (mut late, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
            assert_eq!(byte(&mut late).await, Some(b'n'), "the one that was given up is not carried");
        }
    }

    #[tokio::test]
    async fn a_throttled_way_passes_its_rate_over_all_connections_and_the_rest_at_the_heal() {
        let (relay, listener, mut near, mut far) = joined().await;
        let mut second = TcpStream::connect(relay.address).await.unwrap();
        second.write_all(b"s").await.unwrap();
        let (mut second_far, _) = timeout(PATIENCE, listener.accept()).await.unwrap().unwrap();
        assert_eq!(byte(&mut second_far).await, Some(b's'));
        relay.change(|c| c.forward.bytes_per_s = Some(10_000.0));
        let began = Instant::now();
        near.write_all(&[1; 5_000]).await.unwrap();
        second.write_all(&[2; 5_000]).await.unwrap();
        let mut got = [0; 5_000];
        timeout(PATIENCE, far.read_exact(&mut got)).await.unwrap().unwrap();
        timeout(PATIENCE, second_far.read_exact(&mut got)).await.unwrap().unwrap();
        assert!(began.elapsed() >= Duration::from_millis(950), "10,000 bytes in {:?}", began.elapsed());
        // At one byte a second this takes hours; the heal lets it through.
        relay.change(|c| c.forward.bytes_per_s = Some(1.0));
        near.write_all(&[3; 5_000]).await.unwrap();
        nothing_comes(&mut far).await;
        relay.change(|c| *c = Condition::default());
        timeout(PATIENCE, far.read_exact(&mut got)).await.unwrap().unwrap();
        assert_eq!(got, [3; 5_000]);
    }
}
