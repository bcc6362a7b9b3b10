//! Part `registry`: the list service as a process, with hollow proxies that follow it. What a change, a restart and an
//! outage cost over watchers, members and the size of the change.
//!
//! Times are those from the signal to the list service until a proxy's decision module has taken the change. Bytes are
//! those that the list service hands to the kernel. Processor times are of the span from the signal until
//! [`SETTLE`] after the last proxy: the calls with which the watches go on are in them.

pub mod hollow;
pub mod hollows;
mod members;
mod service;

use crate::record::{Metric, RecordError, Recorder, Series, Version, snapshot};
use crate::usage::{Usage, UsageError};
use hollow::{Mode, Question, unix_us};
use hollows::{Hollows, Seen};
use members::{Change, Contents, Views, ZONES};
use service::ListService;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::{Duration, Instant};
use thiserror::Error;

const REPEATS: u32 = 3;
const SEED: u64 = 0x5ca1_ab1e;
/// The sizes that one series varies and the others keep.
const WATCHERS: [usize; 5] = [50, 100, 200, 400, 800];
const MEMBERS: [usize; 4] = [500, 2_000, 8_000, 20_000];
const CHANGED: [usize; 4] = [1, 10, 100, 1_000];
const ZONE_MEMBERS: [usize; 4] = [300, 600, 1_200, 2_400];
/// The proxies of a service that grows with them; the last is the largest service at the operators' size.
const FLEET: [usize; 5] = [50, 100, 200, 400, 680];
/// Its members for each proxy.
const MEMBERS_EACH: usize = 13;
const RETURNING: [usize; 4] = [50, 100, 200, 400];
const FEW_WATCHERS: usize = 20;
const SOME_WATCHERS: usize = 100;
const SOME_MEMBERS: usize = 2_000;
/// How long the list service is away before its watchers return to it.
const OUTAGE: Duration = Duration::from_secs(3);
/// How long after the last proxy has taken a change what that cost is read.
const SETTLE: Duration = Duration::from_millis(100);
/// How long a rest is watched.
const REST: Duration = Duration::from_secs(3);
const SECOND_US: u64 = 1_000_000;

const CPU: Metric = Metric { name: "list_service_cpu", unit: "ms" };
const CPU_REST: Metric = Metric { name: "list_service_cpu_at_rest", unit: "ms/s" };
const MEMORY: Metric = Metric { name: "list_service_memory", unit: "MB" };
const WRITTEN: Metric = Metric { name: "list_service_written", unit: "kB" };
const TOLD_FIRST: Metric = Metric { name: "told_first", unit: "ms" };
const TOLD_MEDIAN: Metric = Metric { name: "told_median", unit: "ms" };
const TOLD_LAST: Metric = Metric { name: "told_last", unit: "ms" };
const RESTART_WRITTEN: Metric = Metric { name: "restart_written", unit: "kB" };
const RESTART_CPU: Metric = Metric { name: "restart_cpu", unit: "ms" };
const BACK_MEDIAN: Metric = Metric { name: "back_median", unit: "ms" };
const BACK_LAST: Metric = Metric { name: "back_last", unit: "ms" };
const BUSIEST_SECOND: Metric = Metric { name: "lists_in_busiest_second", unit: "lists/s" };
const BUSIEST_TENTH: Metric = Metric { name: "lists_in_busiest_tenth", unit: "lists/100 ms" };
const PROXY_MEMORY: Metric = Metric { name: "hollow_proxy_memory", unit: "MB" };
const PROXY_CPU: Metric = Metric { name: "hollow_proxy_cpu", unit: "ms" };
const PROXY_CPU_REST: Metric = Metric { name: "hollow_proxy_cpu_at_rest", unit: "ms/s" };

/// What is served and how.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Whole lists or views.
    pub version: Version,
    /// How proxies are told of changes.
    pub mode: Mode,
}

