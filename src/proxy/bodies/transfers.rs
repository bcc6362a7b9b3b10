//! How many bodies may be passed through at a time.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// What one body on its way takes: read and write buffers of both connections, and what is between them.
const TRANSFER: usize = 128 * 1024;
/// The part of the memory limit that bodies on their way may take; two processes have it twice for a while.
const MEMORY_PART: usize = 2;
const LEAST_TRANSFERS: usize = 4;

/// A permit that is being waited for.
pub(super) type Permit = Pin<Box<dyn Future<Output = Option<OwnedSemaphorePermit>>>>;

/// How many bodies may be on their way at a time. Each direction has its own, so that a request's body does not
/// wait for ever for the answer's.
#[derive(Clone, Debug)]
pub struct Transfers {
    up: Arc<Semaphore>,
    down: Arc<Semaphore>,
}

impl Transfers {
    /// As many as a part of this memory limit is for.
    #[must_use]
    pub fn within(memory: usize) -> Self {
        let each = || Arc::new(Semaphore::new((memory / MEMORY_PART / TRANSFER / 2).max(LEAST_TRANSFERS)));
        Self { up: each(), down: each() }
    }

    /// Waits until one more request's body may begin. It ends when the permit is dropped.
    pub async fn up(&self) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed.
        Arc::clone(&self.up).acquire_owned().await.ok()
    }

    /// The same for an answer's.
    #[must_use]
    pub fn down(&self) -> Permit {
        let down = Arc::clone(&self.down);
        Box::pin(async move { down.acquire_owned().await.ok() })
    }
}
