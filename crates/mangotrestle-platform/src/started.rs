//! Started records: a request that is not idempotent runs at most once.
//!
//! Before such a request is sent to a target, a record of its key is written on the condition that
//! there is none. An existing record means that the request may have run: the record holds its
//! answer if that was recorded; otherwise the outcome is "unknown". Without a record it did not
//! run.
//!
//! Records are kept for [`RECORD_RETENTION`]; a key that is used again later counts as a new
//! request, and callers are informed of the retention time.

use std::time::Duration;

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::time;

use crate::budget;
use crate::group_commit::{CommitError, GroupCommit};
use crate::schema;
use crate::table;
use crate::transaction_sink::TransactionSink;

/// Time for which a record is kept.
pub const RECORD_RETENTION: Duration = Duration::from_hours(24);
/// Maximum length of a caller's key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Maximum length of an answer's body that is recorded, in bytes; a resend of a request with a
/// longer answer gets "unknown".
pub const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Result of [`StartedRecords::begin`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The request was not started before: send it, then call [`StartedRecords::finish`].
    First(Started),
    /// The request was answered before; holds its answer.
    Earlier(schema::StartedAnswer),
    /// The request was started before, and its outcome is not known.
    Unknown,
}

/// A request whose record this entry host wrote.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Started {
    key: String,
    row: schema::StartedRow,
    version: table::Version,
}

/// Why a request was not started.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StartedError {
    /// the key has {length_bytes} bytes, 1 to 128 are allowed
    KeyLength {
        /// Length of the refused key, in bytes.
        length_bytes: usize,
    },
    /// not run: the record could not be written, retry after {retry_after_ms} ms
    NotRun {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// not run: {0}
    Table(table::TableError),
}

impl std::error::Error for StartedError {}

/// Retry delay reported when the buffer of waiting writes is full, the group commit has stopped, or
/// the outcome of the write is not known, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Started records in the table.
#[derive(Clone)]
pub struct StartedRecords {
    commit: GroupCommit<TransactionSink>,
}

impl StartedRecords {
    /// Creates started records that are written through a group commit.
    #[must_use]
    pub const fn new(commit: GroupCommit<TransactionSink>) -> Self {
        Self { commit }
    }

    /// Writes the started record of a request. The request may only be sent if this returns
    /// [`StartOutcome::First`].
    ///
    /// # Errors
    ///
    /// [`StartedError`] means that the request was not run by this call.
    pub async fn begin(
        &self,
        team: &id::TeamId,
        key: &str,
        wall_ms: time::WallTimeMs,
    ) -> Result<StartOutcome, StartedError> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(StartedError::KeyLength {
                length_bytes: key.len(),
            });
        }
        let key = schema::started_key(team, key);
        let row = schema::StartedRow {
            start: format!("{:032x}", rand::random::<u128>()),
            wall_ms,
            answer: None,
        };
        let transaction = table::Transaction::new()
            .absent(key.clone())
            .put_json(key.clone(), &row);
        let committed = self
            .commit
            .commit(transaction, budget::Priority::Urgent)
            .await;
        match committed {
            Ok(committed) => Ok(StartOutcome::First(Started {
                key,
                row,
                version: committed.version,
            })),
            Err(CommitError::Failed(error)) => outcome_after_failed_write(&key, error),
            Err(CommitError::Full | CommitError::Stopped) => Err(StartedError::NotRun {
                retry_after_ms: DEFAULT_RETRY_AFTER_MS,
            }),
        }
    }

    /// Records the whole answer, so that a resend gets it. Not to be called with a truncated
    /// answer.
    ///
    /// # Errors
    ///
    /// If the answer could not be recorded; the caller still gets its answer, and a resend gets
    /// "unknown".
    pub async fn finish(
        &self,
        started: Started,
        answer: schema::StartedAnswer,
    ) -> Result<(), CommitError<table::TableError>> {
        if answer.body.len() > MAX_ANSWER_BYTES {
            return Ok(());
        }
        let row = schema::StartedRow {
            answer: Some(answer),
            ..started.row
        };
        let transaction = table::Transaction::new()
            .at_version(started.key.clone(), started.version)
            .put_json(started.key, &row);
        self.commit
            .commit(transaction, budget::Priority::Normal)
            .await
            .map(drop)
    }

    /// Deletes the record of a request that certainly did not run, so that its key may be used
    /// again.
    ///
    /// # Errors
    ///
    /// If the record could not be deleted; the key then stays "unknown" until it expires.
    pub async fn withdraw(&self, started: Started) -> Result<(), CommitError<table::TableError>> {
        let transaction = table::Transaction::new()
            .at_version(started.key.clone(), started.version)
            .delete(started.key);
        self.commit
            .commit(transaction, budget::Priority::Normal)
            .await
            .map(drop)
    }
}

fn outcome_after_failed_write(
    key: &str,
    error: table::TableError,
) -> Result<StartOutcome, StartedError> {
    match error {
        table::TableError::Conflict { current, .. } => {
            let found = current.iter().find(|found| found.key == key);
            found.map_or(Ok(StartOutcome::Unknown), earlier_outcome)
        }
        table::TableError::Unavailable { retry_after_ms } => {
            Err(StartedError::NotRun { retry_after_ms })
        }
        // The request was not sent. If the write took effect all the same, its key stays
        // "unknown", so that the request cannot run twice.
        table::TableError::Unsettled(_) => Err(StartedError::NotRun {
            retry_after_ms: DEFAULT_RETRY_AFTER_MS,
        }),
        other => Err(StartedError::Table(other)),
    }
}

fn earlier_outcome(row: &table::Row) -> Result<StartOutcome, StartedError> {
    let row: schema::StartedRow = row.decode().map_err(StartedError::Table)?;
    Ok(row
        .answer
        .map_or(StartOutcome::Unknown, StartOutcome::Earlier))
}
