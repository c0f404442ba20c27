//! Recovery after a change of leader: jobs are restored from snapshots, and the workers' listings
//! are authoritative for what runs.

use std::sync::Arc;

use crate::collections;
use crate::id;
use crate::job;
use crate::task;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::event::{ListedRun, WorkerListing};
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::lifecycle;
use super::queue::JobKey;
use super::snapshot;
use super::timer;
use super::worker;

/// Interval at which one more run of each job is moved off a leaving worker.
const DRAIN_INTERVAL_MS: time::SpanMs = time::SpanMs(1_000);

impl Scheduler {
    /// Updates a worker from its listing and reconciles the runs allocated there with those that it
    /// lists.
    pub(super) fn apply_listing(&mut self, now_ms: time::TimeMs, listing: &WorkerListing) {
        let key = self.workers.key_or_insert(&listing.worker);
        self.update_from_listing(key, listing);
        let listed: collections::FastSet<&task::RunId> =
            listing.running.iter().map(|listed| &listed.run).collect();
        self.end_unlisted(now_ms, key, &listed);
        self.remove_unlisted_unexpected_runs(now_ms, key, &listed);
        for entry in &listing.running {
            self.reconcile(now_ms, key, entry);
        }
        self.settle_unknown_tasks(now_ms, key);
        self.mark_possibly_overcommitted(key);
        self.refresh_worker(key);
        if listing.leaving {
            self.start_drain(now_ms, key);
        }
        self.unpark_fitting();
    }

    fn update_from_listing(&mut self, key: WorkerKey, listing: &WorkerListing) {
        let rack = self.workers.rack_key(&listing.rack);
        self.move_to_rack(key, rack);
        let capacity = amount::Amount::from(&listing.capacity);
        let worker = &mut self.workers[key];
        let previous = std::mem::replace(&mut worker.capacity, capacity);
        worker.availability_zone = Some(listing.availability_zone.clone());
        worker.reachable = true;
        worker.leaving = listing.leaving;
        worker.paused_until_ms = None;
        self.update_total_capacity(&previous, &capacity);
    }

    fn move_to_rack(&mut self, key: WorkerKey, rack: u32) {
        let previous = std::mem::replace(&mut self.workers[key].rack, rack);
        if previous == rack {
            return;
        }
        for run in &self.workers[key].runs {
            let job = &mut self.jobs[run.task.job];
            if job.is_service() {
                job.update_rack_count(previous, false);
                job.update_rack_count(rack, true);
            }
        }
    }

    /// Ends the known runs that a worker does not list.
    fn end_unlisted(
        &mut self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        listed: &collections::FastSet<&task::RunId>,
    ) {
        for task in self.tasks_on(key) {
            let run = self.jobs[task.job].run_id(task.position);
            if !listed.contains(&run) {
                self.current_run_ended(now_ms, &run, task::RunOutcome::Lost);
            }
        }
    }

    fn tasks_on(&self, key: WorkerKey) -> Vec<TaskKey> {
        self.workers[key].runs.iter().map(|run| run.task).collect()
    }

    /// Matches a listed run with its task: confirms the known run, adopts it, or records it as
    /// unexpected.
    fn reconcile(&mut self, now_ms: time::TimeMs, key: WorkerKey, listed: &ListedRun) {
        if self.unexpected_runs.get(&listed.run) == Some(&key) {
            return;
        }
        let Some(task) = self.jobs.task_key(&listed.run.task) else {
            self.add_unexpected_run(now_ms, key, listed);
            return;
        };
        let record = self.jobs[task.job].tasks[task.position as usize];
        let is_current = record.worker() == Some(key) && record.attempt() == listed.run.attempt;
        if is_current && record.is_active() {
            self.run_started(now_ms, &listed.run);
            self.correct_allocation(key, task, &amount::Amount::from(&listed.need));
        } else if let Some(unknown) = record.unknown().filter(|_| is_current) {
            self.set_task(now_ms, task, unknown.confirm_running().into_record());
            self.workers[key]
                .unknown_tasks
                .retain(|other| *other != task);
            self.allocate_listed(now_ms, key, task, listed);
        } else if self.can_adopt(task, listed.run.attempt) {
            self.adopt(now_ms, key, task, listed);
        } else {
            self.add_unexpected_run(now_ms, key, listed);
        }
    }

