//! Makes commits from what changed, and lets go out what became durable.

use std::sync::Arc;

use crate::id;
use crate::time::TimeMs;

use super::super::job::{Job, Member, MemberKey, Occurrence, Phase, StepKey, UnitKey};
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
    LetGo {
        /// The job.
        job: id::JobId,
    },
}

impl RowChange {
    /// Rows that the change touches.
    #[must_use]
    pub const fn row_count(&self) -> usize {
        match self {
            Self::Assign { .. } | Self::End { .. } => 1,
            // A row and two conditions.
            Self::Accept { .. } | Self::LetGo { .. } => 3,
        }
    }
}

/// Changes that become durable together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Commit {
    /// The changes.
    pub changes: Vec<RowChange>,
}

/// Most rows that one job adds to a commit.
const ROWS_PER_JOB: usize = 4;

impl Pool {
    /// Whether something waits to become durable.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// The next commit, of at most so many rows. There must be none in flight.
    pub fn take_commit(&mut self, now: TimeMs, most_rows: usize) -> Commit {
        let jobs: Vec<id::JobId> = self
            .dirty
            .iter()
            .take(most_rows / ROWS_PER_JOB)
            .cloned()
            .collect();
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

    fn write_job(&mut self, now: TimeMs, id: &id::JobId, commit: &mut Commit) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for_each_member(job, |_, member| {
            if member.phase == Phase::Planned {
                member.phase = Phase::Writing;
            }
        });
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
            commit.changes.push(RowChange::LetGo { job: id.clone() });
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
            let mut bound = Vec::new();
            for_each_member(job, |key, member| {
                if member.phase == Phase::Writing {
                    member.phase = Phase::Bound;
                    bound.push(key);
                }
            });
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
                for_each_member(job, |_, member| {
                    if member.phase == Phase::Writing {
                        member.phase = Phase::Planned;
                    }
                });
            }
            self.dirty.insert(id);
        }
        self.letting_go.clear();
        self.ending.clear();
    }
}

/// Visits every member of a job.
fn for_each_member(job: &mut Job, mut visit: impl FnMut(MemberKey, &mut Member)) {
    let id = job.id.clone();
    for (&occurrence, steps) in &mut job.occurrences {
        for (step, units) in (0..).zip(&mut steps.steps) {
            for (unit, state) in (0..).zip(&mut units.units) {
                for (member, assigned) in (0..).zip(&mut state.members) {
                    if assigned.worker.is_none() {
                        continue;
                    }
                    let step = StepKey {
                        job: id.clone(),
                        occurrence,
                        step,
                    };
                    let unit = UnitKey { step, unit };
                    visit(MemberKey { unit, member }, assigned);
                }
            }
        }
    }
}
