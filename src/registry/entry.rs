//! The JSON of the answers. Each entry is written once, when its member or its senders change, and kept.
//!
//! Keys stand in alphabetical order.

use super::config::Member;
use crate::api::Senders;
use serde::Serialize;
use std::fmt::Write;
use std::sync::Arc;

/// The phase of a member that a proxy is to send nothing more to.
const LEAVING: &str = "leaving";
/// The phase of a member that is gone.
const LEFT: &str = "left";

/// A member as a list or a watch tells it.
#[derive(Debug)]
pub struct Entry {
    /// The member that it was written from.
    pub member: Arc<Member>,
    /// The member's senders, in a view that holds it.
    pub senders: Option<Senders>,
    /// The entry's JSON.
    json: String,
}

/// The keys of an entry.
#[derive(Serialize)]
struct EntryKeys<'a> {
    cell: u32,
    flavor: &'a str,
    host_port: &'a str,
    id: &'a str,
    locality: &'a str,
    phase: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    senders: Option<Senders>,
    size: f64,
    up_since_ms: u64,
}

impl Entry {
    /// The member as it is; in a view, with its senders.
    pub fn held(member: &Arc<Member>, senders: Option<Senders>) -> Arc<Self> {
        Self::new(member, &member.phase, senders)
    }

    /// The member as one that still exists and that the view no longer holds.
    pub fn leaving(member: &Arc<Member>) -> Arc<Self> {
        Self::new(member, LEAVING, None)
    }

    /// The member as one that is gone.
    pub fn left(member: &Arc<Member>) -> Arc<Self> {
        Self::new(member, LEFT, None)
    }

    /// The member's id.
    pub fn id(&self) -> &str {
        &self.member.id
    }

    /// Whether both are told with the same bytes.
    pub fn is_told_as(&self, other: &Self) -> bool {
        self.json == other.json
    }

    fn new(member: &Arc<Member>, phase: &str, senders: Option<Senders>) -> Arc<Self> {
        let keys = EntryKeys {
            cell: member.cell,
            flavor: &member.flavor,
            host_port: &member.host_port,
            id: &member.id,
            locality: &member.locality,
            phase,
            senders,
            size: member.size,
            up_since_ms: member.up_since_ms,
        };
        let json = serde_json::to_string(&keys).expect("numbers and strings are JSON");
        Arc::new(Self { member: Arc::clone(member), senders, json })
    }
}

/// The answer to a list or a watch.
#[derive(Debug)]
pub struct Answer<'a> {
    /// Whether the members are all that there are, or those changed.
    pub complete: bool,
    /// The members, in order of their ids.
    pub members: Vec<&'a Entry>,
    /// The revision in force.
    pub revision: u64,
    /// How many proxies serve any of the services asked for; `None` where no view was asked for.
    pub proxies: Option<u32>,
}

impl Answer<'_> {
    /// The answer's JSON.
    pub fn to_json(&self) -> String {
        const FRAME: usize = 100;
        let length: usize = self.members.iter().map(|entry| entry.json.len() + 1).sum();
        let mut json = String::with_capacity(length + FRAME);
        let _ = write!(json, "{{\"complete\":{},\"members\":[", self.complete);
        for (at, entry) in self.members.iter().enumerate() {
            json.push_str(if at > 0 { "," } else { "" });
            json.push_str(&entry.json);
        }
        let _ = write!(json, "],\"revision\":{}", self.revision);
        if let Some(proxies) = self.proxies {
            let _ = write!(json, ",\"view\":{{\"proxies\":{proxies}}}");
        }
        json.push('}');
        json
    }
}
