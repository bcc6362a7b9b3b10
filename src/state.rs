//! What a balancer remembers: plain data for `balancer.rs`, where everything is decided.

use crate::api::{BackendId, Micros, RequestId, Senders, Tenant, TenantNumber};
use rustc_hash::FxHashMap;

/// The samples of one server since its limit was last judged.
#[derive(Clone, Copy, Default)]
pub(crate) struct Window {
    pub(crate) since: Micros,
    pub(crate) count: u32,
    pub(crate) sum: f64,
    /// Whether IFR came near the limit; a limit that was not used is not known to be good.
    pub(crate) filled: bool,
}

/// What this proxy may send a cold server: one token a send.
///
/// Rule 4: every proxy finds the empty newcomer the roomiest at once. Each takes only its own share of what
/// the server can stand, and starts at a random point of its token's period so that they don't come together.
#[derive(Clone, Copy)]
pub(crate) struct ColdBudget {
    pub(crate) started: Micros,
    pub(crate) tokens: f64,
    pub(crate) filled_at: Micros,
}

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) kind: u8,
    pub(crate) cell: u16,
    /// The proxies that may send to it; `None`: all that the settings count.
    pub(crate) senders: Option<Senders>,
    pub(crate) ready: bool,
    pub(crate) started: Option<Micros>,
    /// When the operators gave it back, perhaps restarted.
    pub(crate) given_back: Option<Micros>,
    /// It was given back and has served nothing since.
    pub(crate) returning: bool,
    pub(crate) in_flight: u32,
    /// Requests whose bodies are still on their way there: it has not begun them.
    pub(crate) uploads: u32,
    pub(crate) limit: f64,
    pub(crate) dither: f64,
    /// The limit is its kind's; its own windows have not been judged.
    pub(crate) probing: bool,
    /// The part of its kind's limit that its last report gave it, and when.
    pub(crate) part: (f64, Micros),
    pub(crate) window: Window,
    /// Share of failures among its latest outcomes.
    pub(crate) failures: f64,
    /// Since when it owes an answer without having given any.
    pub(crate) silent_since: Micros,
    /// Its latest request ran out of time in that silence: until it answers, it gets one at a time.
    pub(crate) unanswered: bool,
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) strikes: u32,
    /// It turned a request away and until then counts as having no room.
    pub(crate) full_until: Micros,
    /// A single request is out to see whether the server is back.
    pub(crate) trial_out: bool,
    pub(crate) cold: Option<ColdBudget>,
    /// When each of this proxy's connections to it was last in use.
    pub(crate) rested: Vec<Micros>,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum AttemptState {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: usize,
    pub(crate) sent_at: Micros,
    /// Its body is still on its way: it takes no slot yet.
    pub(crate) uploading: bool,
    /// How long its connection had rested.
    pub(crate) rested: Micros,
    pub(crate) state: AttemptState,
}

/// A request that this proxy took and whose attempts have not all ended.
pub(crate) struct Open {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    pub(crate) over_share: bool,
    /// The client has its final answer, or left.
    pub(crate) answered: bool,
    pub(crate) streaming: bool,
    /// Its body is still coming; with the time that the client has from its last byte on.
    pub(crate) upload: Option<Micros>,
    /// Its body has passed through and can't be sent again.
    pub(crate) spent: bool,
    pub(crate) held_until: Option<Micros>,
    pub(crate) attempts: Vec<Attempt>,
}

impl Open {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::Out).count()
    }

    /// The first attempt that may have run. One that is out counts as such.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.state != AttemptState::NeverRan)
    }
}

/// Where a request may go next (rule 2).
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scope {
    Anywhere,
    Zone(u16),
    Cell(u16),
    Nowhere,
}

/// How far a proxy with few slots spreads its requests.
pub(crate) struct Pool {
    /// The sum of the limits of the servers that are near.
    pub(crate) slots: f64,
    /// The factor on every limit when it is rounded to slots.
    pub(crate) spread: f64,
    /// The most requests in flight.
    pub(crate) most: u32,
    pub(crate) judged_at: Option<Micros>,
}

