//! Straight lines through measured points.

/// A figure as a straight line over the size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostSlope {
    /// Value at size nought.
    pub base: f64,
    /// Growth for each unit of size.
    pub rise: f64,
}

impl CostSlope {
    /// The line of least squares through points of size and value.
    ///
    /// With fewer than two sizes the line is level.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let shared = |point: &(f64, f64)| (point.0 - mean_size) * (point.1 - mean_value);
        let spread = |point: &(f64, f64)| (point.0 - mean_size).powi(2);
        let spread = points.iter().map(spread).sum::<f64>();
        let rise = if spread > 0.0 {
            points.iter().map(shared).sum::<f64>() / spread
        } else {
            0.0
        };
        Self {
            base: mean_value - rise * mean_size,
            rise,
        }
    }

    /// Value at `size`, never below nought.
    pub fn at(self, size: f64) -> f64 {
        (self.base + self.rise * size).max(0.0)
    }
}
