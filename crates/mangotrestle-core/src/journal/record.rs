//! Records of a journal.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::index_set::IndexSet;
use crate::id;
use crate::job;
use crate::result_code;
use crate::task;
use crate::time;

/// One fact about a pool.
///
/// Revisions of a job count the commands and decisions about it, from 1 at its acceptance. Of two
/// records about the same property, the one with the greater revision is valid.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case")]
pub enum Record {
    /// A job was accepted. The job's row holds the same data; the record lets a fold work without
    /// it.
    JobAccepted {
        /// The job.
        spec: job::JobSpec,
        /// When it was accepted.
        wall_ms: time::WallTimeMs,
    },
    /// A job was cancelled.
    JobCancelled {
        /// The job.
        job: id::JobId,
        /// Revision of the job after the cancellation.
        revision: u64,
        /// When it was cancelled.
        wall_ms: time::WallTimeMs,
    },
    /// A job was parked: none of its tasks is started until an operator releases it.
    JobParked {
        /// The job.
        job: id::JobId,
        /// Revision of the job after it was parked.
        revision: u64,
        /// Reason for parking the job.
        code: result_code::ResultCode,
        /// When it was parked.
        wall_ms: time::WallTimeMs,
    },
    /// A parked job was released: its tasks may be started again.
    JobReleased {
        /// The job.
        job: id::JobId,
        /// Revision of the job after the release.
        revision: u64,
    },
    /// A run is about to be started, or was started, on a worker.
    RunStarted {
        /// The run.
        run: task::RunId,
        /// The worker.
        worker: id::WorkerId,
        /// When it was started.
        wall_ms: time::WallTimeMs,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: task::RunId,
        /// How it ended.
        outcome: task::RunOutcome,
        /// When it ended.
        wall_ms: time::WallTimeMs,
    },
    /// Runs of one job were started.
    RunsStarted {
        /// The job.
        job: id::JobId,
        /// Attempt number of all the runs.
        attempt: u32,
        /// The tasks, by worker.
        on: Vec<WorkerTasks>,
        /// When the last of them was started.
        wall_ms: time::WallTimeMs,
    },
    /// Runs of one job ended with the same outcome.
    RunsEnded {
        /// The job.
        job: id::JobId,
        /// Attempt number of all the runs.
        attempt: u32,
        /// How they ended.
        outcome: task::RunOutcome,
        /// Indices of the tasks.
        tasks: IndexSet,
        /// When the last of them ended.
        wall_ms: time::WallTimeMs,
    },
    /// It is unknown how a run ended, and it may have had effects.
    RunUnknown {
        /// The run.
        run: task::RunId,
        /// Since when its end is unknown.
        wall_ms: time::WallTimeMs,
    },
    /// An operator decided how to treat a run whose end is unknown.
    UnknownResolved {
        /// The run.
        run: task::RunId,
        /// The operator's decision.
        resolution: Resolution,
        /// When the operator decided.
        wall_ms: time::WallTimeMs,
    },
    /// An operator marked a worker as draining or removed the mark.
    WorkerDraining {
        /// The worker.
        worker: id::WorkerId,
        /// Revision of the mark, from 1.
        revision: u64,
        /// Whether the worker is draining and gets no new work.
        draining: bool,
    },
}

/// Tasks of one job on one worker; serialized as a pair.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTasks {
    /// The worker.
    pub worker: id::WorkerId,
    /// Indices of the tasks.
    pub tasks: IndexSet,
}

impl Serialize for WorkerTasks {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (&self.worker, &self.tasks).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for WorkerTasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (worker, tasks) = Deserialize::deserialize(deserializer)?;
        Ok(Self { worker, tasks })
    }
}

/// Decision of an operator about a run whose end is unknown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// Run the task again.
    RunAgain,
    /// The work was not done and will not be.
    Failed,
    /// The work was done.
    Succeeded,
}
