//! Tests of real hosts whose start orders are sent twice, since the first call is not answered in time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::platform::{Caller, Host, Platform};
use super::silent_connections::start_workers;
use super::worker::{SplitStart, Worker};
use super::{STATUS_TIMEOUT, submit_until_status};

/// Time after which the first call is refused: later than it is repeated.
const REFUSED_AFTER: Duration = Duration::from_millis(250);
/// Time in which every start and its end are known.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Submits jobs until the worker has refused the first call of a start and received the second one.
async fn submit_until_split(caller: &Caller, worker: &Worker, split: SplitStart) {
    let began = Instant::now();
    let mut number = 1_000_000;
    while !worker.has_split_start() {
        assert!(began.elapsed() < STATUS_TIMEOUT, "no start was sent twice");
        worker.split_next_start(split);
        number = submit_until_status(caller, number, 200).await + 1;
        tokio::time::sleep(split.refused_after * 2).await;
    }
}

/// Returns the tasks that were started more than once.
fn started_again(workers: &[Worker]) -> Vec<String> {
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    for start in workers.iter().flat_map(Worker::starts) {
        *starts.entry(start.task).or_default() += 1;
    }
    let again = starts.into_iter().filter(|(_, count)| *count > 1);
    again.map(|(task, _)| task).collect()
}

/// Has a start refused in its first call and carried out in its second one; returns the tasks that were
/// started more than once.
async fn tasks_started_again(carried_out_after: Duration) -> Vec<String> {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let (busy, _, other) = start_workers(&platform, &caller).await;
    let split = SplitStart {
        refused_after: REFUSED_AFTER,
        carried_out_after,
    };
    submit_until_split(&caller, &busy, split).await;
    tokio::time::sleep(SETTLING_TIME).await;
    started_again(&[busy, other])
}

// Guards against a second run elsewhere after the first call of a start was refused, while the worker
// carries out the repeated call.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_repeated_start_is_carried_out_after_the_first_was_refused_is_not_run_twice() {
    let again = tasks_started_again(Duration::from_millis(300)).await;

    assert_eq!(again, Vec::<String>::new());
}

// Guards against a second run elsewhere while a call of the start may still be carried out, long after
// its timeout.
#[tokio::test(flavor = "multi_thread")]
async fn a_run_whose_repeated_start_is_carried_out_after_its_timeout_is_not_run_twice() {
    let again = tasks_started_again(Duration::from_millis(1_200)).await;

    assert_eq!(again, Vec::<String>::new());
}
