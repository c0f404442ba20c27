//! The leader's state of one pool: it takes accepted jobs and returns rows to commit and orders to
//! workers.
//!
//! The pool does no I/O and reads no clock. Its driver passes in events, takes the [`Commit`] that
//! is due, reports when it is durable, and carries out the [`Order`]s. Orders for a run are handed
//! out only after the commit that binds it.
//!
//! - `intake` takes jobs, cancellations and the platform's list of workers;
//! - `placing` assigns waiting units to workers;
//! - `queueing` keeps waiting units in the order of placement;
//! - `preempting` stops less urgent runs for urgent work;
//! - `ticket_requests` requests tickets from the advice service;
//! - `rows` makes commits;
//! - `orders` hands out orders and takes their answers;
//! - `reports` polls workers and takes their reports;
//! - `crashes` judges which tasks crash workers, and tries those that are suspected;
//! - `learning` passes on what was learned from finished runs;
//! - `lives` tells the lives of a worker apart that starts again under its identifier;
//! - `progress` detects slow workers and moves runs away from them;
//! - `occurrences` begins the occurrences of repeating jobs;
//! - `release` settles ended runs and frees their resources;
//! - `handover` hands jobs over to the other pools that run them;
//! - `teams` keeps teams within their caps, and puts surplus work last;
//! - `row_rooms` keeps rows within the size that the store allows;
//! - `sharing` slows best-effort tasks that harm serving tasks;
//! - `stalls` reports work that does not proceed although nothing it needs is missing;
//! - `waits` estimates how long new work would wait;
//! - `queries` answers questions about the pool.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::crash_evidence::Suspicion;
use super::estimate::Estimates;
use super::job::{Job, Member, MemberKey, OccurrenceDelay, Phase, Step, StepKey, Unit, UnitKey};
use super::lag::Lag;
use super::message;
use super::record;
use super::spec;
use super::teams::account::{TeamAccounts, TeamUsage};
use super::worker::Worker;

mod crashes;
mod handover;
mod intake;
mod learning;
mod lives;
mod occurrences;
mod orders;
mod placing;
mod preempting;
mod progress;
mod queries;
mod queueing;
mod release;
mod reports;
mod row_rooms;
mod rows;
mod sharing;
mod stalls;
mod teams;
mod ticket_requests;
mod waits;

pub use learning::Learned;
pub use progress::Speed;
pub use reports::PollFailure;
pub use rows::{Commit, RowChange};
pub use stalls::{BlockedStep, TaskRoom, UnsettledRun};
pub use ticket_requests::TicketLoad;

/// Limits of a pool that the platform and the settings fix.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Name of the pool.
    pub name: String,
    /// Term of its leader.
    pub term: u64,
    /// Maximum lease that a worker grants.
    pub max_lease: SpanMs,
    /// Maximum time for which a worker may delay the answer to a poll until a run ends.
    pub max_hold_wait: SpanMs,
    /// Minimum time between two polls of a worker, so that one report covers several ends of runs.
    pub min_poll_interval: SpanMs,
    /// Number of hosts that send ticket requests.
    pub advice_hosts: usize,
    /// Time for which the end of a job is remembered.
    pub job_end_retention: SpanMs,
    /// Maximum time for which a serving task may exceed its target latency beside best-effort
    /// tasks.
    pub max_target_overrun: SpanMs,
    /// Time until an ordered pace takes effect on a worker.
    pub pace_delay: SpanMs,
    /// Maximum time that a worker takes to stop a run.
    pub max_stop_time: SpanMs,
    /// Age of the platform's list of workers from which no run is started.
    pub max_list_age: SpanMs,
    /// Maximum size of a row in the store, in bytes.
    pub max_row_bytes: usize,
}

