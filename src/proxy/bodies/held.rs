//! Bodies of requests that are held whole, and the memory that all of them together may take.

use crate::body_buffer::BodyBuffer;
use crate::proxy::BODY_CAP;
use bytes::Bytes;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The part of the memory limit that held bodies of requests may take.
const MEMORY_PART: usize = 4;

/// The memory for held bodies is in use.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("no memory is left for the bodies of requests; raise `memory_mb` or lower `sockets`")]
pub struct OutOfMemory;

/// The memory that the bodies of requests that are held whole may take together.
#[derive(Clone, Debug)]
pub struct HeldMemory {
    /// One permit for each byte.
    free: Arc<Semaphore>,
}

impl HeldMemory {
    /// A part of this memory limit, in bytes.
    #[must_use]
    pub fn within(memory: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(memory / MEMORY_PART)) }
    }

    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, OutOfMemory> {
        let permits = u32::try_from(bytes).map_err(|_| OutOfMemory)?;
        Arc::clone(&self.free).try_acquire_many_owned(permits).map_err(|_| OutOfMemory)
    }
}

/// The body of a request as it is read into memory that is reserved for it. The reservation lasts as long as the bytes.
#[derive(Debug)]
pub struct HeldBody {
    buffer: BodyBuffer,
    memory: HeldMemory,
    reserved: Option<OwnedSemaphorePermit>,
}

impl HeldBody {
    /// A body of which nothing has come.
    #[must_use]
    pub fn new(memory: HeldMemory) -> Self {
        Self { buffer: BodyBuffer::new(BODY_CAP), memory, reserved: None }
    }

    /// The number of bytes that have come.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no bytes have come.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Adds a copy of the next bytes.
    ///
    /// # Errors
    /// Where other bodies take the memory that it needs.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), OutOfMemory> {
        let growth = self.buffer.capacity_with(piece.len()) - self.buffer.capacity();
        let reserved = self.memory.reserve(growth)?;
        match &mut self.reserved {
            Some(all) => all.merge(reserved),
            None => self.reserved = Some(reserved),
        }
        self.buffer.push(piece);
        Ok(())
    }

    /// The bytes; their memory is given back once the last copy of them is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}
