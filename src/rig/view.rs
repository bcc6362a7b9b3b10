//! A proxy's own view of the list: with `pair_relays` each proxy dials a backend through a relay of its own, so
//! each is told another `host_port` for it, as the protocol allows. One list service stays the only source: its
//! answers pass through here, on the way to one proxy, and only the addresses in them are replaced.

use super::relay::reset;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// The largest answer of the list service that is taken, in bytes.
const ANSWER_CAP: usize = 16 << 20;

/// Where a proxy dials each backend, by its id.
pub type Addresses = BTreeMap<String, SocketAddr>;

/// Starts a view on `host:0` before the list service at `list`; gives the address to dial.
///
/// # Errors
/// When it can't listen.
pub async fn start(host: IpAddr, list: SocketAddr, addresses: Addresses) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind((host, 0)).await?;
    let address = listener.local_addr()?;
    let addresses = Arc::new(addresses);
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            tokio::spawn(carry(inbound, list, Arc::clone(&addresses)));
        }
    });
    Ok(address)
}

/// Replaces the addresses of the members that this view knows.
pub fn rewrite(list: &mut Value, addresses: &Addresses) {
    let members = list.get_mut("members").and_then(Value::as_array_mut);
    for member in members.into_iter().flatten() {
        let known = member.get("id").and_then(Value::as_str).and_then(|id| addresses.get(id));
        if let Some(address) = known {
            member["host_port"] = Value::from(address.to_string());
        }
    }
}

/// Carries one connection over one of its own to the list service; the end of either is the end of both, so that
/// a proxy sees the list service's death as it is.
async fn carry(inbound: TcpStream, list: SocketAddr, addresses: Arc<Addresses>) {
    let Ok(outbound) = TcpStream::connect(list).await else { return reset(inbound) };
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let Ok((sender, connection)) = handshake(TokioIo::new(outbound)).await else { return };
    let sender = Arc::new(Mutex::new(sender));
    let service = service_fn(move |request| ask(Arc::clone(&sender), Arc::clone(&addresses), request));
    let serving = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(inbound), service);
    tokio::select! {
        _ = serving => {}
        _ = connection => {}
    }
}

/// Asks the list service what the proxy asks, and gives its answer with this view's addresses.
async fn ask(
    sender: Arc<Mutex<SendRequest<Empty<Bytes>>>>,
    addresses: Arc<Addresses>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Box<dyn Error + Send + Sync>> {
    let (head, _) = request.into_parts();
    let answer = sender.lock().await.send_request(Request::from_parts(head, Empty::new())).await?;
    let (mut head, body) = answer.into_parts();
    let body = Limited::new(body, ANSWER_CAP).collect().await?.to_bytes();
    if head.status != StatusCode::OK {
        return Ok(Response::from_parts(head, Full::new(body)));
    }
    let mut list: Value = serde_json::from_slice(&body)?;
    rewrite(&mut list, &addresses);
    // The body's new length is told by what carries it.
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, Full::new(Bytes::from(list.to_string()))))
}
