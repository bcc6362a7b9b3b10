//! Part `subsets`: ways of subsetting weighed on services of several sizes. Pure computation: the same seeds give the
//! same figures.

use crate::subsetting::{Member, Method, Proxy, Service, View};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::path::Path;
use std::{fs, io, thread};

/// Members of the service.
const MEMBERS: [usize; 3] = [500, 2_000, 8_700];
/// Members for each proxy.
const MEMBERS_PER_PROXY: usize = 13;
const SUBSET_SIZES: [usize; 4] = [ONLY_LOST_ZONE, 50, 100, 200];
/// A subset size that is weighed like the others, but shown only for what a zone's fall leaves.
const ONLY_LOST_ZONE: usize = 20;
const ZONES: u16 = 6;
const CELL: usize = 3;
/// One member in so many has twice the others' size.
const LARGE_EVERY: usize = 10;
const SEEDS: u64 = 5;
/// The spread of the logarithm of proxies' traffic, where it is skewed.
const SKEW: f64 = 1.0;
/// Where the results lie: they are no series, and so not beside those.
const FOLDER: &str = "subsetting";

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
enum Figure {
    /// Largest over mean load of a member, proxies sending evenly over their views.
    LoadEven,
    /// The same with loads in relation to `size`, proxies sending in proportion to it.
    LoadBySize,
    /// As `LoadEven`, the proxies' own traffic skewed.
    LoadSkewed,
    /// As `LoadBySize`, the proxies' own traffic skewed.
    LoadBySizeSkewed,
    /// The fewest proxies that hold a member.
    FewestSenders,
    /// The most proxies that hold a member.
    MostSenders,
    /// Entries of the smallest view.
    SmallestView,
    /// Entries of the largest view.
    LargestView,
    /// Entries that change over all proxies that stay, when one proxy joins.
    ProxyJoins,
    /// The most of them at one proxy.
    ProxyJoinsAtOne,
    /// The same when one proxy leaves.
    ProxyLeaves,
    /// The most of them at one proxy.
    ProxyLeavesAtOne,
    /// The same when one member joins.
    MemberJoins,
    /// The most of them at one proxy.
    MemberJoinsAtOne,
    /// The same when one member leaves.
    MemberLeaves,
    /// The most of them at one proxy.
    MemberLeavesAtOne,
    /// The same when a tenth more proxies join.
    TenthJoins,
    /// The most of them at one proxy.
    TenthJoinsAtOne,
    /// Largest over mean load on the members left when one zone's are gone, before any view is chosen anew.
    LostZoneLoad,
    /// Members left in the smallest view then.
    LostZoneSmallestView,
    /// Part of a view's members that have a second one of their cell in it.
    SameCell,
}

/// One record of the results: a figure of one method over the seeds.
#[derive(Debug, Serialize)]
struct Weighed {
    method: String,
    members: usize,
    proxies: usize,
    subset_size: usize,
    figure: Figure,
    median: f64,
    min: f64,
    max: f64,
    seeds: u64,
}

/// One cell of the plan.
#[derive(Clone, Copy, Debug)]
struct Case {
    members: usize,
    subset_size: usize,
    method: Method,
}

type Figures = BTreeMap<Figure, f64>;

/// A service of this size. Names differ from seed to seed, and with them all hashes.
fn service(members: usize, seed: u64) -> Service {
    let mut rng = fastrand::Rng::with_seed(seed);
    let batch = rng.u32(..);
    Service {
        members: (0..members).map(|number| member(batch, number)).collect(),
        proxies: (0..members / MEMBERS_PER_PROXY).map(|number| proxy(batch, number)).collect(),
    }
}

/// Cells lie within zones.
fn member(batch: u32, number: usize) -> Member {
    let cell = number / CELL;
    Member {
        id: format!("member-{batch:08x}-{number}"),
        zone: zone(cell),
        cell: cell as u32,
        size: if number % LARGE_EVERY == 0 { 2.0 } else { 1.0 },
    }
}

fn proxy(batch: u32, number: usize) -> Proxy {
    Proxy { name: format!("proxy-{batch:08x}-{number}"), zone: zone(number) }
}

fn zone(number: usize) -> u16 {
    (number % usize::from(ZONES)) as u16
}

