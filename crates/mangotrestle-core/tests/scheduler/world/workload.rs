//! Random jobs to submit.

use mangotrestle_core::{id, job, time};
use rand::RngExt;

use super::World;
use crate::fixture::{amount, job_id, team_id};

impl World {
    pub(super) fn random_spec(&mut self) -> job::JobSpec {
        let number = self.next_job;
        self.next_job += 1;
        let kind = match self.rng.random_range(0..10) {
            0..2 => job::JobKind::Service,
            2..4 => job::JobKind::Gang,
            _ => job::JobKind::Batch,
        };
        let urgency = match self.rng.random_range(0..10) {
            0..2 => job::Urgency::Urgent,
            2..8 => job::Urgency::Normal,
            _ => job::Urgency::Background,
        };
        let accelerators = if self.rng.random_bool(0.2) {
            self.rng.random_range(1..=8)
        } else {
            0
        };
        let impossible = self.rng.random_bool(0.02);
        let cores = if impossible {
            999
        } else {
            self.rng.random_range(1..=12)
        };
        let service = kind == job::JobKind::Service;
        job::JobSpec {
            id: job_id(&format!("job-{}-{number}", number % 7)),
            team: team_id(&format!("team-{}", self.rng.random_range(0..4))),
            pool: id::PoolId::new("pool-1").expect("valid pool identifier"),
            kind,
            urgency,
            tasks: self.rng.random_range(1..=6),
            need: amount(cores, self.rng.random_range(1..=32), accelerators),
            run_time_ms: (!service).then_some(time::SpanMs(self.rng.random_range(500..60_000))),
            idempotent: service || self.rng.random_bool(0.7),
            preemptible: kind == job::JobKind::Batch && self.rng.random_bool(0.6),
            lost_worker: if self.rng.random_bool(0.2) {
                job::LostWorkerPolicy::WaitForWorker
            } else {
                job::LostWorkerPolicy::RestartAfterLapse
            },
        }
    }
}
