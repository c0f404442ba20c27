//! Jobs and workers for the measurements.

use mangotrestle_core::{id, job, resources, scheduler, time};
use rand::RngExt;
use rand::rngs;

use crate::profile;

const MIB_PER_GIB: u64 = 1_024;

/// Returns the resources that a task needs or a worker has.
pub fn amount(cores: u64, gib: u64, accelerators: u32, slots: u32) -> resources::Resources {
    resources::Resources {
        cpu_millicores: cores * 1_000,
        memory_mib: gib * MIB_PER_GIB,
        accelerators,
        slots,
    }
}

/// Returns the identifier for a name that is known to be valid.
pub fn job_id(name: &str) -> id::JobId {
    id::JobId::new(name).expect("a valid job name")
}

/// Returns a batch job with one core per task, for the caller to adapt.
pub fn batch(name: &str, team: &str, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        id: job_id(name),
        team: id::TeamId::new(team).expect("a valid team name"),
        pool: id::PoolId::new("pool").expect("a valid pool name"),
        kind: job::JobKind::Batch,
        urgency: job::Urgency::Normal,
        tasks,
        need: amount(1, 2, 0, 1),
        run_time_ms: Some(time::SpanMs::from_secs(60)),
        idempotent: true,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
    }
}

/// A worker without runs.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: String,
    pub rack: String,
    pub capacity: resources::Resources,
}

impl Worker {
    pub fn id(&self) -> id::WorkerId {
        id::WorkerId::new(&self.name).expect("a valid worker name")
    }

    pub fn listing(&self) -> scheduler::SchedulerEvent {
        scheduler::SchedulerEvent::WorkerAvailable(scheduler::WorkerListing {
            worker: self.id(),
            rack: id::RackId::new(&self.rack).expect("a valid rack name"),
            availability_zone: id::AvailabilityZoneId::new("zone").expect("a valid zone name"),
            capacity: self.capacity,
            running: Vec::new(),
            leaving: false,
        })
    }
}

/// Returns all workers of a user's deployment, as one pool.
pub fn workers_of(profile: &profile::Profile) -> Vec<Worker> {
    let plans = profile.worker_plans().into_iter();
    plans
        .map(|plan| Worker {
            name: plan.id,
            rack: plan.rack,
            capacity: plan.capacity,
        })
        .collect()
}

/// Returns `count` workers, twenty per rack, that cycle through the sizes of a booking, a registry,
/// a booking and a spectral worker of the [`profile`]s.
pub fn mixed_workers(count: usize) -> Vec<Worker> {
    let kinds = [
        amount(16, 64, 0, 8),
        amount(64, 128, 0, 8),
        amount(16, 64, 0, 8),
        amount(64, 256, 8, 8),
    ];
    (0..count)
        .map(|number| Worker {
            name: format!("worker-{number}"),
            rack: format!("rack-{}", number / 20),
            capacity: kinds[number % kinds.len()],
        })
        .collect()
}

/// Returns a sample of the exponential distribution, in milliseconds and at least one.
pub fn exponential_ms(rng: &mut rngs::SmallRng, mean_ms: f64) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    // The product is positive and far below the maximum of `u64`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let sample = (-uniform.ln() * mean_ms) as u64;
    sample.max(1)
}
