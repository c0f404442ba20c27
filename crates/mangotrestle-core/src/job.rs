//! Jobs and their tasks, as operators submit them.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources;
use crate::time;

/// Maximum number of tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// How the tasks of a job relate to each other.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobKind {
    /// Replicas that answer requests and run until they are cancelled.
    Service,
    /// Independent tasks that run to their end.
    Batch,
    /// Tasks that must all start together, in one pool.
    Gang,
}

/// How urgently the tasks of a job should start. Earlier variants go first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts within about a second; preemptible work is stopped for it if necessary.
    Urgent,
    /// The usual urgency.
    Normal,
    /// Starts when there is free capacity.
    Background,
}

/// What happens to a task whose worker is unreachable.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LostWorkerPolicy {
    /// Start it elsewhere once its lease has certainly lapsed.
    #[default]
    RestartAfterLapse,
    /// Wait until the worker reports how the run ended.
    WaitForWorker,
}

/// Description of a job, as submitted by an operator.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Unique name of the job.
    pub id: id::JobId,
    /// Team whose quota the job counts against.
    pub team: id::TeamId,
    /// Pool that runs the job.
    pub pool: id::PoolId,
    /// How the tasks relate to each other.
    pub kind: JobKind,
    /// How urgently tasks should start.
    pub urgency: Urgency,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Resources that one task needs.
    pub need: resources::Resources,
    /// Declared run time of one task; unset for services.
    #[serde(default)]
    pub run_time_ms: Option<time::SpanMs>,
    /// Whether a task may run again after a run that may have had an effect.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Whether tasks may be checkpointed and stopped for urgent work.
    #[serde(default)]
    pub preemptible: bool,
    /// What happens to tasks on unreachable workers.
    #[serde(default)]
    pub lost_worker: LostWorkerPolicy,
}

const fn default_idempotent() -> bool {
    true
}

/// Why a job is not accepted. Every message begins with the invalid field.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidJob {
    /// tasks: {tasks} given, expected 1 to 10000
    TaskCount {
        /// The number of tasks given.
        tasks: u32,
    },
    /// need: processor time, memory and slots must each be greater than zero
    EmptyNeed,
    /// run_time_ms: must not be given for a service, which runs until it is cancelled
    ServiceRunTime,
    /// preemptible: a gang cannot be preempted
    PreemptibleGang,
    /// idempotent: must be true for a service, because it is started again after a failure
    ServiceNotIdempotent,
}

impl std::error::Error for InvalidJob {}

impl JobSpec {
    /// Checks the rules that the field types do not express.
    ///
    /// # Errors
    ///
    /// Returns all faults found, not only the first.
    pub fn validate(&self) -> Result<(), Vec<InvalidJob>> {
        let mut faults = Vec::new();
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            faults.push(InvalidJob::TaskCount { tasks: self.tasks });
        }
        if self.need.cpu_millicores == 0 || self.need.memory_mib == 0 || self.need.slots == 0 {
            faults.push(InvalidJob::EmptyNeed);
        }
        if self.kind == JobKind::Service && self.run_time_ms.is_some() {
            faults.push(InvalidJob::ServiceRunTime);
        }
        if self.kind == JobKind::Gang && self.preemptible {
            faults.push(InvalidJob::PreemptibleGang);
        }
        if self.kind == JobKind::Service && !self.idempotent {
            faults.push(InvalidJob::ServiceNotIdempotent);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}
