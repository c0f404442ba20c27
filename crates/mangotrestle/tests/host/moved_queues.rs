//! Tests of real hosts whose queues are sent to another service while jobs of theirs are open. Each moves
//! two queues: one keeps its name, the other is replaced by one with another name and the same path.

use std::time::{Duration, Instant};

use serde_json::Value;

use super::platform::{Caller, Host, Platform};
use super::worker::Worker;
use super::{CONFIGURATION_APPLY_TIME, STATUS_TIMEOUT, submit_until_status};

/// Path prefix of the queue whose name stays.
const MOVED: &str = "/moved/";
/// Path prefix of the queue that is replaced.
const REPLACED: &str = "/replaced/";
/// Number of the job in each of the two queues.
const JOBS: [(&str, u64); 2] = [(MOVED, 70), (REPLACED, 71)];
/// The queues before and after the move, and after a second one.
const BEFORE: [(&str, &str, &str); 3] = [
    ("moved", MOVED, "alpha"),
    ("old", REPLACED, "alpha"),
    ("usual", "/q/", "beta"),
];
const AFTER: [(&str, &str, &str); 3] = [
    ("moved", MOVED, "beta"),
    ("new", REPLACED, "beta"),
    ("usual", "/q/", "beta"),
];
const SERVICES: [&str; 2] = ["alpha", "beta"];
/// Version of the first configuration with these queues; the stand-in starts with an older one.
const FIRST_VERSION: u64 = 10;
/// Time within which a job is completed.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a second run of a job would have started.
const SECOND_RUN_TIME: Duration = Duration::from_secs(2);

/// Starts a worker of a service.
async fn start_worker(platform: &Platform, id: &str, service: &str) -> Worker {
    let worker = Worker::start().await;
    let mut entry = worker.entry("ready");
    entry["service"] = Value::from(service);
    platform.write_worker(id, &entry);
    worker
}

async fn start_hosts(platform: &Platform) -> Vec<Host> {
    let mut hosts = Vec::new();
    for name in ["front-a-1", "front-a-2"] {
        hosts.push(Host::start(name, platform).await);
    }
    hosts
}

/// Starts two hosts with the queues before the move.
async fn start(platform: &Platform) -> Vec<Host> {
    platform.set_services(FIRST_VERSION, &BEFORE, &SERVICES);
    let hosts = start_hosts(platform).await;
    for (host, first) in hosts.iter().zip([1_000, 2_000]) {
        submit_until_status(&host.caller(), first, 200).await;
    }
    hosts
}

async fn submit_jobs(caller: &Caller) {
    for (path_prefix, number) in JOBS {
        assert_eq!(caller.submit_to(path_prefix, number).await.status, 200);
    }
}

