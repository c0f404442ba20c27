//! One pool as one entry host sees it: leadership, scheduling and recovery together.
//!
//! Every entry host of an availability zone holds a [`Pool`] for each pool of the zone. The one
//! that leads the pool loads the state from the journal, reconciles it with the runs that the
//! workers list, and schedules. On the other entry hosts the pool is on standby and costs very
//! little.
//!
//! [`Pool::handle`] takes an event and appends commands. The caller carries the commands out and
//! reports their results as further events; the pool itself does no I/O and reads no clock.
//!
//! # Ordering guarantees
//!
//! - The start of a non-idempotent run is sent only after the journal holds its record.
//! - A worker may forget an ended run only after the journal holds its end.
//! - An accepted command is removed from the inbox in the transaction that journals its record.
//!
//! So the next leader recovers everything that a leader discards when it loses its majority: from
//! the journal, from the inbox, or from the workers' lists of runs.

mod command;
mod decisions;
mod event;
mod records;
mod restore;
mod routes;
mod starts;
mod tenure;
mod workers;

#[cfg(test)]
mod tests;

pub use command::{PoolCommand, PoolNotice};
pub use event::{Now, PoolEvent};
pub use routes::{ServiceTargets, ServingTask};

use crate::collections;
use crate::id;
use crate::job;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::scheduler;
use crate::task;
use crate::time;

/// Maximum number of scheduling decisions in one call, so that a long queue does not delay lease
/// renewals.
const MAX_DECISIONS: usize = 512;

/// Interval at which the scheduler receives the time of day.
const TIME_OF_DAY_INTERVAL: time::SpanMs = time::SpanMs::from_secs(30);
const DAY: time::SpanMs = time::SpanMs::from_secs(24 * 3_600);

/// Identity and settings of a pool on one entry host.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Name of the pool.
    pub pool: id::PoolId,
    /// Availability zone of its workers.
    pub availability_zone: id::AvailabilityZoneId,
    /// This entry host.
    pub entry_host: id::EntryHostId,
    /// Incarnation of the entry host's process.
    pub incarnation: id::Incarnation,
    /// Time that a stopped run has to finish its requests in flight.
    pub stop_grace_ms: time::SpanMs,
    /// Seed of the pool's random number generators.
    pub seed: u64,
}

/// One pool on one entry host.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    leadership: leadership::Leadership,
    scheduler_config: scheduler::SchedulerConfig,
    tenure: tenure::Tenure,
    store_available: bool,
}

impl Pool {
    /// Returns a pool on standby.
    #[must_use]
    pub fn new(
        settings: PoolSettings,
        leadership: leadership::Leadership,
        scheduler_config: scheduler::SchedulerConfig,
    ) -> Self {
        let scheduler = scheduler::Scheduler::new(scheduler_config.clone(), settings.seed);
        Self {
            tenure: tenure::Tenure::new(scheduler),
            settings,
            leadership,
            scheduler_config,
            store_available: true,
        }
    }

    /// Handles an event and appends the resulting commands.
    pub fn handle(&mut self, now: Now, event: PoolEvent, commands: &mut Vec<PoolCommand>) {
        match event {
            PoolEvent::Tick => self.on_leadership(now, leadership::LeadershipEvent::Tick, commands),
            PoolEvent::Leadership(event) => self.on_leadership(now, event, commands),
            PoolEvent::StateLoaded(state) => self.restore_state(now, *state, commands),
            PoolEvent::Accepted {
                inbox_read,
                records,
            } => {
                self.handle_accepted(now, inbox_read, records, commands);
            }
            PoolEvent::StartAnswered { batch, result } => {
                self.handle_start_answer(now, batch, result, commands);
            }
            PoolEvent::StartUnanswered { batch } => self.handle_unanswered_start(now, batch),
            PoolEvent::StopRefused {
                worker,
                epoch,
                refusal,
            } => {
                let event = leadership::LeadershipEvent::CommandRefused {
                    worker,
                    epoch,
                    refusal,
                };
                self.on_leadership(now, event, commands);
            }
            PoolEvent::RunsEnded { worker, ended } => {
                self.record_ended_runs(now, &worker, ended, commands);
            }
            PoolEvent::JournalCommitted { through } => {
                self.journal_committed(now, through, commands);
            }
            PoolEvent::JournalConflict => {
                self.on_leadership(now, leadership::LeadershipEvent::Resign, commands);
            }
            PoolEvent::JobsForgotten(jobs) => self.forget_jobs(now, &jobs),
            PoolEvent::StoreAvailable(available) => self.store_available = available,
            PoolEvent::ConfigChanged(config) => {
                self.scheduler_config = (*config).clone();
                let event = scheduler::SchedulerEvent::ConfigChanged(config);
                self.tenure.scheduler.handle(now.monotonic, event);
            }
        }
        self.schedule(now, commands);
        self.publish_routes(commands);
    }

