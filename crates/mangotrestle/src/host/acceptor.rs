//! Writes submitted jobs to the store directly, many in one transaction; used if the pool's leader
//! does not answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mangotrestle_core::id;
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_core::workflow::teams::identity;
use mangotrestle_peer::cell::Acceptance;
use mangotrestle_users_platform::store::{Row, Transaction, TransactionAnswer, Value};
use tokio::sync::{mpsc, oneshot};

use super::cell::Cell;
use super::{leader, names};

/// Maximum number of jobs in one transaction; each takes two conditions and one row.
const MAX_BATCH_JOBS: usize = 30;
/// Size of the rows in one transaction from which no more are added; the store takes at most 1 MB, in
/// base64.
const MAX_BATCH_BYTES: usize = 400_000;
/// Maximum number of jobs that wait for a transaction; more are refused.
const MAX_QUEUED_JOBS: usize = 512;
/// Interval between checks whether the store has become silent while a batch is written.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a batch that the store refused is written again.
const REFUSED_BATCH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay before a batch is written again after a failure other than a refusal.
const FAILED_BATCH_RETRY_DELAY: Duration = Duration::from_millis(60);

struct Submission {
    job: id::JobId,
    row: Vec<u8>,
    team: Option<Arc<str>>,
    expires_at: Instant,
    /// Whether an earlier attempt may have been applied.
    uncertain: bool,
    answer: oneshot::Sender<Acceptance>,
}

/// Queues jobs of one pool to be written to the store.
#[derive(Clone, Debug)]
pub(super) struct Acceptor {
    sender: mpsc::Sender<Submission>,
}

impl std::fmt::Debug for Submission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Submission")
            .field("job", &self.job)
            .finish_non_exhaustive()
    }
}

impl Acceptor {
    /// Starts the task that writes a pool's jobs.
    pub(super) fn start(cell: Arc<Cell>, pool: &str) -> Self {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_JOBS);
        tokio::spawn(run(cell, pool.to_owned(), receiver));
        Self { sender }
    }

    /// Makes a job durable. `uncertain` says that an earlier attempt to accept the job may have had
    /// an effect; the job is then never reported as certainly not accepted.
    pub(super) async fn accept(
        &self,
        job: &id::JobId,
        record: &JobRecord,
        timeout: Duration,
        uncertain: bool,
    ) -> Acceptance {
        let row = match serde_json::to_vec(record) {
            Ok(row) => row,
            Err(error) => return refusal(uncertain, error.to_string()),
        };
        let (answer, answered) = oneshot::channel();
        let submission = Submission {
            job: job.clone(),
            row,
            team: record.team.clone(),
            expires_at: Instant::now() + timeout,
            uncertain,
            answer,
        };
        if self.sender.try_send(submission).is_err() {
            return refusal(uncertain, "too many jobs wait for the store".to_owned());
        }
        match answered.await {
            Ok(acceptance) => acceptance,
            Err(_) => Acceptance::Unknown("the process is ending".to_owned()),
        }
    }
}

async fn run(cell: Arc<Cell>, pool: String, mut receiver: mpsc::Receiver<Submission>) {
    let mut batch: Vec<Submission> = Vec::new();
    // Jobs that earlier attempts may have accepted, and that wait for the next batch.
    let mut queued: Vec<Submission> = Vec::new();
    loop {
        while has_room(&batch) && !queued.is_empty() {
            batch.push(queued.remove(0));
        }
        if batch.is_empty() {
            match receiver.recv().await {
                Some(submission) => batch.push(submission),
                None => return,
            }
        }
        while has_room(&batch) {
            match receiver.try_recv() {
                Ok(submission) => batch.push(submission),
                Err(_) => break,
            }
        }
        // A batch that the store does not answer must not hold up the refusal of later jobs.
        let mut written = std::pin::pin!(write_batch(&cell, &pool, batch));
        batch = loop {
            match tokio::time::timeout(SILENCE_CHECK_INTERVAL, &mut written).await {
                Ok(unsettled) => break unsettled,
                Err(_) if cell.store_is_silent() => refuse_queued(&mut receiver, &mut queued),
                Err(_) => {}
            }
        };
    }
}

/// Whether a batch may have one more job.
fn has_room(batch: &[Submission]) -> bool {
    let bytes: usize = batch.iter().map(|submission| submission.row.len()).sum();
    batch.len() < MAX_BATCH_JOBS && bytes < MAX_BATCH_BYTES
}

