//! A rig scenario as its TOML file gives it: the processes, their zones, the load and a timeline of faults.
//!
//! Every number is checked before anything starts; an error names the line of the file that is wrong.

use serde::Deserialize;
use std::net::IpAddr;
use std::path::Path;
use std::{fmt, fs};
use toml::Spanned;

/// The longest run a scenario may ask for, in seconds: every run stops by itself.
pub const MOST_SECONDS: f64 = 600.0;
/// The most requests a scenario may send.
pub const MOST_REQUESTS: u64 = 1_000_000;

/// A scenario, checked. Times are seconds from the start of the load.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name, in the report.
    pub name: String,
    /// How long the load runs, in seconds: (0, 600].
    pub duration_s: Spanned<f64>,
    /// For every random number of the rig: arrivals, service times, errors.
    #[serde(default = "one")]
    pub seed: u64,
    /// The address that every listener of the rig takes; it must be on loopback (127.0.0.0/8 or ::1).
    #[serde(default = "loopback")]
    pub host: Spanned<String>,
    /// The zones, in order; proxies and backends name theirs.
    pub zones: Vec<String>,
    /// The proxies, `proxy-0` onwards.
    #[serde(default, rename = "proxy")]
    pub proxies: Vec<ProxySpec>,
    /// Groups of stand-in backends, numbered `backend-0` onwards in the order of the file.
    #[serde(default, rename = "backend")]
    pub backends: Vec<BackendSpec>,
    /// The clients.
    pub load: Load,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// One proxy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySpec {
    /// The zone it stands in.
    pub zone: Spanned<String>,
    /// Whether it keeps what it learns in a `state_dir` of its own, so that a restart goes on from it.
    #[serde(default)]
    pub keep_state: bool,
}

/// A group of stand-in backends that behave alike.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// The zone they stand in.
    pub zone: Spanned<String>,
    /// How many.
    #[serde(default = "one_usize")]
    pub count: usize,
    /// Mean service time in milliseconds; service times are exponential around it.
    pub service_ms: Spanned<f64>,
    /// The share of requests answered with 500, in [0, 1].
    #[serde(default = "zero")]
    pub error_share: Spanned<f64>,
    /// Seconds after its start in which a backend is cold: service times begin at three times the mean and fall
    /// linearly to it.
    #[serde(default = "zero")]
    pub warm_s: Spanned<f64>,
}

/// The clients: open-loop arrivals, as many come whatever the proxies do.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Arrivals per second (Poisson), over all proxies.
    pub rate: Spanned<f64>,
    /// What a client waits for an answer, in milliseconds; it goes in `X-Time-Left-Ms`.
    pub deadline_ms: Spanned<f64>,
    /// The latency a proxy aims for, in milliseconds: the bound of its AIMD; also what counts as late.
    pub aim_ms: Spanned<f64>,
    /// The share of requests that are keyed (`POST` with an `Idempotency-Key`), in [0, 1].
    #[serde(default = "zero")]
    pub keyed_share: Spanned<f64>,
    /// The most requests the run sends.
    #[serde(default = "most_requests")]
    pub max_requests: u64,
}

