//! Stores the home services of queues, and finds the home pool of a job.
//!
//! The rows are read with the feed of the cell. The host that ranks first writes those of a new
//! configuration, many in one transaction; the others take its place after a delay for each rank. A
//! request for a queue without a row does not wait for that: its host writes the row itself. Nothing is
//! written for a queue that has its row.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::catalog::{PoolEntry, Queue};
use mangotrestle_core::workflow::queue_home::HomeRow;
use mangotrestle_users_platform::store::{Row, Transaction, TransactionAnswer, Value};
use mangotrestle_users_platform::transport::CallError;
use tokio::task::JoinHandle;

use super::cell::Cell;
use super::{events, names};

/// Maximum number of rows in one transaction; each takes a condition and a row.
const MAX_BATCH_ROWS: usize = 40;
/// Time after which the host of the next rank writes rows that are missing.
const RANK_DELAY: SpanMs = SpanMs(3_000);
/// Timeout for the write of rows for a new configuration.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time for which a caller waits for a row to be written.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of writes for which a caller waits; a row may be changed by others meanwhile.
const MAX_REQUEST_WRITES: u32 = 4;

/// Writes the rows of new configurations.
#[derive(Debug, Default)]
pub(super) struct HomeKeeper {
    /// Version of the last configuration all of whose queues had their rows.
    covered_version: u64,
    /// Since when queues have lacked their rows; unset if none does.
    lacking_since: Option<TimeMs>,
    /// Path prefix of the first queue in the last write.
    last_path_prefix: Option<String>,
    write: Option<JoinHandle<()>>,
}

impl HomeKeeper {
    /// Begins to write the rows that the queues of the configuration lack, when it is this host's turn.
    pub(super) fn write_if_due(&mut self, cell: &Arc<Cell>) {
        let Some(catalog) = cell.catalog.load_full() else {
            return;
        };
        // A job needs a division anyway, and the first writes of a system should not be held up.
        let is_divided = |service: &PoolEntry| cell.division(&service.name).is_some();
        if !catalog.pools.iter().all(is_divided) {
            return;
        }
        let is_writing = |write: &JoinHandle<()>| !write.is_finished();
        if catalog.version == self.covered_version || self.write.as_ref().is_some_and(is_writing) {
            return;
        }
        let lacks_row = |queue: &&Queue| {
            let row = cell.home_row(&queue.path_prefix);
            row.is_none_or(|(row, _)| !row.covers(queue))
        };
        let lacking = catalog.queues.iter().filter(lacks_row);
        let lacking: Vec<Queue> = lacking.take(MAX_BATCH_ROWS).cloned().collect();
        let Some(first) = lacking.first() else {
            self.covered_version = catalog.version;
            self.lacking_since = None;
            return;
        };
        let now = cell.clock.now();
        let since = *self.lacking_since.get_or_insert(now);
        let is_repeated = self.last_path_prefix.as_ref() == Some(&first.path_prefix);
        let turn = u64::from(is_repeated) + cell.rank(&first.pool, None);
        if now.since(since) >= SpanMs(RANK_DELAY.0 * turn) {
            self.lacking_since = Some(now);
            self.last_path_prefix = Some(first.path_prefix.clone());
            let cell = Arc::clone(cell);
            self.write = Some(tokio::spawn(async move {
                if let Err(error) = write_rows(&cell, &lacking, BATCH_TIMEOUT).await {
                    events::homes_not_written(&cell.log, lacking.len(), &error.to_string());
                }
            }));
        }
    }
}

/// Returns the home service of the jobs that a request may name, as far as it is known here. It never
/// changes, whether or not the row has the present name of the queue.
pub(super) fn known_home_service(cell: &Cell, queue: &Queue, host: &str) -> Option<String> {
    let (row, _) = cell.home_row(&queue.path_prefix)?;
    row.service_of(host).map(str::to_owned)
}

/// Returns the home service for a job that a request submits. A row that the queue lacks is written
/// first; `None` if that fails.
pub(super) async fn home_service(cell: &Arc<Cell>, queue: &Queue, host: &str) -> Option<String> {
    if let Some(service) = stored_home_service(cell, queue, host) {
        return Some(service);
    }
    if cell.store_is_silent() {
        return None;
    }
    let storing = store_home_service(cell, queue, host);
    let stored = tokio::time::timeout(REQUEST_TIMEOUT, storing).await;
    stored.ok().flatten()
}

/// Writes the row of a request's queue unless another request of this host has; returns its home service.
async fn store_home_service(cell: &Arc<Cell>, queue: &Queue, host: &str) -> Option<String> {
    for _ in 0..MAX_REQUEST_WRITES {
        // One request of this host writes, the others wait for its row.
        let _guard = cell.home_writing.lock().await;
        if let Some(service) = stored_home_service(cell, queue, host) {
            return Some(service);
        }
        let queues = std::slice::from_ref(queue);
        if let Err(error) = write_rows(cell, queues, REQUEST_TIMEOUT).await {
            events::homes_not_written(&cell.log, queues.len(), &error.to_string());
            return None;
        }
    }
    stored_home_service(cell, queue, host)
}

/// Returns the home service of a request's queue if its row is known here.
fn stored_home_service(cell: &Cell, queue: &Queue, host: &str) -> Option<String> {
    let (row, _) = cell.home_row(&queue.path_prefix)?;
    let covering = row.covers(queue).then_some(row)?;
    covering.service_of(host).map(str::to_owned)
}

/// Adds queues to their rows in one transaction. If a row was changed meanwhile, nothing is written, and
/// the rows as they are now are known afterwards.
async fn write_rows(
    cell: &Arc<Cell>,
    queues: &[Queue],
    timeout: Duration,
) -> Result<(), CallError> {
    let mut rows: Vec<(&str, HomeRow, u64)> = Vec::new();
    for queue in queues {
        let path_prefix = queue.path_prefix.as_str();
        let key = HomeRow::key(path_prefix);
        if let Some((_, row, _)) = rows.iter_mut().find(|(path, ..)| HomeRow::key(path) == key) {
            *row = row.with(queue);
            continue;
        }
        let known = cell.home_row(path_prefix);
        let (row, version) = known.map_or_else(Default::default, |(row, version)| {
            (HomeRow::clone(&row), version)
        });
        rows.push((path_prefix, row.with(queue), version));
    }
    let mut transaction = Transaction::default();
    for (path_prefix, row, version) in &rows {
        let Ok(value) = serde_json::to_vec(row) else {
            continue;
        };
        let name = names::home_row(path_prefix);
        transaction.expect.push((name.clone(), *version));
        transaction.set.push((name, Value(value)));
    }
    match cell.transact(&transaction, timeout).await? {
        TransactionAnswer::Done { version } => {
            for (path_prefix, row, _) in rows {
                events::home_known(&cell.log, &row, version);
                cell.observe_home(&HomeRow::key(path_prefix), row, version);
            }
        }
        TransactionAnswer::Conflict(found) => {
            for row in &found {
                apply_row(cell, row);
            }
        }
    }
    Ok(())
}

/// Takes a row as read from the store. A row that cannot be read leaves its queues without a home until
/// it is repaired, since jobs may have been accepted there.
pub(super) fn apply_row(cell: &Cell, row: &Row) {
    let Some(key) = row.name.key.strip_prefix(names::HOME_PREFIX) else {
        return;
    };
    let Some(value) = &row.value else {
        return;
    };
    match serde_json::from_slice(&value.0) {
        Ok(home) => cell.observe_home(key, home, row.version),
        Err(error) => {
            slog::error!(cell.log, "queue.home_malformed"; "key" => key, "error" => %error);
        }
    }
}
