//! What a group of proxies that agree on bans costs: over the machines that follow without a vote, with three and with
//! five voters, over the bans in force, and over the backends whose names the copies of what was learnt hold. Real processes of the program on loopback, with the clocks that it has by
//! default. The program takes three or five voters and no other number, so that there is no line over voters: the two
//! series over learners show what two more voters cost.

#[path = "group/cluster.rs"]
mod cluster;
#[path = "group/machine.rs"]
mod machine;
#[path = "group/relay.rs"]
mod relay;

use crate::fit::LEAST_SIZES;
use crate::record::{Metric, Recorder, Series, Version, snapshot};
use crate::usage;
use cluster::{Cluster, Disk, Meter, Plan, between, has_bans};
use hdrhistogram::Histogram;
use machine::{Machine, folder_kb, name};
use relay::{Counts, Flow, Traffic};
use std::error::Error;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{io, thread};

type Outcome<T> = Result<T, Box<dyn Error>>;

const SEED: u64 = 4_201;
const REPEATS: u32 = 3;
/// How long a group is left alone before it is measured idle, and for how long it is: two rounds of copies.
const SETTLE: Duration = Duration::from_millis(500);
const IDLE: Duration = Duration::from_secs(4);
/// How often an idle measurement begins anew because another machine led at its end.
const TRIES: u32 = 4;
/// Bans that are timed, one after another.
const TIMED_BANS: usize = 48;
/// Operators that call at each machine at once while bans are only put there; a machine takes eight.
const OPERATORS: usize = 7;
/// How often a ban is called again that got no yes.
const CALLS: usize = 20;
const CALL_AGAIN: Duration = Duration::from_millis(20);
/// A yes later than this is counted as this late, in microseconds.
const LATEST_MICROS: u64 = 60_000_000;

/// Sizes of the series over learners.
const LEARNERS_OF_THREE: [usize; 5] = [0, 2, 6, 14, 30];
const LEARNERS_OF_FIVE: [usize; 4] = [0, 2, 6, 14];
/// Sizes of the series over bans, and the backends that are listed at each.
const BANS: [usize; 4] = [10, 100, 1_000, 4_000];
const LISTED: usize = 4_000;

/// Sizes of the series over listed backends.
const BACKENDS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];

/// The path of the copies of what a proxy has learnt.
const COPIES_PATH: &str = "/group/keep";
/// Paths of the group's calls that carry what was agreed on, and not what the proxies have learnt.
const AGREED_PATHS: [&str; 4] = ["/group/append", "/group/snapshot", "/group/vote", "/group/read"];

const TIME_RATE: &str = "ms a second";
const BYTE_RATE: &str = "KB a second";
const CALL_RATE: &str = "calls a second";
const MEMORY: &str = "MB";
const MILLISECONDS: &str = "ms";
const KILOBYTES: &str = "KB";

const fn metric(name: &'static str, unit: &'static str) -> Metric {
    Metric { name, unit }
}

/// Measures all series and writes their samples into `folder`.
///
/// # Errors
/// When a group can't be run or measured, or the samples can't be written.
pub fn measure(folder: &Path) -> Outcome<()> {
    over_learners("group-learners", 3, &LEARNERS_OF_THREE, folder)?;
    over_learners("group-learners-of-five", 5, &LEARNERS_OF_FIVE, folder)?;
    over_bans(folder)?;
    over_backends(folder)
}

fn recorder(name: &str, size_name: &str) -> Outcome<Recorder> {
    let (name, size_name, snapshot) = (name.to_owned(), size_name.to_owned(), snapshot()?);
    Ok(Recorder::new(Series { name, size_name, version: Version::WholeList, seed: SEED, snapshot }))
}

fn over_learners(series: &str, voters: usize, sizes: &[usize], folder: &Path) -> Outcome<()> {
    let mut recorder = recorder(series, "learners")?;
    // No line goes through what learners cost at fewer sizes that have any.
    let with_learners = sizes.iter().filter(|&&learners| learners > 0).count() >= LEAST_SIZES;
    for repeat in 1..=REPEATS {
        for &learners in sizes {
            let plan = Plan {
                voters,
                learners,
                backends: TIMED_BANS,
                disk: Disk::Real,
                seed: SEED + u64::from(repeat),
            };
            let cluster = Cluster::start(plan)?;
            let mut samples = Samples { recorder: &mut recorder, size: learners as u64, repeat };
            record_idle(&cluster, with_learners, &mut samples)?;
            record_memory(&cluster, &mut samples)?;
            record_yes(&cluster, TIMED_BANS, &mut samples)?;
        }
    }
    Ok(recorder.write(folder)?)
}

