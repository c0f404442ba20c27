//! Operators' commands as transactions on the table.
//!
//! A command is accepted by one atomic transaction, which writes the changed row, the entry in the
//! pool's inbox, the command's answer and the audit entry. This needs no leader. A command that is
//! sent again gets the recorded answer.

use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::journal;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use mangotrestle_operator::message;
use mangotrestle_platform::command_log;
use mangotrestle_platform::schema;
use mangotrestle_platform::table;

use super::context;

/// Maximum number of attempts of a command that names no revision and conflicts with other
/// commands.
const MAX_CONFLICTING_ATTEMPTS: u32 = 8;
/// Delay after which an operator is advised to send a command again, if all attempts conflicted or
/// if the outcome is unknown.
const SUGGESTED_RETRY_DELAY: time::SpanMs = time::SpanMs(500);

/// Outcome of a command.
pub(super) struct Executed {
    pub(super) outcome: message::CommandOutcome,
    /// Pool whose inbox got an entry; `None` if the command was refused or had an earlier answer.
    pub(super) changed_pool: Option<id::PoolId>,
}

impl Executed {
    /// An outcome without a new inbox entry: a refusal or an earlier answer.
    const fn without_change(outcome: message::CommandOutcome) -> Self {
        Self {
            outcome,
            changed_pool: None,
        }
    }
}

/// A change of one row, with its journal record and the row's revisions after and before it.
struct Change {
    pool: id::PoolId,
    effect: table::Transaction,
    record: journal::Record,
    revision: u64,
    from_revision: u64,
    /// Text for the answer and the audit log.
    description: String,
}

/// A command that changes an existing job or worker.
pub(super) enum Edit {
    /// Cancel a job.
    Cancel { job: id::JobId },
    /// Put a parked, failed or unknown job back in the queue.
    Retry { job: id::JobId },
    /// Set or clear a worker's draining mark.
    Drain {
        pool: id::PoolId,
        worker: id::WorkerId,
        draining: bool,
    },
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum JobEdit {
    Cancel,
    Retry,
}

/// Executes commands against the table.
pub(super) struct Commands {
    context: Arc<context::Context>,
}

impl Commands {
    pub(super) const fn new(context: Arc<context::Context>) -> Self {
        Self { context }
    }

    /// Executes the submission of a job.
    pub(super) async fn submit(&self, command: &message::Command, spec: job::JobSpec) -> Executed {
        let wall_ms = self.context.clock.wall();
        let home_key = schema::job_home_key(&spec.id);
        let home = schema::JobHome {
            pool: spec.pool.clone(),
        };
        let row = schema::JobRow {
            spec: spec.clone(),
            accepted_wall_ms: wall_ms,
            revision: 1,
            cancelled: false,
        };
        let effect = table::Transaction::new()
            .absent(home_key.clone())
            .put_json(home_key.clone(), &home)
            .put_json(schema::job_key(&spec.pool, &spec.id), &row);
        let change = Change {
            pool: spec.pool.clone(),
            effect,
            description: format!("job.submit {}", spec.id),
            record: journal::Record::JobAccepted { spec, wall_ms },
            revision: 1,
            from_revision: 0,
        };
        match self.attempt(command, change, wall_ms).await {
            Ok(command_log::Attempt::Answered(answered)) => executed(answered, Some(home.pool)),
            Ok(command_log::Attempt::Conflict(_)) => Executed::without_change(
                message::CommandOutcome::refused(
                    ResultCode::AlreadyExists,
                    "another job with this name exists",
                )
                .revision(1),
            ),
            Err(error) => Executed::without_change(error_outcome(&error)),
        }
    }

