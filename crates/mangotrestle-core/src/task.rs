//! Identifiers of tasks and runs, and outcomes of runs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;

/// Identifier of a task. At most one run of a task may be active at any time.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: id::JobId,
    /// Index of the task in its job, starting at zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Identifier of a run, which is one execution of a task. Each start of a task has a higher attempt
/// number than the previous one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Attempt number of the run, starting at one.
    pub attempt: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.attempt)
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The task succeeded.
    Succeeded,
    /// The task failed.
    Failed,
    /// The worker refused the start; nothing ran.
    NotRun,
    /// The run was stopped on command; a checkpoint may exist.
    Stopped,
    /// The lease lapsed, or the worker was lost. The work may have had an effect.
    Lost,
}
