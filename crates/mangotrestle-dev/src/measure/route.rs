//! Requests: goodput, latency, retries and outcomes.
//!
//! Policies are measured in virtual time against a small queueing model of targets; the path's own
//! latency and the at-most-once promise with real sockets on loopback. Every experiment also runs
//! a naive router: round robin, without limits, repeating whatever failed.

mod loopback;
mod model;
mod once;
mod path;
mod policies;
mod shares;

use crate::measure::report;

/// Threads of the callers in the experiments with sockets.
const CALLER_THREADS: usize = 4;

/// Runs all experiments. Takes well under a minute in a release build.
///
/// # Panics
///
/// If the machine has no room for a few threads or no loopback ports.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    let mut plots = Vec::new();
    policies::overload(seed, &mut figures, &mut plots);
    policies::bad_targets(seed, &mut figures);
    policies::outage(seed, &mut figures);
    shares::shares(seed, &mut figures);
    figures.extend(with_sockets(seed));
    report::Report {
        experiment: "route".to_owned(),
        seed,
        figures,
        plots,
    }
}

/// Runs the experiments with sockets in a thread of their own, so that this may be called from
/// inside a runtime.
fn with_sockets(seed: u64) -> Vec<report::Figure> {
    let run = move || {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(CALLER_THREADS)
            .enable_all()
            .build()
            .expect("the machine has room for a few threads");
        let mut figures = Vec::new();
        runtime.block_on(async {
            path::path(&mut figures).await;
            once::once(seed, &mut figures).await;
        });
        figures
    };
    std::thread::spawn(run)
        .join()
        .expect("the experiments with sockets run to their end")
}
