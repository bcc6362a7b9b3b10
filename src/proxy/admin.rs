//! The operators' calls: one line to a connection, and one line in answer that begins with `200` or `400`.

use super::discovery::Numbers;
use super::drain::Drain;
use super::driver::{Handle, Message};
use super::handover::Bans;
use super::{Seldom, Spare, log};
use crate::api::BackendId;
use crate::group::{Group, Promise};
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The longest call.
const LINE_CAP: usize = 256;
/// How long a caller may take for its line, and to read its answer.
const LINE_WITHIN: Duration = Duration::from_secs(2);
const ANSWER_WITHIN: Duration = Duration::from_secs(1);
/// Callers that may be at their line at a time. One more ends the oldest: who holds a connection without a call
/// keeps nobody else out, and no descriptors of the clients' are used.
const MOST_CALLERS: usize = 8;
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// How often the stored bans are read: another process of this proxy may have taken a call. What was called
/// there is in force here long before the grace for a drain is over.
const BANS_EVERY: Duration = Duration::from_millis(100);
/// How long the group is waited for of the second that an answer is owed in, and how long after its yes until that
/// has come to this proxy too.
const GROUP_WITHIN: Duration = Duration::from_millis(800);
const APPLIED_WITHIN: Duration = Duration::from_millis(100);
/// How long a proxy that starts waits for its group's bans before it takes clients without.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether clients are taken.
    Status,
    /// Send clients away.
    Standby,
    /// Take clients again.
    Active,
    /// Send nothing more to a backend.
    MaintOn(String),
    /// Use a backend again.
    MaintOff(String),
}

impl Call {
    /// Reads a call.
    ///
    /// # Errors
    /// Says what is wrong with the line.
    pub fn parse(line: &str) -> Result<Self, String> {
        let mut words = line.split_ascii_whitespace();
        let (Some(word), id, None) = (words.next(), words.next(), words.next()) else {
            return Err("expected a call and at most one id".into());
        };
        match (word, id) {
            ("status", None) => Ok(Self::Status),
            ("standby", None) => Ok(Self::Standby),
            ("active", None) => Ok(Self::Active),
            ("maint-on", Some(id)) => Ok(Self::MaintOn(id.to_owned())),
            ("maint-off", Some(id)) => Ok(Self::MaintOff(id.to_owned())),
            ("status" | "standby" | "active", Some(_)) => Err(format!("`{word}` takes no id")),
            ("maint-on" | "maint-off", None) => Err(format!("`{word}` wants the id of a backend")),
            _ => Err("unknown call".into()),
        }
    }
}

/// What the calls act on.
pub struct Operations {
    drain: Rc<Drain>,
    /// Whether a list of backends is held.
    held: Rc<Cell<bool>>,
    handle: Handle,
    numbers: Rc<RefCell<Numbers>>,
    bans: Bans,
    /// The bans that the module knows of.
    in_force: RefCell<BTreeSet<String>>,
    group: Option<Group>,
    /// The bans that were called here and that the group's do not hold yet.
    called: RefCell<BTreeMap<String, Called>>,
}

/// A ban that was called here, in a group.
#[derive(Clone, Copy)]
struct Called {
    /// What the group's log had come to here.
    since: u64,
    /// The entry that holds it, once a majority has that.
    agreed: Option<u64>,
}

impl Operations {
    /// Puts the stored bans in force, whatever list comes after.
    #[must_use]
    pub fn new(
        drain: Rc<Drain>,
        held: Rc<Cell<bool>>,
        handle: Handle,
        numbers: Rc<RefCell<Numbers>>,
        bans: Bans,
        group: Option<Group>,
    ) -> Rc<Self> {
        let (in_force, called) = (RefCell::default(), RefCell::default());
        let operations = Self { drain, held, handle, numbers, bans, in_force, group, called };
        operations.follow();
        Rc::new(operations)
    }

    /// Whether this proxy makes its promises with a group.
    #[must_use]
    pub fn in_group(&self) -> bool {
        self.group.is_some()
    }

    /// Puts in force what is to be.
    fn follow(&self) {
        let Some(wanted) = self.wanted() else { return };
        let known = self.in_force.replace(wanted.clone());
        for id in known.symmetric_difference(&wanted) {
            self.put_in_force(id, wanted.contains(id));
        }
    }

    /// The bans that are to be in force: what is stored; in a group what that has agreed on and what was called
    /// here, and what is stored only until the group's bans are known.
    fn wanted(&self) -> Option<BTreeSet<String>> {
        let Some(group) = &self.group else { return self.bans.read() };
        let agreed = group.bans().borrow().clone();
        self.called.borrow_mut().retain(|id, called| {
            let came = called.agreed.is_some_and(|index| agreed.index >= index) || agreed.banned.contains(id);
            !came && agreed.given_back.get(id).is_none_or(|&at| at <= called.since)
        });
        let mut wanted = agreed.banned.clone();
        wanted.extend(self.called.borrow().keys().cloned());
        if !agreed.known {
            wanted.extend(self.bans.read().unwrap_or_default());
        }
        Some(wanted)
    }