    /// Returns when to call [`handle`](Self::handle) with [`PoolEvent::Tick`] if no other event
    /// comes earlier.
    #[must_use]
    pub fn next_wake(&self, now: time::TimeMs) -> Option<time::TimeMs> {
        let leadership = self.leadership.next_wake();
        let scheduler = if self.tenure.is_scheduling() {
            self.tenure.scheduler.next_wake_up(now)
        } else {
            None
        };
        let pending = self.tenure.more_decisions.then_some(now);
        [leadership, scheduler, pending].into_iter().flatten().min()
    }

    /// Name of the pool.
    #[must_use]
    pub const fn id(&self) -> &id::PoolId {
        &self.settings.pool
    }

    /// Whether this entry host leads the pool at `now`.
    #[must_use]
    pub fn is_leader(&self, now: time::TimeMs) -> bool {
        self.leadership.is_acting(now)
    }

    /// Whether this entry host leads the pool and has loaded its jobs.
    #[must_use]
    pub fn has_loaded_jobs(&self, now: time::TimeMs) -> bool {
        self.is_leader(now) && self.tenure.is_loaded()
    }

    /// The scheduler. It holds jobs only while this entry host leads the pool.
    #[must_use]
    pub const fn scheduler(&self) -> &scheduler::Scheduler {
        &self.tenure.scheduler
    }

    /// The state of the leadership protocol.
    #[must_use]
    pub const fn leadership(&self) -> &leadership::Leadership {
        &self.leadership
    }

    /// The state that the journal makes durable, including records that are not committed yet.
    #[must_use]
    pub const fn state(&self) -> &journal::PoolState {
        &self.tenure.state
    }

    /// Targets of one service, while this entry host leads; `None` if there are none.
    #[must_use]
    pub fn targets_of_service(&self, job: &id::JobId) -> Option<&ServiceTargets> {
        self.tenure.routes.targets_of(job)
    }

    fn on_leadership(
        &mut self,
        now: Now,
        event: leadership::LeadershipEvent,
        commands: &mut Vec<PoolCommand>,
    ) {
        for command in self.leadership.handle(now.monotonic, event) {
            match command {
                leadership::LeadershipCommand::Notify(notice) => {
                    self.handle_leadership_notice(now, notice, commands);
                }
                command => commands.push(PoolCommand::Leadership(command)),
            }
        }
    }

    fn handle_leadership_notice(
        &mut self,
        now: Now,
        notice: leadership::LeadershipNotice,
        commands: &mut Vec<PoolCommand>,
    ) {
        use leadership::LeadershipNotice as Notice;
        match notice {
            Notice::BecameActing => {
                commands.push(PoolCommand::LoadState);
                commands.push(PoolCommand::Notice(PoolNotice::BecameLeader));
            }
            Notice::MayStart => {
                self.tenure.permit_starts();
                commands.push(PoolCommand::Notice(PoolNotice::MayStart));
            }
            Notice::LostMajority => {
                self.reset_tenure();
                commands.push(PoolCommand::DropJournal);
                commands.push(PoolCommand::Notice(PoolNotice::LostLeadership));
            }
            Notice::WorkerHeld { worker, granted } => {
                self.worker_lease_granted(now, &worker, granted, commands);
            }
            Notice::WorkerRenewed { worker, granted } => {
                self.worker_lease_renewed(now, &worker, granted, commands);
            }
            Notice::WorkerLeaseLost { worker } => self.worker_lease_lost(now, worker, commands),
            Notice::TasksSafeToRestart { worker } => self.worker_lost(now, worker, commands),
        }
    }

