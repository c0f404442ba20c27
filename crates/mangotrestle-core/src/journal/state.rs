//! State of a pool's jobs, folded from the pool's records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{IndexSet, Record, Resolution, WorkerTasks};
use crate::id;
use crate::job;
use crate::result_code;
use crate::task;
use crate::time;

/// Everything about a pool's jobs that has to be durable.
///
/// It does not determine where runs are in progress *now*: the workers' reports are authoritative
/// for that.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolState {
    jobs: BTreeMap<id::JobId, JobState>,
    #[serde(default)]
    drains: BTreeMap<id::WorkerId, Drain>,
}

/// Durable state of one job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The accepted specification; unset while only records about its runs have been folded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<job::JobSpec>,
    /// When it was accepted.
    #[serde(default)]
    pub accepted_wall_ms: time::WallTimeMs,
    /// Greatest revision so far.
    #[serde(default)]
    pub revision: u64,
    /// When it was cancelled, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_wall_ms: Option<time::WallTimeMs>,
    /// Latest decision on whether the job is parked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parking: Option<Parking>,
    /// Latest run of each task that has had one, by task index.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    tasks: BTreeMap<u32, TaskState>,
}

/// Reason and time of the parking of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Parked {
    /// Reason for the parking.
    pub code: result_code::ResultCode,
    /// When the job was parked.
    pub since_wall_ms: time::WallTimeMs,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Parking {
    revision: u64,
    parked: Option<Parked>,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct Drain {
    revision: u64,
    draining: bool,
}

/// The latest run of a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// Attempt number of the run, from one.
    pub attempt: u32,
    /// Worker of the run, if the record of its start has been folded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<id::WorkerId>,
    /// Phase of the run.
    pub phase: Phase,
    /// When the run reached this phase.
    pub wall_ms: time::WallTimeMs,
}

/// Phase of a run; later phases replace earlier ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The start of the run was recorded.
    Started,
    /// The end is unknown, and the task must not be run again unless an operator decides so.
    Unknown,
    /// The run ended.
    Ended(task::RunOutcome),
    /// An operator decided about a run whose end was unknown.
    Resolved(Resolution),
}

impl Phase {
    /// Returns the rank of the phase. Within one attempt, phases of higher rank replace lower ones.
    const fn rank(self) -> u8 {
        match self {
            Self::Started => 0,
            Self::Ended(task::RunOutcome::Lost) => 1,
            Self::Unknown => 2,
            Self::Ended(task::RunOutcome::NotRun) => 3,
            Self::Ended(task::RunOutcome::Stopped) => 4,
            Self::Ended(task::RunOutcome::Failed) => 5,
            Self::Ended(task::RunOutcome::Succeeded) => 6,
            Self::Resolved(Resolution::RunAgain) => 7,
            Self::Resolved(Resolution::Failed) => 8,
            Self::Resolved(Resolution::Succeeded) => 9,
        }
    }
}

impl TaskState {
    /// Merges another state of the same task into this one.
    fn merge(&mut self, other: &Self) {
        if other.attempt < self.attempt {
            return;
        }
        if other.attempt > self.attempt {
            self.clone_from(other);
            return;
        }
        if self.worker.is_none() {
            self.worker.clone_from(&other.worker);
        }
        match other.phase.rank().cmp(&self.phase.rank()) {
            std::cmp::Ordering::Greater => {
                self.phase = other.phase;
                self.wall_ms = other.wall_ms;
            }
            std::cmp::Ordering::Equal => self.wall_ms = self.wall_ms.min(other.wall_ms),
            std::cmp::Ordering::Less => {}
        }
    }

    /// Whether the task needs no further run, judged by this run.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(
            self.phase,
            Phase::Ended(task::RunOutcome::Succeeded)
                | Phase::Resolved(Resolution::Failed | Resolution::Succeeded)
        )
    }
}

impl JobState {
    /// Returns the latest run of a task, if it has had one.
    #[must_use]
    pub fn task(&self, index: u32) -> Option<&TaskState> {
        self.tasks.get(&index)
    }

