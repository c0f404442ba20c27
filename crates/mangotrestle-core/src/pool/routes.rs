//! Targets of a pool's services, kept up to date as runs start and end.

use crate::collections;
use crate::id;

/// A task that takes requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServingTask {
    /// Index of the task.
    pub index: u32,
    /// Its worker.
    pub worker: id::WorkerId,
    /// Where the worker takes requests, `ip:port`.
    pub address: String,
    /// Whether it takes no new requests.
    pub leaving: bool,
}

/// The tasks of a service that take requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTargets {
    /// The service.
    pub job: id::JobId,
    /// Its team.
    pub team: id::TeamId,
    /// Its tasks, by rising index.
    pub tasks: Vec<ServingTask>,
}

/// The targets of every service, and which of them need another look.
#[derive(Debug, Default)]
pub(super) struct Routes {
    services: collections::FastMap<id::JobId, ServiceTargets>,
    marked_jobs: collections::FastSet<id::JobId>,
    marked_workers: collections::FastSet<id::WorkerId>,
}

impl Routes {
    pub(super) fn of(&self, job: &id::JobId) -> Option<&ServiceTargets> {
        self.services.get(job)
    }

    /// Has the targets of a job recomputed.
    pub(super) fn mark_job(&mut self, job: &id::JobId) {
        if !self.marked_jobs.contains(job) {
            self.marked_jobs.insert(job.clone());
        }
    }

    /// Has the targets of every service recomputed that has a task on a worker.
    pub(super) fn mark_worker(&mut self, worker: &id::WorkerId) {
        self.marked_workers.insert(worker.clone());
    }

    /// The services to recompute.
    pub(super) fn take_marked(&mut self) -> Vec<id::JobId> {
        if !self.marked_workers.is_empty() {
            self.mark_services_on_marked_workers();
        }
        self.marked_jobs.drain().collect()
    }

    fn mark_services_on_marked_workers(&mut self) {
        let workers = std::mem::take(&mut self.marked_workers);
        let on_marked = |targets: &ServiceTargets| {
            targets
                .tasks
                .iter()
                .any(|task| workers.contains(&task.worker))
        };
        let served = self.services.values().filter(|targets| on_marked(targets));
        self.marked_jobs
            .extend(served.map(|targets| targets.job.clone()));
    }

    /// Stores a service's targets; `None` takes the service out. Returns whether they changed.
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