    /// Replaces the tenure by an empty one, which discards all state of the previous leadership.
    fn reset_tenure(&mut self) {
        let seed = self.settings.seed;
        let scheduler = scheduler::Scheduler::new(self.scheduler_config.clone(), seed);
        self.tenure = tenure::Tenure::new(scheduler);
    }

    /// Restores the scheduler from the journal and from the workers' lists.
    fn restore_state(
        &mut self,
        now: Now,
        state: journal::PoolState,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.is_leader(now.monotonic) || self.tenure.is_loaded() {
            return;
        }
        for (job, job_state) in state.jobs() {
            if let Some(snapshot) = restore::job_snapshot(job, job_state) {
                self.tenure.scheduler.restore(now.monotonic, &snapshot);
                self.tenure.routes.mark_job(job);
            }
        }
        let jobs = state.job_count();
        self.tenure.load(state);
        let workers: Vec<_> = self.tenure.leased_workers.keys().cloned().collect();
        for worker in &workers {
            self.process_listing(now, worker, commands);
        }
        let early_ended = std::mem::take(&mut self.tenure.ended_before_load);
        for (worker, ended) in early_ended {
            self.record_ended_runs(now, &worker, ended, commands);
        }
        let lost_workers: Vec<_> = self.tenure.lost_workers.iter().cloned().collect();
        for worker in lost_workers {
            let event = scheduler::SchedulerEvent::WorkerLost { worker };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        commands.push(PoolCommand::Notice(PoolNotice::StateLoaded { jobs }));
    }

    /// Applies accepted commands. Their inbox rows are deleted in the transaction that journals
    /// them.
    fn handle_accepted(
        &mut self,
        now: Now,
        inbox_read: u64,
        accepted: Vec<journal::Record>,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            return;
        }
        let urgent = accepted.iter().any(records::is_urgent);
        let mut records = Vec::with_capacity(accepted.len());
        for record in accepted {
            let record = records::with_new_revision(&self.tenure.state, record);
            let resulting_records = self.apply_accepted(now, &record);
            records.push(record);
            records.extend(resulting_records);
        }
        let token = self.tenure.next_token();
        commands.push(PoolCommand::Journal {
            token,
            records,
            urgent,
            inbox_read: Some(inbox_read),
        });
    }

