//! Correction of declared sizes by measured usage.
//!
//! A run is allocated the greater of its declared and its measured size, and no run is started
//! beyond a worker's capacity. Where the measured usage of runs grows over the capacity later, the
//! overload is reduced: processor usage by throttling first, and memory usage, or processor usage
//! that throttling did not reduce, by checkpointing a run and moving it.

use crate::job;
use crate::resources;
use crate::task;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::lifecycle;
use super::queue::JobKey;
use super::timer;
use super::worker;

/// Age, in milliseconds, from which a running replica counts as a success of its worker.
const MIN_SUCCESSFUL_AGE_MS: u64 = 10_000;

/// A function that returns one of the measured resources.
type ResourceGetter = fn(&amount::Amount) -> u32;

fn cpu(amount: &amount::Amount) -> u32 {
    amount.cpu_millicores
}

fn memory(amount: &amount::Amount) -> u32 {
    amount.memory_mib
}

impl Scheduler {
    /// Updates the allocation of a run to match its measured usage.
    pub(super) fn report_usage(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        used: &resources::Resources,
    ) {
        // Accelerators and slots are allocated whole, so there is nothing to correct.
        let used = amount::Amount {
            accelerators: 0,
            slots: 0,
            ..amount::Amount::from(used)
        };
        if let Some(&worker) = self.unexpected_runs.get(run) {
            self.report_unexpected_run_usage(worker, run, &used);
            return;
        }
        let Some(key) = self.task_of_current_run(run) else {
            return;
        };
        let record = self
            .jobs
            .record(key)
            .filter(lifecycle::TaskRecord::is_active);
        let Some(worker_key) = record.and_then(|record| record.worker()) else {
            return;
        };
        let Some(entry) = self.workers[worker_key].run_mut(key) else {
            return;
        };
        entry.peak = entry.peak.max_each(&used);
        let allocated = entry.need.max_each(&used);
        let changed = allocated != entry.allocated;
        entry.allocated = allocated;
        let counts_as_success = now_ms.since(entry.started_ms).0 >= MIN_SUCCESSFUL_AGE_MS;
        self.learn_usage(key, run.attempt, &used);
        if counts_as_success && self.jobs[key.job].is_service() {
            self.record_success(now_ms, worker_key, key.job);
        }
        if changed {
            self.mark_possibly_overcommitted(worker_key);
            self.refresh_worker(worker_key);
            self.reduce_overload(now_ms, worker_key);
        }
    }

    fn report_unexpected_run_usage(
        &mut self,
        key: WorkerKey,
        run: &task::RunId,
        used: &amount::Amount,
    ) {
        self.mark_possibly_overcommitted(key);
        let unexpected_runs = self.workers[key].unexpected_runs.iter_mut();
        for unexpected_run in unexpected_runs.filter(|unexpected_run| unexpected_run.run == *run) {
            unexpected_run.allocated = unexpected_run.need.max_each(used);
        }
        self.refresh_worker(key);
    }

    fn learn_usage(&mut self, key: TaskKey, attempt: u32, used: &amount::Amount) {
        let run_key =
            (u64::from(key.job) << 32) ^ (u64::from(key.position) << 8) ^ u64::from(attempt);
        let family = self.jobs[key.job].family;
        self.families.report_usage(family, run_key, used);
    }

    /// Notes that a listing or a measurement may have put a worker over its capacity.
    pub(super) fn mark_possibly_overcommitted(&mut self, key: WorkerKey) {
        self.workers[key].may_be_overcommitted = true;
    }

    pub(super) fn checkpointed(&mut self, now_ms: time::TimeMs, run: &task::RunId) {
        let Some(key) = self.task_of_current_run(run) else {
            return;
        };
        let Some(worker) = self.jobs.record(key).and_then(|record| record.worker()) else {
            return;
        };
        self.remove_victim(worker, key);
        if let Some(entry) = self.workers[worker].run_mut(key) {
            entry.last_checkpoint_ms = now_ms;
            self.add_victim(worker, key);
        }
    }

