//! `gatestage registry`: the project's own list service. It serves the platform's list and watch exactly
//! (`PROTOCOL`, "Discovery": `GET /discovery/hosts`, `?after=REV&wait_ms=MS`, `revision`, `complete`, `members`)
//! from a [`Store`] whose revision only grows.
//!
//! Its one face is [`serve`]. This first part is one instance; its members come from a TOML file that SIGHUP
//! reads again, whole or not at all. Replication, health probes and the operators' calls come next
//! (`docs/ROADMAP.md`).

mod error;
mod store;

pub use error::{QueryError, RegistryError};
pub use store::{Member, Store};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// The longest a watch waits, in milliseconds; longer `wait_ms` are cut to it, as the protocol says.
pub const LONGEST_WAIT_MS: u64 = 60_000;
/// The largest body a call may carry, in bytes, as the protocol's messages.
pub const BODY_CAP: usize = 64 * 1024;

/// The registry's configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where it listens, `host:port`.
    pub listen: SocketAddr,
    /// How many changes are kept for watches; a watch from before them gets the whole list. Default 10,000.
    #[serde(default = "keep")]
    pub keep_changes: usize,
    /// The members.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
}

fn keep() -> usize {
    10_000
}

impl Config {
    /// Reads and checks the file.
    ///
    /// # Errors
    /// A file that can't be read, is not TOML of this shape (the message names line and column), or names one
    /// member twice or with a phase other than `active` or `leaving`.
    pub fn from_file(path: &Path) -> Result<Self, RegistryError> {
        let here = || path.to_path_buf();
        let text = std::fs::read_to_string(path)
            .map_err(|source| RegistryError::Unreadable { path: here(), source })?;
        let config: Self = toml::from_str(&text)
            .map_err(|source| RegistryError::Shape { path: here(), source: Box::new(source) })?;
        let mut seen = std::collections::BTreeSet::new();
        for member in &config.members {
            if !seen.insert(&member.id) {
                return Err(RegistryError::Twice { path: here(), member: member.id.clone() });
            }
            if !matches!(member.phase.as_str(), "active" | "leaving") {
                let (member, phase) = (member.id.clone(), member.phase.clone());
                return Err(RegistryError::Phase { path: here(), member, phase });
            }
        }
        Ok(config)
    }
}

/// What every call shares.
struct Shared {
    store: Mutex<Store>,
    revision: watch::Sender<u64>,
}

impl Shared {
    fn store(&self) -> std::sync::MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes these members, tells the watches if that is a change.
    fn replace(&self, members: Vec<Member>) {
        let changed = self.store().replace(members);
        if let Some(revision) = changed {
            self.revision.send_replace(revision);
        }
    }
}

/// Runs the registry from this configuration file until SIGTERM.
///
/// # Errors
/// A configuration that can't be taken, or a listener that can't be opened.
pub fn serve(path: PathBuf) -> Result<(), RegistryError> {
    let config = Config::from_file(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(lacks("runtime"))?.block_on(run(config, path))
}

/// Turns what the operating system refuses into an error that says what is lacking.
fn lacks(what: &'static str) -> impl FnOnce(io::Error) -> RegistryError {
    move |source| RegistryError::System { what, source }
}

async fn run(config: Config, path: PathBuf) -> Result<(), RegistryError> {
    let address = config.listen;
    let refused = |source| RegistryError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(refused)?;
    let address = listener.local_addr().map_err(refused)?;
    let (revision, _) = watch::channel(0);
    let shared = Arc::new(Shared { store: Mutex::new(Store::new(config.keep_changes)), revision });
    shared.replace(config.members);
    // Whoever reads that it listens may send a signal at once.
    let mut hang_up = signal(SignalKind::hangup()).map_err(lacks("SIGHUP"))?;
    let mut stop = signal(SignalKind::terminate()).map_err(lacks("SIGTERM"))?;
    eprintln!("registry listens on {address}, revision {}", shared.store().revision());
    tokio::spawn(accept(listener, Arc::clone(&shared)));
    loop {
        tokio::select! {
            Some(()) = hang_up.recv() => match Config::from_file(&path) {
                Ok(config) => {
                    shared.replace(config.members);
                    eprintln!("SIGHUP: members taken, revision {}", shared.store().revision());
                }
                Err(error) => eprintln!("SIGHUP changes nothing: {error}"),
            },
            _ = stop.recv() => return Ok(()),
        }
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| answer(Arc::clone(&shared), request));
        tokio::spawn(async move {
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// `after` and `wait_ms` of a watch; an error names the parameter that is no whole number.
fn query(text: Option<&str>) -> Result<(u64, u64), QueryError> {
    let (mut after, mut wait) = (0, 0);
    for pair in text.unwrap_or_default().split('&').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let wrong = || QueryError { name: name.to_owned(), value: value.to_owned() };
        let number = || value.parse::<u64>().map_err(|_| wrong());
        match name {
            "after" => after = number()?,
            "wait_ms" => wait = number()?,
            _ => {}
        }
    }
    Ok((after, wait.min(LONGEST_WAIT_MS)))
}

fn respond(status: StatusCode, body: String) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = status == StatusCode::OK;
    let kind = if json { "application/json" } else { "text/plain" };
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, hyper::header::HeaderValue::from_static(kind));
    Ok(response)
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    if Limited::new(body, BODY_CAP).collect().await.is_err() {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, format!("a body holds {BODY_CAP} bytes at most"));
    }
    if head.uri.path() != "/discovery/hosts" {
        return respond(StatusCode::NOT_FOUND, format!("no call {}", head.uri.path()));
    }
    if head.method != Method::GET {
        return respond(StatusCode::METHOD_NOT_ALLOWED, "the list is read with GET".to_owned());
    }
    let (after, wait_ms) = match query(head.uri.query()) {
        Ok(asked) => asked,
        Err(reason) => return respond(StatusCode::BAD_REQUEST, reason.to_string()),
    };
    if after > 0 && wait_ms > 0 {
        let mut revision = shared.revision.subscribe();
        let newer = revision.wait_for(|&now| now > after);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
    }
    let body = shared.store().since(after).to_string();
    respond(StatusCode::OK, body)
}
