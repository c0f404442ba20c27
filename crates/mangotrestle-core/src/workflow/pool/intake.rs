//! Takes jobs, cancellations and the platform's list of workers.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Job, StepKey, Unit, UnitKey};
use super::super::message::WorkerEntry;
use super::super::rank::{Deadlines, Rank};
use super::super::record::{AssignmentRow, JobState};
use super::super::spec::JobRecord;
use super::super::worker::Worker;
use super::{Note, Pool, lives};

/// Time after the store has become available again in which expired list entries may reappear.
const LIST_SETTLE_TIME: SpanMs = SpanMs(2_200);

impl Pool {
    /// Adds an accepted job. If it was submitted to this leader, its acceptance is now durable; a
    /// job that is already known is otherwise unchanged.
    pub fn accept(&mut self, now: TimeMs, id: &id::JobId, mut record: Arc<JobRecord>) {
        if let Some(job) = self.jobs.get_mut(id).filter(|job| !job.accepted) {
            if job.record.pools == record.pools {
                // The job was submitted to this leader, and a host has made it durable.
                job.accepted = true;
            } else {
                // The stored record decides which pools run the job.
                self.drop_submission(now, id);
            }
        }
        if self.knows(id) {
            return;
        }
        self.mark_surplus(now, &mut record);
        let job = self.new_job(now, id, record);
        self.begin_job(now, job);
    }

    /// Adds a job whose acceptance becomes durable with the next commit. Returns whether the job
    /// is already known and its acceptance durable.
    pub fn submit(&mut self, now: TimeMs, id: &id::JobId, mut record: Arc<JobRecord>) -> bool {
        if let Some(job) = self.jobs.get(id) {
            return job.accepted;
        }
        if self.ended.contains_key(id) {
            return true;
        }
        self.mark_surplus(now, &mut record);
        let mut job = self.new_job(now, id, record);
        job.accepted = false;
        self.begin_job(now, job);
        self.mark_dirty(id);
        false
    }

    /// Returns the submitted jobs whose acceptance is neither durable nor in the commit in flight.
    #[must_use]
    pub fn unwritten_submissions(&self) -> Vec<id::JobId> {
        let submitted = self.jobs.values().filter(|job| !job.accepted);
        submitted
            .map(|job| job.id.clone())
            .filter(|id| !self.writing.contains(id))
            .collect()
    }

    /// Drops a job whose acceptance did not become durable; no order was sent for it.
    pub fn drop_submission(&mut self, now: TimeMs, id: &id::JobId) {
        if self.jobs.get(id).is_none_or(|job| job.accepted) {
            return;
        }
        let jobs = self.jobs.get(id).into_iter();
        let assigned: Vec<_> = jobs
            .flat_map(Job::assigned_members)
            .map(|(key, _)| key)
            .collect();
        for key in assigned {
            self.release(now, &key);
        }
        self.unqueue_job(id);
        self.unschedule(id);
        self.jobs.remove(id);
        self.dirty.remove(id);
        self.writing.retain(|other_id| other_id != id);
    }

