//! Has jobs accepted, finds their states and cancels them, in whichever pool they are: through the
//! pool's leader, or in the store if the leader does not answer.

use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mangotrestle_core::id;
use mangotrestle_core::workflow::record::{AssignmentRow, EndRow, JobState};
use mangotrestle_core::workflow::spec::{JobRecord, Share};
use mangotrestle_core::workflow::teams::identity;
use mangotrestle_peer::PeerError;
use mangotrestle_peer::cell::{
    Acceptance, CellClient, JobName, JobNames, JobStateAnswer, Submission, Submitted,
};
use mangotrestle_users_platform::store::{Rows, Transaction, TransactionAnswer, Value};

use super::cell::Cell;
use super::names;

/// Interval between attempts to reach a pool's leader while the store is slow.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Share of the time for accepting a job in which only the pool's leader is tried while the store
/// is slow.
const LEADER_TIME_SHARE: f64 = 0.6;
/// Timeout for a leader's answer about a job, after which the store is used instead. While a job
/// is submitted, a leader that still commits is waited for again.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a store call about a job.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// State of a job by its rows, and its team, if it has one.
type StoredState = (JobState, Option<Arc<str>>);

/// Maximum number of attempts to write a cancel request if the job's row changes meanwhile or the
/// outcome is unknown.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

/// Makes a job durable: through the pool's leader, whose commits carry many changes, or directly if
/// the leader does not answer.
pub(super) async fn accept(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    record: &Arc<JobRecord>,
    timeout: Duration,
) -> Acceptance {
    let began = Instant::now();
    let mut uncertain = false;
    while began.elapsed() < timeout {
        let leader_acceptance = accept_by_leader(cell, pool, job, record);
        match tokio::time::timeout(timeout.saturating_sub(began.elapsed()), leader_acceptance).await
        {
            Ok(Some(Acceptance::Unknown(_))) => uncertain = true,
            Ok(Some(Acceptance::NotLeading) | None) => {}
            Ok(Some(Acceptance::NotAccepted(reason))) if uncertain => {
                return Acceptance::Unknown(reason);
            }
            Ok(Some(acceptance)) => return acceptance,
            Err(_) => {
                uncertain = true;
                break;
            }
        }
        // A slow store must not get many small transactions while a new leader is taking over.
        let wait_for_leader = cell.store_is_slow() && !cell.store_is_unreachable();
        if !wait_for_leader || began.elapsed() > timeout.mul_f64(LEADER_TIME_SHARE) {
            break;
        }
        tokio::time::sleep(LEADER_RETRY_INTERVAL).await;
    }
    let remaining = timeout.saturating_sub(began.elapsed());
    let acceptor = cell.acceptor(pool);
    let direct_acceptance = acceptor.accept(job, record, remaining, uncertain);
    let acceptance = match tokio::time::timeout(remaining, direct_acceptance).await {
        Ok(acceptance) => acceptance,
        Err(_) => {
            Acceptance::Unknown("the store did not answer the transaction in time".to_owned())
        }
    };
    if let Acceptance::Accepted { version } = &acceptance {
        notify_leader_of_job(cell, pool, job, record, *version);
    }
    acceptance
}

