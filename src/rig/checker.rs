//! What a run's history must keep to, judged after each play.
//!
//! **What the ban register means.** For each backend there is a register, `banned` or not, false at the start. Without
//! a group each proxy has registers of its own, since its bans live in its own `$TMPDIR`; in a group there is one
//! for all proxies. `maint-on` answered 200 writes true, `maint-off` answered 200 writes false, at one moment
//! between the call's start and its end. A call answered 400 that doesn't say that it may still come into force, and a
//! call that never reached the proxy, wrote nothing. A call whose outcome is unknown (no answer, a broken
//! connection, "may still come into force", "the proxy is ending") may have written at any moment after its start, or
//! never; without a group at the latest when the connection broke or the process was seen to have ended. A read is a
//! look at the proxy's stored bans: without a group after each answered call and at the end of the run; in a group
//! at the end alone, at every proxy that runs.
//!
//! The search for an order is the tester's of `stateright`. Its time may grow exponentially with the calls that are
//! under way at once, so a register's history is cut wherever none is: each stretch is searched by itself, from
//! every state that the one before can have left, for every state that it can leave. What is too long even so is
//! called undecided.
//!
//! Every check says how many events it judged. One that had none to judge proves nothing and says so.

use super::history::{Ending, Entry, What};
use crate::proxy::admin::Call;
use serde::{Deserialize, Serialize};
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The names of the checks, as the report has them: each backend's ban is a linearizable register.
pub const BAN_REGISTER: &str = "ban_register";
/// A backend got nothing while a ban that was answered with yes was in force.
pub const NO_YES_LOST: &str = "no_yes_lost";
/// At most one node acts at a time.
pub const ONE_ACTS: &str = "one_acts";
/// No node's revision goes back.
pub const REVISION: &str = "revision_forward";

/// From the yes to the moment from which a banned backend may get nothing more, in microseconds: the grace of a
/// drain, the 50 ms that the rules on sockets add to every limit, and 250 ms for a loaded machine.
pub const GRACE_US: u64 = 500_000 + 50_000 + 250_000;
/// The most steps that one search for an order takes.
const MOST_STEPS: u64 = 10_000;
/// The most calls and looks of one stretch that are searched, and those among them with an unknown outcome.
const MOST_OPS: usize = 500;
const MOST_UNKNOWN: usize = 4;
/// How many operations before and after a look are searched where the whole is too long.
const PART: usize = 4;
/// The most violations that one check lists.
const MOST_LISTED: usize = 20;

/// What a check found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Everything judged was as it must be.
    Ok,
    /// Something was not.
    Violated,
    /// The search was cut off, or the history is not whole: neither is known.
    Undecided,
    /// The history has nothing that the check is about.
    NothingToJudge,
}

/// One check of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Its name.
    pub name: String,
    /// What it found.
    pub verdict: Verdict,
    /// True or false where the verdict says either; null where nothing was shown.
    pub ok: Option<bool>,
    /// How many events it judged.
    pub judged: u64,
    /// What these events are, and what was left out.
    pub events: String,
    /// What was wrong, at most 20 of them in full.
    pub violations: Vec<String>,
}

impl Check {
    fn new(name: &str, judged: u64, events: String, mut violations: Vec<String>, undecided: bool) -> Self {
        if violations.len() > MOST_LISTED {
            let more = violations.len() - MOST_LISTED;
            violations.truncate(MOST_LISTED);
            violations.push(format!("and {more} more"));
        }
        let verdict = match (violations.is_empty(), undecided, judged) {
            (false, ..) => Verdict::Violated,
            (true, true, _) => Verdict::Undecided,
            (true, false, 0) => Verdict::NothingToJudge,
            (true, false, _) => Verdict::Ok,
        };
        let ok = match verdict {
            Verdict::Ok => Some(true),
            Verdict::Violated => Some(false),
            Verdict::Undecided | Verdict::NothingToJudge => None,
        };
        Self { name: name.to_owned(), verdict, ok, judged, events, violations }
    }
}

