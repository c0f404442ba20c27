//! Scheduler of one pool: decides which task runs on which worker, and when.
//!
//! The scheduler owns the jobs, tasks and workers' capacities of one pool. It is independent of
//! leases, network and clock: events go in through [`Scheduler::handle`], and [`Scheduler::decide`]
//! returns what to start and stop. Event handling and decision rounds are separate, so that a large
//! number of cancellations does not delay starts.
//!
//! # Example
//!
//! ```
//! use std::sync::Arc;
//!
//! use mangotrestle_core::{id, job, resources, scheduler, time};
//!
//! # fn main() -> Result<(), id::InvalidId> {
//! let config = scheduler::SchedulerConfig::builder().build();
//! let mut pool = scheduler::Scheduler::new(config, 7);
//! let now = time::TimeMs(0);
//! let need = resources::Resources {
//!     cpu_millicores: 1_000,
//!     memory_mib: 512,
//!     accelerators: 0,
//!     slots: 1,
//! };
//! pool.handle(
//!     now,
//!     scheduler::SchedulerEvent::WorkerAvailable(scheduler::WorkerListing {
//!         worker: id::WorkerId::new("worker-1")?,
//!         rack: id::RackId::new("rack-1")?,
//!         availability_zone: id::AvailabilityZoneId::new("zone-1")?,
//!         capacity: need.times(8),
//!         running: Vec::new(),
//!         leaving: false,
//!     }),
//! );
//! pool.handle(
//!     now,
//!     scheduler::SchedulerEvent::JobAccepted {
//!         spec: Arc::new(job::JobSpec {
//!             id: id::JobId::new("certificates")?,
//!             team: id::TeamId::new("bookings")?,
//!             pool: id::PoolId::new("pool-1")?,
//!             kind: job::JobKind::Batch,
//!             urgency: job::Urgency::Normal,
//!             tasks: 2,
//!             need,
//!             run_time_ms: Some(time::SpanMs::from_secs(60)),
//!             idempotent: true,
//!             preemptible: false,
//!             lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
//!         }),
//!         accepted_wall_ms: time::WallTimeMs(0),
//!     },
//! );
//! let mut decisions = Vec::new();
//! pool.decide(now, 100, &mut decisions);
//! let starts = decisions
//!     .iter()
//!     .filter(|decision| matches!(decision, scheduler::Decision::Start { .. }))
//!     .count();
//! assert_eq!(starts, 2);
//! # Ok(())
//! # }
//! ```

mod amount;
mod bookkeeping;
mod config;
mod correction;
mod decision;
mod event;
mod gangs;
mod health;
mod index;
mod intake;
mod invariants;
mod jobs;
mod learning;
mod lifecycle;
pub mod naive;
mod placing;
mod preemption;
mod queries;
mod queue;
mod recovery;
mod replicas;
mod rounds;
mod run_ends;
mod snapshot;
#[cfg(test)]
mod tests;
mod timer;
mod view;
mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::SeedableRng;
use rand::rngs;

use crate::id;
use crate::task;
use crate::time;

pub use config::{SchedulerConfig, SchedulerConfigBuilder, TeamQuota, WarmWindow};
pub use decision::{Decision, JobState, PlacementPath, PlacementReason, StopReason};
pub use event::{ListedRun, SchedulerEvent, WorkerListing};
pub use invariants::InvariantViolation;
pub use snapshot::{JobSnapshot, TaskSnapshot, TaskSnapshotState};
pub use view::{
    Constraint, JobView, TaskCounts, TaskState, TaskView, WaitingReason, WorkerState, WorkerView,
};

/// Schedules the jobs of one pool.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    rng: rngs::SmallRng,
    attempt_floor: u32,
    workers: worker::Workers,
    jobs: jobs::Jobs,
    queue: queue::Queue,
    families: learning::Families,
    /// Usable workers that are not reserved.
    unreserved: index::FreeIndex,
    /// Usable workers that are reserved for a gang.
    reserved: index::FreeIndex,
    reservations: Vec<gangs::Reservation>,
    /// Runs that may be stopped for urgent work, least work lost first.
    victims: BTreeSet<preemption::Victim>,
    /// Quarantined workers on which one run may start as a probe.
    probes: Vec<index::WorkerKey>,
    /// Assigned tasks whose worker may have enough capacity by now.
    satisfiable_holds: Vec<jobs::TaskKey>,
    cancel_sweeps: VecDeque<rounds::CancelSweep>,
    pending_stops: VecDeque<timer::PendingStop>,
    notices: VecDeque<Decision>,
    unexpected_runs: BTreeMap<task::RunId, index::WorkerKey>,
    timers: timer::Timers,
    day_clock: Option<replicas::DayClock>,
    next_window_check_ms: Option<time::TimeMs>,
}

