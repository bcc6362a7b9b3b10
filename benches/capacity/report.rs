//! The tables of `docs/CAPACITY.md` and the pictures, made from the samples alone: the same samples give the same
//! bytes on every machine.

use crate::fit::Point;
use crate::plot;
use crate::projections::{Projected, ProjectionError, SizeFile};
use crate::record::{RecordError, Sample, read_folder};
use crate::slopes::{Slope, SlopeError, slopes};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The significant digits of a figure on the page.
const DIGITS: i32 = 4;

/// Why the page or a picture can't be made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// The samples can't be read.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The samples make no slopes.
    #[error(transparent)]
    Slope(#[from] SlopeError),
    /// The slopes can't be projected.
    #[error(transparent)]
    Projection(#[from] ProjectionError),
    /// The page lacks a marker.
    #[error("the page has no line `{0}`; put it back where the table belongs")]
    Marker(String),
    /// A picture can't be drawn.
    #[error("cannot draw the picture of `{series}`: {why}")]
    Plot {
        /// The series.
        series: String,
        /// Why.
        why: String,
    },
    /// A file can't be read or written.
    #[error("cannot read or write {}: {source}; see that it exists and can be written", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
}

/// All that is made from the samples of a folder.
#[derive(Debug)]
pub struct Report {
    /// What stands between the page's markers of the slopes.
    pub slopes: String,
    /// What stands between the page's markers of the projections.
    pub projections: String,
    /// The pictures.
    pub pictures: Vec<Picture>,
}

/// The picture of a series.
#[derive(Debug)]
pub struct Picture {
    /// Its file's name.
    pub name: String,
    /// Its text.
    pub svg: String,
}

impl Report {
    /// Makes it from the samples and the operators' size in this folder.
    ///
    /// # Errors
    /// Where these can't be read, make no slopes or can't be projected or drawn.
    pub fn of(folder: &Path) -> Result<Self, ReportError> {
        let slopes = slopes(&read_folder(folder)?)?;
        let size = SizeFile::read(folder)?;
        let projected = size.project(&slopes)?;
        let by_series = by_series(&slopes);
        let pictures = by_series.iter().map(|(series, slopes)| picture(series, slopes));
        Ok(Self {
            slopes: format!("{}\n{}", slopes_table(&slopes), runs_table(&by_series)),
            projections: projections_table(&projected),
            pictures: pictures.collect::<Result<_, _>>()?,
        })
    }

    /// The page with these tables in the place of its own.
    ///
    /// # Errors
    /// Where the page lacks a marker.
    pub fn fill(&self, page: &str) -> Result<String, ReportError> {
        let page = replace(page, "slopes", &self.slopes)?;
        replace(&page, "projections", &self.projections)
    }
}

/// Writes the tables into the page and the pictures into the folder.
///
/// # Errors
/// As [`Report::of`], and where a file can't be read or written.
pub fn write(folder: &Path, page: &Path) -> Result<(), ReportError> {
    let report = Report::of(folder)?;
    let text = fs::read_to_string(page).map_err(file_error(page))?;
    let filled = report.fill(&text)?;
    for picture in &report.pictures {
        let path = folder.join(&picture.name);
        fs::write(&path, &picture.svg).map_err(file_error(&path))?;
    }
    fs::write(page, filled).map_err(file_error(page))
}

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> ReportError {
    let path = path.to_path_buf();
    |source| ReportError::File { path, source }
}

fn replace(page: &str, block: &str, text: &str) -> Result<String, ReportError> {
    let (begin, end) = (format!("<!-- {block}: begin -->"), format!("<!-- {block}: end -->"));
    let missing = |marker: &String| ReportError::Marker(marker.clone());
    let (before, rest) = page.split_once(&begin).ok_or_else(|| missing(&begin))?;
    let (_, after) = rest.split_once(&end).ok_or_else(|| missing(&end))?;
    Ok(format!("{before}{begin}\n{text}{end}{after}"))
}

fn by_series(slopes: &[Slope]) -> BTreeMap<&str, Vec<&Slope>> {
    let mut by_series: BTreeMap<&str, Vec<&Slope>> = BTreeMap::new();
    for slope in slopes {
        by_series.entry(&slope.shared().series).or_default().push(slope);
    }
    by_series
}

fn picture(series: &str, slopes: &[&Slope]) -> Result<Picture, ReportError> {
    let wrong =
        |e: Box<dyn std::error::Error>| ReportError::Plot { series: series.into(), why: e.to_string() };
    Ok(Picture { name: format!("{series}.svg"), svg: plot::draw(slopes).map_err(wrong)? })
}

fn slopes_table(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "| slope | lists | size: median (least to greatest) | line | residual | largest | bend |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let (shared, fit) = (slope.shared(), &slope.fit);
        let medians: Vec<_> = fit.points.iter().map(median).collect();
        let line = format!("{} + {} × {}", figure(fit.intercept), figure(fit.slope), shared.size_name);
        let bend = fit.bend.map_or("flat".to_owned(), |bend| format!("{bend:.2}"));
        let (id, lists, unit, medians) = (&slope.id, shared.version.name(), &shared.unit, medians.join("; "));
        let (residual, largest) = (percent(fit.residual), percent(fit.largest_residual));
        let _ = writeln!(
            table,
            "| `{id}` | {lists} | {medians} {unit} | {line} {unit} | {residual} | {largest} | {bend} |"
        );
    }
    table
}

