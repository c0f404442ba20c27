//! Releases leadership, at a planned stop or because this host cannot lead a pool, and notifies the
//! hosts that should lead next.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mangotrestle_core::workflow::leadership::LeadRow;
use mangotrestle_users_platform::store::{Row, Transaction, TransactionAnswer};

use super::claiming::{is_written_by, observe_lead_rows};
use super::committing::{decode_lead, push_row};
use super::{Leader, STORE_RETRY_DELAY};
use crate::host::cell::Cell;
use crate::host::names;

/// Maximum number of attempts to release a row; without success the others wait for the leader's timeout.
const MAX_RELEASE_ATTEMPTS: u32 = 4;

/// Maximum time for which releasing leadership may delay a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Releases leadership of all pools at a planned stop, and notifies the hosts that should lead them
/// next.
pub(in crate::host) async fn release_all(cell: &Arc<Cell>) {
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
pub(super) async fn notify_successor(cell: Arc<Cell>, leader: Arc<Leader>) {
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

/// Leaves a pool to the other hosts, which claim it at once. `row` is the leadership row that this host
/// wrote last and `version` its version. Nothing of this host may write the row any more; a write that is
/// on its way has no effect once the row is released.
pub(super) async fn give_up(cell: &Arc<Cell>, pool: &str, row: LeadRow, version: u64) {
    cell.record_given_up(pool);
    let row = LeadRow {
        sequence: row.sequence + 1,
        released: true,
        ..row
    };
    let probe = names::lead_row(pool);
    // A commit that was on its way may have the same number, and does not release the row.
    let is_ours = |found: &Row| {
        let is_released = decode_lead(found).is_some_and(|lead| lead.released);
        is_written_by(found, &row) && is_released
    };
    let mut expected = version;
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let mut transaction = Transaction::default();
        transaction.expect.push((probe.clone(), expected));
        push_row(&mut transaction, probe.clone(), &row);
        let result = cell
            .transact_with_probe(&transaction, &probe, is_ours)
            .await;
        match result {
            Ok(TransactionAnswer::Done { version }) => {
                let now = cell.clock.now();
                cell.with_pool(pool, |view| view.observe_lead(now, row.clone(), version));
                return;
            }
            Ok(TransactionAnswer::Conflict(rows)) => {
                let own = rows.iter().find(|found| is_written_by(found, &row));
                let Some(own) = own else {
                    observe_lead_rows(cell, pool, &rows);
                    return;
                };
                if is_ours(own) {
                    return;
                }
                expected = own.version;
            }
            Err(error) => {
                slog::info!(cell.log, "leadership.not_released"; "pool" => pool,
                    "error" => %error);
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}