/// Disks are in memory here: one sync for each ban would take most of the time, and the series over learners has it.
fn over_bans(folder: &Path) -> Outcome<()> {
    let mut recorder = recorder("group-bans", "bans")?;
    for repeat in 1..=REPEATS {
        for bans in BANS {
            let plan = Plan {
                voters: 3,
                learners: 0,
                backends: LISTED,
                disk: Disk::Memory,
                seed: SEED + u64::from(repeat),
            };
            let mut cluster = Cluster::start(plan)?;
            let mut samples = Samples { recorder: &mut recorder, size: bans as u64, repeat };
            let began = Instant::now();
            place_bans(&cluster, bans)?;
            cluster.wait_for_bans(bans)?;
            samples.add(metric("placing", MILLISECONDS), millis(began.elapsed()) / bans as f64)?;
            record_idle(&cluster, false, &mut samples)?;
            record_memory(&cluster, &mut samples)?;
            let voter = cluster.following_voters()?[0];
            let on_disk = folder_kb(&cluster.machines()[voter].state())?;
            samples.add(metric("disk", KILOBYTES), on_disk)?;
            record_yes(&cluster, bans, &mut samples)?;
            record_return(&mut cluster, bans, Loss::Process, &mut samples)?;
            record_return(&mut cluster, bans, Loss::Disk, &mut samples)?;
        }
    }
    Ok(recorder.write(folder)?)
}

/// Every proxy of a group sends what it has learnt, with the names of all listed backends, to two of its peers.
fn over_backends(folder: &Path) -> Outcome<()> {
    let mut recorder = recorder("group-copies", "backends")?;
    for repeat in 1..=REPEATS {
        for backends in BACKENDS {
            let plan =
                Plan { voters: 3, learners: 0, backends, disk: Disk::Real, seed: SEED + u64::from(repeat) };
            let cluster = Cluster::start(plan)?;
            let mut samples = Samples { recorder: &mut recorder, size: backends as u64, repeat };
            let (_, idle) = idle(&cluster)?;
            let voters = cluster.following_voters()?;
            samples.add(metric("sent", BYTE_RATE), mean(&voters, |voter| idle.copies(voter)))?;
            samples.add(metric("voter-traffic", BYTE_RATE), mean(&voters, |voter| idle.kilobytes(voter)))?;
            samples.add(
                metric("voter-group-processor-time", TIME_RATE),
                mean(&voters, |voter| idle.group_processor_time(voter)),
            )?;
        }
    }
    Ok(recorder.write(folder)?)
}

/// The samples of one repeat at one size.
struct Samples<'a> {
    recorder: &'a mut Recorder,
    size: u64,
    repeat: u32,
}

impl Samples<'_> {
    fn add(&mut self, metric: Metric, value: f64) -> Outcome<()> {
        Ok(self.recorder.add(metric, self.size, self.repeat, value)?)
    }
}

/// What an idle group used between two looks at its meter.
struct Idle {
    from: Meter,
    until: Meter,
    /// What passed the relays in between.
    counts: Vec<Counts>,
}

impl Idle {
    fn per_second(&self, amount: f64) -> f64 {
        amount / (self.until.at - self.from.at).as_secs_f64()
    }

    /// The processor time that one machine's group used, in ms a second.
    fn group_processor_time(&self, machine: usize) -> f64 {
        let used = self.until.processor[machine].group - self.from.processor[machine].group;
        self.per_second(millis(used))
    }

    /// The same of its whole process.
    fn processor_time(&self, machine: usize) -> f64 {
        let used = self.until.processor[machine].all - self.from.processor[machine].all;
        self.per_second(millis(used))
    }

    /// What one machine sent and got a second, in KB.
    fn kilobytes(&self, machine: usize) -> f64 {
        self.per_second(traffic_of(&self.counts, machine).bytes() as f64 / 1_000.0)
    }

