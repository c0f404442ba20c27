//! Handling of events.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::id;
use crate::job;
use crate::result_code;
use crate::task;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::event::SchedulerEvent;
use super::jobs;
use super::lifecycle;
use super::queue::JobKey;
use super::rounds;
use super::timer;
use super::view;

/// Interval between checks of whether a waiting job's tasks could fit on the pool's workers.
const FIT_CHECK_INTERVAL_MS: time::SpanMs = time::SpanMs(60_000);

impl Scheduler {
    pub(super) fn apply_event(&mut self, now_ms: time::TimeMs, event: SchedulerEvent) {
        match event {
            SchedulerEvent::JobAccepted {
                spec,
                accepted_wall_ms,
            } => self.accept(now_ms, &spec, accepted_wall_ms),
            SchedulerEvent::JobCancelled { job } => self.cancel(&job),
            SchedulerEvent::JobForgotten { job } => self.forget(&job),
            SchedulerEvent::ExtraReplicas {
                spec,
                first_index,
                count,
            } => self.set_extra_replicas(now_ms, &spec, first_index, count),
            SchedulerEvent::WorkerAvailable(listing) => self.apply_listing(now_ms, &listing),
            SchedulerEvent::WorkerUnreachable { worker } => {
                self.worker_unreachable(now_ms, &worker);
            }
            SchedulerEvent::WorkerLost { worker } => self.worker_lost(now_ms, &worker),
            SchedulerEvent::WorkerLeaving { worker, leaving } => {
                self.worker_leaving(now_ms, &worker, leaving);
            }
            SchedulerEvent::StartRefused { run, code } => self.start_refused(now_ms, &run, code),
            // The run keeps its capacity as a starting run until the worker is listed or lost.
            SchedulerEvent::StartUnknown { run: _ } => {}
            SchedulerEvent::RunStarted { run } => self.run_started(now_ms, &run),
            SchedulerEvent::RunEnded { run, outcome } => self.run_ended(now_ms, &run, outcome),
            SchedulerEvent::UnexpectedRunEnded { run, worker } => {
                self.unexpected_run_ended(now_ms, &run, &worker);
            }
            SchedulerEvent::Usage { run, used } => self.report_usage(now_ms, &run, &used),
            SchedulerEvent::Checkpointed { run } => self.checkpointed(now_ms, &run),
            SchedulerEvent::ConfigChanged(config) => self.change_config(now_ms, *config),
            SchedulerEvent::OperatorRetry { task } => self.operator_retry(now_ms, &task),
            SchedulerEvent::RecoveryComplete => self.complete_recovery(),
            SchedulerEvent::TimeOfDay { time_of_day_ms } => {
                self.set_time_of_day(now_ms, time_of_day_ms);
            }
        }
    }

    fn accept(
        &mut self,
        now_ms: time::TimeMs,
        spec: &Arc<job::JobSpec>,
        accepted_wall_ms: time::WallTimeMs,
    ) {
        if self.jobs.key(&spec.id).is_some() {
            return;
        }
        let key = self.insert_job(now_ms, spec, accepted_wall_ms, 0, spec.tasks);
        self.adopt_unexpected_runs(now_ms, key);
        self.sync_job(key);
        self.update_warm_windows(now_ms);
    }

    /// Adds a job with all tasks waiting. The caller puts it into the queue with
    /// [`Scheduler::sync_job`].
    pub(super) fn insert_job(
        &mut self,
        now_ms: time::TimeMs,
        spec: &Arc<job::JobSpec>,
        accepted_wall_ms: time::WallTimeMs,
        first_index: u32,
        tasks: u32,
    ) -> JobKey {
        let team = self.queue.team_key(&spec.team, &self.config);
        let family = self.families.key(&spec.team, &spec.id);
        let key = self.jobs.insert(jobs::Job {
            spec: Arc::clone(spec),
            accepted_wall_ms,
            first_index,
            tasks: vec![lifecycle::TaskRecord::new(); tasks as usize],
            waiting_positions: (0..tasks).rev().collect(),
            ready: tasks,
            counts: view::TaskCounts {
                waiting: tasks,
                ..view::TaskCounts::default()
            },
            wanted: tasks,
            team,
            family,
            need: amount::Amount::from(&spec.need),
            queue_entry: None,
            cancelled: false,
            parked: None,
            recovering: false,
            state: decision::JobState::Waiting,
            failed_on: SmallVec::new(),
            has_succeeded: false,
            rack_counts: SmallVec::new(),
            preempting_runs: 0,
            ready_since_ms: now_ms,
        });
        let at_ms = now_ms + FIT_CHECK_INTERVAL_MS;
        self.timers.set(at_ms, timer::Timer::CheckFits(key));
        key
    }

