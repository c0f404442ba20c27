//! Time until urgent work starts in a pool that is full of batch work.

use std::sync::Arc;

use hdrhistogram::Histogram;
use mangotrestle_core::{job, scheduler, time};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::policy::{Arrival, Driver, JobTrace, Naive, Real};
use super::workload;
use crate::measure::report::{Figure, Target};

/// Number of workers of the pool.
const WORKERS: usize = 1_900;

/// Number of urgent jobs, and the mean time between their arrivals.
const URGENT_JOBS: usize = 500;
const MEAN_ARRIVAL_INTERVAL_MS: f64 = 100.0;

/// Time after which the urgent jobs arrive, when the pool is full.
const FIRST_URGENT_MS: u64 = 60_000;

/// Times that workers take for a checkpoint, each measured separately.
const CHECKPOINT_DURATIONS_MS: [u64; 3] = [250, 500, 1_000];

/// Time for three messages (a stop, its confirmation and a start), each within one availability
/// zone.
const MESSAGE_DELAY_MS: u64 = 6;

/// Target maximum of the time from acceptance of urgent work to its start.
const START_TARGET_MS: f64 = 1_100.0;

pub fn figures(seed: u64) -> Vec<Figure> {
    let workers = workload::mixed_workers(WORKERS);
    let arrivals = arrivals(seed);
    let naive = Driver::new(Naive::new(&workers), &arrivals, 0).run(FIRST_URGENT_MS * 3);
    let naive_max_wait_ms = max_wait_ms(&naive.jobs, FIRST_URGENT_MS * 3);
    CHECKPOINT_DURATIONS_MS
        .iter()
        .flat_map(|&checkpoint_ms| {
            let config = scheduler::SchedulerConfig::default();
            let policy = Real::new(config, &workers, seed);
            let trace = Driver::new(policy, &arrivals, checkpoint_ms).run(FIRST_URGENT_MS * 3);
            checkpoint_figures(checkpoint_ms, &trace.jobs, naive_max_wait_ms)
        })
        .collect()
}

/// Returns batch jobs that occupy every worker during the whole simulation, and then urgent jobs.
fn arrivals(seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let batch_run_time_ms = 3_600_000;
    let mut arrivals = Vec::new();
    for number in 0..200 {
        let mut spec = workload::batch(&format!("batch-{number}x"), "nightly", 100);
        spec.preemptible = true;
        spec.need = workload::amount(2, 8, 0, 1);
        spec.run_time_ms = Some(time::SpanMs(batch_run_time_ms));
        arrivals.push(Arrival {
            at_ms: number,
            spec: Arc::new(spec),
            run_times_ms: vec![batch_run_time_ms; 100],
        });
    }
    let mut at_ms = FIRST_URGENT_MS;
    for number in 0..URGENT_JOBS {
        at_ms += workload::exponential_ms(&mut rng, MEAN_ARRIVAL_INTERVAL_MS);
        let mut spec = workload::batch(&format!("urgent-{number}x"), "lanes", 1);
        spec.urgency = job::Urgency::Urgent;
        spec.need = workload::amount(4, 8, 0, 1);
        let run_time_ms = 20_000;
        spec.run_time_ms = Some(time::SpanMs(run_time_ms));
        arrivals.push(Arrival {
            at_ms,
            spec: Arc::new(spec),
            run_times_ms: vec![run_time_ms],
        });
    }
    arrivals
}

fn urgent_waits_ms(jobs: &[JobTrace], until_ms: u64) -> impl Iterator<Item = u64> + '_ {
    let urgent = jobs
        .iter()
        .filter(|job| job.spec.urgency == job::Urgency::Urgent);
    urgent.map(move |job| {
        let started_ms = job.first_starts_ms[0].unwrap_or(until_ms);
        started_ms - job.arrived_ms + MESSAGE_DELAY_MS
    })
}

// Waits are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn max_wait_ms(jobs: &[JobTrace], until_ms: u64) -> f64 {
    urgent_waits_ms(jobs, until_ms).max().unwrap_or(0) as f64
}

#[allow(clippy::cast_precision_loss)]
fn checkpoint_figures(
    checkpoint_ms: u64,
    jobs: &[JobTrace],
    naive_max_wait_ms: f64,
) -> Vec<Figure> {
    let mut waits = Histogram::<u64>::new(3).expect("three digits are within the range");
    for wait_ms in urgent_waits_ms(jobs, FIRST_URGENT_MS * 3) {
        waits += wait_ms;
    }
    let name = |what: &str| format!("urgent start {what}, checkpoint of {checkpoint_ms} ms");
    vec![
        Figure::new(&name("median"), waits.value_at_quantile(0.5) as f64, "ms"),
        Figure::new(&name("max"), waits.max() as f64, "ms")
            .target(Target::AtMost(START_TARGET_MS))
            .naive(naive_max_wait_ms),
    ]
}
