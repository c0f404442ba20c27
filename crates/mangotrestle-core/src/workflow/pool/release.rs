//! Settles ends of runs and gives room back.

use std::sync::Arc;

use crate::id;
use crate::time::TimeMs;

use super::super::job::{MemberKey, Phase, StepKey, UnitKey};
use super::super::message::{RunEnd, TaskName};
use super::super::record::JobState;
use super::{Note, Pool};

impl Pool {
    /// Takes the end of a run that a worker listed, or that follows from the worker's end.
    pub(super) fn run_ended(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        task: &TaskName,
        run: u32,
        end: RunEnd,
        checkpoint: &str,
    ) {
        let Some(key) = self.member_key(task) else {
            return;
        };
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let current = unit.run == run;
        let member = &unit.members[key.member as usize];
        let here = current && member.worker.as_ref() == Some(worker);
        if current && !checkpoint.is_empty() {
            checkpoint.clone_into(&mut unit.checkpoint);
        }
        if here || (end == RunEnd::Done && !unit.done) {
            self.notes.push(Note::RunEnded {
                task: task.clone(),
                run,
                worker: worker.clone(),
                end,
            });
        }
        if here && end == RunEnd::Done {
            self.learn_time(now, &key);
        }
        match end {
            RunEnd::Done => self.unit_done(now, &key, worker, here),
            RunEnd::Failed => self.unit_failed(now, &key, worker, run),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        if here {
            self.release(now, &key);
            if end != RunEnd::Done {
                self.collapse(now, &key.unit);
            }
        }
    }

    /// Learns how long a task took that was never interrupted.
    fn learn_time(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(job) = self.jobs.get(&key.unit.step.job) else {
            return;
        };
        let spec = &job.record.steps[key.unit.step.step as usize];
        let Some(unit) = job.unit(&key.unit) else {
            return;
        };
        let member = &unit.members[key.member as usize];
        let whole = unit.run == 1 && member.phase == Phase::Running;
        if whole && !spec.persistent && !spec.best_effort {
            let took_ms = now.since(member.since).0;
            let queue = &job.record.policy.queue;
            self.estimates.learn(queue, spec.estimate_ms, took_ms);
        }
    }

    fn unit_done(&mut self, now: TimeMs, key: &MemberKey, worker: &id::WorkerId, here: bool) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.note_success();
        }
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let persistent = job.record.steps[key.unit.step.step as usize].persistent;
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        if unit.done || persistent {
            return;
        }
        unit.done = true;
        self.unqueue_unit(&key.unit);
        self.mark_dirty(&key.unit.step.job);
        if !here {
            // A former run has finished the work, so the present one is of no use.
            self.stop_unit(now, &key.unit);
        }
        self.step_advanced(now, &key.unit.step);
    }

    fn step_advanced(&mut self, now: TimeMs, key: &StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(step) = job.step_mut(key) else {
            return;
        };
        step.open = step.open.saturating_sub(1);
        let step_done = step.open == 0;
        let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) else {
            return;
        };
        occurrence.done = occurrence.steps.iter().all(|step| step.open == 0);
        if !step_done {
            self.note_ask_ahead(key);
            return;
        }
        self.advance(now, &key.job, key.occurrence);
        self.finish_if_done(now, &key.job);
    }

    fn unit_failed(&mut self, now: TimeMs, key: &MemberKey, worker: &id::WorkerId, run: u32) {
        let id = &key.unit.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let persistent = job.record.steps[key.unit.step.step as usize].persistent;
        let most = job.record.policy.max_attempts.max(1);
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        if unit.failed_runs.contains(&run) {
            return;
        }
        unit.failed_runs.push(run);
        unit.avoid.push(worker.clone());
        let exhausted = !persistent && !unit.done && unit.failed_runs.len() >= most as usize;
        self.mark_dirty(id);
        if let Some(state) = self.workers.get_mut(worker)
            && state.note_failure(now, id)
        {
            self.notes.push(Note::WorkerQuarantined {
                worker: worker.clone(),
            });
        }
        if exhausted {
            self.end_job(now, id, JobState::Failed);
        }
    }

    /// Frees a member and its room; queues the unit once all of its members are free.
    pub(super) fn release(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let record = Arc::clone(&job.record);
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        let Some(worker) = member.worker.take() else {
            return;
        };
        member.phase = Phase::Free;
        member.since = now;
        member.unanswered = 0;
        member.over_since = None;
        if unit.is_free() {
            unit.collapsing = false;
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.vacate(key, &record.steps[key.unit.step.step as usize]);
        }
        self.mark_dirty(&key.unit.step.job);
        self.queue_unit(&key.unit);
        self.placing_due = true;
    }

    /// Ends the present run of a gang of which one member has ended or was refused.
    pub(super) fn collapse(&mut self, now: TimeMs, key: &UnitKey) {
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        if unit.done || unit.collapsing || unit.is_free() {
            return;
        }
        unit.collapsing = true;
        self.stop_unit(now, key);
    }

    /// Stops all members of a unit; those for which no order was sent are free at once.
    pub(super) fn stop_unit(&mut self, now: TimeMs, key: &UnitKey) {
        let Some(unit) = self.unit(key) else {
            return;
        };
        let members: Vec<MemberKey> = (0..)
            .zip(&unit.members)
            .filter(|(_, member)| member.worker.is_some())
            .map(|(member, _)| MemberKey {
                unit: key.clone(),
                member,
            })
            .collect();
        for member in members {
            self.stop_member(now, &member);
        }
    }

    /// Stops whatever of a job is assigned.
    pub(super) fn stop_assigned(&mut self, now: TimeMs, id: &id::JobId) {
        // Members of a gang that is done end by themselves.
        let jobs = self.jobs.get(id).into_iter();
        let assigned: Vec<_> = jobs
            .flat_map(|job| {
                let done = |key: &UnitKey| job.unit(key).is_some_and(|unit| unit.done);
                let members = job.assigned().map(|(key, _)| key);
                members.filter(move |key| !done(&key.unit))
            })
            .collect();
        for key in assigned {
            self.stop_member(now, &key);
        }
    }

    /// Settles the runs on workers whose leases have run out or whose life is over.
    pub(super) fn settle_lapsed_workers(&mut self, now: TimeMs) {
        let lapsed: Vec<id::WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty())
            .filter(|(_, worker)| {
                worker.over || worker.is_silent() || worker.missing_since.is_some()
            })
            .filter(|(_, worker)| worker.has_lapsed(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.settle_worker(now, &id);
        }
    }

    fn settle_worker(&mut self, now: TimeMs, id: &id::WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<MemberKey> = worker.tasks.keys().cloned().collect();
        self.notes.push(Note::WorkerLapsed {
            worker: id.clone(),
            runs: tasks.len(),
            ended: worker.over,
        });
        for key in tasks {
            let run = self.unit(&key.unit).map_or(0, |unit| unit.run);
            self.run_ended(now, id, &key.task_name(), run, RunEnd::Lapsed, "");
        }
    }

    /// Moves lasting work off a worker that leaves.
    pub(super) fn evacuate(&mut self, now: TimeMs, id: &id::WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<MemberKey> = worker.tasks.keys().cloned().collect();
        for key in tasks {
            let persistent = self
                .jobs
                .get(&key.unit.step.job)
                .is_some_and(|job| job.record.steps[key.unit.step.step as usize].persistent);
            if persistent {
                self.stop_member(now, &key);
            }
        }
    }

    /// Forgets ends of jobs that no caller asks for any more.
    pub(super) fn forget_old_ends(&mut self, now: TimeMs) {
        while let Some((ended_at, _)) = self.ended_order.front() {
            if now.since(*ended_at) < self.settings.job_end_retention {
                return;
            }
            if let Some((_, id)) = self.ended_order.pop_front() {
                self.ended.remove(&id);
            }
        }
    }
}
