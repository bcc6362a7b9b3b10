//! The report of a run: shares per second and per class, a latency histogram (`hdrhistogram`), a plot
//! (`plotters`, SVG) and a JSON summary that tests read.

use super::checker::Check;
use super::error::RigError;
use super::load::{Outcome, Record};
use super::scenario::Played;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;
use std::path::Path;

/// The outcomes of one second, or of a whole class.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// 200 within the aim.
    pub served: u64,
    /// 200 after the aim.
    pub late: u64,
    /// 429 or 503.
    pub refused: u64,
    /// Other statuses.
    pub failed: u64,
    /// The proxy could not be reached.
    pub unreachable: u64,
    /// Taken and never answered: the connection broke.
    pub lost: u64,
    /// No answer by the deadline.
    pub timed_out: u64,
}

impl Tally {
    fn add(&mut self, outcome: Outcome) {
        self.sent += 1;
        *match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Late => &mut self.late,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Lost => &mut self.lost,
            Outcome::TimedOut => &mut self.timed_out,
        } += 1;
    }

    /// The share answered with a backend's 200, on time or late; 1 when nothing was sent.
    pub fn answered(&self) -> f64 {
        if self.sent == 0 { 1.0 } else { (self.served + self.late) as f64 / self.sent as f64 }
    }
}

/// Latency of answered requests in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// The most.
    pub max_ms: f64,
}

impl Percentiles {
    /// An empty histogram of latencies in microseconds: three significant figures from 1 µs to an hour.
    pub fn histogram() -> Histogram<u64> {
        Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("fixed valid bounds")
    }

    /// The percentiles of a histogram of latencies in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
        Self { p50_ms: ms(0.5), p99_ms: ms(0.99), p999_ms: ms(0.999), max_ms: histogram.max() as f64 / 1e3 }
    }
}

/// A fault as it happened.
#[derive(Clone, Debug, Serialize)]
pub struct Happened {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// What and to whom, as the scenario says.
    pub what: String,
}

/// What still reached the backends of a fault that should make the proxies shun them (`black_hole`, `refuse`,
/// `fail`, `hang`, `drain`), up to the fault that ends it (`heal`, `recover`, `undrain`) or the end of the run.
#[derive(Clone, Debug, Serialize)]
pub struct Shunned {
    /// The fault, as the timeline says it.
    pub fault: String,
    /// When it was done, in seconds from the start of the load.
    pub at_s: f64,
    /// Seconds from the fault to the last request that came (not a probe); `None` where requests came until the
    /// last second of the span.
    pub stopped_after_s: Option<f64>,
    /// Seconds from the fault to the last request that came, 0 when none came.
    pub last_arrival_s: f64,
    /// Requests that came in each second after it.
    pub arrivals_per_second: Vec<u64>,
}

/// What one proxy sent one backend through the relay of that pair (scenarios with `pair_relays`).
#[derive(Clone, Debug, Serialize)]
pub struct Pair {
    /// `proxy-N`.
    pub from: String,
    /// `backend-N`.
    pub to: String,
    /// Requests, without probes, that came to the relay in each second of the run, whether or not it passed them.
    pub arrivals_per_second: Vec<u64>,
}

/// The summary of a run, written as `summary.json`.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The scenario's name, its seed and every fault it was to play: `gatestage rig FILE --schedule summary.json`
    /// plays them again.
    #[serde(flatten)]
    pub played: Played,
    /// All requests.
    pub total: Tally,
    /// Unkeyed (`read`) and keyed (`submit`) requests.
    pub by_class: Vec<(String, Tally)>,
    /// Requests sent in each whole second of the run.
    pub per_second: Vec<Tally>,
    /// Latency of those answered with 200.
    pub latency: Percentiles,
    /// The ids of the requests that were taken and not answered.
    pub lost_ids: Vec<String>,
    /// The faults of the timeline.
    pub faults: Vec<Happened>,
    /// For each fault that the proxies should shun, what still reached its backends.
    pub shunned: Vec<Shunned>,
    /// What came to the relay of each pair of a proxy and a backend; left out where proxies share the relays.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pairs: Vec<Pair>,
    /// What the checker found in the run's history.
    pub checks: Vec<Check>,
}

