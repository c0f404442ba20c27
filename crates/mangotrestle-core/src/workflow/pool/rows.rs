//! Makes commits from what changed, and lets go out what became durable.

use std::sync::Arc;

use crate::id;
use crate::time::TimeMs;

use super::super::job::{Job, Member, MemberKey, Occurrence, Phase};
use super::super::record::{AssignmentRow, EndRow};
use super::super::spec::JobRecord;
use super::Pool;

/// A change of the pool's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// Write an accepted job, which must be new.
    Accept {
        /// The job.
        job: id::JobId,
        /// What was submitted.
        record: Arc<JobRecord>,
    },
    /// Write a job's assignments.
    Assign {
        /// The job.
        job: id::JobId,
        /// The row.
        row: AssignmentRow,
    },
    /// Write a job's end.
    End {
        /// The job.
        job: id::JobId,
        /// The row.
        row: EndRow,
    },
    /// Remove a job's other rows; only its end is kept.
    RemoveRows {
        /// The job.
        job: id::JobId,
    },
}

/// A new job's row and two conditions.
const ACCEPT_ROWS: usize = 3;
/// Rows that are removed when a job is let go of.
const REMOVED_ROWS: usize = 3;

impl RowChange {
    /// Rows that the change touches.
    #[must_use]
    pub const fn row_count(&self) -> usize {
        match self {
            Self::Assign { .. } | Self::End { .. } => 1,
            Self::Accept { .. } => ACCEPT_ROWS,
            Self::RemoveRows { .. } => REMOVED_ROWS,
        }
    }
}

/// Changes that become durable together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// The changes.
    pub changes: Vec<RowChange>,
}

/// Part of a commit's rows that is kept for changes that nobody waits for, as a divisor.
const LASTING_PART: usize = 4;
/// Most jobs in a commit, so that it keeps to the size of a transaction: rows of wide jobs take
/// several kilobytes.
const MOST_JOBS: usize = 48;

/// What waits for a job's row, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Awaited {
    /// Its caller waits for the acceptance.
    Acceptance,
    /// Workers have room for its runs.
    Start,
    /// Its caller asks for the end.
    End,
    /// Nobody; the row only has to last.
    Nothing,
}

fn awaited(job: &Job) -> Awaited {
    let planned = |member: &Member| member.phase == Phase::Planned;
    match () {
        () if !job.accepted => Awaited::Acceptance,
        () if job.members().any(planned) => Awaited::Start,
        () if job.end.is_some() && !job.end_durable => Awaited::End,
        () => Awaited::Nothing,
    }
}

/// Moves all members of a job that are in one phase on to another.
fn change_phase(job: &mut Job, from: Phase, to: Phase) {
    for member in job.members_mut().filter(|member| member.phase == from) {
        member.phase = to;
    }
}

/// Most rows that a job's changes touch.
fn rows_of(job: &Job) -> usize {
    let acceptance = if job.accepted { 0 } else { ACCEPT_ROWS };
    let end = if job.end.is_some() {
        1 + REMOVED_ROWS
    } else {
        1
    };
    acceptance + end
}

/// Adds a job to a commit if its rows fit.
fn add_within(written: &mut Vec<id::JobId>, rows: &mut usize, job: &Job, most_rows: usize) -> bool {
    let more = rows_of(job);
    let fits = written.len() < MOST_JOBS && *rows + more <= most_rows;
    if fits {
        *rows += more;
        written.push(job.id.clone());
    }
    fits
}

impl Pool {
    /// Whether something waits to become durable.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// The next commit, of at most so many rows. There must be none in flight.
    ///
    /// What callers and workers wait for goes first: submissions, then runs to start, then ends of
    /// jobs. The rest, which only has to last, has a part of the rows to itself.
    pub fn take_commit(&mut self, now: TimeMs, most_rows: usize) -> Commit {
        // A job that was let go of meanwhile has no rows.
        self.dirty.retain(|id| self.jobs.contains_key(id));
        let jobs = self.next_written(most_rows);
        let whole = jobs.len() == self.dirty.len();
        let mut commit = Commit::default();
        for id in &jobs {
            self.dirty.remove(id);
            self.write_job(now, id, &mut commit);
        }
        self.writing = jobs;
        if whole {
            for worker in self.workers.values_mut() {
                worker.writing_seen = worker.seen;
            }
        }
        commit
    }

