//! Messages between operators and entry hosts, as typed values.
//!
//! The serialized form of these types is printed by `--output json`, so fields must not be renamed
//! or change their meaning.

use std::fmt;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Maximum size of a configuration document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Maximum size of a gRPC message in either direction, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum length of an operator's name, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 63;

/// Maximum number of configuration versions in one answer.
pub const MAX_HISTORY_VERSIONS: u32 = 1_000;

macro_rules! named_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// All values, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in messages and tables.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// Returns the value with this name, or `None` if there is none.
            #[must_use]
            pub fn from_name(name: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|value| value.as_str() == name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.as_str())
            }
        }
    };
}

named_enum!(
    /// State of a job as a whole.
    JobState {
        /// No task runs yet.
        Waiting = "waiting",
        /// At least one task runs.
        Running = "running",
        /// Every task succeeded.
        Succeeded = "succeeded",
        /// The job ended with at least one failed task.
        Failed = "failed",
        /// An operator cancelled the job.
        Cancelled = "cancelled",
        /// The job failed on several workers and waits for an operator.
        Parked = "parked",
        /// The outcome of at least one non-idempotent task is not known.
        Unknown = "unknown",
    }
);

impl JobState {
    /// Whether the job keeps its state until an operator acts.
    #[must_use]
    pub const fn is_settled(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

named_enum!(
    /// State of a task.
    TaskState {
        /// In the queue.
        Waiting = "waiting",
        /// Sent to a worker that has not answered yet.
        Starting = "starting",
        /// Reported as running by a worker.
        Running = "running",
        /// Ended successfully.
        Succeeded = "succeeded",
        /// Ended with an error.
        Failed = "failed",
        /// Cancelled with its job.
        Cancelled = "cancelled",
        /// May have run, and its outcome is not known.
        Unknown = "unknown",
    }
);

named_enum!(
    /// State of a worker as known to its pool's leader.
    WorkerState {
        /// No leader holds its lease.
        Unclaimed = "unclaimed",
        /// The leader holds its lease.
        Held = "held",
        /// The worker does not answer.
        Unreachable = "unreachable",
        /// The worker accepts no new runs.
        Leaving = "leaving",
        /// Runs on the worker failed, so it gets only probe runs.
        Quarantined = "quarantined",
    }
);

named_enum!(
    /// State of an entry host as known to another one.
    PeerState {
        /// The peer answers.
        Alive = "alive",
        /// The peer missed heartbeats.
        Suspected = "suspected",
        /// The peer has been unresponsive for long, or announced that it stops.
        Dead = "dead",
    }
);

/// Header of a command: its identifier, its sender and the revision that it was based on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Identifier, unique for each command. A resent command has the same identifier.
    pub id: id::CommandId,
    /// Name of the sender. A server takes it from the token and uses the name in the message only
    /// if it runs without tokens.
    pub operator: String,
    /// Revision of the object that the command was based on; `None` skips the check for conflicts.
    pub based_on: Option<u64>,
}

/// Outcome of a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandOutcome {
    /// Result code.
    pub code: result_code::ResultCode,
    /// Human-readable explanation.
    pub message: String,
    /// Revision of the object after the command, or its current revision after a conflict.
    pub revision: u64,
    /// Time after which a retry may succeed; `None` if a retry does not help.
    pub retry_after_ms: Option<time::SpanMs>,
}

impl CommandOutcome {
    /// Returns the outcome of a successful command.
    #[must_use]
    pub fn done(revision: u64, message: &str) -> Self {
        Self {
            code: result_code::ResultCode::Ok,
            message: message.to_owned(),
            revision,
            retry_after_ms: None,
        }
    }

    /// Returns the outcome of a command that had no effect.
    #[must_use]
    pub fn refused(code: result_code::ResultCode, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            revision: 0,
            retry_after_ms: None,
        }
    }

    /// Sets the revision, such as the current one after a conflict.
    #[must_use]
    pub fn revision(mut self, revision: u64) -> Self {
        self.revision = revision;
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, span: time::SpanMs) -> Self {
        self.retry_after_ms = Some(span);
        self
    }
}

/// Why a query was refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: result_code::ResultCode,
    /// Human-readable explanation.
    pub message: String,
    /// Time after which a retry may succeed; `None` if a retry does not help.
    pub retry_after_ms: Option<time::SpanMs>,
}

