//! What a pool wants done.

use crate::id;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::result_code;
use crate::scheduler;
use crate::task;
use crate::time;

/// Something to do, from [`Pool::handle`](super::Pool::handle), in the order given.
#[derive(Clone, Debug)]
pub enum PoolCommand {
    /// A claim, a renewal, or an access to the roster's row. Never a notice.
    Leadership(leadership::LeadershipCommand),
    /// Read the pool's snapshot and journal.
    LoadState,
    /// Append records to the journal, in the order of their tokens.
    Journal {
        /// Reported back by [`JournalCommitted`](super::PoolEvent::JournalCommitted).
        token: u64,
        /// The records.
        records: Vec<journal::Record>,
        /// Whether to write at once instead of waiting for a fuller batch.
        urgent: bool,
        /// Ticket of inbox rows to delete in the same transaction.
        inbox: Option<u64>,
    },
    /// Forget journal entries that are not written yet: this host no longer leads.
    DropJournal,
    /// Send starts to a worker.
    Start {
        /// Reported back with the worker's answer.
        batch: u64,
        /// The worker.
        worker: id::WorkerId,
        /// The message.
        request: message::StartRequest,
    },
    /// Send stops to a worker.
    Stop {
        /// The worker.
        worker: id::WorkerId,
        /// The message.
        request: message::StopRequest,
    },
    /// Follow the ends of runs on a worker; renewals bring what such a stream misses.
    Watch {
        /// The worker.
        worker: id::WorkerId,
        /// The message.
        request: message::WatchRequest,
    },
    /// The targets of services changed.
    RoutesChanged {
        /// The services.
        jobs: Vec<id::JobId>,
    },
    /// Something to log and to show to operators.
    Notice(PoolNotice),
}

/// News for logs and for operators.
#[derive(Clone, Debug)]
pub enum PoolNotice {
    /// This entry host leads the pool now.
    BecameLeader,
    /// No other leader's start can be accepted any more.
    MayStart,
    /// This entry host no longer leads the pool.
    LostLeadership,
    /// The journal was read.
    StateLoaded {
        /// Number of jobs in it.
        jobs: usize,
    },
    /// Starts are permitted and the journal was read: the waiting tasks of all jobs may start.
    RecoveryComplete,
    /// A worker granted its lease.
    WorkerLeaseGranted {
        /// The worker.
        worker: id::WorkerId,
        /// Epoch of the lease.
        epoch: message::Epoch,
        /// Number of runs that it listed.
        running: usize,
    },
    /// The lease on a worker was lost.
    WorkerLeaseLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// Whatever ran on a worker has surely ended.
    WorkerLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A run was placed.
    Placed {
        /// The run.
        run: task::RunId,
        /// Where.
        worker: id::WorkerId,
        /// Why there.
        reason: scheduler::PlacementReason,
    },
    /// A worker refused a start.
    StartRefused {
        /// The run.
        run: task::RunId,
        /// The worker.
        worker: id::WorkerId,
        /// Why.
        code: result_code::ResultCode,
    },
    /// A run is stopped.
    Stopping {
        /// The run.
        run: task::RunId,
        /// Where.
        worker: id::WorkerId,
        /// Why.
        reason: scheduler::StopReason,
    },
    /// A run is held to its share of the processors, or released.
    Throttled {
        /// The run.
        run: task::RunId,
        /// Where.
        worker: id::WorkerId,
        /// Most processor time it may use; unset releases it.
        cpu_millicores: Option<u64>,
    },
    /// A job is in another state.
    JobStateChanged {
        /// The job.
        job: id::JobId,
        /// Its state.
        state: scheduler::JobState,
        /// Why it was parked.
        code: Option<result_code::ResultCode>,
    },
    /// A run that must not be repeated may have had an effect.
    TaskUnknown {
        /// The run.
        run: task::RunId,
    },
    /// A worker was quarantined or released.
    Quarantine {
        /// The worker.
        worker: id::WorkerId,
        /// When it is probed; unset when it is released.
        probe_at_ms: Option<time::TimeMs>,
    },
    /// A worker runs something of an unknown job.
    OrphanRun {
        /// The run.
        run: task::RunId,
        /// Where.
        worker: id::WorkerId,
    },
}
