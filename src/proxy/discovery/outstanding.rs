//! A call that was not answered in time and is left open, because it may still have its turn.
//!
//! A service that many proxies ask answers their calls in turn, and each costs it the same whether or not its caller
//! still waits. Where the queue is longer than callers wait, a service whose callers close and ask again spends its
//! turns on calls that nobody waits for any more. So the call stays open beside the one that follows it, and whichever
//! is answered first counts.

use super::connection::Connection;
use super::error::DiscoveryError;
use bytes::Bytes;
use std::future::{Future, pending};
use std::pin::Pin;

/// The body of an answer, and the connection that it came on.
pub(super) type Answer = (Connection, Bytes);

/// A call on its way. Dropping it closes its connection.
pub(super) type PendingCall = Pin<Box<dyn Future<Output = Result<Answer, DiscoveryError>>>>;

/// The last call that was not answered in time, if it is still open.
#[derive(Default)]
pub(super) struct OutstandingCall(Option<PendingCall>);

impl OutstandingCall {
    /// Leaves a call open, in place of an older one.
    pub(super) fn keep(&mut self, call: PendingCall) {
        self.0 = Some(call);
    }

    /// Goes on with `older` unless a call has been kept since.
    pub(super) fn or_else(&mut self, older: Self) {
        if self.0.is_none() {
            *self = older;
        }
    }

    /// Its answer. A call that fails is forgotten: the calls that follow it make up for it.
    pub(super) async fn answered(&mut self) -> Answer {
        if let Some(call) = &mut self.0 {
            let result = call.await;
            self.0 = None;
            if let Ok(answer) = result {
                return answer;
            }
        }
        pending().await
    }
}
