//! The beginning of a backend's answer: held whole, or found too large for that.

use super::SMALL_BODY;
use crate::body_buffer::BodyBuffer;
use crate::proxy::BODY_CAP;
use crate::proxy::memory::MemoryGauge;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// What has come of a backend's answer when it is passed on.
pub enum Begun {
    /// All of it.
    Whole(Bytes),
    /// The beginning of one that has to pass through, and the rest.
    Large(Bytes, Incoming),
}

/// How long before the end of its request's time an answer of unknown length passes through: its head has to be written
/// and to travel.
const PASS_MARGIN: Duration = Duration::from_millis(40);

async fn next_frame(
    body: &mut Incoming,
    held: usize,
    memory: &MemoryGauge,
) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    if held > SMALL_BODY {
        memory.enough().await;
    }
    body.frame().await
}

/// Reads an answer's body up to [`BODY_CAP`]. One of unknown length that takes longer than `patience`, or that is still
/// coming as its request's time ends at `due`, passes through as well, for it may be a large one that comes slowly.
/// While memory is short no more of it is read than a small body has.
///
/// # Errors
/// Where the body breaks off.
pub async fn begin(
    mut body: Incoming,
    patience: Duration,
    due: Instant,
    memory: &MemoryGauge,
) -> Result<Begun, hyper::Error> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > BODY_CAP as u64) {
        return Ok(Begun::Large(Bytes::new(), body));
    }
    let mut held = BodyBuffer::new(BODY_CAP);
    let now = Instant::now();
    let until = (now + patience).min(due.checked_sub(PASS_MARGIN).unwrap_or(due));
    loop {
        let frame = tokio::select! {
            biased;
            frame = next_frame(&mut body, held.len(), memory) => frame,
            () = sleep_until(until), if length.is_none() && !held.is_empty() => {
                return Ok(Begun::Large(held.into(), body));
            }
        };
        let Some(frame) = frame else { return Ok(Begun::Whole(held.into())) };
        if let Ok(data) = frame?.into_data() {
            held.push(&data);
        }
        if held.len() > BODY_CAP {
            return Ok(Begun::Large(held.into(), body));
        }
    }
}