    /// Updates the need of a run to what its worker lists. A previous leader may have started it
    /// with a corrected size that was not recorded.
    fn correct_allocation(&mut self, key: WorkerKey, task: TaskKey, need: &amount::Amount) {
        let Some(run) = self.workers[key].run_mut(task) else {
            return;
        };
        let previous = std::mem::replace(&mut run.need, *need);
        if previous == *need {
            return;
        }
        run.allocated = need.max_each(&run.allocated);
        let team = self.jobs[task.job].team;
        self.queue.add_usage(team, need);
        self.queue.subtract_usage(team, &previous);
        self.mark_possibly_overcommitted(key);
        self.refresh_worker(key);
    }

    fn can_adopt(&self, task: TaskKey, attempt: u32) -> bool {
        let Some(record) = self.jobs.record(task) else {
            return false;
        };
        let queued = matches!(
            record.stage(),
            lifecycle::Stage::Waiting | lifecycle::Stage::BackingOff | lifecycle::Stage::Assigned
        );
        let replaceable = queued || self.is_unverified(record);
        replaceable && attempt >= record.attempt() && self.is_wanted(task)
    }

    /// Whether a task's run is known only from its record: its worker has not listed its runs to
    /// this leader yet. The start may have been refused, if the leader that recorded it was already
    /// deposed.
    fn is_unverified(&self, record: lifecycle::TaskRecord) -> bool {
        let worker = record.worker().and_then(|key| self.workers.get(key));
        record.is_active() && worker.is_some_and(|worker| !worker.has_listed_runs())
    }

    /// Makes a listed run the current run of its task.
    fn adopt(&mut self, now_ms: time::TimeMs, key: WorkerKey, task: TaskKey, listed: &ListedRun) {
        let Some(waiting) = self.prepare_adoption(now_ms, task) else {
            return;
        };
        let running = waiting.adopt(key, listed.run.attempt);
        self.set_task(now_ms, task, running.into_record());
        self.allocate_listed(now_ms, key, task, listed);
    }

    /// Applies the end of a run that was not recorded to its task.
    pub(super) fn adopt_ended(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        outcome: task::RunOutcome,
    ) {
        let Some(task) = self.jobs.task_key(&run.task) else {
            return;
        };
        if !self.can_adopt(task, run.attempt) {
            return;
        }
        if let Some(waiting) = self.prepare_adoption(now_ms, task) {
            let active = waiting.adopt_ended(run.attempt);
            self.end_active(now_ms, task, active, outcome);
        }
    }

    /// Returns a task as waiting so that it can adopt a run: ends its back-off or its assignment to
    /// a worker, or removes the run that was recorded for it.
    fn prepare_adoption(
        &mut self,
        now_ms: time::TimeMs,
        task: TaskKey,
    ) -> Option<lifecycle::Task<lifecycle::Waiting>> {
        let record = self.jobs.record(task)?;
        if let Some(active) = record.active().filter(|_| self.is_unverified(record)) {
            self.detach_run(task);
            return Some(active.requeue());
        }
        self.release_hold(now_ms, task);
        let record = self.jobs.record(task)?;
        match record.backing_off() {
            Some(backing_off) => Some(backing_off.ready()),
            None => record.waiting(),
        }
    }

    fn allocate_listed(
        &mut self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        task: TaskKey,
        listed: &ListedRun,
    ) {
        let need = amount::Amount::from(&listed.need);
        self.mark_possibly_overcommitted(key);
        let run = self.listed_run(now_ms, task, listed.run.attempt, need);
        self.attach_run(key, run);
        if self.jobs[task.job].cancelled {
            self.request_stop(now_ms, task, decision::StopReason::Cancelled);
        } else if !self.is_wanted(task) {
            self.request_stop(now_ms, task, decision::StopReason::Surplus);
        }
    }

    fn listed_run(
        &self,
        now_ms: time::TimeMs,
        task: TaskKey,
        attempt: u32,
        need: amount::Amount,
    ) -> worker::Run {
        let run_time = self.expected_run_time(task.job);
        worker::Run {
            task,
            attempt,
            need,
            allocated: need,
            peak: amount::Amount::default(),
            started_ms: now_ms,
            last_checkpoint_ms: now_ms,
            expected_end_ms: run_time.map(|span| now_ms + span),
            stop: None,
            throttled: false,
        }
    }

    /// Handles the tasks of unknown outcome that ran on a worker and are not in its new listing:
    /// idempotent ones go back into the queue, the others stay unknown.
    fn settle_unknown_tasks(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let unknown_tasks = self.workers[key].unknown_tasks.clone();
        for task in unknown_tasks {
            let Some(unknown) = self
                .jobs
                .record(task)
                .and_then(lifecycle::TaskRecord::unknown)
            else {
                continue;
            };
            if self.jobs[task.job].spec.idempotent {
                self.workers[key]
                    .unknown_tasks
                    .retain(|other| *other != task);
                self.set_task(now_ms, task, unknown.retry().into_record());
                self.stop_if_unwanted(now_ms, task);
            }
        }
    }

