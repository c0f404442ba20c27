//! Messages of the lease protocol between a pool's leader and its workers.
//!
//! Expiry and start-before are absolute readings of the *worker's* clock. The leader estimates
//! that clock from the worker's last answer, so a delayed or repeated message never extends a
//! lease.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources;
use crate::result_code;
use crate::task;
use crate::time;

/// Number of a claim on a worker; the worker increments it with each claim that it grants.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Version of a pool's roster. Only the acting leader creates a new one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RosterVersion(pub u64);

/// Requests a worker's lease. A granted claim fences the previous leader, lists the worker's runs,
/// and extends no run's lease.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimRequest {
    /// Pool for which the claim is made.
    pub pool: id::PoolId,
    /// Entry host that wants to lead.
    pub leader: id::EntryHostId,
    /// Incarnation of that entry host.
    pub leader_incarnation: id::Incarnation,
    /// Roster on which the majority is counted.
    pub roster_version: RosterVersion,
}

/// A worker's answer to a granted claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ClaimGranted {
    /// Incarnation of the worker; it increases with each restart of the worker.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the granted claim; every later message under the lease carries it.
    pub epoch: Epoch,
    /// Highest epoch that this incarnation granted to another leader, zero if none. A leader that
    /// claims again can tell from it whether another leader held the lease in between.
    pub rival_epoch: Epoch,
    /// Reading of the worker's clock when it answered.
    pub worker_time_ms: time::WorkerTimeMs,
    /// When the worker lease expires unless it is renewed.
    pub lease_expires_ms: time::WorkerTimeMs,
    /// Total resources of the worker.
    pub capacity: resources::Resources,
    /// Rack of the worker.
    pub rack: id::RackId,
    /// All runs in progress on the worker.
    pub running: Vec<RunningTask>,
    /// Runs that ended and that no leader has acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Whether the worker is leaving and accepts no new runs.
    pub leaving: bool,
    /// Address, `ip:port`, at which tasks on this worker take requests.
    pub target_address: String,
}

/// A run in progress on a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct RunningTask {
    /// The run.
    pub run: task::RunId,
    /// Resources that the run occupies.
    pub need: resources::Resources,
    /// When the run's lease expires unless it is renewed.
    pub lease_expires_ms: time::WorkerTimeMs,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: task::RunId,
    /// How it ended.
    pub outcome: task::RunOutcome,
}

/// Renews the worker lease and the leases of all its runs in one message.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RenewRequest {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Roster on which the leader counts its majority.
    pub roster_version: RosterVersion,
    /// New expiry of the worker lease and of every run's lease; an expiry never decreases.
    pub lease_expires_ms: time::WorkerTimeMs,
    /// Ended runs that the leader has recorded; the worker may discard them.
    pub acknowledged: Vec<task::RunId>,
}

/// A worker's answer to a renewal.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RenewGranted {
    /// Reading of the worker's clock when it answered.
    pub worker_time_ms: time::WorkerTimeMs,
    /// Runs that ended and are not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Measured resource usage of running tasks; measurements lag.
    pub usage: Vec<TaskUsage>,
    /// Whether the worker is leaving and accepts no new runs.
    pub leaving: bool,
}

/// Measured resource usage of one run.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The run.
    pub run: task::RunId,
    /// Resources in use.
    pub used: resources::Resources,
}

/// Starts runs on a worker; each is accepted or refused on its own.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StartRequest {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// The worker refuses the batch once its clock has reached this reading.
    pub start_before_ms: time::WorkerTimeMs,
    /// The runs to start.
    pub runs: Vec<StartRun>,
}

/// One run to start.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct StartRun {
    /// The run.
    pub run: task::RunId,
    /// Maximum resources that the run may occupy.
    pub need: resources::Resources,
    /// Declared run time; unset for services.
    pub run_time_ms: Option<time::SpanMs>,
    /// Whether the task may be run again after an earlier run that may have had effects.
    pub idempotent: bool,
}

/// A worker's answer to a start.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StartAnswer {
    /// Reading of the worker's clock when it answered.
    pub worker_time_ms: time::WorkerTimeMs,
    /// One entry for each run of the request, in its order.
    pub results: Vec<result_code::ResultCode>,
}

/// Stops runs on a worker.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopRequest {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// The runs to stop. A run that is not on the worker counts as stopped.
    pub runs: Vec<task::RunId>,
    /// Time that a run has to finish requests in flight before it is ended.
    pub grace_ms: time::SpanMs,
    /// Whether to checkpoint each run before it is stopped.
    pub checkpoint: bool,
}

/// A worker's answer to a stop.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct StopAccepted {
    /// Reading of the worker's clock when it answered.
    pub worker_time_ms: time::WorkerTimeMs,
    /// Requested runs that are in progress; their ends are reported once they have stopped. The
    /// other requested runs are not on the worker, and any start of them that is still in transit
    /// will be refused.
    pub stopping: Vec<task::RunId>,
}

/// Asks a worker to report ends of runs as they happen, until another leader claims the lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WatchRequest {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: Epoch,
}

/// Ends of runs, in the order in which they happened.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct WatchEvent {
    /// The runs that ended.
    pub ended: Vec<EndedRun>,
}

/// Why a worker refused a message as a whole.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Refusal {
    /// [`StaleEpoch`](result_code::ResultCode::StaleEpoch),
    /// [`Expired`](result_code::ResultCode::Expired),
    /// [`StaleRoster`](result_code::ResultCode::StaleRoster) or
    /// [`InvalidInput`](result_code::ResultCode::InvalidInput).
    pub code: result_code::ResultCode,
    /// Reading of the worker's clock when it refused.
    pub worker_time_ms: time::WorkerTimeMs,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.code.fmt(f)
    }
}
