//! Faults as the timeline plays them, checked against the processes of a scenario: which processes a name stands
//! for, and which pairs talk and so have a relay between them.

use super::scenario::{Action, Fault, Scenario, Target};
use crate::proxy::admin::Call;
use std::collections::BTreeSet;
use std::fmt;

/// A fault with plain values: what the timeline plays, what the report's `schedule` holds, and what a schedule
/// is read back as.
pub type Step = Fault<f64, String>;

/// One process or stand-in of the rig.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// `proxy-N`.
    Proxy(usize),
    /// `backend-N`.
    Backend(usize),
    /// The list service.
    List,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Proxy(n) => write!(f, "proxy-{n}"),
            Self::Backend(n) => write!(f, "backend-{n}"),
            Self::List => f.write_str("list"),
        }
    }
}

/// What is wrong with a fault, and what its author can do.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum StepError {
    /// Its time, or the time a process it takes down starts again, is not within the run.
    #[error(
        "`at_s` {at} is outside the run of {duration} s, with `down_s` counted in; move it or lengthen `duration_s`"
    )]
    Outside {
        /// When, in seconds.
        at: f64,
        /// The run's length in seconds.
        duration: f64,
    },
    /// A number out of its range.
    #[error("`{name}` is {value}; it must lie in [{low}, {high}]")]
    Number {
        /// The key.
        name: &'static str,
        /// As given.
        value: f64,
        /// The least.
        low: f64,
        /// The most.
        high: f64,
    },
    /// A key that the action needs is missing.
    #[error("`{action:?}` needs {needs}")]
    Missing {
        /// The action.
        action: Action,
        /// What it needs.
        needs: &'static str,
    },
    /// A key that the action, or this form of it, has no use for.
    #[error("`{action:?}` has no use for `{key}` here; take it out")]
    Useless {
        /// The action.
        action: Action,
        /// The key.
        key: &'static str,
    },
    /// A name that the action can't be done to.
    #[error(
        "`{name}` is no target for `{action:?}`; the scenario's own names are `proxy-N`, `backend-N`, `zone-NAME` and `list`"
    )]
    Target {
        /// The action.
        action: Action,
        /// The name.
        name: String,
    },
    /// One process on both sides.
    #[error("`from` and `to` both hold {end}; a process can't be cut off from itself")]
    Overlap {
        /// The process.
        end: End,
        /// The name in `to` that stands for it.
        name: String,
    },
    /// The line of a call is none.
    #[error("`line` `{line}` is no call: {why}; `maint-on backend-0` is one")]
    Line {
        /// As given.
        line: String,
        /// What is wrong with it.
        why: String,
    },
    /// No two of the named processes talk.
    #[error("no process of `from` talks with one of `to` through a relay of its own: {remedy}")]
    Silent {
        /// What would put one there.
        remedy: &'static str,
    },
}

/// The processes of a scenario by their zones, and who talks with whom.
#[derive(Clone, Debug)]
pub struct Places {
    proxies: Vec<String>,
    backends: Vec<String>,
    pair_relays: bool,
    group: bool,
}

impl Places {
    /// The places of a scenario.
    pub fn of(scenario: &Scenario) -> Self {
        let backends = scenario.backends.iter();
        Self {
            proxies: scenario.proxies.iter().map(|p| p.zone.get_ref().clone()).collect(),
            backends: backends.flat_map(|g| vec![g.zone.get_ref().clone(); g.count]).collect(),
            pair_relays: scenario.pair_relays,
            group: scenario.group.is_some(),
        }
    }

    /// How many proxies there are.
    pub fn proxies(&self) -> usize {
        self.proxies.len()
    }

    /// How many backends there are.
    pub fn backends(&self) -> usize {
        self.backends.len()
    }

