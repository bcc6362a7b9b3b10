//! A request's body on its way to a backend.

use super::client::{Fault, Paced};
use super::clock::RequestClock;
use super::transfers::Permit;
use crate::api::RequestId;
use crate::proxy::driver::{Handle, Message};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A request's body that passes through to a backend. It can be sent once.
pub struct Upload {
    request: RequestId,
    handle: Handle,
    length: Option<u64>,
    clock: Rc<RequestClock>,
    source: RefCell<Option<(Bytes, Paced)>>,
    /// How many bytes went out, once all have.
    sent: Cell<Option<u64>>,
    fault: Cell<Option<Fault>>,
    _permit: Permit,
}

impl std::fmt::Debug for Upload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Upload").field("request", &self.request).finish_non_exhaustive()
    }
}

impl Upload {
    /// A body of which this much has been read.
    #[must_use]
    pub fn new(request: RequestId, handle: Handle, begun: Bytes, rest: Paced, permit: Permit) -> Rc<Self> {
        Rc::new(Self {
            request,
            handle,
            length: rest.length(),
            clock: Rc::clone(&rest.clock),
            source: RefCell::new(Some((begun, rest))),
            sent: Cell::new(None),
            fault: Cell::new(None),
            _permit: permit,
        })
    }

    /// Its length, where the head told it.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether any of it may have gone out.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        self.source.borrow().is_none()
    }

    /// What was wrong with it on the client's side.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// How many bytes it had, once all have gone out.
    #[must_use]
    pub fn sent(&self) -> Option<u64> {
        self.sent.get()
    }

    fn finish(&self, bytes: u64) {
        if self.sent.get().is_none() {
            self.sent.set(Some(bytes));
            self.handle.tell(Message::Uploaded(self.request));
        }
    }

    /// The clock of its request.
    #[must_use]
    pub fn clock(&self) -> &RequestClock {
        &self.clock
    }
}

/// A request's body on its way to a backend.
pub enum Outgoing {
    /// One that is held whole.
    Whole(Full<Bytes>),
    /// One that passes through.
    Through(Rc<Upload>, Bytes, Paced),
}

impl Outgoing {
    /// The body for an attempt; `None` where it was sent before.
    #[must_use]
    pub fn of(whole: &Bytes, upload: Option<&Rc<Upload>>) -> Option<Self> {
        let Some(upload) = upload else { return Some(Self::Whole(Full::new(whole.clone()))) };
        let (begun, rest) = upload.source.borrow_mut().take()?;
        Some(Self::Through(Rc::clone(upload), begun, rest))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let (upload, begun, rest) = match &mut *self {
            Self::Whole(body) => return Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Self::Through(upload, begun, rest) => (upload, begun, rest),
        };
        if !begun.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(mem::take(begun)))));
        }
        rest.poll_data(cx).map(|data| match data {
            Some(Ok(data)) => {
                // Where the length is known, nobody asks what comes after it.
                if upload.length == Some(rest.received) {
                    upload.finish(rest.received);
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(fault)) => {
                upload.fault.set(Some(fault));
                Some(Err(io::Error::other("the client's body did not come whole")))
            }
            None => {
                upload.finish(rest.received);
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            // Its end has to be seen, for the time of the request counts from there.
            Self::Through(..) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Through(upload, ..) => upload.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
