//! Converts the journaled state and the workers' lists to the scheduler's input for recovery.

use std::sync::Arc;

use crate::id;
use crate::journal;
use crate::lease::message;
use crate::scheduler;
use crate::task;

/// Returns the snapshot from which the scheduler restores a job; `None` if the journal does not
/// hold the job's acceptance.
pub(super) fn job_snapshot(
    _job: &id::JobId,
    state: &journal::JobState,
) -> Option<scheduler::JobSnapshot> {
    let spec = state.spec.as_ref()?;
    Some(scheduler::JobSnapshot {
        spec: Arc::new(spec.clone()),
        accepted_wall_ms: state.accepted_wall_ms,
        cancelled: state.cancelled_wall_ms.is_some(),
        parked: state.parked().map(|parked| parked.code),
        first_index: 0,
        tasks: spec.tasks,
        started: state
            .tasks()
            .map(|(index, task)| task_snapshot(index, task, spec.idempotent))
            .collect(),
    })
}

fn task_snapshot(
    index: u32,
    task: &journal::TaskState,
    idempotent: bool,
) -> scheduler::TaskSnapshot {
    scheduler::TaskSnapshot {
        index,
        attempt: task.attempt,
        state: snapshot_state(task, idempotent),
    }
}

fn snapshot_state(task: &journal::TaskState, idempotent: bool) -> scheduler::TaskSnapshotState {
    use journal::Phase;
    use scheduler::TaskSnapshotState as State;
    match task.phase {
        Phase::Started => match &task.worker {
            Some(worker) => State::Started {
                worker: worker.clone(),
            },
            None => State::Unknown,
        },
        Phase::Unknown => State::Unknown,
        Phase::Ended(task::RunOutcome::Succeeded)
        | Phase::Resolved(journal::Resolution::Succeeded) => State::Succeeded,
        Phase::Resolved(journal::Resolution::Failed) => State::Failed,
        // A non-idempotent run may have had an effect, however it ended.
        Phase::Ended(task::RunOutcome::Failed) if !idempotent => State::Failed,
        Phase::Ended(task::RunOutcome::Stopped | task::RunOutcome::Lost) if !idempotent => {
            State::Unknown
        }
        // The scheduler decides whether a failed task runs again. It counts failures from zero
        // after a change of leader.
        Phase::Ended(
            task::RunOutcome::Failed
            | task::RunOutcome::NotRun
            | task::RunOutcome::Stopped
            | task::RunOutcome::Lost,
        )
        | Phase::Resolved(journal::Resolution::RunAgain) => State::Waiting,
    }
}

/// Converts a running task that a worker listed to the scheduler's form.
pub(super) fn listed_run(running: message::RunningTask) -> scheduler::ListedRun {
    scheduler::ListedRun {
        run: running.run,
        need: running.need,
    }
}
