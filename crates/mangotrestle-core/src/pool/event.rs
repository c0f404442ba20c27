//! What a pool is told.

use crate::id;
use crate::journal;
use crate::lease::leadership;
use crate::lease::message;
use crate::scheduler;
use crate::time;

/// The time of an event, on the two clocks that a pool needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Monotonic clock of this process; every decision rests on it.
    pub monotonic: time::TimeMs,
    /// Wall clock, for records that people read.
    pub wall: time::WallTimeMs,
}

/// Something that happened, for [`Pool::handle`](super::Pool::handle).
#[derive(Clone, Debug)]
pub enum PoolEvent {
    /// Time passed.
    Tick,
    /// News for the leadership, such as a worker's answer or the roster's row.
    Leadership(leadership::LeadershipEvent),
    /// The pool's snapshot and journal were read, after
    /// [`LoadState`](super::PoolCommand::LoadState).
    StateLoaded(Box<journal::PoolState>),
    /// Commands were accepted that wait in the inbox. Their rows
    /// go in the transaction that journals them, see [`Journal`](super::PoolCommand::Journal).
    Accepted {
        /// Number by which the caller knows the inbox rows.
        ticket: u64,
        /// What was accepted.
        records: Vec<journal::Record>,
    },
    /// A worker answered a start.
    StartAnswered {
        /// Batch of the start.
        batch: u64,
        /// The worker's answer.
        result: Result<message::StartAnswer, message::Refusal>,
    },
    /// A worker did not answer a start; the runs may be going on.
    StartUnanswered {
        /// Batch of the start.
        batch: u64,
    },
    /// A worker refused a stop as a whole.
    StopRefused {
        /// The worker.
        worker: id::WorkerId,
        /// Epoch that the stop carried.
        epoch: message::Epoch,
        /// Why.
        refusal: message::Refusal,
    },
    /// A worker told of ended runs outside a renewal.
    RunsEnded {
        /// The worker.
        worker: id::WorkerId,
        /// The ended runs.
        ended: Vec<message::EndedRun>,
    },
    /// The journal holds everything up to a token.
    JournalCommitted {
        /// Token of the last durable entry.
        through: u64,
    },
    /// Another leader wrote to the journal: this one's view is out of date.
    JournalConflict,
    /// Finished jobs that the lasting state no longer holds.
    JobsForgotten(Vec<id::JobId>),
    /// Whether the table can be written at the moment.
    StoreAvailable(bool),
    /// New settings of the scheduler are in force.
    ConfigChanged(Box<scheduler::SchedulerConfig>),
}
