//! What an experiment found: figures with their targets, and curves for plots.

use serde::Serialize;

pub mod html;
pub mod number;
pub mod plot;
pub mod text;
pub mod write;

#[cfg(test)]
mod tests;

/// Which side of a target is good.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The figure may be at most this.
    AtMost(f64),
    /// The figure must be at least this.
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
    /// What was measured.
    pub name: String,
    /// The measured value.
    pub value: f64,
    /// Unit of the value, such as `ms`, `1/s` or `ratio`.
    pub unit: String,
    /// The stated target, if there is one.
    pub target: Option<Target>,
    /// The naive version's value from the same run, if there is one.
    pub naive: Option<f64>,
}

impl Figure {
    /// A figure without target and without a naive value.
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

    /// Compares the value with the target.
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
    /// Legend.
    pub name: String,
    /// Points, by rising `x`.
    pub points: Vec<Point>,
}

/// A plot of one or more curves.
#[derive(Clone, Debug, Serialize)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// Label of the horizontal axis, with its unit.
    pub x_label: String,
    /// Label of the vertical axis, with its unit.
    pub y_label: String,
    /// The curves.
    pub curves: Vec<Curve>,
}

/// Everything one experiment found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the experiment, as given to `measure`.
    pub experiment: String,
    /// Seed of the run.
    pub seed: u64,
    /// The figures, in the order to show them.
    pub figures: Vec<Figure>,
    /// Plots for the written report.
    pub plots: Vec<Plot>,
}
