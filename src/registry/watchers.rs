//! Whom a change wakes: the watches of the whole list, and those of each proxy's view.

use super::query::Scope;
use super::store::{News, Store};
use crate::names::Name;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use tokio::sync::watch;

/// The waiting watches, by what they wait for.
#[derive(Debug, Default)]
pub struct Watchers {
    whole: watch::Sender<()>,
    /// Of the proxies that have asked for their views.
    proxies: Mutex<HashMap<Name, watch::Sender<()>>>,
}

impl Watchers {
    /// Hears of each change of what a call asks for. The file has the proxy.
    pub fn subscribe(&self, scope: &Scope) -> watch::Receiver<()> {
        match scope {
            Scope::Whole => self.whole.subscribe(),
            Scope::View(view) => self.proxies().entry(view.proxy.clone()).or_default().subscribe(),
        }
    }

    /// Wakes the watches that these changes are news for; the store is in force already.
    pub fn wake(&self, news: &News, store: &Store) {
        if news.whole_changed {
            self.whole.send_replace(());
        }
        let mut proxies = self.proxies();
        for name in &news.touched {
            if !store.has_proxy(name) {
                // Its watches hear that the sender is gone.
                proxies.remove(name);
            } else if let Some(watches) = proxies.get(name) {
                watches.send_replace(());
            }
        }
    }

    fn proxies(&self) -> MutexGuard<'_, HashMap<Name, watch::Sender<()>>> {
        self.proxies.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
