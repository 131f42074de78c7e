//! Least squares through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The cost at this size.
    pub cost: f64,
}

/// A straight line through points.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Line {
    /// The cost at size 0.
    pub base: f64,
    /// The cost of one more.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Share of the variation that the line explains.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line; needs three points or more of unlike sizes.
    pub fn fit(points: &[Point]) -> Self {
        let n = points.len() as f64;
        let mean = |pick: fn(&Point) -> f64| points.iter().map(pick).sum::<f64>() / n;
        let (size, cost) = (mean(|p| p.size), mean(|p| p.cost));
        let spread: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
        let shared: f64 = points
            .iter()
            .map(|p| (p.size - size) * (p.cost - cost))
            .sum();
        let slope = shared / spread;
        let base = cost - slope * size;
        let left: f64 = points
            .iter()
            .map(|p| (p.cost - base - slope * p.size).powi(2))
            .sum();
        let all: f64 = points.iter().map(|p| (p.cost - cost).powi(2)).sum();
        Self {
            base,
            slope,
            slope_error: (left / (n - 2.0) / spread).sqrt(),
            r_squared: if all > 0.0 { 1.0 - left / all } else { 1.0 },
        }
    }

    /// Returns the cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
