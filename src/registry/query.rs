//! The parameters of a call: `after`, `wait_ms`, `proxy` and `service`.

use super::error::QueryError;
use crate::names::{Name, ServiceSelection};
use std::time::Duration;

/// The longest a watch waits, in milliseconds; longer `wait_ms` are cut to it, as the protocol says.
pub const LONGEST_WAIT_MS: u64 = 60_000;

/// What a call asks for.
#[derive(Debug, PartialEq, Eq)]
pub struct Query {
    /// The revision that the caller has; 0 for none.
    pub after: u64,
    /// How long it waits for a newer one.
    pub wait: Duration,
    /// The list that it asks for.
    pub scope: Scope,
}

/// Which list a call asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Scope {
    /// The platform's whole list.
    Whole,
    /// A proxy's view.
    View(ViewScope),
}

/// The view that a call asks for.
#[derive(Debug, PartialEq, Eq)]
pub struct ViewScope {
    /// The proxy.
    pub proxy: Name,
    /// The services asked for.
    pub services: ServiceSelection,
}

impl Query {
    /// Reads the part of the address behind the question mark. Unknown parameters are passed over.
    ///
    /// # Errors
    /// A number that is none, a name that is none, one of `proxy` and `service` without the other, or either twice.
    pub fn parse(text: &str) -> Result<Self, QueryError> {
        let (mut after, mut wait_ms) = (0, 0);
        let mut proxy = None;
        let mut services = Vec::new();
        for pair in text.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            match name {
                "after" => after = number("after", value)?,
                "wait_ms" => wait_ms = number("wait_ms", value)?,
                "proxy" if proxy.is_some() => return Err(QueryError::ProxyTwice),
                "proxy" => proxy = Some(Name::try_from(value.to_owned())?),
                "service" => services.push(value.to_owned()),
                _ => {}
            }
        }
        let wait = Duration::from_millis(wait_ms.min(LONGEST_WAIT_MS));
        Ok(Self { after, wait, scope: Scope::of(proxy, services)? })
    }
}

impl Scope {
    fn of(proxy: Option<Name>, services: Vec<String>) -> Result<Self, QueryError> {
        let Some(proxy) = proxy else {
            return if services.is_empty() { Ok(Self::Whole) } else { Err(QueryError::ServiceAlone) };
        };
        if services.is_empty() {
            return Err(QueryError::ProxyAlone);
        }
        Ok(Self::View(ViewScope { proxy, services: ServiceSelection::try_from(services)? }))
    }
}

fn number(name: &'static str, value: &str) -> Result<u64, QueryError> {
    value.parse().map_err(|_| QueryError::NotANumber { name, value: value.to_owned() })
}
