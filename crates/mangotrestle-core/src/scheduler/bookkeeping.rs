//! Functions that change records, queue, index and sums together, so that they stay consistent.

use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::lifecycle;
use super::preemption;
use super::queue::{self, JobKey};
use super::worker;

impl Scheduler {
    /// Stores a task's record and updates its job's counts and place in the queue. A waiting task
    /// is stored as backing off while a worker lists another run of it.
    pub(super) fn set_task(
        &mut self,
        now_ms: time::TimeMs,
        key: TaskKey,
        to: lifecycle::TaskRecord,
    ) {
        let to = match to.waiting().filter(|_| self.has_unexpected_run(key)) {
            Some(waiting) => waiting.back_off().into_record(),
            None => to,
        };
        let job = &mut self.jobs[key.job];
        let from = std::mem::replace(&mut job.tasks[key.position as usize], to);
        *job.counter(from.stage()) -= 1;
        *job.counter(to.stage()) += 1;
        let was_ready = from.waiting().is_some();
        let is_ready = to.waiting().is_some();
        if was_ready && !is_ready {
            job.ready -= 1;
        }
        if is_ready && !was_ready {
            job.ready += 1;
            job.waiting_positions.push(key.position);
            job.ready_since_ms = now_ms;
        }
        self.sync_job(key.job);
    }

    /// Updates a job's place in the queue and its reported state.
    pub(super) fn sync_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        let state = job.current_state();
        if state != job.state {
            job.state = state;
            let notice = decision::Decision::JobStateChanged {
                job: job.spec.id.clone(),
                state,
                code: job.parked,
            };
            self.notices.push_back(notice);
        }
        match (job.queue_entry, job.is_queueable()) {
            (None, true) => self.enqueue(key),
            (Some(entry), false) => {
                job.queue_entry = None;
                self.queue.remove(&entry);
                self.drop_reservation(key);
            }
            _ => {}
        }
    }

    fn enqueue(&mut self, key: JobKey) {
        self.correct_need(key);
        let shape = self.shape_of(key);
        let job = &mut self.jobs[key];
        let entry = queue::QueueEntry {
            job: key,
            team: job.team,
            shape,
            accepted_wall_ms: job.accepted_wall_ms,
        };
        job.queue_entry = Some(entry);
        self.queue.insert(&entry);
    }

    /// Removes a job from the queue and inserts it again, after its need has changed.
    pub(super) fn requeue(&mut self, key: JobKey) {
        if let Some(entry) = self.jobs[key].queue_entry.take() {
            self.queue.remove(&entry);
        }
        self.sync_job(key);
    }

    /// Updates a worker's sums and its place in the index. Must be called after every change of the
    /// worker.
    pub(super) fn refresh_worker(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            self.unreserved.remove(key);
            self.reserved.remove(key);
            return;
        };
        worker.recompute();
        let unallocated = worker.capacity.minus(&worker.allocated);
        let satisfiable = worker
            .holds
            .iter()
            .filter(|hold| hold.need.fits_in(&unallocated));
        self.satisfiable_holds
            .extend(satisfiable.map(|hold| hold.task));
        if !worker.is_usable() {
            self.unreserved.remove(key);
            self.reserved.remove(key);
            return;
        }
        let free = worker.free();
        let accelerator_host = worker.is_accelerator_host();
        let (index, other) = if worker.reserved_for.is_some() {
            (&mut self.reserved, &mut self.unreserved)
        } else {
            (&mut self.unreserved, &mut self.reserved)
        };
        let moved = other.free(key).is_some();
        other.remove(key);
        let previous_free = index.free(key);
        index.insert(key, free, accelerator_host);
        let grew = previous_free.is_none_or(|previous_free| free.exceeds(&previous_free));
        if moved || grew {
            self.queue.note_freed_capacity(key);
        }
    }

    /// Adds a run to a worker and its need to the team's usage.
    pub(super) fn attach_run(&mut self, key: WorkerKey, run: worker::Run) {
        let job = &mut self.jobs[run.task.job];
        if job.is_service() {
            job.update_rack_count(self.workers[key].rack, true);
        }
        self.queue.add_usage(job.team, &run.need);
        self.workers[key].runs.push(run);
        self.add_victim(key, run.task);
        self.refresh_worker(key);
    }

    /// Removes a run from its worker. The run must have ended.
    pub(super) fn detach_run(&mut self, task: TaskKey) -> Option<worker::Run> {
        let key = self.jobs.record(task)?.worker()?;
        let position = self
            .workers
            .get(key)?
            .runs
            .iter()
            .position(|run| run.task == task)?;
        self.remove_victim(key, task);
        let worker = &mut self.workers[key];
        let run = worker.runs.swap_remove(position);
        let rack = worker.rack;
        let job = &mut self.jobs[task.job];
        if job.is_service() {
            job.update_rack_count(rack, false);
        }
        if run.stop == Some(decision::StopReason::Preempted) {
            job.preempting_runs = job.preempting_runs.saturating_sub(1);
        }
        let team = job.team;
        self.queue.subtract_usage(team, &run.need);
        self.refresh_worker(key);
        Some(run)
    }

    /// Adds a run to the candidates for preemption, if it may be stopped.
    pub(super) fn add_victim(&mut self, worker: WorkerKey, task: TaskKey) {
        if let Some(victim) = self.victim(worker, task) {
            self.victims.insert(victim);
        }
    }

    /// Removes a run from the candidates for preemption. Must be called before a change of
    /// `last_checkpoint_ms`, which is part of the key, or of anything that makes the run
    /// ineligible.
    pub(super) fn remove_victim(&mut self, worker: WorkerKey, task: TaskKey) {
        if let Some(run) = self.workers[worker].run(task) {
            let victim = preemption::Victim::new(run.last_checkpoint_ms, worker, task);
            self.victims.remove(&victim);
        }
    }

    /// Updates the total capacity of the pool after a worker's capacity changed.
    pub(super) fn update_total_capacity(&mut self, from: &amount::Amount, to: &amount::Amount) {
        let total = self.queue.capacity_mut();
        total.subtract(from);
        total.add(to);
    }
}
