//! Life cycle of a task.
//!
//! A record stores its stage as a plain value. To change it, the code requests the record in an
//! expected stage and gets a [`Task`] typed by that stage, which offers only the transitions
//! allowed from there. So a task of unknown outcome can return to the queue only by
//! [`Task::retry`], and a task that may be running cannot be started.

use std::marker::PhantomData;

use super::index::WorkerKey;

/// Stored in place of a worker key when a record has no worker.
const NO_WORKER: WorkerKey = WorkerKey::MAX;

/// Stage of a task, as stored.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Stage {
    /// In the queue, unless its job is parked, cancelled or recovering.
    Waiting,
    /// Returns to the queue after a delay.
    BackingOff,
    /// Assigned to a worker on which runs are being stopped for it.
    Assigned,
    /// Started on a worker that has not confirmed it yet.
    Starting,
    /// Runs on a worker.
    Running,
    /// Its run is being stopped.
    Stopping,
    Succeeded,
    Failed,
    Stopped,
    /// Its run may have had an effect, and how it ended is not known.
    Unknown,
}

/// A task as it is stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TaskRecord {
    worker: WorkerKey,
    attempt: u32,
    stage: Stage,
    preemptions: u8,
    failures: u8,
}

impl TaskRecord {
    pub(super) const fn new() -> Self {
        Self {
            worker: NO_WORKER,
            attempt: 0,
            stage: Stage::Waiting,
            preemptions: 0,
            failures: 0,
        }
    }

    /// Returns a record in the stage given by a snapshot.
    pub(super) const fn restored(stage: Stage, attempt: u32, worker: Option<WorkerKey>) -> Self {
        Self {
            worker: match worker {
                Some(worker) => worker,
                None => NO_WORKER,
            },
            attempt,
            stage,
            preemptions: 0,
            failures: 0,
        }
    }

    pub(super) const fn stage(&self) -> Stage {
        self.stage
    }

    pub(super) const fn attempt(&self) -> u32 {
        self.attempt
    }

    pub(super) const fn preemptions(&self) -> u8 {
        self.preemptions
    }

    pub(super) const fn failures(&self) -> u8 {
        self.failures
    }

    pub(super) fn worker(&self) -> Option<WorkerKey> {
        (self.worker != NO_WORKER).then_some(self.worker)
    }

    /// Whether the task has a run that may still be active.
    pub(super) const fn is_active(&self) -> bool {
        matches!(
            self.stage,
            Stage::Starting | Stage::Running | Stage::Stopping
        )
    }

    fn into_task_if<S>(self, matches: bool) -> Option<Task<S>> {
        matches.then_some(Task {
            record: self,
            stage: PhantomData,
        })
    }

    pub(super) fn waiting(self) -> Option<Task<Waiting>> {
        self.into_task_if(self.stage == Stage::Waiting)
    }

    pub(super) fn backing_off(self) -> Option<Task<BackingOff>> {
        self.into_task_if(self.stage == Stage::BackingOff)
    }

    pub(super) fn assigned(self) -> Option<Task<Assigned>> {
        self.into_task_if(self.stage == Stage::Assigned)
    }

    pub(super) fn starting(self) -> Option<Task<Starting>> {
        self.into_task_if(self.stage == Stage::Starting)
    }

    pub(super) fn active(self) -> Option<Task<Active>> {
        self.into_task_if(self.is_active())
    }

    pub(super) fn stopped(self) -> Option<Task<Stopped>> {
        self.into_task_if(self.stage == Stage::Stopped)
    }

    pub(super) fn failed(self) -> Option<Task<Failed>> {
        self.into_task_if(self.stage == Stage::Failed)
    }

    pub(super) fn unknown(self) -> Option<Task<Unknown>> {
        self.into_task_if(self.stage == Stage::Unknown)
    }
}

