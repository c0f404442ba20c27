//! What a journal holds.

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
/// records about the same thing the one with the greater revision holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "t", rename_all = "kebab-case")]
pub enum Record {
    /// A job was accepted. The job's own row says the same; the record is what a fold needs.
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
    /// No more tasks of a job are started until an operator says so.
    JobParked {
        /// The job.
        job: id::JobId,
        /// Revision of the job after the parking.
        revision: u64,
        /// Why.
        code: result_code::ResultCode,
        /// When it was parked.
        wall_ms: time::WallTimeMs,
    },
    /// A parked job may be tried again.
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
        /// Where.
        worker: id::WorkerId,
        /// When.
        wall_ms: time::WallTimeMs,
    },
    /// A run ended.
    RunEnded {
        /// The run.
        run: task::RunId,
        /// How.
        outcome: task::RunOutcome,
        /// When.
        wall_ms: time::WallTimeMs,
    },
    /// Runs of one job were started.
    RunsStarted {
        /// The job.
        job: id::JobId,
        /// Number of each of the runs.
        attempt: u32,
        /// Which tasks on which worker.
        on: Vec<WorkerTasks>,
        /// When the last of them was started.
        wall_ms: time::WallTimeMs,
    },
    /// Runs of one job ended alike.
    RunsEnded {
        /// The job.
        job: id::JobId,
        /// Number of each of the runs.
        attempt: u32,
        /// How.
        outcome: task::RunOutcome,
        /// Indices of the tasks.
        tasks: IndexSet,
        /// When the last of them ended.
        wall_ms: time::WallTimeMs,
    },
    /// A run may have had an effect, and nobody knows how it ended.
    RunUnknown {
        /// The run.
        run: task::RunId,
        /// Since when.
        wall_ms: time::WallTimeMs,
    },
    /// An operator said what is to become of a run whose end is unknown.
    UnknownResolved {
        /// The run.
        run: task::RunId,
        /// The operator's word.
        resolution: Resolution,
        /// When.
        wall_ms: time::WallTimeMs,
    },
    /// An operator marked a worker as draining, or took the mark back.
    WorkerDraining {
        /// The worker.
        worker: id::WorkerId,
        /// Revision of the mark, from 1.
        revision: u64,
        /// Whether the worker takes no new work.
        draining: bool,
    },
}

/// Tasks of one job on one worker; written as a pair.
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

/// What an operator says about a run whose end is unknown.
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
