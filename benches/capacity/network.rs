//! The bench's own ends of the proxy's connections, each on a thread and event loop of its own: a stand-in backend
//! that answers at once, a relay that counts what passes to and from the list service, and a closed loop of clients.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// The most bytes that the relay reads at once.
const CHUNK: usize = 64 * 1024;
/// How long a proxy may take until it holds its list.
const UP_WITHIN: Duration = Duration::from_secs(30);
/// How often it is asked meanwhile.
const ASK_EVERY: Duration = Duration::from_millis(2);
/// How long the requests of one measurement may take.
const LOAD_WITHIN: Duration = Duration::from_secs(120);
/// The least share of requests that have to be answered with 200, or the figures mean nothing.
const LEAST_SERVED: f64 = 0.99;

/// What goes wrong on the bench's connections.
#[derive(Debug, Error)]
pub enum NetworkError {
    /// A listener or a connection fails.
    #[error("a connection of the bench failed: {0}; see that `ulimit -n` and the free ports leave room")]
    Connection(#[from] io::Error),
    /// A request has no answer.
    #[error("a request was not answered: {0}; the proxy's log says why")]
    Unanswered(#[from] hyper::Error),
    /// The proxy does not come to hold a list.
    #[error("no 200 from GET /up within {UP_WITHIN:?}; the proxy's log says why")]
    NotUp,
    /// The load does not end.
    #[error("the requests took more than {LOAD_WITHIN:?}; measure again on a machine with less load")]
    Slow,
    /// Too many requests were not served.
    #[error("{served} of {sent} requests were answered with 200: the figures mean nothing")]
    Refused {
        /// Requests with 200.
        served: u64,
        /// Requests.
        sent: u64,
    },
    /// The list service's answer has no revision.
    #[error("the list service's answer names no revision; its log says why")]
    NoRevision,
}

/// Runs a server on a thread of its own, for as long as the bench runs, and gives its address.
fn serve<F>(accept: impl FnOnce(TcpListener) -> F + Send + 'static) -> Result<SocketAddr, NetworkError>
where
    F: Future<Output = ()>,
{
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        runtime.block_on(async {
            if let Ok(listener) = TcpListener::from_std(listener) {
                accept(listener).await;
            }
        });
    });
    Ok(address)
}

/// Starts a backend that answers every request with 200 at once, at the address that all members share.
///
/// # Errors
/// Where it can't listen.
pub fn start_backend() -> Result<SocketAddr, NetworkError> {
    serve(async |listener| {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(done)));
        }
    })
}

async fn done(request: Request<hyper::body::Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let _ = request.into_body().collect().await;
    Ok(Response::new(Full::new(Bytes::from_static(b"{}"))))
}

/// What has passed a relay.
#[derive(Debug, Default)]
struct Counts {
    bytes: AtomicU64,
    calls: AtomicU64,
}

/// What has passed a relay, at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Passed {
    /// Bytes, both ways.
    pub bytes: u64,
    /// Calls; each has one answer.
    pub calls: u64,
}

/// A relay that passes everything on and counts it.
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(target: SocketAddr) -> Result<Self, NetworkError> {
        let counts = Arc::new(Counts::default());
        let counting = Arc::clone(&counts);
        let address = serve(async move |listener| {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(relay(stream, target, Arc::clone(&counting)));
            }
        })?;
        Ok(Self { address, counts })
    }

    /// What has passed so far.
    pub fn passed(&self) -> Passed {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Passed { bytes: read(&self.counts.bytes), calls: read(&self.counts.calls) }
    }
}

async fn relay(dialler: TcpStream, target: SocketAddr, counts: Arc<Counts>) -> io::Result<()> {
    let target = TcpStream::connect(target).await?;
    dialler.set_nodelay(true)?;
    target.set_nodelay(true)?;
    let ((from_dialler, to_dialler), (from_target, to_target)) = (dialler.into_split(), target.into_split());
    let count_calls = |chunk: &[u8]| {
        // A call is short: its head comes in one piece, and no call is sent before the last one's answer.
        counts.calls.fetch_add(u64::from(chunk.starts_with(b"GET ")), Ordering::Relaxed);
    };
    let forward = pass_on(from_dialler, to_target, &counts.bytes, count_calls);
    let backward = pass_on(from_target, to_dialler, &counts.bytes, |_| {});
    tokio::try_join!(forward, backward)?;
    Ok(())
}

