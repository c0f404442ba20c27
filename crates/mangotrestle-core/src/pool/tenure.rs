//! State of a leader's tenure: the period from gaining the majority of the roster until losing it.

use std::collections::VecDeque;

use super::ByWorker;
use super::routes;
use super::starts;
use crate::collections;
use crate::id;
use crate::journal;
use crate::lease::message;
use crate::resources;
use crate::scheduler;
use crate::task;
use crate::time;

/// Action to take once the journal holds an entry.
#[derive(Debug)]
pub(super) enum AfterCommit {
    /// The worker may forget these ended runs.
    Acknowledge {
        worker: id::WorkerId,
        runs: Vec<task::RunId>,
    },
    /// The start is recorded and may be sent.
    SendStart {
        worker: id::WorkerId,
        run: message::StartRun,
    },
}

#[derive(Debug)]
struct Pending {
    token: u64,
    action: AfterCommit,
}

/// A worker's answer to its claim, kept until it is reported to the scheduler.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) rack: id::RackId,
    pub(super) capacity: resources::Resources,
    pub(super) running: Vec<message::RunningTask>,
    pub(super) ended: Vec<message::EndedRun>,
    pub(super) leaving: bool,
}

/// A worker whose lease this leader holds.
#[derive(Debug)]
pub(super) struct LeasedWorker {
    pub(super) listing: Option<Listing>,
    pub(super) target_address: String,
    /// Whether the worker takes no new work, because it reported that it is leaving or because an
    /// operator drains it.
    pub(super) leaving: bool,
    /// Whether the worker reported that it is leaving.
    pub(super) reported_leaving: bool,
}

/// Progress of a new leader's recovery.
#[derive(Debug, Default)]
struct Readiness {
    loaded: bool,
    may_start: bool,
    recovered: bool,
}

/// State of one tenure. A new tenure starts empty.
#[derive(Debug)]
pub(super) struct Tenure {
    pub(super) scheduler: scheduler::Scheduler,
    pub(super) state: journal::PoolState,
    pub(super) routes: routes::Routes,
    pub(super) starts: starts::Starts,
    pub(super) leased_workers: ByWorker<LeasedWorker>,
    /// Workers that were lost during the tenure: no run that an earlier leader started can still be
    /// running on them.
    pub(super) lost_workers: collections::FastSet<id::WorkerId>,
    /// Ended runs that workers reported before the journal was read.
    pub(super) ended_before_load: Vec<(id::WorkerId, Vec<message::EndedRun>)>,
    /// Ended runs whose records are not in the journal yet.
    pub(super) unacknowledged: collections::FastSet<(id::WorkerId, task::RunId)>,
    pub(super) more_decisions: bool,
    pub(super) next_time_of_day_at: time::TimeMs,
    readiness: Readiness,
    last_token: u64,
    pending: VecDeque<Pending>,
}

impl Tenure {
    pub(super) fn new(scheduler: scheduler::Scheduler) -> Self {
        Self {
            scheduler,
            state: journal::PoolState::default(),
            routes: routes::Routes::default(),
            starts: starts::Starts::default(),
            leased_workers: ByWorker::default(),
            lost_workers: collections::FastSet::default(),
            ended_before_load: Vec::new(),
            unacknowledged: collections::FastSet::default(),
            more_decisions: false,
            next_time_of_day_at: time::TimeMs(0),
            readiness: Readiness::default(),
            last_token: 0,
            pending: VecDeque::new(),
        }
    }

    /// Whether the journal was read.
    pub(super) const fn is_loaded(&self) -> bool {
        self.readiness.loaded
    }

    /// Whether runs may be started.
    pub(super) const fn is_scheduling(&self) -> bool {
        self.readiness.loaded && self.readiness.may_start
    }

    /// Stores the state that was read from the journal.
    pub(super) fn load(&mut self, state: journal::PoolState) {
        self.state = state;
        self.readiness.loaded = true;
    }

    /// Records that starts are permitted.
    pub(super) const fn permit_starts(&mut self) {
        self.readiness.may_start = true;
    }

    /// Marks the tenure as recovered once runs may be started. Returns whether this call did so.
    pub(super) const fn mark_recovered(&mut self) -> bool {
        let first = self.is_scheduling() && !self.readiness.recovered;
        self.readiness.recovered |= first;
        first
    }

    /// Adds a claimed worker with its list of runs.
    pub(super) fn add_leased_worker(
        &mut self,
        worker: id::WorkerId,
        granted: message::ClaimGranted,
    ) {
        self.starts.forget_worker(&worker);
        let leased_worker = LeasedWorker {
            target_address: granted.target_address,
            leaving: granted.leaving,
            reported_leaving: granted.leaving,
            listing: Some(Listing {
                rack: granted.rack,
                capacity: granted.capacity,
                running: granted.running,
                ended: granted.ended,
                leaving: granted.leaving,
            }),
        };
        self.leased_workers.insert(worker, leased_worker);
    }

    /// Keeps ended runs that were reported before the journal was read.
    pub(super) fn buffer_ended(&mut self, worker: &id::WorkerId, ended: Vec<message::EndedRun>) {
        if !ended.is_empty() {
            self.ended_before_load.push((worker.clone(), ended));
        }
    }

    /// Returns the token of the next journal entry.
    pub(super) const fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Schedules an action for when the journal holds the entry with the given token.
    pub(super) fn run_after_commit(&mut self, token: u64, action: AfterCommit) {
        self.pending.push_back(Pending { token, action });
    }

    /// Removes and returns the actions that are due once the journal holds all entries up to a
    /// token.
    pub(super) fn take_committed(&mut self, through: u64) -> Vec<AfterCommit> {
        let due_count = self
            .pending
            .partition_point(|pending| pending.token <= through);
        self.pending
            .drain(..due_count)
            .map(|pending| pending.action)
            .collect()
    }
}
