//! Coalesces records into fewer records with the same meaning.
//!
//! Starts and ends of many tasks of one job become one record with ranges of indices, and the start
//! of a run is left out when its end is among the records. A leader coalesces the records that it
//! appends, and in particular those that it has to buffer while the store is unavailable: the
//! memory then grows with the number of jobs and running tasks, not with the number of runs since
//! the store became unavailable.

use super::index_set::{IndexRange, IndexSet};
use super::record::{Record, WorkerTasks};
use crate::collections::FastMap;
use crate::id;
use crate::task;
use crate::time;

/// A job and an attempt number, which a group of its runs share.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct JobAttempt {
    job: id::JobId,
    attempt: u32,
}

/// Task indices of gathered runs, and the time of the latest of them.
#[derive(Debug, Default)]
struct GatheredRuns {
    ranges: Vec<IndexRange>,
    wall_ms: time::WallTimeMs,
}

impl GatheredRuns {
    fn add(&mut self, ranges: &[IndexRange], wall_ms: time::WallTimeMs) {
        self.ranges.extend_from_slice(ranges);
        self.wall_ms = self.wall_ms.max(wall_ms);
    }
}

/// Runs grouped by what they have in common, and all records that are not about starts or ends.
#[derive(Debug, Default)]
struct RecordGroups {
    started: FastMap<(JobAttempt, id::WorkerId), GatheredRuns>,
    ended: FastMap<(JobAttempt, task::RunOutcome), GatheredRuns>,
    other: Vec<Record>,
}

impl RecordGroups {
    fn add(&mut self, record: Record) {
        match record {
            Record::RunStarted {
                run,
                worker,
                wall_ms,
            } => {
                let (attempt, range) = split_run(run);
                self.add_started(attempt, worker, &[range], wall_ms);
            }
            Record::RunsStarted {
                job,
                attempt,
                on,
                wall_ms,
            } => {
                let attempt = JobAttempt { job, attempt };
                for WorkerTasks { worker, tasks } in on {
                    self.add_started(attempt.clone(), worker, tasks.ranges(), wall_ms);
                }
            }
            Record::RunEnded {
                run,
                outcome,
                wall_ms,
            } => {
                let (attempt, range) = split_run(run);
                self.add_ended(attempt, outcome, &[range], wall_ms);
            }
            Record::RunsEnded {
                job,
                attempt,
                outcome,
                tasks,
                wall_ms,
            } => self.add_ended(
                JobAttempt { job, attempt },
                outcome,
                tasks.ranges(),
                wall_ms,
            ),
            other => self.other.push(other),
        }
    }

    fn add_started(
        &mut self,
        attempt: JobAttempt,
        worker: id::WorkerId,
        ranges: &[IndexRange],
        wall_ms: time::WallTimeMs,
    ) {
        let group = self.started.entry((attempt, worker)).or_default();
        group.add(ranges, wall_ms);
    }

    fn add_ended(
        &mut self,
        attempt: JobAttempt,
        outcome: task::RunOutcome,
        ranges: &[IndexRange],
        wall_ms: time::WallTimeMs,
    ) {
        let group = self.ended.entry((attempt, outcome)).or_default();
        group.add(ranges, wall_ms);
    }

    fn into_records(self) -> Vec<Record> {
        let ended = ended_groups(self.ended);
        let started = started_groups(self.started, &ended_indices(&ended));
        let mut records = self.other;
        records.extend(started.into_iter().map(StartedGroup::into_record));
        records.extend(ended.into_iter().map(EndedGroup::into_record));
        records
    }
}

/// Started runs of one job and attempt number, by worker.
struct StartedGroup {
    attempt: JobAttempt,
    on: Vec<WorkerTasks>,
    wall_ms: time::WallTimeMs,
}

/// Runs of one job and attempt number that ended with the same outcome.
struct EndedGroup {
    attempt: JobAttempt,
    outcome: task::RunOutcome,
    tasks: IndexSet,
    wall_ms: time::WallTimeMs,
}

fn ended_groups(
    gathered: FastMap<(JobAttempt, task::RunOutcome), GatheredRuns>,
) -> Vec<EndedGroup> {
    let mut groups: Vec<_> = gathered
        .into_iter()
        .map(|((attempt, outcome), gathered)| EndedGroup {
            attempt,
            outcome,
            tasks: IndexSet::from_ranges(gathered.ranges),
            wall_ms: gathered.wall_ms,
        })
        .collect();
    groups.sort_by(|a, b| a.attempt.cmp(&b.attempt));
    groups
}

