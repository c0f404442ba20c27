//! Measurements of recovery: store outages, loading a pool, and the delay until a configuration is
//! in force.
//!
//! Outages and configuration changes run in virtual time, with the real clients and the stand-ins
//! in one process. Loading is measured in real time.

mod configuration;
mod load;
mod outage;

use super::report;

/// Runs the experiment.
///
/// # Panics
///
/// If a stand-in gives an unexpected answer, which only a bug in this program can cause.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    let mut plots = Vec::new();
    outage::measure(&mut figures);
    configuration::measure(seed, &mut figures);
    load::measure(&mut figures, &mut plots);
    report::Report {
        experiment: "recover".to_owned(),
        seed,
        figures,
        plots,
    }
}

/// Returns a runtime whose clock advances only when all tasks are idle.
fn virtual_time() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built")
}