    /// The calls that it made and got a second.
    fn calls(&self, machine: usize) -> f64 {
        self.per_second(traffic_of(&self.counts, machine).calls as f64)
    }

    /// The calls of the whole group a second.
    fn all_calls(&self) -> f64 {
        let calls = self.counts.iter().map(|counts| counts.sum(|_| true).calls).sum::<u64>();
        self.per_second(calls as f64)
    }

    /// The bytes of the copies of what the proxies have learnt that one machine sends, in KB a second.
    fn copies(&self, machine: usize) -> f64 {
        let mine = name(machine);
        let sent = self
            .counts
            .iter()
            .map(|counts| counts.sum(|flow| flow.caller == mine && flow.path == COPIES_PATH).bytes());
        self.per_second(sent.sum::<u64>() as f64 / 1_000.0)
    }
}

/// What one machine sent and got: calls to it, and its own to the others.
fn traffic_of(counts: &[Counts], machine: usize) -> Traffic {
    let mine = name(machine);
    let mut sum = counts[machine].sum(|_| true);
    for (_, others) in counts.iter().enumerate().filter(|(number, _)| *number != machine) {
        sum.add(others.sum(|flow| flow.caller == mine));
    }
    sum
}

/// Leaves the group alone and looks what it uses, and who leads it all the while.
fn idle(cluster: &Cluster) -> Outcome<(usize, Idle)> {
    for _ in 0..TRIES {
        let leader = cluster.leader()?;
        thread::sleep(SETTLE);
        let from = cluster.meter()?;
        thread::sleep(IDLE);
        let until = cluster.meter()?;
        if cluster.leader()? == leader {
            let counts = between(&from.counts, &until.counts);
            return Ok((leader, Idle { from, until, counts }));
        }
        eprintln!("capacity: another machine leads the idle group; measured again");
    }
    Err("the idle group changed its leader each time; measure on a machine with less load".into())
}

/// What an idle machine of each kind costs; of learners only `with_learners`.
fn record_idle(cluster: &Cluster, with_learners: bool, samples: &mut Samples<'_>) -> Outcome<()> {
    let (leader, idle) = idle(cluster)?;
    let (voters, learners) = (cluster.following_voters()?, cluster.learners());
    samples.add(metric("leader-group-processor-time", TIME_RATE), idle.group_processor_time(leader))?;
    samples.add(metric("leader-processor-time", TIME_RATE), idle.processor_time(leader))?;
    samples.add(metric("leader-traffic", BYTE_RATE), idle.kilobytes(leader))?;
    samples.add(metric("leader-calls", CALL_RATE), idle.calls(leader))?;
    samples.add(
        metric("voter-group-processor-time", TIME_RATE),
        mean(&voters, |voter| idle.group_processor_time(voter)),
    )?;
    samples
        .add(metric("voter-processor-time", TIME_RATE), mean(&voters, |voter| idle.processor_time(voter)))?;
    samples.add(metric("voter-traffic", BYTE_RATE), mean(&voters, |voter| idle.kilobytes(voter)))?;
    samples.add(metric("voter-copies", BYTE_RATE), mean(&voters, |voter| idle.copies(voter)))?;
    samples.add(metric("group-calls", CALL_RATE), idle.all_calls())?;
    if with_learners && !learners.is_empty() {
        samples.add(
            metric("learner-group-processor-time", TIME_RATE),
            mean(&learners, |learner| idle.group_processor_time(learner)),
        )?;
        samples
            .add(metric("learner-traffic", BYTE_RATE), mean(&learners, |learner| idle.kilobytes(learner)))?;
    }
    Ok(())
}

fn record_memory(cluster: &Cluster, samples: &mut Samples<'_>) -> Outcome<()> {
    let memory =
        |number: usize| -> Outcome<f64> { Ok(usage::resident_mb(cluster.machines()[number].pid()?)?) };
    samples.add(metric("leader-memory", MEMORY), memory(cluster.leader()?)?)?;
    let voters = cluster.following_voters()?;
    let of_voters = voters.iter().map(|&voter| memory(voter)).collect::<Outcome<Vec<_>>>()?;
    samples.add(metric("voter-memory", MEMORY), of_voters.iter().sum::<f64>() / of_voters.len() as f64)
}