/// Submits the jobs until they are accepted: a service without workers is divided late.
async fn submit_jobs_until_accepted(caller: &Caller) {
    for (path_prefix, number) in JOBS {
        let began = Instant::now();
        while caller.submit_to(path_prefix, number).await.status != 200 {
            assert!(began.elapsed() < STATUS_TIMEOUT, "{path_prefix}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn apply(platform: &Platform, version: u64, queues: &[(&str, &str, &str)]) {
    platform.set_services(version, queues, &SERVICES);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
}

/// Returns the states of the jobs as each host shows them.
async fn states(hosts: &[Host]) -> Vec<String> {
    let mut states = Vec::new();
    for host in hosts {
        for (path_prefix, number) in JOBS {
            let answer = host.caller().state_in(path_prefix, number).await;
            states.push(format!("{} {}", answer.status, answer.body));
        }
    }
    states
}

async fn wait_until_completed(hosts: &[Host]) {
    let began = Instant::now();
    loop {
        let states = states(hosts).await;
        if states.iter().all(|state| state.contains("completed")) {
            return;
        }
        assert!(began.elapsed() < COMPLETION_TIMEOUT, "{states:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the number of starts of the two jobs on a worker.
fn starts(worker: &Worker) -> usize {
    let is_ours = |task: &str| {
        JOBS.iter()
            .any(|(_, number)| task.starts_with(&format!("{number:016x}.")))
    };
    let starts = worker.starts();
    starts.iter().filter(|start| is_ours(&start.task)).count()
}

/// Guards against jobs that are answered 410, and run again when resent, once their queue has moved.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_stays_one_job_when_its_queue_is_sent_to_another_service_and_back() {
    let platform = Platform::start().await;
    let former = start_worker(&platform, "i-alpha", "alpha").await;
    let present = start_worker(&platform, "i-beta", "beta").await;
    let hosts = start(&platform).await;
    submit_jobs_until_accepted(&hosts[0].caller()).await;
    wait_until_completed(&hosts).await;

    apply(&platform, FIRST_VERSION + 1, &AFTER).await;
    let after_move = states(&hosts).await;
    submit_jobs(&hosts[1].caller()).await;
    tokio::time::sleep(SECOND_RUN_TIME).await;
    apply(&platform, FIRST_VERSION + 2, &BEFORE).await;
    let after_return = states(&hosts).await;

    let is_completed = |state: &String| state.contains("completed");
    assert!(after_move.iter().all(is_completed), "{after_move:?}");
    assert!(after_return.iter().all(is_completed), "{after_return:?}");
    assert_eq!([starts(&former), starts(&present)], [2, 0]);
}

/// Guards against accepted jobs that can't be seen, counted or cancelled once their queue has moved, also
/// by hosts that have never had the configuration under which they were accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_job_is_shown_counted_and_cancelled_after_its_queue_was_moved() {
    let platform = Platform::start().await;
    // Nothing can run in the former service, so the jobs stay queued.
    let present = start_worker(&platform, "i-beta", "beta").await;
    let hosts = start(&platform).await;
    submit_jobs_until_accepted(&hosts[0].caller()).await;

    platform.set_services(FIRST_VERSION + 1, &AFTER, &SERVICES);
    drop(hosts);
    let hosts = start_hosts(&platform).await;
    for (host, first) in hosts.iter().zip([3_000, 4_000]) {
        submit_until_status(&host.caller(), first, 200).await;
    }
    tokio::time::sleep(SECOND_RUN_TIME).await;
    let shown = states(&hosts).await;
    submit_jobs(&hosts[1].caller()).await;
    let mut counts = Vec::new();
    let mut cancels = Vec::new();
    for (path_prefix, number) in JOBS {
        counts.push(hosts[1].caller().count(path_prefix).await.body);
        cancels.push(
            hosts[1]
                .caller()
                .cancel_in(path_prefix, number)
                .await
                .status,
        );
    }
    let after_cancel = states(&hosts).await;

    assert!(
        shown.iter().all(|state| state.contains("queued")),
        "{shown:?}"
    );
    assert!(counts.iter().all(|count| count.contains('1')), "{counts:?}");
    assert_eq!(cancels, [200, 200]);
    assert!(
        after_cancel.iter().all(|state| state.contains("cancelled")),
        "{after_cancel:?}"
    );
    assert_eq!(starts(&present), 0);
}

/// Guards against new jobs that keep running on the service that their queue has left.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_are_submitted_after_a_move_run_once_on_the_new_service() {
    let platform = Platform::start().await;
    let former = start_worker(&platform, "i-alpha", "alpha").await;
    let present = start_worker(&platform, "i-beta", "beta").await;
    let hosts = start(&platform).await;

    apply(&platform, FIRST_VERSION + 1, &AFTER).await;
    submit_jobs(&hosts[0].caller()).await;
    submit_jobs(&hosts[1].caller()).await;
    wait_until_completed(&hosts).await;

    assert_eq!([starts(&former), starts(&present)], [0, 2]);
}

/// Guards against accepted jobs that wait for good since no configuration lists their service any more, so
/// that nobody leads its pool.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_a_service_that_left_the_configuration_go_on() {
    let platform = Platform::start().await;
    let hosts = start(&platform).await;
    submit_jobs_until_accepted(&hosts[0].caller()).await;

    platform.set_services(FIRST_VERSION + 1, &AFTER, &["beta"]);
    drop(hosts);
    let hosts = start_hosts(&platform).await;
    let former = start_worker(&platform, "i-alpha", "alpha").await;
    wait_until_completed(&hosts).await;

    assert_eq!(starts(&former), 2);
}

/// Guards against rows and calls for queues that are never moved.
#[tokio::test(flavor = "multi_thread")]
async fn a_queue_that_stays_where_it_is_has_one_row_and_its_jobs_are_accepted_once() {
    let platform = Platform::start().await;
    let _worker = start_worker(&platform, "i-alpha", "alpha").await;
    let hosts = start(&platform).await;

    submit_jobs_until_accepted(&hosts[0].caller()).await;
    submit_jobs(&hosts[1].caller()).await;
    wait_until_completed(&hosts).await;

    let accepted = JOBS.map(|(_, number)| platform.pools_that_accepted(number));
    assert_eq!(accepted, [["alpha"], ["alpha"]]);
    // The queue of the stand-in's first configuration has the path of a later one.
    assert_eq!(platform.home_rows(), BEFORE.len());
}
