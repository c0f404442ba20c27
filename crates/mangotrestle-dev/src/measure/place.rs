//! Measurements of placement: cost of a decision, waiting time and packing.
//!
//! Each experiment with a naive value runs the real scheduler and the naive one in the same run.
//! Costs are measured with the machine's clock. Waiting times are measured with a virtual clock, so
//! they do not depend on the machine.

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
    // Runs first because it reads the process's resident memory, and the later parts leave freed
    // memory behind.
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

/// Figures and plots of one of the measurements.
#[derive(Debug, Default)]
struct Part {
    figures: Vec<report::Figure>,
    plots: Vec<report::Plot>,
}
