//! The buffer that bodies are collected in: its memory follows from their length, however small their pieces are.

use bytes::Bytes;
use haventrack::body_buffer::{BodyBuffer, CollectError, collect};
use hyper::body::{Body, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The largest body that the proxy holds whole, in bytes.
const CAP: usize = 64 * 1024;

/// A body that comes in pieces of one byte.
struct SingleBytes {
    left: usize,
}

impl Body for SingleBytes {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let left = self.left.checked_sub(1);
        self.left = left.unwrap_or_default();
        Poll::Ready(left.map(|_| Ok(Frame::data(Bytes::from_static(b"x")))))
    }
}

/// Guards against review/2: a piece of one byte took 32 bytes and more.
#[test]
fn pieces_of_one_byte_take_no_more_memory_than_twice_their_bytes() {
    let mut buffer = BodyBuffer::new(CAP);
    for length in 1..=CAP {
        let foretold = buffer.capacity_with(1);
        buffer.push(b"x");
        assert_eq!(buffer.capacity(), foretold, "what is reserved for {length} bytes is what they take");
        assert!(buffer.capacity() <= (2 * length).max(256), "{} for {length} bytes", buffer.capacity());
    }
    assert_eq!(buffer.capacity(), CAP, "a body at the cap takes the cap");
}

#[test]
fn a_piece_beyond_the_cap_is_kept_without_room_for_more() {
    let mut buffer = BodyBuffer::new(CAP);
    buffer.push(&[b'x'; 40_000]);
    buffer.push(&[b'y'; 40_000]);
    assert_eq!((buffer.len(), buffer.capacity()), (80_000, 80_000));
    assert_eq!(buffer.as_ref(), [[b'x'; 40_000], [b'y'; 40_000]].concat());
}

#[tokio::test]
async fn a_body_is_collected_up_to_the_most_that_is_taken() {
    let whole = collect(SingleBytes { left: CAP }, CAP).await.expect("it fits");
    assert_eq!(whole, vec![b'x'; CAP]);
    let refused = collect(SingleBytes { left: CAP + 1 }, CAP).await;
    assert!(matches!(refused, Err(CollectError::TooLarge(CAP))), "{refused:?}");
    assert!(collect(SingleBytes { left: 0 }, CAP).await.expect("it is empty").is_empty());
}