    /// Applies one accepted record to the state and to the scheduler. Returns the further records
    /// that result from it.
    fn apply_accepted(&mut self, now: Now, record: &journal::Record) -> Vec<journal::Record> {
        if records::is_already_applied(&self.tenure.state, record) {
            return Vec::new();
        }
        let resolutions = records::resolutions(&self.tenure.state, record, now.wall);
        self.tenure.state.apply(record);
        if let Some(event) = records::scheduler_event(record) {
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        if let journal::Record::JobAccepted { spec, .. } = record {
            self.replay_ended_runs(now, &spec.id);
        }
        for resolution in &resolutions {
            self.apply_resolution(now, resolution);
        }
        if let journal::Record::JobReleased { job, .. } = record {
            self.retry_released_job(now, job);
        }
        if let journal::Record::WorkerDraining { worker, .. } = record {
            let leased = self.tenure.leased_workers.get(worker);
            let reported_leaving = leased.is_some_and(|leased| leased.reported_leaving);
            self.update_leaving(now, worker, reported_leaving);
        }
        resolutions
    }

    /// Passes the ends of a job's runs that were recorded before its acceptance to the scheduler.
    fn replay_ended_runs(&mut self, now: Now, job: &id::JobId) {
        for (run, outcome) in records::ended_runs(&self.tenure.state, job) {
            let event = scheduler::SchedulerEvent::RunEnded { run, outcome };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
    }

    /// Retries a parked job, whether or not any of its tasks ever ran.
    fn retry_released_job(&mut self, now: Now, job: &id::JobId) {
        let task = task::TaskId {
            job: job.clone(),
            index: 0,
        };
        let event = scheduler::SchedulerEvent::OperatorRetry { task };
        self.tenure.scheduler.handle(now.monotonic, event);
    }

    /// Applies an operator's resolution of an unknown run and queues its task again.
    fn apply_resolution(&mut self, now: Now, resolution: &journal::Record) {
        self.tenure.state.apply(resolution);
        if let journal::Record::UnknownResolved { run, .. } = resolution {
            let task = run.task.clone();
            let event = scheduler::SchedulerEvent::OperatorRetry { task };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
    }

    /// Records ended runs that a worker reported, except those that already wait for the journal.
    /// The worker gets an acknowledgement once the journal holds them.
    fn record_ended_runs(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        ended: Vec<message::EndedRun>,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            self.tenure.buffer_ended(worker, ended);
            return;
        }
        let mut new_ends = Vec::new();
        for end in ended {
            if self.belongs_to_other_worker(worker, &end.run) {
                let event = scheduler::SchedulerEvent::UnexpectedRunEnded {
                    run: end.run.clone(),
                    worker: worker.clone(),
                };
                self.tenure.scheduler.handle(now.monotonic, event);
                self.leadership.acknowledge(worker, end.run);
            } else if self
                .tenure
                .unacknowledged
                .insert((worker.clone(), end.run.clone()))
            {
                self.tenure.starts.forget_run(worker, &end.run);
                new_ends.push(end);
            }
        }
        if new_ends.is_empty() {
            return;
        }
        let records: Vec<_> = new_ends
            .iter()
            .map(|end| records::run_ended(end, now.wall))
            .collect();
        for (end, record) in new_ends.iter().zip(&records) {
            self.tenure.state.apply(record);
            self.tenure.routes.mark_job(&end.run.task.job);
            let run = end.run.clone();
            let event = scheduler::SchedulerEvent::RunEnded {
                run,
                outcome: end.outcome,
            };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        let runs = new_ends.into_iter().map(|end| end.run).collect();
        let token = self.append_to_journal(records, false, commands);
        let worker = worker.clone();
        self.tenure
            .run_after_commit(token, tenure::AfterCommit::Acknowledge { worker, runs });
    }

    /// Whether this attempt is a run on another worker. The journal may hold the record of a deposed
    /// leader whose start was refused, so the scheduler's view of the workers' lists takes
    /// precedence.
    fn belongs_to_other_worker(&self, worker: &id::WorkerId, run: &task::RunId) -> bool {
        self.tenure.scheduler.worker_of(run) != Some(worker)
            && records::belongs_to_other_worker(&self.tenure.state, worker, run)
    }

    /// Appends records to the journal. Returns the token under which their commit is reported.
    fn append_to_journal(
        &mut self,
        records: Vec<journal::Record>,
        urgent: bool,
        commands: &mut Vec<PoolCommand>,
    ) -> u64 {
        let token = self.tenure.next_token();
        commands.push(PoolCommand::Journal {
            token,
            records,
            urgent,
            inbox_read: None,
        });
        token
    }

    /// Acknowledges ended runs and sends starts whose records are now durable.
    fn journal_committed(&mut self, now: Now, through: u64, commands: &mut Vec<PoolCommand>) {
        for action in self.tenure.take_committed(through) {
            match action {
                tenure::AfterCommit::Acknowledge { worker, runs } => {
                    for run in runs {
                        self.leadership.acknowledge(&worker, run.clone());
                        self.tenure.unacknowledged.remove(&(worker.clone(), run));
                    }
                }
                tenure::AfterCommit::SendStart { worker, run } => {
                    self.send_starts(now, &worker, vec![run], commands);
                }
            }
        }
    }

    /// Removes finished jobs from memory, so that a long tenure does not accumulate every job that
    /// ever ran.
    fn forget_jobs(&mut self, now: Now, jobs: &[id::JobId]) {
        self.tenure.state.forget(jobs);
        for job in jobs {
            let event = scheduler::SchedulerEvent::JobForgotten { job: job.clone() };
            self.tenure.scheduler.handle(now.monotonic, event);
            self.tenure.routes.mark_job(job);
        }
    }

    /// Sends the scheduler the time of day when it is due. The scheduler uses it for warm windows.
    fn send_time_of_day(&mut self, now: Now) {
        if now.monotonic < self.tenure.next_time_of_day_at {
            return;
        }
        self.tenure.next_time_of_day_at = now.monotonic + TIME_OF_DAY_INTERVAL;
        let time_of_day_ms = time::SpanMs(now.wall.0 % DAY.0);
        let event = scheduler::SchedulerEvent::TimeOfDay { time_of_day_ms };
        self.tenure.scheduler.handle(now.monotonic, event);
    }

    /// Runs the scheduler and carries out its decisions, if this entry host may start runs.
    fn schedule(&mut self, now: Now, commands: &mut Vec<PoolCommand>) {
        if !self.tenure.is_loaded() || !self.is_leader(now.monotonic) {
            return;
        }
        self.complete_recovery(now, commands);
        self.send_time_of_day(now);
        if !self.tenure.is_scheduling() {
            return;
        }
        let mut decisions = Vec::new();
        self.tenure.more_decisions =
            self.tenure
                .scheduler
                .decide(now.monotonic, MAX_DECISIONS, &mut decisions);
        self.apply_decisions(now, decisions, commands);
    }

    /// Completes recovery once: restored waiting tasks may start, since a run that no worker listed
    /// cannot be running any more.
    fn complete_recovery(&mut self, now: Now, commands: &mut Vec<PoolCommand>) {
        if !self.tenure.mark_recovered() {
            return;
        }
        self.tenure
            .scheduler
            .handle(now.monotonic, scheduler::SchedulerEvent::RecoveryComplete);
        commands.push(PoolCommand::Notice(PoolNotice::RecoveryComplete));
    }

    /// Recomputes the targets of services that may have changed.
    fn publish_routes(&mut self, commands: &mut Vec<PoolCommand>) {
        let marked = self.tenure.routes.take_marked();
        if marked.is_empty() || !self.tenure.is_loaded() {
            return;
        }
        let mut changed = Vec::new();
        for job in marked {
            let targets = self.compute_targets(&job);
            if self.tenure.routes.replace(&job, targets) {
                changed.push(job);
            }
        }
        if !changed.is_empty() {
            commands.push(PoolCommand::RoutesChanged { jobs: changed });
        }
    }

    /// Computes the current targets of a service; `None` if the job is unknown or not a service.
    fn compute_targets(&self, job: &id::JobId) -> Option<ServiceTargets> {
        let view = self.tenure.scheduler.job(job)?;
        if view.spec.kind != job::JobKind::Service {
            return None;
        }
        let serving_task = |task: scheduler::TaskView| {
            let worker = task.worker?;
            let leased = self.tenure.leased_workers.get(&worker)?;
            let leaving = task.state == scheduler::TaskState::Stopping || leased.leaving;
            let is_target = leaving || task.state == scheduler::TaskState::Running;
            is_target.then(|| ServingTask {
                index: task.index,
                worker,
                address: leased.target_address.clone(),
                leaving,
            })
        };
        let tasks = self.tenure.scheduler.tasks(job);
        Some(ServiceTargets {
            job: job.clone(),
            team: view.spec.team.clone(),
            tasks: tasks.into_iter().filter_map(serving_task).collect(),
        })
    }
}

/// Values by worker.
type ByWorker<T> = collections::FastMap<id::WorkerId, T>;
