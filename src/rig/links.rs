//! The relays of a run, one on every directed pair that talks: proxy to list service, proxy to backend (one for
//! each proxy with `pair_relays`, else one that all proxies share), proxy to proxy in a group.

use super::relay::{Condition, Direction, Door, Relay, Way};
use super::scenario::Action;
use super::step::{End, Step};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// A relay and the processes on either side of it.
pub struct Link {
    /// The proxy that dials through it; `None` where all proxies do.
    pub from: Option<usize>,
    /// What it leads to.
    pub to: End,
    /// The relay.
    pub relay: Relay,
}

/// Every relay of a run.
#[derive(Default)]
pub struct Links {
    all: Vec<Link>,
}

impl Links {
    /// Starts a relay for `from` (all proxies for `None`) before `target`, the address of `to`; gives the address
    /// to dial.
    ///
    /// # Errors
    /// When the relay can't listen.
    pub async fn add(
        &mut self,
        host: IpAddr,
        from: Option<usize>,
        to: End,
        target: SocketAddr,
    ) -> std::io::Result<SocketAddr> {
        let relay = Relay::start(host, target).await?;
        let address = relay.address;
        self.all.push(Link { from, to, relay });
        Ok(address)
    }

    /// Where proxy `from` dials `to`; `None` where no relay leads there.
    pub fn address(&self, from: usize, to: End) -> Option<SocketAddr> {
        let link = self.all.iter().find(|link| link.to == to && link.from.is_none_or(|f| f == from));
        link.map(|link| link.relay.address)
    }

    /// Every link, in the order they were added.
    pub fn all(&self) -> &[Link] {
        &self.all
    }

    /// The numbers of the links that lead to one of `ends`.
    pub fn leading_to(&self, ends: &BTreeSet<End>) -> Vec<usize> {
        (0..self.all.len()).filter(|&k| ends.contains(&self.all[k].to)).collect()
    }

    /// The links between two sides, each with the way that goes from `a` to `b`.
    fn between(&self, a: &BTreeSet<End>, b: &BTreeSet<End>) -> Vec<(usize, Direction)> {
        let way = |link: &Link| {
            let from = End::Proxy(link.from?);
            if a.contains(&from) && b.contains(&link.to) {
                return Some(Direction::Forward);
            }
            (b.contains(&from) && a.contains(&link.to)).then_some(Direction::Backward)
        };
        self.all.iter().enumerate().filter_map(|(k, link)| way(link).map(|way| (k, way))).collect()
    }

    /// Carries out a fault on pairs; gives the numbers of the links it touched.
    pub fn apply_between(&self, step: &Step, a: &BTreeSet<End>, b: &BTreeSet<End>) -> Vec<usize> {
        let between = self.between(a, b);
        for &(k, way) in &between {
            self.all[k].relay.change(|condition| {
                change(condition, step, way);
                if !step.one_way {
                    change(condition, step, way.other());
                }
            });
        }
        between.into_iter().map(|(k, _)| k).collect()
    }

    /// Carries out a fault on every relay that leads to one of `ends`; gives the numbers of the links it touched.
    pub fn apply_before(&self, step: &Step, ends: &BTreeSet<End>) -> Vec<usize> {
        let touched = self.leading_to(ends);
        for &k in &touched {
            self.all[k].relay.change(|condition| {
                change(condition, step, Direction::Forward);
                change(condition, step, Direction::Backward);
            });
        }
        touched
    }
}

/// What a fault makes of one way through a relay, and of its door.
fn change(condition: &mut Condition, step: &Step, direction: Direction) {
    let millis = |ms: Option<f64>| Duration::from_secs_f64(ms.unwrap_or(0.0) / 1e3);
    let way = direction.of(condition);
    match step.action {
        Action::Partition | Action::BlackHole => way.held = true,
        Action::Delay => (way.delay, way.jitter) = (millis(step.delay_ms), millis(step.jitter_ms)),
        Action::Slow => way.bytes_per_s = step.bytes_per_s,
        Action::Refuse => condition.door = Door::Refuse,
        Action::Reset => condition.door = Door::Reset,
        Action::Heal => {
            *way = Way::default();
            condition.door = Door::Open;
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests {
    use super::super::group::{GroupSpec, config, link};
    use super::super::procs::Reserved;
    use super::*;
    use std::net::Ipv4Addr;
    use std::path::Path;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::time::timeout;

    /// Whether a byte sent from `me` reaches `peer`, by the address that the group's file of `me` gives.
    async fn reaches(
        files: &[toml::Table],
        listeners: &[TcpListener],
        me: usize,
        peer: usize,
        wait: Duration,
    ) -> bool {
        let peers = files[me]["group"]["peer"].as_array().unwrap();
        let name = format!("proxy-{peer}");
        let entry = peers.iter().find(|p| p["name"].as_str() == Some(&name)).expect("the peer's entry");
        let mut near = TcpStream::connect(entry["address"].as_str().unwrap()).await.unwrap();
        near.write_u8(7).await.unwrap();
        let Ok(accepted) = timeout(wait, listeners[peer].accept()).await else {
            return false;
        };
        let mut far = accepted.unwrap().0;
        matches!(timeout(wait, far.read_u8()).await, Ok(Ok(7)))
    }

    #[tokio::test]
    async fn each_ordered_pair_of_a_group_is_cut_and_healed_by_itself() {
        // What must come is waited for long; where nothing may come the wait is short.
        let wait = |passes| Duration::from_millis(if passes { 20_000 } else { 600 });
        let host = Ipv4Addr::LOCALHOST.into();
        let mut links = Links::default();
        let reserved = Reserved::take(host, 3).unwrap();
        let seats = reserved.addresses().unwrap();
        link(host, &seats, &mut links).await.unwrap();
        let spec: GroupSpec = toml::from_str("name = \"g\"\nvoters = [\"proxy-0\"]").unwrap();
        let file = |me| config(&spec, me, &seats, &links, Path::new("/state"));
        let files: Vec<toml::Table> = (0..3).map(|me| file(me).parse().unwrap()).collect();
        drop(reserved);
        let mut listeners = Vec::new();
        for (me, file) in files.iter().enumerate() {
            let listen = file["group"]["listen"].as_str().unwrap();
            assert_eq!(listen, seats[me].to_string());
            listeners.push(TcpListener::bind(listen).await.unwrap());
        }
        let sides = |a: usize, b: [usize; 2]| (BTreeSet::from([End::Proxy(a)]), b.map(End::Proxy).into());
        let (one, rest): (_, BTreeSet<End>) = sides(0, [1, 2]);
        let mut cut = Step::new(0.0, Action::Partition);
        assert_eq!(links.apply_between(&cut, &one, &rest).len(), 4);
        for (me, peer, passes) in [(0, 1, false), (2, 0, false), (1, 2, true), (2, 1, true)] {
            assert_eq!(
                reaches(&files, &listeners, me, peer, wait(passes)).await,
                passes,
                "proxy-{me} to proxy-{peer}"
            );
        }
        cut.action = Action::Heal;
        links.apply_between(&cut, &one, &BTreeSet::from([End::Proxy(1)]));
        assert!(!reaches(&files, &listeners, 0, 2, wait(false)).await, "only the pair that is named heals");
        assert!(reaches(&files, &listeners, 0, 1, wait(true)).await);
        assert!(reaches(&files, &listeners, 1, 0, wait(true)).await);
    }
}
