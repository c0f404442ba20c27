//! Takes jobs, cancels and the platform's list of workers.

use std::sync::Arc;

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Job, StepKey, Unit, UnitKey};
use super::super::message::WorkerEntry;
use super::super::rank::{Outlook, Rank};
use super::super::record::{AssignmentRow, JobState};
use super::super::spec::JobRecord;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Time after the store's return in which entries that lapsed meanwhile come back.
const LIST_SETTLES: SpanMs = SpanMs(2_200);

impl Pool {
    /// Takes an accepted job. A job that is known already stays as it is.
    pub fn accept(&mut self, now: TimeMs, id: &id::JobId, record: Arc<JobRecord>) {
        if let Some(job) = self.jobs.get_mut(id) {
            // A host has made durable what this leader was asked to.
            job.accepted = true;
        }
        if self.knows(id) {
            return;
        }
        let job = self.new_job(now, id, record);
        self.begin(now, job);
    }

    /// Takes a job whose acceptance becomes durable with the next commit. Says whether the job is
    /// known already and its acceptance durable.
    pub fn submit(&mut self, now: TimeMs, id: &id::JobId, record: Arc<JobRecord>) -> bool {
        if let Some(job) = self.jobs.get(id) {
            return job.accepted;
        }
        if self.ended.contains_key(id) {
            return true;
        }
        let mut job = self.new_job(now, id, record);
        job.accepted = false;
        self.begin(now, job);
        self.mark_dirty(id);
        false
    }

    /// Submitted jobs of which no commit has tried to make anything durable.
    #[must_use]
    pub fn unwritten_submissions(&self) -> Vec<id::JobId> {
        let submitted = self.jobs.values().filter(|job| !job.accepted);
        submitted
            .map(|job| job.id.clone())
            .filter(|id| !self.writing.contains(id))
            .collect()
    }

    /// Drops a job whose acceptance did not become durable; nothing of it was ordered.
    pub fn drop_submission(&mut self, now: TimeMs, id: &id::JobId) {
        if self.jobs.get(id).is_none_or(|job| job.accepted) {
            return;
        }
        let jobs = self.jobs.get(id).into_iter();
        let assigned: Vec<_> = jobs.flat_map(Job::assigned).map(|(key, _)| key).collect();
        for key in assigned {
            self.release(now, &key);
        }
        self.unqueue_job(id);
        self.scheduled.retain(|(_, other, _)| other != id);
        self.jobs.remove(id);
        self.dirty.remove(id);
        self.writing.retain(|other| other != id);
    }

    /// Takes a job from the rows of an earlier leader.
    pub fn restore(
        &mut self,
        now: TimeMs,
        id: &id::JobId,
        record: Arc<JobRecord>,
        row: Option<&AssignmentRow>,
    ) {
        if self.knows(id) {
            return;
        }
        let mut job = self.new_job(now, id, record);
        if let Some(row) = row {
            job.restore(row);
        }
        for (key, member) in job.assigned() {
            let spec = &job.record.steps[key.unit.step.step as usize];
            if let Some(worker) = &member.worker {
                self.worker_or_ghost(now, worker).occupy(key, spec);
            }
        }
        self.begin(now, job);
    }

    fn knows(&self, id: &id::JobId) -> bool {
        self.jobs.contains_key(id) || self.ended.contains_key(id)
    }

    fn new_job(&self, now: TimeMs, id: &id::JobId, record: Arc<JobRecord>) -> Job {
        Job::new(id.clone(), record, now, self.epoch_offset_ms)
    }

    /// Puts a job into the books and lets begin what is due.
    fn begin(&mut self, now: TimeMs, mut job: Job) {
        let id = job.id.clone();
        if job.record.schedule.is_none() && job.occurrences.is_empty() {
            let first = job.fresh_occurrence();
            job.occurrences.insert(0, first);
        }
        if let (Some(schedule), None) = (job.record.schedule, job.end) {
            for number in 0..schedule.count {
                if !job.occurrences.contains_key(&number) {
                    self.scheduled
                        .insert((job.began_at(number), id.clone(), number));
                }
            }
        }
        let occurrences: Vec<u32> = job.occurrences.keys().copied().collect();
        let end = job.end;
        self.jobs.insert(id.clone(), job);
        if end.is_some() {
            self.stop_assigned(now, &id);
            self.mark_dirty(&id);
            return;
        }
        for number in occurrences {
            self.collapse_partial_gangs(now, &id, number);
            self.advance(now, &id, number);
        }
        self.finish_if_done(now, &id);
    }

    /// Ends runs of gangs of which an earlier leader had settled some members only.
    fn collapse_partial_gangs(&mut self, now: TimeMs, id: &id::JobId, number: u32) {
        let Some(occurrence) = self
            .jobs
            .get(id)
            .and_then(|job| job.occurrences.get(&number))
        else {
            return;
        };
        let partial = |unit: &Unit| {
            !unit.done && !unit.is_free() && unit.members.iter().any(|one| one.worker.is_none())
        };
        let steps = (0..).zip(&occurrence.steps);
        let keys: Vec<UnitKey> = steps
            .filter(|(_, step)| step.units.first().is_some_and(partial))
            .map(|(step, _)| UnitKey {
                step: StepKey {
                    job: id.clone(),
                    occurrence: number,
                    step,
                },
                unit: 0,
            })
            .collect();
        for key in keys {
            self.collapse(now, &key);
        }
    }

    /// Begins occurrences whose time has come.
    pub(super) fn begin_due_occurrences(&mut self, now: TimeMs) {
        while let Some((due_at, id, number)) = self.scheduled.first().cloned() {
            if due_at > now {
                return;
            }
            self.scheduled.pop_first();
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.end.is_some() {
                continue;
            }
            let fresh = job.fresh_occurrence();
            job.occurrences.insert(number, fresh);
            self.advance(now, &id, number);
        }
    }