/// Judges a history, whose entries may stand in any order.
#[must_use]
pub fn check(entries: &[Entry]) -> Vec<Check> {
    let mut entries: Vec<&Entry> = entries.iter().collect();
    entries.sort_by_key(|entry| entry.at_us);
    let whole = !entries.iter().any(|entry| entry.what == What::Truncated);
    let ops = operations(&entries);
    let mut checks =
        vec![ban_register(&ops), no_yes_lost(&entries, &ops), one_acts(&entries), revision_forward(&entries)];
    // What was seen wrong is wrong; that nothing was seen in a part shows nothing.
    for check in checks.iter_mut().filter(|check| !whole && check.verdict != Verdict::Violated) {
        (check.verdict, check.ok) = (Verdict::Undecided, None);
        check.events.push_str("; the history was cut off");
    }
    checks
}

/// A register: the proxy that holds it, `None` where the group does, and the backend.
type Key = (Option<String>, String);

/// What a call or a look did to a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Did {
    Write(bool),
    Read(bool),
}

/// A call or a look at one register.
#[derive(Clone, Debug)]
struct Operation {
    start_us: u64,
    /// When it was answered; `None`: its outcome is unknown.
    end_us: Option<u64>,
    /// The last moment at which it can have had its effect, `u64::MAX` where none is known.
    last_us: u64,
    /// When the one who did it stopped waiting.
    left_us: u64,
    did: Did,
    /// For the report.
    text: String,
}

/// The operations on each register, in the order of their ends.
fn operations(entries: &[&Entry]) -> BTreeMap<Key, Vec<Operation>> {
    let group = entries.iter().any(|entry| matches!(entry.what, What::Run { group: true, .. }));
    let key = |node: &str, backend: &str| ((!group).then(|| node.to_owned()), backend.to_owned());
    let mut ops: BTreeMap<Key, Vec<Operation>> = BTreeMap::new();
    for entry in entries {
        let What::Call { call, start_us, node, line, ended } = &entry.what else { continue };
        let (backend, on) = match Call::parse(line) {
            Ok(Call::MaintOn(id)) => (id, true),
            Ok(Call::MaintOff(id)) => (id, false),
            _ => continue,
        };
        let Some(known) = outcome(ended) else { continue };
        let text = format!("call {call} `{line}` to {node} ({ended:?})");
        let last_us = match ended {
            _ if known => entry.at_us,
            // In a group another node may carry it out later.
            _ if group => u64::MAX,
            Ending::Broke(_) => entry.at_us,
            _ => end_of(entries, node, *start_us),
        };
        ops.entry(key(node, &backend)).or_default().push(Operation {
            start_us: *start_us,
            end_us: known.then_some(entry.at_us),
            last_us,
            left_us: entry.at_us,
            did: Did::Write(on),
            text,
        });
    }
    // A look shows every register that was ever written, and those that hold a ban nobody called for.
    for entry in entries {
        let What::Read { start_us, node, banned } = &entry.what else { continue };
        for id in banned {
            ops.entry(key(node, id)).or_default();
        }
        let holder = (!group).then(|| node.clone());
        for ((_, backend), ops) in ops.iter_mut().filter(|((held_by, _), _)| *held_by == holder) {
            let value = banned.contains(backend);
            ops.push(Operation {
                start_us: *start_us,
                end_us: Some(entry.at_us),
                last_us: entry.at_us,
                left_us: entry.at_us,
                did: Did::Read(value),
                text: format!("a look at {node}'s bans, {}", if value { "banned" } else { "not banned" }),
            });
        }
    }
    ops.values_mut().for_each(|ops| ops.sort_by_key(|op| (op.left_us, op.start_us)));
    ops
}

/// When the process of a node that a call from `start_us` on may have reached was seen to have ended.
fn end_of(entries: &[&Entry], node: &str, start_us: u64) -> u64 {
    let ended = entries.iter().find(|entry| {
        entry.at_us >= start_us && matches!(&entry.what, What::End { node: ended, .. } if ended == node)
    });
    ended.map_or(u64::MAX, |entry| entry.at_us)
}

/// Whether a call's effect is known to have come (true) or unknown (false); `None`: it had none.
fn outcome(ended: &Ending) -> Option<bool> {
    match ended {
        Ending::Unreachable(_) => None,
        Ending::Broke(_) | Ending::TimedOut => Some(false),
        Ending::Answer(answer) if answer.starts_with("200") => Some(true),
        Ending::Answer(answer) if answer.starts_with("400") => {
            let open = answer.contains("may still come into force") || answer.contains("is ending");
            open.then_some(false)
        }
        Ending::Answer(_) => Some(false),
    }
}

