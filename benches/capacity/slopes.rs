//! Samples grouped into slopes: the values of one metric of one series, and the line through them.

use crate::fit::{Fit, FitError, Measured, fit};
use crate::record::Sample;
use std::collections::BTreeMap;
use thiserror::Error;

/// One metric of one series.
#[derive(Clone, Debug)]
pub struct Slope {
    /// `series/metric`.
    pub id: String,
    /// Its samples, in the order of their file; never empty.
    pub samples: Vec<Sample>,
    /// The line through them.
    pub fit: Fit,
}

impl Slope {
    /// The sample that stands for what all of them share: names, unit and version.
    pub fn shared(&self) -> &Sample {
        &self.samples[0]
    }
}

/// Why samples make no slope.
#[derive(Debug, Error, PartialEq)]
pub enum SlopeError {
    /// No line goes through them.
    #[error("`{id}`: {source}")]
    Fit {
        /// The slope.
        id: String,
        /// Why.
        source: FitError,
    },
    /// Samples of one slope differ in what they have to share.
    #[error("`{id}`: its samples differ in unit, size, version or snapshot; measure the series again, whole")]
    Mixed {
        /// The slope.
        id: String,
    },
}

/// The slopes of these samples, by id.
///
/// # Errors
/// Where the samples of a slope are of several kinds, or no line goes through them.
pub fn slopes(samples: &[Sample]) -> Result<Vec<Slope>, SlopeError> {
    let mut by_id: BTreeMap<String, Vec<Sample>> = BTreeMap::new();
    for sample in samples {
        by_id.entry(sample.slope()).or_default().push(sample.clone());
    }
    by_id.into_iter().map(|(id, samples)| slope(id, samples)).collect()
}

fn slope(id: String, samples: Vec<Sample>) -> Result<Slope, SlopeError> {
    let first = &samples[0];
    let alike = |s: &Sample| {
        s.unit == first.unit
            && s.size_name == first.size_name
            && s.version == first.version
            && s.snapshot == first.snapshot
    };
    if !samples.iter().all(alike) {
        return Err(SlopeError::Mixed { id });
    }
    let measured: Vec<_> = samples.iter().map(|s| Measured { size: s.size as f64, value: s.value }).collect();
    match fit(&measured) {
        Ok(fit) => Ok(Slope { id, samples, fit }),
        Err(source) => Err(SlopeError::Fit { id, source }),
    }
}
