//! What a leader learns from its workers: lists, ends, usage, and that they are lost.

use super::command::{PoolCommand, PoolNotice};
use super::event::Now;
use super::{Pool, restore};
use crate::id;
use crate::lease::message;
use crate::scheduler;

impl Pool {
    pub(super) fn worker_held(
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
        self.tenure.hold(worker.clone(), granted);
        if self.tenure.is_loaded() {
            self.take_listing(now, worker, commands);
        }
    }

    /// Tells the scheduler what a claimed worker listed; ends come before what still runs.
    pub(super) fn take_listing(
        &mut self,
        now: Now,
        worker: &id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
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

    pub(super) fn worker_renewed(
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
    pub(super) fn set_leaving(&mut self, now: Now, worker: &id::WorkerId, said_leaving: bool) {
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

    pub(super) fn worker_lost_hold(
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
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLeaseLost { worker }));
    }

    pub(super) fn worker_lost(
        &mut self,
        now: Now,
        worker: id::WorkerId,
        commands: &mut Vec<PoolCommand>,
    ) {
        self.tenure.safe.insert(worker.clone());
        self.tenure.routes.mark_worker(&worker);
        let event = scheduler::SchedulerEvent::WorkerLost {
            worker: worker.clone(),
        };
        self.tenure.scheduler.handle(now.monotonic, event);
        commands.push(PoolCommand::Notice(PoolNotice::WorkerLost { worker }));
    }
}
