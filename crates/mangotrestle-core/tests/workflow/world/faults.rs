//! Faults of simulated workers: crashes, also under the tasks that they start, restarts under their
//! identifiers, and capacities that change.

use mangotrestle_core::id::WorkerId;
use mangotrestle_core::time::{TimeMs, WorkerTimeMs};
use mangotrestle_core::workflow::message::RunEnd;

use super::{Event, STEP_MS, World};

/// Time from the start of a task that crashes its worker to the crash.
const CRASH_DELAY_MS: u64 = 10;
/// Time from a crash until the leader learns of it.
const CRASH_DETECTION_MS: u64 = 500;
/// Time from a crash until the machine runs a new worker.
const CRASH_DOWNTIME_MS: u64 = 3_000;
/// Number of crashes of workers under a task after which only two more starts are allowed.
const MAX_CRASHES: u32 = 3;

impl World {
    /// Ends a worker's incarnation.
    pub fn crash(&mut self, id: &WorkerId) {
        if let Some(model) = self.workers.get_mut(id) {
            model.alive = false;
            model.running.clear();
        }
        self.end_as_unlisted(id, self.now);
    }

    /// Crashes a worker under a task. The leader learns of it later, and a new worker follows.
    pub(super) fn crash_under(&mut self, id: &WorkerId, task: &str) {
        let Some(model) = self.workers.get_mut(id).filter(|model| model.alive) else {
            return;
        };
        let lost = model.running.len() - usize::from(model.running.contains_key(task));
        self.runs_lost_beside += u32::try_from(lost).unwrap_or(u32::MAX);
        *self.crashes.entry(task.to_owned()).or_default() += 1;
        if self.crashed_workers_keep_their_identifier {
            self.restart(id, CRASH_DETECTION_MS);
            return;
        }
        if let Some(model) = self.workers.get_mut(id) {
            model.alive = false;
            model.running.clear();
        }
        let name = format!("back-{}", self.last_event_number);
        self.schedule(self.now + CRASH_DETECTION_MS, Event::EndKnown(id.clone()));
        self.schedule(self.now + CRASH_DOWNTIME_MS, Event::Return(name));
    }

    /// Lets the leader find that a list of machines, asked for at `asked_at`, lacks a worker.
    pub fn end_as_unlisted(&mut self, id: &WorkerId, asked_at: u64) {
        self.pool
            .worker_ended(TimeMs(self.now), id, TimeMs(asked_at));
    }

    /// Lets a worker crash and start again under its identifier. The platform lists its new life
    /// after `listing_delay_ms`.
    pub fn restart(&mut self, id: &WorkerId, listing_delay_ms: u64) {
        let Some(model) = self.workers.get_mut(id).filter(|model| model.alive) else {
            return;
        };
        let ends = model.finished.drain(..);
        let done = ends.filter(|end| end.end == RunEnd::Done);
        self.forgotten_done_tasks
            .extend(done.map(|end| end.task.to_string()));
        model.running.clear();
        model.highest_ended.clear();
        model.next_number = 1;
        model.lease_until = 0;
        model.lapsed_end = 0;
        model.fence = 0;
        model.clock_zero = self.now;
        model.entry.born_ms = Some(self.now);
        model.entry.clock = Some(WorkerTimeMs(0));
        self.schedule(self.now + listing_delay_ms, Event::Listed(id.clone()));
    }

    /// Changes the number of cores of a worker, which lists it. Only orders that are on their way may
    /// still count on the former capacity.
    pub fn set_cores(&mut self, id: &WorkerId, cores: u64) {
        let Some(model) = self.workers.get_mut(id).filter(|model| model.alive) else {
            return;
        };
        model.shrunk = Some((self.now + STEP_MS, model.entry.capacity));
        model.entry.capacity.cpu_millicores = cores * 1_000;
        if !self.unlisted.contains(id) {
            let entry = model.entry.clone();
            self.pool.worker_listed(TimeMs(self.now), entry);
        }
    }

    /// Lets a worker crash if the task that it starts is deadly.
    pub(super) fn crash_if_deadly(&mut self, worker: &WorkerId, task: &str) {
        if self.crashes.get(task).copied().unwrap_or_default() >= MAX_CRASHES {
            let starts = self.late_starts.entry(task.to_owned()).or_default();
            *starts += 1;
            self.violations.started_after_crashes += u32::from(*starts >= 3);
        }
        if self.deadly_tasks.contains(task) {
            let crash = Event::Crash {
                worker: worker.clone(),
                task: task.to_owned(),
            };
            self.schedule(self.now + CRASH_DELAY_MS, crash);
        }
    }
}
