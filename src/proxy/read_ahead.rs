//! What a client has sent behind its request, read while that is in work.
//!
//! A client's close comes behind all that it has sent. Left in the kernel's buffers, more than the receive window hides the
//! close for as long as the request takes, and requests of a client that has gone are sent on.

use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use tokio::io::ReadBuf;

/// The most that is read ahead of one connection, in bytes: what a client's own kernel takes of it at once.
const CAP: usize = 2 << 20;
/// How much is read at a time, in bytes.
pub const CHUNK: usize = 16 * 1024;

/// Bytes that were read before they were wanted.
#[derive(Debug, Default)]
pub struct ReadAhead {
    chunks: VecDeque<Bytes>,
    len: usize,
}

impl ReadAhead {
    /// Whether one more chunk may be read.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.len + CHUNK <= CAP
    }

    /// Whether nothing is there.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a copy of the next bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.len += bytes.len();
        self.chunks.push_back(Bytes::copy_from_slice(bytes));
    }

    /// Moves what there is and what there is room for into a reader's buffer; how many bytes.
    pub fn take(&mut self, buffer: &mut ReadBuf<'_>) -> usize {
        let mut taken = 0;
        while let Some(chunk) = self.chunks.front_mut() {
            let part = chunk.len().min(buffer.remaining());
            buffer.put_slice(&chunk[..part]);
            chunk.advance(part);
            taken += part;
            if !chunk.is_empty() {
                break;
            }
            self.chunks.pop_front();
        }
        self.len -= taken;
        taken
    }
}
