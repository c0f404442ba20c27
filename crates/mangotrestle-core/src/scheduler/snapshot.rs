//! Snapshots of jobs and their tasks, from which a new leader restores the scheduler.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::job;
use crate::result_code;
use crate::time;

/// State of a task that can be restored.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskSnapshotState {
    /// Waits for a start.
    Waiting,
    /// A run was started on a worker and is not known to have ended.
    Started {
        /// The worker.
        worker: id::WorkerId,
    },
    /// Succeeded.
    Succeeded,
    /// Failed and is not retried automatically.
    Failed,
    /// Was stopped and is not started again unless its replica is wanted again.
    Stopped,
    /// Outcome unknown: it may have had an effect, so it runs again only if an operator asks for
    /// it.
    Unknown,
}

/// A task that does not wait for its first start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// Index of the task.
    pub index: u32,
    /// Highest attempt number so far.
    pub attempt: u32,
    /// Its state.
    pub state: TaskSnapshotState,
}

/// A job with its tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The job.
    pub spec: Arc<job::JobSpec>,
    /// When it was accepted.
    pub accepted_wall_ms: time::WallTimeMs,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Why it is parked, if it is.
    pub parked: Option<result_code::ResultCode>,
    /// Index of the first task in this pool; above zero for extra replicas in place of replicas
    /// lost in another zone.
    pub first_index: u32,
    /// Number of tasks in this pool.
    pub tasks: u32,
    /// The tasks that do not wait for their first start, by ascending index.
    pub started: Vec<TaskSnapshot>,
}
