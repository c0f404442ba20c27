//! Tests of a host whose feeds have more changes than one answer of the store holds.

use std::time::Instant;

use super::platform::{Host, Platform};
use super::silent_connections::{DRAIN_TIME, start_workers, submit_until};

/// Number of changes that take as many answers as a leader reads in twice the bound of a drained worker.
const CHANGES: usize = 6_000;

#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_on_a_worker_that_drains_behind_thousands_of_other_changes() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let (leaves, name, stays) = start_workers(&platform, &caller).await;

    let entry = serde_json::json!({"service": "another", "state": "ready"});
    for number in 0..CHANGES {
        platform.write_worker(&format!("other-{number}"), &entry);
    }
    platform.write_worker(&name, &leaves.entry("draining"));
    let drained_at = Instant::now() + DRAIN_TIME;
    submit_until(&caller, drained_at + DRAIN_TIME).await;

    assert_eq!(leaves.starts_since(drained_at), 0);
    assert!(stays.starts_since(drained_at) > 0, "nothing starts");
}