/// Each proxy's traffic, lognormal.
fn skewed_traffic(proxies: usize, seed: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(seed);
    // Box and Muller's transform of two uniform numbers into a normal one.
    let mut normal = || (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos();
    (0..proxies).map(|_| (SKEW * normal()).exp()).collect()
}

/// Largest over mean load of the members that are usable; loads count in relation to `size`.
fn load(views: &[View], traffic: &[f64], sizes: &[f64], usable: impl Fn(usize) -> bool) -> f64 {
    let mut loads = vec![0.0; sizes.len()];
    for (view, traffic) in views.iter().zip(traffic) {
        let usable = || view.iter().filter(|entry| usable(entry.member));
        let parts: f64 = usable().map(|entry| entry.part * sizes[entry.member]).sum();
        usable().for_each(|entry| loads[entry.member] += traffic * entry.part / parts);
    }
    let left = || (0..sizes.len()).filter(|&member| usable(member));
    let mean = left().map(|member| loads[member] * sizes[member]).sum::<f64>()
        / left().map(|m| sizes[m]).sum::<f64>();
    left().map(|member| loads[member]).fold(0.0, f64::max) / mean
}

/// How many proxies hold each member.
fn senders(views: &[View], members: usize) -> Vec<usize> {
    let mut senders = vec![0; members];
    views.iter().flatten().for_each(|entry| senders[entry.member] += 1);
    senders
}

/// The part of a view's members that have a second one of their cell in it.
fn same_cell(view: &View, members: &[Member]) -> f64 {
    let mut cells: HashMap<u32, usize> = HashMap::new();
    view.iter().for_each(|entry| *cells.entry(members[entry.member].cell).or_default() += 1);
    let paired: usize = cells.values().filter(|&&count| count > 1).sum();
    paired as f64 / view.len() as f64
}

/// Entries that change from one service to the other: over all proxies that are in both, and the most at one.
fn changed(before: &Named<'_>, after: &Named<'_>) -> (f64, f64) {
    let (mut all, mut most) = (0, 0);
    for (proxy, old) in &before.views {
        let Some(new) = after.views.get(proxy) else { continue };
        let differ = old.symmetric_difference(new).count();
        (all, most) = (all + differ, most.max(differ));
    }
    (all as f64, most as f64)
}

/// Views by names, to compare those of different services.
struct Named<'a> {
    views: HashMap<&'a str, HashSet<&'a str>>,
}

impl<'a> Named<'a> {
    fn new(service: &'a Service, views: &[View]) -> Self {
        let names =
            |view: &View| view.iter().map(|entry| service.members[entry.member].id.as_str()).collect();
        let proxies = service.proxies.iter().map(|proxy| proxy.name.as_str());
        Self { views: proxies.zip(views.iter().map(names)).collect() }
    }
}

/// A service with something joined or gone, and the two figures that say what it changes.
struct Step {
    service: Service,
    all: Figure,
    at_one: Figure,
}

impl Step {
    fn new(service: &Service, all: Figure, at_one: Figure, change: impl FnOnce(&mut Service)) -> Self {
        let mut service = service.clone();
        change(&mut service);
        Self { service, all, at_one }
    }
}

/// What joins or goes, one thing at a time.
fn steps(service: &Service, rng: &mut fastrand::Rng) -> Vec<Step> {
    let batch = rng.u32(..);
    let (members, proxies) = (service.members.len(), service.proxies.len());
    let (leaver, gone) = (rng.usize(..proxies), rng.usize(..members));
    let more = proxies..proxies + proxies.div_ceil(10);
    vec![
        Step::new(service, Figure::ProxyJoins, Figure::ProxyJoinsAtOne, |s| {
            s.proxies.push(proxy(batch, proxies))
        }),
        Step::new(service, Figure::ProxyLeaves, Figure::ProxyLeavesAtOne, |s| _ = s.proxies.remove(leaver)),
        Step::new(service, Figure::MemberJoins, Figure::MemberJoinsAtOne, |s| {
            s.members.push(member(batch, members))
        }),
        Step::new(service, Figure::MemberLeaves, Figure::MemberLeavesAtOne, |s| _ = s.members.remove(gone)),
        Step::new(service, Figure::TenthJoins, Figure::TenthJoinsAtOne, |s| {
            s.proxies.extend(more.map(|number| proxy(batch, number)));
        }),
    ]
}

/// All figures of one case with one seed.
fn weigh(case: Case, seed: u64) -> Figures {
    let service = service(case.members, seed);
    let mut rng = fastrand::Rng::with_seed(!seed);
    let views = case.method.views(&service, case.subset_size);
    let mut figures = Figures::new();
    weigh_loads(&service, &views, seed, &mut figures);
    weigh_views(&service, &views, &mut figures);
    weigh_lost_zone(&service, &views, rng.u16(..ZONES), &mut figures);
    let before = Named::new(&service, &views);
    for step in steps(&service, &mut rng) {
        let views = case.method.views(&step.service, case.subset_size);
        let (all, most) = changed(&before, &Named::new(&step.service, &views));
        figures.extend([(step.all, all), (step.at_one, most)]);
    }
    figures
}