macro_rules! stages {
    ($($(#[$doc:meta])* $name:ident),*) => {
        $($(#[$doc])* #[derive(Clone, Copy, Debug)] pub(super) enum $name {})*
    };
}

stages!(
    Waiting,
    BackingOff,
    Assigned,
    Starting,
    /// Starting, running or stopping.
    Active,
    Running,
    Succeeded,
    Failed,
    Stopped,
    Unknown
);

/// A task that is known to be in stage `S`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Task<S> {
    record: TaskRecord,
    stage: PhantomData<S>,
}

impl<S> Task<S> {
    pub(super) fn into_record(self) -> TaskRecord {
        self.record
    }

    fn enter_stage<T>(mut self, stage: Stage) -> Task<T> {
        self.record.stage = stage;
        Task {
            record: self.record,
            stage: PhantomData,
        }
    }

    fn enter_stage_without_worker<T>(mut self, stage: Stage) -> Task<T> {
        self.record.worker = NO_WORKER;
        self.enter_stage(stage)
    }
}

impl Task<Waiting> {
    /// Starts the task on a worker under a new attempt number, not below `attempt_floor`.
    pub(super) fn start(mut self, worker: WorkerKey, attempt_floor: u32) -> Task<Starting> {
        self.record.worker = worker;
        self.record.attempt = self.record.attempt.saturating_add(1).max(attempt_floor);
        self.enter_stage(Stage::Starting)
    }

    /// Assigns the task to a worker on which runs are being stopped for it.
    pub(super) fn assign(mut self, worker: WorkerKey) -> Task<Assigned> {
        self.record.worker = worker;
        self.enter_stage(Stage::Assigned)
    }

    pub(super) fn stop(self) -> Task<Stopped> {
        self.enter_stage_without_worker(Stage::Stopped)
    }

    pub(super) fn back_off(self) -> Task<BackingOff> {
        self.enter_stage_without_worker(Stage::BackingOff)
    }

    /// Adopts a run that a worker lists and that was not recorded.
    pub(super) fn adopt(mut self, worker: WorkerKey, attempt: u32) -> Task<Running> {
        self.record.worker = worker;
        self.record.attempt = attempt;
        self.enter_stage(Stage::Running)
    }

    /// Adopts a run that a worker reports as ended and that was not recorded.
    pub(super) fn adopt_ended(mut self, attempt: u32) -> Task<Active> {
        self.record.attempt = attempt;
        self.enter_stage(Stage::Running)
    }
}

impl Task<BackingOff> {
    pub(super) fn ready(self) -> Task<Waiting> {
        self.enter_stage(Stage::Waiting)
    }
}

impl Task<Assigned> {
    pub(super) fn release(self) -> Task<Waiting> {
        self.enter_stage_without_worker(Stage::Waiting)
    }
}

impl Task<Starting> {
    pub(super) fn confirm(self) -> Task<Running> {
        self.enter_stage(Stage::Running)
    }
}

impl Task<Active> {
    pub(super) fn stop(self) -> Task<Active> {
        self.enter_stage(Stage::Stopping)
    }

    pub(super) fn count_preemption(mut self) -> Self {
        self.record.preemptions = self.record.preemptions.saturating_add(1);
        self
    }

    pub(super) fn count_failure(mut self) -> Self {
        self.record.failures = self.record.failures.saturating_add(1);
        self
    }

    /// Returns the task to the queue. Its run must have ended.
    pub(super) fn requeue(self) -> Task<Waiting> {
        self.enter_stage_without_worker(Stage::Waiting)
    }

    pub(super) fn succeed(self) -> Task<Succeeded> {
        self.enter_stage_without_worker(Stage::Succeeded)
    }

    pub(super) fn fail(self) -> Task<Failed> {
        self.enter_stage_without_worker(Stage::Failed)
    }

    pub(super) fn end_stopped(self) -> Task<Stopped> {
        self.enter_stage_without_worker(Stage::Stopped)
    }

    /// Marks the outcome as unknown. The record keeps the worker, which may still report it.
    pub(super) fn mark_unknown(self) -> Task<Unknown> {
        self.enter_stage(Stage::Unknown)
    }
}

impl Task<Stopped> {
    /// Returns a stopped replica that is wanted again to the queue.
    pub(super) fn resume(self) -> Task<Waiting> {
        self.enter_stage(Stage::Waiting)
    }
}

impl Task<Failed> {
    /// Returns the task to the queue at an operator's request and resets its failures.
    pub(super) fn retry(mut self) -> Task<Waiting> {
        self.record.failures = 0;
        self.enter_stage(Stage::Waiting)
    }
}

impl Task<Unknown> {
    /// Returns the task to the queue, after an operator asked for it or the worker turned out not
    /// to run it.
    pub(super) fn retry(self) -> Task<Waiting> {
        self.enter_stage_without_worker(Stage::Waiting)
    }

    /// Marks the task as running, after its worker listed the run.
    pub(super) fn confirm_running(self) -> Task<Running> {
        self.enter_stage(Stage::Running)
    }

    pub(super) fn succeed(self) -> Task<Succeeded> {
        self.enter_stage_without_worker(Stage::Succeeded)
    }

    pub(super) fn fail(self) -> Task<Failed> {
        self.enter_stage_without_worker(Stage::Failed)
    }
}