/// Has the pool's leader make a job durable; `None` if no leader could be asked.
async fn accept_by_leader(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    record: &Arc<JobRecord>,
) -> Option<Acceptance> {
    if let Some(leader) = cell.leader(pool) {
        return Some(leader.accept(cell, job, Arc::clone(record)).await);
    }
    let row = cell.lead_row(pool)?;
    let peer = cell.responsive_peer(&row.holder)?;
    let submission = Submission {
        pool: pool.to_owned(),
        job: job.clone(),
        record: record.as_ref().clone(),
        configuration: cell.configuration_version(),
    };
    let mut answer = accept_by_peer(peer, submission.clone());
    let mut resent = false;
    loop {
        let answered = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, &mut answer).await;
        match answered {
            // What was sent over the first connection may still arrive.
            Ok(Ok(Acceptance::NotAccepted(reason))) if resent => {
                return Some(Acceptance::Unknown(reason));
            }
            Ok(Ok(Acceptance::NotLeading)) if resent => {
                let reason = "the leader answered neither connection".to_owned();
                return Some(Acceptance::Unknown(reason));
            }
            Ok(Ok(acceptance)) => return Some(acceptance),
            Ok(Err(error)) => {
                cell.record_peer_failure(&row.holder);
                return Some(Acceptance::Unknown(error.to_string()));
            }
            // If the leader is in time, it is the connection that passes nothing. A late leader must
            // not get the job a second time.
            Err(_) if !resent && cell.leader_is_in_time(pool) => {
                resent = true;
                if let Some(peer) = cell.renew_peer(&row.holder) {
                    answer = accept_by_peer(peer, submission.clone());
                }
            }
            // A leader that still commits is waited for, however slow the store is.
            Err(_) if cell.leader_is_committing(pool) => {}
            Err(_) => {
                cell.record_peer_failure(&row.holder);
                return Some(Acceptance::Unknown("the leader does not answer".to_owned()));
            }
        }
    }
}

/// Asks a peer that leads the pool to make a job durable.
fn accept_by_peer(
    peer: CellClient,
    submission: Submission,
) -> Pin<Box<dyn Future<Output = Result<Acceptance, PeerError>> + Send>> {
    Box::pin(async move { peer.accept(submission).await })
}

/// Notifies the pool's leader of an accepted job, so that it need not wait for the inbox feed.
fn notify_leader_of_job(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    record: &Arc<JobRecord>,
    version: u64,
) {
    if let Some(leader) = cell.leader(pool) {
        leader.add_stored_job(cell, job, Arc::clone(record), version);
        return;
    }
    let Some(row) = cell.lead_row(pool) else {
        return;
    };
    let Some(peer) = cell.peer(&row.holder) else {
        return;
    };
    let message = Submitted {
        pool: pool.to_owned(),
        job: job.clone(),
        record: record.as_ref().clone(),
        version,
        configuration: cell.configuration_version(),
    };
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        let notified = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.submitted(message)).await;
        if !matches!(notified, Ok(Ok(_))) {
            cell.record_peer_failure(&row.holder);
        }
    });
}

