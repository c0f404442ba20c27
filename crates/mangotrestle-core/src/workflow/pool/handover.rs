//! Hands jobs over to the other pools that run them, and follows them there.
//!
//! The record of a job names its pools, so a hand-over is decided durably when its home accepts the
//! job, and every later leader of the home decides the same. It is repeated until the other pool has
//! accepted the job durably, which it does once: its rows and the ended jobs are the condition, as
//! for a caller that resends a job. After that the home asks for the state at intervals, and keeps
//! its rows until it knows the end. A cancelled job is handed over as well before it is cancelled
//! there, since an earlier attempt may still arrive.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::Delegate;
use super::super::record::JobState;
use super::{Order, Pool};

/// Delay before a hand-over or a cancellation without success is repeated.
const RETRY_DELAY: SpanMs = SpanMs(150);
/// Interval between queries for the state of a job that another pool runs.
const QUERY_INTERVAL: SpanMs = SpanMs(1_000);

impl Pool {
    /// Hands out the orders to other pools that are due.
    pub(super) fn follow_delegates(&mut self, now: TimeMs) {
        let jobs = &self.jobs;
        let has_open_delegates = |id: &id::JobId| {
            let job = jobs.get(id);
            job.is_some_and(|job| !job.has_ended_elsewhere())
        };
        self.delegating.retain(has_open_delegates);
        let mut queries: BTreeMap<String, Vec<id::JobId>> = BTreeMap::new();
        for id in &self.delegating {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.accepted) else {
                continue;
            };
            let record = Arc::clone(&job.record);
            let has_ended = job.end.is_some();
            let due = |delegate: &&mut Delegate| {
                delegate.end.is_none() && !delegate.in_flight && delegate.due_at <= now
            };
            for delegate in job.delegates.iter_mut().filter(due) {
                delegate.in_flight = true;
                let pool = delegate.pool.clone();
                let job = id.clone();
                if !delegate.accepted {
                    let record = Arc::clone(&record);
                    self.orders.push(Order::HandOver { pool, job, record });
                } else if has_ended {
                    self.orders.push(Order::CancelElsewhere { pool, job });
                } else {
                    queries.entry(pool).or_default().push(job);
                }
            }
        }
        for (pool, jobs) in queries {
            self.orders.push(Order::QueryElsewhere { pool, jobs });
        }
    }

    /// Handles the answer to a hand-over: whether the other pool has accepted the job durably.
    pub fn handed_over(&mut self, now: TimeMs, id: &id::JobId, pool: &str, accepted: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let has_ended = job.end.is_some();
        if let Some(delegate) = job.delegate_mut(pool) {
            delegate.in_flight = false;
            delegate.accepted |= accepted;
            delegate.due_at = match (accepted, has_ended) {
                (true, true) => now,
                (true, false) => now + QUERY_INTERVAL,
                (false, _) => now + RETRY_DELAY,
            };
        }
    }

    /// Handles the answer to a cancellation: whether it is durable in the other pool.
    pub fn cancelled_elsewhere(
        &mut self,
        now: TimeMs,
        id: &id::JobId,
        pool: &str,
        cancelled: bool,
    ) {
        let Some(delegate) = self.jobs.get_mut(id).and_then(|job| job.delegate_mut(pool)) else {
            return;
        };
        delegate.in_flight = false;
        delegate.due_at = now + RETRY_DELAY;
        if cancelled {
            delegate.end = Some(JobState::Cancelled);
            self.mark_dirty(id);
        }
    }

    /// Handles the answer to a query: the states of jobs in another pool, `None` for those that are not
    /// known.
    pub fn states_elsewhere(
        &mut self,
        now: TimeMs,
        pool: &str,
        states: &[(id::JobId, Option<JobState>)],
    ) {
        for (id, state) in states {
            self.state_elsewhere(now, id, pool, *state);
        }
    }

    fn state_elsewhere(
        &mut self,
        now: TimeMs,
        id: &id::JobId,
        pool: &str,
        state: Option<JobState>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.begun |= state == Some(JobState::Running);
        let home_has_ended = job.end.is_some();
        let Some(delegate) = job.delegate_mut(pool) else {
            return;
        };
        delegate.in_flight = false;
        delegate.due_at = if home_has_ended {
            now
        } else {
            now + QUERY_INTERVAL
        };
        let Some(end) = state.filter(|state| state.is_final()) else {
            return;
        };
        delegate.end = Some(end);
        self.mark_dirty(id);
        match end {
            JobState::Completed => self.finish_if_done(now, id),
            failed_or_cancelled => self.end_job(now, id, failed_or_cancelled),
        }
    }

    /// Returns the pool that runs the whole of a job and has accepted it, while its end is not known
    /// here.
    #[must_use]
    pub fn handed_over_to(&self, id: &id::JobId) -> Option<&str> {
        let job = self.jobs.get(id)?;
        match job.delegates.as_slice() {
            [delegate] if job.runs_nothing_here() && job.end.is_none() && delegate.accepted => {
                Some(&delegate.pool)
            }
            _ => None,
        }
    }
}
