//! Reads the configuration again on a thread of its own: what serves requests waits neither for the disk nor for a
//! large file to be parsed.

use super::config::{Config, ConfigError};
use std::future::pending;
use std::thread;
use tokio::sync::oneshot;

/// The thread's name.
const THREAD: &str = "configuration";

/// A configuration that is being read, if any is.
#[derive(Default)]
pub(super) struct Reload(Option<oneshot::Receiver<Result<Config, ConfigError>>>);

impl Reload {
    /// Whether a configuration is being read.
    pub(super) fn is_running(&self) -> bool {
        self.0.is_some()
    }

    /// Begins to read the configuration that the environment names.
    ///
    /// # Errors
    /// Where the system lets the process have no further thread.
    pub(super) fn begin(&mut self) -> Result<(), ConfigError> {
        let (told, reading) = oneshot::channel();
        let read = move || {
            // Nobody waits any more where the proxy is on its way to its end.
            let _ = told.send(Config::from_env());
        };
        thread::Builder::new().name(THREAD.to_owned()).spawn(read).map_err(ConfigError::Thread)?;
        self.0 = Some(reading);
        Ok(())
    }

    /// What was read, once that is done. Never ends where nothing is being read.
    ///
    /// # Errors
    /// Says what is missing or wrong.
    pub(super) async fn finished(&mut self) -> Result<Config, ConfigError> {
        let Some(reading) = &mut self.0 else { return pending().await };
        let read = reading.await;
        self.0 = None;
        read.map_err(|_| ConfigError::Unfinished)?
    }
}
