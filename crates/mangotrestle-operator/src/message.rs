//! What operators and entry hosts say to each other, as typed values.
//!
//! All types serialise with `serde`; that form is what `--output json` prints, so a field is never
//! renamed and never changes its meaning.

use std::fmt;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::result_code;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Greatest size of a configuration document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Greatest size of one gRPC message in either direction, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Greatest length of an operator's name, in bytes.
pub const MAX_OPERATOR_BYTES: usize = 63;

/// Greatest number of configuration versions in one answer.
pub const MAX_HISTORY: u32 = 1_000;

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

            /// The name that messages and tables carry.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// The value with this name.
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
    /// Where a job stands as a whole.
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
        /// The job failed everywhere and waits for an operator.
        Parked = "parked",
        /// The end of at least one non-idempotent task is not known.
        Unknown = "unknown",
    }
);

impl JobState {
    /// Whether the job changes its state no more, unless an operator acts.
    #[must_use]
    pub const fn is_settled(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

named_enum!(
    /// Where one task stands.
    TaskState {
        /// In the queue.
        Waiting = "waiting",
        /// Sent to a worker, no answer yet.
        Starting = "starting",
        /// A worker reports it.
        Running = "running",
        /// Ended well.
        Succeeded = "succeeded",
        /// Ended with an error.
        Failed = "failed",
        /// Cancelled with its job.
        Cancelled = "cancelled",
        /// It may have run, and nobody knows how it ended.
        Unknown = "unknown",
    }
);

named_enum!(
    /// What the pool's leader knows of a worker.
    WorkerState {
        /// No leader holds its lease.
        Unclaimed = "unclaimed",
        /// The leader holds its lease.
        Held = "held",
        /// It does not answer.
        Unreachable = "unreachable",
        /// It takes no new work.
        Leaving = "leaving",
        /// It failed what it started and takes only probes.
        Quarantined = "quarantined",
    }
);

named_enum!(
    /// What an entry host believes of another.
    PeerState {
        /// It answers.
        Alive = "alive",
        /// It missed heartbeats.
        Suspected = "suspected",
        /// It has been silent for long, or said that it stops.
        Dead = "dead",
    }
);

/// Identity of a command and what it was based on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Unique for each command; the same again when a command is resent.
    pub id: id::CommandId,
    /// Who sends it. A server takes this from the token and ignores what the message says, unless
    /// it runs without tokens.
    pub operator: String,
    /// Revision of the changed thing that the command was based on; `None` skips the check.
    pub based_on: Option<u64>,
}

/// What became of a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CommandOutcome {
    /// The result.
    pub code: result_code::ResultCode,
    /// The result in words.
    pub message: String,
    /// Revision of the changed thing after the command, or its present one after a conflict.
    pub revision: u64,
    /// When trying again may help; `None` if it will not.
    pub retry_after_ms: Option<time::SpanMs>,
}

impl CommandOutcome {
    /// A command that was done.
    #[must_use]
    pub fn done(revision: u64, message: &str) -> Self {
        Self {
            code: result_code::ResultCode::Ok,
            message: message.to_owned(),
            revision,
            retry_after_ms: None,
        }
    }

    /// A command that had no effect.
    #[must_use]
    pub fn refused(code: result_code::ResultCode, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            revision: 0,
            retry_after_ms: None,
        }
    }

    /// Sets the revision, such as the present one after a conflict.
    #[must_use]
    pub fn revision(mut self, revision: u64) -> Self {
        self.revision = revision;
        self
    }

    /// Sets when trying again may help.
    #[must_use]
    pub fn retry_after_ms(mut self, span: time::SpanMs) -> Self {
        self.retry_after_ms = Some(span);
        self
    }
}

/// Why a query was refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The result.
    pub code: result_code::ResultCode,
    /// The result in words.
    pub message: String,
    /// When trying again may help; `None` if it will not.
    pub retry_after_ms: Option<time::SpanMs>,
}

impl Refusal {
    /// A refusal for which trying again does not help.
    #[must_use]
    pub fn new(code: result_code::ResultCode, message: &str) -> Self {
        Self {
            code,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Sets when trying again may help.
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

/// Which jobs to list; unset fields do not restrict.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobFilter {
    /// Only jobs of this pool.
    pub pool: Option<id::PoolId>,
    /// Only jobs of this team.
    pub team: Option<id::TeamId>,
}

/// A job with the counts of its tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobSummary {
    /// What was asked for.
    pub spec: job::JobSpec,
    /// Where it stands.
    pub state: JobState,
    /// Revision, for `--based-on`.
    pub revision: u64,
    /// Tasks in the queue.
    pub waiting: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that ended well.
    pub succeeded: u32,
    /// Tasks that ended with an error.
    pub failed: u32,
    /// Tasks whose end is not known.
    pub unknown: u32,
}

/// A job with each of its tasks.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobDetail {
    /// The job.
    pub summary: JobSummary,
    /// Its tasks, by index.
    pub tasks: Vec<TaskDetail>,
    /// Why tasks wait, one line a reason.
    pub waiting_reasons: Vec<String>,
}

