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
mod event;
mod records;
mod restore;
mod routes;
mod starts;
mod tenure;

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
use crate::result_code;
use crate::scheduler;
use crate::task;
use crate::time;

/// Decisions taken in one call, so that a long queue does not hold up lease renewals.
const MAX_DECISIONS: usize = 512;

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
            PoolEvent::Decided(records) => self.decided(now, records, commands),
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

    /// Targets of every service of the pool, while this entry host leads.
    pub fn service_targets(&self) -> impl Iterator<Item = &ServiceTargets> {
        self.tenure.routes.all()
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
                commands.push(PoolCommand::Notice(PoolNotice::LostLead));
            }
            Notice::WorkerHeld { worker, granted } => {
                self.worker_held(now, &worker, granted, commands);
            }
            Notice::WorkerRenewed { worker, granted } => {
                self.worker_renewed(now, &worker, granted, commands);
            }
            Notice::WorkerLostHold { worker } => self.worker_lost_hold(now, worker, commands),
            Notice::TasksSafeToRestart { worker } => self.worker_lost(now, worker, commands),
        }
    }

    fn begin_tenure(&mut self) {
        let seed = self.settings.seed;
        let scheduler = scheduler::Scheduler::new(self.scheduler_config.clone(), seed);
        self.tenure = tenure::Tenure::new(scheduler);
    }

    fn worker_held(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        granted: message::ClaimGranted,
        commands: &mut Vec<PoolCommand>,
    ) {
        commands.push(PoolCommand::Notice(PoolNotice::WorkerHeld {
            worker: worker.clone(),
            epoch: granted.epoch,
            running: granted.running.len(),
        }));
        commands.push(PoolCommand::Watch {
            worker: worker.clone(),
            request: message::WatchRequest {
                worker_incarnation: granted.worker_incarnation,
                epoch: granted.epoch,
            },
        });
        self.tenure.hold(worker.clone(), granted);
        if self.tenure.is_loaded() {
            self.take_listing(now, worker, commands);
        }
    }

    /// Tells the scheduler what a claimed worker listed; ends come before what still runs.
    fn take_listing(&mut self, now: Now, worker: &id::WorkerId, commands: &mut Vec<PoolCommand>) {
        let Some(granted) = self.tenure.held.get_mut(worker) else {
            return;
        };
        let Some(listing) = granted.listing.take() else {
            return;
        };
        self.runs_ended(now, worker, listing.ended, commands);
        for running in &listing.running {
            self.tenure.routes.mark_job(&running.run.task.job);
        }
        let draining = self
            .tenure
            .state
            .draining_workers()
            .any(|drained| drained == worker);
        let event = scheduler::SchedulerEvent::WorkerAvailable(scheduler::WorkerListing {
            worker: worker.clone(),
            rack: listing.rack,
            availability_zone: self.settings.availability_zone.clone(),
            capacity: listing.capacity,
            running: listing
                .running
                .into_iter()
                .map(restore::listed_run)
                .collect(),
            leaving: listing.leaving || draining,
        });
        self.tenure.scheduler.handle(now.monotonic, event);
        self.tenure.routes.mark_worker(worker);
    }

    fn worker_renewed(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        granted: message::RenewGranted,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            self.tenure.remember_ended(worker, granted.ended);
            return;
        }
        self.runs_ended(now, worker, granted.ended, commands);
        for usage in granted.usage {
            let event = scheduler::SchedulerEvent::Usage {
                run: usage.run,
                used: usage.used,
            };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        self.set_leaving(now, worker, granted.leaving);
        self.resend_unanswered_starts(now, worker, commands);
    }

    /// Tells the scheduler when a worker starts or ceases to leave, by its own word or a drain.
    fn set_leaving(&mut self, now: Now, worker: &id::WorkerId, said_leaving: bool) {
        let draining = self
            .tenure
            .state
            .draining_workers()
            .any(|drained| drained == worker);
        let leaving = said_leaving || draining;
        let Some(held) = self.tenure.held.get_mut(worker) else {
            return;
        };
        held.said_leaving = said_leaving;
        if std::mem::replace(&mut held.leaving, leaving) == leaving {
            return;
        }
        let event = scheduler::SchedulerEvent::WorkerLeaving {
            worker: worker.clone(),
            leaving,
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        self.tenure.routes.mark_worker(worker);
    }

    fn worker_lost_hold(
        &mut self,
        now: Now,
        worker: id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        self.tenure.held.remove(&worker);
        self.tenure.routes.mark_worker(&worker);
        let event = scheduler::SchedulerEvent::WorkerUnreachable {
            worker: worker.clone(),
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLostHold { worker }));
    }

    fn worker_lost(&mut self, now: Now, worker: id::WorkerId, commands: &mut Vec<PoolCommand>) {
        self.tenure.safe.insert(worker.clone());
        self.tenure.routes.mark_worker(&worker);
        let event = scheduler::SchedulerEvent::WorkerLost {
            worker: worker.clone(),
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLost { worker }));
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
        for record in &accepted {
            self.apply(now, record);
        }
        let token = self.tenure.next_token();
        commands.push(PoolCommand::Journal {
            token,
            records: accepted,
            urgent,
            inbox: Some(ticket),
        });
    }

    /// Folds records of decisions in that come from inside, such as an operator's word on a run.
    fn decided(
        &mut self,
        now: Now,
        decided: Vec<journal::Record>,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() || decided.is_empty() {
            return;
        }
        for record in &decided {
            self.apply(now, record);
        }
        self.journal(decided, false, commands);
    }

    /// Folds one accepted record into the state and tells the scheduler.
    fn apply(&mut self, now: Now, record: &journal::Record) {
        if records::is_known(&self.tenure.state, record) {
            return;
        }
        let retries = records::tasks_to_retry(&self.tenure.state, record);
        self.tenure.state.apply(record);
        if let Some(event) = records::scheduler_event(record) {
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        for task in retries {
            let event = scheduler::SchedulerEvent::OperatorRetry { task };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        if let journal::Record::WorkerDraining { worker, .. } = record {
            let said_leaving = self
                .tenure
                .held
                .get(worker)
                .is_some_and(|held| held.said_leaving);
            self.set_leaving(now, worker, said_leaving);
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
            if self
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

    /// Lets the scheduler decide, if this entry host may start work.
    fn schedule(&mut self, now: Now, commands: &mut Vec<PoolCommand>) {
        if !self.tenure.is_loaded() || !self.is_leader(now.monotonic) {
            return;
        }
        self.complete_recovery(now, commands);
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

    fn carry_out(
        &mut self,
        now: Now,
        decisions: Vec<scheduler::Decision>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let mut batches = starts::Batches::default();
        let mut stops = starts::Stops::default();
        for decision in decisions {
            match decision {
                scheduler::Decision::Start {
                    run,
                    worker,
                    need,
                    run_time_ms,
                    idempotent,
                    urgent,
                    reason,
                } => {
                    commands.push(PoolCommand::Notice(PoolNotice::Placed {
                        run: run.clone(),
                        worker: worker.clone(),
                        reason,
                    }));
                    let start = message::StartRun {
                        run,
                        need,
                        run_time_ms,
                        idempotent,
                    };
                    self.prepare_start(now, worker, start, urgent, &mut batches, commands);
                }
                scheduler::Decision::Stop {
                    run,
                    worker,
                    checkpoint,
                    reason,
                } => {
                    self.tenure.routes.mark_job(&run.task.job);
                    commands.push(PoolCommand::Notice(PoolNotice::Stopping {
                        run: run.clone(),
                        worker: worker.clone(),
                        reason,
                    }));
                    stops.add(worker, checkpoint, run);
                }
                scheduler::Decision::Throttle {
                    run,
                    worker,
                    cpu_millicores,
                } => {
                    let notice = PoolNotice::Throttled {
                        run,
                        worker,
                        cpu_millicores,
                    };
                    commands.push(PoolCommand::Notice(notice));
                }
                scheduler::Decision::JobStateChanged { job, state, code } => {
                    self.job_state_changed(now, job, state, code, commands);
                }
                scheduler::Decision::TaskUnknown { run } => self.task_unknown(now, run, commands),
                scheduler::Decision::WorkerQuarantined {
                    worker,
                    probe_at_ms,
                } => {
                    let notice = PoolNotice::Quarantine {
                        worker,
                        probe_at_ms,
                    };
                    commands.push(PoolCommand::Notice(notice));
                }
                scheduler::Decision::OrphanRun { run, worker } => {
                    commands.push(PoolCommand::Notice(PoolNotice::OrphanRun { run, worker }));
                }
            }
        }
        if !batches.records.is_empty() {
            let records = std::mem::take(&mut batches.records);
            self.journal(records, batches.urgent, commands);
        }
        for (worker, runs) in batches.by_worker {
            self.send_starts(now, &worker, runs, commands);
        }
        self.send_stops(now, stops, commands);
    }

    /// Records a start. A run that may be repeated is sent at once; any other waits for the record.
    fn prepare_start(
        &mut self,
        now: Now,
        worker: id::WorkerId,
        start: message::StartRun,
        urgent: bool,
        batches: &mut starts::Batches,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !start.idempotent && !self.store_available {
            let code = result_code::ResultCode::StoreUnavailable;
            let event = scheduler::SchedulerEvent::StartRefused {
                run: start.run,
                code,
            };
            self.tenure.scheduler.handle(now.monotonic, event);
            return;
        }
        let record = records::run_started(&start.run, &worker, now.wall);
        self.tenure.state.apply(&record);
        if start.idempotent {
            batches.records.push(record);
            batches.urgent |= urgent;
            batches.by_worker.entry(worker).or_default().push(start);
            return;
        }
        let token = self.journal(vec![record], true, commands);
        self.tenure
            .after(token, tenure::AfterCommit::SendStart { worker, run: start });
    }

    /// Sends starts under a fresh permit, or tells the scheduler that nothing ran.
    fn send_starts(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        runs: Vec<message::StartRun>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let Some(permit) = self.leadership.start_permit(worker, now.monotonic) else {
            let runs = runs.into_iter().map(|start| start.run).collect();
            self.starts_refused(now, runs, result_code::ResultCode::NoLeader, commands);
            return;
        };
        let batch = self.tenure.starts.sent(worker, permit.epoch, &runs);
        commands.push(PoolCommand::Start {
            batch,
            worker: worker.clone(),
            request: message::StartRequest {
                worker_incarnation: permit.worker_incarnation,
                epoch: permit.epoch,
                start_before_ms: permit.start_before_ms,
                runs,
            },
        });
    }

    fn resend_unanswered_starts(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        let runs = self.tenure.starts.take_unanswered(worker);
        if runs.is_empty() {
            return;
        }
        if self
            .leadership
            .start_permit(worker, now.monotonic)
            .is_some()
        {
            self.send_starts(now, worker, runs, commands);
        } else {
            self.tenure.starts.keep_unanswered(worker, runs);
        }
    }

    /// Marks runs as surely not run, in the journal and in the scheduler.
    fn starts_refused(
        &mut self,
        now: Now,
        runs: Vec<task::RunId>,
        code: result_code::ResultCode,
        commands: &mut Vec<PoolCommand>,
    ) {
        if runs.is_empty() {
            return;
        }
        let mut records = Vec::with_capacity(runs.len());
        for run in runs {
            let record = records::run_not_run(&run, now.wall);
            self.tenure.state.apply(&record);
            records.push(record);
            let event = scheduler::SchedulerEvent::StartRefused { run, code };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        self.journal(records, false, commands);
    }

    fn start_answered(
        &mut self,
        now: Now,
        batch: u64,
        result: Result<message::StartAnswer, message::Refusal>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let Some(sent) = self.tenure.starts.answered(batch) else {
            return;
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(refusal) => {
                let runs = sent.runs.into_iter().map(|start| start.run).collect();
                self.starts_refused(now, runs, refusal.code, commands);
                let event = leadership::LeadershipEvent::CommandRefused {
                    worker: sent.worker,
                    epoch: sent.epoch,
                    refusal,
                };
                self.lead(now, event, commands);
                return;
            }
        };
        for (start, code) in sent.runs.into_iter().zip(answer.results) {
            if code == result_code::ResultCode::Ok {
                self.tenure.routes.mark_job(&start.run.task.job);
                let event = scheduler::SchedulerEvent::RunStarted { run: start.run };
                self.tenure.scheduler.handle(now.monotonic, event);
            } else {
                let notice = PoolNotice::StartRefused {
                    run: start.run.clone(),
                    worker: sent.worker.clone(),
                    code,
                };
                commands.push(PoolCommand::Notice(notice));
                self.starts_refused(now, vec![start.run], code, commands);
            }
        }
    }

    fn start_unanswered(&mut self, now: Now, batch: u64) {
        for run in self.tenure.starts.unanswered(batch) {
            let event = scheduler::SchedulerEvent::StartUnknown { run };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
    }

    fn send_stops(&mut self, now: Now, stops: starts::Stops, commands: &mut Vec<PoolCommand>) {
        for (target, runs) in stops.by_target {
            let Some(permit) = self.leadership.stop_permit(&target.worker, now.monotonic) else {
                continue;
            };
            commands.push(PoolCommand::Stop {
                worker: target.worker,
                request: message::StopRequest {
                    worker_incarnation: permit.worker_incarnation,
                    epoch: permit.epoch,
                    runs,
                    grace_ms: self.settings.stop_grace_ms,
                    checkpoint: target.checkpoint,
                },
            });
        }
    }

    fn job_state_changed(
        &mut self,
        now: Now,
        job: id::JobId,
        state: scheduler::JobState,
        code: Option<result_code::ResultCode>,
        commands: &mut Vec<PoolCommand>,
    ) {
        self.tenure.routes.mark_job(&job);
        if let (scheduler::JobState::Parked, Some(code)) = (state, code) {
            let revision = self
                .tenure
                .state
                .job(&job)
                .map_or(1, |known| known.revision)
                + 1;
            let record = journal::Record::JobParked {
                job: job.clone(),
                revision,
                code,
                wall_ms: now.wall,
            };
            self.tenure.state.apply(&record);
            self.journal(vec![record], false, commands);
        }
        commands.push(PoolCommand::Notice(PoolNotice::JobStateChanged {
            job,
            state,
            code,
        }));
    }

    fn task_unknown(&mut self, now: Now, run: task::RunId, commands: &mut Vec<PoolCommand>) {
        let record = journal::Record::RunUnknown {
            run: run.clone(),
            wall_ms: now.wall,
        };
        self.tenure.state.apply(&record);
        self.journal(vec![record], false, commands);
        commands.push(PoolCommand::Notice(PoolNotice::TaskUnknown { run }));
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
