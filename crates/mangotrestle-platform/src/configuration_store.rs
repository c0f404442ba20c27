//! Configuration versions in the table.
//!
//! A version is accepted by a conditional write that advances `config/head`. Its row holds the
//! *change* from the previous version as a JSON merge patch: with thousands of changes per day,
//! entry hosts cannot all fetch the whole document each time. The whole document is stored in a
//! second row, for hosts that start or are many versions behind.

use displaydoc::Display;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde_json::Value;

use crate::command_log;
use crate::schema;
use crate::table;

/// Number of versions that are kept.
pub const MAX_KEPT_VERSIONS: u64 = 1_000;
/// Maximum number of changes that a host fetches one by one; a host that is further behind fetches
/// the whole document.
const MAX_FETCHED_CHANGES: u64 = 20;

/// Maximum number of attempts to accept a proposal that is not based on a particular version.
const MAX_ACCEPT_ATTEMPTS: u32 = 5;
/// Retry delay reported when all attempts lost to concurrent proposals, in milliseconds.
const RETRY_AFTER_CONFLICTS_MS: u64 = 1_000;

/// Error when reading the configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigurationError {
    /// {0}
    Table(table::TableError),
    /// configuration version {0} is missing
    Missing(u64),
    /// configuration version {version} is malformed: {fault}
    Malformed {
        /// Number of the version.
        version: u64,
        /// Description of the fault.
        fault: String,
    },
}

impl std::error::Error for ConfigurationError {}

impl From<table::TableError> for ConfigurationError {
    fn from(error: table::TableError) -> Self {
        Self::Table(error)
    }
}

/// A version together with its parsed document.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned {
    /// Number of the version; 0 for the default document, before the first version.
    pub version: u64,
    /// Parsed document of the version.
    pub document: configuration::Document,
}

/// A document that an operator submits as the next version.
#[derive(Clone, Debug)]
pub struct Proposal<'a> {
    /// Identifier of the operator's command.
    pub command: id::CommandId,
    /// Name of the operator.
    pub operator: &'a str,
    /// The document as the operator wrote it.
    pub text: &'a str,
    /// The document parsed and validated.
    pub document: &'a configuration::Document,
    /// Version that the operator based the document on; unset for whichever is the latest.
    pub based_on: Option<u64>,
    /// Time of the command.
    pub wall_ms: time::WallTimeMs,
}

/// Reads and accepts configuration versions.
#[derive(Clone)]
pub struct ConfigurationStore {
    table: table::TableClient,
    commands: command_log::CommandLog,
}

impl ConfigurationStore {
    /// Creates a store of the versions in a table.
    #[must_use]
    pub const fn new(table: table::TableClient, commands: command_log::CommandLog) -> Self {
        Self { table, commands }
    }

