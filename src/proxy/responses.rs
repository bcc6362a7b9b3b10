//! Answers that the proxy makes itself: refusals, failures, and what is wrong with a request.

use super::bodies::{Answered, Fault};
use super::event_log::{self, Event, RefusalReason};
use crate::api::Micros;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};

/// A request that is answered here because the module can't be asked about it.
pub(super) enum Rejected {
    /// It is not as it should be.
    Bad(StatusCode, &'static str),
    /// This process can't take it; whoever asks another one after this time is served.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// The time; 0: no word on it.
        retry_after: Micros,
        /// Whether its body was read to its end: else the connection can't carry another request.
        is_read: bool,
    },
}

impl From<Fault> for Rejected {
    fn from(fault: Fault) -> Self {
        let (status, why) = fault.status();
        Self::Bad(status, why)
    }
}

impl Rejected {
    /// The answer that says so to the request with this id.
    pub(super) fn response(self, id: Option<&str>) -> Response<Answered> {
        match self {
            Self::Bad(status, why) => {
                event_log::record(&Event::Rejected { id, status: status.as_u16(), reason: why });
                Self::bad(status, why)
            }
            Self::Refused { reason, retry_after, is_read } => {
                event_log::record(&Event::Refused { id, reason });
                let mut response = refusal(retry_after);
                if !is_read {
                    close(&mut response);
                }
                response
            }
        }
    }

    fn bad(status: StatusCode, why: &'static str) -> Response<Answered> {
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
