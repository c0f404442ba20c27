//! Keeps the pool's shares of teams' caps in step with their rows in the store.
//!
//! Nothing is read or written while the configuration lists no teams.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::teams::shares::{ShareRow, ShareWrite};
use mangotrestle_users_platform::store::{FeedError, Row, Transaction, TransactionAnswer};

use super::committing::push_row;
use super::{Leader, PART_READ_TIMEOUT, STORE_RETRY_DELAY};
use crate::host::cell::{Cell, lock};
use crate::host::reads::DEFAULT_RESEND_DELAY;
use crate::host::{events, names};

/// Maximum number of rows in one write; each takes a condition and a row.
const MAX_ROWS: usize = 45;
/// Maximum time for which the store may hold back changes of the rows.
const MAX_FEED_WAIT: Duration = Duration::from_secs(2);
/// Interval between checks whether the configuration lists teams.
const TEAMS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of a leader's rounds that is about teams.
#[derive(Default)]
pub(super) struct ShareKeeper {
    /// Version of the configuration whose teams the pool has.
    configured_version: u64,
    write: Option<tokio::task::JoinHandle<()>>,
}

impl ShareKeeper {
    /// Passes a new configuration's teams to the pool, and begins a write of their rows if one is
    /// due.
    pub(super) fn step(&mut self, cell: &Arc<Cell>, leader: &Arc<Leader>, now: TimeMs) {
        let Some(catalog) = cell.catalog.load_full() else {
            return;
        };
        let had_teams = self.configured_version > 0;
        if catalog.teams.is_none() && !had_teams {
            return;
        }
        if catalog.version > self.configured_version {
            self.configured_version = catalog.version;
            let teams = catalog.teams.as_ref();
            let teams = teams.map_or(&[][..], |directory| directory.teams());
            lock(&leader.state).configure_teams(now, teams);
        }
        let is_writing = self
            .write
            .as_ref()
            .is_some_and(|write| !write.is_finished());
        if is_writing || cell.store_is_silent() {
            return;
        }
        let pools = u32::try_from(cell.pools().len()).unwrap_or(u32::MAX);
        let writes = lock(&leader.state).take_share_writes(now, pools, MAX_ROWS);
        if !writes.is_empty() {
            let write = write_shares(Arc::clone(cell), Arc::clone(leader), writes);
            self.write = Some(tokio::spawn(write));
        }
    }
}

async fn write_shares(cell: Arc<Cell>, leader: Arc<Leader>, writes: Vec<(Arc<str>, ShareWrite)>) {
    let mut transaction = Transaction::default();
    for (team, write) in &writes {
        let name = names::share_row(team);
        transaction
            .expect
            .push((name.clone(), write.expected_version));
        push_row(&mut transaction, name, &write.row);
    }
    let result = cell.transact(&transaction, WRITE_TIMEOUT).await;
    let now = cell.clock.now();
    match result {
        Ok(TransactionAnswer::Done { version }) => {
            let mut state = lock(&leader.state);
            for (team, write) in writes {
                events::share_written(&cell.log, &leader.pool, &team, &write.row);
                state.share_observed(now, &team, write.row, version);
            }
        }
        Ok(TransactionAnswer::Conflict(rows)) => apply_rows(&cell, &leader, &rows),
        // What the pool may use stays within what the row has before and after this write.
        Err(error) => {
            slog::info!(cell.log, "share.not_written"; "pool" => &leader.pool,
                "teams" => writes.len(), "error" => %error);
        }
    }
    leader.wake.notify_one();
}

/// Follows the rows of all teams until the leadership ends.
pub(super) async fn follow_shares(cell: Arc<Cell>, leader: Arc<Leader>) {
    let mut version = None;
    while !leader.has_ended() {
        let catalog = cell.catalog.load_full();
        if catalog.is_none_or(|catalog| catalog.teams.is_none()) {
            tokio::time::sleep(TEAMS_CHECK_INTERVAL).await;
            continue;
        }
        let result = match version {
            Some(after) => {
                let table = names::SHARES_TABLE;
                let changes = cell.read_changes(table, after, MAX_FEED_WAIT, DEFAULT_RESEND_DELAY);
                changes.await.map(|changes| changes.rows)
            }
            None => cell
                .read_part(names::SHARES_TABLE, "", PART_READ_TIMEOUT)
                .await
                .map_err(FeedError::Call),
        };
        match result {
            Ok(rows) => {
                version = Some(rows.version.max(version.unwrap_or_default()));
                apply_rows(&cell, &leader, &rows.rows);
                leader.wake.notify_one();
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(error)) => {
                slog::debug!(cell.log, "share.not_read"; "pool" => &leader.pool,
                    "error" => %error);
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Applies rows of teams, which are in the empty part. A malformed row is left out: what other pools hold by it is not known, so this
/// pool's share stays as it is.
fn apply_rows(cell: &Cell, leader: &Leader, rows: &[Row]) {
    let now = cell.clock.now();
    for row in rows.iter().filter(|row| row.name.part.is_empty()) {
        let value = row.value.as_ref();
        let decoded = value.map(|value| serde_json::from_slice::<ShareRow>(&value.0));
        let shares = match decoded.transpose() {
            Ok(shares) => shares.unwrap_or_default(),
            Err(error) => {
                slog::error!(cell.log, "share.malformed"; "team" => &row.name.key,
                    "row_version" => row.version, "error" => %error);
                continue;
            }
        };
        let team = Arc::from(row.name.key.as_str());
        let mut state = lock(&leader.state);
        state.share_observed(now, &team, shares, row.version);
    }
}
