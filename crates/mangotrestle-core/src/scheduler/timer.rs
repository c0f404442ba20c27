//! Timers of the scheduler.

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
    /// The current run of a task.
    TaskRun { task: TaskKey, attempt: u32 },
    /// A run that is not the current run of any task.
    UnexpectedRun(task::RunId),
}

/// Purpose of a timer. A timer whose purpose no longer exists when it fires has no effect.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Timer {
    /// A task's back-off is over.
    Retry(TaskKey),
    /// A stop may have to be sent again.
    ResendStop(PendingStop),
    /// The capacity for an assigned task was not freed in time.
    ReleaseHold(TaskKey),
    /// The pause of a worker that refused a start is over.
    ResumeWorker(WorkerKey),
    /// A quarantined worker may be probed.
    Probe(WorkerKey),
    /// The processors of a worker may still be overloaded.
    CheckOverload(WorkerKey),
    /// The next runs may be moved off a leaving worker.
    Drain(WorkerKey),
    /// The check whether a waiting job could fit on the pool's workers is due.
    CheckFits(JobKey),
    /// The check of the warm windows is due.
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

    /// Removes and returns the earliest timer, if it is due.
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
