//! Finds out whether a worker that does not answer has ended.
//!
//! The machine service lists the current worker of each machine. A worker that is no longer listed
//! has ended, whatever the state of its lease; one that is only unreachable stays in the list. A
//! worker that has begun a life or answered since the list was asked for may have started again.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::collections::FastSet;
use mangotrestle_core::id;
use mangotrestle_core::time::TimeMs;
use mangotrestle_users_platform::transport::CallError;

use super::cell::{Cell, lock};
use super::leader::Leader;

/// Interval between reads of the list of machines.
const MACHINE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for one page of the list.
const MACHINE_PAGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls the list of machines until the leadership ends, and reports ended workers to the pool.
pub(super) async fn poll_machines(cell: Arc<Cell>, leader: Arc<Leader>) {
    let mut previously_listed: FastSet<id::WorkerId> = FastSet::default();
    while !leader.has_ended() {
        tokio::time::sleep(MACHINE_POLL_INTERVAL).await;
        let asked_at = cell.clock.now();
        match listed_workers(&cell).await {
            Ok(Some(listed_workers)) => {
                let listed = &listed_workers;
                end_unlisted_workers(&cell, &leader, asked_at, &previously_listed, listed);
                previously_listed.extend(listed_workers);
            }
            Ok(None) => return,
            Err(error) => {
                slog::info!(cell.log, "machines.not_read"; "error" => %error);
            }
        }
    }
}

/// Reports workers as ended that an earlier list had and the current one does not. A worker that
/// has never been listed may be too new for the list; it counts as ended only if it does not answer
/// either.
fn end_unlisted_workers(
    cell: &Cell,
    leader: &Leader,
    asked_at: TimeMs,
    previously_listed: &FastSet<id::WorkerId>,
    listed_workers: &FastSet<id::WorkerId>,
) {
    let now = cell.clock.now();
    let mut state = lock(&leader.state);
    for worker in state.workers_with_runs() {
        let listed_or_suspected =
            previously_listed.contains(&worker) || state.is_suspected(&worker);
        if listed_workers.contains(&worker) || !listed_or_suspected {
            continue;
        }
        slog::info!(cell.log, "worker.over"; "worker" => worker.as_str(),
            "pool" => &leader.pool, "lives_listed" => listed_workers.len());
        state.worker_ended(now, &worker, asked_at);
    }
    drop(state);
    leader.wake.notify_one();
}

/// Returns the workers that the machine service lists; `None` if there is no such service.
async fn listed_workers(cell: &Cell) -> Result<Option<FastSet<id::WorkerId>>, CallError> {
    let Some(machines) = &cell.machines else {
        return Ok(None);
    };
    let mut listed_workers = FastSet::default();
    let mut token: Option<String> = None;
    loop {
        let (page, next) = machines
            .list_workers(token.as_deref(), MACHINE_PAGE_TIMEOUT)
            .await?;
        listed_workers.extend(page);
        match next {
            Some(next) => token = Some(next),
            None => return Ok(Some(listed_workers)),
        }
    }
}
