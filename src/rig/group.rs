//! The proxies of a run as one group: each is told where it listens for its peers, and for each peer the address of
//! the relay from it to that peer, so that every directed pair can be cut by itself.

use super::error::SectionError;
use super::links::Links;
use super::step::End;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::ops::Range;
use std::path::Path;
use toml::Spanned;

/// The group that a scenario's proxies form.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The group's name.
    pub name: String,
    /// The proxies that vote, by name; the others follow.
    pub voters: Vec<Spanned<String>>,
}

impl GroupSpec {
    /// Checks the voters against the scenario's number of proxies.
    ///
    /// # Errors
    /// Where the file is wrong, and how.
    pub fn check(&self, proxies: usize) -> Result<(), (Range<usize>, SectionError)> {
        for (k, voter) in self.voters.iter().enumerate() {
            let name = voter.get_ref();
            if !(0..proxies).any(|n| End::Proxy(n).to_string() == *name) {
                return Err((voter.span(), SectionError::Voter { name: name.clone(), proxies }));
            }
            if self.voters[..k].iter().any(|earlier| earlier.get_ref() == name) {
                return Err((voter.span(), SectionError::VoterTwice(name.clone())));
            }
        }
        Ok(())
    }
}

/// Starts a relay for every ordered pair of proxies, whose addresses for their peers are `seats`.
///
/// # Errors
/// When a relay can't listen.
pub async fn link(host: IpAddr, seats: &[SocketAddr], links: &mut Links) -> std::io::Result<()> {
    for me in 0..seats.len() {
        for peer in (0..seats.len()).filter(|&peer| peer != me) {
            links.add(host, Some(me), End::Proxy(peer), seats[peer]).await?;
        }
    }
    Ok(())
}

/// The group's configuration file of proxy `me`: its own address, and its peers as it dials them.
pub fn config(spec: &GroupSpec, me: usize, seats: &[SocketAddr], links: &Links, state_dir: &Path) -> String {
    #[derive(Serialize)]
    struct Peer {
        name: String,
        address: SocketAddr,
    }
    #[derive(Serialize)]
    struct Group<'a> {
        name: &'a str,
        node: String,
        listen: SocketAddr,
        state_dir: &'a Path,
        voters: Vec<&'a str>,
        peer: Vec<Peer>,
    }
    #[derive(Serialize)]
    struct File<'a> {
        group: Group<'a>,
    }
    let peers = (0..seats.len()).filter_map(|peer| {
        let address = links.address(me, End::Proxy(peer)).filter(|_| peer != me)?;
        Some(Peer { name: End::Proxy(peer).to_string(), address })
    });
    let group = Group {
        name: &spec.name,
        node: End::Proxy(me).to_string(),
        listen: seats[me],
        state_dir,
        voters: spec.voters.iter().map(|v| v.get_ref().as_str()).collect(),
        peer: peers.collect(),
    };
    toml::to_string(&File { group }).expect("strings and addresses are TOML")
}
