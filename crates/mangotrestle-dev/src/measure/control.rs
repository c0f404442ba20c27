//! Measurements of the resources that heartbeats, membership and configuration use.
//!
//! Heartbeats use the real protocol on loopback; their bytes include the headers that the client
//! and the server send.

mod heartbeat;
mod membership;

use super::report;

/// Runs the experiment.
///
/// # Panics
///
/// If a port on the loopback interface cannot be used.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    membership::measure(&mut figures);
    let exchanges_per_s = membership::measure_exchanges(&mut figures);
    heartbeat::measure(exchanges_per_s, &mut figures);
    membership::measure_configuration(&mut figures);
    report::Report {
        experiment: "control".to_owned(),
        seed,
        figures,
        plots: Vec::new(),
    }
}
