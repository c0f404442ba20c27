//! Measurements of request routing: goodput, latency, retries and outcomes.
//!
//! Routing policies are measured in virtual time with a small queueing model of targets. The
//! latency that the path adds, and the guarantee that a request runs at most once, are measured
//! with real sockets on loopback. Every experiment also measures a naive version, such as a router
//! that uses round robin, has no limits and repeats every failed request.

mod loopback;
mod model;
mod once;
mod path;
mod policies;
mod shares;

use crate::measure::report;

/// Number of threads that run callers in the experiments with sockets.
const CALLER_THREADS: usize = 4;

/// Runs all experiments. Takes well under a minute in a release build.
///
/// # Panics
///
/// If a thread cannot be started or no loopback port is free.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = Vec::new();
    let mut plots = Vec::new();
    policies::overload(seed, &mut figures, &mut plots);
    policies::bad_targets(seed, &mut figures);
    policies::outage(seed, &mut figures);
    shares::measure_shares(seed, &mut figures);
    figures.extend(with_sockets(seed));
    report::Report {
        experiment: "route".to_owned(),
        seed,
        figures,
        plots,
    }
}

/// Runs the experiments with sockets in a new thread, since a runtime cannot block inside another
/// one.
fn with_sockets(seed: u64) -> Vec<report::Figure> {
    let run = move || {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(CALLER_THREADS)
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let mut figures = Vec::new();
        runtime.block_on(async {
            path::measure_path(&mut figures).await;
            once::measure_at_most_once(seed, &mut figures).await;
        });
        figures
    };
    std::thread::spawn(run)
        .join()
        .expect("the experiments with sockets do not panic")
}
