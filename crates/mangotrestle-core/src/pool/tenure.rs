//! What a leader knows, from the moment its majority stands until it is lost.

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

/// What to do once the journal holds an entry.
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

/// What a worker listed when it was claimed, until the scheduler has taken it.
#[derive(Debug)]
pub(super) struct Listing {
    pub(super) rack: id::RackId,
    pub(super) capacity: resources::Resources,
    pub(super) running: Vec<message::RunningTask>,
    pub(super) ended: Vec<message::EndedRun>,
    pub(super) leaving: bool,
}

/// A worker whose lease is held.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) listing: Option<Listing>,
    pub(super) target_address: String,
    /// Whether it takes no new work, by its own word or an operator's.
    pub(super) leaving: bool,
    /// Whether it said so itself.
    pub(super) said_leaving: bool,
}

/// How far a new leader has come.
#[derive(Debug, Default)]
struct Readiness {
    loaded: bool,
    may_start: bool,
    released: bool,
}

/// One tenure of a leader. A new one starts empty.
#[derive(Debug)]
pub(super) struct Tenure {
    pub(super) scheduler: scheduler::Scheduler,
    pub(super) state: journal::PoolState,
    pub(super) routes: routes::Routes,
    pub(super) starts: starts::Starts,
    pub(super) held: ByWorker<Held>,
    /// Workers on which nothing from before the tenure can be running.
    pub(super) safe: collections::FastSet<id::WorkerId>,
    /// Ends that were told before the journal was read.
    pub(super) early_ended: Vec<(id::WorkerId, Vec<message::EndedRun>)>,
    /// Ends that are on their way into the journal.
    pub(super) unacknowledged: collections::FastSet<(id::WorkerId, task::RunId)>,
    pub(super) more_decisions: bool,
    pub(super) next_time_of_day: time::TimeMs,
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
            held: ByWorker::default(),
            safe: collections::FastSet::default(),
            early_ended: Vec::new(),
            unacknowledged: collections::FastSet::default(),
            more_decisions: false,
            next_time_of_day: time::TimeMs(0),
            readiness: Readiness::default(),
            last_token: 0,
            pending: VecDeque::new(),
        }
    }

    /// Whether the journal was read.
    pub(super) const fn is_loaded(&self) -> bool {
        self.readiness.loaded
    }

    /// Whether work may be started.
    pub(super) const fn is_scheduling(&self) -> bool {
        self.readiness.loaded && self.readiness.may_start
    }

    /// Takes over what the journal says.
    pub(super) fn load(&mut self, state: journal::PoolState) {
        self.state = state;
        self.readiness.loaded = true;
    }

    /// Notes that starts are permitted.
    pub(super) const fn permit_starts(&mut self) {
        self.readiness.may_start = true;
    }

    /// Whether this is the first time that everything is ready for scheduling.
    pub(super) const fn release(&mut self) -> bool {
        let first = self.is_scheduling() && !self.readiness.released;
        self.readiness.released |= first;
        first
    }

    /// Keeps a claimed worker with its list.
    pub(super) fn hold(&mut self, worker: id::WorkerId, granted: message::ClaimGranted) {
        self.starts.forget_worker(&worker);
        let held = Held {
            target_address: granted.target_address,
            leaving: granted.leaving,
            said_leaving: granted.leaving,
            listing: Some(Listing {
                rack: granted.rack,
                capacity: granted.capacity,
                running: granted.running,
                ended: granted.ended,
                leaving: granted.leaving,
            }),
        };
        self.held.insert(worker, held);
    }

    /// Keeps ends that came before the journal was read.
    pub(super) fn remember_ended(&mut self, worker: &id::WorkerId, ended: Vec<message::EndedRun>) {
        if !ended.is_empty() {
            self.early_ended.push((worker.clone(), ended));
        }
    }

    /// Number of the next journal entry.
    pub(super) const fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Has something done once the journal holds an entry.
    pub(super) fn after(&mut self, token: u64, action: AfterCommit) {
        self.pending.push_back(Pending { token, action });
    }

    /// Takes out what is to be done now that the journal holds everything up to a token.
    pub(super) fn committed(&mut self, through: u64) -> Vec<AfterCommit> {
        let due = self
            .pending
            .partition_point(|pending| pending.token <= through);
        self.pending
            .drain(..due)
            .map(|pending| pending.action)
            .collect()
    }
}
