//! What the scheduler is told.

use std::sync::Arc;

use crate::id;
use crate::job;
use crate::resources;
use crate::result_code;
use crate::task;
use crate::time;

use super::config;

/// A run that a worker lists as going on.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: task::RunId,
    /// What it occupies.
    pub need: resources::Resources,
}

/// A worker that can be used, with everything that runs there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub worker: id::WorkerId,
    /// Its rack.
    pub rack: id::RackId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// What it holds in all.
    pub capacity: resources::Resources,
    /// Everything that runs on it. No start from before the listing may still take effect.
    pub running: Vec<ListedRun>,
    /// Whether it leaves and takes no new work.
    pub leaving: bool,
}

/// Something that happened, for [`Scheduler::handle`](super::Scheduler::handle).
///
/// Every event may come twice or late; repeats have no further effect.
#[derive(Clone, Debug, PartialEq)]
pub enum SchedulerEvent {
    /// A job was accepted into this pool.
    JobAccepted {
        /// The job.
        spec: Arc<job::JobSpec>,
        /// When it was accepted; older jobs of a team go first.
        accepted_wall_ms: time::WallTimeMs,
    },
    /// A job was cancelled. Cancelling an unknown job stops runs of it that workers list.
    JobCancelled {
        /// The job.
        job: id::JobId,
    },
    /// A finished job may be dropped from memory. Ignored while anything of it may run.
    JobForgotten {
        /// The job.
        job: id::JobId,
    },
    /// Sets how many replicas this pool runs to make up for replicas lost in another zone.
    ExtraReplicas {
        /// The service.
        spec: Arc<job::JobSpec>,
        /// Index of the first extra replica. The caller gives each pool a range of its own, so
        /// that an extra replica is never a second copy of an existing one.
        first_index: u32,
        /// Number of extra replicas; zero stops them.
        count: u32,
    },
    /// A worker can be used. What it lists is the truth about what runs there. Ends of runs that
    /// the worker reports with its listing come first, as [`SchedulerEvent::RunEnded`].
    WorkerAvailable(WorkerListing),
    /// A worker does not answer: nothing new goes there, and what runs there stays booked.
    WorkerUnreachable {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker is gone and its runs surely ended.
    WorkerLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker leaves, or does not leave after all.
    WorkerLeaving {
        /// The worker.
        worker: id::WorkerId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// A worker refused a start; nothing ran.
    StartRefused {
        /// The run.
        run: task::RunId,
        /// Why.
        code: result_code::ResultCode,
    },
    /// There was no answer to a start. The run stays booked until the worker says.
    StartUnknown {
        /// The run.
        run: task::RunId,
    },
    /// A worker started a run.
    RunStarted {
        /// The run.
        run: task::RunId,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: task::RunId,
        /// How.
        outcome: task::RunOutcome,
    },
    /// Measured use of a run.
    Usage {
        /// The run.
        run: task::RunId,
        /// What it uses.
        used: resources::Resources,
    },
    /// A run was checkpointed; work up to now is not lost by stopping it.
    Checkpointed {
        /// The run.
        run: task::RunId,
    },
    /// New settings are in force.
    ConfigChanged(Box<config::SchedulerConfig>),
    /// An operator wants an unknown, failed or parked task to run again.
    OperatorRetry {
        /// The task.
        task: task::TaskId,
    },
    /// After a take-over: no unlisted run can be going on any more, so the waiting tasks of
    /// restored jobs may start.
    RecoveryComplete,
    /// What time of day it is, for warm windows.
    TimeOfDay {
        /// Time since midnight at the event's time.
        time_of_day_ms: time::SpanMs,
    },
}
