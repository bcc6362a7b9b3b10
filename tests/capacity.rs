//! The scale harness (`benches/capacity`): its lines, its tables, and that `docs/CAPACITY.md` says what the samples
//! in `docs/capacity` say.

#[path = "../benches/capacity/fit.rs"]
mod fit;
#[path = "../benches/capacity/plot.rs"]
mod plot;
#[path = "../benches/capacity/projections.rs"]
mod projections;
#[path = "../benches/capacity/record.rs"]
#[allow(dead_code, reason = "only the bench measures")]
mod record;
#[path = "../benches/capacity/report.rs"]
#[allow(dead_code, reason = "only the bench writes the page")]
mod report;
#[path = "../benches/capacity/slopes.rs"]
mod slopes;

use fit::{Fit, FitError, Measured, fit};
use projections::{ProjectionError, SIZE_FILE};
use record::{Machine, Sample, Version, read_folder, write_samples};
use report::{Report, ReportError};
use slopes::SlopeError;
use std::path::{Path, PathBuf};
use std::{env, fs};

const PAGE: &str = "# Page\n<!-- slopes: begin -->\nstale\n<!-- slopes: end -->\n\nBetween.\n\
                    <!-- projections: begin -->\n<!-- projections: end -->\nAfter.\n";
const SIZE: &str = "[size]\nproxies = 1\nbackends = 1\nservices = 1\nrequests_per_s = 1.0\nroutes = 1\n\
                    tenants = 1\nchanges_per_day = 1.0\nchange_within_s = 1.0\nproxy_core_percent = 1.0\n\
                    proxy_memory_mb = 1.0\nproxy_kilobytes_per_s = 1.0\nmachines = 1\n";

fn line(points: &[(f64, f64)]) -> Result<Fit, FitError> {
    let measured: Vec<_> = points.iter().map(|&(size, value)| Measured { size, value }).collect();
    fit(&measured)
}

