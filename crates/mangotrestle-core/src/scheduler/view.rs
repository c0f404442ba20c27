//! What operators can ask the scheduler.

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
    /// Wait for a start.
    pub waiting: u32,
    /// Start, run or stop.
    pub running: u32,
    /// Did their work.
    pub succeeded: u32,
    /// Were given up.
    pub failed: u32,
    /// Were stopped for good.
    pub stopped: u32,
    /// Have an unknown outcome.
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
    /// Its tasks.
    pub counts: TaskCounts,
}

/// State of a task, as operators see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum TaskState {
    /// Waits for a start.
    Waiting,
    /// Was sent to a worker that has not answered.
    Starting,
    /// Runs.
    Running,
    /// Is being stopped.
    Stopping,
    /// Did its work.
    Succeeded,
    /// Was given up.
    Failed,
    /// Was stopped for good.
    Stopped,
    /// Has an unknown outcome.
    Unknown,
}

/// A task as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskView {
    /// Index of the task.
    pub index: u32,
    /// Attempt number of its last run, zero if it never ran.
    pub attempt: u32,
    /// Its state.
    pub state: TaskState,
    /// Where it runs, or ran last if its outcome is unknown.
    pub worker: Option<id::WorkerId>,
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WorkerState {
    /// Takes work.
    Available,
    /// Does not answer.
    Unreachable,
    /// Leaves and takes no new work.
    Leaving,
    /// Failed what it started; gets a probe now and then.
    Quarantined,
}

/// A worker as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub id: id::WorkerId,
    /// Its rack; unset until it has listed itself.
    pub rack: Option<id::RackId>,
    /// Its availability zone; unset until it has listed itself.
    pub availability_zone: Option<id::AvailabilityZoneId>,
    /// What it holds.
    pub capacity: resources::Resources,
    /// What is free for new work.
    pub free: resources::Resources,
    /// Runs that start, run or stop on it.
    pub running: u32,
    /// Whether it takes work.
    pub state: WorkerState,
}

/// A resource that a worker is short of.
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
    /// parked: {code}; the job runs again only on an operator's word
    Parked {
        /// Why.
        code: result_code::ResultCode,
    },
    /// no worker of the pool holds one task even when empty; the greatest {constraint} is too small
    NeverFits {
        /// The resource that is too small everywhere.
        constraint: Constraint,
    },
    /// {workers} workers are short of {constraint}
    Short {
        /// The resource.
        constraint: Constraint,
        /// On how many workers.
        workers: u32,
    },
    /// {workers} workers do not answer
    Unreachable {
        /// On how many workers.
        workers: u32,
    },
    /// {workers} workers are leaving
    Leaving {
        /// On how many workers.
        workers: u32,
    },
    /// {workers} workers are quarantined
    Quarantined {
        /// On how many workers.
        workers: u32,
    },
    /// {workers} workers with room are kept for gangs or for accelerators
    Reserved {
        /// On how many workers.
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
    /// {tasks} tasks back off after a failed or refused start
    BackOff {
        /// Number of tasks.
        tasks: u32,
    },
    /// {workers} workers have room; other work is ahead in the queue
    Queued {
        /// Workers with room.
        workers: u32,
    },
    /// the pool changed its leader and waits until no unlisted run can be going on
    Recovering,
}
