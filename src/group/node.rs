//! One machine of the group while it runs: who leads, what is known, who is a member.

use super::bans::{Bans, Confirmed, Shared, Teller};
use super::config::GroupConfig;
use super::copies::Kept;
use super::disk::Disk;
use super::election::Patience;
use super::events::say;
use super::peers::{FORMAT, Hello, PeerError, Peers, Refusal, hex};
use super::types::{Machine, Raft};
use openraft::ServerState;
use openraft::error::{CheckIsLeaderError, RaftError};
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a peer may take to say who it is, or what holds.
const ASK_WITHIN: Duration = Duration::from_millis(400);
/// How often a machine that is not a member yet makes itself known, and a group that does not exist yet is tried.
const JOIN_EVERY: Duration = Duration::from_millis(150);
/// How often the leader asks all machines who they are.
const TEND_EVERY: Duration = Duration::from_secs(1);
/// How often what holds is asked for, until it is known.
const LEARN_EVERY: Duration = Duration::from_millis(30);
/// How long a change of members may take before it is looked at anew.
const CHANGE_WITHIN: Duration = Duration::from_secs(3);
/// A new machine becomes a voter once this few entries are missing.
const NEARLY: u64 = 16;

/// How a machine stands in its group, for operators and for the parts that rely on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Status {
    /// `leader`, `follower`, `candidate`, `learner`, `stopped` (the log says why), or `waiting` for the process that
    /// this one replaces.
    pub state: String,
    /// The leader's name, as far as this machine knows.
    pub leader: Option<String>,
    /// The term: leaders of one group have different ones, the latest the highest.
    pub term: u64,
    /// Up to which entry of the log the bans hold here.
    pub applied: u64,
    /// The last entry of this machine's log.
    pub last: u64,
    /// The voters' names as the group has agreed on them; none before the group exists.
    pub voters: Vec<String>,
}

pub(super) struct Node {
    pub config: GroupConfig,
    pub raft: Raft,
    pub disk: Disk,
    pub peers: Arc<Peers>,
    pub state: Shared,
    pub teller: Arc<Teller>,
    pub status: watch::Sender<Status>,
    /// Somebody is here whom the group does not know.
    pub news: Notify,
    /// Room for its peers' calls.
    pub callers: Semaphore,
    /// How long it waits for a leader before it stands for election.
    pub patience: Arc<Patience>,
    /// What its peers have learnt, as they last told it.
    pub kept: Kept,
}

impl Node {
    fn name(&self) -> &str {
        &self.peers.mine.node
    }

    /// The leader's name, as far as this machine knows.
    pub(super) fn leader(&self) -> Option<String> {
        self.status.borrow().leader.clone()
    }

    pub(super) fn leads(&self) -> bool {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.current_leader == Some(metrics.id)
    }

    /// One of the voters to ask where no leader is known, each in its turn.
    pub(super) fn some_voter(&self, turn: usize) -> Option<String> {
        let voters = self.config.voters.get_ref();
        voters.get(turn % voters.len()).cloned()
    }

    /// The members: their identities and names.
    fn members(&self) -> BTreeMap<u64, String> {
        let metrics = self.raft.metrics();
        let metrics = metrics.borrow();
        metrics.membership_config.membership().nodes().map(|(&id, m)| (id, m.name.clone())).collect()
    }

    /// Whether the caller of that name is who it says.
    pub(super) async fn verify(&self, name: &str, identity: u64, start: Option<u64>) -> Result<(), Refusal> {
        let members = self.members();
        if self.peers.verify(name, identity, start, &members).await? || !members.contains_key(&identity) {
            self.news.notify_one();
        }
        Ok(())
    }

    /// What holds now, as the leader: only once a majority has confirmed that this machine leads.
    pub(super) async fn confirmed(&self) -> Result<Confirmed, Refusal> {
        match timeout(ASK_WITHIN, self.raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(self.state.held()),
            Ok(Err(RaftError::APIError(CheckIsLeaderError::ForwardToLeader(other)))) => {
                Err(Refusal::NotLeader { leader: other.leader_node.map(|machine| machine.name) })
            }
            Ok(Err(RaftError::Fatal(error))) => Err(Refusal::Stopped(error.to_string())),
            Ok(Err(_)) | Err(_) => Err(Refusal::NotLeader { leader: None }),
        }
    }

