//! What one proxy costs with growing numbers of backends, tenants, classes, and changes to its list: real processes of
//! `gatestage proxy` and `gatestage registry` on loopback.

use crate::network::{self, Mix, NetworkError, Relay};
use crate::process::{Process, ProcessError};
use crate::record::{Metric, RecordError, Recorder, Series, Version, snapshot};
use crate::setup::{List, ProxyFiles, ProxySetup, SetupError};
use clap::ValueEnum;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// The seed of what the proxies and the clients draw.
const SEED: u64 = 20_261_202;
/// Measurements at each size.
const REPEATS: u32 = 3;
/// Backends, classes and tenants where another of them grows.
const FEW: ProxySetup =
    ProxySetup { backends: 200, classes: 1, tenants: 0, allowance: 100.0, seed: SEED, view: false };
const BACKENDS: [u64; 4] = [200, 2_000, 8_000, 20_000];
const TENANTS: [u64; 5] = [300, 3_000, 30_000, 100_000, 300_000];
const CLASSES: [u64; 5] = [10, 400, 1_600, 10_000, 44_000];
/// What a tenant may ask for, in requests a second, where all ask for more.
const SMALL_ALLOWANCE: f64 = 0.001;
/// Changes to the list a second.
const CHANGES: [u64; 4] = [1, 2, 5, 10];
/// Backends in the list that changes.
const CHANGING_BACKENDS: u64 = 2_000;
/// How long the list changes for one measurement.
const CHANGING: Duration = Duration::from_secs(5);
/// The least share of changes that the list service has to take one by one.
const LEAST_TAKEN: f64 = 0.95;
/// How often a measurement is made again in which the list service took fewer.
const ATTEMPTS: u32 = 5;
/// How long a proxy is left alone after it holds its list.
const SETTLE: Duration = Duration::from_millis(500);
/// How long a proxy's processor time without requests is measured.
const IDLE: Duration = Duration::from_secs(1);
/// For how long answers are timed from a signal on that has the configuration read again.
const RELOADING: Duration = Duration::from_secs(3);
/// Clients' connections.
const CONNECTIONS: u64 = 4;
/// Requests before those that count.
const WARM_REQUESTS: u64 = 500;
/// Requests whose processor time counts.
const REQUESTS: u64 = 4_000;

/// What grows in a series.
#[derive(Clone, Copy, Debug, ValueEnum, PartialEq, Eq)]
pub enum Growing {
    /// Backends in the list.
    Backends,
    /// Tenants of the settings.
    Tenants,
    /// Tenants of the settings, each of which asks for more than its share.
    TenantsOverShare,
    /// Classes of the settings.
    Classes,
    /// Changes to the list a second.
    Changes,
}

impl Growing {
    /// The series of this version. Neither tenants nor classes have to do with the list.
    fn all(version: Version) -> &'static [Self] {
        match version {
            Version::WholeList => {
                &[Self::Backends, Self::Tenants, Self::TenantsOverShare, Self::Classes, Self::Changes]
            }
            Version::View => &[Self::Backends, Self::Changes],
        }
    }
}

const START: Metric = Metric { name: "start", unit: "ms" };
const MEMORY: Metric = Metric { name: "memory", unit: "MB" };
const LOADED_MEMORY: Metric = Metric { name: "memory-after-requests", unit: "MB" };
const PEAK_MEMORY: Metric = Metric { name: "peak-memory", unit: "MB" };
const RELOAD_DELAY: Metric = Metric { name: "reload-delay", unit: "ms" };
const REQUEST_TIME: Metric = Metric { name: "processor-time", unit: "µs a request" };
const IDLE_TIME: Metric = Metric { name: "idle-processor-time", unit: "ms a second" };
const BYTES: Metric = Metric { name: "bytes", unit: "KB a second" };
const MESSAGES: Metric = Metric { name: "messages", unit: "messages a second" };

