//! Every row that the system keeps in the table: its key and its type.
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
//! Numbers in keys are fixed-width hexadecimal, so that the order of keys is that of the numbers.
//! Readers ignore fields that they do not know: two releases may share the table.

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::journal;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Key of the row that makes a job's name unique in the whole system.
#[must_use]
pub fn job_home_key(job: &id::JobId) -> String {
    format!("job/{job}")
}

/// Common start of the keys of a pool's accepted jobs.
#[must_use]
pub fn jobs_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/job/")
}

/// Key of an accepted job.
#[must_use]
pub fn job_key(pool: &id::PoolId, job: &id::JobId) -> String {
    format!("pool/{pool}/job/{job}")
}

/// Common start of the keys of a pool's journal.
#[must_use]
pub fn journal_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/journal/")
}

/// Key of one batch of a pool's journal.
#[must_use]
pub fn journal_key(pool: &id::PoolId, sequence: u64) -> String {
    format!("pool/{pool}/journal/{sequence:016x}")
}

/// Key of the reference to a pool's snapshot.
#[must_use]
pub fn snapshot_key(pool: &id::PoolId) -> String {
    format!("pool/{pool}/snapshot")
}

/// Key of a pool's roster.
#[must_use]
pub fn roster_key(pool: &id::PoolId) -> String {
    format!("pool/{pool}/roster")
}

/// Common start of the keys of a pool's inbox.
#[must_use]
pub fn inbox_prefix(pool: &id::PoolId) -> String {
    format!("pool/{pool}/inbox/")
}

/// Key of an accepted command in a pool's inbox; keys rise with the wall time.
#[must_use]
pub fn inbox_key(pool: &id::PoolId, wall_ms: time::WallTimeMs, command: &id::CommandId) -> String {
    format!("pool/{pool}/inbox/{:012x}-{command}", wall_ms.0)
}

/// Key of an operator's mark on a worker.
#[must_use]
pub fn worker_key(pool: &id::PoolId, worker: &id::WorkerId) -> String {
    format!("pool/{pool}/worker/{worker}")
}

/// Common start of the keys of commands' answers.
pub const COMMAND_PREFIX: &str = "command/";

/// Key of a command's first answer.
#[must_use]
pub fn command_key(command: &id::CommandId) -> String {
    format!("{COMMAND_PREFIX}{command}")
}

/// Common start of the audit log's keys, which rise with the wall time.
pub const AUDIT_PREFIX: &str = "audit/";

/// Key of an entry of the audit log.
#[must_use]
pub fn audit_key(wall_ms: time::WallTimeMs, command: &id::CommandId) -> String {
    format!("{AUDIT_PREFIX}{:012x}-{command}", wall_ms.0)
}

/// Key of the row with the highest configuration version.
pub const CONFIG_HEAD_KEY: &str = "config/head";
/// Common start of the keys of configuration versions.
pub const CONFIG_PREFIX: &str = "config/version/";

/// Key of a configuration version.
#[must_use]
pub fn config_key(version: u64) -> String {
    format!("{CONFIG_PREFIX}{version:016x}")
}

/// Key of a whole configuration document.
#[must_use]
pub fn config_document_key(version: u64) -> String {
    format!("config/document/{version:016x}")
}

/// Common start of the keys of started records.
pub const STARTED_PREFIX: &str = "started/";

/// Key of the started record of a request. The caller's key is any text, so its bytes are written
/// in hexadecimal.
#[must_use]
pub fn started_key(team: &id::TeamId, key: &str) -> String {
    use std::fmt::Write as _;

    let mut text = format!("{STARTED_PREFIX}{team}/");
    for byte in key.bytes() {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Common start of the keys that record transactions.
pub const WRITE_PREFIX: &str = "write/";

/// Where a job is homed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobHome {
    /// Pool that runs the job.
    pub pool: id::PoolId,
}

/// An accepted job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job.
    pub spec: job::JobSpec,
    /// When it was accepted.
    pub accepted_wall_ms: time::WallTimeMs,
    /// Counts the operators' commands about the job, from 1 at its acceptance.
    #[serde(default = "first_revision")]
    pub revision: u64,
    /// Whether an operator cancelled it.
    #[serde(default)]
    pub cancelled: bool,
}

const fn first_revision() -> u64 {
    1
}

/// An operator's mark on a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Counts the commands about the worker, from 1.
    pub revision: u64,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// An accepted command that the pool's leader has not journalled yet.
///
/// Whichever entry host accepts a command writes this row in the same transaction; the leader
/// deletes it once its journal holds the record. Accepting a command therefore needs no leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InboxRow {
    /// What the leader has to fold in.
    pub record: journal::Record,
}

/// Who writes a journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Writer {
    /// Entry host that leads the pool.
    pub host: id::EntryHostId,
    /// One life of its process.
    pub incarnation: id::Incarnation,
}

/// One batch of a pool's journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalRow {
    /// Who wrote it.
    pub writer: Writer,
    /// What happened.
    pub records: Vec<journal::Record>,
}

/// A snapshot in the object store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Name of the object.
    pub object: String,
    /// Last batch that is folded into it; 0 if none.
    pub through: u64,
}

/// Which snapshots of a pool hold.
///
/// Batches after `previous.through` are kept, so that the state can be rebuilt from the previous
/// snapshot when the current one is damaged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotReference {
    /// The snapshot to use.
    pub current: StoredSnapshot,
    /// The one before.
    pub previous: Option<StoredSnapshot>,
}

/// First answer to a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandRow {
    /// Outcome.
    pub code: result_code::ResultCode,
    /// What the operator was told.
    pub message: String,
    /// Revision of the changed thing after the command.
    pub revision: u64,
    /// When it was answered.
    pub wall_ms: time::WallTimeMs,
}

/// Entry of the audit log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditRow {
    /// When.
    pub wall_ms: time::WallTimeMs,
    /// Who.
    pub operator: String,
    /// What, in words.
    pub what: String,
    /// Revision of the changed thing before the command.
    pub from_revision: u64,
    /// The command.
    pub command: id::CommandId,
}

/// Highest configuration version.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version.
    pub version: u64,
}

/// An accepted configuration version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigRow {
    /// The version, from 1.
    pub version: u64,
    /// Change against the version before, as a JSON merge patch.
    pub change: serde_json::Value,
    /// Who.
    pub operator: String,
    /// When it was accepted.
    pub accepted_wall_ms: time::WallTimeMs,
}

/// A whole configuration document.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocumentRow {
    /// As the operator wrote it.
    pub text: String,
    /// The same as JSON.
    pub document: serde_json::Value,
}

/// A request that is not idempotent and was started, or is about to be.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartedRow {
    /// Identifier that the entry host gave to this start; tells its own record from an earlier one.
    pub start: String,
    /// When it was started.
    pub wall_ms: time::WallTimeMs,
    /// The whole answer, once it is known.
    pub answer: Option<StartedAnswer>,
}

/// Answer to a request that is not idempotent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StartedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if there is one.
    pub content_type: Option<String>,
    /// Body.
    #[serde(with = "crate::table::wire::base64_bytes")]
    pub body: bytes::Bytes,
}