/// Returns the state of a job from the leader of its home pool or of the pool that runs it, or from
/// the store if they do not know it or do not answer; `None` if the store has no such job, or it is
/// another team's than `viewer`, the one that asks (unset if it may see all).
pub(super) async fn find_state(
    cell: &Arc<Cell>,
    home: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Result<Option<JobState>, String> {
    let found = match leader_answer(cell, home, job, viewer).await {
        Some(found) => found,
        None => stored_in_home(cell, home, job, viewer).await?,
    };
    match found {
        JobStateAnswer::State(state) => Ok(Some(state)),
        JobStateAnswer::HandedOver(pool) => state_elsewhere(cell, &pool, job).await.map(Some),
        JobStateAnswer::NotKnown | JobStateAnswer::NotLeading | JobStateAnswer::Hidden => Ok(None),
    }
}

/// Whether the leader of a job's home pool knows the job, and it is not another team's.
pub(super) async fn is_known_to_leader(
    cell: &Arc<Cell>,
    home: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> bool {
    let answer = leader_answer(cell, home, job, viewer).await;
    answer.is_some_and(|answer| answer != JobStateAnswer::Hidden)
}

/// Returns the state of a job that another pool than its home runs. Until that pool has accepted it, it
/// waits.
async fn state_elsewhere(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<JobState, String> {
    if let Some(JobStateAnswer::State(state)) = leader_answer(cell, pool, job, None).await {
        return Ok(state);
    }
    let stored = stored_state(cell, pool, job).await?;
    Ok(stored.unwrap_or(JobState::Queued))
}

/// Returns what a pool's leader knows of a job; `None` if it knows nothing or does not answer.
async fn leader_answer(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Option<JobStateAnswer> {
    let is_known = |answer: &JobStateAnswer| {
        !matches!(
            answer,
            JobStateAnswer::NotKnown | JobStateAnswer::NotLeading
        )
    };
    if let Some(leader) = cell.leader(pool)
        && let answer = leader.state(job, viewer)
        && is_known(&answer)
    {
        return Some(answer);
    }
    let row = cell.lead_row(pool)?;
    let peer = cell.peer(&row.holder)?;
    let name = JobName {
        pool: pool.to_owned(),
        job: job.clone(),
        viewer: viewer.map(str::to_owned),
    };
    if let Ok(Ok(answer)) = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.state(name)).await {
        return Some(answer).filter(is_known);
    }
    cell.record_peer_failure(&row.holder);
    None
}

/// Returns what the rows of a job's home pool say of it.
async fn stored_in_home(
    cell: &Arc<Cell>,
    home: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Result<JobStateAnswer, String> {
    let inbox = inbox_rows(cell, home, job).await?;
    let Some((state, team)) = stored_state_with(cell, home, job, &inbox).await? else {
        return Ok(JobStateAnswer::NotKnown);
    };
    if !identity::may_see(viewer, team.as_deref()) {
        return Ok(JobStateAnswer::Hidden);
    }
    let elsewhere = if state.is_final() {
        None
    } else {
        pool_elsewhere(home, job, &inbox)
    };
    Ok(elsewhere.map_or(JobStateAnswer::State(state), JobStateAnswer::HandedOver))
}

/// Returns the pool that runs the whole of a job in place of its home, by the home's rows.
fn pool_elsewhere(home: &str, job: &id::JobId, inbox: &Rows) -> Option<String> {
    let record = accepted_record(job, inbox)?;
    if record.share_of(home) != Share::Nothing {
        return None;
    }
    record.delegates_of(home).next().map(str::to_owned)
}

/// Returns the record of an accepted job from the rows of its inbox; `None` if there is none or it is
/// malformed.
fn accepted_record(job: &id::JobId, inbox: &Rows) -> Option<JobRecord> {
    let row = inbox.rows.iter().find(|row| row.name.key == job.as_str())?;
    serde_json::from_slice(&row.value.as_ref()?.0).ok()
}

/// Returns the state of a job from the rows of one pool. A job moves from the inbox to the ended
/// jobs, so the inbox is read first.
async fn stored_state(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<Option<JobState>, String> {
    let inbox = inbox_rows(cell, pool, job).await?;
    let stored = stored_state_with(cell, pool, job, &inbox).await?;
    Ok(stored.map(|(state, _)| state))
}

async fn inbox_rows(cell: &Arc<Cell>, pool: &str, job: &id::JobId) -> Result<Rows, String> {
    read_job_rows(cell, names::INBOX_TABLE, pool, job).await
}

async fn read_job_rows(
    cell: &Arc<Cell>,
    table: &str,
    pool: &str,
    job: &id::JobId,
) -> Result<Rows, String> {
    let end = names::job_rows_end(job);
    let rows = cell.read_range(table, pool, job.as_str(), &end, STORE_TIMEOUT);
    rows.await.map_err(|error| error.to_string())
}

async fn stored_state_with(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    inbox: &Rows,
) -> Result<Option<StoredState>, String> {
    let ended = read_job_rows(cell, names::ENDED_TABLE, pool, job).await?;
    if let Some(value) = ended.rows.first().and_then(|row| row.value.as_ref()) {
        let row: EndRow = serde_json::from_slice(&value.0).map_err(|error| error.to_string())?;
        return Ok(Some((row.state, row.team)));
    }
    let accepted = inbox.rows.iter().any(|row| row.name.key == job.as_str());
    if !accepted {
        return Ok(None);
    }
    let team = accepted_record(job, inbox).and_then(|record| record.team);
    let cancelled = inbox.rows.len() > 1;
    let state = if cancelled {
        JobState::Cancelled
    } else {
        stored_progress(cell, pool, job).await?
    };
    Ok(Some((state, team)))
}

/// Returns the state of an accepted job from its assignments in the store: running once a task has
/// started.
async fn stored_progress(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<JobState, String> {
    let assigned = read_job_rows(cell, names::ASSIGN_TABLE, pool, job).await?;
    let Some(value) = assigned.rows.first().and_then(|row| row.value.as_ref()) else {
        return Ok(JobState::Queued);
    };
    let row: AssignmentRow = serde_json::from_slice(&value.0).map_err(|error| error.to_string())?;
    Ok(if row.begun {
        JobState::Running
    } else {
        JobState::Queued
    })
}

/// Returns the states of jobs in a pool, from its leader, or from the store for those that the leader
/// does not know; `None` for each whose state could not be found out.
pub(super) async fn states_in(
    cell: &Arc<Cell>,
    pool: &str,
    jobs: Vec<id::JobId>,
) -> Vec<(id::JobId, Option<JobState>)> {
    let Some(known) = leader_states(cell, pool, &jobs).await else {
        // Without a leader the states hardly change.
        return jobs.into_iter().map(|job| (job, None)).collect();
    };
    let mut states = Vec::with_capacity(jobs.len());
    for (job, state) in jobs.into_iter().zip(known) {
        let state = match state {
            Some(state) => Some(state),
            // An unreadable state is asked for again later.
            None => stored_state(cell, pool, &job).await.unwrap_or_default(),
        };
        states.push((job, state));
    }
    states
}

async fn leader_states(
    cell: &Arc<Cell>,
    pool: &str,
    jobs: &[id::JobId],
) -> Option<Vec<Option<JobState>>> {
    if let Some(leader) = cell.leader(pool) {
        return Some(leader.states(jobs));
    }
    let row = cell.lead_row(pool)?;
    let peer = cell.responsive_peer(&row.holder)?;
    let names = JobNames {
        pool: pool.to_owned(),
        jobs: jobs.to_vec(),
    };
    if let Ok(Ok(states)) = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.states(names)).await {
        return states;
    }
    cell.record_peer_failure(&row.holder);
    None
}

/// Makes the cancellation of a job durable in a pool. Returns its state then, `None` if the pool has
/// no such job, or it is another team's than `viewer`, the one that asks (unset if it may see all).
pub(super) async fn cancel(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Result<Option<JobState>, String> {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let inbox = inbox_rows(cell, pool, job).await?;
        let accepted = inbox.rows.iter().find(|row| row.name.key == job.as_str());
        let Some(accepted) = accepted else {
            let stored = stored_state_with(cell, pool, job, &inbox).await?;
            let visible = stored.filter(|(_, team)| identity::may_see(viewer, team.as_deref()));
            return Ok(visible.map(|(state, _)| state));
        };
        let team = accepted_record(job, &inbox).and_then(|record| record.team);
        if !identity::may_see(viewer, team.as_deref()) {
            return Ok(None);
        }
        let transaction = Transaction {
            expect: vec![(names::inbox_row(pool, job), accepted.version)],
            set: vec![(names::cancel_row(pool, job), Value(b"{}".to_vec()))],
            remove: Vec::new(),
        };
        match cell.transact(&transaction, STORE_TIMEOUT).await {
            Ok(TransactionAnswer::Done { .. }) => {
                notify_leader_of_cancel(cell, pool, job);
                return Ok(Some(JobState::Cancelled));
            }
            Ok(TransactionAnswer::Conflict(_)) => {}
            // The outcome is unknown; writing the cancel request again does no harm.
            Err(error) if !error.had_no_effect() => {}
            Err(error) => return Err(error.to_string()),
        }
    }
    Err("the cancel request could not be written to the store".to_owned())
}

fn notify_leader_of_cancel(cell: &Arc<Cell>, pool: &str, job: &id::JobId) {
    if let Some(leader) = cell.leader(pool) {
        leader.cancel_job(cell, job);
        return;
    }
    let Some(row) = cell.lead_row(pool) else {
        return;
    };
    let Some(peer) = cell.peer(&row.holder) else {
        return;
    };
    let name = JobName {
        pool: pool.to_owned(),
        job: job.clone(),
        viewer: None,
    };
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        let notified = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.cancelled(name)).await;
        if !matches!(notified, Ok(Ok(_))) {
            cell.record_peer_failure(&row.holder);
        }
    });
}