/// An order to a worker, or a ticket request.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// The worker.
        worker: id::WorkerId,
        /// Number of its life, for the fencing token.
        life: u32,
        /// Address for orders.
        address: String,
        /// The member.
        member: MemberKey,
        /// The run.
        run: u32,
        /// The job's payload.
        payload: Arc<str>,
        /// Deadline on the worker's clock.
        deadline: WorkerTimeMs,
        /// Checkpoint to continue from; empty if there is none.
        checkpoint: String,
        /// Ticket that proves that the step may run there, if the queue needs one.
        ticket: Option<String>,
    },
    /// Stop a run, or prevent it from starting later.
    Stop {
        /// The worker.
        worker: id::WorkerId,
        /// Number of its life, for the fencing token.
        life: u32,
        /// Address for orders.
        address: String,
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
    },
    /// Extend the worker's lease and poll it for its runs.
    Hold {
        /// The worker.
        worker: id::WorkerId,
        /// Number of its life, for the fencing token.
        life: u32,
        /// Address for orders.
        address: String,
        /// Deadline on the worker's clock; unset to poll without extending the lease.
        deadline: Option<WorkerTimeMs>,
        /// Acknowledges ends up to this number, so that the worker may forget them.
        last_seen: u64,
        /// Maximum time for which the answer may wait for an end.
        wait: SpanMs,
    },
    /// Run a best-effort task at a share of its speed.
    Pace {
        /// The worker.
        worker: id::WorkerId,
        /// Number of its life, for the fencing token.
        life: u32,
        /// Address for orders.
        address: String,
        /// The member.
        member: MemberKey,
        /// The run.
        run: u32,
        /// The share, in percent.
        percent: u32,
    },
    /// Ask the advice service which workers may run a step.
    RequestTickets {
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<id::WorkerId>,
        /// Expected time until the answer, by the queue's policy.
        expected_delay: SpanMs,
    },
    /// Have another pool accept a job that it runs for this one.
    HandOver {
        /// The other pool.
        pool: String,
        /// The job.
        job: id::JobId,
        /// Its record.
        record: Arc<spec::JobRecord>,
    },
    /// Make the cancellation of a job durable in another pool that runs it.
    CancelElsewhere {
        /// The other pool.
        pool: String,
        /// The job.
        job: id::JobId,
    },
    /// Ask another pool for the states of jobs that it runs for this one.
    QueryElsewhere {
        /// The other pool.
        pool: String,
        /// The jobs.
        jobs: Vec<id::JobId>,
    },
}

/// A decision or observation of the pool, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A run was assigned to a worker; the commit that binds it is still to be made.
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
    /// A ticket request was answered or failed.
    Advised {
        /// The step.
        step: StepKey,
        /// Number of workers in the request.
        asked: usize,
        /// Number of workers that are allowed; `None` if there was no answer.
        allowed: Option<usize>,
        /// Time since the request was handed out.
        after: SpanMs,
    },
    /// A step waits although workers have room for one of its units.
    StepBlocked(BlockedStep),
    /// A run has not left a phase that usually takes milliseconds.
    RunUnsettled(UnsettledRun),
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
        /// Number of calls that may still be carried out.
        open_calls: u32,
    },
    /// A run ended.
    RunEnded {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// How it ended.
        end: message::RunEnd,
        /// Phase of the run when its end became known; `None` if it was not the current run.
        phase: Option<Phase>,
        /// Time for which it had been in that phase.
        since: SpanMs,
    },
    /// A run was moved away from a worker on which it would take too long.
    Moved {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// Share of its work that was done, in percent.
        percent: u32,
        /// Time for which it had run.
        after: SpanMs,
    },
    /// A run was stopped to free resources for urgent work.
    Preempted {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// The step that needs the resources.
        wanted_by: StepKey,
    },
    /// A worker reported a run that should not be there.
    UnexpectedRun {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker does not list a run that it had confirmed, neither as active nor as ended.
    RunMissing {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// Number of the last ended run received from the worker.
        received_end: u64,
    },
    /// A worker listed as many ended runs as one report holds, so there may be more.
    EndsCut {
        /// The worker.
        worker: id::WorkerId,
        /// Number of ended runs in the report.
        listed: usize,
        /// Number of the last ended run received from the worker.
        received_end: u64,
        /// Number of the last ended run whose effects are durable.
        durable_end: u64,
    },
    /// A worker has started again under its identifier.
    WorkerRestarted {
        /// The worker.
        worker: id::WorkerId,
        /// Start of its new life in milliseconds since the Unix epoch.
        born_ms: Option<u64>,
        /// Number of runs that were there.
        runs: usize,
        /// Number of the last ended run received from the earlier life.
        received_end: u64,
    },
    /// The row of a job is larger than the store allows and was left out of a commit.
    RowTooLarge {
        /// The job.
        job: id::JobId,
        /// Size of the row.
        bytes: usize,
        /// Size that the store allows.
        max_bytes: usize,
    },
    /// Occurrences of a job that are due have not begun yet.
    OccurrencesDelayed {
        /// The job.
        job: id::JobId,
        /// The first of them.
        occurrence: u32,
        /// Time since it was due.
        late: SpanMs,
        /// Number of occurrences that have begun and not ended.
        open: usize,
        /// The reason.
        delay: OccurrenceDelay,
    },
    /// A job reached its final state; no more of its tasks will start.
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
        /// Number of runs that may be there.
        runs: usize,
    },
    /// Every lease on a worker has expired, or its incarnation has ended.
    WorkerLapsed {
        /// The worker.
        worker: id::WorkerId,
        /// Number of runs that were there.
        runs: usize,
        /// Whether the incarnation has ended.
        ended: bool,
    },
    /// A task may have crashed a worker.
    TaskSuspected {
        /// The task.
        task: message::TaskName,
        /// The run.
        run: u32,
        /// The worker.
        worker: id::WorkerId,
        /// How strongly the crash speaks against the task.
        suspicion: Suspicion,
        /// Whether the task is given up and its job fails.
        given_up: bool,
    },
    /// A worker failed runs of several jobs in a row and was put into quarantine.
    WorkerQuarantined {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A team's waiting work has no room in the pool's share of its cap any more, or has room again.
    TeamAtLimit {
        /// The team.
        team: Arc<str>,
        /// What it uses and may use.
        usage: TeamUsage,
    },
    /// A worker left the platform's list.
    WorkerGone {
        /// The worker.
        worker: id::WorkerId,
    },
    /// A worker began to drain.
    WorkerDraining {
        /// The worker.
        worker: id::WorkerId,
    },
}

