//! The record of everything that runs on any worker, and the count of what must never happen.
//!
//! The ledger hears from the workers what they really do, not what they were told or answered.

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

        /// Counts of breaches at one moment.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct Breaches {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl BreachCounters {
            /// The counts as they are now.
            #[must_use]
            pub fn snapshot(&self) -> Breaches {
                Breaches {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }

        impl Breaches {
            /// All breaches together; zero is the only good value.
            #[must_use]
            pub const fn total(&self) -> u64 {
                0 $(+ self.$name)*
            }
        }
    };
}

breaches! {
    /// A worker ran more than it holds.
    capacity_exceeded;
    /// A task ran in two places at once.
    two_copies;
    /// A worker was given more requests at a time than it has slots.
    slots_exceeded;
    /// A worker was given more connections than it takes.
    connections_exceeded;
    /// Work ran although its sender was told that it did not.
    ran_after_not_run;
    /// A task that must not run twice was run again.
    second_run_of_task;
    /// A request that must not run twice was run again.
    second_run_of_request;
}

/// A run that goes on at a worker.
#[derive(Debug)]
struct ActiveRun {
    worker: id::WorkerId,
    run: task::RunId,
    need: resources::Resources,
}

#[derive(Debug, Default)]
struct Records {
    /// Runs that go on now, by task; more than one is a breach.
    active: FastMap<task::TaskId, Vec<ActiveRun>>,
    /// What is occupied on each worker.
    occupied: FastMap<id::WorkerId, resources::Resources>,
    /// Runs of tasks that must not run twice.
    single_runs: FastMap<task::TaskId, task::RunId>,
    /// Requests that must not run twice and did run.
    single_requests: FastSet<String>,
    /// Requests whose sender was told that they did not run.
    told_not_run: FastSet<String>,
}

/// The shared record. See the [module](self).
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<Records>,
    counters: BreachCounters,
}

/// A run that begins.
#[derive(Clone, Copy, Debug)]
pub(super) struct Beginning<'a> {
    pub(super) worker: &'a id::WorkerId,
    pub(super) run: &'a task::RunId,
    pub(super) need: resources::Resources,
    pub(super) capacity: resources::Resources,
    pub(super) idempotent: bool,
}

impl Ledger {
    /// The counts of breaches.
    #[must_use]
    pub const fn counters(&self) -> &BreachCounters {
        &self.counters
    }

    /// Number of tasks that run now.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.records().active.len()
    }

    /// Notes that the sender of a request with this key was told that it did not run.
    pub fn told_not_run(&self, key: &str) {
        let mut records = self.records();
        if records.single_requests.contains(key) {
            count(&self.counters.ran_after_not_run);
        }
        records.told_not_run.insert(key.to_owned());
    }

    /// Number of different requests that must not run twice and ran.
    #[must_use]
    pub fn single_request_count(&self) -> usize {
        self.records().single_requests.len()
    }

    pub(super) fn begin(&self, beginning: Beginning<'_>) {
        let mut records = self.records();
        if !beginning.idempotent {
            self.note_single_run(&mut records, beginning.run);
        }
        self.resume(&mut records, beginning);
    }

    /// Puts back a run that stood still with its worker.
    pub(super) fn resume_run(&self, beginning: Beginning<'_>) {
        self.resume(&mut self.records(), beginning);
    }

    fn resume(&self, records: &mut Records, beginning: Beginning<'_>) {
        let copies = records
            .active
            .entry(beginning.run.task.clone())
            .or_default();
        if !copies.is_empty() {
            count(&self.counters.two_copies);
        }
        copies.push(ActiveRun {
            worker: beginning.worker.clone(),
            run: beginning.run.clone(),
            need: beginning.need,
        });
        let occupied = records
            .occupied
            .entry(beginning.worker.clone())
            .or_default();
        *occupied += beginning.need;
        if !occupied.fits_in(&beginning.capacity) {
            count(&self.counters.capacity_exceeded);
        }
    }

    fn note_single_run(&self, records: &mut Records, run: &task::RunId) {
        let earlier = records.single_runs.insert(run.task.clone(), run.clone());
        if earlier.is_some() {
            count(&self.counters.second_run_of_task);
        }
    }

    /// Notes that a run ended, or that it stands still.
    pub(super) fn end(&self, worker: &id::WorkerId, run: &task::RunId) {
        let mut records = self.records();
        let Some(copies) = records.active.get_mut(&run.task) else {
            return;
        };
        let found = copies
            .iter()
            .position(|copy| copy.worker == *worker && copy.run == *run);
        let Some(index) = found else {
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

    pub(super) fn request_ran(&self, key: &str) {
        let mut records = self.records();
        if records.told_not_run.contains(key) {
            count(&self.counters.ran_after_not_run);
        }
        if !records.single_requests.insert(key.to_owned()) {
            count(&self.counters.second_run_of_request);
        }
    }

    pub(super) fn slots_exceeded(&self) {
        count(&self.counters.slots_exceeded);
    }

    pub(super) fn connections_exceeded(&self) {
        count(&self.counters.connections_exceeded);
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
