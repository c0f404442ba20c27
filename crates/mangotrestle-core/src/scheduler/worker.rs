//! Workers and their runs.

use std::ops::{Index, IndexMut};

use smallvec::SmallVec;

use crate::collections;
use crate::id;
use crate::task;
use crate::time;

use super::amount;
use super::decision;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::queue::JobKey;

/// A starting, running or stopping run on a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) attempt: u32,
    /// Need that the run was started with.
    pub(super) need: amount::Amount,
    /// The need or the measured usage, whichever is greater.
    pub(super) allocated: amount::Amount,
    /// Greatest measured usage.
    pub(super) peak: amount::Amount,
    pub(super) started_ms: time::TimeMs,
    /// Time of the last checkpoint, or of the start if there is none. Work done since is lost if
    /// the run is stopped.
    pub(super) last_checkpoint_ms: time::TimeMs,
    pub(super) expected_end_ms: Option<time::TimeMs>,
    /// Why the run is being stopped, if it is.
    pub(super) stop: Option<decision::StopReason>,
    pub(super) throttled: bool,
}

/// A run that a worker lists and that is not the current run of any task.
#[derive(Clone, Debug)]
pub(super) struct UnexpectedRun {
    pub(super) run: task::RunId,
    pub(super) need: amount::Amount,
    /// The need or the measured usage, whichever is greater.
    pub(super) allocated: amount::Amount,
    pub(super) stopping: bool,
}

/// Capacity held for an assigned task while less urgent runs are being stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub(super) task: TaskKey,
    pub(super) need: amount::Amount,
}

/// Whether a worker is trusted with work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Trust {
    Trusted,
    Quarantined,
    /// May be given one run as a probe.
    Probing,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) id: id::WorkerId,
    pub(super) rack: u32,
    pub(super) availability_zone: Option<id::AvailabilityZoneId>,
    pub(super) capacity: amount::Amount,
    pub(super) runs: Vec<Run>,
    pub(super) unexpected_runs: Vec<UnexpectedRun>,
    pub(super) holds: SmallVec<[Hold; 1]>,
    /// Tasks of unknown outcome that ran here; only this worker can report their outcome.
    pub(super) unknown_tasks: Vec<TaskKey>,
    /// Sum of what its runs and unexpected runs are allocated.
    pub(super) allocated: amount::Amount,
    /// Sum of its holds.
    pub(super) held: amount::Amount,
    pub(super) reachable: bool,
    pub(super) leaving: bool,
    /// Time until which nothing is started here; set after a refused start.
    pub(super) paused_until_ms: Option<time::TimeMs>,
    pub(super) trust: Trust,
    /// Number of doublings of the next probe's delay. Raised by each quarantine, lowered by a
    /// release.
    pub(super) probe_delay_doublings: u32,
    /// Different jobs that failed here since the last success.
    pub(super) failed_jobs: SmallVec<[JobKey; 4]>,
    pub(super) consecutive_failures: u32,
    pub(super) reserved_for: Option<JobKey>,
    /// Since when processor usage exceeds the capacity; unset while it does not.
    pub(super) cpu_overloaded_since_ms: Option<time::TimeMs>,
    /// Whether the worker may be over its capacity because of a listing or a measurement. A
    /// decision never overcommits it.
    pub(super) may_be_overcommitted: bool,
}

impl Worker {
    fn new(id: id::WorkerId) -> Self {
        Self {
            id,
            rack: 0,
            availability_zone: None,
            capacity: amount::Amount::default(),
            runs: Vec::new(),
            unexpected_runs: Vec::new(),
            holds: SmallVec::new(),
            unknown_tasks: Vec::new(),
            allocated: amount::Amount::default(),
            held: amount::Amount::default(),
            reachable: false,
            leaving: false,
            paused_until_ms: None,
            trust: Trust::Trusted,
            probe_delay_doublings: 0,
            failed_jobs: SmallVec::new(),
            consecutive_failures: 0,
            reserved_for: None,
            cpu_overloaded_since_ms: None,
            may_be_overcommitted: false,
        }
    }

    /// Whether the worker has listed its runs to this leader.
    pub(super) fn has_listed_runs(&self) -> bool {
        self.availability_zone.is_some()
    }

