//! Tests of a host whose open connections to the store go silent while new ones work.

use std::time::{Duration, Instant};

use super::platform::{Caller, Host, Platform};
use super::proxy::Proxy;
use super::worker::Worker;
use super::{CONFIGURATION_APPLY_TIME, REGISTRATION_TIME, STATUS_TIMEOUT, submit_until_status};

/// Time within which no more tasks start on a worker that drains; the default of the settings.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Part of a request that reads the changes of the operator's table.
const CONFIGURATION_FEED: &str = "/rows-feed?table=op&";
/// Part of a request that reads the changes of the workers' table.
const WORKER_FEED: &str = "/rows-feed?table=servers&";
/// Time after which a read of a feed that was in flight is answered; longer than the store holds
/// any back.
const MAX_FEED_TIME: Duration = Duration::from_secs(1);
/// Interval between submitted jobs.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(20);
/// Time between a fault and a change that is made after it.
const CHANGE_DELAYS_MS: [u64; 4] = [0, 250, 500, 750];

/// Adds a queue, and requests its count as soon as it must be in force.
async fn add_queue_and_count(platform: &Platform, caller: &Caller, version: u64) -> u16 {
    let path_prefix = format!("/new-{version}/");
    platform.add_queue(version, &path_prefix);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    caller.count(&path_prefix).await.status
}

/// Registers peers that accept connections and never answer, and waits until every host knows them.
async fn add_silent_peers(platform: &Platform) {
    for index in 0..6 {
        platform.add_silent_host(&format!("front-b-{index}")).await;
    }
    tokio::time::sleep(REGISTRATION_TIME).await;
}

