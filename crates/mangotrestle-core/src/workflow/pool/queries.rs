//! Answers questions about the pool.

use std::collections::BTreeMap;

use crate::id;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::super::leadership::PoolSummary;
use super::super::record::JobState;
use super::super::worker::Worker;
use super::Pool;

impl Pool {
    /// Returns the state of a job as callers see it; `None` if this leader does not know the job or
    /// its acceptance is not durable yet.
    #[must_use]
    pub fn state(&self, id: &id::JobId) -> Option<JobState> {
        if let Some(job) = self.jobs.get(id) {
            return job.accepted.then(|| job.state());
        }
        self.ended.get(id).map(|ended| ended.state)
    }

    /// Returns the team of a job that this leader knows, if it has one.
    #[must_use]
    pub fn team_of(&self, id: &id::JobId) -> Option<&str> {
        let team = match self.jobs.get(id) {
            Some(job) => &job.record.team,
            None => &self.ended.get(id)?.team,
        };
        team.as_deref()
    }

    /// Returns the number of jobs that have not been removed.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the workers that may have runs and whose incarnation is not known to have ended.
    #[must_use]
    pub fn workers_with_runs(&self) -> Vec<id::WorkerId> {
        self.workers
            .iter()
            .filter(|(_, worker)| !worker.tasks.is_empty() && !worker.ended)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Whether a worker does not answer or has left the platform's list.
    #[must_use]
    pub fn is_suspected(&self, id: &id::WorkerId) -> bool {
        self.workers
            .get(id)
            .is_some_and(|worker| worker.is_unresponsive() || worker.missing_since.is_some())
    }

    /// Returns the number of units that wait for a worker.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of workers in the platform's list.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        let listed = |worker: &&Worker| worker.missing_since.is_none();
        self.workers.values().filter(listed).count()
    }

    /// Returns the summary that is published to all hosts.
    #[must_use]
    pub fn summary(&self, now: TimeMs) -> PoolSummary {
        let waits = self.waits(now);
        PoolSummary {
            pending: self.pending(),
            wait_ms: waits.by_priority_ms,
            surplus_wait_ms: waits.surplus_ms,
            teams: waits.teams,
            workers: Some(u32::try_from(self.usable_workers().count()).unwrap_or(u32::MAX)),
            lag_ms: self.lag(now).0,
            ticket_lag_ms: self.ticket_lag.at(now).0,
            shapes: self.shapes(),
        }
    }

    /// Returns the workers that are listed and do not drain. Those that may not exist are left out,
    /// unless there are no others: the network may keep this leader from all workers.
    pub(super) fn usable_workers(&self) -> impl Iterator<Item = &Worker> {
        let listed = || {
            let workers = self.workers.values();
            workers.filter(|worker| worker.missing_since.is_none() && !worker.entry.draining)
        };
        let has_existing = listed().any(|worker| !worker.may_not_exist());
        listed().filter(move |worker| !has_existing || !worker.may_not_exist())
    }

    /// Returns the time that this leader takes for one thing: to make a submitted job durable, or to
    /// send a start and handle its answer. Submissions that still wait count as well.
    fn lag(&self, now: TimeMs) -> SpanMs {
        let submitted = self.jobs.values().filter(|job| !job.accepted);
        let waits = submitted.map(|job| now.since(job.known_at));
        let longest = waits.max().unwrap_or_default();
        let measured = self.acceptance_lag.at(now).max(self.order_lag.at(now));
        longest.max(measured)
    }

    fn pending(&self) -> BTreeMap<String, u32> {
        let mut pending = BTreeMap::new();
        let not_begun = self.jobs.values().filter(|job| {
            !job.begun
                && job.end.is_none()
                && job.record.schedule.is_none()
                && job.record.is_counted_by(&self.settings.name)
        });
        for job in not_begun {
            *pending.entry(job.record.policy.queue.clone()).or_default() += 1;
        }
        pending
    }

    /// Returns the maximum capacity of the workers with each set of labels.
    fn shapes(&self) -> Vec<(Resources, Vec<String>)> {
        let mut shapes: Vec<(Resources, Vec<String>)> = Vec::new();
        for worker in self.workers.values() {
            if worker.entry.address.is_empty() {
                continue;
            }
            let labels = worker.entry.labels.clone();
            match shapes.iter_mut().find(|(_, other)| *other == labels) {
                Some((capacity, _)) => *capacity = capacity.max(&worker.entry.capacity),
                None => shapes.push((worker.entry.capacity, labels)),
            }
        }
        shapes.sort_by(|left, right| left.1.cmp(&right.1));
        shapes
    }
}
