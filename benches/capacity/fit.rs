//! A straight line through what was measured: least squares over the medians at each size, with how far the medians
//! lie from it. It knows nothing of the program.

use thiserror::Error;

/// A line through fewer sizes would say too little about its own error.
pub const LEAST_SIZES: usize = 4;
/// A line that rises or falls by less than this part of the mean over all sizes is flat: it has no bend to speak of.
pub const FLAT: f64 = 0.05;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measured {
    /// The size that was set.
    pub size: f64,
    /// What came of it.
    pub value: f64,
}

/// What was measured at one size, over all repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The median.
    pub median: f64,
    /// The least.
    pub least: f64,
    /// The greatest.
    pub greatest: f64,
    /// How many values there are.
    pub repeats: usize,
}

/// A line through the medians.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// What was measured, by size.
    pub points: Vec<Point>,
    /// What one more of the size costs.
    pub slope: f64,
    /// What size 0 costs.
    pub intercept: f64,
    /// Root mean square of the medians' distances from the line, as a part of the medians' mean.
    pub residual: f64,
    /// The largest distance of a median from the line, as a part of what the line gives there.
    pub largest_residual: f64,
    /// The slope between the last two sizes as a multiple of the line's; `None` where the line is flat.
    pub bend: Option<f64>,
}

impl Fit {
    /// What the line gives at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// The largest size that was measured.
    pub fn largest_size(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.size)
    }
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum FitError {
    /// Too few sizes.
    #[error("{0} sizes were measured and a line needs {LEAST_SIZES}; measure at more sizes")]
    TooFewSizes(usize),
    /// A size or a value that is no number.
    #[error("a size or value is no finite number; measure the series again")]
    NotFinite,
}

/// Fits a line.
///
/// # Errors
/// With fewer than [`LEAST_SIZES`] sizes, or a value that is no finite number.
pub fn fit(measured: &[Measured]) -> Result<Fit, FitError> {
    if !measured.iter().all(|m| m.size.is_finite() && m.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let points = points(measured);
    if points.len() < LEAST_SIZES {
        return Err(FitError::TooFewSizes(points.len()));
    }
    let (slope, intercept) = least_squares(&points);
    let mean_value = mean(points.iter().map(|p| p.median));
    let distance = |p: &Point| p.median - (intercept + slope * p.size);
    let residual = mean(points.iter().map(|p| distance(p).powi(2))).sqrt() / mean_value.abs();
    let relative = points.iter().map(|p| (distance(p) / (intercept + slope * p.size)).abs());
    let largest_residual = relative.fold(0.0, f64::max);
    let bend = bend(&points, slope, mean_value);
    Ok(Fit { points, slope, intercept, residual, largest_residual, bend })
}

/// The median and spread at each size, by size.
fn points(measured: &[Measured]) -> Vec<Point> {
    let mut sorted = measured.to_vec();
    sorted.sort_by(|a, b| a.size.total_cmp(&b.size).then(a.value.total_cmp(&b.value)));
    let same_size = sorted.chunk_by(|a, b| a.size == b.size);
    same_size.map(point).collect()
}

/// The values of one size, in ascending order, as a point.
fn point(values: &[Measured]) -> Point {
    let middle = values.len() / 2;
    let median = if values.len() % 2 == 1 {
        values[middle].value
    } else {
        (values[middle - 1].value + values[middle].value) / 2.0
    };
    let (first, last) = (values[0], values[values.len() - 1]);
    Point { size: first.size, median, least: first.value, greatest: last.value, repeats: values.len() }
}

/// Slope and intercept.
fn least_squares(points: &[Point]) -> (f64, f64) {
    let mean_size = mean(points.iter().map(|p| p.size));
    let mean_value = mean(points.iter().map(|p| p.median));
    let together: f64 = points.iter().map(|p| (p.size - mean_size) * (p.median - mean_value)).sum();
    let alone: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
    let slope = together / alone;
    (slope, mean_value - slope * mean_size)
}

fn bend(points: &[Point], slope: f64, mean_value: f64) -> Option<f64> {
    let [first, .., before, last] = points else { return None };
    let rise = slope * (last.size - first.size);
    let local = (last.median - before.median) / (last.size - before.size);
    (rise.abs() >= FLAT * mean_value.abs()).then(|| local / slope)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}
