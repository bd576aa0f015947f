//! Line plots as SVG files.

use std::path::Path;

use plotters::prelude::*;

/// A named line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// The points, as x and y.
    pub points: Vec<(f64, f64)>,
}

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the plot could not be drawn: {0}")]
pub struct PlotError(String);

/// The texts of a plot.
#[derive(Clone, Debug)]
pub struct Labels<'a> {
    /// The title.
    pub title: &'a str,
    /// The label of the x axis, with its unit.
    pub x: &'a str,
    /// The label of the y axis, with its unit.
    pub y: &'a str,
}

/// Draws lines into an SVG file. Both axes start at zero.
///
/// # Errors
///
/// [`PlotError`] if the plot cannot be drawn or the file cannot be written.
pub fn draw_lines(file: &Path, labels: &Labels<'_>, lines: &[Line]) -> Result<(), PlotError> {
    let area = SVGBackend::new(file, (860, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let x_max = points()
        .map(|point| point.0)
        .fold(f64::MIN_POSITIVE, f64::max);
    let y_max = points()
        .map(|point| point.1)
        .fold(f64::MIN_POSITIVE, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(labels.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max * 1.02, 0.0..y_max * 1.05)
        .map_err(plot_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc(labels.x)
        .y_desc(labels.y)
        .draw()
        .map_err(plot_error)?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let series =
            LineSeries::new(line.points.iter().copied(), color.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(series).map_err(plot_error)?;
        drawn
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let mut legend = chart.configure_series_labels();
    legend
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> PlotError {
    PlotError(error.to_string())
}
