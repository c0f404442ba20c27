//! Tests of what becomes of a pool when a task of this host ends by a panic.

use std::sync::Arc;

use mangotrestle_users_platform::settings;
use serde_json::json;

use super::*;
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
