//! Record of everything that runs on the workers of a fleet, with counts of breaches: events that
//! must never happen.
//!
//! The workers report to the ledger what they actually run, whatever orders they received and
//! whatever they answered.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use mangotrestle_core::collections::{FastMap, FastSet};
use mangotrestle_core::id;
use mangotrestle_core::resources;
use mangotrestle_core::task;

macro_rules! breaches {
    ($($(#[$doc:meta])* $name:ident;)*) => {
        /// Counts of breaches, shared by all workers of a fleet.
        #[derive(Debug, Default)]
        pub struct BreachCounters {
            $($name: AtomicU64,)*
        }

        /// Snapshot of the counts of breaches.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct Breaches {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl BreachCounters {
            /// Returns the current counts.
            #[must_use]
            pub fn snapshot(&self) -> Breaches {
                Breaches {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }

        impl Breaches {
            /// Returns the sum of all counts, which must be zero.
            #[must_use]
            pub const fn total(&self) -> u64 {
                0 $(+ self.$name)*
            }
        }
    };
}

breaches! {
    /// A worker's runs needed more than its capacity.
    capacity_exceeded;
    /// Two runs of a task were in progress at the same time.
    two_copies;
    /// A worker received more concurrent requests than it has slots.
    slots_exceeded;
    /// A worker received more connections than it accepts.
    connections_exceeded;
    /// A request ran although its sender received the answer that it did not.
    ran_after_not_run;
    /// A task that must not run twice was started again.
    second_run_of_task;
    /// A request that must not run twice ran again.
    second_run_of_request;
}

/// A run in progress on a worker.
#[derive(Debug)]
struct ActiveRun {
    worker: id::WorkerId,
    run: task::RunId,
    need: resources::Resources,
}

#[derive(Debug, Default)]
struct Records {
    /// Runs in progress, by task. More than one for a task is a breach.
    active: FastMap<task::TaskId, Vec<ActiveRun>>,
    /// Resources in use on each worker.
    occupied: FastMap<id::WorkerId, resources::Resources>,
    /// Latest run of each task that must not run twice.
    non_idempotent_runs: FastMap<task::TaskId, task::RunId>,
    /// Keys of requests that must not run twice and ran.
    run_once_requests: FastSet<String>,
    /// Keys of requests whose sender received the answer that they did not run.
    answered_not_run: FastSet<String>,
}

/// Record of runs and requests, shared by all workers of a fleet. See the [module](self).
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<Records>,
    counters: BreachCounters,
}

/// A run that starts or resumes on a worker, with the worker's capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunOnWorker<'a> {
    pub(super) worker: &'a id::WorkerId,
    pub(super) run: &'a task::RunId,
    pub(super) need: resources::Resources,
    pub(super) capacity: resources::Resources,
    pub(super) idempotent: bool,
}

impl Ledger {
    /// Returns the counts of breaches.
    #[must_use]
    pub const fn counters(&self) -> &BreachCounters {
        &self.counters
    }

    /// Returns the number of tasks with a run in progress.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.records().active.len()
    }

    /// Records that the sender of a request with this key received the answer that it did not run.
    pub fn record_not_run_answer(&self, key: &str) {
        let mut records = self.records();
        if records.run_once_requests.contains(key) {
            increment(&self.counters.ran_after_not_run);
        }
        records.answered_not_run.insert(key.to_owned());
    }

    /// Returns the number of distinct requests that must not run twice and ran.
    #[must_use]
    pub fn run_once_request_count(&self) -> usize {
        self.records().run_once_requests.len()
    }

    /// Records that a run has started.
    pub(super) fn start_run(&self, run: RunOnWorker<'_>) {
        let mut records = self.records();
        if !run.idempotent {
            self.record_non_idempotent_run(&mut records, run.run);
        }
        self.add_active(&mut records, run);
    }

    /// Records that a run continues which was paused with its worker.
    pub(super) fn resume_run(&self, run: RunOnWorker<'_>) {
        self.add_active(&mut self.records(), run);
    }

    fn add_active(&self, records: &mut Records, run: RunOnWorker<'_>) {
        let copies = records.active.entry(run.run.task.clone()).or_default();
        if !copies.is_empty() {
            increment(&self.counters.two_copies);
        }
        copies.push(ActiveRun {
            worker: run.worker.clone(),
            run: run.run.clone(),
            need: run.need,
        });
        let occupied = records.occupied.entry(run.worker.clone()).or_default();
        *occupied += run.need;
        if !occupied.fits_in(&run.capacity) {
            increment(&self.counters.capacity_exceeded);
        }
    }

    fn record_non_idempotent_run(&self, records: &mut Records, run: &task::RunId) {
        let previous = records
            .non_idempotent_runs
            .insert(run.task.clone(), run.clone());
        if previous.is_some() {
            increment(&self.counters.second_run_of_task);
        }
    }

    /// Records that a run has ended or is paused.
    pub(super) fn end_run(&self, worker: &id::WorkerId, run: &task::RunId) {
        let mut records = self.records();
        let Some(copies) = records.active.get_mut(&run.task) else {
            return;
        };
        let position = copies
            .iter()
            .position(|copy| copy.worker == *worker && copy.run == *run);
        let Some(index) = position else {
            return;
        };
        let ended = copies.swap_remove(index);
        if copies.is_empty() {
            records.active.remove(&run.task);
        }
        if let Some(occupied) = records.occupied.get_mut(worker) {
            *occupied -= ended.need;
        }
    }

    /// Records that a request ran which must not run twice.
    pub(super) fn record_request(&self, key: &str) {
        let mut records = self.records();
        if records.answered_not_run.contains(key) {
            increment(&self.counters.ran_after_not_run);
        }
        if !records.run_once_requests.insert(key.to_owned()) {
            increment(&self.counters.second_run_of_request);
        }
    }

    pub(super) fn record_slots_exceeded(&self) {
        increment(&self.counters.slots_exceeded);
    }

    pub(super) fn record_connections_exceeded(&self) {
        increment(&self.counters.connections_exceeded);
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