    /// Records a listed run that is not the current run of any task. It is stopped if its job is
    /// known, and kept if the job is unknown, because the job may be restored later.
    fn add_unexpected_run(&mut self, now_ms: time::TimeMs, key: WorkerKey, listed: &ListedRun) {
        let stopping = self.jobs.key(&listed.run.task.job).is_some();
        let need = amount::Amount::from(&listed.need);
        self.workers[key]
            .unexpected_runs
            .push(worker::UnexpectedRun {
                run: listed.run.clone(),
                need,
                allocated: need,
                stopping,
            });
        self.unexpected_runs.insert(listed.run.clone(), key);
        self.hold_back(now_ms, &listed.run.task);
        if stopping {
            let pending = timer::PendingStop::UnexpectedRun(listed.run.clone());
            self.pending_stops.push_back(pending);
        } else {
            self.notices.push_back(decision::Decision::OrphanRun {
                run: listed.run.clone(),
                worker: self.workers[key].id.clone(),
            });
        }
    }

    /// Removes a waiting task from the queue, because a worker lists a run of it.
    fn hold_back(&mut self, now_ms: time::TimeMs, id: &task::TaskId) {
        let Some(task) = self.jobs.task_key(id) else {
            return;
        };
        self.release_hold(now_ms, task);
        if let Some(record) = self.jobs.record(task).filter(|r| r.waiting().is_some()) {
            self.set_task(now_ms, task, record);
        }
    }

    /// Whether a worker lists a run of the task that is not its current run.
    pub(super) fn has_unexpected_run(&self, key: TaskKey) -> bool {
        if self.unexpected_runs.is_empty() {
            return false;
        }
        let first_attempt = task::RunId {
            attempt: 0,
            ..self.jobs[key.job].run_id(key.position)
        };
        let next = self.unexpected_runs.range(&first_attempt..).next();
        next.is_some_and(|(run, _)| run.task == first_attempt.task)
    }

    /// Removes an unexpected run that has ended on a worker.
    pub(super) fn unexpected_run_ended(
        &mut self,
        now_ms: time::TimeMs,
        run: &task::RunId,
        worker: &id::WorkerId,
    ) {
        let key = self.workers.key(worker);
        if key.is_some() && self.unexpected_runs.get(run) == key.as_ref() {
            self.remove_unexpected_run(now_ms, run);
        }
    }

    pub(super) fn remove_unexpected_run(&mut self, now_ms: time::TimeMs, run: &task::RunId) {
        if let Some(key) = self.unexpected_runs.remove(run) {
            self.workers[key]
                .unexpected_runs
                .retain(|unexpected_run| unexpected_run.run != *run);
            self.refresh_worker(key);
            self.retry_held_back(now_ms, &run.task);
        }
    }

    fn retry_held_back(&mut self, now_ms: time::TimeMs, id: &task::TaskId) {
        if let Some(task) = self.jobs.task_key(id) {
            self.retry(now_ms, task);
        }
    }

    fn remove_unlisted_unexpected_runs(
        &mut self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        listed: &collections::FastSet<&task::RunId>,
    ) {
        let unexpected_runs = self.workers[key].unexpected_runs.iter();
        let unlisted: Vec<task::RunId> = unexpected_runs
            .filter(|unexpected_run| !listed.contains(&unexpected_run.run))
            .map(|unexpected_run| unexpected_run.run.clone())
            .collect();
        for run in unlisted {
            self.remove_unexpected_run(now_ms, &run);
        }
    }

    /// Stops the unexpected runs of an unknown job.
    pub(super) fn stop_unexpected_runs_of(&mut self, id: &id::JobId) {
        for (key, run) in self.unexpected_runs_of(id) {
            let unexpected_runs = self.workers[key].unexpected_runs.iter_mut();
            for unexpected_run in unexpected_runs
                .filter(|unexpected_run| unexpected_run.run == run && !unexpected_run.stopping)
            {
                unexpected_run.stopping = true;
                self.pending_stops
                    .push_back(timer::PendingStop::UnexpectedRun(run.clone()));
            }
        }
    }

    fn unexpected_runs_of(&self, id: &id::JobId) -> Vec<(WorkerKey, task::RunId)> {
        let of_job = self
            .unexpected_runs
            .iter()
            .filter(|(run, _)| run.task.job == *id);
        let mut found: Vec<_> = of_job.map(|(run, key)| (*key, run.clone())).collect();
        found.sort_unstable();
        found
    }