    /// Reads the highest accepted version; 0 if there is none. Reads one small row.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn head(&self) -> Result<u64, table::TableError> {
        Ok(self.head_row().await?.0)
    }

    async fn head_row(&self) -> Result<(u64, Option<table::Version>), table::TableError> {
        let Some(row) = self.table.get(schema::CONFIG_HEAD_KEY).await? else {
            return Ok((0, None));
        };
        let head: schema::ConfigHead = row.decode()?;
        Ok((head.version, Some(row.version)))
    }

    /// Brings a document to the wanted version, by fetching the changes if it is only a few
    /// versions behind, else by fetching the whole document.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError`] if a version is missing or malformed.
    pub async fn fetch(
        &self,
        current: &Versioned,
        wanted: u64,
    ) -> Result<Versioned, ConfigurationError> {
        if wanted <= current.version {
            return Ok(current.clone());
        }
        if current.version == 0 || wanted - current.version > MAX_FETCHED_CHANGES {
            return self.fetch_document(wanted).await;
        }
        match self.fetch_changes(current, wanted).await {
            Err(ConfigurationError::Missing(_) | ConfigurationError::Malformed { .. }) => {
                self.fetch_document(wanted).await
            }
            other => other,
        }
    }

    async fn fetch_changes(
        &self,
        current: &Versioned,
        wanted: u64,
    ) -> Result<Versioned, ConfigurationError> {
        let mut value = to_value(&current.document);
        for version in current.version + 1..=wanted {
            merge_patch(&mut value, &self.version_row(version).await?.change);
        }
        let document = from_value(wanted, value)?;
        Ok(Versioned {
            version: wanted,
            document,
        })
    }

    async fn fetch_document(&self, version: u64) -> Result<Versioned, ConfigurationError> {
        let key = schema::config_document_key(version);
        let row = self.table.get(&key).await?;
        let row = row.ok_or(ConfigurationError::Missing(version))?;
        let stored: schema::ConfigDocumentRow = row.decode()?;
        let document = from_value(version, stored.document)?;
        Ok(Versioned { version, document })
    }

    async fn version_row(&self, version: u64) -> Result<schema::ConfigRow, ConfigurationError> {
        let row = self.table.get(&schema::config_key(version)).await?;
        let row = row.ok_or(ConfigurationError::Missing(version))?;
        Ok(row.decode()?)
    }

    /// Reads the document of a version as the operator wrote it.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError::Missing`] if there is no such version or it is no longer kept.
    pub async fn text(&self, version: u64) -> Result<String, ConfigurationError> {
        let key = schema::config_document_key(version);
        let row = self.table.get(&key).await?;
        let row = row.ok_or(ConfigurationError::Missing(version))?;
        let stored: schema::ConfigDocumentRow = row.decode()?;
        Ok(stored.text)
    }

    /// Reads the latest versions, in descending order, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn history(&self, limit: u32) -> Result<Vec<schema::ConfigRow>, table::TableError> {
        let head = self.head().await?;
        let start = head.saturating_sub(u64::from(limit));
        let after = schema::config_key(start);
        let page = self
            .table
            .scan(schema::CONFIG_PREFIX, Some(&after), limit)
            .await?;
        let rows: Result<Vec<_>, _> = page.rows.iter().map(table::Row::decode).collect();
        rows.map(|mut rows| {
            rows.reverse();
            rows
        })
    }

    /// Accepts a document as the next version. The answer holds the reason if it was refused.
    ///
    /// # Errors
    ///
    /// [`command_log::CommandError`] if there is no final answer.
    pub async fn accept(
        &self,
        proposal: Proposal<'_>,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        match proposal.based_on {
            Some(based_on) => self.accept_on(&proposal, based_on).await,
            None => self.accept_on_latest(&proposal).await,
        }
    }

    async fn accept_on(
        &self,
        proposal: &Proposal<'_>,
        based_on: u64,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        let (head, command) = self.accept_command(proposal, Some(based_on)).await?;
        let mut answered = self.commands.execute(command).await?;
        if answered.answer.code == result_code::ResultCode::RevisionConflict {
            answered.answer.revision = self.head().await.unwrap_or(head);
        }
        Ok(answered)
    }

    /// Accepts a proposal without a base version: after a conflict with a concurrent proposal, it
    /// is retried on the new latest version.
    async fn accept_on_latest(
        &self,
        proposal: &Proposal<'_>,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        for _ in 0..MAX_ACCEPT_ATTEMPTS {
            let (_, command) = self.accept_command(proposal, None).await?;
            match self.commands.attempt(&command).await? {
                command_log::Attempt::Answered(answered) => return Ok(answered),
                command_log::Attempt::Conflict(_) => {}
            }
        }
        Err(command_log::CommandError::NotRun {
            retry_after_ms: RETRY_AFTER_CONFLICTS_MS,
        })
    }

    async fn accept_command(
        &self,
        proposal: &Proposal<'_>,
        based_on: Option<u64>,
    ) -> Result<(u64, command_log::Command), command_log::CommandError> {
        let (head, head_version) = self.head_row().await.map_err(not_run)?;
        let previous = self.current_value(head).await?;
        let based_on = based_on.unwrap_or(head);
        Ok((
            head,
            build_command(proposal, based_on, head_version, &previous),
        ))
    }

    async fn current_value(&self, head: u64) -> Result<Value, command_log::CommandError> {
        if head == 0 {
            return Ok(to_value(&configuration::Document::default()));
        }
        let key = schema::config_document_key(head);
        let row = self.table.get(&key).await.map_err(not_run)?;
        let stored: Option<schema::ConfigDocumentRow> = row
            .map(|row| row.decode())
            .transpose()
            .map_err(command_log::CommandError::Table)?;
        Ok(stored.map_or(Value::Null, |stored| stored.document))
    }
}

