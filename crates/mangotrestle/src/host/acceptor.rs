//! Makes submitted jobs durable, many in one transaction.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mangotrestle_core::id;
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_peer::cell::Acceptance;
use mangotrestle_users_platform::store::{Row, Transaction, TransactionAnswer, Value};
use tokio::sync::{mpsc, oneshot};

use super::cell::Cell;
use super::names;

/// Jobs in one transaction; each takes two conditions and one row.
const MOST_JOBS: usize = 30;
/// Jobs that wait for a transaction before more are refused.
const QUEUE_JOBS: usize = 512;
/// Pause before a try whose predecessor was refused.
const BUSY_PAUSE: Duration = Duration::from_millis(300);
/// Pause before a try whose predecessor failed.
const PAUSE: Duration = Duration::from_millis(60);

struct Submission {
    job: id::JobId,
    row: Vec<u8>,
    give_up_at: Instant,
    /// Whether an earlier try may have been carried out.
    uncertain: bool,
    answer: oneshot::Sender<Acceptance>,
}

/// Hands jobs of one pool over to be made durable.
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
    /// Starts accepting for a pool.
    pub(super) fn start(cell: Arc<Cell>, pool: &str) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_JOBS);
        tokio::spawn(run(cell, pool.to_owned(), receiver));
        Self { sender }
    }

    /// Makes a job durable, or says why it is not.
    pub(super) async fn accept(
        &self,
        job: &id::JobId,
        record: &JobRecord,
        within: Duration,
        uncertain: bool,
    ) -> Acceptance {
        let row = match serde_json::to_vec(record) {
            Ok(row) => row,
            Err(error) => return Acceptance::NotAccepted(error.to_string()),
        };
        let (answer, answered) = oneshot::channel();
        let submission = Submission {
            job: job.clone(),
            row,
            give_up_at: Instant::now() + within,
            uncertain,
            answer,
        };
        if self.sender.try_send(submission).is_err() {
            return Acceptance::NotAccepted("too many jobs wait for the store".to_owned());
        }
        match answered.await {
            Ok(acceptance) => acceptance,
            Err(_) => Acceptance::Unknown("the process is ending".to_owned()),
        }
    }
}

async fn run(cell: Arc<Cell>, pool: String, mut receiver: mpsc::Receiver<Submission>) {
    let mut batch: Vec<Submission> = Vec::new();
    loop {
        if batch.is_empty() {
            match receiver.recv().await {
                Some(submission) => batch.push(submission),
                None => return,
            }
        }
        while batch.len() < MOST_JOBS {
            match receiver.try_recv() {
                Ok(submission) => batch.push(submission),
                Err(_) => break,
            }
        }
        batch = try_batch(&cell, &pool, batch).await;
    }
}

/// One transaction for a batch; what is not settled comes back.
async fn try_batch(cell: &Arc<Cell>, pool: &str, batch: Vec<Submission>) -> Vec<Submission> {
    if cell.store_is_away() {
        let left = after_failure(batch, true, "no way to the store");
        if !left.is_empty() {
            tokio::time::sleep(PAUSE).await;
        }
        return left;
    }
    let transaction = transaction(pool, &batch);
    let result = cell.transact(&transaction, cell.try_time()).await;
    match result {
        Ok(TransactionAnswer::Done { version }) => {
            for submission in batch {
                settle(submission, Acceptance::Accepted { version });
            }
            Vec::new()
        }
        Ok(TransactionAnswer::Conflict(rows)) => settle_known(batch, &rows),
        Err(error) => {
            let certain = error.had_no_effect();
            let why = error.to_string();
            let left = after_failure(batch, certain, &why);
            if !left.is_empty() {
                // A part that refuses for load has a second of transactions before this one.
                let pause = if certain { BUSY_PAUSE } else { PAUSE };
                tokio::time::sleep(pause).await;
            }
            left
        }
    }
}

fn transaction(pool: &str, batch: &[Submission]) -> Transaction {
    let mut transaction = Transaction::default();
    for submission in batch {
        let inbox = names::inbox(pool, &submission.job);
        transaction.expect.push((inbox.clone(), 0));
        transaction
            .expect
            .push((names::ended(pool, &submission.job), 0));
        transaction.set.push((inbox, Value(submission.row.clone())));
    }
    transaction
}

/// Answers those whose rows exist; they were accepted before. The others are tried again.
fn settle_known(batch: Vec<Submission>, rows: &[Row]) -> Vec<Submission> {
    let mut left = Vec::new();
    for submission in batch {
        let exists = rows
            .iter()
            .any(|row| row.value.is_some() && row.name.key == submission.job.as_str());
        if exists {
            settle(submission, Acceptance::Known);
        } else {
            left.push(submission);
        }
    }
    left
}

fn after_failure(batch: Vec<Submission>, certain: bool, why: &str) -> Vec<Submission> {
    let now = Instant::now();
    let mut left = Vec::new();
    for mut submission in batch {
        submission.uncertain |= !certain;
        if !submission.uncertain {
            settle(submission, Acceptance::NotAccepted(why.to_owned()));
        } else if now >= submission.give_up_at {
            settle(submission, Acceptance::Unknown(why.to_owned()));
        } else {
            left.push(submission);
        }
    }
    left
}

/// Answers; a caller that has gone needs none.
fn settle(submission: Submission, acceptance: Acceptance) {
    let _ = submission.answer.send(acceptance);
}
