//! A straight line through measured points.

use serde::Serialize;

/// A line and how far the points lie from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The value at zero.
    pub intercept: f64,
    /// The growth for each unit.
    pub slope: f64,
    /// The greatest distance of a point from the line.
    pub spread: f64,
}

/// Fits a line by least squares; one point, or points at one place, have no slope.
pub fn line(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let across: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let along: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if along > 0.0 { across / along } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let distances = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
    Fit {
        intercept,
        slope,
        spread: distances.fold(0.0, f64::max),
    }
}
