//! Builds the state of a claimed pool from its rows.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwap;
use displaydoc::Display;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_core::workflow::pool::{Pool, PoolSettings};
use mangotrestle_core::workflow::record::AssignmentRow;
use mangotrestle_core::workflow::spec::{InvalidJob, JobRecord};
use mangotrestle_users_platform::registry;
use mangotrestle_users_platform::store::{Row, Rows, Value, WORKERS_TABLE};
use mangotrestle_users_platform::transport::CallError;
use tokio::sync::Notify;

use super::claiming::Claim;
use super::{Leader, PART_READ_TIMEOUT};
use crate::host::cell::Cell;
use crate::host::names;

/// Maximum time for which a worker may hold back a report.
const MAX_HOLD_WAIT: SpanMs = SpanMs(1_500);
/// Minimum interval between two polls of a worker, in which ends of runs accumulate.
const MIN_POLL_INTERVAL: SpanMs = SpanMs(40);

/// Versions from which a leader follows the feeds of its tables.
pub(super) struct FeedVersions {
    pub(super) workers: u64,
    pub(super) inbox: u64,
}

/// Builds the state of a claimed pool; `pages` counts what was read of it.
pub(super) async fn load(
    cell: &Arc<Cell>,
    pool: &str,
    term: u64,
    pages: &AtomicU64,
) -> Result<(Pool, FeedVersions), CallError> {
    let began_at = cell.clock.now();
    let (inbox, assignments, learned, workers) = tokio::try_join!(
        cell.read_part_counted(names::INBOX_TABLE, pool, PART_READ_TIMEOUT, pages),
        cell.read_part_counted(names::ASSIGN_TABLE, pool, PART_READ_TIMEOUT, pages),
        cell.read_part_counted(names::LEARNED_TABLE, pool, PART_READ_TIMEOUT, pages),
        cell.read_part_counted(WORKERS_TABLE, "", PART_READ_TIMEOUT, pages),
    )?;
    let now = cell.clock.now();
    let mut state = Pool::new(
        now,
        pool_settings(cell, pool, term),
        cell.clock.epoch_offset_ms(),
    );
    state.worker_list_confirmed(began_at);
    apply_worker_rows(cell, pool, &mut state, now, &workers.rows);
    restore_learned(cell, &mut state, &learned);
    restore_jobs(cell, &mut state, now, &inbox, &assignments);
    let feeds = FeedVersions {
        workers: workers.version,
        inbox: inbox.version,
    };
    Ok((state, feeds))
}

pub(super) fn new_leader(
    cell: &Cell,
    pool: &str,
    claim: &Claim,
    state: Pool,
    feeds: &FeedVersions,
) -> Leader {
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
        stored_shapes: Mutex::default(),
    }
}

pub(super) fn pool_settings(cell: &Cell, pool: &str, term: u64) -> PoolSettings {
    let bounds = &cell.settings.bounds;
    PoolSettings {
        name: pool.to_owned(),
        term,
        max_lease: bounds.max_lease,
        max_hold_wait: MAX_HOLD_WAIT,
        min_poll_interval: MIN_POLL_INTERVAL,
        advice_hosts: cell.host_count(),
        job_end_retention: bounds.job_end_retention,
        max_target_overrun: bounds.max_target_overrun,
        pace_delay: bounds.pace_delay,
        max_stop_time: bounds.max_stop_time,
        max_list_age: FeedTiming::workers(bounds.drain_time).max_age,
        max_row_bytes: cell.settings.store_limits.row_bytes,
    }
}

/// Takes what the earlier leader learned; a malformed row costs accuracy only.
fn restore_learned(cell: &Cell, state: &mut Pool, rows: &Rows) {
    for value in rows.rows.iter().filter_map(|row| row.value.as_ref()) {
        match serde_json::from_slice(&value.0) {
            Ok(learned) => state.restore_learned(learned),
            Err(error) => slog::warn!(cell.log, "learned.malformed"; "error" => %error),
        }
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
            Some(names::InboxKey::Job(job)) => match decode_job(value) {
                Ok(record) => {
                    let assignment = assigned.get(job.as_str());
                    state.restore(now, &job, Arc::new(record), assignment);
                }
                Err(error) => {
                    slog::error!(cell.log, "job.row_malformed"; "job" => job.as_str(),
                            "error" => %error);
                }
            },
            None => {}
        }
    }
    for job in cancels {
        state.cancel(now, &job);
    }
}

/// Why a stored job cannot be used.
#[derive(Debug, Display)]
pub(super) enum JobRowError {
    /// its row cannot be decoded: {0}
    Malformed(serde_json::Error),
    /// {0}
    Invalid(InvalidJob),
}

/// Decodes a stored job. No host accepts an invalid one, so another writer has left it.
pub(super) fn decode_job(value: &Value) -> Result<JobRecord, JobRowError> {
    let record: JobRecord = serde_json::from_slice(&value.0).map_err(JobRowError::Malformed)?;
    record.validate().map_err(JobRowError::Invalid)?;
    Ok(record)
}

/// Applies entries of workers, which are in the empty part. A worker whose entry is removed, malformed
/// or names another pool gets no new work until it has a good one; its runs go on while it answers.
pub(super) fn apply_worker_rows(
    cell: &Cell,
    pool: &str,
    state: &mut Pool,
    now: TimeMs,
    rows: &[Row],
) {
    for row in rows.iter().filter(|row| row.name.part.is_empty()) {
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
