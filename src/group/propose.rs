//! How a promise is made: by the leader, whichever machine the operator called.

use super::bans::MOST_BANS;
use super::node::Node;
use super::peers::{PeerError, Peers, Refusal, holders};
use super::types::{Call, Promise, Taken};
use crate::system_random;
use openraft::error::{ClientWriteError, RaftError};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep, timeout_at};

/// How long to wait before the leader is looked for again.
const AGAIN: Duration = Duration::from_millis(20);
/// What a leader keeps of the caller's time, so that its answer arrives.
const ANSWER_TAKES: Duration = Duration::from_millis(40);
/// How long one machine is waited for: it may have stopped, and another lead by now.
const ONE_WITHIN: Duration = Duration::from_millis(350);

/// A promise that a majority of the voters has on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// Its place in the group's log.
    pub index: u64,
}

/// Why there is no yes.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// It may have reached some logs.
    #[error(
        "held by {held} of {voters} voters as far as is known, and it may still come into force in the group; \
         see that a majority of the voters runs and is reached, then call again"
    )]
    Unconfirmed {
        /// How many voters' logs are known to hold it.
        held: usize,
        /// How many voters there are.
        voters: usize,
    },
    /// It has reached no log.
    #[error(
        "held by 0 of {voters} voters, for no majority of them is reached; nothing has changed in the group; \
         see that a majority of the voters runs and is reached, then call again"
    )]
    NoMajority {
        /// How many voters there are.
        voters: usize,
    },
    /// The group takes no further ban.
    #[error("the group holds {MOST_BANS} bans and takes no further one; give backends back first")]
    Full,
    /// More calls at once than are taken.
    #[error("too many calls are waiting for the group; nothing has changed; call again")]
    Busy,
    /// Another process of this proxy still has the group's files.
    #[error(
        "the process that this one replaces still speaks for the group; call that one, or again once it ended"
    )]
    NotYet,
    /// The group's part of this process has ended.
    #[error(
        "this proxy no longer takes part in its group: {0}; see its log, mend the cause and start it again"
    )]
    Stopped(String),
    /// The call can't be told from others.
    #[error("nothing has changed in the group: {0}; then call again")]
    NoNumber(String),
}

/// A call as it goes to the leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Question {
    pub call: Call,
    /// What is left of the caller's time, milliseconds.
    pub within_ms: u64,
}

type Answer = Result<Committed, ProposeError>;

/// Makes a promise within a time, wherever the leader is; goes on looking for it until then. `node`: this machine's
/// part of the group, if this process has it.
pub(super) async fn propose(
    peers: &Peers,
    voters: &[String],
    node: Option<&Node>,
    promise: Promise,
    within: Duration,
) -> Answer {
    let end = Instant::now() + within;
    // Two calls with one number would count as one: the later promise would be lost behind a yes.
    let number = system_random::draw().map_err(|error| ProposeError::NoNumber(error.to_string()))?;
    let call = Call { number, promise };
    let mut worst = ProposeError::NoMajority { voters: voters.len() };
    let mut hint = None;
    for turn in 0.. {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let left = left.min(ONE_WITHIN);
        let leader = hint.take().or_else(|| node.and_then(Node::leader));
        let target = leader.unwrap_or_else(|| voters[turn % voters.len()].clone());
        let asked = Question { call: call.clone(), within_ms: left.as_millis() as u64 };
        let answer = match node.filter(|_| target == peers.mine.node) {
            Some(node) => node.lead(asked).await.map_err(PeerError::Refused),
            None => peers.ask(&target, None, "/group/propose", &asked, left).await,
        };
        match answer {
            Ok(Err(error @ (ProposeError::NoMajority { .. } | ProposeError::Unconfirmed { .. }))) => {
                worst = graver(worst, error);
            }
            Ok(answer) => return answer,
            Err(PeerError::Refused(Refusal::NotLeader { leader })) => hint = leader,
            // The call has left and may have been taken.
            Err(PeerError::TimedOut(_)) => {
                worst = graver(worst, ProposeError::Unconfirmed { held: 0, voters: voters.len() });
            }
            Err(_) => {}
        }
        sleep(AGAIN.min(end.saturating_duration_since(Instant::now()))).await;
    }
    Err(worst)
}

impl Node {
    fn voters(&self) -> usize {
        self.config.voters.get_ref().len()
    }

    /// Makes a promise as the leader.
    pub(super) async fn lead(&self, asked: Question) -> Result<Answer, Refusal> {
        if !self.leads() {
            return Err(Refusal::NotLeader { leader: self.leader() });
        }
        let end = Instant::now() + Duration::from_millis(asked.within_ms).saturating_sub(ANSWER_TAKES);
        // Giving back is not even tried where it would only wait in the log for the majority to return: nobody
        // would know when.
        if !asked.call.promise.on() && !matches!(timeout_at(end, self.confirmed()).await, Ok(Ok(_))) {
            return Ok(Err(ProposeError::NoMajority { voters: self.voters() }));
        }
        let number = asked.call.number;
        match timeout_at(end, self.raft.client_write(asked.call)).await {
            Ok(Ok(written)) if written.data == Taken::Full => Ok(Err(ProposeError::Full)),
            Ok(Ok(written)) => {
                let (term, index) = (written.log_id.leader_id.term, written.log_id.index);
                Ok(Ok(Committed { term, index }))
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(other)))) => {
                Err(Refusal::NotLeader { leader: other.leader_node.map(|machine| machine.name) })
            }
            Ok(Err(error)) => Ok(Err(ProposeError::Stopped(error.to_string()))),
            Err(_) => {
                let held = self.disk.find(number).map_or(0, |entry| holders(&self.raft, entry));
                Ok(Err(ProposeError::Unconfirmed { held, voters: self.voters() }))
            }
        }
    }
}

/// The error that leaves more open.
fn graver(one: ProposeError, other: ProposeError) -> ProposeError {
    match (&one, &other) {
        (ProposeError::Unconfirmed { held: a, .. }, ProposeError::Unconfirmed { held: b, .. }) => {
            if a >= b {
                one
            } else {
                other
            }
        }
        (ProposeError::Unconfirmed { .. }, _) => one,
        _ => other,
    }
}