    /// Every process and stand-in that a name stands for; a zone is its proxies and its backends. Empty for a
    /// name of nothing here.
    pub fn ends(&self, name: &str) -> BTreeSet<End> {
        let of_zone = |zones: &[String], zone: &str, end: fn(usize) -> End| -> Vec<End> {
            (0..zones.len()).filter(|&n| zones[n] == zone).map(end).collect()
        };
        match Target::parse(name) {
            Some(Target::Proxy(n)) if n < self.proxies.len() => BTreeSet::from([End::Proxy(n)]),
            Some(Target::Backend(n)) if n < self.backends.len() => BTreeSet::from([End::Backend(n)]),
            Some(Target::List) => BTreeSet::from([End::List]),
            Some(Target::Zone(zone)) => {
                let mut ends = of_zone(&self.proxies, zone, End::Proxy);
                ends.extend(of_zone(&self.backends, zone, End::Backend));
                ends.into_iter().collect()
            }
            _ => BTreeSet::new(),
        }
    }

    /// Whether two processes talk through a relay of their own.
    pub fn linked(&self, a: End, b: End) -> bool {
        match (a.min(b), a.max(b)) {
            (End::Proxy(a), End::Proxy(b)) => self.group && a != b,
            (End::Proxy(_), End::Backend(_)) => self.pair_relays,
            (End::Proxy(_), End::List) => true,
            _ => false,
        }
    }
}

impl Action {
    /// Whether a process or stand-in of this sort can be its target.
    fn suits(self, end: End) -> bool {
        match end {
            End::Proxy(_) => self.on_process() || self.is_call(),
            End::Backend(_) => !self.on_process() && !self.is_call() && self != Self::Partition,
            End::List => (self.on_process() && self != Self::LoseDisk) || self.on_relay(),
        }
    }
}

impl Step {
    /// A fault at a time with nothing else said.
    pub fn new(at_s: f64, action: Action) -> Self {
        Self {
            at_s,
            action,
            target: None,
            targets: Vec::new(),
            from: Vec::new(),
            to: Vec::new(),
            one_way: false,
            delay_ms: None,
            jitter_ms: None,
            factor: None,
            bytes_per_s: None,
            down_s: None,
            line: None,
        }
    }

    /// The start of the processes that this fault takes down, if it starts them again by itself.
    pub fn start_again(&self) -> Option<Self> {
        let start =
            Self { at_s: self.at_s + self.down_s.unwrap_or(0.0), action: Action::Restart, ..self.clone() };
        self.action.loses().then_some(Self { down_s: None, ..start })
    }

    /// Whether it is done to pairs (`from`, `to`) rather than to targets.
    pub fn on_pairs(&self) -> bool {
        self.action == Action::Partition || !self.from.is_empty() || !self.to.is_empty()
    }

    /// The processes and stand-ins it is done to, in order, each once; those that the action can't be done to
    /// are left out (a zone holds proxies and backends).
    pub fn ends(&self, places: &Places) -> BTreeSet<End> {
        let named = self.target.iter().chain(&self.targets);
        named.flat_map(|name| places.ends(name)).filter(|&end| self.action.suits(end)).collect()
    }

    /// The two sides of a fault on pairs.
    pub fn sides(&self, places: &Places) -> (BTreeSet<End>, BTreeSet<End>) {
        let side = |names: &[String]| names.iter().flat_map(|name| places.ends(name)).collect();
        (side(&self.from), side(&self.to))
    }

    /// The fault in a few words, as the report has it.
    pub fn what(&self) -> String {
        let action = format!("{:?}", self.action);
        if self.on_pairs() {
            let arrow = if self.one_way { ">" } else { "|" };
            return format!("{action} {} {arrow} {}", self.from.join(", "), self.to.join(", "));
        }
        let named: Vec<&str> = self.target.iter().chain(&self.targets).map(String::as_str).collect();
        let line = self.line.as_ref().map_or(String::new(), |line| format!(": {line}"));
        format!("{action} {}{line}", named.join(", "))
    }

