//! Makes commits from changed jobs, and handles their outcome.

use std::sync::Arc;

use crate::id;
use crate::time::TimeMs;

use super::super::job::{Job, Member, MemberKey, Occurrence, Phase};
use super::super::record::{AssignmentRow, EndRow, RowFormat};
use super::super::spec::JobRecord;
use super::{EndedJob, Pool};

/// A change of the pool's rows.
#[derive(Clone, Debug, PartialEq)]
pub enum RowChange {
    /// Write an accepted job, which must not exist yet.
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
    /// Remove all rows of a job except its end.
    RemoveRows {
        /// The job.
        job: id::JobId,
    },
}

/// Rows of an acceptance: the new job's row and two conditions.
const ACCEPT_ROWS: usize = 3;
/// Rows that are removed with a job.
const REMOVED_ROWS: usize = 3;

impl RowChange {
    /// Returns the number of rows that the change touches.
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

impl Commit {
    /// Returns the jobs whose assignments it writes, with their rows.
    pub fn assignments(&self) -> impl Iterator<Item = (&id::JobId, &AssignmentRow)> {
        self.changes.iter().filter_map(|change| match change {
            RowChange::Assign { job, row } => Some((job, row)),
            _ => None,
        })
    }
}

/// Divisor of a commit's rows that gives the part reserved for changes that nobody waits for.
const BACKGROUND_ROWS_DIVISOR: usize = 4;
/// Maximum number of jobs in a commit.
const MAX_COMMIT_JOBS: usize = 48;
/// Maximum size of the rows of jobs in a commit, so that it stays below the size limit of a transaction
/// with its other rows, all of them in base64.
const MAX_COMMIT_BYTES: u64 = 400_000;

/// Reason for which a job's row is awaited, most urgent first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum CommitPriority {
    /// Its caller waits for the acceptance.
    Acceptance,
    /// Its planned runs can start once the row is durable.
    Start,
    /// Its caller may query the end.
    End,
    /// Nobody waits for the row.
    Background,
}

fn commit_priority(job: &Job) -> CommitPriority {
    let planned = |member: &Member| member.phase == Phase::Planned;
    match () {
        () if !job.accepted => CommitPriority::Acceptance,
        () if job.members().any(planned) => CommitPriority::Start,
        () if job.end.is_some() && !job.end_durable => CommitPriority::End,
        () => CommitPriority::Background,
    }
}

/// Moves all members of a job that are in one phase to another.
fn change_phase(job: &mut Job, from: Phase, to: Phase) {
    for member in job.members_mut().filter(|member| member.phase == from) {
        member.phase = to;
    }
}

/// Moves the planned units of a job to the commit in flight. Units whose tickets are still to be
/// requested stay planned, so that no row binds a run whose order may be long in coming. Returns
/// whether there are any.
fn begin_writing(now: TimeMs, job: &mut Job) -> bool {
    let needs_tickets = job.record.policy.advice.is_some();
    let mut lacking = false;
    let occurrences = job.occurrences.values_mut();
    for step in occurrences.flat_map(|occurrence| &mut occurrence.steps) {
        for unit in &mut step.units {
            if needs_tickets && !step.tickets.cover(unit, now) {
                lacking |= unit.has_planned_member();
                continue;
            }
            let members = unit.members.iter_mut();
            for member in members.filter(|member| member.phase == Phase::Planned) {
                member.phase = Phase::Writing;
            }
        }
    }
    lacking
}

/// Returns the maximum number of rows that a job's changes touch.
fn max_rows_of(job: &Job) -> usize {
    let acceptance = if job.accepted { 0 } else { ACCEPT_ROWS };
    let assignment_or_end = if job.end.is_some() {
        1 + REMOVED_ROWS
    } else {
        1
    };
    acceptance + assignment_or_end
}

/// Returns the size of the rows of a job in a commit, of the right order.
fn bytes_of(job: &Job, format: RowFormat) -> u64 {
    let acceptance = if job.accepted {
        0
    } else {
        job.record.stored_bytes()
    };
    acceptance + job.row_bytes(format)
}

/// Jobs of a commit.
#[derive(Default)]
struct CommitJobs {
    jobs: Vec<id::JobId>,
    rows: usize,
    bytes: u64,
}

impl CommitJobs {
    /// Adds a job if its rows fit. Returns whether it was added.
    fn add_if_fits(&mut self, job: &Job, format: RowFormat, max_rows: usize) -> bool {
        let rows = max_rows_of(job);
        if self.jobs.len() >= MAX_COMMIT_JOBS || self.rows + rows > max_rows {
            return false;
        }
        let bytes = bytes_of(job, format);
        let fits = self.jobs.is_empty() || self.bytes + bytes <= MAX_COMMIT_BYTES;
        if fits {
            self.rows += rows;
            self.bytes += bytes;
            self.jobs.push(job.id.clone());
        }
        fits
    }
}