fn median(point: &Point) -> String {
    let spread = format!("{} to {}", figure(point.least), figure(point.greatest));
    format!("{}: {} ({spread})", count(point.size), figure(point.median))
}

/// What each series was measured with.
fn runs_table(by_series: &BTreeMap<&str, Vec<&Slope>>) -> String {
    let mut table = String::from(
        "| series | program | cores | memory | load while measured | repeats | seed | data | picture |\n\
         |---|---|---|---|---|---|---|---|---|\n",
    );
    for (series, slopes) in by_series {
        let Sample { snapshot, machine, seed, .. } = slopes[0].shared();
        let loads = slopes.iter().flat_map(|slope| &slope.samples).map(|sample| sample.machine.load1);
        let (least, most) = loads.fold((f64::INFINITY, 0.0_f64), |(l, m), load| (l.min(load), m.max(load)));
        let repeats = slopes.iter().flat_map(|slope| &slope.fit.points).map(|p| p.repeats).min();
        let _ = writeln!(
            table,
            "| `{series}` | `{snapshot}` | {} | {} GB | {least:.1} to {most:.1} | {} | {seed} | \
             [samples](capacity/{series}.jsonl) | [picture](capacity/{series}.svg) |",
            machine.cores,
            machine.memory_gb,
            repeats.unwrap_or_default(),
        );
    }
    table
}

fn projections_table(projected: &[Projected<'_>]) -> String {
    let mut table = String::from(
        "| role | slope | lists | at | arithmetic | budget | result | carried by |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for row in projected {
        let (projection, fit, shared) = (row.projection, &row.slope.fit, row.slope.shared());
        let size = count(projection.at);
        let at = match row.extrapolated {
            Some(factor) => format!("{size} {}, extrapolated {factor:.1}-fold", shared.size_name),
            None => format!("{size} {}", shared.size_name),
        };
        let (intercept, slope) = (figure(fit.intercept), figure(fit.slope));
        let value = figure(row.value);
        let result = row.over_by().map_or("within".to_owned(), |factor| {
            let factor = figure(factor);
            format!("over by a factor of {factor}")
        });
        let _ = writeln!(
            table,
            "| {} | `{}` | {} | {at} | {intercept} + {slope} × {size} = {value} {unit} | {} {unit} | {result} \
             | {} |",
            projection.role,
            projection.slope,
            shared.version.name(),
            figure(projection.budget),
            projection.carried_by,
            unit = projection.unit,
        );
    }
    table
}

fn percent(part: f64) -> String {
    format!("{:.1}%", part * 100.0)
}

/// A measured figure with its significant digits.
fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals = (DIGITS - 1 - magnitude).max(0) as usize;
    separated(&format!("{value:.decimals$}"))
}

/// A size: whole where it is whole, with no more decimals than it takes otherwise.
fn count(size: f64) -> String {
    separated(&format!("{size}"))
}

/// A comma after each third digit of the whole part.
fn separated(number: &str) -> String {
    let (whole, fraction) = number.split_once('.').map_or((number, None), |(w, f)| (w, Some(f)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut grouped = String::from(sign);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    fraction.map_or(grouped.clone(), |fraction| format!("{grouped}.{fraction}"))
}