    /// Returns the latest runs of tasks that have had one, in order of their indices.
    pub fn tasks(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.tasks.iter().map(|(&index, task)| (index, task))
    }

    /// Returns the reason and time of the parking if the job is parked.
    #[must_use]
    pub fn parked(&self) -> Option<Parked> {
        self.parking.and_then(|parking| parking.parked)
    }

    /// Whether no run of the job is in progress and none will be started: the job was cancelled and
    /// no run is open (started without a known end), or every task is done.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        let Some(spec) = &self.spec else {
            return false;
        };
        let has_open_run = self
            .tasks
            .values()
            .any(|task| matches!(task.phase, Phase::Started | Phase::Unknown));
        if self.cancelled_wall_ms.is_some() {
            return !has_open_run;
        }
        let final_tasks = self.tasks.values().filter(|task| task.is_final()).count();
        spec.kind != job::JobKind::Service && final_tasks >= spec.tasks as usize
    }

    /// Returns when the job or one of its tasks last changed.
    #[must_use]
    pub fn last_change_wall_ms(&self) -> time::WallTimeMs {
        let tasks = self.tasks.values().map(|task| task.wall_ms).max();
        tasks
            .into_iter()
            .chain(self.cancelled_wall_ms)
            .fold(self.accepted_wall_ms, std::cmp::Ord::max)
    }

    fn raise_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn set_parking(&mut self, parking: Parking) {
        self.raise_revision(parking.revision);
        if self
            .parking
            .is_none_or(|known| parking.revision > known.revision)
        {
            self.parking = Some(parking);
        }
    }

    fn merge_task(&mut self, index: u32, state: TaskState) {
        match self.tasks.get_mut(&index) {
            Some(known) => known.merge(&state),
            None => {
                self.tasks.insert(index, state);
            }
        }
    }
}

