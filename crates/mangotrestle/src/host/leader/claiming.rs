//! Claims the leadership row of a pool, and keeps the claim while the pool is loaded.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use mangotrestle_core::workflow::leadership::{self, LeadRow, LoadTiming};
use mangotrestle_core::workflow::pool::Pool;
use mangotrestle_users_platform::store::{Row, Transaction, TransactionAnswer, Value};
use tokio::time::Instant;

use super::committing::{push_row, sequence_of};
use super::loading::{FeedVersions, load, new_leader};
use super::releasing::give_up;
use super::{PART_READ_TIMEOUT, STORE_RETRY_DELAY, supervising};
use crate::host::cell::{Cell, Claiming};
use crate::host::{events, names};

/// Maximum number of attempts to write a claim; only attempts with unknown outcome are repeated.
const MAX_CLAIM_ATTEMPTS: u32 = 3;
/// Starts a claim of a pool that seems to have no leader, unless one is in progress.
pub(in crate::host) fn begin_claim(cell: &Arc<Cell>, pool: &str) {
    let Some(claiming) = cell.mark_claiming(pool) else {
        return;
    };
    let cell = Arc::clone(cell);
    let pool = pool.to_owned();
    tokio::spawn(async move {
        watch_claim(
            &cell,
            &pool,
            claiming,
            claim(Arc::clone(&cell), pool.clone()),
        )
        .await;
    });
}

/// Runs a claim. If it ends by a panic, the row may be claimed with nobody to lead the pool, so the other
/// hosts go first.
pub(super) async fn watch_claim(
    cell: &Cell,
    pool: &str,
    claiming: Claiming,
    claim: impl Future<Output = ()> + Send + 'static,
) {
    if tokio::spawn(claim).await.is_err() {
        cell.record_given_up(pool);
        events::task_failed(&cell.log, "claim", pool);
    }
    drop(claiming);
}

/// Claims a pool whose leader reported that it released leadership.
pub(in crate::host) async fn claim_released(cell: &Arc<Cell>, pool: &str) {
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

pub(super) fn observe_lead_rows(cell: &Cell, pool: &str, rows: &[Row]) {
    let now = cell.clock.now();
    for row in rows {
        if row.name.key != names::LEAD_KEY {
            continue;
        }
        let value = row.value.as_ref();
        let lead = value.and_then(|value| serde_json::from_slice::<LeadRow>(&value.0).ok());
        if let Some(lead) = lead {
            cell.with_pool(pool, |view| view.observe_lead(now, lead, row.version));
        }
    }
}

async fn claim(cell: Arc<Cell>, pool: String) {
    let (cell, pool) = (&cell, pool.as_str());
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
    cell.with_pool(pool, |view| view.observe_lead(now, row.clone(), version));
    slog::info!(cell.log, "leadership.taken"; "pool" => pool, "term" => row.term,
        "version" => version);
    metrics::counter!("mangotrestle_leaderships_total").increment(1);
    let claim = Claim {
        row,
        version: AtomicU64::new(version),
        sequence: AtomicU64::new(0),
    };
    let loaded = tokio::select! {
        loaded = load_in_time(cell, pool, claim.row.term) => loaded,
        () = Box::pin(keep_claim(cell, pool, &claim)) => return,
    };
    let Some((state, feeds)) = loaded else {
        events::leadership_given_up(
            &cell.log,
            pool,
            claim.row.term,
            "load",
            "not loaded in time",
        );
        give_up(cell, pool, claim.last_row(), claim.version.into_inner()).await;
        return;
    };
    let leader = Arc::new(new_leader(cell, pool, &claim, state, &feeds));
    cell.add_leader(pool, Arc::clone(&leader));
    // A planned stop that began during the load has not seen this leader.
    if cell.is_stopping() {
        leader.releasing.store(true, Ordering::Relaxed);
    }
    supervising::lead(cell, leader, &feeds);
}

/// Loads a claimed pool; `None` if this host cannot, and another one should.
async fn load_in_time(cell: &Arc<Cell>, pool: &str, term: u64) -> Option<(Pool, FeedVersions)> {
    let began = Instant::now();
    let timing = cell.load_timing(pool);
    let mut retry_delay = STORE_RETRY_DELAY;
    loop {
        let pages = AtomicU64::new(0);
        let result = tokio::select! {
            result = load(cell, pool, term, &pages) => result,
            () = wait_for_limit(&timing, began, &pages) => return None,
        };
        match result {
            Ok(loaded) => {
                cell.with_pool(pool, |view| view.given_up_count = 0);
                return Some(loaded);
            }
            Err(error) => {
                slog::warn!(cell.log, "leadership.load_failed"; "pool" => pool,
                    "error" => %error);
            }
        }
        tokio::time::sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(leadership::MAX_COMMIT_INTERVAL.as_duration());
    }
}

/// Completes when a load has taken longer than is allowed for what it has read.
async fn wait_for_limit(timing: &LoadTiming, began: Instant, pages: &AtomicU64) {
    loop {
        let limit = timing.limit(pages.load(Ordering::Relaxed)).as_duration();
        let remaining = limit.saturating_sub(began.elapsed());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining).await;
    }
}

/// A claim that this host has written, while the pool is loaded.
pub(super) struct Claim {
    pub(super) row: LeadRow,
    /// Version of the leadership row as of the last write that is known to be durable.
    pub(super) version: AtomicU64,
    /// Number of the last write that was tried.
    pub(super) sequence: AtomicU64,
}

impl Claim {
    /// Returns the row as last written.
    fn last_row(&self) -> LeadRow {
        LeadRow {
            sequence: self.sequence.load(Ordering::Relaxed),
            ..self.row.clone()
        }
    }
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
pub(super) fn is_written_by(found: &Row, row: &LeadRow) -> bool {
    let value = found.value.as_ref();
    let lead = value.and_then(|value| serde_json::from_slice::<LeadRow>(&value.0).ok());
    lead.is_some_and(|lead| lead.incarnation == row.incarnation && lead.term == row.term)
}
