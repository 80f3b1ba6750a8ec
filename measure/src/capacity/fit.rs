//! Least-squares fits of straight lines.

use serde::{Deserialize, Serialize};

/// A straight line fitted to points by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The value at size zero.
    pub base: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// The largest vertical distance of a point from the line, divided by the largest
    /// absolute value.
    pub residual: f64,
}

impl Fit {
    /// Fits a line to points of (size, value).
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let base = mean_y - slope * mean_x;
        let max_value = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distance = |(x, y): &(f64, f64)| (y - base - slope * x).abs();
        let max_distance = points.iter().map(distance).fold(0.0, f64::max);
        let residual = if max_value > 0.0 {
            max_distance / max_value
        } else {
            0.0
        };
        Self {
            base,
            slope,
            residual,
        }
    }

    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