    /// Jobs that the next commit covers.
    fn next_written(&self, most_rows: usize) -> Vec<id::JobId> {
        let jobs = self.dirty.iter().filter_map(|id| self.jobs.get(id));
        let mut jobs: Vec<(Awaited, &Job)> = jobs.map(|job| (awaited(job), job)).collect();
        jobs.sort_by_key(|(awaited, job)| (*awaited, job.known_at));
        let first_lasting = jobs.partition_point(|(awaited, _)| *awaited < Awaited::Nothing);
        let (urgent, lasting) = jobs.split_at(first_lasting);
        let kept = if lasting.is_empty() {
            0
        } else {
            most_rows / LASTING_PART
        };
        let mut written = Vec::new();
        let mut rows = 0;
        let mut left = Vec::new();
        for (_, job) in urgent {
            if !add_within(&mut written, &mut rows, job, most_rows - kept) {
                left.push(*job);
            }
        }
        for job in lasting.iter().map(|(_, job)| *job).chain(left) {
            add_within(&mut written, &mut rows, job, most_rows);
        }
        written
    }

    fn write_job(&mut self, now: TimeMs, id: &id::JobId, commit: &mut Commit) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        change_phase(job, Phase::Planned, Phase::Writing);
        if !job.accepted {
            commit.changes.push(RowChange::Accept {
                job: id.clone(),
                record: Arc::clone(&job.record),
            });
        }
        let settled = job.occurrences.values().all(Occurrence::is_free);
        if let Some(state) = job.end
            && !job.end_durable
        {
            let ended_ms = now.0 + self.epoch_offset_ms;
            self.ending.push(id.clone());
            let row = EndRow { state, ended_ms };
            commit.changes.push(RowChange::End {
                job: id.clone(),
                row,
            });
        }
        if job.end.is_some() && settled {
            commit
                .changes
                .push(RowChange::RemoveRows { job: id.clone() });
            self.letting_go.push(id.clone());
        } else {
            commit.changes.push(RowChange::Assign {
                job: id.clone(),
                row: job.row(),
            });
        }
    }

    /// The commit in flight is durable: its orders may go out and its ends may be acknowledged.
    pub fn committed(&mut self, now: TimeMs) {
        for id in std::mem::take(&mut self.ending) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.end_durable = true;
            }
        }
        for id in std::mem::take(&mut self.writing) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            job.accepted = true;
            let written = job
                .assigned()
                .filter(|(_, member)| member.phase == Phase::Writing);
            let bound: Vec<MemberKey> = written.map(|(key, _)| key).collect();
            change_phase(job, Phase::Writing, Phase::Bound);
            for key in bound {
                self.send_start(now, &key);
            }
        }
        for worker in self.workers.values_mut() {
            worker.durable_seen = worker.durable_seen.max(worker.writing_seen);
        }
        for id in std::mem::take(&mut self.letting_go) {
            if let Some(state) = self.jobs.remove(&id).and_then(|job| job.end) {
                self.ended.insert(id.clone(), (state, now));
                self.ended_order.push_back((now, id));
            }
        }
    }

    /// The commit in flight did not happen; its changes are due again.
    pub fn commit_undone(&mut self) {
        for id in std::mem::take(&mut self.writing) {
            if let Some(job) = self.jobs.get_mut(&id) {
                change_phase(job, Phase::Writing, Phase::Planned);
            }
            self.dirty.insert(id);
        }
        self.letting_go.clear();
        self.ending.clear();
    }
}
