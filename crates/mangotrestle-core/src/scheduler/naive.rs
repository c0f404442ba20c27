//! Reference scheduler that examines every worker for every task.
//!
//! It has no index, sums or reservations, so it is simple enough to be checked by reading: it goes
//! through the waiting jobs by urgency and age and puts each task on the first worker that fits.
//! Tests compare the placements of the real scheduler with it, and measurements compare costs and
//! waiting times.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::id;
use crate::job;
use crate::resources;
use crate::task;
use crate::time;

/// A worker and its runs.
#[derive(Clone, Debug)]
pub struct NaiveWorker {
    /// The worker.
    pub id: id::WorkerId,
    /// Total capacity.
    pub capacity: resources::Resources,
    /// Its active runs.
    pub runs: Vec<NaiveRun>,
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct NaiveRun {
    /// The run.
    pub run: task::RunId,
    /// Resources that it occupies.
    pub need: resources::Resources,
}

impl NaiveWorker {
    /// Returns the free capacity, computed from all runs.
    #[must_use]
    pub fn free(&self) -> resources::Resources {
        let runs = self.runs.iter();
        let used = runs.fold(resources::Resources::ZERO, |sum, run| sum + run.need);
        self.capacity - used
    }
}

/// A job with its waiting tasks.
#[derive(Clone, Debug)]
struct NaiveJob {
    spec: Arc<job::JobSpec>,
    accepted_wall_ms: time::WallTimeMs,
    waiting: Vec<u32>,
}

/// A placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NaiveStart {
    /// The run.
    pub run: task::RunId,
    /// The worker that it was placed on.
    pub worker: id::WorkerId,
}

/// Schedules by scanning all workers.
#[derive(Clone, Debug, Default)]
pub struct NaiveScheduler {
    workers: Vec<NaiveWorker>,
    jobs: Vec<NaiveJob>,
    attempts: BTreeMap<task::TaskId, u32>,
}

impl NaiveScheduler {
    /// Adds an empty worker.
    pub fn add_worker(&mut self, id: id::WorkerId, capacity: resources::Resources) {
        self.workers.push(NaiveWorker {
            id,
            capacity,
            runs: Vec::new(),
        });
    }

    /// Adds a job with all its tasks waiting.
    pub fn add_job(&mut self, spec: Arc<job::JobSpec>, accepted_wall_ms: time::WallTimeMs) {
        self.jobs.push(NaiveJob {
            waiting: (0..spec.tasks).collect(),
            spec,
            accepted_wall_ms,
        });
    }

    /// Removes a job with its waiting tasks. Its runs continue until they end.
    pub fn remove_job(&mut self, job: &id::JobId) {
        self.jobs.retain(|entry| entry.spec.id != *job);
    }

    /// Removes a run from its worker.
    pub fn end_run(&mut self, run: &task::RunId) {
        for worker in &mut self.workers {
            worker.runs.retain(|entry| entry.run != *run);
        }
    }

    /// Returns the workers.
    #[must_use]
    pub fn workers(&self) -> &[NaiveWorker] {
        &self.workers
    }

    /// Whether `count` tasks with this need fit at the same time.
    #[must_use]
    pub fn fits(&self, need: &resources::Resources, count: u32) -> bool {
        let mut trial = self.clone();
        (0..count).all(|_| {
            let Some(worker) = trial.first_fit(need) else {
                return false;
            };
            let remaining = trial.workers[worker].free() - *need;
            let worker = &mut trial.workers[worker];
            worker.capacity = remaining;
            worker.runs.clear();
            true
        })
    }

    /// Adds a run that was placed by the real scheduler. Returns `false` if it does not fit on the
    /// worker or the worker is unknown.
    pub fn book(
        &mut self,
        run: &task::RunId,
        need: &resources::Resources,
        worker: &id::WorkerId,
    ) -> bool {
        let mut workers = self.workers.iter_mut();
        let Some(worker) = workers.find(|entry| entry.id == *worker) else {
            return false;
        };
        if !need.fits_in(&worker.free()) {
            return false;
        }
        worker.runs.push(NaiveRun {
            run: run.clone(),
            need: *need,
        });
        true
    }

    /// Starts up to `max_starts` tasks by urgency and age, each on the first worker that fits. A
    /// gang starts as a whole even beyond `max_starts`, and is skipped if it does not fit.
    pub fn place(&mut self, max_starts: usize) -> Vec<NaiveStart> {
        self.jobs
            .sort_by_key(|job| (job.spec.urgency, job.accepted_wall_ms));
        let mut starts = Vec::new();
        for position in 0..self.jobs.len() {
            if starts.len() >= max_starts {
                break;
            }
            let remaining_starts = max_starts - starts.len();
            if self.jobs[position].spec.kind == job::JobKind::Gang {
                self.place_gang(position, &mut starts);
            } else {
                self.place_tasks(position, remaining_starts, &mut starts);
            }
        }
        self.jobs.retain(|job| !job.waiting.is_empty());
        starts
    }

    fn place_tasks(&mut self, position: usize, max_tasks: usize, starts: &mut Vec<NaiveStart>) {
        for _ in 0..max_tasks {
            let job = &self.jobs[position];
            let Some(&index) = job.waiting.first() else {
                return;
            };
            let need = job.spec.need;
            let Some(worker) = self.first_fit(&need) else {
                return;
            };
            self.jobs[position].waiting.remove(0);
            starts.push(self.start(position, index, worker));
        }
    }

    fn place_gang(&mut self, position: usize, starts: &mut Vec<NaiveStart>) {
        let need = self.jobs[position].spec.need;
        let waiting = std::mem::take(&mut self.jobs[position].waiting);
        let mut placed = Vec::new();
        for &index in &waiting {
            let Some(worker) = self.first_fit(&need) else {
                break;
            };
            placed.push(self.start(position, index, worker));
        }
        if placed.len() == waiting.len() {
            starts.extend(placed);
            return;
        }
        for start in placed {
            self.end_run(&start.run);
        }
        self.jobs[position].waiting = waiting;
    }

    fn first_fit(&self, need: &resources::Resources) -> Option<usize> {
        self.workers
            .iter()
            .position(|worker| need.fits_in(&worker.free()))
    }

    fn start(&mut self, position: usize, index: u32, worker: usize) -> NaiveStart {
        let spec = &self.jobs[position].spec;
        let task = task::TaskId {
            job: spec.id.clone(),
            index,
        };
        let attempt = self.attempts.entry(task.clone()).or_insert(0);
        *attempt += 1;
        let run = task::RunId {
            task,
            attempt: *attempt,
        };
        let worker = &mut self.workers[worker];
        worker.runs.push(NaiveRun {
            run: run.clone(),
            need: spec.need,
        });
        NaiveStart {
            run,
            worker: worker.id.clone(),
        }
    }
}