fn weigh_loads(service: &Service, views: &[View], seed: u64, figures: &mut Figures) {
    let same = vec![1.0; service.members.len()];
    let sizes: Vec<_> = service.members.iter().map(|member| member.size).collect();
    let even = vec![1.0; service.proxies.len()];
    let skewed = skewed_traffic(service.proxies.len(), seed);
    figures.extend([
        (Figure::LoadEven, load(views, &even, &same, |_| true)),
        (Figure::LoadBySize, load(views, &even, &sizes, |_| true)),
        (Figure::LoadSkewed, load(views, &skewed, &same, |_| true)),
        (Figure::LoadBySizeSkewed, load(views, &skewed, &sizes, |_| true)),
    ]);
}

fn weigh_views(service: &Service, views: &[View], figures: &mut Figures) {
    let senders = senders(views, service.members.len());
    let sizes = || views.iter().map(Vec::len);
    let paired: f64 = views.iter().map(|view| same_cell(view, &service.members)).sum();
    let least = |values: &mut dyn Iterator<Item = usize>| values.min().unwrap_or_default() as f64;
    let most = |values: &mut dyn Iterator<Item = usize>| values.max().unwrap_or_default() as f64;
    figures.extend([
        (Figure::FewestSenders, least(&mut senders.iter().copied())),
        (Figure::MostSenders, most(&mut senders.iter().copied())),
        (Figure::SmallestView, least(&mut sizes())),
        (Figure::LargestView, most(&mut sizes())),
        (Figure::SameCell, paired / views.len() as f64),
    ]);
}

fn weigh_lost_zone(service: &Service, views: &[View], lost: u16, figures: &mut Figures) {
    let usable = |member: usize| service.members[member].zone != lost;
    let left = views.iter().map(|view| view.iter().filter(|entry| usable(entry.member)).count());
    let smallest = left.min().unwrap_or_default();
    let (even, same) = (vec![1.0; service.proxies.len()], vec![1.0; service.members.len()]);
    figures.insert(Figure::LostZoneSmallestView, smallest as f64);
    // A proxy with nothing left sends nowhere: then the load on the others says nothing.
    if smallest > 0 {
        figures.insert(Figure::LostZoneLoad, load(views, &even, &same, usable));
    }
}

/// The figures of a case over all seeds.
fn over_seeds(case: Case) -> Vec<Weighed> {
    let seeds: Vec<u64> = (1..=SEEDS).collect();
    let runs: Vec<Figures> = thread::scope(|scope| {
        let runs: Vec<_> = seeds.iter().map(|&seed| scope.spawn(move || weigh(case, seed))).collect();
        runs.into_iter().map(|run| run.join().expect("a computation does not panic")).collect()
    });
    let mut values: BTreeMap<Figure, Vec<f64>> = BTreeMap::new();
    for (figure, value) in runs.into_iter().flatten() {
        values.entry(figure).or_default().push(value);
    }
    values.into_iter().map(|(figure, values)| weighed(case, figure, values)).collect()
}

fn weighed(case: Case, figure: Figure, mut values: Vec<f64>) -> Weighed {
    values.sort_by(f64::total_cmp);
    Weighed {
        method: case.method.to_string(),
        members: case.members,
        proxies: case.members / MEMBERS_PER_PROXY,
        subset_size: case.subset_size,
        figure,
        median: values[values.len() / 2],
        min: values[0],
        max: values[values.len() - 1],
        seeds: values.len() as u64,
    }
}

/// Weighs all methods, writes figures and tables into the folder `subsetting` below this one, and prints the tables.
///
/// # Errors
/// When the results can't be written.
pub fn run(folder: &Path) -> io::Result<()> {
    let results: Vec<_> = cases().flat_map(over_seeds).collect();
    let lines: Vec<String> = results.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
    let tables = tables(&results);
    let folder = folder.join(FOLDER);
    fs::create_dir_all(&folder)?;
    fs::write(folder.join("figures.jsonl"), lines.join("\n") + "\n")?;
    fs::write(folder.join("tables.md"), &tables)?;
    println!("{tables}");
    Ok(())
}

/// A column of the printed table.
struct Column {
    title: &'static str,
    figures: &'static [Figure],
    decimals: usize,
}

