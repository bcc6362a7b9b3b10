//! The picture of a series: a panel for each of its slopes, with the median and spread at each size and the line.

use crate::fit::Fit;
use crate::slopes::Slope;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;

/// Width of a panel, in pixels.
const PANEL_WIDTH: u32 = 480;
/// Height of the picture, in pixels.
const HEIGHT: u32 = 340;
/// How far the axes reach beyond the largest size and value.
const ROOM: f64 = 1.08;

/// Draws the slopes of one series side by side and gives the SVG's text.
///
/// # Errors
/// Where the picture can't be drawn.
pub fn draw(slopes: &[&Slope]) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let size = (PANEL_WIDTH * slopes.len() as u32, HEIGHT);
        let root = SVGBackend::with_string(&mut text, size).into_drawing_area();
        root.fill(&WHITE)?;
        for (area, slope) in root.split_evenly((1, slopes.len())).iter().zip(slopes) {
            draw_panel(area, slope)?;
        }
        root.present()?;
    }
    Ok(text)
}

fn draw_panel(area: &DrawingArea<SVGBackend<'_>, Shift>, slope: &Slope) -> Result<(), Box<dyn Error>> {
    let (fit, shared) = (&slope.fit, slope.shared());
    let right = fit.largest_size() * ROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{} ({})", slope.id, shared.version.name()), ("sans-serif", 15))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, lowest(fit)..highest(fit))?;
    chart.configure_mesh().x_labels(6).x_desc(&shared.size_name).y_desc(&shared.unit).draw()?;
    chart.draw_series(LineSeries::new([(0.0, fit.at(0.0)), (right, fit.at(right))], &BLUE))?;
    let spread = |p: &crate::fit::Point| {
        PathElement::new(vec![(p.size, p.least), (p.size, p.greatest)], BLACK.stroke_width(1))
    };
    chart.draw_series(fit.points.iter().map(spread))?;
    chart.draw_series(fit.points.iter().map(|p| Circle::new((p.size, p.median), 3, RED.filled())))?;
    Ok(())
}

fn lowest(fit: &Fit) -> f64 {
    fit.points.iter().map(|p| p.least).fold(fit.at(0.0).min(0.0), f64::min)
}

fn highest(fit: &Fit) -> f64 {
    let right = fit.at(fit.largest_size()).max(fit.at(0.0));
    fit.points.iter().map(|p| p.greatest).fold(right, f64::max).max(f64::MIN_POSITIVE) * ROOM
}
