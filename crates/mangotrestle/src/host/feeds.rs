//! Follows the operator's configuration and the rows of hosts and leaderships.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mangotrestle_core::id;
use mangotrestle_core::workflow::leadership::{LeadRow, PoolSummary, WorkerShape};
use mangotrestle_users_platform::operator;
use mangotrestle_users_platform::store::{
    FeedError, OPERATOR_TABLE, Row, RowName, Rows, Transaction, TransactionAnswer, Value,
};

use super::cell::{Cell, HostRow};
use super::dividing::Dividing;
use super::homes::{self, HomeKeeper};
use super::leader;
use super::load::Work;
use super::names;
use super::reads::{DEFAULT_RESEND_DELAY, ReadRows};

/// Interval between reads of the feed of hosts and leaderships.
const CELL_FEED_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time for which the store may hold back the feed of hosts and leaderships.
const MAX_CELL_FEED_WAIT: Duration = Duration::from_millis(400);
/// Rank among a pool's candidates from which a host does not ask its leader while the store is silent.
const MAX_PROBING_RANK: u64 = 3;
/// Delay after a failed store call.
const FEED_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Timeout for a read of rows, per page, and for the write of this host's row.
const ROW_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time between two successful reads of the feed of hosts and leaderships. After a longer
/// gap the timeouts of all leaders restart, since this host could not observe their commits.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(1);

/// Follows a feed that the host cannot do without, anew if that fails.
pub(super) fn supervise<F>(cell: &Arc<Cell>, name: &'static str, follow: fn(Arc<Cell>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        loop {
            let feed = follow(Arc::clone(&cell));
            let measuring = Arc::clone(&cell);
            let task = tokio::spawn(async move { measuring.load.measure(Work::Feed, feed).await });
            match task.await {
                Ok(()) => return,
                Err(error) => {
                    slog::error!(cell.log, "feed.failed"; "feed" => name, "error" => %error);
                    tokio::time::sleep(FEED_RETRY_DELAY).await;
                }
            }
        }
    });
}

