//! The names of services and proxies, and the choice of services that a file or a call writes down.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use thiserror::Error;

/// The most characters of a name.
pub const LONGEST_NAME: usize = 63;
/// What stands for all services.
pub const ALL_SERVICES: &str = "*";

/// The name of a service or a proxy: 1 to 63 characters of `a-z A-Z 0-9 - _ .`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

impl Name {
    /// The name's characters.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let fits = (1..=LONGEST_NAME).contains(&text.len());
        if fits && text.chars().all(allowed) { Ok(Self(text)) } else { Err(NameError { text }) }
    }
}

/// A text that is no name of a service or a proxy.
#[derive(Debug, Error)]
#[error("`{text}` is no name; write 1 to {LONGEST_NAME} characters of `a-z A-Z 0-9 - _ .`")]
pub struct NameError {
    /// The text.
    pub text: String,
}

/// All services (`*`), or those named.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "Vec<String>")]
pub enum ServiceSelection {
    /// All services; in a call, all that the file lists for the proxy.
    All,
    /// These services.
    Named(BTreeSet<Name>),
}

impl TryFrom<Vec<String>> for ServiceSelection {
    type Error = SelectionError;

    fn try_from(texts: Vec<String>) -> Result<Self, SelectionError> {
        if texts == [ALL_SERVICES] {
            return Ok(Self::All);
        }
        let mut names = BTreeSet::new();
        for text in texts {
            if text == ALL_SERVICES {
                return Err(SelectionError::AllWithOthers);
            }
            let name = Name::try_from(text)?;
            if let Some(twice) = names.replace(name) {
                return Err(SelectionError::Twice(twice));
            }
        }
        Ok(Self::Named(names))
    }
}

/// A choice of services that can't be taken.
#[derive(Debug, Error)]
pub enum SelectionError {
    /// One of them is no name.
    #[error(transparent)]
    Name(#[from] NameError),
    /// One is named twice.
    #[error("service `{0}` is named twice; remove one of the two")]
    Twice(Name),
    /// `*` beside another.
    #[error("`*` is all services already; remove it or the others")]
    AllWithOthers,
}
