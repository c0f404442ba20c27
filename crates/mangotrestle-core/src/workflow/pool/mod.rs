//! The leader of one pool: accepted jobs in, rows to commit and orders to workers out.
//!
//! The pool does no I/O and reads no clock. Its driver hands in what became known, takes the
//! [`Commit`] that is due, reports when it is durable, and carries out the [`Order`]s. Orders for a
//! run are handed out only after the commit that binds it.
//!
//! - `intake` takes jobs, cancels and the platform's list of workers;
//! - `placing` assigns waiting units to workers;
//! - `queueing` keeps waiting units in the order in which they are served;
//! - `preempting` makes room for urgent work;
//! - `asking` has tickets asked for;
//! - `rows` makes commits;
//! - `orders` hands out orders and takes their answers;
//! - `reports` takes what workers say they have;
//! - `progress` tells slow workers from slow work;
//! - `release` settles ends and gives room back;
//! - `sharing` keeps fillers from harming tasks that serve;
//! - `queries` answers questions.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::estimate::Estimates;
use super::job::{Job, Member, MemberKey, Step, StepKey, Unit, UnitKey};
use super::message;
use super::rank::Rank;
use super::record;
use super::worker::Worker;

mod asking;
mod intake;
mod orders;
mod placing;
mod preempting;
mod progress;
mod queries;
mod queueing;
mod release;
mod reports;
mod rows;
mod sharing;

pub use progress::Speed;
pub use reports::PollFailure;
pub use rows::{Commit, RowChange};

/// What the platform and the settings fix for a pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Longest lease that a worker grants.
    pub max_lease: SpanMs,
    /// Longest time for which a worker holds an answer back.
    pub max_hold_wait: SpanMs,
    /// Pause between two looks at a worker, in which ends gather.
    pub min_poll_interval: SpanMs,
    /// Questions for tickets that may be in flight at once.
    pub max_ticket_requests: usize,
    /// Time for which the end of a job is remembered.
    pub job_end_retention: SpanMs,
    /// Time a serving task may stay over its bound beside fillers.
    pub max_target_overrun: SpanMs,
    /// Time until a pace is in force.
    pub pace_delay: SpanMs,
    /// Longest time that a stop takes.
    pub max_stop_time: SpanMs,
}

/// An order to a worker or a question for tickets.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker's life.
        worker: id::WorkerId,
        /// Where it takes orders.
        address: String,
        /// The member.
        member: MemberKey,
        /// The run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// Deadline on the worker's clock.
        deadline: WorkerTimeMs,
        /// Checkpoint to go on from; empty if there is none.
        checkpoint: String,
        /// Proof that the step may run there.
        ticket: Option<String>,
    },
    /// Stop a run, or see to it that it never begins.
    Stop {
        /// The worker's life.
        worker: id::WorkerId,
        /// Where it takes orders.
        address: String,
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
    },
    /// Extend the worker's lease and ask what it has.
    Hold {
        /// The worker's life.
        worker: id::WorkerId,
        /// Where it takes orders.
        address: String,
        /// Deadline on the worker's clock, if its clock is known.
        deadline: Option<WorkerTimeMs>,
        /// Ends up to this number may be forgotten.
        last_seen: u64,
        /// How long the answer may wait for an end.
        wait: SpanMs,
    },
    /// Let a task work at a share of its speed.
    Pace {
        /// The worker's life.
        worker: id::WorkerId,
        /// Where it takes orders.
        address: String,
        /// The member.
        member: MemberKey,
        /// The run.
        run: u32,
        /// The share.
        percent: u32,
    },
    /// Ask which workers may run a step.
    RequestTickets {
        /// The step.
        step: StepKey,
        /// The workers.
        workers: Vec<id::WorkerId>,
        /// Time that the answer takes by the queue's policy.
        expected_delay: SpanMs,
    },
}

