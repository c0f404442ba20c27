//! Identity of tasks and of their runs, and how a run ends.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;

/// One task of a job. At any time at most one run of a task may be going on.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: id::JobId,
    /// Index of the task in its job, from zero.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// One run of a task. Each start of a task has a greater attempt number than the one before.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run, from one.
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
    /// The task did its work.
    Succeeded,
    /// The task ended with an error.
    Failed,
    /// The worker refused the start; nothing ran.
    NotRun,
    /// The run was stopped on command; a checkpoint may exist.
    Stopped,
    /// The lease lapsed, or the worker was lost. The work may have had an effect.
    Lost,
}
