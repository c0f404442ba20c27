//! Execution of operators' commands, each exactly once, with an audit log.
//!
//! A command's effect, its answer and its audit log entry are written in one transaction, on the
//! condition that the command has no answer yet. A command that is sent again, through any entry
//! host, therefore gets its first answer.

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::result_code;
use mangotrestle_core::time;

use crate::budget;
use crate::group_commit::{CommitError, GroupCommit};
use crate::schema;
use crate::table;
use crate::transaction_sink::TransactionSink;

/// A command with everything that is written when it is accepted.
#[derive(Clone, Debug)]
pub struct Command {
    /// Identifier; it stays the same when the command is sent again.
    pub id: id::CommandId,
    /// Writes of the command, with conditions on the state that it was based on.
    pub effect: table::Transaction,
    /// Answer that is recorded if it is accepted.
    pub answer: schema::CommandRow,
    /// Audit log entry that is written if it is accepted.
    pub audit: schema::AuditRow,
}

/// The final answer to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answered {
    /// The recorded answer.
    pub answer: schema::CommandRow,
    /// Whether the answer was recorded when the same command was sent earlier.
    pub earlier: bool,
    /// Current rows that the conditions of the command conflict with, if it was refused now.
    pub current: Vec<table::Row>,
}

/// Outcome of one attempt to execute a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The command has its final answer.
    Answered(Answered),
    /// Its conditions do not hold; holds the current rows that they conflict with.
    Conflict(Vec<table::Row>),
}

/// Error when a command has no final answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommandError {
    /// not run: the table is unavailable, retry after {retry_after_ms} ms
    NotRun {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// unknown: the command may have taken effect, send it again with its identifier
    Unknown,
    /// {0}
    Table(table::TableError),
}

impl std::error::Error for CommandError {}

/// Retry delay reported when the buffer of waiting writes is full or the group commit has stopped,
/// in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Executes commands and records their answers.
#[derive(Clone)]
pub struct CommandLog {
    table: table::TableClient,
    commit: GroupCommit<TransactionSink>,
}

impl CommandLog {
    /// Creates a log in a table, whose commands share the group commit with other writes.
    #[must_use]
    pub const fn new(table: table::TableClient, commit: GroupCommit<TransactionSink>) -> Self {
        Self { table, commit }
    }

    /// Executes a command, or returns its answer if it was sent earlier. A refusal is recorded as
    /// the command's answer, so that sending it again cannot have another outcome.
    ///
    /// # Errors
    ///
    /// [`CommandError`] if there is no final answer; the command may be sent again.
    pub async fn execute(&self, command: Command) -> Result<Answered, CommandError> {
        match self.attempt(&command).await? {
            Attempt::Answered(answered) => Ok(answered),
            Attempt::Conflict(current) => self.refuse(&command, current).await,
        }
    }

    /// Attempts to execute a command without recording a refusal, for callers that retry with a new
    /// command based on the current state.
    ///
    /// # Errors
    ///
    /// Those of [`execute`](Self::execute).
    pub async fn attempt(&self, command: &Command) -> Result<Attempt, CommandError> {
        match self.commit(accept_transaction(command)).await {
            Ok(_) => Ok(Attempt::Answered(Answered {
                answer: command.answer.clone(),
                earlier: false,
                current: Vec::new(),
            })),
            Err(table::TableError::Conflict { current, .. }) => {
                let earlier = earlier_answer(&command.id, &current)?;
                Ok(earlier.map_or(Attempt::Conflict(current), Attempt::Answered))
            }
            Err(error) => Err(command_error(error)),
        }
    }

    /// Reads the first answer to a command, if it has one.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn first_answer(
        &self,
        command: &id::CommandId,
    ) -> Result<Option<schema::CommandRow>, table::TableError> {
        let row = self.table.get(&schema::command_key(command)).await?;
        row.map(|row| row.decode()).transpose()
    }

    /// Reads audit log entries since a time, oldest first, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn audit_since(
        &self,
        since: time::WallTimeMs,
        limit: u32,
    ) -> Result<Vec<schema::AuditRow>, table::TableError> {
        let after = format!("{}{:012x}", schema::AUDIT_PREFIX, since.0);
        let page = self
            .table
            .scan(schema::AUDIT_PREFIX, Some(&after), limit)
            .await?;
        page.rows.iter().map(table::Row::decode).collect()
    }

    async fn refuse(
        &self,
        command: &Command,
        current: Vec<table::Row>,
    ) -> Result<Answered, CommandError> {
        let refusal = refusal_answer(command);
        let key = schema::command_key(&command.id);
        let write_refusal = table::Transaction::new()
            .absent(key.clone())
            .put_json(key, &refusal);
        match self.commit(write_refusal).await {
            Ok(_) => Ok(Answered {
                answer: refusal,
                earlier: false,
                current,
            }),
            Err(table::TableError::Conflict { current, .. }) => {
                earlier_answer(&command.id, &current)?.ok_or(CommandError::Unknown)
            }
            Err(error) => Err(command_error(error)),
        }
    }

    async fn commit(
        &self,
        transaction: table::Transaction,
    ) -> Result<table::Committed, table::TableError> {
        let committed = self
            .commit
            .commit(transaction, budget::Priority::Urgent)
            .await;
        committed.map_err(|error| match error {
            CommitError::Failed(error) => error,
            CommitError::Full | CommitError::Stopped => table::TableError::Unavailable {
                retry_after_ms: DEFAULT_RETRY_AFTER_MS,
            },
        })
    }
}

fn accept_transaction(command: &Command) -> table::Transaction {
    let key = schema::command_key(&command.id);
    let audit_key = schema::audit_key(command.audit.wall_ms, &command.id);
    command
        .effect
        .clone()
        .absent(key.clone())
        .put_json(key, &command.answer)
        .put_json(audit_key, &command.audit)
}

fn refusal_answer(command: &Command) -> schema::CommandRow {
    schema::CommandRow {
        code: result_code::ResultCode::RevisionConflict,
        message: "the state changed since the revision that the command was based on".to_owned(),
        revision: 0,
        wall_ms: command.answer.wall_ms,
    }
}

fn earlier_answer(
    command: &id::CommandId,
    current: &[table::Row],
) -> Result<Option<Answered>, CommandError> {
    let key = schema::command_key(command);
    let Some(row) = current.iter().find(|row| row.key == key) else {
        return Ok(None);
    };
    Ok(Some(Answered {
        answer: row.decode().map_err(CommandError::Table)?,
        earlier: true,
        current: Vec::new(),
    }))
}

fn command_error(error: table::TableError) -> CommandError {
    match error {
        table::TableError::Unavailable { retry_after_ms } => {
            CommandError::NotRun { retry_after_ms }
        }
        table::TableError::Unsettled(_) => CommandError::Unknown,
        other => CommandError::Table(other),
    }
}
