//! Commands that a pool returns for its caller to carry out.

use crate::id;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::result_code;
use crate::scheduler;
use crate::task;
use crate::time;

/// A command from [`Pool::handle`](super::Pool::handle). Commands are carried out in the order
/// given.
#[derive(Clone, Debug)]
pub enum PoolCommand {
    /// A claim, a renewal, or a read or write of the roster's row; never
    /// [`LeadershipCommand::Notify`](leadership::LeadershipCommand::Notify).
    Leadership(leadership::LeadershipCommand),
    /// Read the pool's snapshot and journal.
    LoadState,
    /// Append records to the journal, in the order of their tokens.
    Journal {
        /// Number of the entry. [`JournalCommitted`](super::PoolEvent::JournalCommitted) reports it
        /// back.
        token: u64,
        /// Records to append.
        records: Vec<journal::Record>,
        /// Whether to write at once instead of waiting for a fuller batch.
        urgent: bool,
        /// Number of the inbox read whose rows are deleted in the same transaction; see
        /// [`Accepted`](super::PoolEvent::Accepted).
        inbox_read: Option<u64>,
    },
    /// Discard journal entries that are not written yet: this host no longer leads the pool.
    DropJournal,
    /// Send start orders to a worker.
    Start {
        /// Number of the batch; reported back with the worker's answer.
        batch: u64,
        /// Worker to start the runs on.
        worker: id::WorkerId,
        /// Message to send.
        request: message::StartRequest,
    },
    /// Send stop orders to a worker.
    Stop {
        /// Worker to stop the runs on.
        worker: id::WorkerId,
        /// Message to send.
        request: message::StopRequest,
    },
    /// Watch a worker for ended runs. Ends that the watch stream misses arrive with a lease
    /// renewal.
    Watch {
        /// Worker to watch.
        worker: id::WorkerId,
        /// Message to send.
        request: message::WatchRequest,
    },
    /// The targets of services changed.
    RoutesChanged {
        /// Jobs of the changed services.
        jobs: Vec<id::JobId>,
    },
    /// Notice to log and to show to operators.
    Notice(PoolNotice),
}

/// Notice for logs and operators.
#[derive(Clone, Debug)]
pub enum PoolNotice {
    /// This entry host leads the pool now.
    BecameLeader,
    /// Workers can no longer accept a start from another leader.
    MayStart,
    /// This entry host no longer leads the pool.
    LostLeadership,
    /// The journal was read.
    StateLoaded {
        /// Number of jobs in the journal.
        jobs: usize,
    },
    /// Recovery is complete: the journal was read, and waiting tasks of all jobs may start.
    RecoveryComplete,
    /// A worker granted its lease.
    WorkerLeaseGranted {
        /// Worker that granted the lease.
        worker: id::WorkerId,
        /// Epoch of the lease.
        epoch: message::Epoch,
        /// Number of runs that the worker listed as running.
        running: usize,
    },
    /// The lease on a worker was lost.
    WorkerLeaseLost {
        /// Worker whose lease was lost.
        worker: id::WorkerId,
    },
    /// The worker is lost: everything that ran on it is certain to have ended.
    WorkerLost {
        /// Worker that is lost.
        worker: id::WorkerId,
    },
    /// A run was placed.
    Placed {
        /// Run that was placed.
        run: task::RunId,
        /// Worker that was chosen.
        worker: id::WorkerId,
        /// Why the worker was chosen.
        reason: scheduler::PlacementReason,
    },
    /// A worker refused a start.
    StartRefused {
        /// Run that the worker refused to start.
        run: task::RunId,
        /// Worker that refused.
        worker: id::WorkerId,
        /// Reason of the refusal.
        code: result_code::ResultCode,
    },
    /// A run is being stopped.
    Stopping {
        /// Run that is being stopped.
        run: task::RunId,
        /// Worker that has the run.
        worker: id::WorkerId,
        /// Why the run is stopped.
        reason: scheduler::StopReason,
    },
    /// A run's processor time was limited, or its limit was lifted.
    Throttled {
        /// Run whose limit changed.
        run: task::RunId,
        /// Worker that has the run.
        worker: id::WorkerId,
        /// Maximum processor time that the run may use; unset if the limit was lifted.
        cpu_millicores: Option<u64>,
    },
    /// A job's state changed.
    JobStateChanged {
        /// Job whose state changed.
        job: id::JobId,
        /// New state of the job.
        state: scheduler::JobState,
        /// Why the job was parked, if it was.
        code: Option<result_code::ResultCode>,
    },
    /// The outcome of a non-idempotent run is unknown: it may have had an effect.
    TaskUnknown {
        /// Run whose outcome is unknown.
        run: task::RunId,
    },
    /// A worker was put in quarantine or released from it.
    Quarantine {
        /// Worker whose quarantine began or ended.
        worker: id::WorkerId,
        /// When the worker is probed; unset if it was released.
        probe_at_ms: Option<time::TimeMs>,
    },
    /// A worker has a run of an unknown job.
    OrphanRun {
        /// Run whose job is unknown.
        run: task::RunId,
        /// Worker that has the run.
        worker: id::WorkerId,
    },
}