const COLUMNS: [Column; 10] = [
    Column { title: "load, even", figures: &[Figure::LoadEven, Figure::LoadBySize], decimals: 2 },
    Column { title: "load, skewed", figures: &[Figure::LoadSkewed, Figure::LoadBySizeSkewed], decimals: 2 },
    Column { title: "senders", figures: &[Figure::FewestSenders, Figure::MostSenders], decimals: 0 },
    Column { title: "view", figures: &[Figure::SmallestView, Figure::LargestView], decimals: 0 },
    Column { title: "proxy joins", figures: &[Figure::ProxyJoins, Figure::ProxyJoinsAtOne], decimals: 0 },
    Column { title: "proxy leaves", figures: &[Figure::ProxyLeaves, Figure::ProxyLeavesAtOne], decimals: 0 },
    Column { title: "member joins", figures: &[Figure::MemberJoins, Figure::MemberJoinsAtOne], decimals: 0 },
    Column {
        title: "member leaves",
        figures: &[Figure::MemberLeaves, Figure::MemberLeavesAtOne],
        decimals: 0,
    },
    Column { title: "tenth joins", figures: &[Figure::TenthJoins, Figure::TenthJoinsAtOne], decimals: 0 },
    Column { title: "same cell", figures: &[Figure::SameCell], decimals: 2 },
];

/// The medians by case.
struct Results<'a> {
    by_case: HashMap<(&'a str, usize, usize, Figure), &'a Weighed>,
}

impl<'a> Results<'a> {
    fn new(results: &'a [Weighed]) -> Self {
        let key = |r: &'a Weighed| (r.method.as_str(), r.members, r.subset_size, r.figure);
        Self { by_case: results.iter().map(|r| (key(r), r)).collect() }
    }

    fn get(&self, case: Case, figure: Figure) -> Option<&Weighed> {
        let method = case.method.to_string();
        self.by_case.get(&(method.as_str(), case.members, case.subset_size, figure)).copied()
    }
}

fn tables(results: &[Weighed]) -> String {
    let results = Results::new(results);
    let titles: Vec<_> = COLUMNS.iter().map(|column| column.title).collect();
    let mut rows = vec![
        format!(
            "Medians of {SEEDS} seeds. Loads: largest over mean, sent evenly over the view / in proportion to `size`;"
        ),
        "senders and view: smallest / largest; changes: entries over all proxies / the most at one proxy."
            .to_owned(),
        String::new(),
        format!("| members | subset | method | {} |", titles.join(" | ")),
        format!("|---|---|---|{}", "---|".repeat(COLUMNS.len())),
    ];
    rows.extend(cases().filter(|case| case.subset_size != ONLY_LOST_ZONE).map(|case| row(&results, case)));
    rows.extend([
        String::new(),
        "A zone's members are gone and views are as they were: members left in the smallest view (the least of the".to_owned(),
        "seeds), and largest over mean load on the members left (median; the most of the seeds).".to_owned(),
        String::new(),
        "| members | subset | method | smallest view | load |".to_owned(),
        "|---|---|---|---|---|".to_owned(),
    ]);
    rows.extend(cases().map(|case| lost_zone_row(&results, case)));
    rows.join("\n") + "\n"
}

fn row(results: &Results<'_>, case: Case) -> String {
    let cells = COLUMNS.iter().map(|column| {
        let values = column.figures.iter().filter_map(|&figure| results.get(case, figure));
        values.map(|r| format!("{:.*}", column.decimals, r.median)).collect::<Vec<_>>().join(" / ")
    });
    let Case { members, subset_size, method } = case;
    format!("| {members} | {subset_size} | {method} | {} |", cells.collect::<Vec<_>>().join(" | "))
}

fn lost_zone_row(results: &Results<'_>, case: Case) -> String {
    let left = results.get(case, Figure::LostZoneSmallestView).map_or(0.0, |r| r.min);
    let load = results.get(case, Figure::LostZoneLoad).filter(|_| left > 0.0);
    let load = load.map_or("a view is empty".to_owned(), |r| format!("{:.2}; {:.2}", r.median, r.max));
    let Case { members, subset_size, method } = case;
    format!("| {members} | {subset_size} | {method} | {left:.0} | {load} |")
}

/// All cases, in the order of the tables.
fn cases() -> impl Iterator<Item = Case> {
    let sizes =
        MEMBERS.into_iter().flat_map(|members| SUBSET_SIZES.map(|subset_size| (members, subset_size)));
    sizes.flat_map(|(members, subset_size)| Method::ALL.map(|method| Case { members, subset_size, method }))
}
