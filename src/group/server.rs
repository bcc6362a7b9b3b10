//! The calls that a machine answers to its peers and to operators.

use super::copies::{COPY_CAP, Copied};
use super::node::Node;
use super::peers::{
    BODY_CAP, FORMAT, FORMAT_HEADER, GROUP_HEADER, Hello, IDENTITY_HEADER, NODE_HEADER, Refusal,
    SNAPSHOT_CAP, START_HEADER, TO_HEADER, decode, encode, hex, start_of,
};
use super::propose::Question;
use super::types::{Meta, Snapshot, Types, Vote};
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderMap, header};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{AppendHeaders, IntoResponse, Response};
use axum::routing::{get, post};
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse, VoteRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Peers' calls at a time; with [`BODY_CAP`] what they can cost.
pub(super) const CALLERS: usize = 64;
/// How long a call may take, its body included.
const CALL_WITHIN: Duration = Duration::from_secs(10);

type Shared = State<Arc<Node>>;

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        (self.status(), [(header::CONTENT_TYPE, "application/json")], body).into_response()
    }
}

/// What a machine answers: its peers' calls, and two questions that anybody may ask.
pub(super) fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/group/append", post(append))
        .route("/group/vote", post(vote))
        .route("/group/snapshot", post(snapshot).layer(DefaultBodyLimit::max(SNAPSHOT_CAP)))
        .route("/group/propose", post(propose))
        .route("/group/read", post(read))
        .route("/group/hello", post(hello))
        .route("/group/keep", post(keep).layer(DefaultBodyLimit::max(COPY_CAP)))
        .route("/group/kept", post(kept))
        .layer(DefaultBodyLimit::max(BODY_CAP))
        .route_layer(from_fn_with_state(Arc::clone(&node), admitted))
        .route("/group/identity", get(identity))
        .route("/group/status", get(status))
        .with_state(node)
}

/// Bounds the calls in their number and time, and refuses strangers before their bodies are read.
async fn admitted(State(node): Shared, request: Request, next: Next) -> Result<Response, Refusal> {
    let _permit = node.callers.try_acquire().map_err(|_| Refusal::Busy)?;
    admit(&node, request.headers()).await?;
    timeout(CALL_WITHIN, next.run(request)).await.map_err(|_| Refusal::Busy)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Lets only calls in that are a member's or a configured peer's, and meant for this machine.
async fn admit(node: &Node, headers: &HeaderMap) -> Result<(), Refusal> {
    let text = |name| text(headers, name);
    let (format, group, caller) = (text(FORMAT_HEADER), text(GROUP_HEADER), text(NODE_HEADER));
    let mine = &node.peers.mine;
    if format != FORMAT.to_string() {
        return Err(Refusal::OtherFormat { here: FORMAT, caller: format.to_owned() });
    }
    if group != mine.group {
        return Err(Refusal::OtherGroup { here: mine.group.clone(), caller: group.to_owned() });
    }
    let identity = u64::from_str_radix(text(IDENTITY_HEADER), 16);
    let identity = identity.map_err(|error| Refusal::Malformed(format!("{IDENTITY_HEADER}: {error}")))?;
    node.verify(caller, identity, start_of(headers)).await?;
    let to = text(TO_HEADER);
    if !to.is_empty() && to != hex(mine.identity) {
        return Err(Refusal::NotMe { wanted: to.to_owned(), here: hex(mine.identity) });
    }
    Ok(())
}

fn question<T: DeserializeOwned>(body: &Bytes) -> Result<T, Refusal> {
    decode(body).map_err(|error| Refusal::Malformed(error.to_string()))
}

fn answer<T: Serialize, E: ToString>(done: Result<T, E>) -> Result<Vec<u8>, Refusal> {
    let value = done.map_err(|error| Refusal::Stopped(error.to_string()))?;
    encode(&value).map_err(|error| Refusal::Stopped(error.to_string()))
}

async fn append(State(node): Shared, body: Bytes) -> Result<Vec<u8>, Refusal> {
    let entries: AppendEntriesRequest<Types> = question(&body)?;
    // The leader's word counts when it comes, not once a slow disk has its entries.
    if entries.vote >= node.raft.metrics().borrow().vote {
        node.patience.heard();
    }
    let done = node.raft.append_entries(entries).await;
    if done.as_ref().is_ok_and(|done| !matches!(done, AppendEntriesResponse::HigherVote(_))) {
        node.patience.heard();
    }
    answer(done)
}

async fn vote(State(node): Shared, body: Bytes) -> Result<Vec<u8>, Refusal> {
    let asked: VoteRequest<u64> = question(&body)?;
    if asked.last_log_id >= node.disk.last() && asked.vote > node.raft.metrics().borrow().vote {
        node.patience.let_stand();
    }
    let done = node.raft.vote(asked).await;
    if done.as_ref().is_ok_and(|done| done.vote_granted) {
        node.patience.let_stand();
    }
    answer(done)
}

async fn snapshot(State(node): Shared, body: Bytes) -> Result<Vec<u8>, Refusal> {
    let (vote, meta, bytes): (Vote, Meta, Vec<u8>) = question(&body)?;
    let snapshot = Snapshot { meta, snapshot: Box::new(bytes) };
    let done = node.raft.install_full_snapshot(vote, snapshot).await;
    node.patience.heard();
    answer(done)
}

async fn propose(State(node): Shared, body: Bytes) -> Result<Vec<u8>, Refusal> {
    let asked: Question = question(&body)?;
    answer::<_, Refusal>(Ok(node.lead(asked).await?))
}

async fn read(State(node): Shared) -> Result<Vec<u8>, Refusal> {
    answer::<_, Refusal>(Ok(node.confirmed().await?))
}

/// The header that says which start of this machine answers.
fn start_header(node: &Node) -> Option<AppendHeaders<[(&'static str, String); 1]>> {
    node.peers.mine.start.map(|start| AppendHeaders([(START_HEADER, hex(start))]))
}

async fn hello(State(node): Shared) -> Result<impl IntoResponse, Refusal> {
    let voters = node.config.voter_names().into_iter().collect();
    let hello = Hello { identity: node.peers.mine.identity, fresh: node.disk.is_fresh(), voters };
    Ok((start_header(&node), answer::<_, Refusal>(Ok(hello))?))
}

/// Keeps the caller's copy of what it has learnt.
async fn keep(State(node): Shared, headers: HeaderMap, body: Bytes) -> Result<Vec<u8>, Refusal> {
    let copy: Copied = question(&body)?;
    node.kept.keep(text(&headers, NODE_HEADER), copy);
    answer::<_, Refusal>(Ok(()))
}

/// Gives the caller the copy that it made itself, if there is one.
async fn kept(State(node): Shared, headers: HeaderMap) -> Result<Vec<u8>, Refusal> {
    answer::<_, Refusal>(Ok(node.kept.of(text(&headers, NODE_HEADER))))
}

async fn identity(State(node): Shared) -> impl IntoResponse {
    (start_header(&node), hex(node.peers.mine.identity))
}

async fn status(State(node): Shared) -> impl IntoResponse {
    let body = serde_json::to_vec_pretty(&node.report()).unwrap_or_default();
    ([(header::CONTENT_TYPE, "application/json")], body)
}
