//! The rig's stand-in list service, one process, speaking the platform's discovery protocol
//! (`PROTOCOL`, "Discovery"): `GET /discovery/hosts` for the whole list, `?after=REV&wait_ms=MS` for a watch.
//! The replicated service of its own is `gatestage registry`; this one only lets the rig say what the timeline
//! changes.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The longest a watch waits, in milliseconds, as the protocol says.
const LONGEST_WAIT_MS: u64 = 60_000;

/// One member as the list tells it, with the revision at which it last changed.
struct Entry {
    changed: u64,
    member: Value,
}

struct Board {
    revision: u64,
    entries: Vec<Entry>,
}

/// A running list service.
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    board: Arc<Mutex<Board>>,
    revision: watch::Sender<u64>,
}

/// One member's entry: `id`, the address the proxies dial, its zone, and `active`.
pub fn member(id: &str, address: SocketAddr, zone: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": zone, "flavor": "m", "cell": 0,
           "phase": "active", "size": 1.0, "up_since_ms": 0})
}

impl List {
    /// Starts the service on `host:0` with these members, at revision 1.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(host: std::net::IpAddr, members: Vec<Value>) -> std::io::Result<Self> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let entries = members.into_iter().map(|member| Entry { changed: 1, member }).collect();
        let board = Arc::new(Mutex::new(Board { revision: 1, entries }));
        let (revision, watching) = watch::channel(1);
        tokio::spawn(accept(listener, Arc::clone(&board), watching));
        Ok(Self { address, board, revision })
    }

    /// Sets a member's `phase` (`active`, `leaving`), at a new revision; an unknown id changes nothing.
    pub fn set_phase(&self, id: &str, phase: &str) {
        let mut board = self.board.lock().unwrap_or_else(|e| e.into_inner());
        let next = board.revision + 1;
        let Some(entry) = board.entries.iter_mut().find(|e| e.member["id"] == id) else { return };
        entry.member["phase"] = json!(phase);
        entry.changed = next;
        board.revision = next;
        self.revision.send_replace(next);
    }

    /// The whole list as `GET /discovery/hosts` answers it.
    pub fn whole(&self) -> Value {
        self.board.lock().unwrap_or_else(|e| e.into_inner()).since(0)
    }
}

impl Board {
    /// The entries changed after `after`; the whole list when `after` is 0 or newer than what is here.
    fn since(&self, after: u64) -> Value {
        let complete = after == 0 || after > self.revision;
        let changed = self.entries.iter().filter(|e| complete || e.changed > after);
        let members: Vec<_> = changed.map(|e| e.member.clone()).collect();
        json!({"revision": self.revision, "complete": complete, "members": members})
    }
}

async fn accept(listener: TcpListener, board: Arc<Mutex<Board>>, revision: watch::Receiver<u64>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (board, revision) = (Arc::clone(&board), revision.clone());
        let service = service_fn(move |request| answer(Arc::clone(&board), revision.clone(), request));
        tokio::spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// `after` and `wait_ms` of a query; `None` when either is there but no number.
fn query(request: &Request<Incoming>) -> Option<(u64, u64)> {
    let mut found = (0, 0);
    for pair in request.uri().query().unwrap_or_default().split('&').filter(|p| !p.is_empty()) {
        match pair.split_once('=') {
            Some(("after", n)) => found.0 = n.parse().ok()?,
            Some(("wait_ms", n)) => found.1 = n.parse().ok()?,
            _ => {}
        }
    }
    Some((found.0, found.1.min(LONGEST_WAIT_MS)))
}

async fn answer(
    board: Arc<Mutex<Board>>,
    mut revision: watch::Receiver<u64>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let respond = |status, body: String| {
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        Ok(response)
    };
    if request.uri().path() != "/discovery/hosts" {
        return respond(StatusCode::NOT_FOUND, "no such call".to_owned());
    }
    let Some((after, wait_ms)) = query(&request) else {
        return respond(StatusCode::BAD_REQUEST, "`after` and `wait_ms` are whole numbers".to_owned());
    };
    if after > 0 && wait_ms > 0 {
        let newer = revision.wait_for(|&now| now > after);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
    }
    let body = board.lock().unwrap_or_else(|e| e.into_inner()).since(after).to_string();
    respond(StatusCode::OK, body)
}