/// What is remembered of a removed job.
#[derive(Debug)]
struct EndedJob {
    state: record::JobState,
    /// Its team, if it has one.
    team: Option<Arc<str>>,
}

/// The leader's state of one pool.
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    jobs: FastMap<id::JobId, Job>,
    workers: FastMap<id::WorkerId, Worker>,
    /// Units that wait for a worker, in the order of placement.
    waiting: BTreeSet<queueing::QueueEntry>,
    /// Waiting unit with which the turns of the next placement pass begin.
    placing_turn: Option<queueing::QueueEntry>,
    /// Waiting unit with which the turns of the next update of ranks begin.
    rank_turn: Option<queueing::QueueEntry>,
    /// Waiting unit with which the turns of the next check for ticket requests begin.
    ticket_turn: Option<queueing::QueueEntry>,
    /// Repeating jobs of which occurrences have not begun, by the due time of the next one.
    scheduled: BTreeSet<(TimeMs, id::JobId)>,
    /// How rows hold ended occurrences.
    row_format: record::RowFormat,
    /// Jobs of which other pools run units for this one, as long as their ends there are not known.
    delegating: FastSet<id::JobId>,
    /// Jobs whose stored row is out of date.
    dirty: FastSet<id::JobId>,
    /// Jobs that the commit in flight covers.
    writing: Vec<id::JobId>,
    /// Jobs whose end the commit in flight makes durable.
    ending: Vec<id::JobId>,
    /// Jobs whose rows the commit in flight removes.
    removing: Vec<id::JobId>,
    /// Final states of removed jobs.
    ended: FastMap<id::JobId, EndedJob>,
    /// Removed jobs in the order of removal, oldest first.
    ended_order: std::collections::VecDeque<(TimeMs, id::JobId)>,
    /// Estimates of task run times.
    estimates: Estimates,
    /// What each team has running and may have running here.
    teams: TeamAccounts,
    /// Speeds that an earlier leader learned, of workers that are not known here yet.
    remembered_speeds: learning::RememberedSpeeds,
    /// Number of units started in time whose credit has not been spent on expediting late work.
    expedite_credit: u32,
    /// Speed of the pool's workers relative to the expected run times.
    speed: Speed,
    /// Workers that are reserved for waiting gangs.
    reservations: Vec<placing::Reservation>,
    ticket_requests: ticket_requests::RequestsInFlight,
    /// Steps of which runs may be assigned to workers without a valid ticket.
    steps_lacking_tickets: FastSet<StepKey>,
    /// Steps for which tickets are requested before they are ready.
    steps_to_request_ahead: FastSet<StepKey>,
    /// Time of the last check of all waiting steps for ticket requests.
    tickets_checked_at: TimeMs,
    /// Whether steps have become ready since the last check.
    has_unchecked_steps: bool,
    /// Members whose order is due to be sent again, by time.
    retries: BTreeSet<(TimeMs, MemberKey)>,
    /// Time of the last stop order for each unexpected run.
    unexpected_run_stops: FastMap<(id::WorkerId, message::TaskName, u32), TimeMs>,
    orders: Vec<Order>,
    notes: Vec<Note>,
    /// Time at which the ranks of waiting units were last updated.
    ranked_at: TimeMs,
    /// Time of the last check for runs to preempt.
    preemption_checked_at: TimeMs,
    /// Time of the last check for work that does not proceed.
    stalls_checked_at: TimeMs,
    /// Whether something changed that may allow a waiting unit to be placed.
    placing_due: bool,
    /// Time until which workers that vanished from the list may reappear.
    list_unsettled_until: TimeMs,
    /// Moment as of which the list of workers is known.
    list_as_of: TimeMs,
    /// Unix time minus the reading of this host's steady clock, for due times.
    epoch_offset_ms: u64,
    /// Time until a submitted job was durable.
    acceptance_lag: Lag,
    /// Time until the answer to a start was handled.
    order_lag: Lag,
    /// Time by which the answers to ticket requests exceeded what the policies state.
    ticket_lag: Lag,
    /// Time until which leases that earlier leaders extended may last.
    previous_lease_until: TimeMs,
    /// Number of the last life that began, of any worker.
    last_life: u32,
}