    /// Executes a change of a job or a worker.
    pub(super) async fn change(&self, command: &message::Command, edit: &Edit) -> Executed {
        // If the command was executed before, its own change has outdated the revision that it
        // names, which would look like a conflict.
        if let Some(first) = self.first_answer(command).await {
            return Executed::without_change(first);
        }
        for _ in 0..MAX_CONFLICTING_ATTEMPTS {
            let wall_ms = self.context.clock.wall();
            let change = match self.prepare(edit, wall_ms).await {
                Ok(Some(change)) => change,
                Ok(None) => return Executed::without_change(not_found()),
                Err(error) => return Executed::without_change(table_error_outcome(&error)),
            };
            if command
                .based_on
                .is_some_and(|based_on| based_on != change.from_revision)
            {
                return Executed::without_change(revision_conflict(change.from_revision));
            }
            let pool = change.pool.clone();
            match self.attempt(command, change, wall_ms).await {
                Ok(command_log::Attempt::Answered(answered)) => {
                    return executed(answered, Some(pool));
                }
                Ok(command_log::Attempt::Conflict(_)) => {}
                Err(error) => return Executed::without_change(error_outcome(&error)),
            }
        }
        let refusal = message::CommandOutcome::refused(
            ResultCode::RevisionConflict,
            "other commands kept changing the same job or worker",
        );
        Executed::without_change(refusal.retry_after_ms(SUGGESTED_RETRY_DELAY))
    }

    /// Returns the pool of a job, `None` if the job is unknown.
    pub(super) async fn pool_of_job(
        &self,
        job: &id::JobId,
    ) -> Result<Option<id::PoolId>, table::TableError> {
        let row = self
            .context
            .platform
            .table
            .get(&schema::job_home_key(job))
            .await?;
        let home: Option<schema::JobHome> = row.map(|row| row.decode()).transpose()?;
        Ok(home.map(|home| home.pool))
    }

    /// Returns the row of a job, `None` if the job is unknown or its row has been deleted.
    pub(super) async fn job_row(
        &self,
        job: &id::JobId,
    ) -> Result<Option<schema::JobRow>, table::TableError> {
        let Some(pool) = self.pool_of_job(job).await? else {
            return Ok(None);
        };
        let row = self
            .context
            .platform
            .table
            .get(&schema::job_key(&pool, job))
            .await?;
        row.map(|row| row.decode()).transpose()
    }

    /// Builds the change for a command from the stored row; `None` if the job doesn't exist.
    async fn prepare(
        &self,
        edit: &Edit,
        wall_ms: time::WallTimeMs,
    ) -> Result<Option<Change>, table::TableError> {
        match edit {
            Edit::Cancel { job } => self.prepare_job(job, JobEdit::Cancel, wall_ms).await,
            Edit::Retry { job } => self.prepare_job(job, JobEdit::Retry, wall_ms).await,
            Edit::Drain {
                pool,
                worker,
                draining,
            } => self.prepare_drain(pool, worker, *draining).await.map(Some),
        }
    }

    async fn prepare_job(
        &self,
        job: &id::JobId,
        edit: JobEdit,
        wall_ms: time::WallTimeMs,
    ) -> Result<Option<Change>, table::TableError> {
        let Some(pool) = self.pool_of_job(job).await? else {
            return Ok(None);
        };
        let key = schema::job_key(&pool, job);
        let Some(stored) = self.context.platform.table.get(&key).await? else {
            return Ok(None);
        };
        let mut row: schema::JobRow = stored.decode()?;
        let from_revision = row.revision;
        row.revision += 1;
        row.cancelled |= edit == JobEdit::Cancel;
        let effect = table::Transaction::new()
            .at_version(key.clone(), stored.version)
            .put_json(key, &row);
        let (job, revision) = (job.clone(), row.revision);
        let (description, record) = match edit {
            JobEdit::Cancel => (
                format!("job.cancel {job}"),
                journal::Record::JobCancelled {
                    job,
                    revision,
                    wall_ms,
                },
            ),
            JobEdit::Retry => (
                format!("job.retry {job}"),
                journal::Record::JobReleased { job, revision },
            ),
        };
        Ok(Some(Change {
            pool,
            effect,
            record,
            revision,
            from_revision,
            description,
        }))
    }

