//! Answers that the proxy makes itself: refusals, failures, and what is wrong with a request.

use super::bodies::{Answered, Fault};
use crate::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is answered here because the module can't be asked about it.
pub(super) enum Rejected {
    /// It is not as it should be.
    Bad(StatusCode, &'static str),
    /// It came too late for this process, or the process has its hands full; whoever asks another one after this
    /// time is served.
    Elsewhere(Micros),
    /// The same for one whose body was not read to its end: the connection can't carry another request.
    Unread(Micros),
}

impl From<Fault> for Rejected {
    fn from(fault: Fault) -> Self {
        let (status, why) = fault.status();
        Self::Bad(status, why)
    }
}

impl Rejected {
    /// The answer that says so.
    pub(super) fn response(self) -> Response<Answered> {
        let (status, why) = match self {
            Self::Bad(status, why) => (status, why),
            Self::Elsewhere(retry_after) => return refusal(retry_after),
            Self::Unread(retry_after) => {
                let mut response = refusal(retry_after);
                close(&mut response);
                return response;
            }
        };
        let mut response = plain(status, why);
        if status == StatusCode::METHOD_NOT_ALLOWED {
            response.headers_mut().insert(header::ALLOW, HeaderValue::from_static("GET, POST"));
        }
        if status == StatusCode::PAYLOAD_TOO_LARGE || status == StatusCode::REQUEST_TIMEOUT {
            close(&mut response);
        }
        response
    }
}

/// An answer of this proxy's own.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<Answered> {
    let mut response = Response::new(Answered::from(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// A refusal: trying again after this time is harmless; 0: no word on the time.
pub(super) fn refusal(retry_after: Micros) -> Response<Answered> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
    if retry_after > 0
        && let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after as f64 / 1e6))
    {
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

/// Has the answer end its connection.
pub(super) fn close(response: &mut Response<Answered>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}
