//! Jobs and their tasks.

use std::ops::{Index, IndexMut};
use std::sync::Arc;

use smallvec::SmallVec;

use crate::collections;
use crate::id;
use crate::job;
use crate::result_code;
use crate::task;
use crate::time;

use super::amount;
use super::decision;
use super::index::WorkerKey;
use super::learning::FamilyKey;
use super::lifecycle;
use super::queue::{JobKey, QueueEntry, TeamKey};
use super::view;

/// Key of a task: its job's key and its position among the tasks that this pool runs of the job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct TaskKey {
    pub(super) job: JobKey,
    pub(super) position: u32,
}

/// Number of a service's replicas on one rack.
#[derive(Clone, Copy, Debug)]
pub(super) struct RackCount {
    pub(super) rack: u32,
    pub(super) replicas: u32,
}

/// One job.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: Arc<job::JobSpec>,
    pub(super) accepted_wall_ms: time::WallTimeMs,
    /// Index of the task at position zero.
    pub(super) first_index: u32,
    pub(super) tasks: Vec<lifecycle::TaskRecord>,
    /// Stack of the positions of waiting tasks. Entries of tasks that are not waiting any more are
    /// skipped.
    pub(super) waiting_positions: Vec<u32>,
    /// Number of tasks that are ready to start: in stage `Waiting`, not backing off or assigned.
    pub(super) ready: u32,
    pub(super) counts: view::TaskCounts,
    /// Number of wanted tasks. Tasks at this position and above are surplus replicas.
    pub(super) wanted: u32,
    pub(super) team: TeamKey,
    pub(super) family: FamilyKey,
    /// Declared need of one task, raised where the job was measured to use more.
    pub(super) need: amount::Amount,
    /// The job's entry in the queue; unset while it is not queued.
    pub(super) queue_entry: Option<QueueEntry>,
    pub(super) cancelled: bool,
    /// Why the job is parked, if it is.
    pub(super) parked: Option<result_code::ResultCode>,
    /// Whether waiting tasks must not start yet, because recovery is not complete.
    pub(super) recovering: bool,
    /// State as last reported or restored.
    pub(super) state: decision::JobState,
    /// Workers on which the job failed, except those that were quarantined since.
    pub(super) failed_on: SmallVec<[WorkerKey; 4]>,
    pub(super) has_succeeded: bool,
    pub(super) rack_counts: SmallVec<[RackCount; 2]>,
    /// Number of runs that are being stopped for urgent work.
    pub(super) preempting_runs: u32,
    /// When a task last became ready to start.
    pub(super) ready_since_ms: time::TimeMs,
}

impl Job {
    pub(super) fn is_service(&self) -> bool {
        self.spec.kind == job::JobKind::Service
    }

    pub(super) fn is_gang(&self) -> bool {
        self.spec.kind == job::JobKind::Gang
    }

    /// Whether the job should be in the queue.
    pub(super) fn is_queueable(&self) -> bool {
        if self.cancelled || self.parked.is_some() || self.recovering || self.ready == 0 {
            return false;
        }
        // A gang starts as a whole, so it is queued only when all its waiting tasks are ready and
        // none runs.
        !self.is_gang() || (self.ready == self.counts.waiting && self.counts.running == 0)
    }

    pub(super) fn run_id(&self, position: u32) -> task::RunId {
        task::RunId {
            task: task::TaskId {
                job: self.spec.id.clone(),
                index: self.first_index + position,
            },
            attempt: self.tasks[position as usize].attempt(),
        }
    }

    /// Returns the position of the next waiting task.
    pub(super) fn next_waiting(&mut self) -> Option<u32> {
        while let Some(&position) = self.waiting_positions.last() {
            if self.tasks[position as usize].waiting().is_some() {
                return Some(position);
            }
            self.waiting_positions.pop();
        }
        self.waiting_positions = Vec::new();
        None
    }

    /// Returns the positions of all waiting tasks, in ascending order.
    pub(super) fn all_waiting(&self) -> Vec<u32> {
        let waiting = |&position: &u32| self.tasks[position as usize].waiting().is_some();
        let count = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        (0..count).filter(waiting).collect()
    }

