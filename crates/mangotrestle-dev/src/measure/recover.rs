//! Recovery: store outages, loading a pool, and how soon a configuration is in force.
//!
//! Outages and the configuration run in virtual time over the real clients and the stand-ins in one
//! process; loading is timed in real time.

mod configuration;
mod load;
mod outage;

use super::report;

/// Runs the experiment.
///
/// # Panics
///
/// If a stand-in gives an answer that only a fault in this program explains.
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

/// A runtime whose clock moves only when there is nothing to do.
fn virtual_time() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O can always be built")
}