impl Pool {
    /// Returns an empty pool whose leader took over at `now`. `epoch_offset_ms` is the Unix
    /// time minus the reading of the host's steady clock.
    #[must_use]
    pub fn new(now: TimeMs, settings: PoolSettings, epoch_offset_ms: u64) -> Self {
        let previous_lease_until =
            now + super::leadership::MAX_LEASING_WITHOUT_COMMIT + settings.max_lease;
        let teams = TeamAccounts::new(&settings.name, settings.term);
        let ticket_requests = ticket_requests::RequestsInFlight::new(settings.advice_hosts);
        Self {
            settings,
            teams,
            jobs: FastMap::default(),
            workers: FastMap::default(),
            waiting: BTreeSet::new(),
            placing_turn: None,
            rank_turn: None,
            ticket_turn: None,
            scheduled: BTreeSet::new(),
            row_format: record::RowFormat::default(),
            delegating: FastSet::default(),
            dirty: FastSet::default(),
            writing: Vec::new(),
            ending: Vec::new(),
            removing: Vec::new(),
            ended: FastMap::default(),
            ended_order: std::collections::VecDeque::new(),
            estimates: Estimates::default(),
            remembered_speeds: learning::RememberedSpeeds::default(),
            expedite_credit: 0,
            speed: Speed::default(),
            reservations: Vec::new(),
            ticket_requests,
            steps_lacking_tickets: FastSet::default(),
            steps_to_request_ahead: FastSet::default(),
            tickets_checked_at: TimeMs(0),
            has_unchecked_steps: false,
            retries: BTreeSet::new(),
            unexpected_run_stops: FastMap::default(),
            orders: Vec::new(),
            notes: Vec::new(),
            ranked_at: now,
            preemption_checked_at: now,
            stalls_checked_at: now,
            placing_due: false,
            list_unsettled_until: TimeMs(0),
            list_as_of: TimeMs(0),
            epoch_offset_ms,
            acceptance_lag: Lag::default(),
            order_lag: Lag::default(),
            ticket_lag: Lag::default(),
            previous_lease_until,
            last_life: 0,
        }
    }

    /// Does everything that is due at `now`: polls, expired leases, due occurrences, placement and
    /// ticket requests.
    pub fn tick(&mut self, now: TimeMs) {
        self.follow_delegates(now);
        self.begin_due_occurrences(now);
        self.resend_orders(now);
        self.remove_unlisted_workers(now);
        self.settle_lapsed_workers(now);
        self.pace_best_effort_runs(now);
        self.update_ranks(now);
        self.place(now);
        self.preempt_for_urgent_work(now);
        self.request_tickets(now);
        self.report_stalls(now);
        self.poll_workers(now);
        self.forget_old_ends(now);
    }

    /// Takes the orders to carry out, oldest first.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the notes since the last call.
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

    /// Returns the key of the member that runs a task.
    fn member_key(&self, task: &message::TaskName) -> Option<MemberKey> {
        self.jobs.get(&task.job)?.member_key(task)
    }

    fn mark_dirty(&mut self, job: &id::JobId) {
        if !self.dirty.contains(job) {
            self.dirty.insert(job.clone());
        }
    }
}