impl Refusal {
    /// Creates a refusal for which a retry does not help.
    #[must_use]
    pub fn new(code: result_code::ResultCode, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(mut self, span: time::SpanMs) -> Self {
        self.retry_after_ms = Some(span);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Refusal {}

/// Filter for listing jobs; unset fields match all jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobFilter {
    /// Only jobs of this pool.
    pub pool: Option<id::PoolId>,
    /// Only jobs of this team.
    pub team: Option<id::TeamId>,
}

/// A job with the number of its tasks in each state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// Specification as submitted.
    pub spec: job::JobSpec,
    /// State of the job.
    pub state: JobState,
    /// Revision of the job, for `--based-on`.
    pub revision: u64,
    /// Number of tasks in the queue.
    pub waiting: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of tasks that ended successfully.
    pub succeeded: u32,
    /// Number of tasks that ended with an error.
    pub failed: u32,
    /// Number of tasks whose outcome is not known.
    pub unknown: u32,
}

/// A job with each of its tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// The job.
    pub summary: JobSummary,
    /// Its tasks, ordered by index.
    pub tasks: Vec<TaskDetail>,
    /// Reasons why tasks wait, one line each.
    pub waiting_reasons: Vec<String>,
}

/// One task of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskDetail {
    /// Index in the job, from zero.
    pub index: u32,
    /// Attempt number of its latest run, zero before the first.
    pub attempt: u32,
    /// State of the task.
    pub state: TaskState,
    /// The worker of its latest run.
    pub worker: Option<id::WorkerId>,
}

/// A worker as known to its pool's leader.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerDetail {
    /// The worker.
    pub id: id::WorkerId,
    /// Its pool.
    pub pool: id::PoolId,
    /// Its rack.
    pub rack: id::RackId,
    /// Total resources.
    pub capacity: resources::Resources,
    /// Free resources.
    pub free: resources::Resources,
    /// Number of tasks that run on it.
    pub running: u32,
    /// State as known to the leader.
    pub state: WorkerState,
    /// Whether an operator marked it as leaving.
    pub draining: bool,
}

/// An accepted version of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Number of the version; later versions have higher numbers.
    pub version: u64,
    /// The document, in TOML.
    pub document: String,
    /// Name of the operator who applied it.
    pub operator: String,
    /// Wall-clock time at which it was accepted, in milliseconds.
    pub accepted_wall_ms: time::WallTimeMs,
}

/// A configuration proposed by an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigProposal {
    /// The document, in TOML.
    pub document: String,
    /// Whether to only validate the document and report the differences, without accepting it.
    pub dry_run: bool,
}

/// The configuration version in force on an entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HostConfig {
    /// The entry host.
    pub entry_host: id::EntryHostId,
    /// Version in force.
    pub version: u64,
    /// Wall-clock time since which the version is in force, in milliseconds.
    pub in_force_wall_ms: time::WallTimeMs,
}

/// Configuration versions, and the version in force on each entry host.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigHistory {
    /// Versions, newest first.
    pub versions: Vec<ConfigDocument>,
    /// Entry hosts known to the one that answers.
    pub hosts: Vec<HostConfig>,
}

/// State of the cell as known to one entry host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry host that answers.
    pub entry_host: id::EntryHostId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Configuration version in force on it.
    pub config_version: u64,
    /// Pools known to it.
    pub pools: Vec<PoolStatus>,
    /// Other entry hosts.
    pub peers: Vec<PeerStatus>,
    /// Parts that currently do not work.
    pub degraded: Vec<Degradation>,
    /// Commands since the requested time, oldest first.
    pub changes: Vec<AuditEntry>,
}

/// Counts of workers, tasks and jobs of one pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: id::PoolId,
    /// The entry host that leads it, if one is known.
    pub leader: Option<id::EntryHostId>,
    /// Number of workers in its roster.
    pub roster_workers: u32,
    /// Number of workers whose lease the leader holds.
    pub held_workers: u32,
    /// Number of tasks in the queue.
    pub waiting_tasks: u32,
    /// Number of running tasks.
    pub running_tasks: u32,
    /// Number of tasks whose outcome is not known.
    pub unknown_tasks: u32,
    /// Number of parked jobs, which wait for an operator.
    pub parked_jobs: u32,
}

/// State of an entry host as known to another one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other entry host.
    pub entry_host: id::EntryHostId,
    /// Its state.
    pub state: PeerState,
}

/// A part of the system that currently does not work.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Degradation {
    /// Name of the part, such as `store`.
    pub what: String,
    /// Wall-clock time since which it does not work, in milliseconds.
    pub since_wall_ms: time::WallTimeMs,
    /// Human-readable details.
    pub detail: String,
}

/// A command in the audit log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Wall-clock time at which it was accepted, in milliseconds.
    pub wall_ms: time::WallTimeMs,
    /// Name of the operator who sent it.
    pub operator: String,
    /// Description of the command, such as `job.cancel furan-7`.
    pub what: String,
    /// Revision of the object before the command.
    pub from_revision: u64,
    /// Identifier of the command.
    pub command_id: id::CommandId,
    /// Result code of the command.
    pub code: result_code::ResultCode,
}

/// An event, as printed by the `events` command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number of the event on this entry host, increasing.
    pub sequence: u64,
    /// Wall-clock time of the event, in milliseconds.
    pub wall_ms: time::WallTimeMs,
    /// Kind, such as `task.started`.
    pub kind: String,
    /// `key=value` pairs, as in the log.
    pub detail: String,
}