/// Returns the tasks whose runs ended, with any outcome.
fn ended_indices(ended: &[EndedGroup]) -> FastMap<JobAttempt, IndexSet> {
    let mut ranges: FastMap<JobAttempt, Vec<IndexRange>> = FastMap::default();
    for group in ended {
        let attempt_ranges = ranges.entry(group.attempt.clone()).or_default();
        attempt_ranges.extend_from_slice(group.tasks.ranges());
    }
    ranges
        .into_iter()
        .map(|(attempt, ranges)| (attempt, IndexSet::from_ranges(ranges)))
        .collect()
}

fn started_groups(
    gathered: FastMap<(JobAttempt, id::WorkerId), GatheredRuns>,
    ended_indices: &FastMap<JobAttempt, IndexSet>,
) -> Vec<StartedGroup> {
    let mut gathered: Vec<_> = gathered.into_iter().collect();
    gathered.sort_by(|a, b| a.0.cmp(&b.0));
    let mut groups: Vec<StartedGroup> = Vec::new();
    for ((attempt, worker), gathered) in gathered {
        let mut tasks = IndexSet::from_ranges(gathered.ranges);
        if let Some(ended) = ended_indices.get(&attempt) {
            tasks = tasks.difference(ended);
        }
        if tasks.is_empty() {
            continue;
        }
        let on = WorkerTasks { worker, tasks };
        match groups.last_mut() {
            Some(group) if group.attempt == attempt => {
                group.on.push(on);
                group.wall_ms = group.wall_ms.max(gathered.wall_ms);
            }
            _ => groups.push(StartedGroup {
                attempt,
                on: vec![on],
                wall_ms: gathered.wall_ms,
            }),
        }
    }
    groups
}

impl StartedGroup {
    fn into_record(self) -> Record {
        if let [on] = self.on.as_slice()
            && let Some(index) = on.tasks.single()
        {
            return Record::RunStarted {
                run: join_run(self.attempt, index),
                worker: on.worker.clone(),
                wall_ms: self.wall_ms,
            };
        }
        Record::RunsStarted {
            job: self.attempt.job,
            attempt: self.attempt.attempt,
            on: self.on,
            wall_ms: self.wall_ms,
        }
    }
}

impl EndedGroup {
    fn into_record(self) -> Record {
        if let Some(index) = self.tasks.single() {
            return Record::RunEnded {
                run: join_run(self.attempt, index),
                outcome: self.outcome,
                wall_ms: self.wall_ms,
            };
        }
        Record::RunsEnded {
            job: self.attempt.job,
            attempt: self.attempt.attempt,
            outcome: self.outcome,
            tasks: self.tasks,
            wall_ms: self.wall_ms,
        }
    }
}

fn split_run(run: task::RunId) -> (JobAttempt, IndexRange) {
    let attempt = JobAttempt {
        job: run.task.job,
        attempt: run.attempt,
    };
    (attempt, IndexRange::from_index(run.task.index))
}

fn join_run(attempt: JobAttempt, index: u32) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: attempt.job,
            index,
        },
        attempt: attempt.attempt,
    }
}

/// Coalesces records into fewer ones that fold into the same state, with two exceptions: runs that
/// share a record all get the time of the latest of them, and a run that both started and ended
/// loses its worker.
///
/// # Complexity
///
/// Linear in the number of records and ranges, plus sorting.
#[must_use]
pub fn coalesce(records: Vec<Record>) -> Vec<Record> {
    let mut groups = RecordGroups::default();
    for record in records {
        groups.add(record);
    }
    groups.into_records()
}

/// Returns an estimate of the size of records: one for each record and each index range. A record of
/// several started runs counts once for each worker.
#[must_use]
pub fn weight(records: &[Record]) -> usize {
    let weight_of_worker = |on: &WorkerTasks| 1 + on.tasks.ranges().len();
    let weight_of_record = |record: &Record| match record {
        Record::RunsStarted { on, .. } => on.iter().map(weight_of_worker).sum(),
        Record::RunsEnded { tasks, .. } => 1 + tasks.ranges().len(),
        _ => 1,
    };
    records.iter().map(weight_of_record).sum()
}
