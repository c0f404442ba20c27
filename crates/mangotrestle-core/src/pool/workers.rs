//! Handles what the workers report to their leader: lists of runs, ended runs, usage, and lost
//! leases.

use super::command::{PoolCommand, PoolNotice};
use super::event::Now;
use super::{Pool, restore};
use crate::id;
use crate::lease::message;
use crate::scheduler;

impl Pool {
    pub(super) fn worker_lease_granted(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        granted: message::ClaimGranted,
        commands: &mut Vec<PoolCommand>,
    ) {
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLeaseGranted {
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
        self.tenure.add_leased_worker(worker.clone(), granted);
        if self.tenure.is_loaded() {
            self.process_listing(now, worker, commands);
        }
    }

    /// Reports to the scheduler the runs that a claimed worker listed. Ended runs are handled
    /// before running ones.
    pub(super) fn process_listing(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        let Some(leased) = self.tenure.leased_workers.get_mut(worker) else {
            return;
        };
        let Some(listing) = leased.listing.take() else {
            return;
        };
        self.record_ended_runs(now, worker, listing.ended, commands);
        for running in &listing.running {
            self.tenure.routes.mark_job(&running.run.task.job);
        }
        let draining = self
            .tenure
            .state
            .draining_workers()
            .any(|draining_worker| draining_worker == worker);
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

    pub(super) fn worker_lease_renewed(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        granted: message::RenewGranted,
        commands: &mut Vec<PoolCommand>,
    ) {
        if !self.tenure.is_loaded() {
            self.tenure.buffer_ended(worker, granted.ended);
            return;
        }
        self.record_ended_runs(now, worker, granted.ended, commands);
        for usage in granted.usage {
            let event = scheduler::SchedulerEvent::Usage {
                run: usage.run,
                used: usage.used,
            };
            self.tenure.scheduler.handle(now.monotonic, event);
        }
        self.update_leaving(now, worker, granted.leaving);
        self.resend_unanswered_starts(now, worker, commands);
    }

    /// Reports to the scheduler whether a worker is leaving, because it reported so or because it
    /// is drained, if that changed.
    pub(super) fn update_leaving(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        reported_leaving: bool,
    ) {
        let draining = self
            .tenure
            .state
            .draining_workers()
            .any(|draining_worker| draining_worker == worker);
        let leaving = reported_leaving || draining;
        let Some(leased) = self.tenure.leased_workers.get_mut(worker) else {
            return;
        };
        leased.reported_leaving = reported_leaving;
        if std::mem::replace(&mut leased.leaving, leaving) == leaving {
            return;
        }
        let event = scheduler::SchedulerEvent::WorkerLeaving {
            worker: worker.clone(),
            leaving,
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        self.tenure.routes.mark_worker(worker);
    }

    pub(super) fn worker_lease_lost(
        &mut self,
        now: Now,
        worker: id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        self.tenure.leased_workers.remove(&worker);
        self.tenure.routes.mark_worker(&worker);
        let event = scheduler::SchedulerEvent::WorkerUnreachable {
            worker: worker.clone(),
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLeaseLost { worker }));
    }

    pub(super) fn worker_lost(
        &mut self,
        now: Now,
        worker: id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        self.tenure.lost_workers.insert(worker.clone());
        self.tenure.routes.mark_worker(&worker);
        let event = scheduler::SchedulerEvent::WorkerLost {
            worker: worker.clone(),
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLost { worker }));
    }
}
