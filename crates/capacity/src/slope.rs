//! Linear regression.

/// A figure as a linear function of the size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// Value at size 0.
    pub intercept: f64,
    /// Growth per unit of size.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to pairs of size and value by least squares.
    ///
    /// With fewer than two distinct sizes the line is horizontal.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let covariance = |point: &(f64, f64)| (point.0 - mean_size) * (point.1 - mean_value);
        let variance = |point: &(f64, f64)| (point.0 - mean_size).powi(2);
        let variance = points.iter().map(variance).sum::<f64>();
        let slope = if variance > 0.0 {
            points.iter().map(covariance).sum::<f64>() / variance
        } else {
            0.0
        };
        Self {
            intercept: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Returns the value at `size`, at least 0.
    pub fn value_at(self, size: f64) -> f64 {
        (self.intercept + self.slope * size).max(0.0)
    }
}
