//! Leads a pool: claims its row, loads what is assigned, commits and orders.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::leadership::{self, LeadRow, PoolSummary};
use mangotrestle_core::workflow::pool::{Commit, Pool, PoolSettings, RowChange};
use mangotrestle_core::workflow::record::{AssignmentRow, JobState};
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_peer::cell::Acceptance;
use mangotrestle_users_platform::registry;
use mangotrestle_users_platform::store::{
    FeedError, Row, RowName, Rows, Transaction, TransactionAnswer, Value, WORKERS_TABLE,
};
use mangotrestle_users_platform::transport::CallError;
use tokio::sync::{Notify, oneshot};

use super::cell::{Cell, lock};
use super::liveness;
use super::names;
use super::orders;

/// Time that giving up a pool may hold up a planned stop.
const RELEASE: Duration = Duration::from_millis(1_200);
/// Pause before a commit is tried again.
const PAUSE: Duration = Duration::from_millis(50);
/// Status of a refusal for load.
const TOO_MANY: u16 = 429;
/// Time for a whole read.
const READ: Duration = Duration::from_secs(2);
/// Tries to claim a pool whose answers are lost.
const CLAIM_TRIES: u32 = 3;
/// Tries to load a pool.
const LOAD_TRIES: u32 = 4;
/// Least distance of two commits with changes, in which more changes gather.
const COMMIT_GAP: SpanMs = SpanMs(12);
/// Most rows of changes in a commit; the leadership and the view come on top.
const COMMIT_ROWS: usize = 88;
/// Longest time between two rounds of the leader.
const ROUND: Duration = Duration::from_millis(25);
/// Least distance of two writes of the view.
const VIEW_GAP: SpanMs = SpanMs(500);
/// Distance of looks at the workers' entries.
const WORKERS_INTERVAL: Duration = Duration::from_millis(400);
/// Distance of looks at the inbox; hosts tell the leader of their jobs besides.
const INBOX_INTERVAL: Duration = Duration::from_millis(350);
/// How long the store may hold a feed back.
const FEED_WAIT: Duration = Duration::from_millis(400);
/// How long a worker may hold a report back.
const HOLD_WAIT: SpanMs = SpanMs(1_500);
/// Pause between two looks at a worker, in which ends gather.
const HOLD_GAP: SpanMs = SpanMs(40);
/// Time without rounds after which the process counts as having been held up.
const HELD_UP: SpanMs = SpanMs(1_000);

/// Leadership of one pool by this process.
pub(super) struct Leader {
    /// Name of the pool.
    pub(super) pool: String,
    /// Fencing token.
    pub(super) term: u64,
    /// State of the pool.
    pub(super) state: Mutex<Pool>,
    /// Wakes the leader's rounds.
    pub(super) wake: Notify,
    /// Version of the leadership row.
    version: AtomicU64,
    sequence: AtomicU64,
    /// Version as of which the inbox was loaded.
    loaded_version: u64,
    /// When the last commit was known to be durable.
    confirmed_at_ms: AtomicU64,
    /// Whether a worker has seen a higher term.
    pub(super) fenced: AtomicBool,
    releasing: AtomicBool,
    /// Whether the commit that gives the pool up has begun.
    given_up: AtomicBool,
    over: AtomicBool,
    /// Callers whose job becomes durable with a commit to come.
    waiters: Mutex<FastMap<id::JobId, Vec<oneshot::Sender<Acceptance>>>>,
    view: ArcSwap<PoolSummary>,
    /// Questions that this host asks itself.
    pub(super) own_questions: AtomicUsize,
}

