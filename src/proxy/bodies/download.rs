//! An answer's body on its way to a client.

use super::PASSED_CAP;
use super::transfers::{Permit, Transfers};
use super::wait_budget::WaitBudget;
use crate::proxy::BODY_CAP;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::io;
use std::mem;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// How long a backend may pause in the middle of a large answer once its request's time has ended. Of an answer over
/// [`BODY_CAP`] only the first bytes are timed, and what a backend still gives is not cut off; of any other, the last
/// byte is.
const ANSWER_PAUSE: Duration = Duration::from_secs(3);
/// How long after its time an answer may become a large one: what has not ended half a second after it is lost.
const LATE_BY: Duration = Duration::from_millis(300);
/// An answer of unknown length that has this many bytes may be a large one that its backend writes slowly: it goes on
/// while the backend keeps this rate, in bytes a second, with no pause longer than [`GIVING_PAUSE`].
const MAYBE_LARGE: u64 = 8 * 1024;
const GIVING_RATE: f64 = 16_000.0;
const GIVING_PAUSE: Duration = Duration::from_millis(500);
/// The rate below which a large answer of unknown length never ends, in bytes a second. Its pauses are those of other
/// large ones.
const ENDLESS_RATE: f64 = 1_000.0;

/// How long the backend of an answer without a length may be waited for.
fn budget(is_large: bool) -> WaitBudget {
    let (rate, pause) = if is_large { (ENDLESS_RATE, ANSWER_PAUSE) } else { (GIVING_RATE, GIVING_PAUSE) };
    WaitBudget::new(pause, rate, pause)
}

/// An answer's body that passes through to a client. What it holds on to is given back at its end.
pub struct Download {
    begun: Bytes,
    rest: Incoming,
    left: Option<u64>,
    received: u64,
    is_large: bool,
    /// When the request's time ends.
    until: Instant,
    /// How long the backend may be waited for. What came last may be on its way to the client however long that takes
    /// it.
    budget: WaitBudget,
    late: Pin<Box<Sleep>>,
    at_end: Option<Box<dyn FnOnce()>>,
    transfers: Transfers,
    permit: Option<Permit>,
}

impl std::fmt::Debug for Download {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Download").field("left", &self.left).finish_non_exhaustive()
    }
}

impl Download {
    /// A body of which this much has been read, of a request whose time ends at `until`. It is one of these transfers
    /// from [`Download::admit`] on. `at_end` is called once all of it has come.
    #[must_use]
    pub fn new(
        begun: Bytes,
        rest: Incoming,
        until: Instant,
        transfers: Transfers,
        at_end: Box<dyn FnOnce()>,
    ) -> Self {
        let received = begun.len() as u64;
        let left = rest.size_hint().exact().map(|left| left + received);
        let is_large = left.unwrap_or(received) > BODY_CAP as u64;
        Self {
            begun,
            rest,
            left,
            received,
            is_large,
            until,
            budget: budget(is_large),
            late: Box::pin(sleep_until(until)),
            at_end: Some(at_end),
            transfers,
            permit: None,
        }
    }

    /// Waits until it may be passed on, while none of it has been: no server's slot is held any more. False where the
    /// request's time ends before that.
    pub async fn admit(&mut self) -> bool {
        self.permit = self.transfers.down(self.until).await;
        self.permit.is_some()
    }

    fn finish(&mut self) {
        self.permit = None;
        if let Some(at_end) = self.at_end.take() {
            at_end();
        }
    }

    /// When an answer of which no more comes has broken off.
    fn due(&mut self) -> Instant {
        let (waits_since, runs_out) = (self.budget.begin_wait(), self.budget.runs_out());
        let is_sized = self.left.is_some();
        match self.is_large {
            true if is_sized => self.until.max(waits_since + ANSWER_PAUSE),
            true => self.until.max(runs_out),
            false if is_sized || self.received < MAYBE_LARGE => self.until + LATE_BY,
            false => runs_out.max(self.until + LATE_BY),
        }
    }

    /// So many bytes have come.
    fn count(&mut self, bytes: usize) {
        self.received += bytes as u64;
        self.budget.earn(bytes);
        if !self.is_large && self.received > BODY_CAP as u64 {
            self.is_large = true;
            self.budget = budget(true);
        }
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, io::Error>>> {
        if !self.begun.is_empty() {
            return Poll::Ready(Some(Ok(mem::take(&mut self.begun))));
        }
        loop {
            let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
                let due = self.due();
                if self.late.deadline() != due {
                    self.late.as_mut().reset(due);
                }
                return self.late.as_mut().poll(cx).map(|()| Some(Err(io::ErrorKind::TimedOut.into())));
            };
            self.budget.end_wait();
            match frame {
                None => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => return Poll::Ready(Some(Err(io::Error::other(error)))),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.count(data.len());
                        // One that tells no length may have no end.
                        if self.left.is_none() && self.received > PASSED_CAP {
                            return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }
}

/// An answer's body on its way to a client.
#[derive(Debug)]
pub enum Answered {
    /// One that is held whole.
    Whole(Full<Bytes>),
    /// One that passes through.
    Through(Box<Download>),
}

impl From<Bytes> for Answered {
    fn from(body: Bytes) -> Self {
        Self::Whole(Full::new(body))
    }
}

impl Body for Answered {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Self::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Through(download) => {
                let polled = download.poll_data(cx);
                if let (Poll::Ready(Some(Ok(data))), Some(left)) = (&polled, &mut download.left) {
                    *left = left.saturating_sub(data.len() as u64);
                    // Where the length is known, nobody asks what comes after it.
                    if *left == 0 {
                        download.finish();
                    }
                }
                polled.map_ok(Frame::data)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Through(download) => download.left == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Through(download) => download.left.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
