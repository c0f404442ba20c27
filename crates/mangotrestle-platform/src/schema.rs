//! Keys and types of all rows that the system stores in the table.
//!
//! | key | type | written by |
//! | --- | --- | --- |
//! | `job/<job>` | [`JobHome`] | the entry host that accepts the job |
//! | `pool/<pool>/job/<job>` | [`JobRow`] | the same, in the same transaction |
//! | `pool/<pool>/worker/<worker>` | [`WorkerRow`] | the entry host that accepts the command |
//! | `pool/<pool>/inbox/<wall time>-<command>` | [`InboxRow`] | the same; deleted by the leader |
//! | `pool/<pool>/journal/<sequence>` | [`JournalRow`] | the pool's acting leader |
//! | `pool/<pool>/snapshot` | [`SnapshotReference`] | the pool's acting leader |
//! | `pool/<pool>/roster` | [`Roster`](mangotrestle_core::lease::roster::Roster) | the pool's acting leader |
//! | `command/<command>` | [`CommandRow`] | with the effect of the command |
//! | `audit/<wall time>-<command>` | [`AuditRow`] | with the effect of the command |
//! | `config/head` | [`ConfigHead`] | with a new configuration version |
//! | `config/version/<version>` | [`ConfigRow`] | with a new configuration version |
//! | `config/document/<version>` | [`ConfigDocumentRow`] | with a new configuration version |
//! | `started/<team>/<key>` | [`StartedRow`] | before a request that is not idempotent |
//! | `write/<write id>` | | with every transaction |
//!
//! Numbers in keys are fixed-width hexadecimal, so that keys sort by number. Readers ignore unknown
//! fields, because two releases may share the table.

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::journal;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Returns the key of the row that makes a job's name unique in the whole system.
#[must_use]
pub fn job_home_key(job: &id::JobId) -> String {
    format!("job/{job}")
}

/// Returns the common prefix of the keys of a pool's accepted jobs.
#[must_use]
pub fn jobs_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/job/")
}

/// Returns the key of an accepted job.
#[must_use]
pub fn job_key(pool: &id::PoolId, job: &id::JobId) -> String {
    format!("pool/{pool}/job/{job}")
}

/// Returns the common prefix of the keys of a pool's journal.
#[must_use]
pub fn journal_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/journal/")
}

/// Returns the key of one batch of a pool's journal.
#[must_use]
pub fn journal_key(pool: &id::PoolId, sequence: u64) -> String {
    format!("pool/{pool}/journal/{sequence:016x}")
}

/// Returns the key of the reference to a pool's snapshot.
#[must_use]
pub fn snapshot_key(pool: &id::PoolId) -> String {
    format!("pool/{pool}/snapshot")
}

/// Returns the key of a pool's roster.
#[must_use]
pub fn roster_key(pool: &id::PoolId) -> String {
    format!("pool/{pool}/roster")
}

/// Returns the common prefix of the keys of a pool's inbox.
#[must_use]
pub fn inbox_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/inbox/")
}

/// Returns the key of an accepted command in a pool's inbox; keys ascend with the wall time.
#[must_use]
pub fn inbox_key(pool: &id::PoolId, wall_ms: time::WallTimeMs, command: &id::CommandId) -> String {
    format!("pool/{pool}/inbox/{:012x}-{command}", wall_ms.0)
}

/// Returns the key of the row with an operator's setting for a worker.
#[must_use]
pub fn worker_key(pool: &id::PoolId, worker: &id::WorkerId) -> String {
    format!("pool/{pool}/worker/{worker}")
}

/// Common prefix of the keys of commands' answers.
pub const COMMAND_PREFIX: &str = "command/";

/// Returns the key of a command's first answer.
#[must_use]
pub fn command_key(command: &id::CommandId) -> String {
    format!("{COMMAND_PREFIX}{command}")
}

/// Common prefix of the audit log's keys, which ascend with the wall time.
pub const AUDIT_PREFIX: &str = "audit/";

/// Returns the key of an entry of the audit log.
#[must_use]
pub fn audit_key(wall_ms: time::WallTimeMs, command: &id::CommandId) -> String {
    format!("{AUDIT_PREFIX}{:012x}-{command}", wall_ms.0)
}

/// Key of the row with the highest configuration version.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Common prefix of the keys of configuration versions.
pub const CONFIG_PREFIX: &str = "config/version/";

/// Returns the key of a configuration version.
#[must_use]
pub fn config_key(version: u64) -> String {
    format!("{CONFIG_PREFIX}{version:016x}")
}