fn not_run(error: table::TableError) -> command_log::CommandError {
    match error {
        table::TableError::Unavailable { retry_after_ms } => {
            command_log::CommandError::NotRun { retry_after_ms }
        }
        other => command_log::CommandError::Table(other),
    }
}

/// Returns the command that accepts a proposal. If the proposal is based on another version than
/// the head, the condition fails that the row of its version does not exist yet.
fn build_command(
    proposal: &Proposal<'_>,
    based_on: u64,
    head_version: Option<table::Version>,
    previous: &Value,
) -> command_log::Command {
    let version = based_on + 1;
    let document = to_value(proposal.document);
    let row = schema::ConfigRow {
        version,
        change: make_patch(previous, &document),
        operator: proposal.operator.to_owned(),
        accepted_wall_ms: proposal.wall_ms,
    };
    let document_row = schema::ConfigDocumentRow {
        text: proposal.text.to_owned(),
        document,
    };
    let mut effect = table::Transaction::new()
        .expect(schema::CONFIG_HEAD_KEY, head_version)
        .absent(schema::config_key(version))
        .put_json(schema::CONFIG_HEAD_KEY, &schema::ConfigHead { version })
        .put_json(schema::config_key(version), &row)
        .put_json(schema::config_document_key(version), &document_row);
    if let Some(expired) = version.checked_sub(MAX_KEPT_VERSIONS) {
        effect = effect
            .delete(schema::config_key(expired))
            .delete(schema::config_document_key(expired));
    }
    command_log::Command {
        id: proposal.command.clone(),
        effect,
        answer: schema::CommandRow {
            code: result_code::ResultCode::Ok,
            message: format!("configuration version {version} accepted"),
            revision: version,
            wall_ms: proposal.wall_ms,
        },
        audit: schema::AuditRow {
            wall_ms: proposal.wall_ms,
            operator: proposal.operator.to_owned(),
            what: format!("configuration version {version}"),
            from_revision: based_on,
            command: proposal.command.clone(),
        },
    }
}

fn to_value(document: &configuration::Document) -> Value {
    serde_json::to_value(document).unwrap_or(Value::Null)
}

fn from_value(version: u64, value: Value) -> Result<configuration::Document, ConfigurationError> {
    serde_json::from_value(value).map_err(|error| ConfigurationError::Malformed {
        version,
        fault: error.to_string(),
    })
}

/// Applies a JSON merge patch (RFC 7396).
pub fn merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (name, change) in changes {
        if change.is_null() {
            fields.remove(name);
        } else {
            merge_patch(fields.entry(name).or_insert(Value::Null), change);
        }
    }
}

/// Returns the JSON merge patch that turns `before` into `after`. Absent and null fields count as
/// equal.
#[must_use]
pub fn make_patch(before: &Value, after: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return after.clone();
    };
    let mut patch = serde_json::Map::new();
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        patch.insert(name.clone(), Value::Null);
    }
    for (name, value) in new {
        let old_value = old.get(name).unwrap_or(&Value::Null);
        if old_value != value {
            patch.insert(name.clone(), make_patch(old_value, value));
        }
    }
    Value::Object(patch)
}