    pub(super) fn counter(&mut self, stage: lifecycle::Stage) -> &mut u32 {
        use lifecycle::Stage;
        match stage {
            Stage::Waiting | Stage::BackingOff | Stage::Assigned => &mut self.counts.waiting,
            Stage::Starting | Stage::Running | Stage::Stopping => &mut self.counts.running,
            Stage::Succeeded => &mut self.counts.succeeded,
            Stage::Failed => &mut self.counts.failed,
            Stage::Stopped => &mut self.counts.stopped,
            Stage::Unknown => &mut self.counts.unknown,
        }
    }

    /// Computes the job's state from its tasks.
    pub(super) fn current_state(&self) -> decision::JobState {
        use decision::JobState;
        let counts = &self.counts;
        if self.cancelled {
            return JobState::Cancelled;
        }
        if self.parked.is_some() {
            return JobState::Parked;
        }
        if counts.running > 0 || (counts.waiting > 0 && counts.succeeded > 0) {
            return JobState::Running;
        }
        if counts.waiting > 0 {
            return JobState::Waiting;
        }
        if counts.unknown > 0 {
            return JobState::Unknown;
        }
        if counts.failed > 0 {
            return JobState::Failed;
        }
        JobState::Succeeded
    }

    /// Whether no task waits or runs. Only an operator, or a late report on an unknown task, can
    /// change the job then.
    pub(super) fn is_finished(&self) -> bool {
        self.counts.waiting == 0 && self.counts.running == 0
    }

    pub(super) fn replicas_on(&self, rack: u32) -> u32 {
        let entry = self.rack_counts.iter().find(|entry| entry.rack == rack);
        entry.map_or(0, |entry| entry.replicas)
    }

    pub(super) fn update_rack_count(&mut self, rack: u32, added: bool) {
        let Some(position) = self.rack_counts.iter().position(|entry| entry.rack == rack) else {
            if added {
                self.rack_counts.push(RackCount { rack, replicas: 1 });
            }
            return;
        };
        let entry = &mut self.rack_counts[position];
        if added {
            entry.replicas += 1;
            return;
        }
        entry.replicas = entry.replicas.saturating_sub(1);
        if entry.replicas == 0 {
            self.rack_counts.swap_remove(position);
        }
    }
}

/// All jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    entries: Vec<Option<Job>>,
    free_keys: Vec<JobKey>,
    keys: collections::FastMap<id::JobId, JobKey>,
}

impl Jobs {
    pub(super) fn key(&self, id: &id::JobId) -> Option<JobKey> {
        self.keys.get(id).copied()
    }

    pub(super) fn insert(&mut self, job: Job) -> JobKey {
        let id = job.spec.id.clone();
        let key = if let Some(key) = self.free_keys.pop() {
            self.entries[key as usize] = Some(job);
            key
        } else {
            self.entries.push(Some(job));
            JobKey::try_from(self.entries.len() - 1).unwrap_or(JobKey::MAX)
        };
        self.keys.insert(id, key);
        key
    }

    pub(super) fn remove(&mut self, key: JobKey) {
        if let Some(job) = self.entries[key as usize].take() {
            self.keys.remove(&job.spec.id);
            self.free_keys.push(key);
        }
    }

    pub(super) fn get(&self, key: JobKey) -> Option<&Job> {
        self.entries.get(key as usize)?.as_ref()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (JobKey, &Job)> {
        (0..)
            .zip(&self.entries)
            .filter_map(|(key, job)| Some((key, job.as_ref()?)))
    }

    /// Returns the key of a task, if its job is known and the task belongs to this pool.
    pub(super) fn task_key(&self, task: &task::TaskId) -> Option<TaskKey> {
        let job = self.key(&task.job)?;
        let entry = &self[job];
        let position = task.index.checked_sub(entry.first_index)?;
        ((position as usize) < entry.tasks.len()).then_some(TaskKey { job, position })
    }

    pub(super) fn record(&self, task: TaskKey) -> Option<lifecycle::TaskRecord> {
        let job = self.get(task.job)?;
        job.tasks.get(task.position as usize).copied()
    }
}

impl Index<JobKey> for Jobs {
    type Output = Job;

    fn index(&self, key: JobKey) -> &Job {
        self.get(key).expect("the key is of a known job")
    }
}

impl IndexMut<JobKey> for Jobs {
    fn index_mut(&mut self, key: JobKey) -> &mut Job {
        self.entries
            .get_mut(key as usize)
            .and_then(Option::as_mut)
            .expect("the key is of a known job")
    }
}