impl PoolState {
    /// Folds one record into the state.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::JobAccepted { spec, wall_ms } => self.accept(spec, *wall_ms),
            Record::JobCancelled {
                job,
                revision,
                wall_ms,
            } => self.cancel(job, *revision, *wall_ms),
            Record::JobParked {
                job,
                revision,
                code,
                wall_ms,
            } => self.park(job, *revision, *code, *wall_ms),
            Record::JobReleased { job, revision } => self.release(job, *revision),
            Record::RunStarted {
                run,
                worker,
                wall_ms,
            } => self.update_run(run, Some(worker), Phase::Started, *wall_ms),
            Record::RunEnded {
                run,
                outcome,
                wall_ms,
            } => self.update_run(run, None, Phase::Ended(*outcome), *wall_ms),
            Record::RunsStarted {
                job,
                attempt,
                on,
                wall_ms,
            } => {
                for WorkerTasks { worker, tasks } in on {
                    let phase = Phase::Started;
                    self.update_runs(job, *attempt, tasks, Some(worker), phase, *wall_ms);
                }
            }
            Record::RunsEnded {
                job,
                attempt,
                outcome,
                tasks,
                wall_ms,
            } => self.update_runs(job, *attempt, tasks, None, Phase::Ended(*outcome), *wall_ms),
            Record::RunUnknown { run, wall_ms } => {
                self.update_run(run, None, Phase::Unknown, *wall_ms);
            }
            Record::UnknownResolved {
                run,
                resolution,
                wall_ms,
            } => self.update_run(run, None, Phase::Resolved(*resolution), *wall_ms),
            Record::WorkerDraining {
                worker,
                revision,
                draining,
            } => self.set_drain(worker, *revision, *draining),
        }
    }

    /// Folds several records into the state.
    pub fn apply_all<'a>(&mut self, records: impl IntoIterator<Item = &'a Record>) {
        for record in records {
            self.apply(record);
        }
    }

    /// Returns the state of a job, if there is any.
    #[must_use]
    pub fn job(&self, job: &id::JobId) -> Option<&JobState> {
        self.jobs.get(job)
    }

    /// Returns all jobs, in order of their names.
    pub fn jobs(&self) -> impl Iterator<Item = (&id::JobId, &JobState)> {
        self.jobs.iter()
    }

    /// Returns the number of jobs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the workers that an operator marked as draining.
    pub fn draining_workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        let draining = self.drains.iter().filter(|(_, drain)| drain.draining);
        draining.map(|(worker, _)| worker)
    }

    /// Returns the revision of a worker's drain mark; 0 if it never had one.
    #[must_use]
    pub fn drain_revision(&self, worker: &id::WorkerId) -> u64 {
        self.drains.get(worker).map_or(0, |drain| drain.revision)
    }

    /// Removes up to `limit` jobs that finished before a time, and returns their names.
    pub fn forget_finished(&mut self, before: time::WallTimeMs, limit: usize) -> Vec<id::JobId> {
        // A job without a specification was removed earlier, and a late record has added it again.
        let is_done = |state: &JobState| state.spec.is_none() || state.is_finished();
        let is_old = |state: &JobState| is_done(state) && state.last_change_wall_ms() < before;
        let finished: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, state)| is_old(state))
            .map(|(job, _)| job.clone())
            .take(limit)
            .collect();
        self.forget(&finished);
        finished
    }

    /// Removes jobs.
    pub fn forget(&mut self, jobs: &[id::JobId]) {
        for job in jobs {
            self.jobs.remove(job);
        }
    }

    fn job_mut(&mut self, job: &id::JobId) -> &mut JobState {
        if !self.jobs.contains_key(job) {
            self.jobs.insert(job.clone(), JobState::default());
        }
        self.jobs.get_mut(job).expect("inserted above")
    }

    fn accept(&mut self, spec: &job::JobSpec, wall_ms: time::WallTimeMs) {
        let job = self.job_mut(&spec.id);
        job.raise_revision(1);
        if job.spec.is_none() {
            job.spec = Some(spec.clone());
            job.accepted_wall_ms = wall_ms;
        }
    }

    fn cancel(&mut self, job: &id::JobId, revision: u64, wall_ms: time::WallTimeMs) {
        let job = self.job_mut(job);
        job.raise_revision(revision);
        let known = job.cancelled_wall_ms.unwrap_or(wall_ms);
        job.cancelled_wall_ms = Some(known.min(wall_ms));
    }

    fn park(
        &mut self,
        job: &id::JobId,
        revision: u64,
        code: result_code::ResultCode,
        since_wall_ms: time::WallTimeMs,
    ) {
        let parked = Some(Parked {
            code,
            since_wall_ms,
        });
        self.job_mut(job).set_parking(Parking { revision, parked });
    }

    fn release(&mut self, job: &id::JobId, revision: u64) {
        let parking = Parking {
            revision,
            parked: None,
        };
        self.job_mut(job).set_parking(parking);
    }

    fn update_run(
        &mut self,
        run: &task::RunId,
        worker: Option<&id::WorkerId>,
        phase: Phase,
        wall_ms: time::WallTimeMs,
    ) {
        let index = run.task.index;
        let state = task_state(run.attempt, worker, phase, wall_ms);
        self.job_mut(&run.task.job).merge_task(index, state);
    }

    fn update_runs(
        &mut self,
        job: &id::JobId,
        attempt: u32,
        tasks: &IndexSet,
        worker: Option<&id::WorkerId>,
        phase: Phase,
        wall_ms: time::WallTimeMs,
    ) {
        let job = self.job_mut(job);
        for index in tasks.iter() {
            job.merge_task(index, task_state(attempt, worker, phase, wall_ms));
        }
    }

    fn set_drain(&mut self, worker: &id::WorkerId, revision: u64, draining: bool) {
        let known = self.drains.entry(worker.clone()).or_default();
        if revision > known.revision {
            *known = Drain { revision, draining };
        }
    }
}

fn task_state(
    attempt: u32,
    worker: Option<&id::WorkerId>,
    phase: Phase,
    wall_ms: time::WallTimeMs,
) -> TaskState {
    TaskState {
        attempt,
        worker: worker.cloned(),
        phase,
        wall_ms,
    }
}
