//! Follows the platform's list of workers and the pool's accepted jobs.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_users_platform::store::{FeedError, Row, WORKERS_TABLE};

use super::loading::{apply_worker_rows, decode_job};
use super::{Leader, PART_READ_TIMEOUT, STORE_RETRY_DELAY};
use crate::host::cell::{Cell, lock};
use crate::host::reads::ReadRows;
use crate::host::{events, feeds, names};

pub(super) async fn follow_workers(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
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
pub(super) async fn follow_inbox(cell: Arc<Cell>, leader: Arc<Leader>, from: u64) {
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
            Some(names::InboxKey::Job(job)) => match decode_job(value) {
                Ok(record) => leader.add_stored_job(cell, &job, Arc::new(record), row.version),
                Err(error) => {
                    slog::error!(cell.log, "job.row_malformed"; "job" => job.as_str(),
                            "error" => %error);
                }
            },
            None => {}
        }
    }
}
