//! Linear regression by least squares through measured points.

use serde::Serialize;

/// A fitted line and the greatest distance of a point from it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// The y value at x = 0.
    pub intercept: f64,
    /// The growth of y for each unit of x.
    pub slope: f64,
    /// The greatest vertical distance of a point from the line.
    pub spread: f64,
}

/// Fits a line by least squares. The slope is 0 if all points have the same x value.
pub fn line(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance_sum: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance_sum: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = if variance_sum > 0.0 {
        covariance_sum / variance_sum
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let distances = points.iter().map(|p| (p.1 - intercept - slope * p.0).abs());
    Fit {
        intercept,
        slope,
        spread: distances.fold(0.0, f64::max),
    }
}