/// One backend's ban as the tester's reference object. Its steps are counted over all of a search's copies, and
/// once they are used up no step is valid any more, which ends the search.
#[derive(Clone, Debug)]
struct Register {
    banned: bool,
    steps: Rc<Cell<u64>>,
}

impl SequentialSpec for Register {
    type Op = Did;
    type Ret = Option<bool>;

    fn invoke(&mut self, op: &Did) -> Option<bool> {
        self.steps.set(self.steps.get() + 1);
        match *op {
            Did::Write(banned) => {
                self.banned = banned;
                None
            }
            Did::Read(_) => Some(self.banned),
        }
    }

    fn is_valid_step(&mut self, op: &Did, ret: &Option<bool>) -> bool {
        self.steps.get() < MOST_STEPS && self.invoke(op) == *ret
    }
}

fn name(key: &Key) -> String {
    match &key.0 {
        Some(node) => format!("the ban of {} at {node}", key.1),
        None => format!("the group's ban of {}", key.1),
    }
}

/// Each register is linearizable over the calls and the looks.
fn ban_register(ops: &BTreeMap<Key, Vec<Operation>>) -> Check {
    let (mut judged, mut undecided, mut violations) = (0, Vec::new(), Vec::new());
    for (key, ops) in ops {
        judged += ops.len() as u64;
        match judge(ops) {
            Found::Order => {}
            Found::None(text) => violations.push(format!("{} was not one register: {text}", name(key))),
            Found::TooLong => undecided.push(name(key)),
        }
    }
    let mut events = "calls to maint-on and maint-off, and looks at the stored bans".to_owned();
    if !undecided.is_empty() {
        events.push_str(&format!("; undecided: {}", undecided.join(", ")));
    }
    Check::new(BAN_REGISTER, judged, events, violations, !undecided.is_empty())
}

/// Whether a register's operations have an order.
enum Found {
    Order,
    /// None, and where it fails.
    None(String),
    TooLong,
}

/// Judges the operations of one register, one stretch after the other.
fn judge(ops: &[Operation]) -> Found {
    // The states that a stretch can begin in, and whether an order of all before is known to leave them.
    let mut states = BTreeMap::from([(false, true)]);
    for stretch in stretches(ops) {
        let mut left: BTreeMap<bool, bool> = BTreeMap::new();
        for (&from, &known) in &states {
            for to in [false, true] {
                match leads(&stretch, from, to) {
                    Some(false) => {}
                    order => *left.entry(to).or_default() |= known && order == Some(true),
                }
            }
        }
        let shown = left.values().any(|&known| known);
        if left.is_empty() || (!shown && contradicted(&of_use(&stretch))) {
            return Found::None(explain(&stretch, states.into_keys().collect()));
        }
        states = left;
    }
    if states.into_values().any(|known| known) { Found::Order } else { Found::TooLong }
}

/// Whether a stretch can lead from one state to another.
fn leads(stretch: &[&Operation], from: bool, to: bool) -> Option<bool> {
    let last_look = Operation {
        start_us: u64::MAX - 1,
        end_us: Some(u64::MAX),
        last_us: u64::MAX,
        left_us: u64::MAX,
        did: Did::Read(to),
        text: String::new(),
    };
    let all: Vec<&Operation> = stretch.iter().copied().chain([&last_look]).collect();
    search(&of_use(&all), from)
}

/// The operations in stretches: none of one can have had its effect after one of the next began.
fn stretches(ops: &[Operation]) -> Vec<Vec<&Operation>> {
    let mut sorted: Vec<&Operation> = ops.iter().collect();
    sorted.sort_by_key(|op| op.start_us);
    let (mut stretches, mut last): (Vec<Vec<&Operation>>, u64) = (Vec::new(), 0);
    for op in sorted {
        match stretches.last_mut() {
            Some(stretch) if op.start_us <= last => stretch.push(op),
            _ => stretches.push(vec![op]),
        }
        last = last.max(op.last_us);
    }
    stretches
}

