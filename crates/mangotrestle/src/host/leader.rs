//! Leads a pool: claims its leadership row, loads its jobs and assignments, commits changes and
//! sends orders.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_core::workflow::leadership::{self, LeadRow, PoolSummary, WorkerShape};
use mangotrestle_core::workflow::pool::{Commit, Pool, PoolSettings, RowChange};
use mangotrestle_core::workflow::record::{AssignmentRow, JobState};
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_peer::cell::{Acceptance, JobStateAnswer};
use mangotrestle_users_platform::registry;
use mangotrestle_users_platform::store::{
    FeedError, Row, RowName, Rows, Transaction, TransactionAnswer, Value, WORKERS_TABLE,
};
use mangotrestle_users_platform::transport::CallError;
use tokio::sync::{Notify, oneshot};

use super::access::OVERLOAD_CODE;
use super::cell::{Cell, lock};
use super::events;
use super::feeds;
use super::liveness;
use super::load::Work;
use super::names;
use super::orders;
use super::pacing::{self, Pacing};
use super::reads::ReadRows;

/// Maximum time for which releasing leadership may delay a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Delay before a failed load, feed or commit is tried again. During a planned stop, also the
/// interval at which the host checks whether a successor may be notified; ten times this is the
/// timeout for the successor's answer.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for each page when a whole part is read.
const PART_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of attempts to write a claim; only attempts with unknown outcome are repeated.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// Maximum number of attempts to load a claimed pool.
const MAX_LOAD_ATTEMPTS: u32 = 4;
/// Minimum interval between two commits with changes, in which more changes accumulate.
const MIN_COMMIT_INTERVAL: SpanMs = SpanMs(12);
/// Maximum number of changed rows in a commit, besides the rows of the leadership and the summary.
const MAX_COMMIT_ROWS: usize = 88;
/// Minimum interval between two writes of the summary.
const MIN_SUMMARY_INTERVAL: SpanMs = SpanMs(500);
/// Maximum time for which a worker may hold back a report.
const MAX_HOLD_WAIT: SpanMs = SpanMs(1_500);
/// Minimum interval between two polls of a worker, in which ends of runs accumulate.
const MIN_POLL_INTERVAL: SpanMs = SpanMs(40);
/// Interval between checks whether another host should lead a pool.
const PASS_ON_CHECK_INTERVAL: SpanMs = SpanMs(1_000);
/// Number of consecutive checks after which a late leader passes its pool on.
const MIN_PASS_ON_CHECKS: u32 = 3;
/// Time without a round after which the process counts as stalled.
const STALL_THRESHOLD: SpanMs = SpanMs(1_000);

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
    /// Number of pending advice requests that this host sent itself, not through a peer.
    pub(super) own_advice_requests: AtomicUsize,
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

    /// Returns the state of a job as callers see it, or the pool that knows it.
    pub(super) fn state(&self, job: &id::JobId) -> JobStateAnswer {
        let state = lock(&self.state);
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

/// Starts a claim of a pool that seems to have no leader, unless one is in progress.
pub(super) fn begin_claim(cell: &Arc<Cell>, pool: &str) {
    if !cell.mark_claiming(pool) {
        return;
    }
    let cell = Arc::clone(cell);
    let pool = pool.to_owned();
    tokio::spawn(async move {
        claim(&cell, &pool).await;
        cell.unmark_claiming(&pool);
    });
}

/// Claims a pool whose leader reported that it released leadership.
pub(super) async fn claim_released(cell: &Arc<Cell>, pool: &str) {
    if cell.is_stopping() || cell.leader(pool).is_some() {
        return;
    }
    let rows = cell
        .read_part(names::CELL_TABLE, pool, PART_READ_TIMEOUT)
        .await;
    let Ok(rows) = rows else {
        return;
    };
    observe_lead_rows(cell, pool, &rows.rows);
    if cell.with_pool(pool, |view| {
        view.watch
            .is_claim_due(0, cell.claim_stagger(), false, false)
    }) {
        begin_claim(cell, pool);
    }
}

fn observe_lead_rows(cell: &Cell, pool: &str, rows: &[Row]) {
    let now = cell.clock.now();
    for row in rows {
        if row.name.key != names::LEAD_KEY {
            continue;
        }
        let value = row.value.as_ref();
        let lead = value.and_then(|value| serde_json::from_slice::<LeadRow>(&value.0).ok());
        if let Some(lead) = lead {
            cell.with_pool(pool, |view| view.watch.observe(now, lead, row.version));
        }
    }
}

async fn claim(cell: &Arc<Cell>, pool: &str) {
    let (row, expected) = cell.with_pool(pool, |view| {
        let address = cell.settings.peer.to_string();
        let row = view
            .watch
            .claim(&cell.settings.host, &address, cell.incarnation);
        (row, view.watch.version())
    });
    slog::info!(cell.log, "leadership.claiming"; "pool" => pool, "term" => row.term,
        "expected_version" => expected);
    let Some(version) = write_claim(cell, pool, &row, expected).await else {
        return;
    };
    let now = cell.clock.now();
    cell.with_pool(pool, |view| view.watch.observe(now, row.clone(), version));
    slog::info!(cell.log, "leadership.taken"; "pool" => pool, "term" => row.term,
        "version" => version);
    metrics::counter!("mangotrestle_leaderships_total").increment(1);
    let claim = Claim {
        row,
        version: AtomicU64::new(version),
        sequence: AtomicU64::new(0),
    };
    for attempt in 0..MAX_LOAD_ATTEMPTS {
        let result = tokio::select! {
            result = load(cell, pool) => result,
            // After a failure the claim is left to expire, so that a host that can load takes over.
            () = Box::pin(keep_claim(cell, pool, &claim)), if attempt == 0 => return,
        };
        match result {
            Ok((state, feeds)) => {
                let leader = Arc::new(new_leader(cell, pool, &claim, state, &feeds));
                cell.add_leader(pool, Arc::clone(&leader));
                // A planned stop that began during the load has not seen this leader.
                if cell.is_stopping() {
                    leader.releasing.store(true, Ordering::Relaxed);
                }
                let workers_feed =
                    follow_workers(Arc::clone(cell), Arc::clone(&leader), feeds.workers);
                feeds::spawn(cell, workers_feed);
                let inbox_feed = follow_inbox(Arc::clone(cell), Arc::clone(&leader), feeds.inbox);
                feeds::spawn(cell, inbox_feed);
                tokio::spawn(liveness::poll_machines(
                    Arc::clone(cell),
                    Arc::clone(&leader),
                ));
                tokio::spawn(run_leader(Arc::clone(cell), leader));
                return;
            }
            Err(error) => {
                slog::warn!(cell.log, "leadership.load_failed"; "pool" => pool,
                    "error" => %error);
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// A claim that this host has written, while the pool is loaded.
struct Claim {
    row: LeadRow,
    /// Version of the leadership row as of the last write that is known to be durable.
    version: AtomicU64,
    /// Number of the last write that was tried.
    sequence: AtomicU64,
}

/// Rewrites a claim at the interval of commits, so that no other host takes the pool over while it
/// is loaded. Returns once another host leads the pool.
async fn keep_claim(cell: &Arc<Cell>, pool: &str, claim: &Claim) {
    loop {
        tokio::time::sleep(leadership::MAX_COMMIT_INTERVAL.as_duration()).await;
        // An attempt that is still open when the pool is loaded may be applied later, so each has a
        // number of its own.
        let sequence = claim.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let row = LeadRow {
            sequence,
            ..claim.row.clone()
        };
        let probe = names::lead_row(pool);
        let mut transaction = Transaction::default();
        let expected = claim.version.load(Ordering::Relaxed);
        transaction.expect.push((probe.clone(), expected));
        push_row(&mut transaction, probe.clone(), &row);
        let is_ours =
            |found: &Row| is_written_by(found, &row) && sequence_of(found) == Some(sequence);
        match cell
            .transact_with_probe(&transaction, &probe, is_ours)
            .await
        {
            Ok(TransactionAnswer::Done { version }) => {
                claim.version.store(version, Ordering::Relaxed);
            }
            Ok(TransactionAnswer::Conflict(rows)) => {
                let Some(found) = rows.iter().find(|found| is_written_by(found, &row)) else {
                    observe_lead_rows(cell, pool, &rows);
                    slog::info!(cell.log, "leadership.lost_claim"; "pool" => pool,
                        "term" => row.term);
                    return;
                };
                claim.version.store(found.version, Ordering::Relaxed);
            }
            Err(error) => {
                slog::debug!(cell.log, "leadership.claim_not_kept"; "pool" => pool,
                    "error" => %error);
            }
        }
    }
}

/// Writes a claim; returns the row's version if this host now leads the pool.
async fn write_claim(cell: &Arc<Cell>, pool: &str, row: &LeadRow, expected: u64) -> Option<u64> {
    let value = serde_json::to_vec(row).ok()?;
    let transaction = Transaction {
        expect: vec![(names::lead_row(pool), expected)],
        set: vec![(names::lead_row(pool), Value(value))],
        remove: Vec::new(),
    };
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let probe = names::lead_row(pool);
        let is_ours = |found: &Row| is_written_by(found, row);
        match cell
            .transact_with_probe(&transaction, &probe, is_ours)
            .await
        {
            Ok(TransactionAnswer::Done { version }) => return Some(version),
            Ok(TransactionAnswer::Conflict(rows)) => {
                observe_lead_rows(cell, pool, &rows);
                let own = rows.iter().find(|other| is_written_by(other, row));
                if own.is_none() {
                    slog::info!(cell.log, "leadership.lost_claim"; "pool" => pool,
                        "term" => row.term);
                }
                return own.map(|own| own.version);
            }
            Err(error) => {
                slog::info!(cell.log, "leadership.claim_failed"; "pool" => pool,
                    "error" => %error);
                if error.had_no_effect() {
                    return None;
                }
            }
        }
    }
    None
}

/// Whether a leadership row as read was written by the same incarnation and term as `row`.
fn is_written_by(found: &Row, row: &LeadRow) -> bool {
    let value = found.value.as_ref();
    let lead = value.and_then(|value| serde_json::from_slice::<LeadRow>(&value.0).ok());
    lead.is_some_and(|lead| lead.incarnation == row.incarnation && lead.term == row.term)
}

/// Versions from which a leader follows the feeds of its tables.
struct FeedVersions {
    workers: u64,
    inbox: u64,
}

async fn load(cell: &Arc<Cell>, pool: &str) -> Result<(Pool, FeedVersions), CallError> {
    let began_at = cell.clock.now();
    let (inbox, assignments, workers) = tokio::try_join!(
        cell.read_part(names::INBOX_TABLE, pool, PART_READ_TIMEOUT),
        cell.read_part(names::ASSIGN_TABLE, pool, PART_READ_TIMEOUT),
        cell.read_part(WORKERS_TABLE, "", PART_READ_TIMEOUT),
    )?;
    let now = cell.clock.now();
    let mut state = Pool::new(now, pool_settings(cell, pool), cell.clock.epoch_offset_ms());
    state.worker_list_confirmed(began_at);
    apply_worker_rows(cell, pool, &mut state, now, &workers.rows);
    restore_jobs(cell, &mut state, now, &inbox, &assignments);
    let feeds = FeedVersions {
        workers: workers.version,
        inbox: inbox.version,
    };
    Ok((state, feeds))
}

fn new_leader(cell: &Cell, pool: &str, claim: &Claim, state: Pool, feeds: &FeedVersions) -> Leader {
    slog::info!(cell.log, "leadership.loaded"; "pool" => pool, "term" => claim.row.term,
        "jobs" => state.job_count(), "workers" => state.worker_count(),
        "inbox_version" => feeds.inbox);
    Leader {
        pool: pool.to_owned(),
        term: claim.row.term,
        published_summary: ArcSwap::from_pointee(state.summary(cell.clock.now())),
        state: Mutex::new(state),
        wake: Notify::new(),
        version: AtomicU64::new(claim.version.load(Ordering::Relaxed)),
        sequence: AtomicU64::new(claim.sequence.load(Ordering::Relaxed)),
        loaded_version: feeds.inbox,
        confirmed_at_ms: AtomicU64::new(cell.clock.now().0),
        fenced: AtomicBool::new(false),
        releasing: AtomicBool::new(false),
        release_begun: AtomicBool::new(false),
        ended: AtomicBool::new(false),
        waiters: Mutex::default(),
        own_advice_requests: AtomicUsize::new(0),
        stored_shapes: Mutex::default(),
    }
}

/// Returns the number of ticket requests that all known hosts handle at a time: one each, and one that
/// waits here.
fn max_ticket_requests(cell: &Cell) -> usize {
    cell.host_count() + 1
}

fn pool_settings(cell: &Cell, pool: &str) -> PoolSettings {
    let bounds = &cell.settings.bounds;
    PoolSettings {
        name: pool.to_owned(),
        max_lease: bounds.max_lease,
        max_hold_wait: MAX_HOLD_WAIT,
        min_poll_interval: MIN_POLL_INTERVAL,
        max_ticket_requests: max_ticket_requests(cell),
        job_end_retention: bounds.job_end_retention,
        max_target_overrun: bounds.max_target_overrun,
        pace_delay: bounds.pace_delay,
        max_stop_time: bounds.max_stop_time,
        max_list_age: FeedTiming::workers(bounds.drain_time).max_age,
    }
}

fn restore_jobs(cell: &Cell, state: &mut Pool, now: TimeMs, inbox: &Rows, assignments: &Rows) {
    let mut assigned: FastMap<&str, AssignmentRow> = FastMap::default();
    for row in &assignments.rows {
        let value = row.value.as_ref();
        match value.map(|value| serde_json::from_slice(&value.0)) {
            Some(Ok(assignment)) => {
                assigned.insert(&row.name.key, assignment);
            }
            Some(Err(error)) => {
                slog::error!(cell.log, "assignment.malformed"; "job" => &row.name.key,
                    "error" => %error);
            }
            None => {}
        }
    }
    let mut cancels = Vec::new();
    for row in &inbox.rows {
        let Some(value) = &row.value else {
            continue;
        };
        match names::parse_inbox_key(&row.name.key) {
            Some(names::InboxKey::Cancel(job)) => cancels.push(job),
            Some(names::InboxKey::Job(job)) => {
                match serde_json::from_slice::<JobRecord>(&value.0) {
                    Ok(record) => {
                        let assignment = assigned.get(job.as_str());
                        state.restore(now, &job, Arc::new(record), assignment);
                    }
                    Err(error) => {
                        slog::error!(cell.log, "job.row_malformed"; "job" => job.as_str(),
                            "error" => %error);
                    }
                }
            }
            None => {}
        }
    }
    for job in cancels {
        state.cancel(now, &job);
    }
}

/// Applies entries of workers. A worker whose entry is removed, malformed or names another pool gets
/// no new work.
fn apply_worker_rows(cell: &Cell, pool: &str, state: &mut Pool, now: TimeMs, rows: &[Row]) {
    for row in rows {
        let value = row.value.as_ref();
        let entry = value.and_then(|value| registry::decode(&row.name.key, &value.0));
        if value.is_some() && entry.is_none() {
            slog::info!(cell.log, "worker.malformed"; "worker" => &row.name.key,
                "row_version" => row.version);
        }
        match entry {
            Some(entry) if cell.pool_of(&entry).as_deref() == Some(pool) => {
                state.worker_listed(now, entry);
            }
            _ => {
                if let Ok(worker) = id::WorkerId::new(&row.name.key) {
                    state.worker_gone(now, &worker);
                }
            }
        }
    }
}

async fn follow_workers(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
    let timing = FeedTiming::workers(cell.settings.bounds.drain_time);
    let resend_delay = timing.resend_delay.as_duration();
    let mut version = Some(from);
    let mut store_failed = false;
    while !leader.has_ended() {
        let began = tokio::time::Instant::now();
        let result = match version {
            Some(after) => {
                let age = lock(&leader.state).worker_list_age(cell.clock.now());
                // A list that is too old is confirmed at once.
                let wait = if age < timing.max_age {
                    timing.wait.as_duration()
                } else {
                    Duration::ZERO
                };
                cell.read_changes(WORKERS_TABLE, after, wait, resend_delay)
                    .await
            }
            None => feeds::read_whole_part(&cell, WORKERS_TABLE, PART_READ_TIMEOUT).await,
        };
        match result {
            Ok(ReadRows { rows, as_of }) => {
                let now = cell.clock.now();
                let is_whole_table = version.is_none();
                version = Some(rows.version.max(version.unwrap_or_default()));
                let mut state = lock(&leader.state);
                if std::mem::take(&mut store_failed) {
                    state.store_returned(now);
                }
                apply_worker_rows(&cell, &leader.pool, &mut state, now, &rows.rows);
                let age = state.worker_list_age(now);
                events::feed_confirmed(&cell.log, "workers", age, timing);
                state.worker_list_confirmed(as_of);
                if is_whole_table {
                    let listed: Vec<&str> =
                        rows.rows.iter().map(|row| row.name.key.as_str()).collect();
                    state.workers_missing(now, &listed);
                }
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(_)) => {
                store_failed = true;
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
        leader.wake.notify_one();
        let interval = timing.interval.as_duration();
        tokio::time::sleep(interval.saturating_sub(began.elapsed())).await;
    }
}

/// Follows the pool's accepted jobs and cancels; hosts also notify the leader of those that they accept.
async fn follow_inbox(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
    let timing = FeedTiming::cancels(cell.settings.bounds.cancel_time);
    let wait = timing.wait.as_duration();
    let resend_delay = timing.resend_delay.as_duration();
    let mut version = Some(from);
    while !leader.has_ended() {
        let began = tokio::time::Instant::now();
        let result = match version {
            Some(after) => {
                let changes = cell.read_changes(names::INBOX_TABLE, after, wait, resend_delay);
                changes.await.map(|changes| changes.rows)
            }
            None => cell
                .read_part(names::INBOX_TABLE, &leader.pool, PART_READ_TIMEOUT)
                .await
                .map_err(FeedError::Call),
        };
        match result {
            Ok(rows) => {
                version = Some(rows.version.max(version.unwrap_or_default()));
                apply_inbox_rows(&cell, &leader, &rows.rows);
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(_)) => tokio::time::sleep(STORE_RETRY_DELAY).await,
        }
        let interval = timing.interval.as_duration();
        tokio::time::sleep(interval.saturating_sub(began.elapsed())).await;
    }
}

fn apply_inbox_rows(cell: &Cell, leader: &Leader, rows: &[Row]) {
    let own = rows.iter().filter(|row| row.name.part == leader.pool);
    for row in own {
        let Some(value) = &row.value else {
            continue;
        };
        match names::parse_inbox_key(&row.name.key) {
            Some(names::InboxKey::Cancel(job)) => leader.cancel_job(cell, &job),
            Some(names::InboxKey::Job(job)) => {
                match serde_json::from_slice::<JobRecord>(&value.0) {
                    Ok(record) => leader.add_stored_job(cell, &job, Arc::new(record), row.version),
                    Err(error) => {
                        slog::error!(cell.log, "job.row_malformed"; "job" => job.as_str(),
                            "error" => %error);
                    }
                }
            }
            None => {}
        }
    }
}

/// Outcome of a commit.
enum CommitOutcome {
    /// It is durable.
    Durable {
        /// Version of its rows.
        version: u64,
        /// Jobs that it accepted.
        accepted: Vec<id::JobId>,
    },
    /// It had no effect, since these jobs had been accepted earlier.
    Duplicates(Vec<id::JobId>),
    /// It had no effect, since the store refused it or could not be reached.
    Refused {
        /// Jobs that it would have accepted.
        submitted: Vec<id::JobId>,
        /// Reason for the answer to callers.
        reason: String,
    },
    /// Another host leads the pool.
    Deposed,
}

/// Runs the rounds of a leader until another host leads the pool or this one has released it.
async fn run_leader(cell: Arc<Cell>, leader: Arc<Leader>) {
    let mut commit: Option<tokio::task::JoinHandle<CommitOutcome>> = None;
    let mut commit_began_at = cell.clock.now();
    let mut summary_written_at = TimeMs(0);
    let mut last_round = cell.clock.now();
    let mut pacing = Pacing::default();
    let mut passing_on = PassingOn::new(cell.clock.now());
    loop {
        // After the timeout the round runs without a notification.
        let _ = tokio::time::timeout(pacing::MAX_ROUND_INTERVAL, leader.wake.notified()).await;
        pacing.wait_for_round().await;
        let now = cell.clock.now();
        if now.since(last_round) > STALL_THRESHOLD {
            slog::warn!(cell.log, "leader.held_up"; "pool" => &leader.pool,
                "for_ms" => now.since(last_round).0);
            // Starts, stops and polls are withheld until a commit shows that this host still leads.
            leader.fenced.store(true, Ordering::Relaxed);
            commit_began_at = TimeMs(0);
        }
        last_round = now;
        if commit
            .as_ref()
            .is_some_and(tokio::task::JoinHandle::is_finished)
            && let Some(task) = commit.take()
        {
            match task.await {
                Ok(CommitOutcome::Durable { version, accepted }) => {
                    lock(&leader.state).committed(now);
                    leader.confirmed_at_ms.store(now.0, Ordering::Relaxed);
                    leader.fenced.store(false, Ordering::Relaxed);
                    for job in accepted {
                        leader.answer_waiters(&job, &Acceptance::Accepted { version });
                    }
                }
                Ok(CommitOutcome::Duplicates(jobs)) => {
                    events::commit_undone(&cell.log, &leader.pool, leader.term, jobs.len(), None);
                    lock(&leader.state).commit_undone();
                    drop_submissions(&leader, now, &jobs, &Acceptance::Known);
                }
                Ok(CommitOutcome::Refused { submitted, reason }) => {
                    let log = &cell.log;
                    events::commit_undone(log, &leader.pool, leader.term, 0, Some(&reason));
                    lock(&leader.state).commit_undone();
                    drop_submissions(&leader, now, &submitted, &Acceptance::NotAccepted(reason));
                }
                Ok(CommitOutcome::Deposed) => break,
                Err(error) => {
                    slog::error!(cell.log, "commit.failed"; "error" => %error);
                    break;
                }
            }
            if leader.release_begun.load(Ordering::Relaxed) {
                break;
            }
        }
        if cell.store_is_silent() {
            refuse_unwritten_submissions(&leader, now);
        }
        {
            let mut state = lock(&leader.state);
            state.set_max_ticket_requests(max_ticket_requests(&cell));
            state.tick(now);
        }
        if passing_on.is_due(&cell, &leader, now) {
            slog::warn!(cell.log, "leadership.passed_on"; "pool" => &leader.pool,
                "term" => leader.term, "lag_ms" => cell.load.lag_ms(),
                "busy_per_mille" => cell.load.busy_per_mille());
            leader.releasing.store(true, Ordering::Relaxed);
            tokio::spawn(notify_successor(Arc::clone(&cell), Arc::clone(&leader)));
        }
        if commit.is_none() {
            let releasing = leader.releasing.load(Ordering::Relaxed);
            let changed = lock(&leader.state).has_changes();
            let due = (changed && now.since(commit_began_at) >= MIN_COMMIT_INTERVAL)
                || now.since(commit_began_at) >= leadership::MAX_COMMIT_INTERVAL
                || releasing;
            if due {
                commit_began_at = now;
                let with_summary = now.since(summary_written_at) >= MIN_SUMMARY_INTERVAL;
                if with_summary {
                    summary_written_at = now;
                }
                leader.release_begun.store(releasing, Ordering::Relaxed);
                commit = Some(begin_commit(&cell, &leader, now, with_summary, releasing));
            }
        }
        orders::execute_orders(&cell, &leader);
        cell.load.add(Work::Round, pacing.end_round());
    }
    cell.remove_leader(&leader.pool);
    {
        // Dropping the senders answers the callers that the outcome is unknown.
        let mut waiters = lock(&leader.waiters);
        leader.ended.store(true, Ordering::Relaxed);
        waiters.clear();
    }
    slog::info!(cell.log, "leadership.ended"; "pool" => &leader.pool, "term" => leader.term,
        "released" => leader.releasing.load(Ordering::Relaxed));
}

/// Finds out when a leader should pass its pool on.
struct PassingOn {
    checked_at: TimeMs,
    /// Number of consecutive checks in which another host was better.
    checks: u32,
}

impl PassingOn {
    fn new(now: TimeMs) -> Self {
        Self {
            checked_at: now,
            checks: 0,
        }
    }

    fn is_due(&mut self, cell: &Cell, leader: &Leader, now: TimeMs) -> bool {
        let is_releasing = leader.releasing.load(Ordering::Relaxed);
        if is_releasing || now.since(self.checked_at) < PASS_ON_CHECK_INTERVAL {
            return false;
        }
        self.checked_at = now;
        self.checks = if cell.passes_on(&leader.pool) {
            self.checks + 1
        } else {
            0
        };
        self.checks >= MIN_PASS_ON_CHECKS
    }
}

/// Refuses submitted jobs that no commit has tried to write, while the store is unreachable.
fn refuse_unwritten_submissions(leader: &Leader, now: TimeMs) {
    let jobs = lock(&leader.state).unwritten_submissions();
    let refusal = Acceptance::NotAccepted("the store is unreachable".to_owned());
    drop_submissions(leader, now, &jobs, &refusal);
}

fn drop_submissions(leader: &Leader, now: TimeMs, jobs: &[id::JobId], acceptance: &Acceptance) {
    for job in jobs {
        lock(&leader.state).drop_submission(now, job);
        leader.answer_waiters(job, acceptance);
    }
}

fn begin_commit(
    cell: &Arc<Cell>,
    leader: &Arc<Leader>,
    now: TimeMs,
    with_summary: bool,
    releasing: bool,
) -> tokio::task::JoinHandle<CommitOutcome> {
    let (commit, summary) = {
        let mut state = lock(&leader.state);
        let commit = state.take_commit(now, MAX_COMMIT_ROWS);
        (commit, with_summary.then(|| state.summary(now)))
    };
    let summary = summary.map(|summary| {
        let host_lag_ms = cell.load.lag_ms();
        events::pool_lag(&cell.log, &leader.pool, &summary, host_lag_ms);
        PoolSummary {
            lag_ms: summary.lag_ms.max(host_lag_ms),
            ..summary
        }
    });
    if let Some(summary) = &summary {
        leader.published_summary.store(Arc::new(summary.clone()));
    }
    let cell = Arc::clone(cell);
    let leader = Arc::clone(leader);
    tokio::spawn(async move {
        let began = cell.clock.now();
        let rows = commit.changes.len();
        let commit = commit_until_settled(&cell, &leader, &commit, summary.as_ref(), releasing);
        let result = cell.load.measure(Work::Commit, commit).await;
        let took = cell.clock.now().since(began);
        metrics::histogram!("mangotrestle_commit_seconds").record(took.as_duration().as_secs_f64());
        slog::debug!(cell.log, "commit.settled"; "pool" => &leader.pool, "rows" => rows,
            "took_ms" => took.0);
        leader.wake.notify_one();
        result
    })
}

/// Tries a commit until it is durable, certainly had no effect, or another host leads the pool.
async fn commit_until_settled(
    cell: &Arc<Cell>,
    leader: &Leader,
    commit: &Commit,
    summary: Option<&PoolSummary>,
    releasing: bool,
) -> CommitOutcome {
    let sequence = leader.sequence.load(Ordering::Relaxed) + 1;
    let row = LeadRow {
        holder: cell.settings.host.clone(),
        address: cell.settings.peer.to_string(),
        incarnation: cell.incarnation,
        term: leader.term,
        sequence,
        released: releasing,
    };
    let mut transaction = build_transaction(&leader.pool, commit);
    push_row(&mut transaction, names::lead_row(&leader.pool), &row);
    let mut changed_shapes = None;
    if let Some(summary) = summary {
        let shapes = &summary.shapes;
        if *lock(&leader.stored_shapes) != *shapes {
            push_row(&mut transaction, names::shapes_row(&leader.pool), shapes);
            changed_shapes = Some(shapes);
        }
        let summary = PoolSummary {
            shapes: Vec::new(),
            ..summary.clone()
        };
        push_row(&mut transaction, names::summary_row(&leader.pool), &summary);
    }
    let submitted: Vec<id::JobId> = submitted_jobs(commit);
    let conditions = std::mem::take(&mut transaction.expect);
    let mut uncertain = false;
    loop {
        let expected = leader.version.load(Ordering::Relaxed);
        transaction.expect.clone_from(&conditions);
        transaction
            .expect
            .push((names::lead_row(&leader.pool), expected));
        let probe = names::lead_row(&leader.pool);
        let is_ours =
            |found: &Row| is_written_by(found, &row) && sequence_of(found) == Some(sequence);
        match cell
            .transact_with_probe(&transaction, &probe, is_ours)
            .await
        {
            Ok(TransactionAnswer::Done { version }) => {
                leader.version.store(version, Ordering::Relaxed);
                leader.sequence.store(sequence, Ordering::Relaxed);
                if let Some(shapes) = changed_shapes {
                    lock(&leader.stored_shapes).clone_from(shapes);
                }
                let accepted = submitted;
                return CommitOutcome::Durable { version, accepted };
            }
            Ok(TransactionAnswer::Conflict(rows)) => {
                let found = rows.iter().find(|found| is_written_by(found, &row));
                let Some(found) = found else {
                    observe_lead_rows(cell, &leader.pool, &rows);
                    slog::warn!(cell.log, "leadership.deposed"; "pool" => &leader.pool,
                        "term" => leader.term);
                    return CommitOutcome::Deposed;
                };
                leader.version.store(found.version, Ordering::Relaxed);
                if sequence_of(found) == Some(sequence) {
                    // An earlier attempt was applied and its answer lost.
                    leader.sequence.store(sequence, Ordering::Relaxed);
                    return CommitOutcome::Durable {
                        version: found.version,
                        accepted: submitted,
                    };
                }
                let duplicates = existing_jobs(&leader.pool, &submitted, &rows);
                if !duplicates.is_empty() {
                    return CommitOutcome::Duplicates(duplicates);
                }
            }
            Err(error) => {
                uncertain |= !error.had_no_effect();
                let refused_as_overloaded = error == CallError::Refused(OVERLOAD_CODE);
                if !uncertain && !refused_as_overloaded && !submitted.is_empty() {
                    let reason = error.to_string();
                    return CommitOutcome::Refused { submitted, reason };
                }
                slog::debug!(cell.log, "commit.tried"; "pool" => &leader.pool,
                    "error" => %error);
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the jobs that a commit accepts.
fn submitted_jobs(commit: &Commit) -> Vec<id::JobId> {
    let changes = commit.changes.iter();
    changes
        .filter_map(|change| match change {
            RowChange::Accept { job, .. } => Some(job.clone()),
            _ => None,
        })
        .collect()
}

/// Returns those of the jobs that have a row in the inbox or among the ended jobs.
fn existing_jobs(pool: &str, jobs: &[id::JobId], rows: &[Row]) -> Vec<id::JobId> {
    let exists = |job: &&id::JobId| {
        let (inbox, ended) = (names::inbox_row(pool, job), names::ended_row(pool, job));
        rows.iter()
            .any(|row| row.value.is_some() && (row.name == inbox || row.name == ended))
    };
    jobs.iter().filter(exists).cloned().collect()
}

fn sequence_of(row: &Row) -> Option<u64> {
    let value = row.value.as_ref()?;
    let lead: LeadRow = serde_json::from_slice(&value.0).ok()?;
    Some(lead.sequence)
}

fn push_row<T: serde::Serialize>(transaction: &mut Transaction, name: RowName, row: &T) {
    // Encoding cannot fail for the plain structs of which this system's rows consist.
    let value = serde_json::to_vec(row).unwrap_or_default();
    transaction.set.push((name, Value(value)));
}

fn build_transaction(pool: &str, commit: &Commit) -> Transaction {
    let mut transaction = Transaction::default();
    for change in &commit.changes {
        match change {
            RowChange::Accept { job, record } => {
                let inbox = names::inbox_row(pool, job);
                transaction.expect.push((inbox.clone(), 0));
                transaction.expect.push((names::ended_row(pool, job), 0));
                push_row(&mut transaction, inbox, record.as_ref());
            }
            RowChange::Assign { job, row } => {
                push_row(&mut transaction, names::assign_row(pool, job), row);
            }
            RowChange::End { job, row } => {
                push_row(&mut transaction, names::ended_row(pool, job), row);
            }
            RowChange::RemoveRows { job } => {
                transaction.remove.push(names::inbox_row(pool, job));
                transaction.remove.push(names::cancel_row(pool, job));
                transaction.remove.push(names::assign_row(pool, job));
            }
        }
    }
    transaction
}

/// Releases leadership of all pools at a planned stop, and notifies the hosts that should lead them
/// next.
pub(super) async fn release_all(cell: &Arc<Cell>) {
    let leaders = cell.all_leaders();
    for (_, leader) in &leaders {
        leader.releasing.store(true, Ordering::Relaxed);
        leader.wake.notify_one();
    }
    let all_ended = async {
        while !leaders.iter().all(|(_, leader)| leader.has_ended()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    // A store that does not answer must not delay the stop.
    let _ = tokio::time::timeout(RELEASE_TIMEOUT, all_ended).await;
    for (_, leader) in leaders {
        tokio::spawn(notify_successor(Arc::clone(cell), leader));
    }
}

/// Notifies the host that should lead a pool next, once this one has released it.
async fn notify_successor(cell: Arc<Cell>, leader: Arc<Leader>) {
    let successors = cell.successors(&leader.pool);
    while !leader.has_ended() {
        tokio::time::sleep(STORE_RETRY_DELAY).await;
    }
    for successor in successors.into_iter().take(2) {
        // A successor that does not answer finds the released row in the store.
        let released = successor.released(leader.pool.clone());
        let notified = tokio::time::timeout(STORE_RETRY_DELAY * 10, released);
        if matches!(notified.await, Ok(Ok(()))) {
            return;
        }
    }
}
