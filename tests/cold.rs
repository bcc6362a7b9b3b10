//! Cold servers under the sum of a whole fleet: many instances of the module on one clock, and what reaches each
//! cold server in every window of the time that the settings name.

mod common;

use common::{MS, SECOND, backend, class, settings};
use haventrack::api::*;
use haventrack::balancer::Balancer;
use std::collections::BTreeMap;

/// Requests that a server holds for each of its cores; more are turned away.
const ROOM: f64 = 8.0;

/// What is due at a point in time.
#[derive(Clone, Copy)]
enum Due {
    Arrival(usize),
    Settled {
        proxy: usize,
        life: u32,
        request: RequestId,
        attempt: u16,
        server: usize,
        outcome: Outcome,
        elapsed: Micros,
    },
    Timer {
        proxy: usize,
        life: u32,
        token: u32,
    },
    Told {
        proxy: usize,
        server: usize,
    },
    Killed(usize),
    /// A proxy is told another list, by its place among the new ones.
    View {
        proxy: usize,
        list: usize,
    },
}

/// A server as it is, whatever the proxies know.
struct Machine {
    entry: Backend,
    cores: f64,
    in_flight: u32,
    /// All that is sent there fails at once.
    bad: bool,
    /// What was sent there by proxies that knew its present start: when, and how much work.
    sent: Vec<(Micros, f64)>,
}

/// How a fleet is made.
#[derive(Clone)]
struct Plan {
    settings: Settings,
    servers: u32,
    cores: f64,
    /// Work of a request of each class, and its part of the traffic.
    classes: Vec<(Micros, f64)>,
    /// Requests offered, as a part of what all servers can do when warm.
    load: f64,
    /// The proxies' traffic differs by up to this factor.
    uneven: f64,
    /// Which proxies' lists name a server; `None`: all do, and nobody is told their number.
    views: Option<Views>,
}

/// Each server is held by some proxies of its zone and some of the others.
#[derive(Clone)]
struct Views {
    near: usize,
    far: usize,
    /// The proxies that may be chosen.
    proxies: std::ops::Range<usize>,
    /// The last servers, so many, belong to a service without subsets: all of these proxies hold them.
    whole: u32,
}

impl Views {
    /// The proxies that hold a server, among so many zones: the first in an order that is the server's own.
    fn holders(&self, server: BackendId, servers: u32, zones: usize) -> Vec<usize> {
        if server + self.whole >= servers {
            return self.proxies.clone().collect();
        }
        let order = |proxy: &usize| fastrand::Rng::with_seed(u64::from(server) << 32 | *proxy as u64).u64(..);
        let mut proxies: Vec<usize> = self.proxies.clone().collect();
        proxies.sort_by_key(order);
        let zone = server as usize % zones;
        let (near, far): (Vec<_>, Vec<_>) = proxies.into_iter().partition(|proxy| proxy % zones == zone);
        near.into_iter().take(self.near).chain(far.into_iter().take(self.far)).collect()
    }
}

impl Plan {
    fn new(balancers: u32, servers: u32) -> Self {
        let mut settings = settings();
        (settings.balancers, settings.zones) = (balancers, 2);
        settings.permissions.retry_after = None;
        Self {
            settings,
            servers,
            cores: 2.0,
            classes: vec![(60 * MS, 1.0)],
            load: 0.6,
            uneven: 1.0,
            views: None,
        }
    }

    fn mean_work(&self) -> f64 {
        self.classes.iter().map(|&(work, part)| work as f64 * part).sum()
    }

    /// Requests of mean work that a warm server does in a second.
    fn capacity(&self) -> f64 {
        self.cores * SECOND as f64 / self.mean_work()
    }
}

struct Fleet {
    plan: Plan,
    now: Micros,
    rng: fastrand::Rng,
    proxies: Vec<Balancer>,
    lives: Vec<u32>,
    /// Which start of each server a proxy knows.
    knows: Vec<Vec<Option<Micros>>>,
    /// The servers that a proxy's list names, and what it says of each of them.
    lists: Vec<BTreeMap<BackendId, Option<Senders>>>,
    /// Lists that are yet to be told.
    new_lists: Vec<BTreeMap<BackendId, Option<Senders>>>,
    weights: Vec<f64>,
    machines: Vec<Machine>,
    due: BTreeMap<(Micros, u64), Due>,
    number: u64,
    requests: RequestId,
    attempts: rustc_hash::FxHashMap<RequestId, (f64, u16)>,
}