/// One fault on the timeline.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds from the start of the load.
    pub at_s: Spanned<f64>,
    /// What happens.
    pub action: Action,
    /// To whom: `proxy-N`, `backend-N`, `zone-NAME` for all backends of a zone, or `list` for the list service
    /// (its process or the relay before it).
    pub target: Spanned<String>,
    /// For `delay`: milliseconds added to every chunk each way.
    #[serde(default)]
    pub delay_ms: f64,
    /// For `delay`: up to this many milliseconds more, uniformly.
    #[serde(default)]
    pub jitter_ms: f64,
    /// For `slow`: the factor on service times.
    #[serde(default = "two")]
    pub factor: f64,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// SIGKILL to a proxy.
    Kill,
    /// SIGTERM to a proxy: it finishes what it has and ends.
    Term,
    /// SIGSTOP to a proxy.
    Stop,
    /// SIGCONT to a proxy.
    Cont,
    /// Starts a proxy that has ended again, on its address.
    Restart,
    /// The relay before a backend accepts and never answers; open connections stall.
    BlackHole,
    /// The relay adds `delay_ms` and `jitter_ms` to every chunk.
    Delay,
    /// The relay closes every new connection at once.
    Refuse,
    /// The relay resets every open connection.
    Reset,
    /// The relay passes everything again.
    Heal,
    /// The backend's service times are `factor` times as long.
    Slow,
    /// The backend answers every request with 500.
    Fail,
    /// The backend never answers.
    Hang,
    /// The backend behaves as its group again.
    Recover,
    /// The list service says the backend is `leaving`.
    Drain,
    /// The list service says the backend is `active` again.
    Undrain,
}

impl Action {
    /// Whether it is done to a proxy rather than to a backend.
    pub fn on_proxy(self) -> bool {
        matches!(self, Self::Kill | Self::Term | Self::Stop | Self::Cont | Self::Restart)
    }

    /// Whether the relay before a process carries it out.
    pub fn on_relay(self) -> bool {
        matches!(self, Self::BlackHole | Self::Delay | Self::Refuse | Self::Reset | Self::Heal)
    }
}

/// Why a scenario can't run.
#[derive(Debug)]
pub enum ScenarioError {
    /// The file can't be read.
    Unreadable(String, std::io::Error),
    /// The file is no scenario; the message of the TOML parser names line and column.
    Malformed(String),
    /// A value makes no sense: the line, and what is wrong.
    Invalid(usize, String),
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, error) => write!(f, "cannot read {path}: {error}"),
            Self::Malformed(message) => write!(f, "malformed scenario: {message}"),
            Self::Invalid(line, message) => write!(f, "line {line}: {message}"),
        }
    }
}

impl std::error::Error for ScenarioError {}

fn one() -> u64 {
    1
}

fn one_usize() -> usize {
    1
}

fn zero() -> Spanned<f64> {
    Spanned::new(0..0, 0.0)
}

fn two() -> f64 {
    2.0
}

fn most_requests() -> u64 {
    MOST_REQUESTS
}

