//! Which task runs on which worker of a pool, and when.
//!
//! The scheduler owns the jobs, tasks and workers' capacities of one pool. It knows nothing of
//! leases, network or clock: events go in through [`Scheduler::handle`], and
//! [`Scheduler::decide`] says what to start and stop. Intake and decision rounds are apart, so
//! that a wave of cancellations is taken in without holding up starts.

mod config;
mod decision;
mod event;
mod snapshot;
mod view;

pub use config::{SchedulerConfig, SchedulerConfigBuilder, TeamQuota, WarmWindow};
pub use decision::{Decision, JobState, PlacementPath, PlacementReason, StopReason};
pub use event::{ListedRun, SchedulerEvent, WorkerListing};
pub use snapshot::{JobSnapshot, TaskSnapshot, TaskSnapshotState};
pub use view::{
    Constraint, JobView, TaskCounts, TaskState, TaskView, WaitingReason, WorkerState, WorkerView,
};

use crate::id;
use crate::time;

/// Schedules the jobs of one pool.
#[derive(Debug)]
pub struct Scheduler {
    config: SchedulerConfig,
    attempt_floor: u32,
}

impl Scheduler {
    /// A scheduler without jobs and workers. The seed decides among equals.
    #[must_use]
    pub fn new(config: SchedulerConfig, _seed: u64) -> Self {
        Self {
            config,
            attempt_floor: 1,
        }
    }

    /// Makes every new run's attempt number at least this, so that a new leader's runs are told
    /// apart from runs of a former leader that left no record.
    pub fn set_attempt_floor(&mut self, floor: u32) {
        self.attempt_floor = floor;
    }

    /// Takes in an event. Whatever follows from it comes out of [`Scheduler::decide`].
    pub fn handle(&mut self, _now_ms: time::TimeMs, event: SchedulerEvent) {
        if let SchedulerEvent::ConfigChanged(config) = event {
            self.config = *config;
        }
    }

    /// Appends up to `max_decisions` decisions, and says whether there may be more at once.
    pub fn decide(
        &mut self,
        _now_ms: time::TimeMs,
        _max_decisions: usize,
        _decisions: &mut Vec<Decision>,
    ) -> bool {
        false
    }

    /// When to decide again if no event comes before.
    #[must_use]
    pub fn next_wake_up(&self, _now_ms: time::TimeMs) -> Option<time::TimeMs> {
        None
    }

    /// Takes over a job from a snapshot. Its started tasks are booked on their workers until those
    /// are listed or lost; its waiting tasks start after [`SchedulerEvent::RecoveryComplete`].
    pub fn restore(&mut self, _now_ms: time::TimeMs, _job: &JobSnapshot) {}

    /// The jobs as they can be restored.
    pub fn snapshot(&self) -> impl Iterator<Item = JobSnapshot> + '_ {
        std::iter::empty()
    }

    /// All jobs, as operators see them.
    pub fn jobs(&self) -> impl Iterator<Item = JobView> + '_ {
        std::iter::empty()
    }

    /// One job.
    #[must_use]
    pub fn job(&self, _job: &id::JobId) -> Option<JobView> {
        None
    }

    /// The tasks of a job.
    #[must_use]
    pub fn tasks(&self, _job: &id::JobId) -> Vec<TaskView> {
        Vec::new()
    }

    /// Why a job's waiting tasks do not start; empty if none waits.
    #[must_use]
    pub fn explain_waiting(&self, _now_ms: time::TimeMs, _job: &id::JobId) -> Vec<WaitingReason> {
        Vec::new()
    }

    /// All workers.
    pub fn workers(&self) -> impl Iterator<Item = WorkerView> + '_ {
        std::iter::empty()
    }
}