    /// Tells the module of a ban or its end, and in a group says so once it is in force.
    fn put_in_force(&self, id: &str, out: bool) {
        let Some(group) = &self.group else { return self.tell(id, out, None) };
        let (done, is_done) = oneshot::channel();
        self.tell(id, out, Some(done));
        let agreed = group.bans().borrow().clone();
        let event = json!({"event": "ban_in_force", "node": group.name(), "term": agreed.term,
                           "index": agreed.index, "backend": id, "on": out});
        spawn_local(async move {
            if is_done.await.is_ok() {
                log(format_args!("{event}"));
            }
        });
    }

    /// Follows the group for as long as the proxy runs. What it has agreed on is stored as well: another process of
    /// this proxy reads it there.
    pub async fn follow_group(self: Rc<Self>) {
        let Some(group) = &self.group else { return };
        let mut agreed = group.bans();
        let mut was_known = false;
        loop {
            let known = agreed.borrow_and_update().known;
            self.follow();
            if known {
                if !was_known {
                    self.say_dropped(group);
                }
                self.store_all();
            }
            was_known = known;
            if agreed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Names the bans that are stored here and that the group, now that it is known, does not hold.
    fn say_dropped(&self, group: &Group) {
        let stored = self.bans.read().unwrap_or_default();
        let dropped: Vec<String> = stored.difference(&self.in_force.borrow()).cloned().collect();
        if !dropped.is_empty() {
            let event = json!({"event": "bans_dropped", "node": group.name(), "backends": dropped,
                               "why": "they were stored here and are not the group's, or were given back meanwhile",
                               "do": "call those again that are to hold"});
            log(format_args!("{event}"));
        }
    }

    /// Stores the bans in force, and no others.
    fn store_all(&self) {
        let (stored, wanted) = (self.bans.read().unwrap_or_default(), self.in_force.borrow());
        for id in stored.symmetric_difference(&wanted) {
            let done = if wanted.contains(id) { self.bans.store(id) } else { self.bans.remove(id) };
            if let Err(error) = done {
                log(format_args!(
                    "the ban of {id} can't be stored for another process of this proxy: {error}"
                ));
            }
        }
    }

    /// Waits until the group's bans are known and in force, but not for long: a proxy that nobody can tell still
    /// serves, on the bans that it has itself. One that the group refuses, for another machine has its identity, takes no
    /// clients until that is mended.
    pub async fn wait_for_group(&self) {
        let Some(group) = &self.group else { return };
        let mut agreed = group.bans();
        let known = timeout(KNOWN_WITHIN, agreed.wait_for(|bans| bans.known)).await.is_ok();
        let refused = group.conflict().borrow().clone();
        if let Some(why) = refused.filter(|_| !known) {
            let event = json!({"event": "group_conflict", "node": group.name(), "why": why,
                               "do": "no clients are taken until that is done"});
            log(format_args!("{event}"));
            // The group's part of the process lives as long as it does.
            let _ = agreed.wait_for(|bans| bans.known).await;
            return self.follow();
        }
        self.follow();
        if !known {
            let event = json!({"event": "group_unknown", "node": group.name(),
                "waited_ms": KNOWN_WITHIN.as_millis() as u64, "bans": self.in_force.borrow().len(),
                "why": "no leader that a majority follows was reached",
                "do": "clients are taken on the bans of this machine alone; see that a majority of the voters runs"});
            log(format_args!("{event}"));
        }
    }

    /// Follows what is stored for as long as the proxy runs.
    pub async fn watch_bans(self: Rc<Self>) {
        loop {
            sleep(BANS_EVERY).await;
            self.follow();
        }
    }

    fn tell(&self, id: &str, out: bool, done: Option<oneshot::Sender<()>>) {
        let number: BackendId = self.numbers.borrow_mut().number(id);
        self.handle.tell(Message::Maintenance(number, out, done));
    }

    /// Stores that a backend is out of use or in use, and waits until that is in force.
    async fn maintain(&self, id: &str, out: bool) -> Result<&'static str, String> {
        if self.numbers.borrow().find(id).is_none() {
            return Err("no such backend was ever listed".into());
        }
        if let Some(group) = &self.group {
            return self.maintain_in_group(group, id, out).await;
        }
        let stored = if out { self.bans.store(id) } else { self.bans.remove(id) };
        stored.map_err(|error| format!("cannot be stored: {error}"))?;
        if out {
            self.in_force.borrow_mut().insert(id.to_owned());
        } else {
            self.in_force.borrow_mut().remove(id);
        }
        let (done, is_done) = oneshot::channel();
        self.tell(id, out, Some(done));
        is_done.await.map_err(|_| "the proxy is ending".to_owned())?;
        Ok(if out { "nothing more goes there" } else { "it is used again" })
    }

    /// A ban is in force here at once, and the answer is yes once a majority of the group has it on disk. Giving
    /// back changes nothing before that.
    async fn maintain_in_group(&self, group: &Group, id: &str, out: bool) -> Result<&'static str, String> {
        let backend = id.to_owned();
        let promise = if out { Promise::Ban { backend } } else { Promise::GiveBack { backend } };
        if out {
            let since = group.bans().borrow().index;
            self.called.borrow_mut().insert(id.to_owned(), Called { since, agreed: None });
            self.follow();
            self.bans.store(id).map_err(|error| format!("cannot be stored: {error}"))?;
        }
        let answer = group.propose(promise, GROUP_WITHIN).await;
        let committed = match answer {
            Err(error) if out => return Err(format!("in force at this proxy alone: {error}")),
            Err(error) => return Err(error.to_string()),
            Ok(committed) => committed,
        };
        if !out {
            self.called.borrow_mut().remove(id);
        } else if let Some(called) = self.called.borrow_mut().get_mut(id) {
            called.agreed = Some(committed.index);
        }
        let mut agreed = group.bans();
        let applied = agreed.wait_for(|bans| bans.index >= committed.index);
        let _ = timeout_at(Instant::now() + APPLIED_WITHIN, applied).await;
        self.follow();
        Ok(if out { "nothing more goes there, at any proxy of the group" } else { "the group uses it again" })
    }

