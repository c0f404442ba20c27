//! Settles ended runs and frees their resources.

use std::sync::Arc;

use crate::id;
use crate::time::TimeMs;

use super::super::job::{MemberKey, Phase, StepKey, UnitKey};
use super::super::message::{RunEnd, TaskName};
use super::super::record::JobState;
use super::super::start_calls::StartCalls;
use super::progress::scaled;
use super::{Note, Pool};

impl Pool {
    /// Handles the end of a run that a worker listed, or that follows from the end of the worker's
    /// leases or incarnation.
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
        let is_assigned_run = current && member.worker.as_ref() == Some(worker);
        let phase = is_assigned_run.then_some(member.phase);
        let since = now.since(member.phase_since);
        if current && !checkpoint.is_empty() {
            checkpoint.clone_into(&mut unit.checkpoint);
        }
        if is_assigned_run || (end == RunEnd::Done && !unit.done) {
            self.notes.push(Note::RunEnded {
                task: task.clone(),
                run,
                worker: worker.clone(),
                end,
                phase,
                since,
            });
        }
        if is_assigned_run && end == RunEnd::Done {
            self.learn_time(now, &key, worker);
        }
        match end {
            RunEnd::Done => self.unit_done(now, &key, worker, is_assigned_run),
            RunEnd::Failed => self.unit_failed(now, &key, worker, run),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {}
        }
        if is_assigned_run {
            self.release(now, &key);
            if end != RunEnd::Done {
                self.abort_run(now, &key.unit);
            }
        }
    }

    /// Learns from the run time of a task that was never interrupted. Runs away from their data are left
    /// out, and of a gang only one member counts.
    fn learn_time(&mut self, now: TimeMs, key: &MemberKey, worker: &id::WorkerId) {
        let (Some(job), Some(worker)) = (
            self.jobs.get(&key.unit.step.job),
            self.workers.get_mut(worker),
        ) else {
            return;
        };
        let spec = &job.record.steps[key.unit.step.step as usize];
        let Some(unit) = job.unit(&key.unit) else {
            return;
        };
        let member = &unit.members[key.member as usize];
        let uninterrupted = unit.run == 1 && member.phase == Phase::Running;
        let counts = !spec.persistent && !spec.best_effort && key.member == 0;
        if !uninterrupted || !counts || !worker.matches(spec.affinity_rack.as_deref()) {
            return;
        }
        let took_ms = now.since(member.phase_since).0;
        let queue = &job.record.policy.queue;
        let forecast = self.estimates.forecast(queue, spec);
        let usual_ms = scaled(took_ms, worker.learned_speed.factor());
        if !spec.gang {
            let (expected_ms, variance) = (forecast.median_ms(), forecast.variance());
            worker.learned_speed.learn(expected_ms, variance, took_ms);
        }
        self.estimates.learn(queue, spec, usual_ms);
    }

    fn unit_done(
        &mut self,
        now: TimeMs,
        key: &MemberKey,
        worker: &id::WorkerId,
        is_assigned_run: bool,
    ) {
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
        if !is_assigned_run {
            // An earlier run has finished the work, so the current one is not needed.
            self.stop_unit(now, &key.unit);
        }
        self.count_unit_done(now, &key.unit.step);
    }

    /// Counts a unit of a step as done, and queues the steps that become ready.
    fn count_unit_done(&mut self, now: TimeMs, key: &StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(step) = job.step_mut(key) else {
            return;
        };
        step.open_units = step.open_units.saturating_sub(1);
        let step_done = step.open_units == 0;
        let Some(occurrence) = job.occurrences.get_mut(&key.occurrence) else {
            return;
        };
        occurrence.done = occurrence.steps.iter().all(|step| step.open_units == 0);
        if !step_done {
            self.request_tickets_ahead(key);
            return;
        }
        self.queue_ready_steps(now, &key.job, key.occurrence);
        if let Some(job) = self.jobs.get_mut(&key.job) {
            job.end_occurrence(key.occurrence);
        }
        self.finish_if_done(now, &key.job);
    }

    fn unit_failed(&mut self, now: TimeMs, key: &MemberKey, worker: &id::WorkerId, run: u32) {
        let id = &key.unit.step.job;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let persistent = job.record.steps[key.unit.step.step as usize].persistent;
        let max_attempts = job.record.policy.max_attempts.max(1);
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        if unit.failed_runs.contains(&run) {
            return;
        }
        unit.failed_runs.push(run);
        unit.avoided_workers.push(worker.clone());
        let exhausted =
            !persistent && !unit.done && unit.failed_runs.len() >= max_attempts as usize;
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

    /// Frees a member and its resources; queues the unit once all of its members are free.
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
        let was_stored = !matches!(member.phase, Phase::Planned | Phase::Writing);
        member.phase = Phase::Free;
        member.phase_since = now;
        member.start_calls = StartCalls::default();
        member.started_at = None;
        member.born_ms = None;
        member.over_target_since = None;
        if unit.is_free() {
            unit.aborting = false;
        }
        self.count_released(&record, key);
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.remove_task(key, &record.steps[key.unit.step.step as usize]);
        }
        self.mark_dirty(&key.unit.step.job);
        self.queue_unit(&key.unit);
        self.placing_due = true;
        if let Some(job) = self.jobs.get_mut(&key.unit.step.job) {
            job.row_overflow.is_full &= !was_stored;
            job.end_occurrence(key.unit.step.occurrence);
        }
    }

    /// Aborts the current run of a unit of which one member has ended or is withdrawn from its
    /// worker.
    pub(super) fn abort_run(&mut self, now: TimeMs, key: &UnitKey) {
        let Some(unit) = self.unit_mut(key) else {
            return;
        };
        if unit.done || unit.aborting || unit.is_free() {
            return;
        }
        unit.aborting = true;
        self.stop_unit(now, key);
    }

    /// Stops all members of a unit; those for which no start order can still be carried out
    /// are free at once.
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

    /// Stops all assigned members of a job.
    pub(super) fn stop_assigned(&mut self, now: TimeMs, id: &id::JobId) {
        // Members of a finished gang end by themselves.
        let jobs = self.jobs.get(id).into_iter();
        let assigned: Vec<_> = jobs
            .flat_map(|job| {
                let done = |key: &UnitKey| job.unit(key).is_some_and(|unit| unit.done);
                let members = job.assigned_members().map(|(key, _)| key);
                members.filter(move |key| !done(&key.unit))
            })
            .collect();
        for key in assigned {
            self.stop_member(now, &key);
        }
    }

    /// Settles the runs on workers whose leases have expired or whose incarnation has ended.
    pub(super) fn settle_lapsed_workers(&mut self, now: TimeMs) {
        let lapsed: Vec<id::WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty())
            .filter(|(_, worker)| {
                worker.ended || worker.is_unresponsive() || worker.missing_since.is_some()
            })
            .filter(|(_, worker)| worker.has_lapsed(now))
            .filter(|(id, worker)| worker.ended || !self.may_start_earlier_run(now, id))
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
        let (end, answered_at) = (worker.end(), worker.answered_at());
        self.notes.push(Note::WorkerLapsed {
            worker: id.clone(),
            runs: tasks.len(),
            ended: worker.ended,
        });
        let suspicions = self.suspicions(&tasks, end, answered_at);
        for key in tasks {
            let run = self.unit(&key.unit).map_or(0, |unit| unit.run);
            self.run_ended(now, id, &key.task_name(), run, RunEnd::Lapsed, "");
        }
        self.charge(now, id, &suspicions);
    }

    /// Stops persistent tasks on a draining worker, so that they start elsewhere.
    pub(super) fn stop_persistent_tasks(&mut self, now: TimeMs, id: &id::WorkerId) {
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

    /// Forgets final states of jobs that callers do not query any more.
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