    /// Raises the need of a job's tasks to the measured usage of its family.
    pub(super) fn correct_need(&mut self, key: JobKey) {
        let job = &self.jobs[key];
        let learned = self.families.size(job.family);
        let need = job.need.max_each(&learned);
        if need != job.need && self.could_fit(key, &need) {
            self.jobs[key].need = need;
        }
    }

    /// Moves or throttles runs of a worker that is over its capacity, or releases throttled runs if
    /// it is not.
    pub(super) fn reduce_overload(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let memory_over = memory(&worker.allocated) > memory(&worker.capacity);
        let cpu_over = cpu(&worker.allocated) > cpu(&worker.capacity);
        if memory_over {
            self.move_most_oversized(now_ms, key, memory);
        }
        if cpu_over {
            self.reduce_cpu_overload(now_ms, key);
        } else {
            self.workers[key].cpu_overloaded_since_ms = None;
            self.release_throttled(key);
        }
    }

    fn reduce_cpu_overload(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let since_ms = *worker.cpu_overloaded_since_ms.get_or_insert(now_ms);
        let grace_ms = self.config.throttle_grace_ms;
        if now_ms >= since_ms + grace_ms {
            self.move_most_oversized(now_ms, key, cpu);
            return;
        }
        self.timers
            .set(since_ms + grace_ms, timer::Timer::CheckOverload(key));
        let worker = &self.workers[key];
        let above_need =
            |run: &&worker::Run| !run.throttled && cpu(&run.allocated) > cpu(&run.need);
        let tasks: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(above_need)
            .map(|run| run.task)
            .collect();
        for task in tasks {
            self.throttle(key, task, true);
        }
    }

    fn throttle(&mut self, key: WorkerKey, task: TaskKey, throttled: bool) {
        let worker = &mut self.workers[key];
        let id = worker.id.clone();
        let Some(run) = worker.run_mut(task) else {
            return;
        };
        run.throttled = throttled;
        let limit = throttled.then_some(u64::from(run.need.cpu_millicores));
        self.notices.push_back(decision::Decision::Throttle {
            run: self.jobs[task.job].run_id(task.position),
            worker: id,
            cpu_millicores: limit,
        });
    }

    /// Releases throttled runs whose peak usage fits again.
    fn release_throttled(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let mut free_cpu = cpu(&worker.free());
        let mut released = Vec::new();
        for run in worker.runs.iter().filter(|run| run.throttled) {
            let growth = cpu(&run.peak).saturating_sub(cpu(&run.allocated));
            if growth <= free_cpu {
                free_cpu -= growth;
                released.push(run.task);
            }
        }
        for task in released {
            self.throttle(key, task, false);
        }
    }

    /// Moves the run that exceeds its need most, unless the runs that are already stopping free
    /// enough.
    fn move_most_oversized(
        &mut self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        resource: ResourceGetter,
    ) {
        let worker = &self.workers[key];
        let stopping: u32 = worker
            .runs
            .iter()
            .filter(|run| run.stop.is_some())
            .map(|run| resource(&run.allocated))
            .sum();
        if resource(&worker.allocated).saturating_sub(stopping) <= resource(&worker.capacity) {
            return;
        }
        let excess = |run: &worker::Run| resource(&run.allocated) - resource(&run.need);
        let movable = |run: &&worker::Run| {
            let spec = &self.jobs[run.task.job].spec;
            run.stop.is_none() && spec.idempotent && spec.kind != job::JobKind::Gang
        };
        let most_oversized = worker
            .runs
            .iter()
            .filter(movable)
            .max_by_key(|run| (excess(run), resource(&run.allocated)));
        let Some(&run) = most_oversized else {
            return;
        };
        self.raise_need(run.task.job, &run.peak);
        self.request_stop(now_ms, run.task, decision::StopReason::Oversized);
    }

    fn raise_need(&mut self, key: JobKey, peak: &amount::Amount) {
        let need = self.jobs[key].need.max_each(peak);
        if need != self.jobs[key].need && self.could_fit(key, &need) {
            self.jobs[key].need = need;
            self.requeue(key);
        }
    }
}
