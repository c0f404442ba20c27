//! Carries out the scheduler's decisions: records and sends starts and stops, and handles the
//! answers.

use super::command::{PoolCommand, PoolNotice};
use super::event::Now;
use super::{Pool, records, starts, tenure};
use crate::id;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::result_code;
use crate::scheduler;
use crate::task;

impl Pool {
    pub(super) fn apply_decisions(
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
                    self.handle_job_state_change(now, job, state, code, commands);
                }
                scheduler::Decision::TaskUnknown { run } => self.mark_unknown(now, run, commands),
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
            self.append_to_journal(records, batches.urgent, commands);
        }
        for (worker, runs) in batches.by_worker {
            self.send_starts(now, &worker, runs, commands);
        }
        self.send_stops(now, stops, commands);
    }

    /// Records a start. An idempotent run is sent at once; any other is sent after the journal
    /// holds its record.
    pub(super) fn prepare_start(
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
        let token = self.append_to_journal(vec![record], true, commands);
        self.tenure
            .run_after_commit(token, tenure::AfterCommit::SendStart { worker, run: start });
    }

    /// Sends starts under a new permit, or records them as not run if there is none.
    pub(super) fn send_starts(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        runs: Vec<message::StartRun>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let Some(permit) = self.leadership.start_permit(worker, now.monotonic) else {
            let runs = runs.into_iter().map(|start| start.run).collect();
            self.record_not_run(now, runs, result_code::ResultCode::NoLeader, commands);
            return;
        };
        let batch = self
            .tenure
            .starts
            .record_sent(now.monotonic, worker, permit.epoch, &runs);
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

    pub(super) fn resend_unanswered_starts(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        if self
            .leadership
            .start_permit(worker, now.monotonic)
            .is_none()
        {
            return;
        }
        let runs = self.tenure.starts.take_resendable(now.monotonic, worker);
        if !runs.is_empty() {
            self.send_starts(now, worker, runs, commands);
        }
    }

    /// Records in the journal and in the scheduler that the runs provably did not run.
    pub(super) fn record_not_run(
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
            let record = records::run_ended_as_not_run(&run, now.wall);
            self.tenure.state.apply(&record);
            records.push(record);
            let event = scheduler::SchedulerEvent::StartRefused { run, code };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        self.append_to_journal(records, false, commands);
    }

    pub(super) fn handle_start_answer(
        &mut self,
        now: Now,
        batch: u64,
        result: Result<message::StartAnswer, message::Refusal>,
        commands: &mut Vec<PoolCommand>,
    ) {
        let Some(sent_batch) = self.tenure.starts.take_answered(batch) else {
            return;
        };
        let answer = match result {
            Ok(answer) => answer,
            Err(refusal) => {
                let runs = sent_batch.runs.into_iter().map(|start| start.run).collect();
                self.record_not_run(now, runs, refusal.code, commands);
                let event = leadership::LeadershipEvent::CommandRefused {
                    worker: sent_batch.worker,
                    epoch: sent_batch.epoch,
                    refusal,
                };
                self.on_leadership(now, event, commands);
                return;
            }
        };
        for (start, code) in sent_batch.runs.into_iter().zip(answer.results) {
            if code == result_code::ResultCode::Ok {
                self.tenure.routes.mark_job(&start.run.task.job);
                let event = scheduler::SchedulerEvent::RunStarted { run: start.run };
                self.tenure.scheduler.handle(now.monotonic, event);
            } else {
                let notice = PoolNotice::StartRefused {
                    run: start.run.clone(),
                    worker: sent_batch.worker.clone(),
                    code,
                };
                commands.push(PoolCommand::Notice(notice));
                self.record_not_run(now, vec![start.run], code, commands);
            }
        }
    }

    pub(super) fn handle_unanswered_start(&mut self, now: Now, batch: u64) {
        for run in self.tenure.starts.mark_unanswered(batch) {
            let event = scheduler::SchedulerEvent::StartUnknown { run };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
    }

    pub(super) fn send_stops(
        &mut self,
        now: Now,
        stops: starts::Stops,
        commands: &mut Vec<PoolCommand>,
    ) {
        for (destination, runs) in stops.by_destination {
            let Some(permit) = self
                .leadership
                .stop_permit(&destination.worker, now.monotonic)
            else {
                continue;
            };
            commands.push(PoolCommand::Stop {
                worker: destination.worker,
                request: message::StopRequest {
                    worker_incarnation: permit.worker_incarnation,
                    epoch: permit.epoch,
                    runs,
                    grace_ms: self.settings.stop_grace_ms,
                    checkpoint: destination.checkpoint,
                },
            });
        }
    }

    pub(super) fn handle_job_state_change(
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
                .map_or(1, |job_state| job_state.revision)
                + 1;
            let record = journal::Record::JobParked {
                job: job.clone(),
                revision,
                code,
                wall_ms: now.wall,
            };
            self.tenure.state.apply(&record);
            self.append_to_journal(vec![record], false, commands);
        }
        commands.push(PoolCommand::Notice(PoolNotice::JobStateChanged {
            job,
            state,
            code,
        }));
    }

    pub(super) fn mark_unknown(
        &mut self,
        now: Now,
        run: task::RunId,
        commands: &mut Vec<PoolCommand>,
    ) {
        let record = journal::Record::RunUnknown {
            run: run.clone(),
            wall_ms: now.wall,
        };
        self.tenure.state.apply(&record);
        self.append_to_journal(vec![record], false, commands);
        commands.push(PoolCommand::Notice(PoolNotice::TaskUnknown { run }));
    }
}