/// Without the calls of unknown outcome that no order needs: one is needed only for a look that finds its value, each
/// for another look, and of two with one value the one that began first serves as well as the other.
fn of_use<'a>(ops: &[&'a Operation]) -> Vec<&'a Operation> {
    let (mut kept, open): (Vec<&Operation>, Vec<_>) = ops.iter().partition(|op| op.end_us.is_some());
    for value in [false, true] {
        let looks: Vec<u64> =
            kept.iter().filter(|op| op.did == Did::Read(value)).map(|op| op.left_us).collect();
        let mut open: Vec<_> = open.iter().filter(|op| op.did == Did::Write(value)).copied().collect();
        open.retain(|op| looks.iter().any(|&look| look > op.start_us));
        open.sort_by_key(|op| op.start_us);
        kept.extend(open.into_iter().take(looks.len()));
    }
    kept
}

/// Whether a part of the operations, from a moment at which none was under way, fits neither start. Where a whole
/// is too long to be searched, a contradiction often lies within a few looks: those that find another value
/// than the last answered call wrote. A whole that has an order gives every such part one.
fn contradicted(ops: &[&Operation]) -> bool {
    let (mut known, open): (Vec<&Operation>, Vec<_>) = ops.iter().partition(|op| op.end_us.is_some());
    known.sort_by_key(|op| op.left_us);
    let mut written = false;
    for (n, op) in known.iter().enumerate() {
        match op.did {
            Did::Read(value) if value != written => {}
            Did::Read(_) => continue,
            Did::Write(value) => {
                written = value;
                continue;
            }
        }
        let rests = |&from: &usize| {
            let before = known[..from].last().map_or(0, |op| op.left_us);
            from == 0 || known[from..].iter().all(|op| op.start_us > before)
        };
        let Some(from) = (n.saturating_sub(PART)..=n).find(rests) else { continue };
        let until = known[(n + PART).min(known.len() - 1)].left_us;
        let part: Vec<&Operation> = known[from..].iter().chain(&open).copied().collect();
        let part = up_to(&part, until);
        let part: Vec<&Operation> = part.iter().collect();
        if [false, true].into_iter().all(|start| search(&of_use(&part), start) == Some(false)) {
            return true;
        }
    }
    false
}

/// Searches for an order of the operations that a register could have had that began with `banned`.
fn search(ops: &[&Operation], banned: bool) -> Option<bool> {
    let unknown = ops.iter().filter(|op| op.end_us.is_none()).count();
    if ops.len() > MOST_OPS || unknown > MOST_UNKNOWN {
        return None;
    }
    let steps = Rc::new(Cell::new(0));
    let mut tester = LinearizabilityTester::new(Register { banned, steps: Rc::clone(&steps) });
    for (_, step, thread, op) in schedule(ops) {
        let taken = match (step, op.did) {
            (Step::Begin, did) => tester.on_invoke(thread, did).map(drop),
            (Step::Return, Did::Write(_)) => tester.on_return(thread, None).map(drop),
            (Step::Return, Did::Read(value)) => tester.on_return(thread, Some(value)).map(drop),
        };
        // Only a thread with two operations at a time is refused, and no thread of ours has.
        taken.ok()?;
    }
    let found = tester.is_consistent();
    (found || steps.get() < MOST_STEPS).then_some(found)
}

/// An operation's two ends. Of two at the same microsecond the beginning comes first: they overlap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin,
    Return,
}

/// The ends of the operations in the order of time, each on a thread that has one operation at a time. Those that
/// never return have threads of their own, behind the others, so that the search tries to do without them first.
fn schedule<'a>(ops: &[&'a Operation]) -> Vec<(u64, Step, usize, &'a Operation)> {
    let mut sorted: Vec<&Operation> = ops.to_vec();
    sorted.sort_by_key(|op| op.start_us);
    let (mut free_from, mut steps): (Vec<u64>, Vec<_>) = (Vec::new(), Vec::new());
    let mut unknown = ops.len();
    for op in sorted {
        let Some(end) = op.end_us else {
            unknown += 1;
            steps.push((op.start_us, Step::Begin, unknown, op));
            continue;
        };
        let thread = free_from.iter().position(|&from| from < op.start_us).unwrap_or_else(|| {
            free_from.push(0);
            free_from.len() - 1
        });
        free_from[thread] = end;
        steps.push((op.start_us, Step::Begin, thread, op));
        steps.push((end, Step::Return, thread, op));
    }
    steps.sort_by_key(|&(at, step, thread, _)| (at, step, thread));
    steps
}