    /// Reconciles runs that workers listed before their job was known.
    pub(super) fn adopt_unexpected_runs(&mut self, now_ms: time::TimeMs, job: JobKey) {
        let id = self.jobs[job].spec.id.clone();
        for (key, run) in self.unexpected_runs_of(&id) {
            let unexpected_runs = &self.workers[key].unexpected_runs;
            let Some(unexpected_run) = unexpected_runs
                .iter()
                .find(|unexpected_run| unexpected_run.run == run)
            else {
                continue;
            };
            let listed = ListedRun {
                run: run.clone(),
                need: unexpected_run.need.into(),
            };
            let stopping = unexpected_run.stopping;
            self.remove_unexpected_run(now_ms, &run);
            self.reconcile(now_ms, key, &listed);
            let adopted = self.task_of_current_run(&run);
            if let Some(task) = adopted.filter(|_| stopping) {
                self.request_stop(now_ms, task, decision::StopReason::Superseded);
            }
        }
    }

    pub(super) fn worker_unreachable(&mut self, now_ms: time::TimeMs, id: &id::WorkerId) {
        if let Some(key) = self.workers.key(id) {
            self.workers[key].reachable = false;
            self.take_out_of_use(now_ms, key);
        }
    }

    fn take_out_of_use(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        self.probes.retain(|&probe| probe != key);
        self.release_holds_on(now_ms, key);
        self.break_reservation(key);
        self.refresh_worker(key);
    }

    pub(super) fn worker_lost(&mut self, now_ms: time::TimeMs, id: &id::WorkerId) {
        let Some(key) = self.workers.key(id) else {
            return;
        };
        self.workers[key].reachable = false;
        self.take_out_of_use(now_ms, key);
        for task in self.tasks_on(key) {
            self.handle_lost_run(now_ms, task);
        }
        for unexpected_run in std::mem::take(&mut self.workers[key].unexpected_runs) {
            self.unexpected_runs.remove(&unexpected_run.run);
            self.retry_held_back(now_ms, &unexpected_run.run.task);
        }
        let capacity = std::mem::take(&mut self.workers[key].capacity);
        self.update_total_capacity(&capacity, &amount::Amount::default());
        self.refresh_worker(key);
        self.remove_if_unused(key);
    }

    fn handle_lost_run(&mut self, now_ms: time::TimeMs, task: TaskKey) {
        let spec = &self.jobs[task.job].spec;
        let waits_for_worker = spec.lost_worker == job::LostWorkerPolicy::WaitForWorker;
        if waits_for_worker && self.is_wanted(task) {
            let active = self
                .jobs
                .record(task)
                .and_then(lifecycle::TaskRecord::active);
            self.detach_run(task);
            if let Some(active) = active {
                self.mark_unknown(now_ms, task, active);
            }
            return;
        }
        let run = self.jobs[task.job].run_id(task.position);
        self.current_run_ended(now_ms, &run, task::RunOutcome::Lost);
    }

    /// Removes a lost worker that has no runs and no tasks of unknown outcome left.
    pub(super) fn remove_if_unused(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let still_needed = worker.reachable
            || worker.capacity != amount::Amount::default()
            || !worker.unknown_tasks.is_empty()
            || !worker.runs.is_empty()
            || !worker.unexpected_runs.is_empty();
        if !still_needed {
            self.workers.remove(key);
            self.refresh_worker(key);
        }
    }

    pub(super) fn worker_leaving(
        &mut self,
        now_ms: time::TimeMs,
        id: &id::WorkerId,
        leaving: bool,
    ) {
        let Some(key) = self.workers.key(id) else {
            return;
        };
        if self.workers[key].leaving == leaving {
            return;
        }
        self.workers[key].leaving = leaving;
        if leaving {
            self.start_drain(now_ms, key);
        } else {
            self.refresh_worker(key);
        }
    }

    fn start_drain(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        self.take_out_of_use(now_ms, key);
        self.drain(now_ms, key);
    }

