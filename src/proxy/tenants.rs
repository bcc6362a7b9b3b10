//! The names of the tenants, in a form in which hundreds of thousands of them fit into a proxy's memory.

use crate::api::TenantNumber;
use hashbrown::HashTable;
use hashbrown::hash_table::Entry;
use rustc_hash::FxBuildHasher;
use serde::Deserialize;
use serde::de::{Deserializer, Error, SeqAccess, Visitor};
use std::borrow::Cow;
use std::fmt;
use std::hash::BuildHasher;

/// The tenants' names, each known by its position in the settings.
///
/// All names stand in one text, and the table that finds them holds their numbers alone: some 25 bytes a tenant with
/// names of 13 characters.
#[derive(Clone, Debug, Default)]
pub struct TenantNames {
    /// All names, one after the other.
    text: String,
    /// Where each name ends in the text.
    ends: Vec<u32>,
    /// The numbers, by the hash of their names. Of several tenants with one name it holds the last.
    numbers: HashTable<TenantNumber>,
}

/// The names together are longer than a position in them can say.
#[derive(Debug, thiserror::Error)]
#[error("the names of all tenants together must stay under 4 GiB: shorten them")]
pub struct TooLong;

impl TenantNames {
    /// The number of a tenant.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<TenantNumber> {
        self.numbers.find(hash(name), |&number| self.name(number) == name).copied()
    }

    /// Whether the settings name no tenant.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    fn name(&self, number: TenantNumber) -> &str {
        name_in(&self.text, &self.ends, number)
    }

    fn push(&mut self, name: &str) -> Result<(), TooLong> {
        let number = TenantNumber::try_from(self.ends.len()).map_err(|_| TooLong)?;
        self.text.push_str(name);
        self.ends.push(u32::try_from(self.text.len()).map_err(|_| TooLong)?);
        let (text, ends) = (&self.text, &self.ends);
        let has_name = |&other: &TenantNumber| name_in(text, ends, other) == name;
        let hash_of = |&other: &TenantNumber| hash(name_in(text, ends, other));
        match self.numbers.entry(hash(name), has_name, hash_of) {
            Entry::Occupied(mut namesake) => *namesake.get_mut() = number,
            Entry::Vacant(place) => _ = place.insert(number),
        }
        Ok(())
    }

    fn shrink(&mut self) {
        let (text, ends) = (&self.text, &self.ends);
        self.numbers.shrink_to_fit(|&number| hash(name_in(text, ends, number)));
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }
}

fn name_in<'a>(text: &'a str, ends: &[u32], number: TenantNumber) -> &'a str {
    let number = number as usize;
    let start = number.checked_sub(1).map_or(0, |before| ends[before] as usize);
    &text[start..ends[number] as usize]
}

fn hash(name: &str) -> u64 {
    FxBuildHasher.hash_one(name)
}

impl PartialEq for TenantNames {
    fn eq(&self, other: &Self) -> bool {
        // The table follows from these two.
        self.text == other.text && self.ends == other.ends
    }
}

impl<'de> Deserialize<'de> for TenantNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TenantsVisitor)
    }
}

/// What of a tenant's entry is kept here.
#[derive(Deserialize)]
struct TenantEntry<'a> {
    #[serde(default, borrow)]
    name: Cow<'a, str>,
}

struct TenantsVisitor;

impl<'de> Visitor<'de> for TenantsVisitor {
    type Value = TenantNames;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tenants")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<TenantNames, A::Error> {
        let mut names = TenantNames::default();
        while let Some(tenant) = list.next_element::<TenantEntry<'_>>()? {
            names.push(&tenant.name).map_err(Error::custom)?;
        }
        names.shrink();
        Ok(names)
    }
}