/// What was done to a register up to a moment: what was under way then has no outcome yet.
fn up_to(ops: &[&Operation], at_us: u64) -> Vec<Operation> {
    let begun = ops.iter().filter(|op| op.start_us <= at_us);
    let cut = |op: &&Operation| Operation { end_us: op.end_us.filter(|&end| end <= at_us), ..(**op).clone() };
    begun.map(cut).collect()
}

/// The operation of a stretch at whose end there was no order any more, with the last answered call before it.
fn explain(stretch: &[&Operation], states: BTreeSet<bool>) -> String {
    let mut ops = stretch.to_vec();
    ops.sort_by_key(|op| op.left_us);
    // A history that has an order has one at every moment before, too.
    let fits = |op: &&Operation| {
        let cut = up_to(&ops, op.left_us);
        let cut: Vec<_> = cut.iter().collect();
        states.iter().any(|&state| search(&of_use(&cut), state) != Some(false))
    };
    let first = ops.partition_point(fits).min(ops.len() - 1);
    let before = ops[..first].iter().rev().find(|op| matches!(op.did, Did::Write(_)) && op.end_us.is_some());
    let before = match (before, states.contains(&true), states.contains(&false)) {
        (Some(op), ..) => format!("the last answered before it: {}", op.text),
        (None, true, false) => "it was banned before".to_owned(),
        (None, false, true) => "it was not banned before".to_owned(),
        (None, ..) => "whatever it was before".to_owned(),
    };
    let at = ops[first].left_us as f64 / 1e6;
    format!("{} at {at:.3} s fits no order of the calls; {before}", ops[first].text)
}

/// A time in which a ban answered with yes forbids a backend, with the call that was answered.
pub struct Span {
    /// The proxy that is bound; `None`: every one.
    pub node: Option<String>,
    /// The backend.
    pub backend: String,
    /// The yes.
    pub from_us: u64,
    /// The start of the first `maint-off` after it that may have had an effect, `u64::MAX` if there is none.
    pub until_us: u64,
    text: String,
}

impl Span {
    /// Whether it forbids its backend to `node` at `at_us`, its grace aside.
    #[must_use]
    pub fn forbids(&self, node: Option<&str>, at_us: u64) -> bool {
        (self.node.is_none() || self.node.as_deref() == node)
            && (self.from_us..self.until_us).contains(&at_us)
    }
}

/// The spans that the calls of a history make.
#[must_use]
pub fn spans(entries: &[Entry]) -> Vec<Span> {
    let entries: Vec<&Entry> = entries.iter().collect();
    ban_spans(&operations(&entries)).0
}

/// The spans, and how many yeses make none because a `maint-off` may have come after them: one that overlaps the
/// call, or an earlier one of unknown outcome that may still come into force.
fn ban_spans(ops: &BTreeMap<Key, Vec<Operation>>) -> (Vec<Span>, u64) {
    let (mut spans, mut open) = (Vec::new(), 0);
    for (key, ops) in ops {
        let offs: Vec<&Operation> = ops.iter().filter(|op| op.did == Did::Write(false)).collect();
        for op in ops.iter().filter(|op| op.did == Did::Write(true)) {
            let Some(end) = op.end_us else { continue };
            let unclear = |off: &&Operation| off.start_us <= end && off.last_us >= op.start_us;
            if offs.iter().any(unclear) {
                open += 1;
                continue;
            }
            let later = offs.iter().map(|off| off.start_us).filter(|&start| start > end);
            spans.push(Span {
                node: key.0.clone(),
                backend: key.1.clone(),
                from_us: end,
                until_us: later.min().unwrap_or(u64::MAX),
                text: op.text.clone(),
            });
        }
    }
    (spans, open)
}