    /// Moves one run of each job off a leaving worker: services, and preemptible idempotent batch
    /// jobs. Other runs continue to their end.
    pub(super) fn drain(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker.leaving {
            return;
        }
        let movable = |run: &&worker::Run| {
            let job = &self.jobs[run.task.job];
            let moves = job.is_service() || (job.spec.preemptible && job.spec.idempotent);
            run.stop.is_none() && moves
        };
        let mut tasks: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(movable)
            .map(|run| run.task)
            .collect();
        if tasks.is_empty() {
            return;
        }
        tasks.sort_unstable();
        tasks.dedup_by_key(|task| task.job);
        for task in tasks {
            self.request_stop(now_ms, task, decision::StopReason::WorkerLeaving);
        }
        let at_ms = now_ms + DRAIN_INTERVAL_MS;
        self.timers.set(at_ms, timer::Timer::Drain(key));
    }

    /// Allows the waiting tasks of restored jobs to start.
    pub(super) fn complete_recovery(&mut self) {
        let recovering: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.recovering)
            .map(|(key, _)| key)
            .collect();
        for key in recovering {
            self.jobs[key].recovering = false;
            self.sync_job(key);
        }
    }

    pub(super) fn restore_job(&mut self, now_ms: time::TimeMs, from: &snapshot::JobSnapshot) {
        if self.jobs.key(&from.spec.id).is_some() {
            return;
        }
        let key = self.insert_job(
            now_ms,
            &from.spec,
            from.accepted_wall_ms,
            from.first_index,
            from.tasks,
        );
        self.jobs[key].recovering = true;
        self.jobs[key].parked = from.parked;
        for task in &from.started {
            self.restore_task(now_ms, key, task);
        }
        self.jobs[key].state = self.jobs[key].current_state();
        self.adopt_unexpected_runs(now_ms, key);
        if from.cancelled {
            self.cancel(&from.spec.id);
        }
    }

    fn restore_task(&mut self, now_ms: time::TimeMs, job: JobKey, from: &snapshot::TaskSnapshot) {
        use snapshot::TaskSnapshotState;
        let id = task::TaskId {
            job: self.jobs[job].spec.id.clone(),
            index: from.index,
        };
        let Some(task) = self.jobs.task_key(&id) else {
            return;
        };
        let (stage, worker) = match &from.state {
            TaskSnapshotState::Waiting => (lifecycle::Stage::Waiting, None),
            TaskSnapshotState::Started { worker } => {
                let worker = self.workers.key_or_insert(worker);
                (lifecycle::Stage::Running, Some(worker))
            }
            TaskSnapshotState::Succeeded => (lifecycle::Stage::Succeeded, None),
            TaskSnapshotState::Failed => (lifecycle::Stage::Failed, None),
            TaskSnapshotState::Stopped => (lifecycle::Stage::Stopped, None),
            TaskSnapshotState::Unknown => (lifecycle::Stage::Unknown, None),
        };
        let record = lifecycle::TaskRecord::restored(stage, from.attempt, worker);
        self.set_task(now_ms, task, record);
        if let Some(worker) = worker {
            let need = self.jobs[job].need;
            self.mark_possibly_overcommitted(worker);
            let run = self.listed_run(now_ms, task, from.attempt, need);
            self.attach_run(worker, run);
        }
    }

    pub(super) fn job_snapshot(&self, key: JobKey) -> snapshot::JobSnapshot {
        let job = &self.jobs[key];
        let records = (job.first_index..).zip(&job.tasks);
        let started = records.filter_map(|(index, record)| self.task_snapshot(index, *record));
        snapshot::JobSnapshot {
            spec: Arc::clone(&job.spec),
            accepted_wall_ms: job.accepted_wall_ms,
            cancelled: job.cancelled,
            parked: job.parked,
            first_index: job.first_index,
            tasks: u32::try_from(job.tasks.len()).unwrap_or(u32::MAX),
            started: started.collect(),
        }
    }

    fn task_snapshot(
        &self,
        index: u32,
        record: lifecycle::TaskRecord,
    ) -> Option<snapshot::TaskSnapshot> {
        use lifecycle::Stage;
        use snapshot::TaskSnapshotState;
        let state = match record.stage() {
            Stage::Waiting | Stage::BackingOff | Stage::Assigned => {
                if record.attempt() == 0 {
                    return None;
                }
                TaskSnapshotState::Waiting
            }
            Stage::Starting | Stage::Running | Stage::Stopping => TaskSnapshotState::Started {
                worker: self.workers.get(record.worker()?)?.id.clone(),
            },
            Stage::Succeeded => TaskSnapshotState::Succeeded,
            Stage::Failed => TaskSnapshotState::Failed,
            Stage::Stopped => TaskSnapshotState::Stopped,
            Stage::Unknown => TaskSnapshotState::Unknown,
        };
        Some(snapshot::TaskSnapshot {
            index,
            attempt: record.attempt(),
            state,
        })
    }
}
