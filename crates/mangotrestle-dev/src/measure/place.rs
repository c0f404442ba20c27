//! Placement: cost of a decision, waiting time and packing.
//!
//! Everything runs on the real scheduler and, in the same run, on the naive one. Costs are measured
//! on the machine's clock; waiting times are those of a virtual clock, so they do not depend on the
//! machine.

mod cost;
mod memory;
mod mix;
mod policy;
mod urgent;
mod workload;

use super::report;

/// Runs all placement measurements.
///
/// Takes under a minute in a release build.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    let mut plots = Vec::new();
    // First, because it reads the process's memory and later parts leave freed memory behind.
    figures.extend(memory::figures(seed));
    let cost = cost::measure(seed);
    figures.extend(cost.figures);
    plots.push(cost.plot);
    figures.extend(urgent::figures(seed));
    let authority = mix::authority(seed);
    figures.extend(authority.figures);
    plots.extend(authority.plots);
    let laboratory = mix::laboratory(seed);
    figures.extend(laboratory.figures);
    plots.extend(laboratory.plots);
    report::Report {
        experiment: "place".to_owned(),
        seed,
        figures,
        plots,
    }
}

/// Figures and plots of one part.
#[derive(Debug, Default)]
struct Part {
    figures: Vec<report::Figure>,
    plots: Vec<report::Plot>,
}