/// After the grace from a yes to `maint-on`, until a `maint-off` is begun, nothing reaches the backend.
fn no_yes_lost(entries: &[&Entry], ops: &BTreeMap<Key, Vec<Operation>>) -> Check {
    let (spans, open) = ban_spans(ops);
    let mut violations = Vec::new();
    let mut seen = 0_u64;
    for entry in entries {
        let What::Sent { backend, node, id } = &entry.what else { continue };
        seen += 1;
        let forbids = |span: &&Span| {
            let after = entry.at_us > span.from_us.saturating_add(GRACE_US);
            span.backend == *backend && after && span.forbids(node.as_deref(), entry.at_us)
        };
        if let Some(span) = spans.iter().find(forbids) {
            violations.push(format!(
                "{backend} got request {id} from {} at {:.3} s, {:.3} s after the yes to {}",
                node.as_deref().unwrap_or("an unknown proxy"),
                entry.at_us as f64 / 1e6,
                (entry.at_us - span.from_us) as f64 / 1e6,
                span.text
            ));
        }
    }
    let reached = entries.iter().filter_map(|entry| match entry.what {
        What::Reached { requests } => Some(requests),
        _ => None,
    });
    let reached: u64 = reached.sum();
    let mut events = format!(
        "bans answered with yes; of {reached} requests that reached backends {seen} went to one under a ban, in its grace or after"
    );
    // Where nothing was sent to anybody, no ban was put to the test.
    let judged = if reached > 0 { spans.len() as u64 } else { 0 };
    if open > 0 {
        events.push_str(&format!("; {open} more yeses that a call back may have followed are not judged"));
    }
    Check::new(NO_YES_LOST, judged, events, violations, false)
}

/// The acts of the processes of one kind, in the order they were seen: when at the earliest and at the latest, by
/// whom, and the line.
fn acts<'a>(entries: &'a [&Entry], event: &str) -> Vec<(u64, u64, &'a str, &'a serde_json::Value)> {
    let act = |entry: &&'a Entry| match &entry.what {
        What::Act { node, after_us, line, .. } if line["event"] == event => {
            Some((*after_us, entry.at_us, node.as_str(), line))
        }
        _ => None,
    };
    entries.iter().filter_map(act).collect()
}

/// In one term one node acts, and once an act of a newer term was seen none of an older one is done. An act is
/// known to lie between two looks at its log; only what is out of order for certain is a violation. The acts of one
/// node are in the order of its log.
fn one_acts(entries: &[&Entry]) -> Check {
    let acts = acts(entries, "act");
    let mut violations = Vec::new();
    let mut actors: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    // The newest term of an act that was certainly done, and when it was seen.
    let mut newest: Option<(u64, u64, &str)> = None;
    for &(after_us, at_us, node, line) in &acts {
        let Some(term) = line["term"].as_u64() else {
            violations.push(format!("an act of {node} at {:.3} s has no term: {line}", at_us as f64 / 1e6));
            continue;
        };
        let actors = actors.entry(term).or_default();
        if actors.insert(node) && actors.len() > 1 {
            let others: Vec<_> = actors.iter().filter(|other| **other != node).copied().collect();
            violations.push(format!(
                "in term {term} {node} acted at {:.3} s, and so did {}",
                at_us as f64 / 1e6,
                others.join(", ")
            ));
        }
        if let Some((newer, seen_us, other)) = newest
            && term < newer
            && (after_us > seen_us || other == node)
        {
            violations.push(format!(
                "{node} acted in term {term} at {:.3} s, after {other} had acted in term {newer} at {:.3} s",
                at_us as f64 / 1e6,
                seen_us as f64 / 1e6
            ));
        }
        if newest.is_none_or(|(newer, ..)| term > newer) {
            newest = Some((term, at_us, node));
        }
    }
    Check::new(ONE_ACTS, acts.len() as u64, "acts of a coordinator".to_owned(), violations, false)
}

/// The revisions that a node says it has taken never go back, over its restarts too.
fn revision_forward(entries: &[&Entry]) -> Check {
    let taken = acts(entries, "revision");
    let mut violations = Vec::new();
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for &(_, at_us, node, line) in &taken {
        let Some(revision) = line["revision"].as_u64() else {
            violations.push(format!("a revision of {node} at {:.3} s is none: {line}", at_us as f64 / 1e6));
            continue;
        };
        let before = newest.entry(node).or_insert(revision);
        if revision < *before {
            let at = at_us as f64 / 1e6;
            violations.push(format!("{node} went from revision {before} back to {revision} at {at:.3} s"));
        }
        *before = revision;
    }
    Check::new(REVISION, taken.len() as u64, "revisions taken".to_owned(), violations, false)
}
