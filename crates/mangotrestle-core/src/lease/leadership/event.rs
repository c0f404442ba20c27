//! What a leadership is told, and what it wants done.

use crate::id;
use crate::lease::message;
use crate::lease::roster;
use crate::time;

/// Something that happened outside the leadership.
///
/// `sent_at` is the time that was given to [`handle`](super::Leadership::handle) when it returned
/// the command that the event answers.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeadershipEvent {
    /// Time passed; due at [`next_wake`](super::Leadership::next_wake) at the latest.
    Tick,
    /// Whether this entry host is the one that should try to lead.
    Preferred(bool),
    /// This entry host is to stop leading, for example because it shuts down.
    Resign,
    /// The host list names these workers of the pool.
    WorkersListed(Vec<id::WorkerId>),
    /// The table's roster of the pool, `None` if it has none yet.
    RosterLoaded(Option<roster::Roster>),
    /// The conditional write of this version took effect.
    RosterCommitted(message::RosterVersion),
    /// The conditional write took no effect, since the table holds another version.
    RosterConflict,
    /// The table did not answer; a write may or may not have taken effect.
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
    /// A worker did not answer a claim or a renewal; it may have taken effect.
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
    /// Somebody vouches that this incarnation runs nothing and never will again.
    IncarnationGone(roster::Member),
}

/// Something the leadership wants done, in the order given.
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
    /// Tell the rest of the process.
    Notify(LeadershipNotice),
}

/// News for the rest of the process.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum LeadershipNotice {
    /// A majority of the roster is held. Stops and renewals go out; starts have to wait for
    /// [`MayStart`](Self::MayStart).
    BecameActing,
    /// It is certain that no other leader's start can be accepted any more: start permits are
    /// given from now on.
    MayStart,
    /// The tenure is over; nothing learnt from workers in it holds any more.
    LostMajority,
    /// A worker granted its lease. What it lists is the truth about what runs there.
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
    /// The lease on a worker is lost. Its tasks may go on until
    /// [`TasksSafeToRestart`](Self::TasksSafeToRestart).
    WorkerLostHold {
        /// The worker.
        worker: id::WorkerId,
    },
    /// Nothing that ran on the worker before runs any more, unless the worker lists it later.
    TasksSafeToRestart {
        /// The worker.
        worker: id::WorkerId,
    },
}

/// Leave to send one batch of starts to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StartPermit {
    /// Incarnation of the worker that the lease was claimed from.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: message::Epoch,
    /// The worker refuses the batch at or after this reading of its clock.
    pub start_before_ms: time::WorkerTimeMs,
}

/// Leave to send stops to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct StopPermit {
    /// Incarnation of the worker that the lease was claimed from.
    pub worker_incarnation: id::Incarnation,
    /// Epoch of the lease.
    pub epoch: message::Epoch,
}
