//! Makes a pool's changes durable in commits, each conditional on the leadership row that the one
//! before it left.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mangotrestle_core::id;
use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::leadership::{LeadRow, PoolSummary, WorkerShape};
use mangotrestle_core::workflow::pool::{Commit, Learned, Pool, RowChange};
use mangotrestle_users_platform::store::{Row, RowName, Transaction, TransactionAnswer, Value};
use mangotrestle_users_platform::transport::CallError;

use super::claiming::{is_written_by, observe_lead_rows};
use super::{Leader, STORE_RETRY_DELAY};
use crate::host::access::OVERLOAD_CODE;
use crate::host::cell::{Cell, lock};
use crate::host::load::Work;
use crate::host::{events, names};

/// Maximum number of changed rows in a commit, besides the rows of the leadership and the summary.
const MAX_COMMIT_ROWS: usize = 88;

/// Number of refusals of one commit after which it is reported, with its largest row.
const REPORTED_REFUSALS: u32 = 10;

/// What a commit holds besides the pool's changes.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitExtras {
    /// Whether it holds the summary for all hosts.
    pub(super) summary: bool,
    /// Whether it holds what was learned from finished runs.
    pub(super) learned: bool,
    /// Whether it releases leadership.
    pub(super) releasing: bool,
}

/// All that a commit writes.
#[derive(Clone, Copy)]
struct CommitContent<'a> {
    commit: &'a Commit,
    summary: Option<&'a PoolSummary>,
    learned: Option<&'a Learned>,
    releasing: bool,
}

/// Outcome of a commit.
pub(super) enum CommitOutcome {
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

/// Takes the pool's changes; the result makes them durable.
pub(super) fn begin_commit(
    cell: &Arc<Cell>,
    leader: &Arc<Leader>,
    now: TimeMs,
    with: CommitExtras,
) -> impl Future<Output = CommitOutcome> + Send + use<> {
    let (commit, summary, learned) = {
        let mut state = lock(&leader.state);
        let mut commit = state.take_commit(now, MAX_COMMIT_ROWS);
        leave_large_rows_out(cell, &mut state, now, &mut commit);
        let summary = with.summary.then(|| state.summary(now));
        if with.summary {
            events::ticket_load(&cell.log, &leader.pool, &state.ticket_load(now));
        }
        let learned = with.learned.then(|| state.learned());
        (commit, summary, learned)
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
    async move {
        let began = cell.clock.now();
        let rows = commit.changes.len();
        let content = CommitContent {
            commit: &commit,
            summary: summary.as_ref(),
            learned: learned.as_ref(),
            releasing: with.releasing,
        };
        let commit = commit_until_settled(&cell, &leader, &content);
        let result = cell.load.measure(Work::Commit, commit).await;
        let took = cell.clock.now().since(began);
        metrics::histogram!("mangotrestle_commit_seconds").record(took.as_duration().as_secs_f64());
        slog::debug!(cell.log, "commit.settled"; "pool" => &leader.pool, "rows" => rows,
            "took_ms" => took.0);
        leader.wake.notify_one();
        result
    }
}

/// Takes the rows out of a commit that are larger than the store allows: it would refuse the others too.
fn leave_large_rows_out(cell: &Cell, state: &mut Pool, now: TimeMs, commit: &mut Commit) {
    for id in state.jobs_with_large_rows(commit) {
        let row = commit.assignments().find(|(job, _)| **job == id);
        let bytes = row.map_or(0, |(_, row)| encode_row(row).len());
        metrics::histogram!("mangotrestle_large_row_bytes").record(bytes_for_metric(bytes));
        if bytes > cell.settings.store_limits.row_bytes {
            state.leave_row_out(now, commit, &id, bytes);
        }
    }
}

fn bytes_for_metric(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX))
}

/// Returns the leadership row of a leader's commit.
pub(super) fn lead_row(cell: &Cell, leader: &Leader, sequence: u64, released: bool) -> LeadRow {
    LeadRow {
        holder: cell.settings.host.clone(),
        address: cell.settings.peer.to_string(),
        incarnation: cell.incarnation,
        term: leader.term,
        sequence,
        released,
    }
}

/// Tries a commit until it is durable, certainly had no effect, or another host leads the pool.
async fn commit_until_settled(
    cell: &Arc<Cell>,
    leader: &Leader,
    content: &CommitContent<'_>,
) -> CommitOutcome {
    let CommitContent {
        commit,
        summary,
        learned,
        releasing,
    } = *content;
    let sequence = leader.sequence.load(Ordering::Relaxed) + 1;
    let row = lead_row(cell, leader, sequence, releasing);
    let mut transaction = build_transaction(&leader.pool, commit);
    push_row(&mut transaction, names::lead_row(&leader.pool), &row);
    let mut changed_shapes = None;
    if let Some(summary) = summary {
        let shapes = &summary.shapes;
        if *lock(&leader.stored_shapes) != *shapes {
            push_shapes(cell, &mut transaction, &leader.pool, shapes);
            changed_shapes = Some(shapes);
        }
        let summary = PoolSummary {
            shapes: Vec::new(),
            ..summary.clone()
        };
        push_row(&mut transaction, names::summary_row(&leader.pool), &summary);
    }
    if let Some(learned) = learned {
        let name = names::learned_row(&leader.pool);
        push_row_that_fits(cell, &mut transaction, &name, learned);
    }
    let submitted: Vec<id::JobId> = submitted_jobs(commit);
    let conditions = std::mem::take(&mut transaction.expect);
    let mut uncertain = false;
    let mut refusals = 0;
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
                refusals += u32::from(error.had_no_effect());
                if refusals == REPORTED_REFUSALS {
                    let largest = transaction
                        .set
                        .iter()
                        .max_by_key(|(_, value)| value.0.len());
                    events::commit_refused(&cell.log, &leader.pool, leader.term, &error, largest);
                }
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

pub(super) fn sequence_of(row: &Row) -> Option<u64> {
    decode_lead(row).map(|lead| lead.sequence)
}

pub(super) fn decode_lead(row: &Row) -> Option<LeadRow> {
    let value = row.value.as_ref()?;
    serde_json::from_slice(&value.0).ok()
}

pub(super) fn push_row<T: serde::Serialize>(transaction: &mut Transaction, name: RowName, row: &T) {
    transaction.set.push((name, Value(encode_row(row))));
}

fn encode_row<T: serde::Serialize>(row: &T) -> Vec<u8> {
    // Encoding cannot fail for the plain structs of which this system's rows consist.
    serde_json::to_vec(row).unwrap_or_default()
}

fn push_shapes(cell: &Cell, transaction: &mut Transaction, pool: &str, shapes: &[WorkerShape]) {
    let name = names::shapes_row(pool);
    if !push_row_that_fits(cell, transaction, &name, &shapes) {
        // Unknown shapes, so that no job is refused for earlier ones.
        push_row(transaction, name, &[(); 0]);
    }
}

/// Adds a row without which the leader can do, unless it is larger than the store allows: the store would
/// refuse every commit. Returns whether it was added.
fn push_row_that_fits<T: serde::Serialize>(
    cell: &Cell,
    transaction: &mut Transaction,
    name: &RowName,
    row: &T,
) -> bool {
    let value = encode_row(row);
    if value.len() > cell.settings.store_limits.row_bytes {
        slog::warn!(cell.log, "row.too_large"; "table" => &name.table, "pool" => &name.part,
            "key" => &name.key, "bytes" => value.len());
        return false;
    }
    transaction.set.push((name.clone(), Value(value)));
    true
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
