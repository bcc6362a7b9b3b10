//! A proxy's view: which services its list of backends is to hold, the `[view]` table of the TOML file.

use crate::names::{ALL_SERVICES, Name, ServiceSelection};
use serde::Deserialize;
use thiserror::Error;

/// The `[view]` table. Without it the proxy asks for the whole list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ViewConfig {
    /// The proxy's name at the list service.
    pub proxy: Name,
    /// The services whose backends are asked for; `*` alone: all that the list service lists the proxy for.
    pub services: ServiceSelection,
}

/// Why a `[view]` table makes no sense.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ViewError {
    /// No service is named.
    #[error("`services` of [view] is empty: name at least one service, or write [\"*\"] for all of them")]
    NoServices,
}

impl ViewConfig {
    /// Checks what the table's shape alone does not.
    ///
    /// # Errors
    /// Where it names no service.
    pub fn check(&self) -> Result<(), ViewError> {
        match &self.services {
            ServiceSelection::Named(services) if services.is_empty() => Err(ViewError::NoServices),
            _ => Ok(()),
        }
    }

    /// The part of a call's query that asks for the view. Names have no character that a query would have escaped.
    #[must_use]
    pub fn query(&self) -> String {
        let proxy = &self.proxy;
        match &self.services {
            ServiceSelection::All => format!("proxy={proxy}&service={ALL_SERVICES}"),
            ServiceSelection::Named(services) => {
                let services: String = services.iter().map(|service| format!("&service={service}")).collect();
                format!("proxy={proxy}{services}")
            }
        }
    }
}