    async fn prepare_drain(
        &self,
        pool: &id::PoolId,
        worker: &id::WorkerId,
        draining: bool,
    ) -> Result<Change, table::TableError> {
        let key = schema::worker_key(pool, worker);
        let stored = self.context.platform.table.get(&key).await?;
        let row: Option<schema::WorkerRow> = stored.as_ref().map(table::Row::decode).transpose()?;
        let from_revision = row.map_or(0, |row| row.revision);
        let revision = from_revision + 1;
        let effect = table::Transaction::new()
            .expect(key.clone(), stored.map(|row| row.version))
            .put_json(key, &schema::WorkerRow { revision, draining });
        let action = if draining { "drain" } else { "undrain" };
        let worker = worker.clone();
        Ok(Change {
            pool: pool.clone(),
            effect,
            description: format!("worker.{action} {worker}"),
            record: journal::Record::WorkerDraining {
                worker,
                revision,
                draining,
            },
            revision,
            from_revision,
        })
    }

    /// Returns the recorded answer if the command was executed before; `None` also if the record
    /// cannot be read.
    async fn first_answer(&self, command: &message::Command) -> Option<message::CommandOutcome> {
        let recorded = self
            .context
            .platform
            .commands
            .first_answer(&command.id)
            .await;
        recorded.ok().flatten().map(recorded_outcome)
    }

    /// Writes a change in one transaction, together with the inbox entry, the answer and the audit
    /// entry of its command.
    async fn attempt(
        &self,
        command: &message::Command,
        change: Change,
        wall_ms: time::WallTimeMs,
    ) -> Result<command_log::Attempt, command_log::CommandError> {
        let inbox_key = schema::inbox_key(&change.pool, wall_ms, &command.id);
        let inbox_row = schema::InboxRow {
            record: change.record,
        };
        let logged_command = command_log::Command {
            id: command.id.clone(),
            effect: change.effect.put_json(inbox_key, &inbox_row),
            answer: schema::CommandRow {
                code: ResultCode::Ok,
                message: change.description.clone(),
                revision: change.revision,
                wall_ms,
            },
            audit: schema::AuditRow {
                wall_ms,
                operator: command.operator.clone(),
                what: change.description,
                from_revision: change.from_revision,
                command: command.id.clone(),
            },
        };
        self.context
            .platform
            .commands
            .attempt(&logged_command)
            .await
    }
}

/// Outcome of a command with a recorded answer. An earlier answer put nothing new into the inbox.
fn executed(answered: command_log::Answered, pool: Option<id::PoolId>) -> Executed {
    let changed_pool = pool.filter(|_| !answered.earlier);
    Executed {
        outcome: recorded_outcome(answered.answer),
        changed_pool,
    }
}

/// Converts a recorded answer to an outcome.
pub(super) fn recorded_outcome(answer: schema::CommandRow) -> message::CommandOutcome {
    message::CommandOutcome {
        code: answer.code,
        message: answer.message,
        revision: answer.revision,
        retry_after_ms: None,
    }
}

/// Converts an error of the command log to an outcome.
pub(super) fn error_outcome(error: &command_log::CommandError) -> message::CommandOutcome {
    match error {
        command_log::CommandError::NotRun { retry_after_ms } => {
            message::CommandOutcome::refused(ResultCode::StoreUnavailable, &error.to_string())
                .retry_after_ms(time::SpanMs(*retry_after_ms))
        }
        command_log::CommandError::Unknown => {
            message::CommandOutcome::refused(ResultCode::OutcomeUnknown, &error.to_string())
                .retry_after_ms(SUGGESTED_RETRY_DELAY)
        }
        command_log::CommandError::Table(error) => table_error_outcome(error),
    }
}

fn table_error_outcome(error: &table::TableError) -> message::CommandOutcome {
    match error {
        table::TableError::Unavailable { retry_after_ms } => {
            message::CommandOutcome::refused(ResultCode::StoreUnavailable, &error.to_string())
                .retry_after_ms(time::SpanMs(*retry_after_ms))
        }
        other => message::CommandOutcome::refused(ResultCode::Internal, &other.to_string()),
    }
}

fn not_found() -> message::CommandOutcome {
    message::CommandOutcome::refused(ResultCode::NotFound, "there is no job with this name")
}

fn revision_conflict(current_revision: u64) -> message::CommandOutcome {
    let text = format!("the state changed, its revision is now {current_revision}");
    message::CommandOutcome::refused(ResultCode::RevisionConflict, &text).revision(current_revision)
}