/// Passes on what comes until its end, counts its bytes, and shows each chunk to `seen`.
async fn pass_on(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: &AtomicU64,
    seen: impl Fn(&[u8]),
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = from.read(&mut chunk).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        seen(&chunk[..length]);
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        to.write_all(&chunk[..length]).await?;
    }
}

/// Waits until the proxy answers `GET /up` with 200: it holds a list.
///
/// # Errors
/// Where it does not come to that in time.
pub fn wait_until_up(proxy: SocketAddr) -> Result<(), NetworkError> {
    let since = Instant::now();
    while since.elapsed() < UP_WITHIN {
        if get(proxy, "/up").is_ok_and(|answer| answer.starts_with("HTTP/1.1 200")) {
            return Ok(());
        }
        thread::sleep(ASK_EVERY);
    }
    Err(NetworkError::NotUp)
}

/// The revision that the list service is at.
///
/// # Errors
/// Where it does not say it.
pub fn revision(registry: SocketAddr) -> Result<u64, NetworkError> {
    let answer = get(registry, "/discovery/hosts")?;
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body);
    let list = body.and_then(|body| serde_json::from_str::<serde_json::Value>(body).ok());
    list.and_then(|list| list["revision"].as_u64()).ok_or(NetworkError::NoRevision)
}

/// How long the slowest of the answers took that a proxy gave within this time, one asked for after the other.
///
/// # Errors
/// Where it does not answer.
pub fn slowest_answer(proxy: SocketAddr, within: Duration) -> Result<Duration, NetworkError> {
    let since = Instant::now();
    let mut slowest = Duration::ZERO;
    while since.elapsed() < within {
        let asked = Instant::now();
        get(proxy, "/up")?;
        slowest = slowest.max(asked.elapsed());
    }
    Ok(slowest)
}

/// One call on a connection of its own; the answer as it came.
fn get(address: SocketAddr, path: &str) -> io::Result<String> {
    let mut stream = std::net::TcpStream::connect(address)?;
    stream.set_read_timeout(Some(UP_WITHIN))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// What the clients ask for: a class and a tenant drawn anew for each request.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Classes, `class-0` onwards.
    pub classes: u64,
    /// Tenants, `tenant-0` onwards; 0: requests name none.
    pub tenants: u64,
    /// For the draws.
    pub seed: u64,
}

/// Sends this many requests over a few connections, on each one after the other.
///
/// # Errors
/// Where a request has no answer, too few are served, or they take too long.
pub fn load(proxy: SocketAddr, mix: Mix, connections: u64, requests: u64) -> Result<(), NetworkError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let served = runtime.block_on(async {
        let clients: Vec<_> = (0..connections)
            .map(|n| tokio::spawn(client(proxy, Mix { seed: mix.seed ^ n, ..mix }, requests / connections)))
            .collect();
        let all = async {
            let mut served = 0;
            for client in clients {
                served += client.await.map_err(io::Error::other)??;
            }
            Ok::<_, NetworkError>(served)
        };
        tokio::time::timeout(LOAD_WITHIN, all).await.map_err(|_| NetworkError::Slow)?
    })?;
    let sent = requests / connections * connections;
    if (served as f64) < LEAST_SERVED * sent as f64 {
        return Err(NetworkError::Refused { served, sent });
    }
    Ok(())
}

/// One connection's requests; how many were answered with 200.
async fn client(proxy: SocketAddr, mix: Mix, requests: u64) -> Result<u64, NetworkError> {
    let stream = TcpStream::connect(proxy).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut rng = fastrand::Rng::with_seed(mix.seed);
    let mut served = 0;
    for _ in 0..requests {
        served += u64::from(ask(&mut sender, mix, &mut rng).await? == StatusCode::OK);
    }
    Ok(served)
}

async fn ask(
    sender: &mut SendRequest<Empty<Bytes>>,
    mix: Mix,
    rng: &mut fastrand::Rng,
) -> Result<StatusCode, NetworkError> {
    let class = rng.u64(..mix.classes);
    let mut request = Request::builder()
        .uri(format!("/class-{class}"))
        .header("host", "capacity")
        .header("x-correlation-id", format!("{:016x}", rng.u64(..)))
        .header("x-time-left-ms", "5000");
    if mix.tenants > 0 {
        request = request.header("x-account", format!("tenant-{}", rng.u64(..mix.tenants)));
    }
    let request = request.body(Empty::new()).expect("a request of fixed parts");
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    answer.into_body().collect().await?;
    Ok(status)
}
