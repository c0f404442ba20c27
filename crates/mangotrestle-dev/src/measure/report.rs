//! Results of an experiment: figures with their targets, and curves for plots.

use serde::Serialize;

pub mod html;
pub mod number;
pub mod plot;
pub mod text;
pub mod write;

#[cfg(test)]
mod tests;

/// Bound that a figure should meet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The figure should be at most this value.
    AtMost(f64),
    /// The figure should be at least this value.
    AtLeast(f64),
}

/// Whether a figure meets its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The target is met.
    Pass,
    /// The target is missed.
    Short,
    /// The figure has no target.
    Info,
}

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Name of what was measured.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// Unit of the value, such as `ms`, `1/s` or `ratio`.
    pub unit: String,
    /// Target of the value, if it has one.
    pub target: Option<Target>,
    /// Value of the naive version from the same run, if it was measured.
    pub naive: Option<f64>,
}

impl Figure {
    /// Returns a figure without a target and without a naive value.
    #[must_use]
    pub fn new(name: &str, value: f64, unit: &str) -> Self {
        Self {
            name: name.to_owned(),
            value,
            unit: unit.to_owned(),
            target: None,
            naive: None,
        }
    }

    /// Sets the target.
    #[must_use]
    pub fn target(mut self, target: Target) -> Self {
        self.target = Some(target);
        self
    }

    /// Sets the naive version's value.
    #[must_use]
    pub fn naive(mut self, value: f64) -> Self {
        self.naive = Some(value);
        self
    }

    /// Returns whether the value meets the target.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        let met = match self.target {
            None => return Verdict::Info,
            Some(Target::AtMost(bound)) => self.value <= bound,
            Some(Target::AtLeast(bound)) => self.value >= bound,
        };
        if met { Verdict::Pass } else { Verdict::Short }
    }
}

/// A point of a curve.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Point {
    /// Horizontal position.
    pub x: f64,
    /// Vertical position.
    pub y: f64,
}

/// A named curve for a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Curve {
    /// Name in the legend.
    pub name: String,
    /// Points, sorted by `x`.
    pub points: Vec<Point>,
}

/// A plot of one or more curves.
#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    /// Title above the plot.
    pub title: String,
    /// Label of the horizontal axis, with its unit.
    pub x_label: String,
    /// Label of the vertical axis, with its unit.
    pub y_label: String,
    /// Curves, in the order of the legend.
    pub curves: Vec<Curve>,
}

/// All results of one experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment on the command line of `measure`.
    pub experiment: String,
    /// Seed of the run's random choices.
    pub seed: u64,
    /// Figures, in display order.
    pub figures: Vec<Figure>,
    /// Plots for the HTML report.
    pub plots: Vec<Plot>,
}
