//! Decision rounds: all due timers, then a limited number of stops, notices and starts.

use crate::time;

use super::Scheduler;
use super::decision;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::placing::Placement;
use super::queue::JobKey;
use super::timer;

/// Maximum number of task records of cancelled jobs examined in one round.
const MAX_SWEPT_TASKS_PER_ROUND: u32 = 4_096;

/// Maximum number of placement attempts for each decision that a round may still make.
const MAX_ATTEMPTS_PER_DECISION: usize = 2;

/// A cancelled job whose tasks are being stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct CancelSweep {
    pub(super) job: JobKey,
    pub(super) next_position: u32,
}

impl Scheduler {
    pub(super) fn has_work(&self) -> bool {
        self.queue.is_ready()
            || !self.satisfiable_holds.is_empty()
            || !self.cancel_sweeps.is_empty()
            || !self.pending_stops.is_empty()
            || !self.notices.is_empty()
    }

    pub(super) fn run_round(
        &mut self,
        now_ms: time::TimeMs,
        max_decisions: usize,
        decisions: &mut Vec<decision::Decision>,
    ) -> bool {
        let max_len = decisions.len() + max_decisions;
        while let Some(timer) = self.timers.pop_due(now_ms) {
            self.handle_timer(now_ms, timer);
        }
        self.sweep_cancelled(now_ms);
        let starts_waiting = self.queue.is_ready() || !self.satisfiable_holds.is_empty();
        let max_len_after_stops = if starts_waiting {
            decisions.len() + max_decisions.div_ceil(2)
        } else {
            max_len
        };
        self.append_stops(now_ms, max_len_after_stops, decisions);
        self.append_notices(max_len_after_stops, decisions);
        self.start_assigned_tasks(now_ms, decisions);
        self.place_waiting(now_ms, max_len, decisions);
        self.append_stops(now_ms, max_len, decisions);
        self.append_notices(max_len, decisions);
        self.has_work()
    }

    fn handle_timer(&mut self, now_ms: time::TimeMs, timer: timer::Timer) {
        match timer {
            timer::Timer::Retry(task) => self.retry(now_ms, task),
            timer::Timer::ResendStop(pending) => self.pending_stops.push_back(pending),
            timer::Timer::ReleaseHold(task) => self.release_hold(now_ms, task),
            timer::Timer::ResumeWorker(worker) => self.resume_worker(now_ms, worker),
            timer::Timer::Probe(worker) => self.offer_probe(worker),
            timer::Timer::CheckOverload(worker) => self.reduce_overload(now_ms, worker),
            timer::Timer::Drain(worker) => self.drain(now_ms, worker),
            timer::Timer::CheckFits(job) => self.check_fits(now_ms, job),
            timer::Timer::WarmWindows => self.update_warm_windows(now_ms),
        }
    }

    /// Ends the pause of a worker, unless it was extended.
    fn resume_worker(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker
            .paused_until_ms
            .is_some_and(|until_ms| until_ms <= now_ms)
        {
            worker.paused_until_ms = None;
            self.refresh_worker(key);
        }
    }

    /// Stops the tasks of cancelled jobs, a bounded number per round.
    fn sweep_cancelled(&mut self, now_ms: time::TimeMs) {
        let mut budget = MAX_SWEPT_TASKS_PER_ROUND;
        while budget > 0 {
            let Some(mut sweep) = self.cancel_sweeps.pop_front() else {
                return;
            };
            let Some(job) = self.jobs.get(sweep.job).filter(|job| job.cancelled) else {
                continue;
            };
            let count = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
            let end_position = count.min(sweep.next_position.saturating_add(budget));
            budget -= end_position.saturating_sub(sweep.next_position).max(1);
            for position in sweep.next_position..end_position {
                let task = TaskKey {
                    job: sweep.job,
                    position,
                };
                self.stop_if_unwanted(now_ms, task);
                self.request_stop(now_ms, task, decision::StopReason::Cancelled);
            }
            sweep.next_position = end_position;
            if end_position < count {
                self.cancel_sweeps.push_front(sweep);
            }
        }
    }

    fn append_stops(
        &mut self,
        now_ms: time::TimeMs,
        max_len: usize,
        decisions: &mut Vec<decision::Decision>,
    ) {
        while decisions.len() < max_len {
            let Some(pending) = self.pending_stops.pop_front() else {
                return;
            };
            if let Some(stop) = self.stop_decision(&pending) {
                decisions.push(stop);
                let at_ms = now_ms + self.config.stop_resend_ms;
                self.timers.set(at_ms, timer::Timer::ResendStop(pending));
            }
        }
    }

    fn stop_decision(&self, pending: &timer::PendingStop) -> Option<decision::Decision> {
        match pending {
            timer::PendingStop::TaskRun { task, attempt } => {
                let record = self.jobs.record(*task)?;
                let worker = self.workers.get(record.worker()?)?;
                let run = worker.run(*task).filter(|run| run.attempt == *attempt)?;
                let reason = run.stop?;
                Some(decision::Decision::Stop {
                    run: self.jobs[task.job].run_id(task.position),
                    worker: worker.id.clone(),
                    checkpoint: self.wants_checkpoint(*task, reason),
                    reason,
                })
            }
            timer::PendingStop::UnexpectedRun(run) => {
                let worker = self.workers.get(*self.unexpected_runs.get(run)?)?;
                Some(decision::Decision::Stop {
                    run: run.clone(),
                    worker: worker.id.clone(),
                    checkpoint: false,
                    reason: decision::StopReason::Superseded,
                })
            }
        }
    }

    fn append_notices(&mut self, max_len: usize, decisions: &mut Vec<decision::Decision>) {
        let count = max_len
            .saturating_sub(decisions.len())
            .min(self.notices.len());
        decisions.extend(self.notices.drain(..count));
    }

    fn start_assigned_tasks(
        &mut self,
        now_ms: time::TimeMs,
        decisions: &mut Vec<decision::Decision>,
    ) {
        for task in std::mem::take(&mut self.satisfiable_holds) {
            self.start_assigned(now_ms, task, decisions);
        }
    }

    /// Unblocks the next shape for each worker with newly freed capacity.
    fn unblock_next_fitting(&mut self) {
        let (unreserved, reserved) = (&self.unreserved, &self.reserved);
        self.queue.unblock_next_fitting(|worker| {
            unreserved.free(worker).or_else(|| reserved.free(worker))
        });
    }

    fn place_waiting(
        &mut self,
        now_ms: time::TimeMs,
        max_len: usize,
        decisions: &mut Vec<decision::Decision>,
    ) {
        let remaining = max_len.saturating_sub(decisions.len());
        for _ in 0..remaining.saturating_mul(MAX_ATTEMPTS_PER_DECISION) {
            if decisions.len() >= max_len {
                return;
            }
            self.unblock_next_fitting();
            let Some(head) = self.queue.head() else {
                return;
            };
            let placement = if head.shape.gang_tasks > 0 {
                self.place_gang(now_ms, &head, decisions)
            } else {
                self.place_next_task(now_ms, &head, decisions)
            };
            match placement {
                Placement::Started | Placement::Assigned => {}
                Placement::DoesNotFit => self.queue.block(&head),
                Placement::OverQuota => self.queue.exclude_over_quota(&head),
            }
        }
    }
}
