//! What the slopes give at the operators' size, against the budget that they give for it (`size.toml`).

use crate::slopes::Slope;
use serde::Deserialize;
use std::fs;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The file of the operators' size, in the folder of the series.
pub const SIZE_FILE: &str = "size.toml";
/// A projection to more than this many times the largest size that was measured is called an extrapolation.
const FAR: f64 = 1.5;

/// The operators' size and what is to be known at it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeFile {
    /// The operators' size.
    pub size: Size,
    /// What is projected.
    #[serde(default, rename = "projection")]
    pub projections: Vec<Projection>,
}

/// The operators' size, as they give it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Proxies.
    pub proxies: u64,
    /// Backends of all services.
    pub backends: u64,
    /// Services.
    pub services: u64,
    /// Requests a second, over all proxies.
    pub requests_per_s: f64,
    /// Routes.
    pub routes: u64,
    /// Tenants.
    pub tenants: u64,
    /// Changes to the list in a day.
    pub changes_per_day: f64,
    /// How long until a change is in force everywhere.
    pub change_within_s: f64,
    /// What one proxy may use: part of a core, in percent.
    pub proxy_core_percent: f64,
    /// What one proxy may use: memory.
    pub proxy_memory_mb: f64,
    /// What one proxy may use: network, in kilobytes a second.
    pub proxy_kilobytes_per_s: f64,
    /// Machines for what serves the proxies.
    pub machines: u64,
}

/// One figure at the operators' size.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Projection {
    /// The slope, `series/metric`.
    pub slope: String,
    /// Whose figure it is, such as `proxy`.
    pub role: String,
    /// The size to project to.
    pub at: f64,
    /// The most that it may be.
    pub budget: f64,
    /// The unit of the budget, which is that of the slope.
    pub unit: String,
    /// The mechanism that keeps the figure within its budget, or that is missing.
    pub carried_by: String,
}

/// What the line gives at the size, against the budget.
#[derive(Clone, Debug)]
pub struct Projected<'a> {
    /// What was asked for.
    pub projection: &'a Projection,
    /// The slope.
    pub slope: &'a Slope,
    /// What the line gives.
    pub value: f64,
    /// How many times the largest size measured, where that is far.
    pub extrapolated: Option<f64>,
}

impl Projected<'_> {
    /// How many times the budget it is, where it is more.
    pub fn over_by(&self) -> Option<f64> {
        let factor = self.value / self.projection.budget;
        (factor > 1.0).then_some(factor)
    }
}

/// Why there are no projections.
#[derive(Debug, Error)]
pub enum ProjectionError {
    /// The file can't be read.
    #[error("cannot read {}: {source}; the operators' size has to stand there", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// It is not in its form.
    #[error("{}: {source}; correct that line", path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// Why.
        source: Box<toml::de::Error>,
    },
    /// A projection names a slope that was not measured.
    #[error("a projection names slope `{slope}`, which was not measured; measure it or correct {SIZE_FILE}")]
    Unmeasured {
        /// The slope.
        slope: String,
    },
    /// The budget is in another unit than the slope.
    #[error("the budget of `{slope}` is in {given} and its samples in {measured}; correct {SIZE_FILE}")]
    Unit {
        /// The slope.
        slope: String,
        /// The budget's unit.
        given: String,
        /// The samples' unit.
        measured: String,
    },
}

impl SizeFile {
    /// Reads the file in this folder.
    ///
    /// # Errors
    /// Where it can't be read or is not in its form.
    pub fn read(folder: &Path) -> Result<Self, ProjectionError> {
        let path = folder.join(SIZE_FILE);
        let text = fs::read_to_string(&path)
            .map_err(|source| ProjectionError::Read { path: path.clone(), source })?;
        toml::from_str(&text).map_err(|source| ProjectionError::Form { path, source: Box::new(source) })
    }

    /// The projections, in the file's order.
    ///
    /// # Errors
    /// Where one names a slope that is not among these, or another unit.
    pub fn project<'a>(&'a self, slopes: &'a [Slope]) -> Result<Vec<Projected<'a>>, ProjectionError> {
        self.projections.iter().map(|projection| project(projection, slopes)).collect()
    }
}

fn project<'a>(projection: &'a Projection, slopes: &'a [Slope]) -> Result<Projected<'a>, ProjectionError> {
    let slope = slopes.iter().find(|slope| slope.id == projection.slope);
    let slope = slope.ok_or_else(|| ProjectionError::Unmeasured { slope: projection.slope.clone() })?;
    let measured = &slope.shared().unit;
    if *measured != projection.unit {
        let (slope, given) = (projection.slope.clone(), projection.unit.clone());
        return Err(ProjectionError::Unit { slope, given, measured: measured.clone() });
    }
    let beyond = projection.at / slope.fit.largest_size();
    let extrapolated = (beyond > FAR).then_some(beyond);
    Ok(Projected { projection, slope, value: slope.fit.at(projection.at), extrapolated })
}
