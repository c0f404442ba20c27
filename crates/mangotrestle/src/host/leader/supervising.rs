//! Runs the tasks of a leadership, and ends it with the first that fails.
//!
//! A pool is served only while all of them run: without the feed of workers nothing starts, and without
//! that of jobs no cancel is seen. What a task did to the pool's state before it failed is not known, so
//! none is begun anew here. The leadership ends and its row is released, and the host that claims the
//! pool builds its state from the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use mangotrestle_core::collections::FastMap;
use tokio::task::{self, JoinSet};

use super::committing::lead_row;
use super::loading::FeedVersions;
use super::releasing::give_up;
use super::{Leader, following, rounds, shares};
use crate::host::cell::Cell;
use crate::host::load::Work;
use crate::host::{events, liveness};

/// Why a leadership ended that was neither released nor lost to another host.
#[derive(Debug)]
pub(super) struct Failure {
    /// What failed.
    pub(super) task: &'static str,
    /// The error.
    pub(super) error: String,
}

/// Outcome of a task: `None` if the leadership goes on without it.
type Outcome = Option<Result<(), Failure>>;

/// The tasks of a leadership.
pub(super) struct Tasks {
    running: JoinSet<Outcome>,
    names: FastMap<task::Id, &'static str>,
}

impl Tasks {
    /// Starts the rounds, with which the leadership ends.
    pub(super) fn new(rounds: impl Future<Output = Result<(), Failure>> + Send + 'static) -> Self {
        let mut tasks = Self {
            running: JoinSet::new(),
            names: FastMap::default(),
        };
        tasks.spawn("rounds", async { Some(rounds.await) });
        tasks
    }

    /// Starts a task that may end before the leadership, but not by a panic.
    pub(super) fn add(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        self.spawn(name, async {
            task.await;
            None
        });
    }

    fn spawn(&mut self, name: &'static str, task: impl Future<Output = Outcome> + Send + 'static) {
        let handle = self.running.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Waits until the rounds end or a task fails, and ends the others.
    pub(super) async fn run(mut self) -> Result<(), Failure> {
        let result = loop {
            match self.running.join_next().await {
                Some(Ok(Some(result))) => break result,
                Some(Ok(None)) => {}
                Some(Err(error)) => {
                    let name = self.names.get(&error.id()).copied();
                    break Err(Failure {
                        task: name.unwrap_or_default(),
                        error: error.to_string(),
                    });
                }
                None => break Ok(()),
            }
        };
        self.running.shutdown().await;
        result
    }
}

/// Leads a loaded pool.
pub(super) fn lead(cell: &Arc<Cell>, leader: Arc<Leader>, feeds: &FeedVersions) {
    let shared = || (Arc::clone(cell), Arc::clone(&leader));
    let (own, of_leader) = shared();
    let mut tasks = Tasks::new(rounds::run_leader(own, of_leader));
    let (own, of_leader) = shared();
    let workers = following::follow_workers(own, of_leader, feeds.workers);
    tasks.add("workers", measured(cell, workers));
    let (own, of_leader) = shared();
    let inbox = following::follow_inbox(own, of_leader, feeds.inbox);
    tasks.add("inbox", measured(cell, inbox));
    let (own, of_leader) = shared();
    tasks.add(
        "shares",
        measured(cell, shares::follow_shares(own, of_leader)),
    );
    let (own, of_leader) = shared();
    tasks.add("machines", liveness::poll_machines(own, of_leader));
    tokio::spawn(run_until_end(Arc::clone(cell), leader, tasks));
}

/// Measures the time of a feed.
fn measured(
    cell: &Arc<Cell>,
    feed: impl Future<Output = ()> + Send + 'static,
) -> impl Future<Output = ()> + Send + 'static {
    let cell = Arc::clone(cell);
    async move { cell.load.measure(Work::Feed, feed).await }
}

/// Runs the tasks of a leadership. If one fails, the callers are answered and another host takes the
/// pool over at once.
pub(super) async fn run_until_end(cell: Arc<Cell>, leader: Arc<Leader>, tasks: Tasks) {
    let result = tasks.run().await;
    rounds::end_leadership(&cell, &leader);
    if let Err(Failure { task, error }) = result {
        events::leadership_given_up(&cell.log, &leader.pool, leader.term, task, &error);
        let sequence = leader.sequence.load(Ordering::Relaxed);
        let row = lead_row(&cell, &leader, sequence, false);
        let version = leader.version.load(Ordering::Relaxed);
        give_up(&cell, &leader.pool, row, version).await;
    }
}
