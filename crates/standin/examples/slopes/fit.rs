//! Fits a line to measured points by least squares.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    /// Size at which the cost was measured.
    pub size: f64,
    /// Measured cost.
    pub cost: f64,
}

/// A fitted straight line.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Line {
    /// Cost at size 0.
    pub base: f64,
    /// Additional cost per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Coefficient of determination: the share of the variance that the line
    /// explains.
    pub r_squared: f64,
}

impl Line {
    /// Fits a line to at least three points of different sizes.
    pub fn fit(points: &[Point]) -> Self {
        let n = points.len() as f64;
        let mean = |pick: fn(&Point) -> f64| points.iter().map(pick).sum::<f64>() / n;
        let (size, cost) = (mean(|p| p.size), mean(|p| p.cost));
        let size_squares: f64 = points.iter().map(|p| (p.size - size).powi(2)).sum();
        let products: f64 = points
            .iter()
            .map(|p| (p.size - size) * (p.cost - cost))
            .sum();
        let slope = products / size_squares;
        let base = cost - slope * size;
        let residual_squares: f64 = points
            .iter()
            .map(|p| (p.cost - base - slope * p.size).powi(2))
            .sum();
        let total_squares: f64 = points.iter().map(|p| (p.cost - cost).powi(2)).sum();
        Self {
            base,
            slope,
            slope_error: (residual_squares / (n - 2.0) / size_squares).sqrt(),
            r_squared: if total_squares > 0.0 {
                1.0 - residual_squares / total_squares
            } else {
                1.0
            },
        }
    }

    /// Returns the cost that the line predicts for a size.
    pub fn cost_at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
