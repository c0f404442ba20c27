//! Operators' commands as transactions on the table.
//!
//! A command is accepted when its transaction is: the changed row, the entry in the pool's inbox,
//! the command's answer and the audit entry stand together or not at all. No leader is needed for
//! that, and a command that is sent again finds its first answer.

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

/// Tries of a command that names no revision and loses races.
const MAX_RACES: u32 = 8;
/// Retry advice after that many lost races.
const RETRY_AFTER_RACES: time::SpanMs = time::SpanMs(500);

/// What became of a command, and the pool whose inbox has something new.
pub(super) struct Executed {
    pub(super) outcome: message::CommandOutcome,
    pub(super) changed_pool: Option<id::PoolId>,
}

impl Executed {
    const fn refused(outcome: message::CommandOutcome) -> Self {
        Self {
            outcome,
            changed_pool: None,
        }
    }
}

/// A change of one row, ready to be written.
struct Change {
    pool: id::PoolId,
    effect: table::Transaction,
    record: journal::Record,
    revision: u64,
    from_revision: u64,
    what: String,
}

/// A command that changes something that exists.
pub(super) enum Edit {
    /// Cancel a job.
    Cancel { job: id::JobId },
    /// Put a parked, failed or unknown job back in the queue.
    Retry { job: id::JobId },
    /// Mark a worker as draining, or take the mark back.
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

    /// Accepts a job.
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
            what: format!("job.submit {}", spec.id),
            record: journal::Record::JobAccepted { spec, wall_ms },
            revision: 1,
            from_revision: 0,
        };
        match self.attempt(command, change, wall_ms).await {
            Ok(command_log::Attempt::Answered(answered)) => accepted(answered, Some(home.pool)),
            Ok(command_log::Attempt::Conflict(_)) => Executed::refused(
                message::CommandOutcome::refused(
                    ResultCode::AlreadyExists,
                    "there is another job with this name",
                )
                .revision(1),
            ),
            Err(error) => Executed::refused(failed(&error)),
        }
    }

    /// Changes a job or a worker.
    pub(super) async fn change(&self, command: &message::Command, edit: &Edit) -> Executed {
        // A change based on the state after an earlier sending would look like a conflict.
        if let Some(first) = self.first_answer(command).await {
            return Executed::refused(first);
        }
        for _ in 0..MAX_RACES {
            let wall_ms = self.context.clock.wall();
            let change = match self.prepare(edit, wall_ms).await {
                Ok(Some(change)) => change,
                Ok(None) => return Executed::refused(not_found()),
                Err(error) => return Executed::refused(unavailable(&error)),
            };
            if command
                .based_on
                .is_some_and(|based_on| based_on != change.from_revision)
            {
                return Executed::refused(conflict(change.from_revision));
            }
            let pool = change.pool.clone();
            match self.attempt(command, change, wall_ms).await {
                Ok(command_log::Attempt::Answered(answered)) => {
                    return accepted(answered, Some(pool));
                }
                Ok(command_log::Attempt::Conflict(_)) => {}
                Err(error) => return Executed::refused(failed(&error)),
            }
        }
        let lost = message::CommandOutcome::refused(
            ResultCode::RevisionConflict,
            "other commands kept changing the same thing",
        );
        Executed::refused(lost.retry_after_ms(RETRY_AFTER_RACES))
    }

    /// Where a job is homed.
    pub(super) async fn home(
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

    /// The row of a job, for as long as the platform keeps it.
    pub(super) async fn job_row(
        &self,
        job: &id::JobId,
    ) -> Result<Option<schema::JobRow>, table::TableError> {
        let Some(pool) = self.home(job).await? else {
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
        let Some(pool) = self.home(job).await? else {
            return Ok(None);
        };
        let key = schema::job_key(&pool, job);
        let Some(found) = self.context.platform.table.get(&key).await? else {
            return Ok(None);
        };
        let mut row: schema::JobRow = found.decode()?;
        let from_revision = row.revision;
        row.revision += 1;
        row.cancelled |= edit == JobEdit::Cancel;
        let effect = table::Transaction::new()
            .at_version(key.clone(), found.version)
            .put_json(key, &row);
        let (job, revision) = (job.clone(), row.revision);
        let (what, record) = match edit {
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
            what,
        }))
    }

    async fn prepare_drain(
        &self,
        pool: &id::PoolId,
        worker: &id::WorkerId,
        draining: bool,
    ) -> Result<Change, table::TableError> {
        let key = schema::worker_key(pool, worker);
        let found = self.context.platform.table.get(&key).await?;
        let row: Option<schema::WorkerRow> = found.as_ref().map(table::Row::decode).transpose()?;
        let from_revision = row.map_or(0, |row| row.revision);
        let revision = from_revision + 1;
        let effect = table::Transaction::new()
            .expect(key.clone(), found.map(|row| row.version))
            .put_json(key, &schema::WorkerRow { revision, draining });
        let verb = if draining { "drain" } else { "undrain" };
        let worker = worker.clone();
        Ok(Change {
            pool: pool.clone(),
            effect,
            what: format!("worker.{verb} {worker}"),
            record: journal::Record::WorkerDraining {
                worker,
                revision,
                draining,
            },
            revision,
            from_revision,
        })
    }

    /// The answer of an earlier sending of the command.
    async fn first_answer(&self, command: &message::Command) -> Option<message::CommandOutcome> {
        let found = self
            .context
            .platform
            .commands
            .first_answer(&command.id)
            .await;
        found.ok().flatten().map(outcome)
    }

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
        let prepared = command_log::Command {
            id: command.id.clone(),
            effect: change.effect.put_json(inbox_key, &inbox_row),
            answer: schema::CommandRow {
                code: ResultCode::Ok,
                message: change.what.clone(),
                revision: change.revision,
                wall_ms,
            },
            audit: schema::AuditRow {
                wall_ms,
                operator: command.operator.clone(),
                what: change.what,
                from_revision: change.from_revision,
                command: command.id.clone(),
            },
        };
        self.context.platform.commands.attempt(&prepared).await
    }
}

fn accepted(answered: command_log::Answered, pool: Option<id::PoolId>) -> Executed {
    let changed_pool = pool.filter(|_| !answered.earlier);
    Executed {
        outcome: outcome(answered.answer),
        changed_pool,
    }
}

/// An operator's answer from the recorded one.
pub(super) fn outcome(answer: schema::CommandRow) -> message::CommandOutcome {
    message::CommandOutcome {
        code: answer.code,
        message: answer.message,
        revision: answer.revision,
        retry_after_ms: None,
    }
}

/// An operator's answer to a command without a final one.
pub(super) fn failed(error: &command_log::CommandError) -> message::CommandOutcome {
    match error {
        command_log::CommandError::NotRun { retry_after_ms } => {
            message::CommandOutcome::refused(ResultCode::StoreUnavailable, &error.to_string())
                .retry_after_ms(time::SpanMs(*retry_after_ms))
        }
        command_log::CommandError::Unknown => {
            message::CommandOutcome::refused(ResultCode::OutcomeUnknown, &error.to_string())
                .retry_after_ms(RETRY_AFTER_RACES)
        }
        command_log::CommandError::Table(error) => unavailable(error),
    }
}

fn unavailable(error: &table::TableError) -> message::CommandOutcome {
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

fn conflict(present: u64) -> message::CommandOutcome {
    let text = format!("the state changed, its revision is now {present}");
    message::CommandOutcome::refused(ResultCode::RevisionConflict, &text).revision(present)
}
