//! Divides the services into pools, once for each service.
//!
//! Until a service is divided nobody leads it. The host that ranks first for it reads the platform's
//! list of workers until the list no longer grows, and writes the division under the condition that
//! there is none; the others take its place after a delay for each rank. A service that a host of an
//! earlier release has led stays one pool.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::collections::FastMap;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::division::Division;
use mangotrestle_core::workflow::message::WorkerEntry;
use mangotrestle_users_platform::registry;
use mangotrestle_users_platform::store::{Transaction, TransactionAnswer, Value, WORKERS_TABLE};
use mangotrestle_users_platform::transport::CallError;

use super::cell::Cell;
use super::names;

/// Interval between two reads of the list of workers. While a system starts, workers enter the list
/// for about one of their heartbeats.
const LIST_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of reads; a service without workers is one pool.
const MAX_LIST_READS: u32 = 6;
/// Timeout for each page of the list, and for the write of the division.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the host of the next rank divides a service that is not divided yet.
const RANK_DELAY: SpanMs = SpanMs(3_000);

/// Services that this host has seen without a division.
#[derive(Debug, Default)]
pub(super) struct Dividing {
    /// Time from which the host of the first rank has had its turn, by service.
    since: FastMap<String, TimeMs>,
}

impl Dividing {
    /// Begins to divide the services whose division is not known, when it is this host's turn.
    pub(super) fn divide_if_due(&mut self, cell: &Arc<Cell>) {
        let Some(catalog) = cell.catalog.load_full() else {
            return;
        };
        let now = cell.clock.now();
        for service in &catalog.pools {
            if cell.division(&service.name).is_some() {
                continue;
            }
            let since = *self.since.entry(service.name.clone()).or_insert(now);
            let delay = SpanMs(RANK_DELAY.0 * cell.rank(&service.name, None));
            if now.since(since) >= delay {
                // The next turn, if this one fails.
                self.since.insert(service.name.clone(), now + RANK_DELAY);
                let (cell, service) = (Arc::clone(cell), service.name.clone());
                tokio::spawn(async move { divide(&cell, &service).await });
            }
        }
    }
}

async fn divide(cell: &Arc<Cell>, service: &str) {
    if let Err(error) = try_divide(cell, service).await {
        slog::warn!(cell.log, "division.failed"; "service" => service, "error" => %error);
    }
}

async fn try_divide(cell: &Arc<Cell>, service: &str) -> Result<(), CallError> {
    let division = if was_led_whole(cell, service).await? {
        Division::whole()
    } else {
        Division::plan(&settled_list(cell, service).await?)
    };
    let Ok(value) = serde_json::to_vec(&division) else {
        return Ok(());
    };
    let row = names::division_row(service);
    let transaction = Transaction {
        expect: vec![(row.clone(), 0)],
        set: vec![(row, Value(value))],
        remove: Vec::new(),
    };
    // A conflict means that another host has divided the service; its row comes with the feed.
    if let TransactionAnswer::Done { .. } = cell.transact(&transaction, CALL_TIMEOUT).await? {
        cell.set_division(service, division);
    }
    Ok(())
}

/// Whether there is a leadership of the service as one pool.
async fn was_led_whole(cell: &Arc<Cell>, service: &str) -> Result<bool, CallError> {
    let rows = cell
        .read_part(names::CELL_TABLE, service, CALL_TIMEOUT)
        .await?;
    Ok(rows.rows.iter().any(|row| row.name.key == names::LEAD_KEY))
}

/// Returns the workers of a service once the list does not grow any more.
async fn settled_list(cell: &Arc<Cell>, service: &str) -> Result<Vec<WorkerEntry>, CallError> {
    let mut workers = list(cell, service).await?;
    for _ in 1..MAX_LIST_READS {
        tokio::time::sleep(LIST_INTERVAL).await;
        let before = workers.len();
        workers = list(cell, service).await?;
        if workers.len() <= before && !workers.is_empty() {
            break;
        }
    }
    Ok(workers)
}

async fn list(cell: &Arc<Cell>, service: &str) -> Result<Vec<WorkerEntry>, CallError> {
    let rows = cell.read_part(WORKERS_TABLE, "", CALL_TIMEOUT).await?;
    let entries = rows.rows.iter().filter_map(|row| {
        let value = row.value.as_ref()?;
        registry::decode(&row.name.key, &value.0)
    });
    Ok(entries.filter(|entry| entry.pool == service).collect())
}
