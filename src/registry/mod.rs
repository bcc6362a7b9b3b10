//! `gatestage registry`: the project's own list service. It serves the platform's list and watch exactly
//! (`PROTOCOL`, "Discovery": `GET /discovery/hosts`, `?after=REV&wait_ms=MS`, `revision`, `complete`, `members`)
//! from a [`Store`] whose revision only grows, and, to proxies that ask with `proxy` and `service`, their views:
//! only the members of these services, and of a large service a subset ([`subset`]).
//!
//! Its one face is [`serve`]. This part is one instance; its file is TOML that SIGHUP reads again, whole or not at
//! all ([`Config`]). Instances with the same file answer the same. Replication, health probes and the operators'
//! calls come next (`docs/ROADMAP.md`).

mod config;
mod contents;
mod entry;
mod error;
mod list;
mod query;
mod service;
mod store;
pub mod subset;
mod views;
mod watchers;

pub use crate::api::Senders;
pub use crate::names::{LONGEST_NAME, Name, NameError, SelectionError, ServiceSelection};
pub use config::{Config, Member, Proxy, ProxyPhase, Service};
pub use entry::{Answer, Entry};
pub use error::{Kind, QueryError, RegistryError, ViewError};
pub use query::{LONGEST_WAIT_MS, Query, Scope, ViewScope};
pub use store::{News, Store};

use crate::body_buffer::collect;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use watchers::Watchers;

/// The largest body a call may carry, in bytes, as the protocol's messages.
pub const BODY_CAP: usize = 64 * 1024;
/// The one call.
const LIST_PATH: &str = "/discovery/hosts";

/// What every call shares.
struct Shared {
    store: Mutex<Arc<Store>>,
    watchers: Watchers,
}

impl Shared {
    /// The store in force.
    fn store(&self) -> Arc<Store> {
        Arc::clone(&self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts a store in force and tells the watches that it is news for.
    fn take(&self, store: Store, news: &News) {
        let store = Arc::new(store);
        let mut held = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        let before = std::mem::replace(&mut *held, Arc::clone(&store));
        drop(held);
        // Freeing what large lists held takes time that the answers need.
        tokio::task::spawn_blocking(move || drop(before));
        self.watchers.wake(news, &store);
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
    let store = Mutex::new(Arc::new(Store::new(config)));
    let shared = Arc::new(Shared { store, watchers: Watchers::default() });
    // Whoever reads that it listens may send a signal at once.
    let mut hang_up = signal(SignalKind::hangup()).map_err(lacks("SIGHUP"))?;
    let mut stop = signal(SignalKind::terminate()).map_err(lacks("SIGTERM"))?;
    eprintln!("registry listens on {address}, revision {}", shared.store().revision());
    tokio::spawn(accept(listener, Arc::clone(&shared)));
    loop {
        tokio::select! {
            Some(()) = hang_up.recv() => match read_again(&shared, &path).await {
                Ok(()) => eprintln!("SIGHUP: members taken, revision {}", shared.store().revision()),
                Err(error) => eprintln!("SIGHUP changes nothing: {error}"),
            },
            _ = stop.recv() => return Ok(()),
        }
    }
}

/// Reads the file and takes what it changes. The work is done beside the thread that answers.
async fn read_again(shared: &Shared, path: &Path) -> Result<(), RegistryError> {
    let (held, path) = (shared.store(), path.to_path_buf());
    let next = move || held.next(Config::from_file(&path)?, &path);
    let next = tokio::task::spawn_blocking(next).await;
    if let Some((store, news)) = next.map_err(io::Error::other).map_err(lacks("thread"))?? {
        shared.take(store, &news);
    }
    Ok(())
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

fn respond(status: StatusCode, body: String) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let json = status == StatusCode::OK;
    let kind = if json { "application/json" } else { "text/plain" };
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    Ok(response)
}

async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    if collect(body, BODY_CAP).await.is_err() {
        return respond(StatusCode::PAYLOAD_TOO_LARGE, format!("a body holds {BODY_CAP} bytes at most"));
    }
    if head.uri.path() != LIST_PATH {
        return respond(StatusCode::NOT_FOUND, format!("no call {}", head.uri.path()));
    }
    if head.method != Method::GET {
        return respond(StatusCode::METHOD_NOT_ALLOWED, "the list is read with GET".to_owned());
    }
    let query = match Query::parse(head.uri.query().unwrap_or_default()) {
        Ok(query) => query,
        Err(reason) => return respond(StatusCode::BAD_REQUEST, reason.to_string()),
    };
    wait_for_news(&shared, &query).await;
    match shared.store().answer(&query.scope, query.after) {
        Ok(answer) => respond(StatusCode::OK, answer.to_json()),
        Err(reason) => respond(StatusCode::NOT_FOUND, reason.to_string()),
    }
}

/// Waits as long as the watch asks for, or until what it asks for has changed.
async fn wait_for_news(shared: &Shared, query: &Query) {
    let has_news = || shared.store().has_news(&query.scope, query.after);
    if query.after == 0 || query.wait.is_zero() || has_news() {
        return;
    }
    let mut changes = shared.watchers.subscribe(&query.scope);
    let _ = tokio::time::timeout(query.wait, changes.wait_for(|()| has_news())).await;
}
