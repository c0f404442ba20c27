//! Tests of what becomes of a pool when a task of this host ends by a panic.

use std::sync::Arc;

use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::leadership::Watch;
use mangotrestle_core::workflow::message::WorkerEntry;
use mangotrestle_core::workflow::pool::Order;
use mangotrestle_users_platform::{registry, settings};
use serde_json::json;

use std::future;

use super::claiming::Claim;
use super::loading::{FeedVersions, new_leader};
use super::supervising::{Failure, Tasks, run_until_end};
use super::*;
use crate::host::orders::RunningOrder;
use crate::logging;

const POOL: &str = "pool";

/// Returns the state of a host whose store does not exist.
fn cell() -> Arc<Cell> {
    let settings = json!({
        "node": "front-a-1", "ip": "127.0.0.1", "zone": "a",
        "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
        "internal_ports": [3, 3],
        "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260},
        "platform": {"address": "127.0.0.1:4", "reads_per_s": 400},
    });
    let settings = settings::decode(settings.to_string().as_bytes()).expect("the settings");
    Arc::new(Cell::new(settings, logging::discard()))
}

#[tokio::test]
async fn a_pool_can_be_claimed_again_after_the_task_of_a_claim_panicked() {
    let cell = cell();
    let claiming = cell.mark_claiming(POOL).expect("the first claim");
    assert!(cell.mark_claiming(POOL).is_none());

    claiming::watch_claim(&cell, POOL, claiming, async { panic!("a fault") }).await;

    assert!(cell.mark_claiming(POOL).is_some());
}

#[tokio::test]
async fn other_hosts_go_first_after_the_task_of_a_claim_panicked() {
    let cell = cell();
    let claiming = cell.mark_claiming(POOL).expect("the first claim");
    let rank_before = cell.turn_rank(POOL, None);

    claiming::watch_claim(&cell, POOL, claiming, async { panic!("a fault") }).await;

    assert!(cell.turn_rank(POOL, None) > rank_before);
}

/// Returns a leader of a pool without workers and jobs.
fn leader(cell: &Arc<Cell>) -> Arc<Leader> {
    let now = cell.clock.now();
    let row = Watch::default().claim(&cell.settings.host, "127.0.0.1:3", cell.incarnation);
    let claim = Claim {
        row,
        version: AtomicU64::new(1),
        sequence: AtomicU64::new(0),
    };
    let state = Pool::new(now, loading::pool_settings(cell, POOL, claim.row.term), 0);
    let feeds = FeedVersions {
        workers: 1,
        inbox: 1,
    };
    let leader = Arc::new(new_leader(cell, POOL, &claim, state, &feeds));
    cell.add_leader(POOL, Arc::clone(&leader));
    leader
}

async fn rounds_without_end(held: Arc<()>) -> Result<(), Failure> {
    future::pending::<()>().await;
    drop(held);
    Ok(())
}

#[tokio::test]
async fn a_leadership_ends_if_the_feed_of_workers_panics() {
    let cell = cell();
    let leader = leader(&cell);
    let held = Arc::new(());
    let mut tasks = Tasks::new(rounds_without_end(Arc::clone(&held)));
    tasks.add("workers", async { panic!("a fault") });

    run_until_end(Arc::clone(&cell), Arc::clone(&leader), tasks).await;

    assert!(leader.has_ended());
    assert!(cell.leader(POOL).is_none());
    assert_eq!(Arc::strong_count(&held), 1, "the rounds go on");
}

#[tokio::test]
async fn the_task_that_failed_is_named() {
    let mut tasks = Tasks::new(rounds_without_end(Arc::default()));
    tasks.add("machines", async {});
    tasks.add("inbox", async { panic!("a fault") });

    let result = tasks.run().await;

    assert!(matches!(result, Err(Failure { task: "inbox", .. })));
}

#[tokio::test]
async fn a_leadership_goes_on_if_a_task_has_nothing_more_to_do() {
    let mut tasks = Tasks::new(async {
        tokio::task::yield_now().await;
        Err(Failure {
            task: "state",
            error: String::new(),
        })
    });
    tasks.add("machines", async {});

    let result = tasks.run().await;

    assert!(matches!(result, Err(Failure { task: "state", .. })));
}

#[tokio::test]
async fn a_leadership_ends_if_any_task_panics_while_it_changes_the_state_of_the_pool() {
    let cell = cell();
    let leader = leader(&cell);
    let changing = Arc::clone(&leader);
    let task = tokio::spawn(async move {
        let _state = lock(&changing.state);
        panic!("a fault");
    });
    assert!(task.await.is_err());

    let result = rounds::run_leader(Arc::clone(&cell), Arc::clone(&leader)).await;

    assert!(matches!(result, Err(Failure { task: "state", .. })));
}

/// Lists a worker and returns the orders that poll it, after a time.
fn polls_after(leader: &Leader, now: TimeMs) -> Vec<Order> {
    let mut state = lock(&leader.state);
    state.worker_list_confirmed(now);
    state.tick(now);
    let orders = state.take_orders();
    orders
        .into_iter()
        .filter(|order| matches!(order, Order::Hold { .. }))
        .collect()
}

#[tokio::test]
async fn a_worker_is_polled_again_after_the_task_of_a_poll_panicked() {
    let cell = cell();
    let leader = leader(&cell);
    let now = cell.clock.now();
    lock(&leader.state).worker_listed(now, worker_entry());
    let order = polls_after(&leader, now).pop().expect("a poll");
    let later = now + SpanMs(60_000);
    assert!(polls_after(&leader, later).is_empty(), "it is being polled");

    let running = RunningOrder::new(&cell, &leader, order);
    let task = tokio::spawn(async move {
        let _running = running;
        panic!("a fault");
    });
    assert!(task.await.is_err());

    assert_eq!(polls_after(&leader, later).len(), 1);
}

fn worker_entry() -> WorkerEntry {
    let entry = json!({
        "service": POOL, "address": "127.0.0.1:5", "zone": "a", "version": "1", "slots": 8,
        "state": "ready", "seq": 1, "labels": [], "clock_ms": 1, "born": 1,
        "capacity": {"cpu": 4_000, "mem_mb": 8_000, "gpu": 0},
    });
    registry::decode("i-1", entry.to_string().as_bytes()).expect("an entry")
}
