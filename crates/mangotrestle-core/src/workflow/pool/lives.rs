//! Tells the lives of a worker apart: it may crash and start again under its identifier.
//!
//! A life is an identifier and the time at which it was born. A later life holds no runs, knows no
//! leader, and counts its ends and its clock from the beginning, so nothing of an earlier one is
//! valid for it. What was ordered of an earlier life may still be carried out by the later one: the
//! order names the identifier only, and its deadline lies far ahead on a clock that has started
//! anew. So a run of an earlier life is over only if its start was answered and the later life does
//! not list it. All others are stopped there first; after that no start for them can succeed.
//!
//! Each life has a higher fencing token than the one before it, so the first poll of a later life
//! also ends what may still arrive of the orders and polls for the earlier one.

use std::cmp::Ordering;

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::crash_evidence::WorkerEnd;
use super::super::job::{Member, MemberKey, Phase};
use super::super::message::{RunEnd, WorkerEntry};
use super::{Note, Pool};

/// Time after which a start without an answer is not carried out any more. The users' platform was seen
/// to carry out orders up to 12 s late.
const LATE_START_SPAN: SpanMs = SpanMs(15_000);

/// Returns how the life that a message names relates to the one that is known; equal if the
/// platform does not tell lives apart.
pub(super) fn compare_lives(named: Option<u64>, known: Option<u64>) -> Ordering {
    match (named, known) {
        (Some(named), Some(known)) => named.cmp(&known),
        _ => Ordering::Equal,
    }
}

impl Pool {
    /// Begins a later life of a worker, as its entry or its report shows.
    pub(super) fn begin_life(&mut self, now: TimeMs, entry: WorkerEntry, is_listed: bool) {
        let id = entry.worker.clone();
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        self.last_life += 1;
        self.notes.push(Note::WorkerRestarted {
            worker: id.clone(),
            born_ms: entry.born_ms,
            runs: worker.tasks.len(),
            received_end: worker.received_end,
        });
        worker.begin_life(now, entry, self.last_life, is_listed);
        worker.previous_lease_until = Some(now + self.settings.max_lease);
        let steps = self.jobs.values_mut().flat_map(|job| {
            let occurrences = job.occurrences.values_mut();
            occurrences.flat_map(|occurrence| &mut occurrence.steps)
        });
        for step in steps {
            step.tickets.invalidate(&id);
        }
        self.placing_due = true;
    }

    /// Whether a life of a worker is the present one, as far as this leader knows.
    #[must_use]
    pub fn is_present_life(&self, id: &id::WorkerId, life: u32) -> bool {
        let worker = self.workers.get(id);
        worker.is_none_or(|worker| worker.life == life)
    }

    /// Whether a member was assigned to an earlier life of its worker than the present one.
    pub(super) fn is_of_earlier_life(&self, member: &Member) -> bool {
        let worker = member.worker.as_ref().and_then(|id| self.workers.get(id));
        worker.is_some_and(|worker| {
            compare_lives(member.born_ms, worker.entry.born_ms) == Ordering::Less
        })
    }

    /// Settles the members of earlier lives that a worker's present life does not list. A run whose
    /// start was answered after the poll was sent is left to the next report.
    pub(super) fn settle_earlier_lives(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        polled_at: TimeMs,
        missing: &[MemberKey],
    ) {
        let is_settled = |key: &&MemberKey| {
            let member = self.member(key);
            member.is_some_and(|member| {
                let confirmed_later = member.confirmed_at >= polled_at;
                self.is_of_earlier_life(member) && !confirmed_later
            })
        };
        let keys: Vec<MemberKey> = missing.iter().filter(is_settled).cloned().collect();
        let Some(worker) = self.workers.get(id).filter(|_| !keys.is_empty()) else {
            return;
        };
        let answered_at = worker.earlier_answered_at();
        let suspicions = self.suspicions(&keys, WorkerEnd::Crashed, answered_at);
        for key in &keys {
            self.settle_earlier_run(now, id, key);
        }
        self.charge(now, id, &suspicions);
    }

    fn settle_earlier_run(&mut self, now: TimeMs, id: &id::WorkerId, key: &MemberKey) {
        let Some(born_ms) = self.workers.get(id).map(|worker| worker.entry.born_ms) else {
            return;
        };
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let run = unit.run;
        let member = &mut unit.members[key.member as usize];
        if member.start_calls.is_open() {
            member.born_ms = born_ms;
            if member.phase == Phase::Stopped {
                // An earlier life confirmed the stop; the present one may still start the run.
                member.phase = Phase::Running;
            }
            self.stop_member(now, key);
            return;
        }
        match member.phase {
            Phase::Free | Phase::Stopping => {}
            Phase::Planned | Phase::Writing | Phase::Bound => self.stop_member(now, key),
            Phase::Ordered | Phase::Running | Phase::Stopped => {
                self.run_ended(now, id, &key.task_name(), run, RunEnd::Lapsed, "");
            }
        }
    }

    /// Whether a run of an earlier life may still be started by the present life of a worker that does
    /// not answer.
    pub(super) fn may_start_earlier_run(&self, now: TimeMs, id: &id::WorkerId) -> bool {
        let worker = self.workers.get(id);
        let worker = worker.filter(|worker| worker.is_life_younger_than(now, LATE_START_SPAN));
        let keys = worker.into_iter().flat_map(|worker| worker.tasks.keys());
        let mut members = keys.filter_map(|key| self.member(key));
        members.any(|member| member.start_calls.is_open() && self.is_of_earlier_life(member))
    }
}
