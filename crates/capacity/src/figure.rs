//! Counted figures and linear fits to them.

use crate::slope::LinearFit;

/// A figure counted at one size.
#[derive(Clone, Debug)]
pub struct CountedFigure {
    /// Role to which the figure belongs.
    pub role: &'static str,
    /// Name of the figure.
    pub what: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Counted value.
    pub value: f64,
}

impl CountedFigure {
    /// Creates a figure with a rounded value.
    pub fn new(role: &'static str, what: &'static str, unit: &'static str, value: f64) -> Self {
        Self {
            role,
            what,
            unit,
            value: rounded(value),
        }
    }
}

/// A figure at several sizes, of which the last is full scale.
#[derive(Clone, Debug)]
pub struct FigureRow {
    /// Role to which the figure belongs.
    pub role: &'static str,
    /// Name of the figure.
    pub what: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Pairs of size and count, full scale last.
    pub points: Vec<(usize, f64)>,
}

impl FigureRow {
    /// Fits a line to all sizes except full scale.
    pub fn linear_fit(&self) -> LinearFit {
        let small_count = self.points.len().saturating_sub(1);
        let points = self.points[..small_count].iter();
        let points: Vec<(f64, f64)> = points.map(|point| (point.0 as f64, point.1)).collect();
        LinearFit::fit(&points)
    }

    /// Returns the value that the fitted line predicts at full scale.
    pub fn predicted(&self) -> f64 {
        let full_scale = self.points.last().map_or(0, |point| point.0);
        rounded(self.linear_fit().value_at(full_scale as f64))
    }

    /// Returns the count at full scale.
    pub fn counted(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.1)
    }
}

/// Rounds a value as displayed: to an integer from 100 on, otherwise to one decimal.
pub fn rounded(value: f64) -> f64 {
    let rounded = if value.abs() >= 100.0 {
        value.round()
    } else {
        (value * 10.0).round() / 10.0
    };
    // Turns -0.0 into 0.0.
    rounded + 0.0
}

/// Formats a rounded value.
pub fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}
