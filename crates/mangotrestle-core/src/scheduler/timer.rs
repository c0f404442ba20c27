//! Things to do at a later time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::task;
use crate::time;

use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::queue::JobKey;

/// A run that is to be stopped.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PendingStop {
    /// The known run of a task.
    TaskRun { task: TaskKey, attempt: u32 },
    /// A run that no task knows.
    UnexpectedRun(task::RunId),
}

/// What a timer is for. A timer that fires late or for something gone has no effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A task's back-off is over.
    Retry(TaskKey),
    /// A stop may have to be sent again.
    ResendStop(PendingStop),
    /// Room was not made in time.
    ReleaseHold(TaskKey),
    /// A worker that refused a start may be tried again.
    ResumeWorker(WorkerKey),
    /// A quarantined worker may be probed.
    Probe(WorkerKey),
    /// A worker that was over its processors may still be.
    CheckOverload(WorkerKey),
    /// More services of a leaving worker may be moved.
    Drain(WorkerKey),
    /// A job may still fit no worker.
    CheckFits(JobKey),
    /// Warm windows open and close.
    WarmWindows,
}

/// Pending timers.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(time::TimeMs, Timer)>>,
}

impl Timers {
    pub(super) fn set(&mut self, at_ms: time::TimeMs, timer: Timer) {
        self.heap.push(Reverse((at_ms, timer)));
    }

    /// The next timer that is due.
    pub(super) fn pop_due(&mut self, now_ms: time::TimeMs) -> Option<Timer> {
        if self.next()? > now_ms {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    pub(super) fn next(&self) -> Option<time::TimeMs> {
        self.heap.peek().map(|Reverse((at_ms, _))| *at_ms)
    }
}