/// What one server of a kind of machine takes from all proxies together.
#[derive(Clone)]
pub(crate) struct CommonLimit {
    pub(crate) limit: f64,
    pub(crate) growing: bool,
    /// The mean service time that its servers' load reports tell, milliseconds; 0: none yet.
    pub(crate) service: f64,
    pub(crate) window: Window,
    /// Requests served a second by all of its servers.
    pub(crate) served: PeakRate,
    /// Its servers that may be sent to, in servers that all of the settings' proxies share: one with fewer senders
    /// counts for more.
    pub(crate) ready: f64,
}

/// Latencies of a class on one kind of machine.
#[derive(Clone, Copy)]
pub(crate) struct Latency {
    pub(crate) count: u32,
    pub(crate) mean: f64,
}

impl Latency {
    /// How much a class counts beside others: as often as its answers came.
    fn weight(self) -> f64 {
        f64::from(self.count.max(1))
    }
}

/// The latencies of all classes on each kind of machine. The mean over all classes costs the same however many there
/// are.
pub(crate) struct Latencies {
    kinds: usize,
    /// By class, then by kind.
    latencies: Vec<Latency>,
    /// For each kind the sum of the classes' means, each by its weight, and that of the weights.
    sums: Vec<(f64, f64)>,
}

impl Latencies {
    /// No class yet, on so many kinds of machines.
    pub(crate) fn of_kinds(kinds: usize) -> Self {
        Self { kinds, latencies: Vec::new(), sums: vec![(0.0, 0.0); kinds] }
    }

    /// Adds a class whose latency is the same on each kind.
    pub(crate) fn push(&mut self, latency: Latency) {
        (0..self.kinds).for_each(|kind| self.push_on(kind, latency));
    }

    /// Adds a class with the latencies of another one.
    pub(crate) fn push_copy(&mut self, class: usize) {
        (0..self.kinds).for_each(|kind| self.push_on(kind, self.of(class)[kind]));
    }

    /// Adds the latency of the class that comes last, on the next kind.
    fn push_on(&mut self, kind: usize, latency: Latency) {
        add(&mut self.sums[kind], latency, 1.0);
        self.latencies.push(latency);
    }

    /// Takes more kinds, on which each class has the latency of the last kind there was.
    pub(crate) fn extend_kinds(&mut self, kinds: usize) {
        if kinds == self.kinds {
            return;
        }
        let old = std::mem::replace(self, Self::of_kinds(kinds));
        for class in old.latencies.chunks(old.kinds) {
            (0..kinds).for_each(|kind| self.push_on(kind, class[kind.min(old.kinds - 1)]));
        }
    }

    /// A class's latencies, one for each kind.
    pub(crate) fn of(&self, class: usize) -> &[Latency] {
        &self.latencies[class * self.kinds..(class + 1) * self.kinds]
    }

    /// Changes a class's latency on a kind.
    pub(crate) fn update(&mut self, class: usize, kind: usize, change: impl FnOnce(&mut Latency)) {
        let latency = &mut self.latencies[class * self.kinds + kind];
        add(&mut self.sums[kind], *latency, -1.0);
        change(latency);
        add(&mut self.sums[kind], *latency, 1.0);
    }

    /// The mean latency of a kind's answers over all classes.
    pub(crate) fn mean_of_answers(&self, kind: usize) -> f64 {
        let (sum, weights) = self.sums[kind];
        sum / weights
    }
}

/// Adds a latency to a kind's sums, or takes it away.
fn add((sum, weights): &mut (f64, f64), latency: Latency, sign: f64) {
    *sum += sign * latency.mean * latency.weight();
    *weights += sign * latency.weight();
}

pub(crate) struct Bucket {
    pub(crate) tokens: f64,
    pub(crate) at: Micros,
    /// Requests of late, fading within seconds.
    pub(crate) asked: f64,
}