    /// Whether the worker is reachable and not leaving.
    pub(super) fn is_present(&self) -> bool {
        self.reachable && !self.leaving
    }

    /// Whether work other than probes may be placed here.
    pub(super) fn is_usable(&self) -> bool {
        self.is_present() && self.paused_until_ms.is_none() && self.trust == Trust::Trusted
    }

    /// Returns the capacity that is free for new work.
    pub(super) fn free(&self) -> amount::Amount {
        self.capacity.minus(&self.allocated.plus(&self.held))
    }

    pub(super) fn is_accelerator_host(&self) -> bool {
        self.capacity.accelerators > 0
    }

    pub(super) fn run(&self, task: TaskKey) -> Option<&Run> {
        self.runs.iter().find(|run| run.task == task)
    }

    pub(super) fn run_mut(&mut self, task: TaskKey) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.task == task)
    }

    /// Recomputes the allocated and held sums. A worker has few runs, and recomputed sums cannot
    /// drift from them.
    pub(super) fn recompute(&mut self) {
        let runs = self.runs.iter().map(|run| &run.allocated);
        let unexpected_runs = self
            .unexpected_runs
            .iter()
            .map(|unexpected_run| &unexpected_run.allocated);
        self.allocated = sum(runs.chain(unexpected_runs));
        self.held = sum(self.holds.iter().map(|hold| &hold.need));
        if self.allocated.fits_in(&self.capacity) {
            self.may_be_overcommitted = false;
        }
    }
}

fn sum<'a>(amounts: impl Iterator<Item = &'a amount::Amount>) -> amount::Amount {
    amounts.fold(amount::Amount::default(), |sum, amount| sum.plus(amount))
}

/// All workers, and their racks by key.
#[derive(Debug, Default)]
pub(super) struct Workers {
    entries: Vec<Option<Worker>>,
    free_keys: Vec<WorkerKey>,
    keys: collections::FastMap<id::WorkerId, WorkerKey>,
    racks: Vec<id::RackId>,
    rack_keys: collections::FastMap<id::RackId, u32>,
}

impl Workers {
    pub(super) fn key(&self, id: &id::WorkerId) -> Option<WorkerKey> {
        self.keys.get(id).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns the key of a worker and adds it as unreachable and without capacity if it is new.
    pub(super) fn key_or_insert(&mut self, id: &id::WorkerId) -> WorkerKey {
        if let Some(key) = self.key(id) {
            return key;
        }
        let worker = Some(Worker::new(id.clone()));
        let key = if let Some(key) = self.free_keys.pop() {
            self.entries[key as usize] = worker;
            key
        } else {
            self.entries.push(worker);
            WorkerKey::try_from(self.entries.len() - 1).unwrap_or(WorkerKey::MAX)
        };
        self.keys.insert(id.clone(), key);
        key
    }

    pub(super) fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.entries[key as usize].take() {
            self.keys.remove(&worker.id);
            self.free_keys.push(key);
        }
    }

    pub(super) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.entries.get(key as usize)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.entries.get_mut(key as usize)?.as_mut()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        (0..)
            .zip(&self.entries)
            .filter_map(|(key, worker)| Some((key, worker.as_ref()?)))
    }

    pub(super) fn rack_key(&mut self, rack: &id::RackId) -> u32 {
        if let Some(&key) = self.rack_keys.get(rack) {
            return key;
        }
        let key = u32::try_from(self.racks.len()).unwrap_or(u32::MAX);
        self.racks.push(rack.clone());
        self.rack_keys.insert(rack.clone(), key);
        key
    }

    pub(super) fn rack(&self, key: u32) -> Option<&id::RackId> {
        self.racks.get(key as usize)
    }
}

impl Index<WorkerKey> for Workers {
    type Output = Worker;

    fn index(&self, key: WorkerKey) -> &Worker {
        self.get(key).expect("the key is of a known worker")
    }
}

impl IndexMut<WorkerKey> for Workers {
    fn index_mut(&mut self, key: WorkerKey) -> &mut Worker {
        self.get_mut(key).expect("the key is of a known worker")
    }
}