/// Makes the connection silent that waits for changes of a table.
async fn silence_feed(proxy: &Proxy, feed: &str) {
    while proxy.silence_connections_with(feed) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_after_all_open_store_connections_went_silent() {
    let platform = Platform::start().await;
    let proxy = Proxy::start(platform.store_address()).await;
    let host = Host::start_with_store("front-a-1", proxy.address()).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;

    let mut statuses = Vec::new();
    for (version, delay_ms) in (2..).zip(CHANGE_DELAYS_MS) {
        proxy.silence_open_connections();
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        statuses.push(add_queue_and_count(&platform, &caller, version).await);
    }

    assert_eq!(statuses, [200; CHANGE_DELAYS_MS.len()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_although_its_feed_and_all_peers_are_silent() {
    let platform = Platform::start().await;
    let proxy = Proxy::start(platform.store_address()).await;
    let host = Host::start_with_store("front-a-1", proxy.address()).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    add_silent_peers(&platform).await;

    let mut statuses = Vec::new();
    for (version, delay_ms) in (2..).zip(CHANGE_DELAYS_MS) {
        silence_feed(&proxy, CONFIGURATION_FEED).await;
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        statuses.push(add_queue_and_count(&platform, &caller, version).await);
    }

    assert_eq!(statuses, [200; CHANGE_DELAYS_MS.len()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_accepted_for_a_removed_queue_although_the_configuration_feed_is_silent() {
    let platform = Platform::start().await;
    let proxy = Proxy::start(platform.store_address()).await;
    let host = Host::start_with_store("front-a-1", proxy.address()).await;
    let caller = host.caller();
    let number = submit_until_status(&caller, 1, 200).await + 1;
    add_silent_peers(&platform).await;

    silence_feed(&proxy, CONFIGURATION_FEED).await;
    platform.remove_queue(2);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    let answer = caller.submit(number).await;

    assert_eq!(answer.status, 404, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_job_is_accepted_for_a_removed_queue_while_no_configuration_can_be_read() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let number = submit_until_status(&caller, 1, 200).await;

    platform.leave_reads_unanswered("op");
    tokio::time::sleep(MAX_FEED_TIME).await;
    platform.remove_queue(2);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    let submitted = caller.submit(number + 1).await;
    let state = caller.state(number).await;

    assert_eq!(submitted.status, 503, "{submitted:?}");
    assert!(submitted.retry_after_s.is_some(), "{submitted:?}");
    assert_eq!(state.status, 503, "{state:?}");
}

/// Starts two workers, of which one is given all tasks while both are free; returns that one first,
/// with its name.
pub(super) async fn start_workers(
    platform: &Platform,
    caller: &Caller,
) -> (Worker, String, Worker) {
    let (first, second) = (Worker::start().await, Worker::start().await);
    platform.write_worker("i-1", &first.entry("ready"));
    platform.write_worker("i-2", &second.entry("ready"));
    let began = Instant::now();
    let mut number = 1;
    while began.elapsed() < STATUS_TIMEOUT {
        number = submit_until_status(caller, number, 200).await + 1;
        if first.starts_since(began) > 0 {
            return (first, "i-1".to_owned(), second);
        }
        if second.starts_since(began) > 0 {
            return (second, "i-2".to_owned(), first);
        }
    }
    panic!("nothing starts");
}

/// Submits jobs until a moment.
pub(super) async fn submit_until(caller: &Caller, end: Instant) {
    let mut number = 1_000_000;
    while Instant::now() < end {
        caller.submit(number).await;
        number += 1;
        tokio::time::sleep(SUBMISSION_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_on_a_drained_worker_although_the_feed_of_workers_and_all_peers_are_silent()
{
    let platform = Platform::start().await;
    let proxy = Proxy::start(platform.store_address()).await;
    let host = Host::start_with_store("front-a-1", proxy.address()).await;
    let caller = host.caller();
    let (leaves, name, stays) = start_workers(&platform, &caller).await;
    add_silent_peers(&platform).await;

    silence_feed(&proxy, WORKER_FEED).await;
    platform.write_worker(&name, &leaves.entry("draining"));
    let drained_at = Instant::now() + DRAIN_TIME;
    submit_until(&caller, drained_at + DRAIN_TIME).await;

    assert_eq!(leaves.starts_since(drained_at), 0);
    assert!(stays.starts_since(drained_at) > 0, "nothing starts");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_on_a_drained_worker_while_the_list_of_workers_cannot_be_read() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let (leaves, name, _stays) = start_workers(&platform, &caller).await;

    platform.leave_reads_unanswered("servers");
    tokio::time::sleep(MAX_FEED_TIME).await;
    platform.write_worker(&name, &leaves.entry("draining"));
    let drained_at = Instant::now() + DRAIN_TIME;
    submit_until(&caller, drained_at + DRAIN_TIME).await;

    assert_eq!(leaves.starts_since(drained_at), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_task_starts_on_a_worker_whose_entry_became_malformed() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let (malformed, name, stays) = start_workers(&platform, &caller).await;

    platform.write_worker(&name, &serde_json::json!({"state": "ready"}));
    let known_at = Instant::now() + DRAIN_TIME;
    submit_until(&caller, known_at + DRAIN_TIME).await;

    assert_eq!(malformed.starts_since(known_at), 0);
    assert!(stays.starts_since(known_at) > 0, "nothing starts");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_takes_a_job_of_a_newer_configuration_answers_by_that_configuration() {
    let platform = Platform::start().await;
    let proxy = Proxy::start(platform.store_address()).await;
    let leader = Host::start_with_store("front-a-1", proxy.address()).await;
    submit_until_status(&leader.caller(), 1, 200).await;
    let other = Host::start("front-a-2", &platform).await;
    submit_until_status(&other.caller(), 1_000, 200).await;
    // Until the other host knows the leader, it accepts jobs without it.
    tokio::time::sleep(REGISTRATION_TIME).await;

    silence_feed(&proxy, CONFIGURATION_FEED).await;
    platform.add_queue(2, "/new/");
    while other.caller().count("/new/").await.status != 200 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let submitted = other.caller().submit_to("/new/", 2_000).await;
    let counted = leader.caller().count("/new/").await;

    assert_eq!(submitted.status, 200, "{submitted:?}");
    assert_eq!(counted.status, 200, "{counted:?}");
}