/// Returns the key of a whole configuration document.
#[must_use]
pub fn config_document_key(version: u64) -> String {
    format!("config/document/{version:016x}")
}

/// Common prefix of the keys of started records.
pub const STARTED_PREFIX: &str = "started/";

/// Returns the key of the started record of a request. The caller's key is arbitrary text, so its
/// bytes are encoded in hexadecimal.
#[must_use]
pub fn started_key(team: &id::TeamId, key: &str) -> String {
    use std::fmt::Write as _;

    let mut text = format!("{STARTED_PREFIX}{team}/");
    for byte in key.bytes() {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Common prefix of the keys of rows that record transactions.
pub const WRITE_PREFIX: &str = "write/";

/// Pool that a job belongs to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobHome {
    /// Pool that runs the job.
    pub pool: id::PoolId,
}

/// An accepted job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// Specification of the job.
    pub spec: job::JobSpec,
    /// Time of acceptance.
    pub accepted_wall_ms: time::WallTimeMs,
    /// Number of operators' commands about the job, counting its acceptance as 1.
    #[serde(default = "first_revision")]
    pub revision: u64,
    /// Whether an operator cancelled the job.
    #[serde(default)]
    pub cancelled: bool,
}

const fn first_revision() -> u64 {
    1
}

/// An operator's setting for a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Number of commands about the worker so far, at least 1.
    pub revision: u64,
    /// Whether the worker is draining: it gets no new runs.
    pub draining: bool,
}

/// An accepted command that the pool's leader has not written to the journal yet.
///
/// The entry host that accepts a command writes this row in the same transaction; the leader
/// deletes it once its journal holds the record. A command can therefore be accepted without a
/// leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InboxRow {
    /// Record that the leader has to write to the journal.
    pub record: journal::Record,
}

/// Writer of a journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Writer {
    /// Entry host that leads the pool.
    pub host: id::EntryHostId,
    /// Incarnation of the entry host's process.
    pub incarnation: id::Incarnation,
}

/// One batch of a pool's journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Process that wrote the batch.
    pub writer: Writer,
    /// Records of the batch.
    pub records: Vec<journal::Record>,
}

/// A snapshot in the object store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Name of the object.
    pub object: String,
    /// Number of the last batch that it includes; 0 if none.
    pub through: u64,
}

/// The current and the previous snapshot of a pool.
///
/// Batches after `previous.through` are kept, so that the state can be rebuilt from the previous
/// snapshot when the current one is damaged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotReference {
    /// Snapshot to load.
    pub current: StoredSnapshot,
    /// Snapshot to load if the current one is damaged.
    pub previous: Option<StoredSnapshot>,
}

/// First answer to a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandRow {
    /// Result code of the command.
    pub code: result_code::ResultCode,
    /// Message that was returned to the operator.
    pub message: String,
    /// Revision of the changed object after the command.
    pub revision: u64,
    /// Time of the answer.
    pub wall_ms: time::WallTimeMs,
}

/// Entry of the audit log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditRow {
    /// Time of the command.
    pub wall_ms: time::WallTimeMs,
    /// Name of the operator.
    pub operator: String,
    /// Description of the change.
    pub what: String,
    /// Revision of the changed object before the command.
    pub from_revision: u64,
    /// Identifier of the command.
    pub command: id::CommandId,
}

/// Highest configuration version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Number of the version.
    pub version: u64,
}

/// An accepted configuration version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// Number of the version, starting at 1.
    pub version: u64,
    /// Change from the previous version, as a JSON merge patch.
    pub change: serde_json::Value,
    /// Name of the operator.
    pub operator: String,
    /// Time of acceptance.
    pub accepted_wall_ms: time::WallTimeMs,
}

/// A whole configuration document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocumentRow {
    /// The document as the operator wrote it.
    pub text: String,
    /// The document as JSON.
    pub document: serde_json::Value,
}

/// Record of a request that is not idempotent and was started or is about to be started.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartedRow {
    /// Identifier that the entry host assigned to this start; distinguishes its own record from an
    /// earlier one.
    pub start: String,
    /// Time of the start.
    pub wall_ms: time::WallTimeMs,
    /// Answer to the request; unset while it is not known.
    pub answer: Option<StartedAnswer>,
}

/// Answer to a request that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header, if present.
    pub content_type: Option<String>,
    /// Response body.
    #[serde(with = "crate::table::wire::base64_bytes")]
    pub body: bytes::Bytes,
}
