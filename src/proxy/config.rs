//! What the proxy is told at its start: the file that `EDGE_CONFIG` names, the TOML file beside it that
//! `GATESTAGE_CONFIG` may name, and the environment.

use super::log;
use super::shape::Shape;
use super::tenants::TenantNames;
use super::view::{ViewConfig, ViewError};
use crate::api::{Effect, Micros, Settings, SettingsError};
use crate::group::{GroupConfig, GroupError};
use crate::system_random;
use crate::wire::parse_settings;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::{env, fs, io};
use thiserror::Error;

/// Descriptors that are neither clients nor backends: standard streams, the runtime and its signals (8), listeners
/// (3), discovery (2), another process of this proxy (2), operators (9). Where there are many, the state's files and
/// a group's peers have a part as well.
const RESERVED_SOCKETS: usize = 24;
const RESERVED_PART: usize = 16;
const RESERVED_MORE: usize = 16;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 64;
const DEFAULT_DIAL: Micros = 250_000;
/// The module is told that backends forget a key this much before they do (at most a quarter of the settings' time):
/// a repeat has to be written and to travel, and what counts is when it is there.
const KEY_MARGIN: Micros = 10_000;

/// Why the proxy can't start, or keeps the configuration that it has.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A variable of the environment is missing.
    #[error("{0} is not set: it has to name the proxy's configuration, a JSON file")]
    Missing(&'static str),
    /// The file can't be read.
    #[error("cannot read {}: {source}; see that the file is there and that this user may read it", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not the JSON that is wanted.
    #[error("malformed configuration: {0}; correct it in the file that EDGE_CONFIG names")]
    Malformed(serde_json::Error),
    /// An address is missing or is none.
    #[error("`{field}` is no address: `{given}`; write an IP address with a port, as in 127.0.0.1:8080")]
    Address {
        /// The key.
        field: &'static str,
        /// What stands there; empty: nothing.
        given: String,
    },
    /// A setting makes no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A key is missing that the configuration in force has, or that every configuration has to have.
    #[error("`{0}` is missing: add it to the file that EDGE_CONFIG names")]
    Incomplete(String),
    /// There is no thread to read it on.
    #[error(
        "no thread to read the configuration on: {0}; see how many threads this user and process may have"
    )]
    Thread(#[source] io::Error),
    /// The thread that read it ended before it had.
    #[error(
        "the configuration was not read to its end, for a fault of this program that its log shows: report it"
    )]
    Unfinished,
    /// The TOML file beside it is not what is wanted; the cause names the line.
    #[error("{}: {source}", path.display())]
    Beside {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// Its view makes no sense.
    #[error("{}: {source}", path.display())]
    View {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ViewError,
    },
    /// Its group makes no sense.
    #[error("{}: {source}", path.display())]
    Group {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: GroupError,
    },
}

/// The names that the protocol uses and the module knows by their position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Tenants; may be empty.
    pub tenants: Arc<TenantNames>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machines.
    pub kinds: Vec<String>,
    /// Fields of a load report.
    pub report: Vec<String>,
}

/// The configuration, checked.
#[derive(Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call; `None`: nowhere.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Where what the module learns is kept through a crash (`state_dir`, or `GATESTAGE_STATE_DIR`); `None`:
    /// nowhere, and every start without a predecessor is cold, as before this setting existed.
    pub state_dir: Option<PathBuf>,
    /// The group that this proxy makes its promises with; `None`: it knows of no other.
    pub group: Option<GroupConfig>,
    /// Which services the list of backends is to hold; `None`: all there are.
    pub view: Option<ViewConfig>,
    /// The list of backends as last known, in discovery's form.
    pub known: Value,
    /// The module's settings.
    pub settings: Settings,
    /// What the settings name.
    pub names: Names,
    /// A connection that is not up after this time has failed.
    pub dial_timeout: Micros,
    /// Descriptors that the process may hold.
    sockets: usize,
    /// Client connections that may be open at a time.
    pub client_sockets: usize,
    /// Backend connections that may be open at a time, idle ones too.
    pub backend_sockets: usize,
    /// How much memory the process may take, in bytes.
    pub memory: usize,
    /// The keys that another file has to have as well.
    keys: Shape,
}

