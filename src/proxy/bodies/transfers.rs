//! How many bodies may be passed through at a time.

use crate::proxy::memory::MemoryGauge;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

/// The bytes that one body on its way takes: read and write buffers of both connections, and what is between them.
const TRANSFER: usize = 128 * 1024;
/// The part of the memory limit that bodies on their way may take; two processes have it twice for a while.
const MEMORY_PART: usize = 2;
const LEAST_TRANSFERS: usize = 4;

/// Counts a body on its way until it is dropped.
pub type Permit = OwnedSemaphorePermit;

/// How many bodies may be on their way at a time. Each direction has its own, so that the bodies of requests don't
/// keep answers from getting through.
#[derive(Clone, Debug)]
pub struct Transfers {
    up: Arc<Semaphore>,
    down: Arc<Semaphore>,
    memory: Rc<MemoryGauge>,
}

impl Transfers {
    /// As many as a part of this memory limit is for.
    #[must_use]
    pub fn within(memory: usize) -> Self {
        let each = || Arc::new(Semaphore::new((memory / MEMORY_PART / TRANSFER / 2).max(LEAST_TRANSFERS)));
        Self { up: each(), down: each(), memory: MemoryGauge::within(memory) }
    }

    /// The memory that they take with all else.
    #[must_use]
    pub fn memory(&self) -> &Rc<MemoryGauge> {
        &self.memory
    }

    /// Waits until one more request's body may begin; `None` where none may by then.
    pub async fn up(&self, until: Instant) -> Option<Permit> {
        acquire(&self.up, until).await
    }

    /// The same for an answer's, which also waits while memory is short.
    pub async fn down(&self, until: Instant) -> Option<Permit> {
        timeout_at(until, self.memory.enough()).await.ok()?;
        acquire(&self.down, until).await
    }
}

/// Those that pass through do so at their peers' pace, which may take minutes: no request waits for them longer than
/// its own time allows.
async fn acquire(permits: &Arc<Semaphore>, until: Instant) -> Option<Permit> {
    let acquired = timeout_at(until, Arc::clone(permits).acquire_owned()).await;
    // The semaphore is never closed.
    acquired.ok()?.ok()
}