    /// Carries a call out. Its answer says yes only once it is in force.
    async fn carry_out(&self, call: &Call) -> Result<&'static str, String> {
        match call {
            Call::Status if self.drain.is_stopping() => Err("stopping".into()),
            Call::Status if !self.drain.is_running() => Err("on standby".into()),
            Call::Status if !self.held.get() => Err("no list of backends yet".into()),
            Call::Status => Ok("serving"),
            Call::Standby => {
                self.drain.standby();
                Ok("sending clients away")
            }
            Call::Active if self.drain.active() => Ok("taking clients"),
            Call::Active => Err("stopping".into()),
            Call::MaintOn(id) => self.maintain(id, true).await,
            Call::MaintOff(id) => self.maintain(id, false).await,
        }
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream, line: Result<String, String>) {
        let done = match line.and_then(|line| Call::parse(&line)) {
            Ok(call) => {
                let done = self.carry_out(&call).await;
                if call != Call::Status {
                    log(format_args!("operators: {call:?}: {}", verdict(&done)));
                }
                done
            }
            Err(reason) => Err(reason),
        };
        let text = verdict(&done);
        // A caller that does not read its answer has no claim to it.
        let _ = timeout(ANSWER_WITHIN, async {
            stream.write_all(text.as_bytes()).await?;
            stream.write_all(b"\n").await?;
            stream.shutdown().await
        })
        .await;
    }

    /// Answers calls for as long as the proxy runs. Where the process is out of descriptors, `spare` is to close
    /// what is idle.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, spare: Spare) {
        let refused = Seldom::default();
        let mut at_line: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let mut stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    refused.log(format_args!("accept of an operator's call: {error}"));
                    spare();
                    sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            at_line.retain(|caller| !caller.is_finished());
            if at_line.len() >= MOST_CALLERS
                && let Some(oldest) = at_line.pop_front()
            {
                oldest.abort();
            }
            let operations = Rc::clone(&self);
            let caller = spawn_local(async move {
                let line = timeout(LINE_WITHIN, read_line(&mut stream)).await;
                let line = line.unwrap_or_else(|_| Err("no whole call in time".into()));
                // Once its call is whole it is no longer in anybody's way.
                spawn_local(operations.answer(stream, line));
            });
            at_line.push_back(caller.abort_handle());
        }
    }
}

fn verdict(done: &Result<&'static str, String>) -> String {
    match done {
        Ok(text) => format!("200 {text}"),
        Err(reason) => format!("400 {reason}"),
    }
}

/// One line without its end. The end of the connection ends the line as well.
async fn read_line(stream: &mut TcpStream) -> Result<String, String> {
    let (mut bytes, mut buffer) = (Vec::new(), [0; LINE_CAP]);
    loop {
        if let Some(end) = bytes.iter().position(|&b| b == b'\n') {
            bytes.truncate(end);
            break;
        }
        if bytes.len() > LINE_CAP {
            return Err("the call is too long".into());
        }
        match stream.read(&mut buffer).await {
            Ok(0) => break,
            Ok(n) => bytes.extend_from_slice(&buffer[..n]),
            Err(error) => return Err(format!("the call broke off: {error}")),
        }
    }
    let line = String::from_utf8(bytes).map_err(|_| "the call is no text".to_owned())?;
    Ok(line.trim().to_owned())
}
