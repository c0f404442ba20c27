//! Wanted number of replicas of a service: warm windows, and replicas in place of those lost in
//! another zone.

use std::sync::Arc;

use crate::id;
use crate::job;
use crate::time;

use super::Scheduler;
use super::config;
use super::decision;
use super::jobs::TaskKey;
use super::lifecycle;
use super::queue::JobKey;
use super::timer;

/// Length of a day, in milliseconds.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Interval at which warm windows are checked.
const WARM_WINDOW_CHECK_INTERVAL_MS: time::SpanMs = time::SpanMs(1_000);

/// Added to the measured start time of a service to allow for its time in the queue.
const WARM_LEAD_MARGIN_MS: time::SpanMs = time::SpanMs(5_000);

/// A reading of the time of day, which relates it to the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct DayClock {
    read_at_ms: time::TimeMs,
    time_of_day_ms: time::SpanMs,
}

impl DayClock {
    fn time_of_day(&self, now_ms: time::TimeMs) -> u64 {
        (self.time_of_day_ms.0 + now_ms.since(self.read_at_ms).0) % DAY_MS
    }
}

/// Whether a window is open, or opens within the lead time.
fn is_warm(window: &config::WarmWindow, time_of_day_ms: u64, lead: time::SpanMs) -> bool {
    let length_ms = (DAY_MS + window.closes_ms.0 - window.opens_ms.0 % DAY_MS) % DAY_MS;
    let lead_ms = lead.0.min(DAY_MS - length_ms);
    let start_ms = (DAY_MS + window.opens_ms.0 - lead_ms) % DAY_MS;
    let since_start_ms = (DAY_MS + time_of_day_ms - start_ms) % DAY_MS;
    since_start_ms < length_ms + lead_ms
}

impl Scheduler {
    pub(super) fn set_time_of_day(&mut self, now_ms: time::TimeMs, time_of_day_ms: time::SpanMs) {
        self.day_clock = Some(DayClock {
            read_at_ms: now_ms,
            time_of_day_ms,
        });
        self.update_warm_windows(now_ms);
    }

    /// Updates the wanted number of replicas of every service with a warm window. Windows open
    /// earlier by the measured start time of their service.
    pub(super) fn update_warm_windows(&mut self, now_ms: time::TimeMs) {
        let Some(day_clock) = self.day_clock else {
            return;
        };
        if self.config.warm_windows.is_empty() {
            return;
        }
        let time_of_day_ms = day_clock.time_of_day(now_ms);
        let services: Vec<id::JobId> = window_services(&self.config);
        for id in services {
            let Some(key) = self.service_key(&id) else {
                continue;
            };
            let lead = self.families.start_time(self.jobs[key].family) + WARM_LEAD_MARGIN_MS;
            let windows = self.config.warm_windows.iter();
            let minimum = windows
                .filter(|window| window.job == id && is_warm(window, time_of_day_ms, lead))
                .map(|window| window.minimum)
                .max()
                .unwrap_or(0);
            let wanted = minimum.min(job::MAX_TASKS).max(self.jobs[key].spec.tasks);
            self.set_wanted(now_ms, key, wanted);
        }
        self.set_window_timer(now_ms);
    }

    fn set_window_timer(&mut self, now_ms: time::TimeMs) {
        let due = self
            .next_window_check_ms
            .is_none_or(|at_ms| at_ms <= now_ms);
        if due {
            let at_ms = now_ms + WARM_WINDOW_CHECK_INTERVAL_MS;
            self.next_window_check_ms = Some(at_ms);
            self.timers.set(at_ms, timer::Timer::WarmWindows);
        }
    }

    /// Resets the number of replicas of services that had warm windows only in the previous
    /// settings.
    pub(super) fn close_windows(
        &mut self,
        now_ms: time::TimeMs,
        previous: &config::SchedulerConfig,
    ) {
        let current = window_services(&self.config);
        for id in window_services(previous) {
            if current.contains(&id) {
                continue;
            }
            if let Some(key) = self.service_key(&id) {
                let wanted = self.jobs[key].spec.tasks;
                self.set_wanted(now_ms, key, wanted);
            }
        }
    }

    /// Returns the key of a service that this pool runs; `None` if it is cancelled or the pool runs
    /// only extra replicas of it for another zone.
    fn service_key(&self, id: &id::JobId) -> Option<JobKey> {
        let key = self.jobs.key(id)?;
        let job = &self.jobs[key];
        (job.is_service() && job.first_index == 0 && !job.cancelled).then_some(key)
    }

    pub(super) fn set_extra_replicas(
        &mut self,
        now_ms: time::TimeMs,
        spec: &Arc<job::JobSpec>,
        first_index: u32,
        count: u32,
    ) {
        if spec.kind != job::JobKind::Service || first_index == 0 {
            return;
        }
        let count = count.min(job::MAX_TASKS);
        let key = match self.jobs.key(&spec.id) {
            Some(key) if self.jobs[key].first_index == first_index => key,
            Some(_) => return,
            None => {
                let accepted_wall_ms = time::WallTimeMs(0);
                let key = self.insert_job(now_ms, spec, accepted_wall_ms, first_index, count);
                self.adopt_unexpected_runs(now_ms, key);
                self.sync_job(key);
                key
            }
        };
        self.set_wanted(now_ms, key, count);
    }

    /// Sets the wanted number of replicas of a service. Idempotent.
    fn set_wanted(&mut self, now_ms: time::TimeMs, key: JobKey, wanted: u32) {
        let previous = std::mem::replace(&mut self.jobs[key].wanted, wanted);
        if previous == wanted {
            return;
        }
        self.add_tasks(now_ms, key, wanted);
        for position in previous..wanted {
            let task = TaskKey { job: key, position };
            let record = self.jobs.record(task);
            if let Some(stopped) = record.and_then(lifecycle::TaskRecord::stopped) {
                self.set_task(now_ms, task, stopped.resume().into_record());
            }
        }
        for position in wanted..previous {
            let task = TaskKey { job: key, position };
            self.stop_if_unwanted(now_ms, task);
            self.request_stop(now_ms, task, decision::StopReason::Surplus);
        }
        self.sync_job(key);
    }

    fn add_tasks(&mut self, now_ms: time::TimeMs, key: JobKey, wanted: u32) {
        let job = &mut self.jobs[key];
        let present = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        for position in present..wanted {
            job.tasks.push(lifecycle::TaskRecord::new());
            job.waiting_positions.push(position);
            job.counts.waiting += 1;
            job.ready += 1;
            job.ready_since_ms = now_ms;
        }
    }
}

fn window_services(config: &config::SchedulerConfig) -> Vec<id::JobId> {
    let mut services: Vec<id::JobId> = config
        .warm_windows
        .iter()
        .map(|window| window.job.clone())
        .collect();
    services.sort_unstable();
    services.dedup();
    services
}