/// Counts moments, in seconds from the first, by the whole second they lie in; those past the last are left out.
pub fn per_second(moments: impl IntoIterator<Item = f64>, seconds: usize) -> Vec<u64> {
    let mut counts = vec![0; seconds];
    for moment in moments {
        if let Some(count) = counts.get_mut(moment as usize) {
            *count += 1;
        }
    }
    counts
}

/// Sums up the records of a run.
pub fn summarise(
    played: Played,
    records: &[Record],
    faults: Vec<Happened>,
    shunned: Vec<Shunned>,
    pairs: Vec<Pair>,
) -> Summary {
    let mut total = Tally::default();
    let mut classes = [("read".to_owned(), Tally::default()), ("submit".to_owned(), Tally::default())];
    let mut per_second: Vec<Tally> = Vec::new();
    let mut histogram = Percentiles::histogram();
    for record in records {
        total.add(record.outcome);
        classes[usize::from(record.keyed)].1.add(record.outcome);
        let second = (record.sent_us / 1_000_000) as usize;
        if per_second.len() <= second {
            per_second.resize(second + 1, Tally::default());
        }
        per_second[second].add(record.outcome);
        if matches!(record.outcome, Outcome::Served | Outcome::Late) {
            histogram.saturating_record(record.latency_us.max(1));
        }
    }
    let latency = Percentiles::of(&histogram);
    let lost = records.iter().filter(|r| matches!(r.outcome, Outcome::Lost));
    Summary {
        played,
        total,
        by_class: classes.into(),
        per_second,
        latency,
        lost_ids: lost.map(|r| r.id.clone()).collect(),
        faults,
        shunned,
        pairs,
        checks: Vec::new(),
    }
}

/// Writes `summary.json` and `plot.svg` into `out`.
///
/// # Errors
/// When a file can't be written or the plot can't be drawn.
pub fn write(summary: &Summary, out: &Path) -> Result<(), RigError> {
    let json = serde_json::to_string_pretty(summary).map_err(RigError::form("the summary"))?;
    let path = out.join("summary.json");
    std::fs::write(&path, json).map_err(RigError::write(&path))?;
    let path = out.join("plot.svg");
    plot(summary, &path).map_err(|e| RigError::Plot { path: path.clone(), why: e.to_string() })
}

/// A line of the plot: its label, its colour, and what of a second it counts.
type Line = (&'static str, RGBColor, fn(&Tally) -> u64);

/// Shares per second: answered, refused, and not answered (failed, lost, timed out, unreachable); a dashed line
/// at each fault.
fn plot(summary: &Summary, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = summary.per_second.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: shares per second", summary.played.scenario), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.0..seconds, 0.0..1.0)?;
    chart.configure_mesh().x_desc("second of the run").y_desc("share of requests sent").draw()?;
    let share = |pick: fn(&Tally) -> u64| {
        let points = summary.per_second.iter().enumerate();
        points.map(move |(s, t)| {
            (s as f64 + 0.5, if t.sent == 0 { 0.0 } else { pick(t) as f64 / t.sent as f64 })
        })
    };
    let lines: [Line; 3] = [
        ("answered", GREEN, |t| t.served + t.late),
        ("refused", BLUE, |t| t.refused),
        ("not answered", RED, |t| t.failed + t.lost + t.timed_out + t.unreachable),
    ];
    for (label, colour, pick) in lines {
        chart
            .draw_series(LineSeries::new(share(pick), colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    for fault in &summary.faults {
        chart.draw_series(LineSeries::new([(fault.at_s, 0.0), (fault.at_s, 1.0)], BLACK.mix(0.4)))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
