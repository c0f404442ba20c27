//! State changes of a task whose run ends, is refused or is lost.

use crate::job;
use crate::result_code;
use crate::task;
use crate::time;

use super::Scheduler;
use super::decision;
use super::health;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::lifecycle;
use super::timer;
use super::worker;

impl Scheduler {
    /// Returns the task of a run if it is the task's latest run.
    pub(super) fn task_of_current_run(&self, run: &task::RunId) -> Option<TaskKey> {
        let key = self.jobs.task_key(&run.task)?;
        let record = self.jobs.record(key)?;
        (record.attempt() == run.attempt).then_some(key)
    }

    pub(super) fn run_started(&mut self, now_ms: time::TimeMs, run: &task::RunId) {
        let Some(key) = self.task_of_current_run(run) else {
            return;
        };
        let Some(starting) = self
            .jobs
            .record(key)
            .and_then(lifecycle::TaskRecord::starting)
        else {
            return;
        };
        self.set_task(now_ms, key, starting.confirm().into_record());
        let worker = starting.into_record().worker();
        let started_ms = worker
            .and_then(|worker| self.workers[worker].run(key))
            .map(|run| run.started_ms);
        if let Some(started_ms) = started_ms {
            let family = self.jobs[key.job].family;
            let span = now_ms.since(started_ms);
            self.families.report_start_time(family, span);
        }
    }

    pub(super) fn start_refused(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        code: result_code::ResultCode,
    ) {
        let Some(key) = self.task_of_current_run(run) else {
            return;
        };
        let Some(active) = self
            .jobs
            .record(key)
            .and_then(lifecycle::TaskRecord::active)
        else {
            return;
        };
        let worker = active.into_record().worker();
        if let Some(worker) = worker {
            self.pause_worker(now_ms, worker);
        }
        let ended = self.detach_run(key);
        self.end_not_run(now_ms, key, active);
        let Some(worker) = worker.filter(|_| ended.is_some()) else {
            return;
        };
        if indicates_worker_fault(code) {
            self.probe_ended(now_ms, worker, health::ProbeResult::Failed);
            self.record_failure(now_ms, worker, key.job);
        } else {
            self.probe_ended(now_ms, worker, health::ProbeResult::Inconclusive);
        }
    }

    /// Pauses starts on a worker for a short time after it refused one, because its free capacity
    /// may differ from what is recorded here.
    fn pause_worker(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let until_ms = now_ms + self.config.retry_base_ms;
        self.workers[key].paused_until_ms = Some(until_ms);
        self.refresh_worker(key);
        self.timers.set(until_ms, timer::Timer::ResumeWorker(key));
    }

    pub(super) fn run_ended(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        outcome: task::RunOutcome,
    ) {
        self.remove_unexpected_run(now_ms, run);
        if self.task_of_current_run(run).is_none() {
            self.adopt_ended(now_ms, run, outcome);
            return;
        }
        self.current_run_ended(now_ms, run, outcome);
    }

    /// Handles the end of a run if it is its task's latest run. Another worker may list a run with
    /// the same attempt number, which is not affected.
    pub(super) fn current_run_ended(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        outcome: task::RunOutcome,
    ) {
        let Some(key) = self.task_of_current_run(run) else {
            return;
        };
        let Some(record) = self.jobs.record(key) else {
            return;
        };
        if let Some(active) = record.active() {
            self.end_active(now_ms, key, active, outcome);
        } else if let Some(unknown) = record.unknown() {
            self.settle_unknown(now_ms, key, unknown, outcome);
        }
    }

    pub(super) fn end_active(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
        outcome: task::RunOutcome,
    ) {
        let worker = active.into_record().worker();
        let ended = self.detach_run(key);
        // Must come first: it parks a job that turns out to fail everywhere, and the tasks of a
        // parked job wait instead of failing after too many failures.
        if let Some((worker, ended)) = worker.zip(ended.as_ref()) {
            self.record_worker_result(now_ms, worker, key, ended, outcome);
        }
        match outcome {
            task::RunOutcome::Succeeded => self.end_succeeded(now_ms, key, active, ended.as_ref()),
            task::RunOutcome::Failed => self.end_failed(now_ms, key, active),
            task::RunOutcome::NotRun => self.end_not_run(now_ms, key, active),
            task::RunOutcome::Stopped => self.end_stopped(now_ms, key, active, ended.as_ref()),
            task::RunOutcome::Lost => self.end_lost(now_ms, key, active),
        }
        if outcome != task::RunOutcome::Succeeded {
            self.break_gang(now_ms, key);
        }
    }

