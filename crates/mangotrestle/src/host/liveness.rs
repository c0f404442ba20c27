//! Finds out whether a worker that does not answer is at its end.
//!
//! A worker is one life of a machine, and the machines' list names the life that a machine is in.
//! A life that no machine is in any more is over, whatever became of the worker's lease; a worker
//! that is only cut off stays in the list.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::collections::FastSet;
use mangotrestle_core::id;
use mangotrestle_users_platform::transport::CallError;

use super::cell::{Cell, lock};
use super::leader::Leader;

/// Distance of reads of the list.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time for one page.
const READ: Duration = Duration::from_millis(800);

/// Follows the lives of a pool's workers until its leadership ends.
pub(super) async fn follow(cell: Arc<Cell>, leader: Arc<Leader>) {
    let mut before: FastSet<id::WorkerId> = FastSet::default();
    while !leader.is_over() {
        tokio::time::sleep(INTERVAL).await;
        match lives(&cell).await {
            Ok(Some(lives)) => {
                settle(&cell, &leader, &before, &lives);
                before.extend(lives);
            }
            Ok(None) => return,
            Err(error) => {
                slog::info!(cell.log, "machines.not_read"; "error" => %error);
            }
        }
    }
}

/// Settles workers that an earlier list had and the present one has not. One that no list had may
/// be too new for the list, unless it does not answer either.
fn settle(
    cell: &Cell,
    leader: &Leader,
    before: &FastSet<id::WorkerId>,
    lives: &FastSet<id::WorkerId>,
) {
    let now = cell.clock.now();
    let mut state = lock(&leader.state);
    for worker in state.workers_with_runs() {
        let known = before.contains(&worker) || state.is_suspected(&worker);
        if lives.contains(&worker) || !known {
            continue;
        }
        slog::info!(cell.log, "worker.over"; "worker" => worker.as_str(),
            "pool" => &leader.pool, "lives_listed" => lives.len());
        state.worker_ended(now, &worker);
    }
    drop(state);
    leader.wake.notify_one();
}

/// The lives that machines are in; `None` if there is no such list.
async fn lives(cell: &Cell) -> Result<Option<FastSet<id::WorkerId>>, CallError> {
    let Some(machines) = &cell.machines else {
        return Ok(None);
    };
    let mut lives = FastSet::default();
    let mut token: Option<String> = None;
    loop {
        let (page, next) = machines.list_workers(token.as_deref(), READ).await?;
        lives.extend(page);
        match next {
            Some(next) => token = Some(next),
            None => return Ok(Some(lives)),
        }
    }
}
