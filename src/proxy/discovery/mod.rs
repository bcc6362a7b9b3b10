//! Discovery: the whole list, then a watch for changes; names to numbers.

mod back_off;
mod connection;
mod entries;
mod error;
mod numbers;

pub use entries::{List, Listed, Translator};
pub use error::{DiscoveryError, ListSize};
pub use numbers::Numbers;

use super::config::Names;
use super::driver::{Handle, Message, Scope};
use super::log;
use crate::api::Readiness;
use crate::balancer::{self, TOLD};
use back_off::BackOff;
use connection::Connection;
use serde_json::Value;
use std::cell::Cell;
use std::mem::discriminant;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// How long a watch may wait at the most; each waits a little less, by chance, so that those of many proxies, which
/// one change answers together, do not end together. To go on with a watch costs discovery next to nothing (three
/// hundred proxies: no call failed, the price of lists as with waits of 20 s), so this is short: it bounds how long a
/// broken watch goes unnoticed.
///
/// From the last answer on: 2.4 s until a watch that fell silent at once is given up, 2 s more where the call that
/// opens it anew is lost as well, and the module has the third call made 1.2 s before changes count as told.
const WATCH_WAIT: Duration = part_of_told(3);
/// How long the answer to a watch that goes on may take beyond its wait.
const WATCH_GRACE: Duration = part_of_told(15);
/// How long a call that opens a watch, and so does not wait, may take with its dial.
const OPEN_WITHIN: Duration = Duration::from_micros(balancer::OPEN_WITHIN);
/// How long a connection to an agent on this machine may take to come up: even with the pause after a failure, a
/// drain that the agent has at its return is known before sends have to end (0.5 s).
const AGENT_DIAL: Duration = Duration::from_millis(250);
/// How long after a failed call an agent is asked again, however often it has failed. What it has counts as told
/// whether or not a watch is open, and a drain among that ends sends 0.5 s later.
const AGENT_PAUSE: Duration = Duration::from_millis(100);

/// A part of the time after which a change counts as told, which the module owns.
const fn part_of_told(part: u64) -> Duration {
    Duration::from_micros(TOLD / part)
}

/// Follows discovery.
pub struct Watcher {
    address: SocketAddr,
    translator: Translator,
    handle: Handle,
    /// Set once a list is held.
    held: Rc<Cell<bool>>,
    /// The module's calls for changes, where discovery has to be asked.
    asked: Option<mpsc::UnboundedReceiver<()>>,
    /// The connection of the watch that goes on.
    connection: Option<Connection>,
    revision: Option<u64>,
    rng: fastrand::Rng,
    /// The next call is to be made without a word from the module: a watch goes on, or discovery has moved.
    due: bool,
    /// The failure that was logged last since a call succeeded, so that one that lasts is logged once.
    logged: Option<DiscoveryError>,
    back_off: BackOff,
}

