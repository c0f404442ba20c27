//! Fewer records that say the same.
//!
//! Starts and ends of many tasks of one job become one record with ranges of indices, and the
//! start of a run is left out when its end is among the records. A leader coalesces what it
//! appends, and above all what it has to hold while the store is down: the memory then grows with
//! the jobs and the running tasks, and not with everything that ran meanwhile.

use super::index_set::{IndexRange, IndexSet};
use super::record::Record;
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
                worker,
                tasks,
                wall_ms,
            } => self.start(Attempt { job, attempt }, worker, tasks.ranges(), wall_ms),
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
        let mut ends: FastMap<Attempt, Vec<IndexRange>> = FastMap::default();
        let mut ended = Vec::new();
        for ((attempt, outcome), group) in self.ended {
            let all = ends.entry(attempt.clone()).or_default();
            all.extend_from_slice(&group.ranges);
            let tasks = IndexSet::from_ranges(group.ranges);
            ended.push((
                attempt.clone(),
                ended_record(attempt, outcome, tasks, group.wall_ms),
            ));
        }
        let ends: FastMap<_, _> = ends
            .into_iter()
            .map(|(attempt, ranges)| (attempt, IndexSet::from_ranges(ranges)))
            .collect();
        let mut started = Vec::new();
        for ((attempt, worker), group) in self.started {
            let mut tasks = IndexSet::from_ranges(group.ranges);
            if let Some(ended) = ends.get(&attempt) {
                tasks = tasks.difference(ended);
            }
            if !tasks.is_empty() {
                let key = (attempt.clone(), worker.clone());
                started.push((key, started_record(attempt, worker, tasks, group.wall_ms)));
            }
        }
        started.sort_by(|a, b| a.0.cmp(&b.0));
        ended.sort_by(|a, b| a.0.cmp(&b.0));
        let mut records = self.other;
        records.extend(started.into_iter().map(|(_, record)| record));
        records.extend(ended.into_iter().map(|(_, record)| record));
        records
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

fn started_record(
    attempt: Attempt,
    worker: id::WorkerId,
    tasks: IndexSet,
    wall_ms: time::WallTimeMs,
) -> Record {
    if let Some(index) = tasks.single() {
        let run = join(attempt, index);
        return Record::RunStarted {
            run,
            worker,
            wall_ms,
        };
    }
    Record::RunsStarted {
        job: attempt.job,
        attempt: attempt.attempt,
        worker,
        tasks,
        wall_ms,
    }
}

fn ended_record(
    attempt: Attempt,
    outcome: task::RunOutcome,
    tasks: IndexSet,
    wall_ms: time::WallTimeMs,
) -> Record {
    if let Some(index) = tasks.single() {
        let run = join(attempt, index);
        return Record::RunEnded {
            run,
            outcome,
            wall_ms,
        };
    }
    Record::RunsEnded {
        job: attempt.job,
        attempt: attempt.attempt,
        outcome,
        tasks,
        wall_ms,
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
    let of = |record: &Record| match record {
        Record::RunsStarted { tasks, .. } | Record::RunsEnded { tasks, .. } => {
            1 + tasks.ranges().len()
        }
        _ => 1,
    };
    records.iter().map(of).sum()
}