    fn record_worker_result(
        &mut self,
        now_ms: time::TimeMs,
        worker: WorkerKey,
        key: TaskKey,
        ended: &worker::Run,
        outcome: task::RunOutcome,
    ) {
        match outcome {
            task::RunOutcome::Succeeded => {
                self.record_success(now_ms, worker, key.job);
                self.probe_ended(now_ms, worker, health::ProbeResult::Succeeded);
            }
            task::RunOutcome::Failed => {
                self.probe_ended(now_ms, worker, health::ProbeResult::Failed);
                if ended.stop.is_none() {
                    self.record_failure(now_ms, worker, key.job);
                }
            }
            _ => self.probe_ended(now_ms, worker, health::ProbeResult::Inconclusive),
        }
    }

    fn end_succeeded(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
        ended: Option<&worker::Run>,
    ) {
        let job = &self.jobs[key.job];
        if job.is_service() {
            // A replica should run until it is stopped, so its own exit is not a success.
            self.requeue_or_stop(now_ms, key, active, ended);
            return;
        }
        if let Some(ended) = ended.filter(|ended| ended.stop.is_none()) {
            let family = job.family;
            let span = now_ms.since(ended.started_ms);
            self.families.report_run_time(family, span);
        }
        self.set_task(now_ms, key, active.succeed().into_record());
    }

    fn end_failed(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
    ) {
        let active = active.count_failure();
        let job = &self.jobs[key.job];
        if job.cancelled {
            self.set_task(now_ms, key, active.end_stopped().into_record());
            return;
        }
        let exhausted = active.into_record().failures() >= self.config.max_task_failures;
        let exhausted = exhausted && !job.is_service() && job.parked.is_none();
        if !job.spec.idempotent || exhausted {
            self.set_task(now_ms, key, active.fail().into_record());
            return;
        }
        self.back_off(now_ms, key, active);
    }

    fn end_not_run(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
    ) {
        if self.is_wanted(key) {
            self.back_off(now_ms, key, active);
        } else {
            self.set_task(now_ms, key, active.end_stopped().into_record());
        }
        self.break_gang(now_ms, key);
    }

    fn end_stopped(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
        ended: Option<&worker::Run>,
    ) {
        self.requeue_or_stop(now_ms, key, active, ended);
    }

    /// Ends a task as stopped if it is not wanted any more. Otherwise an idempotent task goes back
    /// into the queue and any other becomes unknown.
    fn requeue_or_stop(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
        ended: Option<&worker::Run>,
    ) {
        let stop_requested = ended.is_some_and(|ended| {
            matches!(
                ended.stop,
                Some(decision::StopReason::Cancelled | decision::StopReason::Surplus)
            )
        });
        if !self.is_wanted(key) || (stop_requested && self.jobs[key.job].cancelled) {
            self.set_task(now_ms, key, active.end_stopped().into_record());
        } else if !self.jobs[key.job].spec.idempotent {
            self.mark_unknown(now_ms, key, active);
        } else if ended.is_some_and(|ended| ended.stop.is_some()) {
            self.set_task(now_ms, key, active.requeue().into_record());
        } else {
            self.back_off(now_ms, key, active);
        }
    }

    /// Handles a run that ended without a reported outcome.
    pub(super) fn end_lost(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
    ) {
        if !self.jobs[key.job].spec.idempotent {
            self.mark_unknown(now_ms, key, active);
        } else if self.is_wanted(key) {
            self.set_task(now_ms, key, active.requeue().into_record());
        } else {
            self.set_task(now_ms, key, active.end_stopped().into_record());
        }
    }

    /// Marks the outcome of a task as unknown. Only a report of its worker or an operator can
    /// change that.
    pub(super) fn mark_unknown(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
    ) {
        let record = active.mark_unknown().into_record();
        self.set_task(now_ms, key, record);
        if let Some(worker) = record.worker().and_then(|key| self.workers.get_mut(key)) {
            worker.unknown_tasks.push(key);
        }
        let run = self.jobs[key.job].run_id(key.position);
        self.notices
            .push_back(decision::Decision::TaskUnknown { run });
    }

    fn settle_unknown(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        unknown: lifecycle::Task<lifecycle::Unknown>,
        outcome: task::RunOutcome,
    ) {
        let record = match outcome {
            task::RunOutcome::Succeeded => unknown.succeed().into_record(),
            task::RunOutcome::Failed => unknown.fail().into_record(),
            task::RunOutcome::NotRun => unknown.retry().into_record(),
            task::RunOutcome::Stopped | task::RunOutcome::Lost => return,
        };
        self.remove_unknown_task(key, unknown.into_record().worker());
        self.set_task(now_ms, key, record);
        self.stop_if_unwanted(now_ms, key);
    }

