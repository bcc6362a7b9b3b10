//! The request driver: open-loop Poisson arrivals spread over the proxies as a front would, each request with a
//! fresh id and a deadline, and every outcome kept by that id.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What came of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// 200 within the aim.
    Served,
    /// 200 after the aim.
    Late,
    /// 429 or 503: the client may try again.
    Refused,
    /// Any other status.
    Failed,
    /// The proxy could not be reached: nothing was taken.
    Unreachable,
    /// The connection broke after the request was sent: taken, and not answered.
    Lost,
    /// No answer by the deadline.
    TimedOut,
}

/// One request's record.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Record {
    /// Its `X-Correlation-Id`.
    pub id: String,
    /// The proxy it was sent to, by number.
    pub proxy: usize,
    /// Whether it was keyed.
    pub keyed: bool,
    /// When it was sent, in microseconds from the start of the load.
    pub sent_us: u64,
    /// From sending to the answer's last byte, or to the failure, in microseconds.
    pub latency_us: u64,
    /// What came of it.
    pub outcome: Outcome,
}

/// How the clients behave.
#[derive(Clone, Copy, Debug)]
pub struct Clients {
    /// Arrivals per second.
    pub rate: f64,
    /// What a client waits.
    pub deadline: Duration,
    /// What counts as on time.
    pub aim: Duration,
    /// Share of keyed requests.
    pub keyed_share: f64,
    /// How long the load runs.
    pub duration: Duration,
    /// The most requests.
    pub most: u64,
    /// For arrivals and classes.
    pub seed: u64,
}

/// The front before the proxies: it deals requests out among the proxies it holds for up, and takes a proxy out
/// when it can't be reached, back once `GET /up` answers again.
pub struct Front {
    addresses: Vec<SocketAddr>,
    up: Vec<AtomicBool>,
    turn: AtomicUsize,
}

impl Front {
    /// A front before these proxies, all held for up.
    pub fn new(addresses: Vec<SocketAddr>) -> Arc<Self> {
        let up = addresses.iter().map(|_| AtomicBool::new(true)).collect();
        Arc::new(Self { addresses, up, turn: AtomicUsize::new(0) })
    }

    /// The next proxy held for up, round-robin; the next in turn if none is.
    fn pick(&self) -> usize {
        let n = self.addresses.len();
        let start = self.turn.fetch_add(1, Ordering::Relaxed);
        (0..n).map(|k| (start + k) % n).find(|&i| self.up[i].load(Ordering::Relaxed)).unwrap_or(start % n)
    }

    /// Asks `GET /up` of each proxy held for down, every `period`, until `end`.
    pub async fn probe(self: Arc<Self>, period: Duration, end: Instant) {
        let client: Client<_, http_body_util::Empty<Bytes>> =
            Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        while Instant::now() < end {
            tokio::time::sleep(period).await;
            for (i, address) in self.addresses.iter().enumerate() {
                if self.up[i].load(Ordering::Relaxed) {
                    continue;
                }
                let uri = format!("http://{address}/up");
                let Ok(uri) = uri.parse::<hyper::Uri>() else { continue };
                let asked = tokio::time::timeout(period, client.get(uri)).await;
                if matches!(asked, Ok(Ok(ref answer)) if answer.status() == 200) {
                    self.up[i].store(true, Ordering::Relaxed);
                }
            }
        }
    }
}

/// Runs the load to its end and gives every request's record, in the order they were sent.
pub async fn drive(front: Arc<Front>, clients: Clients, started: Instant) -> Vec<Record> {
    let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(10))
        .build(HttpConnector::new());
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut rng = fastrand::Rng::with_seed(clients.seed);
    let mut tasks = Vec::new();
    let mut due = Duration::ZERO;
    let mut next_line = PROGRESS;
    for n in 0..clients.most {
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / clients.rate);
        if due >= clients.duration {
            break;
        }
        tokio::time::sleep_until((started + due).into()).await;
        if due >= next_line {
            progress(due, n, &records);
            next_line += PROGRESS;
        }
        let keyed = rng.f64() < clients.keyed_share;
        let id = format!("{:016x}", clients.seed.rotate_left(17) ^ n);
        let (client, front, records) = (client.clone(), Arc::clone(&front), Arc::clone(&records));
        tasks.push(tokio::spawn(async move {
            let record = send(&client, &front, id, keyed, clients, started).await;
            records.lock().unwrap_or_else(|e| e.into_inner()).push(record);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    let mut records = std::mem::take(&mut *records.lock().unwrap_or_else(|e| e.into_inner()));
    records.sort_by_key(|r| r.sent_us);
    records
}

/// Why a request had no answer.
enum Failure {
    /// No connection came up: the request was never taken.
    Connect,
    /// The connection broke after the request went out.
    Broken,
}

/// How often a line says how far a run has come.
const PROGRESS: Duration = Duration::from_secs(5);

/// A line on standard error: the time, the requests sent, and the share of those that have come back answered.
fn progress(due: Duration, sent: u64, records: &Mutex<Vec<Record>>) {
    let records = records.lock().unwrap_or_else(|e| e.into_inner());
    let answered = records.iter().filter(|r| matches!(r.outcome, Outcome::Served | Outcome::Late)).count();
    eprintln!("rig: {:6.2} s  {sent} sent, {answered} answered so far", due.as_secs_f64());
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    front: &Front,
    id: String,
    keyed: bool,
    clients: Clients,
    started: Instant,
) -> Record {
    let proxy = front.pick();
    let address = front.addresses[proxy];
    let (class, method) = if keyed { ("submit", "POST") } else { ("read", "GET") };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/{class}"))
        .header("x-correlation-id", &id)
        .header("x-service-class", class)
        .header("x-time-left-ms", clients.deadline.as_millis().to_string());
    if keyed {
        request = request.header("idempotency-key", format!("k{id}"));
    }
    let request = request.body(Full::new(Bytes::new())).expect("a request of fixed parts");
    let sent = Instant::now();
    let asked = tokio::time::timeout(clients.deadline, async {
        let failed = |e: hyper_util::client::legacy::Error| {
            if e.is_connect() { Failure::Connect } else { Failure::Broken }
        };
        let answer = client.request(request).await.map_err(failed)?;
        let status = answer.status();
        answer.into_body().collect().await.map_err(|_| Failure::Broken)?;
        Ok::<_, Failure>(status)
    });
    let outcome = match asked.await {
        Err(_) => Outcome::TimedOut,
        Ok(Ok(status)) if status == 200 && sent.elapsed() <= clients.aim => Outcome::Served,
        Ok(Ok(status)) if status == 200 => Outcome::Late,
        Ok(Ok(status)) if status == 429 || status == 503 => Outcome::Refused,
        Ok(Ok(_)) => Outcome::Failed,
        Ok(Err(Failure::Connect)) => {
            front.up[proxy].store(false, Ordering::Relaxed);
            Outcome::Unreachable
        }
        Ok(Err(Failure::Broken)) => Outcome::Lost,
    };
    let sent_us = sent.duration_since(started).as_micros() as u64;
    Record { id, proxy, keyed, sent_us, latency_us: sent.elapsed().as_micros() as u64, outcome }
}
