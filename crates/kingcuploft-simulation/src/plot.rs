//! Plots a search as SVG: how near it came to the bound of each rule, by the number of days run.

use std::path::Path;

use plotters::prelude::*;

use crate::rules::Rule;
use crate::search::SearchResult;

/// The greatest usage that the plot shows; greater ones are drawn at this value.
const MAX_PLOTTED_USAGE: f64 = 2.0;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot can't be drawn: {0}")]
pub struct PlotError(String);

/// Draws the progress of a search into a file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw(result: &SearchResult, file: &Path) -> Result<(), PlotError> {
    let plot_error = |error: &dyn std::fmt::Display| PlotError(error.to_string());
    let area = SVGBackend::new(file, (960, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| plot_error(&e))?;
    let days = result.days.max(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .caption(
            "the nearest distance of each rule; broken above 1",
            ("sans-serif", 14),
        )
        .build_cartesian_2d(0.0..days, 0.0..MAX_PLOTTED_USAGE)
        .map_err(|e| plot_error(&e))?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("days played").y_desc("used of what is allowed");
    mesh.draw().map_err(|e| plot_error(&e))?;
    for (at, rule) in Rule::ALL.into_iter().enumerate() {
        let color = Palette99::pick(at).stroke_width(2);
        let line = LineSeries::new(steps(result, rule), color);
        let series = chart.draw_series(line).map_err(|e| plot_error(&e))?;
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color);
        series.label(format!("{rule:?}")).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels
        .border_style(BLACK)
        .draw()
        .map_err(|e| plot_error(&e))?;
    area.present().map_err(|e| plot_error(&e))
}

fn steps(result: &SearchResult, rule: Rule) -> Vec<(f64, f64)> {
    let mut steps = vec![(0.0, 0.0)];
    let mut last = 0.0;
    let of_rule = result.course.iter().filter(|(_, other, _)| *other == rule);
    for (days, _, used) in of_rule {
        let (days, used) = (*days as f64, used.min(MAX_PLOTTED_USAGE));
        steps.extend([(days, last), (days, used)]);
        last = used;
    }
    steps.push((result.days as f64, last));
    steps
}