impl Fleet {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = u32::from(plan.settings.zones);
        let machine = |id: BackendId| Machine {
            entry: Backend {
                zone: (id % zones) as u16,
                kind: (id / zones % u32::from(plan.settings.kinds)) as u8,
                ..backend(id)
            },
            cores: plan.cores,
            in_flight: 0,
            bad: false,
            sent: Vec::new(),
        };
        let machines: Vec<Machine> = (0..plan.servers).map(machine).collect();
        let count = plan.settings.balancers as usize;
        let weights = (0..count).map(|_| 1.0 + rng.f64() * (plan.uneven - 1.0)).collect();
        let mut fleet = Self {
            now: SECOND,
            proxies: Vec::new(),
            lives: vec![0; count],
            knows: vec![Vec::new(); count],
            lists: Vec::new(),
            new_lists: Vec::new(),
            weights,
            machines,
            due: BTreeMap::new(),
            number: 0,
            requests: 0,
            attempts: Default::default(),
            rng,
            plan,
        };
        fleet.lists = fleet.views();
        for me in 0..count {
            let balancer = fleet.start(me);
            fleet.proxies.push(balancer);
            fleet.tell_all(me);
            fleet.next_arrival(me);
        }
        fleet
    }

    fn start(&mut self, me: usize) -> Balancer {
        let zone = (me % usize::from(self.plan.settings.zones)) as u16;
        let settings = Settings { me: me as u32, zone, ..self.plan.settings.clone() };
        Balancer::new(settings, self.rng.u64(..), self.now).expect("the settings make sense")
    }

    /// What each proxy's list says, as the plan is now.
    fn views(&self) -> Vec<BTreeMap<BackendId, Option<Senders>>> {
        let (servers, zones) = (self.plan.servers, usize::from(self.plan.settings.zones));
        let proxies = self.plan.settings.balancers as usize;
        let Some(views) = &self.plan.views else {
            return vec![(0..servers).map(|server| (server, None)).collect(); proxies];
        };
        let mut lists = vec![BTreeMap::new(); proxies];
        for server in 0..servers {
            let holders = views.holders(server, servers, zones);
            let local = holders.iter().filter(|&&proxy| proxy % zones == server as usize % zones).count();
            let senders = Senders { local: local as u32, all: holders.len() as u32 };
            for proxy in holders {
                lists[proxy].insert(server, Some(senders));
            }
        }
        lists
    }

    fn entry(&self, proxy: usize, server: BackendId) -> Backend {
        let senders = self.lists[proxy].get(&server).copied().flatten();
        Backend { senders, ..self.machines[server as usize].entry }
    }

    fn tell_all(&mut self, proxy: usize) {
        let entries: Vec<Backend> =
            self.lists[proxy].keys().map(|&server| self.entry(proxy, server)).collect();
        self.knows[proxy] = self.machines.iter().map(|m| m.entry.started).collect();
        self.event(proxy, Event::Membership(Membership::Cached(&entries)));
    }

    /// Other proxies hold other servers from now on. One in `every` is told at once, the rest after `late`.
    fn change_views(&mut self, views: Views, every: usize, late: Micros) {
        self.plan.views = Some(views);
        for (proxy, list) in self.views().into_iter().enumerate() {
            let after = if proxy % every == 0 { 0 } else { late };
            self.new_lists.push(list);
            self.at(self.now + after, Due::View { proxy, list: self.new_lists.len() - 1 });
        }
    }

    fn at(&mut self, time: Micros, due: Due) {
        self.number += 1;
        self.due.insert((time, self.number), due);
    }

    /// A proxy whose list is empty has no clients: they are at the others.
    fn next_arrival(&mut self, proxy: usize) {
        if self.lists[proxy].is_empty() {
            return self.at(self.now + 100 * MS, Due::Arrival(proxy));
        }
        let all = self.plan.capacity() * f64::from(self.plan.servers) * self.plan.load;
        let serving = self.weights.iter().zip(&self.lists).filter(|(_, list)| !list.is_empty());
        let rate = all * self.weights[proxy] / serving.map(|(weight, _)| weight).sum::<f64>();
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.at(self.now + (gap * SECOND as f64) as Micros + 1, Due::Arrival(proxy));
    }

    /// These servers start anew now, and each proxy is told within `spread`.
    fn restart(&mut self, servers: impl Iterator<Item = usize>, spread: Micros) {
        for server in servers {
            let machine = &mut self.machines[server];
            machine.entry.started = Some(self.now);
            machine.entry.readiness = Readiness::Ready;
            machine.sent.clear();
            self.tell(server, spread);
        }
    }

    fn tell(&mut self, server: usize, spread: Micros) {
        for proxy in 0..self.proxies.len() {
            let at = self.now + self.rng.u64(0..=spread);
            self.at(at, Due::Told { proxy, server });
        }
    }

    fn leave(&mut self, servers: impl Iterator<Item = usize>) {
        for server in servers {
            self.machines[server].entry.readiness = Readiness::Gone;
            self.tell(server, 0);
        }
    }

    fn event(&mut self, proxy: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.proxies[proxy].handle(self.now, event, &mut actions);
        let life = self.lives[proxy];
        for action in actions {
            match action {
                Action::Send { request, backend, give_up_at, .. } => {
                    self.send(proxy, request, backend as usize, give_up_at);
                }
                Action::SetTimer { after, token } => {
                    self.at(self.now + after, Due::Timer { proxy, life, token });
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    self.attempts.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, proxy: usize, request: RequestId, server: usize, give_up_at: Micros) {
        let (work, attempts) = self.attempts.get_mut(&request).expect("a request that is open");
        let (work, attempt) = (*work, *attempts);
        *attempts += 1;
        let part = self.part(server, self.now);
        let machine = &mut self.machines[server];
        if self.knows[proxy][server] == machine.entry.started && part < 1.0 {
            machine.sent.push((self.now, work / self.plan.mean_work()));
        }
        let crowd = f64::from(machine.in_flight + 1) / machine.cores;
        machine.in_flight += 1;
        let (outcome, after) = match () {
            () if machine.bad => (Outcome::Error, 2 * MS),
            () if crowd > ROOM => (Outcome::Full, MS),
            () => (Outcome::Ok, (work * crowd.max(1.0) / part) as Micros),
        };
        let left = give_up_at - self.now;
        let (outcome, elapsed) = if after > left { (Outcome::Timeout, left) } else { (outcome, after) };
        let life = self.lives[proxy];
        let due = Due::Settled { proxy, life, request, attempt, server, outcome, elapsed };
        self.at(self.now + elapsed, due);
    }

    /// The part of its capacity that a server has.
    fn part(&self, server: usize, at: Micros) -> f64 {
        let safety = &self.plan.settings.safety;
        let Some(started) = self.machines[server].entry.started else { return 1.0 };
        let age = (at - started) as f64 / safety.cold_time as f64;
        safety.cold_from + (1.0 - safety.cold_from) * age.min(1.0)
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(next) = self.due.first_entry().filter(|next| next.key().0 <= end) {
            let ((at, _), due) = next.remove_entry();
            self.now = at;
            self.step(due);
        }
        self.now = end;
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Arrival(proxy) => {
                self.next_arrival(proxy);
                if self.lists[proxy].is_empty() {
                    return;
                }
                let mut draw = self.rng.f64();
                let drawn = |&(_, part): &(Micros, f64)| {
                    draw -= part;
                    draw < 0.0
                };
                let class = self.plan.classes.iter().position(drawn).unwrap_or(0);
                // Work varies by half of its mean.
                let work = self.plan.classes[class].0 as f64 * (0.5 + self.rng.f64());
                self.requests += 1;
                let id = self.requests;
                self.attempts.insert(id, (work, 0));
                let patience = self.plan.settings.classes[class].deadline;
                let request = Request { patience, ..common::request(id, class as u8) };
                self.event(proxy, Event::Request(request));
            }
            Due::Settled { proxy, life, request, attempt, server, outcome, elapsed } => {
                self.machines[server].in_flight -= 1;
                if life != self.lives[proxy] {
                    return;
                }
                let ok = outcome == Outcome::Ok;
                let settled = Settled {
                    request,
                    backend: server as BackendId,
                    attempt,
                    outcome,
                    closed: ok,
                    elapsed,
                    spent: false,
                    report: &[],
                };
                self.event(proxy, Event::Settled(settled));
            }
            Due::Timer { proxy, life, token } if life == self.lives[proxy] => {
                self.event(proxy, Event::Timer(token));
            }
            Due::Timer { .. } => {}
            Due::View { proxy, list } => {
                self.lists[proxy] = std::mem::take(&mut self.new_lists[list]);
                self.tell_all(proxy);
            }
            Due::Told { proxy, server } if !self.lists[proxy].contains_key(&(server as BackendId)) => {}
            Due::Told { proxy, server } => {
                let entry = self.entry(proxy, server as BackendId);
                self.knows[proxy][server] = entry.started;
                self.event(proxy, Event::Membership(Membership::Delta(&[entry])));
            }
            Due::Killed(proxy) => {
                self.lives[proxy] += 1;
                let learnt = self.proxies[proxy].learnt();
                self.proxies[proxy] = self.start(proxy);
                self.proxies[proxy].recall(&learnt);
                self.tell_all(proxy);
            }
        }
    }

    /// The worst window of any server: what it got as a part of what is allowed, chance included; and the part of
    /// the cold servers' capacity that was used, from their start until they were warm.
    fn worst(&self) -> (f64, f64) {
        self.worst_of(0..self.machines.len())
    }

    /// The same of some servers alone.
    fn worst_of(&self, servers: std::ops::Range<usize>) -> (f64, f64) {
        let safety = &self.plan.settings.safety;
        let capacity = self.plan.capacity();
        let (mut worst, mut got, mut able) = (0.0_f64, 0.0, 0.0);
        for number in servers {
            let machine = &self.machines[number];
            let Some(started) = machine.entry.started else { continue };
            able += capacity * safety.cold_time as f64 / SECOND as f64 * (1.0 + safety.cold_from) / 2.0;
            got += machine.sent.iter().map(|s| s.1).sum::<f64>();
            let mut first = 0;
            let mut sum = 0.0;
            for &(at, work) in &machine.sent {
                sum += work;
                while machine.sent[first].0 + safety.fall_time <= at {
                    sum -= machine.sent[first].1;
                    first += 1;
                }
                let from = at.saturating_sub(safety.fall_time).max(started);
                let part = self.part(number, from);
                let budget = safety.fall_multiple * part * capacity * safety.fall_time as f64 / SECOND as f64;
                worst = worst.max(sum / (budget + 2.0 * budget.sqrt() + 2.0));
            }
        }
        (worst, got / able)
    }
}

/// Plays a day on several seeds. In no window does a cold server get more than its budget and chance allow; on the
/// mean of the seeds the cold servers carry at least `used` of what they can do until they are warm.
fn check(used: f64, seeds: u64, play: impl Fn(u64) -> Fleet) {
    let all: Vec<(f64, f64)> = (0..seeds).map(|seed| play(seed).worst()).collect();
    let worst = all.iter().map(|a| a.0).fold(0.0, f64::max);
    let mean = all.iter().map(|a| a.1).sum::<f64>() / seeds as f64;
    assert!(worst <= 1.0, "a cold server got {worst:.2} times what may be sent there");
    assert!(mean >= used, "cold servers carried {mean:.2} of what they can do, {used} wanted");
}

/// Thirty proxies, and three hundred on servers ten times as large: what a server bears for each proxy is the same.
fn sizes() -> [Plan; 2] {
    let (mut small, large) = (Plan::new(30, 20), Plan::new(300, 40));
    small.classes = vec![(600 * MS, 1.0)];
    small.settings.classes.truncate(1);
    (small.settings.classes[0].aim, small.settings.classes[0].deadline) = (4 * SECOND, 8 * SECOND);
    [small, large]
}

/// The same with a fleet of each of these sizes.
fn check_sizes(used: f64, play: impl Fn(&Plan, u64) -> Fleet) {
    for plan in sizes() {
        check(used, if plan.servers < 30 { 12 } else { 2 }, |seed| play(&plan, seed));
    }
}

#[test]
fn under_any_load_a_fleet_stays_within_a_cold_servers_budget() {
    for (zones, load, used) in [(1, 0.4, 0.0), (1, 0.8, 0.1), (2, 0.8, 0.1), (3, 1.3, 0.2)] {
        check_sizes(used, |plan, seed| {
            let mut plan = Plan { load, uneven: 4.0, ..plan.clone() };
            plan.settings.zones = zones;
            let mut fleet = Fleet::new(plan, seed);
            fleet.run(9 * SECOND);
            let third = fleet.machines.len() / 3;
            fleet.restart(0..third, SECOND);
            fleet.run(10 * SECOND);
            fleet
        });
    }
}

/// Nobody needs a cold server for seconds, and then all proxies do at once: they have their tokens by then.
#[test]
fn tokens_saved_up_by_all_proxies_stay_within_a_cold_servers_budget() {
    for (zones, quiet, servers) in [(1, 6, 120), (3, 5, 200)] {
        check(0.2, 2, |seed| {
            let mut plan = Plan { load: 0.8, ..Plan::new(300, servers) };
            plan.settings.zones = zones;
            plan.settings.classes.truncate(1);
            let mut fleet = Fleet::new(plan, seed);
            fleet.run(9 * SECOND);
            fleet.plan.load = 0.05;
            fleet.run(SECOND);
            fleet.restart(0..servers as usize / 10, SECOND);
            fleet.run(quiet * SECOND);
            fleet.plan.load = 1.5;
            fleet.run(4 * SECOND);
            fleet
        });
    }
}

/// A process that is killed takes what it has sent with it: the next one starts with tokens of its own.
#[test]
fn proxies_that_are_killed_and_come_back_stay_within_a_cold_servers_budget() {
    check_sizes(0.1, |plan, seed| {
        let mut fleet = Fleet::new(Plan { load: 1.0, ..plan.clone() }, seed);
        fleet.run(9 * SECOND);
        let third = fleet.machines.len() / 3;
        fleet.restart(0..third, SECOND);
        for _ in 0..3 {
            fleet.run(1500 * MS);
            for proxy in 0..fleet.proxies.len() * 7 / 10 {
                fleet.at(fleet.now + 1, Due::Killed(proxy));
            }
        }
        fleet.run(6 * SECOND);
        fleet
    });
}

/// The first class of the settings says nothing of what a server bears where it is rare and light.
#[test]
fn a_cold_servers_budget_follows_the_work_of_all_classes() {
    check(0.2, 8, |seed| {
        let mut plan = Plan::new(30, 100);
        plan.settings.zones = 1;
        plan.settings.classes.truncate(2);
        plan.settings.classes[1] = Class { name: "heavy".into(), ..class(Effect::Safe) };
        plan.classes = vec![(4 * MS, 0.1), (160 * MS, 0.9)];
        (plan.cores, plan.load) = (1.0, 1.0);
        let mut fleet = Fleet::new(plan, seed);
        fleet.run(9 * SECOND);
        fleet.restart(0..60, SECOND);
        fleet.run(10 * SECOND);
        fleet
    });
}

/// Nearly all servers of a kind leave, and new ones come one after the other: what all of them took together is no
/// measure of the few that are listed just now.
#[test]
fn a_cold_server_bears_no_more_where_few_of_its_kind_are_left() {
    check_sizes(0.1, |plan, seed| {
        let mut plan = Plan { load: 0.8, ..plan.clone() };
        plan.settings.zones = 1;
        let mut fleet = Fleet::new(plan, seed);
        fleet.run(10 * SECOND);
        fleet.leave(2..fleet.machines.len());
        fleet.run(2 * SECOND);
        fleet.restart(2..3, SECOND);
        fleet.run(8 * SECOND);
        fleet
    });
}

/// A cold server that fails what it gets is ejected and then tried again every second or two. A trial is work like
/// any other: it takes a token, and there is none before it has grown.
#[test]
fn a_trial_of_a_cold_server_waits_for_a_token() {
    let mut settings = Plan::new(100, 3).settings;
    settings.zones = 1;
    settings.safety.cold_time = 600 * SECOND;
    let started = |id| (id == 0).then_some(SECOND);
    let fleet = (0..3).map(|id| Backend { zone: 0, started: started(id), ..backend(id) });
    let mut proxy = common::Proxy::new(settings.clone(), fleet);
    let mut sent = 0;
    for id in 0..3_000 {
        proxy.request(common::request(id, 0));
        while let Some((id, attempt, server)) = proxy.out().pop() {
            // The warm ones have no room.
            proxy.settle(id, attempt, if server == 0 { Outcome::Error } else { Outcome::Full });
            sent += u32::from(server == 0);
        }
        proxy.requests.retain(|_, tracked| !tracked.ended);
        proxy.advance(100 * MS);
    }
    let ejected =
        |(_, action): &(Micros, Action)| matches!(action, Action::Log(line) if line.starts_with("ejected"));
    assert!(proxy.log.iter().any(ejected), "it fails and is ejected");
    // Five minutes are half of the climb. Before anything is measured a request is taken for a quarter of its aim.
    let part = settings.safety.cold_from + (1.0 - settings.safety.cold_from) / 4.0;
    let able = 4.0 * SECOND as f64 / settings.classes[0].aim as f64 * 300.0 * part / 100.0;
    assert!(f64::from(sent) < able + 1.0, "{sent} sends, {able:.1} are what this proxy's part of it can do");
}

/// Three hundred proxies in three zones, each of which holds ten of 450 servers, and the last `whole` ones too.
fn subsets(load: f64, whole: u32) -> Plan {
    let views = Views { near: 5, far: 2, proxies: 0..300, whole };
    let mut plan = Plan { load, uneven: 2.0, views: Some(views), ..Plan::new(300, 450) };
    plan.settings.zones = 3;
    plan.settings.classes.truncate(1);
    plan
}

/// What [`check`] asserts, of some servers of one day.
fn check_servers(fleet: &Fleet, servers: std::ops::Range<usize>, used: f64) {
    let (worst, carried) = fleet.worst_of(servers.clone());
    assert!(worst <= 1.0, "a cold one of {servers:?} got {worst:.2} times what may be sent there");
    assert!(
        carried >= used,
        "cold ones of {servers:?} carried {carried:.2} of what they can do, {used} wanted"
    );
}

#[test]
fn cold_servers_that_subsets_of_the_proxies_hold_get_work_within_their_budget() {
    for (load, used) in [(0.8, 0.3), (1.3, 0.45)] {
        let mut fleet = Fleet::new(subsets(load, 0), 1);
        fleet.run(6 * SECOND);
        fleet.restart(0..150, SECOND);
        fleet.run(10 * SECOND);
        check_servers(&fleet, 0..450, used);
    }
}

/// Before anything is measured a server's capacity is guessed, and the guess is divided by its own senders.
#[test]
fn where_all_servers_are_cold_from_the_start_their_few_senders_give_them_work() {
    let mut fleet = Fleet::new(subsets(0.8, 0), 1);
    fleet.restart(0..450, SECOND);
    fleet.run(10 * SECOND);
    check_servers(&fleet, 0..450, 0.12);
}

/// A list names servers with seven senders and others that all proxies send to. How much a proxy takes from those
/// of the first sort says little of what one of the second sort bears from each of its many senders.
#[test]
fn lists_with_subsets_and_whole_services_keep_within_both_ones_cold_budgets() {
    let mut fleet = Fleet::new(subsets(1.3, 20), 1);
    fleet.run(6 * SECOND);
    fleet.restart((0..150).chain(430..440), SECOND);
    fleet.run(10 * SECOND);
    check_servers(&fleet, 0..430, 0.4);
    check_servers(&fleet, 430..450, 0.1);
}

/// Proxies joined and left, or each server has twice or half as many senders: half of the fleet learns of it four
/// seconds after the others, and until then the two halves count the senders of a cold server differently.
#[test]
fn while_proxies_disagree_on_a_cold_servers_senders_it_gets_work_within_its_budget() {
    let views = |near, far, proxies| Views { near, far, proxies, whole: 20 };
    let changes = [
        (views(5, 2, 0..270), views(5, 2, 30..300)),
        (views(5, 2, 0..150), views(10, 4, 0..300)),
        (views(10, 4, 0..300), views(5, 2, 0..150)),
    ];
    for (before, after) in changes {
        let mut fleet = Fleet::new(Plan { views: Some(before), ..subsets(1.0, 20) }, 1);
        fleet.run(6 * SECOND);
        fleet.restart((0..150).chain(430..440), SECOND);
        fleet.run(2 * SECOND);
        fleet.change_views(after, 2, 4 * SECOND);
        fleet.run(8 * SECOND);
        check_servers(&fleet, 0..430, 0.3);
        check_servers(&fleet, 430..450, 0.1);
    }
}
