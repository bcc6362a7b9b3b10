//! The head of a client's request: what it asks for, whether it is as the settings in force have it, and what of it
//! goes on to a backend.

use super::config::Names;
use super::responses::Rejected;
use super::tenants::TenantNames;
use crate::api::{ClassNumber, Effect, Micros, Request, RequestId, Settings};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::Hasher;
use std::sync::Arc;

/// How long a client that comes as this process ends stays away: the front knows of the end by then.
const ELSEWHERE: Micros = 100_000;
/// A time left beyond this makes no sense.
const MOST_TIME_LEFT_MS: u64 = 3_600_000;

/// The header that names a request.
const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const REPEAT: HeaderName = HeaderName::from_static("x-repeat");
const WEIGHT_HINT: HeaderName = HeaderName::from_static("x-weight-hint");

/// A class as requests name it.
#[derive(Clone)]
struct Class {
    number: ClassNumber,
    deadline: Micros,
    effect: Effect,
    method: Method,
}

/// What the settings in force name.
pub(super) struct Table {
    classes: FxHashMap<String, Class>,
    tenants: Arc<TenantNames>,
    /// The longest deadline of a class.
    pub(super) longest: Micros,
    /// What a client is told that can't be taken here: another proxy may serve it as soon as it asks there.
    /// 0: the settings allow no word.
    pub(super) retry_after: Micros,
}

/// What an attempt takes beside the head itself, in bytes: the read buffer of its connection.
const ATTEMPT_MEMORY: usize = 8 * 1024;

/// The memory that a request takes from its head to its answer, in bytes: an attempt copies its headers twice.
pub(super) fn head_memory(headers: &HeaderMap) -> usize {
    let fields = headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    ATTEMPT_MEMORY + 2 * fields.sum::<usize>()
}

/// The id of a request, where its head has one.
pub(super) fn correlation_id(headers: &HeaderMap) -> Option<&str> {
    headers.get(CORRELATION_ID).and_then(|id| id.to_str().ok())
}

impl Table {
    /// The table of these settings; `numbers` are those of the classes, in the settings' order.
    pub(super) fn new(settings: &Settings, names: &Names, numbers: &[ClassNumber]) -> Self {
        let class = |c: &crate::api::Class, number| Class {
            number,
            deadline: c.deadline,
            effect: c.effect,
            method: if c.effect == Effect::Safe { Method::GET } else { Method::POST },
        };
        let classes = settings.classes.iter().zip(numbers).map(|(c, &n)| (c.name.clone(), class(c, n)));
        Self {
            classes: classes.collect(),
            tenants: Arc::clone(&names.tenants),
            longest: settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
            retry_after: settings.permissions.retry_after.map_or(0, |most| most.min(ELSEWHERE)),
        }
    }

    /// The request that a head describes, as the module is told of it.
    ///
    /// # Errors
    /// Says what is missing or wrong.
    pub(super) fn request(&self, id: RequestId, head: &Parts) -> Result<(Request, Effect), Rejected> {
        let bad = |why| Rejected::Bad(StatusCode::BAD_REQUEST, why);
        let text = |name| head.headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
        let in_path = head.uri.path().split('/').nth(1).unwrap_or_default();
        let class = self.classes.get(in_path).ok_or(bad("unknown class\n"))?;
        if head.headers.contains_key(SERVICE_CLASS) && text(SERVICE_CLASS) != Some(in_path) {
            return Err(bad("the class of the header is not that of the path\n"));
        }
        if head.method != class.method {
            return Err(Rejected::Bad(StatusCode::METHOD_NOT_ALLOWED, "not the method of this class\n"));
        }
        // Without its key a repeat would not be dropped.
        if matches!(class.effect, Effect::Keyed { .. }) && text(IDEMPOTENCY_KEY).is_none_or(str::is_empty) {
            return Err(bad("Idempotency-Key is missing\n"));
        }
        if correlation_id(&head.headers).is_none_or(str::is_empty) {
            return Err(bad("X-Correlation-Id is missing\n"));
        }
        let tenant = match text(ACCOUNT) {
            _ if self.tenants.is_empty() => 0,
            account => account.and_then(|a| self.tenants.find(a)).ok_or(bad("unknown account\n"))?,
        };
        let time_left = text(TIME_LEFT).and_then(|v| v.trim().parse::<u64>().ok());
        let time_left = time_left.filter(|&ms| ms <= MOST_TIME_LEFT_MS);
        let patience = time_left.ok_or(bad("X-Time-Left-Ms is missing or makes no sense\n"))? * 1_000;
        let request = Request {
            id,
            class: class.number,
            tenant,
            key: head.uri.query().and_then(key),
            patience: patience.min(class.deadline),
            work: text(WEIGHT_HINT).and_then(|v| v.trim().parse().ok()),
            repeat: text(REPEAT) == Some("1"),
            upload: false,
        };
        Ok((request, class.effect))
    }
}

/// The headers that go on: all but those that speak of this one connection or of the message's framing.
pub(super) fn forwarded(mut headers: HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    let named: Vec<HeaderName> =
        named.flat_map(|v| v.split(',')).filter_map(|name| name.trim().parse().ok()).collect();
    for name in named.iter().filter(|name| **name != CORRELATION_ID && **name != IDEMPOTENCY_KEY) {
        headers.remove(name);
    }
    let hop = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in hop {
        headers.remove(name);
    }
    headers
}

/// What a request is about, as a number.
fn key(query: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == "key")?;
    u64::from_str_radix(value, 16).ok().or_else(|| {
        let mut hasher = FxHasher::default();
        hasher.write(value.as_bytes());
        Some(hasher.finish())
    })
}

/// Path and query: what a backend is asked for, also where the client named the host in its first line.
pub(super) fn origin_form(target: Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map_or(target, Uri::from)
}
