//! Events that a leadership receives, and the commands and notices that it returns.

use crate::id;
use crate::lease::message;
use crate::lease::roster;
use crate::time;

/// Input of a leadership.
///
/// `sent_at` is the time that was given to [`handle`](super::Leadership::handle) when it returned
/// the command that the event answers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeadershipEvent {
    /// Time passed. Required at [`next_wake`](super::Leadership::next_wake) at the latest.
    Tick,
    /// Whether this entry host should try to lead the pool.
    Preferred(bool),
    /// This entry host has to stop leading, for example because it shuts down.
    Resign,
    /// Workers of the pool according to the host list.
    WorkersListed(Vec<id::WorkerId>),
    /// The pool's roster as read from the table, `None` if the table has none yet.
    RosterLoaded(Option<roster::Roster>),
    /// The conditional write of this version took effect.
    RosterCommitted(message::RosterVersion),
    /// The conditional write had no effect because the table holds another version.
    RosterConflict,
    /// The table did not answer; a write may have taken effect.
    RosterUnavailable,
    /// A worker answered a claim.
    ClaimAnswered {
        /// The worker.
        worker: id::WorkerId,
        /// When the claim was sent.
        sent_at: time::TimeMs,
        /// The worker's answer.
        result: Result<message::ClaimGranted, message::Refusal>,
    },
    /// A worker answered a renewal.
    RenewAnswered {
        /// The worker.
        worker: id::WorkerId,
        /// When the renewal was sent.
        sent_at: time::TimeMs,
        /// The worker's answer.
        result: Result<message::RenewGranted, message::Refusal>,
    },
    /// A worker did not answer a claim or a renewal, which may have taken effect.
    Unreachable {
        /// The worker.
        worker: id::WorkerId,
        /// When the message was sent.
        sent_at: time::TimeMs,
    },
    /// A worker refused a start or a stop as a whole.
    CommandRefused {
        /// The worker.
        worker: id::WorkerId,
        /// Epoch that the command carried.
        epoch: message::Epoch,
        /// Why it was refused.
        refusal: message::Refusal,
    },
    /// It is known for certain that this incarnation runs nothing and never will again.
    IncarnationGone(roster::Member),
}

/// Output of a leadership. Commands are executed in the order given.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeadershipCommand {
    /// Read the roster from the table.
    LoadRoster,
    /// Write the roster, on condition that the table still holds version `from` (zero: no row).
    CommitRoster {
        /// Version that the write replaces.
        from: message::RosterVersion,
        /// The new row.
        roster: roster::Roster,
    },
    /// Send a claim.
    Claim {
        /// The worker.
        worker: id::WorkerId,
        /// The message.
        request: message::ClaimRequest,
    },
    /// Send a renewal.
    Renew {
        /// The worker.
        worker: id::WorkerId,
        /// The message.
        request: message::RenewRequest,
    },
    /// Report to the rest of the process.
    Notify(LeadershipNotice),
}

/// Change of state that the rest of the process has to know.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeadershipNotice {
    /// A majority of the roster is held. Stops and renewals are sent from now on; starts have to
    /// wait for [`MayStart`](Self::MayStart).
    BecameActing,
    /// No start of another leader can be accepted any more: start permits are issued from now on.
    MayStart,
    /// The campaign or tenure ended; everything that workers reported during it is void.
    LostMajority,
    /// A worker granted its lease. The runs that it lists are authoritative for that worker.
    WorkerHeld {
        /// The worker.
        worker: id::WorkerId,
        /// The worker's answer.
        granted: message::ClaimGranted,
    },
    /// A worker renewed its lease.
    WorkerRenewed {
        /// The worker.
        worker: id::WorkerId,
        /// The worker's answer.
        granted: message::RenewGranted,
    },
    /// The lease on a worker is lost. Its tasks may continue to run until
    /// [`TasksSafeToRestart`](Self::TasksSafeToRestart).
    WorkerLeaseLost {
        /// The worker.
        worker: id::WorkerId,
    },
    /// The earlier runs on the worker have ended, except any that the worker lists in a later
    /// [`WorkerHeld`](Self::WorkerHeld).
    TasksSafeToRestart {
        /// The worker.
        worker: id::WorkerId,
    },
}

/// Permission to send one batch of starts to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StartPermit {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: message::Epoch,
    /// The worker refuses the batch once its clock has reached this reading.
    pub start_before_ms: time::WorkerTimeMs,
}

/// Permission to send stops to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StopPermit {
    /// Incarnation of the worker that granted the lease.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: message::Epoch,
}