/// Follows the operator's configuration until the process ends.
pub(super) async fn follow_configuration(cell: Arc<Cell>) {
    let timing = cell.configuration_timing();
    let resend_delay = timing.resend_delay.as_duration();
    let mut version = None;
    let mut is_outdated = false;
    loop {
        let wait = if is_outdated || !cell.configuration_is_current() {
            Duration::ZERO
        } else {
            timing.wait.as_duration()
        };
        let read = async {
            match version {
                None => read_whole_part(&cell, OPERATOR_TABLE, ROW_CALL_TIMEOUT).await,
                Some(after) => {
                    cell.read_changes(OPERATOR_TABLE, after, wait, resend_delay)
                        .await
                }
            }
        };
        let result = tokio::select! {
            result = read => result,
            // A read that a peer is ahead of may be held up.
            () = cell.newer_configuration.notified() => {
                is_outdated = true;
                continue;
            }
        };
        is_outdated = false;
        match result {
            Ok(ReadRows { rows, as_of }) => {
                version = Some(rows.version.max(version.unwrap_or_default()));
                for row in rows.rows.iter().filter(|row| row.name.part.is_empty()) {
                    apply_operator_row(&cell, row);
                }
                cell.confirm_configuration(as_of);
            }
            Err(FeedError::HistoryLost) => {
                slog::info!(cell.log, "configuration.history_lost"; "after" => ?version);
                version = None;
            }
            Err(FeedError::Call(error)) => {
                slog::debug!(cell.log, "configuration.not_read"; "error" => %error);
                tokio::time::sleep(FEED_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the empty part of a table.
pub(super) async fn read_whole_part(
    cell: &Arc<Cell>,
    table: &str,
    page_timeout: Duration,
) -> Result<ReadRows, FeedError> {
    let as_of = cell.clock.now();
    let rows = cell.read_part(table, "", page_timeout).await;
    rows.map(|rows| ReadRows { rows, as_of })
        .map_err(FeedError::Call)
}

fn apply_operator_row(cell: &Cell, row: &Row) {
    if row.name.key != operator::CONFIGURATION_KEY {
        slog::info!(cell.log, "operator.row_ignored"; "key" => &row.name.key,
            "row_version" => row.version);
        return;
    }
    let Some(value) = &row.value else {
        slog::warn!(cell.log, "configuration.removed"; "row_version" => row.version);
        return;
    };
    let catalog = match operator::decode_configuration(&value.0) {
        Ok(catalog) => catalog,
        Err(error) => {
            slog::warn!(cell.log, "configuration.malformed"; "error" => %error,
                "row_version" => row.version);
            return;
        }
    };
    let current = cell.catalog.load().as_ref().map(|current| current.version);
    if current.is_some_and(|current| current >= catalog.version) {
        return;
    }
    slog::info!(cell.log, "configuration.in_force"; "version" => catalog.version,
        "before" => ?current, "queues" => catalog.queues.len());
    cell.catalog.store(Some(Arc::new(catalog)));
}

/// Follows hosts and leaderships until the process ends; claims pools that have no leader.
pub(super) async fn follow_cell(cell: Arc<Cell>) {
    let mut version = None;
    let mut answered_at = Instant::now();
    let mut registered = false;
    let mut dividing = Dividing::default();
    let mut home_keeper = HomeKeeper::default();
    loop {
        let began = Instant::now();
        if !registered {
            registered = register(&cell).await;
        }
        let result = match version {
            None => read_cell(&cell).await.map_err(FeedError::Call),
            Some(after) => {
                let wait = MAX_CELL_FEED_WAIT;
                let changes =
                    cell.read_changes(names::CELL_TABLE, after, wait, DEFAULT_RESEND_DELAY);
                changes.await.map(|changes| changes.rows)
            }
        };
        match result {
            Ok(rows) => {
                let after_gap = answered_at.elapsed() > MAX_OBSERVATION_GAP;
                answered_at = Instant::now();
                version = Some(rows.version.max(version.unwrap_or_default()));
                apply_cell_rows(&cell, &rows, after_gap);
                dividing.divide_if_due(&cell);
                home_keeper.write_if_due(&cell);
                claim_due_pools(&cell);
            }
            Err(FeedError::HistoryLost) => version = None,
            Err(FeedError::Call(error)) => {
                slog::debug!(cell.log, "cell.not_read"; "error" => %error);
                probe_leaders_of_silent_store(&cell);
                tokio::time::sleep(FEED_RETRY_DELAY).await;
            }
        }
        tokio::time::sleep(CELL_FEED_INTERVAL.saturating_sub(began.elapsed())).await;
    }
}

/// Writes this host's row; returns whether it is durable.
async fn register(cell: &Arc<Cell>) -> bool {
    let key = format!("{}{}", names::HOST_PREFIX, cell.settings.host);
    let Ok(row) = serde_json::to_vec(&cell.own_row()) else {
        return false;
    };
    let transaction = Transaction {
        set: vec![(RowName::new(names::CELL_TABLE, "", &key), Value(row))],
        ..Transaction::default()
    };
    match cell.transact(&transaction, ROW_CALL_TIMEOUT).await {
        Ok(TransactionAnswer::Done { version }) => {
            cell.record_registration(version);
            true
        }
        _ => false,
    }
}

/// Reads all rows of hosts and leaderships; the result has the version of the first read.
async fn read_cell(
    cell: &Arc<Cell>,
) -> Result<Rows, mangotrestle_users_platform::transport::CallError> {
    let mut all = cell
        .read_part(names::CELL_TABLE, "", ROW_CALL_TIMEOUT)
        .await?;
    for row in &all.rows {
        apply_division_row(cell, row);
    }
    for pool in cell.known_pools() {
        let rows = cell
            .read_part(names::CELL_TABLE, &pool, ROW_CALL_TIMEOUT)
            .await?;
        all.rows.extend(rows.rows);
    }
    Ok(all)
}

fn apply_cell_rows(cell: &Cell, rows: &Rows, after_gap: bool) {
    let now = cell.clock.now();
    for row in &rows.rows {
        if row.name.part.is_empty() {
            apply_host_row(cell, row);
            apply_division_row(cell, row);
            homes::apply_row(cell, row);
        } else if row.name.key == names::LEAD_KEY {
            apply_lead_row(cell, row);
        } else if row.name.key == names::SUMMARY_KEY {
            apply_summary_row(cell, row);
        } else if row.name.key == names::SHAPES_KEY {
            apply_shapes_row(cell, row);
        }
    }
    if rows.truncated {
        // A commit may be among the changes that are not read yet.
        return;
    }
    for pool in cell.known_pools() {
        cell.with_pool(&pool, |view| {
            if after_gap {
                view.watch.restart_timeout(now);
                view.claim_turn.restart();
            } else {
                view.watch.observe_unchanged(now);
            }
        });
    }
}

fn apply_host_row(cell: &Cell, row: &Row) {
    let name = row.name.key.strip_prefix(names::HOST_PREFIX);
    let Some(host) = name.and_then(|name| id::EntryHostId::new(name).ok()) else {
        return;
    };
    match &row.value {
        None => cell.update_peer(&host, None, row.version),
        Some(value) => match serde_json::from_slice::<HostRow>(&value.0) {
            Ok(host_row) => cell.update_peer(&host, Some(host_row), row.version),
            Err(error) => {
                slog::warn!(cell.log, "peer.malformed"; "peer" => host.as_str(),
                    "error" => %error);
            }
        },
    }
}

fn apply_division_row(cell: &Cell, row: &Row) {
    let Some(service) = row.name.key.strip_prefix(names::DIVISION_PREFIX) else {
        return;
    };
    let Some(value) = &row.value else {
        return;
    };
    match serde_json::from_slice(&value.0) {
        Ok(division) => cell.set_division(service, division),
        Err(error) => {
            slog::error!(cell.log, "division.malformed"; "service" => service, "error" => %error);
        }
    }
}

fn apply_lead_row(cell: &Cell, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    let lead: LeadRow = match serde_json::from_slice(&value.0) {
        Ok(lead) => lead,
        Err(error) => {
            slog::warn!(cell.log, "leadership.malformed"; "pool" => &row.name.part,
                "error" => %error);
            let now = cell.clock.now();
            cell.with_pool(&row.name.part, |view| {
                view.watch.observe_unreadable(now, row.version);
            });
            return;
        }
    };
    let now = cell.clock.now();
    let previous = cell.lead_row(&row.name.part);
    if previous.is_none_or(|previous| previous.term < lead.term) {
        slog::info!(cell.log, "leadership.seen"; "pool" => &row.name.part, "term" => lead.term,
            "holder" => lead.holder.as_str());
    }
    cell.with_pool(&row.name.part, |view| {
        view.observe_lead(now, lead, row.version);
    });
}

fn apply_summary_row(cell: &Cell, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    match serde_json::from_slice::<PoolSummary>(&value.0) {
        Ok(mut summary) => cell.with_pool(&row.name.part, |view| {
            // A host of an earlier release writes the shapes into this row.
            if summary.shapes.is_empty() {
                summary.shapes.clone_from(&view.shapes);
            }
            view.summary = Some(Arc::new(summary));
        }),
        Err(error) => {
            slog::warn!(cell.log, "view.malformed"; "pool" => &row.name.part, "error" => %error);
        }
    }
}

fn apply_shapes_row(cell: &Cell, row: &Row) {
    let Some(value) = &row.value else {
        return;
    };
    match serde_json::from_slice::<Vec<WorkerShape>>(&value.0) {
        Ok(shapes) => cell.with_pool(&row.name.part, |view| {
            if let Some(summary) = &view.summary {
                let summary = PoolSummary {
                    shapes: shapes.clone(),
                    ..PoolSummary::clone(summary)
                };
                view.summary = Some(Arc::new(summary));
            }
            view.shapes = shapes;
        }),
        Err(error) => {
            slog::warn!(cell.log, "shapes.malformed"; "pool" => &row.name.part,
                "error" => %error);
        }
    }
}

/// Asks a leader that has not committed for a while whether it still leads.
fn probe_leader_if_needed(cell: &Arc<Cell>, pool: &str) {
    let slow = cell.store_is_slow();
    if cell.with_pool(pool, |view| view.watch.needs_liveness_check(slow)) {
        probe_leader(cell, pool);
    }
}

/// Asks the leaders of the pools that this host would lead next whether they still lead, while the store
/// does not answer: one that is gone as well is then replaced as soon as the store answers.
fn probe_leaders_of_silent_store(cell: &Arc<Cell>) {
    if !cell.store_is_silent() || cell.is_stopping() {
        return;
    }
    for pool in cell.pools() {
        if cell.rank(&pool, None) < MAX_PROBING_RANK {
            probe_leader(cell, &pool);
        }
    }
}

/// Asks a pool's leader whether it still leads, unless it is being asked.
fn probe_leader(cell: &Arc<Cell>, pool: &str) {
    let Some(row) = cell.lead_row(pool) else {
        return;
    };
    let Some(peer) = cell.peer(&row.holder) else {
        return;
    };
    let (is_running, timeout) = cell.with_pool(pool, |view| {
        let is_running = std::mem::replace(&mut view.probe_running, true);
        (is_running, view.watch.probe_timeout())
    });
    if is_running {
        return;
    }
    let (cell, pool) = (Arc::clone(cell), pool.to_owned());
    tokio::spawn(async move {
        let answered = tokio::time::timeout(timeout.as_duration(), peer.leads(pool.clone())).await;
        let leads = matches!(answered, Ok(Ok(true)));
        if !leads {
            slog::info!(cell.log, "leadership.unresponsive"; "pool" => &pool,
                "holder" => row.holder.as_str(), "term" => row.term);
        }
        let now = cell.clock.now();
        cell.with_pool(&pool, |view| {
            view.probe_running = false;
            let lead_term = view.watch.row().map(|lead| lead.term);
            if lead_term != Some(row.term) {
                return;
            }
            view.leader_unresponsive_at = (!leads).then_some(now);
            if leads {
                view.claim_turn.restart();
            }
        });
        if !leads && !cell.store_is_silent() {
            claim_due_pools(&cell);
        }
    });
}

/// Claims the pools whose leader is missing, has ended or does not answer, when it is this host's
/// turn.
fn claim_due_pools(cell: &Arc<Cell>) {
    if cell.is_stopping() {
        return;
    }
    for pool in cell.pools() {
        probe_leader_if_needed(cell, &pool);
        let (claim_stagger, slow) = (cell.claim_stagger(), cell.store_is_slow());
        let ended = cell.leader_has_ended(&pool);
        let replaceable = ended || cell.leader_is_unresponsive(&pool);
        let holder = cell.lead_row(&pool).map(|row| row.holder);
        let gone = holder.filter(|holder| replaceable && *holder != cell.settings.host);
        let rank = cell.turn_rank(&pool, gone.as_ref());
        let now = cell.clock.now();
        let due = cell.with_pool(&pool, |view| {
            let is_due = view.watch.is_claim_due(0, claim_stagger, replaceable, slow);
            view.claim_turn.update(now, is_due, rank, claim_stagger)
        });
        if due && cell.leader(&pool).is_none() {
            leader::begin_claim(cell, &pool);
        }
    }
}