impl Pool {
    /// Whether there are changes to commit.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the next commit, of at most `max_rows` rows. There must be none in flight.
    ///
    /// Changes that callers and workers wait for go first: submissions, then runs to start, then
    /// ends of jobs. A part of the rows is reserved for all other changes.
    pub fn take_commit(&mut self, now: TimeMs, max_rows: usize) -> Commit {
        // A job that was removed meanwhile has no rows.
        self.dirty.retain(|id| self.jobs.contains_key(id));
        let jobs = self.jobs_to_commit(max_rows);
        let mut commit = Commit::default();
        for id in &jobs {
            self.dirty.remove(id);
            self.write_job(now, id, &mut commit);
        }
        self.writing = jobs;
        self.note_committing_ends();
        commit
    }

    /// Notes which ends of each worker the commit in flight makes durable.
    pub(super) fn note_committing_ends(&mut self) {
        for worker in self.workers.values_mut() {
            worker.committing_end = worker.last_end_before(|job| self.dirty.contains(job));
        }
    }

    /// Returns the jobs that the next commit covers.
    fn jobs_to_commit(&self, max_rows: usize) -> Vec<id::JobId> {
        let jobs = self.dirty.iter().filter_map(|id| self.jobs.get(id));
        let mut jobs: Vec<(CommitPriority, &Job)> =
            jobs.map(|job| (commit_priority(job), job)).collect();
        jobs.sort_by_key(|(commit_priority, job)| (*commit_priority, job.known_at));
        let first_background = jobs
            .partition_point(|(commit_priority, _)| *commit_priority < CommitPriority::Background);
        let (urgent, background) = jobs.split_at(first_background);
        let reserved_rows = if background.is_empty() {
            0
        } else {
            max_rows / BACKGROUND_ROWS_DIVISOR
        };
        let mut written = CommitJobs::default();
        let format = self.row_format;
        let mut deferred = Vec::new();
        for (_, job) in urgent {
            if !written.add_if_fits(job, format, max_rows - reserved_rows) {
                deferred.push(*job);
            }
        }
        for job in background.iter().map(|(_, job)| *job).chain(deferred) {
            written.add_if_fits(job, format, max_rows);
        }
        written.jobs
    }

    fn write_job(&mut self, now: TimeMs, id: &id::JobId, commit: &mut Commit) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if begin_writing(now, job) {
            self.steps_lacking_tickets.extend(job.step_keys());
        }
        if !job.accepted {
            commit.changes.push(RowChange::Accept {
                job: id.clone(),
                record: Arc::clone(&job.record),
            });
        }
        // Rows that this commit writes cannot be removed by it as well.
        let settled = job.accepted
            && job.has_ended_elsewhere()
            && job.occurrences.values().all(Occurrence::is_free);
        if let Some(state) = job.end
            && !job.end_durable
        {
            let ended_ms = now.0 + self.epoch_offset_ms;
            self.ending.push(id.clone());
            let row = EndRow {
                state,
                ended_ms,
                team: job.record.team.clone(),
            };
            commit.changes.push(RowChange::End {
                job: id.clone(),
                row,
            });
        }
        if job.end.is_some() && settled {
            commit
                .changes
                .push(RowChange::RemoveRows { job: id.clone() });
            self.removing.push(id.clone());
        } else {
            commit.changes.push(RowChange::Assign {
                job: id.clone(),
                row: job.row(self.row_format),
            });
        }
    }

    /// Handles the success of the commit in flight: its orders may be sent and its ends
    /// acknowledged.
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
            if !job.accepted && job.end.is_some() {
                self.dirty.insert(id.clone());
            }
            if !job.accepted {
                self.acceptance_lag.record(now, now.since(job.known_at));
            }
            job.accepted = true;
            let written = job
                .assigned_members()
                .filter(|(_, member)| member.phase == Phase::Writing);
            let bound: Vec<MemberKey> = written.map(|(key, _)| key).collect();
            change_phase(job, Phase::Writing, Phase::Bound);
            for key in bound {
                self.send_start(now, &key);
            }
        }
        for worker in self.workers.values_mut() {
            worker.record_durable_ends(worker.committing_end);
        }
        for id in std::mem::take(&mut self.removing) {
            let removed = self.jobs.remove(&id);
            if let Some((state, job)) = removed.and_then(|job| Some((job.end?, job))) {
                let team = job.record.team.clone();
                self.ended.insert(id.clone(), EndedJob { state, team });
                self.ended_order.push_back((now, id));
            }
        }
    }

    /// Handles the failure of the commit in flight: its changes are due again.
    pub fn commit_undone(&mut self) {
        for id in std::mem::take(&mut self.writing) {
            if let Some(job) = self.jobs.get_mut(&id) {
                change_phase(job, Phase::Writing, Phase::Planned);
            }
            self.dirty.insert(id);
        }
        // The next commit may not cover the ends that this one did.
        for worker in self.workers.values_mut() {
            worker.committing_end = worker.durable_end;
        }
        self.removing.clear();
        self.ending.clear();
    }
}
