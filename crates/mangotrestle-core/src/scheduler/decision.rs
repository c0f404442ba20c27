//! Decisions of the scheduler, for its caller to carry out.

use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources;
use crate::result_code;
use crate::task;
use crate::time;

/// Why a worker was eligible for a placement; appears in the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum PlacementPath {
    /// The worker had the best score of the candidates.
    Score,
    /// All tasks of a gang were placed together.
    Gang,
    /// The worker is reserved for a gang, and the run is urgent or ends before the gang can start.
    Backfill,
    /// Less urgent runs were stopped to free capacity.
    Preemption,
    /// The run probes a quarantined worker.
    Probe,
}

/// Why a worker was chosen for a placement; appears in the log.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct PlacementReason {
    /// Why the worker was eligible.
    pub path: PlacementPath,
    /// Score of the worker; zero for gangs, preemptions and probes, which are not scored. With
    /// [`PlacementPath::Score`] the worker with the highest score is chosen.
    pub score: i64,
    /// Number of workers compared; for a gang, number of workers that its tasks start on.
    pub candidates: u32,
    /// Free capacity of the worker after the placement.
    pub free_after: resources::Resources,
    /// Time since a task of the job last became ready to start.
    pub waited_ms: time::SpanMs,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum StopReason {
    /// Its job was cancelled.
    Cancelled,
    /// Urgent work needs its capacity.
    Preempted,
    /// The measured usage on the worker exceeds its capacity.
    Oversized,
    /// There are more replicas than wanted.
    Surplus,
    /// The run is not the current run of its task.
    Superseded,
    /// The worker is leaving.
    WorkerLeaving,
    /// Another task of the gang ended, and a gang runs only as a whole.
    GangBroken,
}

/// State of a job, as operators see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Tasks wait, none runs and none has succeeded.
    Waiting,
    /// Tasks run, or some wait after others have succeeded.
    Running,
    /// Every task succeeded, apart from surplus replicas that were stopped.
    Succeeded,
    /// Every task ended and some failed.
    Failed,
    /// The job was cancelled.
    Cancelled,
    /// The job cannot run and waits for an operator or, if it fits no worker, for one that it fits.
    Parked,
    /// No task runs or waits, and the outcome of at least one is unknown.
    Unknown,
}

/// An action or a notice, returned by [`Scheduler::decide`](super::Scheduler::decide).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start a run.
    Start {
        /// The run.
        run: task::RunId,
        /// The worker to start it on.
        worker: id::WorkerId,
        /// Resources that it may occupy.
        need: resources::Resources,
        /// Declared run time; unset for services.
        run_time_ms: Option<time::SpanMs>,
        /// Whether the task may run again after a run that may have had an effect. If not, the
        /// start must be recorded before it is sent.
        idempotent: bool,
        /// Whether the job is urgent, so that its records are written without waiting for a batch.
        urgent: bool,
        /// Why this worker was chosen.
        reason: PlacementReason,
    },
    /// Stop a run. Repeated at an interval until the run is known to have ended.
    Stop {
        /// The run.
        run: task::RunId,
        /// Where it runs.
        worker: id::WorkerId,
        /// Whether to checkpoint it first.
        checkpoint: bool,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// Limit the processor time of a run to its need, or lift the limit.
    Throttle {
        /// The run.
        run: task::RunId,
        /// Where it runs.
        worker: id::WorkerId,
        /// Maximum processor time, in thousandths of a core; unset lifts the limit.
        cpu_millicores: Option<u64>,
    },
    /// The state of a job changed.
    JobStateChanged {
        /// The job.
        job: id::JobId,
        /// Its new state.
        state: JobState,
        /// Why it is parked, if it is.
        code: Option<result_code::ResultCode>,
    },
    /// The outcome of a task that must not run twice is unknown: its run may have had an effect.
    TaskUnknown {
        /// The last run of the task.
        run: task::RunId,
    },
    /// A worker was quarantined or released.
    WorkerQuarantined {
        /// The worker.
        worker: id::WorkerId,
        /// When it will be probed; unset if it was released.
        probe_at_ms: Option<time::TimeMs>,
    },
    /// A worker runs a task of a job that is not known here. The run keeps its capacity; cancelling
    /// the job stops it.
    OrphanRun {
        /// The run.
        run: task::RunId,
        /// Where it runs.
        worker: id::WorkerId,
    },
}
