//! Discovery: the whole list, then a watch for changes; names to numbers.

mod back_off;
mod connection;
mod entries;
mod error;
mod numbers;
mod outstanding;

pub use entries::{List, Listed, Translator};
pub use error::{DiscoveryError, ListSize};
pub use numbers::Numbers;

use super::config::{Config, Names};
use super::driver::{Handle, Message, Scope};
use super::log;
use super::view::ViewConfig;
use crate::api::Readiness;
use crate::discovery_schedule::{self, TOLD};
use back_off::BackOff;
use connection::{Connection, Wanted};
use entries::RawList;
use outstanding::{Answer, OutstandingCall, PendingCall};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};

/// Where a service answers with lists.
const DISCOVERY_PATH: &str = "/discovery/hosts";
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
const OPEN_WITHIN: Duration = Duration::from_micros(discovery_schedule::OPEN_WITHIN);
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

/// Where lists come from, and what is asked for: what a new configuration may change.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// The names in its lists.
    pub names: Names,
    /// The services that are asked for; `None`: the whole list.
    pub view: Option<ViewConfig>,
}

impl Source {
    /// What a configuration says of it.
    #[must_use]
    pub fn of(config: &Config) -> Self {
        Self { address: config.discovery, names: config.names.clone(), view: config.view.clone() }
    }
}