    /// Restores a job from the rows of an earlier leader.
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
        for (key, member) in job.assigned_members() {
            let spec = &job.record.steps[key.unit.step.step as usize];
            if let Some(worker) = &member.worker {
                self.count_assigned(now, &job.record, &key);
                self.worker_or_placeholder(now, worker, member.born_ms)
                    .add_task(key, spec);
            }
        }
        self.begin_job(now, job);
    }

    /// Whether the job was submitted to this leader or accepted, or its end is remembered.
    #[must_use]
    pub fn knows(&self, id: &id::JobId) -> bool {
        self.jobs.contains_key(id) || self.ended.contains_key(id)
    }

    fn new_job(&self, now: TimeMs, id: &id::JobId, record: Arc<JobRecord>) -> Job {
        let pool = &self.settings.name;
        Job::new(id.clone(), record, now, self.epoch_offset_ms, pool)
    }

    /// Adds a job and queues what is due.
    fn begin_job(&mut self, now: TimeMs, mut job: Job) {
        let id = job.id.clone();
        if !job.delegates.is_empty() {
            self.delegating.insert(id.clone());
        }
        if job.runs_nothing_here() {
            self.jobs.insert(id, job);
            return;
        }
        if job.is_unbegun_single_run() {
            job.begin_occurrence(0);
        }
        let occurrences: Vec<u32> = job.occurrences.keys().copied().collect();
        let end = job.end;
        self.jobs.insert(id.clone(), job);
        if end.is_some() {
            self.stop_assigned(now, &id);
            self.mark_dirty(&id);
            return;
        }
        for occurrence_number in occurrences {
            self.abort_partial_gangs(now, &id, occurrence_number);
            self.queue_ready_steps(now, &id, occurrence_number);
        }
        self.schedule_next(&id);
        self.finish_if_done(now, &id);
    }

    /// Aborts gang runs of which an earlier leader had settled only some members.
    fn abort_partial_gangs(&mut self, now: TimeMs, id: &id::JobId, occurrence_number: u32) {
        let Some(occurrence) = self
            .jobs
            .get(id)
            .and_then(|job| job.occurrences.get(&occurrence_number))
        else {
            return;
        };
        let partial = |unit: &Unit| {
            !unit.done
                && !unit.is_free()
                && unit.members.iter().any(|member| member.worker.is_none())
        };
        let steps = (0..).zip(&occurrence.steps);
        let keys: Vec<UnitKey> = steps
            .filter(|(_, step)| step.units.first().is_some_and(partial))
            .map(|(step, _)| UnitKey {
                step: StepKey {
                    job: id.clone(),
                    occurrence: occurrence_number,
                    step,
                },
                unit: 0,
            })
            .collect();
        for key in keys {
            self.abort_run(now, &key);
        }
    }

    /// Marks steps ready whose earlier steps are done, and queues their waiting units. A job that has
    /// ended begins no more steps.
    pub(super) fn queue_ready_steps(
        &mut self,
        now: TimeMs,
        id: &id::JobId,
        occurrence_number: u32,
    ) {
        let open_job = self.jobs.get_mut(id).filter(|job| job.end.is_none());
        let Some(job) = open_job else {
            return;
        };
        let began_at = job.began_at(occurrence_number);
        let record = Arc::clone(&job.record);
        let estimates = &self.estimates;
        let Some(occurrence) = job.occurrences.get_mut(&occurrence_number) else {
            return;
        };
        let step_done: Vec<bool> = occurrence
            .steps
            .iter()
            .map(|step| step.open_units == 0)
            .collect();
        for (index, step) in (0_u32..).zip(&mut occurrence.steps) {
            let after = &record.steps[index as usize].after;
            let ready = after.iter().all(|&earlier| step_done[earlier as usize]);
            if !ready || step.ready {
                continue;
            }
            step.ready = true;
            step.queued_at = now;
            let deadlines = Deadlines::new(estimates, &record, began_at, index);
            step.rank = Rank::new(now, &record, &deadlines, index, false);
            for (unit, state) in (0..).zip(&step.units) {
                if state.is_waiting() {
                    let key = UnitKey {
                        step: StepKey {
                            job: id.clone(),
                            occurrence: occurrence_number,
                            step: index,
                        },
                        unit,
                    };
                    let added = self.waiting.insert((step.rank, key));
                    job.waiting_units[index as usize] += u32::from(added);
                }
            }
        }
        if let Some(policy) = &record.policy.advice {
            self.ticket_requests.expect(policy);
        }
        self.placing_due = true;
        self.has_unchecked_steps = true;
    }

    /// Cancels a job for its caller. A job that has already ended keeps its final state.
    pub fn cancel(&mut self, now: TimeMs, id: &id::JobId) {
        self.end_job(now, id, JobState::Cancelled);
    }

    /// Ends a job: no more of its tasks start, and running ones are stopped.
    pub(super) fn end_job(&mut self, now: TimeMs, id: &id::JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.end.is_some() {
            return;
        }
        job.end = Some(state);
        for delegate in &mut job.delegates {
            delegate.due_at = now;
        }
        let after = now.since(job.known_at);
        self.notes.push(Note::JobEnded {
            job: id.clone(),
            state,
            after,
        });
        self.unqueue_job(id);
        self.unschedule(id);
        self.stop_assigned(now, id);
        self.mark_dirty(id);
        self.placing_due = true;
    }

    /// Ends a job as completed if all of its occurrences are done.
    pub(super) fn finish_if_done(&mut self, now: TimeMs, id: &id::JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.is_done_here() && job.has_ended_elsewhere() {
            self.end_job(now, id, JobState::Completed);
        }
    }

    /// Returns the worker with this identifier, or adds a placeholder if the platform does not list
    /// it.
    fn worker_or_placeholder(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        born_ms: Option<u64>,
    ) -> &mut Worker {
        let previous_lease_until = self.previous_lease_until;
        let life = self.last_life;
        self.workers.entry(id.clone()).or_insert_with(|| {
            let mut worker = Worker::new(now, placeholder_entry(id, born_ms), life);
            worker.missing_since = Some(now);
            worker.previous_lease_until = Some(previous_lease_until);
            worker
        })
    }

    /// Adds or updates a worker from its entry in the platform's list.
    pub fn worker_listed(&mut self, now: TimeMs, entry: WorkerEntry) {
        let id = entry.worker.clone();
        let previous_lease_until = self.previous_lease_until;
        let Some(worker) = self.workers.get_mut(&id) else {
            let mut worker = Worker::new(now, entry, self.last_life);
            worker.previous_lease_until = Some(previous_lease_until);
            worker.learned_speed = self.remembered_speeds.remove(&id).unwrap_or_default();
            self.workers.insert(id, worker);
            return;
        };
        match lives::compare_lives(entry.born_ms, worker.entry.born_ms) {
            Ordering::Less => return,
            Ordering::Equal => {}
            Ordering::Greater => {
                self.begin_life(now, entry, true);
                return;
            }
        }
        let began_draining = entry.draining && !worker.entry.draining;
        if let Some(reading) = entry.clock {
            worker.clock.update(now, reading);
        }
        let unchanged = worker.missing_since.is_none()
            && worker.entry.capacity == entry.capacity
            && worker.entry.draining == entry.draining;
        worker.list_life(entry);
        if !unchanged {
            self.placing_due = true;
        }
        if began_draining {
            self.notes.push(Note::WorkerDraining { worker: id.clone() });
            self.stop_persistent_tasks(now, &id);
        }
    }

    /// Records that a worker is not in the platform's list any more.
    pub fn worker_gone(&mut self, now: TimeMs, id: &id::WorkerId) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.missing_since.is_none()
        {
            worker.missing_since = Some(now);
            self.notes.push(Note::WorkerGone { worker: id.clone() });
        }
    }

    /// Applies a complete read of the list: workers that are not in `listed` have left it.
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

    /// Records that all changes of the platform's list up to a moment have been applied.
    pub fn worker_list_confirmed(&mut self, as_of: TimeMs) {
        self.list_as_of = self.list_as_of.max(as_of);
    }

    /// Returns the time since all changes of the platform's list were last known.
    #[must_use]
    pub fn worker_list_age(&self, now: TimeMs) -> SpanMs {
        now.since(self.list_as_of)
    }

    /// Records that the store is available again; entries that expired meanwhile may reappear.
    pub fn store_returned(&mut self, now: TimeMs) {
        self.list_unsettled_until = now + LIST_SETTLE_TIME;
    }

    /// Records that a list of machines that was asked for at `asked_at` lacks a worker, whose life has
    /// therefore ended unless it began or answered later.
    pub fn worker_ended(&mut self, now: TimeMs, id: &id::WorkerId, asked_at: TimeMs) {
        if let Some(worker) = self.workers.get_mut(id)
            && !worker.is_alive_after(asked_at)
        {
            worker.mark_ended(now);
        }
    }

    /// Removes workers that left the list and have neither runs nor a poll in flight.
    pub(super) fn remove_unlisted_workers(&mut self, now: TimeMs) {
        if now < self.list_unsettled_until {
            return;
        }
        let worker_count = self.workers.len();
        self.workers.retain(|_, worker| {
            worker.missing_since.is_none()
                || !worker.tasks.is_empty()
                || worker.hold_sent_at.is_some()
        });
        // A worker that was removed may return, in a life that is not to be taken for its earlier one.
        self.last_life += u32::from(self.workers.len() < worker_count);
    }
}

/// Returns the entry of a placeholder for a worker that rows name and the platform does not list.
fn placeholder_entry(id: &id::WorkerId, born_ms: Option<u64>) -> WorkerEntry {
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
        born_ms,
    }
}
