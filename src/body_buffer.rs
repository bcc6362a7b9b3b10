//! The body of a message as it is read, in one contiguous buffer.
//!
//! The sender chooses the size of the pieces in which a body comes. Kept as separate pieces, a body in chunks of one byte
//! takes many times its length: the handle of each piece and the read buffer that the piece is a part of. Copied into one
//! buffer, its memory follows from its length alone.

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;
use thiserror::Error;

/// The smallest capacity of a buffer that holds anything, in bytes.
const LEAST_CAPACITY: usize = 256;

/// Why a body was not collected.
#[derive(Debug, Error)]
pub enum CollectError<E> {
    /// It is larger than the caller takes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// It did not come whole.
    #[error("the body did not come whole: {0}")]
    Broken(E),
}

/// The bytes of a body that have come so far.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    doubles_up_to: usize,
}

impl BodyBuffer {
    /// An empty buffer. Its capacity doubles up to `doubles_up_to` bytes; beyond that it is what the bytes need.
    #[must_use]
    pub fn new(doubles_up_to: usize) -> Self {
        Self { bytes: Vec::new(), doubles_up_to }
    }

    /// The number of bytes in it.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes have come.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The memory that it takes, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// The memory that it takes once so many more bytes have come.
    #[must_use]
    pub fn capacity_with(&self, more: usize) -> usize {
        let (needed, capacity) = (self.len() + more, self.capacity());
        if needed <= capacity {
            return capacity;
        }
        needed.max((2 * capacity).max(LEAST_CAPACITY).min(self.doubles_up_to))
    }

    /// Adds a copy of the next bytes.
    pub fn push(&mut self, piece: &[u8]) {
        let capacity = self.capacity_with(piece.len());
        self.bytes.reserve_exact(capacity - self.len());
        self.bytes.extend_from_slice(piece);
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<BodyBuffer> for Bytes {
    fn from(buffer: BodyBuffer) -> Self {
        buffer.bytes.into()
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
/// Where it is larger, or does not come whole.
pub async fn collect<B: Body>(body: B, most: usize) -> Result<Bytes, CollectError<B::Error>> {
    let mut body = pin!(body);
    let mut buffer = BodyBuffer::new(most);
    while let Some(frame) = body.frame().await {
        // Trailers speak to the next hop alone.
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else { continue };
        if buffer.len() + data.remaining() > most {
            return Err(CollectError::TooLarge(most));
        }
        push_all(&mut buffer, data);
    }
    Ok(buffer.into())
}

fn push_all(buffer: &mut BodyBuffer, mut data: impl Buf) {
    while data.has_remaining() {
        let piece = data.chunk();
        let length = piece.len();
        buffer.push(piece);
        data.advance(length);
    }
}
