//! A client's request body: how long it may be waited for, and how much of it is held.

use super::PASSED_CAP;
use super::SMALL_BODY;
use super::clock::RequestClock;
use super::held::{HeldBody, HeldMemory, OutOfMemory};
use super::wait_budget::WaitBudget;
use crate::proxy::BODY_CAP;
use crate::proxy::memory::MemoryGauge;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

/// The rate that every client has to keep, in bytes a second, and how long it may pause.
const LEAST_RATE: f64 = 32_000.0;
const MOST_PAUSE: Duration = Duration::from_millis(2_500);

/// Why a client's body did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Too slow.
    Late,
    /// Too large.
    TooLarge,
    /// Cut off, or not as the protocol has it.
    Broken,
}

impl Fault {
    /// What the client is told.
    #[must_use]
    pub fn status(self) -> (StatusCode, &'static str) {
        match self {
            Self::Late => (StatusCode::REQUEST_TIMEOUT, "the body is late\n"),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n"),
            Self::Broken => (StatusCode::BAD_REQUEST, "the body is broken\n"),
        }
    }
}

/// Why a client's body was not read to the end of what is held.
#[derive(Clone, Copy, Debug, Error)]
pub enum ReadError {
    /// It did not come as it should.
    #[error("the body did not come whole: {0:?}")]
    Fault(Fault),
    /// Other bodies take the memory.
    #[error(transparent)]
    OutOfMemory(#[from] OutOfMemory),
}

/// A client's body, with a bound on how long it may be waited for. Only the time in which this side wants more
/// counts: a backend that takes the body slowly does not make the client late.
pub struct Paced {
    body: Incoming,
    budget: WaitBudget,
    sleep: Pin<Box<Sleep>>,
    pub(super) clock: Rc<RequestClock>,
    pub(super) received: u64,
}

impl Paced {
    /// A body whose first bytes may take this long. What it is waited for counts on `clock`.
    #[must_use]
    pub fn new(body: Incoming, left: Duration, clock: Rc<RequestClock>) -> Self {
        let sleep = Box::pin(sleep_until(Instant::now() + left));
        let budget = WaitBudget::new(left, LEAST_RATE, MOST_PAUSE);
        Self { body, budget, sleep, clock, received: 0 }
    }

    /// Its length, where the head tells it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.body.size_hint().exact().map(|left| left + self.received)
    }

    pub(super) fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Fault>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) else {
                self.clock.wants_more();
                let until = self.budget.runs_out();
                if self.sleep.deadline() != until {
                    self.sleep.as_mut().reset(until);
                }
                return self.sleep.as_mut().poll(cx).map(|()| Some(Err(Fault::Late)));
            };
            self.clock.has_more();
            self.budget.end_wait();
            let data = match frame {
                None => return Poll::Ready(None),
                Some(Err(_)) => return Poll::Ready(Some(Err(Fault::Broken))),
                // Trailers speak to the next hop alone.
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.received += data.len() as u64;
            self.budget.earn(data.len());
            if self.received > PASSED_CAP {
                return Poll::Ready(Some(Err(Fault::TooLarge)));
            }
            return Poll::Ready(Some(Ok(data)));
        }
    }

    /// Reads up to [`BODY_CAP`]: the whole body, or the beginning of one that has to pass through. What is read is
    /// held in `memory`.
    ///
    /// # Errors
    /// Where it does not come as it should, or there is no memory for it.
    pub async fn read(mut self, memory: HeldMemory, gauge: &MemoryGauge) -> Result<Read, ReadError> {
        if self.length().is_some_and(|length| length > PASSED_CAP) {
            return Err(ReadError::Fault(Fault::TooLarge));
        }
        if self.length().is_some_and(|length| length > BODY_CAP as u64) {
            return Ok(Read::Large(Bytes::new(), self));
        }
        let mut held = HeldBody::new(memory);
        while let Some(data) = std::future::poll_fn(|cx| self.poll_data(cx)).await {
            let data = data.map_err(ReadError::Fault)?;
            if held.len() + data.len() > SMALL_BODY && gauge.is_short() {
                return Err(OutOfMemory.into());
            }
            held.push(&data)?;
            if held.len() > BODY_CAP {
                return Ok(Read::Large(held.into_bytes(), self));
            }
        }
        Ok(Read::Whole(held.into_bytes()))
    }
}

/// What has been read of a client's body.
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// The beginning of one that has to pass through, and the rest.
    Large(Bytes, Paced),
}
