//! Builds the pool's journal records and interprets accepted ones.

use std::sync::Arc;

use crate::id;
use crate::journal;
use crate::lease::message;
use crate::scheduler;
use crate::task;
use crate::time;

/// Returns the record of a run's start.
pub(super) fn run_started(
    run: &task::RunId,
    worker: &id::WorkerId,
    wall_ms: time::WallTimeMs,
) -> journal::Record {
    journal::Record::RunStarted {
        run: run.clone(),
        worker: worker.clone(),
        wall_ms,
    }
}

/// Returns the record of a run's end.
pub(super) fn run_ended(end: &message::EndedRun, wall_ms: time::WallTimeMs) -> journal::Record {
    journal::Record::RunEnded {
        run: end.run.clone(),
        outcome: end.outcome,
        wall_ms,
    }
}

/// Returns the record of a run that provably did not run.
pub(super) fn run_ended_as_not_run(
    run: &task::RunId,
    wall_ms: time::WallTimeMs,
) -> journal::Record {
    let outcome = task::RunOutcome::NotRun;
    journal::Record::RunEnded {
        run: run.clone(),
        outcome,
        wall_ms,
    }
}

/// Whether a record is written at once instead of waiting for a fuller batch.
pub(super) fn is_urgent(record: &journal::Record) -> bool {
    match record {
        journal::Record::JobAccepted { spec, .. } => spec.urgency == crate::job::Urgency::Urgent,
        _ => false,
    }
}

/// Whether an accepted command was applied before. The inbox may deliver a command more than once.
pub(super) fn is_already_applied(state: &journal::PoolState, record: &journal::Record) -> bool {
    let job_revision = |job: &id::JobId| state.job(job).map_or(0, |job_state| job_state.revision);
    match record {
        journal::Record::JobAccepted { spec, .. } => state
            .job(&spec.id)
            .is_some_and(|job_state| job_state.spec.is_some()),
        journal::Record::JobCancelled { job, .. } => state
            .job(job)
            .is_some_and(|job_state| job_state.cancelled_wall_ms.is_some()),
        journal::Record::JobReleased { job, revision } => job_revision(job) >= *revision,
        journal::Record::WorkerDraining {
            worker, revision, ..
        } => state.drain_revision(worker) >= *revision,
        _ => false,
    }
}

/// Whether the state records this attempt as a run on another worker. Two leaders may have given
/// the same attempt number to runs on different workers; the end of the earlier run says nothing
/// about the later one.
pub(super) fn belongs_to_other_worker(
    state: &journal::PoolState,
    worker: &id::WorkerId,
    run: &task::RunId,
) -> bool {
    let job = state.job(&run.task.job);
    let Some(recorded) = job.and_then(|job| job.task(run.task.index)) else {
        return false;
    };
    let same_attempt = recorded.attempt == run.attempt;
    same_attempt
        && recorded
            .worker
            .as_ref()
            .is_some_and(|recorded_worker| recorded_worker != worker)
}

/// Returns the latest runs of a job's tasks that have ended, with their outcomes.
pub(super) fn ended_runs(
    state: &journal::PoolState,
    job: &id::JobId,
) -> Vec<(task::RunId, task::RunOutcome)> {
    let tasks = state
        .job(job)
        .into_iter()
        .flat_map(journal::JobState::tasks);
    let ended = tasks.filter_map(|(index, task)| {
        let journal::Phase::Ended(outcome) = task.phase else {
            return None;
        };
        let run = task::RunId {
            task: task::TaskId {
                job: job.clone(),
                index,
            },
            attempt: task.attempt,
        };
        Some((run, outcome))
    });
    ended.collect()
}

/// Returns a release with a revision above the job's current one, and any other record unchanged.
/// The leader also raises the revision, for example when it parks the job. The row that the
/// operator's command changed does not show that, so the release may carry too low a revision.
pub(super) fn with_new_revision(
    state: &journal::PoolState,
    record: journal::Record,
) -> journal::Record {
    let journal::Record::JobReleased { job, revision } = record else {
        return record;
    };
    let current = state.job(&job).map_or(0, |job_state| job_state.revision);
    let revision = revision.max(current + 1);
    journal::Record::JobReleased { job, revision }
}

/// Returns the records by which the unsettled tasks of a released job may run again.
pub(super) fn resolutions(
    state: &journal::PoolState,
    record: &journal::Record,
    wall_ms: time::WallTimeMs,
) -> Vec<journal::Record> {
    let journal::Record::JobReleased { job, .. } = record else {
        return Vec::new();
    };
    let Some(job_state) = state.job(job) else {
        return Vec::new();
    };
    let unsettled = job_state
        .tasks()
        .filter(|(_, task)| is_unsettled(task.phase));
    let resolved = unsettled.map(|(index, task)| journal::Record::UnknownResolved {
        run: task::RunId {
            task: task::TaskId {
                job: job.clone(),
                index,
            },
            attempt: task.attempt,
        },
        resolution: journal::Resolution::RunAgain,
        wall_ms,
    });
    resolved.collect()
}

/// Whether a task in this phase runs again after a release of its job: its run failed, did not run
/// or was lost, or its outcome is unknown.
const fn is_unsettled(phase: journal::Phase) -> bool {
    matches!(
        phase,
        journal::Phase::Unknown
            | journal::Phase::Ended(
                task::RunOutcome::Failed | task::RunOutcome::NotRun | task::RunOutcome::Lost
            )
    )
}

/// Returns the scheduler event for an accepted command, if it has one.
pub(super) fn scheduler_event(record: &journal::Record) -> Option<scheduler::SchedulerEvent> {
    match record {
        journal::Record::JobAccepted { spec, wall_ms } => {
            Some(scheduler::SchedulerEvent::JobAccepted {
                spec: Arc::new(spec.clone()),
                accepted_wall_ms: *wall_ms,
            })
        }
        journal::Record::JobCancelled { job, .. } => {
            Some(scheduler::SchedulerEvent::JobCancelled { job: job.clone() })
        }
        _ => None,
    }
}