    /// Finds out what holds, however long it takes, and tells it.
    pub(super) async fn learn(self: Arc<Self>) {
        let mut hint = None;
        for turn in 0.. {
            let target = hint.take().or_else(|| self.leader()).or_else(|| self.some_voter(turn));
            let learnt = match target {
                Some(name) if name == self.name() => self.confirmed().await.map_err(PeerError::Refused),
                Some(name) => self.peers.ask(&name, None, "/group/read", &(), ASK_WITHIN).await,
                None => Err(PeerError::NoAddress(String::new())),
            };
            match learnt {
                Ok(held) => {
                    let index = held.index;
                    self.teller.tell(held, true);
                    // What this machine has applied may be later still.
                    self.teller.tell(self.state.held(), true);
                    self.peers.conflicts.settle_here();
                    say(&json!({"event": "group_ready", "node": self.name(), "index": index}));
                    return;
                }
                Err(PeerError::Refused(Refusal::NotLeader { leader })) => hint = leader,
                Err(_) => {}
            }
            sleep(LEARN_EVERY).await;
        }
    }

    /// Keeps the status, and says who leads.
    pub(super) async fn follow(self: Arc<Self>) {
        let mut metrics = self.raft.metrics();
        let mut told = None;
        loop {
            let now = metrics.borrow_and_update().clone();
            let members = now.membership_config.membership();
            let name = |id: &u64| members.get_node(id).map(|machine| machine.name.clone());
            let leader = now.current_leader.as_ref().and_then(name);
            if let Err(error) = &now.running_state {
                say(&json!({"event": "group_stopped", "node": self.name(), "why": error.to_string(),
                            "do": "see that the disk of `state_dir` is in order and has room, then start again"}));
            }
            let state = match (&now.running_state, now.state) {
                (Err(_), _) => "stopped",
                (_, ServerState::Leader) => "leader",
                (_, ServerState::Follower) => "follower",
                (_, ServerState::Candidate) => "candidate",
                (_, ServerState::Learner) => "learner",
                (_, ServerState::Shutdown) => "stopped",
            };
            if let Some(leader) = &leader
                && told.as_ref() != Some(&(leader.clone(), now.current_term))
            {
                let event = if leader == self.name() { "leader" } else { "follows" };
                say(
                    &json!({"event": event, "node": self.name(), "term": now.current_term, "leader": leader}),
                );
                told = Some((leader.clone(), now.current_term));
            }
            let mut voters: Vec<String> = members.voter_ids().filter_map(|id| name(&id)).collect();
            voters.sort_unstable();
            self.status.send_replace(Status {
                state: state.to_owned(),
                leader,
                term: now.current_term,
                applied: now.last_applied.map_or(0, |last| last.index),
                last: now.last_log_index.unwrap_or_default(),
                voters,
            });
            if metrics.changed().await.is_err() {
                return;
            }
        }
    }

    /// What operators are told.
    pub(super) fn report(&self) -> Value {
        let mine = &self.peers.mine;
        let bans: Bans = (**self.teller.watch().borrow()).clone();
        json!({"group": mine.group, "node": mine.node, "identity": hex(mine.identity), "format": FORMAT,
               "status": *self.status.borrow(), "bans": bans.banned, "bans_index": bans.index,
               "bans_known": bans.known, "conflicts": self.peers.conflicts.report(), "keepers": self.config.keepers(), "copies": self.kept.report()})
    }

    /// Asks these machines who they are, all at once.
    async fn hellos(&self, names: impl IntoIterator<Item = String>) -> BTreeMap<String, Hello> {
        let (mut asked, members) = (JoinSet::new(), Arc::new(self.members()));
        for name in names.into_iter().filter(|name| name != self.name()) {
            let (peers, members) = (Arc::clone(&self.peers), Arc::clone(&members));
            asked.spawn(async move { (peers.hello(&name, &members, ASK_WITHIN).await, name) });
        }
        let mut said = BTreeMap::new();
        while let Some(answer) = asked.join_next().await {
            if let Ok((Ok(hello), name)) = answer {
                said.insert(name, hello);
            }
        }
        said
    }

    /// Looks after the members for as long as the process runs: makes the group where there is none, makes this
    /// machine known where it is no member, and as the leader takes machines in and puts a machine that lost its
    /// disk in its old one's place.
    pub(super) async fn tend(self: Arc<Self>) {
        loop {
            let every = if self.leads() {
                if self.tend_members().await { TEND_EVERY } else { JOIN_EVERY }
            } else if self.members().contains_key(&self.peers.mine.identity) {
                TEND_EVERY
            } else {
                self.join().await;
                JOIN_EVERY
            };
            let _ = timeout(every, self.news.notified()).await;
            // Whoever makes himself known does so until he is a member.
            sleep(LEARN_EVERY).await;
        }
    }

