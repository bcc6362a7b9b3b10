//! What a process leaves to another one of its proxy: the names that it knew, and what its module has learnt.

use crate::api::{Learnt, LearntKind};
use crate::proxy::config::Config;
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of [`SavedState`] as the checked store and the group's copies keep it; one of another is passed over.
pub const STATE_VERSION: u16 = 2;

/// Whose state it is: the names for which its numbers stand. The module knows only numbers, and those are another
/// thing at a proxy with other settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The proxy.
    pub proxy: String,
    /// Its zone.
    pub zone: String,
    /// Its classes.
    pub classes: Vec<String>,
    /// The kinds of machines, in the order of their numbers.
    pub kinds: Vec<String>,
}

impl Owner {
    /// The owner of what a proxy with this configuration learns.
    #[must_use]
    pub fn of(config: &Config) -> Self {
        let (settings, names) = (&config.settings, &config.names);
        Self {
            proxy: config.name.clone(),
            zone: names.zones.get(usize::from(settings.zone)).cloned().unwrap_or_default(),
            classes: settings.classes.iter().map(|class| class.name.clone()).collect(),
            kinds: names.kinds.clone(),
        }
    }
}

/// Why a state is not taken. It does no harm: the proxy learns anew.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum ForeignState {
    /// It names no owner.
    #[error("it does not say whose it is, an older version of the program made it")]
    Unnamed,
    /// Another proxy's.
    #[error("it is that of the proxy `{0}`, this one is `{1}`: give each proxy a state_dir of its own")]
    Proxy(String, String),
    /// Of a proxy in another zone.
    #[error("it was learnt in the zone `{0}`, this proxy is in `{1}`")]
    Zone(String, String),
    /// Of other classes.
    #[error("it knows the classes {0:?} and none of this proxy's")]
    Classes(Vec<String>),
}

/// What a process hands on beside the listener.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SavedState {
    /// Whose it is; `None`: a version of the program wrote it that did not say.
    #[serde(default)]
    pub owner: Option<Owner>,
    /// The names of all backends that were ever listed.
    pub names: Vec<String>,
    /// What its module has learnt.
    #[serde(default)]
    pub learnt: Learnt,
}

impl SavedState {
    /// The same in the numbers of `mine`: kinds are matched by name, and of one that the other had not there is
    /// nothing that makes sense, so that the module passes it over.
    ///
    /// # Errors
    /// Where it is no state of this proxy.
    pub fn fit(mut self, mine: &Owner) -> Result<Self, ForeignState> {
        let theirs = self.owner.replace(mine.clone()).ok_or(ForeignState::Unnamed)?;
        if theirs.proxy != mine.proxy {
            return Err(ForeignState::Proxy(theirs.proxy, mine.proxy.clone()));
        }
        if theirs.zone != mine.zone {
            return Err(ForeignState::Zone(theirs.zone, mine.zone.clone()));
        }
        let known: FxHashSet<&String> = mine.classes.iter().collect();
        if !theirs.classes.iter().any(|class| known.contains(class)) {
            return Err(ForeignState::Classes(theirs.classes));
        }
        // Settings without kinds have one, which has no name.
        let named = |kinds: &[String]| if kinds.is_empty() { vec![String::new()] } else { kinds.to_vec() };
        let theirs = named(&theirs.kinds);
        let places: Vec<_> =
            named(&mine.kinds).iter().map(|kind| theirs.iter().position(|other| other == kind)).collect();
        let unknown = LearntKind { limit: f64::NAN, growing: true, served: f64::NAN };
        let kinds = std::mem::take(&mut self.learnt.kinds);
        let kind = |place: &Option<usize>| place.and_then(|at| kinds.get(at)).unwrap_or(&unknown).clone();
        self.learnt.kinds = places.iter().map(kind).collect();
        for (_, means) in &mut self.learnt.latencies {
            let mean =
                |place: &Option<usize>| place.and_then(|at| means.get(at)).copied().unwrap_or(f64::NAN);
            *means = places.iter().map(mean).collect();
        }
        Ok(self)
    }
}