    /// Removes a task from the unknown tasks that its worker may still report on.
    pub(super) fn remove_unknown_task(&mut self, key: TaskKey, worker: Option<WorkerKey>) {
        let Some(worker_key) = worker else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(worker_key) {
            worker.unknown_tasks.retain(|other| *other != key);
        }
        self.remove_if_unused(worker_key);
    }

    /// Whether a task should run: its job is not cancelled and it is not a surplus replica.
    pub(super) fn is_wanted(&self, key: TaskKey) -> bool {
        let job = &self.jobs[key.job];
        !job.cancelled && key.position < job.wanted
    }

    /// Ends a waiting task that is not wanted any more.
    pub(super) fn stop_if_unwanted(&mut self, now_ms: time::TimeMs, key: TaskKey) {
        if self.is_wanted(key) {
            return;
        }
        let Some(record) = self.jobs.record(key) else {
            return;
        };
        if let Some(waiting) = record.waiting() {
            self.set_task(now_ms, key, waiting.stop().into_record());
        } else if let Some(backing_off) = record.backing_off() {
            let stopped = backing_off.ready().stop();
            self.set_task(now_ms, key, stopped.into_record());
        } else if record.assigned().is_some() {
            self.release_hold(now_ms, key);
            self.stop_if_unwanted(now_ms, key);
        }
    }

    fn back_off(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        active: lifecycle::Task<lifecycle::Active>,
    ) {
        let failures = u32::from(active.into_record().failures()).min(16);
        let wait_ms = self.config.retry_base_ms.0 << failures.saturating_sub(1);
        let wait_ms = wait_ms.min(self.config.retry_max_ms.0);
        let record = active.requeue().back_off().into_record();
        self.set_task(now_ms, key, record);
        let at_ms = now_ms + time::SpanMs(wait_ms);
        self.timers.set(at_ms, timer::Timer::Retry(key));
    }

    /// Ends the back-off of a task.
    pub(super) fn retry(&mut self, now_ms: time::TimeMs, key: TaskKey) {
        let Some(record) = self.jobs.record(key) else {
            return;
        };
        if let Some(backing_off) = record.backing_off() {
            self.set_task(now_ms, key, backing_off.ready().into_record());
        }
        self.stop_if_unwanted(now_ms, key);
    }

    /// Stops the other tasks of a gang, because a gang runs only as a whole.
    fn break_gang(&mut self, now_ms: time::TimeMs, key: TaskKey) {
        let job = &self.jobs[key.job];
        if !job.is_gang() || job.counts.running == 0 {
            return;
        }
        let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        for position in 0..count {
            let task = TaskKey {
                job: key.job,
                position,
            };
            self.request_stop(now_ms, task, decision::StopReason::GangBroken);
        }
    }

    /// Marks a run as stopping. The stop is sent by a later round.
    pub(super) fn request_stop(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        reason: decision::StopReason,
    ) {
        let Some(active) = self
            .jobs
            .record(key)
            .and_then(lifecycle::TaskRecord::active)
        else {
            return;
        };
        let record = active.into_record();
        let Some(worker) = record.worker() else {
            return;
        };
        self.remove_victim(worker, key);
        let Some(run) = self.workers[worker].run_mut(key) else {
            return;
        };
        let previous = run.stop.replace(reason);
        let attempt = run.attempt;
        if previous == Some(decision::StopReason::Preempted)
            && reason != decision::StopReason::Preempted
        {
            let job = &mut self.jobs[key.job];
            job.preempting_runs = job.preempting_runs.saturating_sub(1);
        }
        if previous.is_none() {
            self.set_task(now_ms, key, active.stop().into_record());
            self.pending_stops
                .push_back(timer::PendingStop::TaskRun { task: key, attempt });
        }
    }

    /// Whether a run stopped for this reason is checkpointed first: batch work that will resume.
    pub(super) fn wants_checkpoint(&self, key: TaskKey, reason: decision::StopReason) -> bool {
        let resumes = matches!(
            reason,
            decision::StopReason::Preempted
                | decision::StopReason::Oversized
                | decision::StopReason::WorkerLeaving
        );
        resumes && self.jobs[key.job].spec.kind == job::JobKind::Batch
    }
}

/// Whether a refusal with this code counts as a failure of the worker.
fn indicates_worker_fault(code: result_code::ResultCode) -> bool {
    use result_code::ResultCode;
    !matches!(
        code,
        ResultCode::NoCapacity
            | ResultCode::Leaving
            | ResultCode::Expired
            | ResultCode::StaleEpoch
            | ResultCode::StaleRoster
            | ResultCode::NotLeader
            | ResultCode::NoLeader
            | ResultCode::StoreUnavailable
    )
}