    /// Only the first voter by name makes the group, and only once every voter has said that it has never been in
    /// one: a machine that lost its disk finds one that has, and waits to be taken in.
    async fn join(&self) {
        let voters = self.config.voter_names();
        let said = self.hellos(voters.iter().cloned()).await;
        let first = voters.first().is_some_and(|first| first == self.name());
        let all_new = said.len() + 1 == voters.len()
            && said.values().all(|hello| hello.fresh && hello.voters.iter().eq(voters.iter()));
        if !first || !all_new || !self.disk.is_fresh() {
            return;
        }
        let mut members: BTreeMap<u64, Machine> =
            said.iter().map(|(name, hello)| (hello.identity, Machine { name: name.clone() })).collect();
        members.insert(self.peers.mine.identity, Machine { name: self.name().to_owned() });
        match self.raft.initialize(members).await {
            Ok(()) => say(&json!({"event": "group_made", "node": self.name(), "voters": voters})),
            Err(error) => {
                say(&json!({"event": "group_not_made", "node": self.name(), "why": error.to_string(),
                                      "do": "it is tried again"}))
            }
        }
    }

    /// The identity that now stands for a name.
    fn current(&self, name: &str) -> Option<u64> {
        if name == self.name() { Some(self.peers.mine.identity) } else { self.peers.seen(name) }
    }

    /// Whether all is as it should be.
    async fn tend_members(&self) -> bool {
        self.hellos(self.peers.names()).await;
        let members = self.members();
        let news: BTreeMap<u64, Machine> = self
            .config
            .node_names()
            .into_iter()
            .filter_map(|name| Some((self.current(&name)?, Machine { name })))
            .filter(|(id, _)| !members.contains_key(id))
            .collect();
        if !news.is_empty() {
            let names: Vec<String> = news.values().map(|machine| machine.name.clone()).collect();
            self.change(openraft::ChangeMembers::AddNodes(news), "members_taken_in", json!(names)).await;
        }
        let settled = self.tend_voters().await;
        let gone: BTreeSet<u64> = self.former_members();
        if !gone.is_empty() {
            let ids: Vec<String> = gone.iter().map(|&id| hex(id)).collect();
            self.change(openraft::ChangeMembers::RemoveNodes(gone), "members_removed", json!(ids)).await;
        }
        settled
    }

    /// Gives each voter's name the identity that stands for it now, once that has nearly caught up. Whether each
    /// had it already.
    async fn tend_voters(&self) -> bool {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership().clone();
        let caught_up = |id: &u64| {
            let matched = metrics.replication.as_ref().and_then(|r| r.get(id).copied().flatten());
            *id == metrics.id
                || matched.is_some_and(|m| m.index + NEARLY >= metrics.last_log_index.unwrap_or(u64::MAX))
        };
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let named = |name: &str| {
            let is_it = |id: &&u64| membership.get_node(id).is_some_and(|machine| machine.name == name);
            voters.iter().find(is_it).copied()
        };
        let wanted: BTreeSet<u64> = self
            .config
            .voter_names()
            .iter()
            .filter_map(|name| {
                let now = self.current(name).filter(|id| membership.get_node(id).is_some() && caught_up(id));
                now.or_else(|| named(name))
            })
            .collect();
        let whole = wanted.len() == self.config.voters.get_ref().len() || wanted.len() >= voters.len();
        if wanted != voters && whole {
            let names: Vec<String> =
                wanted.iter().filter_map(|id| membership.get_node(id)).map(|m| m.name.clone()).collect();
            let change = openraft::ChangeMembers::ReplaceAllVoters(wanted);
            self.change(change, "voters_changed", json!(names)).await;
        }
        self.config.voter_names().iter().all(|name| self.current(name) == named(name))
    }

    /// Members whose name now stands for another identity.
    fn former_members(&self) -> BTreeSet<u64> {
        let metrics = self.raft.metrics().borrow().clone();
        let membership = metrics.membership_config.membership();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let is_former = |id: &u64, name: &str| self.current(name).is_some_and(|now| now != *id);
        let nodes = membership.nodes().filter(|(id, m)| !voters.contains(id) && is_former(id, &m.name));
        nodes.map(|(&id, _)| id).collect()
    }

    async fn change(&self, change: openraft::ChangeMembers<u64, Machine>, event: &str, whom: Value) {
        let done = match timeout(CHANGE_WITHIN, self.raft.change_membership(change, false)).await {
            Ok(Ok(_)) => None,
            Ok(Err(error)) => Some(error.to_string()),
            Err(_) => Some(format!("no majority agreed within {CHANGE_WITHIN:?}")),
        };
        match done {
            None => say(&json!({"event": event, "node": self.name(), "whom": whom})),
            Some(why) => say(&json!({"event": "members_not_changed", "node": self.name(), "wanted": event,
                                     "whom": whom, "why": why, "do": "it is tried again"})),
        }
    }
}