    /// Makes the steps ready whose earlier steps are done, and queues their waiting units.
    pub(super) fn advance(&mut self, now: TimeMs, id: &id::JobId, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let began_at = job.began_at(number);
        let record = Arc::clone(&job.record);
        let estimates = &self.estimates;
        let Some(occurrence) = job.occurrences.get_mut(&number) else {
            return;
        };
        let done: Vec<bool> = occurrence.steps.iter().map(|step| step.open == 0).collect();
        for (index, step) in (0_u32..).zip(&mut occurrence.steps) {
            let after = &record.steps[index as usize].after;
            let ready = after.iter().all(|&earlier| done[earlier as usize]);
            if !ready || step.ready {
                continue;
            }
            step.ready = true;
            step.queued_at = now;
            let outlook = Outlook::new(estimates, &record, began_at, index);
            step.rank = Rank::new(now, &record, &outlook, index, false);
            for (unit, state) in (0..).zip(&step.units) {
                if state.waits() {
                    let key = UnitKey {
                        step: StepKey {
                            job: id.clone(),
                            occurrence: number,
                            step: index,
                        },
                        unit,
                    };
                    self.waiting.insert((step.rank, key));
                }
            }
        }
        self.placing_due = true;
    }

    /// Ends a job on its caller's word. An end that came before stays.
    pub fn cancel(&mut self, now: TimeMs, id: &id::JobId) {
        self.end_job(now, id, JobState::Cancelled);
    }

    /// Ends a job: nothing more of it starts, and what runs is stopped.
    pub(super) fn end_job(&mut self, now: TimeMs, id: &id::JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(state);
        let after = now.since(job.known_at);
        self.notes.push(Note::JobEnded {
            job: id.clone(),
            state,
            after,
        });
        self.unqueue_job(id);
        self.scheduled.retain(|(_, other, _)| other != id);
        self.stop_assigned(now, id);
        self.mark_dirty(id);
        self.placing_due = true;
    }

    /// Ends a job as completed once all of its occurrences are done.
    pub(super) fn finish_if_done(&mut self, now: TimeMs, id: &id::JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let done = job.occurrences.values().filter(|one| one.done).count();
        if done >= job.occurrence_count() as usize {
            self.end_job(now, id, JobState::Completed);
        }
    }

    /// The worker with this identifier, made up if the platform does not list it.
    pub(super) fn worker_or_ghost(&mut self, now: TimeMs, id: &id::WorkerId) -> &mut Worker {
        let foreign_until = self.foreign_until;
        self.workers.entry(id.clone()).or_insert_with(|| {
            let mut worker = Worker::new(now, ghost_entry(id));
            worker.missing_since = Some(now);
            worker.foreign_until = Some(foreign_until);
            worker
        })
    }

    /// Takes a worker's entry in the platform's list.
    pub fn worker_listed(&mut self, now: TimeMs, entry: WorkerEntry) {
        let id = entry.worker.clone();
        let foreign_until = self.foreign_until;
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = Worker::new(now, entry);
            worker.foreign_until = Some(foreign_until);
            self.workers.insert(id, worker);
            return;
        };
        let began_draining = entry.draining && !worker.entry.draining;
        if let Some(reading) = entry.clock {
            worker.clock.learn(now, reading);
        }
        let unchanged = worker.missing_since.is_none()
            && worker.entry.capacity == entry.capacity
            && worker.entry.draining == entry.draining;
        worker.entry = entry;
        worker.missing_since = None;
        if !unchanged {
            self.placing_due = true;
        }
        if began_draining {
            self.notes.push(Note::WorkerDraining { worker: id.clone() });
            self.evacuate(now, &id);
        }
    }

    /// Takes notice that a worker's entry is gone.
    pub fn worker_gone(&mut self, now: TimeMs, id: &id::WorkerId) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.missing_since.is_none()
        {
            worker.missing_since = Some(now);
            self.notes.push(Note::WorkerGone { worker: id.clone() });
        }
    }

    /// Takes notice of a whole read of the list: workers that are not in it are gone.
    pub fn workers_missing(&mut self, now: TimeMs, listed: &[&str]) {
        let missing: Vec<id::WorkerId> = self
            .workers
            .keys()
            .filter(|id| !listed.contains(&id.as_str()))
            .cloned()
            .collect();
        for id in missing {
            self.worker_gone(now, &id);
        }
    }

    /// Takes notice that the store answers again; entries that lapsed meanwhile may return.
    pub fn store_returned(&mut self, now: TimeMs) {
        self.list_settles_at = now + LIST_SETTLES;
    }

    /// Takes notice that a worker's life is over, by another life's word at its address.
    pub fn worker_ended(&mut self, now: TimeMs, id: &id::WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.end_life(now);
        }
    }

    /// Lets go of workers that left the list and run nothing.
    pub(super) fn drop_gone_workers(&mut self, now: TimeMs) {
        if now < self.list_settles_at {
            return;
        }
        self.workers.retain(|_, worker| {
            worker.missing_since.is_none()
                || !worker.tasks.is_empty()
                || worker.hold_sent_at.is_some()
        });
    }
}

/// Stands for a worker that rows name and the platform does not list.
fn ghost_entry(id: &id::WorkerId) -> WorkerEntry {
    WorkerEntry {
        worker: id.clone(),
        pool: String::new(),
        address: String::new(),
        zone: String::new(),
        capacity: crate::resources::Resources::ZERO,
        labels: Vec::new(),
        draining: true,
        remaining_ms: None,
        cold_left_ms: 0,
        clock: None,
    }
}