impl Scheduler {
    /// Returns a scheduler without jobs and workers. The seed determines which of several equal
    /// workers is chosen.
    #[must_use]
    pub fn new(config: SchedulerConfig, seed: u64) -> Self {
        Self {
            config,
            rng: rngs::SmallRng::seed_from_u64(seed),
            attempt_floor: 1,
            workers: worker::Workers::default(),
            jobs: jobs::Jobs::default(),
            queue: queue::Queue::default(),
            families: learning::Families::default(),
            unreserved: index::FreeIndex::default(),
            reserved: index::FreeIndex::default(),
            reservations: Vec::new(),
            victims: BTreeSet::new(),
            probes: Vec::new(),
            satisfiable_holds: Vec::new(),
            cancel_sweeps: VecDeque::new(),
            pending_stops: VecDeque::new(),
            notices: VecDeque::new(),
            unexpected_runs: BTreeMap::new(),
            timers: timer::Timers::default(),
            day_clock: None,
            next_window_check_ms: None,
        }
    }

    /// Sets the minimum attempt number of new runs, so that a new leader's runs differ from runs of
    /// a previous leader that were not recorded.
    pub fn set_attempt_floor(&mut self, floor: u32) {
        self.attempt_floor = floor.max(1);
    }

    /// Handles an event. The resulting decisions are returned by [`Scheduler::decide`].
    pub fn handle(&mut self, now_ms: time::TimeMs, event: SchedulerEvent) {
        self.apply_event(now_ms, event);
    }

    /// Appends up to `max_decisions` decisions. Returns whether more may be available immediately.
    ///
    /// A gang starts as a whole, and assigned tasks start as soon as their worker has enough
    /// capacity, even beyond `max_decisions`. While starts are waiting, stops and notices take at
    /// most half of a round before them, so that a large number of cancellations does not delay
    /// starts.
    pub fn decide(
        &mut self,
        now_ms: time::TimeMs,
        max_decisions: usize,
        decisions: &mut Vec<Decision>,
    ) -> bool {
        self.run_round(now_ms, max_decisions, decisions)
    }

    /// Returns when to call [`Scheduler::decide`] again if no event arrives before. `None` if only
    /// an event can lead to a decision.
    #[must_use]
    pub fn next_wake_up(&self, now_ms: time::TimeMs) -> Option<time::TimeMs> {
        if self.has_work() {
            return Some(now_ms);
        }
        self.timers.next().map(|at_ms| at_ms.max(now_ms))
    }

    /// Restores a job from a snapshot. Its started tasks keep their capacity on their workers until
    /// those are listed or lost; its waiting tasks start after
    /// [`SchedulerEvent::RecoveryComplete`].
    pub fn restore(&mut self, now_ms: time::TimeMs, job: &JobSnapshot) {
        self.restore_job(now_ms, job);
    }

    /// Returns snapshots of all jobs, for [`Scheduler::restore`].
    pub fn snapshot(&self) -> impl Iterator<Item = JobSnapshot> + '_ {
        self.jobs.iter().map(|(key, _)| self.job_snapshot(key))
    }

    /// Returns all jobs, as operators see them.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> + '_ {
        self.jobs.iter().map(|(_, job)| queries::job_view(job))
    }

    /// Returns one job, if it is known.
    #[must_use]
    pub fn job(&self, job: &id::JobId) -> Option<JobView> {
        let key = self.jobs.key(job)?;
        Some(queries::job_view(&self.jobs[key]))
    }

    /// Returns the worker of a run, if it is its task's latest run and its end is not known.
    #[must_use]
    pub fn worker_of(&self, run: &task::RunId) -> Option<&id::WorkerId> {
        let key = self.task_of_current_run(run)?;
        let record = self.jobs.record(key)?;
        let open = record.is_active() || record.unknown().is_some();
        let worker = record.worker().filter(|_| open)?;
        Some(&self.workers.get(worker)?.id)
    }

    /// Returns the tasks of a job; empty if the job is unknown.
    #[must_use]
    pub fn tasks(&self, job: &id::JobId) -> Vec<TaskView> {
        self.jobs
            .key(job)
            .map(|key| self.task_views(key))
            .unwrap_or_default()
    }

    /// Returns why a job's waiting tasks do not start; empty if none waits. Examines every worker.
    #[must_use]
    pub fn explain_waiting(&self, now_ms: time::TimeMs, job: &id::JobId) -> Vec<WaitingReason> {
        let _ = now_ms;
        self.jobs
            .key(job)
            .map(|key| self.waiting_reasons(key))
            .unwrap_or_default()
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView> + '_ {
        self.workers
            .iter()
            .map(|(_, worker)| self.worker_view(worker))
    }
}
