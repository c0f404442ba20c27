//! Fewer records that say the same.
//!
//! Starts and ends of many tasks of one job become one record with ranges of indices, and the
//! start of a run is left out when its end is among the records. A leader coalesces what it
//! appends, and above all what it has to hold while the store is down: the memory then grows with
//! the jobs and the running tasks, and not with everything that ran meanwhile.

use super::index_set::{IndexRange, IndexSet};
use super::record::{Record, WorkerTasks};
use crate::collections::FastMap;
use crate::id;
use crate::task;
use crate::time;

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Attempt {
    job: id::JobId,
    attempt: u32,
}

#[derive(Debug, Default)]
struct Gathered {
    ranges: Vec<IndexRange>,
    wall_ms: time::WallTimeMs,
}

impl Gathered {
    fn add(&mut self, ranges: &[IndexRange], wall_ms: time::WallTimeMs) {
        self.ranges.extend_from_slice(ranges);
        self.wall_ms = self.wall_ms.max(wall_ms);
    }
}

#[derive(Debug, Default)]
struct Groups {
    started: FastMap<(Attempt, id::WorkerId), Gathered>,
    ended: FastMap<(Attempt, task::RunOutcome), Gathered>,
    other: Vec<Record>,
}

impl Groups {
    fn add(&mut self, record: Record) {
        match record {
            Record::RunStarted {
                run,
                worker,
                wall_ms,
            } => {
                let (attempt, range) = split(run);
                self.start(attempt, worker, &[range], wall_ms);
            }
            Record::RunsStarted {
                job,
                attempt,
                on,
                wall_ms,
            } => {
                let attempt = Attempt { job, attempt };
                for WorkerTasks { worker, tasks } in on {
                    self.start(attempt.clone(), worker, tasks.ranges(), wall_ms);
                }
            }
            Record::RunEnded {
                run,
                outcome,
                wall_ms,
            } => {
                let (attempt, range) = split(run);
                self.end(attempt, outcome, &[range], wall_ms);
            }
            Record::RunsEnded {
                job,
                attempt,
                outcome,
                tasks,
                wall_ms,
            } => self.end(Attempt { job, attempt }, outcome, tasks.ranges(), wall_ms),
            other => self.other.push(other),
        }
    }

    fn start(
        &mut self,
        attempt: Attempt,
        worker: id::WorkerId,
        ranges: &[IndexRange],
        wall_ms: time::WallTimeMs,
    ) {
        let group = self.started.entry((attempt, worker)).or_default();
        group.add(ranges, wall_ms);
    }

    fn end(
        &mut self,
        attempt: Attempt,
        outcome: task::RunOutcome,
        ranges: &[IndexRange],
        wall_ms: time::WallTimeMs,
    ) {
        let group = self.ended.entry((attempt, outcome)).or_default();
        group.add(ranges, wall_ms);
    }

    fn into_records(self) -> Vec<Record> {
        let ended = ended_groups(self.ended);
        let started = started_groups(self.started, &ends(&ended));
        let mut records = self.other;
        records.extend(started.into_iter().map(StartedGroup::into_record));
        records.extend(ended.into_iter().map(EndedGroup::into_record));
        records
    }
}

/// Runs of one attempt that started, by worker.
struct StartedGroup {
    attempt: Attempt,
    on: Vec<WorkerTasks>,
    wall_ms: time::WallTimeMs,
}

/// Runs of one attempt that ended alike.
struct EndedGroup {
    attempt: Attempt,
    outcome: task::RunOutcome,
    tasks: IndexSet,
    wall_ms: time::WallTimeMs,
}

fn ended_groups(gathered: FastMap<(Attempt, task::RunOutcome), Gathered>) -> Vec<EndedGroup> {
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

/// Everything that ended, however it ended.
fn ends(ended: &[EndedGroup]) -> FastMap<Attempt, IndexSet> {
    let mut ranges: FastMap<Attempt, Vec<IndexRange>> = FastMap::default();
    for group in ended {
        let all = ranges.entry(group.attempt.clone()).or_default();
        all.extend_from_slice(group.tasks.ranges());
    }
    ranges
        .into_iter()
        .map(|(attempt, ranges)| (attempt, IndexSet::from_ranges(ranges)))
        .collect()
}

fn started_groups(
    gathered: FastMap<(Attempt, id::WorkerId), Gathered>,
    ends: &FastMap<Attempt, IndexSet>,
) -> Vec<StartedGroup> {
    let mut gathered: Vec<_> = gathered.into_iter().collect();
    gathered.sort_by(|a, b| a.0.cmp(&b.0));
    let mut groups: Vec<StartedGroup> = Vec::new();
    for ((attempt, worker), gathered) in gathered {
        let mut tasks = IndexSet::from_ranges(gathered.ranges);
        if let Some(ended) = ends.get(&attempt) {
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
                run: join(self.attempt, index),
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
                run: join(self.attempt, index),
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

fn split(run: task::RunId) -> (Attempt, IndexRange) {
    let attempt = Attempt {
        job: run.task.job,
        attempt: run.attempt,
    };
    (attempt, IndexRange::one(run.task.index))
}

fn join(attempt: Attempt, index: u32) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: attempt.job,
            index,
        },
        attempt: attempt.attempt,
    }
}

/// Makes fewer records that fold into the same state, but for two things: runs that were recorded
/// together get the time of the latest of them, and of a run that both started and ended the
/// worker is left out.
///
/// # Complexity
///
/// Linear in the number of records and ranges, plus sorting.
#[must_use]
pub fn coalesce(records: Vec<Record>) -> Vec<Record> {
    let mut groups = Groups::default();
    for record in records {
        groups.add(record);
    }
    groups.into_records()
}

/// A measure of how much room records take: one for each record and each range.
#[must_use]
pub fn weight(records: &[Record]) -> usize {
    let of_worker = |on: &WorkerTasks| 1 + on.tasks.ranges().len();
    let of = |record: &Record| match record {
        Record::RunsStarted { on, .. } => on.iter().map(of_worker).sum(),
        Record::RunsEnded { tasks, .. } => 1 + tasks.ranges().len(),
        _ => 1,
    };
    records.iter().map(of).sum()
}