/// Why there are no figures.
#[derive(Debug, Error)]
pub enum RegistryBenchError {
    /// A process of the bench.
    #[error("{0}; see the logs in the bench's folder under the system's temporary one")]
    Process(#[from] io::Error),
    /// What a process uses.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// The samples.
    #[error(transparent)]
    Record(#[from] RecordError),
}

type Outcome<T> = Result<T, RegistryBenchError>;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
struct Size {
    members: usize,
    watchers: usize,
}

/// A list service with its watchers.
struct Bank {
    size: Size,
    service: ListService,
    hollows: Hollows,
}

/// What one change came to.
struct Cost {
    service: Usage,
    hollows: Usage,
    told: Told,
}

/// When the proxies were told, in milliseconds since the change.
struct Told {
    since_us: u64,
    seen: Seen,
}

impl Told {
    fn first_ms(&self) -> f64 {
        self.ms(0)
    }

    fn median_ms(&self) -> f64 {
        self.ms(self.seen.times.len() / 2)
    }

    fn last_ms(&self) -> f64 {
        self.ms(self.seen.times.len() - 1)
    }

    fn ms(&self, position: usize) -> f64 {
        self.seen.times[position].saturating_sub(self.since_us) as f64 / 1e3
    }

    /// The most proxies that were told within a span of this length.
    fn most_within(&self, span_us: u64) -> usize {
        let times = &self.seen.times;
        let within =
            |(first, &begin): (usize, &u64)| times[first..].partition_point(|&at| at < begin + span_us);
        times.iter().enumerate().map(within).max().unwrap_or_default()
    }
}

fn less(after: Usage, before: Usage) -> Usage {
    let (cpu_s, written) = (after.cpu_s - before.cpu_s, after.written - before.written);
    Usage { cpu_s, memory: after.memory, written }
}

impl Bank {
    fn start(size: Size, options: Options, folder: &Path) -> Outcome<Self> {
        std::fs::create_dir_all(folder)?;
        let views = (options.version == Version::View).then_some(Views { proxies: size.watchers });
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let contents =
            Contents { listen, members: size.members, change: Change::Nothing, views, revision: 1 };
        let service = ListService::start(folder, contents)?;
        let mut hollows = Hollows::start(service.address(), size.watchers, options, SEED, folder)?;
        hollows.ask(&Question::Listed, || Ok(()))?;
        let mut bank = Self { size, service, hollows };
        // The first change also brings the list service to a revision that a new start does not have.
        bank.change(Change::Leaving(0..1))?;
        bank.change(Change::Nothing)?;
        Ok(bank)
    }

    /// The question that shows that a change is in force.
    fn question(&self, change: &Change) -> Question {
        match change {
            Change::Nothing => Question::Back,
            change => Question::Gone(change.members(self.size.members)),
        }
    }

    /// Makes a change and waits until all proxies that it concerns have taken it.
    fn change(&mut self, change: Change) -> Outcome<Cost> {
        let question = self.question(&change);
        self.service.rewrite(change)?;
        let (service, hollows) = (self.service.usage()?, self.hollows.usage()?);
        let mut since_us = 0;
        let seen = self.hollows.ask(&question, || {
            since_us = unix_us();
            self.service.reload()
        })?;
        sleep(SETTLE);
        let service = less(self.service.usage()?, service);
        let hollows = less(self.hollows.usage()?, hollows);
        Ok(Cost { service, hollows, told: Told { since_us, seen } })
    }

    /// Kills the list service, and starts it again after `away` with a change, which shows who has heard of it.
    fn outage(&mut self, away: Duration, change: Change) -> Outcome<Cost> {
        let question = self.question(&change);
        self.service.rewrite(change)?;
        let hollows = self.hollows.usage()?;
        let mut since_us = 0;
        let seen = self.hollows.ask(&question, || {
            self.service.kill()?;
            sleep(away);
            since_us = unix_us();
            self.service.start_again()
        })?;
        sleep(SETTLE);
        let service = self.service.usage()?;
        let hollows = less(self.hollows.usage()?, hollows);
        let cost = Cost { service, hollows, told: Told { since_us, seen } };
        self.change(Change::Nothing)?;
        Ok(cost)
    }

    /// What both sides use a second while nothing changes: of the list service, and of one proxy.
    fn rest(&self) -> Outcome<(f64, f64)> {
        let (service, hollows, begun) = (self.service.usage()?, self.hollows.usage()?, Instant::now());
        sleep(REST);
        let seconds = begun.elapsed().as_secs_f64();
        let service = less(self.service.usage()?, service).cpu_s * 1e3 / seconds;
        let hollows = less(self.hollows.usage()?, hollows).cpu_s * 1e3 / seconds;
        Ok((service, hollows / self.size.watchers as f64))
    }
}

/// One series on its way.
struct Run {
    options: Options,
    folder: PathBuf,
    recorder: Recorder,
    name: String,
}

impl Run {
    fn new(options: Options, name: &str, size_name: &str) -> Outcome<Self> {
        let mut name = name.to_owned();
        if options.version == Version::View {
            name += "_view";
        }
        if options.mode == Mode::OnRequest {
            name += "_on_request";
        }
        let series = Series {
            name: name.clone(),
            size_name: size_name.to_owned(),
            version: options.version,
            seed: SEED,
            snapshot: snapshot()?,
        };
        let folder = std::env::temp_dir().join(format!("gatestage-capacity-registry-{}", std::process::id()));
        Ok(Self { options, folder, recorder: Recorder::new(series), name })
    }

    fn bank(&self, size: Size) -> Outcome<Bank> {
        Bank::start(size, self.options, &self.folder.join(&self.name))
    }

    fn add(&mut self, metric: Metric, size: usize, repeat: u32, value: f64) -> Outcome<()> {
        Ok(self.recorder.add(metric, size as u64, repeat, value)?)
    }

    /// Records what a change came to.
    fn add_change(&mut self, bank: &Bank, size: usize, repeat: u32, cost: &Cost) -> Outcome<()> {
        let proxies = bank.size.watchers as f64;
        self.add(CPU, size, repeat, cost.service.cpu_s * 1e3)?;
        self.add(MEMORY, size, repeat, cost.service.memory / 1e6)?;
        self.add(WRITTEN, size, repeat, cost.service.written / 1e3)?;
        self.add(TOLD_FIRST, size, repeat, cost.told.first_ms())?;
        self.add(TOLD_MEDIAN, size, repeat, cost.told.median_ms())?;
        self.add(TOLD_LAST, size, repeat, cost.told.last_ms())?;
        self.add(PROXY_MEMORY, size, repeat, cost.hollows.memory / 1e6 / proxies)?;
        self.add(PROXY_CPU, size, repeat, cost.hollows.cpu_s * 1e3 / proxies)
    }

    fn add_rest(&mut self, bank: &Bank, size: usize, repeat: u32) -> Outcome<()> {
        let (service, proxy) = bank.rest()?;
        self.add(CPU_REST, size, repeat, service)?;
        self.add(PROXY_CPU_REST, size, repeat, proxy)
    }

    /// Records what a new start of the list service came to.
    fn add_outage(&mut self, size: usize, repeat: u32, cost: &Cost) -> Outcome<()> {
        self.add(RESTART_CPU, size, repeat, cost.service.cpu_s * 1e3)?;
        self.add(RESTART_WRITTEN, size, repeat, cost.service.written / 1e3)?;
        self.add(BACK_MEDIAN, size, repeat, cost.told.median_ms())?;
        self.add(BACK_LAST, size, repeat, cost.told.last_ms())?;
        self.add(BUSIEST_SECOND, size, repeat, cost.told.most_within(SECOND_US) as f64)?;
        self.add(BUSIEST_TENTH, size, repeat, cost.told.most_within(SECOND_US / 10) as f64)
    }

    /// Writes the series and leaves nothing in the temporary folder.
    fn end(self, folder: &Path) -> Outcome<()> {
        self.recorder.write(folder)?;
        std::fs::remove_dir_all(&self.folder)?;
        Ok(())
    }
}

/// One change of one member, over watchers.
fn watchers(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_watchers", "watchers")?;
    for watchers in WATCHERS {
        let mut bank = run.bank(Size { members: SOME_MEMBERS, watchers })?;
        for repeat in 1..=REPEATS {
            let cost = bank.change(Change::Leaving(0..1))?;
            run.add_change(&bank, watchers, repeat, &cost)?;
            bank.change(Change::Nothing)?;
            run.add_rest(&bank, watchers, repeat)?;
        }
    }
    run.end(folder)
}

/// One change of one member and a restart, over members.
fn members(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_members", "members")?;
    for members in MEMBERS {
        let mut bank = run.bank(Size { members, watchers: FEW_WATCHERS })?;
        for repeat in 1..=REPEATS {
            let cost = bank.change(Change::Leaving(0..1))?;
            run.add_change(&bank, members, repeat, &cost)?;
            bank.change(Change::Nothing)?;
            let cost = bank.outage(Duration::ZERO, Change::Leaving(0..1))?;
            run.add_outage(members, repeat, &cost)?;
        }
    }
    run.end(folder)
}

/// Changes of several members at once.
fn changed(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_changed", "members changed")?;
    let mut bank = run.bank(Size { members: SOME_MEMBERS, watchers: SOME_WATCHERS })?;
    for changed in CHANGED {
        for repeat in 1..=REPEATS {
            let cost = bank.change(Change::Leaving(0..changed))?;
            run.add_change(&bank, changed, repeat, &cost)?;
            bank.change(Change::Nothing)?;
        }
    }
    drop(bank);
    run.end(folder)
}

/// A zone's members go, over members.
fn lost_zone(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_lost_zone", "members")?;
    for members in ZONE_MEMBERS {
        let mut bank = run.bank(Size { members, watchers: SOME_WATCHERS })?;
        for repeat in 1..=REPEATS {
            let cost = bank.change(Change::ZoneGone(repeat as usize % ZONES.len()))?;
            run.add_change(&bank, members, repeat, &cost)?;
            bank.change(Change::Nothing)?;
        }
    }
    run.end(folder)
}

/// All watchers return after an outage.
fn returning(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_return", "watchers")?;
    for watchers in RETURNING {
        let mut bank = run.bank(Size { members: SOME_MEMBERS, watchers })?;
        for repeat in 1..=REPEATS {
            let cost = bank.outage(OUTAGE, Change::Leaving(0..1))?;
            run.add_outage(watchers, repeat, &cost)?;
        }
    }
    run.end(folder)
}

/// A service that grows with its proxies: a zone's members go, and all watchers return after an outage in which that
/// zone went. Each view holds members of every zone, so that nearly all proxies hear of it.
fn fleet(options: Options, folder: &Path) -> Outcome<()> {
    let mut run = Run::new(options, "registry_fleet", "watchers")?;
    for watchers in FLEET {
        let mut bank = run.bank(Size { members: MEMBERS_EACH * watchers, watchers })?;
        for repeat in 1..=REPEATS {
            let cost = bank.change(Change::ZoneGone(repeat as usize % ZONES.len()))?;
            run.add_change(&bank, watchers, repeat, &cost)?;
            bank.change(Change::Nothing)?;
            let cost = bank.outage(OUTAGE, Change::ZoneGone(0))?;
            run.add_outage(watchers, repeat, &cost)?;
        }
    }
    run.end(folder)
}

/// The series of a version. With views, few watchers of many members would each hold a large part of them, as every
/// member has its fewest senders: members grow with the watchers there.
fn series_of(version: Version) -> &'static [fn(Options, &Path) -> Outcome<()>] {
    match version {
        Version::WholeList => &[watchers, members, changed, lost_zone, returning],
        Version::View => &[watchers, changed, lost_zone, fleet],
    }
}

/// Measures all series and writes their samples into `folder`.
///
/// # Errors
/// When a process can't be started, ends or does not do its part in time, or a sample can't be written.
pub fn run(options: Options, folder: &Path) -> Outcome<()> {
    let begun = Instant::now();
    for series in series_of(options.version) {
        series(options, folder)?;
    }
    eprintln!("capacity: part registry took {:.0} s", begun.elapsed().as_secs_f64());
    Ok(())
}