fn near(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

#[test]
fn a_known_line_is_found() {
    let fit = line(&[(10.0, 7.0), (0.0, 5.0), (20.0, 9.0), (40.0, 13.0)]).expect("a line");
    assert!(near(fit.slope, 0.2) && near(fit.intercept, 5.0), "{fit:?}");
    assert!(near(fit.residual, 0.0) && near(fit.largest_residual, 0.0), "{fit:?}");
    assert!(near(fit.bend.expect("a line that rises"), 1.0), "{fit:?}");
    assert!(near(fit.at(100.0), 25.0));
    assert_eq!(fit.largest_size(), 40.0);
}

#[test]
fn the_line_goes_through_the_medians_and_the_spread_is_kept() {
    let points = [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (4.0, 900.0), (4.0, 4.0), (4.0, 3.5), (3.0, 3.0)];
    let fit = line(&points).expect("a line");
    assert!(near(fit.slope, 1.0) && near(fit.intercept, 0.0), "{fit:?}");
    let last = fit.points[3];
    assert_eq!((last.median, last.least, last.greatest, last.repeats), (4.0, 3.5, 900.0, 3));
    let even = line(&[(1.0, 1.0), (1.0, 3.0), (2.0, 2.0), (3.0, 2.0), (4.0, 2.0)]).expect("a line");
    assert_eq!(even.points[0].median, 2.0);
}

#[test]
fn residuals_are_relative_to_the_mean_and_to_the_line() {
    // By hand: the line is 4 + 0 × size, each median 1 off it, the mean 4.
    let fit = line(&[(1.0, 3.0), (2.0, 5.0), (3.0, 5.0), (4.0, 3.0)]).expect("a line");
    assert!(near(fit.slope, 0.0) && near(fit.intercept, 4.0), "{fit:?}");
    assert!(near(fit.residual, 0.25) && near(fit.largest_residual, 0.25), "{fit:?}");
    assert_eq!(fit.bend, None, "a flat line has no bend");
}

#[test]
fn too_few_sizes_make_no_line() {
    let three = [(1.0, 1.0), (2.0, 2.0), (3.0, 3.0), (3.0, 3.1), (2.0, 2.1)];
    assert_eq!(line(&three), Err(FitError::TooFewSizes(3)));
    assert_eq!(line(&[]), Err(FitError::TooFewSizes(0)));
    let garbled = [(1.0, 1.0), (2.0, f64::NAN), (3.0, 3.0), (4.0, 4.0)];
    assert_eq!(line(&garbled), Err(FitError::NotFinite));
}

#[test]
fn a_bend_is_told_in_its_direction() {
    let square: Vec<_> = (1..=6).map(|n| (f64::from(n), f64::from(n * n))).collect();
    let steeper = line(&square).expect("a line").bend.expect("a bend");
    // By hand: the line through n², n = 1 to 6, has slope 7; from 5 to 6 it rises by 11.
    assert!(near(steeper, 11.0 / 7.0), "{steeper}");
    let root: Vec<_> = (1..=6).map(|n| (f64::from(n), f64::from(n).sqrt())).collect();
    assert!(line(&root).expect("a line").bend.expect("a bend") < 0.8);
}

fn sample(size: u64, value: f64) -> Sample {
    Sample {
        series: "proxy-made-up".to_owned(),
        metric: "memory".to_owned(),
        unit: "MB".to_owned(),
        size_name: "backends".to_owned(),
        size,
        repeat: 1,
        value,
        seed: 7,
        snapshot: "0123456789ab".to_owned(),
        version: Version::WholeList,
        machine: Machine { cores: 8, memory_gb: 23.5, load1: 1.5 },
    }
}

fn straight() -> Vec<Sample> {
    [100, 1_000, 2_000, 4_000].map(|size| sample(size, 8.0 + 0.5 * size as f64)).into()
}

/// A folder of its own with these samples, and a projection of their slope.
fn folder(test: &str, samples: &[Sample], at: f64, budget: f64) -> PathBuf {
    let folder = env::temp_dir().join(format!("gatestage-capacity-{}-{test}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    write_samples(&folder.join("proxy-made-up.jsonl"), samples).expect("the samples are written");
    let projection = format!(
        "[[projection]]\nslope = \"proxy-made-up/memory\"\nrole = \"proxy\"\nat = {at:?}\nbudget = {budget:?}\n\
         unit = \"MB\"\ncarried_by = \"views\"\n"
    );
    fs::write(folder.join(SIZE_FILE), format!("{SIZE}{projection}")).expect("the size is written");
    folder
}

fn filled(folder: &Path, page: &str) -> String {
    Report::of(folder).and_then(|report| report.fill(page)).expect("the page is made")
}

#[test]
fn samples_are_read_as_they_were_written() {
    let folder = folder("round", &straight(), 4_000.0, 10.0);
    assert_eq!(read_folder(&folder).expect("samples"), straight());
    fs::copy(folder.join("proxy-made-up.jsonl"), folder.join("another.jsonl")).expect("a copy");
    let moved = read_folder(&folder).expect_err("samples of another series").to_string();
    assert!(moved.contains("proxy-made-up"), "{moved}");
}

#[test]
fn the_tables_say_the_line_and_the_projection() {
    let page = filled(&folder("tables", &straight(), 87_000.0, 435.08), PAGE);
    assert!(
        page.starts_with("# Page\n<!-- slopes: begin -->\n|") && page.ends_with("-->\nAfter.\n"),
        "{page}"
    );
    assert!(!page.contains("stale"), "{page}");
    assert!(page.contains("| 8.000 + 0.5000 × backends MB | 0.0% | 0.0% | 1.00 |"), "{page}");
    assert!(page.contains("4,000: 2,008 (2,008 to 2,008) MB"), "{page}");
    assert!(page.contains("| 87,000 backends, extrapolated 21.8-fold |"), "{page}");
    assert!(page.contains("| 8.000 + 0.5000 × 87,000 = 43,508 MB | 435.1 MB |"), "{page}");
    assert!(page.contains("| over by a factor of 100.0 | views |"), "{page}");
    assert!(page.contains("The operators' size: 1 proxies, 1 backends"), "{page}");
    let within = filled(&folder("within", &straight(), 3_000.0, 1_508.0), PAGE);
    assert!(within.contains("| 3,000 backends |") && within.contains("| within | views |"), "{within}");
}

#[test]
fn a_line_that_falls_is_written_as_a_difference() {
    let falling: Vec<_> = [100, 200, 300, 400].map(|size| sample(size, 900.0 - size as f64)).into();
    let page = filled(&folder("falling", &falling, 500.0, 500.0), PAGE);
    assert!(page.contains("| 900.0 - 1.000 × backends MB |"), "{page}");
    assert!(page.contains("| 900.0 - 1.000 × 500 = 400.0 MB |"), "{page}");
}

#[test]
fn a_changed_figure_is_found() {
    let folder = folder("changed", &straight(), 4_000.0, 10.0);
    let page = filled(&folder, PAGE);
    assert_eq!(filled(&folder, &page), page, "a page is made the same again");
    let touched = page.replacen("8.000 + 0.5000", "8.000 + 0.4999", 1);
    assert_ne!(touched, page);
    assert_eq!(filled(&folder, &touched), page, "a changed figure on the page gives way");
    let mut samples = straight();
    samples[2].value += 10.0;
    write_samples(&folder.join("proxy-made-up.jsonl"), &samples).expect("the samples are written");
    assert_ne!(filled(&folder, &page), page, "a changed sample changes the page");
}

#[test]
fn what_makes_no_page_is_refused() {
    let few = folder("few", &straight()[..3], 4_000.0, 10.0);
    let error = Report::of(&few).expect_err("three sizes");
    let wanted = FitError::TooFewSizes(3);
    assert!(
        matches!(&error, ReportError::Slope(SlopeError::Fit { source, .. }) if *source == wanted),
        "{error}"
    );
    let mut mixed = straight();
    mixed[1].unit = "KB".to_owned();
    let error = Report::of(&folder("mixed", &mixed, 4_000.0, 10.0)).expect_err("two units");
    assert!(matches!(error, ReportError::Slope(SlopeError::Mixed { .. })), "{error}");
    let unknown = folder("unknown", &straight(), 4_000.0, 10.0);
    let size = fs::read_to_string(unknown.join(SIZE_FILE)).expect("the size");
    fs::write(unknown.join(SIZE_FILE), size.replace("made-up/memory", "made-up/time")).expect("written");
    let error = Report::of(&unknown).expect_err("no such slope");
    assert!(matches!(error, ReportError::Projection(ProjectionError::Unmeasured { .. })), "{error}");
    fs::write(unknown.join(SIZE_FILE), size.replace("\"MB\"", "\"GB\"")).expect("written");
    let error = Report::of(&unknown).expect_err("another unit");
    assert!(matches!(error, ReportError::Projection(ProjectionError::Unit { .. })), "{error}");
    fs::write(unknown.join(SIZE_FILE), size).expect("written");
    let report = Report::of(&unknown).expect("a report");
    let error = report.fill("<!-- slopes: begin -->\n").expect_err("no end");
    assert!(matches!(error, ReportError::Marker(_)), "{error}");
}

#[test]
fn a_picture_shows_every_slope_of_its_series() {
    let mut samples = straight();
    let mut other = straight();
    other.iter_mut().for_each(|sample| sample.metric = "start".to_owned());
    samples.extend(other);
    let report = Report::of(&folder("picture", &samples, 4_000.0, 10.0)).expect("a report");
    assert_eq!(report.pictures.len(), 1);
    let picture = &report.pictures[0];
    assert_eq!(picture.name, "proxy-made-up.svg");
    assert!(picture.svg.contains("proxy-made-up/memory") && picture.svg.contains("proxy-made-up/start"));
    assert_eq!(picture.svg.matches("<circle").count(), 8, "a point for each size of each slope");
}

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("docs")
}

#[test]
fn the_page_and_the_pictures_are_those_of_the_samples() {
    let folder = docs().join("capacity");
    let report = Report::of(&folder).expect("the samples make a report");
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");
    let wanted = report.fill(&page).expect("the page has its markers");
    assert!(page == wanted, "run the bench's `report`: docs/CAPACITY.md should be\n{wanted}");
    for picture in &report.pictures {
        let drawn = fs::read_to_string(folder.join(&picture.name)).expect("a picture for each series");
        assert!(drawn == picture.svg, "run the bench's `report`: {} shows other samples", picture.name);
    }
}

#[test]
fn the_samples_hold_every_series_of_a_proxy_at_four_sizes_or_more() {
    let samples = read_folder(&docs().join("capacity")).expect("samples");
    let slopes = slopes::slopes(&samples).expect("slopes, each with four sizes at least");
    for series in ["proxy-backends", "proxy-tenants", "proxy-classes", "proxy-changes"] {
        let of_series: Vec<_> = slopes.iter().filter(|slope| slope.shared().series == series).collect();
        assert!(of_series.len() >= 3, "{series}: {} slopes", of_series.len());
        let repeats = of_series.iter().flat_map(|slope| &slope.fit.points).map(|point| point.repeats);
        assert!(repeats.min().expect("points") >= 3, "{series} has fewer than three repeats");
    }
}

#[test]
fn a_change_in_a_copy_of_what_is_kept_is_found() {
    let page = fs::read_to_string(docs().join("CAPACITY.md")).expect("the page");
    let copy = env::temp_dir().join(format!("gatestage-capacity-{}-kept", std::process::id()));
    fs::create_dir_all(&copy).expect("a folder");
    for entry in fs::read_dir(docs().join("capacity")).expect("the samples") {
        let path = entry.expect("a file").path();
        // The folder of the ways of subsetting holds no samples; `tests/capacity_subsets.rs` is for it.
        if path.is_file() {
            fs::copy(&path, copy.join(path.file_name().expect("a name"))).expect("a copy");
        }
    }
    assert_eq!(filled(&copy, &page), page, "the copy says what the page says");
    let bend = page.find("% | ").expect("a residual in the table");
    let mut touched = page.clone();
    let digit = if &page[bend - 1..bend] == "9" { "8" } else { "9" };
    touched.replace_range(bend - 1..bend, digit);
    assert_ne!(filled(&copy, &touched), touched, "a changed figure on the page");
    let mut samples = read_folder(&copy).expect("samples");
    let series = samples[0].series.clone();
    samples.retain(|sample| sample.series == series);
    samples.iter_mut().for_each(|sample| sample.value *= 1.01);
    write_samples(&copy.join(format!("{series}.jsonl")), &samples).expect("the samples are written");
    assert_ne!(filled(&copy, &page), page, "changed samples");
    fs::remove_dir_all(&copy).expect("the copy is removed");
}
