//! What has to outlive a leader: the state of each job and its tasks, as records fold into it.

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
    /// A run was started on a worker and has no known end.
    Started {
        /// Where.
        worker: id::WorkerId,
    },
    /// Did its work.
    Succeeded,
    /// Was given up.
    Failed,
    /// Was stopped for good.
    Stopped,
    /// May have had an effect; never runs again without an operator's word.
    Unknown,
}

/// A task that is not simply waiting for its first run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// Index of the task.
    pub index: u32,
    /// Greatest attempt number so far.
    pub attempt: u32,
    /// State.
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
    /// Index of the first task here; above zero for replicas that make up for another zone's.
    pub first_index: u32,
    /// Number of tasks here.
    pub tasks: u32,
    /// The tasks that are not simply waiting for their first run, by rising index.
    pub started: Vec<TaskSnapshot>,
}
