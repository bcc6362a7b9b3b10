//! A proxy's view: which services its list of backends is to hold, the `[view]` table of the TOML file.

use serde::Deserialize;
use thiserror::Error;

/// The longest name of a proxy or a service, in characters.
const LONGEST_NAME: usize = 63;
/// Stands for all services that the list service lists the proxy for.
const ALL_SERVICES: &str = "*";

/// The `[view]` table. Without it the proxy asks for the whole list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ViewConfig {
    /// The proxy's name at the list service.
    pub proxy: String,
    /// The services whose backends are asked for; `*` alone: all that the list service lists the proxy for.
    pub services: Vec<String>,
}

/// Why a `[view]` table makes no sense.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ViewError {
    /// A name that no proxy or service can have.
    #[error(
        "`{key}` of [view] has `{name}`, which is no name: write 1 to {LONGEST_NAME} characters of a-z A-Z 0-9 - _ ."
    )]
    Name {
        /// The key that has it.
        key: &'static str,
        /// The name.
        name: String,
    },
    /// No service is named.
    #[error("`services` of [view] is empty: name at least one service, or write [\"*\"] for all of them")]
    NoServices,
    /// A service is named twice.
    #[error("`services` of [view] names `{0}` twice: remove one of the two")]
    Twice(String),
    /// All services are asked for, and one more.
    #[error(
        "`services` of [view] has `*` beside other names: write [\"*\"] for all services, or only their names"
    )]
    AllAndMore,
}

impl ViewConfig {
    /// Checks what the table's shape alone does not.
    ///
    /// # Errors
    /// Says which value makes no sense and what it may be.
    pub fn check(&self) -> Result<(), ViewError> {
        check_name("proxy", &self.proxy)?;
        if self.services.is_empty() {
            return Err(ViewError::NoServices);
        }
        for (position, service) in self.services.iter().enumerate() {
            if self.services[..position].contains(service) {
                return Err(ViewError::Twice(service.clone()));
            }
        }
        if self.services.iter().any(|service| service == ALL_SERVICES) {
            return if self.services.len() == 1 { Ok(()) } else { Err(ViewError::AllAndMore) };
        }
        self.services.iter().try_for_each(|service| check_name("services", service))
    }

    /// The part of a call's query that asks for the view. Names have no character that a query would have escaped.
    #[must_use]
    pub fn query(&self) -> String {
        let services: String = self.services.iter().map(|service| format!("&service={service}")).collect();
        format!("proxy={}{services}", self.proxy)
    }
}

fn check_name(key: &'static str, name: &str) -> Result<(), ViewError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if (1..=LONGEST_NAME).contains(&name.len()) && name.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(ViewError::Name { key, name: name.to_owned() })
}
