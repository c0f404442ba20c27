//! Charges the crash of a worker to the runs that may have caused it, gives up tasks that crash
//! workers again and again, and tries suspected tasks one at a time.

use crate::id;
use crate::time::TimeMs;

use super::super::crash_evidence::{Exposure, Suspicion, WorkerEnd};
use super::super::job::{Member, MemberKey};
use super::super::record::JobState;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Returns what is known of a run on a worker whose last answer arrived at `answered_at`.
fn exposure(member: &Member, answered_at: TimeMs) -> Exposure {
    Exposure::new(member.start_calls.is_open(), member.started_at, answered_at)
}

impl Pool {
    /// Returns the suspicions that the end of a worker raises against the runs that ended with it.
    /// Its last answer arrived at `answered_at`.
    pub(super) fn suspicions(
        &self,
        keys: &[MemberKey],
        end: WorkerEnd,
        answered_at: TimeMs,
    ) -> Vec<(MemberKey, Suspicion)> {
        let exposures: Vec<(&MemberKey, Exposure)> = keys
            .iter()
            .filter_map(|key| Some((key, exposure(self.member(key)?, answered_at))))
            .collect();
        let is_explained = exposures.iter().any(|(_, exposure)| exposure.is_recent());
        let suspicions = exposures.into_iter().filter_map(|(key, exposure)| {
            let suspicion = exposure.suspicion(end, is_explained)?;
            // Over its life a persistent task is beside many crashes.
            let persistent = self.step_spec(&key.unit.step)?.persistent;
            let counts = !persistent || suspicion == Suspicion::Strong;
            counts.then(|| (key.clone(), suspicion))
        });
        suspicions.collect()
    }

    /// Records suspicions, and fails the jobs of the tasks that are given up.
    pub(super) fn charge(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        suspicions: &[(MemberKey, Suspicion)],
    ) {
        for (key, suspicion) in suspicions {
            let Some(unit) = self.unit_mut(&key.unit) else {
                continue;
            };
            let run = unit.run;
            let evidence = &mut unit.members[key.member as usize].crash_evidence;
            evidence.add(*suspicion);
            let given_up = evidence.is_conclusive();
            self.mark_dirty(&key.unit.step.job);
            self.notes.push(Note::TaskSuspected {
                task: key.task_name(),
                run,
                worker: worker.clone(),
                suspicion: *suspicion,
                given_up,
            });
            if given_up {
                self.end_job(now, &key.unit.step.job, JobState::Failed);
            }
        }
    }

    /// Whether no run on a worker may have just started, so that a crash after the next start is
    /// due to that start.
    pub(super) fn is_quiet(&self, worker: &Worker) -> bool {
        let mut members = worker.tasks.keys().filter_map(|key| self.member(key));
        members.all(|member| exposure(member, worker.answered_at()) == Exposure::Survived)
    }

    /// Ends the trial on a worker that has survived the start of all runs there.
    pub(super) fn end_survived_trial(&mut self, id: &id::WorkerId) {
        let on_trial = self.workers.get(id).filter(|worker| worker.trial.is_some());
        if on_trial.is_none_or(|worker| !self.is_quiet(worker)) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.trial = None;
        }
        self.placing_due = true;
    }
}
