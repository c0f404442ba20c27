//! Keeps the rows of jobs within the size that the store allows.
//!
//! A job has only as many units assigned at once as its row holds. One whose row is too large all the
//! same is left out of commits, so that the other jobs of the service go on.

use crate::collections::FastMap;
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{self, Job, MemberKey, Phase};
use super::super::record::RowFormat;
use super::placing::PlacementRequest;
use super::rows::{Commit, RowChange};
use super::{Note, Pool};

/// Minimum time between two reports that the row of a job is too large.
const REPORT_INTERVAL: SpanMs = SpanMs(10_000);

/// Room in the row of one job.
struct RowRoom {
    /// Bytes that are left for further units.
    left: u64,
    /// Whether no unit is assigned.
    is_unassigned: bool,
}

impl RowRoom {
    /// Returns the room in a job's row; `None` if there is no limit.
    fn new(pool: &Pool, job: &Job) -> Option<Self> {
        let left = job.row_room(pool.settings.max_row_bytes, pool.row_format)?;
        Some(Self {
            left,
            is_unassigned: job.assigned_members().next().is_none(),
        })
    }
}

/// Room in the rows of jobs in one placement pass.
#[derive(Default)]
pub(super) struct RowRooms<'a> {
    rooms: FastMap<&'a id::JobId, Option<RowRoom>>,
    /// Length of the longest identifier of a worker, once it is needed.
    worker_bytes: Option<u64>,
}

impl<'a> RowRooms<'a> {
    /// Whether the row of a unit's job has room for its assignment. If nothing of the job is assigned,
    /// one unit is admitted whatever its size.
    pub(super) fn admits(&mut self, pool: &Pool, request: &PlacementRequest<'a>) -> bool {
        let job = request.job;
        if job.row_overflow.is_full {
            return false;
        }
        let room = self.rooms.entry(&job.id);
        let Some(room) = room.or_insert_with(|| RowRoom::new(pool, job)) else {
            return true;
        };
        room.is_unassigned || room.left >= unit_need(&mut self.worker_bytes, pool, request)
    }

    /// Takes the room for a unit that is assigned.
    pub(super) fn take(&mut self, pool: &Pool, request: &PlacementRequest<'a>) {
        if let Some(Some(room)) = self.rooms.get_mut(&request.job.id) {
            let need = unit_need(&mut self.worker_bytes, pool, request);
            room.left = room.left.saturating_sub(need);
            room.is_unassigned = false;
        }
    }
}

/// Returns the size of a unit in its job's row once it is assigned, at most.
fn unit_need(worker_bytes: &mut Option<u64>, pool: &Pool, request: &PlacementRequest<'_>) -> u64 {
    let longest = || {
        let lengths = pool
            .workers
            .keys()
            .map(|worker| worker.as_str().len() as u64);
        lengths.max().unwrap_or_default()
    };
    job::unit_bytes(request.spec, *worker_bytes.get_or_insert_with(longest))
}

impl Pool {
    /// Sets how rows hold what has ended: so that every host reads them that may lead the pool next.
    pub fn set_row_format(&mut self, format: RowFormat) {
        if self.row_format != format {
            self.row_format = format;
            for job in self.jobs.values_mut() {
                job.row_overflow.is_full = false;
            }
        }
    }

    /// Returns the jobs of a commit whose rows of assignments may be too large for the store.
    #[must_use]
    pub fn jobs_with_large_rows(&self, commit: &Commit) -> Vec<id::JobId> {
        let suspicious_bytes = self.settings.max_row_bytes as u64 / 4;
        let is_large = |id: &&id::JobId| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.row_bytes(self.row_format) > suspicious_bytes)
        };
        let assigned = commit.assignments().map(|(id, _)| id);
        assigned.filter(is_large).cloned().collect()
    }

    /// Takes the row of a job's assignments, of `bytes`, out of the commit that was just taken, since the
    /// store allows no row of this size. Its new runs are withdrawn, and its ends are not acknowledged,
    /// until the row has become smaller. An acceptance stays in the commit.
    pub fn leave_row_out(
        &mut self,
        now: TimeMs,
        commit: &mut Commit,
        id: &id::JobId,
        bytes: usize,
    ) {
        // Without the row of assignments, the next leader would not know that the job has ended.
        commit.changes.retain(|change| match change {
            RowChange::Assign { job, .. } | RowChange::End { job, .. } => job != id,
            RowChange::Accept { .. } | RowChange::RemoveRows { .. } => true,
        });
        self.ending.retain(|other_id| other_id != id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.row_overflow.is_full = true;
        let reported_at = job.row_overflow.reported_at;
        if reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL) {
            job.row_overflow.reported_at = Some(now);
            self.notes.push(Note::RowTooLarge {
                job: id.clone(),
                bytes,
                max_bytes: self.settings.max_row_bytes,
            });
        }
        let unbound = job
            .assigned_members()
            .filter(|(_, member)| matches!(member.phase, Phase::Planned | Phase::Writing));
        let unbound: Vec<MemberKey> = unbound.map(|(key, _)| key).collect();
        for key in unbound {
            self.release(now, &key);
        }
        self.mark_dirty(id);
        self.note_committing_ends();
    }
}
