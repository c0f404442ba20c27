//! Events that the scheduler handles.

use std::sync::Arc;

use crate::id;
use crate::job;
use crate::resources;
use crate::result_code;
use crate::task;
use crate::time;

use super::config;

/// A run that a worker lists as active.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: task::RunId,
    /// Resources that it occupies.
    pub need: resources::Resources,
}

/// A reachable worker with its capacity and all its active runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerListing {
    /// The worker.
    pub worker: id::WorkerId,
    /// Its rack.
    pub rack: id::RackId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Total capacity, without regard to what runs on it.
    pub capacity: resources::Resources,
    /// All active runs. No start sent before the listing may still take effect.
    pub running: Vec<ListedRun>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
}

/// An event for [`Scheduler::handle`](super::Scheduler::handle).
///
/// Every event may arrive twice or late; repeats have no further effect.
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
    /// A finished job may be removed from memory. Ignored while any task of it waits or may run.
    JobForgotten {
        /// The job.
        job: id::JobId,
    },
    /// Sets the number of replicas that this pool runs in place of replicas lost in another zone.
    ExtraReplicas {
        /// The service.
        spec: Arc<job::JobSpec>,
        /// Index of the first extra replica. The caller assigns each pool its own range of indices,
        /// so that an extra replica never has the index of another replica.
        first_index: u32,
        /// Number of extra replicas; zero stops all of them.
        count: u32,
    },
    /// A worker is reachable. Its listing replaces what was known about the runs on it. Ends of
    /// runs that the worker reports with its listing must be handled first, as
    /// [`SchedulerEvent::RunEnded`].
    WorkerAvailable(WorkerListing),
    /// A worker is unreachable: no new work is placed there, and its runs keep their capacity.
    WorkerUnreachable {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker is lost and its runs have certainly ended.
    WorkerLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker is leaving, or stays after all.
    WorkerLeaving {
        /// The worker.
        worker: id::WorkerId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// A worker refused a start; nothing ran.
    StartRefused {
        /// The run.
        run: task::RunId,
        /// Why the start was refused.
        code: result_code::ResultCode,
    },
    /// A start was not answered. The run keeps its capacity until its worker is listed or lost.
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
        /// How it ended.
        outcome: task::RunOutcome,
    },
    /// A run that its worker listed, and that is not its task's current run there, ended.
    UnexpectedRunEnded {
        /// The run.
        run: task::RunId,
        /// The worker.
        worker: id::WorkerId,
    },
    /// Measured usage of a run.
    Usage {
        /// The run.
        run: task::RunId,
        /// Resources in use.
        used: resources::Resources,
    },
    /// A run was checkpointed. Stopping it does not lose the work done until now.
    Checkpointed {
        /// The run.
        run: task::RunId,
    },
    /// The settings changed.
    ConfigChanged(Box<config::SchedulerConfig>),
    /// An operator wants an unknown, failed or parked task to run again.
    OperatorRetry {
        /// The task.
        task: task::TaskId,
    },
    /// Recovery after a change of leader is complete: no unlisted run can be active any more, so
    /// the waiting tasks of restored jobs may start.
    RecoveryComplete,
    /// The time of day, for warm windows.
    TimeOfDay {
        /// Time since midnight at the event's time.
        time_of_day_ms: time::SpanMs,
    },
}
