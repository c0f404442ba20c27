//! Leadership of a pool by this process.
//!
//! - `claiming` claims the leadership row of a pool and keeps the claim while the pool is loaded;
//! - `loading` builds the pool's state from its rows;
//! - `following` follows the feeds of workers and accepted jobs;
//! - `rounds` runs the leader's rounds and passes the pool on;
//! - `committing` makes the pool's changes durable;
//! - `supervising` runs the tasks of a leadership, and ends it if one fails;
//! - `shares` keeps the pool's shares of teams' caps in step with their rows;
//! - `releasing` releases leadership, at a planned stop or because this host cannot lead the pool.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::leadership::{PoolSummary, WorkerShape};
use mangotrestle_core::workflow::pool::Pool;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_core::workflow::teams::identity;
use mangotrestle_peer::cell::{Acceptance, JobStateAnswer};
use tokio::sync::{Notify, oneshot};

use super::cell::{Cell, lock};
use super::events;

mod claiming;
mod committing;
mod following;
mod loading;
mod releasing;
mod rounds;
mod shares;
mod supervising;

pub(super) use claiming::{begin_claim, claim_released};
pub(super) use releasing::release_all;

/// Delay before a failed load, feed or commit is tried again. During a planned stop, also the
/// interval at which the host checks whether a successor may be notified; ten times this is the
/// timeout for the successor's answer.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for each page when a whole part is read.
const PART_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason for which a job is not accepted while the leader has little memory left.
const NO_MEMORY: &str = "the leader has no memory for the job";
/// Reason for which a job is not accepted whose identifier another team's job has.
pub(super) const IDENTIFIER_TAKEN: &str = "the identifier is taken";

/// Leadership of one pool, held by this process.
pub(super) struct Leader {
    /// Name of the pool.
    pub(super) pool: String,
    /// Fencing token.
    pub(super) term: u64,
    /// State of the pool.
    pub(super) state: Mutex<Pool>,
    /// Wakes the leader's rounds.
    pub(super) wake: Notify,
    /// Version of the leadership row as of this leader's last known commit.
    version: AtomicU64,
    /// Number of the last durable commit.
    sequence: AtomicU64,
    /// Store version as of which the inbox was loaded.
    loaded_version: u64,
    /// When the last commit became known to be durable.
    confirmed_at_ms: AtomicU64,
    /// Whether starts, stops and polls of workers are withheld until the next durable commit, since
    /// a worker has seen a higher term or the process was stalled.
    pub(super) fenced: AtomicBool,
    /// Whether leadership is to be released at the next commit.
    releasing: AtomicBool,
    /// Whether the commit that releases leadership has begun.
    release_begun: AtomicBool,
    ended: AtomicBool,
    /// Callers that wait until a commit has made their job durable.
    waiters: Mutex<FastMap<id::JobId, Vec<oneshot::Sender<Acceptance>>>>,
    /// Summary that was last published to all hosts.
    published_summary: ArcSwap<PoolSummary>,
    /// Shapes of the workers that are durable in their row.
    stored_shapes: Mutex<Vec<WorkerShape>>,
}

impl Leader {
    /// Submits a job and waits until a commit has made it durable.
    pub(super) async fn accept(
        &self,
        cell: &Cell,
        job: &id::JobId,
        record: Arc<JobRecord>,
    ) -> Acceptance {
        if cell.store_is_silent() && !lock(&self.state).knows(job) {
            return Acceptance::NotAccepted("the store is unreachable".to_owned());
        }
        let (sender, answered) = oneshot::channel();
        {
            let mut waiters = lock(&self.waiters);
            if self.has_ended() || self.release_begun.load(Ordering::Relaxed) {
                return Acceptance::NotLeading;
            }
            if !identity::may_see(record.team.as_deref(), lock(&self.state).team_of(job)) {
                return Acceptance::NotAccepted(IDENTIFIER_TAKEN.to_owned());
            }
            let is_new = !lock(&self.state).knows(job);
            if is_new && !cell.memory.admits(&record) {
                events::job_without_memory(&cell.log, &self.pool, job, &cell.memory);
                return Acceptance::NotAccepted(NO_MEMORY.to_owned());
            }
            if lock(&self.state).submit(cell.clock.now(), job, record) {
                return Acceptance::Known;
            }
            waiters.entry(job.clone()).or_default().push(sender);
        }
        self.wake.notify_one();
        match answered.await {
            Ok(acceptance) => acceptance,
            Err(_) => Acceptance::Unknown("the leadership ended".to_owned()),
        }
    }

    /// Answers the callers that wait for a job.
    fn answer_waiters(&self, job: &id::JobId, acceptance: &Acceptance) {
        for waiter in lock(&self.waiters).remove(job).unwrap_or_default() {
            // A caller that has disconnected needs no answer.
            let _ = waiter.send(acceptance.clone());
        }
    }

    /// Adds a job that became durable at a version.
    pub(super) fn add_stored_job(
        &self,
        cell: &Cell,
        job: &id::JobId,
        record: Arc<JobRecord>,
        version: u64,
    ) {
        // A job accepted before the load may have ended meanwhile; otherwise the load included it.
        if version <= self.loaded_version {
            return;
        }
        lock(&self.state).accept(cell.clock.now(), job, record);
        // No commit of this leader accepts the job any more.
        self.answer_waiters(job, &Acceptance::Known);
        self.wake.notify_one();
    }

    /// Cancels a job whose cancel request is durable.
    pub(super) fn cancel_job(&self, cell: &Cell, job: &id::JobId) {
        lock(&self.state).cancel(cell.clock.now(), job);
        self.wake.notify_one();
    }

    /// Returns the state of a job as callers see it, or the pool that knows it. A job of another team
    /// than `viewer`, the one that asks, is not shown; unset if it may see all.
    pub(super) fn state(&self, job: &id::JobId, viewer: Option<&str>) -> JobStateAnswer {
        let state = lock(&self.state);
        if !identity::may_see(viewer, state.team_of(job)) {
            return JobStateAnswer::Hidden;
        }
        match (state.handed_over_to(job), state.state(job)) {
            (Some(pool), _) => JobStateAnswer::HandedOver(pool.to_owned()),
            (None, Some(state)) => JobStateAnswer::State(state),
            (None, None) => JobStateAnswer::NotKnown,
        }
    }

    /// Returns the states of jobs, in their order; `None` for each that the leader does not have.
    pub(super) fn states(&self, jobs: &[id::JobId]) -> Vec<Option<JobState>> {
        let state = lock(&self.state);
        jobs.iter().map(|job| state.state(job)).collect()
    }

    /// Returns the summary that was last published to all hosts.
    pub(super) fn summary(&self) -> Arc<PoolSummary> {
        self.published_summary.load_full()
    }

    /// Whether this leadership has ended.
    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Returns when the last commit became known to be durable.
    pub(super) fn confirmed_at(&self) -> TimeMs {
        TimeMs(self.confirmed_at_ms.load(Ordering::Relaxed))
    }
}

#[cfg(test)]
mod tests;