/// Refuses the jobs that no attempt can have accepted; the others are added to `queued`.
fn refuse_queued(receiver: &mut mpsc::Receiver<Submission>, queued: &mut Vec<Submission>) {
    while let Ok(submission) = receiver.try_recv() {
        if submission.uncertain {
            queued.push(submission);
        } else {
            let reason = "the store is unresponsive".to_owned();
            send_answer(submission, Acceptance::NotAccepted(reason));
        }
    }
}

/// Returns the answer for a job that is not written; an earlier attempt may have accepted it.
fn refusal(uncertain: bool, reason: String) -> Acceptance {
    if uncertain {
        Acceptance::Unknown(reason)
    } else {
        Acceptance::NotAccepted(reason)
    }
}

/// Writes a batch in one transaction. Returns the jobs whose outcome is still open.
async fn write_batch(cell: &Arc<Cell>, pool: &str, batch: Vec<Submission>) -> Vec<Submission> {
    if cell.store_is_silent() {
        let unsettled = answer_or_keep(batch, true, "the store is unreachable or unresponsive");
        if !unsettled.is_empty() {
            tokio::time::sleep(FAILED_BATCH_RETRY_DELAY).await;
        }
        return unsettled;
    }
    let transaction = transaction(pool, &batch);
    let result = cell
        .transact(&transaction, cell.transaction_timeout())
        .await;
    match result {
        Ok(TransactionAnswer::Done { version }) => {
            for submission in batch {
                send_answer(submission, Acceptance::Accepted { version });
            }
            Vec::new()
        }
        Ok(TransactionAnswer::Conflict(rows)) => answer_known(batch, &rows),
        Err(error) => {
            let had_no_effect = error.had_no_effect();
            let reason = error.to_string();
            let unsettled = answer_or_keep(batch, had_no_effect, &reason);
            if !unsettled.is_empty() {
                // A part of the store that refuses calls because of overload has one second of
                // transactions queued.
                let delay = if had_no_effect {
                    REFUSED_BATCH_RETRY_DELAY
                } else {
                    FAILED_BATCH_RETRY_DELAY
                };
                tokio::time::sleep(delay).await;
            }
            unsettled
        }
    }
}

fn transaction(pool: &str, batch: &[Submission]) -> Transaction {
    let mut transaction = Transaction::default();
    for submission in batch {
        let inbox = names::inbox_row(pool, &submission.job);
        transaction.expect.push((inbox.clone(), 0));
        transaction
            .expect
            .push((names::ended_row(pool, &submission.job), 0));
        transaction.set.push((inbox, Value(submission.row.clone())));
    }
    transaction
}

/// Answers the jobs whose rows exist, since they were accepted earlier. Returns the others, which
/// are tried again.
fn answer_known(batch: Vec<Submission>, rows: &[Row]) -> Vec<Submission> {
    let mut unsettled = Vec::new();
    for submission in batch {
        let existing = rows.iter().find_map(|row| {
            let value = row.value.as_ref()?;
            (row.name.key == submission.job.as_str()).then_some(value)
        });
        match existing.map(team_of_row) {
            Some(team) if identity::may_see(submission.team.as_deref(), team.as_deref()) => {
                send_answer(submission, Acceptance::Known);
            }
            Some(_) => {
                let reason = leader::IDENTIFIER_TAKEN.to_owned();
                send_answer(submission, Acceptance::NotAccepted(reason));
            }
            None => unsettled.push(submission),
        }
    }
    unsettled
}

/// Returns the team of a job from its row in the inbox or among the ended jobs.
fn team_of_row(value: &Value) -> Option<String> {
    #[derive(serde::Deserialize)]
    struct TeamOfRow {
        team: Option<String>,
    }
    let row: TeamOfRow = serde_json::from_slice(&value.0).ok()?;
    row.team
}

/// Answers the jobs that are certainly not accepted or have expired. Returns the others, which are
/// tried again.
fn answer_or_keep(batch: Vec<Submission>, had_no_effect: bool, reason: &str) -> Vec<Submission> {
    let now = Instant::now();
    let mut unsettled = Vec::new();
    for mut submission in batch {
        submission.uncertain |= !had_no_effect;
        if !submission.uncertain {
            send_answer(submission, Acceptance::NotAccepted(reason.to_owned()));
        } else if now >= submission.expires_at {
            send_answer(submission, Acceptance::Unknown(reason.to_owned()));
        } else {
            unsettled.push(submission);
        }
    }
    unsettled
}

/// Sends the answer; a caller that has disconnected needs none.
fn send_answer(submission: Submission, acceptance: Acceptance) {
    let _ = submission.answer.send(acceptance);
}
