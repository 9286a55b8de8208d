//! Counted figures, and the lines through them.

use crate::slope::CostSlope;

/// What was counted at one size.
#[derive(Clone, Debug)]
pub struct CountedFigure {
    /// The role that it belongs to.
    pub role: &'static str,
    /// What was counted.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// The count.
    pub value: f64,
}

impl CountedFigure {
    /// A figure of `role`.
    pub fn new(role: &'static str, what: &'static str, unit: &'static str, value: f64) -> Self {
        Self {
            role,
            what,
            unit,
            value: rounded(value),
        }
    }
}

/// A figure over several sizes, the last of which is the target's.
#[derive(Clone, Debug)]
pub struct FigureRow {
    /// The role that it belongs to.
    pub role: &'static str,
    /// What was counted.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Sizes and counts, the target's last.
    pub points: Vec<(usize, f64)>,
}

impl FigureRow {
    /// The line through all sizes but the target's.
    pub fn slope(&self) -> CostSlope {
        let smaller = self.points.len().saturating_sub(1);
        let points = self.points[..smaller].iter();
        let points: Vec<(f64, f64)> = points.map(|point| (point.0 as f64, point.1)).collect();
        CostSlope::through(&points)
    }

    /// What the line foretells for the target's size.
    pub fn foretold(&self) -> f64 {
        let target = self.points.last().map_or(0, |point| point.0);
        rounded(self.slope().at(target as f64))
    }

    /// The count at the target's size.
    pub fn counted(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.1)
    }
}

/// The value as pages show it: whole from a hundred on, else with one digit.
pub fn rounded(value: f64) -> f64 {
    let rounded = if value.abs() >= 100.0 {
        value.round()
    } else {
        (value * 10.0).round() / 10.0
    };
    // No minus before a nought.
    rounded + 0.0
}

/// The text of a rounded value.
pub fn shown(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.1}")
    }
}
