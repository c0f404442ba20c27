//! One pool as one entry host sees it: leadership, scheduling and recovery together.
//!
//! Every entry host of an availability zone holds a [`Pool`] for each pool of the zone. In one of
//! them the leadership acts: it loads what the journal says, reconciles it with what the workers
//! list, and schedules. In the others the pool stands by and costs next to nothing.
//!
//! [`Pool::handle`] takes an event and appends commands. The caller carries the commands out and
//! reports back with further events; the pool itself does no I/O and reads no clock.
//!
//! # Order of effects
//!
//! - A run that must not run twice is started only after the journal holds its start.
//! - A worker may forget an ended run only after the journal holds its end.
//! - An accepted command leaves the inbox in the transaction that journals its record.
//!
//! Whatever is dropped when a leader loses its majority is therefore found again by the next one:
//! in the journal, in the inbox, or in the workers' lists.

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

/// Decisions taken in one call, so that a long queue does not hold up lease renewals.
const MAX_DECISIONS: usize = 512;

/// Interval at which the scheduler is told the time of day.
const TIME_OF_DAY_INTERVAL: time::SpanMs = time::SpanMs::from_secs(30);
/// Length of a day.
const DAY: time::SpanMs = time::SpanMs::from_secs(24 * 3_600);

/// What a pool needs to know about its place.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The pool.
    pub pool: id::PoolId,
    /// Availability zone of its workers.
    pub availability_zone: id::AvailabilityZoneId,
    /// This entry host.
    pub entry_host: id::EntryHostId,
    /// This life of the process.
    pub incarnation: id::Incarnation,
    /// Time a stopped run has to finish requests in flight.
    pub stop_grace_ms: time::SpanMs,
    /// Seed of everything random in the pool.
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
    /// A pool that stands by.
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

    /// Takes in an event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: PoolEvent, commands: &mut Vec<PoolCommand>) {
        match event {
            PoolEvent::Tick => self.lead(now, leadership::LeadershipEvent::Tick, commands),
            PoolEvent::Leadership(event) => self.lead(now, event, commands),
            PoolEvent::StateLoaded(state) => self.state_loaded(now, *state, commands),
            PoolEvent::Accepted { ticket, records } => {
                self.accepted(now, ticket, records, commands);
            }
            PoolEvent::StartAnswered { batch, result } => {
                self.start_answered(now, batch, result, commands);
            }
            PoolEvent::StartUnanswered { batch } => self.start_unanswered(now, batch),
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
                self.lead(now, event, commands);
            }
            PoolEvent::RunsEnded { worker, ended } => {
                self.runs_ended(now, &worker, ended, commands);
            }
            PoolEvent::JournalCommitted { through } => {
                self.journal_committed(now, through, commands);
            }
            PoolEvent::JournalConflict => {
                self.lead(now, leadership::LeadershipEvent::Resign, commands);
            }
            PoolEvent::JobsForgotten(jobs) => self.forget(now, &jobs),
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

    /// When to call [`handle`](Self::handle) with [`PoolEvent::Tick`] if nothing comes before.
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

    /// Whether this entry host leads the pool at this time.
    #[must_use]
    pub fn is_leader(&self, now: time::TimeMs) -> bool {
        self.leadership.is_acting(now)
    }

    /// Whether this entry host leads the pool and has taken over its jobs.
    #[must_use]
    pub fn is_recovered(&self, now: time::TimeMs) -> bool {
        self.is_leader(now) && self.tenure.is_loaded()
    }

    /// The scheduler's view, while this entry host leads.
    #[must_use]
    pub const fn scheduler(&self) -> &scheduler::Scheduler {
        &self.tenure.scheduler
    }

    /// The leadership's view.
    #[must_use]
    pub const fn leadership(&self) -> &leadership::Leadership {
        &self.leadership
    }

    /// Everything that must outlive this leader, as far as this one knows.
    #[must_use]
    pub const fn state(&self) -> &journal::PoolState {
        &self.tenure.state
    }

    /// Targets of one service, while this entry host leads; `None` if it has none.
    #[must_use]
    pub fn targets_of_service(&self, job: &id::JobId) -> Option<&ServiceTargets> {
        self.tenure.routes.of(job)
    }

    fn lead(
        &mut self,
        now: Now,
        event: leadership::LeadershipEvent,
        commands: &mut Vec<PoolCommand>,
    ) {
        for command in self.leadership.handle(now.monotonic, event) {
            match command {
                leadership::LeadershipCommand::Notify(notice) => {
                    self.noticed(now, notice, commands);
                }
                command => commands.push(PoolCommand::Leadership(command)),
            }
        }
    }

    fn noticed(
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
                self.begin_tenure();
                commands.push(PoolCommand::DropJournal);
                commands.push(PoolCommand::Notice(PoolNotice::LostLeadership));
            }
            Notice::WorkerHeld { worker, granted } => {
                self.worker_held(now, &worker, granted, commands);
            }
            Notice::WorkerRenewed { worker, granted } => {
                self.worker_renewed(now, &worker, granted, commands);
            }
            Notice::WorkerLeaseLost { worker } => self.worker_lost_hold(now, worker, commands),
            Notice::TasksSafeToRestart { worker } => self.worker_lost(now, worker, commands),
        }
    }

    fn begin_tenure(&mut self) {
        let seed = self.settings.seed;
        let scheduler = scheduler::Scheduler::new(self.scheduler_config.clone(), seed);
        self.tenure = tenure::Tenure::new(scheduler);
    }

    /// Starts scheduling from what the journal says and the workers listed.
    fn state_loaded(
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
        let workers: Vec<_> = self.tenure.held.keys().cloned().collect();
        for worker in &workers {
            self.take_listing(now, worker, commands);
        }
        let early = std::mem::take(&mut self.tenure.early_ended);
        for (worker, ended) in early {
            self.runs_ended(now, &worker, ended, commands);
        }
        let safe: Vec<_> = self.tenure.safe.iter().cloned().collect();
        for worker in safe {
            let event = scheduler::SchedulerEvent::WorkerLost { worker };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        commands.push(PoolCommand::Notice(PoolNotice::StateLoaded { jobs }));
    }

    /// Folds accepted commands in. Their inbox rows go in the transaction that journals them.
    fn accepted(
        &mut self,
        now: Now,
        ticket: u64,
        accepted: Vec<journal::Record>,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            return;
        }
        let urgent = accepted.iter().any(records::is_urgent);
        let mut folded = Vec::with_capacity(accepted.len());
        for record in accepted {
            let record = records::renumbered(&self.tenure.state, record);
            let consequences = self.apply(now, &record);
            folded.push(record);
            folded.extend(consequences);
        }
        let token = self.tenure.next_token();
        commands.push(PoolCommand::Journal {
            token,
            records: folded,
            urgent,
            inbox: Some(ticket),
        });
    }

    /// Folds one accepted record into the state and tells the scheduler. Returns the records that
    /// follow from it.
    fn apply(&mut self, now: Now, record: &journal::Record) -> Vec<journal::Record> {
        if records::is_known(&self.tenure.state, record) {
            return Vec::new();
        }
        let resolutions = records::resolutions(&self.tenure.state, record, now.wall);
        self.tenure.state.apply(record);
        if let Some(event) = records::scheduler_event(record) {
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        for resolution in &resolutions {
            self.resolve(now, resolution);
        }
        if let journal::Record::JobReleased { job, .. } = record {
            self.release(now, job);
        }
        if let journal::Record::WorkerDraining { worker, .. } = record {
            let held = self.tenure.held.get(worker);
            let said_leaving = held.is_some_and(|held| held.said_leaving);
            self.set_leaving(now, worker, said_leaving);
        }
        resolutions
    }

    /// Takes a parked job up again, whether or not any task of it ever ran.
    fn release(&mut self, now: Now, job: &id::JobId) {
        let task = task::TaskId {
            job: job.clone(),
            index: 0,
        };
        let event = scheduler::SchedulerEvent::OperatorRetry { task };
        self.tenure.scheduler.handle(now.monotonic, event);
    }

    /// Folds an operator's word on a run in and puts its task back in the queue.
    fn resolve(&mut self, now: Now, resolution: &journal::Record) {
        self.tenure.state.apply(resolution);
        if let journal::Record::UnknownResolved { run, .. } = resolution {
            let task = run.task.clone();
            let event = scheduler::SchedulerEvent::OperatorRetry { task };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
    }

    fn runs_ended(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        ended: Vec<message::EndedRun>,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            self.tenure.remember_ended(worker, ended);
            return;
        }
        let mut fresh = Vec::new();
        for end in ended {
            if records::is_of_another_worker(&self.tenure.state, worker, &end.run) {
                self.leadership.acknowledge(worker, end.run);
            } else if self
                .tenure
                .unacknowledged
                .insert((worker.clone(), end.run.clone()))
            {
                self.tenure.starts.forget_run(worker, &end.run);
                fresh.push(end);
            }
        }
        if fresh.is_empty() {
            return;
        }
        let records: Vec<_> = fresh
            .iter()
            .map(|end| records::run_ended(end, now.wall))
            .collect();
        for (end, record) in fresh.iter().zip(&records) {
            self.tenure.state.apply(record);
            self.tenure.routes.mark_job(&end.run.task.job);
            let run = end.run.clone();
            let event = scheduler::SchedulerEvent::RunEnded {
                run,
                outcome: end.outcome,
            };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        let runs = fresh.into_iter().map(|end| end.run).collect();
        let token = self.journal(records, false, commands);
        let worker = worker.clone();
        self.tenure
            .after(token, tenure::AfterCommit::Acknowledge { worker, runs });
    }

    /// Hands records to the journal; returns the token under which their commit is reported.
    fn journal(
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
            inbox: None,
        });
        token
    }

    fn journal_committed(&mut self, now: Now, through: u64, commands: &mut Vec<PoolCommand>) {
        for action in self.tenure.committed(through) {
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

    /// Drops finished jobs, so that a long tenure does not keep every job that it ever ran.
    fn forget(&mut self, now: Now, jobs: &[id::JobId]) {
        self.tenure.state.forget(jobs);
        for job in jobs {
            let event = scheduler::SchedulerEvent::JobForgotten { job: job.clone() };
            self.tenure.scheduler.handle(now.monotonic, event);
            self.tenure.routes.mark_job(job);
        }
    }

    /// Tells the scheduler the time of day now and then, for warm windows.
    fn tell_time_of_day(&mut self, now: Now) {
        if now.monotonic < self.tenure.next_time_of_day {
            return;
        }
        self.tenure.next_time_of_day = now.monotonic + TIME_OF_DAY_INTERVAL;
        let time_of_day_ms = time::SpanMs(now.wall.0 % DAY.0);
        let event = scheduler::SchedulerEvent::TimeOfDay { time_of_day_ms };
        self.tenure.scheduler.handle(now.monotonic, event);
    }

    /// Lets the scheduler decide, if this entry host may start work.
    fn schedule(&mut self, now: Now, commands: &mut Vec<PoolCommand>) {
        if !self.tenure.is_loaded() || !self.is_leader(now.monotonic) {
            return;
        }
        self.complete_recovery(now, commands);
        self.tell_time_of_day(now);
        if !self.tenure.is_scheduling() {
            return;
        }
        let mut decisions = Vec::new();
        self.tenure.more_decisions =
            self.tenure
                .scheduler
                .decide(now.monotonic, MAX_DECISIONS, &mut decisions);
        self.carry_out(now, decisions, commands);
    }

    /// Releases restored waiting tasks: nothing that no worker listed can be running any more.
    fn complete_recovery(&mut self, now: Now, commands: &mut Vec<PoolCommand>) {
        if !self.tenure.release() {
            return;
        }
        self.tenure
            .scheduler
            .handle(now.monotonic, scheduler::SchedulerEvent::RecoveryComplete);
        commands.push(PoolCommand::Notice(PoolNotice::RecoveryComplete));
    }

    /// Recomputes the targets of services of which something changed.
    fn publish_routes(&mut self, commands: &mut Vec<PoolCommand>) {
        let marked = self.tenure.routes.take_marked();
        if marked.is_empty() || !self.tenure.is_loaded() {
            return;
        }
        let mut changed = Vec::new();
        for job in marked {
            let targets = self.targets_of(&job);
            if self.tenure.routes.replace(&job, targets) {
                changed.push(job);
            }
        }
        if !changed.is_empty() {
            commands.push(PoolCommand::RoutesChanged { jobs: changed });
        }
    }

    fn targets_of(&self, job: &id::JobId) -> Option<ServiceTargets> {
        let view = self.tenure.scheduler.job(job)?;
        if view.spec.kind != job::JobKind::Service {
            return None;
        }
        let serving = |task: scheduler::TaskView| {
            let worker = task.worker?;
            let held = self.tenure.held.get(&worker)?;
            let leaving = task.state == scheduler::TaskState::Stopping || held.leaving;
            let serves = leaving || task.state == scheduler::TaskState::Running;
            serves.then(|| ServingTask {
                index: task.index,
                worker,
                address: held.target_address.clone(),
                leaving,
            })
        };
        let tasks = self.tenure.scheduler.tasks(job);
        Some(ServiceTargets {
            job: job.clone(),
            team: view.spec.team.clone(),
            tasks: tasks.into_iter().filter_map(serving).collect(),
        })
    }
}

/// Workers by name, with a value each.
type ByWorker<T> = collections::FastMap<id::WorkerId, T>;
