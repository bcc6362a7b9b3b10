//! One connection to discovery: a call and what its answer holds.

use super::error::{DiscoveryError, ListSize};
use crate::body_buffer::{CollectError, collect};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The largest list in bytes; thousands of entries fit in.
const LIST_CAP: usize = 4 << 20;

/// How much of a service's reason for a refusal is read, in bytes.
const REASON_CAP: usize = 512;
/// How long the rest of a refusal may take to come behind its head.
const REASON_WITHIN: Duration = Duration::from_millis(250);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wanted {
    /// The platform's list.
    Whole,
    /// A view of it.
    View,
}

/// One connection to discovery. Dropping it closes it, whatever call is out on it.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    host: Option<HeaderValue>,
    task: JoinHandle<()>,
}

impl Connection {
    /// A new connection.
    pub(super) async fn dial(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // How it ended shows in the call that was on it.
            let _ = connection.await;
        });
        let host = HeaderValue::try_from(address.to_string()).ok();
        Some(Self { sender, host, task })
    }

    /// Waits until another call can be made on it; false where it was closed.
    pub(super) async fn is_free(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Asks for a list.
    pub(super) async fn fetch(&mut self, target: &str, wanted: Wanted) -> Result<Bytes, DiscoveryError> {
        let mut request = Request::new(Empty::new());
        *request.uri_mut() = target.parse::<Uri>().unwrap_or_default();
        if let Some(host) = &self.host {
            request.headers_mut().insert(HOST, host.clone());
        }
        let sent = self.sender.send_request(request).await;
        let response = sent.map_err(|_| DiscoveryError::Connection)?;
        match response.status() {
            StatusCode::OK => read_list(response.into_body()).await,
            status if status.is_client_error() && wanted == Wanted::View => {
                let reason = read_reason(response.into_body()).await;
                Err(DiscoveryError::Refused { status, reason })
            }
            status => Err(DiscoveryError::Status(status)),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads a list. One that is too large is not read where its length is known, else no further than what is taken.
async fn read_list(body: Incoming) -> Result<Bytes, DiscoveryError> {
    if let Some(length) = body.size_hint().exact().filter(|&length| length > LIST_CAP as u64) {
        return Err(DiscoveryError::TooLarge { size: ListSize::Exactly(length), cap: LIST_CAP });
    }
    collect(body, LIST_CAP).await.map_err(|error| match error {
        CollectError::TooLarge(cap) => DiscoveryError::TooLarge { size: ListSize::MoreThan(cap), cap },
        CollectError::Broken(_) => DiscoveryError::Connection,
    })
}

/// Reads the beginning of a service's reason for a refusal, fit for a line of the log.
async fn read_reason(mut body: Incoming) -> String {
    let mut bytes = Vec::new();
    let read = async {
        while let Some(Ok(frame)) = body.frame().await
            && bytes.len() < REASON_CAP
        {
            bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        }
    };
    // What has come until then is all there is.
    let _ = timeout(REASON_WITHIN, read).await;
    bytes.truncate(REASON_CAP);
    printable(String::from_utf8_lossy(&bytes).trim())
}

/// A text whose characters all show: what controls a terminal or begins a line is escaped.
fn printable(text: &str) -> String {
    if text.is_empty() {
        return "no reason given".to_owned();
    }
    let mut shown = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '"' | '\'' | '\\' => shown.push(character),
            other => shown.extend(other.escape_debug()),
        }
    }
    shown
}
