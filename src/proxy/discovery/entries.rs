//! Discovery's list as it is written, and in the module's terms.

use super::error::{DiscoveryError, EntryError};
use super::numbers::Numbers;
use crate::api::{Backend, BackendId, Readiness, Senders};
use crate::proxy::clock::Clock;
use crate::proxy::config::Names;
use crate::proxy::log;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde_json::Value;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::rc::Rc;

/// A list as it is written.
#[derive(Deserialize)]
pub(super) struct RawList {
    pub(super) revision: u64,
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    view: Value,
    #[serde(default)]
    members: Vec<Value>,
}

#[derive(Deserialize)]
struct RawView {
    proxies: NonZeroU32,
}

impl RawList {
    /// Reads a list's shape; its entries are read one by one.
    pub(super) fn read(json: Value) -> Result<Self, DiscoveryError> {
        serde_json::from_value(json).map_err(DiscoveryError::Malformed)
    }

    /// How many proxies serve the services of the view that this list is of; `None`: it is of no view.
    pub(super) fn proxies(&self) -> Result<Option<u32>, DiscoveryError> {
        let view = Option::<RawView>::deserialize(&self.view).map_err(DiscoveryError::Malformed)?;
        Ok(view.map(|view| view.proxies.get()))
    }
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u16,
    phase: String,
    #[serde(default)]
    up_since_ms: u64,
    #[serde(default)]
    senders: Value,
}

/// A backend as the list has it, in the module's numbers, and where it listens.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// What the module is told.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A list in the module's terms.
#[derive(Debug)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it names all backends.
    pub complete: bool,
    /// How many proxies serve the services of the view that it is of; `None`: it is of no view.
    pub proxies: Option<u32>,
    /// The entries that make sense.
    pub entries: Vec<Listed>,
}

/// Translates discovery's names.
pub struct Translator {
    clock: Clock,
    zones: FxHashMap<String, u16>,
    kinds: FxHashMap<String, u8>,
    numbers: Rc<RefCell<Numbers>>,
    starts: FxHashMap<BackendId, (u64, Option<u64>)>,
}

impl Translator {
    /// Takes other settings' names for what is listed from now on.
    pub(super) fn rename(&mut self, names: &Names) {
        self.zones = names.zones.iter().cloned().zip(0..).collect();
        self.kinds = names.kinds.iter().cloned().zip(0..=u8::MAX).collect();
    }

    /// A translator that knows the zones and kinds, and adds to the numbers of backends.
    #[must_use]
    pub fn new(clock: Clock, names: &Names, numbers: Rc<RefCell<Numbers>>) -> Self {
        let mut translator = Self {
            clock,
            zones: FxHashMap::default(),
            kinds: FxHashMap::default(),
            numbers,
            starts: FxHashMap::default(),
        };
        translator.rename(names);
        translator
    }

    /// Reads a list, of a view where it says so. Entries that make no sense are logged and passed over.
    ///
    /// # Errors
    /// Where the list as a whole is not what is wanted.
    pub fn list(&mut self, json: Value) -> Result<List, DiscoveryError> {
        let raw = RawList::read(json)?;
        let proxies = raw.proxies()?;
        Ok(self.translate(raw, proxies))
    }

    /// Reads the entries of a list, of the view that so many `proxies` serve or of none. Entries that make no sense
    /// are logged and passed over.
    pub(super) fn translate(&mut self, raw: RawList, proxies: Option<u32>) -> List {
        let entries =
            raw.members.into_iter().filter_map(|member| match self.member(member, proxies.is_some()) {
                Ok(listed) => Some(listed),
                Err(problem) => {
                    log(format_args!("passing over an entry of the list: {problem}"));
                    None
                }
            });
        List { revision: raw.revision, complete: raw.complete, proxies, entries: entries.collect() }
    }

    fn member(&mut self, member: Value, of_view: bool) -> Result<Listed, EntryError> {
        let raw: RawMember = serde_json::from_value(member).map_err(EntryError::Malformed)?;
        let senders = if of_view { known_senders(&raw) } else { None };
        let Ok(address) = raw.host_port.parse() else {
            return Err(EntryError::Address(raw.id, raw.host_port));
        };
        let readiness = match raw.phase.as_str() {
            "active" => Readiness::Ready,
            "leaving" => Readiness::Draining,
            "left" => Readiness::Gone,
            _ => return Err(EntryError::Phase(raw.id, raw.phase)),
        };
        let Some(&zone) = self.zones.get(&raw.locality) else {
            return Err(EntryError::Locality(raw.id, raw.locality));
        };
        // A kind that the settings don't name can still be sent to.
        let kind = self.kinds.get(&raw.flavor).copied().unwrap_or(0);
        let id = self.numbers.borrow_mut().number(&raw.id);
        let started = self.started(id, raw.up_since_ms);
        let backend = Backend { id, zone, kind, cell: raw.cell, readiness, started, senders };
        Ok(Listed { backend, address })
    }

    /// When it started on this proxy's clock. The same start keeps the time first worked out: a start ahead of
    /// the clock, which counts as now, must not look like a new one on each list.
    fn started(&mut self, id: BackendId, unix_ms: u64) -> Option<u64> {
        if let Some(&(told, started)) = self.starts.get(&id)
            && told == unix_ms
        {
            return started;
        }
        let started = self.clock.started(unix_ms);
        self.starts.insert(id, (unix_ms, started));
        started
    }
}

/// How many proxies hold an entry of a view. Where that makes no sense the entry is taken as one that all proxies
/// hold, which gives this one the least part of it: a backend is not lost for it.
fn known_senders(raw: &RawMember) -> Option<Senders> {
    senders(raw).unwrap_or_else(|problem| {
        log(format_args!("taking an entry of the list as one that all proxies hold: {problem}"));
        None
    })
}

fn senders(raw: &RawMember) -> Result<Option<Senders>, EntryError> {
    let senders = Option::<Senders>::deserialize(&raw.senders)
        .map_err(|source| EntryError::SendersShape { id: raw.id.clone(), source })?;
    match senders {
        Some(Senders { all, local }) if all == 0 || local > all => {
            Err(EntryError::Senders { id: raw.id.clone(), local, all })
        }
        senders => Ok(senders),
    }
}