/// Follows discovery.
pub struct Watcher {
    source: Source,
    translator: Translator,
    handle: Handle,
    /// Set once a list is held.
    held: Rc<Cell<bool>>,
    /// The module's calls for changes, where discovery has to be asked.
    asked: Option<mpsc::UnboundedReceiver<()>>,
    /// The connection of the watch that goes on.
    connection: Option<Connection>,
    /// A call that opens a watch and was not answered in time, where calls wait in turn with those of other proxies.
    outstanding: OutstandingCall,
    /// The version of the list held, where its changes can be asked for.
    revision: Option<u64>,
    /// How many proxies the driver was told of with the list held; `None`: that list is of no view.
    proxies: Option<u32>,
    /// The version of the last list of a view that was taken. No older one is.
    newest_view: Option<u64>,
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
        source: Source,
        translator: Translator,
        handle: Handle,
        held: Rc<Cell<bool>>,
        asked: Option<mpsc::UnboundedReceiver<()>>,
        seed: u64,
    ) -> Self {
        Self {
            source,
            translator,
            handle,
            held,
            asked,
            connection: None,
            outstanding: OutstandingCall::default(),
            revision: None,
            proxies: None,
            newest_view: None,
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
        let entries = match RawList::read(known) {
            Ok(list) => {
                let list = self.translator.translate(list, None);
                // A list with gaps can't be completed by its changes, nor can a view by those of the whole list.
                let has_all = list.complete && list.entries.len() == named && named > 0;
                let is_whole = has_all && self.source.view.is_none();
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

    /// Follows discovery for as long as the proxy runs, from each source that `sources` tells.
    ///
    /// `sources` tells of every configuration that was read. One that changes nothing here does not touch a call that
    /// is made, but it ends a pause after an answer that only somebody's correction will change.
    pub async fn run(mut self, mut sources: watch::Receiver<Source>) {
        let mut current = self.source.clone();
        let mut reloads = sources.clone();
        loop {
            // A call that a change cuts short leaves nothing behind but its connection, which it drops.
            let changed = tokio::select! {
                biased;
                Ok(told) = sources.wait_for(|told| *told != current) => Some(told.clone()),
                () = self.step(&mut reloads) => None,
            };
            if let Some(source) = changed {
                current = source.clone();
                self.follow(source);
            }
        }
    }

    /// Goes on with another source, from which the list held serves on until the first answer.
    fn follow(&mut self, source: Source) {
        // A call was cut short for this, and what it was made for still stands.
        (self.due, self.connection) = (true, None);
        self.outstanding = OutstandingCall::default();
        self.translator.rename(&source.names);
        let old = std::mem::replace(&mut self.source, source);
        if self.source.address != old.address {
            log(format_args!("discovery moves to {}", self.source.address));
            // The list there need not count its versions as the old one did.
            self.newest_view = None;
            self.start_anew();
        }
        if self.source.view != old.view {
            log(format_args!("the view changes: asking for its whole list"));
            self.start_anew();
        }
    }

    /// The next call asks for the whole list, and its failure is none of those before.
    fn start_anew(&mut self) {
        (self.revision, self.logged) = (None, None);
        self.back_off.reset();
        self.handle.tell(Message::DiscoveryMoved);
    }

    /// One answer, or the lack of it, and what follows from it.
    async fn step(&mut self, reloads: &mut watch::Receiver<Source>) {
        match self.next_list(reloads).await {
            Ok(list) => {
                (self.due, self.logged) = (true, None);
                self.outstanding = OutstandingCall::default();
                self.back_off.reset();
                self.pass_on(list);
            }
            Err(error) => {
                (self.due, self.connection) = (false, None);
                let silent = matches!(error, DiscoveryError::Timeout);
                let longest_pause = error.longest_pause();
                self.log_once(error);
                match longest_pause {
                    None => self.after_failure(silent).await,
                    Some(longest) if self.pause_is_over(longest, reloads).await => self.ask_again(silent),
                    Some(_) => self.due = true,
                }
            }
        }
    }

    /// The list of the call that is answered first: the outstanding one, or the next one, which is made when it is due.
    async fn next_list(&mut self, reloads: &mut watch::Receiver<Source>) -> Result<List, DiscoveryError> {
        let mut outstanding = std::mem::take(&mut self.outstanding);
        let answer = tokio::select! {
            biased;
            answer = outstanding.answered() => Ok(answer),
            answer = self.next_call(reloads) => answer,
        };
        self.outstanding.or_else(outstanding);
        let (connection, body) = answer?;
        self.connection = Some(connection);
        let json = serde_json::from_slice(&body).map_err(DiscoveryError::Malformed)?;
        self.read(RawList::read(json)?)
    }

    /// Makes the next call when it is due.
    async fn next_call(&mut self, reloads: &mut watch::Receiver<Source>) -> Result<Answer, DiscoveryError> {
        if !self.due {
            self.wait_for_call().await;
        }
        reloads.mark_unchanged();
        self.call().await
    }

    /// Logs a failure unless one was logged since the last success. One that lasts is logged beside others.
    fn log_once(&mut self, error: DiscoveryError) {
        let is_new = match &self.logged {
            None => true,
            Some(logged) => error.longest_pause().is_some() && !error.is_same_as(logged),
        };
        if is_new {
            log(format_args!("discovery: {error}"));
            self.logged = Some(error);
        }
    }

    /// Waits until the service may be asked again after an answer that only somebody's correction will change.
    /// False where a configuration was read since the call began: it may be the correction.
    async fn pause_is_over(&mut self, longest: Duration, reloads: &mut watch::Receiver<Source>) -> bool {
        let pause = self.back_off.next_pause(longest, &mut self.rng);
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
        }
    }

    fn pass_on(&mut self, list: List) {
        if !list.complete && self.revision.is_some_and(|held| list.revision < held) {
            // Changes of a list that is not held: discovery counts its versions anew. The whole list makes up for it.
            log(format_args!("discovery goes back to revision {}: asking for the whole list", list.revision));
            self.revision = None;
            return;
        }
        if !list.complete && self.revision.is_some() && list.proxies.is_some() != self.proxies.is_some() {
            // An instance that knows views has taken the place of one that doesn't, or the reverse.
            let told = if list.proxies.is_some() { "a view" } else { "the whole list" };
            log(format_args!("discovery tells changes of {told}, which is not held: asking for all of it"));
            self.revision = None;
            return;
        }
        self.revision = Some(list.revision);
        self.held.set(true);
        self.tell_proxies(&list);
        // An answer without changes is news as well: the list held is still discovery's.
        let scope = if list.complete { Scope::Full } else { Scope::Delta };
        self.handle.tell(Message::Listed(scope, list.entries));
    }

    /// Tells how many proxies serve this one's services where that has changed, before the list that says so.
    fn tell_proxies(&mut self, list: &List) {
        if list.proxies.is_some() {
            self.newest_view = Some(list.revision);
        }
        if self.proxies != list.proxies {
            self.proxies = list.proxies;
            self.handle.tell(Message::Fleet(list.proxies));
        }
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
        if let Some(asked) = &mut self.asked {
            // Words from before are answered: by an outstanding call, or by the failure that this one tells of.
            while asked.try_recv().is_ok() {}
            self.handle.tell(Message::Listed(Scope::Failed(silent), Vec::new()));
        }
    }

    /// One call: it goes on with the watch, or opens one, without a wait, for what has changed meanwhile.
    async fn call(&mut self) -> Result<Answer, DiscoveryError> {
        let opened = Instant::now();
        let (connection, wait) = match self.kept(opened + OPEN_WITHIN).await {
            Some(connection) if self.revision.is_some() => (connection, self.wait()),
            Some(connection) => (connection, Duration::ZERO),
            None => (self.dialled(opened + OPEN_WITHIN).await?, Duration::ZERO),
        };
        let opens = wait.is_zero();
        let until = if opens { opened + OPEN_WITHIN } else { Instant::now() + wait + WATCH_GRACE };
        let mut call = self.ask(connection, wait);
        let Ok(answer) = timeout_at(until, &mut call).await else {
            if opens && self.asked.is_some() {
                self.outstanding.keep(call);
            }
            return Err(DiscoveryError::Timeout);
        };
        answer
    }

    /// A call on a connection.
    fn ask(&self, mut connection: Connection, wait: Duration) -> PendingCall {
        let target = self.target(wait);
        let wanted = if self.source.view.is_some() { Wanted::View } else { Wanted::Whole };
        Box::pin(async move {
            let body = connection.fetch(&target, wanted).await?;
            Ok((connection, body))
        })
    }

    /// What a call asks for: all of the list, or its changes since the version held.
    fn target(&self, wait: Duration) -> String {
        let changes = self.revision.map(|after| format!("after={after}&wait_ms={}", wait.as_millis()));
        let view = self.source.view.as_ref().map(ViewConfig::query);
        let query: Vec<String> = changes.into_iter().chain(view).collect();
        if query.is_empty() {
            return DISCOVERY_PATH.to_owned();
        }
        format!("{DISCOVERY_PATH}?{}", query.join("&"))
    }

    /// Reads a list. What it says of a view counts only where one was asked for.
    fn read(&mut self, list: RawList) -> Result<List, DiscoveryError> {
        if self.source.view.is_none() {
            return Ok(self.translator.translate(list, None));
        }
        let proxies = list.proxies()?;
        match self.newest_view {
            Some(held) if proxies.is_some() && list.revision < held => {
                Err(DiscoveryError::Older { held, told: list.revision })
            }
            _ => Ok(self.translator.translate(list, proxies)),
        }
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
        let connection = timeout_at(until, Connection::dial(self.source.address)).await;
        connection.map_err(|_| DiscoveryError::Timeout)?.ok_or(DiscoveryError::Connection)
    }
}