/// Something that the pool decided or learned, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run was assigned to a worker.
    Bound {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// Time since the job became known to this leader.
        waited: SpanMs,
    },
    /// An answer about tickets came, or none.
    Advised {
        /// The step.
        step: StepKey,
        /// Workers asked about.
        asked: usize,
        /// Workers that are allowed; `None` if there was no answer.
        allowed: Option<usize>,
        /// Time since the question was handed out.
        after: SpanMs,
    },
    /// An order for a run was refused or not answered.
    OrderFailed {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// The answer.
        answer: message::OrderAnswer,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// How.
        end: message::RunEnd,
    },
    /// A run was taken from a worker on which it would take too long.
    Moved {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
    },
    /// A run was stopped to make room for urgent work.
    Preempted {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// The step that wants the room.
        wanted_by: StepKey,
    },
    /// A worker listed a run that should not be there.
    UnexpectedRun {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
    },
    /// Nothing more of a job will start.
    JobEnded {
        /// The job.
        job: id::JobId,
        /// Its final state.
        state: record::JobState,
        /// Time since it became known to this leader.
        after: SpanMs,
    },
    /// A worker does not answer.
    WorkerUnresponsive {
        /// The worker.
        worker: id::WorkerId,
        /// Runs that may be there.
        runs: usize,
    },
    /// Every lease on a worker has run out, or its life is over.
    WorkerLapsed {
        /// The worker.
        worker: id::WorkerId,
        /// Runs that were there.
        runs: usize,
        /// Whether its life is over.
        ended: bool,
    },
    /// A worker failed work of several jobs in a row.
    WorkerQuarantined {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker left the platform's list.
    WorkerGone {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker began to leave.
    WorkerDraining {
        /// The worker.
        worker: id::WorkerId,
    },
}

/// The leader's state of one pool.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    jobs: FastMap<id::JobId, Job>,
    workers: FastMap<id::WorkerId, Worker>,
    /// Units that wait for a worker, in the order in which they are served.
    waiting: BTreeSet<(Rank, UnitKey)>,
    /// Occurrences that are due later.
    scheduled: BTreeSet<(TimeMs, id::JobId, u32)>,
    /// Jobs whose row is behind the memory.
    dirty: FastSet<id::JobId>,
    /// Jobs that the commit in flight covers.
    writing: Vec<id::JobId>,
    /// Jobs whose end the commit in flight makes durable.
    ending: Vec<id::JobId>,
    /// Rows of jobs that the commit in flight lets go of.
    letting_go: Vec<id::JobId>,
    /// Ends of jobs that were let go, with the time.
    ended: FastMap<id::JobId, (record::JobState, TimeMs)>,
    /// Ended rows that can be swept, oldest first.
    ended_order: std::collections::VecDeque<(TimeMs, id::JobId)>,
    /// How long tasks take.
    estimates: Estimates,
    /// Starts in time that no rescue of late work has used up.
    starts_in_time: u32,
    /// Speed of the pool's workers against their callers' estimates.
    speed: Speed,
    /// Workers that waiting gangs keep from later work.
    reservations: Vec<placing::Reservation>,
    questions_in_flight: usize,
    /// Steps that are asked about before they are ready.
    ask_ahead: FastSet<StepKey>,
    /// Orders to send again at a time.
    retries: BTreeSet<(TimeMs, MemberKey)>,
    /// When a stop was last sent for a run that should not be on a worker.
    stray_stops: FastMap<(id::WorkerId, message::TaskName, u32), TimeMs>,
    orders: Vec<Order>,
    notes: Vec<Note>,
    /// When the waiting units were last ranked.
    ranked_at: TimeMs,
    /// When runs to stop for urgent work were last looked for.
    made_room_at: TimeMs,
    /// Whether something changed that may let a waiting unit start.
    placing_due: bool,
    /// Time until which entries that vanished from the list may return.
    list_settles_at: TimeMs,
    /// Offset from this host's steady clock to the time of day, for due times.
    epoch_offset_ms: u64,
    foreign_until: TimeMs,
}

impl Pool {
    /// An empty pool whose leader took over now. `epoch_offset_ms` leads from the host's steady
    /// clock to the time since the Unix epoch.
    #[must_use]
    pub fn new(now: TimeMs, settings: PoolSettings, epoch_offset_ms: u64) -> Self {
        let foreign_until =
            now + super::leadership::MAX_LEASING_WITHOUT_COMMIT + settings.max_lease;
        Self {
            settings,
            jobs: FastMap::default(),
            workers: FastMap::default(),
            waiting: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            dirty: FastSet::default(),
            writing: Vec::new(),
            ending: Vec::new(),
            letting_go: Vec::new(),
            ended: FastMap::default(),
            ended_order: std::collections::VecDeque::new(),
            estimates: Estimates::default(),
            starts_in_time: 0,
            speed: Speed::default(),
            reservations: Vec::new(),
            questions_in_flight: 0,
            ask_ahead: FastSet::default(),
            retries: BTreeSet::new(),
            stray_stops: FastMap::default(),
            orders: Vec::new(),
            notes: Vec::new(),
            ranked_at: now,
            made_room_at: now,
            placing_due: false,
            list_settles_at: TimeMs(0),
            epoch_offset_ms,
            foreign_until,
        }
    }

    /// Does what is due by time: looks, lapses, due occurrences, placements and questions.
    pub fn tick(&mut self, now: TimeMs) {
        self.begin_due_occurrences(now);
        self.send_again(now);
        self.drop_gone_workers(now);
        self.settle_lapsed_workers(now);
        self.keep_harm_away(now);
        self.rank_anew(now);
        self.place(now);
        self.make_room(now);
        self.ask(now);
        self.hold_workers(now);
        self.forget_old_ends(now);
    }

    /// Orders to carry out, oldest first.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// What happened since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    fn step(&self, key: &StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.step(key)
    }

    fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        self.jobs.get(&key.step.job)?.unit(key)
    }

    fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        self.jobs.get_mut(&key.step.job)?.unit_mut(key)
    }

    fn member(&self, key: &MemberKey) -> Option<&Member> {
        self.unit(&key.unit)?.members.get(key.member as usize)
    }

    /// The member that runs a task.
    fn member_key(&self, task: &message::TaskName) -> Option<MemberKey> {
        self.jobs.get(&task.job)?.member_key(task)
    }

    fn mark_dirty(&mut self, job: &id::JobId) {
        if !self.dirty.contains(job) {
            self.dirty.insert(job.clone());
        }
    }
}