/// One task of a job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TaskDetail {
    /// Index in the job, from zero.
    pub index: u32,
    /// Number of its latest run, zero before the first.
    pub attempt: u32,
    /// Where it stands.
    pub state: TaskState,
    /// The worker of its latest run.
    pub worker: Option<id::WorkerId>,
}

/// A worker as its pool's leader sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WorkerDetail {
    /// The worker.
    pub id: id::WorkerId,
    /// Its pool.
    pub pool: id::PoolId,
    /// Its rack.
    pub rack: id::RackId,
    /// What it can hold.
    pub capacity: resources::Resources,
    /// What is free.
    pub free: resources::Resources,
    /// Tasks that run on it.
    pub running: u32,
    /// What the leader knows of it.
    pub state: WorkerState,
    /// Whether an operator marked it as leaving.
    pub draining: bool,
}

/// An accepted version of the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Its number; the order of versions.
    pub version: u64,
    /// The document, in TOML.
    pub document: String,
    /// Who applied it.
    pub operator: String,
    /// When it was accepted.
    pub accepted_wall_ms: time::WallTimeMs,
}

/// A configuration that an operator offers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigProposal {
    /// The document, in TOML.
    pub document: String,
    /// Check and show the difference, without accepting.
    pub dry_run: bool,
}

/// Which version an entry host has in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HostConfig {
    /// The entry host.
    pub entry_host: id::EntryHostId,
    /// Its version.
    pub version: u64,
    /// Since when.
    pub in_force_wall_ms: time::WallTimeMs,
}

/// Past versions and where each is in force.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigHistory {
    /// Versions, newest first.
    pub versions: Vec<ConfigDocument>,
    /// Entry hosts that the asked one knows.
    pub hosts: Vec<HostConfig>,
}

/// State of the cell as one entry host sees it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The entry host that answers.
    pub entry_host: id::EntryHostId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Configuration version it has in force.
    pub config_version: u64,
    /// The pools it knows.
    pub pools: Vec<PoolStatus>,
    /// Other entry hosts.
    pub peers: Vec<PeerStatus>,
    /// What does not work at the moment.
    pub degraded: Vec<Degradation>,
    /// Commands since the time asked for, oldest first.
    pub changes: Vec<AuditEntry>,
}

/// Counts of one pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: id::PoolId,
    /// The entry host that leads it, if one is known.
    pub leader: Option<id::EntryHostId>,
    /// Workers of its roster.
    pub roster_workers: u32,
    /// Workers whose lease the leader holds.
    pub held_workers: u32,
    /// Tasks in the queue.
    pub waiting_tasks: u32,
    /// Tasks that run.
    pub running_tasks: u32,
    /// Tasks whose end is not known.
    pub unknown_tasks: u32,
    /// Jobs that wait for an operator.
    pub parked_jobs: u32,
}

/// What an entry host believes of another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other entry host.
    pub entry_host: id::EntryHostId,
    /// The belief.
    pub state: PeerState,
}

/// Something that does not work at the moment.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Degradation {
    /// What it is, such as `store`.
    pub what: String,
    /// Since when.
    pub since_wall_ms: time::WallTimeMs,
    /// More, in words.
    pub detail: String,
}

/// A command in the audit log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// When it was accepted.
    pub wall_ms: time::WallTimeMs,
    /// Who sent it.
    pub operator: String,
    /// What it did, such as `job.cancel furan-7`.
    pub what: String,
    /// Revision of the changed thing before the command.
    pub from_revision: u64,
    /// Identity of the command.
    pub command_id: id::CommandId,
    /// How it ended.
    pub code: result_code::ResultCode,
}

/// Something that happened, as `events` shows it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event on this entry host, rising.
    pub sequence: u64,
    /// When it happened.
    pub wall_ms: time::WallTimeMs,
    /// Kind, such as `task.started`.
    pub kind: String,
    /// `key=value` pairs, as in the log.
    pub detail: String,
}