    /// Checks the fault against a run of `duration` seconds between these processes.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self, places: &Places, duration: f64) -> Result<(), StepError> {
        let back = self.at_s + self.down_s.unwrap_or(0.0);
        if !(self.at_s.is_finite() && self.at_s >= 0.0 && back <= duration) {
            return Err(StepError::Outside { at: self.at_s, duration });
        }
        self.check_numbers()?;
        self.check_line()?;
        if self.on_pairs() { self.check_sides(places) } else { self.check_targets(places) }
    }

    fn check_numbers(&self) -> Result<(), StepError> {
        let action = self.action;
        let numbers = [
            ("delay_ms", self.delay_ms, 0.0, 60_000.0, action == Action::Delay),
            ("jitter_ms", self.jitter_ms, 0.0, 60_000.0, action == Action::Delay),
            ("factor", self.factor, 0.001, 1e6, action == Action::Slow && !self.on_pairs()),
            ("bytes_per_s", self.bytes_per_s, 1.0, 1e9, action == Action::Slow && self.on_pairs()),
            ("down_s", self.down_s, 0.0, f64::MAX, action.loses()),
        ];
        for (name, value, low, high, useful) in numbers {
            let Some(value) = value else { continue };
            if !(value.is_finite() && value >= low && value <= high) {
                return Err(StepError::Number { name, value, low, high });
            }
            if !useful {
                return Err(StepError::Useless { action, key: name });
            }
        }
        Ok(())
    }

    /// A fault has a line when, and only when, it is a call, and the line is one that a proxy understands.
    fn check_line(&self) -> Result<(), StepError> {
        let action = self.action;
        match (&self.line, action.is_call()) {
            (None, false) => Ok(()),
            (None, true) => Err(StepError::Missing { action, needs: "its `line`, such as `status`" }),
            (Some(_), false) => Err(StepError::Useless { action, key: "line" }),
            (Some(line), true) => match Call::parse(line) {
                Ok(_) => Ok(()),
                Err(why) => Err(StepError::Line { line: line.clone(), why: why.to_string() }),
            },
        }
    }

    fn check_sides(&self, places: &Places) -> Result<(), StepError> {
        let action = self.action;
        let named = |key| StepError::Useless { action, key };
        if self.target.is_some() || !self.targets.is_empty() {
            return Err(named(if self.target.is_some() { "target" } else { "targets" }));
        }
        if !action.on_pairs() {
            return Err(named(if self.from.is_empty() { "to" } else { "from" }));
        }
        if self.one_way && matches!(action, Action::Refuse | Action::Reset) {
            return Err(named("one_way"));
        }
        if self.from.is_empty() || self.to.is_empty() {
            return Err(StepError::Missing { action, needs: "`from` and `to`, each a list of names" });
        }
        if action == Action::Slow && self.bytes_per_s.is_none() {
            return Err(StepError::Missing { action, needs: "`bytes_per_s` on a pair" });
        }
        let unknown = self.from.iter().chain(&self.to).find(|name| places.ends(name).is_empty());
        if let Some(name) = unknown {
            return Err(StepError::Target { action, name: name.clone() });
        }
        let (from, to) = self.sides(places);
        if let Some(&end) = from.intersection(&to).next() {
            let name = self.to.iter().find(|name| places.ends(name).contains(&end));
            return Err(StepError::Overlap { end, name: name.cloned().unwrap_or_default() });
        }
        let linked = from.iter().any(|&a| to.iter().any(|&b| places.linked(a, b)));
        if linked { Ok(()) } else { Err(StepError::Silent { remedy: remedy(&from, &to) }) }
    }

    fn check_targets(&self, places: &Places) -> Result<(), StepError> {
        let action = self.action;
        if self.one_way {
            return Err(StepError::Useless { action, key: "one_way" });
        }
        let mut named = self.target.iter().chain(&self.targets).peekable();
        if named.peek().is_none() {
            return Err(StepError::Missing { action, needs: "a `target`, or `targets`" });
        }
        let wrong = named.find(|name| !places.ends(name).iter().any(|&end| action.suits(end)));
        wrong.map_or(Ok(()), |name| Err(StepError::Target { action, name: name.clone() }))
    }
}

/// What would put a relay between two sides that have none.
fn remedy(from: &BTreeSet<End>, to: &BTreeSet<End>) -> &'static str {
    let has = |kind: fn(&End) -> bool| (from.iter().any(kind), to.iter().any(kind));
    let (proxies, backends) = (has(|e| matches!(e, End::Proxy(_))), has(|e| matches!(e, End::Backend(_))));
    match (proxies, backends) {
        ((true, _), (_, true)) | ((_, true), (true, _)) => "set `pair_relays = true` at the head of the file",
        ((true, true), _) => "give the scenario a `[group]` section, which lets its proxies talk",
        _ => "one side must hold a proxy, since only proxies dial others",
    }
}
