//! Journal records as a pool makes and reads them.

use std::sync::Arc;

use crate::id;
use crate::journal;
use crate::lease::message;
use crate::scheduler;
use crate::task;
use crate::time;

/// The record of a start.
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

/// The record of an end.
pub(super) fn run_ended(end: &message::EndedRun, wall_ms: time::WallTimeMs) -> journal::Record {
    journal::Record::RunEnded {
        run: end.run.clone(),
        outcome: end.outcome,
        wall_ms,
    }
}

/// The record of a start that was refused.
pub(super) fn run_not_run(run: &task::RunId, wall_ms: time::WallTimeMs) -> journal::Record {
    let outcome = task::RunOutcome::NotRun;
    journal::Record::RunEnded {
        run: run.clone(),
        outcome,
        wall_ms,
    }
}

/// Whether a record should not wait for a fuller batch.
pub(super) fn is_urgent(record: &journal::Record) -> bool {
    match record {
        journal::Record::JobAccepted { spec, .. } => spec.urgency == crate::job::Urgency::Urgent,
        _ => false,
    }
}

/// Whether an accepted command was folded in before; commands may come again from the inbox.
pub(super) fn is_known(state: &journal::PoolState, record: &journal::Record) -> bool {
    let job_revision = |job: &id::JobId| state.job(job).map_or(0, |known| known.revision);
    match record {
        journal::Record::JobAccepted { spec, .. } => state
            .job(&spec.id)
            .is_some_and(|known| known.spec.is_some()),
        journal::Record::JobCancelled { job, .. } => state
            .job(job)
            .is_some_and(|known| known.cancelled_wall_ms.is_some()),
        journal::Record::JobReleased { job, revision } => job_revision(job) >= *revision,
        journal::Record::WorkerDraining {
            worker, revision, ..
        } => state.drain_revision(worker) >= *revision,
        _ => false,
    }
}

/// Whether a run of this number is known to be another worker's. Two leaders may have given the
/// same number to runs on different workers; the end of the earlier one says nothing about the
/// later.
pub(super) fn is_of_another_worker(
    state: &journal::PoolState,
    worker: &id::WorkerId,
    run: &task::RunId,
) -> bool {
    let job = state.job(&run.task.job);
    let Some(known) = job.and_then(|job| job.task(run.task.index)) else {
        return false;
    };
    let same_number = known.attempt == run.attempt;
    same_number && known.worker.as_ref().is_some_and(|known| known != worker)
}

/// A release with a revision above all that the leader gave to the job by itself, such as when it
/// parked it; those do not show in the row that the operator's command changed.
pub(super) fn renumbered(state: &journal::PoolState, record: journal::Record) -> journal::Record {
    let journal::Record::JobReleased { job, revision } = record else {
        return record;
    };
    let known = state.job(&job).map_or(0, |known| known.revision);
    let revision = revision.max(known + 1);
    journal::Record::JobReleased { job, revision }
}

/// Records of an operator's word that the unsettled tasks of a released job may run again.
pub(super) fn resolutions(
    state: &journal::PoolState,
    record: &journal::Record,
    wall_ms: time::WallTimeMs,
) -> Vec<journal::Record> {
    let journal::Record::JobReleased { job, .. } = record else {
        return Vec::new();
    };
    let Some(known) = state.job(job) else {
        return Vec::new();
    };
    let unsettled = known.tasks().filter(|(_, state)| is_unsettled(state.phase));
    let resolved = unsettled.map(|(index, state)| journal::Record::UnknownResolved {
        run: task::RunId {
            task: task::TaskId {
                job: job.clone(),
                index,
            },
            attempt: state.attempt,
        },
        resolution: journal::Resolution::RunAgain,
        wall_ms,
    });
    resolved.collect()
}

const fn is_unsettled(phase: journal::Phase) -> bool {
    matches!(
        phase,
        journal::Phase::Unknown
            | journal::Phase::Ended(
                task::RunOutcome::Failed | task::RunOutcome::NotRun | task::RunOutcome::Lost
            )
    )
}

/// What the scheduler has to hear of an accepted command.
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