    pub(super) fn cancel(&mut self, id: &id::JobId) {
        let Some(key) = self.jobs.key(id) else {
            self.stop_unexpected_runs_of(id);
            return;
        };
        let job = &mut self.jobs[key];
        if job.cancelled || (job.is_finished() && job.counts.unknown == 0) {
            return;
        }
        job.cancelled = true;
        self.cancel_sweeps.push_back(rounds::CancelSweep {
            job: key,
            next_position: 0,
        });
        self.sync_job(key);
    }

    fn forget(&mut self, id: &id::JobId) {
        let Some(key) = self.jobs.key(id) else {
            return;
        };
        if !self.jobs[key].is_finished() {
            return;
        }
        let count = u32::try_from(self.jobs[key].tasks.len()).unwrap_or(u32::MAX);
        for position in 0..count {
            let task = jobs::TaskKey { job: key, position };
            let record = self.jobs.record(task);
            if let Some(unknown) = record.and_then(lifecycle::TaskRecord::unknown) {
                self.remove_unknown_task(task, unknown.into_record().worker());
            }
        }
        self.jobs.remove(key);
    }

    fn change_config(&mut self, now_ms: time::TimeMs, config: super::SchedulerConfig) {
        let previous = std::mem::replace(&mut self.config, config);
        self.queue.set_quotas(&self.config);
        self.queue.unblock_all();
        self.close_windows(now_ms, &previous);
        self.update_warm_windows(now_ms);
    }

    fn operator_retry(&mut self, now_ms: time::TimeMs, task: &task::TaskId) {
        let Some(key) = self.jobs.task_key(task) else {
            return;
        };
        if self.jobs[key.job].cancelled {
            return;
        }
        self.unpark(key.job);
        let at_ms = now_ms + FIT_CHECK_INTERVAL_MS;
        self.timers.set(at_ms, timer::Timer::CheckFits(key.job));
        let Some(record) = self.jobs.record(key) else {
            return;
        };
        if let Some(unknown) = record.unknown() {
            self.set_task(now_ms, key, unknown.retry().into_record());
            self.remove_unknown_task(key, record.worker());
        } else if let Some(failed) = record.failed() {
            self.set_task(now_ms, key, failed.retry().into_record());
        }
    }

    pub(super) fn unpark(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.parked.take().is_some() {
            job.failed_on.clear();
            self.sync_job(key);
        }
    }

    pub(super) fn park(&mut self, key: JobKey, code: result_code::ResultCode) {
        let job = &mut self.jobs[key];
        if job.parked.is_none() && !job.cancelled {
            job.parked = Some(code);
            self.sync_job(key);
        }
    }

    /// Parks a job whose tasks would not fit even if all workers were empty, and schedules the next
    /// check.
    pub(super) fn check_fits(&mut self, now_ms: time::TimeMs, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.cancelled || job.is_finished() {
            return;
        }
        if job.queue_entry.is_some() && self.workers.len() > 0 {
            self.check_need(key);
        }
        let at_ms = now_ms + FIT_CHECK_INTERVAL_MS;
        self.timers.set(at_ms, timer::Timer::CheckFits(key));
    }

    /// Parks a job whose declared need fits nowhere, and resets a corrected need that no longer
    /// fits.
    fn check_need(&mut self, key: JobKey) {
        let declared = amount::Amount::from(&self.jobs[key].spec.need);
        if !self.could_fit(key, &declared) {
            self.park(key, result_code::ResultCode::NeverFits);
        } else if !self.could_fit(key, &self.jobs[key].need) {
            self.jobs[key].need = declared;
            self.requeue(key);
        }
    }

    /// Whether the pool's workers, if empty, could hold the job's tasks with this need: all waiting
    /// ones of a gang, else one.
    pub(super) fn could_fit(&self, key: JobKey, need: &amount::Amount) -> bool {
        let job = &self.jobs[key];
        let skip = self.skips_accelerator_hosts(need);
        let tasks_together = if job.is_gang() { job.counts.waiting } else { 1 };
        let mut fitting = 0_u32;
        self.workers.iter().any(|(_, worker)| {
            if !(skip && worker.is_accelerator_host()) {
                fitting = fitting.saturating_add(need.count_in(&worker.capacity));
            }
            fitting >= tasks_together
        })
    }

    /// Unparks jobs that were parked because they did not fit, after a worker was listed.
    pub(super) fn unpark_fitting(&mut self) {
        let parked: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.parked == Some(result_code::ResultCode::NeverFits))
            .map(|(key, _)| key)
            .collect();
        for key in parked {
            let declared = amount::Amount::from(&self.jobs[key].spec.need);
            if self.could_fit(key, &declared) {
                self.unpark(key);
            }
        }
    }
}
