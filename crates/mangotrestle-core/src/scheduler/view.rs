//! Views of jobs, tasks and workers, as operators see them.

use std::sync::Arc;

use displaydoc::Display;

use crate::id;
use crate::job;
use crate::resources;
use crate::result_code;
use crate::time;

use super::decision;

/// Number of tasks of a job in each state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskCounts {
    /// Waiting to start, backing off or assigned to a worker.
    pub waiting: u32,
    /// Starting, running or stopping.
    pub running: u32,
    /// Succeeded.
    pub succeeded: u32,
    /// Failed and not retried automatically.
    pub failed: u32,
    /// Stopped and not started again.
    pub stopped: u32,
    /// With an unknown outcome.
    pub unknown: u32,
}

/// A job as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobView {
    /// The job.
    pub spec: Arc<job::JobSpec>,
    /// When it was accepted.
    pub accepted_wall_ms: time::WallTimeMs,
    /// Its state.
    pub state: decision::JobState,
    /// Why it is parked.
    pub parked: Option<result_code::ResultCode>,
    /// Number of its tasks in each state.
    pub counts: TaskCounts,
}

/// State of a task, as operators see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskState {
    /// Waits to start.
    Waiting,
    /// Was started on a worker that has not confirmed it yet.
    Starting,
    /// Runs.
    Running,
    /// Is being stopped.
    Stopping,
    /// Succeeded.
    Succeeded,
    /// Failed and is not retried automatically.
    Failed,
    /// Was stopped and is not started again.
    Stopped,
    /// Has an unknown outcome.
    Unknown,
}

/// A task as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskView {
    /// Index of the task.
    pub index: u32,
    /// Attempt number of its latest run; zero if it never ran.
    pub attempt: u32,
    /// Its state.
    pub state: TaskState,
    /// Worker that runs it or that it is assigned to, or that ran it last if its outcome is
    /// unknown.
    pub worker: Option<id::WorkerId>,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkerState {
    /// Takes work.
    Available,
    /// Is unreachable.
    Unreachable,
    /// Is leaving and takes no new work.
    Leaving,
    /// Is at fault for failed runs and gets only probes.
    Quarantined,
}

/// A worker as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub id: id::WorkerId,
    /// Its rack; unset until its first listing.
    pub rack: Option<id::RackId>,
    /// Its availability zone; unset until its first listing.
    pub availability_zone: Option<id::AvailabilityZoneId>,
    /// Total capacity.
    pub capacity: resources::Resources,
    /// Capacity free for new work.
    pub free: resources::Resources,
    /// Number of its runs that are starting, running or stopping.
    pub running: u32,
    /// Whether it takes work.
    pub state: WorkerState,
}

/// A resource of which a worker has too little.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Constraint {
    /// processor time
    Cpu,
    /// memory
    Memory,
    /// accelerators
    Accelerators,
    /// slots
    Slots,
}

/// Why the waiting tasks of a job do not start.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum WaitingReason {
    /// parked: {code}; runs again after an operator's retry or, if never-fits, once a worker fits
    Parked {
        /// Why it is parked.
        code: result_code::ResultCode,
    },
    /// one task fits no worker of the pool even when empty; no worker has enough {constraint}
    NeverFits {
        /// A resource of which no worker has enough.
        constraint: Constraint,
    },
    /// {workers} workers do not have enough free {constraint}
    Short {
        /// The resource.
        constraint: Constraint,
        /// Number of workers.
        workers: u32,
    },
    /// {workers} workers are unreachable
    Unreachable {
        /// Number of workers.
        workers: u32,
    },
    /// {workers} workers are leaving
    Leaving {
        /// Number of workers.
        workers: u32,
    },
    /// {workers} workers are quarantined
    Quarantined {
        /// Number of workers.
        workers: u32,
    },
    /// {workers} workers with enough free capacity are reserved for gangs or for accelerator tasks
    Reserved {
        /// Number of workers.
        workers: u32,
    },
    /// the team's quota is used up
    Quota,
    /// {fitting} of the gang's {needed} tasks fit now
    Gang {
        /// Tasks that could start now.
        fitting: u32,
        /// Tasks that must start together.
        needed: u32,
    },
    /// {tasks} tasks back off after a failed run or a refused start
    BackOff {
        /// Number of tasks.
        tasks: u32,
    },
    /// {workers} workers have enough free capacity; other work is ahead in the queue
    Queued {
        /// Number of workers with enough free capacity.
        workers: u32,
    },
    /// the pool changed its leader and waits until no unlisted run can be active
    Recovering,
}