impl Watcher {
    /// A watcher that has made no call. With `asked` it begins a watch only when told to, otherwise by itself.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        translator: Translator,
        handle: Handle,
        held: Rc<Cell<bool>>,
        asked: Option<mpsc::UnboundedReceiver<()>>,
        seed: u64,
    ) -> Self {
        Self {
            address,
            translator,
            handle,
            held,
            asked,
            connection: None,
            revision: None,
            rng: fastrand::Rng::with_seed(seed),
            due: false,
            logged: None,
            back_off: BackOff::default(),
        }
    }

    /// Hands on the list that the configuration holds and serves from it. It may be old: the first call asks for
    /// what has changed since, which spares a discovery that many proxies share at their start the whole list.
    pub fn start_from(&mut self, known: Value) {
        let named = known.get("members").and_then(Value::as_array).map_or(0, Vec::len);
        let entries = match self.translator.list(known) {
            Ok(list) => {
                // A list with gaps can't be completed by its changes.
                let is_whole = list.complete && list.entries.len() == named && named > 0;
                self.revision = is_whole.then_some(list.revision);
                list.entries
            }
            Err(error) => {
                log(format_args!("`known`: {error}"));
                Vec::new()
            }
        };
        self.held.set(entries.iter().any(|e| e.backend.readiness == Readiness::Ready));
        // Also where nothing is known: the module asks for changes when it is told so.
        self.handle.tell(Message::Listed(Scope::Cached, entries));
    }

    /// Follows discovery for as long as the proxy runs, at each address and with the names that `moves` tells.
    ///
    /// `moves` tells of every configuration that was read. One that changes nothing here does not touch a call that
    /// is made, but it ends a pause after an answer that only somebody's correction will change.
    pub async fn run(mut self, mut moves: watch::Receiver<(SocketAddr, Names)>) {
        let mut known = (self.address, self.translator.names.clone());
        let mut reloads = moves.clone();
        loop {
            // A call that a move cuts short leaves nothing behind but its connection, which it drops.
            let moved = tokio::select! {
                biased;
                Ok(told) = moves.wait_for(|told| *told != known) => Some(told.clone()),
                () = self.step(&mut reloads) => None,
            };
            if let Some((address, names)) = moved {
                self.translator.rename(&names);
                self.move_to(address);
                known = (address, names);
            }
        }
    }

    /// Discovery listens elsewhere: the list there need not count its versions as the old one did.
    fn move_to(&mut self, address: SocketAddr) {
        // A call was cut short for this, and what it was made for still stands.
        (self.due, self.connection) = (true, None);
        if address == self.address {
            return;
        }
        log(format_args!("discovery moves to {address}"));
        self.address = address;
        (self.revision, self.logged) = (None, None);
        self.back_off.reset();
    }

    /// One call and what follows from it.
    async fn step(&mut self, reloads: &mut watch::Receiver<(SocketAddr, Names)>) {
        if !self.due {
            self.wait_for_call().await;
        }
        reloads.mark_unchanged();
        match self.call().await {
            Ok(list) => {
                (self.due, self.logged) = (true, None);
                self.back_off.reset();
                self.pass_on(list);
            }
            Err(error) => {
                (self.due, self.connection) = (false, None);
                let (silent, lasting) = (matches!(error, DiscoveryError::Timeout), error.is_lasting());
                self.log_once(error);
                if !lasting {
                    self.after_failure(silent).await;
                } else if self.pause_is_over(reloads).await {
                    self.ask_again(silent);
                } else {
                    self.due = true;
                }
            }
        }
    }

    /// Logs a failure unless one was logged since the last success. One that lasts is logged beside others.
    fn log_once(&mut self, error: DiscoveryError) {
        let is_new = match &self.logged {
            None => true,
            Some(logged) => error.is_lasting() && discriminant(logged) != discriminant(&error),
        };
        if is_new {
            log(format_args!("discovery: {error}"));
            self.logged = Some(error);
        }
    }

    /// Waits until the service may be asked again after an answer that only somebody's correction will change.
    /// False where a configuration was read since the call began: it may be the correction.
    async fn pause_is_over(&mut self, reloads: &mut watch::Receiver<(SocketAddr, Names)>) -> bool {
        let pause = self.back_off.next_pause(&mut self.rng);
        tokio::select! {
            biased;
            Ok(()) = reloads.changed() => false,
            () = sleep(pause) => true,
        }
    }

    async fn wait_for_call(&mut self) {
        if let Some(asked) = &mut self.asked {
            // The driver ends only with the process.
            if asked.recv().await.is_none() {
                std::future::pending::<()>().await;
            }
            while asked.try_recv().is_ok() {}
        }
    }

    fn pass_on(&mut self, list: List) {
        if !list.complete && self.revision.is_some_and(|held| list.revision < held) {
            // Changes of a list that is not held: discovery counts its versions anew. The whole list makes up for it.
            log(format_args!("discovery goes back to revision {}: asking for the whole list", list.revision));
            self.revision = None;
            return;
        }
        self.revision = Some(list.revision);
        self.held.set(true);
        // An answer without changes is news as well: the list held is still discovery's.
        let scope = if list.complete { Scope::Full } else { Scope::Delta };
        self.handle.tell(Message::Listed(scope, list.entries));
    }

    /// The module decides when a service is asked again; an agent is asked again after a short pause.
    async fn after_failure(&mut self, silent: bool) {
        if self.asked.is_none() {
            sleep(AGENT_PAUSE).await;
        }
        self.ask_again(silent);
    }

    /// The next call may be made: the module says when, or an agent is asked at once.
    fn ask_again(&mut self, silent: bool) {
        if self.asked.is_some() {
            self.handle.tell(Message::Listed(Scope::Failed(silent), Vec::new()));
        }
    }

    /// One call: it goes on with the watch, or opens one, without a wait, for what has changed meanwhile.
    async fn call(&mut self) -> Result<List, DiscoveryError> {
        let opened = Instant::now();
        let (mut connection, wait) = match self.kept(opened + OPEN_WITHIN).await {
            Some(connection) if self.revision.is_some() => (connection, self.wait()),
            Some(connection) => (connection, Duration::ZERO),
            None => (self.dialled(opened + OPEN_WITHIN).await?, Duration::ZERO),
        };
        let target = match self.revision {
            None => "/discovery/hosts".to_owned(),
            Some(after) => format!("/discovery/hosts?after={after}&wait_ms={}", wait.as_millis()),
        };
        let until = if wait.is_zero() { opened + OPEN_WITHIN } else { Instant::now() + wait + WATCH_GRACE };
        let body = timeout_at(until, connection.fetch(&target)).await;
        let body = body.map_err(|_| DiscoveryError::Timeout)??;
        self.connection = Some(connection);
        self.translator.list(serde_json::from_slice(&body).map_err(DiscoveryError::Malformed)?)
    }

    /// How long this watch waits.
    fn wait(&mut self) -> Duration {
        WATCH_WAIT.mul_f64(1.0 - self.rng.f64() / 4.0)
    }

    /// The connection of the watch that goes on, unless it was closed.
    async fn kept(&mut self, until: Instant) -> Option<Connection> {
        let mut connection = self.connection.take()?;
        matches!(timeout_at(until, connection.is_free()).await, Ok(true)).then_some(connection)
    }

    /// A new connection.
    async fn dialled(&self, until: Instant) -> Result<Connection, DiscoveryError> {
        let agent = Instant::now() + AGENT_DIAL;
        let until = if self.asked.is_some() { until } else { until.min(agent) };
        let connection = timeout_at(until, Connection::dial(self.address)).await;
        connection.map_err(|_| DiscoveryError::Timeout)?.ok_or(DiscoveryError::Connection)
    }
}