impl Leader {
    /// Makes a job durable with the next commit.
    pub(super) async fn accept(
        &self,
        cell: &Cell,
        job: &id::JobId,
        record: Arc<JobRecord>,
    ) -> Acceptance {
        if cell.store_is_away() || cell.store_is_silent() {
            return Acceptance::NotAccepted("no way to the store".to_owned());
        }
        let (sender, answered) = oneshot::channel();
        {
            let mut waiters = lock(&self.waiters);
            if self.is_over() || self.given_up.load(Ordering::Relaxed) {
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

    /// Answers the callers who wait for a job.
    fn answer_waiters(&self, job: &id::JobId, acceptance: &Acceptance) {
        for waiter in lock(&self.waiters).remove(job).unwrap_or_default() {
            // A caller that has gone needs no answer.
            let _ = waiter.send(acceptance.clone());
        }
    }

    /// Takes a job that is durably accepted as of a version.
    pub(super) fn submitted(
        &self,
        cell: &Cell,
        job: &id::JobId,
        record: Arc<JobRecord>,
        version: u64,
    ) {
        // A job of before may have ended meanwhile; the load has it if it has not.
        if version <= self.loaded_version {
            return;
        }
        lock(&self.state).accept(cell.clock.now(), job, record);
        self.wake.notify_one();
    }

    /// Takes a cancel that is durably accepted.
    pub(super) fn cancelled(&self, cell: &Cell, job: &id::JobId) {
        lock(&self.state).cancel(cell.clock.now(), job);
        self.wake.notify_one();
    }

    /// State of a job as callers see it.
    pub(super) fn state(&self, job: &id::JobId) -> Option<JobState> {
        lock(&self.state).state(job)
    }

    /// What all hosts are told.
    pub(super) fn summary(&self) -> Arc<PoolSummary> {
        self.view.load_full()
    }

    /// Whether this leadership has ended.
    pub(super) fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// When the last commit was known to be durable.
    pub(super) fn confirmed_at(&self) -> TimeMs {
        TimeMs(self.confirmed_at_ms.load(Ordering::Relaxed))
    }
}

/// Claims a pool that seems to have no leader.
pub(super) fn begin_claim(cell: &Arc<Cell>, pool: &str) {
    if !cell.begin_claiming(pool) {
        return;
    }
    let cell = Arc::clone(cell);
    let pool = pool.to_owned();
    tokio::spawn(async move {
        claim(&cell, &pool).await;
        cell.end_claiming(&pool);
    });
}

/// Claims a pool whose leader said that it gave it up.
pub(super) async fn claim_released(cell: &Arc<Cell>, pool: &str) {
    if cell.is_stopping() || cell.leader(pool).is_some() {
        return;
    }
    let rows = cell.whole_part(names::CELL, pool, READ).await;
    let Ok(rows) = rows else {
        return;
    };
    observe_rows(cell, pool, &rows.rows);
    if cell.with_pool(pool, |view| {
        view.watch.is_claim_due(0, cell.stagger(), false, false)
    }) {
        begin_claim(cell, pool);
    }
}

fn observe_rows(cell: &Cell, pool: &str, rows: &[Row]) {
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
        let row = view.watch.claim(&cell.settings.host, &address, cell.life);
        (row, view.watch.version())
    });
    slog::info!(cell.log, "leadership.claiming"; "pool" => pool, "term" => row.term,
        "expected_version" => expected);
    let Some(version) = take_row(cell, pool, &row, expected).await else {
        return;
    };
    let now = cell.clock.now();
    cell.with_pool(pool, |view| view.watch.observe(now, row.clone(), version));
    slog::info!(cell.log, "leadership.taken"; "pool" => pool, "term" => row.term,
        "version" => version);
    metrics::counter!("mangotrestle_leaderships_total").increment(1);
    for _ in 0..LOAD_TRIES {
        match load(cell, pool, &row, version).await {
            Ok((leader, feeds)) => {
                let leader = Arc::new(leader);
                cell.enter_leader(pool, Arc::clone(&leader));
                tokio::spawn(follow_workers(
                    Arc::clone(cell),
                    Arc::clone(&leader),
                    feeds.workers,
                ));
                tokio::spawn(follow_inbox(
                    Arc::clone(cell),
                    Arc::clone(&leader),
                    feeds.inbox,
                ));
                tokio::spawn(liveness::follow(Arc::clone(cell), Arc::clone(&leader)));
                tokio::spawn(lead(Arc::clone(cell), leader));
                return;
            }
            Err(error) => {
                slog::warn!(cell.log, "leadership.load_failed"; "pool" => pool,
                    "error" => %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Writes the claim; gives the row's version if the pool is this host's now.
async fn take_row(cell: &Arc<Cell>, pool: &str, row: &LeadRow, expected: u64) -> Option<u64> {
    let value = serde_json::to_vec(row).ok()?;
    let transaction = Transaction {
        expect: vec![(names::lead(pool), expected)],
        set: vec![(names::lead(pool), Value(value))],
        remove: Vec::new(),
    };
    for _ in 0..CLAIM_TRIES {
        let probe = names::lead(pool);
        let is_ours = |found: &Row| is_own(found, row);
        match cell.settle(&transaction, &probe, is_ours).await {
            Ok(TransactionAnswer::Done { version }) => return Some(version),
            Ok(TransactionAnswer::Conflict(rows)) => {
                observe_rows(cell, pool, &rows);
                let own = rows.iter().find(|other| is_own(other, row));
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

/// Whether a row as read was written by this leadership.
fn is_own(found: &Row, row: &LeadRow) -> bool {
    let value = found.value.as_ref();
    let lead = value.and_then(|value| serde_json::from_slice::<LeadRow>(&value.0).ok());
    lead.is_some_and(|lead| lead.incarnation == row.incarnation && lead.term == row.term)
}

/// Versions from which a leader follows its tables.
struct FeedVersions {
    workers: u64,
    inbox: u64,
}

async fn load(
    cell: &Arc<Cell>,
    pool: &str,
    row: &LeadRow,
    version: u64,
) -> Result<(Leader, FeedVersions), CallError> {
    let (inbox, assign, workers) = tokio::try_join!(
        cell.whole_part(names::INBOX, pool, READ),
        cell.whole_part(names::ASSIGN, pool, READ),
        cell.whole_part(WORKERS_TABLE, "", READ),
    )?;
    let now = cell.clock.now();
    let mut state = Pool::new(now, pool_settings(cell), cell.clock.epoch_offset_ms());
    take_worker_rows(cell, pool, &mut state, now, &workers.rows);
    restore(cell, &mut state, now, &inbox, &assign);
    slog::info!(cell.log, "leadership.loaded"; "pool" => pool, "term" => row.term,
        "jobs" => state.job_count(), "workers" => state.worker_count(),
        "inbox_version" => inbox.version);
    let view = ArcSwap::from_pointee(state.summary());
    let leader = Leader {
        pool: pool.to_owned(),
        term: row.term,
        state: Mutex::new(state),
        wake: Notify::new(),
        version: AtomicU64::new(version),
        sequence: AtomicU64::new(row.sequence),
        loaded_version: inbox.version,
        confirmed_at_ms: AtomicU64::new(now.0),
        fenced: AtomicBool::new(false),
        releasing: AtomicBool::new(false),
        given_up: AtomicBool::new(false),
        over: AtomicBool::new(false),
        waiters: Mutex::default(),
        view,
        own_questions: AtomicUsize::new(0),
    };
    let feeds = FeedVersions {
        workers: workers.version,
        inbox: inbox.version,
    };
    Ok((leader, feeds))
}

fn pool_settings(cell: &Cell) -> PoolSettings {
    let bounds = &cell.settings.bounds;
    PoolSettings {
        max_lease: bounds.max_lease,
        max_hold_wait: HOLD_WAIT,
        min_poll_interval: HOLD_GAP,
        max_ticket_requests: cell.host_count() + 1,
        job_end_retention: bounds.job_end_retention,
        max_target_overrun: bounds.max_target_overrun,
        pace_delay: bounds.pace_delay,
        max_stop_time: bounds.max_stop_time,
    }
}

fn restore(cell: &Cell, state: &mut Pool, now: TimeMs, inbox: &Rows, assign: &Rows) {
    let mut assigned: FastMap<&str, AssignmentRow> = FastMap::default();
    for row in &assign.rows {
        let value = row.value.as_ref();
        match value.map(|value| serde_json::from_slice(&value.0)) {
            Some(Ok(known)) => {
                assigned.insert(&row.name.key, known);
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
        match names::inbox_key(&row.name.key) {
            Some(names::InboxKey::Cancel(job)) => cancels.push(job),
            Some(names::InboxKey::Job(job)) => {
                match serde_json::from_slice::<JobRecord>(&value.0) {
                    Ok(record) => {
                        let known = assigned.get(job.as_str());
                        state.restore(now, &job, Arc::new(record), known);
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

fn take_worker_rows(cell: &Cell, pool: &str, state: &mut Pool, now: TimeMs, rows: &[Row]) {
    for row in rows {
        let Some(value) = &row.value else {
            if let Ok(worker) = id::WorkerId::new(&row.name.key) {
                state.worker_gone(now, &worker);
            }
            continue;
        };
        match registry::decode(&row.name.key, &value.0) {
            Some(entry) if entry.pool == pool => state.worker_listed(now, entry),
            Some(_) => {}
            None => {
                slog::info!(cell.log, "worker.malformed"; "worker" => &row.name.key,
                    "row_version" => row.version);
            }
        }
    }
}

async fn follow_workers(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
    let mut version = Some(from);
    let mut away = false;
    while !leader.is_over() {
        let began = tokio::time::Instant::now();
        let result = match version {
            Some(after) => cell.feed(WORKERS_TABLE, after, FEED_WAIT).await,
            None => cell
                .whole_part(WORKERS_TABLE, "", READ)
                .await
                .map_err(FeedError::Call),
        };
        match result {
            Ok(rows) => {
                let now = cell.clock.now();
                let whole = version.is_none();
                version = Some(rows.version.max(version.unwrap_or_default()));
                let mut state = lock(&leader.state);
                if std::mem::take(&mut away) {
                    state.store_returned(now);
                }
                take_worker_rows(&cell, &leader.pool, &mut state, now, &rows.rows);
                if whole {
                    let listed: Vec<&str> =
                        rows.rows.iter().map(|row| row.name.key.as_str()).collect();
                    state.workers_missing(now, &listed);
                }
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(_)) => {
                away = true;
                tokio::time::sleep(PAUSE).await;
            }
        }
        leader.wake.notify_one();
        tokio::time::sleep(WORKERS_INTERVAL.saturating_sub(began.elapsed())).await;
    }
}

async fn follow_inbox(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
    let mut version = Some(from);
    while !leader.is_over() {
        let began = tokio::time::Instant::now();
        let result = match version {
            Some(after) => cell.feed(names::INBOX, after, FEED_WAIT).await,
            None => cell
                .whole_part(names::INBOX, &leader.pool, READ)
                .await
                .map_err(FeedError::Call),
        };
        match result {
            Ok(rows) => {
                version = Some(rows.version.max(version.unwrap_or_default()));
                take_inbox_rows(&cell, &leader, &rows.rows);
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(_)) => tokio::time::sleep(PAUSE).await,
        }
        tokio::time::sleep(INBOX_INTERVAL.saturating_sub(began.elapsed())).await;
    }
}

fn take_inbox_rows(cell: &Cell, leader: &Leader, rows: &[Row]) {
    let own = rows.iter().filter(|row| row.name.part == leader.pool);
    for row in own {
        let Some(value) = &row.value else {
            continue;
        };
        match names::inbox_key(&row.name.key) {
            Some(names::InboxKey::Cancel(job)) => leader.cancelled(cell, &job),
            Some(names::InboxKey::Job(job)) => {
                match serde_json::from_slice::<JobRecord>(&value.0) {
                    Ok(record) => leader.submitted(cell, &job, Arc::new(record), row.version),
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

/// What became of a commit.
enum Committed {
    /// It is durable.
    Durable {
        /// As of this version.
        version: u64,
        /// Jobs that it accepted.
        accepted: Vec<id::JobId>,
    },
    /// Nothing was done, since these jobs had been accepted before.
    Duplicates(Vec<id::JobId>),
    /// Nothing was done; the store refuses.
    Refused {
        /// Jobs that it would have accepted.
        submitted: Vec<id::JobId>,
        /// Why.
        why: String,
    },
    /// Another host has taken the pool.
    Deposed,
}

/// Rounds of a leader, until another host leads the pool or this one gives it up.
async fn lead(cell: Arc<Cell>, leader: Arc<Leader>) {
    let mut commit: Option<tokio::task::JoinHandle<Committed>> = None;
    let mut committed_at = cell.clock.now();
    let mut viewed_at = TimeMs(0);
    let mut last_round = cell.clock.now();
    loop {
        // A full sleep without a wake is what an idle round is.
        let _ = tokio::time::timeout(ROUND, leader.wake.notified()).await;
        let now = cell.clock.now();
        if now.since(last_round) > HELD_UP {
            slog::warn!(cell.log, "leader.held_up"; "pool" => &leader.pool,
                "for_ms" => now.since(last_round).0);
            // Orders wait until a commit shows that this host still leads.
            leader.fenced.store(true, Ordering::Relaxed);
            committed_at = TimeMs(0);
        }
        last_round = now;
        if commit
            .as_ref()
            .is_some_and(tokio::task::JoinHandle::is_finished)
            && let Some(task) = commit.take()
        {
            match task.await {
                Ok(Committed::Durable { version, accepted }) => {
                    lock(&leader.state).committed(now);
                    leader.confirmed_at_ms.store(now.0, Ordering::Relaxed);
                    leader.fenced.store(false, Ordering::Relaxed);
                    for job in accepted {
                        leader.answer_waiters(&job, &Acceptance::Accepted { version });
                    }
                }
                Ok(Committed::Duplicates(jobs)) => {
                    lock(&leader.state).commit_undone();
                    drop_submissions(&leader, now, &jobs, &Acceptance::Known);
                }
                Ok(Committed::Refused { submitted, why }) => {
                    lock(&leader.state).commit_undone();
                    drop_submissions(&leader, now, &submitted, &Acceptance::NotAccepted(why));
                }
                Ok(Committed::Deposed) => break,
                Err(error) => {
                    slog::error!(cell.log, "commit.failed"; "error" => %error);
                    break;
                }
            }
            if leader.given_up.load(Ordering::Relaxed) {
                break;
            }
        }
        if cell.store_is_away() || cell.store_is_silent() {
            refuse_unwritten(&leader, now);
        }
        lock(&leader.state).tick(now);
        if commit.is_none() {
            let releasing = leader.releasing.load(Ordering::Relaxed);
            let changed = lock(&leader.state).has_changes();
            let due = (changed && now.since(committed_at) >= COMMIT_GAP)
                || now.since(committed_at) >= leadership::MAX_COMMIT_INTERVAL
                || releasing;
            if due {
                committed_at = now;
                let with_view = now.since(viewed_at) >= VIEW_GAP;
                if with_view {
                    viewed_at = now;
                }
                leader.given_up.store(releasing, Ordering::Relaxed);
                commit = Some(begin_commit(&cell, &leader, now, with_view, releasing));
            }
        }
        orders::carry_out(&cell, &leader);
    }
    cell.remove_leader(&leader.pool);
    {
        // Dropping the senders tells the callers that the outcome is unknown.
        let mut waiters = lock(&leader.waiters);
        leader.over.store(true, Ordering::Relaxed);
        waiters.clear();
    }
    slog::info!(cell.log, "leadership.ended"; "pool" => &leader.pool, "term" => leader.term,
        "released" => leader.releasing.load(Ordering::Relaxed));
}

/// Refuses submitted jobs that no commit has tried to write, while there is no way to the store.
fn refuse_unwritten(leader: &Leader, now: TimeMs) {
    let jobs = lock(&leader.state).unwritten_submissions();
    let refusal = Acceptance::NotAccepted("no way to the store".to_owned());
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
    with_view: bool,
    releasing: bool,
) -> tokio::task::JoinHandle<Committed> {
    let (commit, summary) = {
        let mut state = lock(&leader.state);
        let commit = state.take_commit(now, COMMIT_ROWS);
        (commit, with_view.then(|| state.summary()))
    };
    if let Some(summary) = &summary {
        leader.view.store(Arc::new(summary.clone()));
    }
    let cell = Arc::clone(cell);
    let leader = Arc::clone(leader);
    tokio::spawn(async move {
        let began = cell.clock.now();
        let rows = commit.changes.len();
        let result = carry_through(&cell, &leader, &commit, summary.as_ref(), releasing).await;
        let took = cell.clock.now().since(began);
        metrics::histogram!("mangotrestle_commit_seconds").record(took.as_duration().as_secs_f64());
        slog::debug!(cell.log, "commit.settled"; "pool" => &leader.pool, "rows" => rows,
            "took_ms" => took.0);
        leader.wake.notify_one();
        result
    })
}

/// Tries a commit until it is durable or another host leads the pool.
async fn carry_through(
    cell: &Arc<Cell>,
    leader: &Leader,
    commit: &Commit,
    summary: Option<&PoolSummary>,
    releasing: bool,
) -> Committed {
    let sequence = leader.sequence.load(Ordering::Relaxed) + 1;
    let row = LeadRow {
        holder: cell.settings.host.clone(),
        address: cell.settings.peer.to_string(),
        incarnation: cell.life,
        term: leader.term,
        sequence,
        released: releasing,
    };
    let mut transaction = changes(&leader.pool, commit);
    push_row(&mut transaction, names::lead(&leader.pool), &row);
    if let Some(summary) = summary {
        push_row(&mut transaction, names::view(&leader.pool), summary);
    }
    let submitted: Vec<id::JobId> = submitted(commit);
    let conditions = std::mem::take(&mut transaction.expect);
    let mut uncertain = false;
    loop {
        let expected = leader.version.load(Ordering::Relaxed);
        transaction.expect.clone_from(&conditions);
        transaction
            .expect
            .push((names::lead(&leader.pool), expected));
        let probe = names::lead(&leader.pool);
        let is_ours = |found: &Row| is_own(found, &row) && sequence_of(found) == Some(sequence);
        match cell.settle(&transaction, &probe, is_ours).await {
            Ok(TransactionAnswer::Done { version }) => {
                leader.version.store(version, Ordering::Relaxed);
                leader.sequence.store(sequence, Ordering::Relaxed);
                let accepted = submitted;
                return Committed::Durable { version, accepted };
            }
            Ok(TransactionAnswer::Conflict(rows)) => {
                let found = rows.iter().find(|found| is_own(found, &row));
                let Some(found) = found else {
                    observe_rows(cell, &leader.pool, &rows);
                    slog::warn!(cell.log, "leadership.deposed"; "pool" => &leader.pool,
                        "term" => leader.term);
                    return Committed::Deposed;
                };
                leader.version.store(found.version, Ordering::Relaxed);
                if sequence_of(found) == Some(sequence) {
                    // An earlier try was carried out and its answer lost.
                    leader.sequence.store(sequence, Ordering::Relaxed);
                    return Committed::Durable {
                        version: found.version,
                        accepted: submitted,
                    };
                }
                let duplicates = existing(&leader.pool, &submitted, &rows);
                if !duplicates.is_empty() {
                    return Committed::Duplicates(duplicates);
                }
            }
            Err(error) => {
                uncertain |= !error.had_no_effect();
                let busy = error == CallError::Refused(TOO_MANY);
                if !uncertain && !busy && !submitted.is_empty() {
                    let why = error.to_string();
                    return Committed::Refused { submitted, why };
                }
                slog::debug!(cell.log, "commit.tried"; "pool" => &leader.pool,
                    "error" => %error);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Jobs that a commit accepts.
fn submitted(commit: &Commit) -> Vec<id::JobId> {
    let changes = commit.changes.iter();
    changes
        .filter_map(|change| match change {
            RowChange::Accept { job, .. } => Some(job.clone()),
            _ => None,
        })
        .collect()
}

/// Those jobs of which a row exists in the inbox or among the ends.
fn existing(pool: &str, jobs: &[id::JobId], rows: &[Row]) -> Vec<id::JobId> {
    let exists = |job: &&id::JobId| {
        let (inbox, ended) = (names::inbox(pool, job), names::ended(pool, job));
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
    // Rows of this system are plain structs, whose encoding does not fail.
    let value = serde_json::to_vec(row).unwrap_or_default();
    transaction.set.push((name, Value(value)));
}

fn changes(pool: &str, commit: &Commit) -> Transaction {
    let mut transaction = Transaction::default();
    for change in &commit.changes {
        match change {
            RowChange::Accept { job, record } => {
                let inbox = names::inbox(pool, job);
                transaction.expect.push((inbox.clone(), 0));
                transaction.expect.push((names::ended(pool, job), 0));
                push_row(&mut transaction, inbox, record.as_ref());
            }
            RowChange::Assign { job, row } => {
                push_row(&mut transaction, names::assign(pool, job), row);
            }
            RowChange::End { job, row } => {
                push_row(&mut transaction, names::ended(pool, job), row);
            }
            RowChange::RemoveRows { job } => {
                transaction.remove.push(names::inbox(pool, job));
                transaction.remove.push(names::cancel(pool, job));
                transaction.remove.push(names::assign(pool, job));
            }
        }
    }
    transaction
}

/// Gives up all pools at a planned stop, and tells the hosts that are to lead them.
pub(super) async fn release_all(cell: &Arc<Cell>) {
    let leaders = cell.all_leaders();
    for (_, leader) in &leaders {
        leader.releasing.store(true, Ordering::Relaxed);
        leader.wake.notify_one();
    }
    let all_over = async {
        while !leaders.iter().all(|(_, leader)| leader.is_over()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    // A store that does not answer must not hold up the stop.
    let _ = tokio::time::timeout(RELEASE, all_over).await;
    for (pool, leader) in leaders {
        let successors = cell.successors(&pool);
        tokio::spawn(async move {
            while !leader.is_over() {
                tokio::time::sleep(PAUSE).await;
            }
            for successor in successors.into_iter().take(2) {
                // A successor that does not answer sees it in the store.
                let told = tokio::time::timeout(PAUSE * 10, successor.released(pool.clone()));
                if matches!(told.await, Ok(Ok(()))) {
                    return;
                }
            }
        });
    }
}
