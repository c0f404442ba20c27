//! Configuration versions in the table.
//!
//! A version is accepted by a conditional write that moves `config/head`. Its row holds the
//! *change* against the version before as a JSON merge patch, because at thousands of changes a
//! day every entry host cannot fetch the whole document each time; the whole document stands in a
//! second row, for hosts that start or have fallen behind.

use displaydoc::Display;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde_json::Value;

use crate::command_log;
use crate::schema;
use crate::table;

/// Versions that are kept.
pub const KEPT_VERSIONS: u64 = 1_000;
/// Versions that a host catches up with change by change; further behind, it fetches the document.
const MAX_CHANGES: u64 = 20;

/// Tries of a proposal that was based on no version.
const MAX_RACES: u32 = 5;
/// Retry advice after that many lost races.
const RETRY_AFTER_RACES_MS: u64 = 1_000;

/// Why the configuration could not be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ConfigurationError {
    /// {0}
    Table(table::TableError),
    /// configuration version {0} is missing
    Missing(u64),
    /// configuration version {version} is malformed: {fault}
    Malformed {
        /// The version.
        version: u64,
        /// What is wrong.
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
    /// The version; 0 for the default document before the first.
    pub version: u64,
    /// The document.
    pub document: configuration::Document,
}

/// A document that an operator wants in force.
#[derive(Clone, Debug)]
pub struct Proposal<'a> {
    /// Identifier of the command.
    pub command: id::CommandId,
    /// Who.
    pub operator: &'a str,
    /// The document as the operator wrote it.
    pub text: &'a str,
    /// The same, parsed and validated.
    pub document: &'a configuration::Document,
    /// Version that the operator saw; unset takes the present one.
    pub based_on: Option<u64>,
    /// When.
    pub wall_ms: time::WallTimeMs,
}

/// Reads and accepts configuration versions.
#[derive(Clone)]
pub struct ConfigurationStore {
    table: table::TableClient,
    commands: command_log::CommandLog,
}

impl ConfigurationStore {
    /// A store over this table.
    #[must_use]
    pub const fn new(table: table::TableClient, commands: command_log::CommandLog) -> Self {
        Self { table, commands }
    }

    /// The highest accepted version; 0 if there is none. One small read.
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

    /// Brings a document up to a version, by its changes if it is not far behind.
    ///
    /// # Errors
    ///
    /// [`ConfigurationError`] if a version is missing or malformed.
    pub async fn fetch(
        &self,
        held: &Versioned,
        wanted: u64,
    ) -> Result<Versioned, ConfigurationError> {
        if wanted <= held.version {
            return Ok(held.clone());
        }
        if held.version == 0 || wanted - held.version > MAX_CHANGES {
            return self.fetch_document(wanted).await;
        }
        match self.fetch_changes(held, wanted).await {
            Err(ConfigurationError::Missing(_) | ConfigurationError::Malformed { .. }) => {
                self.fetch_document(wanted).await
            }
            other => other,
        }
    }

    async fn fetch_changes(
        &self,
        held: &Versioned,
        wanted: u64,
    ) -> Result<Versioned, ConfigurationError> {
        let mut value = to_value(&held.document);
        for version in held.version + 1..=wanted {
            merge_patch(&mut value, &self.row(version).await?.change);
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

    async fn row(&self, version: u64) -> Result<schema::ConfigRow, ConfigurationError> {
        let row = self.table.get(&schema::config_key(version)).await?;
        let row = row.ok_or(ConfigurationError::Missing(version))?;
        Ok(row.decode()?)
    }

    /// A version as the operator wrote it, with who and when.
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

    /// The last versions, latest first.
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

    /// Accepts a document as the next version, or says why not.
    ///
    /// # Errors
    ///
    /// [`command_log::CommandError`] when there is no final answer.
    pub async fn accept(
        &self,
        proposal: Proposal<'_>,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        match proposal.based_on {
            Some(based_on) => self.accept_on(&proposal, based_on).await,
            None => self.accept_on_any(&proposal).await,
        }
    }

    async fn accept_on(
        &self,
        proposal: &Proposal<'_>,
        based_on: u64,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        let (head, command) = self.command(proposal, Some(based_on)).await?;
        let mut answered = self.commands.execute(command).await?;
        if answered.answer.code == result_code::ResultCode::RevisionConflict {
            answered.answer.revision = self.head().await.unwrap_or(head);
        }
        Ok(answered)
    }

    /// Without a version that it was based on, a proposal that lost a race is tried on the next.
    async fn accept_on_any(
        &self,
        proposal: &Proposal<'_>,
    ) -> Result<command_log::Answered, command_log::CommandError> {
        for _ in 0..MAX_RACES {
            let (_, command) = self.command(proposal, None).await?;
            match self.commands.attempt(&command).await? {
                command_log::Attempt::Answered(answered) => return Ok(answered),
                command_log::Attempt::Conflict(_) => {}
            }
        }
        Err(command_log::CommandError::NotRun {
            retry_after_ms: RETRY_AFTER_RACES_MS,
        })
    }

    async fn command(
        &self,
        proposal: &Proposal<'_>,
        based_on: Option<u64>,
    ) -> Result<(u64, command_log::Command), command_log::CommandError> {
        let (head, head_version) = self.head_row().await.map_err(not_run)?;
        let previous = self.current_value(head).await?;
        let based_on = based_on.unwrap_or(head);
        Ok((head, command(proposal, based_on, head_version, &previous)))
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

/// The command that accepts a proposal. A proposal based on another version than the head fails on
/// the condition that its version does not exist yet.
fn command(
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
    let whole = schema::ConfigDocumentRow {
        text: proposal.text.to_owned(),
        document,
    };
    let mut effect = table::Transaction::new()
        .expect(schema::CONFIG_HEAD_KEY, head_version)
        .absent(schema::config_key(version))
        .put_json(schema::CONFIG_HEAD_KEY, &schema::ConfigHead { version })
        .put_json(schema::config_key(version), &row)
        .put_json(schema::config_document_key(version), &whole);
    if let Some(old) = version.checked_sub(KEPT_VERSIONS) {
        effect = effect
            .delete(schema::config_key(old))
            .delete(schema::config_document_key(old));
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

/// The JSON merge patch that turns one value into another. Absent and null fields count as equal.
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
        let known = old.get(name).unwrap_or(&Value::Null);
        if known != value {
            patch.insert(name.clone(), make_patch(known, value));
        }
    }
    Value::Object(patch)
}
