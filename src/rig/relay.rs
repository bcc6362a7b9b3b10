//! The fault relay: a TCP relay between two processes that the timeline switches between passing, delaying,
//! refusing, resetting and black-holing (a partition: connections are taken and never answered, open ones stall).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Passes everything as it comes.
    Pass,
    /// Holds every chunk, each way, this long plus up to `jitter` more.
    Delay {
        /// The least that is added.
        delay: Duration,
        /// Up to this much more, uniformly.
        jitter: Duration,
    },
    /// Closes every new connection at once; open ones pass.
    Refuse,
    /// Resets every open connection and closes new ones.
    Reset,
    /// Takes new connections and never answers; open ones stall until the mode changes.
    BlackHole,
}

/// A running relay.
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    arrival: Arrival,
}

/// When each request, other than a probe, came in through the relay (each chunk from the dialling side).
type Arrival = Arc<Mutex<Vec<Instant>>>;

/// Notes a chunk from the dialling side, unless it begins a probe (`GET /alive`, `GET /metrics/load`).
fn note(arrival: &Arrival, chunk: &[u8]) {
    if !(chunk.starts_with(b"GET /alive") || chunk.starts_with(b"GET /metrics/load")) {
        arrival.lock().unwrap_or_else(|e| e.into_inner()).push(Instant::now());
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
        let (mode, watching) = watch::channel(Mode::Pass);
        let arrival = Arrival::default();
        tokio::spawn(accept(listener, target, watching, Arc::clone(&arrival)));
        Ok(Self { address, mode, arrival })
    }

    /// Seconds from `since` to each request that came in after it.
    pub fn arrivals(&self, since: Instant) -> Vec<f64> {
        let all = self.arrival.lock().unwrap_or_else(|e| e.into_inner());
        all.iter().filter_map(|t| t.checked_duration_since(since)).map(|d| d.as_secs_f64()).collect()
    }

    /// Switches the relay to this mode.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mode: watch::Receiver<Mode>, arrival: Arrival) {
    let mut seed = 1_u64;
    while let Ok((inbound, _)) = listener.accept().await {
        seed += 1;
        let now = *mode.borrow();
        match now {
            Mode::Refuse | Mode::Reset => drop(inbound),
            _ => {
                tokio::spawn(carry(inbound, target, mode.clone(), seed, Arc::clone(&arrival)));
            }
        }
    }
}

/// Carries one connection both ways until either side ends it or the relay resets it.
async fn carry(
    mut inbound: TcpStream,
    target: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    seed: u64,
    arrival: Arrival,
) {
    // The first chunk is taken even by a black hole, so that what comes into it is seen; the dial to the target
    // happens once the relay passes again.
    let mut first = vec![0_u8; 16 * 1024];
    let read = match inbound.read(&mut first).await {
        Ok(0) | Err(_) => return,
        Ok(read) => read,
    };
    note(&arrival, &first[..read]);
    if mode.wait_for(|m| *m != Mode::BlackHole).await.is_err() || *mode.borrow() == Mode::Reset {
        return reset(inbound);
    }
    let Ok(mut outbound) = TcpStream::connect(target).await else { return reset(inbound) };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    if outbound.write_all(&first[..read]).await.is_err() {
        return reset(inbound);
    }
    let (mut in_read, mut in_write) = inbound.into_split();
    let (mut out_read, mut out_write) = outbound.into_split();
    let forward = pump(&mut in_read, &mut out_write, mode.clone(), seed, Some(&arrival));
    let backward = pump(&mut out_read, &mut in_write, mode.clone(), seed ^ 0x5555, None);
    let reset_seen = async {
        let _ = mode.wait_for(|m| *m == Mode::Reset).await;
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

/// Ends a connection with a reset rather than a close, as a broken path does.
fn reset(stream: TcpStream) {
    // A zero linger sends a reset at the close and never blocks.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Copies one way; stalls while the relay is a black hole, waits while it delays.
async fn pump(
    from: &mut tokio::net::tcp::OwnedReadHalf,
    to: &mut tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    seed: u64,
    arrival: Option<&Arrival>,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut buffer = vec![0_u8; 16 * 1024];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if let Some(arrival) = arrival {
            note(arrival, &buffer[..read]);
        }
        if mode.wait_for(|m| *m != Mode::BlackHole).await.is_err() {
            break;
        }
        let now = *mode.borrow();
        if let Mode::Delay { delay, jitter } = now {
            tokio::time::sleep(delay + jitter.mul_f64(rng.f64())).await;
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
