//! Targets of a pool's services, updated as runs start and end.

use crate::collections;
use crate::id;

/// A task that takes requests, or still finishes those in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServingTask {
    /// Index of the task.
    pub index: u32,
    /// Worker that runs the task.
    pub worker: id::WorkerId,
    /// Address at which the worker takes requests, as `ip:port`.
    pub address: String,
    /// Whether the task finishes its requests in flight and takes no new ones.
    pub leaving: bool,
}

/// The tasks of a service that take requests or still finish those in flight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTargets {
    /// Job of the service.
    pub job: id::JobId,
    /// Team that owns the service.
    pub team: id::TeamId,
    /// Tasks in ascending order of index.
    pub tasks: Vec<ServingTask>,
}

/// The targets of every service, and the services whose targets must be recomputed.
#[derive(Debug, Default)]
pub(super) struct Routes {
    services: collections::FastMap<id::JobId, ServiceTargets>,
    marked_jobs: collections::FastSet<id::JobId>,
    marked_workers: collections::FastSet<id::WorkerId>,
}

impl Routes {
    pub(super) fn targets_of(&self, job: &id::JobId) -> Option<&ServiceTargets> {
        self.services.get(job)
    }

    /// Marks the targets of a job as out of date.
    pub(super) fn mark_job(&mut self, job: &id::JobId) {
        if !self.marked_jobs.contains(job) {
            self.marked_jobs.insert(job.clone());
        }
    }

    /// Marks the targets of every service with a task on the worker as out of date.
    pub(super) fn mark_worker(&mut self, worker: &id::WorkerId) {
        self.marked_workers.insert(worker.clone());
    }

    /// Removes and returns the services whose targets must be recomputed.
    pub(super) fn take_marked(&mut self) -> Vec<id::JobId> {
        if !self.marked_workers.is_empty() {
            self.mark_services_on_marked_workers();
        }
        self.marked_jobs.drain().collect()
    }

    fn mark_services_on_marked_workers(&mut self) {
        let workers = std::mem::take(&mut self.marked_workers);
        let has_marked_worker = |targets: &ServiceTargets| {
            targets
                .tasks
                .iter()
                .any(|task| workers.contains(&task.worker))
        };
        let affected = self
            .services
            .values()
            .filter(|targets| has_marked_worker(targets));
        self.marked_jobs
            .extend(affected.map(|targets| targets.job.clone()));
    }

    /// Stores a service's targets, or removes the service if they are `None`. Returns whether
    /// anything changed.
    pub(super) fn replace(&mut self, job: &id::JobId, targets: Option<ServiceTargets>) -> bool {
        match targets {
            None => self.services.remove(job).is_some(),
            Some(targets) if self.services.get(job) == Some(&targets) => false,
            Some(targets) => {
                self.services.insert(job.clone(), targets);
                true
            }
        }
    }
}