#[derive(Deserialize)]
struct RawConfig<'a> {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    admin_addr: Option<String>,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: Value,
    #[serde(default)]
    state_dir: Option<PathBuf>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The TOML file that `GATESTAGE_CONFIG` names, beside the JSON of `EDGE_CONFIG`: it wins where both say something.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields)]
struct Beside {
    state_dir: Option<PathBuf>,
    admin_addr: Option<SocketAddr>,
    group: Option<GroupConfig>,
    view: Option<ViewConfig>,
}

impl Beside {
    fn read(path: PathBuf) -> Result<Self, ConfigError> {
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(source) => return Err(ConfigError::Unreadable { path, source }),
        };
        let beside: Self = match toml::from_str(&text) {
            Ok(beside) => beside,
            Err(source) => return Err(ConfigError::Beside { path, source: Box::new(source) }),
        };
        if let Some(Err(source)) = beside.group.as_ref().map(|group| group.check(&text)) {
            return Err(ConfigError::Group { path, source });
        }
        if let Some(Err(source)) = beside.view.as_ref().map(ViewConfig::check) {
            return Err(ConfigError::View { path, source });
        }
        Ok(beside)
    }
}

#[derive(Deserialize, Default)]
struct RawLimits {
    #[serde(default)]
    sockets: Option<usize>,
    #[serde(default)]
    memory_mb: Option<usize>,
}

