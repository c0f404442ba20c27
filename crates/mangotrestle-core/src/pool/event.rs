//! Events that a pool handles.

use crate::id;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::scheduler;
use crate::time;

/// Time of an event, on both clocks that a pool needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Monotonic clock of this process. Decisions are based on it.
    pub monotonic: time::TimeMs,
    /// Wall clock. Used for times in records and for the time of day.
    pub wall: time::WallTimeMs,
}

/// An event for [`Pool::handle`](super::Pool::handle).
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// Time passed.
    Tick,
    /// An event for the leadership protocol, such as a worker's answer or the roster's row.
    Leadership(leadership::LeadershipEvent),
    /// The pool's snapshot and journal were read, after
    /// [`LoadState`](super::PoolCommand::LoadState).
    StateLoaded(Box<journal::PoolState>),
    /// Accepted commands from the inbox. Their inbox rows are deleted in the transaction that
    /// journals them, see [`Journal`](super::PoolCommand::Journal).
    Accepted {
        /// Number of the inbox read that returned the commands.
        inbox_read: u64,
        /// Records of the accepted commands.
        records: Vec<journal::Record>,
    },
    /// A worker answered a start.
    StartAnswered {
        /// Batch of the start.
        batch: u64,
        /// The worker's answer.
        result: Result<message::StartAnswer, message::Refusal>,
    },
    /// A worker did not answer a start; the runs may be running.
    StartUnanswered {
        /// Batch of the start.
        batch: u64,
    },
    /// A worker refused a stop as a whole.
    StopRefused {
        /// Worker that refused the stop.
        worker: id::WorkerId,
        /// Epoch under which the stop was sent.
        epoch: message::Epoch,
        /// Reason of the refusal.
        refusal: message::Refusal,
    },
    /// A worker reported ended runs outside of a lease renewal.
    RunsEnded {
        /// Worker that reported the runs.
        worker: id::WorkerId,
        /// Ended runs with their outcomes.
        ended: Vec<message::EndedRun>,
    },
    /// All journal entries up to a token are durable.
    JournalCommitted {
        /// Token of the last durable entry.
        through: u64,
    },
    /// Another leader wrote to the journal, so this leader's state is out of date.
    JournalConflict,
    /// Finished jobs that were removed from the stored state.
    JobsForgotten(Vec<id::JobId>),
    /// Whether the store can currently be written.
    StoreAvailable(bool),
    /// New settings of the scheduler are in force.
    ConfigChanged(Box<scheduler::SchedulerConfig>),
}
