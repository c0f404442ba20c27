//! Commands of operators: the first effect, the first answer, and an audit log.
//!
//! A command's effect, its answer and its entry in the audit log are one transaction, on the
//! condition that the command has no answer yet. A command that is sent again, through whichever
//! entry host, therefore finds its first answer.

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::result_code;
use mangotrestle_core::time;

use crate::budget;
use crate::group_commit::{CommitError, GroupCommit};
use crate::schema;
use crate::table;
use crate::transaction_sink::TransactionSink;

/// A command with everything that is written about it.
#[derive(Clone, Debug)]
pub struct Command {
    /// Identifier, the same again when the command is resent.
    pub id: id::CommandId,
    /// What it changes. Its conditions say what it was based on.
    pub effect: table::Transaction,
    /// The answer if it is accepted.
    pub answer: schema::CommandRow,
    /// Entry of the audit log if it is accepted.
    pub audit: schema::AuditRow,
}

/// The final answer to a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answered {
    /// The answer.
    pub answer: schema::CommandRow,
    /// Whether an earlier sending of the command had the effect.
    pub earlier: bool,
    /// Rows that stood against the command, if it was refused for that now.
    pub current: Vec<table::Row>,
}

/// Outcome of one try of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The command has its answer.
    Answered(Answered),
    /// Its conditions do not hold; these are the rows that stand against it.
    Conflict(Vec<table::Row>),
}

/// Why a command has no final answer.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CommandError {
    /// not run: the table is unavailable, retry after {retry_after_ms} ms
    NotRun {
        /// When to try again.
        retry_after_ms: u64,
    },
    /// unknown: the command may have taken effect, send it again with its identifier
    Unknown,
    /// {0}
    Table(table::TableError),
}

impl std::error::Error for CommandError {}

/// Retry advice while the buffer of writes is full.
const RETRY_WHEN_FULL_MS: u64 = 1_000;

/// Executes commands.
#[derive(Clone)]
pub struct CommandLog {
    table: table::TableClient,
    commit: GroupCommit<TransactionSink>,
}

impl CommandLog {
    /// A log over this table, whose commands share the given group commit with other writes.
    #[must_use]
    pub const fn new(table: table::TableClient, commit: GroupCommit<TransactionSink>) -> Self {
        Self { table, commit }
    }

    /// Executes a command, or finds the answer of an earlier sending. A refusal is recorded as the
    /// command's answer, so that sending it again cannot have another outcome.
    ///
    /// # Errors
    ///
    /// [`CommandError`] when there is no final answer; the command may be sent again.
    pub async fn execute(&self, command: Command) -> Result<Answered, CommandError> {
        match self.attempt(&command).await? {
            Attempt::Answered(answered) => Ok(answered),
            Attempt::Conflict(current) => self.refuse(&command, current).await,
        }
    }

    /// Tries a command once without recording a refusal, for callers that then try again on the
    /// current state.
    ///
    /// # Errors
    ///
    /// Those of [`execute`](Self::execute).
    pub async fn attempt(&self, command: &Command) -> Result<Attempt, CommandError> {
        match self.commit(accepted(command)).await {
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

    /// The first answer to a command, if it has one.
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

    /// Entries of the audit log since a time, oldest first, at most `limit` of them.
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
        let refusal = refusal(command);
        let key = schema::command_key(&command.id);
        let record = table::Transaction::new()
            .absent(key.clone())
            .put_json(key, &refusal);
        match self.commit(record).await {
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
                retry_after_ms: RETRY_WHEN_FULL_MS,
            },
        })
    }
}

fn accepted(command: &Command) -> table::Transaction {
    let key = schema::command_key(&command.id);
    let audit_key = schema::audit_key(command.audit.wall_ms, &command.id);
    command
        .effect
        .clone()
        .absent(key.clone())
        .put_json(key, &command.answer)
        .put_json(audit_key, &command.audit)
}

fn refusal(command: &Command) -> schema::CommandRow {
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