/// How long an operator waits for a yes, at a voter that does not lead: one ban after another, of the first `among`
/// backends in turn. One that is banned already is written to the log and answered as any other.
fn record_yes(cluster: &Cluster, among: usize, samples: &mut Samples<'_>) -> Outcome<()> {
    let voter = cluster.following_voters()?[0];
    let machine = &cluster.machines()[voter];
    let mut waits = Histogram::<u64>::new_with_max(LATEST_MICROS, 3)?;
    for number in 0..TIMED_BANS {
        let called = Instant::now();
        until_yes(machine, number % among)?;
        waits.saturating_record(called.elapsed().as_micros() as u64);
    }
    let at = |quantile| waits.value_at_quantile(quantile) as f64 / 1_000.0;
    samples.add(metric("yes-p50", MILLISECONDS), at(0.5))?;
    samples.add(metric("yes-p99", MILLISECONDS), at(0.99))
}

/// Calls for a ban until the answer is yes, as operators do.
fn until_yes(machine: &Machine, backend: usize) -> io::Result<()> {
    let mut refused = io::Error::other("no ban was called");
    for _ in 0..CALLS {
        match machine.ban(backend) {
            Ok(()) => return Ok(()),
            Err(error) => refused = error,
        }
        thread::sleep(CALL_AGAIN);
    }
    Err(refused)
}

/// Puts the first so many backends out of use, with some operators at each machine.
fn place_bans(cluster: &Cluster, bans: usize) -> io::Result<()> {
    let next = AtomicUsize::new(0);
    let call = |machine: &Machine| -> io::Result<()> {
        loop {
            let backend = next.fetch_add(1, Ordering::Relaxed);
            if backend >= bans {
                return Ok(());
            }
            until_yes(machine, backend)?;
        }
    };
    thread::scope(|scope| {
        let operators = cluster.machines().iter().flat_map(|machine| [machine; OPERATORS]);
        let started: Vec<_> = operators.map(|machine| scope.spawn(|| call(machine))).collect();
        started.into_iter().try_for_each(|operator| {
            operator.join().unwrap_or_else(|_| Err(io::Error::other("an operator's thread panicked")))
        })
    })
}

/// What a machine loses before it starts again.
#[derive(Clone, Copy)]
enum Loss {
    /// Its process alone.
    Process,
    /// Its disk as well.
    Disk,
}

/// Ends a voter that does not lead, starts it again, and records how long it takes until it votes, knows the bans and
/// takes clients, and what the others send it of what was agreed on until then.
fn record_return(cluster: &mut Cluster, bans: usize, loss: Loss, samples: &mut Samples<'_>) -> Outcome<()> {
    let voter = cluster.following_voters()?[0];
    let machine = cluster.machine(voter);
    match loss {
        Loss::Process => machine.kill(),
        Loss::Disk => machine.lose_disk()?,
    }
    let before = cluster.counts();
    let began = Instant::now();
    cluster.machine(voter).start()?;
    let machine = &cluster.machines()[voter];
    let is_back = || machine.votes() && has_bans(machine, bans) && machine.is_up();
    cluster.wait_for("a voter that is back", || is_back().then_some(()))?;
    let took = millis(began.elapsed());
    let got = agreed_bytes_to(&between(&before, &cluster.counts()), voter) as f64 / 1_000.0;
    let (ready, sent) = match loss {
        Loss::Process => ("restart-ready", "restart-sent"),
        Loss::Disk => ("lost-disk-ready", "lost-disk-sent"),
    };
    samples.add(metric(ready, MILLISECONDS), took)?;
    samples.add(metric(sent, KILOBYTES), got)
}

/// The bytes to one machine that carry what was agreed on: calls to it, and answers to its own.
fn agreed_bytes_to(counts: &[Counts], machine: usize) -> u64 {
    let mine = name(machine);
    let agreed = |flow: &Flow| AGREED_PATHS.contains(&flow.path.as_str());
    let answers =
        counts.iter().map(|counts| counts.sum(|flow| agreed(flow) && flow.caller == mine).answer_bytes);
    counts[machine].sum(agreed).asked_bytes + answers.sum::<u64>()
}

fn mean(machines: &[usize], value: impl Fn(usize) -> f64) -> f64 {
    machines.iter().map(|&machine| value(machine)).sum::<f64>() / machines.len() as f64
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