/// The part of the settings that only the sockets need.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawNames {
    #[serde(default)]
    tenants: TenantNames,
    #[serde(default)]
    failure_domains: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    #[serde(default)]
    load_report: RawReport,
    #[serde(default)]
    permissions: RawPermissions,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct RawPermissions {
    #[serde(default)]
    dial_timeout_us: Option<Micros>,
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// Says in one line what is missing or wrong.
    pub fn from_env() -> Result<Self, ConfigError> {
        let path = PathBuf::from(env::var_os("EDGE_CONFIG").ok_or(ConfigError::Missing("EDGE_CONFIG"))?);
        let text = fs::read(&path).map_err(|source| ConfigError::Unreadable { path, source })?;
        let config = Self::parse(&text, |name| env::var(name).ok())?.within_the_process();
        match env::var_os("GATESTAGE_CONFIG") {
            Some(path) => Ok(config.beside(Beside::read(PathBuf::from(path))?)),
            None => Ok(config),
        }
    }

    fn beside(self, Beside { state_dir, admin_addr, group, view }: Beside) -> Self {
        let (state_dir, admin) = (state_dir.or(self.state_dir), admin_addr.or(self.admin));
        Self { state_dir, admin, group, view, ..self }
    }

    /// The shares of what the process can have: the system may let it have less than the configuration says. What
    /// the system lets it raise is raised.
    fn within_the_process(mut self) -> Self {
        let limit = getrlimit(Resource::Nofile);
        let (wanted, maximum) = (self.sockets as u64, limit.maximum.unwrap_or(u64::MAX));
        let mut most = limit.current.unwrap_or(u64::MAX);
        if most < wanted {
            let current = wanted.min(maximum);
            if setrlimit(Resource::Nofile, Rlimit { current: Some(current), ..limit }).is_ok() {
                most = current;
            }
        }
        if most < wanted {
            log(format_args!("the system lets this process have {most} descriptors, not {wanted}"));
            self.sockets = usize::try_from(most).unwrap_or(usize::MAX);
            (self.client_sockets, self.backend_sockets) = shares(self.sockets);
        }
        self
    }

    /// Another configuration that is to take the place of this one. One that lacks what this one has is not whole,
    /// though what is there may make sense.
    ///
    /// # Errors
    /// Says what is missing.
    pub fn succeeded_by(&self, next: Self) -> Result<Self, ConfigError> {
        match self.keys.missing_in(&next.keys) {
            None => Ok(next),
            Some(key) => Err(ConfigError::Incomplete(key)),
        }
    }

    /// Reads the configuration from JSON text; `variable` fills in what the text leaves out.
    ///
    /// # Errors
    /// Says what is missing or wrong.
    pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let raw: RawConfig = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
        let keys = keys(text)?;
        let address = |field: &'static str, given: Option<String>, name: &str| {
            let given = given.or_else(|| variable(name)).unwrap_or_default();
            given.parse().map_err(|_| ConfigError::Address { field, given })
        };
        let listen = address("listen", raw.listen, "EDGE_LISTEN")?;
        let discovery = address("discovery", raw.discovery, "EDGE_DISCOVERY")?;
        let more: RawNames = serde_json::from_str(raw.settings.get()).map_err(ConfigError::Malformed)?;
        let mut settings = parse_settings(raw.settings.get().as_bytes())?;
        for class in &mut settings.classes {
            if let Effect::Keyed { ttl, .. } = &mut class.effect {
                *ttl -= KEY_MARGIN.min(*ttl / 4);
            }
        }
        if let Some(nameless) = settings.classes.iter().position(|c| c.name.is_empty()) {
            return Err(ConfigError::Incomplete(format!("settings.classes[{nameless}].name")));
        }
        let sockets = raw.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        let (client_sockets, backend_sockets) = shares(sockets);
        Ok(Self {
            name: raw.name.or_else(|| variable("EDGE_NAME")).unwrap_or_default(),
            listen,
            discovery,
            admin: match raw.admin_addr.or_else(|| variable("EDGE_ADMIN_ADDR")) {
                Some(given) => Some(address("admin_addr", Some(given), "EDGE_ADMIN_ADDR")?),
                None => None,
            },
            seed: seed(&raw.seed),
            state_dir: raw.state_dir.or_else(|| variable("GATESTAGE_STATE_DIR").map(PathBuf::from)),
            group: None,
            view: None,
            known: raw.known,
            settings,
            names: Names {
                tenants: Arc::new(more.tenants),
                zones: more.failure_domains,
                kinds: more.kinds,
                report: more.load_report.fields,
            },
            dial_timeout: more.permissions.dial_timeout_us.filter(|&t| t > 0).unwrap_or(DEFAULT_DIAL),
            sockets,
            client_sockets,
            backend_sockets,
            memory: raw.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) << 20,
            keys,
        })
    }
}

/// What of these descriptors clients' connections may be, no more than a third, and backends'.
fn shares(sockets: usize) -> (usize, usize) {
    let sockets = sockets.max(2 * RESERVED_SOCKETS);
    let free = sockets - RESERVED_SOCKETS - (sockets / RESERVED_PART).min(RESERVED_MORE);
    let clients = (sockets / 3).min(free / 2);
    (clients, free - clients)
}

/// The part of a configuration that has to be there again: not what tells one start from another.
fn keys(text: &[u8]) -> Result<Shape, ConfigError> {
    let mut keys: Shape = serde_json::from_slice(text).map_err(ConfigError::Malformed)?;
    for name in ["known", "seed", "admin_addr", "state_dir"] {
        keys.remove(name);
    }
    Ok(keys)
}

/// The seed comes as hexadecimal text; a number is taken as well. Where there is none, proxies that start together must
/// not draw the same waits; without the system's random numbers they may, which costs no more than that.
fn seed(value: &Value) -> u64 {
    let text = value.as_str().and_then(|s| u64::from_str_radix(s, 16).ok());
    text.or_else(|| value.as_u64())
        .unwrap_or_else(|| system_random::draw().unwrap_or_else(|_| fastrand::Rng::new().u64(..)))
}