fn loopback() -> Spanned<String> {
    Spanned::new(0..0, "127.0.0.1".to_owned())
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    /// A file that can't be read, is not TOML of this shape, or has a value out of its range.
    pub fn from_file(path: &Path) -> Result<Self, ScenarioError> {
        let text =
            fs::read_to_string(path).map_err(|e| ScenarioError::Unreadable(path.display().to_string(), e))?;
        Self::parse(&text)
    }

    /// Parses and checks a scenario given as text.
    ///
    /// # Errors
    /// As [`Scenario::from_file`].
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = toml::from_str(text).map_err(|e| ScenarioError::Malformed(e.to_string()))?;
        scenario.check(text)?;
        Ok(scenario)
    }

    /// The host every listener takes.
    pub fn ip(&self) -> IpAddr {
        self.host.get_ref().parse().expect("checked on parsing")
    }

    /// How many backends there are in all.
    pub fn backend_count(&self) -> usize {
        self.backends.iter().map(|group| group.count).sum()
    }

    /// The index of a zone by its name.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }

    fn check(&self, text: &str) -> Result<(), ScenarioError> {
        let line = |span: std::ops::Range<usize>| text[..span.start.min(text.len())].lines().count().max(1);
        let fail = |span, message: String| Err(ScenarioError::Invalid(line(span), message));
        let within = |value: &Spanned<f64>, name: &str, low: f64, high: f64| {
            let v = *value.get_ref();
            if v.is_finite() && v >= low && v <= high {
                return Ok(());
            }
            fail(value.span(), format!("`{name}` is {v}; it must lie in [{low}, {high}]"))
        };
        within(&self.duration_s, "duration_s", 0.001, MOST_SECONDS)?;
        match self.host.get_ref().parse::<IpAddr>() {
            Ok(ip) if ip.is_loopback() => {}
            _ => return fail(self.host.span(), format!("`host` {} is not on loopback", self.host.get_ref())),
        }
        if self.proxies.is_empty() || self.backend_count() == 0 {
            return fail(0..0, "a scenario needs at least one proxy and one backend".to_owned());
        }
        let zone = |name: &Spanned<String>| match self.zone(name.get_ref()) {
            Some(_) => Ok(()),
            None => fail(name.span(), format!("zone `{}` is not in `zones`", name.get_ref())),
        };
        self.proxies.iter().try_for_each(|proxy| zone(&proxy.zone))?;
        for group in &self.backends {
            zone(&group.zone)?;
            within(&group.service_ms, "service_ms", 0.0, 60_000.0)?;
            within(&group.error_share, "error_share", 0.0, 1.0)?;
            within(&group.warm_s, "warm_s", 0.0, MOST_SECONDS)?;
        }
        let load = &self.load;
        within(&load.rate, "rate", 0.001, 100_000.0)?;
        within(&load.deadline_ms, "deadline_ms", 1.0, 600_000.0)?;
        within(&load.aim_ms, "aim_ms", 1.0, *load.deadline_ms.get_ref())?;
        within(&load.keyed_share, "keyed_share", 0.0, 1.0)?;
        if load.max_requests > MOST_REQUESTS {
            return fail(0..0, format!("`max_requests` is over {MOST_REQUESTS}"));
        }
        self.faults.iter().try_for_each(|fault| self.check_fault(fault, &fail))
    }

    fn check_fault(
        &self,
        fault: &Fault,
        fail: &impl Fn(std::ops::Range<usize>, String) -> Result<(), ScenarioError>,
    ) -> Result<(), ScenarioError> {
        let at = *fault.at_s.get_ref();
        if !(at.is_finite() && (0.0..=*self.duration_s.get_ref()).contains(&at)) {
            return fail(fault.at_s.span(), format!("`at_s` {at} is outside the run"));
        }
        let sane = |v: f64| v.is_finite() && v >= 0.0;
        if !(sane(fault.delay_ms) && sane(fault.jitter_ms) && sane(fault.factor) && fault.factor > 0.0) {
            return fail(
                fault.at_s.span(),
                "`delay_ms`, `jitter_ms` and `factor` must be positive".to_owned(),
            );
        }
        let target = fault.target.get_ref();
        let known = match Target::parse(target) {
            Some(Target::Proxy(n)) => fault.action.on_proxy() && n < self.proxies.len(),
            Some(Target::Backend(n)) => !fault.action.on_proxy() && n < self.backend_count(),
            Some(Target::Zone(name)) => !fault.action.on_proxy() && self.zone(name).is_some(),
            Some(Target::List) => fault.action.on_proxy() || fault.action.on_relay(),
            None => false,
        };
        if known {
            return Ok(());
        }
        fail(fault.target.span(), format!("`{target}` is no target for `{:?}`", fault.action))
    }
}

/// What a fault's `target` names.
#[derive(Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// `proxy-N`.
    Proxy(usize),
    /// `backend-N`.
    Backend(usize),
    /// `zone-NAME`: every backend of that zone.
    Zone(&'a str),
    /// `list`: the list service.
    List,
}

impl<'a> Target<'a> {
    /// Reads a target; `None` for anything else.
    pub fn parse(text: &'a str) -> Option<Self> {
        if let Some(n) = text.strip_prefix("proxy-") {
            return n.parse().ok().map(Self::Proxy);
        }
        if let Some(n) = text.strip_prefix("backend-") {
            return n.parse().ok().map(Self::Backend);
        }
        if text == "list" {
            return Some(Self::List);
        }
        text.strip_prefix("zone-").map(Self::Zone)
    }
}