/// Why the proxies can't be measured.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A process.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A connection.
    #[error(transparent)]
    Network(#[from] NetworkError),
    /// A file.
    #[error(transparent)]
    Setup(#[from] SetupError),
    /// The samples.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The list service took several changes as one.
    #[error("the list service took {taken} of {made} changes; measure again on a machine with less load")]
    Changes {
        /// Revisions.
        taken: u64,
        /// Changes made.
        made: u64,
    },
}

/// Where and as what the samples go.
struct Bench {
    /// The folder of the samples.
    samples: PathBuf,
    /// The folder of the processes' files and logs.
    scratch: PathBuf,
    /// Where all members of the list listen.
    backend: SocketAddr,
    snapshot: String,
    version: Version,
}

/// Measures proxies that hold the whole list, or a view of it, and writes the samples into this folder: all series, or
/// only one.
///
/// # Errors
/// Where a process, a connection or a file fails.
pub fn measure(samples: &Path, version: Version, only: Option<Growing>) -> Result<(), MeasureError> {
    let scratch = std::env::temp_dir().join(format!("gatestage-capacity-{}", std::process::id()));
    fs::create_dir_all(&scratch).map_err(|source| SetupError::Write { path: scratch.clone(), source })?;
    let bench = Bench {
        samples: samples.to_owned(),
        scratch,
        backend: network::start_backend()?,
        snapshot: snapshot()?,
        version,
    };
    for growing in Growing::all(version).iter().filter(|&&growing| only.is_none_or(|only| only == growing)) {
        match growing {
            Growing::Backends => {
                bench.serving("backends", &BACKENDS, |backends| ProxySetup { backends, ..FEW })
            }
            Growing::Tenants => bench.serving("tenants", &TENANTS, |tenants| ProxySetup { tenants, ..FEW }),
            Growing::TenantsOverShare => bench.serving("tenants-over-share", &TENANTS, |tenants| {
                ProxySetup { tenants, allowance: SMALL_ALLOWANCE, ..FEW }
            }),
            Growing::Classes => bench.serving("classes", &CLASSES, |classes| ProxySetup { classes, ..FEW }),
            Growing::Changes => bench.changing(),
        }?;
    }
    let _ = fs::remove_dir_all(&bench.scratch);
    Ok(())
}

impl Bench {
    fn is_view(&self) -> bool {
        self.version == Version::View
    }

    fn recorder(&self, size_name: &str, of_what: &str) -> Recorder {
        let prefix = if self.is_view() { "proxy-view" } else { "proxy" };
        Recorder::new(Series {
            name: format!("{prefix}-{of_what}"),
            size_name: size_name.to_owned(),
            version: self.version,
            seed: SEED,
            snapshot: self.snapshot.clone(),
        })
    }

    /// One series of proxies that serve requests.
    fn serving(
        &self,
        size_name: &str,
        sizes: &[u64],
        setup: impl Fn(u64) -> ProxySetup,
    ) -> Result<(), MeasureError> {
        let mut recorder = self.recorder(size_name, size_name);
        for &size in sizes {
            let setup = ProxySetup { view: self.is_view(), ..setup(size) };
            let registry = self.registry(&List::new(setup.backends, self.backend, setup.view))?;
            for repeat in 1..=REPEATS {
                let served = self.serve(setup, registry.address, repeat)?;
                recorder.add(START, size, repeat, served.start_ms)?;
                recorder.add(MEMORY, size, repeat, served.memory_mb)?;
                recorder.add(LOADED_MEMORY, size, repeat, served.loaded_memory_mb)?;
                recorder.add(IDLE_TIME, size, repeat, served.idle_ms)?;
                recorder.add(REQUEST_TIME, size, repeat, served.request_us)?;
                recorder.add(RELOAD_DELAY, size, repeat, served.reload_ms)?;
                recorder.add(PEAK_MEMORY, size, repeat, served.peak_memory_mb)?;
            }
        }
        Ok(recorder.write(&self.samples)?)
    }

    /// Starts a proxy, waits until it holds its list, leaves it alone, and has it serve requests.
    fn serve(&self, setup: ProxySetup, registry: SocketAddr, repeat: u32) -> Result<Served, MeasureError> {
        let files = setup.write(&self.scratch, registry)?;
        let started = Instant::now();
        let proxy = start_proxy(&files)?;
        let start_ms = started.elapsed().as_secs_f64() * 1e3;
        thread::sleep(SETTLE);
        let memory_mb = proxy.resident_mb()?;
        let idle_ms = idle(&proxy)?;
        let mix = Mix {
            classes: setup.classes,
            tenants: setup.tenants,
            seed: setup.seed ^ u64::from(repeat) << 32,
        };
        network::load(proxy.address, mix, CONNECTIONS, WARM_REQUESTS)?;
        let before = proxy.processor_time()?;
        network::load(proxy.address, Mix { seed: !mix.seed, ..mix }, CONNECTIONS, REQUESTS)?;
        let used = proxy.processor_time()?.saturating_sub(before);
        let request_us = used.as_secs_f64() * 1e6 / REQUESTS as f64;
        let loaded_memory_mb = proxy.resident_mb()?;
        proxy.hang_up()?;
        let reload_ms = network::slowest_answer(proxy.address, RELOADING)?.as_secs_f64() * 1e3;
        let peak_memory_mb = proxy.peak_resident_mb()?;
        Ok(Served { start_ms, memory_mb, idle_ms, loaded_memory_mb, request_us, reload_ms, peak_memory_mb })
    }

    /// The series of idle proxies whose list changes.
    fn changing(&self) -> Result<(), MeasureError> {
        let mut recorder = self.recorder("changes a second", "changes");
        let setup = ProxySetup { backends: CHANGING_BACKENDS, view: self.is_view(), ..FEW };
        for rate in CHANGES {
            for repeat in 1..=REPEATS {
                let idle = self.change_all(setup, rate)?;
                recorder.add(IDLE_TIME, rate, repeat, idle.processor_ms)?;
                recorder.add(BYTES, rate, repeat, idle.kilobytes)?;
                recorder.add(MESSAGES, rate, repeat, idle.messages)?;
            }
        }
        Ok(recorder.write(&self.samples)?)
    }

    /// As [`Self::change`]; made again where the list service took several changes as one, as on a busy machine.
    fn change_all(&self, setup: ProxySetup, rate: u64) -> Result<Idle, MeasureError> {
        for _ in 1..ATTEMPTS {
            match self.change(setup, rate) {
                Err(lost @ MeasureError::Changes { .. }) => eprintln!("capacity: again: {lost}"),
                done => return done,
            }
        }
        self.change(setup, rate)
    }

    /// Changes the list of an idle proxy at this rate.
    fn change(&self, setup: ProxySetup, rate: u64) -> Result<Idle, MeasureError> {
        let mut list = List::new(setup.backends, self.backend, setup.view);
        let registry = self.registry(&list)?;
        let relay = Relay::start(registry.address)?;
        let proxy = start_proxy(&setup.write(&self.scratch, relay.address)?)?;
        thread::sleep(SETTLE);
        let revision = network::revision(registry.address)?;
        let (passed, used, since) = (relay.passed(), proxy.processor_time()?, Instant::now());
        let changes = rate * CHANGING.as_secs();
        for change in 0..changes {
            let due = CHANGING.mul_f64(change as f64 / changes as f64);
            thread::sleep(due.saturating_sub(since.elapsed()));
            // A member leaves with one change and is back with the next.
            list.flip(change as usize / 2);
            list.write(&self.list_path())?;
            registry.hang_up()?;
        }
        thread::sleep(CHANGING.saturating_sub(since.elapsed()));
        let seconds = since.elapsed().as_secs_f64();
        let (passed_then, used_then) = (relay.passed(), proxy.processor_time()?);
        let taken = network::revision(registry.address)?.saturating_sub(revision);
        if (taken as f64) < LEAST_TAKEN * changes as f64 {
            return Err(MeasureError::Changes { taken, made: changes });
        }
        Ok(Idle {
            processor_ms: used_then.saturating_sub(used).as_secs_f64() * 1e3 / seconds,
            kilobytes: (passed_then.bytes - passed.bytes) as f64 / 1e3 / seconds,
            messages: (passed_then.calls - passed.calls) as f64 / seconds,
        })
    }

    fn list_path(&self) -> PathBuf {
        self.scratch.join("registry.toml")
    }

    fn registry(&self, list: &List) -> Result<Process, MeasureError> {
        list.write(&self.list_path())?;
        Ok(Process::registry("the list service", &self.list_path())?)
    }
}

/// Starts a proxy and waits until it holds its list.
fn start_proxy(files: &ProxyFiles) -> Result<Process, MeasureError> {
    let proxy = Process::proxy("the proxy", &files.config, files.beside.as_deref(), &files.home)?;
    network::wait_until_up(proxy.address)?;
    Ok(proxy)
}

/// Processor time of a second without requests, in milliseconds.
fn idle(proxy: &Process) -> Result<f64, MeasureError> {
    let (before, since) = (proxy.processor_time()?, Instant::now());
    thread::sleep(IDLE);
    let used = proxy.processor_time()?.saturating_sub(before);
    Ok(used.as_secs_f64() * 1e3 / since.elapsed().as_secs_f64())
}

/// What a proxy that serves requests costs.
struct Served {
    /// From its start until it held its list.
    start_ms: f64,
    /// Resident memory then.
    memory_mb: f64,
    /// Processor time of a second without requests.
    idle_ms: f64,
    /// Resident memory after all requests.
    loaded_memory_mb: f64,
    /// Processor time of a request.
    request_us: f64,
    /// The slowest answer while the configuration was read again.
    reload_ms: f64,
    /// The most memory that was resident up to then.
    peak_memory_mb: f64,
}

/// What an idle proxy costs each second.
struct Idle {
    processor_ms: f64,
    /// To and from the list service.
    kilobytes: f64,
    /// Calls to the list service.
    messages: f64,
}