/// The tenants' buckets, by the tenants' numbers. What all tenants ask for is summed over those that do, not over all.
#[derive(Default)]
pub(crate) struct Buckets {
    buckets: Vec<Bucket>,
    /// Those that have asked for something, each once; some have faded since.
    asking: Vec<TenantNumber>,
    /// What the tenants may ask for together, in requests a second.
    allowances: f64,
}

impl Buckets {
    /// Takes other tenants: those that stay keep their buckets, and each new one gets one.
    pub(crate) fn settle(&mut self, tenants: &[Tenant], bucket: impl Fn(&Tenant) -> Bucket) {
        self.buckets.truncate(tenants.len());
        self.asking.retain(|&tenant| (tenant as usize) < tenants.len());
        self.buckets.reserve_exact(tenants.len() - self.buckets.len());
        self.buckets.extend(tenants[self.buckets.len()..].iter().map(bucket));
        self.allowances = tenants.iter().map(|tenant| tenant.allowance_per_s).sum();
    }

    /// The bucket of a tenant that asks for something.
    pub(crate) fn ask(&mut self, tenant: TenantNumber) -> Option<&mut Bucket> {
        let bucket = self.buckets.get_mut(tenant as usize)?;
        if bucket.asked == 0.0 {
            self.asking.push(tenant);
        }
        Some(bucket)
    }

    /// What the tenants may ask for together, in requests a second.
    pub(crate) fn allowances(&self) -> f64 {
        self.allowances
    }

    /// What all tenants have asked for, `recent` of each. A bucket of which nothing is left is looked at no more
    /// until its tenant asks again.
    pub(crate) fn asked_by_all(&mut self, recent: impl Fn(&Bucket) -> f64) -> f64 {
        let mut all = 0.0;
        self.asking.retain(|&tenant| {
            let bucket = &mut self.buckets[tenant as usize];
            let asked = recent(bucket);
            all += asked;
            if asked == 0.0 {
                bucket.asked = 0.0;
            }
            asked > 0.0
        });
        all
    }
}

/// Events a second: the best four seconds so far, fading. A single second of a small proxy says too much.
#[derive(Clone)]
pub(crate) struct PeakRate {
    pub(crate) count: f64,
    pub(crate) since: Micros,
    pub(crate) peak: f64,
    /// The servers that these events come from, the most at once, and those that the peak came from (0: not
    /// known), both counted as in [`CommonLimit::ready`]. Where most of them have left, the peak is no measure of
    /// the few that are listed.
    pub(crate) most: f64,
    pub(crate) from: f64,
}

/// The requests that this proxy took, each at a place that stays the same; places are used again.
#[derive(Default)]
pub(crate) struct Requests {
    places: Vec<Open>,
    free: Vec<usize>,
    by_id: FxHashMap<RequestId, usize>,
}

impl Requests {
    pub(crate) fn find(&self, id: RequestId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn get(&self, place: usize) -> Option<&Open> {
        self.places.get(place)
    }

    pub(crate) fn insert(&mut self, mut open: Open) -> usize {
        let place = self.free.pop().unwrap_or(self.places.len());
        self.by_id.insert(open.id, place);
        match self.places.get_mut(place) {
            Some(old) => {
                // The list of attempts keeps its memory: no allocation on the hot path.
                std::mem::swap(&mut open.attempts, &mut old.attempts);
                open.attempts.clear();
                *old = open;
            }
            None => self.places.push(open),
        }
        place
    }

    pub(crate) fn release(&mut self, place: usize) {
        self.by_id.remove(&self.places[place].id);
        self.free.push(place);
    }
}

impl std::ops::Index<usize> for Requests {
    type Output = Open;
    fn index(&self, place: usize) -> &Open {
        &self.places[place]
    }
}

impl std::ops::IndexMut<usize> for Requests {
    fn index_mut(&mut self, place: usize) -> &mut Open {
        &mut self.places[place]
    }
}
